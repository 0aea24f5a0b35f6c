//! The port of a cut link.

use {
    socket2::{Domain, Protocol, Socket, Type},
    std::{
        io::ErrorKind,
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
    trefoilring_standin::fleet::{LinkFault, LinkProxy, StoreStandin, loopback},
};

/// Time in which the proxy has closed its listener.
const CLOSING_TIME: Duration = Duration::from_millis(200);

fn bind(address: SocketAddr) -> Result<(), ErrorKind> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP)).expect("a socket");
    socket.bind(&address.into()).map_err(|error| error.kind())
}

/// Guards against a cut link that appears to work: whoever got its port answered in place of nobody.
#[test]
fn port_of_a_link_without_a_listener_stays_taken() {
    smol::block_on(async {
        let store = StoreStandin::start().await.expect("a port");
        let proxy = LinkProxy::start(store.address).await.expect("a port");
        // No connection keeps the port in use, only the proxy itself.
        proxy.set_fault(LinkFault::NoListener);
        smol::Timer::after(CLOSING_TIME).await;
        assert_eq!(bind(proxy.address), Err(ErrorKind::AddrInUse));
        proxy.set_fault(LinkFault::None);
        let connect = || TcpStream::connect(proxy.address).map(drop).map_err(|error| error.kind());
        for _ in 0..3 {
            while connect().is_err() {
                smol::future::yield_now().await;
            }
            proxy.set_fault(LinkFault::NoListener);
            while connect().is_ok() {
                smol::future::yield_now().await;
            }
            assert_eq!(connect(), Err(ErrorKind::ConnectionRefused));
            proxy.set_fault(LinkFault::None);
        }
    });
}

#[test]
fn sites_have_addresses_of_their_own() {
    smol::block_on(async {
        let mut addresses = Vec::new();
        for _ in 0..3 {
            loopback::begin_site();
            let store = StoreStandin::start().await.expect("a port");
            let view = store.open_address().await.expect("a port");
            assert_eq!(view.address.ip(), store.address.ip());
            addresses.push(store.address.ip());
        }
        addresses.dedup();
        let expected = if cfg!(target_os = "linux") { 3 } else { 1 };
        assert_eq!(addresses.len(), expected);
    });
}
