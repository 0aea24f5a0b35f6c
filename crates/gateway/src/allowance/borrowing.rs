//! Borrows tokens of a team's allowance from the other hosts that have a share of it.

use {
    super::queue::Queue,
    crate::{
        gateway::Gateway,
        peers::{self, PeerReply, PeerRequest},
    },
    event_listener::Event,
    rand::seq::SliceRandom,
    std::{
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::ids::TeamId,
};

/// Timeout of a request to one lender.
const LEND_TIMEOUT: Duration = Duration::from_millis(100);
/// Initial pause after a round in which no host lent enough tokens. Doubles up to
/// [`BORROW_PAUSE_MAX`].
const BORROW_PAUSE_MIN: Duration = Duration::from_millis(150);
/// Maximum pause between such rounds.
const BORROW_PAUSE_MAX: Duration = Duration::from_millis(600);

/// State of borrowing for one team.
#[derive(Default)]
pub(crate) struct Borrowing {
    is_in_progress: bool,
    /// No round starts before this time.
    paused_until: Option<Instant>,
    pause: Duration,
    /// Notified when tokens arrive and when a round ends.
    pub(super) changed: Rc<Event>,
    pub(super) queue: Rc<Queue>,
}

/// Whether other hosts may lend tokens to this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BorrowState {
    /// A round of requests is in progress.
    Requested,
    /// The last round did not yield enough tokens. The next one may start at this time.
    Paused(Instant),
    /// This host has enough tokens.
    NotNeeded,
}

impl BorrowState {
    /// Returns whether borrowed tokens may arrive before the given time.
    pub(super) fn may_arrive_before(self, time: Instant) -> bool {
        match self {
            Self::Requested => true,
            Self::Paused(until) => until < time,
            Self::NotNeeded => false,
        }
    }
}

/// State of borrowing by team.
pub(crate) type Borrowings = HashMap<TeamId, Borrowing>;

pub(super) fn with_borrowing<T>(
    gateway: &Gateway,
    team: &TeamId,
    read: impl FnOnce(&Borrowing) -> T,
) -> T {
    read(gateway.borrowings.borrow_mut().entry(team.clone()).or_default())
}

pub(super) fn queue_of(gateway: &Gateway, team: &TeamId) -> Rc<Queue> {
    with_borrowing(gateway, team, |borrowing| borrowing.queue.clone())
}

/// Returns how many tokens to borrow for a team, if this host has insufficient tokens.
fn missing_tokens(gateway: &Gateway, team: &TeamId) -> Option<f64> {
    let waiting = queue_of(gateway, team).waiting();
    gateway.shares.borrow_mut().tokens_to_borrow(Instant::now(), team, waiting)
}

/// Starts to borrow if this host has insufficient tokens of the team.
pub(super) fn borrow_if_insufficient(gateway: &Rc<Gateway>, team: &TeamId) -> BorrowState {
    if missing_tokens(gateway, team).is_none() {
        return BorrowState::NotNeeded;
    }
    let now = Instant::now();
    let mut borrowings = gateway.borrowings.borrow_mut();
    let borrowing = borrowings.entry(team.clone()).or_default();
    if borrowing.is_in_progress {
        return BorrowState::Requested;
    }
    if let Some(until) = borrowing.paused_until.filter(|until| now < *until) {
        return BorrowState::Paused(until);
    }
    borrowing.is_in_progress = true;
    gateway.spawn(borrow(gateway.clone(), team.clone()));
    BorrowState::Requested
}

/// Returns the other hosts that have a share of a team's allowance.
fn lenders(gateway: &Gateway, team: &TeamId) -> Vec<SocketAddr> {
    let table = gateway.routing_table.borrow();
    let rules = table.as_ref().and_then(|table| table.teams.as_ref()?.get(team));
    let burst = rules.map_or(0.0, |rules| rules.burst_requests);
    let shares = gateway.shares.borrow();
    let holders = shares.hosts().holders_of(team, burst);
    let roster = gateway.roster.borrow();
    roster
        .lenders()
        .filter(|(host, _)| holders.contains(host))
        .map(|(_, address)| address)
        .collect()
}

/// Requests tokens from the other hosts in turn until this host has enough.
async fn borrow(gateway: Rc<Gateway>, team: TeamId) {
    let mut lenders = lenders(&gateway, &team);
    lenders.retain(|address| !peers::is_suspect(&gateway, *address));
    lenders.shuffle(&mut rand::rng());
    let (mut total, mut is_insufficient) = (0.0, true);
    for address in lenders {
        let missing = missing_tokens(&gateway, &team);
        is_insufficient = missing.is_some();
        let Some(tokens) = missing else { break };
        let request = PeerRequest::Lend { team: team.clone(), tokens };
        let deadline = Instant::now() + LEND_TIMEOUT;
        if let Some(PeerReply::Lent { tokens }) =
            peers::send_request(&gateway, address, &request, deadline).await
            && tokens > 0.0
        {
            total += tokens;
            gateway.shares.borrow_mut().receive(Instant::now(), &team, tokens);
            notify_waiting(&gateway, &team);
        }
    }
    gateway.metrics.count("borrow_rounds", 1);
    let mut borrowings = gateway.borrowings.borrow_mut();
    let borrowing = borrowings.entry(team.clone()).or_default();
    borrowing.is_in_progress = false;
    if total < 1.0 && is_insufficient {
        borrowing.pause = (borrowing.pause * 2).clamp(BORROW_PAUSE_MIN, BORROW_PAUSE_MAX);
        borrowing.paused_until = Some(Instant::now() + borrowing.pause);
    } else {
        borrowing.pause = Duration::ZERO;
    }
    borrowing.changed.notify(usize::MAX);
}

fn notify_waiting(gateway: &Gateway, team: &TeamId) {
    if let Some(borrowing) = gateway.borrowings.borrow().get(team) {
        borrowing.changed.notify(usize::MAX);
    }
}
