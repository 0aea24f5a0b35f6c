//! Token budgets of programs, enforced across all hosts and restarts.
//!
//! Every program has one account, which belongs to a ledger owned by one host. The ledger's record
//! is an object in the platform's store and is only replaced by a conditional write, which fails if
//! another host has replaced it. A turn is charged its maximum number of tokens before it starts,
//! and the tokens that it did not use are refunded.
//!
//! The record may lag behind the charges. The charges that a crash can lose are bounded:
//!
//! - The record of an account includes a reservation beyond its charges, so that most turns need no
//!   write and do not wait for one.
//! - Unreserved charges are granted up to the maximum of **one turn**. A crash therefore lets a
//!   program exceed its budget by at most one turn.
//! - While the store is unavailable, unreserved charges are granted up to **half of the budget** if
//!   that is more than one turn (an overdraft). A host that takes over a ledger that may be
//!   overdrawn grants only what remains after that half, for as long as its programs may resume. It
//!   detects this by the age of the record, or by the [outage notes](OutageNotes) that the ledger
//!   hosts store before an owner overdraws.

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

/// Number of tokens.
pub type TokenCount = u64;

/// How long the store has to fail before an overdraft is granted without the acknowledgement of all
/// ledger hosts. Longer than all hosts need to restart after a power loss, so that a power loss
/// leaves no ledger possibly incomplete.
const UNACKNOWLEDGED_OVERDRAFT_AFTER: Duration = Duration::from_millis(4000);
/// Maximum age of a record that is treated as complete. An older one may miss charges made while
/// the store was unavailable. Below [`UNACKNOWLEDGED_OVERDRAFT_AFTER`] by the allowed clock
/// difference.
const COMPLETE_RECORD_MAX_AGE_MS: u64 = 3500;
/// The same limit if the outage notes of the ledger hosts are not available. Below
/// [`STORE_UNAVAILABLE_AFTER`] by the allowed clock difference.
const COMPLETE_RECORD_MAX_AGE_NO_NOTES_MS: u64 = 200;
/// How long the store has to fail before it counts as unavailable: longer than a slow call takes.
const STORE_UNAVAILABLE_AFTER: Duration = Duration::from_millis(300);
/// Number of writes that an outage note covers in advance: as many as fail in about ten seconds.
/// While the note covers the next write, no ledger host has to be queried again, and the loss of
/// one delays no turn.
const NOTE_LOOKAHEAD_WRITES: u64 = 12;
/// Time for which accounts are kept after the programs' idle time has passed.
const RETENTION_MARGIN: Duration = Duration::from_secs(10);

/// A request to charge one turn.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Charge {
    /// The program that the turn belongs to.
    pub program: ProgramId,
    /// Maximum tokens of all turns of the program.
    pub budget: TokenCount,
    /// Maximum tokens of this turn.
    pub turn_max: TokenCount,
    /// How long the program may be idle and still resume.
    pub idle_max: Duration,
    /// Whether the request goes to the ledger's first-ranked host. Lower-ranked hosts may grant
    /// only recorded tokens: several owners that don't know of each other yet must not each grant
    /// an unreserved turn.
    pub is_first_choice: bool,
    /// The store status that the other ledger hosts report. If one of them can reach the store, it
    /// grants the recorded tokens, and no host may grant an overdraft.
    #[serde(rename = "others")]
    pub peer_report: PeerReport,
    /// The last write beyond which the first-ranked host may overdraw, if that host has reported
    /// it. The other ledger hosts store it in an outage note and acknowledge it.
    #[serde(rename = "beyond")]
    pub outage_position: Option<LedgerPosition>,
    /// Addresses of the other ledger hosts that have acknowledged the outage note.
    #[serde(default)]
    #[serde(rename = "noted_by")]
    pub acknowledged_by: Vec<SocketAddr>,
}

/// Status of the store as reported by the other ledger hosts of a ledger. The variants are ordered:
/// the minimum of several reports applies.
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
    /// At least one of them may be able to reach the store.
    #[default]
    Unknown,
    /// None of the hosts that answered can reach the store.
    #[serde(rename = "store_away")]
    StoreUnavailable,
    /// None of them can reach the store, and all of them have stored a durable outage note for the
    /// record.
    #[serde(rename = "store_away_noted")]
    OutageAcknowledged,
}

/// State of a ledger as found by the host that takes it over.
#[derive(Clone, Copy, Debug, Default)]
pub struct TakeoverInputs<'a> {
    /// The ledger's stored record, if there is one.
    pub record: Option<&'a LedgerRecord>,
    /// Outage notes of this host and of the ledger hosts that it has queried.
    pub notes: &'a [OutageNotes],
    /// Whether no host has ever owned the ledger.
    pub is_new_ledger: bool,
}

/// Result of a charge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChargeOutcome {
    /// The turn may start.
    Granted {
        /// Whether the program has no other charges so far.
        is_new: bool,
    },
    /// The remaining budget is too small for the turn.
    Spent,
    /// The turn may start after the next write of the ledger; the caller has to retry then.
    WriteRequired,
}

/// The stored record of a ledger.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LedgerRecord {
    /// The host and incarnation that wrote the record, as `host@incarnation`.
    pub writer: String,
    /// Sequence number of the write among those of this writer.
    pub sequence: u64,
    /// Wall clock time of the write, in milliseconds since 1970.
    pub written_at_ms: u64,
    /// For how long after the write accounts are opened as possibly incomplete, in milliseconds.
    #[serde(default)]
    #[serde(rename = "doubtful_ms")]
    pub possibly_incomplete_ms: u64,
    /// Charged tokens by program, including the reservation.
    pub charged: BTreeMap<ProgramId, TokenCount>,
}

/// The accounts of one partition of the programs, at the host that owns them.
#[derive(Debug)]
pub struct Ledger {
    writer: String,
    sequence: u64,
    accounts: HashMap<ProgramId, Account>,
    /// Idle time of programs that have not set one.
    idle_max: Duration,
    /// Until when accounts are opened as possibly incomplete.
    possibly_incomplete_until: Instant,
    failing_since: Option<Instant>,
    /// The last write that ledger hosts may have stored in an outage note.
    proposed_sequence: u64,
    /// The last write that all ledger hosts have acknowledged in an outage note. Invariant: at most
    /// `proposed_sequence`.
    acknowledged_sequence: u64,
    /// Whether the stored record is marked as possibly incomplete although no charges are missing.
    is_record_marked_incomplete: bool,
    /// Whether this host is the ledger's first-ranked host, according to the last charge.
    is_first_choice: bool,
    /// The replication to a standby, if one is in progress.
    replication: Option<Replication>,
    replication_generation: u64,
    /// Earliest start of the next replication in this outage, set when one has ended.
    next_replication_at: Option<Instant>,
    /// The previous owner, if this ledger was promoted from a replica.
    promoted_from: Option<String>,
}

impl Ledger {
    /// Creates the ledger of a host that takes it over.
    pub fn take_over(
        now: Instant,
        wall_ms: u64,
        writer: (&str, Incarnation),
        inputs: TakeoverInputs<'_>,
        idle_max: Duration,
    ) -> Self {
        let TakeoverInputs { record, notes, is_new_ledger } = inputs;
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

    /// Charges a turn its maximum tokens, if the budget and the record allow it.
    pub fn charge(&mut self, now: Instant, charge: &Charge) -> ChargeOutcome {
        let may_overdraw_record = self.is_store_unavailable(now)
            && self.may_overdraw(now, charge)
            && (charge.is_first_choice || self.promoted_from.is_some());
        self.is_first_choice = charge.is_first_choice;
        let is_possibly_incomplete = self.is_possibly_incomplete(now);
        let open_account = || Account::new(now, is_possibly_incomplete);
        let account = self.accounts.entry(charge.program.clone()).or_insert_with(open_account);
        let outcome = account.charge(now, charge, may_overdraw_record);
        if let (ChargeOutcome::Granted { .. }, Some(replication)) = (outcome, &mut self.replication)
        {
            replication.mark_changed(&charge.program);
        }
        outcome
    }

    /// Returns whether the reports and notes of the other ledger hosts allow an overdraft.
    fn may_overdraw(&mut self, now: Instant, charge: &Charge) -> bool {
        if self.is_outage_acknowledged() || self.promoted_from.is_some() {
            return true;
        }
        match (charge.peer_report, &charge.outage_position) {
            (PeerReport::Unknown, _) => false,
            // A write that began after the notes were stored may still succeed late. A successor
            // would treat its record as complete, so the notes have to cover it.
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

    /// Returns whether all ledger hosts have acknowledged an outage note that covers the last
    /// write.
    fn is_outage_acknowledged(&self) -> bool {
        0 < self.sequence && self.sequence <= self.acknowledged_sequence
    }

    /// Returns the last write that an outage note has to cover: the current write and the next
    /// ones, which may begin at any time.
    pub fn outage_position(&mut self) -> LedgerPosition {
        if self.proposed_sequence <= self.sequence {
            self.proposed_sequence = self.sequence + NOTE_LOOKAHEAD_WRITES;
        }
        LedgerPosition { writer: self.writer.clone(), sequence: self.proposed_sequence }
    }

    /// Refunds the tokens that a turn did not use.
    pub fn refund(&mut self, now: Instant, program: &str, tokens: TokenCount) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.refund(now, tokens);
            if let Some(replication) = &mut self.replication {
                replication.mark_changed(program);
            }
        }
    }

    /// Returns whether turns may soon have to wait for a write of the record, or whether the store
    /// may still be unavailable.
    pub fn needs_write(&self) -> bool {
        self.failing_since.is_some()
            || self.is_falsely_marked_incomplete()
            || self.accounts.values().any(Account::needs_write)
    }

    /// Returns whether a successor would treat the record as possibly incomplete although no charge
    /// is missing. Such a record should be replaced at once.
    pub fn is_falsely_marked_incomplete(&self) -> bool {
        let may_be_in_notes = 0 < self.sequence && self.sequence <= self.proposed_sequence;
        self.failing_since.is_none() && (self.is_record_marked_incomplete || may_be_in_notes)
    }

    /// Returns the next record to write, without the accounts of expired programs.
    pub fn record(&mut self, now: Instant, wall_ms: u64) -> LedgerRecord {
        self.accounts.retain(|_, account| !account.is_expired(now));
        if self.failing_since.is_none() {
            // The record is complete again, so its sequence has to be above those that notes may
            // cover.
            self.sequence = self.sequence.max(self.proposed_sequence);
        }
        self.sequence += 1;
        let charged = self
            .accounts
            .iter()
            .map(|(program, account)| (program.clone(), account.tokens_to_record()));
        // The write may time out here but succeed in the store, while further charges exceed its
        // record.
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

    /// Applies the result of a successful write of a record.
    pub fn on_write_succeeded(&mut self, now: Instant, record: &LedgerRecord) {
        match &mut self.replication {
            // The record stays marked as possibly incomplete until no standby can be promoted.
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

    /// Records that a write to the store failed. `began` is when the attempt began.
    pub fn on_write_failed(&mut self, began: Instant) {
        self.failing_since.get_or_insert(began);
    }

    /// Returns whether writes to the store have failed for at least `STORE_UNAVAILABLE_AFTER`.
    pub fn is_store_unavailable(&self, now: Instant) -> bool {
        self.failing_since.is_some_and(|since| now.duration_since(since) >= STORE_UNAVAILABLE_AFTER)
    }

    /// Returns whether accounts are opened as possibly incomplete.
    pub fn is_possibly_incomplete(&self, now: Instant) -> bool {
        now < self.possibly_incomplete_until
    }

    /// Returns whether this ledger writes its records under the given writer name.
    pub fn is_writer(&self, writer: &str) -> bool {
        self.writer == writer
    }

    /// Returns whether a record was written by this ledger.
    pub fn is_own(&self, record: &LedgerRecord) -> bool {
        self.is_writer(&record.writer)
    }

    /// Merges the record of another host that wrote in between. Charges of this host that are in no
    /// record are added to it. `notes` are this host's own.
    pub fn merge(&mut self, now: Instant, record: &LedgerRecord, notes: OutageNotes) {
        let is_promoted_from_writer = self.is_promoted_from(&record.writer);
        // Only the first-ranked host overdraws a record. That host knows its own charges, and so
        // does a standby that was promoted from it.
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
                // The replica contains all charges of the writer.
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

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
