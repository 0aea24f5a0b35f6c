//! Borrows tokens of the limits that upstreams name from the other hosts. The rules are in
//! `trefoilring_core::placement` (rate_limit.rs).

use {
    crate::{
        gateway::Gateway,
        peers::{self, PeerReply, PeerRequest},
        roster,
    },
    rand::seq::SliceRandom,
    serde_json::json,
    smol::Timer,
    std::{
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{ServiceId, UpstreamId},
        placement::{LendOutcome, UpstreamKey},
    },
    trefoilring_observe::decisions::LineRate,
};

/// Timeout of a request to one lender.
const LEND_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of hosts that are asked for one token.
const LENDERS_MAX: usize = 4;
/// Maximum number of upstreams of a service for which this host borrows at the same time.
const BORROWINGS_MAX: usize = 3;
/// Initial pause after no host has lent a token. Doubles up to [`BORROW_PAUSE_MAX`].
const BORROW_PAUSE_MIN: Duration = Duration::from_millis(100);
/// Maximum pause after no host has lent a token.
const BORROW_PAUSE_MAX: Duration = Duration::from_millis(800);
/// Pause after a token was borrowed. Borrowing is cheaper than a request, but not free.
const BORROWED_PAUSE: Duration = Duration::from_millis(20);

/// What bounds the requests to an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum LimitKind {
    /// The limit that it names in its answers.
    Named,
    /// The rate of a cold upstream.
    Cold,
}

/// State of borrowing by upstream.
pub(crate) type LimitBorrowings = HashMap<(LimitKind, UpstreamId), Borrowing>;

/// State of borrowing for one upstream.
pub(crate) struct Borrowing {
    is_in_progress: bool,
    /// No host is asked before this time.
    paused_until: Instant,
    pause: Duration,
}

/// Records the limit that an answer names, or that it names none.
pub(crate) fn record(
    gateway: &Gateway,
    upstream: &UpstreamId,
    key: UpstreamKey,
    sent_at: Instant,
    limit_per_s: Option<f64>,
) {
    let mut placement = gateway.placement.borrow_mut();
    let known = placement.limit_per_s(upstream);
    placement.record_limit(Instant::now(), key, sent_at, limit_per_s);
    let present = placement.limit_per_s(upstream);
    if known != present {
        gateway.decisions.log(
            LineRate::Rare,
            "upstream_limit",
            json!({"upstream": upstream, "limit_per_s": present, "before": known}),
        );
    }
}

/// Starts to borrow tokens for limited upstreams of a service, where that is useful.
pub(crate) fn borrow_if_useful(gateway: &Rc<Gateway>, service: &ServiceId) {
    let now = Instant::now();
    for kind in [LimitKind::Named, LimitKind::Cold] {
        let mut upstreams = {
            let placement = gateway.placement.borrow();
            match kind {
                LimitKind::Named => placement.upstreams_to_borrow_for(now, service),
                LimitKind::Cold => placement.cold_upstreams_to_borrow_for(now, service),
            }
        };
        if upstreams.is_empty() {
            continue;
        }
        upstreams.shuffle(&mut rand::rng());
        let mut borrowings = gateway.limit_borrowings.borrow_mut();
        borrowings.retain(|(kind, upstream), borrowing| {
            borrowing.is_in_progress || is_limited(gateway, now, *kind, upstream)
        });
        for upstream in upstreams.into_iter().take(BORROWINGS_MAX) {
            let borrowing = borrowings.entry((kind, upstream.clone())).or_insert(Borrowing {
                is_in_progress: false,
                paused_until: now,
                pause: Duration::ZERO,
            });
            if !borrowing.is_in_progress && borrowing.paused_until <= now {
                borrowing.is_in_progress = true;
                gateway.spawn(borrow(gateway.clone(), service.clone(), kind, upstream));
            }
        }
    }
}

fn is_limited(gateway: &Gateway, now: Instant, kind: LimitKind, upstream: &UpstreamId) -> bool {
    let placement = gateway.placement.borrow();
    match kind {
        LimitKind::Named => placement.limit_per_s(upstream).is_some(),
        LimitKind::Cold => !placement.cold_left(now, upstream).is_zero(),
    }
}

/// Requests a token from the other hosts in turn until one lends it.
async fn borrow(gateway: Rc<Gateway>, service: ServiceId, kind: LimitKind, upstream: UpstreamId) {
    let mut lenders = {
        let placement = gateway.placement.borrow();
        match kind {
            LimitKind::Named => placement.limit_lenders(&upstream),
            LimitKind::Cold => placement.cold_lenders(Instant::now(), &upstream),
        }
    };
    lenders.shuffle(&mut rand::rng());
    let addresses: Vec<_> = lenders
        .iter()
        .filter_map(|host| roster::address_of(&gateway, host))
        .filter(|address| !peers::is_suspect(&gateway, *address))
        .take(LENDERS_MAX)
        .collect();
    let mut is_lent = false;
    for address in addresses {
        let Some(request) = lend_request(&gateway, kind, &upstream) else { break };
        let deadline = Instant::now() + LEND_TIMEOUT;
        let reply = peers::send_request(&gateway, address, &request, deadline).await;
        let Some(PeerReply::UpstreamTokenLent { outcome }) = reply else { continue };
        let mut placement = gateway.placement.borrow_mut();
        is_lent = outcome == LendOutcome::Lent;
        match kind {
            LimitKind::Named => {
                placement.on_limit_token_answer(Instant::now(), &upstream, outcome);
            }
            LimitKind::Cold if is_lent => {
                placement.receive_cold_token(Instant::now(), &upstream);
            }
            LimitKind::Cold => {}
        }
        if is_lent {
            break;
        }
    }
    let now = Instant::now();
    if is_lent {
        gateway.metrics.count("limit_tokens_borrowed", 1);
        if let Some(waker) = gateway.wait_queues.borrow().front_waker(&service) {
            waker.notify(1);
        }
    }
    if let Some(borrowing) = gateway.limit_borrowings.borrow_mut().get_mut(&(kind, upstream)) {
        borrowing.is_in_progress = false;
        borrowing.pause = match is_lent {
            true => Duration::ZERO,
            false => (borrowing.pause * 2).clamp(BORROW_PAUSE_MIN, BORROW_PAUSE_MAX),
        };
        borrowing.paused_until = now + borrowing.pause.max(BORROWED_PAUSE);
    }
}

/// Returns the request for a token of an upstream's limit, or `None` if it has none any more.
fn lend_request(gateway: &Gateway, kind: LimitKind, upstream: &UpstreamId) -> Option<PeerRequest> {
    let placement = gateway.placement.borrow();
    if kind == LimitKind::Cold {
        let left = placement.cold_left(Instant::now(), upstream);
        let revision = placement.cold_revision(upstream).unwrap_or_default();
        let request = PeerRequest::LendColdToken { upstream: upstream.clone(), left, revision };
        return Some(request).filter(|_| !left.is_zero());
    }
    Some(PeerRequest::LendUpstreamToken {
        upstream: upstream.clone(),
        limit_per_s: placement.limit_per_s(upstream)?,
        named_ago: placement.limit_age(Instant::now(), upstream)?,
    })
}

/// Lends a token of an upstream's limit to another host, unless requests of this host wait for the
/// upstream's service.
pub(crate) fn lend(
    gateway: &Gateway,
    upstream: &str,
    limit_per_s: f64,
    named_ago: Duration,
) -> LendOutcome {
    if !limit_per_s.is_finite() || limit_per_s < 0.0 {
        log::warn!("another host names a limit of {limit_per_s} requests/s; ignoring it");
        return LendOutcome::NoToken;
    }
    let mut placement = gateway.placement.borrow_mut();
    let Some(service) = placement.service_of(upstream) else { return LendOutcome::NoToken };
    if gateway.wait_queues.borrow().has_waiting(&service) {
        return LendOutcome::NoToken;
    }
    placement.lend_limit_token(Instant::now(), upstream, limit_per_s, named_ago)
}

/// Waits until an upstream's limit allows a request to be sent to it again. Returns false if it does
/// not by the deadline.
pub(crate) async fn wait_to_send_again(
    gateway: &Rc<Gateway>,
    service: &ServiceId,
    key: UpstreamKey,
    deadline: Instant,
) -> bool {
    loop {
        let now = Instant::now();
        if gateway.placement.borrow_mut().try_send_again(now, key) {
            return true;
        }
        if now >= deadline || gateway.placement.borrow().record(key).is_none() {
            return false;
        }
        borrow_if_useful(gateway, service);
        let next_at = gateway.placement.borrow().next_within_limit(now, key);
        let wake_at = next_at.unwrap_or(deadline).min(now + BORROW_PAUSE_MIN).min(deadline);
        Timer::at(wake_at).await;
    }
}
