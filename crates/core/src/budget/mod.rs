//! Tokens that a program may generate, counted over all hosts and over restarts.
//!
//! Every program has one account, in a ledger at one host; the ledger's record lies in the platform's
//! store and is only ever replaced under the condition that nobody else has replaced it. A turn is
//! charged at the most that it may generate before it starts, and what it did not use is refunded.
//!
//! The record may lag behind. What a crash forgets is bounded instead:
//!
//! - The record of an account is written ahead of its charges by a margin, so that most turns need
//!   no write and none waits for one.
//! - Charges beyond the record are granted up to the most of **one turn**. After a crash a program
//!   can thus get at most one turn over its budget.
//! - While the store can't be written to, charges beyond the record go up to **half of the budget**,
//!   if that is more. Whoever takes over a ledger that may have been charged so grants only what is
//!   left after that half, for as long as programs may come back. It knows by the age of the record,
//!   or by the [`notes`](OutageNotes) that the keepers of a ledger take before any of them goes so far.

mod account;
mod notes;
mod standby;

#[cfg(test)]
mod tests;

pub use {
    account::AccountReplica,
    notes::{LedgerPosition, OutageNote, OutageNotes},
    standby::{LedgerReplica, ReplicaUpdate, ReplicationId, VoteOption, Witness},
};

use {
    crate::ids::{Incarnation, ProgramId},
    account::Account,
    standby::Replication,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Counts tokens.
pub type TokenCount = u64;

/// How long the store may fail before charges beyond one turn are granted without it and without the
/// notes of all keepers. Longer than all hosts take to be back after a loss of power, so that such a
/// loss leaves no ledger in doubt.
const UNACKNOWLEDGED_OVERDRAFT_AFTER: Duration = Duration::from_millis(4000);
/// A record older than this may miss charges made while the store was away: below [`OUTAGE_AFTER`]
/// by what clocks may differ.
const COMPLETE_RECORD_MAX_AGE_MS: u64 = 3500;
/// The same where the keepers' notes can't be had: below [`AWAY_AFTER`] by what clocks may differ.
const COMPLETE_RECORD_MAX_AGE_NO_NOTES_MS: u64 = 200;
/// How long the store fails before it is taken as away: longer than slow calls take.
const STORE_UNAVAILABLE_AFTER: Duration = Duration::from_millis(300);
/// Writes by which notes run ahead: as many as fail in some ten seconds. As long as they hold, no keeper has
/// to be asked again, and one that is lost meanwhile holds nobody up.
const NOTE_LOOKAHEAD_WRITES: u64 = 12;
/// Time that accounts are kept beyond the time in which a program may come back.
const RETENTION_MARGIN: Duration = Duration::from_secs(10);

/// One turn that wants to start.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Charge {
    /// The program.
    pub program: ProgramId,
    /// What all its turns may generate.
    pub budget: TokenCount,
    /// The most that this turn generates.
    pub turn_max: TokenCount,
    /// How long the program may pause and come back.
    pub idle_max: Duration,
    /// Whether the ledger's first host by rank is asked. Others may grant only what is recorded:
    /// several keepers that don't know of each other yet must not each grant a turn beyond it.
    pub is_first_choice: bool,
    /// What the other keepers say. While one of them can reach the store, it grants what is recorded,
    /// and nobody may grant half of a budget beyond the record.
    #[serde(rename = "others")]
    pub peer_report: PeerReport,
    /// Up to which write the first choice would go beyond the record, if it has said so: what the
    /// others are to note, and what they have noted.
    #[serde(rename = "beyond")]
    pub outage_position: Option<LedgerPosition>,
    /// Where the others are that have noted it.
    #[serde(default)]
    #[serde(rename = "noted_by")]
    pub acknowledged_by: Vec<SocketAddr>,
}

/// What the other keepers of a ledger say of the store, least first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PeerReport {
    /// One of them may reach it.
    #[default]
    Unknown,
    /// None that answers can reach it.
    #[serde(rename = "store_away")]
    StoreUnavailable,
    /// None can reach it, and every one has noted durably that the record may miss charges.
    #[serde(rename = "store_away_noted")]
    OutageAcknowledged,
}

/// What a host that takes a ledger over has found.
#[derive(Clone, Copy, Debug, Default)]
pub struct TakeoverInputs<'a> {
    /// The ledger's record, if there is one.
    pub record: Option<&'a LedgerRecord>,
    /// What keepers have noted of outages: this host, and others that it has asked.
    pub notes: &'a [OutageNotes],
    /// Whether no host has ever kept the ledger.
    pub is_new_ledger: bool,
}

/// What becomes of a charge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChargeOutcome {
    /// The turn may start.
    Granted {
        /// Whether the program has neither run nor run anything yet.
        is_new: bool,
    },
    /// The budget does not hold it.
    Spent,
    /// It may start once the ledger has been written: ask again then.
    WriteRequired,
}

/// What lies in the store for one ledger.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LedgerRecord {
    /// The host and its start that wrote it.
    pub writer: String,
    /// Counts the writer's writes.
    pub sequence: u64,
    /// Wall clock of the write in milliseconds since 1970.
    pub written_at_ms: u64,
    /// How much longer than the write accounts are to be opened in doubt, in milliseconds.
    #[serde(default)]
    #[serde(rename = "doubtful_ms")]
    pub possibly_incomplete_ms: u64,
    /// Charges by program, with the margin.
    pub charged: BTreeMap<ProgramId, TokenCount>,
}

/// The accounts of one part of all programs, at the host that keeps them.
#[derive(Debug)]
pub struct Ledger {
    writer: String,
    sequence: u64,
    accounts: HashMap<ProgramId, Account>,
    /// How long programs may pause that have not said so.
    idle_max: Duration,
    /// Until when accounts are opened as if charges were missing from the record.
    possibly_incomplete_until: Instant,
    failing_since: Option<Instant>,
    /// The last write beyond which others may have noted that charges go.
    proposed_sequence: u64,
    /// The last write of which all of them have. Invariant: at most `offered_sequence`.
    acknowledged_sequence: u64,
    /// Whether the record in the store says that charges may be missing, and none are.
    is_record_marked_incomplete: bool,
    /// Whether this host is the ledger's first by rank, as the last charge said.
    is_first_choice: bool,
    /// The copying to a standby.
    replication: Option<Replication>,
    replication_generation: u64,
    /// Before when no other copying begins in this outage, after one that has ended.
    next_replication_at: Option<Instant>,
    /// The keeper whose copy this ledger goes on from.
    promoted_from: Option<String>,
}

impl Ledger {
    /// Makes the ledger of a host that takes it over.
    pub fn take_over(
        now: Instant,
        wall_ms: u64,
        writer: (&str, Incarnation),
        inherited: TakeoverInputs<'_>,
        idle_max: Duration,
    ) -> Self {
        let TakeoverInputs { record, notes, is_new_ledger } = inherited;
        let is_complete_record = |record: &LedgerRecord| {
            let age_ms = wall_ms.checked_sub(record.written_at_ms);
            let is_recent = |max_ms| age_ms.is_some_and(|age_ms| age_ms <= max_ms);
            match notes::may_miss_charges(notes, record) {
                Some(true) => false,
                Some(false) => is_recent(COMPLETE_RECORD_MAX_AGE_MS),
                None => is_recent(COMPLETE_RECORD_MAX_AGE_NO_NOTES_MS),
            }
        };
        let possibly_incomplete_for = match record {
            Some(record) if is_complete_record(record) => {
                Duration::from_millis(record.possibly_incomplete_ms)
            }
            None if is_new_ledger => Duration::ZERO,
            _ => idle_max + RETENTION_MARGIN,
        };
        let mut ledger = Self {
            possibly_incomplete_until: now + possibly_incomplete_for,
            ..Self::empty(now, writer, idle_max)
        };
        for (program, &recorded) in record.iter().flat_map(|record| &record.charged) {
            let account =
                Account::from_record(now, recorded, idle_max, !possibly_incomplete_for.is_zero());
            ledger.accounts.insert(program.clone(), account);
        }
        ledger
    }

    fn empty(now: Instant, writer: (&str, Incarnation), idle_max: Duration) -> Self {
        let (host, incarnation) = writer;
        Self {
            writer: format!("{host}@{incarnation}"),
            sequence: 0,
            accounts: HashMap::new(),
            idle_max,
            possibly_incomplete_until: now,
            failing_since: None,
            proposed_sequence: 0,
            acknowledged_sequence: 0,
            is_record_marked_incomplete: false,
            is_first_choice: false,
            replication: None,
            replication_generation: 0,
            next_replication_at: None,
            promoted_from: None,
        }
    }

    /// Charges a turn at its most, if the budget and the record allow it.
    pub fn charge(&mut self, now: Instant, charge: &Charge) -> ChargeOutcome {
        let may_overdraw_record = self.is_store_unavailable(now)
            && self.may_overdraw(now, charge)
            && (charge.is_first_choice || self.promoted_from.is_some());
        self.is_first_choice = charge.is_first_choice;
        let is_possibly_incomplete = self.is_possibly_incomplete(now);
        let open_account = || Account::new(now, is_possibly_incomplete);
        let account = self.accounts.entry(charge.program.clone()).or_insert_with(open_account);
        let charged = account.charge(now, charge, may_overdraw_record);
        if let (ChargeOutcome::Granted { .. }, Some(replication)) = (charged, &mut self.replication)
        {
            replication.mark_changed(&charge.program);
        }
        charged
    }

    /// Returns whether others know enough for charges far beyond the record.
    fn may_overdraw(&mut self, now: Instant, charge: &Charge) -> bool {
        if self.is_outage_acknowledged() || self.promoted_from.is_some() {
            return true;
        }
        match (charge.peer_report, &charge.outage_position) {
            (PeerReport::Unknown, _) => false,
            // A write that began after the notes may still take effect, and would seem whole.
            (PeerReport::OutageAcknowledged, Some(position))
                if position.writer == self.writer && self.sequence <= position.sequence =>
            {
                self.acknowledged_sequence = position.sequence;
                true
            }
            _ => self
                .failing_since
                .is_some_and(|since| now.duration_since(since) >= UNACKNOWLEDGED_OVERDRAFT_AFTER),
        }
    }

    /// Returns whether all keepers have noted that charges may go beyond the last write.
    fn is_outage_acknowledged(&self) -> bool {
        0 < self.sequence && self.sequence <= self.acknowledged_sequence
    }

    /// Returns up to which write charges would go beyond the record: this one and the next ones, which
    /// may begin at any time.
    pub fn outage_position(&mut self) -> LedgerPosition {
        if self.proposed_sequence <= self.sequence {
            self.proposed_sequence = self.sequence + NOTE_LOOKAHEAD_WRITES;
        }
        LedgerPosition { writer: self.writer.clone(), sequence: self.proposed_sequence }
    }

    /// Gives back what a turn did not use.
    pub fn refund(&mut self, now: Instant, program: &str, tokens: TokenCount) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.refund(now, tokens);
            if let Some(replication) = &mut self.replication {
                replication.mark_changed(program);
            }
        }
    }

    /// Returns whether the record lags so far behind that turns may have to wait for it, or whether
    /// the store may still be away.
    pub fn needs_write(&self) -> bool {
        self.failing_since.is_some()
            || self.is_falsely_marked_incomplete()
            || self.accounts.values().any(Account::needs_write)
    }

    /// Returns whether a successor would take the record over in doubt although no charge is missing.
    /// It should be replaced at once.
    pub fn is_falsely_marked_incomplete(&self) -> bool {
        let may_be_noted = 0 < self.sequence && self.sequence <= self.proposed_sequence;
        self.failing_since.is_none() && (self.is_record_marked_incomplete || may_be_noted)
    }

    /// Returns the record to write, without the accounts of programs that won't come back.
    pub fn record(&mut self, now: Instant, wall_ms: u64) -> LedgerRecord {
        self.accounts.retain(|_, account| !account.is_expired(now));
        if self.failing_since.is_none() {
            // Whole again: beyond what may be noted.
            self.sequence = self.sequence.max(self.proposed_sequence);
        }
        self.sequence += 1;
        let charged = self
            .accounts
            .iter()
            .map(|(program, account)| (program.clone(), account.tokens_to_record()));
        // Seen from here the write may fail and take effect all the same, while charges go beyond it.
        let possibly_incomplete_for = match self.failing_since {
            Some(_) => self.idle_max + RETENTION_MARGIN,
            None => self.possibly_incomplete_until.saturating_duration_since(now),
        };
        LedgerRecord {
            writer: self.writer.clone(),
            sequence: self.sequence,
            written_at_ms: wall_ms,
            possibly_incomplete_ms: possibly_incomplete_for.as_millis() as u64,
            charged: charged.collect(),
        }
    }

    /// Notes that a record is in the store.
    pub fn on_write_succeeded(&mut self, now: Instant, record: &LedgerRecord) {
        match &mut self.replication {
            // The record stays in doubt until no standby can stand in.
            Some(replication) => replication.on_store_write(now),
            None => self.on_store_recovered(),
        }
        for (program, &recorded) in &record.charged {
            if let Some(account) = self.accounts.get_mut(program) {
                account.on_written(recorded);
            }
        }
    }

    fn on_store_recovered(&mut self) {
        self.is_record_marked_incomplete = self.failing_since.take().is_some();
        self.next_replication_at = None;
    }

    /// Notes that the store could not be written to by an attempt that began at this time.
    pub fn on_write_failed(&mut self, began: Instant) {
        self.failing_since.get_or_insert(began);
    }

    /// Returns whether the store could not be written to for a while.
    pub fn is_store_unavailable(&self, now: Instant) -> bool {
        self.failing_since.is_some_and(|since| now.duration_since(since) >= STORE_UNAVAILABLE_AFTER)
    }

    /// Returns whether accounts are opened as if charges were missing.
    pub fn is_possibly_incomplete(&self, now: Instant) -> bool {
        now < self.possibly_incomplete_until
    }

    /// Returns whether this ledger's own writes bear a writer's name.
    pub fn is_writer(&self, writer: &str) -> bool {
        self.writer == writer
    }

    /// Returns whether a record is one of this ledger's own writes.
    pub fn is_own(&self, record: &LedgerRecord) -> bool {
        self.is_writer(&record.writer)
    }

    /// Takes in the record of another host that wrote in between. Charges of this host that no
    /// record has are added to it. `notes` are this host's own.
    pub fn merge(&mut self, now: Instant, record: &LedgerRecord, notes: OutageNotes) {
        let is_promoted_from_writer = self.is_promoted_from(&record.writer);
        // The first choice alone goes far beyond a record. It knows what it has charged, and so does who
        // stands in for it.
        let possibly_incomplete_for = match notes::may_miss_charges(&[notes], record) {
            _ if self.is_first_choice || is_promoted_from_writer => Duration::ZERO,
            Some(true) => self.idle_max + RETENTION_MARGIN,
            _ => Duration::from_millis(record.possibly_incomplete_ms),
        };
        self.possibly_incomplete_until =
            self.possibly_incomplete_until.max(now + possibly_incomplete_for);
        let is_possibly_incomplete = !possibly_incomplete_for.is_zero();
        for (program, &recorded) in &record.charged {
            match self.accounts.get_mut(program) {
                // The copy has all that the writer has charged.
                Some(account) if is_promoted_from_writer => account.on_written(recorded),
                Some(account) => account.merge(recorded, is_possibly_incomplete),
                None => {
                    let account =
                        Account::from_record(now, recorded, self.idle_max, is_possibly_incomplete);
                    self.accounts.insert(program.clone(), account);
                }
            }
        }
        if let Some(replication) = &mut self.replication {
            replication.mark_all_changed(record.charged.keys());
        }
    }

    /// Returns how many accounts there are.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
