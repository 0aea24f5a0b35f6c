//! Replicates a ledger to a standby while the store is unavailable, and promotes the standby. See
//! `trefoilring_core::budget` (standby.rs) for the protocol.

use {
    super::{ledger_name, writing::start_write_if_needed},
    crate::{
        gateway::Gateway,
        peers::{self, Ownership, PeerReply, PeerRequest},
        roster,
        task_count::TaskCount,
        time::within,
    },
    event_listener::EventListener,
    serde_json::json,
    smol::Timer,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::budget::{
        Charge, Ledger, LedgerReplica, ReplicaStatus, ReplicaUpdate, ReplicationId, Standby,
        VoteOption, Witness,
    },
    trefoilring_observe::decisions::LineRate,
};

/// Timeout of an update to the standby. Allows only a few round trips, because turns wait for it.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of queries to the owner and the witness.
const QUERY_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause before the standby and the witness are queried again if neither answers.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long the owner tries to end a replication after the store has recovered. After that it drops
/// the ledger and takes it over again from the record. This must exceed short pauses of a process
/// or the network.
const END_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long the owner's last confirmation of ownership stays valid.
const OWNER_CONFIRMATION_VALID_FOR: Duration = Duration::from_millis(300);

/// State of this host as a standby, witness or owner of one ledger.
#[derive(Default)]
pub(super) struct ReplicationState {
    standby: Standby,
    /// Hosts that take part in the replication whose last update was applied.
    participants: Option<Participants>,
    /// Promotions that are in progress.
    promotions: TaskCount,
    /// When the owner of the replica last confirmed that it still owns the ledger.
    owner_confirmed_at: Option<Instant>,
    pub(super) witness: Witness,
    /// At the owner: addresses of the other hosts that have stored the last outage note.
    pub(super) other_note_hosts: Vec<SocketAddr>,
    /// Number of times that this process has dropped the ledger. Added to the incarnation, so that
    /// no writer name is used twice.
    pub(super) dropped_count: u64,
}

impl ReplicationState {
    /// Returns whether this host holds a replica of a writer's ledger.
    pub(super) fn holds_replica_of(&self, writer: &str) -> bool {
        self.standby.replica().is_some_and(|replica| replica.id().writer == writer)
    }

    /// Returns the replica from which this host could be promoted, unless a promotion is already in
    /// progress, with the hosts to ask.
    fn promotable_replica(&self) -> Option<(&LedgerReplica, Participants)> {
        let is_owner_alive =
            self.owner_confirmed_at.is_some_and(|at| at.elapsed() < OWNER_CONFIRMATION_VALID_FOR);
        let replica =
            self.standby.replica().filter(|_| self.promotions.is_zero() && !is_owner_alive)?;
        replica.is_usable(Instant::now()).then_some((replica, self.participants?))
    }
}

/// The owner and the witness of a replication.
#[derive(Clone, Copy, Debug)]
struct Participants {
    owner: SocketAddr,
    witness: SocketAddr,
}

/// What the replication task does next.
enum NextAction {
    Send(ReplicaUpdate),
    End(Instant),
    Wait(EventListener),
}

/// Begins to replicate a ledger of this host. The first of the other hosts that have stored the
/// outage note is the standby, the second one the witness. Without both there is no replication.
pub(super) fn begin_replication(
    gateway: &Rc<Gateway>,
    partition: usize,
    ledger: &mut Ledger,
    other_note_hosts: &[SocketAddr],
) {
    let &[standby, witness, ..] = other_note_hosts else { return };
    if peers::is_suspect(gateway, standby) || peers::is_suspect(gateway, witness) {
        return;
    }
    if !ledger.begin_replication(Instant::now()) {
        return;
    }
    let Some(id) = ledger.replication().cloned() else { return };
    gateway.decisions.log(
        LineRate::Rare,
        "ledger",
        json!({"ledger": ledger_name(partition), "what": "copied", "copy": id, "standby": standby,
               "witness": witness, "accounts": ledger.len()}),
    );
    gateway.spawn(replicate(gateway.clone(), partition, id, standby, witness));
}

/// Sends updates to the standby until the replication ends.
async fn replicate(
    gateway: Rc<Gateway>,
    partition: usize,
    id: ReplicationId,
    standby: SocketAddr,
    witness: SocketAddr,
) {
    while let Some(action) = next_action(&gateway, partition, &id) {
        let (question, ending_since) = match action {
            NextAction::Wait(changed) => {
                changed.await;
                continue;
            }
            NextAction::Send(update) => {
                let owner = roster::own_address(&gateway);
                (PeerRequest::ReplicateLedger { partition, update, owner, witness }, None)
            }
            NextAction::End(since) => {
                (PeerRequest::EndReplication { partition, replication: id.clone() }, Some(since))
            }
        };
        let outcome =
            match peers::send_request_or_relay(&gateway, standby, question, UPDATE_TIMEOUT).await {
                Some(PeerReply::ReplicaStatus { status, is_certain })
                    if is_certain || status != ReplicaStatus::NotKept =>
                {
                    MessageOutcome::Standby(status)
                }
                _ if request_vote(&gateway, witness, partition, &id, VoteOption::ContinueAlone)
                    .await =>
                {
                    MessageOutcome::Consent
                }
                _ => MessageOutcome::None,
            };
        apply_outcome(&gateway, partition, &id, outcome, ending_since);
        if outcome == MessageOutcome::None {
            Timer::after(RETRY_PAUSE).await;
        }
    }
}

/// Outcome of a message to the standby. Decision lines contain the names of the variants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MessageOutcome {
    /// The standby has answered.
    Standby(ReplicaStatus),
    /// The standby has not answered, and the witness has voted for continuing without it.
    Consent,
    /// Neither has answered, or the witness has not granted its vote.
    None,
}

/// Applies the outcome of a message to the standby. `ending_since` is when the store recovered, if
/// the message ends the replication.
fn apply_outcome(
    gateway: &Gateway,
    partition: usize,
    id: &ReplicationId,
    outcome: MessageOutcome,
    ending_since: Option<Instant>,
) {
    let mut partitions = gateway.ledgers.borrow_mut();
    let own = &mut partitions[partition];
    let Some(ledger) = own.ledger.as_mut().filter(|l| l.replication() == Some(id)) else { return };
    match outcome {
        MessageOutcome::Standby(ReplicaStatus::Kept) => {
            ledger.on_update_acknowledged();
            own.changed.notify(usize::MAX);
            return;
        }
        MessageOutcome::Standby(ReplicaStatus::StandsIn) => own.drop_ledger(),
        MessageOutcome::Standby(ReplicaStatus::NotKept) | MessageOutcome::Consent => {
            ledger.end_replication(Instant::now());
        }
        // Dropping the ledger is safe: a host that takes over from the stored record learns of the
        // overdraft from the outage notes.
        MessageOutcome::None if ending_since.is_some_and(|at| at.elapsed() >= END_TIMEOUT) => {
            own.drop_ledger()
        }
        MessageOutcome::None => ledger.on_update_unacknowledged(),
    }
    gateway.decisions.log(
        LineRate::Rare,
        "ledger",
        json!({"ledger": ledger_name(partition), "what": "standby", "copy": id,
               "answer": format!("{outcome:?}"), "is_left": own.ledger.is_none()}),
    );
    own.changed.notify(usize::MAX);
}

/// Returns the next action of a replication; `None` once it has ended.
fn next_action(gateway: &Gateway, partition: usize, id: &ReplicationId) -> Option<NextAction> {
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    let ledger = state.ledger.as_mut().filter(|ledger| ledger.replication() == Some(id))?;
    if let Some(since) = ledger.replication_ending_since() {
        return Some(NextAction::End(since));
    }
    Some(match ledger.next_update(Instant::now()) {
        Some(update) => NextAction::Send(update),
        None => NextAction::Wait(state.changed.listen()),
    })
}

/// Waits until the standby has received a charge. Returns false if the standby has not acknowledged
/// it by the deadline, or if this host has lost the ledger. The turn stays charged: its caller
/// repeats the request or cancels the turn.
pub(super) async fn wait_replicated(
    gateway: &Gateway,
    partition: usize,
    replication: &ReplicationId,
    charge: &Charge,
    deadline: Instant,
) -> bool {
    // Wakes the replication task, which may be waiting for changes.
    gateway.ledgers.borrow()[partition].changed.notify(usize::MAX);
    loop {
        let changed = {
            let mut partitions = gateway.ledgers.borrow_mut();
            let state = &mut partitions[partition];
            let Some(ledger) =
                state.ledger.as_mut().filter(|ledger| ledger.is_writer(&replication.writer))
            else {
                return false;
            };
            if ledger.is_replicated(&charge.program) {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            state.changed.listen()
        };
        within(deadline, changed).await;
    }
}

/// Applies an update from an owner that replicates its ledger to this host. Returns `None` for an
/// outdated update or an unknown partition.
pub(crate) fn apply_update(
    gateway: &Gateway,
    partition: usize,
    update: ReplicaUpdate,
    owner: SocketAddr,
    witness: SocketAddr,
) -> Option<ReplicaStatus> {
    let (id, number) = (update.replication_id.clone(), update.number);
    let status = try_apply_update(gateway, partition, update, owner, witness);
    if status != Some(ReplicaStatus::Kept) {
        log_reply(gateway, partition, &id, Some(number), status);
    }
    status
}

/// Writes a line about a message of a replication whose owner has to act on the reply.
fn log_reply(
    gateway: &Gateway,
    partition: usize,
    id: &ReplicationId,
    update_number: Option<u64>,
    status: Option<ReplicaStatus>,
) {
    let partitions = gateway.ledgers.borrow();
    let Some(state) = partitions.get(partition) else { return };
    let ledger = state.ledger.as_ref();
    let standby = &state.standby.standby;
    gateway.decisions.log(
        LineRate::Failure,
        "replica_reply",
        json!({"ledger": ledger_name(partition), "copy": id, "update": update_number,
               "answer": status, "writer": ledger.map(Ledger::writer),
               "epoch": ledger.map(Ledger::epoch), "held": standby.replica().map(LedgerReplica::id),
               "last_ended": standby.last_ended()}),
    );
}

fn try_apply_update(
    gateway: &Gateway,
    partition: usize,
    update: ReplicaUpdate,
    owner: SocketAddr,
    witness: SocketAddr,
) -> Option<ReplicaStatus> {
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = partitions.get_mut(partition)?;
    let status = state.standby.standby.apply(Instant::now(), state.ledger.is_some(), update);
    if status == Some(ReplicaStatus::Kept) {
        state.standby.participants = Some(Participants { owner, witness });
    }
    status
}

/// Ends a replication at the standby.
pub(crate) fn end_replication(
    gateway: &Gateway,
    partition: usize,
    replication: ReplicationId,
) -> Option<ReplicaStatus> {
    let status = try_end_replication(gateway, partition, replication.clone());
    log_reply(gateway, partition, &replication, None, status);
    status
}

fn try_end_replication(
    gateway: &Gateway,
    partition: usize,
    replication: ReplicationId,
) -> Option<ReplicaStatus> {
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = partitions.get_mut(partition)?;
    state.standby.standby.end(replication)
}

/// Decides on a request for this host's vote as the witness.
pub(crate) fn decide_vote(
    gateway: &Gateway,
    partition: usize,
    replication: &ReplicationId,
    to: VoteOption,
) -> bool {
    let mut partitions = gateway.ledgers.borrow_mut();
    partitions
        .get_mut(partition)
        .is_some_and(|state| state.standby.witness.decide_vote(replication, to))
}

async fn request_vote(
    gateway: &Rc<Gateway>,
    witness: SocketAddr,
    partition: usize,
    replication: &ReplicationId,
    to: VoteOption,
) -> bool {
    let question =
        PeerRequest::RequestVote { partition, replication: replication.clone(), option: to };
    let reply = peers::send_request_or_relay(gateway, witness, question, QUERY_TIMEOUT).await;
    matches!(reply, Some(PeerReply::Voted { is_granted: true }))
}

/// Promotes this host to owner, if it holds a usable replica, the owner is lost and the witness
/// grants its vote.
pub(super) async fn try_promote(gateway: Rc<Gateway>, partition: usize) {
    let (id, Participants { owner, witness }, promotion) = {
        let own = &gateway.ledgers.borrow()[partition].standby;
        let Some((replica, participants)) = own.promotable_replica() else { return };
        (replica.id().clone(), participants, own.promotions.enter())
    };
    let question = PeerRequest::LedgerOwnership { partition, writer: id.writer.clone() };
    let is_owner_alive =
        match peers::send_request_or_relay(&gateway, owner, question, QUERY_TIMEOUT).await {
            Some(PeerReply::LedgerOwnership { ownership }) => ownership != Ownership::NotOwner,
            _ => false,
        };
    let is_vote_granted = !is_owner_alive
        && request_vote(&gateway, witness, partition, &id, VoteOption::PromoteStandby).await;
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    drop(promotion);
    state.standby.owner_confirmed_at = is_owner_alive.then(Instant::now);
    let writer = state.writer(&gateway);
    let promoted = match state.ledger {
        None if is_vote_granted => state.standby.standby.promote(Instant::now(), &id, writer),
        _ => None,
    };
    if let Some(ledger) = promoted {
        gateway.decisions.log(
            LineRate::Rare,
            "ledger",
            json!({"ledger": ledger_name(partition), "what": "stands in", "copy": id,
                   "accounts": ledger.len()}),
        );
        state.ledger = Some(ledger);
        // Read before the first write.
        state.revision = None;
        state.deferred_to = None;
    }
    state.changed.notify(usize::MAX);
    drop(partitions);
    start_write_if_needed(&gateway, partition);
}
