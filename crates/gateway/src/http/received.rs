//! Limits what a peer can make this host read.
//!
//! A peer in trouble may send bytes without end. Without limits, a peer that sends faster than its
//! bytes are parsed would keep the connection's task busy, and with it the only thread.

use {
    hyper::rt::{Read, ReadBufCursor, Write},
    smol::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
    },
    std::{
        cell::Cell,
        io::{self, IoSlice},
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    trefoilring_net::ReadTurns,
};

/// Maximum number of bytes in one read.
const BLOCK_BYTES: usize = 8 * 1024;
/// Number of bytes that a connection may still receive.
#[derive(Clone, Debug)]
pub(super) struct ReceiveLimit(Rc<Cell<usize>>);

impl ReceiveLimit {
    pub(super) fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }

    /// Sets the number of bytes that may be received from now on.
    pub(super) fn set(&self, bytes: usize) {
        self.0.set(bytes);
    }
}

/// A connection whose peer can neither occupy the thread nor send more than a limit.
pub(super) struct LimitedStream {
    stream: TcpStream,
    limit: ReceiveLimit,
    turns: ReadTurns,
}

impl LimitedStream {
    pub(super) fn new(stream: TcpStream, limit: ReceiveLimit) -> Self {
        Self { stream, limit, turns: ReadTurns::default() }
    }
}

impl Read for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.turns.poll_turn(cx));
        let mut block = [0; BLOCK_BYTES];
        let size = buffer.remaining().min(block.len());
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut block[..size]);
        self.turns.record(&read);
        let received = ready!(read)?;
        let Some(left) = self.limit.0.get().checked_sub(received) else {
            let message = "the peer sends more than an answer may have";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        };
        self.limit.0.set(left);
        buffer.put_slice(&block[..received]);
        Poll::Ready(Ok(()))
    }
}

impl Write for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }

    // Without vectored writes, hyper copies each body into its own buffer, which it keeps.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }
}
