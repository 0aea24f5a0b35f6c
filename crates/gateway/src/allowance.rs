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
        shares::{Take, Waiting},
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

/// Whether other hosts may lend tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loan {
    /// They are being asked.
    Asked,
    /// They had none to spare, and are asked again at this time.
    Paused(Instant),
    /// None is needed.
    NotNeeded,
}

impl Loan {
    /// Returns whether tokens may come before a time.
    fn may_come_before(self, time: Instant) -> bool {
        match self {
            Self::Asked => true,
            Self::Paused(until) => until < time,
            Self::NotNeeded => false,
        }
    }
}

/// Requests of programs under way that wait for tokens, in the order in which they came.
#[derive(Default)]
struct Queue {
    /// Held by the first.
    first: Mutex<()>,
    under_way: Cell<usize>,
    opening: Cell<usize>,
}

impl Queue {
    fn waiting(&self) -> Waiting {
        Waiting { under_way: self.under_way.get(), opens_program: self.opening.get() > 0 }
    }

    fn count(&self, opens_program: bool) -> &Cell<usize> {
        if opens_program { &self.opening } else { &self.under_way }
    }
}

/// A place among those who wait.
struct Place {
    queue: Rc<Queue>,
    opens_program: bool,
}

impl Place {
    fn new(queue: Rc<Queue>, opens_program: bool) -> Self {
        let count = queue.count(opens_program);
        count.set(count.get() + 1);
        Self { queue, opens_program }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let count = self.queue.count(self.opens_program);
        count.set(count.get() - 1);
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
    let queue = queue(gateway, team);
    let before = queue.under_way.get();
    let token_in = gateway.shares.borrow_mut().own_token_in(now, team, before);
    let _place = Place::new(queue, false);
    let loan = borrow_if_short(gateway, team);
    let give_up = give_up_at(now, deadline, false);
    let has_own = now.checked_add(token_in).is_some_and(|at| at < give_up);
    match has_own || loan.may_come_before(give_up) {
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
    take_in_turn(gateway, team, opens_program, give_up).await?;
    // For those who come next, where many do.
    borrow_if_short(gateway, team);
    Ok(())
}

async fn take_in_turn(
    gateway: &Rc<Gateway>,
    team: &TeamId,
    opens_program: bool,
    give_up: Instant,
) -> Result<(), Refusal> {
    let queue = queue(gateway, team);
    let _place = Place::new(queue.clone(), opens_program);
    if opens_program {
        return take_first(gateway, team, true, give_up).await;
    }
    let Some(_first) = within(give_up, queue.first.lock()).await else {
        let before = queue.under_way.get().saturating_sub(1);
        let token_in = gateway.shares.borrow_mut().own_token_in(Instant::now(), team, before);
        return Err(over_allowance(gateway, team, token_in));
    };
    take_first(gateway, team, false, give_up).await
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
        let Take::Short { next_token } = take else { return Ok(()) };
        let loan = borrow_if_short(gateway, team);
        let own_token_at = now.checked_add(next_token).filter(|at| *at <= give_up);
        if now >= give_up || own_token_at.is_none() && !loan.may_come_before(give_up) {
            return Err(over_allowance(gateway, team, next_token));
        }
        let asks_again_at = match loan {
            Loan::Paused(until) => until,
            Loan::Asked | Loan::NotNeeded => give_up,
        };
        let wakes_at = own_token_at.unwrap_or(give_up).min(asks_again_at).min(give_up);
        let arrived = borrowing(gateway, team, |borrowing| borrowing.arrived.clone());
        within(wakes_at, arrived.listen()).await;
    }
}

/// Returns until when a request waits for a token.
fn give_up_at(now: Instant, deadline: Instant, opens_program: bool) -> Instant {
    let max = if opens_program { WAIT_MAX } else { WAIT_UNDER_WAY_MAX };
    now + deadline.saturating_duration_since(now).mul_f64(WAIT_SHARE_MAX).min(max)
}

fn borrowing<T>(gateway: &Gateway, team: &TeamId, read: impl FnOnce(&Borrowing) -> T) -> T {
    read(gateway.borrowings.borrow_mut().entry(team.clone()).or_default())
}

fn queue(gateway: &Gateway, team: &TeamId) -> Rc<Queue> {
    borrowing(gateway, team, |borrowing| borrowing.queue.clone())
}

/// Returns how many tokens to borrow for a team, if it is short here.
fn shortage(gateway: &Gateway, team: &TeamId) -> Option<f64> {
    let waiting = queue(gateway, team).waiting();
    gateway.shares.borrow_mut().shortage(Instant::now(), team, waiting)
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

/// Starts to borrow if the team is short here.
fn borrow_if_short(gateway: &Rc<Gateway>, team: &TeamId) -> Loan {
    if shortage(gateway, team).is_none() {
        return Loan::NotNeeded;
    }
    let now = Instant::now();
    let mut borrowings = gateway.borrowings.borrow_mut();
    let borrowing = borrowings.entry(team.clone()).or_default();
    if borrowing.is_under_way {
        return Loan::Asked;
    }
    if let Some(until) = borrowing.paused_until.filter(|until| now < *until) {
        return Loan::Paused(until);
    }
    borrowing.is_under_way = true;
    gateway.spawn(borrow(gateway.clone(), team.clone()));
    Loan::Asked
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
    let (mut total, mut is_short) = (0.0, false);
    for address in lenders {
        let missing = shortage(&gateway, &team);
        is_short = missing.is_some();
        let Some(tokens) = missing else { break };
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
    if total < 1.0 && is_short {
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
