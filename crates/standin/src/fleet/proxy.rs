//! A loopback proxy that injects faults into connections.

use {
    event_listener::Event,
    futures_lite::{AsyncReadExt, AsyncWriteExt},
    smol::{
        Task, Timer,
        net::{TcpListener, TcpStream},
    },
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

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
}

/// A proxy before one server.
pub struct LinkProxy {
    /// Listening address.
    pub address: SocketAddr,
    link: Arc<Link>,
    _task: Task<()>,
}

struct Link {
    server: SocketAddr,
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
        let listener = trefoilring_net::listen((Ipv4Addr::LOCALHOST, 0).into())?;
        let address = listener.local_addr()?;
        let link = Arc::new(Link {
            server,
            fault: Mutex::default(),
            changed: Event::new(),
            reset: Event::new(),
        });
        let task = smol::spawn(accept(link.clone(), listener));
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

async fn accept(link: Arc<Link>, listener: TcpListener) {
    let mut connections = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        if link.fault() == LinkFault::Refused {
            continue;
        }
        let link = link.clone();
        // Either side may close a connection at any time, so errors are ignored.
        connections.push(smol::spawn(async move { drop(link.forward(stream).await) }));
    }
}

impl Link {
    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn forward(&self, client: TcpStream) -> io::Result<()> {
        let reset = self.reset.listen();
        let server = TcpStream::connect(self.server).await?;
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
            to.write_all(&block[..received]).await?;
        }
    }

    /// Waits while the fault holds bytes back.
    async fn wait_until_open(&self, direction: Direction) {
        loop {
            let changed = self.changed.listen();
            match self.fault() {
                LinkFault::None | LinkFault::Refused => return,
                LinkFault::RequestsOnly if direction == Direction::Request => return,
                LinkFault::Delayed(delay) => {
                    Timer::after(delay).await;
                    return;
                }
                LinkFault::Silent | LinkFault::RequestsOnly => changed.await,
            }
        }
    }
}
