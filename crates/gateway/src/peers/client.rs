//! Reaches other hosts: directly, or through a third one, and remembers which are away.

use {
    super::message::{PeerReply, PeerRequest},
    crate::{gateway::Gateway, http::SendError, roster, time::within},
    bytes::Bytes,
    http::{Method, Request, StatusCode, header},
    http_body_util::Full,
    rand::seq::IndexedRandom,
    serde_json::json,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_observe::decisions::Weight,
};

/// How often a host that did not answer is pinged.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// The longest pause between two pings of a host that stays away.
const PROBE_INTERVAL_MAX: Duration = Duration::from_millis(3200);
/// Third hosts that are asked for one that is out of reach.
const RELAYS_MAX: usize = 3;
/// Time beyond the other host's own for an answer through a third one.
const RELAY_MARGIN: Duration = Duration::from_millis(50);
/// How long a host that another one does not reach either is left out.
const LOST_DURATION: Duration = Duration::from_secs(2);
/// How long an answer to a ping may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Asks another host. `None` means that no answer came; the question may have been answered.
pub(crate) async fn send_request(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    request: &PeerRequest,
    deadline: Instant,
) -> Option<PeerReply> {
    let reply = try_send_request(gateway, address, request, deadline).await;
    if reply.is_none() {
        gateway.metrics.count("peer_unanswered", 1);
        mark_suspect(gateway, address);
    }
    reply
}

async fn try_send_request(
    gateway: &Gateway,
    address: SocketAddr,
    request: &PeerRequest,
    deadline: Instant,
) -> Option<PeerReply> {
    let body = match serde_json::to_vec(request) {
        Ok(body) => body,
        Err(error) => {
            log::error!("a question can't be written: {error}");
            return None;
        }
    };
    let mut http_request = Request::new(Full::new(Bytes::from(body)));
    *http_request.method_mut() = Method::POST;
    if let Ok(host) = header::HeaderValue::from_str(&address.to_string()) {
        http_request.headers_mut().insert(header::HOST, host);
    }
    let call =
        gateway.peer_connections.call(address, http_request, super::MESSAGE_BYTES_MAX, deadline);
    let outcome = within(deadline, call).await.unwrap_or(Err(SendError::TimedOut));
    match outcome {
        Ok((StatusCode::OK, body)) => match serde_json::from_slice(&body) {
            Ok(reply) => return Some(reply),
            Err(error) => log::warn!("{address}: a reply can't be read: {error}"),
        },
        Ok((status, _)) => log::warn!("{address}: status {status}"),
        Err(error) => log::debug!("{address}: {error}"),
    }
    None
}

/// Asks another host, through a third one if it is out of reach from here.
pub(crate) async fn send_request_or_relay(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    request: PeerRequest,
    wait: Duration,
) -> Option<PeerReply> {
    if !is_suspect(gateway, address) {
        let reply = send_request(gateway, address, &request, Instant::now() + wait).await;
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
        let relayed_request =
            PeerRequest::Relay { to: address, request: Box::new(request.clone()), wait };
        match send_request(gateway, *relay, &relayed_request, Instant::now() + wait + RELAY_MARGIN)
            .await
        {
            Some(PeerReply::Relayed { reply: Some(reply) }) => return Some(*reply),
            // It may be cut off from there as well as from here.
            Some(PeerReply::Relayed { reply: None }) => unreachable_count += 1,
            _ => {}
        }
    }
    if unreachable_count > 0 {
        gateway.lost.borrow_mut().insert(address, Instant::now() + LOST_DURATION);
    }
    None
}

/// Returns whether a host was not reached through another one lately.
pub(crate) fn is_lost(gateway: &Gateway, address: SocketAddr) -> bool {
    let now = Instant::now();
    let is_lost = gateway.lost.borrow().get(&address).is_some_and(|until| now < *until);
    is_lost && is_suspect(gateway, address)
}

/// Takes a host as out of reach until it answers again.
fn mark_suspect(gateway: &Rc<Gateway>, address: SocketAddr) {
    if gateway.suspects.borrow_mut().insert(address) {
        gateway.decisions.note(
            Weight::Trouble,
            "peer",
            json!({"address": address, "what": "out of reach"}),
        );
        gateway.spawn(probe(gateway.clone(), address));
    }
}

/// Pings a host that is out of reach, so that no request has to find out.
async fn probe(gateway: Rc<Gateway>, address: SocketAddr) {
    let mut pause = PROBE_INTERVAL;
    while gateway.suspects.borrow().contains(&address) {
        smol::Timer::after(pause).await;
        pause = (pause * 2).min(PROBE_INTERVAL_MAX);
        if !roster::is_known(&gateway, address) {
            gateway.suspects.borrow_mut().remove(&address);
            return;
        }
        let deadline = Instant::now() + PROBE_TIMEOUT;
        if try_send_request(&gateway, address, &PeerRequest::Ping, deadline).await.is_some() {
            gateway.suspects.borrow_mut().remove(&address);
            gateway.decisions.note(
                Weight::Trouble,
                "peer",
                json!({"address": address, "what": "in reach"}),
            );
        }
    }
}

/// Returns whether a host did not answer lately.
pub(crate) fn is_suspect(gateway: &Gateway, address: SocketAddr) -> bool {
    gateway.suspects.borrow().contains(&address)
}
