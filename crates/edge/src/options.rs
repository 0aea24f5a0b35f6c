//! Size, count and time limits of the HTTP interface.

use std::time::Duration;

/// Maximum length of a head that async-h1 parses, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
/// Maximum number of headers that async-h1 parses.
pub const MAX_HEADERS: usize = 128;

/// Limits of the HTTP interface: sizes, counts and timeouts. Most of them bound what a caller can
/// use before its request runs.
///
/// Built by chaining setters on the default. The setters lower values above [`MAX_HEAD_BYTES`] and
/// [`MAX_HEADERS`] to these limits.
#[derive(Clone, Debug)]
pub struct EdgeOptions {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of the bodies of all requests together, in bytes. A body that finds no room waits
    /// unread for a moment and is then refused with a 503 reply. At least `max_body_bytes`.
    pub max_bodies_bytes: usize,
    /// Maximum number of headers of a request.
    pub max_headers: usize,
    /// Maximum size of a head (request line and headers), in bytes.
    pub max_head_bytes: usize,
    /// Time limit for receiving a head, measured from its first byte.
    pub head_timeout: Duration,
    /// Time limit for receiving a body, measured from the end of the head.
    pub body_timeout: Duration,
    /// Time limit for one write to the caller.
    pub write_timeout: Duration,
    /// Maximum number of open connections. Further ones are refused with a 503 reply.
    pub max_connections: usize,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Whether `/metrics` is served. It needs no key.
    pub serves_metrics: bool,
}

impl Default for EdgeOptions {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 * 1024 * 1024,
            max_bodies_bytes: 256 * 1024 * 1024,
            max_headers: 64,
            max_head_bytes: MAX_HEAD_BYTES,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(30),
            max_connections: 4096,
            idle_timeout: Duration::from_secs(60),
            serves_metrics: true,
        }
    }
}

impl EdgeOptions {
    /// Sets the maximum size of a request body.
    pub fn max_body_bytes(mut self, bytes: usize) -> Self {
        self.max_body_bytes = bytes;
        self
    }

    /// Sets the maximum size of all bodies together.
    pub fn max_bodies_bytes(mut self, bytes: usize) -> Self {
        self.max_bodies_bytes = bytes;
        self
    }

    /// Sets the maximum number of headers, at most [`MAX_HEADERS`].
    pub fn max_headers(mut self, count: usize) -> Self {
        self.max_headers = count.min(MAX_HEADERS);
        self
    }

    /// Sets the maximum size of a head, at most [`MAX_HEAD_BYTES`].
    pub fn max_head_bytes(mut self, bytes: usize) -> Self {
        self.max_head_bytes = bytes.min(MAX_HEAD_BYTES);
        self
    }

    /// Sets the time limit for receiving a head.
    pub fn head_timeout(mut self, timeout: Duration) -> Self {
        self.head_timeout = timeout;
        self
    }

    /// Sets the time limit for receiving a body.
    pub fn body_timeout(mut self, timeout: Duration) -> Self {
        self.body_timeout = timeout;
        self
    }

    /// Sets the time limit for one write to the caller.
    pub fn write_timeout(mut self, timeout: Duration) -> Self {
        self.write_timeout = timeout;
        self
    }

    /// Sets the maximum number of open connections.
    pub fn max_connections(mut self, count: usize) -> Self {
        self.max_connections = count;
        self
    }

    /// Sets the idle timeout of connections.
    pub fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Sets whether `/metrics` is served.
    pub fn serve_metrics(mut self, is_served: bool) -> Self {
        self.serves_metrics = is_served;
        self
    }
}
