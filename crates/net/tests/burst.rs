//! A burst of connections that are opened before any is accepted.

use {
    std::{
        net::{Ipv4Addr, TcpStream},
        time::Duration,
    },
    trefoilring_net::listen,
};

/// Concurrent callers: several times the backlog that the standard library requests.
const CALLERS: usize = 500;
/// Timeout of a connection attempt. It is shorter than the one second after which a dropped SYN
/// packet is retransmitted, and far above a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

#[test]
fn burst_waits_in_the_accept_queue() {
    let listener = listen((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let address = listener.local_addr().unwrap();
    let connect = |_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
    let connected: Vec<_> = (0..CALLERS).map(connect).collect();
    let failed = connected.iter().filter(|stream| stream.is_err()).count();
    assert_eq!(failed, 0, "failed connections, of {CALLERS}");
}
