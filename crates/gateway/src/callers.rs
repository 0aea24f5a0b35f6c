//! Callers' connections.

use {
    crate::{
        call,
        gateway::{Gateway, Stage},
        inbound::{self, Accepted, InboundConnection},
        listen::accept_all,
    },
    http::{HeaderValue, Response, header},
    hyper::{body::Incoming, service::service_fn},
    smol::net::TcpListener,
    std::{convert::Infallible, io, net::SocketAddr, rc::Rc},
    trefoilring_core::routing::CallerLimits,
};

/// Listens for callers, if this host serves them.
pub(crate) async fn start(gateway: &Rc<Gateway>) -> io::Result<Option<SocketAddr>> {
    let Some(address) = gateway.settings.callers_listen else { return Ok(None) };
    let options = gateway.memory.sockets().callers();
    let listener = trefoilring_net::listen_with(address, &options)?;
    let bound = listener.local_addr()?;
    gateway.spawn(accept(gateway.clone(), listener));
    Ok(Some(bound))
}

async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    let stop_accepting = gateway.stop_accepting.listen();
    gateway.is_accepting.set(true);
    smol::future::or(accept_all(&gateway, &listener, serve), stop_accepting).await;
    drop(listener);
    gateway.is_accepting.set(false);
}

async fn serve(gateway: Rc<Gateway>, accepted: Accepted) {
    gateway.metrics.count("caller_connections", 1);
    let head_bytes_max = head_bytes_max(&gateway);
    let service_gateway = gateway.clone();
    let create_service = move |connection: Rc<InboundConnection>| {
        service_fn(move |request: http::Request<Incoming>| {
            let (gateway, connection) = (service_gateway.clone(), connection.clone());
            // Boxed, so that a connection that is idle does not hold the state of a request.
            Box::pin(async move {
                connection.on_request_start(request.body());
                let open = OpenRequest::new(gateway.clone(), connection.clone());
                let mut answer = call::answer(gateway.clone(), &connection, request).await;
                if gateway.stage.get() != Stage::Serving || connection.is_body_unread() {
                    let close = HeaderValue::from_static("close");
                    answer.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(answer.map(|body| call::TrackedAnswerBody::new(body, open)))
            })
        })
    };
    inbound::serve(&gateway.callers, accepted, head_bytes_max, create_service).await;
}

/// Returns the maximum size of a caller's head.
pub(crate) fn head_bytes_max(gateway: &Gateway) -> usize {
    gateway
        .routing_table
        .borrow()
        .as_ref()
        .map_or_else(|| CallerLimits::default().head_bytes_max, |table| table.limits.head_bytes_max)
}

/// Counts a request as open until its answer has been passed to the connection completely.
pub(crate) struct OpenRequest {
    gateway: Rc<Gateway>,
    pub(crate) connection: Rc<InboundConnection>,
}

impl OpenRequest {
    fn new(gateway: Rc<Gateway>, connection: Rc<InboundConnection>) -> Self {
        gateway.requests_open.set(gateway.requests_open.get() + 1);
        Self { gateway, connection }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.gateway.requests_open.set(self.gateway.requests_open.get().saturating_sub(1));
        self.connection.on_request_end();
    }
}

impl std::fmt::Debug for OpenRequest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("OpenRequest")
    }
}

pub(crate) type Answer = Response<call::AnswerBody>;
