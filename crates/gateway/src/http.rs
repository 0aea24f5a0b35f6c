//! HTTP/1.1 connections to upstreams, to the store and to other hosts.
//!
//! `hyper` handles framing and parsing. This module selects the connection for a request and
//! determines whether a failed request may have run. The peer may have closed an idle connection:
//! if nothing of a request was written to it, the request is sent on another connection. After any
//! other failure of a connection the request may have run.

mod progress;
mod received;

pub(crate) use progress::Progress;

use {
    crate::time::within,
    bytes::{Bytes, BytesMut},
    derive_more::Display,
    http::{Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    received::{ConnectionControl, LimitedStream},
    smol::{LocalExecutor, net::TcpStream},
    std::{
        any::Any,
        cell::RefCell,
        collections::{HashMap, VecDeque},
        error::Error,
        io,
        net::SocketAddr,
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    trefoilring_net::{ConnectOptions, connect},
};

/// How long written bytes may stay unacknowledged before the kernel closes a connection. Longer
/// than a few retransmissions, shorter than the callers' timeouts.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2000);
/// Interval of keep-alive probes on a silent connection: a peer may disappear without a reset.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES_MAX: u32 = 2;
/// How long an idle connection is kept if the peer does not announce a timeout.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);
/// Longest time for which an idle connection is kept, whatever the peer announces.
const IDLE_TIMEOUT_MAX: Duration = Duration::from_secs(60 * 60);
/// Subtracted from the peer's announced idle timeout, so that this end closes first.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections to one address.
const IDLE_CONNECTIONS_MAX: usize = 16;
/// Maximum number of connection attempts whose outcomes are kept until they are taken.
const CONNECTS_MAX: usize = 64;
/// Maximum number of requests whose names are kept for a connection. Requests are sent again within
/// seconds, before that many others use the connection.
const REQUEST_NAMES_MAX: usize = 64;
/// Maximum size of an answer's head.
const ANSWER_HEAD_BYTES_MAX: usize = 64 * 1024;
/// Maximum size of what comes before an answer's body: interim heads, the head, and what is read
/// ahead of the body.
const BYTES_BEFORE_BODY_MAX: usize = 4 * ANSWER_HEAD_BYTES_MAX;
/// Maximum size of the bytes that a connection has received and not parsed.
const RECEIVE_BUFFER_BYTES_MAX: usize = 2 * ANSWER_HEAD_BYTES_MAX;

/// Why a request failed, and whether it may have run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SendError {
    /// The connection could not be established: nothing was sent.
    #[display("could not connect")]
    NotConnected,
    /// The caller has gone before the connection could be used: nothing was sent.
    #[display("the caller has disconnected")]
    CallerGone,
    /// The request was sent at least in part, but no valid answer was received: the connection
    /// failed, or the answer was rejected. The outcome is unknown.
    #[display("connection closed before the answer was complete")]
    Broken,
    /// The deadline passed after the request was sent.
    #[display("no answer before the deadline")]
    TimedOut,
}

/// Whether a process accepts connections at an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListenerState {
    /// A connection was established.
    Present,
    /// The connection was refused.
    Absent,
    /// No answer came in time, or another error.
    Unknown,
}

/// Connection counters for the metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionCounts {
    /// Established connections.
    pub opened: u64,
    /// Failed connection attempts.
    pub failed: u64,
    /// Requests sent on a reused connection.
    pub reused: u64,
}

/// A connection that can send a request.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    control: ConnectionControl,
    /// Names of the latest requests that were sent on it, oldest first.
    requests: VecDeque<RequestName>,
    /// Number of requests that were sent on it.
    request_count: u64,
}

/// Extension of a request: the id that the peer names in its answers. A request is not sent again on
/// a connection that it was sent on before, where a second copy of the first answer could not be told
/// from the next one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RequestName(pub(crate) Arc<str>);

/// Extension of a request: whether its caller has gone. It is looked at once the connection is there,
/// directly before the request is sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerGone(Arc<AtomicBool>);

impl CallerGone {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

struct IdleConnection {
    connection: Connection,
    /// Time after which the connection is not reused, because the peer may close it.
    expires_at: Instant,
}

/// Pool of idle connections by address.
pub struct ConnectionPool {
    executor: Rc<LocalExecutor<'static>>,
    connect_timeout: Duration,
    options: ConnectOptions,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    counts: RefCell<ConnectionCounts>,
    /// Outcomes of the latest connection attempts: the address, and whether it was connected.
    connects: RefCell<VecDeque<(SocketAddr, bool)>>,
}

/// An answer whose body has not been read, with its connection.
pub struct UnreadAnswer {
    /// Head and unread body.
    pub response: Response<Incoming>,
    /// Must be released to the pool after the body has been read to its end.
    pub connection: ActiveConnection,
}

/// A connection that is in use by a request. Dropping it closes the connection.
pub struct ActiveConnection {
    address: SocketAddr,
    connection: Connection,
    idle_timeout: Duration,
    /// Dropped together with the connection, or when it is released.
    attached: Option<Box<dyn Any>>,
}

impl Connection {
    fn record_request(&mut self, name: Option<RequestName>) {
        self.request_count += 1;
        if self.requests.len() >= REQUEST_NAMES_MAX {
            self.requests.pop_front();
        }
        self.requests.extend(name);
    }
}

impl ActiveConnection {
    /// Returns whether the connection was opened for this request. An answer that names no request
    /// can then not be a copy of an earlier one.
    pub(crate) fn is_new(&self) -> bool {
        self.connection.request_count == 1
    }

    /// Attaches a value that is dropped when the connection is no longer in use.
    pub(crate) fn keep_with(&mut self, attached: Box<dyn Any>) {
        self.attached = Some(attached);
    }

    /// Returns whether the connection leads to another host, which passes the request on.
    pub(crate) fn is_relayed(&self) -> bool {
        self.attached.is_some()
    }

    /// Limits the bytes that the connection may receive from now on. It is closed if it receives
    /// more. The framing of a body counts as well as its content.
    pub fn limit_received(&self, bytes: usize) {
        self.connection.control.limit_received(bytes);
    }
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        self.expires_at > now && self.connection.sender.is_ready()
    }
}

impl ConnectionPool {
    /// Creates an empty pool. Its connections run on `executor` and must be established within
    /// `connect_timeout`.
    pub fn new(executor: Rc<LocalExecutor<'static>>, connect_timeout: Duration) -> Self {
        Self {
            executor,
            connect_timeout,
            options: ConnectOptions::default(),
            idle: RefCell::default(),
            counts: RefCell::default(),
            connects: RefCell::default(),
        }
    }

    /// Sets the options of its connections.
    #[must_use]
    pub(crate) fn with_options(self, options: ConnectOptions) -> Self {
        Self { options, ..self }
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> ConnectionCounts {
        *self.counts.borrow()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`], which distinguishes requests that were not sent from those that may
    /// have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<UnreadAnswer, SendError> {
        loop {
            let name = request.extensions().get::<RequestName>().cloned();
            let (mut connection, is_reused) = match self.take_idle(address, name.as_ref()) {
                Some(connection) => (connection, true),
                None => {
                    let connected = self.connect(address, deadline).await;
                    (connected.map_err(|_| SendError::NotConnected)?, false)
                }
            };
            if request.extensions().get().is_some_and(CallerGone::is_set) {
                return Err(SendError::CallerGone);
            }
            connection.record_request(name);
            connection.control.limit_received(BYTES_BEFORE_BODY_MAX);
            connection.control.set_progress(request.extensions().get().cloned());
            let sent = connection.sender.try_send_request(request);
            match within(deadline, sent).await {
                None => return Err(SendError::TimedOut),
                Some(Ok(response)) => {
                    let idle_timeout = idle_timeout(&response);
                    let connection =
                        ActiveConnection { address, connection, idle_timeout, attached: None };
                    return Ok(UnreadAnswer { response, connection });
                }
                Some(Err(mut error)) => match error.take_message() {
                    // Nothing of the request was written. An upstream without capacity closes a new
                    // connection at once, so the request is retried only on a reused one.
                    Some(unsent) if is_reused => request = unsent,
                    Some(_) => return Err(SendError::NotConnected),
                    None => return Err(SendError::Broken),
                },
            }
        }
    }

    fn take_idle(&self, address: SocketAddr, name: Option<&RequestName>) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let may_take = |idle: &IdleConnection| {
            let has_carried = name.is_some_and(|name| idle.connection.requests.contains(name));
            idle.is_usable(now) && !has_carried
        };
        let index = connections.iter().rposition(may_take)?;
        self.counts.borrow_mut().reused += 1;
        Some(connections.remove(index).connection)
    }

    /// Returns whether an idle connection to an address is open.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        let idle = self.idle.borrow();
        let connections = idle.get(&address);
        connections.is_some_and(|list| list.iter().any(|idle| idle.connection.sender.is_ready()))
    }

    /// Checks whether a process accepts connections at an address. A connection that it accepts is
    /// kept for a later request, if there are not `idle_max` already.
    pub async fn probe_listener(
        &self,
        address: SocketAddr,
        deadline: Instant,
        idle_max: usize,
    ) -> ListenerState {
        match self.connect(address, deadline).await {
            Ok(connection) => {
                let idle_timeout = IDLE_TIMEOUT_DEFAULT;
                let connection =
                    ActiveConnection { address, connection, idle_timeout, attached: None };
                self.release_up_to(connection, idle_max);
                ListenerState::Present
            }
            Err(state) => state,
        }
    }

    /// Opens a connection. Returns the state of the listener if that fails.
    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Connection, ListenerState> {
        let deadline = deadline.min(Instant::now() + self.connect_timeout);
        let connected = within(deadline, connect(address, &self.options)).await;
        let stream = match connected {
            Some(Ok(stream)) => stream,
            Some(Err(error)) => {
                self.record_connect(address, false);
                log::debug!("failed to connect to {address}: {error}");
                return Err(match error.kind() {
                    io::ErrorKind::ConnectionRefused => ListenerState::Absent,
                    _ => ListenerState::Unknown,
                });
            }
            None => {
                self.record_connect(address, false);
                return Err(ListenerState::Unknown);
            }
        };
        set_options(&stream);
        self.record_connect(address, true);
        let control = ConnectionControl::new(BYTES_BEFORE_BODY_MAX);
        let handshake = http1::Builder::new()
            .max_header_size(ANSWER_HEAD_BYTES_MAX)
            .max_buf_size(RECEIVE_BUFFER_BYTES_MAX)
            .handshake(LimitedStream::new(stream, control.clone()))
            .await;
        let (sender, connection) = handshake.map_err(|_| ListenerState::Unknown)?;
        let run = async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} closed with an error: {error}");
            }
        };
        self.executor.spawn(run).detach();
        Ok(Connection { sender, control, requests: VecDeque::new(), request_count: 0 })
    }

    fn record_connect(&self, address: SocketAddr, is_connected: bool) {
        let counts = &mut *self.counts.borrow_mut();
        let count = if is_connected { &mut counts.opened } else { &mut counts.failed };
        *count += 1;
        let mut connects = self.connects.borrow_mut();
        if connects.len() >= CONNECTS_MAX {
            connects.pop_front();
        }
        connects.push_back((address, is_connected));
    }

    /// Returns the outcomes of the connection attempts since the last call, oldest first: the
    /// address, and whether it was connected.
    pub(crate) fn take_connects(&self) -> VecDeque<(SocketAddr, bool)> {
        std::mem::take(&mut self.connects.borrow_mut())
    }

    /// Closes the idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Returns a connection to the pool after its answer has been read to the end.
    pub fn release(&self, connection: ActiveConnection) {
        self.release_up_to(connection, IDLE_CONNECTIONS_MAX);
    }

    /// Like [`Self::release`], for an address that may have at most `idle_max` idle connections.
    pub fn release_up_to(&self, connection: ActiveConnection, idle_max: usize) {
        let ActiveConnection { address, connection, idle_timeout, .. } = connection;
        if connection.sender.is_closed() || idle_timeout.is_zero() {
            return;
        }
        connection.control.limit_received(BYTES_BEFORE_BODY_MAX);
        connection.control.set_progress(None);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < idle_max.min(IDLE_CONNECTIONS_MAX) {
            let expires_at = Instant::now() + idle_timeout;
            connections.push(IdleConnection { connection, expires_at });
        }
    }

    /// Closes idle connections that have expired or are closed.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.is_usable(now));
            !connections.is_empty()
        });
    }

    /// Sends a request and reads the complete answer, whose body may have at most `body_max` bytes.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`], which distinguishes requests that were not sent from those that may
    /// have run.
    pub async fn send_and_read(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        body_max: usize,
        deadline: Instant,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let UnreadAnswer { response, connection } = self.send(address, request, deadline).await?;
        connection.limit_received(body_max + BYTES_BEFORE_BODY_MAX);
        let status = response.status();
        match within(deadline, read_limited(response.into_body(), body_max)).await {
            None => Err(SendError::TimedOut),
            Some(Err(error)) => {
                log::debug!("failed to read the answer of {address}: {error}");
                Err(SendError::Broken)
            }
            Some(Ok(body)) => {
                self.release(connection);
                Ok((status, body))
            }
        }
    }
}

/// Reads a body to its end. Its frames are copied, because each holds the buffer that it is a part of, and
/// a peer may send one for each byte.
async fn read_limited(
    body: Incoming,
    bytes_max: usize,
) -> Result<Bytes, Box<dyn Error + Send + Sync>> {
    let mut body = Limited::new(body, bytes_max);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

/// Sets the socket options of a connection: no delay for small writes, and detection of peers that
/// no longer answer.
pub(crate) fn set_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_MAX);
    let options = [
        ("TCP_NODELAY", socket.set_tcp_nodelay(true)),
        ("SO_KEEPALIVE", socket.set_tcp_keepalive(&probes)),
        ("TCP_USER_TIMEOUT", socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))),
    ];
    for (name, outcome) in options {
        if let Err(error) = outcome {
            log::debug!("failed to set socket option {name}; continuing without it: {error}");
        }
    }
}

/// Sets how long written bytes may stay unacknowledged, or may not be sent because the peer does not
/// read.
pub(crate) fn set_unacknowledged_timeout(stream: &TcpStream, timeout: Duration) {
    let socket = socket2::SockRef::from(stream);
    if let Err(error) = socket.set_tcp_user_timeout(Some(timeout)) {
        log::debug!("failed to set socket option TCP_USER_TIMEOUT; keeping the former: {error}");
    }
}

/// Returns how long the connection of an answer may stay idle: the timeout that the peer announces,
/// minus a margin.
fn idle_timeout<B>(response: &Response<B>) -> Duration {
    let keep_alive = response.headers().get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout_s = keep_alive.and_then(|value| {
        value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    let closes = response.headers().get(header::CONNECTION).is_some_and(|value| value == "close");
    match timeout_s {
        _ if closes => Duration::ZERO,
        Some(seconds) => {
            Duration::from_secs(seconds).min(IDLE_TIMEOUT_MAX).saturating_sub(IDLE_MARGIN)
        }
        None => IDLE_TIMEOUT_DEFAULT,
    }
}
