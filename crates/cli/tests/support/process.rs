//! Helpers for tests that start `trefoilring serve --platform` processes.

use {
    rand::RngExt,
    std::{
        collections::BTreeSet,
        io::{Read, Write},
        net::{Ipv4Addr, TcpStream},
        ops::Range,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    trefoilring_standin::fleet::client,
};

/// Ports of the hosts, below the kernel's range for outgoing connections.
const HOST_PORTS: Range<u16> = 12_000..32_000;

/// Returns whether the host whose readiness port this is reports that it is ready.
pub fn is_ready(port: u16) -> bool {
    get(port, client::READY_PATH).starts_with("HTTP/1.1 200")
}

/// Returns the answer to a request, or an empty text if none comes.
pub fn get(port: u16, path: &str) -> String {
    let mut answer = String::new();
    let Ok(mut stream) = TcpStream::connect((own_address(), port)) else { return answer };
    let timeout = Some(Duration::from_secs(1));
    stream.set_read_timeout(timeout).expect("a timeout above zero");
    let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    let asked = stream.write_all(request.as_bytes());
    // An answer that breaks off says nothing.
    match asked.and_then(|()| stream.read_to_string(&mut answer)) {
        Ok(_) => answer,
        Err(_) => String::new(),
    }
}

/// Returns the loopback address of the hosts of this process. Another process that chooses ports in the same
/// way, such as a second run of the tests, can't take theirs between the choice and their start. Systems
/// other than Linux have one loopback address.
pub fn own_address() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    if cfg!(target_os = "linux") { Ipv4Addr::new(127, 2, high, low) } else { Ipv4Addr::LOCALHOST }
}

/// Ports that this process has given to hosts.
static GIVEN_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns ports that are free now, outside the range from which the kernel assigns ports: a host
/// keeps its ports over its restarts, and nothing may take them meanwhile. Sites of tests that run side by
/// side get different ones, whether their hosts have started or not.
pub fn free_ports(count: usize) -> Vec<u16> {
    let mut random = rand::rng();
    let mut given = GIVEN_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    let mut ports = Vec::new();
    while ports.len() < count {
        let port = random.random_range(HOST_PORTS);
        if !given.contains(&port) && std::net::TcpListener::bind((own_address(), port)).is_ok() {
            given.insert(port);
            ports.push(port);
        }
    }
    ports
}
