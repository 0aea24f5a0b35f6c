//! Chat completions: `POST /v1/chat/completions`.

use {
    super::{
        EngineStandin,
        cache::Block,
        sequence::{Chunk, TurnParameters},
        text::{DEFAULT_TOKENS, EMPTY_PREFIX, MAX_TOKENS, extend_prefix_hash},
    },
    crate::{
        faults::Faults,
        request::{
            CallerConnection, ErrorResponse, ReceivedRequest, empty_response, error_response,
            json_response, text_response,
        },
    },
    http_types::{Body, Response},
    serde_json::json,
    smol::{
        Task,
        channel::Receiver,
        future::FutureExt,
        io::{AsyncBufRead, AsyncRead},
        stream::Stream,
    },
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
    },
    trefoilring_core::message::{Message, Usage},
};

/// The fields of a chat request that the stand-in uses.
#[derive(serde::Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
}

impl EngineStandin {
    pub(super) async fn chat(
        &self,
        request: ReceivedRequest,
        faults: &Faults,
    ) -> Result<Response, ErrorResponse> {
        if let Some(received) = request.header_number("resume-after")? {
            return self.resume(&request, received);
        }
        let body: ChatBody = request.json()?;
        if !self.serves(&body.model) {
            return Err(error_response(404, format!("model {:?} is not loaded", body.model)));
        }
        self.check_fencing(&request, faults)?;
        let (is_streamed, connection) = (body.stream, request.connection.clone());
        let parameters = parse_turn(body, &request)?;
        if parameters.memory_tokens() > self.scheduler.state().cache.capacity_tokens() {
            return Err(error_response(400, "the prompt and its answer don't fit the cache"));
        }
        let chunks = self.scheduler.submit(parameters.clone());
        match is_streamed {
            true => Ok(stream_response(parameters, chunks, connection)),
            false => Ok(unstreamed_response(&parameters, chunks, connection).await),
        }
    }

    fn resume(&self, request: &ReceivedRequest, received: u64) -> Result<Response, ErrorResponse> {
        let resume_id = request.header("resume-id").unwrap_or_default();
        let resumed = self.scheduler.resume(resume_id, received);
        let (parameters, chunks) =
            resumed.ok_or_else(|| error_response(404, "no such stream is known"))?;
        Ok(stream_response(parameters, chunks, request.connection.clone()))
    }

    fn check_fencing(
        &self,
        request: &ReceivedRequest,
        faults: &Faults,
    ) -> Result<(), ErrorResponse> {
        let Some(epoch) = request.header_number("fencing-epoch")? else { return Ok(()) };
        let scope = format!("program {}", request.header("program-id").unwrap_or_default());
        let is_current = self.model_state().accept_fencing_number(scope, epoch);
        match faults.checks_fencing && !is_current {
            true => Err(error_response(409, "old fencing number")),
            false => Ok(()),
        }
    }
}

fn parse_turn(body: ChatBody, request: &ReceivedRequest) -> Result<TurnParameters, ErrorResponse> {
    if body.messages.is_empty() {
        return Err(error_response(400, "messages: expected at least one"));
    }
    let mut prompt = EMPTY_PREFIX;
    let mut blocks = Vec::with_capacity(body.messages.len());
    for message in &body.messages {
        prompt = extend_prefix_hash(&prompt, message);
        blocks.push(Block { hash: prompt, tokens: message.estimated_tokens() });
    }
    let tokens = body.max_completion_tokens.or(body.max_tokens).unwrap_or(DEFAULT_TOKENS);
    if !(1..=MAX_TOKENS).contains(&tokens) {
        let detail = format!("max_tokens {tokens}: expected 1 to {MAX_TOKENS}");
        return Err(error_response(400, detail));
    }
    Ok(TurnParameters {
        program: request.header("program-id").map(Into::into),
        model: body.model,
        blocks,
        prompt,
        tokens,
        resume_id: request.header("resume-id").map(str::to_owned),
    })
}

/// Returns a response that streams one event for each generated word.
fn stream_response(
    parameters: TurnParameters,
    chunks: Receiver<Chunk>,
    connection: CallerConnection,
) -> Response {
    let mut response = empty_response(200);
    response.insert_header("cache-control", "no-cache");
    if let Some(id) = &parameters.resume_id {
        response.insert_header("resume-id", id.as_str());
    }
    response
        .set_body(Body::from_reader(EventBody::new(parameters.model, chunks, connection), None));
    response.insert_header("content-type", "text/event-stream");
    response
}

/// Waits for all words and returns one JSON response.
async fn unstreamed_response(
    parameters: &TurnParameters,
    chunks: Receiver<Chunk>,
    connection: CallerConnection,
) -> Response {
    let collect = async {
        let mut text = String::new();
        loop {
            match chunks.recv().await {
                Ok(Chunk::Word(word)) => text.push_str(&word),
                Ok(Chunk::End(usage)) => return Some((text, usage)),
                Err(_) => return None,
            }
        }
    };
    let disconnected = async {
        connection.closed().await;
        None
    };
    match collect.or(disconnected).await {
        None => text_response(500, "the turn was cancelled"),
        Some((text, usage)) => json_response(&json!({
            "object": "chat.completion",
            "model": parameters.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }],
            "usage": usage_json(usage),
        })),
    }
}

fn usage_json(usage: Usage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}

/// A body of server-sent events. Dropping it cancels the turn.
struct EventBody {
    /// Start of each event's JSON: `{"object":…,"model":…,`.
    prefix: String,
    chunks: Pin<Box<Receiver<Chunk>>>,
    /// The current event. Bytes from `position` on are unread.
    bytes: Vec<u8>,
    position: usize,
    is_ended: bool,
    /// Closes the channel when the caller disconnects, even while no chunk arrives.
    _disconnect_task: Task<()>,
}

impl EventBody {
    fn new(model: String, chunks: Receiver<Chunk>, connection: CallerConnection) -> Self {
        let watched = chunks.clone();
        let disconnect_task = smol::spawn(async move {
            connection.closed().await;
            watched.close();
        });
        Self {
            prefix: format!("{{\"object\":\"chat.completion.chunk\",\"model\":{},", json!(model)),
            chunks: Box::pin(chunks),
            bytes: Vec::new(),
            position: 0,
            is_ended: false,
            _disconnect_task: disconnect_task,
        }
    }

    fn push_chunk(&mut self, chunk: Chunk) {
        let prefix = &self.prefix;
        let text = match chunk {
            // Words consist of letters and a space, so they need no escaping.
            Chunk::Word(word) => format!(
                "data: {prefix}\"choices\":[{{\"index\":0,\"delta\":{{\"role\":\"assistant\",\
                 \"content\":\"{word}\"}},\"finish_reason\":null}}]}}\n\n"
            ),
            Chunk::End(usage) => {
                self.is_ended = true;
                format!(
                    "data: {prefix}\"choices\":[{{\"index\":0,\"delta\":{{}},\
                     \"finish_reason\":\"stop\"}}]}}\n\n\
                     data: {prefix}\"choices\":[],\"usage\":{}}}\n\ndata: [DONE]\n\n",
                    usage_json(usage)
                )
            }
        };
        self.bytes.extend_from_slice(text.as_bytes());
    }
}

impl AsyncBufRead for EventBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.position == this.bytes.len() && !this.is_ended {
            this.bytes.clear();
            this.position = 0;
            match ready!(this.chunks.as_mut().poll_next(context)) {
                Some(chunk) => this.push_chunk(chunk),
                // The engine stopped or the caller disconnected: the stream must not look complete.
                None => return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
            }
        }
        Poll::Ready(Ok(&this.bytes[this.position..]))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().position += count;
    }
}

impl AsyncRead for EventBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = available.len().min(buffer.len());
        buffer[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
