//! Connections between hosts. Each peer has one link, which connects on first use and reconnects
//! after a failure.

use {
    crate::{
        codec::MessagePack,
        frames::{FrameCodec, FrameMemory},
        service::{PeerClient, PeerRequest, PeerResponse},
    },
    async_compat::{Compat, CompatExt},
    derive_more::{Display, Error},
    serde::{Serialize, de::DeserializeOwned},
    smol::{
        Executor,
        channel::{Receiver, Sender},
        lock::Mutex,
        net::TcpStream,
    },
    std::{convert::Infallible, future::Future, io, net::SocketAddr, sync::Arc, time::Duration},
    tarpc::{
        ClientMessage, Response, Transport,
        client::{self, RpcError},
        context::Context,
        server::BaseChannel,
    },
};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of calls in flight over one link.
const MAX_IN_FLIGHT: usize = 4096;

/// Error of a call over a link.
#[derive(Debug, Display, Error)]
pub enum LinkError {
    /// The connection could not be established; the call was not sent.
    #[display("no connection to {peer}: {source}")]
    Unreachable {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error returned by the connection attempt.
        source: io::Error,
    },
    /// The link was closed because the peer is no longer in the view. The call may have run.
    #[display("{peer} has left")]
    Closed {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// The connection broke or the deadline passed. The call may have run.
    #[display("call to {peer} failed: {source}")]
    Failed {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error reported by tarpc.
        source: RpcError,
    },
}

/// The link to one peer.
pub struct Link {
    peer: SocketAddr,
    executor: Arc<Executor<'static>>,
    client: Mutex<Option<PeerClient>>,
    /// Carries no messages; closing it ends all calls in flight.
    close_signal: (Sender<Infallible>, Receiver<Infallible>),
}

impl Link {
    /// Creates a link that connects on first use. Its tasks run on `executor`.
    pub fn new(peer: SocketAddr, executor: Arc<Executor<'static>>) -> Self {
        let close_signal = smol::channel::bounded(1);
        Self { peer, executor, client: Mutex::new(None), close_signal }
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Ends all calls in flight and refuses new ones. Without this, calls to a paused or
    /// unreachable peer would last until their deadlines.
    pub fn close(&self) {
        self.close_signal.0.close();
    }

    /// Makes one call with a deadline. Drops a broken connection, so that the next call reconnects.
    /// Never repeats a call.
    pub async fn call<T, F>(
        &self,
        timeout: Duration,
        call: impl FnOnce(PeerClient, Context) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let closed = async {
            // `recv` returns an error once the channel is closed.
            let _ = self.close_signal.1.recv().await;
            Err(LinkError::Closed { peer: self.peer })
        };
        smol::future::or(self.call_connected(timeout, call), closed).await
    }

    async fn call_connected<T, F>(
        &self,
        timeout: Duration,
        call: impl FnOnce(PeerClient, Context) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client().await?;
        let mut context = tarpc::context::current();
        context.deadline = std::time::Instant::now() + timeout;
        match Compat::new(call(client, context)).await {
            Ok(reply) => Ok(reply),
            Err(source) => {
                if !matches!(source, RpcError::DeadlineExceeded) {
                    *self.client.lock().await = None;
                }
                Err(LinkError::Failed { peer: self.peer, source })
            }
        }
    }

    async fn client(&self) -> Result<PeerClient, LinkError> {
        let mut client = self.client.lock().await;
        if let Some(client) = &*client {
            return Ok(client.clone());
        }
        let new_client = self.connect().await;
        let new_client =
            new_client.map_err(|source| LinkError::Unreachable { peer: self.peer, source })?;
        *client = Some(new_client.clone());
        Ok(new_client)
    }

    async fn connect(&self) -> io::Result<PeerClient> {
        let timeout = async {
            smol::Timer::after(CONNECT_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = smol::future::or(TcpStream::connect(self.peer), timeout).await?;
        stream.set_nodelay(true)?;
        let mut config = client::Config::default();
        config.max_in_flight_requests = MAX_IN_FLIGHT;
        let client = PeerClient::new(config, transport(stream, FrameCodec::new(None)));
        let dispatch = Compat::new(client.dispatch);
        self.executor
            .spawn(async move {
                if let Err(error) = dispatch.await {
                    log::debug!("connection to a peer failed: {error}");
                }
            })
            .detach();
        Ok(client.client)
    }
}

/// Wraps the server's end of a connection in a channel. The caller has to drive the channel,
/// because the response futures are only known to be `Send` for a concrete server type.
pub fn accept(
    stream: TcpStream,
    memory: Arc<FrameMemory>,
) -> BaseChannel<
    PeerRequest,
    PeerResponse,
    impl Transport<Response<PeerResponse>, ClientMessage<PeerRequest>, Error = io::Error> + Send,
> {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY: {error}");
    }
    let codec = FrameCodec::new(Some((memory, stream.clone())));
    BaseChannel::with_defaults(transport(stream, codec))
}

fn transport<Item, SinkItem>(
    stream: TcpStream,
    codec: FrameCodec,
) -> impl Transport<SinkItem, Item, Error = io::Error> + Send + Unpin + 'static
where
    Item: DeserializeOwned + Send + Unpin + 'static,
    SinkItem: Serialize + Send + Unpin + 'static,
{
    let framed = tokio_util::codec::Framed::new(stream.compat(), codec);
    tokio_serde::Framed::new(framed, MessagePack::<Item, SinkItem>::default())
}
