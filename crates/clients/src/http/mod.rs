//! HTTP/1.1 client for one address, based on async-h1, with a pool of idle connections.
//!
//! This module opens the connections itself, so that it can detect whether any byte of a request
//! was written. A connection returns to the pool only after its answer was read completely.

mod connection;
mod exchange;
mod headers;

pub use headers::is_forbidden_header;

pub(crate) use {
    exchange::{BufferedResponse, OutgoingRequest, StreamedResponse, status_error},
    headers::forwardable_headers,
};

use {
    crate::error::{CallError, ErrorKind},
    connection::Connection,
    smol::{Timer, future::FutureExt, net::TcpStream},
    std::{
        future::Future,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Maximum number of idle connections per client.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Idle time after which a pooled connection is dropped, to do so before the server closes it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(15);
/// Delays before the checks of [`has_ended`]. A process that is killed may close its connections
/// shortly before its listener.
const LISTENER_CHECK_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(100)];
/// Timeout of one check. A process that has ended refuses connections at once.
const LISTENER_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether a call may reuse an idle connection.
///
/// A server may close an idle connection while a request is written to it. Such a call gets the
/// verdict `may_have_run` although it did not run, so calls that need an exact verdict use a new
/// connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reuse {
    /// Use an idle connection if there is one.
    Pooled,
    /// Open a new connection.
    Fresh,
}

/// A client for one address. Clones share the pool of idle connections.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    pool: Arc<Mutex<Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, pool: Arc::default() }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns when the head of the answer is received.
    pub(crate) async fn send(
        &self,
        outgoing: OutgoingRequest,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<StreamedResponse, CallError> {
        let (max_body_bytes, max_read_bytes) = (outgoing.max_body_bytes, outgoing.max_read_bytes());
        let request = outgoing.into_request(self.address)?;
        let connection = self.acquire(reuse, deadline).await?;
        connection.begin(max_read_bytes);
        exchange::execute(self.clone(), connection, request, max_body_bytes, deadline).await
    }

    /// Sends a request and reads the complete answer.
    pub(crate) async fn call(
        &self,
        outgoing: OutgoingRequest,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<BufferedResponse, CallError> {
        self.send(outgoing, reuse, deadline).await?.read_all(deadline).await
    }

    async fn acquire(&self, reuse: Reuse, deadline: Instant) -> Result<Connection, CallError> {
        if reuse == Reuse::Pooled
            && let Some(connection) = self.take_idle()
        {
            return Ok(connection);
        }
        let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let stream = until_deadline(connect_deadline, TcpStream::connect(self.address))
            .await
            .ok_or_else(|| {
                CallError::not_run(
                    ErrorKind::Connect,
                    format!("{}: no connection in time", self.address),
                )
            })?;
        let stream = stream.map_err(|error| {
            CallError::not_run(ErrorKind::Connect, format!("{}: {error}", self.address))
        })?;
        // Without TCP_NODELAY, Nagle's algorithm holds back the last packet of a request until the
        // first one is acknowledged.
        stream.set_nodelay(true).ok();
        Ok(Connection::new(stream))
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        pool.retain(|idle| idle.since.elapsed() < MAX_IDLE_TIME);
        while let Some(idle) = pool.pop() {
            if idle.connection.is_idle() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn release(&self, connection: Connection) {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if pool.len() < MAX_IDLE_CONNECTIONS {
            pool.push(IdleConnection { connection, since: Instant::now() });
        }
    }
}

/// Returns whether the process at an address has ended: connections are refused.
pub async fn has_ended(address: SocketAddr) -> bool {
    for delay in LISTENER_CHECK_DELAYS {
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        let deadline = Instant::now() + LISTENER_CHECK_TIMEOUT;
        let connected = until_deadline(deadline, TcpStream::connect(address)).await;
        if matches!(connected, Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
        {
            return true;
        }
    }
    false
}

/// Runs a future until the deadline. Returns `None` if the deadline has passed, even if the future
/// is ready at the same time.
pub(crate) async fn until_deadline<T>(
    deadline: Instant,
    work: impl Future<Output = T>,
) -> Option<T> {
    let timer = async {
        Timer::at(deadline).await;
        None
    };
    timer.or(async { Some(work.await) }).await
}

#[cfg(test)]
mod tests;
