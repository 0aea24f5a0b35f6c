//! Replication of a ledger to a standby while the store is unavailable.
//!
//! Load pattern: the store is unavailable for some seconds, and the owner of a ledger is lost in
//! that time. The latest charges are in no record, so without a replica all programs of the ledger
//! would wait for the store.
//!
//! Once the other ledger hosts of a ledger have noted that charges may exceed its record, the owner
//! replicates its accounts to one of them, the standby. It then grants a turn only after the
//! standby has received the charge. A third ledger host, the witness, votes either for the
//! promotion of the standby or for the owner to continue alone, whichever is requested first, and
//! never for both. So only one host grants at any time. An owner that was suspended goes on with the
//! replication where it stopped, however many outages and owners there were meanwhile, and learns from
//! its standby or the witness that it was replaced. Owner and standby stay within the overdraft
//! limit, so losing both is no worse than losing the owner without replication.

use {
    super::{Account, AccountReplica, Ledger, LedgerPosition, NoteHost},
    crate::{
        durations,
        ids::{Epoch, ProgramId},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Maximum age of a replica since its last update. Must be shorter than the time for which a host
/// that takes the ledger over counts an overdraft as granted.
const REPLICA_MAX_AGE: Duration = Duration::from_secs(30);
/// Delay before the owner replicates its ledger again after the witness let it continue without a
/// standby. After one late message the ledger must not stay without a standby for the whole outage,
/// but an unreachable standby must not delay every turn.
pub(super) const REPLICATION_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of accounts in one update, about 200 kB.
const UPDATE_ACCOUNTS_MAX: usize = 2000;

/// Identifies one replication of a ledger to a standby.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ReplicationId {
    /// The owner and its incarnation, as in the records that it writes.
    pub writer: String,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Generation of the replication. Increases with each one that this writer begins.
    pub generation: u64,
    /// The last write covered by outage notes when the replication began.
    pub noted_sequence: u64,
}

impl ReplicationId {
    /// Returns whether this replication replaces `other`. Replications of different writers can't
    /// be ordered, so each of them supersedes the other.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.writer != other.writer || self.generation > other.generation
    }
}

/// An update sent to the standby, with the accounts that changed since the previous one.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ReplicaUpdate {
    /// The replication that this update belongs to.
    #[serde(rename = "copy")]
    pub replication_id: ReplicationId,
    /// Sequence number of the update within the replication, starting from 1.
    pub number: u64,
    /// Whether the standby has all accounts once it has applied this update.
    pub is_complete: bool,
    /// How long the owner's writes to the store have failed.
    #[serde(deserialize_with = "durations::bounded")]
    pub failing_for: Duration,
    /// Sequence of the last record that the owner has built.
    pub sequence: u64,
    /// The hosts that store outage notes for the owner.
    pub note_hosts: Vec<NoteHost>,
    /// Number of former owners that may have granted an overdraft to programs without an account.
    pub lost_overdrafts: u64,
    /// How long that applies.
    #[serde(deserialize_with = "durations::bounded")]
    pub lost_overdrafts_for: Duration,
    /// The longest time for which a program may be idle and still resume.
    #[serde(deserialize_with = "durations::bounded")]
    pub idle_max: Duration,
    /// Current state of the changed accounts.
    pub accounts: Vec<(ProgramId, AccountReplica)>,
}

/// State of the replication at the owner.
#[derive(Debug)]
pub(super) struct Replication {
    id: ReplicationId,
    last_update_number: u64,
    /// Accounts that changed and have not been sent.
    unsent: BTreeSet<ProgramId>,
    /// Accounts in the update that is in flight.
    sent: BTreeSet<ProgramId>,
    /// When the store first answered after the outage.
    store_recovered_at: Option<Instant>,
}

impl Replication {
    pub(super) fn mark_changed(&mut self, program: &str) {
        self.unsent.insert(program.into());
    }
}

impl Ledger {
    /// Begins a replication if charges may exceed the record and the retry delay after the last
    /// replication has passed. Returns whether one has begun.
    pub fn begin_replication(&mut self, now: Instant) -> bool {
        let is_too_soon = self.next_replication_at.is_some_and(|at| now < at);
        if self.stored_count == 0
            || !self.is_outage_noted()
            || !self.is_store_unavailable(now)
            || self.replication.is_some()
            || self.promoted_from.is_some()
            || is_too_soon
        {
            return false;
        }
        self.replication_generation += 1;
        self.replication = Some(Replication {
            id: ReplicationId {
                writer: self.writer.clone(),
                epoch: self.epoch,
                generation: self.replication_generation,
                noted_sequence: self.noted_sequence,
            },
            last_update_number: 0,
            unsent: self.accounts.keys().cloned().collect(),
            sent: BTreeSet::new(),
            store_recovered_at: None,
        });
        true
    }

    /// Returns the id of the replication in progress.
    pub fn replication(&self) -> Option<&ReplicationId> {
        self.replication.as_ref().map(|replication| &replication.id)
    }

    /// Returns whether the standby has the current state of an account. Also returns true if no
    /// replication is in progress.
    pub fn is_replicated(&self, program: &str) -> bool {
        self.replication.as_ref().is_none_or(|replication| {
            !replication.unsent.contains(program) && !replication.sent.contains(program)
        })
    }

    /// Returns the next update for the standby, if there are unsent changes and no update is in
    /// flight.
    pub fn next_update(&mut self, now: Instant) -> Option<ReplicaUpdate> {
        let lost_overdrafts_for = self.lost_overdrafts_until.saturating_duration_since(now);
        let failing_for = self
            .store_failing_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let replication =
            self.replication.as_mut().filter(|replication| replication.sent.is_empty())?;
        if replication.unsent.is_empty() && replication.last_update_number > 0 {
            return None;
        }
        let mut sent = std::mem::take(&mut replication.unsent);
        if let Some(first_remaining) = sent.iter().nth(UPDATE_ACCOUNTS_MAX).cloned() {
            replication.unsent = sent.split_off(&first_remaining);
        }
        replication.last_update_number += 1;
        let accounts = sent.iter().filter_map(|program| {
            let account = self.accounts.get(program)?;
            Some((program.clone(), account.to_replica()))
        });
        let update = ReplicaUpdate {
            replication_id: replication.id.clone(),
            number: replication.last_update_number,
            is_complete: replication.unsent.is_empty(),
            failing_for,
            sequence: self.sequence,
            note_hosts: self.note_hosts.clone(),
            lost_overdrafts: self.lost_overdrafts,
            lost_overdrafts_for,
            idle_max: self.idle_max,
            accounts: accounts.collect(),
        };
        replication.sent = sent;
        Some(update)
    }

    /// Called when the standby has acknowledged the last update.
    pub fn on_update_acknowledged(&mut self) {
        if let Some(replication) = &mut self.replication {
            replication.sent.clear();
        }
    }

    /// Called when the standby may not have received the last update.
    pub fn on_update_unacknowledged(&mut self) {
        if let Some(replication) = &mut self.replication {
            let lost = std::mem::take(&mut replication.sent);
            replication.unsent.extend(lost);
        }
    }

    /// Called when the store answers again. A replication has to be ended then.
    pub fn on_store_reached(&mut self, now: Instant) {
        self.is_store_reached = true;
        if let Some(replication) = &mut self.replication {
            replication.store_recovered_at.get_or_insert(now);
        }
    }

    /// Returns when the store recovered, if it has. The replication has to be ended then.
    pub fn replication_ending_since(&self) -> Option<Instant> {
        self.replication.as_ref()?.store_recovered_at
    }

    /// Ends the replication. No standby can be promoted from it afterwards.
    pub fn end_replication(&mut self, now: Instant) {
        self.next_replication_at = Some(now + REPLICATION_RETRY_DELAY);
        self.replication = None;
    }

    /// Creates the ledger of a standby that is promoted to owner.
    pub fn promote(now: Instant, writer: String, replica: LedgerReplica) -> Self {
        let accounts = replica.accounts.into_iter();
        let accounts: HashMap<ProgramId, Account> = accounts
            .map(|(program, account)| (program, Account::from_replica(now, account)))
            .collect();
        Self {
            accounts,
            // Continues the owner's epoch and numbers, to which its notes and accounts refer.
            epoch: replica.id.epoch,
            sequence: replica.sequence,
            proposed_sequence: replica.id.noted_sequence,
            noted_sequence: replica.id.noted_sequence,
            note_hosts: replica.note_hosts,
            stored_count: 1,
            lost_overdrafts: replica.lost_overdrafts,
            lost_overdrafts_until: replica.lost_overdrafts_until,
            store_failing_since: replica.store_failing_since,
            promoted_from: Some(replica.id.writer),
            ..Self::empty(now, writer, replica.idle_max)
        }
    }

    /// Called before a promoted owner writes its first record, once it has read the record of the
    /// former owner and has fenced its epoch.
    pub fn claim(&mut self, former_epoch: Epoch, note_hosts: Vec<NoteHost>) {
        self.begin_epoch(former_epoch + 1, note_hosts);
    }

    /// Returns whether this owner was promoted and has not claimed the ledger yet.
    pub fn must_claim(&self) -> bool {
        self.promoted_from.is_some() && self.stored_count > 0
    }

    /// Returns whether this ledger was promoted from a replica of the writer's ledger.
    pub fn is_promoted_from(&self, writer: &str) -> bool {
        self.promoted_from.as_deref() == Some(writer)
    }
}

/// The replica of a ledger at its standby.
#[derive(Debug)]
pub struct LedgerReplica {
    id: ReplicationId,
    last_update_number: u64,
    is_complete: bool,
    updated_at: Instant,
    store_failing_since: Option<Instant>,
    sequence: u64,
    note_hosts: Vec<NoteHost>,
    lost_overdrafts: u64,
    lost_overdrafts_until: Instant,
    idle_max: Duration,
    accounts: BTreeMap<ProgramId, AccountReplica>,
}

impl LedgerReplica {
    /// Creates a replica from its first update. Returns `None` if the update is not the first one.
    pub fn begin(now: Instant, update: ReplicaUpdate) -> Option<Self> {
        let mut replica = Self {
            id: update.replication_id.clone(),
            last_update_number: 0,
            is_complete: false,
            updated_at: now,
            store_failing_since: None,
            sequence: update.sequence,
            note_hosts: update.note_hosts.clone(),
            lost_overdrafts: update.lost_overdrafts,
            lost_overdrafts_until: now,
            idle_max: update.idle_max,
            accounts: BTreeMap::new(),
        };
        (update.number == 1 && replica.apply(now, update)).then_some(replica)
    }

    /// Applies an update. Returns false and ignores the update if it belongs to another replication
    /// or is older than the last one applied.
    pub fn apply(&mut self, now: Instant, update: ReplicaUpdate) -> bool {
        if update.replication_id != self.id || update.number <= self.last_update_number {
            return false;
        }
        self.last_update_number = update.number;
        self.updated_at = now;
        self.is_complete |= update.is_complete;
        self.store_failing_since = now.checked_sub(update.failing_for);
        self.sequence = update.sequence;
        self.lost_overdrafts = update.lost_overdrafts;
        self.lost_overdrafts_until = now + update.lost_overdrafts_for;
        self.accounts.extend(update.accounts);
        true
    }

    /// Returns the id of the replication that the replica belongs to.
    pub fn id(&self) -> &ReplicationId {
        &self.id
    }

    /// Returns whether a standby may be promoted with this replica: it is complete and recent
    /// enough.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_complete && now.saturating_duration_since(self.updated_at) < REPLICA_MAX_AGE
    }
}

/// What a standby answers to a message of a replication. The variant names are kept because decision
/// lines print them.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaStatus {
    /// The standby has applied the update.
    Kept,
    /// The standby has dropped the replica without being promoted, and won't be promoted from it.
    NotKept,
    /// The standby was promoted from a replica of this writer's ledger, so the writer no longer owns it.
    StandsIn,
}

/// Number of promotions that a host remembers.
const PROMOTIONS_MAX: usize = 64;

/// State of a host as the standby of one ledger.
///
/// An owner that is told that its replication has ended may grant turns alone. So this host says so only
/// if it knows that it was not promoted from the replication. In all other cases it gives no answer, and
/// the owner has to ask the witness, which votes either for the promotion or for the owner. A host
/// that has lost its memory knows nothing of its promotions, and one that was promoted and has stored a
/// record is an ordinary owner, so neither can be told from what the host owns.
#[derive(Debug, Default)]
pub struct Standby {
    replica: Option<LedgerReplica>,
    last_ended: Option<EndedReplication>,
    /// Writers from whose replicas this host was promoted, oldest first. Invariant: at most
    /// [`PROMOTIONS_MAX`].
    promoted_from: VecDeque<String>,
}

/// A replication that has ended at its standby.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct EndedReplication {
    id: ReplicationId,
    /// Whether the standby had the replica until then, so that it was not promoted from it.
    had_replica: bool,
}

impl Standby {
    /// Returns the replica that this host holds.
    pub fn replica(&self) -> Option<&LedgerReplica> {
        self.replica.as_ref()
    }

    /// Returns the last replication that ended at this host.
    pub fn last_ended(&self) -> Option<&EndedReplication> {
        self.last_ended.as_ref()
    }

    /// Applies an update of an owner. `is_owner` is whether this host owns the ledger. Returns `None` if
    /// the update is outdated, or if this host can't tell whether it was promoted.
    pub fn apply(
        &mut self,
        now: Instant,
        is_owner: bool,
        update: ReplicaUpdate,
    ) -> Option<ReplicaStatus> {
        let id = &update.replication_id;
        if self.was_promoted_from(&id.writer) {
            return Some(ReplicaStatus::StandsIn);
        }
        if is_owner {
            return None;
        }
        if let Some(ended) = &self.last_ended
            && !id.supersedes(&ended.id)
        {
            let has_dropped = ended.id == *id && ended.had_replica;
            return has_dropped.then_some(ReplicaStatus::NotKept);
        }
        match &mut self.replica {
            Some(replica) if replica.id() == id => {
                return replica.apply(now, update).then_some(ReplicaStatus::Kept);
            }
            Some(replica) if !id.supersedes(replica.id()) => return None,
            _ => {}
        }
        let id = id.clone();
        let Some(replica) = LedgerReplica::begin(now, update) else {
            // The first update must not begin a replica if it arrives later: the owner may have
            // ended the replication by then.
            self.last_ended = Some(EndedReplication { id, had_replica: false });
            return None;
        };
        self.replica = Some(replica);
        Some(ReplicaStatus::Kept)
    }

    /// Ends a replication on request of its owner. Returns `None` if this host can't tell whether it was
    /// promoted.
    pub fn end(&mut self, id: ReplicationId) -> Option<ReplicaStatus> {
        if self.was_promoted_from(&id.writer) {
            return Some(ReplicaStatus::StandsIn);
        }
        let has_ended_before = self.last_ended.as_ref().filter(|ended| ended.id == id);
        let had_replica = has_ended_before.is_some_and(|ended| ended.had_replica)
            || self.replica.take_if(|replica| *replica.id() == id).is_some();
        self.last_ended = Some(EndedReplication { id, had_replica });
        had_replica.then_some(ReplicaStatus::NotKept)
    }

    fn was_promoted_from(&self, writer: &str) -> bool {
        self.promoted_from.iter().any(|former| former == writer)
    }

    /// Creates the ledger of this host when the witness has voted for its promotion. Returns `None` if
    /// it does not hold the replica any more.
    pub fn promote(&mut self, now: Instant, id: &ReplicationId, writer: String) -> Option<Ledger> {
        let replica = self.replica.take_if(|replica| replica.id() == id)?;
        if self.promoted_from.len() >= PROMOTIONS_MAX {
            self.promoted_from.pop_front();
        }
        self.promoted_from.push_back(id.writer.clone());
        Some(Ledger::promote(now, writer, replica))
    }
}

/// The options that a witness can vote for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VoteOption {
    /// Promotion of the standby.
    #[serde(rename = "stand_in")]
    PromoteStandby,
    /// The owner continues without the standby.
    #[serde(rename = "go_on")]
    ContinueAlone,
}

/// The witness of a ledger. Its votes are in memory only: after a restart it grants none for
/// replications that may have begun before the restart.
#[derive(Debug, Default)]
pub struct Witness {
    /// The first note that this process stored for the current epoch.
    first_note: Option<LedgerPosition>,
    granted_vote: Option<(ReplicationId, VoteOption)>,
}

impl Witness {
    /// Called after this process has stored a note that was not on disk before.
    pub fn on_note_stored(&mut self, position: LedgerPosition) {
        if self.first_note.is_none_or(|first| first.epoch != position.epoch) {
            self.first_note = Some(position);
        }
    }

    /// Decides on a request for a vote. The witness votes for only one option per replication, even
    /// if the request is repeated, and never for a replication older than the last one it voted on.
    /// Returns whether it votes for `option`.
    pub fn decide_vote(&mut self, replication: &ReplicationId, option: VoteOption) -> bool {
        let is_noted_before_replication = |first: LedgerPosition| {
            first.epoch == replication.epoch && first.sequence <= replication.noted_sequence
        };
        if !self.first_note.is_some_and(is_noted_before_replication) {
            return false;
        }
        match &self.granted_vote {
            Some((granted_replication, granted_option)) if granted_replication == replication => {
                *granted_option == option
            }
            Some((granted_replication, _)) if !replication.supersedes(granted_replication) => false,
            _ => {
                self.granted_vote = Some((replication.clone(), option));
                true
            }
        }
    }
}

#[cfg(test)]
mod tests;
