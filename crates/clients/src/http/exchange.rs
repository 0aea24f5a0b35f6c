//! Sends a request and reads its answer.

use {
    super::{
        Client,
        connection::Connection,
        headers::{check_header, is_forbidden_header, is_header_value_byte},
        until_deadline,
    },
    crate::error::{CallError, ErrorKind},
    async_h1::client::{Encoder, decode},
    http_types::{Body, Method, Request, Response, StatusCode, Url, headers::HeaderValues},
    smol::{
        future::FutureExt,
        io::{AsyncReadExt, copy},
    },
    std::{net::SocketAddr, panic::AssertUnwindSafe, str::FromStr, time::Duration, time::Instant},
};

/// Maximum number of bytes of an answer in addition to its body: head, chunk framing and the
/// reader's read-ahead.
const MAX_FRAMING_BYTES: u64 = 64 * 1024;
/// Interval at which a chunked body is polled again without a wake-up, see [`Reply::read_some`].
const REREAD_INTERVAL: Duration = Duration::from_millis(50);
/// Size of one read from a body.
const READ_BYTES: usize = 16 * 1024;

/// A request to send, with the size limit of its answer.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    /// HTTP method, in upper case.
    pub method: String,
    /// Path and query, without the leading slash.
    pub path: String,
    /// Headers; validated by [`Exchange::into_request`].
    pub headers: Vec<(String, String)>,
    /// The body, sent with a `Content-Length`.
    pub body: Vec<u8>,
    /// Maximum size of the body of the answer.
    pub max_body_bytes: usize,
}

impl Exchange {
    pub(crate) fn new(method: &str, path: impl Into<String>, max_body_bytes: usize) -> Self {
        let (method, path) = (method.into(), path.into());
        Self { method, path, headers: Vec::new(), body: Vec::new(), max_body_bytes }
    }

    pub(crate) fn header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.into(), value.to_string()));
        self
    }

    pub(crate) fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Returns the limit for the complete answer. With small chunks, the framing can be as large as
    /// the body itself.
    pub(super) fn max_read_bytes(&self) -> u64 {
        2 * self.max_body_bytes as u64 + MAX_FRAMING_BYTES
    }

    /// Converts to a request of the HTTP library. Moves the body instead of copying it, because it
    /// may contain a complete history.
    pub(super) fn into_request(self, address: SocketAddr) -> Result<Request, CallError> {
        let invalid = |detail: String| CallError::not_run(ErrorKind::Invalid, detail);
        let method = Method::from_str(&self.method)
            .map_err(|_| invalid(format!("method {:?} is not known", self.method)))?;
        let path = self.path.trim_start_matches('/');
        let url = Url::parse(&format!("http://{address}/{path}"))
            .map_err(|error| invalid(format!("path: {error}")))?;
        let mut request = Request::new(method, url);
        for (name, value) in &self.headers {
            check_header(name, value)?;
            request.append_header(name.as_str(), value.as_str());
        }
        let has_type = request.header("content-type").is_some();
        request.set_body(Body::from_bytes(self.body));
        if !has_type {
            // The library adds a default type for every body.
            request.remove_header("content-type");
        }
        Ok(request)
    }
}

/// An answer whose body has not been read yet.
#[derive(Debug)]
pub(crate) struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers that may be forwarded.
    pub headers: Vec<(String, String)>,
    /// Reader of the body.
    pub body: Body,
    /// Length of the body; `None` if it is chunked.
    length: Option<usize>,
    max_body_bytes: usize,
    is_reusable: bool,
    connection: Connection,
    client: Client,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that may be forwarded.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Parses the body as JSON. The verdict of an error is `may_have_run`: the call was answered,
    /// but a malformed answer doesn't show its effect.
    pub(crate) fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| CallError::may_have_run(ErrorKind::Malformed, error.to_string()))
    }

    /// Returns an error if the status is not 2xx.
    pub(crate) fn expect_success(self) -> Result<Self, CallError> {
        match self.status {
            200..=299 => Ok(self),
            status => Err(status_error(status, &self.headers, &self.body)),
        }
    }
}

/// Creates the error for an error status. 429 and 503 mean that the call did not run.
pub(crate) fn status_error(status: u16, headers: &[(String, String)], body: &[u8]) -> CallError {
    const DETAIL_CHARS: usize = 200;
    let text: String = String::from_utf8_lossy(body).chars().take(DETAIL_CHARS).collect();
    let detail = format!("answered {status} {}", text.trim());
    let mut error = match status {
        429 | 503 => CallError::not_run(ErrorKind::Busy, detail),
        _ => CallError::may_have_run(ErrorKind::Status(status), detail),
    };
    let seconds = find_header(headers, "retry-after").and_then(|value| value.trim().parse().ok());
    error.retry_after = seconds.map(Duration::from_secs);
    error
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| &**value)
}

/// Sends a request and reads the head of its answer.
pub(super) async fn execute(
    client: Client,
    connection: Connection,
    request: Request,
    max_body_bytes: usize,
    deadline: Instant,
) -> Result<Reply, CallError> {
    let is_head = request.method() == Method::Head;
    let mut writer = connection.clone();
    let work = async {
        copy(&mut Encoder::new(request), &mut writer).await?;
        // The library panics on a header that is not ASCII. An upstream's malformed answer must not
        // end the thread, so the panic is caught.
        let decoded = AssertUnwindSafe(decode(connection.clone())).catch_unwind().await;
        decoded.unwrap_or_else(|_| Err(http_types::format_err!("head of the answer is not ASCII")))
    };
    let response = match until_deadline(deadline, work).await {
        None => return Err(call_error(&connection, ErrorKind::TimedOut, "no answer in time")),
        Some(Err(error)) => return Err(head_error(&connection, &error)),
        Some(Ok(response)) => response,
    };
    let mut reply = to_reply(response, is_head, client, connection)?;
    reply.max_body_bytes = max_body_bytes;
    Ok(reply)
}

fn head_error(connection: &Connection, error: &http_types::Error) -> CallError {
    let kind = match error.downcast_ref::<std::io::Error>() {
        Some(_) if connection.is_exhausted() => ErrorKind::TooLarge,
        Some(_) => ErrorKind::Broken,
        // The library reports a closed connection only by the text of the error.
        None if error.to_string().contains("connection closed") => ErrorKind::Broken,
        None if error.to_string().contains("empty response") => ErrorKind::Broken,
        None => ErrorKind::Malformed,
    };
    call_error(connection, kind, &error.to_string())
}

/// Creates an error whose verdict depends on whether any byte of the request was written.
fn call_error(connection: &Connection, kind: ErrorKind, detail: &str) -> CallError {
    match connection.has_written() {
        true => CallError::may_have_run(kind, detail),
        false => CallError::not_run(kind, detail),
    }
}

fn to_reply(
    mut response: Response,
    is_head: bool,
    client: Client,
    connection: Connection,
) -> Result<Reply, CallError> {
    let status = response.status();
    let has_no_body =
        is_head || status == StatusCode::NoContent || status == StatusCode::NotModified;
    let last = |values: &HeaderValues| values.last().as_str().to_ascii_lowercase();
    let length = response.header("content-length").map(last);
    let is_chunked = response.header("transfer-encoding").map(last).is_some_and(|e| e == "chunked");
    let is_closing = response.header("connection").map(last).is_some_and(|value| value == "close");
    let length = match length {
        _ if has_no_body => Some(0),
        Some(text) => Some(text.parse::<usize>().map_err(|_| {
            CallError::may_have_run(ErrorKind::Malformed, "Content-Length is not a number")
        })?),
        None if is_chunked => None,
        None => {
            let detail = "the answer has neither Content-Length nor chunked coding";
            return Err(CallError::may_have_run(ErrorKind::Malformed, detail));
        }
    };
    let body = if has_no_body { Body::empty() } else { response.take_body() };
    let headers = reply_headers(&response);
    let is_reusable = !is_closing && !is_head;
    let (status, max_body_bytes) = (u16::from(status), 0);
    Ok(Reply { status, headers, body, length, max_body_bytes, is_reusable, connection, client })
}

/// Returns the headers that may be forwarded to the caller. Drops values with control characters,
/// which would break the framing of the answer to the caller: the library adds a `Date` with a line
/// break if the answer has none.
fn reply_headers(response: &Response) -> Vec<(String, String)> {
    let pairs = response.iter().flat_map(|(name, values)| {
        values.iter().map(|value| (name.as_str().to_owned(), value.as_str().to_owned()))
    });
    pairs
        .filter(|(name, value)| {
            !is_forbidden_header(name) && value.bytes().all(is_header_value_byte)
        })
        .collect()
}

impl Reply {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Replaces the request's limit on the size of the body.
    pub(crate) fn limit_body(&mut self, max_body_bytes: usize) {
        self.max_body_bytes = max_body_bytes;
    }

    /// Reads the complete body and returns the connection to the pool if it can be reused.
    pub(crate) async fn read_all(mut self, deadline: Instant) -> Result<Answer, CallError> {
        let mut body = Vec::with_capacity(self.length.unwrap_or(0).min(self.max_body_bytes));
        match until_deadline(deadline, self.read_into(&mut body)).await {
            Some(result) => result?,
            None => {
                let detail = "the answer was not whole in time";
                return Err(CallError::may_have_run(ErrorKind::TimedOut, detail));
            }
        }
        let Self { status, headers, body: reader, is_reusable, connection, client, .. } = self;
        drop(reader);
        if is_reusable {
            client.release_connection(connection);
        }
        Ok(Answer { status, headers, body })
    }

    async fn read_into(&mut self, body: &mut Vec<u8>) -> Result<(), CallError> {
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let read = self.read_some(&mut buffer).await;
            let count = read.map_err(|error| self.body_error(&error))?;
            if count == 0 {
                break;
            }
            body.extend_from_slice(&buffer[..count]);
            if body.len() > self.max_body_bytes {
                let detail = format!("the answer is larger than {} bytes", self.max_body_bytes);
                return Err(CallError::may_have_run(ErrorKind::TooLarge, detail));
            }
        }
        // The library ends a truncated body without an error.
        match self.length {
            Some(length) if length != body.len() => {
                let detail = format!("{} of {length} bytes of the answer came", body.len());
                Err(CallError::may_have_run(ErrorKind::Broken, detail))
            }
            _ => Ok(()),
        }
    }

    /// Reads a part of the body into `buffer`.
    ///
    /// The library's chunk decoder does not register a wake-up if a packet ends within the last
    /// line break of a body, so a chunked body is polled again every [`REREAD_INTERVAL`].
    async fn read_some(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.length.is_some() {
            return self.body.read(buffer).await;
        }
        loop {
            if let Some(read) =
                until_deadline(Instant::now() + REREAD_INTERVAL, self.body.read(buffer)).await
            {
                return read;
            }
        }
    }

    fn body_error(&self, error: &std::io::Error) -> CallError {
        let kind =
            if self.connection.is_exhausted() { ErrorKind::TooLarge } else { ErrorKind::Broken };
        CallError::may_have_run(kind, error.to_string())
    }
}
