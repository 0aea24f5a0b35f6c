//! Sends a request to the upstreams in turn, until one answers or the outcome is unknown and the
//! request may not run again.

use {
    super::{
        AnswerBody, Call,
        attempts::{Attempt, UpstreamSelector},
        buffer::{ANSWER_BYTES_MAX, read_whole},
        failure_refusal, log_answer,
    },
    crate::{
        callers::Answer,
        crashes,
        dialect::{AnswerMetadata, Forwarding},
        gateway::Gateway,
        http::{self as http_client, ActiveConnection, RequestName, SendError},
        relay,
        time::within,
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Response, StatusCode, header, response},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    std::{rc::Rc, time::Instant},
    trefoilring_core::{
        ids::ServiceId,
        placement::{Outcome, Urgency},
        verdict::Refusal,
    },
};

/// Maximum size of an answer that is read only so that its connection can be reused.
const DRAINED_BYTES_MAX: usize = 64 * 1024;
/// Maximum number of upstreams that may run a repeatable request, if the route sets none.
/// Repeatable requests are idempotent requests and resumable streams.
const RUNS_MAX: u32 = 3;

/// Outcome of sending a request to one upstream.
pub(super) enum SendOutcome {
    /// The upstream answered. The body has not been read.
    Answered(Box<ReceivedAnswer>),
    /// The upstream did not run the request and will not.
    NotRun(Outcome),
    /// The request may have run.
    Unknown(SendError),
}

/// An upstream's answer to the request that was sent, with its unread body.
pub(super) struct ReceivedAnswer {
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) connection: ActiveConnection,
}

/// Delivers a request whose answer is read completely before it is passed on.
pub(super) async fn deliver(gateway: &Rc<Gateway>, call: &Call) -> Result<Answer, Refusal> {
    let urgency = match call.metadata.program {
        Some(_) => Urgency::of_active_program(call.target_in()),
        None => Urgency::NoProgram,
    };
    let mut selector = UpstreamSelector::new(urgency, None);
    let (mut possible_runs, mut error_answer) = (0, None);
    loop {
        let attempt = match selector.next(gateway, call, possible_runs).await {
            Ok(attempt) => attempt,
            // No other upstream can run the request: pass on the earlier error answer, if any.
            Err(refusal) => return error_answer.ok_or(refusal),
        };
        let error = match send(gateway, call, &attempt, None).await {
            SendOutcome::Answered(received) => match read_to_end(gateway, call, *received).await {
                Ok((head, body)) => {
                    log_answer(gateway, call, &attempt.id, head.status.as_u16(), None);
                    let is_error = is_upstream_error(head.status);
                    let answer = caller_answer(head, body);
                    if !is_error {
                        crashes::on_answered(gateway, call);
                        return Ok(answer);
                    }
                    selector.end(attempt, Outcome::Errored);
                    possible_runs += 1;
                    if error_answer.is_some() || !may_run_again(call, possible_runs) {
                        return Ok(answer);
                    }
                    error_answer = Some(answer);
                    continue;
                }
                Err(error) => error,
            },
            SendOutcome::NotRun(outcome) => {
                selector.end(attempt, outcome);
                continue;
            }
            SendOutcome::Unknown(error) => error,
        };
        if error == SendError::Broken {
            attempt.on_broken(call).await;
        }
        selector.end(attempt, Outcome::Failed);
        possible_runs += 1;
        if !may_run_again(call, possible_runs) {
            return error_answer.ok_or_else(|| failure_refusal(error));
        }
    }
}

/// Returns whether a request that may have run `possible_runs` times may run at another upstream.
/// Streams use `may_change_upstream` instead, because they can be resumed at the same upstream.
fn may_run_again(call: &Call, possible_runs: u32) -> bool {
    call.route.kind.is_repeatable() && possible_runs < call.route.upstreams_max.unwrap_or(RUNS_MAX)
}

/// Returns whether an answer's status means that the upstream is failing. Status 504 means that the
/// request's deadline has passed, not that the upstream is failing.
pub(super) fn is_upstream_error(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}

/// Sends a request to one upstream and waits for the head of its answer.
pub(super) async fn send(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempt: &Attempt,
    last_event: Option<u64>,
) -> SendOutcome {
    call.send_count.set(call.send_count.get() + 1);
    attempt.record_sent();
    let request = || upstream_request(gateway, call, &attempt.id, last_event);
    let is_repeatable = call.route.kind.is_repeatable();
    let sent =
        relay::send(gateway, &attempt.id, attempt.address, request, call.deadline, is_repeatable)
            .await;
    let http_client::UnreadAnswer { response, connection } = match sent {
        Ok(answer) => answer,
        Err(SendError::NotConnected) => return SendOutcome::NotRun(Outcome::Failed),
        Err(SendError::CallerGone) => return SendOutcome::NotRun(Outcome::Done),
        Err(error) => return SendOutcome::Unknown(error),
    };
    let (head, body) = response.into_parts();
    if !is_final_status(head.status) {
        return SendOutcome::Unknown(SendError::Broken);
    }
    let AnswerMetadata {
        matches_request,
        names_other_request,
        did_not_run,
        is_misdirected,
        is_signed,
        load,
        is_leaving,
        rate_limit_per_s,
        cold_left,
    } = gateway.adapter.dialect.read_answer(&call.metadata.request_id, &head);
    let is_rejection = did_not_run || is_misdirected;
    // A rejection that names no request may be a copy of one to an earlier request. Helpers have
    // checked what they pass on.
    let is_certain = matches_request || connection.is_new() || connection.is_relayed();
    if names_other_request || !(matches_request || is_rejection && is_certain) {
        // The answer may belong to an earlier request, so later answers on this connection would be
        // wrong as well.
        return SendOutcome::Unknown(SendError::Broken);
    }
    if !is_misdirected {
        attempt.record_limit(rate_limit_per_s);
        if is_leaving {
            attempt.record_leaving();
        }
        if let Some(left) = cold_left {
            let mut placement = gateway.placement.borrow_mut();
            placement.record_cold_answer(Instant::now(), attempt.key, left);
        }
    }
    if let Some(load) = load {
        gateway.placement.borrow_mut().record_load(Instant::now(), attempt.key, load);
    }
    if is_rejection {
        let (service, deadline) = (call.service.clone(), call.deadline);
        gateway.spawn(drain(gateway.clone(), service, body, connection, deadline));
        return SendOutcome::NotRun(if is_misdirected {
            Outcome::Misdirected
        } else {
            Outcome::Full
        });
    }
    let is_encoded = head.headers.contains_key(header::CONTENT_ENCODING);
    if head.status.is_success() && (!is_signed || is_encoded) {
        return SendOutcome::Unknown(SendError::Broken);
    }
    SendOutcome::Answered(Box::new(ReceivedAnswer { head, body, connection }))
}

/// Returns whether a status is that of an answer. No request asks for another protocol, so 101 is none,
/// and codes from 600 on are not defined. Lower ones than 100 are not read at all.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reads and discards the rest of an answer, so that its connection can be reused.
async fn drain(
    gateway: Rc<Gateway>,
    service: ServiceId,
    mut body: Incoming,
    connection: ActiveConnection,
    deadline: Instant,
) {
    connection.limit_received(DRAINED_BYTES_MAX);
    let read = async {
        while body.frame().await.transpose()?.is_some() {}
        Ok::<_, hyper::Error>(())
    };
    if let Some(Ok(())) = within(deadline, read).await {
        relay::release_connection(&gateway, &service, connection);
    }
}

/// Reads the complete body of an answer and releases its connection.
pub(super) async fn read_to_end(
    gateway: &Gateway,
    call: &Call,
    received: ReceivedAnswer,
) -> Result<(response::Parts, AnswerBody), SendError> {
    let ReceivedAnswer { head, body, connection } = received;
    // Chunks of a few bytes each may need as many bytes for their framing.
    connection.limit_received(2 * ANSWER_BYTES_MAX);
    let may_give_up = call.route.kind.is_repeatable() && !connection.is_relayed();
    let reading = read_whole(body, &gateway.memory);
    match relay::wait_for_upstream(gateway, call.deadline, may_give_up, reading).await? {
        None => Err(SendError::TimedOut),
        Some(Err(error)) => {
            log::debug!(
                "failed to read the answer to request {}: {error}",
                call.metadata.request_id
            );
            Err(SendError::Broken)
        }
        Some(Ok((bytes, reservation))) => {
            relay::release_connection(gateway, &call.service, connection);
            Ok((head, AnswerBody::Complete { bytes, reservation }))
        }
    }
}

fn upstream_request(
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
    gateway.adapter.dialect.rewrite_headers(&mut headers, &forwarding);
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = call.head.uri.clone();
    *request.headers_mut() = headers;
    let name = RequestName(call.metadata.request_id.as_str().into());
    request.extensions_mut().insert(name);
    request.extensions_mut().insert(call.caller_gone());
    request
}

/// Creates the answer to the caller from the upstream's answer.
pub(super) fn caller_answer(mut head: response::Parts, body: AnswerBody) -> Answer {
    remove_connection_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers;
    answer
}

/// Removes the hop-by-hop headers, including those that the `Connection` header names.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
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
