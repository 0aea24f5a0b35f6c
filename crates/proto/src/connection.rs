//! Connections between hosts: one link a peer, made on first use and again after a failure.

use {
    crate::{
        codec::MessagePack,
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
    tokio_util::codec::LengthDelimitedCodec,
};

/// The largest message: a journal entry of 1 MiB or a history, with room for names.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Calls that may be in flight over one link.
const MAX_IN_FLIGHT: usize = 4096;

/// A call over a link failed.
#[derive(Debug, Display, Error)]
pub enum LinkError {
    /// No connection: the call was not sent.
    #[display("no connection to {peer}: {source}")]
    Unreachable {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The link was closed, because the peer has left: the call may have run.
    #[display("{peer} has left")]
    Closed {
        /// The peer.
        peer: SocketAddr,
    },
    /// The connection broke or the deadline passed: the call may have run.
    #[display("call to {peer} failed: {source}")]
    Failed {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: RpcError,
    },
}

/// The link to one peer.
pub struct Link {
    peer: SocketAddr,
    executor: Arc<Executor<'static>>,
    client: Mutex<Option<PeerClient>>,
    /// Nothing is ever sent; closing it ends all calls under way.
    closed: (Sender<Infallible>, Receiver<Infallible>),
}

impl Link {
    /// Makes a link that connects on first use. Its tasks run on `executor`.
    pub fn new(peer: SocketAddr, executor: Arc<Executor<'static>>) -> Self {
        let closed = smol::channel::bounded(1);
        Self { peer, executor, client: Mutex::new(None), closed }
    }

    /// The peer's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Ends all calls under way and refuses new ones. A peer that is paused or cut off would hold
    /// them until their deadlines.
    pub fn close(&self) {
        self.closed.0.close();
    }

    /// Makes one call with a deadline. A broken connection is dropped, so that the next call
    /// connects anew; calls are never repeated here.
    pub async fn call<T, F>(
        &self,
        timeout: Duration,
        call: impl FnOnce(PeerClient, Context) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let closed = async {
            // An error means closed, and that is what is waited for.
            let _ = self.closed.1.recv().await;
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
        let client = PeerClient::new(config, transport(stream));
        let dispatch = Compat::new(client.dispatch);
        self.executor
            .spawn(async move {
                if let Err(error) = dispatch.await {
                    log::debug!("link closed: {error}");
                }
            })
            .detach();
        Ok(client.client)
    }
}

/// Makes the server's end of a connection. The caller executes its requests, since only a concrete
/// server's replies are known to be `Send`.
pub fn accept(
    stream: TcpStream,
) -> BaseChannel<
    PeerRequest,
    PeerResponse,
    impl Transport<Response<PeerResponse>, ClientMessage<PeerRequest>, Error = io::Error> + Send,
> {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("no TCP_NODELAY: {error}");
    }
    BaseChannel::with_defaults(transport(stream))
}

fn transport<Item, SinkItem>(
    stream: TcpStream,
) -> impl Transport<SinkItem, Item, Error = io::Error> + Send + Unpin + 'static
where
    Item: DeserializeOwned + Send + Unpin + 'static,
    SinkItem: Serialize + Send + Unpin + 'static,
{
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    let framed = tokio_util::codec::Framed::new(stream.compat(), codec);
    tarpc::serde_transport::new(framed, MessagePack::<Item, SinkItem>::default())
}
