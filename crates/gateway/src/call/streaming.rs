//! Forwards streams of events to callers, and resumes a broken stream after the last event that was
//! passed on.

use {
    super::{
        AnswerBody, Call,
        attempts::{Attempt, UpstreamSelector},
        body::AnswerTruncated,
        budget::TurnCharge,
        buffer::HeldAnswer,
        events::{EVENT_BYTES_MAX, EventSplitter},
        exchange::{
            ReceivedAnswer, SendOutcome, caller_answer, is_upstream_error, read_to_end, send,
        },
        failure_refusal, log_answer, retained, timeout_refusal,
    },
    crate::{
        callers::Answer,
        crashes,
        gateway::Gateway,
        http::{ActiveConnection, SendError},
        relay, stream_origins,
        turns::NotRetained,
    },
    bytes::{Bytes, BytesMut},
    futures_lite::stream,
    http::response,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    serde_json::json,
    std::{rc::Rc, time::Instant},
    trefoilring_core::{
        budget::TokenCount,
        ids::UpstreamId,
        placement::{Outcome, Urgency},
        stream_origins::StreamOrigin,
        verdict::{Refusal, Verdict},
    },
    trefoilring_observe::decisions::LineRate,
};

/// Maximum number of times that one stream is resumed. Each time the prompt is processed again.
const RESUMES_MAX: u32 = 3;

/// Tokens per event if the service's configuration does not set a number.
const EVENT_TOKENS_DEFAULT: TokenCount = 1;

/// A stream that is forwarded to a caller.
struct StreamForwarder {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    attempt: Option<Attempt>,
    source: Option<Source>,
    charge: Option<TurnCharge>,
    /// Tokens per event, for the charge.
    event_tokens: TokenCount,
    splitter: EventSplitter,
    /// Where the stream began; `None` until its first event is passed on.
    origin: Option<StreamOrigin>,
    /// Head of the answer from which the events are taken, until the first one is passed on.
    head: Option<response::Parts>,
    /// Id of the last event that was passed on.
    last_event: Option<u64>,
    event_count: u64,
    /// Data of the events that were passed on, if the turn is kept.
    output: BytesMut,
    /// Memory of the buffered event and of `output`.
    held: HeldAnswer,
    /// The upstream that completed the stream.
    completed_by: Option<UpstreamId>,
    resumes: u32,
    status: u16,
    /// Whether the upstream has sent more events than the turn's charge covers.
    is_too_long: bool,
    has_ended: bool,
}

struct Source {
    body: Incoming,
    connection: ActiveConnection,
}

/// How a stream ended.
enum StreamEnd {
    Complete,
    Broken,
    TimedOut,
}

/// Delivers a request whose answer is a stream.
pub(super) async fn deliver(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    charge: Option<TurnCharge>,
) -> Result<Answer, Refusal> {
    let urgency = match &charge {
        Some(charge) if charge.opens_program => Urgency::FirstTurn,
        Some(_) => Urgency::of_active_program(call.target_in()),
        None => Urgency::NoProgram,
    };
    let version = call.origin.as_ref().map(|origin| origin.version.clone());
    let mut selector = UpstreamSelector::new(urgency, version);
    let (mut possible_runs, mut retry_attempt) = (0, None);
    loop {
        let attempt = match retry_attempt.take() {
            Some(attempt) => attempt,
            None => selector.next(gateway, call, possible_runs).await?,
        };
        match send(gateway, call, &attempt, call.metadata.last_event).await {
            SendOutcome::NotRun(outcome)
                if possible_runs > 0 && !may_change_upstream(call, outcome) =>
            {
                attempt.end(outcome);
                return Err(failure_refusal(SendError::Broken));
            }
            SendOutcome::NotRun(outcome) => selector.end(attempt, outcome),
            SendOutcome::Unknown(SendError::Broken) if call.route.kind.is_repeatable() => {
                possible_runs += 1;
                retry_attempt = selector.on_broken(call, attempt).await?;
            }
            SendOutcome::Unknown(error) => {
                if error == SendError::Broken {
                    attempt.on_broken(call).await;
                }
                attempt.end(Outcome::Failed);
                return Err(failure_refusal(error));
            }
            SendOutcome::Answered(received) if received.head.status.is_success() => {
                return forward_stream(gateway, call, attempt, *received, charge).await;
            }
            SendOutcome::Answered(received) => {
                let (head, body) =
                    read_to_end(gateway, call, *received).await.map_err(failure_refusal)?;
                log_answer(gateway, call, &attempt.id, head.status.as_u16(), None);
                if is_upstream_error(head.status) {
                    attempt.end(Outcome::Errored);
                }
                return Ok(caller_answer(head, body));
            }
        }
    }
}

/// Returns whether a request that one upstream may have run, and that was then rejected when it was
/// sent again, may be sent to another upstream. If the upstream could not be reached, it no longer
/// runs the request and does not count against the route's maximum number of upstreams.
fn may_change_upstream(call: &Call, outcome: Outcome) -> bool {
    outcome == Outcome::Failed || call.route.upstreams_max.is_none_or(|max| max > 1)
}

/// Forwards a stream. Waits for the first event, so that a request whose stream breaks earlier can
/// still be refused.
async fn forward_stream(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    attempt: Attempt,
    received: ReceivedAnswer,
    charge: Option<TurnCharge>,
) -> Result<Answer, Refusal> {
    let ReceivedAnswer { head, body, connection } = received;
    let status = head.status.as_u16();
    let configured_event_tokens = gateway.routing_table.borrow().as_ref().and_then(|table| {
        table.services.get(&call.service)?.engine.as_ref().map(|engine| engine.event_tokens)
    });
    let mut forwarder = StreamForwarder {
        gateway: gateway.clone(),
        call: call.clone(),
        attempt: Some(attempt),
        source: Some(Source { body, connection }),
        charge,
        event_tokens: configured_event_tokens.unwrap_or(EVENT_TOKENS_DEFAULT),
        splitter: EventSplitter::default(),
        origin: call.origin.clone(),
        head: Some(head),
        last_event: call.metadata.last_event,
        event_count: 0,
        output: BytesMut::new(),
        held: HeldAnswer::new(&gateway.memory),
        completed_by: None,
        resumes: 0,
        status,
        is_too_long: false,
        has_ended: false,
    };
    let first = match forwarder.next().await {
        Some(Ok(first)) => first,
        None => Bytes::new(),
        Some(Err(AnswerTruncated)) if call.time_left().is_zero() => {
            return Err(timeout_refusal(Verdict::MayHaveRun));
        }
        Some(Err(AnswerTruncated)) => return Err(failure_refusal(SendError::Broken)),
    };
    let Some(head) = forwarder.head.take() else { return Err(failure_refusal(SendError::Broken)) };
    let rest = stream::unfold(forwarder, |mut forwarder| async move {
        let next = forwarder.next().await?;
        Some((next, forwarder))
    });
    let events = stream::StreamExt::chain(stream::once(Ok(first)), rest);
    Ok(caller_answer(head, AnswerBody::Events(Box::pin(events))))
}

impl StreamForwarder {
    /// Returns all complete events that have been received, or waits for the next one.
    async fn next(&mut self) -> Option<Result<Bytes, AnswerTruncated>> {
        loop {
            if self.has_ended {
                return None;
            }
            let events = self.take_events();
            if !events.is_empty() {
                return Some(Ok(events));
            }
            if self.is_too_long {
                self.finish("too_long");
                return Some(Err(AnswerTruncated));
            }
            match self.read().await {
                Ok(()) => {}
                Err(StreamEnd::Complete) => {
                    return match self.keep_turn().await {
                        Ok(()) => {
                            self.finish("whole");
                            None
                        }
                        Err(error) => {
                            log::debug!("turn {}: {error}", self.call.metadata.request_id);
                            self.finish("not_kept");
                            Some(Err(AnswerTruncated))
                        }
                    };
                }
                Err(StreamEnd::TimedOut) => {
                    self.finish("timed_out");
                    return Some(Err(AnswerTruncated));
                }
                Err(StreamEnd::Broken) if self.resume().await => {}
                Err(StreamEnd::Broken) => {
                    self.finish("broken");
                    return Some(Err(AnswerTruncated));
                }
            }
        }
    }

    /// Takes the complete events from the buffer and skips those that were passed on before.
    fn take_events(&mut self) -> Bytes {
        let mut taken = BytesMut::new();
        while let Some(event) = self.splitter.next() {
            let is_repeated = match (event.id, self.last_event) {
                (Some(id), Some(last)) => id <= last,
                _ => false,
            };
            if is_repeated {
                continue;
            }
            if event.id.is_some() && self.charge.as_ref().is_some_and(TurnCharge::is_used_up) {
                self.is_too_long = true;
                break;
            }
            if self.event_count == 0 {
                self.record_origin();
            }
            self.last_event = event.id.or(self.last_event);
            self.event_count += 1;
            if self.call.retained.is_some() {
                retained::append_output(&event.bytes, &mut self.output);
            }
            if let Some(charge) = &self.charge {
                charge.add_used_tokens(self.event_tokens);
            }
            if taken.is_empty() && !self.splitter.is_mid_event() {
                return event.bytes;
            }
            taken.extend_from_slice(&event.bytes);
        }
        taken.freeze()
    }

    /// Keeps the turn of a complete stream, if its route keeps turns. The caller must not see the end
    /// of its answer before: it may then continue the turn at any host, whatever is lost.
    async fn keep_turn(&mut self) -> Result<(), NotRetained> {
        let call = self.call.clone();
        let Some(retained) = &call.retained else { return Ok(()) };
        // The upstream is done, and must not count as loaded meanwhile.
        self.completed_by = self.attempt.take().map(|attempt| attempt.id.clone());
        let output = std::mem::take(&mut self.output).freeze();
        let upstream = self.completed_by.clone();
        retained::keep(&self.gateway, &call, retained, output, upstream).await
    }

    /// Records the upstream that makes the first event as the stream's origin.
    fn record_origin(&mut self) {
        let Some(attempt) = &self.attempt else { return };
        let origin = self.origin.get_or_insert_with(|| attempt.origin());
        stream_origins::record_begun(&self.gateway, &self.call, origin);
    }

    async fn read(&mut self) -> Result<(), StreamEnd> {
        let Some(source) = self.source.as_mut().filter(|_| !self.splitter.is_foreign()) else {
            return Err(StreamEnd::Broken);
        };
        source.connection.limit_received(2 * EVENT_BYTES_MAX);
        // Measures only the upstream's pauses. A caller that reads slowly delays the next call of
        // this function, and that delay is not counted.
        let began = Instant::now();
        let may_give_up = self.call.route.kind.is_repeatable() && !source.connection.is_relayed();
        let frame = relay::wait_for_upstream(
            &self.gateway,
            self.call.deadline,
            may_give_up,
            source.body.frame(),
        )
        .await
        .map_err(|_| StreamEnd::Broken)?;
        if frame.is_some() && !source.connection.is_relayed() {
            self.gateway.relay.record_alive();
        }
        if let Some(attempt) = self.attempt.as_ref().filter(|_| self.event_count > 0) {
            let now = Instant::now();
            self.gateway.placement.borrow_mut().record_pause(now, attempt.key, now - began);
        }
        match frame {
            None => Err(StreamEnd::TimedOut),
            Some(None) if self.splitter.is_mid_event() => Err(StreamEnd::Broken),
            Some(None) => {
                if let Some(Source { connection, .. }) = self.source.take() {
                    relay::release_connection(&self.gateway, &self.call.service, connection);
                }
                Err(StreamEnd::Complete)
            }
            Some(Some(Err(error))) => {
                log::debug!("stream of request {} broke: {error}", self.call.metadata.request_id);
                Err(StreamEnd::Broken)
            }
            Some(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => self.buffer(&bytes),
                // Trailers are not forwarded: they concern only the connection to the upstream.
                Err(_) => Ok(()),
            },
        }
    }

    fn buffer(&mut self, bytes: &[u8]) -> Result<(), StreamEnd> {
        let buffered = self.splitter.buffered_bytes() + bytes.len();
        // Both buffers double when they grow.
        let held = self.held.grow_to(2 * (buffered + self.output.len()));
        held.map_err(|error| {
            log::debug!("stream of request {} broke: {error}", self.call.metadata.request_id);
            StreamEnd::Broken
        })?;
        self.splitter.push(bytes).map_err(|_| StreamEnd::Broken)
    }

    /// Resumes a broken stream, at the same upstream if it is alive. Returns whether it succeeded.
    async fn resume(&mut self) -> bool {
        self.splitter.clear();
        self.source = None;
        if !self.call.route.kind.is_repeatable() || self.resumes >= RESUMES_MAX {
            if let Some(attempt) = &self.attempt {
                attempt.on_broken(&self.call).await;
            }
            return false;
        }
        self.resumes += 1;
        match self.attempt.take() {
            Some(broken) => self.request_rest(broken).await.is_some(),
            None => false,
        }
    }

    /// Requests the rest of the stream from the upstreams in turn until one answers. Returns `None`
    /// if none does.
    async fn request_rest(&mut self, broken: Attempt) -> Option<()> {
        let version = self.origin.as_ref().map(|origin| origin.version.clone());
        let urgency = Urgency::of_active_program(self.call.target_in());
        let mut selector = UpstreamSelector::new(urgency, version);
        let mut retry_attempt = selector.on_broken(&self.call, broken).await.ok()?;
        loop {
            let attempt = match retry_attempt.take() {
                Some(attempt) => attempt,
                None => selector.next(&self.gateway, &self.call, 1).await.ok()?,
            };
            self.log_resume(&attempt);
            match send(&self.gateway, &self.call, &attempt, self.last_event).await {
                SendOutcome::Answered(received) if received.head.status.is_success() => {
                    let ReceivedAnswer { head, body, connection } = *received;
                    self.head = self.head.take().map(|_| head);
                    self.source = Some(Source { body, connection });
                    self.attempt = Some(attempt);
                    return Some(());
                }
                SendOutcome::Answered(_) => return None,
                SendOutcome::NotRun(outcome) if may_change_upstream(&self.call, outcome) => {
                    selector.end(attempt, outcome);
                }
                SendOutcome::NotRun(outcome) => {
                    attempt.end(outcome);
                    return None;
                }
                SendOutcome::Unknown(SendError::Broken) => {
                    retry_attempt = selector.on_broken(&self.call, attempt).await.ok()?
                }
                SendOutcome::Unknown(_) => {
                    attempt.end(Outcome::Failed);
                    return None;
                }
            }
        }
    }

    fn log_resume(&self, attempt: &Attempt) {
        self.gateway.metrics.count("resumed", 1);
        self.gateway.decisions.log(
            LineRate::Failure,
            "resume",
            json!({
                "request": self.call.metadata.request_id,
                "upstream": attempt.id,
                "version": attempt.origin().version,
                "begun_at": self.origin.as_ref().map(|origin| &origin.version),
                "after_event": self.last_event,
                "resumes": self.resumes,
                "time_left_ms": self.call.time_left().as_millis() as u64,
            }),
        );
    }

    fn finish(&mut self, end: &str) {
        self.has_ended = true;
        self.source = None;
        self.charge = None;
        let upstream = self.attempt.take().map(|attempt| {
            let id = attempt.id.clone();
            if end == "broken" {
                attempt.end(Outcome::Failed);
            }
            id
        });
        let upstream = upstream.or_else(|| self.completed_by.take());
        let upstream = upstream.as_deref().unwrap_or_default();
        if end == "whole" {
            crashes::on_answered(&self.gateway, &self.call);
            log_answer(&self.gateway, &self.call, upstream, self.status, Some(self.event_count));
            return;
        }
        self.gateway.metrics.count(&format!("stream_cut.{end}"), 1);
        self.gateway.decisions.log(
            LineRate::Failure,
            "stream_cut",
            json!({
                "request": self.call.metadata.request_id,
                "route": self.call.route.id,
                "upstream": upstream,
                "end": end,
                "events": self.event_count,
                "resumes": self.resumes,
                "took_ms": self.call.arrived.elapsed().as_millis() as u64,
            }),
        );
    }
}

impl Drop for StreamForwarder {
    fn drop(&mut self) {
        if !self.has_ended {
            self.finish("caller_left");
        }
    }
}
