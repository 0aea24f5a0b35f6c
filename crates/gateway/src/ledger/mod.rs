//! Keeps ledgers of programs' budgets.
//!
//! Any host may keep any ledger; the store's condition on each write sorts out two that do. Callers'
//! hosts agree on one by rendezvous, hosts without callers first. `trefoilring_core::budget` decides.

mod hosts;
mod standby;
mod takeover;
mod writing;

pub(crate) use {
    hosts::{LEDGER_HOST_COUNT, LedgerHost, ledger_hosts},
    standby::{apply_update as apply_replica_update, end_replication, grant_vote},
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
    standby::StandbyState,
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
        rendezvous::Point,
    },
    trefoilring_observe::decisions::Weight,
    writing::start_write_if_needed,
};

/// Parts into which all programs are split. A part is one object of the store, which takes a
/// megabyte: some 30,000 programs. Must not change while programs run.
pub(crate) const PARTITION_COUNT: usize = 4;
/// Pause after a failure of the store. Doubles up to [`PAUSE_MAX`].
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest such pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(800);

/// One ledger at this host.
#[derive(Default)]
pub(crate) struct Partition {
    /// `None` until its record was read: it would know nothing of earlier charges.
    ledger: Option<Ledger>,
    /// The store's revision of the record that the ledger goes on from.
    revision: Option<Revision>,
    is_loading: bool,
    /// The host that keeps it, while it is left to that.
    deferred_to: Option<SocketAddr>,
    /// Whether the last attempt to read it has failed.
    is_read_failing: bool,
    is_writing: bool,
    /// Turns that wait for a write.
    waiting_turns: usize,
    standby: StandbyState,
    changed: Rc<Event>,
}

impl Partition {
    /// Returns as whom this host writes records of a ledger that it takes over now.
    fn writer<'a>(&self, gateway: &'a Gateway) -> (&'a str, Incarnation) {
        (&gateway.settings.host, gateway.incarnation + self.standby.ownership_losses)
    }

    /// Forgets the ledger: another host has what it holds, or its record has.
    fn drop_ledger(&mut self) {
        self.ledger = None;
        self.revision = None;
        self.standby.ownership_losses += 1;
    }

    /// Returns whether the store has failed this ledger for a while.
    fn is_store_unavailable(&self) -> bool {
        let is_away = |ledger: &Ledger| ledger.is_store_unavailable(Instant::now());
        self.is_read_failing || self.ledger.as_ref().is_some_and(is_away)
    }
}

/// Returns the part of a program.
pub(crate) fn partition_of(program: &str) -> usize {
    (Point::new(program).weight(Point::new("")) % PARTITION_COUNT as u64) as usize
}

/// Charges a turn, if that can be decided in time.
pub(crate) async fn charge(
    gateway: &Rc<Gateway>,
    charge: &Charge,
    deadline: Instant,
) -> ChargeDecision {
    let partition = partition_of(&charge.program);
    let record_note = async || match &charge.outage_position {
        Some(position) => record_outage_note(gateway, partition, position).await,
        None => false,
    };
    // The first choice, too, notes what it is to do before it does it.
    let peer_report = match charge.peer_report {
        PeerReport::OutageAcknowledged if !record_note().await => PeerReport::StoreUnavailable,
        peer_report => peer_report,
    };
    let mut decision =
        decide_charge(gateway, partition, &Charge { peer_report, ..charge.clone() }, deadline)
            .await;
    if let ChargeDecision::StoreAway { is_noted, .. } = &mut decision {
        *is_noted = record_note().await;
    }
    decision
}

/// Notes that charges may go beyond a write of a ledger. Returns whether that will last.
async fn record_outage_note(
    gateway: &Gateway,
    partition: usize,
    position: &LedgerPosition,
) -> bool {
    let outcome = gateway.outage_notes.record(partition, position).await;
    if outcome == NoteOutcome::Written {
        gateway.ledgers.borrow_mut()[partition].standby.witness.record_note(position);
        gateway.decisions.note(
            Weight::Rare,
            "ledger",
            json!({"ledger": ledger_name(partition), "what": "outage noted", "beyond": position}),
        );
    }
    outcome != NoteOutcome::NotStored
}

/// What a ledger has decided on a charge, and what it takes for it to hold.
enum LocalDecision {
    /// It holds once the standby has it, if the ledger is being copied.
    Granted { is_new: bool, replication: Option<ReplicationId> },
    /// It can be decided once the ledger has been written.
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
        Loaded::OwnedElsewhere { owner } => return ChargeDecision::KeptElsewhere { keeper: owner },
        Loaded::StoreUnavailable => {
            return ChargeDecision::StoreAway { is_noted: false, beyond: None };
        }
    }
    loop {
        let local_decision = {
            let mut partitions = gateway.ledgers.borrow_mut();
            let state = &mut partitions[partition];
            let Some(ledger) = state.ledger.as_mut() else { return ChargeDecision::Undecided };
            let now = Instant::now();
            let charged = ledger.charge(now, charge);
            let is_store_unavailable = ledger.is_store_unavailable(now);
            if !charge.acknowledged_by.is_empty() {
                state.standby.acknowledged_by.clone_from(&charge.acknowledged_by);
            }
            if charge.is_first_choice {
                standby::begin_replication(
                    gateway,
                    partition,
                    ledger,
                    &state.standby.acknowledged_by,
                );
            }
            match charged {
                ChargeOutcome::Granted { is_new } => {
                    LocalDecision::Granted { is_new, replication: ledger.replication().cloned() }
                }
                ChargeOutcome::Spent => return ChargeDecision::Spent,
                ChargeOutcome::WriteRequired if is_store_unavailable => {
                    let position = charge.is_first_choice.then(|| ledger.outage_position());
                    drop(partitions);
                    start_write_if_needed(gateway, partition);
                    return ChargeDecision::StoreAway { is_noted: false, beyond: position };
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

/// Takes back what turns did not use.
pub(crate) fn refund(gateway: &Gateway, refunds: &[(ProgramId, TokenCount)]) {
    let now = Instant::now();
    let mut partitions = gateway.ledgers.borrow_mut();
    for (program, tokens) in refunds {
        if let Some(ledger) = &mut partitions[partition_of(program)].ledger {
            ledger.refund(now, program, *tokens);
        }
    }
}

/// The name of a ledger in the store and in notes.
pub(crate) fn ledger_name(partition: usize) -> String {
    format!("ledger-{partition}")
}

fn record_of(stored: &StoredObject) -> Option<LedgerRecord> {
    match serde_json::from_value(stored.content.clone()) {
        Ok(record) => Some(record),
        Err(error) => {
            // Taken as no record: accounts are then opened in doubt.
            log::error!("{}: the record can't be read: {error}", stored.name);
            None
        }
    }
}
