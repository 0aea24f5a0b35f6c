//! Writes a turn to the disks of enough store hosts before its answer ends.

use {
    super::{
        CachedTurn, Holder, RetainedTurn, TurnWriteOutcome, copies, holders_by_reachability,
        store_here,
    },
    crate::{
        gateway::Gateway,
        peers::{self, PeerReply, PeerRequest},
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
        turns::{TooFewHosts, WriteRound},
    },
    trefoilring_observe::decisions::LineRate,
};

/// How long the writes are waited for before another host is asked as well. Longer than a few syncs
/// of a slow disk.
const HEDGE_DELAY: Duration = Duration::from_millis(60);
/// Timeout of a write at one host.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
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
    let mut writes = FuturesUnordered::new();
    let mut to_ask = first;
    loop {
        for holder in to_ask.drain(..).filter_map(|host| by_host.get(&host)) {
            *asked_count += 1;
            writes.push(write_at(gateway.clone(), holder.clone(), turn.clone(), deadline));
        }
        if round.is_durable() {
            return Ok(());
        }
        if round.is_hopeless() {
            return Err(NotRetained::NotStored);
        }
        let hedge_at = deadline.min(Instant::now() + HEDGE_DELAY);
        match within(hedge_at, writes.next()).await {
            Some(Some((host, true))) => round.on_stored(&host),
            Some(Some((host, false))) => to_ask.extend(round.on_failed(&host)),
            Some(None) => return Err(NotRetained::NotStored),
            None if Instant::now() >= deadline => return Err(NotRetained::TimedOut),
            None => to_ask.extend(round.on_slow()),
        }
    }
}

/// Writes a turn at one host, with those before it if the host does not hold them. Returns whether
/// the host has stored it.
async fn write_at(
    gateway: Rc<Gateway>,
    holder: Holder,
    turn: Rc<CachedTurn>,
    deadline: Instant,
) -> (HostId, bool) {
    let mut turns = vec![turn.turn.clone()];
    let mut outcome = send(&gateway, &holder, turns.clone(), deadline).await;
    if outcome == Some(TurnWriteOutcome::MissingPrevious) {
        turns = turn.chain().map(|turn| turn.turn.clone()).collect();
        turns.reverse();
        gateway.metrics.count("turn_chains_written", 1);
        outcome = send(&gateway, &holder, turns, deadline).await;
    }
    (holder.host, outcome == Some(TurnWriteOutcome::Stored))
}

async fn send(
    gateway: &Rc<Gateway>,
    holder: &Holder,
    turns: Vec<RetainedTurn>,
    deadline: Instant,
) -> Option<TurnWriteOutcome> {
    let Some(address) = holder.address else { return Some(store_here(gateway, turns).await) };
    let began = Instant::now();
    let timeout = WRITE_TIMEOUT.min(deadline.saturating_duration_since(began));
    let request = PeerRequest::StoreTurns { turns };
    // A host whose disk stalls is in reach, so only its turns go elsewhere for a while.
    let slow_guard = SlowGuard { gateway, address, began };
    let reply = peers::send_directly_or_relay(gateway, address, request, timeout).await;
    drop(slow_guard);
    match reply {
        Some(PeerReply::TurnsStored { outcome }) => Some(outcome),
        _ => None,
    }
}

/// Records on drop that a host was slow, also if the write is no longer waited for.
struct SlowGuard<'a> {
    gateway: &'a Gateway,
    address: SocketAddr,
    began: Instant,
}

impl Drop for SlowGuard<'_> {
    fn drop(&mut self) {
        if self.began.elapsed() >= HEDGE_DELAY {
            self.gateway.turns.record_slow(self.address);
        }
    }
}
