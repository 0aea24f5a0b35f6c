//! Accepts connections and serves each in its own task.

use {
    crate::{
        gateway::Gateway,
        inbound::{Accepted, IDLE_BYTES},
        memory::DropSignal,
        time::within,
    },
    smol::{
        Timer,
        net::{TcpListener, TcpStream},
    },
    std::{
        future::Future,
        io,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::memory::Class,
    trefoilring_net::ListenOptions,
};

/// Pause after a failed accept. If the process has run out of file descriptors, open connections
/// can end in the meantime.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long a new connection waits until one that is dropped for it is closed.
const DROP_WAIT: Duration = Duration::from_millis(20);

/// Binds an address and serves all connections to it while the gateway runs. Returns the bound
/// address.
pub(crate) async fn listen<F, S>(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    options: &ListenOptions,
    serve: S,
) -> io::Result<SocketAddr>
where
    F: Future<Output = ()> + 'static,
    S: Fn(Rc<Gateway>, Accepted) -> F + 'static,
{
    let listener = trefoilring_net::listen_with(address, options)?;
    let bound = listener.local_addr()?;
    let task_gateway = gateway.clone();
    gateway.spawn(async move { accept_all(&task_gateway, &listener, serve).await });
    Ok(bound)
}

/// Accepts and serves connections. Never returns.
pub(crate) async fn accept_all<F, S>(gateway: &Rc<Gateway>, listener: &TcpListener, serve: S)
where
    F: Future<Output = ()> + 'static,
    S: Fn(Rc<Gateway>, Accepted) -> F,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match open_account(gateway, stream).await {
                Some(accepted) => gateway.spawn(serve(gateway.clone(), accepted)),
                None => gateway.metrics.count("connections_refused", 1),
            },
            Err(error) => {
                log::warn!("failed to accept a connection; retrying after a pause: {error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Reserves the memory of a new connection. Returns `None` if there are too many others, none of which
/// is idle. The connection is closed then: its peer has no answer that could be taken for another one.
async fn open_account(gateway: &Rc<Gateway>, stream: TcpStream) -> Option<Accepted> {
    let signal = Rc::new(DropSignal::default());
    let bytes = IDLE_BYTES + gateway.memory.sockets().unread_bytes_max();
    let reserve = || gateway.memory.reserve(Class::Connection, None, bytes, &signal);
    let released = gateway.memory.released().listen();
    let reservation = match reserve() {
        Ok(reservation) => reservation,
        Err(denied) if denied.victims.is_empty() => return None,
        Err(_) => {
            within(Instant::now() + DROP_WAIT, released).await;
            reserve().ok()?
        }
    };
    Some(Accepted { stream, reservation, signal })
}
