//! Connections: accepting them, the requests on each, and a stop that cuts off none.

use {
    crate::{
        backend::Backend,
        conn::Conn,
        handler::{self, Handler, Outcome},
        head::Head,
        options::EdgeOptions,
        problem::Problem,
        receive::{self, NextRequest},
        reply::{self, Reply},
        stop::Stop,
    },
    http_types::Method,
    smol::{
        Executor, Timer,
        channel::{Receiver, Sender, bounded},
        future::{FutureExt, or, poll_once},
        io::{AsyncRead, AsyncWrite, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    std::{
        convert::Infallible,
        future::pending,
        io,
        panic::AssertUnwindSafe,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    trefoilring_core::verdict::{Reason, Refusal},
};

/// Pause after the system refused a new connection, such as for want of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Connections above the limit that are still told so; further ones are just closed.
const MAX_REFUSED_CONNECTIONS: usize = 64;
/// How long a caller that was refused in the middle of its request may go on sending.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// How much it may send in that time.
const MAX_LINGER_BYTES: usize = 4 * 1024 * 1024;
/// How long a connection that has carried no request yet stays open after a stop. Its caller opened
/// it before the stop and is about to send; round trips within a site take milliseconds.
const FIRST_REQUEST_GRACE: Duration = Duration::from_secs(1);
/// When to come back to a host with too many connections.
const TOO_MANY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The callers' HTTP interface of one host.
pub struct Edge<B> {
    shared: Arc<Shared<B>>,
}

impl<B> Clone for Edge<B> {
    fn clone(&self) -> Self {
        Self { shared: Arc::clone(&self.shared) }
    }
}

struct Shared<B> {
    options: EdgeOptions,
    handler: Handler<B>,
    open_connections: AtomicUsize,
}

impl<B: Backend> Edge<B> {
    /// Makes the interface. Connections run on `executor`, which the caller drives.
    pub fn new(options: EdgeOptions, backend: B, executor: Arc<Executor<'static>>) -> Self {
        let has_open_metrics = options.has_open_metrics;
        let handler = Handler { backend, executor, has_open_metrics };
        let open_connections = AtomicUsize::new(0);
        Self { shared: Arc::new(Shared { options, handler, open_connections }) }
    }

    /// Returns how many connections are open.
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections.load(Ordering::Relaxed)
    }

    /// Accepts connections until the stop is given, then waits until each running request has
    /// been answered. New connections, also those in the listener's backlog, may still send their
    /// first request; those that are idle after a request are closed at once.
    pub async fn listen(&self, listener: TcpListener, stop: Stop) {
        let (running, all_done) = bounded::<Infallible>(1);
        while let Some(accepted) = accept(&listener, &stop).await {
            match accepted {
                Ok(stream) => self.spawn(stream, &stop, &running),
                Err(error) => {
                    log::warn!("no connection could be accepted: {error}");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Closing the listener resets what it hasn't accepted yet.
        while let Some(Ok((stream, _))) = poll_once(listener.accept()).await {
            self.spawn(stream, &stop, &running);
        }
        drop(listener);
        drop(running);
        wait_for_connections(all_done).await;
    }

    fn spawn(&self, stream: TcpStream, stop: &Stop, running: &Sender<Infallible>) {
        // Events are small and must not wait for one another.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("a connection was lost at once: {error}");
            return;
        }
        let open = OpenConnection::new(Arc::clone(&self.shared));
        let (edge, stop, running) = (self.clone(), stop.clone(), running.clone());
        let task = async move {
            match open.is_above_limit(edge.shared.options.max_connections) {
                false => edge.serve(stream, stop).await,
                true if open.is_above_refusal_limit(edge.shared.options.max_connections) => {}
                true => edge.refuse_connection(stream).await,
            }
            drop((open, running));
        };
        // A panic must end its own connection, not the thread.
        let task = async move {
            if AssertUnwindSafe(task).catch_unwind().await.is_err() {
                log::error!("a connection ended by a panic");
            }
        };
        self.shared.handler.executor.spawn(task).detach();
    }

    /// Serves one connection until it closes or the stop is given.
    pub async fn serve<S>(&self, stream: S, stop: Stop)
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let conn = Conn::new(stream);
        let options = &self.shared.options;
        let mut stop_grace = FIRST_REQUEST_GRACE;
        loop {
            match receive::next_head(&conn, options, &stop, stop_grace).await {
                Ok(NextRequest::Head(head)) => {
                    stop_grace = Duration::ZERO;
                    if !self.answer(&conn, head, &stop).await {
                        break;
                    }
                }
                Ok(NextRequest::Closed) => break,
                Err(problem) => {
                    self.refuse_and_linger(&conn, problem, Method::Get).await;
                    break;
                }
            }
        }
        // The caller may be gone already.
        let _ = conn.clone().close().await;
    }

    /// Answers one request; returns whether the connection can take another one.
    async fn answer<S>(&self, conn: &Conn<S>, head: Head, stop: &Stop) -> bool
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let options = &self.shared.options;
        let handler = &self.shared.handler;
        let method = head.method;
        let closes = reply::closes_after(&head);
        // What was refused before its body was read leaves the body on the connection.
        let received = async {
            let request = handler::admit(&handler.backend, head).await?;
            let body = receive::request_body(conn, &request.head, options).await?;
            Ok((request, body))
        };
        let (request, body) = match received.await {
            Ok(received) => received,
            Err(problem) => {
                self.refuse_and_linger(conn, problem, method).await;
                return false;
            }
        };
        let id = request.id.clone();
        let work = async { Some(handler.run(request, body).await) };
        let caller_closed = async {
            conn.caller_closed().await;
            None
        };
        let Some(outcome) = or(work, caller_closed).await else { return false };
        let mut outcome = outcome.unwrap_or_else(|problem| Reply::from(problem).into());
        let closes = closes || stop.is_stopped();
        outcome.relayed.reply = outcome.relayed.reply.with("Trefoil-Request", &*id);
        if closes {
            outcome.relayed.reply = outcome.relayed.reply.with("Connection", "close");
        }
        self.write(conn, outcome, method).await.is_ok() && !closes
    }

    /// Writes a reply while its rest comes, as long as the caller is there.
    async fn write<S>(&self, conn: &Conn<S>, outcome: Outcome<B>, method: Method) -> io::Result<()>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let timeout = self.shared.options.write_timeout;
        let Outcome { relayed, implicit } = outcome;
        let write = reply::write(conn, relayed.reply, method, timeout);
        let relay = async {
            if let Some(stream) = relayed.stream {
                stream.run().await;
            }
            pending().await
        };
        let caller_closed = async {
            conn.caller_closed().await;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        let written = or(write, or(relay, caller_closed)).await;
        drop(implicit);
        written
    }

    /// Answers by a problem, then reads on for a while: a connection that is closed with bytes
    /// unread is reset, and the caller might never see the answer.
    async fn refuse_and_linger<S>(&self, conn: &Conn<S>, problem: Problem, method: Method)
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let reply = Reply::from(problem).with("Connection", "close");
        let timeout = self.shared.options.write_timeout;
        if reply::write(conn, reply, method, timeout).await.is_err() {
            return;
        }
        if conn.clone().close().await.is_err() {
            return;
        }
        let timed_out = async {
            Timer::after(LINGER_TIMEOUT).await;
        };
        or(conn.discard(MAX_LINGER_BYTES), timed_out).await;
    }

    async fn refuse_connection<S>(&self, stream: S)
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let refusal = Refusal::not_run(Reason::TooMany, "too many open connections");
        let problem = refusal.retry_after(TOO_MANY_RETRY_AFTER).into();
        self.refuse_and_linger(&Conn::new(stream), problem, Method::Get).await;
    }
}

/// Waits for a connection; returns `None` when the stop was given.
async fn accept(listener: &TcpListener, stop: &Stop) -> Option<io::Result<TcpStream>> {
    let stopped = async {
        stop.wait().await;
        None
    };
    let accepted = async { Some(listener.accept().await.map(|(stream, _)| stream)) };
    or(stopped, accepted).await
}

/// Waits until every sender of the channel was dropped.
async fn wait_for_connections(all_done: Receiver<Infallible>) {
    // No value is ever sent, so that the only answer is that the channel was closed.
    let _ = all_done.recv().await;
}

/// Counts one open connection for as long as it lives.
struct OpenConnection<B> {
    shared: Arc<Shared<B>>,
    /// Connections open with this one.
    count: usize,
}

impl<B> OpenConnection<B> {
    fn new(shared: Arc<Shared<B>>) -> Self {
        let count = shared.open_connections.fetch_add(1, Ordering::Relaxed) + 1;
        Self { shared, count }
    }

    fn is_above_limit(&self, max_connections: usize) -> bool {
        self.count > max_connections
    }

    fn is_above_refusal_limit(&self, max_connections: usize) -> bool {
        self.count > max_connections.saturating_add(MAX_REFUSED_CONNECTIONS)
    }
}

impl<B> Drop for OpenConnection<B> {
    fn drop(&mut self) {
        self.shared.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
