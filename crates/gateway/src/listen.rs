//! Listens for connections and serves each in a task of its own.

use {
    crate::gateway::Gateway,
    smol::{
        Timer,
        net::{TcpListener, TcpStream},
    },
    std::{future::Future, io, net::SocketAddr, rc::Rc, time::Duration},
};

/// Pause after a connection that could not be accepted: descriptors are free again when others end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves all connections to an address for as long as the gateway runs. Returns the address that was
/// bound.
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
    let gateway_of_task = gateway.clone();
    gateway.spawn(async move { accept_all(&gateway_of_task, &listener, serve).await });
    Ok(bound)
}

/// Serves connections without end.
pub(crate) async fn accept_all<F, S>(gateway: &Rc<Gateway>, listener: &TcpListener, serve: S)
where
    F: Future<Output = ()> + 'static,
    S: Fn(Rc<Gateway>, TcpStream) -> F,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => gateway.spawn(serve(gateway.clone(), stream)),
            Err(error) => {
                log::warn!("a connection was not accepted: {error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}
