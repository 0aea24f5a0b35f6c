//! Limits of the HTTP interface.

use std::time::Duration;

/// The longest head that the HTTP library reads, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
/// The most headers that the HTTP library reads.
pub const MAX_HEADERS: usize = 128;

/// Bounds on what one caller may cost before its request runs.
///
/// Built by chaining setters on the default. Values above what the HTTP library reads are lowered
/// to [`MAX_HEAD_BYTES`] and [`MAX_HEADERS`].
#[derive(Clone, Debug)]
pub struct EdgeOptions {
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
    /// The most headers of one request.
    pub max_headers: usize,
    /// The longest head (request line and headers), in bytes.
    pub max_head_bytes: usize,
    /// How long a head may take from its first byte.
    pub head_timeout: Duration,
    /// How long a body may take from the end of the head.
    pub body_timeout: Duration,
    /// How long one write to the caller may make no progress.
    pub write_timeout: Duration,
    /// Connections open at once; further ones are refused with an answer.
    pub max_connections: usize,
    /// How long a connection may stay open between two requests.
    pub idle_timeout: Duration,
    /// Whether `/metrics` is served to all.
    pub has_open_metrics: bool,
}

impl Default for EdgeOptions {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 * 1024 * 1024,
            max_headers: 64,
            max_head_bytes: MAX_HEAD_BYTES,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(30),
            max_connections: 4096,
            idle_timeout: Duration::from_secs(60),
            has_open_metrics: true,
        }
    }
}

impl EdgeOptions {
    /// Sets the largest body.
    pub fn max_body_bytes(mut self, bytes: usize) -> Self {
        self.max_body_bytes = bytes;
        self
    }

    /// Sets the most headers of one request.
    pub fn max_headers(mut self, count: usize) -> Self {
        self.max_headers = count.min(MAX_HEADERS);
        self
    }

    /// Sets the longest head.
    pub fn max_head_bytes(mut self, bytes: usize) -> Self {
        self.max_head_bytes = bytes.min(MAX_HEAD_BYTES);
        self
    }

    /// Sets how long a head may take.
    pub fn head_timeout(mut self, timeout: Duration) -> Self {
        self.head_timeout = timeout;
        self
    }

    /// Sets how long a body may take.
    pub fn body_timeout(mut self, timeout: Duration) -> Self {
        self.body_timeout = timeout;
        self
    }

    /// Sets how long one write may make no progress.
    pub fn write_timeout(mut self, timeout: Duration) -> Self {
        self.write_timeout = timeout;
        self
    }

    /// Sets how many connections may be open at once.
    pub fn max_connections(mut self, count: usize) -> Self {
        self.max_connections = count;
        self
    }

    /// Sets how long a connection may stay open between two requests.
    pub fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Sets whether `/metrics` is served to all.
    pub fn open_metrics(mut self, is_open: bool) -> Self {
        self.has_open_metrics = is_open;
        self
    }
}
