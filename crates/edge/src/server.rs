//! Accepts connections, serves the requests on them, and stops without aborting running requests.

use {
    crate::{
        backend::Backend,
        conn::Conn,
        handler::{self, GuardedReply, Handler},
        head::Head,
        memory::BodyMemory,
        options::EdgeOptions,
        problem::Problem,
        receive::{self, NextRequest},
        reply::{self, Reply},
        stop::StopReceiver,
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

/// Delay before `accept` is retried after an error, for example a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of connections above the limit that are refused with a reply. Further ones are closed
/// without one.
const MAX_REFUSED_CONNECTIONS: usize = 64;
/// After refusing a partly received request, the server reads and discards input for at most this
/// long.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read and discarded within [`LINGER_TIMEOUT`].
const MAX_LINGER_BYTES: usize = 4 * 1024 * 1024;
/// How long a connection that has not sent a request yet stays open after the stop signal. Its
/// caller connected before the stop and is probably about to send. 1 s suffices: round trips within
/// a site take milliseconds.
const FIRST_REQUEST_GRACE: Duration = Duration::from_secs(1);
/// `Retry-After` of connections refused above the limit.
const TOO_MANY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The HTTP interface of one host.
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
    memory: Arc<BodyMemory>,
}

impl<B: Backend> Edge<B> {
    /// Creates the interface. Connections run as tasks on `executor`, which must be run by the code
    /// that creates the interface.
    pub fn new(options: EdgeOptions, backend: B, executor: Arc<Executor<'static>>) -> Self {
        let serves_metrics = options.serves_metrics;
        let handler = Handler { backend, executor, serves_metrics };
        let open_connections = AtomicUsize::new(0);
        let memory = BodyMemory::new(options.max_bodies_bytes.max(options.max_body_bytes));
        Self { shared: Arc::new(Shared { options, handler, open_connections, memory }) }
    }

    /// Returns the number of open connections, including those that are being refused.
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections.load(Ordering::Relaxed)
    }

    /// Accepts connections until the stop signal, then waits until all running requests have their
    /// reply. New connections, including those in the listener's backlog, may still send their
    /// first request. Connections that are idle after a request are closed at once.
    pub async fn listen(&self, listener: TcpListener, stop: StopReceiver) {
        // Closed when all connection tasks have dropped their sender.
        let (task_guard, all_done) = bounded::<Infallible>(1);
        while let Some(accepted) = accept(&listener, &stop).await {
            match accepted {
                Ok(stream) => self.spawn(stream, &stop, &task_guard),
                Err(error) => {
                    log::warn!("failed to accept a connection: {error}");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Closing the listener resets the connections in its backlog, so accept them first.
        while let Some(Ok((stream, _))) = poll_once(listener.accept()).await {
            self.spawn(stream, &stop, &task_guard);
        }
        drop(listener);
        drop(task_guard);
        wait_for_connections(all_done).await;
    }

    fn spawn(&self, stream: TcpStream, stop: &StopReceiver, task_guard: &Sender<Infallible>) {
        // Events are small; Nagle's algorithm would delay them.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("connection closed: failed to set TCP_NODELAY: {error}");
            return;
        }
        let open = OpenConnection::new(Arc::clone(&self.shared));
        let (edge, stop, task_guard) = (self.clone(), stop.clone(), task_guard.clone());
        let task = async move {
            match open.is_above_limit(edge.shared.options.max_connections) {
                false => edge.serve(stream, stop).await,
                true if open.must_close_without_reply(edge.shared.options.max_connections) => {}
                true => edge.refuse_connection(stream).await,
            }
            drop((open, task_guard));
        };
        // A panic must end only this connection, not the executor's thread.
        let task = async move {
            if AssertUnwindSafe(task).catch_unwind().await.is_err() {
                log::error!("connection closed: its task panicked");
            }
        };
        self.shared.handler.executor.spawn(task).detach();
    }

    /// Serves one connection until it closes. After the stop signal, the current request still gets
    /// its reply.
    pub async fn serve<S>(&self, stream: S, stop: StopReceiver)
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
                    let method = head.method;
                    // Boxed, so that a connection has the state of a request only while there is one.
                    match Box::pin(self.answer(&conn, head, &stop)).await {
                        Ok(true) => {}
                        Ok(false) => break,
                        Err(problem) => {
                            self.refuse_and_linger(&conn, problem, method).await;
                            break;
                        }
                    }
                }
                Ok(NextRequest::Closed) => break,
                Err(problem) => {
                    self.refuse_and_linger(&conn, problem, Method::Get).await;
                    break;
                }
            }
        }
        // Fails if the caller has already disconnected.
        let _ = conn.clone().close().await;
    }

    /// Answers one request. Returns whether the connection can be used for another one.
    ///
    /// # Errors
    ///
    /// Returns the problem of a request that is refused before it runs. Bytes of its body may be unread
    /// on the connection.
    async fn answer<S>(
        &self,
        conn: &Conn<S>,
        head: Head,
        stop: &StopReceiver,
    ) -> Result<bool, Problem>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let options = &self.shared.options;
        let handler = &self.shared.handler;
        let method = head.method;
        let must_close = reply::must_close_after_reply(&head);
        let request = handler::admit(&handler.backend, head).await?;
        let (body, memory) =
            receive::request_body(conn, &request.head, options, &self.shared.memory).await?;
        let id = request.id.clone();
        let work = async { Some(handler.run(request, body).await) };
        let disconnected = async {
            conn.wait_for_disconnect().await;
            None
        };
        let Some(guarded) = or(work, disconnected).await else { return Ok(false) };
        drop(memory);
        let mut guarded = guarded.unwrap_or_else(|problem| Reply::from(problem).into());
        let must_close = must_close || stop.is_stopped();
        guarded.streamable.reply = guarded.streamable.reply.with("Trefoil-Request", &*id);
        if must_close {
            guarded.streamable.reply = guarded.streamable.reply.with("Connection", "close");
        }
        Ok(self.write(conn, guarded, method).await.is_ok() && !must_close)
    }

    /// Writes a reply to the caller while the backend still supplies its body. Fails if the caller
    /// disconnects.
    async fn write<S>(
        &self,
        conn: &Conn<S>,
        guarded: GuardedReply<B>,
        method: Method,
    ) -> io::Result<()>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let timeout = self.shared.options.write_timeout;
        let GuardedReply { streamable, implicit } = guarded;
        let write = reply::write(conn, streamable.reply, method, timeout);
        let relay = async {
            if let Some(stream) = streamable.stream {
                stream.run().await;
            }
            pending().await
        };
        let disconnected = async {
            conn.wait_for_disconnect().await;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        let written = or(write, or(relay, disconnected)).await;
        drop(implicit);
        written
    }

    /// Replies with a problem, then reads and discards further input for at most
    /// [`LINGER_TIMEOUT`]. Closing a connection with unread bytes resets it, and the caller might
    /// never receive the reply.
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

/// Accepts a connection. Returns `None` after the stop signal.
async fn accept(listener: &TcpListener, stop: &StopReceiver) -> Option<io::Result<TcpStream>> {
    let stopped = async {
        stop.wait().await;
        None
    };
    let accepted = async { Some(listener.accept().await.map(|(stream, _)| stream)) };
    or(stopped, accepted).await
}

/// Waits until each connection's task has dropped its sender.
async fn wait_for_connections(all_done: Receiver<Infallible>) {
    // No value is ever sent, so `recv` returns only when the channel is closed.
    let _ = all_done.recv().await;
}

/// Guard that counts an open connection until it is dropped.
struct OpenConnection<B> {
    shared: Arc<Shared<B>>,
    /// Number of open connections when this one was opened, including it.
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

    fn must_close_without_reply(&self, max_connections: usize) -> bool {
        self.count > max_connections.saturating_add(MAX_REFUSED_CONNECTIONS)
    }
}

impl<B> Drop for OpenConnection<B> {
    fn drop(&mut self) {
        self.shared.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
