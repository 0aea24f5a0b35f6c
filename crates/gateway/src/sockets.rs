//! Receive buffers and backlogs of this host's sockets. Bytes that have arrived and have not been read
//! count as memory of the host, so their maximum follows from the memory.

use trefoilring_net::{ConnectOptions, ListenOptions, unread_bytes_max};

/// Part of the memory that a receive buffer has.
const RECEIVE_BUFFER_FRACTION: u64 = 4 * 1024;
const RECEIVE_BUFFER_BYTES_MIN: u64 = 16 * 1024;
/// Receives tens of megabytes a second even where a round trip takes milliseconds.
const RECEIVE_BUFFER_BYTES_MAX: u64 = 64 * 1024;
/// Bytes of a message to another host that the kernel takes before it has sent them. The progress of a
/// message shows what the link carries.
const PEER_UNSENT_BYTES_MAX: u32 = 64 * 1024;
/// Maximum numbers of connections that wait to be accepted. Callers of a lost host and hosts after a
/// restart connect in bursts, the platform and the operators one at a time.
const CALLERS_BACKLOG: u32 = 128;
const PEERS_BACKLOG: u32 = 64;
const STATUS_BACKLOG: u32 = 32;

/// What the sockets of a host may hold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SocketLimits {
    receive_buffer_bytes: usize,
}

impl SocketLimits {
    /// Returns the limits of a host with this much memory.
    pub(crate) fn new(host_memory_bytes: u64) -> Self {
        let bytes = (host_memory_bytes / RECEIVE_BUFFER_FRACTION)
            .clamp(RECEIVE_BUFFER_BYTES_MIN, RECEIVE_BUFFER_BYTES_MAX);
        Self { receive_buffer_bytes: bytes as usize }
    }

    pub(crate) fn callers(&self) -> ListenOptions {
        self.listen(CALLERS_BACKLOG)
    }

    pub(crate) fn peers(&self) -> ListenOptions {
        self.listen(PEERS_BACKLOG)
    }

    /// Returns the options of the listeners for readiness and metrics.
    pub(crate) fn status(&self) -> ListenOptions {
        self.listen(STATUS_BACKLOG)
    }

    /// Returns the options of connections to upstreams and the store.
    pub(crate) fn connect(&self) -> ConnectOptions {
        ConnectOptions { receive_buffer_bytes: self.receive_buffer_bytes, unsent_bytes_max: None }
    }

    /// Returns the options of connections to other hosts, which read each message to its end.
    pub(crate) fn connect_to_peers(&self) -> ConnectOptions {
        ConnectOptions { unsent_bytes_max: Some(PEER_UNSENT_BYTES_MAX), ..self.connect() }
    }

    /// Returns how many bytes may have arrived at a connection without being read.
    pub(crate) fn unread_bytes_max(&self) -> usize {
        unread_bytes_max(self.receive_buffer_bytes)
    }

    /// Returns how many bytes may have arrived at connections that are not accepted.
    pub(crate) fn unaccepted_bytes_max(&self) -> usize {
        let connections = CALLERS_BACKLOG + PEERS_BACKLOG + 2 * STATUS_BACKLOG;
        connections as usize * self.unread_bytes_max()
    }

    fn listen(&self, backlog: u32) -> ListenOptions {
        ListenOptions { backlog, receive_buffer_bytes: self.receive_buffer_bytes }
    }
}

#[cfg(test)]
mod tests;
