//! Takes an answer from the backend and turns it into a reply.

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

/// Bodies up to this size are answered in one piece, with a status that tells how they ended.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Parts that wait between the backend and the caller's connection.
const MAX_QUEUED_PARTS: usize = 2;
/// Events that came together are written together, up to this size.
const MAX_BATCH_BYTES: usize = 16 * 1024;
const DONE: &str = "data: [DONE]\n\n";
const EVENT_STREAM: &str = "text/event-stream";

/// An answer as it comes, and whose key it hangs on.
pub(crate) struct Relay<B> {
    pub backend: B,
    /// None on an open route.
    pub caller: Option<Caller>,
    pub answer: Answer,
    pub form: ReplyForm,
}

/// What the answer is to, and so how it is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReplyForm {
    /// A turn whose events are ended by a `[DONE]`, as chat clients expect.
    StreamedTurn,
    /// A turn in one piece.
    UnstreamedTurn,
    /// A call to a service, passed on as it is.
    Service,
}

/// A reply whose body comes from a relay.
pub(crate) struct RelayReply<B> {
    pub reply: Reply,
    /// What goes on while the reply is written; none if the whole body is there.
    pub stream: Option<BodyStream<B>>,
}

/// The rest of a streamed answer.
pub(crate) struct BodyStream<B> {
    relay: Relay<B>,
    sender: Sender<Part>,
}

impl<B: Backend> Relay<B> {
    /// Waits until it is known how to answer: for the head of a stream, for all of a small body.
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
            // The channel is empty, so that this can't fail.
            let _ = sender.try_send(Ok(first));
        }
        let reply = Reply { head, body: ReplyBody::Streamed(receiver) };
        RelayReply { reply, stream: Some(BodyStream { relay: self, sender }) }
    }

    /// Waits for the next chunk, or for the key to be withdrawn. The withdrawal is asked first, so
    /// that a stream that never pauses ends too.
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
    /// Passes on all that comes. Ends early if nobody takes it any more.
    pub async fn run(self) {
        let is_stream = self.relay.form == ReplyForm::StreamedTurn;
        let last = match self.forward_chunks().await {
            Ok(()) if is_stream => Some(Ok(DONE.as_bytes().to_vec())),
            Ok(()) => None,
            Err(refusal) if is_stream => {
                Some(Ok(error_event(post_head_refusal(refusal)).into_bytes()))
            }
            Err(refusal) => {
                log::info!("an answer broke off: {refusal}");
                Some(Err(Aborted))
            }
        };
        if let Some(last) = last {
            // Nobody takes it if the caller is gone, and then nobody has to.
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

    /// Adds what is there already, so that a burst costs one write.
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

/// A refusal that comes after the head can't say that nothing ran: the head came from what ran.
fn post_head_refusal(refusal: Refusal) -> Refusal {
    match refusal.verdict {
        Verdict::NotRun => Refusal { verdict: Verdict::MayHaveRun, ..refusal },
        Verdict::MayHaveRun | Verdict::Ran => refusal,
    }
}

/// Completes when the caller's key was withdrawn; never on an open route.
pub(crate) async fn wait_key_withdrawn<B: Backend>(backend: &B, caller: Option<&Caller>) {
    match caller {
        Some(caller) => backend.key_withdrawn(caller).await,
        None => pending().await,
    }
}

/// The refusal of a request whose key was withdrawn after it was handed on.
pub(crate) fn key_withdrawn_refusal() -> Refusal {
    let detail = "the key was withdrawn while the request was running";
    Refusal::may_have_run(Reason::Unauthorized, detail)
}

/// Makes the head of a streamed turn, whatever the engine sent in its place.
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

/// One server-sent event. JSON has no line breaks outside of its layout, but an engine might send
/// it in several lines.
fn format_event(json: &str) -> String {
    let mut event = String::with_capacity(json.len() + 8);
    for line in json.lines() {
        // Writing to a string can't fail.
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
