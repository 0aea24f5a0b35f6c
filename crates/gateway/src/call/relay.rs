//! Streams: events are passed on as they come, and a broken stream goes on where it broke.

use {
    super::{
        AnswerBody, Call,
        body::BrokenOff,
        budget::TurnCharge,
        events::EventCutter,
        exchange::{Received, Sent, is_own_error, read_whole, send, to_caller},
        failed, note_answer,
        offers::{Offers, Visit},
        timed_out,
    },
    crate::{
        front::Answer,
        gateway::Gateway,
        http::{ConnectionLease, SendError},
        time::within,
    },
    bytes::{Bytes, BytesMut},
    futures_lite::stream,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    serde_json::json,
    std::{rc::Rc, time::Instant},
    trefoilring_core::{
        budget::TokenCount,
        placement::Outcome,
        verdict::{Refusal, Verdict},
    },
    trefoilring_observe::decisions::LineRate,
};

/// How often one stream goes on after a break. Each time costs reading the prompt again.
const RESUMES_MAX: u32 = 3;

/// Tokens that an event counts as where the service does not say.
const EVENT_TOKENS_DEFAULT: TokenCount = 1;

/// A stream on its way to a caller.
struct Relay {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    visit: Option<Visit>,
    source: Option<Source>,
    charge: Option<TurnCharge>,
    /// Tokens that one event counts as.
    event_tokens: TokenCount,
    cutter: EventCutter,
    /// The last event that was passed on.
    last_event: Option<u64>,
    events: u64,
    resumes: u32,
    status: u16,
    is_ended: bool,
}

struct Source {
    body: Incoming,
    lease: ConnectionLease,
}

/// Why no further event comes.
enum End {
    Whole,
    Broken,
    TimedOut,
}

/// Delivers a request whose answer is a stream.
pub(super) async fn deliver(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    charge: Option<TurnCharge>,
) -> Result<Answer, Refusal> {
    let is_under_way = charge.as_ref().is_some_and(|charge| !charge.opens_program);
    let mut offers = Offers::new(is_under_way);
    let (mut runs, mut again_at) = (0, None);
    loop {
        let visit = match again_at.take() {
            Some(visit) => visit,
            None => offers.next(gateway, call, runs).await?,
        };
        match send(gateway, call, &visit, call.about.last_event).await {
            Sent::NotRun(outcome) if runs > 0 && !may_move(call, outcome) => {
                visit.end(outcome);
                return Err(failed(SendError::Broken));
            }
            Sent::NotRun(outcome) => offers.end(visit, outcome),
            Sent::Unknown(SendError::Broken) if call.route.kind.is_repeatable() => {
                runs += 1;
                again_at = offers.after_break(visit)?;
            }
            Sent::Unknown(error) => {
                visit.end(Outcome::Failed);
                return Err(failed(error));
            }
            Sent::Answered(received) if received.head.status.is_success() => {
                return relay(gateway, call, visit, *received, charge).await;
            }
            Sent::Answered(received) => {
                let (head, body) = read_whole(gateway, call, *received).await.map_err(failed)?;
                note_answer(gateway, call, &visit.id, head.status.as_u16(), None);
                if is_own_error(head.status) {
                    visit.end(Outcome::Errored);
                }
                return Ok(to_caller(head, AnswerBody::Whole(body)));
            }
        }
    }
}

/// Returns whether a request that an upstream has begun and now does not run may go on at another
/// one. One that can't be reached has ended, and doesn't count.
fn may_move(call: &Call, outcome: Outcome) -> bool {
    outcome == Outcome::Failed || call.route.upstreams_max.is_none_or(|max| max > 1)
}

/// Waits for the first event, so that a stream that breaks before it can still be refused.
async fn relay(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    visit: Visit,
    received: Received,
    charge: Option<TurnCharge>,
) -> Result<Answer, Refusal> {
    let Received { head, body, lease } = received;
    let engine = gateway.table.borrow().as_ref().and_then(|table| {
        table.services.get(&call.service)?.engine.as_ref().map(|engine| engine.event_tokens)
    });
    let mut relay = Relay {
        gateway: gateway.clone(),
        call: call.clone(),
        visit: Some(visit),
        source: Some(Source { body, lease }),
        charge,
        event_tokens: engine.unwrap_or(EVENT_TOKENS_DEFAULT),
        cutter: EventCutter::default(),
        last_event: call.about.last_event,
        events: 0,
        resumes: 0,
        status: head.status.as_u16(),
        is_ended: false,
    };
    let first = match relay.next().await {
        Some(Ok(first)) => first,
        None => Bytes::new(),
        Some(Err(BrokenOff)) if call.time_left().is_zero() => {
            return Err(timed_out(Verdict::MayHaveRun));
        }
        Some(Err(BrokenOff)) => return Err(failed(SendError::Broken)),
    };
    let rest = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next, relay))
    });
    let events = stream::StreamExt::chain(stream::once(Ok(first)), rest);
    Ok(to_caller(head, AnswerBody::Events(Box::pin(events))))
}

impl Relay {
    /// Returns the next events, as many as have come.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        loop {
            if self.is_ended {
                return None;
            }
            let events = self.take_events();
            if !events.is_empty() {
                return Some(Ok(events));
            }
            match self.read().await {
                Ok(()) => {}
                Err(End::Whole) => {
                    self.finish("whole");
                    return None;
                }
                Err(End::TimedOut) => {
                    self.finish("timed_out");
                    return Some(Err(BrokenOff));
                }
                Err(End::Broken) if self.resume().await => {}
                Err(End::Broken) => {
                    self.finish("broken");
                    return Some(Err(BrokenOff));
                }
            }
        }
    }

    /// Takes whole events that were not passed on before.
    fn take_events(&mut self) -> Bytes {
        let mut taken = BytesMut::new();
        while let Some(event) = self.cutter.next() {
            let is_repeated = match (event.id, self.last_event) {
                (Some(id), Some(last)) => id <= last,
                _ => false,
            };
            if is_repeated {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            self.events += 1;
            if let Some(charge) = &self.charge {
                charge.add_used_tokens(self.event_tokens);
            }
            if taken.is_empty() && !self.cutter.is_mid_event() {
                return event.bytes;
            }
            taken.extend_from_slice(&event.bytes);
        }
        taken.freeze()
    }

    async fn read(&mut self) -> Result<(), End> {
        let Some(source) = &mut self.source else { return Err(End::Broken) };
        // Only what the upstream takes: a caller that reads slowly keeps events waiting here.
        let began = Instant::now();
        let frame = within(self.call.deadline, source.body.frame()).await;
        if let Some(visit) = self.visit.as_ref().filter(|_| self.events > 0) {
            let now = Instant::now();
            self.gateway.placement.borrow_mut().record_pause(now, visit.key, now - began);
        }
        match frame {
            None => Err(End::TimedOut),
            Some(None) if self.cutter.is_mid_event() => Err(End::Broken),
            Some(None) => {
                if let Some(Source { lease, .. }) = self.source.take() {
                    self.gateway.connections.give_back(lease);
                }
                Err(End::Whole)
            }
            Some(Some(Err(error))) => {
                log::debug!("{}: {error}", self.call.about.request);
                Err(End::Broken)
            }
            Some(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => self.cutter.push(&bytes).map_err(|_| End::Broken),
                // Trailers concern this connection only.
                Err(_) => Ok(()),
            },
        }
    }

    /// Goes on after a break, at the same upstream if it lives. Returns whether it does.
    async fn resume(&mut self) -> bool {
        self.cutter.clear();
        self.source = None;
        if !self.call.route.kind.is_repeatable() || self.resumes >= RESUMES_MAX {
            return false;
        }
        self.resumes += 1;
        match self.visit.take() {
            Some(broken) => self.go_on_after(broken).await.is_some(),
            None => false,
        }
    }

    /// Sends the rest of the stream to upstreams until one begins to answer. Returns `None` if none does.
    async fn go_on_after(&mut self, broken: Visit) -> Option<()> {
        let mut offers = Offers::new(true);
        let mut again_at = offers.after_break(broken).ok()?;
        loop {
            let visit = match again_at.take() {
                Some(visit) => visit,
                None => offers.next(&self.gateway, &self.call, 1).await.ok()?,
            };
            self.note_resume(&visit);
            match send(&self.gateway, &self.call, &visit, self.last_event).await {
                Sent::Answered(received) if received.head.status.is_success() => {
                    let Received { body, lease, .. } = *received;
                    self.source = Some(Source { body, lease });
                    self.visit = Some(visit);
                    return Some(());
                }
                Sent::Answered(_) => return None,
                Sent::NotRun(outcome) if may_move(&self.call, outcome) => {
                    offers.end(visit, outcome);
                }
                Sent::NotRun(outcome) => {
                    visit.end(outcome);
                    return None;
                }
                Sent::Unknown(SendError::Broken) => again_at = offers.after_break(visit).ok()?,
                Sent::Unknown(_) => {
                    visit.end(Outcome::Failed);
                    return None;
                }
            }
        }
    }

    fn note_resume(&self, visit: &Visit) {
        self.gateway.metrics.count("resumed", 1);
        self.gateway.decisions.log(
            LineRate::Failure,
            "resume",
            json!({
                "request": self.call.about.request,
                "upstream": visit.id,
                "after_event": self.last_event,
                "resumes": self.resumes,
                "time_left_ms": self.call.time_left().as_millis() as u64,
            }),
        );
    }

    fn finish(&mut self, end: &str) {
        self.is_ended = true;
        self.source = None;
        self.charge = None;
        let upstream = self.visit.take().map(|visit| {
            let id = visit.id.clone();
            if end == "broken" {
                visit.end(Outcome::Failed);
            }
            id
        });
        let upstream = upstream.as_deref().unwrap_or_default();
        if end == "whole" {
            note_answer(&self.gateway, &self.call, upstream, self.status, Some(self.events));
            return;
        }
        self.gateway.metrics.count(&format!("stream_cut.{end}"), 1);
        self.gateway.decisions.log(
            LineRate::Failure,
            "stream_cut",
            json!({
                "request": self.call.about.request,
                "route": self.call.route.id,
                "upstream": upstream,
                "end": end,
                "events": self.events,
                "resumes": self.resumes,
                "took_ms": self.call.arrived.elapsed().as_millis() as u64,
            }),
        );
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_ended {
            self.finish("caller_left");
        }
    }
}
