//! Sends requests to other hosts, directly or through a relay, and tracks unreachable hosts.

use {
    super::message::{MessageFormat, PeerReply, PeerRequest},
    crate::{
        gateway::Gateway,
        http::{Progress, SendError},
        roster,
        time::within,
    },
    bytes::Bytes,
    http::{Method, Request, StatusCode, header},
    http_body_util::Full,
    rand::seq::IndexedRandom,
    serde_json::json,
    std::{
        cell::RefCell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_observe::decisions::LineRate,
};

/// Initial interval between pings to a host that did not answer. Doubles up to
/// [`PING_INTERVAL_MAX`].
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum interval between pings to an unreachable host.
const PING_INTERVAL_MAX: Duration = Duration::from_millis(3200);
/// Maximum number of relays that are tried for an unreachable host.
const RELAYS_MAX: usize = 3;
/// Number of hosts that are asked at each ping whether they reach a suspect store host.
const RELAY_PROBES: usize = 2;
/// Time added to the destination's timeout for the additional hop through a relay.
const RELAY_MARGIN: Duration = Duration::from_millis(50);
/// How long a host is marked as lost after both this host and a relay have failed to reach it.
const LOST_DURATION: Duration = Duration::from_secs(2);
/// Timeout of an announcement to one host.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of hosts to which an announcement is sent at the same time.
const CONCURRENT_ANNOUNCEMENTS: usize = 16;
/// Timeout of a message that makes progress, as a last resort.
const BULK_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(250);

/// Sends a request to another host. Returns `None` if no reply was received; the host may still
/// have processed the request.
pub(crate) async fn send_request(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    request: &PeerRequest,
    deadline: Instant,
) -> Option<PeerReply> {
    let sent_at = Instant::now();
    let reply = try_send_request(gateway, address, request, deadline).await;
    record_outcome(gateway, address, sent_at, reply.is_some());
    reply
}

/// Like [`send_request`], for messages whose time depends on their size and on the link: a host is
/// waited for as long as bytes pass, and given up once none have for `silence_max`.
pub(crate) async fn send_bulk_request(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    request: &PeerRequest,
    progress: &Progress,
    silence_max: Duration,
) -> Option<PeerReply> {
    let (format, body) = encode(request)?;
    send_bulk(gateway, address, format, body, progress, silence_max).await
}

async fn send_bulk(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    format: MessageFormat,
    body: Bytes,
    progress: &Progress,
    silence_max: Duration,
) -> Option<PeerReply> {
    let sent_at = Instant::now();
    let deadline = sent_at + BULK_TIMEOUT;
    let sent = exchange(gateway, address, format, body, Some(progress.clone()), deadline);
    let reply = progress.wait_for(silence_max, sent).await.flatten();
    record_outcome(gateway, address, sent_at, reply.is_some());
    reply
}

/// A message that is encoded once, however many hosts get it.
pub(crate) struct EncodedRequest {
    request: PeerRequest,
    body: Bytes,
}

impl EncodedRequest {
    /// Encodes a message. Returns `None` if it can't be encoded.
    pub(crate) fn new(request: PeerRequest) -> Option<Self> {
        let (_, body) = encode(&request)?;
        Some(Self { request, body })
    }
}

fn encode(request: &PeerRequest) -> Option<(MessageFormat, Bytes)> {
    let format = request.format();
    let encoded = format.encode(request);
    let body =
        encoded.inspect_err(|error| log::error!("failed to serialize a peer request: {error}"));
    Some((format, Bytes::from(body.ok()?)))
}

fn record_outcome(gateway: &Rc<Gateway>, address: SocketAddr, sent_at: Instant, is_answered: bool) {
    if is_answered {
        gateway.peer_reach.borrow_mut().on_reply(Instant::now(), address);
        return;
    }
    gateway.metrics.count("peer_unanswered", 1);
    if gateway.peer_reach.borrow_mut().on_unanswered(sent_at, address) {
        start_pings(gateway, address);
    }
}

async fn try_send_request(
    gateway: &Gateway,
    address: SocketAddr,
    request: &PeerRequest,
    deadline: Instant,
) -> Option<PeerReply> {
    let (format, body) = encode(request)?;
    exchange(gateway, address, format, body, None, deadline).await
}

async fn exchange(
    gateway: &Gateway,
    address: SocketAddr,
    format: MessageFormat,
    body: Bytes,
    progress: Option<Progress>,
    deadline: Instant,
) -> Option<PeerReply> {
    let mut http_request = Request::new(Full::new(body));
    *http_request.method_mut() = Method::POST;
    http_request.headers_mut().insert(header::CONTENT_TYPE, format.content_type());
    if let Ok(host) = header::HeaderValue::from_str(&address.to_string()) {
        http_request.headers_mut().insert(header::HOST, host);
    }
    if let Some(progress) = progress {
        http_request.extensions_mut().insert(progress);
    }
    let call = gateway.peer_connections.send_and_read(
        address,
        http_request,
        super::MESSAGE_BYTES_MAX,
        deadline,
    );
    let outcome = within(deadline, call).await.unwrap_or(Err(SendError::TimedOut));
    match outcome {
        Ok((StatusCode::OK, body)) => match format.decode(&body) {
            Ok(reply) => return Some(reply),
            Err(error) => log::warn!("failed to parse the reply of peer {address}: {error}"),
        },
        // Builds before `PeerReply::Unsupported` answer kinds that they don't know with 400. The host
        // is in reach.
        Ok((StatusCode::BAD_REQUEST, _)) => {
            gateway.metrics.count("peer_unsupported", 1);
            log::warn!("peer {address} does not read the request: status 400");
            return Some(PeerReply::Unsupported { kind: String::new() });
        }
        Ok((status, _)) => log::warn!("peer {address} rejected the request: status {status}"),
        Err(error) => log::debug!("request to peer {address} failed: {error}"),
    }
    None
}

/// Sends a request to another host, through relays if this host can't reach it.
pub(crate) async fn send_request_or_relay(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    request: PeerRequest,
    timeout: Duration,
) -> Option<PeerReply> {
    if !is_suspect(gateway, address) {
        let reply = send_request(gateway, address, &request, Instant::now() + timeout).await;
        if reply.is_some() {
            return reply;
        }
    }
    if is_lost(gateway, address) {
        return None;
    }
    let relays: Vec<SocketAddr> = gateway
        .roster
        .borrow()
        .lenders()
        .map(|(_, relay)| relay)
        .filter(|relay| *relay != address && !is_suspect(gateway, *relay))
        .collect();
    let mut unreachable_count = 0;
    for relay in relays.sample(&mut rand::rng(), RELAYS_MAX) {
        match send_through(gateway, *relay, address, request.clone(), timeout, None).await {
            RelayOutcome::Replied(reply) => return Some(reply),
            RelayOutcome::Unreachable => unreachable_count += 1,
            RelayOutcome::NoRelay => {}
        }
    }
    if unreachable_count > 0 {
        gateway.lost_until.borrow_mut().insert(address, Instant::now() + LOST_DURATION);
    }
    None
}

/// What became of a request that was sent through another host.
enum RelayOutcome {
    /// The destination has replied.
    Replied(PeerReply),
    /// The relay can't reach the destination either.
    Unreachable,
    /// The relay has not answered, or its build has no relays for such requests.
    NoRelay,
}

async fn send_through(
    gateway: &Rc<Gateway>,
    relay: SocketAddr,
    to: SocketAddr,
    request: PeerRequest,
    timeout: Duration,
    progress: Option<&Progress>,
) -> RelayOutcome {
    let host = roster::host_at(gateway, to);
    let relayed = PeerRequest::Relay { to, host, request: Box::new(request), wait: timeout };
    let wait_max = timeout + RELAY_MARGIN;
    let reply = match progress {
        Some(progress) => send_bulk_request(gateway, relay, &relayed, progress, wait_max).await,
        None => send_request(gateway, relay, &relayed, Instant::now() + wait_max).await,
    };
    match reply {
        Some(PeerReply::Relayed { reply: Some(reply) }) => RelayOutcome::Replied(*reply),
        Some(PeerReply::Relayed { reply: None }) => RelayOutcome::Unreachable,
        _ => RelayOutcome::NoRelay,
    }
}

/// How long the reply to a message of some size is waited for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    /// How long no bytes may pass.
    pub(crate) silence_max: Duration,
    /// Timeout of a relay for the whole reply, which it passes on once it has it.
    pub(crate) relayed_max: Duration,
}

/// Sends a message of any size to a store host directly, or through the relay that reached it at the last
/// ping if this host does not. Unlike [`send_request_or_relay`] it looks for no relay, so that callers
/// learn at once that a host is out of reach.
pub(crate) async fn send_bulk_or_relay(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    encoded: &EncodedRequest,
    progress: &Progress,
    patience: Patience,
) -> Option<PeerReply> {
    let Some(relay) = relay_to(gateway, address) else {
        let (format, body) = (encoded.request.format(), encoded.body.clone());
        return send_bulk(gateway, address, format, body, progress, patience.silence_max).await;
    };
    let (request, timeout) = (encoded.request.clone(), patience.relayed_max);
    let outcome = send_through(gateway, relay, address, request, timeout, Some(progress)).await;
    reply_through(gateway, address, outcome)
}

/// Returns the relay for requests to a store host that this host does not reach.
fn relay_to(gateway: &Gateway, address: SocketAddr) -> Option<SocketAddr> {
    let relay = gateway.relays.borrow().get(&address).copied();
    relay.filter(|_| is_suspect(gateway, address))
}

fn reply_through(
    gateway: &Gateway,
    address: SocketAddr,
    outcome: RelayOutcome,
) -> Option<PeerReply> {
    match outcome {
        RelayOutcome::Replied(reply) => {
            gateway.metrics.count("peer_requests_relayed", 1);
            Some(reply)
        }
        RelayOutcome::Unreachable | RelayOutcome::NoRelay => {
            gateway.relays.borrow_mut().remove(&address);
            None
        }
    }
}

/// Returns whether requests to a store host get there, directly or through a relay.
pub(crate) fn is_in_reach(gateway: &Gateway, address: SocketAddr) -> bool {
    !is_suspect(gateway, address) || gateway.relays.borrow().contains_key(&address)
}

/// Finds a host that reaches a store host that this one does not reach.
async fn find_relay(gateway: &Rc<Gateway>, address: SocketAddr) {
    let known = gateway.relays.borrow().get(&address).copied();
    let others: Vec<SocketAddr> = {
        let roster = gateway.roster.borrow();
        if !roster.turn_stores().any(|(_, record, _)| record.address == address) {
            return;
        }
        let others = roster.lenders().map(|(_, relay)| relay);
        others.filter(|relay| Some(*relay) != known && !is_suspect(gateway, *relay)).collect()
    };
    let candidates = known.into_iter();
    for relay in candidates.chain(others.sample(&mut rand::rng(), RELAY_PROBES).copied()) {
        let ping = PeerRequest::Ping;
        let outcome = send_through(gateway, relay, address, ping, PING_TIMEOUT, None).await;
        if matches!(outcome, RelayOutcome::Replied(_)) {
            if gateway.relays.borrow_mut().insert(address, relay).is_none() {
                gateway.decisions.log(
                    LineRate::Failure,
                    "peer",
                    json!({"address": address, "what": "in reach through another", "relay": relay}),
                );
            }
            return;
        }
    }
    if gateway.relays.borrow_mut().remove(&address).is_some() {
        gateway.decisions.log(
            LineRate::Failure,
            "peer",
            json!({"address": address, "what": "out of reach of all relays"}),
        );
    }
}

/// Sends messages to all other hosts, without waiting for them.
pub(crate) fn announce(gateway: &Rc<Gateway>, requests: Vec<PeerRequest>) {
    let addresses: Vec<SocketAddr> =
        gateway.roster.borrow().peers().map(|(_, record)| record.address).collect();
    let remaining = Rc::new(RefCell::new(addresses));
    for _ in 0..CONCURRENT_ANNOUNCEMENTS {
        gateway.spawn(send_to_each(gateway.clone(), remaining.clone(), requests.clone()));
    }
}

async fn send_to_each(
    gateway: Rc<Gateway>,
    remaining: Rc<RefCell<Vec<SocketAddr>>>,
    requests: Vec<PeerRequest>,
) {
    loop {
        let Some(address) = remaining.borrow_mut().pop() else { return };
        for request in &requests {
            send_announcement(gateway.clone(), address, request.clone()).await;
        }
    }
}

/// Sends a message to another host and counts it if it is lost.
pub(crate) async fn send_announcement(
    gateway: Rc<Gateway>,
    address: SocketAddr,
    request: PeerRequest,
) {
    let deadline = Instant::now() + ANNOUNCEMENT_TIMEOUT;
    if send_request(&gateway, address, &request, deadline).await.is_none() {
        gateway.metrics.count("announcements_lost", 1);
    }
}

/// Returns whether a host is lost: it is suspect, and a relay failed to reach it within the last
/// [`LOST_DURATION`].
pub(crate) fn is_lost(gateway: &Gateway, address: SocketAddr) -> bool {
    let now = Instant::now();
    let is_lost = gateway.lost_until.borrow().get(&address).is_some_and(|until| now < *until);
    is_lost && is_suspect(gateway, address)
}

/// Marks a host as suspect until it answers a ping.
pub(crate) fn mark_suspect(gateway: &Rc<Gateway>, address: SocketAddr) {
    if gateway.peer_reach.borrow_mut().mark_suspect(address) {
        start_pings(gateway, address);
    }
}

fn start_pings(gateway: &Rc<Gateway>, address: SocketAddr) {
    gateway.decisions.log(
        LineRate::Failure,
        "peer",
        json!({"address": address, "what": "out of reach"}),
    );
    gateway.spawn(ping_until_answered(gateway.clone(), address));
}

/// Pings a suspect host until it answers, so that requests need not wait for timeouts.
async fn ping_until_answered(gateway: Rc<Gateway>, address: SocketAddr) {
    let mut pause = PING_INTERVAL;
    while is_suspect(&gateway, address) {
        find_relay(&gateway, address).await;
        smol::Timer::after(pause).await;
        pause = (pause * 2).min(PING_INTERVAL_MAX);
        if !roster::has_host_at(&gateway, address) {
            gateway.peer_reach.borrow_mut().forget(address);
            gateway.relays.borrow_mut().remove(&address);
            return;
        }
        let deadline = Instant::now() + PING_TIMEOUT;
        if try_send_request(&gateway, address, &PeerRequest::Ping, deadline).await.is_some() {
            gateway.peer_reach.borrow_mut().clear_suspect(address);
            gateway.relays.borrow_mut().remove(&address);
            gateway.decisions.log(
                LineRate::Failure,
                "peer",
                json!({"address": address, "what": "in reach"}),
            );
        }
    }
}

/// Returns whether a host is suspect: it did not answer the last request or ping.
pub(crate) fn is_suspect(gateway: &Gateway, address: SocketAddr) -> bool {
    gateway.peer_reach.borrow().is_suspect(address)
}
