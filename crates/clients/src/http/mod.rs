//! HTTP/1.1 client for one address, based on async-h1, with a pool of idle connections.
//!
//! This module opens the connections itself, so that it can detect whether any byte of a request
//! was written. A connection returns to the pool only after its answer was read completely.

mod connection;
mod exchange;
mod headers;

pub use headers::is_forbidden_header;

pub(crate) use {
    exchange::{Answer, Exchange, Reply, status_error},
    headers::forwardable_headers,
};

use {
    crate::error::{CallError, ErrorKind},
    connection::Connection,
    smol::{Timer, future::FutureExt, net::TcpStream},
    std::{
        future::Future,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Maximum number of idle connections per client.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Connections that were idle for longer are closed, before the server closes them.
const MAX_IDLE: Duration = Duration::from_secs(15);
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
        exchange: Exchange,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<Reply, CallError> {
        let (max_body_bytes, max_read_bytes) = (exchange.max_body_bytes, exchange.max_read_bytes());
        let request = exchange.into_request(self.address)?;
        let connection = self.acquire(reuse, deadline).await?;
        connection.begin(max_read_bytes);
        exchange::execute(self.clone(), connection, request, max_body_bytes, deadline).await
    }

    /// Sends a request and reads the complete answer.
    pub(crate) async fn call(
        &self,
        exchange: Exchange,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<Answer, CallError> {
        self.send(exchange, reuse, deadline).await?.read_all(deadline).await
    }

    async fn acquire(&self, reuse: Reuse, deadline: Instant) -> Result<Connection, CallError> {
        if reuse == Reuse::Pooled
            && let Some(connection) = self.take_idle()
        {
            return Ok(connection);
        }
        let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let stream =
            until_deadline(limit, TcpStream::connect(self.address)).await.ok_or_else(|| {
                CallError::not_run(
                    ErrorKind::Connect,
                    format!("{}: no connection in time", self.address),
                )
            })?;
        let stream = stream.map_err(|error| {
            CallError::not_run(ErrorKind::Connect, format!("{}: {error}", self.address))
        })?;
        // Otherwise Nagle's algorithm holds back the last packet of a request until the first one
        // is acknowledged.
        stream.set_nodelay(true).ok();
        Ok(Connection::new(stream))
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        pool.retain(|idle| idle.since.elapsed() < MAX_IDLE);
        while let Some(idle) = pool.pop() {
            if idle.connection.is_idle() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn release_connection(&self, connection: Connection) {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if pool.len() < MAX_IDLE_CONNECTIONS {
            pool.push(IdleConnection { connection, since: Instant::now() });
        }
    }
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
