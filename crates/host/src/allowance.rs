//! Taking a team's tokens: one half, then the other, then a bounded wait.

use {
    crate::{
        control::{Control, Reply, allowance::DRAW_TIMEOUT, home::Home},
        shared::Shared,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    trefoilring_core::{
        ids::TeamId,
        limit::{DrawReply, DrawRequest, HalfAnswer, Step, Taken},
        verdict::Refusal,
    },
    trefoilring_proto::{PeerClient, TakeTokens},
};

/// The longest that a request waits for its team's tokens before it is refused. A request that
/// would have to wait longer is refused at once.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// How long a question to a limiter may take.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Takes one token of a team's allowance.
pub(crate) async fn take(shared: &Arc<Shared>, team: &TeamId) -> Result<(), Refusal> {
    let asked = team.clone();
    let begin = move |control: &mut Control, reply: Reply<_>| {
        control.begin_take(&asked, MAX_WAIT, &reply);
    };
    let mut attempt = shared.control.ask(begin).await?;
    let result = loop {
        match attempt.next(std::time::Instant::now()) {
            Step::Ask(half) => {
                let take = TakeTokens { team: team.clone(), half, count: attempt.count() };
                attempt.answered(half, ask_half(shared, take).await);
            }
            Step::Wait(until) => {
                smol::Timer::at(until).await;
            }
            Step::Granted => break Ok(()),
            Step::Refuse(refusal) => break Err(refusal),
        }
    };
    let team = team.clone();
    shared.control.tell(move |control| control.end_take(&team, &attempt));
    result
}

/// Asks the limiter of a half; if it is here, in one job of the control thread.
async fn ask_half(shared: &Arc<Shared>, take: TakeTokens) -> HalfAnswer {
    let asked = take.clone();
    let job = move |control: &mut Control, reply: Reply<_>| {
        let found = control.find_limiter(&asked.team, asked.half);
        let taken = found.map(|home| match home {
            Home::Here => Ok(control.take_tokens(&asked)),
            Home::At(address) => Err(address),
        });
        let _ = reply.try_send(taken);
    };
    match shared.control.ask(job).await {
        Ok(Ok(Ok(taken))) => HalfAnswer::Answered(draw_if_short(shared, take, taken).await),
        Ok(Ok(Err(address))) => take_at(shared, address, take).await,
        _ => HalfAnswer::Unreachable,
    }
}

async fn take_at(shared: &Arc<Shared>, address: SocketAddr, take: TakeTokens) -> HalfAnswer {
    let link = shared.peers.link(address);
    let ask = |client: PeerClient, context| async move { client.take_tokens(context, take).await };
    match link.call(ASK_TIMEOUT, ask).await {
        Ok(taken) => HalfAnswer::Answered(taken),
        Err(_) => HalfAnswer::Unreachable,
    }
}

/// Takes tokens from a half that this host holds, with what the other half can spare.
pub(crate) async fn take_here(shared: &Arc<Shared>, take: TakeTokens) -> Taken {
    let taken = try_take(shared, &take).await;
    draw_if_short(shared, take, taken).await
}

/// Tries again with what the other half can spare.
async fn draw_if_short(shared: &Arc<Shared>, take: TakeTokens, taken: Taken) -> Taken {
    if !matches!(taken, Taken::RetryAfter(_)) {
        return taken;
    }
    match draw_from_other(shared, &take).await {
        true => try_take(shared, &take).await,
        false => taken,
    }
}

async fn try_take(shared: &Arc<Shared>, take: &TakeTokens) -> Taken {
    let take = take.clone();
    let job = move |control: &mut Control, reply: Reply<_>| {
        let _ = reply.try_send(control.take_tokens(&take));
    };
    shared.control.ask(job).await.unwrap_or(Taken::NotHere)
}

/// Moves tokens from the other half to this one. Returns whether any came.
async fn draw_from_other(shared: &Arc<Shared>, take: &TakeTokens) -> bool {
    let (asked, other) = (take.clone(), 1 - take.half.min(1));
    let job = move |control: &mut Control, reply: Reply<_>| {
        let request = control.begin_draw(&asked);
        let holder = control.find_limiter(&asked.team, other);
        let _ = reply.try_send(request.zip(holder.ok()));
    };
    let Ok(Some((request, holder))) = shared.control.ask(job).await else { return false };
    let reply = match holder {
        Home::Here => draw_here(shared, request).await,
        Home::At(address) => draw_at(shared, address, request).await,
    };
    let Some(reply) = reply else { return false };
    let has_tokens = reply.amount > Default::default();
    shared.control.tell(move |control| control.end_draw(&reply));
    has_tokens
}

async fn draw_at(
    shared: &Arc<Shared>,
    address: SocketAddr,
    request: DrawRequest,
) -> Option<DrawReply> {
    let link = shared.peers.link(address);
    let ask =
        |client: PeerClient, context| async move { client.draw_tokens(context, request).await };
    link.call(DRAW_TIMEOUT, ask).await.ok()?
}

/// Removes tokens from a half that this host holds, for the other one.
pub(crate) async fn draw_here(shared: &Arc<Shared>, request: DrawRequest) -> Option<DrawReply> {
    let job = move |control: &mut Control, reply: Reply<_>| {
        let _ = reply.try_send(control.draw(&request));
    };
    shared.control.ask(job).await.ok()?
}
