//! Converts the chunks of a backend's answer to a reply.

use {
    crate::{
        backend::{Answer, Backend},
        problem::Problem,
        reply::{Aborted, Part, Reply, ReplyBody, ReplyHead},
    },
    http_types::StatusCode,
    smol::{
        channel::{Receiver, Sender, bounded},
        future::or,
    },
    std::{fmt::Write, future::pending, pin::pin},
    trefoilring_core::{
        call::{Caller, Chunk},
        verdict::{Reason, Refusal, Verdict},
    },
};

/// Maximum size of a body that is buffered completely before its reply starts, so that the status
/// can report a failure. Larger bodies are streamed.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Maximum number of parts queued for the caller's connection.
const MAX_QUEUED_PARTS: usize = 2;
/// Chunks that are already available are written together, up to about this size.
const MAX_BATCH_BYTES: usize = 16 * 1024;
const DONE: &str = "data: [DONE]\n\n";
const EVENT_STREAM: &str = "text/event-stream";

/// An answer in progress and the caller whose key it depends on.
pub(crate) struct Relay<B> {
    pub backend: B,
    /// `None` on an open route.
    pub caller: Option<Caller>,
    pub answer: Answer,
    pub form: ReplyForm,
}

/// The kind of call that is answered; it determines the format of the reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReplyForm {
    /// A streamed turn: server-sent events followed by `[DONE]`, as chat clients expect.
    StreamedTurn,
    /// A turn that is answered with one JSON object.
    UnstreamedTurn,
    /// A call to a service, whose answer is forwarded unchanged.
    Service,
}

/// A reply and, if its body is streamed, the source of that body.
pub(crate) struct RelayReply<B> {
    pub reply: Reply,
    /// Must run while the reply is written; `None` if the body is complete.
    pub stream: Option<BodyStream<B>>,
}

/// Forwards the remaining chunks of an answer to its reply.
pub(crate) struct BodyStream<B> {
    relay: Relay<B>,
    sender: Sender<Part>,
}

impl<B: Backend> Relay<B> {
    /// Waits until the reply can start: for the head of an event stream, otherwise for the complete
    /// body, or more than [`MAX_BUFFERED_BYTES`] of it.
    pub async fn begin(self) -> Result<RelayReply<B>, Problem> {
        let head = self.head().await?;
        if head.status == StatusCode::Ok && self.form == ReplyForm::StreamedTurn {
            return Ok(self.streamed(with_event_stream_headers(head), Vec::new()));
        }
        if is_event_stream(&head) {
            return Ok(self.streamed(head, Vec::new()));
        }
        let mut body = Vec::new();
        while body.len() <= MAX_BUFFERED_BYTES {
            match self.next().await.map_err(post_head_refusal)? {
                Some(Chunk::Body(bytes)) => body.extend_from_slice(&bytes),
                Some(Chunk::Event(event)) => {
                    body.extend_from_slice(format_event(&event).as_bytes())
                }
                Some(Chunk::Head { .. }) => return Err(second_head_refusal().into()),
                None => return Ok(RelayReply { reply: Reply::complete(head, body), stream: None }),
            }
        }
        Ok(self.streamed(head, body))
    }

    async fn head(&self) -> Result<ReplyHead, Problem> {
        match self.next().await? {
            Some(Chunk::Head { status, headers }) => Ok(ReplyHead::from_upstream(status, headers)),
            Some(_) | None => {
                let detail = "the answer has no head";
                Err(Refusal::may_have_run(Reason::Internal, detail).into())
            }
        }
    }

    fn streamed(self, head: ReplyHead, first: Vec<u8>) -> RelayReply<B> {
        let (sender, receiver): (Sender<Part>, Receiver<Part>) = bounded(MAX_QUEUED_PARTS);
        if !first.is_empty() {
            // This can't fail because the channel is empty.
            let _ = sender.try_send(Ok(first));
        }
        let reply = Reply { head, body: ReplyBody::Streamed(receiver) };
        RelayReply { reply, stream: Some(BodyStream { relay: self, sender }) }
    }

    /// Returns the next chunk, or a refusal if the key is withdrawn first. Polls the withdrawal
    /// first, so that it also ends a stream that always has a chunk ready.
    async fn next(&self) -> Result<Option<Chunk>, Refusal> {
        let withdrawn = pin!(async {
            wait_key_withdrawn(&self.backend, self.caller.as_ref()).await;
            Err(key_withdrawn_refusal())
        });
        let next = async {
            match self.answer.recv().await {
                Ok(Ok(chunk)) => Ok(Some(chunk)),
                Ok(Err(refusal)) => Err(refusal),
                Err(_) => Ok(None),
            }
        };
        or(withdrawn, next).await
    }
}

impl<B: Backend> BodyStream<B> {
    /// Forwards all chunks, then the end marker or the failure. Stops early if the reply is no
    /// longer read.
    pub async fn run(self) {
        let is_stream = self.relay.form == ReplyForm::StreamedTurn;
        let last = match self.forward_chunks().await {
            Ok(()) if is_stream => Some(Ok(DONE.as_bytes().to_vec())),
            Ok(()) => None,
            Err(refusal) if is_stream => {
                Some(Ok(error_event(post_head_refusal(refusal)).into_bytes()))
            }
            Err(refusal) => {
                log::info!("answer aborted after its head was sent: {refusal}");
                Some(Err(Aborted))
            }
        };
        if let Some(last) = last {
            // Fails if the caller has disconnected; then there is nothing left to send.
            let _ = self.sender.send(last).await;
        }
    }

    async fn forward_chunks(&self) -> Result<(), Refusal> {
        while let Some(chunk) = self.relay.next().await? {
            let mut part = chunk_bytes(chunk)?;
            let ended = self.append_ready_chunks(&mut part);
            if self.sender.send(Ok(part)).await.is_err() {
                return Ok(());
            }
            ended?;
        }
        Ok(())
    }

    /// Appends chunks that are already available, so that a burst of them needs only one write.
    fn append_ready_chunks(&self, part: &mut Vec<u8>) -> Result<(), Refusal> {
        while part.len() < MAX_BATCH_BYTES {
            match self.relay.answer.try_recv() {
                Ok(chunk) => part.extend_from_slice(&chunk_bytes(chunk?)?),
                Err(_) => return Ok(()),
            }
        }
        Ok(())
    }
}

/// Changes the verdict of a refusal received after the head from `NotRun` to `MayHaveRun`: the head
/// shows that the call had already started.
fn post_head_refusal(refusal: Refusal) -> Refusal {
    match refusal.verdict {
        Verdict::NotRun => Refusal { verdict: Verdict::MayHaveRun, ..refusal },
        Verdict::MayHaveRun | Verdict::Ran => refusal,
    }
}

/// Completes when the caller's key is withdrawn. Never completes on an open route.
pub(crate) async fn wait_key_withdrawn<B: Backend>(backend: &B, caller: Option<&Caller>) {
    match caller {
        Some(caller) => backend.key_withdrawn(caller).await,
        None => pending().await,
    }
}

/// Returns the refusal of a request whose key was withdrawn after it was passed to the backend.
pub(crate) fn key_withdrawn_refusal() -> Refusal {
    let detail = "the key was withdrawn while the request was running";
    Refusal::may_have_run(Reason::Unauthorized, detail)
}

/// Sets the headers of a streamed turn, in place of those that the engine sent.
fn with_event_stream_headers(mut head: ReplyHead) -> ReplyHead {
    let is_replaced = |name: &str| {
        name.eq_ignore_ascii_case("content-type") || name.eq_ignore_ascii_case("cache-control")
    };
    head.headers.retain(|(name, _)| !is_replaced(name));
    head.with("Content-Type", EVENT_STREAM).with("Cache-Control", "no-cache")
}

fn is_event_stream(head: &ReplyHead) -> bool {
    head.status == StatusCode::Ok
        && head.headers.iter().any(|(name, value)| {
            name.eq_ignore_ascii_case("content-type") && value.starts_with(EVENT_STREAM)
        })
}

fn chunk_bytes(chunk: Chunk) -> Result<Vec<u8>, Refusal> {
    match chunk {
        Chunk::Event(event) => Ok(format_event(&event).into_bytes()),
        Chunk::Body(bytes) => Ok(bytes),
        Chunk::Head { .. } => Err(second_head_refusal()),
    }
}

/// Formats a server-sent event. An engine may send JSON formatted over several lines; each line
/// becomes a `data:` line of the event.
fn format_event(json: &str) -> String {
    let mut event = String::with_capacity(json.len() + 8);
    for line in json.lines() {
        // Writing to a `String` can't fail.
        let _ = writeln!(event, "data: {line}");
    }
    event.push('\n');
    event
}

fn error_event(refusal: Refusal) -> String {
    format_event(&format!("{{\"error\":{}}}", Problem::from(refusal).to_json()))
}

fn second_head_refusal() -> Refusal {
    Refusal::may_have_run(Reason::Internal, "the answer has two heads")
}
