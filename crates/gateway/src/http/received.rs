//! Limits what a peer can make this host read, and records when bytes pass.
//!
//! A peer in trouble may send bytes without end. Without limits, a peer that sends faster than its
//! bytes are parsed would keep the connection's task busy, and with it the only thread.

use {
    super::Progress,
    hyper::rt::{Read, ReadBufCursor, Write},
    smol::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
    },
    std::{
        cell::{Cell, RefCell},
        io::{self, IoSlice},
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    trefoilring_net::ReadTurns,
};

/// Maximum number of bytes in one read.
const BLOCK_BYTES: usize = 8 * 1024;

/// What the request that uses a connection sets for it.
#[derive(Clone, Debug)]
pub(super) struct ConnectionControl(Rc<Control>);

#[derive(Debug)]
struct Control {
    /// Number of bytes that the connection may still receive.
    receive_limit: Cell<usize>,
    /// Where the request wants to see that bytes pass.
    progress: RefCell<Option<Progress>>,
}

impl ConnectionControl {
    pub(super) fn new(receive_limit: usize) -> Self {
        let receive_limit = Cell::new(receive_limit);
        Self(Rc::new(Control { receive_limit, progress: RefCell::default() }))
    }

    /// Sets the number of bytes that may be received from now on.
    pub(super) fn limit_received(&self, bytes: usize) {
        self.0.receive_limit.set(bytes);
    }

    /// Sets where it is recorded that bytes pass.
    pub(super) fn set_progress(&self, progress: Option<Progress>) {
        *self.0.progress.borrow_mut() = progress;
    }

    fn record_progress(&self) {
        if let Some(progress) = &*self.0.progress.borrow() {
            progress.record();
        }
    }
}

/// A connection whose peer can neither occupy the thread nor send more than a limit.
pub(super) struct LimitedStream {
    stream: TcpStream,
    control: ConnectionControl,
    turns: ReadTurns,
}

impl LimitedStream {
    pub(super) fn new(stream: TcpStream, control: ConnectionControl) -> Self {
        Self { stream, control, turns: ReadTurns::default() }
    }

    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(bytes)) if *bytes > 0) {
            self.control.record_progress();
        }
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
        let receive_limit = &self.control.0.receive_limit;
        let Some(left) = receive_limit.get().checked_sub(received) else {
            let message = "the peer sends more than an answer may have";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        };
        receive_limit.set(left);
        if received > 0 {
            self.control.record_progress();
        }
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
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_written(&written);
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.record_written(&written);
        written
    }
}
