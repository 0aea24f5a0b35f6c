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
    std::{
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

/// How long a request waits for borrowed tokens: some round trips between hosts.
const WAIT_MAX: Duration = Duration::from_millis(60);
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
}

/// Borrowing by team.
pub(crate) type Borrowings = HashMap<TeamId, Borrowing>;

/// Takes a token for a request of a team. One that opens a program leaves some for others.
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
    let began = Instant::now();
    let give_up = deadline.min(began + WAIT_MAX);
    loop {
        let now = Instant::now();
        let take = gateway.shares.borrow_mut().take(now, team, opens_program);
        let is_borrowing = borrow_if_short(gateway, team);
        let Take::Short { next_token } = take else { return Ok(()) };
        let own_token_at = now.checked_add(next_token);
        let wakes_at = own_token_at.map_or(give_up, |at| at.min(give_up));
        let comes_in_time = is_borrowing || own_token_at.is_some_and(|at| at <= give_up);
        if now >= give_up || !comes_in_time {
            let after = next_token.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
            let state = gateway.shares.borrow().describe(team);
            let detail = format!("the team is over its allowance here: {state}");
            return Err(Refusal::not_run(Reason::OverAllowance, detail).retry_after(after));
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
