//! Serves readiness checks for the platform and metrics for operators.

use {
    crate::{
        gateway::Gateway,
        inbound::{self, Accepted, InboundConnection},
        listen::listen,
        store::Collection,
    },
    bytes::Bytes,
    http::{HeaderValue, Request, Response, StatusCode, header},
    http_body_util::Full,
    hyper::{body::Incoming, service::service_fn},
    std::{convert::Infallible, io, net::SocketAddr, rc::Rc, time::Instant},
};

const METRICS_PATH: &str = "/metrics";
/// Maximum size of a request's head.
const HEAD_BYTES_MAX: usize = 8 * 1024;

/// Listens for readiness checks and metrics requests. Returns both addresses.
pub(crate) async fn start(gateway: &Rc<Gateway>) -> io::Result<(Option<SocketAddr>, SocketAddr)> {
    let options = gateway.memory.sockets().status();
    let ready = match gateway.settings.ready_listen {
        Some(address) => Some(listen(gateway, address, &options, serve).await?),
        None => None,
    };
    Ok((ready, listen(gateway, gateway.settings.metrics_listen, &options, serve).await?))
}

async fn serve(gateway: Rc<Gateway>, accepted: Accepted) {
    let service_gateway = gateway.clone();
    let create_service = |connection: Rc<InboundConnection>| {
        service_fn(move |request: Request<Incoming>| {
            connection.on_request_start(request.body());
            let mut answer = answer(&service_gateway, request.uri().path());
            if connection.is_body_unread() {
                answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            connection.on_request_end();
            async move { Ok::<_, Infallible>(answer) }
        })
    };
    inbound::serve(&gateway.other_connections, accepted, HEAD_BYTES_MAX, create_service).await;
}

fn answer(gateway: &Gateway, path: &str) -> Response<Full<Bytes>> {
    let (status, text) = match path {
        METRICS_PATH => (StatusCode::OK, metrics(gateway)),
        path if path == gateway.settings.ready_path => match gateway.is_ready() {
            true => (StatusCode::OK, String::new()),
            false => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        },
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    answer
}

fn metrics(gateway: &Gateway) -> String {
    let counts = gateway.connections.counts();
    let store_calls = gateway.adapter.store.request_counts();
    let gauges = [
        ("upstream_connections_opened", counts.opened),
        ("upstream_connections_failed", counts.failed),
        ("upstream_connections_reused", counts.reused),
        ("requests_open", gateway.requests_open.get() as u64),
        ("caller_connections_open", gateway.callers.borrow().len() as u64),
        ("decision_lines_dropped", gateway.decisions.dropped()),
        ("log_lines_dropped", trefoilring_observe::log::dropped()),
        ("hosts", gateway.roster.borrow().peers().count() as u64 + 1),
        ("peers_out_of_reach", gateway.peer_reach.borrow().suspect_count() as u64),
        ("turns_stored", gateway.turns.stored_count() as u64),
        ("turns_recovered", u64::from(gateway.turns.has_recovered())),
        ("turn_holders_replaced", gateway.turns.replaced_holder_count() as u64),
        ("has_synced_blame", u64::from(gateway.has_synced_blame.get())),
        ("stranded", u64::from(gateway.relay.is_stranded())),
        ("upstreams_leaving", gateway.placement.borrow().leaving_count() as u64),
        ("upstreams_cold", gateway.placement.borrow().cold_count(Instant::now()) as u64),
        ("upstreams_evacuated", gateway.placement.borrow().evacuated_count() as u64),
        ("domains_evacuated", gateway.evacuations.domain_count() as u64),
        ("upstreams", gateway.placement.borrow().ids().count() as u64),
        ("has_store_reader", u64::from(gateway.watches.has_reader())),
        ("is_store_reader", u64::from(gateway.watches.is_followed())),
        ("answer_bytes", gateway.memory.answer_bytes() as u64),
        ("memory_bytes", gateway.memory.used_bytes() as u64),
        ("memory_connection_bytes", gateway.memory.connection_bytes() as u64),
        ("memory_dropped", gateway.memory.dropped()),
        ("store_calls", store_calls.values().sum()),
        (
            "configuration_version",
            gateway.routing_table.borrow().as_ref().map_or(0, |table| table.version),
        ),
    ];
    for (name, value) in gauges {
        gateway.metrics.gauge(name, value);
    }
    for collection in [Collection::Configuration, Collection::Upstreams, Collection::Evacuations] {
        if let Some(age) = gateway.watches.of(collection).age() {
            gateway.metrics.gauge(&format!("age_ms.{collection}"), age.as_millis() as u64);
        }
    }
    for (operation, value) in store_calls {
        gateway.metrics.gauge(&format!("store_calls.{operation}"), value);
    }
    gateway.metrics.text()
}
