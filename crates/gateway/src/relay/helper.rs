//! Passes requests of stranded hosts on to the upstreams that they name.

use {
    super::{FAILURE, Failure, TIME_LEFT_MS, UPSTREAM, record_connects},
    crate::{
        call::{
            ANSWER_BYTES_MAX, AnswerBody, AnswerTruncated, PROMPT_BYTES_MAX, is_final_status,
            read_body, remove_connection_headers,
        },
        evacuations,
        gateway::{Gateway, Stage},
        http::{ActiveConnection, RequestName, SendError, UnreadAnswer},
        inbound::InboundConnection,
        leaving,
        memory::Reservation,
        time::within,
    },
    bytes::Bytes,
    futures_lite::stream,
    http::{HeaderValue, Request, Response, StatusCode, header, request},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    serde_json::json,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{ServiceId, UpstreamId},
        placement::UpstreamKey,
    },
    trefoilring_observe::decisions::LineRate,
};

/// Maximum number of requests that a host passes on for others at the same time. Its own callers
/// come first.
const PASSED_ON_MAX: usize = 48;

/// A request that a stranded host sends through this one.
struct RelayedRequest {
    upstream: UpstreamId,
    deadline: Instant,
    head: request::Parts,
}

impl TryFrom<request::Parts> for RelayedRequest {
    type Error = &'static str;

    fn try_from(mut head: request::Parts) -> Result<Self, Self::Error> {
        let upstream = head.headers.remove(UPSTREAM).ok_or("no upstream")?;
        let time_left = head.headers.remove(TIME_LEFT_MS).ok_or("no time left")?;
        let upstream = upstream.to_str().map_err(|_| "the upstream is not text")?.into();
        let time_left_ms = time_left.to_str().ok().and_then(|text| text.parse().ok());
        let time_left = Duration::from_millis(time_left_ms.ok_or("the time left is no number")?);
        let deadline = Instant::now().checked_add(time_left).ok_or("the time left is too long")?;
        Ok(Self { upstream, deadline, head })
    }
}

/// The upstream of a relayed request, as this host knows it.
struct Destination {
    key: UpstreamKey,
    service: ServiceId,
    address: SocketAddr,
}

/// Returns whether a request of another host is to be passed on to an upstream.
pub(crate) fn is_relayed<B>(request: &Request<B>) -> bool {
    request.headers().contains_key(UPSTREAM)
}

/// Passes a request on to the upstream that it names, never to another host.
pub(crate) async fn pass_on(
    gateway: &Rc<Gateway>,
    connection: &InboundConnection,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match try_pass_on(gateway, connection, request).await {
        Ok(response) => {
            gateway.metrics.count("passed_on", 1);
            response
        }
        Err(failure) => {
            gateway.metrics.count(&format!("pass_on_failed.{failure}"), 1);
            let mut response = Response::new(AnswerBody::from(Bytes::new()));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            if let Ok(value) = HeaderValue::from_str(&failure.to_string()) {
                response.headers_mut().insert(FAILURE, value);
            }
            response
        }
    }
}

async fn try_pass_on(
    gateway: &Rc<Gateway>,
    caller: &InboundConnection,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Failure> {
    let (head, body) = request.into_parts();
    let relayed = RelayedRequest::try_from(head).map_err(|error| {
        log::warn!("rejecting a relayed request: {error}");
        Failure::Rejected
    })?;
    let (destination, open) = match (destination(gateway, &relayed), OpenGuard::new(gateway)) {
        (Some(destination), Some(open)) => (destination, open),
        _ => {
            gateway.decisions.log(
                LineRate::Failure,
                "pass_on_rejected",
                json!({
                    "upstream": relayed.upstream,
                    "open": gateway.relay.passed_on_open.get(),
                    "stranded": gateway.relay.is_stranded(),
                }),
            );
            return Err(Failure::Rejected);
        }
    };
    let reading = read_body(&gateway.memory, None, body, PROMPT_BYTES_MAX);
    let read = within(relayed.deadline, reading).await;
    let (body, memory) = read.and_then(Result::ok).ok_or(Failure::Rejected)?;
    caller.set_body_unread(false);
    caller.wait_for_reader(relayed.deadline);
    let metadata = gateway.adapter.dialect.read_call(&relayed.head);
    if !may_send(gateway, &relayed, destination.key) || evacuations::must_wait(gateway) {
        // Its domain was evacuated, or it has begun to leave, while the body came in; or this process
        // was suspended and may not know.
        return Err(Failure::Rejected);
    }
    let sent_at = Instant::now();
    let mut request = Request::from_parts(relayed.head, Full::new(body));
    if let Ok(metadata) = &metadata {
        request.extensions_mut().insert(RequestName(metadata.request_id.as_str().into()));
    }
    let sent = gateway.connections.send(destination.address, request, relayed.deadline).await;
    record_connects(gateway);
    let UnreadAnswer { response, connection } = sent.map_err(|error| {
        gateway.decisions.log(
            LineRate::Failure,
            "pass_on_failed",
            json!({
                "request": metadata.as_ref().map(|metadata| &metadata.request_id).ok(),
                "upstream": relayed.upstream,
                "error": error.to_string(),
                "in_flight_ms": sent_at.elapsed().as_millis() as u64,
            }),
        );
        match error {
            SendError::NotConnected | SendError::CallerGone => Failure::NotConnected,
            SendError::Broken => Failure::Broken,
            SendError::TimedOut => Failure::TimedOut,
        }
    })?;
    gateway.relay.record_alive();
    let (mut head, body) = response.into_parts();
    if !is_final_status(head.status) {
        return Err(Failure::Broken);
    }
    if let Ok(metadata) = metadata {
        // The limit and the load also hold for this host.
        let answer = gateway.adapter.dialect.read_answer(&metadata.request_id, &head);
        if answer.names_other_request || !(answer.matches_request || connection.is_new()) {
            // It may be a copy of the answer to an earlier request.
            return Err(Failure::Broken);
        }
        if answer.is_leaving && !answer.is_misdirected {
            leaving::on_answer(gateway, destination.key);
        }
        let mut placement = gateway.placement.borrow_mut();
        if let Some(limit_per_s) = answer.rate_limit_per_s {
            let (now, key) = (Instant::now(), destination.key);
            placement.record_limit(now, key, sent_at, Some(limit_per_s));
        }
        if let Some(load) = answer.load {
            placement.record_load(Instant::now(), destination.key, load);
        }
    }
    remove_connection_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.headers.remove(FAILURE);
    let passing = PassedOnBody {
        gateway: gateway.clone(),
        service: destination.service,
        deadline: relayed.deadline,
        source: Some((body, connection)),
        _open: open,
        _memory: memory,
    };
    let frames = stream::unfold(passing, |mut passing| async move {
        let next = passing.next().await?;
        Some((next, passing))
    });
    Ok(Response::from_parts(head, AnswerBody::Events(Box::pin(frames))))
}

/// Returns the upstream of a relayed request, if this host may send to it.
fn destination(gateway: &Gateway, relayed: &RelayedRequest) -> Option<Destination> {
    if gateway.relay.is_stranded() || gateway.stage.get() != Stage::Serving {
        return None;
    }
    let (key, service, address) = {
        let placement = gateway.placement.borrow();
        let (key, record) = placement.find(&relayed.upstream)?;
        (key, record.service.clone(), record.address)
    };
    may_send(gateway, relayed, key).then_some(Destination { key, service, address })
}

/// Returns whether a relayed request may go to an upstream. One that leaves gets only streams that are
/// taken up: the stranded host has found no other upstream where they can go on.
fn may_send(gateway: &Gateway, relayed: &RelayedRequest, key: UpstreamKey) -> bool {
    let placement = gateway.placement.borrow();
    if !placement.is_excluded(key) {
        return true;
    }
    let metadata = gateway.adapter.dialect.read_call(&relayed.head);
    let is_taken_up = metadata.is_ok_and(|metadata| metadata.last_event.is_some());
    is_taken_up && placement.serves_out(Instant::now(), key)
}

/// Counts a request as passed on until its answer has ended.
struct OpenGuard(Rc<Gateway>);

impl OpenGuard {
    /// Returns `None` if this host passes on as many requests as it may.
    fn new(gateway: &Rc<Gateway>) -> Option<Self> {
        let open = &gateway.relay.passed_on_open;
        if open.get() >= PASSED_ON_MAX {
            return None;
        }
        open.set(open.get() + 1);
        Some(Self(gateway.clone()))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let open = &self.0.relay.passed_on_open;
        open.set(open.get() - 1);
    }
}

/// The body of an answer on its way to a stranded host.
struct PassedOnBody {
    gateway: Rc<Gateway>,
    service: ServiceId,
    deadline: Instant,
    /// `None` once the body has ended or broken off.
    source: Option<(Incoming, ActiveConnection)>,
    _open: OpenGuard,
    /// Memory of the request's body, which its connection may still send.
    _memory: Option<Reservation>,
}

impl PassedOnBody {
    async fn next(&mut self) -> Option<Result<Bytes, AnswerTruncated>> {
        loop {
            let (body, connection) = self.source.as_mut()?;
            connection.limit_received(2 * ANSWER_BYTES_MAX);
            match within(self.deadline, body.frame()).await {
                Some(Some(Ok(frame))) => {
                    self.gateway.relay.record_alive();
                    // Trailers concern only the connection to the upstream.
                    if let Ok(bytes) = frame.into_data() {
                        return Some(Ok(bytes));
                    }
                }
                Some(None) => {
                    let (_, connection) = self.source.take()?;
                    self.gateway.release_connection(&self.service, connection);
                    return None;
                }
                Some(Some(Err(_))) | None => {
                    self.source = None;
                    return Some(Err(AnswerTruncated));
                }
            }
        }
    }
}
