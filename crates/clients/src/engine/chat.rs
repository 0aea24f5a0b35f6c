//! Model turns, received as streams of events.

use {
    super::sse::{EventReader, SseError},
    crate::{
        error::{CallError, ErrorKind},
        http::{Client, Exchange, Reply, Reuse, status_error, until_deadline},
    },
    serde_json::{Map, Value, json},
    std::time::Instant,
    trefoilring_core::{
        ids::{Epoch, ProgramId},
        message::{Message, Usage},
    },
};

/// Maximum size of the answer to a turn, in bytes.
const MAX_STREAM_BYTES: usize = 64 * 1024 * 1024;
/// Maximum size of the body of an error answer, in bytes.
const MAX_ERROR_BYTES: usize = 64 * 1024;
/// Data of the event that marks the end of a stream.
const DONE: &str = "[DONE]";

/// A request for a model turn.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// The program for which the engine caches memory.
    pub program: ProgramId,
    /// Name of the model.
    pub model: String,
    /// The complete history, including the new messages.
    pub messages: Vec<Message>,
    /// All other fields, forwarded unchanged. `stream` and `stream_options` are overwritten.
    pub options: Map<String, Value>,
    /// Id of the stream, under which it can be resumed.
    pub resume_id: Option<String>,
    /// The epoch of the program's home, for engines that check it.
    pub fencing_epoch: Option<Epoch>,
    /// When the turn times out.
    pub deadline: Instant,
}

/// One event of a turn.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatEvent {
    /// The event's JSON as received, without `data: `.
    pub json: String,
    /// `choices[0].delta`; empty if the event has none.
    pub delta: Map<String, Value>,
    /// `choices[0].finish_reason`.
    pub finish_reason: Option<String>,
    /// The token usage, sent in the last event.
    pub usage: Option<Usage>,
}

impl ChatEvent {
    /// Returns the text that the event appends to the answer.
    pub fn content(&self) -> &str {
        self.delta.get("content").and_then(Value::as_str).unwrap_or_default()
    }
}

/// A turn in progress. Dropping it closes the connection, which cancels the turn at the engine.
#[derive(Debug)]
pub struct ChatStream {
    reader: EventReader,
    deadline: Instant,
    resume_id: Option<String>,
    events_seen: u64,
    is_ended: bool,
}

impl ChatStream {
    /// Returns the next event, or `None` after the end marker.
    ///
    /// An error is the last item. A stream that ends without the end marker is an error. This
    /// method is cancel-safe: no data is lost if its future is dropped.
    pub async fn next(&mut self) -> Option<Result<ChatEvent, CallError>> {
        if self.is_ended {
            return None;
        }
        let item = match until_deadline(self.deadline, self.reader.next()).await {
            None => Err(CallError::may_have_run(ErrorKind::TimedOut, "the turn took too long")),
            Some(Ok(Some(data))) if data == DONE => {
                self.is_ended = true;
                return None;
            }
            Some(Ok(Some(data))) => parse(data),
            Some(Ok(None)) => Err(CallError::may_have_run(ErrorKind::Broken, "the stream was cut")),
            Some(Err(error)) => Err(sse_error(&error)),
        };
        match &item {
            Ok(_) => self.events_seen += 1,
            Err(_) => self.is_ended = true,
        }
        Some(item)
    }

    /// Returns the id under which the engine can resume the stream.
    pub fn resume_id(&self) -> Option<&str> {
        self.resume_id.as_deref()
    }

    /// Returns the number of events received so far, including those before the stream was resumed.
    pub fn events_seen(&self) -> u64 {
        self.events_seen
    }
}

pub(super) async fn start(client: &Client, request: ChatRequest) -> Result<ChatStream, CallError> {
    let deadline = request.deadline;
    let mut exchange = Exchange::new("POST", "v1/chat/completions", MAX_STREAM_BYTES)
        .header("Content-Type", "application/json")
        .header("Program-Id", &request.program);
    if let Some(id) = &request.resume_id {
        exchange = exchange.header("Resume-Id", id);
    }
    if let Some(epoch) = request.fencing_epoch {
        exchange = exchange.header("Fencing-Epoch", epoch);
    }
    let exchange = exchange.body(body(&request)?);
    open_stream(client, exchange, 0, deadline).await
}

pub(super) async fn resume(
    client: &Client,
    resume_id: &str,
    after: u64,
    deadline: Instant,
) -> Result<ChatStream, CallError> {
    let exchange = Exchange::new("POST", "v1/chat/completions", MAX_STREAM_BYTES)
        .header("Content-Type", "application/json")
        .header("Resume-Id", resume_id)
        .header("Resume-After", after)
        .body(b"{}".to_vec());
    open_stream(client, exchange, after, deadline).await
}

async fn open_stream(
    client: &Client,
    exchange: Exchange,
    events_seen: u64,
    deadline: Instant,
) -> Result<ChatStream, CallError> {
    // After a connection failure the request is suspected of crashing the engine. A reused
    // connection can fail because the engine closes it while idle, so turns use a new one.
    let reply = client.send(exchange, Reuse::Fresh, deadline).await?;
    if !(200..=299).contains(&reply.status) {
        return Err(error_from_reply(reply, deadline).await);
    }
    let resume_id = reply.header("resume-id").map(str::to_owned);
    let reader = EventReader::new(reply.body);
    Ok(ChatStream { reader, deadline, resume_id, events_seen, is_ended: false })
}

/// Creates the error for an error status of the engine. The body only adds details; if it can't be
/// read, the status is still reported.
async fn error_from_reply(mut reply: Reply, deadline: Instant) -> CallError {
    let (status, headers) = (reply.status, reply.headers.clone());
    reply.limit_body(MAX_ERROR_BYTES);
    let body = reply.read_all(deadline).await.map(|answer| answer.body).unwrap_or_default();
    status_error(status, &headers, &body)
}

fn body(request: &ChatRequest) -> Result<Vec<u8>, CallError> {
    #[derive(serde::Serialize)]
    struct Body<'a> {
        model: &'a str,
        messages: &'a [Message],
        #[serde(flatten)]
        options: &'a Map<String, Value>,
    }
    let mut options = request.options.clone();
    // Engines differ in how they treat duplicate fields.
    options.remove("model");
    options.remove("messages");
    options.insert("stream".into(), true.into());
    options.insert("stream_options".into(), json!({ "include_usage": true }));
    let (model, messages) = (&*request.model, &*request.messages);
    serde_json::to_vec(&Body { model, messages, options: &options })
        .map_err(|error| CallError::not_run(ErrorKind::Invalid, error.to_string()))
}

fn sse_error(error: &SseError) -> CallError {
    let kind = match error {
        SseError::Read(_) => ErrorKind::Broken,
        SseError::TooLong => ErrorKind::TooLarge,
        SseError::NotUtf8 => ErrorKind::Malformed,
    };
    CallError::may_have_run(kind, error.to_string())
}

/// The fields of an event that are parsed. All others are forwarded in the raw JSON.
#[derive(Default, serde::Deserialize)]
#[serde(default)]
struct RawEvent {
    choices: Vec<RawChoice>,
    usage: Option<RawUsage>,
    error: Option<Value>,
}

#[derive(Default, serde::Deserialize)]
#[serde(default)]
struct RawChoice {
    delta: Option<Map<String, Value>>,
    finish_reason: Option<String>,
}

#[derive(Default, serde::Deserialize)]
#[serde(default)]
struct RawUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    prompt_tokens_details: Option<RawTokenDetails>,
}

#[derive(Default, serde::Deserialize)]
#[serde(default)]
struct RawTokenDetails {
    cached_tokens: Option<u64>,
}

fn parse(json: String) -> Result<ChatEvent, CallError> {
    let malformed = |detail: String| CallError::may_have_run(ErrorKind::Malformed, detail);
    let raw: RawEvent =
        serde_json::from_str(&json).map_err(|error| malformed(format!("event: {error}")))?;
    if let Some(error) = raw.error {
        let detail = format!("the engine reports {error}");
        return Err(CallError::may_have_run(ErrorKind::Broken, detail));
    }
    let choice = raw.choices.into_iter().next().unwrap_or_default();
    let (delta, finish_reason) = (choice.delta.unwrap_or_default(), choice.finish_reason);
    Ok(ChatEvent { json, delta, finish_reason, usage: raw.usage.map(to_usage) })
}

fn to_usage(raw: RawUsage) -> Usage {
    let cached_tokens =
        raw.prompt_tokens_details.and_then(|details| details.cached_tokens).unwrap_or_default();
    Usage {
        prompt_tokens: raw.prompt_tokens,
        cached_tokens,
        completion_tokens: raw.completion_tokens,
    }
}
