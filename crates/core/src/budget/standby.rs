//! Replication of a ledger to a standby while the store is unavailable.
//!
//! Load pattern: the store is unavailable for some seconds, and the owner of a ledger is lost in
//! that time. Its charges are in no record, so without a replica all its programs would wait for
//! the store.
//!
//! Once all ledger hosts of a ledger have acknowledged that charges may exceed its record, the
//! owner replicates its accounts to one of them, the standby. It then grants a turn only after the
//! standby has received the charge. A third ledger host, the witness, votes either for the
//! promotion of the standby or for the owner to continue alone, whichever is requested first, and
//! never for both. So only one host grants at any time. Both stay within the limits given by the
//! outage notes, so the loss of all replicas has the same result as without replication.

use {
    super::{Account, AccountReplica, Ledger, LedgerPosition},
    crate::ids::{Incarnation, ProgramId},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

/// Maximum age of a replica since its last update. Must be shorter than the time for which a host
/// that takes over a possibly incomplete ledger excludes the charges that a standby may grant.
const REPLICA_MAX_AGE: Duration = Duration::from_secs(30);
/// Delay before an owner that continued alone replicates its ledger again. After one late message
/// the ledger must not stay without a standby for the whole outage, but an unreachable standby must
/// not delay every turn.
const REPLICATION_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of accounts in one update, about 200 kB.
const UPDATE_ACCOUNTS_MAX: usize = 2000;

/// Identifies one replication of a ledger to a standby.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ReplicationId {
    /// The owner and its incarnation, as in the records that it writes.
    pub writer: String,
    /// Sequence number of the replication among those of this writer.
    pub generation: u64,
    /// The last write beyond which the owner could overdraw when the replication began, as
    /// acknowledged by all ledger hosts.
    #[serde(rename = "noted_sequence")]
    pub acknowledged_sequence: u64,
}

impl ReplicationId {
    /// Returns whether this replication began after `other`. Replications of different writers
    /// can't be ordered; this one then counts as the later one.
    pub fn is_later_than(&self, other: &Self) -> bool {
        self.writer != other.writer || self.generation > other.generation
    }
}

/// Accounts that changed since the last update sent to the standby.
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
    pub failing_for: Duration,
    /// How much longer the owner opens accounts as possibly incomplete.
    #[serde(rename = "doubtful_for")]
    pub possibly_incomplete_for: Duration,
    /// Idle time of programs that have not set one.
    pub idle_max: Duration,
    /// Current state of the changed accounts.
    pub accounts: Vec<(ProgramId, AccountReplica)>,
}

/// State of the replication at the owner.
#[derive(Debug)]
pub(super) struct Replication {
    id: ReplicationId,
    number: u64,
    /// Accounts that changed and have not been sent.
    unsent: BTreeSet<ProgramId>,
    /// Accounts in the update that is in flight.
    sent: BTreeSet<ProgramId>,
    /// Time of the first write that the store accepted after the outage.
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
    /// Begins a replication if charges may exceed the record and no replication ended just before.
    /// Returns whether one has begun.
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

    /// Records that the standby has acknowledged the last update.
    pub fn on_update_acked(&mut self) {
        if let Some(replication) = &mut self.replication {
            replication.sent.clear();
        }
    }

    /// Records that the standby may not have received the last update.
    pub fn on_update_lost(&mut self) {
        if let Some(replication) = &mut self.replication {
            let lost = std::mem::take(&mut replication.sent);
            replication.unsent.extend(lost);
        }
    }

    /// Returns since when the replication is to be ended because the store accepts writes again.
    pub fn replication_ending_since(&self) -> Option<Instant> {
        self.replication.as_ref()?.store_recovered_since
    }

    /// Ends the replication. No standby can be promoted from it afterwards.
    pub fn end_replication(&mut self, now: Instant) {
        self.next_replication_at = Some(now + REPLICATION_RETRY_DELAY);
        if let Some(Replication { store_recovered_since: Some(_), .. }) = self.replication.take() {
            self.on_store_recovered();
        }
    }

    /// Creates the ledger of a standby that is promoted to owner.
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

    /// Returns whether this ledger was promoted from a replica of the writer's ledger.
    pub fn is_promoted_from(&self, writer: &str) -> bool {
        self.promoted_from.as_deref() == Some(writer)
    }
}

/// The replica of a ledger at its standby.
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
    /// Creates a replica from its first update. Returns `None` if the update is not the first one.
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

    /// Applies an update. Returns false and ignores the update if it belongs to another replication
    /// or is older than the last one applied.
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

/// The witness of a ledger. Its state is in memory only: after a restart it grants no vote for
/// replications that may have begun before the restart.
#[derive(Debug, Default)]
pub struct Witness {
    /// The first outage note of the current writer that this process stored.
    first_note: Option<LedgerPosition>,
    granted_vote: Option<(ReplicationId, VoteOption)>,
}

impl Witness {
    /// Records that this process has stored a note that no earlier process of this host had stored.
    pub fn record_note(&mut self, position: &LedgerPosition) {
        if self.first_note.as_ref().is_none_or(|first| first.writer != position.writer) {
            self.first_note = Some(position.clone());
        }
    }

    /// Decides on a request for a vote. The witness grants only one option per replication, also
    /// when the request is repeated, and none for a replication older than the last one it voted
    /// on.
    pub fn grant_vote(&mut self, replication: &ReplicationId, option: VoteOption) -> bool {
        let has_note_before = |first: &LedgerPosition| {
            first.writer == replication.writer
                && first.sequence <= replication.acknowledged_sequence
        };
        if !self.first_note.as_ref().is_some_and(has_note_before) {
            return false;
        }
        match &self.granted_vote {
            Some((granted_replication, granted_option)) if granted_replication == replication => {
                *granted_option == option
            }
            Some((granted_replication, _)) if !replication.is_later_than(granted_replication) => {
                false
            }
            _ => {
                self.granted_vote = Some((replication.clone(), option));
                true
            }
        }
    }
}

#[cfg(test)]
mod tests;
