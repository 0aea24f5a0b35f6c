//! Reads a request from a connection within the limits of [`EdgeOptions`].

use {
    crate::{
        conn::Conn,
        head::{Framing, HEAD_TERMINATOR, Head, RawHead},
        memory::{BodyMemory, BodyReservation},
        options::EdgeOptions,
        problem::Problem,
        stop::StopReceiver,
    },
    http_types::{Request, StatusCode},
    memchr::memmem,
    smol::{
        Timer,
        future::or,
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    },
    std::{sync::Arc, time::Duration},
    trefoilring_core::verdict::{Reason, Refusal},
};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const BODY_READ_BYTES: usize = 16 * 1024;

/// Result of waiting for the next request on a connection.
pub(crate) enum NextRequest {
    /// A valid head was received.
    Head(Head),
    /// The connection must be closed without a reply: the caller closed it, it was idle for too
    /// long, or the host is stopping.
    Closed,
}

/// Waits for the head of the next request. After the stop signal, waits for at most `stop_grace`.
pub(crate) async fn next_head<S>(
    conn: &Conn<S>,
    options: &EdgeOptions,
    stop: &StopReceiver,
    stop_grace: Duration,
) -> Result<NextRequest, Problem>
where
    S: AsyncRead + Unpin,
{
    let stopped = async {
        stop.wait().await;
        Timer::after(stop_grace).await;
        false
    };
    let idle_timeout_passed = async {
        Timer::after(options.idle_timeout).await;
        false
    };
    let received = async {
        let is_buffered = conn.peek(|bytes| !bytes.is_empty());
        is_buffered || matches!(conn.fill().await, Ok(count) if count > 0)
    };
    if !or(received, or(stopped, idle_timeout_passed)).await {
        return Ok(NextRequest::Closed);
    }
    let timed_out = problem_after_timeout(options.head_timeout, "the head");
    or(async { read_head(conn, options).await }, async { Err(timed_out.await) }).await
}

async fn read_head<S>(conn: &Conn<S>, options: &EdgeOptions) -> Result<NextRequest, Problem>
where
    S: AsyncRead + Unpin,
{
    let mut searched_bytes = 0;
    loop {
        let end = conn.peek(|bytes| memmem::find(&bytes[searched_bytes..], HEAD_TERMINATOR));
        let read_bytes = conn.peek(<[u8]>::len);
        let head_bytes = end.map(|end| searched_bytes + end + HEAD_TERMINATOR.len());
        if head_bytes.unwrap_or(read_bytes) > options.max_head_bytes {
            return Err(head_too_large(options.max_head_bytes));
        }
        if let Some(head_bytes) = head_bytes {
            return take_head(conn, head_bytes, options);
        }
        // The terminator may be split between two reads.
        searched_bytes = read_bytes.saturating_sub(HEAD_TERMINATOR.len() - 1);
        if !matches!(conn.fill().await, Ok(count) if count > 0) {
            return Ok(NextRequest::Closed);
        }
    }
}

/// Parses a head and replaces it in the buffer with the minimal head for async-h1.
fn take_head<S>(
    conn: &Conn<S>,
    head_bytes: usize,
    options: &EdgeOptions,
) -> Result<NextRequest, Problem> {
    let max_headers = options.max_headers;
    let head = conn.peek(|bytes| {
        let bytes = &bytes[..head_bytes];
        Head::try_from(RawHead { bytes, max_headers })
    })?;
    match head.framing {
        Framing::None | Framing::Length(0) => conn.replace_front(head_bytes, &[], 0),
        Framing::Length(bytes) => {
            conn.replace_front(head_bytes, head.body_head().as_bytes(), bytes)
        }
        Framing::Chunked => conn.replace_front(head_bytes, head.body_head().as_bytes(), u64::MAX),
    }
    Ok(NextRequest::Head(head))
}

fn head_too_large(max_bytes: usize) -> Problem {
    let detail = format!("the request line and the headers are longer than {max_bytes} bytes");
    Problem::not_run(Reason::TooLarge, detail).with_status(StatusCode::RequestHeaderFieldsTooLarge)
}

/// Reads the body of a request. A truncated body is refused, so that a request never runs with a
/// part of its body.
pub(crate) async fn request_body<S>(
    conn: &Conn<S>,
    head: &Head,
    options: &EdgeOptions,
    memory: &Arc<BodyMemory>,
) -> Result<(Vec<u8>, Option<BodyReservation>), Problem>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let max_bytes = options.max_body_bytes;
    match head.framing {
        Framing::None | Framing::Length(0) => return Ok((Vec::new(), None)),
        Framing::Length(bytes) if bytes > max_bytes as u64 => return Err(too_large(max_bytes)),
        Framing::Length(_) | Framing::Chunked => {}
    }
    let timed_out = problem_after_timeout(options.body_timeout, "the body");
    let read = async {
        let first_bytes = match head.framing {
            // All of it, so that a body that is begun can end.
            Framing::Length(bytes) => usize::try_from(bytes).unwrap_or(max_bytes),
            Framing::None | Framing::Chunked => BODY_READ_BYTES.min(max_bytes),
        };
        let reservation = memory.reserve(first_bytes).await.map_err(no_memory)?;
        let dropped = async {
            reservation.wait_until_dropped().await;
            let detail = "the body comes too slowly while others wait for its memory";
            Err(Problem::not_run(Reason::SlowRequest, detail))
        };
        let body = or(read_body(conn, head, max_bytes, &reservation), dropped).await?;
        reservation.set_complete();
        Ok((body, Some(reservation)))
    };
    or(read, async { Err(timed_out.await) }).await
}

fn no_memory(retry_after: Duration) -> Problem {
    let detail = "the host holds as many bodies as it has memory for";
    Refusal::not_run(Reason::Overloaded, detail).retry_after(retry_after).into()
}

async fn read_body<S>(
    conn: &Conn<S>,
    head: &Head,
    max_bytes: usize,
    reservation: &BodyReservation,
) -> Result<Vec<u8>, Problem>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    if head.expects_continue() {
        let mut writer = conn.clone();
        writer.write_all(CONTINUE).await.map_err(unreadable_body)?;
        writer.flush().await.map_err(unreadable_body)?;
    }
    let decoded = async_h1::server::decode(conn.clone()).await.map_err(unreadable_body)?;
    let Some((mut request, _)) = decoded else {
        return Err(unreadable_body("the connection ended"));
    };
    let bytes = read_bounded(&mut request, max_bytes, reservation).await?;
    match head.framing {
        Framing::Length(expected) if expected != bytes.len() as u64 => {
            let detail = format!("it ended after {} of {expected} bytes", bytes.len());
            Err(unreadable_body(detail))
        }
        _ => Ok(bytes),
    }
}

async fn read_bounded(
    request: &mut Request,
    max_bytes: usize,
    reservation: &BodyReservation,
) -> Result<Vec<u8>, Problem> {
    let mut body = request.take_body();
    let mut bytes = Vec::with_capacity(body.len().unwrap_or(BODY_READ_BYTES).min(max_bytes));
    let mut part = vec![0; BODY_READ_BYTES];
    loop {
        let count = body.read(&mut part).await.map_err(unreadable_body)?;
        if count == 0 {
            return Ok(bytes);
        }
        if bytes.len() + count > max_bytes {
            return Err(too_large(max_bytes));
        }
        let size = bytes.len() + count;
        if size > bytes.capacity() {
            let reserved = (2 * size).min(max_bytes);
            reservation.grow(reserved).await.map_err(no_memory)?;
            bytes.reserve_exact(reserved - bytes.len());
        }
        reservation.record_progress(count);
        bytes.extend_from_slice(&part[..count]);
    }
}

fn too_large(max_bytes: usize) -> Problem {
    Problem::not_run(Reason::TooLarge, format!("the body is longer than {max_bytes} bytes"))
}

fn unreadable_body(cause: impl std::fmt::Display) -> Problem {
    Problem::bad_request(format!("the body can't be read: {cause}"))
}

/// Waits for `after`, then returns the problem for a request that was received too slowly.
async fn problem_after_timeout(after: Duration, what: &str) -> Problem {
    Timer::after(after).await;
    let detail = format!("{what} did not come within {} ms", after.as_millis());
    Problem::not_run(Reason::SlowRequest, detail)
}
