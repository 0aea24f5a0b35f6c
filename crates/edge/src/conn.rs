//! A caller's connection, shared between the tasks that read, write and watch for disconnects.
//!
//! The HTTP library reads ahead into a buffer that it drops after each request. [`Conn`] keeps its
//! own buffer and lets the library read only the bytes of the current request, so that bytes of a
//! pipelined next request are not lost.

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

/// Size of one read from the stream.
const READ_BYTES: usize = 8 * 1024;
/// Maximum number of bytes buffered from pipelined requests while another request runs.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// A connection. Clones share it. The lock is held only for the duration of one poll.
#[derive(Debug)]
pub(crate) struct Conn<S>(Arc<Mutex<State<S>>>);

#[derive(Debug)]
struct State<S> {
    stream: S,
    /// Bytes received but not yet returned to a reader.
    buffer: Vec<u8>,
    /// Bytes that readers may still consume. At 0, reads report the end of the stream.
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

    /// Locks the state. A poisoned lock is safe to use: a panic during a poll leaves the state
    /// consistent.
    fn state(&self) -> MutexGuard<'_, State<S>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `read` with the bytes in the buffer, without consuming them.
    pub fn peek<T>(&self, read: impl FnOnce(&[u8]) -> T) -> T {
        read(&self.state().buffer)
    }

    /// Replaces the first `count` bytes of the buffer by `bytes`, and lets readers consume these
    /// and `body_bytes` more.
    pub fn replace_front(&self, count: usize, bytes: &[u8], body_bytes: u64) {
        let mut state = self.state();
        state.buffer.splice(..count, bytes.iter().copied());
        state.readable_bytes = (bytes.len() as u64).saturating_add(body_bytes);
    }
}

impl<S: AsyncRead + Unpin> Conn<S> {
    /// Reads more bytes into the buffer and returns their count; 0 means the end of the stream.
    pub async fn fill(&self) -> io::Result<usize> {
        poll_fn(|cx| self.state().poll_fill(cx)).await
    }

    /// Completes when the caller has closed the connection or its write half. Never completes once
    /// [`MAX_READ_AHEAD_BYTES`] are buffered, because it then stops reading.
    pub async fn caller_closed(&self) {
        while self.peek(<[u8]>::len) < MAX_READ_AHEAD_BYTES {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        pending().await
    }

    /// Reads and discards up to about `max_bytes` from the caller.
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

    /// Reads from the buffer first, then from the stream, up to `readable_bytes` in total.
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
