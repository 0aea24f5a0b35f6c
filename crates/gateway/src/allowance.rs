//! Takes tokens of teams' allowances for requests, and borrows from other hosts.

use {
    crate::{
        gateway::Gateway,
        peers::{self, Question, Reply},
        roster,
        time::within,
    },
    event_listener::Event,
    rand::seq::SliceRandom,
    smol::lock::Mutex,
    std::{
        cell::Cell,
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::TeamId,
        shares::Take,
        verdict::{Reason, Refusal},
    },
};

/// How long a request that opens a program waits for tokens: some round trips between hosts.
const WAIT_MAX: Duration = Duration::from_millis(60);
/// How long one of a program under way does: a refusal would end the program, and waste the tokens that
/// it has used. Some waits of this length still leave a program within twice its target.
const WAIT_UNDER_WAY_MAX: Duration = Duration::from_millis(500);
/// Part of the time that a request has left which it waits at most.
const WAIT_SHARE_MAX: f64 = 0.3;
/// How long one host may take to lend.
const LEND_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause after a round in which nobody had tokens to lend. Doubles up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(150);
/// The longest pause between such rounds.
const PAUSE_MAX: Duration = Duration::from_millis(600);
/// The least that a refused caller is asked to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
/// The most that it is asked to wait.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(1);

/// Borrowing for one team.
#[derive(Default)]
pub(crate) struct Borrowing {
    is_under_way: bool,
    /// No round before this time.
    paused_until: Option<Instant>,
    pause: Duration,
    arrived: Rc<Event>,
    queue: Rc<Queue>,
}

/// Requests of programs under way that wait for tokens, in the order in which they came.
#[derive(Default)]
struct Queue {
    /// Held by the first.
    first: Mutex<()>,
    waiting: Cell<usize>,
}

/// A place in a queue.
struct Place(Rc<Queue>);

impl Place {
    fn new(queue: Rc<Queue>) -> Self {
        queue.waiting.set(queue.waiting.get() + 1);
        Self(queue)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

/// Borrowing by team.
pub(crate) type Borrowings = HashMap<TeamId, Borrowing>;

/// Refuses a request of a team that would get no token in the time that it may wait, before anything is
/// charged for it.
///
/// # Errors
///
/// Refuses the request when the team is over its allowance.
pub(crate) fn check(
    gateway: &Rc<Gateway>,
    team: &TeamId,
    deadline: Instant,
) -> Result<(), Refusal> {
    let now = Instant::now();
    let waiting = queue(gateway, team).waiting.get();
    let token_in = gateway.shares.borrow_mut().own_token_in(now, team, waiting);
    if now + token_in.min(WAIT_UNDER_WAY_MAX) < give_up_at(now, deadline, false) {
        return Ok(());
    }
    // What others lend may be there before: a host without a part of the allowance has nothing else.
    match borrow_if_short(gateway, team) {
        true => Ok(()),
        false => Err(over_allowance(gateway, team, token_in)),
    }
}

/// Takes a token for a request of a team. Those of programs under way wait in line for a while; one that
/// opens a program leaves some tokens for them.
///
/// # Errors
///
/// Refuses the request when the team is over its allowance.
pub(crate) async fn take(
    gateway: &Rc<Gateway>,
    team: &TeamId,
    opens_program: bool,
    deadline: Instant,
) -> Result<(), Refusal> {
    let give_up = give_up_at(Instant::now(), deadline, opens_program);
    if opens_program {
        return take_first(gateway, team, true, give_up).await;
    }
    let queue = queue(gateway, team);
    let place = Place::new(queue.clone());
    let Some(_first) = within(give_up, queue.first.lock()).await else {
        let waiting = queue.waiting.get();
        let token_in = gateway.shares.borrow_mut().own_token_in(Instant::now(), team, waiting);
        return Err(over_allowance(gateway, team, token_in));
    };
    let taken = take_first(gateway, team, false, give_up).await;
    drop(place);
    taken
}

/// Takes a token for a request that has none before it.
async fn take_first(
    gateway: &Rc<Gateway>,
    team: &TeamId,
    opens_program: bool,
    give_up: Instant,
) -> Result<(), Refusal> {
    loop {
        let now = Instant::now();
        let take = gateway.shares.borrow_mut().take(now, team, opens_program);
        let is_borrowing = borrow_if_short(gateway, team);
        let Take::Short { next_token } = take else { return Ok(()) };
        let own_token_at = now.checked_add(next_token);
        let wakes_at = own_token_at.map_or(give_up, |at| at.min(give_up));
        let comes_in_time = is_borrowing || own_token_at.is_some_and(|at| at <= give_up);
        if now >= give_up || !comes_in_time {
            return Err(over_allowance(gateway, team, next_token));
        }
        let arrived =
            gateway.borrowings.borrow().get(team).map(|borrowing| borrowing.arrived.clone());
        match arrived {
            Some(arrived) => {
                within(wakes_at, arrived.listen()).await;
            }
            None => {
                smol::Timer::at(wakes_at).await;
            }
        }
    }
}

/// Returns until when a request waits for a token.
fn give_up_at(now: Instant, deadline: Instant, opens_program: bool) -> Instant {
    let max = if opens_program { WAIT_MAX } else { WAIT_UNDER_WAY_MAX };
    now + deadline.saturating_duration_since(now).mul_f64(WAIT_SHARE_MAX).min(max)
}

fn queue(gateway: &Gateway, team: &TeamId) -> Rc<Queue> {
    gateway.borrowings.borrow_mut().entry(team.clone()).or_default().queue.clone()
}

fn over_allowance(gateway: &Gateway, team: &TeamId, token_in: Duration) -> Refusal {
    let after = token_in.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    let state = gateway.shares.borrow().describe(team);
    let detail = format!("the team is over its allowance here: {state}");
    Refusal::not_run(Reason::OverAllowance, detail).retry_after(after)
}

/// Gives back the token of a request that did not run.
pub(crate) fn give_back(gateway: &Gateway, team: &str) {
    gateway.shares.borrow_mut().give_back(Instant::now(), team);
}

/// Lends tokens to another host.
pub(crate) fn lend(gateway: &Gateway, team: &str, tokens: f64) -> f64 {
    gateway.shares.borrow_mut().lend(Instant::now(), team, tokens)
}

/// Starts to borrow if the team is short here. Returns whether borrowing is under way.
fn borrow_if_short(gateway: &Rc<Gateway>, team: &TeamId) -> bool {
    let now = Instant::now();
    let mut borrowings = gateway.borrowings.borrow_mut();
    let borrowing = borrowings.entry(team.clone()).or_default();
    if borrowing.is_under_way {
        return true;
    }
    let is_paused = borrowing.paused_until.is_some_and(|until| now < until);
    if is_paused || gateway.shares.borrow_mut().shortage(now, team).is_none() {
        return false;
    }
    borrowing.is_under_way = true;
    gateway.spawn(borrow(gateway.clone(), team.clone()));
    true
}

/// Returns the other hosts that hold a team's allowance.
fn lenders(gateway: &Gateway, team: &TeamId) -> Vec<SocketAddr> {
    let table = gateway.table.borrow();
    let rules = table.as_ref().and_then(|table| table.teams.as_ref()?.get(team));
    let burst = rules.map_or(0.0, |rules| rules.burst_requests);
    let shares = gateway.shares.borrow();
    let holders = shares.holders().of(team, burst);
    let roster = gateway.roster.borrow();
    roster
        .lenders()
        .filter(|(host, _)| holders.contains(host))
        .map(|(_, address)| address)
        .collect()
}

/// Asks the other hosts in turn until the shortage is over.
async fn borrow(gateway: Rc<Gateway>, team: TeamId) {
    let mut lenders = lenders(&gateway, &team);
    lenders.retain(|address| !peers::is_suspect(&gateway, *address));
    lenders.shuffle(&mut rand::rng());
    let mut total = 0.0;
    for address in lenders {
        let shortage = gateway.shares.borrow_mut().shortage(Instant::now(), &team);
        let Some(tokens) = shortage else { break };
        let question = Question::Lend { team: team.clone(), tokens };
        let deadline = Instant::now() + LEND_TIMEOUT;
        if let Some(Reply::Lent { tokens }) =
            peers::ask(&gateway, address, &question, deadline).await
            && tokens > 0.0
        {
            total += tokens;
            gateway.shares.borrow_mut().receive(Instant::now(), &team, tokens);
            notify(&gateway, &team);
        }
    }
    gateway.metrics.count("borrow_rounds", 1);
    let mut borrowings = gateway.borrowings.borrow_mut();
    let borrowing = borrowings.entry(team.clone()).or_default();
    borrowing.is_under_way = false;
    if total < 1.0 {
        borrowing.pause = (borrowing.pause * 2).clamp(PAUSE_MIN, PAUSE_MAX);
        borrowing.paused_until = Some(Instant::now() + borrowing.pause);
    } else {
        borrowing.pause = Duration::ZERO;
    }
    borrowing.arrived.notify(usize::MAX);
}

fn notify(gateway: &Gateway, team: &TeamId) {
    if let Some(borrowing) = gateway.borrowings.borrow().get(team) {
        borrowing.arrived.notify(usize::MAX);
    }
}

/// Takes in the allowances of a new configuration.
pub(crate) fn reconfigure(gateway: &Gateway) {
    roster::refresh_holders(gateway);
    let table = gateway.table.borrow();
    let none = std::collections::BTreeMap::new();
    let rules = table.as_ref().and_then(|table| table.teams.as_ref()).unwrap_or(&none);
    gateway.shares.borrow_mut().set_rules(Instant::now(), rules);
    gateway.borrowings.borrow_mut().retain(|team, _| rules.contains_key(team));
}
