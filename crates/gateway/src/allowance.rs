//! Takes rate-limit tokens from the teams' allowances, one for each request.

mod borrowing;
mod queue;

pub(crate) use borrowing::Borrowings;

use {
    crate::{gateway::Gateway, roster, time::within},
    borrowing::{BorrowState, borrow_if_insufficient, queue_of, with_borrowing},
    queue::WaitingGuard,
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

/// Maximum time that a request that opens a program, that is its first turn, waits for tokens.
/// Allows for a few round trips between hosts.
const OPENING_WAIT_MAX: Duration = Duration::from_millis(60);
/// Minimum `Retry-After` of requests that exceed the allowance.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
/// Maximum `Retry-After` of requests that exceed the allowance.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(1);

/// Checks whether a request of a team can get a token within its maximum wait. Called before the
/// request's program is charged.
///
/// # Errors
///
/// Returns a refusal if the team is over its allowance.
pub(crate) fn check(
    gateway: &Rc<Gateway>,
    team: &TeamId,
    deadline: Instant,
) -> Result<(), Refusal> {
    let now = Instant::now();
    let queue = queue_of(gateway, team);
    let requests_ahead = queue.waiting().active_program_count;
    let time_until_token =
        gateway.shares.borrow_mut().time_until_refilled(now, team, requests_ahead);
    let _guard = WaitingGuard::new(queue, false);
    let borrow_state = borrow_if_insufficient(gateway, team);
    let expires_at = wait_expires_at(now, deadline, false);
    let has_own_token = now.checked_add(time_until_token).is_some_and(|at| at < expires_at);
    match has_own_token || borrow_state.may_arrive_before(expires_at) {
        true => Ok(()),
        false => Err(over_allowance(gateway, team, time_until_token)),
    }
}

/// Takes a token for a request of a team. Requests of active programs wait in a queue, for a
/// limited time. A request that opens a program gets a token only if enough remain for requests of
/// active programs.
///
/// # Errors
///
/// Returns a refusal if the team is over its allowance.
pub(crate) async fn take(
    gateway: &Rc<Gateway>,
    team: &TeamId,
    opens_program: bool,
    deadline: Instant,
) -> Result<(), Refusal> {
    let expires_at = wait_expires_at(Instant::now(), deadline, opens_program);
    take_queued(gateway, team, opens_program, expires_at).await?;
    // Borrows in advance for the next requests of the team if tokens have become insufficient.
    borrow_if_insufficient(gateway, team);
    Ok(())
}

async fn take_queued(
    gateway: &Rc<Gateway>,
    team: &TeamId,
    opens_program: bool,
    expires_at: Instant,
) -> Result<(), Refusal> {
    let queue = queue_of(gateway, team);
    let _guard = WaitingGuard::new(queue.clone(), opens_program);
    if opens_program {
        return take_or_wait(gateway, team, true, expires_at).await;
    }
    let Some(_head) = within(expires_at, queue.head_lock.lock()).await else {
        let requests_ahead = queue.waiting().active_program_count.saturating_sub(1);
        let time_until_token =
            gateway.shares.borrow_mut().time_until_refilled(Instant::now(), team, requests_ahead);
        return Err(over_allowance(gateway, team, time_until_token));
    };
    take_or_wait(gateway, team, false, expires_at).await
}

/// Takes a token for a request that opens a program or is first in the queue. Waits at most until
/// `expires_at`.
async fn take_or_wait(
    gateway: &Rc<Gateway>,
    team: &TeamId,
    opens_program: bool,
    expires_at: Instant,
) -> Result<(), Refusal> {
    loop {
        let now = Instant::now();
        let take = gateway.shares.borrow_mut().take(now, team, opens_program);
        let TakeResult::InsufficientTokens { next_token } = take else { return Ok(()) };
        let borrow_state = borrow_if_insufficient(gateway, team);
        let own_token_at = now.checked_add(next_token).filter(|at| *at <= expires_at);
        if now >= expires_at
            || own_token_at.is_none() && !borrow_state.may_arrive_before(expires_at)
        {
            return Err(over_allowance(gateway, team, next_token));
        }
        let retry_at = match borrow_state {
            BorrowState::Paused(until) => until,
            BorrowState::Requested | BorrowState::NotNeeded => expires_at,
        };
        let wake_at = own_token_at.unwrap_or(expires_at).min(retry_at).min(expires_at);
        let changed = with_borrowing(gateway, team, |borrowing| borrowing.changed.clone());
        within(wake_at, changed.listen()).await;
    }
}

/// Returns the time until which a request waits for a token.
fn wait_expires_at(now: Instant, deadline: Instant, opens_program: bool) -> Instant {
    wait::expires_at(
        now,
        deadline,
        if opens_program { OPENING_WAIT_MAX } else { wait::ACTIVE_PROGRAM_WAIT_MAX },
    )
}

fn over_allowance(gateway: &Gateway, team: &TeamId, time_until_token: Duration) -> Refusal {
    let after = time_until_token.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    let state = gateway.shares.borrow().describe(team);
    let detail = format!("the team is over its allowance here: {state}");
    Refusal::not_run(Reason::OverAllowance, detail).retry_after(after)
}

/// Returns the token of a request that did not run to the allowance.
pub(crate) fn return_token(gateway: &Gateway, team: &str) {
    gateway.shares.borrow_mut().return_token(Instant::now(), team);
}

/// Lends up to `tokens` tokens to another host. Returns the number lent.
pub(crate) fn lend(gateway: &Gateway, team: &str, tokens: f64) -> f64 {
    gateway.shares.borrow_mut().lend(Instant::now(), team, tokens)
}

/// Applies the allowances of a new configuration.
pub(crate) fn apply_rules(gateway: &Gateway) {
    roster::refresh_allowance_hosts(gateway);
    let table = gateway.routing_table.borrow();
    let no_rules = std::collections::BTreeMap::new();
    let rules = table.as_ref().and_then(|table| table.teams.as_ref()).unwrap_or(&no_rules);
    gateway.shares.borrow_mut().set_rules(Instant::now(), rules);
    gateway.borrowings.borrow_mut().retain(|team, _| rules.contains_key(team));
}
