//! Questions between hosts: one JSON message each way over HTTP.

use {
    crate::{
        allowance, gateway::Gateway, http::SendError, ledger, roster, store::StoredObject,
        time::within, watch,
    },
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    rand::seq::IndexedRandom,
    serde_json::json,
    smol::net::{TcpListener, TcpStream},
    smol_hyper::rt::FuturesIo,
    std::{
        convert::Infallible,
        io,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        budget::{Charge, TokenCount},
        ids::{ConfigVersion, HostId, ProgramId, TeamId},
        placement::UpstreamRecord,
        roster::HostRecord,
    },
    trefoilring_observe::decisions::Weight,
};

/// Largest message: a configuration has a megabyte at most.
const MESSAGE_BYTES_MAX: usize = 2 * 1024 * 1024;
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

/// What one host asks another.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Question {
    /// Know of me, and count me from now on.
    Greet { host: HostId, record: HostRecord },
    /// Lend me tokens of a team's allowance.
    Lend { team: TeamId, tokens: f64 },
    /// Charge a turn, to be answered until the time is over.
    Charge { charge: Charge, wait: Duration },
    /// Take back what turns did not use.
    Refund { refunds: Vec<(ProgramId, TokenCount)> },
    /// Give me a newer configuration than this version.
    Configuration { newer_than: Option<ConfigVersion> },
    /// Give me the upstreams that you know.
    Upstreams,
    /// Give me the hosts that you know.
    Hosts,
    /// Ask a host that I can't reach, and pass its answer on.
    Relay { to: SocketAddr, question: Box<Question>, wait: Duration },
    /// Answer, so that I know you can be reached.
    Ping,
}

/// What it answers.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Reply {
    /// It is done.
    Done,
    /// It lends this much.
    Lent { tokens: f64 },
    /// What became of the charge.
    Charged { decision: ChargeDecision },
    /// The configuration, if there is a newer one.
    Configuration { object: Option<StoredObject> },
    /// The upstreams.
    Upstreams { records: Vec<UpstreamRecord> },
    /// The hosts.
    Hosts { hosts: Vec<(HostId, HostRecord)> },
    /// What the other host has answered, if it has.
    Relayed { reply: Option<Box<Reply>> },
}

/// What became of a charge.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ChargeDecision {
    /// The turn may start.
    Granted {
        /// Whether it opens its program.
        is_new: bool,
    },
    /// The budget does not hold it.
    Spent,
    /// The ledger has to be read or written first, which takes longer.
    Undecided,
    /// The same, and the store can't be reached from here.
    StoreAway,
}

/// Listens for other hosts.
pub(crate) async fn start(gateway: &Rc<Gateway>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(gateway.settings.peers_listen).await?;
    let bound = listener.local_addr()?;
    gateway.spawn(accept(gateway.clone(), listener));
    Ok(bound)
}

async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => gateway.spawn(serve(gateway.clone(), stream)),
            Err(error) => {
                log::warn!("a host's connection was not accepted: {error}");
                smol::Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    crate::http::set_options(&stream);
    let service = service_fn(|request: Request<Incoming>| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(respond(&gateway, request).await) }
    });
    let serving = http1::Builder::new()
        .auto_date_header(false)
        .serve_connection(FuturesIo::new(stream), service);
    if let Err(error) = serving.await {
        log::debug!("a host's connection ended: {error}");
    }
}

async fn respond(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let refuse = |status: StatusCode| {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = status;
        response
    };
    let Ok(body) = Limited::new(request.into_body(), MESSAGE_BYTES_MAX).collect().await else {
        return refuse(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let question: Question = match serde_json::from_slice(&body.to_bytes()) {
        Ok(question) => question,
        Err(error) => {
            log::warn!("a host's question can't be read: {error}");
            return refuse(StatusCode::BAD_REQUEST);
        }
    };
    let reply = answer(gateway, question).await;
    match serde_json::to_vec(&reply) {
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(error) => {
            log::error!("a reply can't be written: {error}");
            refuse(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

async fn answer(gateway: &Rc<Gateway>, question: Question) -> Reply {
    match question {
        Question::Greet { host, record } => {
            roster::greeted_by(gateway, &host, record);
            Reply::Done
        }
        Question::Lend { team, tokens } => {
            Reply::Lent { tokens: allowance::lend(gateway, &team, tokens) }
        }
        Question::Charge { charge, wait } => {
            let decision = ledger::charge(gateway, &charge, Instant::now() + wait).await;
            Reply::Charged { decision }
        }
        Question::Refund { refunds } => {
            ledger::refund(gateway, &refunds);
            Reply::Done
        }
        Question::Configuration { newer_than } => {
            Reply::Configuration { object: watch::newer_configuration(gateway, newer_than) }
        }
        Question::Hosts => Reply::Hosts { hosts: roster::all(gateway) },
        Question::Ping => Reply::Done,
        Question::Relay { to, question, wait } => {
            let reply = match *question {
                // One hop is enough: more could go round in circles.
                Question::Relay { .. } => None,
                _ if is_suspect(gateway, to) => None,
                question => ask(gateway, to, &question, Instant::now() + wait).await,
            };
            Reply::Relayed { reply: reply.map(Box::new) }
        }
        Question::Upstreams => {
            Reply::Upstreams { records: gateway.placement.borrow().records().cloned().collect() }
        }
    }
}

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
    let asked = gateway.peer_connections.call(address, request, MESSAGE_BYTES_MAX, deadline);
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
    let mut pause = PROBE_EVERY;
    while gateway.suspects.borrow().contains(&address) {
        smol::Timer::after(pause).await;
        pause = (pause * 2).min(PROBE_EVERY_MAX);
        let is_known = gateway.roster.borrow().others().any(|(_, other)| other.address == address);
        if !is_known {
            gateway.suspects.borrow_mut().remove(&address);
            return;
        }
        let deadline = Instant::now() + PROBE_TIMEOUT;
        if send(&gateway, address, &Question::Ping, deadline).await.is_some() {
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
