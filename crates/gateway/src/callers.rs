//! Callers' connections.

use {
    crate::{
        call,
        gateway::{Gateway, Stage},
        http::set_options,
        listen::accept_all,
    },
    http::{HeaderValue, Response, header},
    hyper::{
        body::Incoming,
        rt::{Read, ReadBufCursor, Write},
        server::conn::http1,
        service::service_fn,
    },
    smol::{
        channel::{Receiver, Sender},
        net::{TcpListener, TcpStream},
    },
    smol_hyper::rt::FuturesIo,
    std::{
        cell::Cell,
        convert::Infallible,
        io,
        net::SocketAddr,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Instant,
    },
    trefoilring_core::routing::CallerLimits,
};

/// Smallest read buffer that hyper accepts.
const BUFFER_BYTES_MIN: usize = 8192;

/// State of a caller's connection that its timeouts depend on.
pub(crate) struct CallerConnection {
    /// When bytes were last received or the last answer ended, whichever is later.
    active_at: Cell<Instant>,
    /// When the first bytes of the next request were received.
    head_began_at: Cell<Option<Instant>>,
    is_answering: Cell<bool>,
    close_sender: Sender<CloseMode>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CloseMode {
    /// Close after the answer that is in progress.
    Graceful,
    /// Close at once, because the caller is too slow.
    Immediate,
}

impl CallerConnection {
    /// Closes the connection after the answer that is in progress, if there is one.
    pub(crate) fn close(&self) {
        // The channel holds one message; a second request to close has no further effect.
        let _ = self.close_sender.try_send(CloseMode::Graceful);
    }

    /// Closes the connection if a timeout has expired.
    pub(crate) fn close_if_timed_out(&self, now: Instant, limits: &CallerLimits) {
        if self.is_answering.get() {
            return;
        }
        let is_slow = |began: Instant| now.duration_since(began) > limits.head_timeout;
        if self.head_began_at.get().is_some_and(is_slow) {
            let _ = self.close_sender.try_send(CloseMode::Immediate);
        } else if now.duration_since(self.active_at.get()) > limits.idle_timeout {
            self.close();
        }
    }

    fn record_bytes(&self) {
        let now = Instant::now();
        self.active_at.set(now);
        if !self.is_answering.get() && self.head_began_at.get().is_none() {
            self.head_began_at.set(Some(now));
        }
    }

    fn on_request_start(&self) {
        self.is_answering.set(true);
        self.head_began_at.set(None);
    }

    fn on_request_end(&self) {
        self.is_answering.set(false);
        self.active_at.set(Instant::now());
    }
}

/// Listens for callers, if this host serves them.
pub(crate) async fn start(gateway: &Rc<Gateway>) -> io::Result<Option<SocketAddr>> {
    let Some(address) = gateway.settings.callers_listen else { return Ok(None) };
    let listener = trefoilring_net::listen(address)?;
    let bound = listener.local_addr()?;
    gateway.spawn(accept(gateway.clone(), listener));
    Ok(Some(bound))
}

async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    let stop_accepting = gateway.stop_accepting.listen();
    gateway.is_accepting.set(true);
    smol::future::or(accept_all(&gateway, &listener, serve), stop_accepting).await;
    drop(listener);
    gateway.is_accepting.set(false);
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    gateway.metrics.count("caller_connections", 1);
    set_options(&stream);
    let (close_sender, close_receiver) = smol::channel::bounded(1);
    let connection = Rc::new(CallerConnection {
        active_at: Cell::new(Instant::now()),
        head_began_at: Cell::new(None),
        is_answering: Cell::new(false),
        close_sender,
    });
    let key = gateway.callers.borrow_mut().insert(connection.clone());
    let io = TrackedStream { io: FuturesIo::new(stream), connection: connection.clone() };
    let head_bytes_max = gateway.routing_table.borrow().as_ref().map_or_else(
        || CallerLimits::default().head_bytes_max,
        |table| table.limits.head_bytes_max,
    );
    let service_gateway = gateway.clone();
    let service = service_fn(move |request: http::Request<Incoming>| {
        let (gateway, connection) = (service_gateway.clone(), connection.clone());
        async move {
            connection.on_request_start();
            let open = OpenRequest::new(gateway.clone(), connection);
            let mut answer = call::answer(gateway.clone(), request).await;
            if gateway.stage.get() != Stage::Serving {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(answer.map(|body| call::TrackedAnswerBody::new(body, open)))
        }
    });
    let serving = http1::Builder::new()
        .max_buf_size(head_bytes_max.max(BUFFER_BYTES_MIN))
        .auto_date_header(false)
        .serve_connection(io, service);
    run(serving, close_receiver).await;
    gateway.callers.borrow_mut().remove(key);
}

async fn run<S>(serving: http1::Connection<TrackedStream, S>, close_receiver: Receiver<CloseMode>)
where
    S: hyper::service::HttpService<Incoming, ResBody = call::TrackedAnswerBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut serving = std::pin::pin!(serving);
    loop {
        let close_requested = async { close_receiver.recv().await.unwrap_or(CloseMode::Immediate) };
        let end = async {
            // The caller has disconnected or sent an invalid request, which hyper has answered.
            if let Err(error) = serving.as_mut().await {
                log::debug!("caller connection closed with an error: {error}");
            }
            CloseMode::Immediate
        };
        match smol::future::or(end, close_requested).await {
            CloseMode::Immediate => return,
            CloseMode::Graceful => serving.as_mut().graceful_shutdown(),
        }
    }
}

/// Counts a request as open until its answer has been passed to the connection completely.
pub(crate) struct OpenRequest {
    gateway: Rc<Gateway>,
    connection: Rc<CallerConnection>,
}

impl OpenRequest {
    fn new(gateway: Rc<Gateway>, connection: Rc<CallerConnection>) -> Self {
        gateway.requests_open.set(gateway.requests_open.get() + 1);
        Self { gateway, connection }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.gateway.requests_open.set(self.gateway.requests_open.get().saturating_sub(1));
        self.connection.on_request_end();
    }
}

/// A stream that records when bytes are received.
struct TrackedStream {
    io: FuturesIo<TcpStream>,
    connection: Rc<CallerConnection>,
}

impl Read for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.io).poll_read(cx, buffer);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.connection.record_bytes();
        }
        polled
    }
}

impl Write for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

impl std::fmt::Debug for OpenRequest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("OpenRequest")
    }
}

pub(crate) type Answer = Response<call::AnswerBody>;
