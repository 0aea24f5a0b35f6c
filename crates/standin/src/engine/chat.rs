//! The chat-completions call.

use {
    super::{
        EngineStandin,
        cache::Block,
        sequence::{Job, Piece},
        text::{DEFAULT_TOKENS, EMPTY_PREFIX, MAX_TOKENS, extend},
    },
    crate::{
        faults::Faults,
        request::{Peer, Received, Refused, empty_response, json_response, refused, text_response},
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

/// The fields of a request that the stand-in reads.
#[derive(serde::Deserialize)]
struct Wire {
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
        request: Received,
        faults: &Faults,
    ) -> Result<Response, Refused> {
        if let Some(seen) = request.number_header("resume-after")? {
            return self.resume(&request, seen);
        }
        let wire: Wire = request.json()?;
        if !self.serves(&wire.model) {
            return Err(refused(404, format!("model {:?} is not loaded", wire.model)));
        }
        self.check_fencing(&request, faults)?;
        let (is_streamed, peer) = (wire.stream, request.peer.clone());
        let job = to_job(wire, &request)?;
        if job.memory_tokens() > self.scheduler.state().cache.capacity_tokens() {
            return Err(refused(400, "the prompt and its answer don't fit the cache"));
        }
        let pieces = self.scheduler.submit(job.clone());
        match is_streamed {
            true => Ok(stream(job, pieces, peer)),
            false => Ok(whole(&job, pieces, peer).await),
        }
    }

    fn resume(&self, request: &Received, seen: u64) -> Result<Response, Refused> {
        let resume_id = request.header("resume-id").unwrap_or_default();
        let resumed = self.scheduler.resume(resume_id, seen);
        let (job, pieces) = resumed.ok_or_else(|| refused(404, "no such stream is known"))?;
        Ok(stream(job, pieces, request.peer.clone()))
    }

    fn check_fencing(&self, request: &Received, faults: &Faults) -> Result<(), Refused> {
        let Some(epoch) = request.number_header("fencing-epoch")? else { return Ok(()) };
        let scope = format!("program {}", request.header("program-id").unwrap_or_default());
        let is_current = self.shared().admits(scope, epoch);
        match faults.checks_fencing && !is_current {
            true => Err(refused(409, "old fencing number")),
            false => Ok(()),
        }
    }
}

fn to_job(wire: Wire, request: &Received) -> Result<Job, Refused> {
    if wire.messages.is_empty() {
        return Err(refused(400, "messages: expected at least one"));
    }
    let mut prompt = EMPTY_PREFIX;
    let mut blocks = Vec::with_capacity(wire.messages.len());
    for message in &wire.messages {
        prompt = extend(&prompt, message);
        blocks.push(Block { hash: prompt, tokens: message.estimated_tokens() });
    }
    let tokens = wire.max_completion_tokens.or(wire.max_tokens).unwrap_or(DEFAULT_TOKENS);
    if !(1..=MAX_TOKENS).contains(&tokens) {
        let detail = format!("max_tokens {tokens}: expected 1 to {MAX_TOKENS}");
        return Err(refused(400, detail));
    }
    Ok(Job {
        program: request.header("program-id").map(Into::into),
        model: wire.model,
        blocks,
        prompt,
        tokens,
        resume_id: request.header("resume-id").map(str::to_owned),
    })
}

/// Answers with events as the words come.
fn stream(job: Job, pieces: Receiver<Piece>, peer: Peer) -> Response {
    let mut response = empty_response(200);
    response.insert_header("cache-control", "no-cache");
    if let Some(id) = &job.resume_id {
        response.insert_header("resume-id", id.as_str());
    }
    response.set_body(Body::from_reader(EventBody::new(job.model, pieces, peer), None));
    response.insert_header("content-type", "text/event-stream");
    response
}

/// Answers once all words are there.
async fn whole(job: &Job, pieces: Receiver<Piece>, peer: Peer) -> Response {
    let collect = async {
        let mut text = String::new();
        loop {
            match pieces.recv().await {
                Ok(Piece::Word(word)) => text.push_str(&word),
                Ok(Piece::End(usage)) => return Some((text, usage)),
                Err(_) => return None,
            }
        }
    };
    let gone = async {
        peer.closed().await;
        None
    };
    match collect.or(gone).await {
        None => text_response(500, "the turn was cancelled"),
        Some((text, usage)) => json_response(&json!({
            "object": "chat.completion",
            "model": job.model,
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

/// A body of server-sent events, one for each piece. Dropping it cancels the turn.
struct EventBody {
    /// `{"object":…,"model":…,` in front of each event.
    head: String,
    pieces: Pin<Box<Receiver<Piece>>>,
    /// Bytes to be read, from `at` on.
    bytes: Vec<u8>,
    at: usize,
    is_ended: bool,
    /// Notices a caller that goes away while no piece comes.
    _watch: Task<()>,
}

impl EventBody {
    fn new(model: String, pieces: Receiver<Piece>, peer: Peer) -> Self {
        let watched = pieces.clone();
        let watch = smol::spawn(async move {
            peer.closed().await;
            watched.close();
        });
        Self {
            head: format!("{{\"object\":\"chat.completion.chunk\",\"model\":{},", json!(model)),
            pieces: Box::pin(pieces),
            bytes: Vec::new(),
            at: 0,
            is_ended: false,
            _watch: watch,
        }
    }

    fn render(&mut self, piece: Piece) {
        let head = &self.head;
        let text = match piece {
            // The words are letters and a space, so that no escape is needed.
            Piece::Word(word) => format!(
                "data: {head}\"choices\":[{{\"index\":0,\"delta\":{{\"role\":\"assistant\",\
                 \"content\":\"{word}\"}},\"finish_reason\":null}}]}}\n\n"
            ),
            Piece::End(usage) => {
                self.is_ended = true;
                format!(
                    "data: {head}\"choices\":[{{\"index\":0,\"delta\":{{}},\
                     \"finish_reason\":\"stop\"}}]}}\n\n\
                     data: {head}\"choices\":[],\"usage\":{}}}\n\ndata: [DONE]\n\n",
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
        if this.at == this.bytes.len() && !this.is_ended {
            this.bytes.clear();
            this.at = 0;
            match ready!(this.pieces.as_mut().poll_next(context)) {
                Some(piece) => this.render(piece),
                // The engine stopped, or the caller went away: the stream must not look whole.
                None => return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
            }
        }
        Poll::Ready(Ok(&this.bytes[this.at..]))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().at += count;
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
