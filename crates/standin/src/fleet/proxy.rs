//! A loopback proxy that injects faults into connections.

use {
    event_listener::Event,
    futures_lite::{AsyncReadExt, AsyncWriteExt},
    smol::{
        Task, Timer,
        net::{TcpListener, TcpStream},
    },
    socket2::{Domain, Protocol, Socket},
    std::{
        io,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Number of connections that fill the queue of a listener without a backlog.
const QUEUE_FILLERS: usize = 4;
/// Size of one read.
const BLOCK_BYTES: usize = 16 * 1024;

/// What happens to the connections of a proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Bytes pass.
    #[default]
    None,
    /// Bytes pass in each direction after this delay.
    Delayed(Duration),
    /// Connections stay open, and no bytes pass.
    Silent,
    /// Only requests pass.
    RequestsOnly,
    /// New connections are closed at once.
    Refused,
    /// No process listens, so that new connections are refused. Open connections live on.
    NoListener,
    /// New connections get no answer, and no bytes pass on open ones.
    Unreachable,
}

/// The rate of a link, which the proxies on it share. Each direction has it for itself.
#[derive(Debug)]
pub struct LinkRate {
    bytes_per_s: f64,
    requests: Mutex<Carried>,
    responses: Mutex<Carried>,
}

#[derive(Debug)]
struct Carried {
    bytes: u64,
    /// When the link has sent all of them.
    free_at: Instant,
}

impl LinkRate {
    /// Creates a link with a rate in Mbit/s.
    pub fn new(mbit_per_s: f64) -> Arc<Self> {
        let idle = || Mutex::new(Carried { bytes: 0, free_at: Instant::now() });
        Arc::new(Self { bytes_per_s: mbit_per_s * 125_000.0, requests: idle(), responses: idle() })
    }

    /// Returns the number of bytes that were sent to servers, and from them.
    pub fn carried_bytes(&self) -> (u64, u64) {
        let bytes = |one: &Mutex<Carried>| one.lock().unwrap_or_else(PoisonError::into_inner).bytes;
        (bytes(&self.requests), bytes(&self.responses))
    }

    /// Waits until the link has sent `bytes`.
    async fn pass(&self, direction: Direction, bytes: usize) {
        let until = {
            let carried = match direction {
                Direction::Request => &self.requests,
                Direction::Response => &self.responses,
            };
            let mut carried = carried.lock().unwrap_or_else(PoisonError::into_inner);
            carried.bytes += bytes as u64;
            let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            carried.free_at = carried.free_at.max(Instant::now()) + duration;
            carried.free_at
        };
        Timer::at(until).await;
    }
}

/// A proxy before one server.
pub struct LinkProxy {
    /// Listening address.
    pub address: SocketAddr,
    link: Arc<Link>,
    _task: Task<()>,
}

struct Link {
    /// Keeps the port taken while no process listens: whoever got it would answer in place of nobody.
    _port: Socket,
    server: SocketAddr,
    rate: Option<Arc<LinkRate>>,
    fault: Mutex<LinkFault>,
    /// Notified when the fault changes.
    changed: Event,
    /// Notified when the open connections are to be closed.
    reset: Event,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Direction {
    Request,
    Response,
}

impl LinkProxy {
    /// Starts a proxy.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        Self::start_link(server, None)
    }

    /// Starts a proxy on a link with a rate.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start_with_rate(server: SocketAddr, rate: &Arc<LinkRate>) -> io::Result<Self> {
        Self::start_link(server, Some(rate.clone()))
    }

    fn start_link(server: SocketAddr, rate: Option<Arc<LinkRate>>) -> io::Result<Self> {
        let (port, address) = take_port(server.ip())?;
        let listener = trefoilring_net::listen(address)?;
        let link = Arc::new(Link {
            _port: port,
            server,
            rate,
            fault: Mutex::default(),
            changed: Event::new(),
            reset: Event::new(),
        });
        let task = smol::spawn(run(link.clone(), address, listener));
        Ok(Self { address, link, _task: task })
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.link.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
        self.link.changed.notify(usize::MAX);
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.link.reset.notify(usize::MAX);
    }
}

/// Takes a port at an address without listening. Listeners may be opened at it and closed.
fn take_port(address: IpAddr) -> io::Result<(Socket, SocketAddr)> {
    let address = SocketAddr::new(address, 0);
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, socket2::Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    let taken = socket.local_addr()?.as_socket();
    let taken = taken.ok_or(io::ErrorKind::AddrNotAvailable)?;
    Ok((socket, taken))
}

/// Listens while the fault allows it.
async fn run(link: Arc<Link>, address: SocketAddr, first: TcpListener) {
    let mut connections = Vec::new();
    let mut listener = Some(first);
    loop {
        let changed = link.changed.listen();
        match link.fault() {
            LinkFault::NoListener => {
                listener = None;
                changed.await;
            }
            LinkFault::Unreachable => {
                listener = None;
                match FullListener::start(address) {
                    Ok(full) => {
                        changed.await;
                        drop(full);
                    }
                    Err(error) => log::error!("failed to listen at {address}: {error}"),
                }
            }
            _ => {
                let open = match listener.take() {
                    Some(open) => open,
                    None => match trefoilring_net::listen(address) {
                        Ok(open) => open,
                        Err(error) => {
                            log::error!("failed to listen at {address}: {error}");
                            return;
                        }
                    },
                };
                let accepting = accept(&link, &open, &mut connections);
                smol::future::or(accepting, changed).await;
                listener = Some(open);
            }
        }
    }
}

async fn accept(link: &Arc<Link>, listener: &TcpListener, connections: &mut Vec<Task<()>>) {
    while let Ok((stream, _)) = listener.accept().await {
        if link.fault() == LinkFault::Refused {
            continue;
        }
        let link = link.clone();
        // Either side may close a connection at any time, so errors are ignored.
        connections.push(smol::spawn(async move { drop(link.forward(stream).await) }));
    }
}

/// A listener whose queue of new connections is full. The kernel drops further ones, as if the
/// address could not be reached.
struct FullListener {
    _listener: Socket,
    _queued: Vec<Socket>,
}

impl FullListener {
    fn start(address: SocketAddr) -> io::Result<Self> {
        let new_socket = || {
            Socket::new(Domain::for_address(address), socket2::Type::STREAM, Some(Protocol::TCP))
        };
        let listener = new_socket()?;
        listener.set_reuse_address(true)?;
        listener.bind(&address.into())?;
        listener.listen(0)?;
        let mut queued = Vec::new();
        for _ in 0..QUEUE_FILLERS {
            let socket = new_socket()?;
            socket.set_nonblocking(true)?;
            // Connects in the background.
            let _ = socket.connect(&address.into());
            queued.push(socket);
        }
        Ok(Self { _listener: listener, _queued: queued })
    }
}

impl Link {
    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn forward(&self, client: TcpStream) -> io::Result<()> {
        let reset = self.reset.listen();
        let server = TcpStream::connect(self.server).await?;
        // The link has the delays of the test alone.
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let requests = self.copy(Direction::Request, client.clone(), server.clone());
        let responses = self.copy(Direction::Response, server, client);
        let reset = async {
            reset.await;
            Ok(())
        };
        smol::future::or(smol::future::or(requests, responses), reset).await
    }

    async fn copy(
        &self,
        direction: Direction,
        mut from: TcpStream,
        mut to: TcpStream,
    ) -> io::Result<()> {
        let mut block = vec![0; BLOCK_BYTES];
        loop {
            let received = from.read(&mut block).await?;
            if received == 0 {
                return Ok(());
            }
            self.wait_until_open(direction).await;
            if let Some(rate) = &self.rate {
                rate.pass(direction, received).await;
            }
            to.write_all(&block[..received]).await?;
        }
    }

    /// Waits while the fault holds bytes back.
    async fn wait_until_open(&self, direction: Direction) {
        loop {
            let changed = self.changed.listen();
            match self.fault() {
                LinkFault::None | LinkFault::Refused | LinkFault::NoListener => return,
                LinkFault::RequestsOnly if direction == Direction::Request => return,
                LinkFault::Delayed(delay) => {
                    Timer::after(delay).await;
                    return;
                }
                LinkFault::Silent | LinkFault::RequestsOnly | LinkFault::Unreachable => {
                    changed.await;
                }
            }
        }
    }
}
