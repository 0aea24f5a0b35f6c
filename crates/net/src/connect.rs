//! Connections to other processes.

use {
    crate::RECEIVE_BUFFER_BYTES,
    smol::{Async, net::TcpStream},
    socket2::{Domain, Protocol, Socket, Type},
    std::{
        io,
        net::{self, SocketAddr},
    },
};

/// What a connection may hold before it is read or sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectOptions {
    /// Size of its receive buffer in bytes, as requested from the kernel.
    pub receive_buffer_bytes: usize,
    /// Bytes that the kernel takes before it has sent them, on Linux. Without a bound it takes up to some
    /// megabytes, and the one who writes them can't tell a link that carries them slowly from one that
    /// carries none. With a bound, an answer that comes before all is written, from a peer that then
    /// closes the connection, is more often lost.
    pub unsent_bytes_max: Option<u32>,
}

impl Default for ConnectOptions {
    fn default() -> Self {
        Self { receive_buffer_bytes: RECEIVE_BUFFER_BYTES, unsent_bytes_max: None }
    }
}

/// Connects to an address.
///
/// # Errors
///
/// Fails if the peer refuses the connection or can't be reached, or the socket can't be created.
pub async fn connect(address: SocketAddr, options: &ConnectOptions) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_recv_buffer_size(options.receive_buffer_bytes)?;
    #[cfg(any(target_os = "android", target_os = "linux"))]
    if let Some(bytes) = options.unsent_bytes_max {
        socket.set_tcp_notsent_lowat(bytes)?;
    }
    socket.set_nonblocking(true)?;
    if let Err(error) = socket.connect(&address.into())
        && !is_in_progress(&error)
    {
        return Err(error);
    }
    let stream = Async::new(net::TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(stream.into()),
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock
        || error.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error())
}
