//! Calls to upstreams: runs one turn or one service call and forwards its chunks to the caller.

use {
    smol::channel::Sender,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    trefoilring_clients::{
        CallError, ChatAssembler, ChatEvent, ChatRequest, Engine, ErrorKind, ServiceClient,
        ServiceRequest, has_ended,
    },
    trefoilring_core::{
        call::{Chunk, ServiceCall},
        ids::Epoch,
        journal::StepResult,
        message::{Message, Usage},
        sched::Outcome,
        verdict::{Refusal, Verdict},
    },
};

/// Channel for the chunks of an answer.
pub(crate) type AnswerSender = Sender<Result<Chunk, Refusal>>;

/// Result of a call at an upstream.
pub(crate) struct UpstreamRun<T> {
    /// Reported to the dispatcher.
    pub outcome: Outcome,
    /// Reported to the program.
    pub result: Result<T, CallError>,
}

/// Result of a completed turn.
pub(crate) struct TurnEnd {
    /// Message of the model.
    pub message: Message,
    /// Tokens used, as the engine reported them.
    pub usage: Usage,
    /// The complete answer in non-streamed form.
    pub completion: serde_json::Value,
    /// Events to hold back until the turn is durable: the one with the finish reason and all after
    /// it.
    pub held: Vec<String>,
}

/// Removes text that the caller has already received when a turn is run again.
///
/// Invariant: `sent_text` is a prefix of the text of every run that may still continue. A run is
/// aborted as soon as its text differs from `sent_text`.
#[derive(Default)]
pub(crate) struct StreamDedup {
    sent_text: String,
    run_text: String,
    is_started: bool,
    /// Whether the caller has received tool calls, which can't be compared with those of another
    /// run.
    has_sent_non_text: bool,
}

impl StreamDedup {
    /// Prepares for another run of the same turn. Returns whether that is possible.
    pub(crate) fn restart(&mut self) -> bool {
        self.run_text.clear();
        !self.has_sent_non_text
    }

    /// Returns whether the caller has received anything.
    pub(crate) fn is_started(&self) -> bool {
        self.is_started
    }

    /// Returns the part of an event that the caller has not received. Returns an error if the text
    /// of this run differs from text of an earlier run that the caller has received.
    fn filter(&mut self, event: &ChatEvent) -> Result<Option<String>, CallError> {
        let previous_len = self.run_text.len();
        self.run_text.push_str(event.content());
        let overlap = self.run_text.len().min(self.sent_text.len());
        if self.run_text.as_bytes()[..overlap] != self.sent_text.as_bytes()[..overlap] {
            return Err(diverged());
        }
        let is_repeat = previous_len < self.sent_text.len();
        if is_repeat && self.run_text.len() <= self.sent_text.len() {
            return Ok(None);
        }
        let json = match is_repeat {
            true => with_content(&event.json, &self.run_text[self.sent_text.len()..]),
            false => event.json.clone(),
        };
        self.has_sent_non_text |= event.delta.contains_key("tool_calls");
        self.sent_text.clone_from(&self.run_text);
        Ok(Some(json))
    }
}

fn diverged() -> CallError {
    let detail = "the turn was run again and its text differs from what was sent";
    CallError::may_have_run(ErrorKind::Broken, detail)
}

fn with_content(json: &str, content: &str) -> String {
    let Ok(mut event) = serde_json::from_str::<serde_json::Value>(json) else { return json.into() };
    if let Some(delta) = event.pointer_mut("/choices/0/delta") {
        delta["content"] = content.into();
    }
    event.to_string()
}

/// Runs a turn. With `dedup`, forwards chunks to the caller as they arrive.
pub(crate) async fn run_turn(
    address: SocketAddr,
    request: ChatRequest,
    out: &AnswerSender,
    mut dedup: Option<&mut StreamDedup>,
) -> UpstreamRun<TurnEnd> {
    let started = Instant::now();
    let (id, model) = (request.resume_id.clone().unwrap_or_default(), request.model.clone());
    let mut assembler = ChatAssembler::default();
    let mut first_byte = None;
    let mut held = Vec::new();
    let mut stream = match Engine::new(address).chat(request).await {
        Ok(stream) => stream,
        Err(error) => return failed_run(address, error).await,
    };
    while let Some(event) = stream.next().await {
        let event = match event {
            Ok(event) => event,
            Err(error) => return failed_run(address, error).await,
        };
        first_byte.get_or_insert_with(|| started.elapsed());
        assembler.push(&event);
        let Some(dedup) = dedup.as_deref_mut() else { continue };
        match dedup.filter(&event) {
            Ok(Some(json)) if assembler.finish_reason().is_some() => held.push(json),
            Ok(Some(json)) => send_event(out, dedup, json).await,
            Ok(None) => (),
            Err(error) => return failed_run(address, error).await,
        }
    }
    let usage = assembler.usage().unwrap_or_default();
    let outcome = Outcome::Done {
        first_byte: first_byte.unwrap_or_default(),
        total: started.elapsed(),
        usage: Some(usage),
    };
    let completion = assembler.completion(&id, &model);
    let result = Ok(TurnEnd { message: assembler.message(), usage, completion, held });
    UpstreamRun { outcome, result }
}

/// Sends one event. If the caller has disconnected, the turn still runs to its end and is recorded.
async fn send_event(out: &AnswerSender, dedup: &mut StreamDedup, json: String) {
    if !dedup.is_started {
        dedup.is_started = true;
        let _ = out.send(Ok(event_stream_head())).await;
    }
    let _ = out.send(Ok(Chunk::Event(json))).await;
}

/// Returns the head of a streamed answer.
pub(crate) fn event_stream_head() -> Chunk {
    let headers = vec![("content-type".to_string(), "text/event-stream".to_string())];
    Chunk::Head { status: 200, headers }
}

/// Runs a call to a tool or plain service.
pub(crate) async fn run_service(
    address: SocketAddr,
    call: &ServiceCall,
    idempotency_key: Option<String>,
    fencing_epoch: Option<Epoch>,
    deadline: Duration,
) -> UpstreamRun<StepResult> {
    let started = Instant::now();
    let request = ServiceRequest {
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
        idempotency_key,
        fencing_epoch,
        deadline: started + deadline,
    };
    match ServiceClient::new(address).call(request).await {
        Ok(reply) => {
            let total = started.elapsed();
            let outcome = Outcome::Done { first_byte: total, total, usage: None };
            let result = step_result(reply.status, reply.headers, reply.body);
            UpstreamRun { outcome, result: Ok(result) }
        }
        Err(error) => failed_run(address, error).await,
    }
}

/// Builds the result to record. A UTF-8 body is stored as a string, so that the record is readable
/// in the store.
pub(crate) fn step_result(
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
) -> StepResult {
    match String::from_utf8(body) {
        Ok(text) => StepResult { status, headers, text, bytes: Vec::new() },
        Err(error) => {
            StepResult { status, headers, text: String::new(), bytes: error.into_bytes() }
        }
    }
}

/// Returns the body of a recorded result.
pub(crate) fn result_body(result: &StepResult) -> Vec<u8> {
    match result.bytes.is_empty() {
        true => result.text.clone().into_bytes(),
        false => result.bytes.clone(),
    }
}

async fn failed_run<T>(address: SocketAddr, mut error: CallError) -> UpstreamRun<T> {
    let outcome = match error.kind {
        // The request is invalid. The upstream is healthy and rejected the request before running
        // it.
        ErrorKind::Status(400 | 413 | 422) => {
            error.verdict = Verdict::NotRun;
            Outcome::Unused
        }
        ErrorKind::Connect => Outcome::Unreachable,
        ErrorKind::Broken if has_ended(address).await => Outcome::Broken,
        ErrorKind::TimedOut => Outcome::TimedOut,
        _ if error.verdict == Verdict::NotRun => Outcome::Refused,
        // The upstream is still there, so the call has not crashed it.
        _ => Outcome::Unreachable,
    };
    UpstreamRun { outcome, result: Err(error) }
}
