//! Listeners that hold bursts of new connections.
//!
//! The standard library asks for a queue of 128 connections that wait to be accepted. The kernel drops
//! the opening packet of each further one, and the other side sends it again after a second or more:
//! late for most callers, and beyond the connect timeouts of many clients.

use {
    smol::{Async, net::TcpListener},
    socket2::{Domain, Protocol, Socket, Type},
    std::{
        io,
        net::{self, SocketAddr},
    },
};

/// Connections that may wait to be accepted: a few for each caller that comes at once when another host
/// is lost. The kernel lowers it to its own limit (`net.core.somaxconn`, 4096 by default).
const PENDING_CONNECTIONS_MAX: i32 = 1024;

/// Listens at an address; port 0 takes one from the kernel.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A host that restarts takes its port back while old connections still time out.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(PENDING_CONNECTIONS_MAX)?;
    Ok(Async::new(net::TcpListener::from(socket))?.into())
}
