//! Copies a ledger to a standby while the store is away, and stands in with such a copy.
//! `trefoilring_core::budget` says why, and decides.

use {
    super::{name, writing::write_if_behind},
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
        Charge, ConsentTo, CopyId, CopyUpdate, Ledger, LedgerCopy, Witness,
    },
    trefoilring_observe::decisions::Weight,
};

/// How long the standby may take for a message: some round trips, as turns wait for it.
const COPY_TIMEOUT: Duration = Duration::from_millis(60);
/// How long the keeper and the witness may take to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause before the standby and the witness are asked again when neither answers.
const PAUSE: Duration = Duration::from_millis(100);
/// How long the keeper tries to end a copying once the store is back, before it reads its record as
/// a new one: longer than hosts that were only frozen or cut off for a moment are.
const END_WITHIN: Duration = Duration::from_millis(1500);
/// How long a standby takes the keeper's word that it lives.
const KEEPER_LIVES_FOR: Duration = Duration::from_millis(300);

/// What this host is to the other keepers of one ledger.
#[derive(Default)]
pub(super) struct StandbyState {
    /// The copy that it holds as the standby.
    held: Option<Held>,
    /// The last copying that has ended here.
    ended: Option<CopyId>,
    is_asking: bool,
    /// When the keeper of the copy has last said that it lives.
    keeper_lived_at: Option<Instant>,
    pub(super) witness: Witness,
    /// Where the others are that have noted the outage, at the keeper.
    pub(super) noted_by: Vec<SocketAddr>,
    /// How often this process has left the ledger to a standby. A writer's name is not used again.
    pub(super) times_left: u64,
}

impl StandbyState {
    /// Returns whether this host holds a copy of a writer's ledger.
    pub(super) fn holds_copy_of(&self, writer: &str) -> bool {
        self.held.as_ref().is_some_and(|held| held.copy.id().writer == writer)
    }

    /// Returns the copy with which this host could stand in, if it is not asking already whether it may.
    fn usable_copy(&self) -> Option<&Held> {
        let lives = self.keeper_lived_at.is_some_and(|at| at.elapsed() < KEEPER_LIVES_FOR);
        let held = self.held.as_ref().filter(|_| !self.is_asking && !lives);
        held.filter(|held| held.copy.is_usable(Instant::now()))
    }
}

/// A copy, and who else has to do with it.
struct Held {
    copy: LedgerCopy,
    keeper: SocketAddr,
    witness: SocketAddr,
}

/// What the keeper does next.
enum Step {
    Send(CopyUpdate),
    End(Instant),
    Wait(EventListener),
}

/// Begins to copy a ledger of this host to the first of the keepers that have noted the outage; the second
/// is the witness.
pub(super) fn begin(
    gateway: &Rc<Gateway>,
    part: usize,
    ledger: &mut Ledger,
    noted_by: &[SocketAddr],
) {
    let &[standby, witness, ..] = noted_by else { return };
    if peers::is_suspect(gateway, standby) || peers::is_suspect(gateway, witness) {
        return;
    }
    if !ledger.begin_copying(Instant::now()) {
        return;
    }
    let Some(id) = ledger.copying().cloned() else { return };
    gateway.decisions.note(
        Weight::Rare,
        "ledger",
        json!({"ledger": name(part), "what": "copied", "copy": id, "standby": standby,
               "witness": witness, "accounts": ledger.len()}),
    );
    gateway.spawn(copy(gateway.clone(), part, id, standby, witness));
}

/// Sends changes to the standby until the copying ends.
async fn copy(
    gateway: Rc<Gateway>,
    part: usize,
    id: CopyId,
    standby: SocketAddr,
    witness: SocketAddr,
) {
    while let Some(step) = next_step(&gateway, part, &id) {
        let (question, ends_since) = match step {
            Step::Wait(changed) => {
                changed.await;
                continue;
            }
            Step::Send(update) => {
                let keeper = roster::own_address(&gateway);
                (Question::CopyLedger { part, update, keeper, witness }, None)
            }
            Step::End(since) => (Question::EndCopy { part, copy: id.clone() }, Some(since)),
        };
        let answer = match peers::reach(&gateway, standby, question, COPY_TIMEOUT).await {
            Some(Reply::Copied { copied }) => Answer::Standby(copied),
            _ if consents(&gateway, witness, part, &id, ConsentTo::GoOn).await => Answer::Consent,
            _ => Answer::None,
        };
        settle(&gateway, part, &id, answer, ends_since);
        if answer == Answer::None {
            Timer::after(PAUSE).await;
        }
    }
}

/// What became of a message to the standby.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Answer {
    /// The standby has answered.
    Standby(Copied),
    /// It has not, and the witness consents to going on without it.
    Consent,
    /// Neither has answered, or the witness does not consent.
    None,
}

/// Takes in what became of a message to the standby. `ends_since` is when the copying was to end.
fn settle(
    gateway: &Gateway,
    part: usize,
    id: &CopyId,
    answer: Answer,
    ends_since: Option<Instant>,
) {
    let mut parts = gateway.ledgers.borrow_mut();
    let state = &mut parts[part];
    let Some(ledger) = state.ledger.as_mut().filter(|of| of.copying() == Some(id)) else { return };
    match answer {
        Answer::Standby(Copied::Kept) => {
            ledger.update_arrived();
            state.changed.notify(usize::MAX);
            return;
        }
        Answer::Standby(Copied::StandsIn) => state.leave(),
        Answer::Standby(Copied::NotKept) | Answer::Consent => {
            ledger.end_copying(Instant::now());
        }
        // Whoever reads the record finds it in doubt, also this host.
        Answer::None if ends_since.is_some_and(|at| at.elapsed() >= END_WITHIN) => state.leave(),
        Answer::None => ledger.update_lost(),
    }
    gateway.decisions.note(
        Weight::Rare,
        "ledger",
        json!({"ledger": name(part), "what": "standby", "copy": id,
               "answer": format!("{answer:?}"), "is_left": state.ledger.is_none()}),
    );
    state.changed.notify(usize::MAX);
}

/// Returns what to do next for a copying; `None` once it has ended.
fn next_step(gateway: &Gateway, part: usize, id: &CopyId) -> Option<Step> {
    let mut parts = gateway.ledgers.borrow_mut();
    let state = &mut parts[part];
    let ledger = state.ledger.as_mut().filter(|ledger| ledger.copying() == Some(id))?;
    if let Some(since) = ledger.copying_ends_since() {
        return Some(Step::End(since));
    }
    Some(match ledger.next_update(Instant::now()) {
        Some(update) => Step::Send(update),
        None => Step::Wait(state.changed.listen()),
    })
}

/// Waits until the standby has a charge. Takes the charge back and returns false if it does not get it.
pub(super) async fn is_copied(
    gateway: &Gateway,
    part: usize,
    copy: &CopyId,
    charge: &Charge,
    deadline: Instant,
) -> bool {
    // The copying may wait for something to send.
    gateway.ledgers.borrow()[part].changed.notify(usize::MAX);
    loop {
        let changed = {
            let mut parts = gateway.ledgers.borrow_mut();
            let state = &mut parts[part];
            // Whoever has the ledger now may count a turn that does not run.
            let Some(ledger) = state.ledger.as_mut().filter(|of| of.is_writer(&copy.writer)) else {
                return false;
            };
            if ledger.is_copied(&charge.program) {
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
pub(crate) fn take_update(
    gateway: &Gateway,
    part: usize,
    update: CopyUpdate,
    keeper: SocketAddr,
    witness: SocketAddr,
) -> Option<Copied> {
    let mut parts = gateway.ledgers.borrow_mut();
    let state = parts.get_mut(part)?;
    if let Some(ledger) = &state.ledger {
        let stands_in = ledger.stands_in_for(&update.copy.writer);
        return Some(if stands_in { Copied::StandsIn } else { Copied::NotKept });
    }
    let now = Instant::now();
    let own = &mut state.standby;
    if own.ended.as_ref().is_some_and(|ended| !update.copy.is_later_than(ended)) {
        return Some(Copied::NotKept);
    }
    match &mut own.held {
        Some(held) if *held.copy.id() == update.copy => {
            return held.copy.apply(now, update).then_some(Copied::Kept);
        }
        Some(held) if !update.copy.is_later_than(held.copy.id()) => return None,
        _ => {}
    }
    let id = update.copy.clone();
    match LedgerCopy::begin(now, update) {
        Some(copy) => {
            own.held = Some(Held { copy, keeper, witness });
            Some(Copied::Kept)
        }
        None => {
            // Its first message, if that comes now, would be older than what the keeper goes on with.
            own.ended = Some(id);
            Some(Copied::NotKept)
        }
    }
}

/// Ends a copying at the standby.
pub(crate) fn end(gateway: &Gateway, part: usize, copy: CopyId) -> Option<Copied> {
    let mut parts = gateway.ledgers.borrow_mut();
    let state = parts.get_mut(part)?;
    if state.ledger.as_ref().is_some_and(|ledger| ledger.stands_in_for(&copy.writer)) {
        return Some(Copied::StandsIn);
    }
    state.standby.held.take_if(|held| *held.copy.id() == copy);
    state.standby.ended = Some(copy);
    Some(Copied::NotKept)
}

/// Decides as a witness.
pub(crate) fn consent(gateway: &Gateway, part: usize, copy: &CopyId, to: ConsentTo) -> bool {
    let mut parts = gateway.ledgers.borrow_mut();
    parts.get_mut(part).is_some_and(|state| state.standby.witness.consents(copy, to))
}

async fn consents(
    gateway: &Rc<Gateway>,
    witness: SocketAddr,
    part: usize,
    copy: &CopyId,
    to: ConsentTo,
) -> bool {
    let question = Question::Consent { part, copy: copy.clone(), to };
    let reply = peers::reach(gateway, witness, question, ASK_TIMEOUT).await;
    matches!(reply, Some(Reply::Consented { is_given: true }))
}

/// Stands in for the keeper of a copy, if this host holds a usable one, the keeper is lost and the witness
/// consents.
pub(super) async fn stand_in(gateway: Rc<Gateway>, part: usize) {
    let (id, keeper, witness) = {
        let own = &mut gateway.ledgers.borrow_mut()[part].standby;
        let Some(held) = own.usable_copy() else { return };
        let asked = (held.copy.id().clone(), held.keeper, held.witness);
        own.is_asking = true;
        asked
    };
    let question = Question::IsLedgerKept { part, writer: id.writer.clone() };
    let lives = match peers::reach(&gateway, keeper, question, ASK_TIMEOUT).await {
        Some(Reply::LedgerKept { kept }) => kept != Kept::No,
        _ => false,
    };
    let is_given = !lives && consents(&gateway, witness, part, &id, ConsentTo::StandIn).await;
    let mut parts = gateway.ledgers.borrow_mut();
    let state = &mut parts[part];
    state.standby.is_asking = false;
    state.standby.keeper_lived_at = lives.then(Instant::now);
    let held = match state.ledger {
        None if is_given => state.standby.held.take_if(|held| *held.copy.id() == id),
        _ => None,
    };
    if let Some(Held { copy, .. }) = held {
        let ledger = Ledger::stand_in(Instant::now(), state.writer(&gateway), copy);
        gateway.decisions.note(
            Weight::Rare,
            "ledger",
            json!({"ledger": name(part), "what": "stands in", "copy": id,
                   "accounts": ledger.len()}),
        );
        state.ledger = Some(ledger);
        // What the store holds is found at the first write.
        state.revision = None;
        state.left_to = None;
    }
    state.changed.notify(usize::MAX);
    drop(parts);
    write_if_behind(&gateway, part);
}
