//! Writes a turn to the disks of enough store hosts before its answer ends.

use {
    super::{
        CachedTurn, Holder, RetainedTurn, TurnWriteOutcome, copies, holders_by_reachability,
        store_here,
    },
    crate::{
        gateway::Gateway,
        http::Progress,
        peers::{self, EncodedRequest, PeerReply, PeerRequest},
        time::within,
    },
    derive_more::{Display, Error, From},
    futures_util::{StreamExt, stream::FuturesUnordered},
    serde_json::json,
    std::{
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::HostId,
        turns::{PART_BYTES_MAX, TooFewHosts, WriteRound},
    },
    trefoilring_observe::decisions::LineRate,
};

/// How long no write may make progress, beside the time that its bytes should take, before another
/// host is asked as well. Longer than a few syncs of a slow disk.
const HEDGE_DELAY: Duration = Duration::from_millis(60);
/// How long a write at one host may make no progress.
const WRITE_SILENCE_MAX: Duration = Duration::from_millis(1500);
/// Size of the messages in which a chain is sent.
const CHAIN_MESSAGE_BYTES: usize = PART_BYTES_MAX;
/// Writes that take longer are logged.
const SLOW_WRITE: Duration = Duration::from_millis(50);

/// Why a turn is not kept.
#[derive(Clone, Copy, Debug, Display, Error, From)]
pub(crate) enum NotRetained {
    /// There are too few store hosts.
    #[display("{_0}")]
    TooFewHosts(TooFewHosts),
    /// Too few of them have stored it.
    #[display("too few hosts have stored the turn")]
    #[from(ignore)]
    NotStored,
    /// Too few of them have stored it in the request's time.
    #[display("too few hosts have stored the turn in time")]
    #[from(ignore)]
    TimedOut,
}

/// Writes a turn, and remembers it once it survives any loss that must be borne.
///
/// # Errors
///
/// Returns a [`NotRetained`] if it may not survive such a loss.
pub(crate) async fn retain(
    gateway: &Rc<Gateway>,
    turn: RetainedTurn,
    previous: Option<Rc<CachedTurn>>,
    deadline: Instant,
) -> Result<(), NotRetained> {
    let began = Instant::now();
    let cached = Rc::new(CachedTurn { turn, previous });
    let mut asked_count = 0;
    let outcome = write(gateway, &cached, deadline, &mut asked_count).await;
    let took = began.elapsed();
    gateway.metrics.count(if outcome.is_ok() { "turns_kept" } else { "turns_not_kept" }, 1);
    let is_notable = outcome.is_err() || took >= SLOW_WRITE;
    gateway.decisions.log(
        if is_notable { LineRate::Failure } else { LineRate::Routine },
        "turn_kept",
        json!({
            "turn": cached.turn.head.id,
            "tree": cached.turn.head.tree,
            "error": outcome.as_ref().err().map(ToString::to_string),
            "hosts_asked": asked_count,
            "bytes": cached.turn.bytes(),
            "took_ms": took.as_millis() as u64,
        }),
    );
    outcome?;
    gateway.turns.cache.borrow_mut().insert(cached);
    Ok(())
}

async fn write(
    gateway: &Rc<Gateway>,
    turn: &Rc<CachedTurn>,
    deadline: Instant,
    asked_count: &mut usize,
) -> Result<(), NotRetained> {
    let holders = holders_by_reachability(gateway, &turn.turn.head.tree);
    let ranked: Vec<HostId> = holders.iter().map(|holder| holder.host.clone()).collect();
    let by_host: HashMap<HostId, Holder> =
        holders.into_iter().map(|holder| (holder.host.clone(), holder)).collect();
    let (mut round, first) = WriteRound::begin(copies(gateway), ranked)?;
    let message = TurnMessage::new(vec![turn.turn.clone()]).ok_or(NotRetained::NotStored)?;
    let message = Rc::new(message);
    let mut writes = FuturesUnordered::new();
    let mut progress: HashMap<HostId, Progress> = HashMap::new();
    let mut to_ask = first;
    let hedge_delay = HEDGE_DELAY + gateway.turns.transfers.duration_to_send(turn.turn.bytes());
    // While bytes pass, another copy on the same link would only make these writes late.
    let hedge_at = |progress: &HashMap<HostId, Progress>, last_event_at: Instant| {
        let last_progress = progress.values().map(Progress::last_at);
        last_progress.fold(last_event_at, Instant::max) + hedge_delay
    };
    let mut last_event_at = Instant::now();
    loop {
        for holder in to_ask.drain(..).filter_map(|host| by_host.get(&host)) {
            *asked_count += 1;
            let begun = Progress::begin();
            progress.insert(holder.host.clone(), begun.clone());
            let (message, turn) = (message.clone(), turn.clone());
            writes.push(write_at(gateway.clone(), holder.clone(), message, turn, begun));
        }
        if round.is_durable() {
            return Ok(());
        }
        if round.is_hopeless() {
            return Err(NotRetained::NotStored);
        }
        let next_hedge_at = hedge_at(&progress, last_event_at);
        match within(deadline.min(next_hedge_at), writes.next()).await {
            Some(Some((host, is_stored))) => {
                progress.remove(&host);
                last_event_at = Instant::now();
                match is_stored {
                    true => round.on_stored(&host),
                    false => to_ask.extend(round.on_failed(&host)),
                }
            }
            Some(None) => return Err(NotRetained::NotStored),
            None if Instant::now() >= deadline => return Err(NotRetained::TimedOut),
            None if Instant::now() >= hedge_at(&progress, last_event_at) => {
                last_event_at = Instant::now();
                to_ask.extend(round.on_slow());
            }
            None => {}
        }
    }
}

/// Writes a turn at one host, with those before it if the host does not hold them. Returns whether
/// the host has stored it.
async fn write_at(
    gateway: Rc<Gateway>,
    holder: Holder,
    message: Rc<TurnMessage>,
    turn: Rc<CachedTurn>,
    progress: Progress,
) -> (HostId, bool) {
    let mut outcome = send(&gateway, &holder, &message, &progress).await;
    if outcome == Some(TurnWriteOutcome::MissingPrevious) {
        gateway.metrics.count("turn_chains_written", 1);
        for turns in chain_messages(&turn) {
            let Some(message) = TurnMessage::new(turns) else { return (holder.host, false) };
            outcome = send(&gateway, &holder, &message, &progress).await;
            if outcome != Some(TurnWriteOutcome::Stored) {
                break;
            }
        }
    }
    (holder.host, outcome == Some(TurnWriteOutcome::Stored))
}

/// Sends turns to a host. Returns whether it has stored them.
pub(super) async fn store_at(
    gateway: &Rc<Gateway>,
    holder: &Holder,
    turns: Vec<RetainedTurn>,
) -> bool {
    let Some(message) = TurnMessage::new(turns) else { return false };
    let outcome = send(gateway, holder, &message, &Progress::begin()).await;
    outcome == Some(TurnWriteOutcome::Stored)
}

/// Returns a turn and those before it, the oldest first, in messages of a bounded size.
fn chain_messages(turn: &CachedTurn) -> Vec<Vec<RetainedTurn>> {
    let mut chain: Vec<&RetainedTurn> = turn.chain().map(|turn| &turn.turn).collect();
    chain.reverse();
    let (mut messages, mut bytes): (Vec<Vec<RetainedTurn>>, usize) = (Vec::new(), 0);
    for turn in chain {
        bytes += turn.bytes();
        if messages.is_empty() || bytes > CHAIN_MESSAGE_BYTES {
            messages.push(Vec::new());
            bytes = turn.bytes();
        }
        if let Some(message) = messages.last_mut() {
            message.push(turn.clone());
        }
    }
    messages
}

/// Turns to store, encoded once for all hosts that get them.
struct TurnMessage {
    turns: Vec<RetainedTurn>,
    bytes: usize,
    request: EncodedRequest,
}

impl TurnMessage {
    fn new(turns: Vec<RetainedTurn>) -> Option<Self> {
        let bytes = turns.iter().map(RetainedTurn::bytes).sum();
        let request = EncodedRequest::new(PeerRequest::StoreTurns { turns: turns.clone() })?;
        Some(Self { turns, bytes, request })
    }
}

async fn send(
    gateway: &Rc<Gateway>,
    holder: &Holder,
    message: &TurnMessage,
    progress: &Progress,
) -> Option<TurnWriteOutcome> {
    let TurnMessage { turns, bytes, request } = message;
    let Some(address) = holder.address else {
        return Some(store_here(gateway, turns.clone()).await);
    };
    let patience =
        peers::Patience { silence_max: WRITE_SILENCE_MAX, relayed_max: WRITE_SILENCE_MAX };
    let (transfers, began) = (&gateway.turns.transfers, Instant::now());
    // A host whose disk stalls is in reach, so only its turns go elsewhere for a while.
    let slow_after = HEDGE_DELAY + transfers.duration_to_send(*bytes);
    let slow_guard = SlowGuard { gateway, address, slow_at: began + slow_after };
    let reply = peers::send_bulk_or_relay(gateway, address, request, progress, patience).await;
    drop(slow_guard);
    match reply {
        Some(PeerReply::TurnsStored { outcome }) => {
            transfers.on_sent(*bytes, began.elapsed());
            Some(outcome)
        }
        _ => None,
    }
}

/// Records on drop that a host was slow, also if the write is no longer waited for.
struct SlowGuard<'a> {
    gateway: &'a Gateway,
    address: SocketAddr,
    /// When the host has taken longer than usual.
    slow_at: Instant,
}

impl Drop for SlowGuard<'_> {
    fn drop(&mut self) {
        if Instant::now() >= self.slow_at {
            self.gateway.turns.record_slow(self.address);
        }
    }
}
