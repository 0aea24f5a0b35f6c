//! Stand-ins for the users' platform: its object store and its workers.
//!
//! They speak the platform's own protocol (`/trefoilring/objects/` and `Trefoilring-*` headers),
//! which the crate `trefoilring-platform` translates. The modules [`objects`](crate::objects) and
//! [`hosts`](crate::hosts) instead emulate the Object API and the host list that a trefoilring host
//! calls directly. The stand-ins implement only as much of the published protocol as end-to-end
//! tests over loopback need, and every fault that those tests inject.

pub mod client;
mod endless;
pub mod heads;
pub mod loopback;
mod pool;
mod proxy;
mod store;
mod worker;

pub use {
    endless::{ENDLESS_PARTS, EndlessPart, EndlessStandin, Pace},
    pool::{DRAIN_TIME, PoolOptions, WorkerPool},
    proxy::{LinkFault, LinkProxy, LinkRate},
    store::{ReplacedAddresses, StoreFault, StoreStandin},
    worker::{RecordedRequest, SERVICE, WorkerFault, WorkerStandin, entry, event_versions},
};

use {
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{BodyExt, Full, combinators::BoxBody},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    smol::{Task, net::TcpStream},
    smol_hyper::rt::FuturesIo,
    std::{
        convert::Infallible,
        future::Future,
        io,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
};

/// A response body that can end with an error.
type Body = BoxBody<Bytes, io::Error>;

/// Handles the requests to a stand-in. `None` closes the connection without a response.
trait Handler: Send + Sync + 'static {
    fn handle(
        self: Arc<Self>,
        request: Request<Bytes>,
    ) -> impl Future<Output = Option<Response<Body>>> + Send;
}

/// A running server. Dropping it closes its listener and all connections.
struct Server {
    address: SocketAddr,
    /// Number of connections that were accepted.
    accepted: Arc<AtomicUsize>,
    _task: Task<()>,
}

/// Serves at a loopback address, on a port that the kernel assigns.
async fn serve(address: IpAddr, handler: Arc<impl Handler>) -> io::Result<Server> {
    let listener = trefoilring_net::listen((address, 0).into())?;
    let address = listener.local_addr()?;
    let accepted = Arc::new(AtomicUsize::default());
    let accept_count = accepted.clone();
    let accept = async move {
        let mut connections = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            accept_count.fetch_add(1, Ordering::SeqCst);
            // Keeps the tasks, so that dropping this future closes all connections.
            connections.push(smol::spawn(serve_connection(handler.clone(), stream)));
        }
    };
    Ok(Server { address, accepted, _task: smol::spawn(accept) })
}

async fn serve_connection(handler: Arc<impl Handler>, stream: TcpStream) {
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move {
            let (head, body) = request.into_parts();
            let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
            let response = handler.handle(Request::from_parts(head, body)).await;
            response.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionAborted))
        }
    });
    let serving = http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
    // Callers may close a connection at any time, so errors are ignored.
    let _ = serving.await;
}

fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}
