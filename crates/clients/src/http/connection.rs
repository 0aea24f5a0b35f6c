//! A TCP connection that counts the bytes written and limits the bytes read.

use {
    smol::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
    },
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll, Waker, ready},
    },
    trefoilring_net::ReadTurns,
};

/// A connection. Clones share it; it closes when the last clone is dropped.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    counts: Arc<Counts>,
    turns: ReadTurns,
}

#[derive(Debug, Default)]
struct Counts {
    /// Bytes written since the start of the exchange.
    written: AtomicU64,
    /// Bytes that may still be read during this exchange.
    readable: AtomicU64,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream, counts: Arc::default(), turns: ReadTurns::default() }
    }

    /// Starts an exchange and limits its answer to `max_read_bytes`, including the head.
    pub(crate) fn begin(&self, max_read_bytes: u64) {
        self.counts.written.store(0, Ordering::Relaxed);
        self.counts.readable.store(max_read_bytes, Ordering::Relaxed);
    }

    /// Returns whether any byte of the request was passed to the kernel.
    pub(crate) fn has_written(&self) -> bool {
        self.counts.written.load(Ordering::Relaxed) > 0
    }

    /// Returns whether the read limit of the exchange is reached.
    pub(crate) fn is_read_limit_reached(&self) -> bool {
        self.counts.readable.load(Ordering::Relaxed) == 0
    }

    /// Returns whether the server has neither closed the connection nor sent unsolicited bytes.
    pub(crate) fn is_idle(&self) -> bool {
        let mut buffer = [0];
        let mut context = Context::from_waker(Waker::noop());
        let peeked = Box::pin(self.stream.peek(&mut buffer)).as_mut().poll(&mut context);
        peeked.is_pending()
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let readable = self.counts.readable.load(Ordering::Relaxed);
        if readable == 0 && !buffer.is_empty() {
            return Poll::Ready(Err(io::Error::other("answer larger than the bound")));
        }
        ready!(self.turns.poll_turn(context));
        let length = buffer.len().min(usize::try_from(readable).unwrap_or(usize::MAX));
        let polled = Pin::new(&mut self.stream).poll_read(context, &mut buffer[..length]);
        self.turns.record(&polled);
        if let Poll::Ready(Ok(count)) = polled {
            self.counts.readable.fetch_sub(count as u64, Ordering::Relaxed);
        }
        polled
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(count)) = polled {
            self.counts.written.fetch_add(count as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
