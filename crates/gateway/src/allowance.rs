//! Takes tokens of teams' allowances for requests.

mod borrowing;
mod queue;

pub(crate) use borrowing::Borrowings;

use {
    crate::{gateway::Gateway, roster, time::within},
    borrowing::{Loan, borrow_if_short, borrowing, queue},
    queue::Place,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::TeamId,
        shares::TakeResult,
        verdict::{Reason, Refusal},
        wait,
    },
};

/// How long a request that opens a program waits for tokens: some round trips between hosts.
const WAIT_MAX: Duration = Duration::from_millis(60);
/// The least that a refused caller is asked to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
/// The most that it is asked to wait.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(1);

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
    let before = queue.waiting().active_program_count;
    let token_in = gateway.shares.borrow_mut().time_until_refilled(now, team, before);
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
        let before = queue.waiting().active_program_count.saturating_sub(1);
        let token_in =
            gateway.shares.borrow_mut().time_until_refilled(Instant::now(), team, before);
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
        let TakeResult::InsufficientTokens { next_token } = take else { return Ok(()) };
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
    wait::expires_at(
        now,
        deadline,
        if opens_program { WAIT_MAX } else { wait::ACTIVE_PROGRAM_WAIT_MAX },
    )
}

fn over_allowance(gateway: &Gateway, team: &TeamId, token_in: Duration) -> Refusal {
    let after = token_in.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    let state = gateway.shares.borrow().describe(team);
    let detail = format!("the team is over its allowance here: {state}");
    Refusal::not_run(Reason::OverAllowance, detail).retry_after(after)
}

/// Gives back the token of a request that did not run.
pub(crate) fn give_back(gateway: &Gateway, team: &str) {
    gateway.shares.borrow_mut().return_token(Instant::now(), team);
}

/// Lends tokens to another host.
pub(crate) fn lend(gateway: &Gateway, team: &str, tokens: f64) -> f64 {
    gateway.shares.borrow_mut().lend(Instant::now(), team, tokens)
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
