//! Reaches other hosts: directly, or through a third one, and remembers which are away.

use {
    super::message::{Question, Reply},
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
    trefoilring_observe::decisions::LineRate,
};

/// How often a host that did not answer is pinged.
const PROBE_EVERY: Duration = Duration::from_millis(400);
/// The longest pause between two pings of a host that stays away.
const PROBE_EVERY_MAX: Duration = Duration::from_millis(3200);
/// Third hosts that are asked for one that is out of reach.
const RELAYS_MAX: usize = 3;
/// Time beyond the other host's own for an answer through a third one.
const RELAY_TRANSIT: Duration = Duration::from_millis(50);
/// How long a host that another one does not reach either is left out.
const LOST_FOR: Duration = Duration::from_secs(2);
/// How long an answer to a ping may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Asks another host. `None` means that no answer came; the question may have been answered.
pub(crate) async fn ask(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    question: &Question,
    deadline: Instant,
) -> Option<Reply> {
    let reply = send(gateway, address, question, deadline).await;
    if reply.is_none() {
        gateway.metrics.count("peer_unanswered", 1);
        suspect(gateway, address);
    }
    reply
}

async fn send(
    gateway: &Gateway,
    address: SocketAddr,
    question: &Question,
    deadline: Instant,
) -> Option<Reply> {
    let body = match serde_json::to_vec(question) {
        Ok(body) => body,
        Err(error) => {
            log::error!("a question can't be written: {error}");
            return None;
        }
    };
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    if let Ok(host) = header::HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    let asked = gateway.peer_connections.call(address, request, super::MESSAGE_BYTES_MAX, deadline);
    let outcome = within(deadline, asked).await.unwrap_or(Err(SendError::TimedOut));
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
pub(crate) async fn reach(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    question: Question,
    wait: Duration,
) -> Option<Reply> {
    if !is_suspect(gateway, address) {
        let reply = ask(gateway, address, &question, Instant::now() + wait).await;
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
    let mut unreached = 0;
    for relay in relays.sample(&mut rand::rng(), RELAYS_MAX) {
        let question = Question::Relay { to: address, question: Box::new(question.clone()), wait };
        match ask(gateway, *relay, &question, Instant::now() + wait + RELAY_TRANSIT).await {
            Some(Reply::Relayed { reply: Some(reply) }) => return Some(*reply),
            // It may be cut off from there as well as from here.
            Some(Reply::Relayed { reply: None }) => unreached += 1,
            _ => {}
        }
    }
    if unreached > 0 {
        gateway.lost.borrow_mut().insert(address, Instant::now() + LOST_FOR);
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
fn suspect(gateway: &Rc<Gateway>, address: SocketAddr) {
    if gateway.suspects.borrow_mut().insert(address) {
        gateway.decisions.log(
            LineRate::Failure,
            "peer",
            json!({"address": address, "what": "out of reach"}),
        );
        gateway.spawn(probe(gateway.clone(), address));
    }
}

/// Pings a host that is out of reach, so that no request has to find out.
async fn probe(gateway: Rc<Gateway>, address: SocketAddr) {
    let mut pause = PROBE_EVERY;
    while gateway.suspects.borrow().contains(&address) {
        smol::Timer::after(pause).await;
        pause = (pause * 2).min(PROBE_EVERY_MAX);
        if !roster::is_known(&gateway, address) {
            gateway.suspects.borrow_mut().remove(&address);
            return;
        }
        let deadline = Instant::now() + PROBE_TIMEOUT;
        if send(&gateway, address, &Question::Ping, deadline).await.is_some() {
            gateway.suspects.borrow_mut().remove(&address);
            gateway.decisions.log(
                LineRate::Failure,
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
