//! Ledgers of program budgets that this host owns or replicates.
//!
//! Any host may own a ledger, but only its highest-ranked hosts are tried. If two hosts own the
//! same ledger, the conditional writes to the store resolve the conflict. Hosts that serve callers
//! select the owner by rendezvous hashing and prefer hosts without callers. The rules for charges
//! are in `trefoilring_core::budget`.

mod hosts;
mod standby;
mod takeover;
mod writing;

pub(crate) use {
    hosts::{LEDGER_HOST_COUNT, RankedHost, ranked_hosts},
    standby::{apply_update as apply_replica_update, decide_vote, end_replication},
    takeover::ownership,
};

use {
    crate::{
        gateway::Gateway,
        outage_notes::NoteOutcome,
        peers::ChargeDecision,
        store::{Revision, StoredObject},
        time::within,
    },
    event_listener::Event,
    serde_json::json,
    standby::ReplicationState,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    takeover::{Loaded, load},
    trefoilring_core::{
        budget::{
            Charge, ChargeOutcome, Ledger, LedgerPosition, LedgerRecord, PeerReport, ReplicationId,
            TokenCount,
        },
        ids::{Incarnation, ProgramId},
        rendezvous::NameHash,
    },
    trefoilring_observe::decisions::LineRate,
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
    /// Number of turns that wait for a write.
    waiting_turns: usize,
    standby: ReplicationState,
    /// Notified when the ledger, its record or its loading state changes.
    changed: Rc<Event>,
}

impl Partition {
    /// Returns the writer name for the records of a ledger that this host takes over now.
    fn writer<'a>(&self, gateway: &'a Gateway) -> (&'a str, Incarnation) {
        (&gateway.settings.host, gateway.incarnation + self.standby.dropped_count)
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

/// Charges a turn. Returns `Undecided` if the charge can't be decided by the deadline.
pub(crate) async fn charge(
    gateway: &Rc<Gateway>,
    charge: &Charge,
    deadline: Instant,
) -> ChargeDecision {
    let partition = partition_of(&charge.program);
    let store_note = async || match &charge.outage_position {
        Some(position) => store_outage_note(gateway, partition, position).await,
        None => false,
    };
    // The first-ranked host also stores an outage note before it grants an overdraft.
    let peer_report = match charge.peer_report {
        PeerReport::OutageAcknowledged if !store_note().await => PeerReport::StoreUnavailable,
        peer_report => peer_report,
    };
    let mut decision =
        decide_charge(gateway, partition, &Charge { peer_report, ..charge.clone() }, deadline)
            .await;
    if let ChargeDecision::StoreUnavailable { is_acknowledged, .. } = &mut decision {
        *is_acknowledged = store_note().await;
    }
    decision
}

/// Stores an outage note that charges may be missing from records up to the given position. Returns
/// whether the note is durable.
async fn store_outage_note(gateway: &Gateway, partition: usize, position: &LedgerPosition) -> bool {
    let outcome = gateway.outage_notes.store_note(partition, position).await;
    if outcome == NoteOutcome::Written {
        gateway.ledgers.borrow_mut()[partition].standby.witness.on_note_stored(position);
        gateway.decisions.log(
            LineRate::Rare,
            "ledger",
            json!({"ledger": ledger_name(partition), "what": "outage noted", "beyond": position}),
        );
    }
    outcome != NoteOutcome::NotStored
}

/// Outcome of a charge that is not yet final.
enum LocalDecision {
    /// The charge takes effect once the standby has it, if the ledger is being replicated.
    Granted { is_new: bool, replication: Option<ReplicationId> },
    /// The charge can be decided after the next write of the ledger.
    WriteRequired(Rc<Event>),
}

async fn decide_charge(
    gateway: &Rc<Gateway>,
    partition: usize,
    charge: &Charge,
    deadline: Instant,
) -> ChargeDecision {
    match load(gateway, partition, charge.idle_max, deadline).await {
        Loaded::Owned => {}
        Loaded::Pending => return ChargeDecision::Undecided,
        Loaded::OwnedElsewhere { owner } => return ChargeDecision::OwnedElsewhere { owner },
        Loaded::StoreUnavailable => {
            return ChargeDecision::StoreUnavailable { is_acknowledged: false, position: None };
        }
    }
    loop {
        let local_decision = {
            let mut partitions = gateway.ledgers.borrow_mut();
            let state = &mut partitions[partition];
            let Some(ledger) = state.ledger.as_mut() else { return ChargeDecision::Undecided };
            let now = Instant::now();
            let outcome = ledger.charge(now, charge);
            let is_store_unavailable = ledger.is_store_unavailable(now);
            if !charge.acknowledged_by.is_empty() {
                state.standby.acknowledged_by.clone_from(&charge.acknowledged_by);
            }
            if charge.is_first_ranked {
                standby::begin_replication(
                    gateway,
                    partition,
                    ledger,
                    &state.standby.acknowledged_by,
                );
            }
            match outcome {
                ChargeOutcome::Granted { is_new } => {
                    LocalDecision::Granted { is_new, replication: ledger.replication().cloned() }
                }
                ChargeOutcome::InsufficientBudget => return ChargeDecision::InsufficientBudget,
                ChargeOutcome::WriteRequired if is_store_unavailable => {
                    let position = charge.is_first_ranked.then(|| ledger.propose_outage_position());
                    drop(partitions);
                    start_write_if_needed(gateway, partition);
                    return ChargeDecision::StoreUnavailable { is_acknowledged: false, position };
                }
                ChargeOutcome::WriteRequired => LocalDecision::WriteRequired(state.changed.clone()),
            }
        };
        let changed = match local_decision {
            LocalDecision::Granted { is_new, replication } => {
                start_write_if_needed(gateway, partition);
                let is_unreplicated = match replication {
                    Some(replication) => {
                        !standby::wait_replicated(
                            gateway,
                            partition,
                            &replication,
                            charge,
                            deadline,
                        )
                        .await
                    }
                    None => false,
                };
                return match is_unreplicated {
                    true => ChargeDecision::Undecided,
                    false => ChargeDecision::Granted { is_new },
                };
            }
            LocalDecision::WriteRequired(changed) => changed,
        };
        let listener = changed.listen();
        gateway.ledgers.borrow_mut()[partition].waiting_turns += 1;
        start_write_if_needed(gateway, partition);
        let woken = within(deadline, listener).await;
        gateway.ledgers.borrow_mut()[partition].waiting_turns -= 1;
        if woken.is_none() {
            return ChargeDecision::Undecided;
        }
    }
}

/// Refunds the tokens that turns did not use.
pub(crate) fn refund(gateway: &Gateway, refunds: &[(ProgramId, TokenCount)]) {
    let now = Instant::now();
    let mut partitions = gateway.ledgers.borrow_mut();
    for (program, tokens) in refunds {
        if let Some(ledger) = &mut partitions[partition_of(program)].ledger {
            ledger.refund(now, program, *tokens);
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
            // Treated as a missing record, so accounts count as possibly incomplete.
            log::error!("{}: failed to decode the ledger record: {error}", stored.name);
            None
        }
    }
}
