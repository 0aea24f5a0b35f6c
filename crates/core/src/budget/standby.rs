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
    super::{Account, AccountReplica, Ledger, LedgerPosition},
    crate::ids::{Incarnation, ProgramId},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

/// How long a copy is good for after its last message. Below the time for which a host that takes the ledger
/// over in doubt leaves out what a standby may grant.
const REPLICA_MAX_AGE: Duration = Duration::from_secs(30);
/// How long a keeper that went on alone does so before it copies its ledger again: a message that was late must
/// not cost the standby for the whole outage, and one that is away not a wait for each turn.
const REPLICATION_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Accounts in one message to the standby: some 200 kB.
const UPDATE_ACCOUNTS_MAX: usize = 2000;

/// One copying of a ledger to a standby.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ReplicationId {
    /// The keeper and its start, as in the records that it writes.
    pub writer: String,
    /// Counts the copyings of this writer.
    pub generation: u64,
    /// The last write of which all keepers had noted, when it began, that charges go beyond it.
    #[serde(rename = "noted_sequence")]
    pub acknowledged_sequence: u64,
}

impl ReplicationId {
    /// Returns whether it has begun after another one, as far as can be told.
    pub fn is_later_than(&self, other: &Self) -> bool {
        self.writer != other.writer || self.generation > other.generation
    }
}

/// Accounts that changed since the last message to the standby.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ReplicaUpdate {
    /// Which copying it belongs to.
    #[serde(rename = "copy")]
    pub replication_id: ReplicationId,
    /// Counts its messages, from one.
    pub number: u64,
    /// Whether the standby has all accounts with this one.
    pub is_complete: bool,
    /// How long the store has failed the keeper.
    pub failing_for: Duration,
    /// How much longer the keeper opens accounts in doubt.
    #[serde(rename = "doubtful_for")]
    pub possibly_incomplete_for: Duration,
    /// How long programs may pause that have not said so.
    pub idle_max: Duration,
    /// The accounts as they are now.
    pub accounts: Vec<(ProgramId, AccountReplica)>,
}

/// The copying at the keeper.
#[derive(Debug)]
pub(super) struct Replication {
    id: ReplicationId,
    number: u64,
    /// Accounts that changed since they were sent.
    unsent: BTreeSet<ProgramId>,
    /// Accounts in the message under way.
    sent: BTreeSet<ProgramId>,
    /// Since when the store has taken a write again.
    store_recovered_since: Option<Instant>,
}

impl Replication {
    pub(super) fn mark_changed(&mut self, program: &str) {
        self.unsent.insert(program.into());
    }

    pub(super) fn mark_all_changed<'a>(&mut self, programs: impl Iterator<Item = &'a ProgramId>) {
        self.unsent.extend(programs.cloned());
    }

    pub(super) fn on_store_write(&mut self, now: Instant) {
        self.store_recovered_since.get_or_insert(now);
    }
}

impl Ledger {
    /// Begins to copy the ledger, if charges go beyond the record and no copying has ended just before.
    /// Returns whether it has.
    pub fn begin_replication(&mut self, now: Instant) -> bool {
        let is_too_soon = self.next_replication_at.is_some_and(|at| now < at);
        if !self.is_outage_acknowledged()
            || !self.is_store_unavailable(now)
            || self.replication.is_some()
            || is_too_soon
        {
            return false;
        }
        self.replication_generation += 1;
        self.replication = Some(Replication {
            id: ReplicationId {
                writer: self.writer.clone(),
                generation: self.replication_generation,
                acknowledged_sequence: self.acknowledged_sequence,
            },
            number: 0,
            unsent: self.accounts.keys().cloned().collect(),
            sent: BTreeSet::new(),
            store_recovered_since: None,
        });
        true
    }

    /// Returns the copying under way.
    pub fn replication(&self) -> Option<&ReplicationId> {
        self.replication.as_ref().map(|replication| &replication.id)
    }

    /// Returns whether the standby has an account as it is, or nothing is copied.
    pub fn is_replicated(&self, program: &str) -> bool {
        self.replication.as_ref().is_none_or(|replication| {
            !replication.unsent.contains(program) && !replication.sent.contains(program)
        })
    }

    /// Returns what to send to the standby, if it lacks something and no message is under way.
    pub fn next_update(&mut self, now: Instant) -> Option<ReplicaUpdate> {
        let possibly_incomplete_for = self.possibly_incomplete_until.saturating_duration_since(now);
        let failing_for =
            self.failing_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let replication =
            self.replication.as_mut().filter(|replication| replication.sent.is_empty())?;
        if replication.unsent.is_empty() && replication.number > 0 {
            return None;
        }
        let mut sent = std::mem::take(&mut replication.unsent);
        if let Some(first_remaining) = sent.iter().nth(UPDATE_ACCOUNTS_MAX).cloned() {
            replication.unsent = sent.split_off(&first_remaining);
        }
        replication.number += 1;
        let accounts = sent.iter().filter_map(|program| {
            let account = self.accounts.get(program)?;
            Some((program.clone(), account.to_replica()))
        });
        let update = ReplicaUpdate {
            replication_id: replication.id.clone(),
            number: replication.number,
            is_complete: replication.unsent.is_empty(),
            failing_for,
            possibly_incomplete_for,
            idle_max: self.idle_max,
            accounts: accounts.collect(),
        };
        replication.sent = sent;
        Some(update)
    }

    /// Notes that the standby has the last update.
    pub fn on_update_acked(&mut self) {
        if let Some(replication) = &mut self.replication {
            replication.sent.clear();
        }
    }

    /// Notes that the standby may not have the last update.
    pub fn on_update_lost(&mut self) {
        if let Some(replication) = &mut self.replication {
            let lost = std::mem::take(&mut replication.sent);
            replication.unsent.extend(lost);
        }
    }

    /// Returns since when the copying is to end, as the store takes writes again.
    pub fn replication_ending_since(&self) -> Option<Instant> {
        self.replication.as_ref()?.store_recovered_since
    }

    /// Ends the copying: no standby can stand in any more.
    pub fn end_replication(&mut self, now: Instant) {
        self.next_replication_at = Some(now + REPLICATION_RETRY_DELAY);
        if let Some(Replication { store_recovered_since: Some(_), .. }) = self.replication.take() {
            self.on_store_recovered();
        }
    }

    /// Makes the ledger of a standby that stands in for the keeper.
    pub fn promote(now: Instant, writer: (&str, Incarnation), replica: LedgerReplica) -> Self {
        let accounts = replica.accounts.iter();
        let accounts: HashMap<ProgramId, Account> = accounts
            .map(|(program, account)| (program.clone(), Account::from_replica(now, account)))
            .collect();
        Self {
            accounts,
            possibly_incomplete_until: replica.possibly_incomplete_until,
            failing_since: replica.failing_since,
            promoted_from: Some(replica.id.writer),
            ..Self::empty(now, writer, replica.idle_max)
        }
    }

    /// Returns whether this ledger goes on from the copy of another writer's.
    pub fn is_promoted_from(&self, writer: &str) -> bool {
        self.promoted_from.as_deref() == Some(writer)
    }
}

/// The copy at the standby.
#[derive(Debug)]
pub struct LedgerReplica {
    id: ReplicationId,
    number: u64,
    is_complete: bool,
    updated_at: Instant,
    failing_since: Option<Instant>,
    possibly_incomplete_until: Instant,
    idle_max: Duration,
    accounts: BTreeMap<ProgramId, AccountReplica>,
}

impl LedgerReplica {
    /// Begins a copy with its first message. Returns `None` if that is a later one.
    pub fn begin(now: Instant, update: ReplicaUpdate) -> Option<Self> {
        let mut replica = Self {
            id: update.replication_id.clone(),
            number: 0,
            is_complete: false,
            updated_at: now,
            failing_since: None,
            possibly_incomplete_until: now,
            idle_max: update.idle_max,
            accounts: BTreeMap::new(),
        };
        (update.number == 1 && replica.apply(now, update)).then_some(replica)
    }

    /// Takes in a message. Returns whether the copy has all that the keeper has sent so far; one that was
    /// overtaken by a later one is left out.
    pub fn apply(&mut self, now: Instant, update: ReplicaUpdate) -> bool {
        if update.replication_id != self.id || update.number <= self.number {
            return false;
        }
        self.number = update.number;
        self.updated_at = now;
        self.is_complete |= update.is_complete;
        self.failing_since = now.checked_sub(update.failing_for);
        self.possibly_incomplete_until = now + update.possibly_incomplete_for;
        self.accounts.extend(update.accounts);
        true
    }

    /// The copying that it belongs to.
    pub fn id(&self) -> &ReplicationId {
        &self.id
    }

    /// Returns whether a host may stand in with it: it has all accounts, and is not old.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_complete && now.saturating_duration_since(self.updated_at) < REPLICA_MAX_AGE
    }
}

/// What a witness is asked to consent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VoteOption {
    /// That the standby stands in for the keeper.
    #[serde(rename = "stand_in")]
    PromoteStandby,
    /// That the keeper goes on without the standby.
    #[serde(rename = "go_on")]
    ContinueAlone,
}

/// A keeper as the witness of a ledger. In memory only: one that was restarted consents to nothing of
/// copyings that may have begun before.
#[derive(Debug, Default)]
pub struct Witness {
    /// The first note that this process has taken of the writer.
    first_note: Option<LedgerPosition>,
    granted_vote: Option<(ReplicationId, VoteOption)>,
}

impl Witness {
    /// Notes that this process has taken a note that none before it had.
    pub fn record_note(&mut self, position: &LedgerPosition) {
        if self.first_note.as_ref().is_none_or(|first| first.writer != position.writer) {
            self.first_note = Some(position.clone());
        }
    }

    /// Decides whether to consent. Of one copying only one thing is consented to, however often it is asked
    /// for, and nothing of an earlier one any more.
    pub fn grant_vote(&mut self, replication: &ReplicationId, to: VoteOption) -> bool {
        let has_note_before = |first: &LedgerPosition| {
            first.writer == replication.writer
                && first.sequence <= replication.acknowledged_sequence
        };
        if !self.first_note.as_ref().is_some_and(has_note_before) {
            return false;
        }
        match &self.granted_vote {
            Some((granted_replication, granted_to)) if granted_replication == replication => {
                *granted_to == to
            }
            Some((granted_replication, _)) if !replication.is_later_than(granted_replication) => {
                false
            }
            _ => {
                self.granted_vote = Some((replication.clone(), to));
                true
            }
        }
    }
}

#[cfg(test)]
mod tests;
