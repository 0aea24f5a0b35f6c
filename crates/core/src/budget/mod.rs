//! Token budgets of programs, enforced across all hosts and restarts.
//!
//! Every program has one account, which belongs to a ledger owned by one host. Each ledger has
//! three ledger hosts, in a ranked order. The first-ranked one normally owns the ledger, and the
//! others replace it if it is lost. The ledger's record is an object in the platform's store and is
//! only replaced by a conditional write, which fails if another host has replaced it. A turn is
//! charged its maximum number of tokens before it starts, and the tokens that it did not use are
//! refunded.
//!
//! The record of an account includes a reservation beyond its charges, so that most turns need no
//! write and do not wait for one. The record may still lag behind the charges. The charges that a
//! crash can lose are limited as follows:
//!
//! - Unreserved charges are granted up to the maximum of **one turn**. A crash therefore lets a
//!   program exceed its budget by at most one turn.
//! - While the store is unavailable, unreserved charges are granted up to **half of the budget** if
//!   that is more than one turn. This is called an overdraft. If a host takes over a ledger whose
//!   previous owner may have granted overdrafts, the ledger is possibly incomplete: the host grants
//!   only what remains after half of the budget, for as long as programs of the previous owner may
//!   resume. It detects a possible overdraft by the age of the record, or by the
//!   [outage notes](OutageNotes) that the ledger hosts store before an owner grants an overdraft.

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

/// Number of tokens that the model generates.
pub type TokenCount = u64;

/// How long writes must have been failing before an overdraft is granted without the
/// acknowledgement of all ledger hosts. This must exceed the time that all hosts need to restart
/// after a power loss, so that a power loss alone never makes a ledger count as possibly
/// incomplete.
const UNACKNOWLEDGED_OVERDRAFT_AFTER: Duration = Duration::from_millis(4000);
/// Maximum age of a record that is treated as complete. An older record may lack charges made while
/// the store was unavailable. 500 ms below [`UNACKNOWLEDGED_OVERDRAFT_AFTER`], to allow for clock
/// skew.
const COMPLETE_RECORD_MAX_AGE_MS: u64 = 3500;
/// Maximum age of a record that is treated as complete if no sufficient outage notes are available.
/// 100 ms below [`STORE_UNAVAILABLE_AFTER`], to allow for clock skew.
const COMPLETE_RECORD_MAX_AGE_NO_NOTES_MS: u64 = 200;
/// How long writes must have been failing before the store counts as unavailable. This must exceed
/// the duration of a slow call, so that a slow call does not count as an outage.
const STORE_UNAVAILABLE_AFTER: Duration = Duration::from_millis(300);
/// Number of writes that an outage note covers in advance: about ten seconds of failing writes.
/// While the note covers the next write, no ledger host has to be queried again, and losing a
/// ledger host delays no turn.
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
    /// only recorded tokens: hosts that concurrently act as owner must not each grant an unreserved
    /// turn.
    #[serde(rename = "is_first_choice")]
    pub is_first_ranked: bool,
    /// The store status that the other ledger hosts report. If one of them can reach the store, it
    /// grants the recorded tokens, and no host may grant an overdraft.
    #[serde(rename = "others")]
    pub peer_report: PeerReport,
    /// The last write that the outage note covers, if the first-ranked host has proposed one. The
    /// other ledger hosts store the note and acknowledge it.
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
    /// A ledger host may be able to reach the store.
    #[default]
    Unknown,
    /// No ledger host that answered can reach the store.
    #[serde(rename = "store_away")]
    StoreUnavailable,
    /// No ledger host can reach the store, and all of them have stored a durable outage note that
    /// covers the last write.
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
    pub was_never_owned: bool,
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
    InsufficientBudget,
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
    /// How long after this write new accounts count as possibly incomplete, in milliseconds.
    #[serde(default)]
    #[serde(rename = "doubtful_ms")]
    pub possibly_incomplete_for_ms: u64,
    /// Charged tokens by program, including the reservation.
    pub charged: BTreeMap<ProgramId, TokenCount>,
}

/// The accounts of one partition of the programs, at the host that owns them.
#[derive(Debug)]
pub struct Ledger {
    writer: String,
    sequence: u64,
    accounts: HashMap<ProgramId, Account>,
    /// Idle time used for accounts that are read from a record.
    idle_max: Duration,
    /// Accounts created before this time count as possibly incomplete.
    possibly_incomplete_until: Instant,
    store_failing_since: Option<Instant>,
    /// Sequence of the last write covered by an outage note that was proposed to the ledger hosts.
    proposed_sequence: u64,
    /// Sequence of the last write covered by an outage note that all ledger hosts have
    /// acknowledged. Invariant: at most `proposed_sequence`.
    acknowledged_sequence: u64,
    /// Whether the stored record is marked as possibly incomplete although no charges are missing.
    is_record_marked_incomplete: bool,
    /// Whether this host is the ledger's first-ranked host, according to the last charge.
    is_first_ranked: bool,
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
        unix_ms: u64,
        writer: (&str, Incarnation),
        inputs: TakeoverInputs<'_>,
        idle_max: Duration,
    ) -> Self {
        let TakeoverInputs { record, notes, was_never_owned } = inputs;
        let is_treated_as_complete = |record: &LedgerRecord| {
            let age_ms = unix_ms.checked_sub(record.written_at_ms);
            let is_recent = |max_ms| age_ms.is_some_and(|age_ms| age_ms <= max_ms);
            match notes::may_lack_charges(notes, record) {
                Some(true) => false,
                Some(false) => is_recent(COMPLETE_RECORD_MAX_AGE_MS),
                None => is_recent(COMPLETE_RECORD_MAX_AGE_NO_NOTES_MS),
            }
        };
        let possibly_incomplete_for = match record {
            Some(record) if is_treated_as_complete(record) => {
                Duration::from_millis(record.possibly_incomplete_for_ms)
            }
            None if was_never_owned => Duration::ZERO,
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
            store_failing_since: None,
            proposed_sequence: 0,
            acknowledged_sequence: 0,
            is_record_marked_incomplete: false,
            is_first_ranked: false,
            replication: None,
            replication_generation: 0,
            next_replication_at: None,
            promoted_from: None,
        }
    }

    /// Charges a turn its maximum tokens, if the budget and the record allow it.
    pub fn charge(&mut self, now: Instant, charge: &Charge) -> ChargeOutcome {
        let is_overdraft_allowed = self.is_store_unavailable(now)
            && self.peers_allow_overdraft(now, charge)
            && (charge.is_first_ranked || self.promoted_from.is_some());
        self.is_first_ranked = charge.is_first_ranked;
        let is_possibly_incomplete = self.is_possibly_incomplete(now);
        let open_account = || Account::new(now, is_possibly_incomplete);
        let account = self.accounts.entry(charge.program.clone()).or_insert_with(open_account);
        let outcome = account.charge(now, charge, is_overdraft_allowed);
        if let (ChargeOutcome::Granted { .. }, Some(replication)) = (outcome, &mut self.replication)
        {
            replication.mark_changed(&charge.program);
        }
        outcome
    }

    /// Returns whether the reports and notes of the other ledger hosts allow an overdraft. Stores
    /// the acknowledged position.
    fn peers_allow_overdraft(&mut self, now: Instant, charge: &Charge) -> bool {
        if self.is_outage_acknowledged() || self.promoted_from.is_some() {
            return true;
        }
        match (charge.peer_report, &charge.outage_position) {
            (PeerReport::Unknown, _) => false,
            // A write that began after the notes were stored may still succeed late. A successor
            // would treat the record of that write as complete unless a note covers it.
            (PeerReport::OutageAcknowledged, Some(position))
                if position.writer == self.writer && self.sequence <= position.sequence =>
            {
                self.acknowledged_sequence = position.sequence;
                true
            }
            _ => self
                .store_failing_since
                .is_some_and(|since| now.duration_since(since) >= UNACKNOWLEDGED_OVERDRAFT_AFTER),
        }
    }

    /// Returns whether all ledger hosts have acknowledged an outage note that covers the last
    /// write.
    fn is_outage_acknowledged(&self) -> bool {
        0 < self.sequence && self.sequence <= self.acknowledged_sequence
    }

    /// Proposes the last write that an outage note has to cover. The note also covers the next
    /// `NOTE_LOOKAHEAD_WRITES` writes, which may begin at any time.
    pub fn propose_outage_position(&mut self) -> LedgerPosition {
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

    /// Returns whether the record should be written: turns may soon have to wait for it, or a write
    /// has to check whether the store is available again.
    pub fn needs_write(&self) -> bool {
        self.store_failing_since.is_some()
            || self.should_rewrite_record()
            || self.accounts.values().any(Account::needs_write)
    }

    /// Returns whether a successor would treat the stored record as possibly incomplete although no
    /// charge is missing. Such a record should be replaced at once.
    pub fn should_rewrite_record(&self) -> bool {
        let may_be_covered_by_notes = 0 < self.sequence && self.sequence <= self.proposed_sequence;
        self.store_failing_since.is_none()
            && (self.is_record_marked_incomplete || may_be_covered_by_notes)
    }

    /// Removes expired accounts, advances the sequence and returns the record to write.
    pub fn next_record(&mut self, now: Instant, unix_ms: u64) -> LedgerRecord {
        self.accounts.retain(|_, account| !account.is_expired(now));
        if self.store_failing_since.is_none() {
            // The record is complete again, so its sequence has to be above those that notes may
            // cover.
            self.sequence = self.sequence.max(self.proposed_sequence);
        }
        self.sequence += 1;
        let charged = self
            .accounts
            .iter()
            .map(|(program, account)| (program.clone(), account.tokens_to_record()));
        // The write may time out and still succeed later, when there are already charges that its
        // record lacks.
        let possibly_incomplete_for = match self.store_failing_since {
            Some(_) => self.idle_max + RETENTION_MARGIN,
            None => self.possibly_incomplete_until.saturating_duration_since(now),
        };
        LedgerRecord {
            writer: self.writer.clone(),
            sequence: self.sequence,
            written_at_ms: unix_ms,
            possibly_incomplete_for_ms: possibly_incomplete_for.as_millis() as u64,
            charged: charged.collect(),
        }
    }

    /// Called when a record has been written to the store.
    pub fn on_write_succeeded(&mut self, now: Instant, record: &LedgerRecord) {
        match &mut self.replication {
            // The record stays marked as possibly incomplete until the replication has ended and no
            // standby can be promoted.
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
        self.is_record_marked_incomplete = self.store_failing_since.take().is_some();
        self.next_replication_at = None;
    }

    /// Called when a write to the store failed. `began` is when the attempt began.
    pub fn on_write_failed(&mut self, began: Instant) {
        self.store_failing_since.get_or_insert(began);
    }

    /// Returns whether writes to the store have failed for at least `STORE_UNAVAILABLE_AFTER`.
    pub fn is_store_unavailable(&self, now: Instant) -> bool {
        self.store_failing_since
            .is_some_and(|since| now.duration_since(since) >= STORE_UNAVAILABLE_AFTER)
    }

    /// Returns whether accounts created now count as possibly incomplete.
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

    /// Merges the record that another host has written since this ledger's last write. Charges of
    /// this host that are in no record remain charged. `notes` are this host's own.
    pub fn merge(&mut self, now: Instant, record: &LedgerRecord, notes: OutageNotes) {
        let is_promoted_from_writer = self.is_promoted_from(&record.writer);
        // Only the first-ranked host, or a standby promoted from it, grants overdrafts. Their
        // accounts include these charges.
        let possibly_incomplete_for = match notes::may_lack_charges(&[notes], record) {
            _ if self.is_first_ranked || is_promoted_from_writer => Duration::ZERO,
            Some(true) => self.idle_max + RETENTION_MARGIN,
            _ => Duration::from_millis(record.possibly_incomplete_for_ms),
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
