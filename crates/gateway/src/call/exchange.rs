//! One request at one upstream after the other, until one has answered or the end is unknown.

use {
    super::{
        AnswerBody, Call, failed, note_answer,
        offers::{Offers, Visit},
    },
    crate::{
        dialect::{AnswerHead, Forwarding},
        front::Answer,
        gateway::Gateway,
        http::{self as connections, ConnectionLease, SendError},
        time::within,
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Response, StatusCode, header, response},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    std::{rc::Rc, time::Instant},
    trefoilring_core::{placement::Outcome, verdict::Refusal},
};

/// Largest answer that is held in memory.
const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Upstreams that may run one repeatable request where the route has no bound of its own.
const RUNS_MAX: u32 = 3;

/// How one send ended.
pub(super) enum Sent {
    /// With the upstream's own answer, whose body is still to be read.
    Answered(Box<Received>),
    /// The upstream did not run it and never will.
    NotRun(Outcome),
    /// It may have run.
    Unknown(SendError),
}

/// An answer of an upstream to the request that was sent.
pub(super) struct Received {
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) lease: ConnectionLease,
}

/// Delivers a request whose answer is passed on as a whole.
pub(super) async fn deliver(gateway: &Rc<Gateway>, call: &Call) -> Result<Answer, Refusal> {
    let mut offers = Offers::new(call.about.program.is_some());
    let (mut runs, mut errored) = (0, None);
    loop {
        let visit = match offers.next(gateway, call, runs).await {
            Ok(visit) => visit,
            // The error is an answer, and there is no other.
            Err(refusal) => return errored.ok_or(refusal),
        };
        let error = match send(gateway, call, &visit, None).await {
            Sent::Answered(received) => match read_whole(gateway, call, *received).await {
                Ok((head, body)) => {
                    note_answer(gateway, call, &visit.id, head.status.as_u16(), None);
                    let is_error = is_own_error(head.status);
                    let answer = to_caller(head, AnswerBody::Whole(body));
                    if !is_error {
                        return Ok(answer);
                    }
                    offers.end(visit, Outcome::Errored);
                    runs += 1;
                    if errored.is_some() || !may_run_again(call, runs) {
                        return Ok(answer);
                    }
                    errored = Some(answer);
                    continue;
                }
                Err(error) => error,
            },
            Sent::NotRun(outcome) => {
                offers.end(visit, outcome);
                continue;
            }
            Sent::Unknown(error) => error,
        };
        offers.end(visit, Outcome::Failed);
        runs += 1;
        if !may_run_again(call, runs) {
            return errored.ok_or_else(|| failed(error));
        }
    }
}

/// Returns whether a request that has run so often may run at another upstream.
fn may_run_again(call: &Call, runs: u32) -> bool {
    call.route.kind.is_repeatable() && runs < call.route.upstreams_max.unwrap_or(RUNS_MAX)
}

/// Returns whether an upstream's answer says that it is in trouble. At the deadline of a request it says
/// so of the request only.
pub(super) fn is_own_error(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}

/// Sends a request to one upstream and waits for the head of its answer.
pub(super) async fn send(
    gateway: &Gateway,
    call: &Call,
    visit: &Visit,
    last_event: Option<u64>,
) -> Sent {
    call.sends.set(call.sends.get() + 1);
    let request = to_upstream(gateway, call, &visit.id, last_event);
    let sent = gateway.connections.send(visit.address, request, call.deadline).await;
    let connections::Answer { response, lease } = match sent {
        Ok(answer) => answer,
        Err(SendError::NotConnected) => return Sent::NotRun(Outcome::Failed),
        Err(error) => return Sent::Unknown(error),
    };
    let (head, body) = response.into_parts();
    let AnswerHead { is_for_request, is_not_run, is_misdirected, is_signed, load } =
        gateway.adapter.dialect.read_answer(&call.about.request, &head);
    if !is_for_request && !is_not_run && !is_misdirected {
        // An answer to some earlier request: the connection can't be trusted any more.
        return Sent::Unknown(SendError::Broken);
    }
    if let Some(load) = load {
        gateway.placement.borrow_mut().record_load(Instant::now(), visit.key, load);
    }
    if is_not_run || is_misdirected {
        gateway.spawn(drain(body, lease, call.deadline, gateway.connections.clone()));
        return Sent::NotRun(if is_misdirected { Outcome::Misdirected } else { Outcome::Full });
    }
    let is_encoded = head.headers.contains_key(header::CONTENT_ENCODING);
    if head.status.is_success() && (!is_signed || is_encoded) {
        return Sent::Unknown(SendError::Broken);
    }
    Sent::Answered(Box::new(Received { head, body, lease }))
}

/// Reads the rest of an answer that nobody wants, so that its connection can be used again.
async fn drain(
    body: Incoming,
    lease: ConnectionLease,
    deadline: Instant,
    connections: Rc<connections::Connections>,
) {
    let body = Limited::new(body, ANSWER_BYTES_MAX).collect();
    if let Some(Ok(_)) = within(deadline, body).await {
        connections.give_back(lease);
    }
}

/// Reads an answer to its end.
pub(super) async fn read_whole(
    gateway: &Gateway,
    call: &Call,
    received: Received,
) -> Result<(response::Parts, Bytes), SendError> {
    let Received { head, body, lease } = received;
    match within(call.deadline, Limited::new(body, ANSWER_BYTES_MAX).collect()).await {
        None => Err(SendError::TimedOut),
        Some(Err(error)) => {
            log::debug!("{}: {error}", call.about.request);
            Err(SendError::Broken)
        }
        Some(Ok(body)) => {
            gateway.connections.give_back(lease);
            Ok((head, body.to_bytes()))
        }
    }
}

fn to_upstream(
    gateway: &Gateway,
    call: &Call,
    upstream: &str,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = call.head.headers.clone();
    remove_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let forwarding = Forwarding {
        time_left: call.time_left(),
        team: call.team.as_ref().map(|team| &*team.id),
        upstream,
        last_event,
    };
    gateway.adapter.dialect.forward(&mut headers, &forwarding);
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = call.head.uri.clone();
    *request.headers_mut() = headers;
    request
}

/// Makes the answer to a caller from an upstream's.
pub(super) fn to_caller(mut head: response::Parts, body: AnswerBody) -> Answer {
    remove_connection_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers;
    answer
}

/// Removes the headers that concern one connection only, and those that it names.
fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(&name);
    }
    for name in ["connection", "keep-alive", "proxy-connection", "te", "trailer", "upgrade"] {
        headers.remove(name);
    }
    headers.remove(header::TRANSFER_ENCODING);
}
