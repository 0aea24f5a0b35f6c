//! Replicates a ledger to a standby while the store is unavailable, and promotes the standby. The
//! reasons and rules are in `trefoilring_core::budget`.

use {
    super::{ledger_name, writing::start_write_if_needed},
    crate::{
        gateway::Gateway,
        peers::{self, Copied, Kept, Question, Reply},
        roster,
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
        Charge, Ledger, LedgerReplica, ReplicaUpdate, ReplicationId, VoteOption, Witness,
    },
    trefoilring_observe::decisions::Weight,
};

/// Timeout of an update to the standby. Allows only some round trips, because turns wait for it.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of queries to the owner and the witness.
const QUERY_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause before the standby and the witness are queried again if neither answers.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long the owner tries to end a replication after the store has recovered. After that it drops
/// the ledger and takes it over again from the record. Longer than the time for which hosts are
/// only frozen or cut off for a moment.
const END_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a standby relies on the owner's last answer that it still owns the ledger.
const OWNER_ALIVE_FOR: Duration = Duration::from_millis(300);

/// State of this host as a standby, witness or owner of one ledger.
#[derive(Default)]
pub(super) struct StandbyState {
    /// The replica that this host holds as the standby.
    held: Option<HeldReplica>,
    /// The last replication that ended at this host.
    last_ended: Option<ReplicationId>,
    is_promoting: bool,
    /// When the owner of the replica last confirmed that it still owns the ledger.
    owner_alive_at: Option<Instant>,
    pub(super) witness: Witness,
    /// At the owner: addresses of the other ledger hosts that have acknowledged the outage note.
    pub(super) acknowledged_by: Vec<SocketAddr>,
    /// How often this process has dropped the ledger. Added to the incarnation, so that no writer
    /// name is used twice.
    pub(super) ownership_losses: u64,
}

impl StandbyState {
    /// Returns whether this host holds a replica of a writer's ledger.
    pub(super) fn holds_replica_of(&self, writer: &str) -> bool {
        self.held.as_ref().is_some_and(|held| held.replica.id().writer == writer)
    }

    /// Returns the replica from which this host could be promoted, unless a promotion is already in
    /// progress.
    fn promotable_replica(&self) -> Option<&HeldReplica> {
        let is_owner_alive = self.owner_alive_at.is_some_and(|at| at.elapsed() < OWNER_ALIVE_FOR);
        let held = self.held.as_ref().filter(|_| !self.is_promoting && !is_owner_alive);
        held.filter(|held| held.replica.is_usable(Instant::now()))
    }
}

/// A replica with the addresses of its owner and witness.
struct HeldReplica {
    replica: LedgerReplica,
    owner: SocketAddr,
    witness: SocketAddr,
}

/// The next step of the owner.
enum NextStep {
    Send(ReplicaUpdate),
    End(Instant),
    Wait(EventListener),
}

/// Begins to replicate a ledger of this host. The first of the ledger hosts that have acknowledged
/// the outage note is the standby, the second one the witness.
pub(super) fn begin_replication(
    gateway: &Rc<Gateway>,
    partition: usize,
    ledger: &mut Ledger,
    acknowledged_by: &[SocketAddr],
) {
    let &[standby, witness, ..] = acknowledged_by else { return };
    if peers::is_suspect(gateway, standby) || peers::is_suspect(gateway, witness) {
        return;
    }
    if !ledger.begin_replication(Instant::now()) {
        return;
    }
    let Some(id) = ledger.replication().cloned() else { return };
    gateway.decisions.note(
        Weight::Rare,
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
    while let Some(step) = next_step(&gateway, partition, &id) {
        let (question, ending_since) = match step {
            NextStep::Wait(changed) => {
                changed.await;
                continue;
            }
            NextStep::Send(update) => {
                let keeper = roster::own_address(&gateway);
                (Question::CopyLedger { partition, update, keeper, witness }, None)
            }
            NextStep::End(since) => {
                (Question::EndCopy { partition, copy: id.clone() }, Some(since))
            }
        };
        let outcome = match peers::reach(&gateway, standby, question, UPDATE_TIMEOUT).await {
            Some(Reply::Copied { copied }) => UpdateOutcome::Standby(copied),
            _ if request_vote(&gateway, witness, partition, &id, VoteOption::ContinueAlone)
                .await =>
            {
                UpdateOutcome::Consent
            }
            _ => UpdateOutcome::None,
        };
        apply_outcome(&gateway, partition, &id, outcome, ending_since);
        if outcome == UpdateOutcome::None {
            Timer::after(RETRY_PAUSE).await;
        }
    }
}

/// Outcome of a message to the standby. Decision lines contain the names of the variants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum UpdateOutcome {
    /// The standby has answered.
    Standby(Copied),
    /// The standby has not answered, and the witness has voted for continuing without it.
    Consent,
    /// Neither has answered, or the witness has not granted its vote.
    None,
}

/// Applies the outcome of a message to the standby. `ending_since` is since when the replication
/// was to be ended.
fn apply_outcome(
    gateway: &Gateway,
    partition: usize,
    id: &ReplicationId,
    outcome: UpdateOutcome,
    ending_since: Option<Instant>,
) {
    let mut partitions = gateway.ledgers.borrow_mut();
    let own = &mut partitions[partition];
    let Some(ledger) = own.ledger.as_mut().filter(|l| l.replication() == Some(id)) else { return };
    match outcome {
        UpdateOutcome::Standby(Copied::Kept) => {
            ledger.on_update_acked();
            own.changed.notify(usize::MAX);
            return;
        }
        UpdateOutcome::Standby(Copied::StandsIn) => own.drop_ledger(),
        UpdateOutcome::Standby(Copied::NotKept) | UpdateOutcome::Consent => {
            ledger.end_replication(Instant::now());
        }
        // Any host that reads the record, including this one, will find it possibly incomplete.
        UpdateOutcome::None if ending_since.is_some_and(|at| at.elapsed() >= END_TIMEOUT) => {
            own.drop_ledger()
        }
        UpdateOutcome::None => ledger.on_update_lost(),
    }
    gateway.decisions.note(
        Weight::Rare,
        "ledger",
        json!({"ledger": ledger_name(partition), "what": "standby", "copy": id,
               "answer": format!("{outcome:?}"), "is_left": own.ledger.is_none()}),
    );
    own.changed.notify(usize::MAX);
}

/// Returns the next step of a replication; `None` once it has ended.
fn next_step(gateway: &Gateway, partition: usize, id: &ReplicationId) -> Option<NextStep> {
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    let ledger = state.ledger.as_mut().filter(|ledger| ledger.replication() == Some(id))?;
    if let Some(since) = ledger.replication_ending_since() {
        return Some(NextStep::End(since));
    }
    Some(match ledger.next_update(Instant::now()) {
        Some(update) => NextStep::Send(update),
        None => NextStep::Wait(state.changed.listen()),
    })
}

/// Waits until the standby has received a charge. Refunds the charge and returns false if it has
/// not by the deadline.
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
            // If another host owns the ledger now, it may count a turn that does not run.
            let Some(ledger) =
                state.ledger.as_mut().filter(|ledger| ledger.is_writer(&replication.writer))
            else {
                return false;
            };
            if ledger.is_replicated(&charge.program) {
                return true;
            }
            if Instant::now() >= deadline {
                ledger.refund(Instant::now(), &charge.program, charge.turn_max);
                return false;
            }
            state.changed.listen()
        };
        within(deadline, changed).await;
    }
}

/// Applies an update from an owner that replicates its ledger to this host. Returns `None` for an
/// outdated update.
pub(crate) fn apply_update(
    gateway: &Gateway,
    partition: usize,
    update: ReplicaUpdate,
    owner: SocketAddr,
    witness: SocketAddr,
) -> Option<Copied> {
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = partitions.get_mut(partition)?;
    if let Some(ledger) = &state.ledger {
        let is_promoted = ledger.is_promoted_from(&update.replication_id.writer);
        return Some(if is_promoted { Copied::StandsIn } else { Copied::NotKept });
    }
    let now = Instant::now();
    let own = &mut state.standby;
    if own.last_ended.as_ref().is_some_and(|ended| !update.replication_id.is_later_than(ended)) {
        return Some(Copied::NotKept);
    }
    match &mut own.held {
        Some(held) if *held.replica.id() == update.replication_id => {
            return held.replica.apply(now, update).then_some(Copied::Kept);
        }
        Some(held) if !update.replication_id.is_later_than(held.replica.id()) => return None,
        _ => {}
    }
    let id = update.replication_id.clone();
    match LedgerReplica::begin(now, update) {
        Some(replica) => {
            own.held = Some(HeldReplica { replica, owner, witness });
            Some(Copied::Kept)
        }
        None => {
            // If the first update arrives later, it is older than the state that the owner
            // continues with.
            own.last_ended = Some(id);
            Some(Copied::NotKept)
        }
    }
}

/// Ends a replication at the standby.
pub(crate) fn end_replication(
    gateway: &Gateway,
    partition: usize,
    replication: ReplicationId,
) -> Option<Copied> {
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = partitions.get_mut(partition)?;
    if state.ledger.as_ref().is_some_and(|ledger| ledger.is_promoted_from(&replication.writer)) {
        return Some(Copied::StandsIn);
    }
    state.standby.held.take_if(|held| *held.replica.id() == replication);
    state.standby.last_ended = Some(replication);
    Some(Copied::NotKept)
}

/// Decides on a request for this host's vote as the witness.
pub(crate) fn grant_vote(
    gateway: &Gateway,
    partition: usize,
    replication: &ReplicationId,
    to: VoteOption,
) -> bool {
    let mut partitions = gateway.ledgers.borrow_mut();
    partitions
        .get_mut(partition)
        .is_some_and(|state| state.standby.witness.grant_vote(replication, to))
}

async fn request_vote(
    gateway: &Rc<Gateway>,
    witness: SocketAddr,
    partition: usize,
    replication: &ReplicationId,
    to: VoteOption,
) -> bool {
    let question = Question::Consent { partition, copy: replication.clone(), to };
    let reply = peers::reach(gateway, witness, question, QUERY_TIMEOUT).await;
    matches!(reply, Some(Reply::Consented { is_given: true }))
}

/// Promotes this host to owner, if it holds a usable replica, the owner is lost and the witness
/// grants its vote.
pub(super) async fn try_promote(gateway: Rc<Gateway>, partition: usize) {
    let (id, owner, witness) = {
        let own = &mut gateway.ledgers.borrow_mut()[partition].standby;
        let Some(held) = own.promotable_replica() else { return };
        let query = (held.replica.id().clone(), held.owner, held.witness);
        own.is_promoting = true;
        query
    };
    let question = Question::IsLedgerKept { partition, writer: id.writer.clone() };
    let is_owner_alive = match peers::reach(&gateway, owner, question, QUERY_TIMEOUT).await {
        Some(Reply::LedgerKept { kept }) => kept != Kept::No,
        _ => false,
    };
    let is_vote_granted = !is_owner_alive
        && request_vote(&gateway, witness, partition, &id, VoteOption::PromoteStandby).await;
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    state.standby.is_promoting = false;
    state.standby.owner_alive_at = is_owner_alive.then(Instant::now);
    let held = match state.ledger {
        None if is_vote_granted => state.standby.held.take_if(|held| *held.replica.id() == id),
        _ => None,
    };
    if let Some(HeldReplica { replica, .. }) = held {
        let ledger = Ledger::promote(Instant::now(), state.writer(&gateway), replica);
        gateway.decisions.note(
            Weight::Rare,
            "ledger",
            json!({"ledger": ledger_name(partition), "what": "stands in", "copy": id,
                   "accounts": ledger.len()}),
        );
        state.ledger = Some(ledger);
        // The first write finds the present revision of the stored record.
        state.revision = None;
        state.deferred_to = None;
    }
    state.changed.notify(usize::MAX);
    drop(partitions);
    start_write_if_needed(&gateway, partition);
}
