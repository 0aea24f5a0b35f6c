//! Accepts connections and serves each in its own task.

use {
    crate::gateway::Gateway,
    smol::{
        Timer,
        net::{TcpListener, TcpStream},
    },
    std::{future::Future, io, net::SocketAddr, rc::Rc, time::Duration},
};

/// Pause after a failed accept. If the process has run out of file descriptors, open connections
/// can end in the meantime.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Binds an address and serves all connections to it while the gateway runs. Returns the bound
/// address.
pub(crate) async fn listen<F, S>(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    serve: S,
) -> io::Result<SocketAddr>
where
    F: Future<Output = ()> + 'static,
    S: Fn(Rc<Gateway>, TcpStream) -> F + 'static,
{
    let listener = trefoilring_net::listen(address)?;
    let bound = listener.local_addr()?;
    let task_gateway = gateway.clone();
    gateway.spawn(async move { accept_all(&task_gateway, &listener, serve).await });
    Ok(bound)
}

/// Accepts and serves connections. Never returns.
pub(crate) async fn accept_all<F, S>(gateway: &Rc<Gateway>, listener: &TcpListener, serve: S)
where
    F: Future<Output = ()> + 'static,
    S: Fn(Rc<Gateway>, TcpStream) -> F,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => gateway.spawn(serve(gateway.clone(), stream)),
            Err(error) => {
                log::warn!("failed to accept a connection; retrying after a pause: {error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}
