//! A second copy of a ledger while the store is away.
//!
//! Load pattern: the store is away for some seconds, and the keeper of a ledger is lost meanwhile. Its charges
//! are in no record, so that all its programs would wait for the store.
//!
//! Once all keepers of a ledger have noted that charges go beyond its record, the keeper copies its accounts to
//! one of them, the standby, and grants a turn only when the standby has the charge. A third one, the witness,
//! consents to the standby's standing in or to the keeper's going on alone, whichever is asked for first, and
//! never to both: one host grants at any time. Both stay within what the notes say of the record, so that a loss
//! of all copies is what it was without them.

use {
    super::{Account, AccountCopy, Ledger, LedgerPosition},
    crate::ids::{Incarnation, ProgramId},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

/// How long a copy is good for after its last message. Below the time for which a host that takes the ledger
/// over in doubt leaves out what a standby may grant.
const COPY_KEPT: Duration = Duration::from_secs(30);
/// How long a keeper that went on alone does so before it copies its ledger again: a message that was late must
/// not cost the standby for the whole outage, and one that is away not a wait for each turn.
const COPY_AGAIN_AFTER: Duration = Duration::from_millis(500);
/// Accounts in one message to the standby: some 200 kB.
const UPDATE_ACCOUNTS_MAX: usize = 2000;

/// One copying of a ledger to a standby.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CopyId {
    /// The keeper and its start, as in the records that it writes.
    pub writer: String,
    /// Counts the copyings of this writer.
    pub generation: u64,
    /// The last write of which all keepers had noted, when it began, that charges go beyond it.
    pub noted_sequence: u64,
}

impl CopyId {
    /// Returns whether it has begun after another one, as far as can be told.
    pub fn is_later_than(&self, other: &Self) -> bool {
        self.writer != other.writer || self.generation > other.generation
    }
}

/// Accounts that changed since the last message to the standby.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CopyUpdate {
    /// Which copying it belongs to.
    pub copy: CopyId,
    /// Counts its messages, from one.
    pub number: u64,
    /// Whether the standby has all accounts with this one.
    pub is_complete: bool,
    /// How long the store has failed the keeper.
    pub failing_for: Duration,
    /// How much longer the keeper opens accounts in doubt.
    pub doubtful_for: Duration,
    /// How long programs may pause that have not said so.
    pub idle_max: Duration,
    /// The accounts as they are now.
    pub accounts: Vec<(ProgramId, AccountCopy)>,
}

/// The copying at the keeper.
#[derive(Debug)]
pub(super) struct Copying {
    id: CopyId,
    number: u64,
    /// Accounts that changed since they were sent.
    unsent: BTreeSet<ProgramId>,
    /// Accounts in the message under way.
    sent: BTreeSet<ProgramId>,
    /// Since when the store has taken a write again.
    store_back_since: Option<Instant>,
}

impl Copying {
    pub(super) fn changed(&mut self, program: &str) {
        self.unsent.insert(program.into());
    }

    pub(super) fn all_changed<'a>(&mut self, programs: impl Iterator<Item = &'a ProgramId>) {
        self.unsent.extend(programs.cloned());
    }

    pub(super) fn store_is_back(&mut self, now: Instant) {
        self.store_back_since.get_or_insert(now);
    }
}

impl Ledger {
    /// Begins to copy the ledger, if charges go beyond the record and no copying has ended just before.
    /// Returns whether it has.
    pub fn begin_copying(&mut self, now: Instant) -> bool {
        let is_too_soon = self.copies_again_at.is_some_and(|at| now < at);
        if !self.is_noted() || !self.is_store_away(now) || self.copying.is_some() || is_too_soon {
            return false;
        }
        self.copyings += 1;
        self.copying = Some(Copying {
            id: CopyId {
                writer: self.writer.clone(),
                generation: self.copyings,
                noted_sequence: self.noted_sequence,
            },
            number: 0,
            unsent: self.accounts.keys().cloned().collect(),
            sent: BTreeSet::new(),
            store_back_since: None,
        });
        true
    }

    /// Returns the copying under way.
    pub fn copying(&self) -> Option<&CopyId> {
        self.copying.as_ref().map(|copying| &copying.id)
    }

    /// Returns whether the standby has an account as it is, or nothing is copied.
    pub fn is_copied(&self, program: &str) -> bool {
        self.copying.as_ref().is_none_or(|copying| {
            !copying.unsent.contains(program) && !copying.sent.contains(program)
        })
    }

    /// Returns what to send to the standby, if it lacks something and no message is under way.
    pub fn next_update(&mut self, now: Instant) -> Option<CopyUpdate> {
        let doubtful_for = self.doubtful_until.saturating_duration_since(now);
        let failing_for =
            self.failing_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let copying = self.copying.as_mut().filter(|copying| copying.sent.is_empty())?;
        if copying.unsent.is_empty() && copying.number > 0 {
            return None;
        }
        let mut sent = std::mem::take(&mut copying.unsent);
        if let Some(first_left) = sent.iter().nth(UPDATE_ACCOUNTS_MAX).cloned() {
            copying.unsent = sent.split_off(&first_left);
        }
        copying.number += 1;
        let accounts = sent.iter().filter_map(|program| {
            let account = self.accounts.get(program)?;
            Some((program.clone(), account.to_copy()))
        });
        let update = CopyUpdate {
            copy: copying.id.clone(),
            number: copying.number,
            is_complete: copying.unsent.is_empty(),
            failing_for,
            doubtful_for,
            idle_max: self.idle_max,
            accounts: accounts.collect(),
        };
        copying.sent = sent;
        Some(update)
    }

    /// Notes that the standby has the last update.
    pub fn update_arrived(&mut self) {
        if let Some(copying) = &mut self.copying {
            copying.sent.clear();
        }
    }

    /// Notes that the standby may not have the last update.
    pub fn update_lost(&mut self) {
        if let Some(copying) = &mut self.copying {
            let lost = std::mem::take(&mut copying.sent);
            copying.unsent.extend(lost);
        }
    }

    /// Returns since when the copying is to end, as the store takes writes again.
    pub fn copying_ends_since(&self) -> Option<Instant> {
        self.copying.as_ref()?.store_back_since
    }

    /// Ends the copying: no standby can stand in any more.
    pub fn end_copying(&mut self, now: Instant) {
        self.copies_again_at = Some(now + COPY_AGAIN_AFTER);
        if let Some(Copying { store_back_since: Some(_), .. }) = self.copying.take() {
            self.store_took_a_write();
        }
    }

    /// Makes the ledger of a standby that stands in for the keeper.
    pub fn stand_in(now: Instant, writer: (&str, Incarnation), copy: LedgerCopy) -> Self {
        let accounts = copy.accounts.iter();
        let accounts: HashMap<ProgramId, Account> = accounts
            .map(|(program, account)| (program.clone(), Account::from_copy(now, account)))
            .collect();
        Self {
            accounts,
            doubtful_until: copy.doubtful_until,
            failing_since: copy.failing_since,
            stands_in_for: Some(copy.id.writer),
            ..Self::empty(now, writer, copy.idle_max)
        }
    }

    /// Returns whether this ledger goes on from the copy of another writer's.
    pub fn stands_in_for(&self, writer: &str) -> bool {
        self.stands_in_for.as_deref() == Some(writer)
    }
}

/// The copy at the standby.
#[derive(Debug)]
pub struct LedgerCopy {
    id: CopyId,
    number: u64,
    is_complete: bool,
    updated_at: Instant,
    failing_since: Option<Instant>,
    doubtful_until: Instant,
    idle_max: Duration,
    accounts: BTreeMap<ProgramId, AccountCopy>,
}

impl LedgerCopy {
    /// Begins a copy with its first message. Returns `None` if that is a later one.
    pub fn begin(now: Instant, update: CopyUpdate) -> Option<Self> {
        let mut copy = Self {
            id: update.copy.clone(),
            number: 0,
            is_complete: false,
            updated_at: now,
            failing_since: None,
            doubtful_until: now,
            idle_max: update.idle_max,
            accounts: BTreeMap::new(),
        };
        (update.number == 1 && copy.apply(now, update)).then_some(copy)
    }

    /// Takes in a message. Returns whether the copy has all that the keeper has sent so far; one that was
    /// overtaken by a later one is left out.
    pub fn apply(&mut self, now: Instant, update: CopyUpdate) -> bool {
        if update.copy != self.id || update.number <= self.number {
            return false;
        }
        self.number = update.number;
        self.updated_at = now;
        self.is_complete |= update.is_complete;
        self.failing_since = now.checked_sub(update.failing_for);
        self.doubtful_until = now + update.doubtful_for;
        self.accounts.extend(update.accounts);
        true
    }

    /// The copying that it belongs to.
    pub fn id(&self) -> &CopyId {
        &self.id
    }

    /// Returns whether a host may stand in with it: it has all accounts, and is not old.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_complete && now.saturating_duration_since(self.updated_at) < COPY_KEPT
    }
}

/// What a witness is asked to consent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConsentTo {
    /// That the standby stands in for the keeper.
    StandIn,
    /// That the keeper goes on without the standby.
    GoOn,
}

/// A keeper as the witness of a ledger. In memory only: one that was restarted consents to nothing of
/// copyings that may have begun before.
#[derive(Debug, Default)]
pub struct Witness {
    /// The first note that this process has taken of the writer.
    first_note: Option<LedgerPosition>,
    given: Option<(CopyId, ConsentTo)>,
}

impl Witness {
    /// Notes that this process has taken a note that none before it had.
    pub fn noted(&mut self, beyond: &LedgerPosition) {
        if self.first_note.as_ref().is_none_or(|first| first.writer != beyond.writer) {
            self.first_note = Some(beyond.clone());
        }
    }

    /// Decides whether to consent. Of one copying only one thing is consented to, however often it is asked
    /// for, and nothing of an earlier one any more.
    pub fn consents(&mut self, copy: &CopyId, to: ConsentTo) -> bool {
        let was_there = |first: &LedgerPosition| {
            first.writer == copy.writer && first.sequence <= copy.noted_sequence
        };
        if !self.first_note.as_ref().is_some_and(was_there) {
            return false;
        }
        match &self.given {
            Some((given, consent)) if given == copy => *consent == to,
            Some((given, _)) if !copy.is_later_than(given) => false,
            _ => {
                self.given = Some((copy.clone(), to));
                true
            }
        }
    }
}

#[cfg(test)]
mod tests;
