//! Connections that others open to this host, their timeouts and their memory.

use {
    crate::{
        http::{self, set_options},
        memory::{DropSignal, Reservation},
        time::within,
    },
    hyper::{
        body::{Body, Incoming},
        rt::{Read, ReadBufCursor, Write},
        server::conn::http1,
        service::HttpService,
    },
    slab::Slab,
    smol::{
        channel::{Receiver, Sender},
        io::{AsyncRead, AsyncReadExt, AsyncWrite},
        net::TcpStream,
    },
    smol_hyper::rt::FuturesIo,
    std::{
        cell::{Cell, RefCell},
        error::Error,
        io::{self, IoSlice},
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
        time::{Duration, Instant},
    },
    trefoilring_core::{
        memory::{Class, Phase},
        routing::CallerLimits,
    },
    trefoilring_net::ReadTurns,
};

/// Smallest read buffer that hyper accepts.
const BUFFER_BYTES_MIN: usize = 8192;
/// Maximum number of bytes in one read.
const BLOCK_BYTES: usize = 8 * 1024;
/// Memory of a connection that has not sent a byte. Measured in `docs/CAPACITY.md`.
pub(crate) const IDLE_BYTES: usize = 4 * 1024;
/// Memory of a connection beside what it may buffer of a head: its task, the write buffer and the state of
/// a request. The crowd of half-sent heads costs 27 to 52 KB for each, with heads of up to 16 KB.
const ACTIVE_BYTES: usize = 24 * 1024;
/// How long a connection reads and discards what its peer still sends after a refusal. Closing a
/// connection with unread bytes resets it, and the peer may never see the refusal.
const LINGER_MAX: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are discarded then.
const LINGER_BYTES_MAX: usize = 4 * 1024 * 1024;

/// State of a connection that its timeouts depend on.
pub(crate) struct InboundConnection {
    /// When bytes were last received or the last answer ended, whichever is later.
    active_at: Cell<Instant>,
    /// When the first bytes of the next request were received.
    head_began_at: Cell<Option<Instant>>,
    is_answering: Cell<bool>,
    /// Whether a part of the present request's body has not been read.
    is_body_unread: Cell<bool>,
    head_bytes_max: usize,
    /// The connection, for its options.
    stream: TcpStream,
    /// How long sent bytes may stay unacknowledged, or unread once the peer's buffer is full.
    unread_max: Cell<Duration>,
    close_sender: Sender<()>,
    reservation: Reservation,
    signal: Rc<DropSignal>,
}

impl InboundConnection {
    /// Lets the peer read the answer to its request as slowly as it likes until a deadline. The kernel
    /// counts the time in which the peer's buffer is full like that in which the peer is silent.
    pub(crate) fn wait_for_reader(&self, deadline: Instant) {
        let left = deadline.saturating_duration_since(Instant::now());
        if left > self.unread_max.get() {
            self.unread_max.set(left);
            http::set_unacknowledged_timeout(&self.stream, left);
        }
    }

    /// Closes the connection after the answer that is in progress, if there is one.
    pub(crate) fn close(&self) {
        // The channel holds one message; a second request to close has no further effect.
        let _ = self.close_sender.try_send(());
    }

    /// Closes the connection if a timeout has expired.
    pub(crate) fn close_if_timed_out(&self, now: Instant, limits: &CallerLimits) {
        let is_idle = now.duration_since(self.active_at.get()) > limits.idle_timeout;
        if self.is_answering.get() {
            // A body of which nothing comes for as long is given up; other requests have deadlines.
            if is_idle && self.is_body_unread.get() {
                self.signal.set();
            }
            return;
        }
        let is_slow = |began: Instant| now.duration_since(began) > limits.head_timeout;
        if self.head_began_at.get().is_some_and(is_slow) {
            self.signal.set();
        } else if is_idle {
            self.close();
        }
    }

    /// Returns the signal that closes the connection at once.
    pub(crate) fn signal(&self) -> &Rc<DropSignal> {
        &self.signal
    }

    /// Records whether the present request's body has been read to its end.
    pub(crate) fn set_body_unread(&self, is_unread: bool) {
        self.is_body_unread.set(is_unread);
    }

    /// Returns whether a part of the present request's body has not been read. The connection can't be
    /// used for another request then.
    pub(crate) fn is_body_unread(&self) -> bool {
        self.is_body_unread.get()
    }

    fn record_bytes(&self) {
        let now = Instant::now();
        self.active_at.set(now);
        if !self.is_answering.get() && self.head_began_at.get().is_none() {
            self.head_began_at.set(Some(now));
            self.reservation.set_phase(Phase::Moving);
            // The request will use a connection to an upstream as well.
            let bytes = self.buffer_bytes() + self.reservation.unread_bytes_max();
            if self
                .reservation
                .resize(Class::Connection, bytes)
                .is_err_and(|denied| denied.victims.is_empty())
            {
                // All others are being answered.
                self.signal.set();
            }
        }
    }

    /// Returns the memory of a connection that has received a request.
    fn buffer_bytes(&self) -> usize {
        ACTIVE_BYTES + self.head_bytes_max + self.reservation.unread_bytes_max()
    }

    /// Called when the head of a request has been received.
    pub(crate) fn on_request_start<B: Body>(&self, body: &B) {
        self.is_answering.set(true);
        self.head_began_at.set(None);
        self.is_body_unread.set(!body.is_end_stream());
        self.reservation.set_phase(Phase::Working);
    }

    /// Called when the answer to a request has been passed to the connection.
    pub(crate) fn on_request_end(&self) {
        self.is_answering.set(false);
        self.active_at.set(Instant::now());
        self.reservation.set_phase(Phase::Moving);
        // A smaller reservation always fits.
        let _ = self.reservation.resize(Class::Connection, self.buffer_bytes());
    }
}

/// A connection that was accepted and has room.
pub(crate) struct Accepted {
    pub(crate) stream: TcpStream,
    pub(crate) reservation: Reservation,
    pub(crate) signal: Rc<DropSignal>,
}

/// Serves a connection until it closes.
pub(crate) async fn serve<S>(
    connections: &RefCell<Slab<Rc<InboundConnection>>>,
    accepted: Accepted,
    head_bytes_max: usize,
    create_service: impl FnOnce(Rc<InboundConnection>) -> S,
) where
    S: HttpService<Incoming, ResBody: 'static>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    <S::ResBody as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let Accepted { stream, reservation, signal } = accepted;
    set_options(&stream);
    let head_bytes_max = head_bytes_max.max(BUFFER_BYTES_MIN);
    let (close_sender, close_receiver) = smol::channel::bounded(1);
    let connection = Rc::new(InboundConnection {
        active_at: Cell::new(Instant::now()),
        head_began_at: Cell::new(None),
        is_answering: Cell::new(false),
        is_body_unread: Cell::new(false),
        head_bytes_max,
        stream: stream.clone(),
        unread_max: Cell::new(http::UNACKNOWLEDGED_TIMEOUT),
        close_sender,
        reservation,
        signal,
    });
    let key = connections.borrow_mut().insert(connection.clone());
    if has_first_byte(&stream, &connection, &close_receiver).await {
        // Buffers and the state of requests are allocated only now: most of the connections of a crowd
        // may never send a byte.
        Box::pin(serve_http(stream, &connection, close_receiver, create_service)).await;
    }
    connections.borrow_mut().remove(key);
}

/// Waits for the first byte. Returns `false` if the connection closes instead.
async fn has_first_byte(
    stream: &TcpStream,
    connection: &InboundConnection,
    close_receiver: &Receiver<()>,
) -> bool {
    let received = async { matches!(stream.peek(&mut [0]).await, Ok(1)) };
    let closed = async {
        let requested = async {
            // An error would mean that the connection's state is gone.
            let _ = close_receiver.recv().await;
        };
        smol::future::or(requested, connection.signal.wait()).await;
        false
    };
    smol::future::or(received, closed).await
}

async fn serve_http<S>(
    stream: TcpStream,
    connection: &Rc<InboundConnection>,
    close_receiver: Receiver<()>,
    create_service: impl FnOnce(Rc<InboundConnection>) -> S,
) where
    S: HttpService<Incoming, ResBody: 'static>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    <S::ResBody as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let io = InboundStream {
        stream: stream.clone(),
        connection: connection.clone(),
        turns: ReadTurns::default(),
    };
    let serving = http1::Builder::new()
        .max_buf_size(connection.head_bytes_max)
        .auto_date_header(false)
        .serve_connection(io, create_service(connection.clone()));
    let is_ended = run(serving, connection, close_receiver).await;
    if is_ended && connection.is_body_unread() {
        linger(stream).await;
    }
}

/// Drives a connection. Returns `false` if it was closed at once.
async fn run<S>(
    serving: http1::Connection<InboundStream, S>,
    connection: &InboundConnection,
    close_receiver: Receiver<()>,
) -> bool
where
    S: HttpService<Incoming, ResBody: 'static>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    <S::ResBody as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut serving = std::pin::pin!(serving);
    let mut may_close = true;
    loop {
        let close_requested = async {
            if !may_close || close_receiver.recv().await.is_err() {
                std::future::pending::<()>().await;
            }
            RunEnd::Graceful
        };
        let dropped = async {
            connection.signal.wait().await;
            RunEnd::Dropped
        };
        let ended = async {
            // The peer has disconnected or sent an invalid request, which hyper has answered.
            if let Err(error) = serving.as_mut().await {
                log::debug!("connection closed with an error: {error}");
            }
            RunEnd::Ended
        };
        match smol::future::or(ended, smol::future::or(close_requested, dropped)).await {
            RunEnd::Ended => return true,
            RunEnd::Dropped => return false,
            RunEnd::Graceful => {
                may_close = false;
                serving.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Reads and discards what a refused peer still sends, within bounds.
async fn linger(mut stream: TcpStream) {
    let discard = async {
        let (mut block, mut left) = ([0; 1024], LINGER_BYTES_MAX);
        while left > 0 {
            match stream.read(&mut block).await {
                Ok(count) if count > 0 => left = left.saturating_sub(count),
                _ => return,
            }
        }
    };
    within(Instant::now() + LINGER_MAX, discard).await;
}

/// Why [`run`] stops to drive a connection.
enum RunEnd {
    Ended,
    Dropped,
    Graceful,
}

/// A stream that records when bytes are received, and whose peer can't occupy the thread.
struct InboundStream {
    stream: TcpStream,
    connection: Rc<InboundConnection>,
    turns: ReadTurns,
}

impl Read for InboundStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.turns.poll_turn(cx));
        if self.connection.is_body_unread() {
            // A body is read into the connection's buffer, which is in use in any case.
            let read = Read::poll_read(Pin::new(&mut FuturesIo::new(&mut self.stream)), cx, buffer);
            self.turns.record(&read);
            if matches!(read, Poll::Ready(Ok(()))) {
                self.connection.record_bytes();
            }
            return read;
        }
        // A block on the stack: the connection's buffer stays untouched until bytes are there.
        let mut block = [0; BLOCK_BYTES];
        let size = buffer.remaining().min(block.len());
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut block[..size]);
        self.turns.record(&read);
        let received = ready!(read)?;
        if received > 0 {
            self.connection.record_bytes();
        }
        buffer.put_slice(&block[..received]);
        Poll::Ready(Ok(()))
    }
}

impl Write for InboundStream {
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

    // Without vectored writes, hyper copies each body into its own buffer.
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
