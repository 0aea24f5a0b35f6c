//! TCP listeners whose backlog holds bursts of new connections, receive buffers of a known size, and
//! turns for connections whose peers send without pause.
//!
//! The standard library requests a backlog of 128 connections that wait to be accepted. The kernel
//! drops the SYN packet of each further connection, and the client retransmits it after a second or
//! more: too late for most callers, and beyond the connect timeouts of many clients.
//!
//! A receive buffer that is not set grows to megabytes while its peer sends faster than it is read,
//! and each connection has one, also while it waits to be accepted. One that is set before the
//! connection is established keeps its size.

mod connect;
mod read_turns;

pub use {
    connect::{ConnectOptions, connect},
    read_turns::ReadTurns,
};

use {
    smol::{Async, net::TcpListener},
    socket2::{Domain, Protocol, Socket, Type},
    std::{
        io,
        net::{self, SocketAddr},
    },
};

/// Maximum number of connections that wait to be accepted. When another host is lost, its callers
/// reconnect at the same time, with a few connections each. The kernel caps it at
/// `net.core.somaxconn`, 4096 by default.
pub const BACKLOG: u32 = 1024;
/// Size of the receive buffers of connections, as requested from the kernel. The head and the body of
/// most requests fit.
pub const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// What the connections of a listener may hold before they are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenOptions {
    /// Maximum number of connections that wait to be accepted.
    pub backlog: u32,
    /// Size of their receive buffers in bytes, as requested from the kernel.
    pub receive_buffer_bytes: usize,
}

impl Default for ListenOptions {
    fn default() -> Self {
        Self { backlog: BACKLOG, receive_buffer_bytes: RECEIVE_BUFFER_BYTES }
    }
}

/// Returns how many bytes may have arrived at a socket without being read. Linux doubles the size that is
/// requested for a receive buffer, to make room for its own data.
pub const fn unread_bytes_max(receive_buffer_bytes: usize) -> usize {
    2 * receive_buffer_bytes
}

/// Listens at an address, with the default options. With port 0 the kernel chooses a free port.
///
/// # Errors
///
/// Fails if the address can't be bound, or the socket can't be created or listen.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    listen_with(address, &ListenOptions::default())
}

/// Like [`listen`], with options.
///
/// # Errors
///
/// Fails if the address can't be bound, or the socket can't be created or listen.
pub fn listen_with(address: SocketAddr, options: &ListenOptions) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Lets a restarted host bind its port while old connections are in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.set_recv_buffer_size(options.receive_buffer_bytes)?;
    socket.bind(&address.into())?;
    socket.listen(options.backlog.try_into().unwrap_or(i32::MAX))?;
    Ok(Async::new(net::TcpListener::from(socket))?.into())
}
