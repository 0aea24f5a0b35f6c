//! One caller's connection, shared between reading, writing and watching for its end.
//!
//! The HTTP library reads ahead into buffers that it drops with each request. This type keeps
//! what arrived and hands out only the bytes of one request at a time, so that nothing of the
//! next one is lost.

use {
    smol::io::{AsyncRead, AsyncWrite},
    std::{
        future::{pending, poll_fn},
        io,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, ready},
    },
};

/// Bytes read from the stream at once.
const READ_BYTES: usize = 8 * 1024;
/// Bytes kept of requests that come while another one runs.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// A connection. Clones share it; the lock is held only while one poll lasts.
#[derive(Debug)]
pub(crate) struct Conn<S>(Arc<Mutex<State<S>>>);

#[derive(Debug)]
struct State<S> {
    stream: S,
    /// Bytes that arrived and were not handed out.
    buffer: Vec<u8>,
    /// Bytes that readers may still take. Reading ends when it is used up.
    readable_bytes: u64,
}

impl<S> Clone for Conn<S> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<S> Conn<S> {
    pub fn new(stream: S) -> Self {
        Self(Arc::new(Mutex::new(State { stream, buffer: Vec::new(), readable_bytes: 0 })))
    }

    /// Locks the state. A poll that panicked leaves no half-done change behind.
    fn state(&self) -> MutexGuard<'_, State<S>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `read` on what arrived and was not handed out.
    pub fn peek<T>(&self, read: impl FnOnce(&[u8]) -> T) -> T {
        read(&self.state().buffer)
    }

    /// Puts `bytes` in place of the first `count` bytes that arrived, and lets readers take them
    /// and `body_bytes` more.
    pub fn replace_front(&self, count: usize, bytes: &[u8], body_bytes: u64) {
        let mut state = self.state();
        state.buffer.splice(..count, bytes.iter().copied());
        state.readable_bytes = (bytes.len() as u64).saturating_add(body_bytes);
    }
}

impl<S: AsyncRead + Unpin> Conn<S> {
    /// Waits for more bytes; returns how many came, which is none at the end of the stream.
    pub async fn fill(&self) -> io::Result<usize> {
        poll_fn(|cx| self.state().poll_fill(cx)).await
    }

    /// Completes when the caller has closed the connection, or its sending half.
    pub async fn caller_closed(&self) {
        while self.peek(<[u8]>::len) < MAX_READ_AHEAD_BYTES {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        pending().await
    }

    /// Reads and drops what the caller still sends, up to a count of bytes.
    pub async fn discard(&self, max_bytes: usize) {
        let mut discarded_bytes = 0;
        while discarded_bytes < max_bytes {
            self.state().buffer.clear();
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(count) => discarded_bytes += count,
            }
        }
    }
}

impl<S: AsyncRead + Unpin> State<S> {
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_BYTES];
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut bytes))?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Poll::Ready(Ok(count))
    }

    /// Hands out buffered bytes first, then reads past the buffer.
    fn poll_read_allowed(
        &mut self,
        cx: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let allowed = usize::try_from(self.readable_bytes).unwrap_or(usize::MAX).min(bytes.len());
        let bytes = &mut bytes[..allowed];
        let count = if self.buffer.is_empty() && allowed > 0 {
            ready!(Pin::new(&mut self.stream).poll_read(cx, bytes))?
        } else {
            let count = allowed.min(self.buffer.len());
            bytes[..count].copy_from_slice(&self.buffer[..count]);
            self.buffer.drain(..count);
            count
        };
        self.readable_bytes -= count as u64;
        Poll::Ready(Ok(count))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Conn<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.state().poll_read_allowed(cx, bytes)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Conn<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.state().stream).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.state().stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.state().stream).poll_close(cx)
    }
}
