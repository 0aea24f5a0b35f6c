//! Stand-ins for the users' platform: its store of objects, and workers.
//!
//! They speak the published protocol over loopback, enough of it to run the whole path in tests, and
//! have a switch for each fault that the tests need.

mod store;
mod worker;

pub use {
    store::{StoreFault, StoreStandIn},
    worker::{Arrival, WorkerFault, WorkerStandIn},
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
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
    },
};

/// A body that may break off.
type Body = BoxBody<Bytes, io::Error>;

/// What a stand-in does with a request; `None` closes the connection without an answer.
trait Answer: Send + Sync + 'static {
    fn answer(
        self: Arc<Self>,
        request: Request<Bytes>,
    ) -> impl Future<Output = Option<Response<Body>>> + Send;
}

/// Serves on a port from the kernel until the task is dropped.
async fn serve(answer: Arc<impl Answer>) -> io::Result<(SocketAddr, Task<()>)> {
    let listener = trefoilring_net::listen((Ipv4Addr::LOCALHOST, 0).into())?;
    let address = listener.local_addr()?;
    let accept = async move {
        let mut connections = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            // Kept, so that all connections end with the stand-in.
            connections.push(smol::spawn(connection(answer.clone(), stream)));
        }
    };
    Ok((address, smol::spawn(accept)))
}

async fn connection(answer: Arc<impl Answer>, stream: TcpStream) {
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = answer.clone();
        async move {
            let (head, body) = request.into_parts();
            let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
            let answered = answer.answer(Request::from_parts(head, body)).await;
            answered.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionAborted))
        }
    });
    let serving = http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
    // Connections end as the callers like.
    let _ = serving.await;
}

fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}
