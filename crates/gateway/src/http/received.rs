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
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
};

/// Maximum number of bytes in one read.
const BLOCK_BYTES: usize = 8 * 1024;
/// Number of reads after which the connection's task lets other tasks run.
const READS_IN_A_ROW_MAX: u32 = 4;

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
    reads_in_a_row: u32,
}

impl LimitedStream {
    pub(super) fn new(stream: TcpStream, limit: ReceiveLimit) -> Self {
        Self { stream, limit, reads_in_a_row: 0 }
    }
}

impl Read for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reads_in_a_row >= READS_IN_A_ROW_MAX {
            self.reads_in_a_row = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut block = [0; BLOCK_BYTES];
        let size = buffer.remaining().min(block.len());
        let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(cx, &mut block[..size]) else {
            self.reads_in_a_row = 0;
            return Poll::Pending;
        };
        self.reads_in_a_row += 1;
        let received = read?;
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
}
