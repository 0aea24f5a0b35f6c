//! TCP listeners whose backlog holds bursts of new connections, and turns for connections whose
//! peers send without pause.
//!
//! The standard library requests a backlog of 128 connections that wait to be accepted. The kernel
//! drops the SYN packet of each further connection, and the client retransmits it after a second or
//! more: too late for most callers, and beyond the connect timeouts of many clients.

mod read_turns;

pub use read_turns::ReadTurns;

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
const BACKLOG: i32 = 1024;

/// Listens at an address. With port 0 the kernel chooses a free port.
///
/// # Errors
///
/// Fails if the address can't be bound, or the socket can't be created or listen.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Lets a restarted host bind its port while old connections are in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(Async::new(net::TcpListener::from(socket))?.into())
}
