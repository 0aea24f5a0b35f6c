//! HTTP/1.1 connections to upstreams, to the store and to other hosts.
//!
//! `hyper` frames and parses; what is here is which connection a request uses, and what may be said
//! of a request that failed. A connection that was idle may have been closed by its other end: a
//! request that was not written to it is sent on another one, everything else may have run.

use {
    crate::time::within,
    bytes::Bytes,
    derive_more::Display,
    http::{Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    smol::{LocalExecutor, net::TcpStream},
    smol_hyper::rt::FuturesIo,
    std::{
        cell::RefCell,
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// How long written bytes may stay unacknowledged before the kernel ends a connection. Longer than
/// a few retransmissions, shorter than callers wait.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2000);
/// How often a connection on which nothing comes is probed: one may go silent without a reset.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which it is taken as broken.
const KEEPALIVE_PROBES_MAX: u32 = 2;
/// How long an idle connection is kept when its other end names no time.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);
/// Margin before the time at which the other end closes an idle connection.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept to one address.
const IDLE_CONNECTIONS_MAX: usize = 16;
/// Largest head of an answer.
const ANSWER_HEAD_BYTES_MAX: usize = 64 * 1024;

/// Why a request failed, and whether it may have run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SendError {
    /// No connection could be made: nothing was sent.
    #[display("no connection")]
    NotConnected,
    /// The request was sent, in part at least; its end is unknown.
    #[display("the connection broke")]
    Broken,
    /// The time was over after the request was sent.
    #[display("no answer in time")]
    TimedOut,
}

/// Counts of what was done, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionCounts {
    /// ConnectionPool made.
    pub opened: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Requests sent on a connection that had been used before.
    pub reused: u64,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    /// When the other end may close it.
    expires_at: Instant,
}

/// ConnectionPool by address.
pub struct ConnectionPool {
    executor: Rc<LocalExecutor<'static>>,
    connect_timeout: Duration,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    counts: RefCell<ConnectionCounts>,
}

/// An answer whose body has not been read, with the connection that it came on.
pub struct Answer {
    /// Status, head and body.
    pub response: Response<Incoming>,
    /// To be given back once the body was read to its end.
    pub connection: ActiveConnection,
}

/// A connection in use.
pub struct ActiveConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    idle_timeout: Duration,
}

impl ConnectionPool {
    /// Makes an empty pool whose connections run on `executor` and take up to `connect_timeout`.
    pub fn new(executor: Rc<LocalExecutor<'static>>, connect_timeout: Duration) -> Self {
        Self { executor, connect_timeout, idle: RefCell::default(), counts: RefCell::default() }
    }

    /// Counts so far.
    pub fn counts(&self) -> ConnectionCounts {
        *self.counts.borrow()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Says whether the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Answer, SendError> {
        loop {
            let (mut sender, is_reused) = match self.take_idle(address) {
                Some(sender) => (sender, true),
                None => (self.connect(address, deadline).await?, false),
            };
            let sent = sender.try_send_request(request);
            match within(deadline, sent).await {
                None => return Err(SendError::TimedOut),
                Some(Ok(response)) => {
                    let idle_timeout = idle_timeout(&response);
                    let connection = ActiveConnection { address, sender, idle_timeout };
                    return Ok(Answer { response, connection });
                }
                Some(Err(mut error)) => match error.take_message() {
                    // Nothing of it was written. A new connection that closes at once is an
                    // upstream without room.
                    Some(unsent) if is_reused => request = unsent,
                    Some(_) => return Err(SendError::NotConnected),
                    None => return Err(SendError::Broken),
                },
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.expires_at > now && connection.sender.is_ready() {
                self.counts.borrow_mut().reused += 1;
                return Some(connection.sender);
            }
        }
        None
    }

    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let deadline = deadline.min(Instant::now() + self.connect_timeout);
        let connected = within(deadline, TcpStream::connect(address)).await;
        let stream = match connected {
            Some(Ok(stream)) => stream,
            Some(Err(error)) => {
                self.counts.borrow_mut().failed += 1;
                log::debug!("{address}: {error}");
                return Err(SendError::NotConnected);
            }
            None => {
                self.counts.borrow_mut().failed += 1;
                return Err(SendError::NotConnected);
            }
        };
        set_options(&stream);
        self.counts.borrow_mut().opened += 1;
        let handshake = http1::Builder::new()
            .max_header_size(ANSWER_HEAD_BYTES_MAX)
            .handshake(FuturesIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|_| SendError::NotConnected)?;
        let run = async move {
            if let Err(error) = connection.await {
                log::debug!("{address}: {error}");
            }
        };
        self.executor.spawn(run).detach();
        Ok(sender)
    }

    /// Keeps a connection whose answer was read to its end for another request.
    pub fn release(&self, connection: ActiveConnection) {
        let ActiveConnection { address, sender, idle_timeout } = connection;
        if sender.is_closed() || idle_timeout.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push(IdleConnection { sender, expires_at: Instant::now() + idle_timeout });
        }
    }

    /// Closes idle connections that are too old.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections
                .retain(|connection| connection.expires_at > now && connection.sender.is_ready());
            !connections.is_empty()
        });
    }

    /// Sends a request and reads the whole answer, of `body_max` bytes at most.
    ///
    /// # Errors
    ///
    /// Says whether the request may have run.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        body_max: usize,
        deadline: Instant,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let Answer { response, connection } = self.send(address, request, deadline).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), body_max).collect();
        match within(deadline, body).await {
            None => Err(SendError::TimedOut),
            Some(Err(error)) => {
                log::debug!("{address}: {error}");
                Err(SendError::Broken)
            }
            Some(Ok(body)) => {
                self.release(connection);
                Ok((status, body.to_bytes()))
            }
        }
    }
}

/// Sets what every connection needs: small writes go out at once, and an end that is silent is
/// noticed.
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
            log::debug!("{name} can't be set: {error}");
        }
    }
}

/// Returns how long the other end keeps the connection of an answer open, with a margin.
fn idle_timeout<B>(response: &Response<B>) -> Duration {
    let keep_alive = response.headers().get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout_s = keep_alive.and_then(|value| {
        value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    let closes = response.headers().get(header::CONNECTION).is_some_and(|value| value == "close");
    match timeout_s {
        _ if closes => Duration::ZERO,
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN),
        None => IDLE_TIMEOUT_DEFAULT,
    }
}
