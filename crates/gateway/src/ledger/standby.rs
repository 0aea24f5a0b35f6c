//! Copies a ledger to a standby while the store is away, and stands in with such a copy.
//! `trefoilring_core::budget` says why, and decides.

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

/// How long the standby may take for a message: some round trips, as turns wait for it.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(60);
/// How long the keeper and the witness may take to answer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause before the standby and the witness are asked again when neither answers.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long the keeper tries to end a copying once the store is back, before it reads its record as
/// a new one: longer than hosts that were only frozen or cut off for a moment are.
const END_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a standby takes the keeper's word that it lives.
const OWNER_ALIVE_FOR: Duration = Duration::from_millis(300);

/// What this host is to the other keepers of one ledger.
#[derive(Default)]
pub(super) struct StandbyState {
    /// The copy that it holds as the standby.
    held: Option<HeldReplica>,
    /// The last copying that has ended here.
    last_ended: Option<ReplicationId>,
    is_promoting: bool,
    /// When the keeper of the copy has last said that it lives.
    owner_alive_at: Option<Instant>,
    pub(super) witness: Witness,
    /// Where the others are that have noted the outage, at the keeper.
    pub(super) acknowledged_by: Vec<SocketAddr>,
    /// How often this process has left the ledger to a standby. A writer's name is not used again.
    pub(super) ownership_losses: u64,
}

impl StandbyState {
    /// Returns whether this host holds a copy of a writer's ledger.
    pub(super) fn holds_replica_of(&self, writer: &str) -> bool {
        self.held.as_ref().is_some_and(|held| held.replica.id().writer == writer)
    }

    /// Returns the copy with which this host could stand in, if it is not asking already whether it may.
    fn promotable_replica(&self) -> Option<&HeldReplica> {
        let is_owner_alive = self.owner_alive_at.is_some_and(|at| at.elapsed() < OWNER_ALIVE_FOR);
        let held = self.held.as_ref().filter(|_| !self.is_promoting && !is_owner_alive);
        held.filter(|held| held.replica.is_usable(Instant::now()))
    }
}

/// A copy, and who else has to do with it.
struct HeldReplica {
    replica: LedgerReplica,
    owner: SocketAddr,
    witness: SocketAddr,
}

/// What the keeper does next.
enum NextStep {
    Send(ReplicaUpdate),
    End(Instant),
    Wait(EventListener),
}

/// Begins to copy a ledger of this host to the first of the keepers that have noted the outage; the second
/// is the witness.
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

/// Sends changes to the standby until the copying ends.
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

/// What became of a message to the standby.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum UpdateOutcome {
    /// The standby has answered.
    Standby(Copied),
    /// It has not, and the witness consents to going on without it.
    Consent,
    /// Neither has answered, or the witness does not consent.
    None,
}

/// Takes in what became of a message to the standby. `ending_since` is when the copying was to end.
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
        // Whoever reads the record finds it in doubt, also this host.
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

/// Returns what to do next for a copying; `None` once it has ended.
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

/// Waits until the standby has a charge. Takes the charge back and returns false if it does not get it.
pub(super) async fn wait_replicated(
    gateway: &Gateway,
    partition: usize,
    replication: &ReplicationId,
    charge: &Charge,
    deadline: Instant,
) -> bool {
    // The copying may wait for something to send.
    gateway.ledgers.borrow()[partition].changed.notify(usize::MAX);
    loop {
        let changed = {
            let mut partitions = gateway.ledgers.borrow_mut();
            let state = &mut partitions[partition];
            // Whoever has the ledger now may count a turn that does not run.
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

/// Takes in a message of a keeper that copies its ledger to this host. Returns `None` for one that was
/// overtaken.
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
            // Its first message, if that comes now, would be older than what the keeper goes on with.
            own.last_ended = Some(id);
            Some(Copied::NotKept)
        }
    }
}

/// Ends a copying at the standby.
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

/// Decides as a witness.
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

/// Stands in for the keeper of a copy, if this host holds a usable one, the keeper is lost and the witness
/// consents.
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
        // What the store holds is found at the first write.
        state.revision = None;
        state.deferred_to = None;
    }
    state.changed.notify(usize::MAX);
    drop(partitions);
    start_write_if_needed(&gateway, partition);
}
