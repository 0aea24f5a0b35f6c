//! Divides the duration of each step into phases.

use {
    super::read::Entry,
    std::collections::BTreeMap,
    trefoilring_core::{
        event::{Event, Kind},
        hlc::Stamp,
        ids::{HostId, ProgramId, RequestId, StepKey, UpstreamId},
    },
};

/// A phase of a step: what the step waited for or did.
#[derive(
    Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub(super) enum Phase {
    /// Waiting for earlier steps of the program, and checking its budget and the team's allowance.
    #[display("admission")]
    Admission,
    /// Waiting for a slot at an upstream.
    #[display("queue")]
    Queue,
    /// Waiting for the first byte. For a model, this is the prefill.
    #[display("first byte")]
    FirstByte,
    /// Receiving the rest of the response.
    #[display("answer")]
    Answer,
    /// Writing the response's record to the store.
    #[display("store")]
    Store,
    /// Time before a retry or a refusal.
    #[display("other")]
    Other,
}

impl Phase {
    /// All phases, in their usual order.
    pub const ALL: [Self; 6] =
        [Self::Admission, Self::Queue, Self::FirstByte, Self::Answer, Self::Store, Self::Other];
}

/// Time that one step spent in one phase.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub(super) struct Span {
    pub phase: Phase,
    pub host: HostId,
    pub from_us: u64,
    pub to_us: u64,
}

/// A step as seen by one request, from the request's receipt to its end.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub(super) struct Step {
    pub program: ProgramId,
    pub step: StepKey,
    pub request: RequestId,
    /// The upstream of the last attempt.
    pub upstream: Option<UpstreamId>,
    /// Number of attempts sent to an upstream.
    pub attempts: u32,
    pub spans: Vec<Span>,
    /// Kind of the last event.
    pub end: Kind,
    /// Reason and verdict of a refusal.
    pub refusal: Option<String>,
}

impl Step {
    /// Returns the time between the first and the last event.
    pub fn total_us(&self) -> u64 {
        let from = self.spans.first().map_or(0, |span| span.from_us);
        let to = self.spans.last().map_or(0, |span| span.to_us);
        to.saturating_sub(from)
    }

    /// Returns the total time spent in one phase.
    pub fn phase_us(&self, phase: Phase) -> u64 {
        let spans = self.spans.iter().filter(|span| span.phase == phase);
        spans.map(|span| span.to_us.saturating_sub(span.from_us)).sum()
    }
}

/// Returns the steps of all entries, in the order in which their requests were received.
pub(super) fn steps(entries: &[Entry]) -> Vec<Step> {
    let mut by_request: BTreeMap<(Stamp, &str), Step> = BTreeMap::new();
    let mut starts: BTreeMap<&str, Stamp> = BTreeMap::new();
    let mut last: BTreeMap<&str, Stamp> = BTreeMap::new();
    for entry in entries {
        let Entry::Event(event) = entry else { continue };
        let (Some(program), Some(step), Some(request)) =
            (&event.program, &event.step, &event.request)
        else {
            continue;
        };
        let start = *starts.entry(request).or_insert(event.at);
        let step_of_request = by_request.entry((start, request)).or_insert_with(|| Step {
            program: program.clone(),
            step: step.clone(),
            request: request.clone(),
            upstream: None,
            attempts: 0,
            spans: Vec::new(),
            end: event.kind,
            refusal: None,
        });
        if let Some(previous) = last.insert(request, event.at) {
            step_of_request.spans.extend(ended_spans(event, previous.wall_us));
        }
        apply_event(step_of_request, event);
    }
    by_request.into_values().collect()
}

fn apply_event(step: &mut Step, event: &Event) {
    step.end = event.kind;
    if event.upstream.is_some() {
        step.upstream.clone_from(&event.upstream);
    }
    if event.kind == Kind::CallSent {
        step.attempts += 1;
    }
    if event.kind == Kind::CallRefused {
        let detail = |name: &str| event.details.get(name).and_then(|value| value.as_str());
        let (reason, verdict) = (detail("reason"), detail("verdict"));
        let text = format!("{} ({})", reason.unwrap_or("unknown"), verdict.unwrap_or("unknown"));
        step.refusal = Some(text);
    }
}

/// Returns the spans between the previous event and this one. The event determines the phase that
/// it ends. A `CallEnded` event with `first_byte_ms` ends two phases.
fn ended_spans(event: &Event, from_us: u64) -> Vec<Span> {
    let to_us = event.at.wall_us;
    let span = |phase, from_us, to_us| Span { phase, host: event.host.clone(), from_us, to_us };
    let phase = match event.kind {
        Kind::CallQueued => Phase::Admission,
        Kind::CallSent => Phase::Queue,
        Kind::CallFirstByte => Phase::FirstByte,
        Kind::CallEnded => Phase::Answer,
        Kind::CallRecorded => Phase::Store,
        _ => Phase::Other,
    };
    let first_byte_ms = event.details.get("first_byte_ms").and_then(serde_json::Value::as_u64);
    match first_byte_ms {
        Some(first_byte_ms) if phase == Phase::Answer => {
            let first_byte_us = (from_us + first_byte_ms * 1000).min(to_us);
            vec![span(Phase::FirstByte, from_us, first_byte_us), span(phase, first_byte_us, to_us)]
        }
        _ => vec![span(phase, from_us, to_us)],
    }
}
