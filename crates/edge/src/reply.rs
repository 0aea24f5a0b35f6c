//! Builds replies and writes them to the caller's connection.

use {
    crate::{
        conn::Conn,
        forward,
        head::Head,
        problem::{PROBLEM_JSON, Problem},
    },
    async_h1::server::Encoder,
    http_types::{Body, Method, Response, StatusCode},
    smol::{
        Timer,
        channel::Receiver,
        future::or,
        io::{AsyncBufRead, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        stream::Stream,
    },
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
};

/// Maximum size of one write to the connection.
const WRITE_BYTES: usize = 16 * 1024;

/// Status and headers of a reply.
#[derive(Clone, Debug)]
pub(crate) struct ReplyHead {
    pub status: StatusCode,
    pub headers: Vec<(String, String)>,
}

impl ReplyHead {
    pub fn new(status: StatusCode) -> Self {
        Self { status, headers: Vec::new() }
    }

    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Converts the head of an upstream's answer.
    pub fn from_upstream(status: u16, headers: Vec<(String, String)>) -> Self {
        let headers = forward::headers_to_caller(headers);
        match StatusCode::try_from(status) {
            Ok(status) if !status.is_informational() => Self { status, headers },
            // The library supports only registered codes. An unregistered code is replaced by one
            // of its class, and a header reports the original.
            _ => Self { status: nearest_registered(status), headers }
                .with("Trefoil-Upstream-Status", status.to_string()),
        }
    }
}

fn nearest_registered(status: u16) -> StatusCode {
    match status {
        200..300 => StatusCode::Ok,
        400..500 => StatusCode::BadRequest,
        500..600 => StatusCode::InternalServerError,
        _ => StatusCode::BadGateway,
    }
}

/// A part of a streamed body, or the report that the body can't be completed.
pub(crate) type Part = Result<Vec<u8>, Aborted>;

/// The body can't be completed. The connection is closed without the end of the body, so that the
/// caller can't mistake a truncated body for a complete one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Aborted;

/// The body of a reply: complete in memory, or received part by part while it is written.
pub(crate) enum ReplyBody {
    Complete(Vec<u8>),
    Streamed(Receiver<Part>),
}

/// A reply to a caller's request.
pub(crate) struct Reply {
    pub head: ReplyHead,
    pub body: ReplyBody,
}

impl Reply {
    pub fn complete(head: ReplyHead, body: Vec<u8>) -> Self {
        Self { head, body: ReplyBody::Complete(body) }
    }

    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        let head = ReplyHead::new(status).with("Content-Type", "text/plain; charset=utf-8");
        Self::complete(head, text.into().into_bytes())
    }

    pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Self {
        let head = ReplyHead::new(status).with("Content-Type", "application/json");
        // Serialization can't fail: the values contain only maps with string keys.
        Self::complete(head, serde_json::to_vec(value).unwrap_or_default())
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.head = self.head.with(name, value);
        self
    }
}

impl From<Problem> for Reply {
    fn from(problem: Problem) -> Self {
        let mut head = ReplyHead::new(problem.status).with("Content-Type", PROBLEM_JSON);
        head.headers.extend(problem.headers());
        Self::complete(head, problem.to_json().into_bytes())
    }
}

/// Writes a reply and flushes after each part. Fails if the caller has disconnected, if one write
/// takes longer than `timeout`, or if the body was aborted.
pub(crate) async fn write<S>(
    conn: &Conn<S>,
    reply: Reply,
    method: Method,
    timeout: Duration,
) -> io::Result<()>
where
    S: AsyncWrite + Unpin,
{
    let mut writer = conn.clone();
    let mut encoder = Encoder::new(response(reply), method);
    let mut bytes = vec![0; WRITE_BYTES];
    loop {
        let count = encoder.read(&mut bytes).await?;
        if count == 0 {
            return Ok(());
        }
        let write = async {
            writer.write_all(&bytes[..count]).await?;
            writer.flush().await
        };
        let timed_out = async {
            Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        or(write, timed_out).await?;
    }
}

fn response(reply: Reply) -> Response {
    let mut response = Response::new(reply.head.status);
    for (name, value) in &reply.head.headers {
        response.append_header(name.as_str(), value.as_str());
    }
    match reply.body {
        ReplyBody::Complete(bytes) => response.set_body(Body::from_bytes(bytes)),
        ReplyBody::Streamed(parts) => {
            response.set_body(Body::from_reader(PartsReader::new(parts), None));
        }
    }
    response
}

/// Returns whether the connection must close after the answer to this request. With a chunked body,
/// the HTTP library may have consumed bytes of the next request.
pub(crate) fn closes_after(head: &Head) -> bool {
    head.requests_close() || head.framing == crate::head::Framing::Chunked
}

/// Reader over the parts of a body. Each read returns bytes of one part only, so that no part is
/// delayed until the next one arrives.
struct PartsReader {
    parts: Pin<Box<Receiver<Part>>>,
    part: Vec<u8>,
    read_bytes: usize,
}

impl PartsReader {
    fn new(parts: Receiver<Part>) -> Self {
        Self { parts: Box::pin(parts), part: Vec::new(), read_bytes: 0 }
    }
}

impl AsyncBufRead for PartsReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.read_bytes >= this.part.len() {
            match ready!(this.parts.as_mut().poll_next(cx)) {
                Some(Ok(part)) => this.part = part,
                Some(Err(Aborted)) => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
                None => return Poll::Ready(Ok(&[])),
            }
            this.read_bytes = 0;
        }
        Poll::Ready(Ok(&this.part[this.read_bytes..]))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().read_bytes += count;
    }
}

impl AsyncRead for PartsReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let part = ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = part.len().min(bytes.len());
        bytes[..count].copy_from_slice(&part[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
