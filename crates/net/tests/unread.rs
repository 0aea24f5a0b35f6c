//! Peers that send without end to a process that does not read.

use {
    smol::{Async, future::block_on, net::TcpStream},
    std::{
        io::{ErrorKind, Write},
        net::{self, Ipv4Addr, TcpListener},
        thread,
        time::Duration,
    },
    trefoilring_net::{
        ConnectOptions, ListenOptions, RECEIVE_BUFFER_BYTES, connect, listen_with, unread_bytes_max,
    },
};

/// Pause in which the kernel may pass on what was sent.
const PAUSE: Duration = Duration::from_millis(5);
/// Number of pauses. A receive buffer that is not set reaches its first size in a few of them.
const PAUSES: usize = 60;

/// Sends as much as the kernel takes.
fn fill(mut peer: &net::TcpStream) {
    peer.set_nonblocking(true).unwrap();
    for _ in 0..PAUSES {
        loop {
            match peer.write(&[b'x'; 16 * 1024]) {
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => panic!("{error}"),
            }
        }
        thread::sleep(PAUSE);
    }
}

fn unread_bytes(stream: &TcpStream) -> usize {
    usize::try_from(rustix::io::ioctl_fionread(stream).unwrap()).unwrap()
}

#[test]
fn accepted_connection_holds_no_more_than_its_buffer() {
    let options = ListenOptions::default();
    let listener = listen_with((Ipv4Addr::LOCALHOST, 0).into(), &options).unwrap();
    let peer = net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    fill(&peer);
    let (stream, _) = block_on(listener.accept()).unwrap();
    let unread = unread_bytes(&stream);
    assert!((1..=unread_bytes_max(RECEIVE_BUFFER_BYTES)).contains(&unread), "{unread}");
}

#[test]
fn opened_connection_holds_no_more_than_its_buffer() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let stream = block_on(connect(address, &ConnectOptions::default())).unwrap();
    let (peer, _) = listener.accept().unwrap();
    fill(&peer);
    let unread = unread_bytes(&stream);
    assert!((1..=unread_bytes_max(RECEIVE_BUFFER_BYTES)).contains(&unread), "{unread}");
}

/// Guards against a listener that is gone and is taken for one that accepts.
#[test]
fn refused_connection_is_an_error() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let refused = block_on(connect(address, &ConnectOptions::default())).unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
}

/// What the two bounds above are compared with: connections whose buffers nobody sets.
#[test]
fn buffer_that_is_not_set_holds_more() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let peer = net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = TcpStream::from(Async::new(listener.accept().unwrap().0).unwrap());
    fill(&peer);
    assert!(unread_bytes(&stream) > unread_bytes_max(RECEIVE_BUFFER_BYTES));
}
