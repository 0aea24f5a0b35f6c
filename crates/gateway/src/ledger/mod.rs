//! Ledgers of program budgets that this host owns or replicates.
//!
//! Any host may own a ledger, but only its highest-ranked hosts are tried. If two hosts own the
//! same ledger, the conditional writes to the store resolve the conflict. Hosts that serve callers
//! select the owner by rendezvous hashing and prefer hosts without callers. The rules for charges
//! are in `trefoilring_core::budget`.

mod hosts;
mod notes;
mod release;
mod standby;
mod takeover;
mod writing;

pub(crate) use {
    hosts::{LEDGER_HOST_COUNT, RankedHost, ranked_hosts},
    notes::{NOTE_WRITE_WAIT_MAX, fence_here, store_outage_note},
    release::{release, release_all},
    standby::{apply_update as apply_replica_update, decide_vote, end_replication},
    takeover::ownership,
};

use {
    crate::{
        gateway::Gateway,
        peers::{ChargeDecision, SettlementStatus},
        store::{Revision, StoredObject},
        task_count::TaskCount,
        time::within,
    },
    event_listener::Event,
    notes::{NoteProgress, note_outage_if_needed},
    standby::ReplicationState,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    takeover::{Loaded, load},
    trefoilring_core::{
        budget::{Charge, ChargeOutcome, Ledger, LedgerRecord, ReplicationId, Settlement},
        rendezvous::NameHash,
    },
    writing::start_write_if_needed,
};

/// Number of ledger partitions; each program belongs to one. A partition is stored as one object,
/// and an object holds at most one megabyte, or about 30,000 programs. This number must not change
/// while programs run.
pub(crate) const PARTITION_COUNT: usize = 4;
/// Initial pause after a failed request to the store. Doubles up to [`RETRY_PAUSE_MAX`].
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(100);
/// Maximum pause after a failed request to the store.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(800);

/// State of one partition at this host.
#[derive(Default)]
pub(crate) struct Partition {
    /// `None` while this host does not own the ledger.
    ledger: Option<Ledger>,
    /// Revision of the stored record that the ledger is based on.
    revision: Option<Revision>,
    is_loading: bool,
    /// Address of the owner while this host defers to it.
    deferred_to: Option<SocketAddr>,
    /// Whether the last attempt to read the record failed.
    is_read_failing: bool,
    is_writing: bool,
    /// Turns that wait for a write.
    waiting_turns: TaskCount,
    /// When a charge last asked this host, while it did not own the ledger.
    wanted_at: Option<Instant>,
    note_progress: NoteProgress,
    standby: ReplicationState,
    /// Notified when the ledger, its record or its loading state changes.
    changed: Rc<Event>,
}

impl Partition {
    /// Returns the writer name for the records of a ledger that this host takes over now.
    fn writer(&self, gateway: &Gateway) -> String {
        let incarnation = gateway.incarnation + self.standby.dropped_count;
        format!("{}@{incarnation}", gateway.settings.host)
    }

    /// Returns the writer name of the ledger that this host owns.
    fn owned_writer(&self) -> Option<String> {
        self.ledger.as_ref().map(|ledger| ledger.writer().to_string())
    }

    /// Gives up ownership. The charges are at another host or are read again from the stored
    /// record.
    fn drop_ledger(&mut self) {
        self.ledger = None;
        self.revision = None;
        self.standby.dropped_count += 1;
    }

    /// Returns whether the last read of the record failed or writes have been failing for a while.
    fn is_store_unavailable(&self) -> bool {
        let is_unavailable = |ledger: &Ledger| ledger.is_store_unavailable(Instant::now());
        self.is_read_failing || self.ledger.as_ref().is_some_and(is_unavailable)
    }
}

/// Returns the partition that a program belongs to.
pub(crate) fn partition_of(program: &str) -> usize {
    // The weight against a fixed point serves as a hash.
    (NameHash::new(program).weight(NameHash::new("")) % PARTITION_COUNT as u64) as usize
}

/// Outcome of a charge that is not yet final.
enum LocalDecision {
    /// The charge takes effect once the standby has it, if the ledger is being replicated.
    Granted {
        is_new: bool,
        replication: Option<ReplicationId>,
    },
    /// The charge can be decided after the next write of the ledger, or once outage notes are
    /// stored.
    Wait(Rc<Event>),
    Final(ChargeDecision),
}

/// Charges a turn. Returns `Undecided` if the charge can't be decided by the deadline.
pub(crate) async fn charge(
    gateway: &Rc<Gateway>,
    charge: &Charge,
    deadline: Instant,
) -> ChargeDecision {
    let partition = partition_of(&charge.program);
    match load(gateway, partition, charge.ledger_idle_max(), deadline).await {
        Loaded::Owned => {}
        Loaded::Pending => return ChargeDecision::Undecided,
        Loaded::OwnedElsewhere { owner } => return ChargeDecision::OwnedElsewhere { owner },
        Loaded::Unavailable => return ChargeDecision::Unavailable,
    }
    loop {
        match decide_charge(gateway, partition, charge) {
            LocalDecision::Granted { is_new, replication } => {
                start_write_if_needed(gateway, partition);
                let Some(replication) = replication else {
                    return ChargeDecision::Granted { is_new };
                };
                let is_replicated =
                    standby::wait_replicated(gateway, partition, &replication, charge, deadline);
                return match is_replicated.await {
                    true => ChargeDecision::Granted { is_new },
                    false => ChargeDecision::Undecided,
                };
            }
            LocalDecision::Final(decision) => return decision,
            LocalDecision::Wait(changed) => {
                let listener = changed.listen();
                let _waiting = gateway.ledgers.borrow()[partition].waiting_turns.enter();
                start_write_if_needed(gateway, partition);
                if within(deadline, listener).await.is_none() {
                    return ChargeDecision::Undecided;
                }
            }
        }
    }
}

fn decide_charge(gateway: &Rc<Gateway>, partition: usize, charge: &Charge) -> LocalDecision {
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    let Some(ledger) = state.ledger.as_mut() else {
        return LocalDecision::Final(ChargeDecision::Undecided);
    };
    let now = Instant::now();
    let outcome = ledger.charge(now, charge);
    standby::begin_replication(gateway, partition, ledger, &state.standby.other_note_hosts);
    match outcome {
        ChargeOutcome::Granted { is_new } => {
            LocalDecision::Granted { is_new, replication: ledger.replication().cloned() }
        }
        ChargeOutcome::InsufficientBudget => {
            LocalDecision::Final(ChargeDecision::InsufficientBudget)
        }
        ChargeOutcome::PossiblySpent => LocalDecision::Final(ChargeDecision::PossiblySpent),
        ChargeOutcome::Cancelled => LocalDecision::Final(ChargeDecision::Undecided),
        ChargeOutcome::WriteRequired if ledger.is_store_unavailable(now) => {
            let is_noting = note_outage_if_needed(gateway, partition, state, now);
            let changed = state.changed.clone();
            drop(partitions);
            start_write_if_needed(gateway, partition);
            match is_noting {
                true => LocalDecision::Wait(changed),
                false => LocalDecision::Final(ChargeDecision::Unavailable),
            }
        }
        ChargeOutcome::WriteRequired => LocalDecision::Wait(state.changed.clone()),
    }
}

/// Settles turns of one ledger, and waits until the stored record includes that. A repeated
/// settlement has no effect.
pub(crate) async fn settle(
    gateway: &Rc<Gateway>,
    settlements: &[Settlement],
    deadline: Instant,
) -> SettlementStatus {
    let Some(partition) = settlements.first().map(|first| partition_of(&first.program)) else {
        return SettlementStatus::Stored;
    };
    let mut is_applied = false;
    loop {
        let changed = {
            let mut partitions = gateway.ledgers.borrow_mut();
            let state = &mut partitions[partition];
            let Some(ledger) = &mut state.ledger else { return SettlementStatus::NotOwner };
            if !std::mem::replace(&mut is_applied, true) {
                let now = Instant::now();
                settlements.iter().for_each(|settlement| ledger.settle(now, settlement));
            }
            if settlements.iter().all(|settlement| ledger.is_settlement_stored(settlement)) {
                return SettlementStatus::Stored;
            }
            state.changed.listen()
        };
        start_write_if_needed(gateway, partition);
        if within(deadline, changed).await.is_none() {
            return SettlementStatus::Pending;
        }
    }
}

/// Returns the name of a ledger in the store and in outage notes.
pub(crate) fn ledger_name(partition: usize) -> String {
    format!("ledger-{partition}")
}

fn decode_record(stored: &StoredObject) -> Option<LedgerRecord> {
    match serde_json::from_value(stored.content.clone()) {
        Ok(record) => Some(record),
        Err(error) => {
            log::error!("{}: failed to decode the ledger record: {error}", stored.name);
            None
        }
    }
}
