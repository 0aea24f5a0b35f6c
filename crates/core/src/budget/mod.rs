//! Token budgets of programs, enforced across all hosts and restarts.
//!
//! Every program has one account, which belongs to a ledger owned by one host. Each ledger has
//! three ledger hosts, in a ranked order. The first-ranked one normally owns the ledger, and the
//! others replace it if it is lost. The ledger's record is an object in the platform's store and is
//! only replaced by a conditional write, which fails if another host has replaced it. A turn is
//! charged its maximum number of tokens before it starts. When it is settled at its end, the tokens
//! that it did not use are free again.
//!
//! The record of an account includes a reservation beyond its charges, so that most turns do not
//! wait for a write. Every turn is covered by a stored reservation before it starts. A successor
//! cannot know how much of it the former owner has used, so it counts the reservation as uncertain.
//! A program may exceed its budget by one turn: this is used once, for the uncertain tokens of all
//! former owners together. So the bound holds over any number of owners, one after the other and at
//! the same time, and depends neither on clocks nor on which hosts are believed to be alive.
//!
//! While the store is unavailable, the owner grants an **overdraft**: up to half of the budget beyond
//! what the record reserves. It does so only once a majority of the ledger's hosts has stored an
//! [outage note](OutageNotes). A successor that learns of such a note, or cannot learn that there is
//! none, counts the overdraft as uncertain too. An owner grants no overdraft to a program that may have
//! got one of a former owner, so all owners that are lost in series count as one.
//!
//! A program whose budget is certainly spent is told so. One whose budget may be spent, because of
//! uncertain tokens, is refused as if the store were unavailable.

mod account;
mod notes;
mod standby;

#[cfg(test)]
mod tests;

pub use {
    account::{AccountReplica, RecordedAccount},
    notes::{
        FIRST_EPOCH, FenceReply, LedgerPosition, NoteHost, OutageNotes, is_epoch_fenced, is_fenced,
        may_lack_overdraft,
    },
    standby::{
        LedgerReplica, ReplicaStatus, ReplicaUpdate, ReplicationId, Standby, VoteOption, Witness,
    },
};

use {
    crate::{
        durations,
        ids::{Epoch, ProgramId},
    },
    account::{Account, ChargeTerms, Reserving, duration_of_ms},
    standby::Replication,
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Number of tokens that the model generates.
pub type TokenCount = u64;

/// Id of one turn, unique among all turns of all hosts. Messages about a turn may be repeated.
pub type TurnId = u64;

/// How long writes must have been failing before the store counts as unavailable. This must exceed
/// the duration of a slow call, so that a slow call does not count as an outage.
const STORE_UNAVAILABLE_AFTER: Duration = Duration::from_millis(300);
/// Number of writes that an outage note covers in advance: about ten seconds of failing writes.
/// While the note covers the next write, no ledger host has to be queried again, and losing a
/// ledger host delays no turn.
const NOTE_LOOKAHEAD_WRITES: u64 = 12;
/// Number of writes after which an owner reserves tokens for the next turns of each program. Hosts
/// that take a ledger from each other in turn reserve nothing, because each change of the owner
/// makes the reservations uncertain.
const WRITES_BEFORE_RESERVATIONS: u64 = 3;
/// Idle time of programs that is assumed where a record names none.
const IDLE_MAX_DEFAULT: Duration = Duration::from_secs(60);
/// How long an owner that can reach the store grants turns after the store has accepted a record of
/// its. Shorter than [`RETENTION_MARGIN`]: a successor keeps the account of a program for long enough
/// that seems to be idle while a superseded owner serves it.
const CONFIRMED_FOR: Duration = Duration::from_secs(5);
/// Time for which accounts are kept after the programs' idle time has passed.
const RETENTION_MARGIN: Duration = Duration::from_secs(10);

/// A request to charge one turn.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Charge {
    /// The program that the turn belongs to.
    pub program: ProgramId,
    /// The turn. A repeated request for the same turn is charged once.
    pub turn: TurnId,
    /// Maximum tokens of all turns of the program.
    pub budget: TokenCount,
    /// Maximum tokens of this turn.
    pub turn_max: TokenCount,
    /// How long the program may be idle and still resume.
    #[serde(deserialize_with = "durations::bounded")]
    pub idle_max: Duration,
    /// The longest such time of any program that the charging host knows. Zero in charges of hosts
    /// that do not say.
    #[serde(default, deserialize_with = "durations::bounded")]
    pub longest_idle_max: Duration,
}

impl Charge {
    /// Returns how long any program may be idle and still resume, as far as this charge tells.
    pub fn ledger_idle_max(&self) -> Duration {
        self.idle_max.max(self.longest_idle_max)
    }
}

/// The end of a turn that was charged.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Settlement {
    /// The program that the turn belongs to.
    pub program: ProgramId,
    /// The turn. A repeated settlement has no effect.
    pub turn: TurnId,
    /// Tokens that the caller got.
    pub used: TokenCount,
}

/// State of a ledger as found by the host that takes it over.
#[derive(Clone, Debug)]
pub struct TakeoverInputs<'a> {
    /// The ledger's stored record, if there is one that can be decoded.
    pub record: Option<&'a LedgerRecord>,
    /// Whether the record's writer may have granted an overdraft since.
    pub may_lack_overdraft: bool,
    /// The hosts that store outage notes for the new owner.
    pub note_hosts: Vec<NoteHost>,
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
    /// The remaining budget may be too small: lost owners may have granted turns that are in no
    /// record.
    PossiblySpent,
    /// The turn was settled before this request arrived.
    Cancelled,
    /// The turn may start after the next write of the ledger; the caller has to retry then.
    WriteRequired,
}

/// The stored record of a ledger.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LedgerRecord {
    /// The host and incarnation that wrote the record, as `host@incarnation`.
    pub writer: String,
    /// Counts the owners of the ledger. A successor writes a record with a higher epoch before it
    /// grants anything.
    #[serde(default)]
    pub epoch: Epoch,
    /// Sequence number of the write within the epoch.
    pub sequence: u64,
    /// Wall clock time of the write, in milliseconds since 1970. Only for operators.
    pub written_at_ms: u64,
    /// The hosts that store outage notes for the writer.
    #[serde(default)]
    pub note_hosts: Vec<NoteHost>,
    /// Number of former owners that may have granted an overdraft to programs that are not listed.
    #[serde(default)]
    pub lost_overdrafts: u64,
    /// How long after this write that applies, in milliseconds.
    #[serde(default)]
    pub lost_overdrafts_for_ms: u64,
    /// Whether the writer grants no overdraft to a program that may have got one of a former owner.
    /// Builds before this field granted one each.
    #[serde(default)]
    pub grants_overdraft_once: bool,
    /// How long programs may be idle and still resume, in milliseconds: that of the accounts that name
    /// no time of their own, and no less than that of any program. Zero in records of builds before
    /// this field.
    #[serde(default)]
    pub idle_max_ms: u64,
    /// The accounts by program.
    #[serde(default)]
    pub accounts: BTreeMap<ProgramId, RecordedAccount>,
    /// Charged tokens by program, in records of version 0.1.0 before 2026-12-04. Not written any
    /// more.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub charged: BTreeMap<ProgramId, TokenCount>,
}

impl LedgerRecord {
    /// Returns the position of this write.
    pub fn position(&self) -> LedgerPosition {
        LedgerPosition { epoch: self.epoch, sequence: self.sequence }
    }
}

/// The accounts of one partition of the programs, at the host that owns them.
#[derive(Debug)]
pub struct Ledger {
    writer: String,
    /// Epoch of the records that this owner writes. Invariant: before its first record is stored,
    /// the owner grants no turn.
    epoch: Epoch,
    note_hosts: Vec<NoteHost>,
    sequence: u64,
    /// Number of records stored in this epoch.
    stored_count: u64,
    accounts: HashMap<ProgramId, Account>,
    /// The longest time for which a program may be idle and still resume, as far as this owner and the
    /// former ones know. Never decreases.
    idle_max: Duration,
    /// Number of former owners that may have granted an overdraft to programs without an account.
    lost_overdrafts: u64,
    /// Time until which that applies. Programs can't resume after it.
    lost_overdrafts_until: Instant,
    /// Set until a write succeeds.
    store_failing_since: Option<Instant>,
    /// Whether the store has answered a read since the last failure.
    is_store_reached: bool,
    /// When the last record was built.
    built_at: Instant,
    /// When the last record was built that the store has accepted. No other owner had taken the ledger
    /// over by then.
    confirmed_at: Instant,
    /// Whether a turn waits until the store has confirmed the ownership.
    must_confirm: bool,
    /// Sequence of the last write that this owner has asked the note hosts to note.
    proposed_sequence: u64,
    /// Sequence of the last write that a majority of the note hosts has noted. Invariant: at most
    /// `proposed_sequence`.
    noted_sequence: u64,
    /// The replication to a standby, if one is in progress. No record is written meanwhile.
    replication: Option<Replication>,
    replication_generation: u64,
    /// Earliest start of the next replication in this outage, set when one has ended.
    next_replication_at: Option<Instant>,
    /// The former owner, if this ledger was promoted from its replica and has stored no record yet.
    /// Until the promoted owner claims the ledger, it acts in the epoch of the former one.
    promoted_from: Option<String>,
    /// Set while the ledger is being released: the sequence of the last record that was built
    /// before. Later ones reserve nothing and have no note hosts, so that a successor loses nothing.
    releasing_after: Option<u64>,
}

impl Ledger {
    /// Creates the ledger of a host that takes it over. `idle_max` is the longest time for which a
    /// program may be idle and still resume, as far as this host knows. It does not limit what the
    /// record says of its accounts: the charge that has caused the takeover may be of another route.
    pub fn take_over(
        now: Instant,
        writer: String,
        inputs: TakeoverInputs<'_>,
        idle_max: Duration,
    ) -> Self {
        let recorded = inputs.record.and_then(|record| duration_of_ms(record.idle_max_ms));
        let idle_max = idle_max.max(recorded.unwrap_or(IDLE_MAX_DEFAULT));
        let TakeoverInputs { record, may_lack_overdraft, note_hosts } = inputs;
        let grants_once = record.is_some_and(|record| record.grants_overdraft_once);
        let lost_overdrafts = |former: u64| match (may_lack_overdraft, grants_once) {
            (false, _) => former,
            // The writer granted an overdraft only where no former owner may have.
            (true, true) => former.max(1),
            (true, false) => former + 1,
        };
        let mut ledger = Self { note_hosts, ..Self::empty(now, writer, idle_max) };
        let (former_epoch, former_lost_overdrafts, former_for_ms) = record
            .map_or((0, 0, 0), |record| {
                (record.epoch, record.lost_overdrafts, record.lost_overdrafts_for_ms)
            });
        ledger.epoch = former_epoch + 1;
        let lost_for = match may_lack_overdraft {
            true => idle_max + RETENTION_MARGIN,
            false => Duration::from_millis(former_for_ms),
        };
        if !lost_for.is_zero() {
            ledger.lost_overdrafts = lost_overdrafts(former_lost_overdrafts);
            ledger.lost_overdrafts_until = now + lost_for;
        }
        let Some(record) = record else { return ledger };
        for (program, &settled) in &record.charged {
            let recorded = RecordedAccount { settled, ..RecordedAccount::default() };
            let account = Account::from_record(now, &recorded, idle_max, lost_overdrafts);
            ledger.accounts.insert(program.clone(), account);
        }
        for (program, recorded) in &record.accounts {
            let account = Account::from_record(now, recorded, idle_max, lost_overdrafts);
            ledger.accounts.insert(program.clone(), account);
        }
        ledger
    }

    fn empty(now: Instant, writer: String, idle_max: Duration) -> Self {
        Self {
            writer,
            epoch: FIRST_EPOCH,
            note_hosts: Vec::new(),
            sequence: 0,
            stored_count: 0,
            accounts: HashMap::new(),
            idle_max,
            lost_overdrafts: 0,
            lost_overdrafts_until: now,
            store_failing_since: None,
            is_store_reached: false,
            built_at: now,
            confirmed_at: now,
            must_confirm: false,
            proposed_sequence: 0,
            noted_sequence: 0,
            replication: None,
            replication_generation: 0,
            next_replication_at: None,
            promoted_from: None,
            releasing_after: None,
        }
    }

    /// Charges a turn its maximum tokens, if the budget and the record allow it.
    pub fn charge(&mut self, now: Instant, charge: &Charge) -> ChargeOutcome {
        if self.is_releasing() {
            return ChargeOutcome::WriteRequired;
        }
        let is_overdraft_allowed = self.is_overdraft_allowed(now);
        let lost_overdrafts = match self.has_lost_overdrafts(now) {
            true => self.lost_overdrafts,
            false => 0,
        };
        self.idle_max = self.idle_max.max(charge.ledger_idle_max());
        let open_account = || Account::new(now, lost_overdrafts);
        let account = self.accounts.entry(charge.program.clone()).or_insert_with(open_account);
        let is_confirmed = self.store_failing_since.is_some()
            || now.saturating_duration_since(self.confirmed_at) < CONFIRMED_FOR;
        let terms = ChargeTerms { is_overdraft_allowed, is_confirmed, sequence: self.sequence };
        let outcome = account.charge(now, charge, terms);
        self.must_confirm |= outcome == ChargeOutcome::WriteRequired && !is_confirmed;
        if let (ChargeOutcome::Granted { .. }, Some(replication)) = (outcome, &mut self.replication)
        {
            replication.mark_changed(&charge.program);
        }
        outcome
    }

    /// Returns whether turns may be granted beyond the record: the store is unavailable, and a
    /// successor would learn of it from the outage notes.
    fn is_overdraft_allowed(&self, now: Instant) -> bool {
        self.is_outage_noted() && self.is_store_unavailable(now)
    }

    /// Returns whether a majority of the note hosts has noted that the last write may be
    /// incomplete, in this epoch. A late write that is not covered would look complete to a successor.
    pub fn is_outage_noted(&self) -> bool {
        0 < self.sequence && self.sequence <= self.noted_sequence
    }

    /// Returns the position that the note hosts have to note before an overdraft is granted. It
    /// also covers the next `NOTE_LOOKAHEAD_WRITES` writes, which may begin at any time. Returns
    /// `None` if this owner can't grant an overdraft.
    pub fn propose_outage_position(&mut self) -> Option<LedgerPosition> {
        if self.stored_count == 0 || self.note_hosts.is_empty() {
            return None;
        }
        if self.proposed_sequence <= self.sequence {
            self.proposed_sequence = self.sequence + NOTE_LOOKAHEAD_WRITES;
        }
        Some(LedgerPosition { epoch: self.epoch, sequence: self.proposed_sequence })
    }

    /// Called with the hosts that have noted a position. Returns whether they are a majority.
    pub fn on_outage_noted(&mut self, position: LedgerPosition, by: &[NoteHost]) -> bool {
        let count = self.note_hosts.iter().filter(|note_host| by.contains(note_host)).count();
        let is_majority =
            position.epoch == self.epoch && count >= notes::note_quorum(&self.note_hosts);
        if is_majority {
            self.noted_sequence = self.noted_sequence.max(position.sequence);
        }
        is_majority
    }

    /// Returns the hosts that store outage notes for this owner.
    pub fn note_hosts(&self) -> &[NoteHost] {
        &self.note_hosts
    }

    /// Returns the epoch of the records that this owner writes.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Begins another epoch of the same owner, with other note hosts. Overdrafts are not possible
    /// before its first record is stored. Returns false, and changes nothing, while the outcome of
    /// a write is unknown.
    pub fn renew(&mut self, note_hosts: Vec<NoteHost>) -> bool {
        let can_renew = self.can_renew();
        if can_renew {
            self.begin_epoch(self.epoch + 1, note_hosts);
        }
        can_renew
    }

    /// Returns whether another epoch of the same owner may begin.
    pub fn can_renew(&self) -> bool {
        self.store_failing_since.is_none() && self.stored_count > 0
    }

    fn begin_epoch(&mut self, epoch: Epoch, note_hosts: Vec<NoteHost>) {
        self.epoch = epoch;
        self.note_hosts = note_hosts;
        self.stored_count = 0;
        self.noted_sequence = 0;
    }

    /// Settles a turn: frees the tokens that it did not use.
    pub fn settle(&mut self, now: Instant, settlement: &Settlement) {
        let Settlement { program, turn, used } = settlement;
        if let Some(account) = self.accounts.get_mut(program) {
            account.settle(now, *turn, *used, self.sequence);
            if let Some(replication) = &mut self.replication {
                replication.mark_changed(program);
            }
        }
    }

    /// Returns whether a settlement is in the stored record, or has no effect on it.
    pub fn is_settlement_stored(&self, settlement: &Settlement) -> bool {
        let account = self.accounts.get(&settlement.program);
        account.is_none_or(|account| account.is_settlement_stored(settlement.turn))
    }

    /// Returns whether a turn was settled at this owner.
    #[cfg(test)]
    fn is_settled(&self, program: &str, turn: TurnId) -> bool {
        self.accounts.get(program).is_some_and(|account| account.is_settled(turn))
    }

    /// Returns whether the record should be written: turns may soon have to wait for it, or a write
    /// has to check whether the store is available again.
    pub fn needs_write(&self) -> bool {
        let reserving =
            if self.reserves_turns() { Reserving::NextTurns } else { Reserving::WaitingTurns };
        self.store_failing_since.is_some()
            || self.must_confirm
            || self.should_rewrite_record()
            || self.is_releasing()
            || self.replication.is_some()
            || self.promoted_from.is_some()
            || self.accounts.values().any(|account| account.needs_write(reserving))
    }

    /// Returns whether a successor would count an overdraft as granted although the stored record
    /// lacks none. Such a record should be replaced at once.
    pub fn should_rewrite_record(&self) -> bool {
        let may_be_noted = 0 < self.sequence && self.sequence <= self.proposed_sequence;
        self.store_failing_since.is_none() && may_be_noted
    }

    /// Begins to release the ledger to a successor: nothing is granted any more, and the next record
    /// reserves nothing. Returns false if records can't be written at present.
    pub fn begin_release(&mut self) -> bool {
        if self.store_failing_since.is_none() && self.stored_count > 0 {
            self.releasing_after.get_or_insert(self.sequence);
        }
        self.is_releasing()
    }

    /// Returns whether the ledger is being released.
    pub fn is_releasing(&self) -> bool {
        self.releasing_after.is_some()
    }

    /// Returns whether the ledger is released once a record is stored.
    pub fn is_released_by(&self, record: &LedgerRecord) -> bool {
        self.releasing_after.is_some_and(|after| record.sequence > after)
    }

    fn reserves_turns(&self) -> bool {
        self.stored_count >= WRITES_BEFORE_RESERVATIONS
    }

    /// Removes expired accounts, advances the sequence and returns the record to write. Returns
    /// `None` if the stored record has to be read instead: while the ledger is replicated, because a
    /// standby that is promoted would not know what a late record reserves, and before a promoted
    /// owner has claimed the ledger.
    pub fn next_record(&mut self, now: Instant, unix_ms: u64) -> Option<LedgerRecord> {
        if self.replication.is_some() || self.must_claim() {
            return None;
        }
        self.accounts.retain(|_, account| !account.is_expired(now));
        if self.store_failing_since.is_none() {
            // The record is complete again, so its sequence has to be above those that are noted.
            self.sequence = self.sequence.max(self.proposed_sequence);
        }
        self.sequence += 1;
        self.built_at = now;
        let (reserving, note_hosts) = match (self.is_releasing(), self.reserves_turns()) {
            // A released owner grants no overdraft.
            (true, _) => (Reserving::Nothing, Vec::new()),
            (false, false) => (Reserving::WaitingTurns, self.note_hosts.clone()),
            (false, true) => (Reserving::NextTurns, self.note_hosts.clone()),
        };
        let (sequence, idle_max) = (self.sequence, self.idle_max);
        let accounts = self.accounts.iter_mut().map(|(program, account)| {
            (program.clone(), account.build_record(sequence, reserving, idle_max))
        });
        let lost_for = self.lost_overdrafts_until.saturating_duration_since(now);
        Some(LedgerRecord {
            writer: self.writer.clone(),
            epoch: self.epoch,
            sequence,
            written_at_ms: unix_ms,
            note_hosts,
            lost_overdrafts: if lost_for.is_zero() { 0 } else { self.lost_overdrafts },
            lost_overdrafts_for_ms: lost_for.as_millis() as u64,
            grants_overdraft_once: true,
            idle_max_ms: idle_max.as_millis() as u64,
            accounts: accounts.collect(),
            charged: BTreeMap::new(),
        })
    }

    /// Called when a record of this owner was found to be stored.
    ///
    /// Records that were built earlier or for another epoch can't be stored any more.
    pub fn on_write_succeeded(&mut self, now: Instant, record: &LedgerRecord) {
        self.on_store_reached(now);
        self.confirmed_at = self.built_at;
        self.must_confirm = false;
        self.store_failing_since = None;
        self.next_replication_at = None;
        self.promoted_from = None;
        // Another epoch may have begun during the write.
        self.stored_count += u64::from(record.epoch == self.epoch);
        for program in record.accounts.keys() {
            if let Some(account) = self.accounts.get_mut(program) {
                account.on_stored(record.sequence);
            }
        }
    }

    /// Called when the record could not be read. `began` is when the attempt began. Like a failed
    /// write it advances the sequence, so that an overdraft needs new outage notes after some time.
    /// A successor that has fenced this epoch prevents them.
    pub fn on_read_failed(&mut self, began: Instant) {
        self.store_failing_since.get_or_insert(began);
        self.is_store_reached = false;
        self.sequence += 1;
    }

    /// Called when a write to the store failed. `began` is when the attempt began, and
    /// `may_succeed_late` whether the record may still be stored.
    pub fn on_write_failed(
        &mut self,
        began: Instant,
        record: &LedgerRecord,
        may_succeed_late: bool,
    ) {
        self.store_failing_since.get_or_insert(began);
        self.is_store_reached = false;
        if self.releasing_after.take().is_some() && may_succeed_late {
            // A successor that reads the released record does not ask for overdrafts.
            self.stored_count = 0;
        }
        if !may_succeed_late {
            for program in record.accounts.keys() {
                if let Some(account) = self.accounts.get_mut(program) {
                    account.on_not_stored(record.sequence);
                }
            }
        }
    }

    /// Returns whether the store has been failing for at least `STORE_UNAVAILABLE_AFTER`.
    pub fn is_store_unavailable(&self, now: Instant) -> bool {
        let is_long_enough = |since| now.duration_since(since) >= STORE_UNAVAILABLE_AFTER;
        !self.is_store_reached && self.store_failing_since.is_some_and(is_long_enough)
    }

    /// Called while a former owner may still grant overdrafts to programs without an account here.
    pub fn extend_lost_overdrafts(&mut self, now: Instant) {
        self.lost_overdrafts_until =
            self.lost_overdrafts_until.max(now + self.idle_max + RETENTION_MARGIN);
    }

    /// Returns whether lost owners may have granted overdrafts to programs without an account.
    pub fn has_lost_overdrafts(&self, now: Instant) -> bool {
        now < self.lost_overdrafts_until
    }

    /// Returns the name under which this ledger writes its records.
    pub fn writer(&self) -> &str {
        &self.writer
    }

    /// Returns whether this ledger writes its records under the given writer name.
    pub fn is_writer(&self, writer: &str) -> bool {
        self.writer == writer
    }

    /// Returns whether a record was written by this ledger.
    pub fn is_own(&self, record: &LedgerRecord) -> bool {
        self.is_writer(&record.writer)
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
