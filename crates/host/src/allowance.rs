//! Takes a team's tokens: tries one half, then the other, and retries after a bounded wait.

use {
    crate::{
        control::{Control, Reply, home::Home},
        shared::Shared,
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::TeamId,
        limit::{Action, LimiterResult, MAX_DEFERRAL, Taken},
        verdict::Refusal,
    },
    trefoilring_proto::{PeerClient, TakeTokens},
};

/// Timeout for a request to a limiter.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Takes one token from a team's allowance.
pub(crate) async fn take(shared: &Arc<Shared>, team: &TeamId) -> Result<(), Refusal> {
    let team_id = team.clone();
    let begin = move |control: &mut Control, reply: Reply<_>| {
        control.begin_take(&team_id, MAX_DEFERRAL, &reply);
    };
    let mut attempt = shared.control.request(begin).await?;
    let result = loop {
        match attempt.next(Instant::now()) {
            Action::Request(half, wait_max) => {
                let count = attempt.count();
                let take = TakeTokens { team: team.clone(), half, count, wait_max };
                let answer = request_from_half(shared, take).await;
                attempt.on_result(Instant::now(), half, answer);
            }
            Action::Wait(until) => {
                smol::Timer::at(until).await;
            }
            Action::Granted => break Ok(()),
            Action::Refuse(refusal) => break Err(refusal),
        }
    };
    let team = team.clone();
    shared.control.submit(move |control| control.end_take(&team, &attempt));
    result
}

/// Requests tokens from the limiter of a half. If the limiter is on this host, lookup and request
/// are one job of the control thread.
async fn request_from_half(shared: &Arc<Shared>, take: TakeTokens) -> LimiterResult {
    let request = take.clone();
    let job = move |control: &mut Control, reply: Reply<_>| {
        let found = control.find_limiter(&request.team, request.half);
        let taken = found.map(|home| match home {
            Home::Local => Ok(control.take_tokens(&request)),
            Home::Remote(address) => Err(address),
        });
        let _ = reply.try_send(taken);
    };
    match shared.control.request(job).await {
        Ok(Ok(Ok(taken))) => LimiterResult::Replied(taken),
        Ok(Ok(Err(address))) => take_remote(shared, address, take).await,
        _ => LimiterResult::Unreachable,
    }
}

async fn take_remote(shared: &Arc<Shared>, address: SocketAddr, take: TakeTokens) -> LimiterResult {
    let link = shared.peers.link(address);
    let send = |client: PeerClient, context| async move { client.take_tokens(context, take).await };
    match link.call(REQUEST_TIMEOUT, send).await {
        Ok(taken) => LimiterResult::Replied(taken),
        Err(_) => LimiterResult::Unreachable,
    }
}

/// Takes tokens, on behalf of another host, from a half of a team's allowance whose limiter is on
/// this host.
pub(crate) async fn take_local(shared: &Arc<Shared>, take: TakeTokens) -> Taken {
    let job = move |control: &mut Control, reply: Reply<_>| {
        let _ = reply.try_send(control.take_tokens(&take));
    };
    shared.control.request(job).await.unwrap_or(Taken::NotHere)
}
