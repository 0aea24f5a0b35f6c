//! Client for tool and plain services.

use {
    crate::{
        error::CallError,
        http::{Client, Exchange, Reuse, forwardable_headers, status_error},
    },
    std::{net::SocketAddr, time::Instant},
    trefoilring_core::ids::Epoch,
};

/// Maximum size of the body of an answer, in bytes.
pub const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// A call to a tool or plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// HTTP method, in upper case.
    pub method: String,
    /// Path and query, without the leading slash.
    pub path: String,
    /// The caller's headers. Those that must not be forwarded are removed before sending.
    pub headers: Vec<(String, String)>,
    /// The body, sent unchanged.
    pub body: Vec<u8>,
    /// Identifies the call by program and step, so that an upstream can detect a repeated call.
    pub idempotency_key: Option<String>,
    /// The epoch of the program's home, for upstreams that check it.
    pub fencing_epoch: Option<Epoch>,
    /// When the call times out.
    pub deadline: Instant,
}

/// A complete answer of a service, with any status except 429 and 503.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceReply {
    /// HTTP status.
    pub status: u16,
    /// Headers that may be forwarded to the caller.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// A client for one upstream.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    client: Client,
}

impl ServiceClient {
    /// Creates a client without opening a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(address) }
    }

    /// Sends a call once, on a new connection. A reused connection could give `may_have_run` for a
    /// call that did not run.
    pub async fn call(&self, request: ServiceRequest) -> Result<ServiceReply, CallError> {
        let deadline = request.deadline;
        let answer = self.client.call(to_exchange(request), Reuse::Fresh, deadline).await?;
        match answer.status {
            429 | 503 => Err(status_error(answer.status, &answer.headers, &answer.body)),
            status => Ok(ServiceReply { status, headers: answer.headers, body: answer.body }),
        }
    }
}

fn to_exchange(request: ServiceRequest) -> Exchange {
    let mut exchange =
        Exchange::new(&request.method, request.path, MAX_REPLY_BYTES).body(request.body);
    exchange.headers = forwardable_headers(&request.headers);
    // Only the system sets these headers, so that a caller can't use the step of another program.
    let is_reserved = |name: &str| {
        name.eq_ignore_ascii_case("idempotency-key") || name.eq_ignore_ascii_case("fencing-epoch")
    };
    exchange.headers.retain(|(name, _)| !is_reserved(name));
    if let Some(key) = request.idempotency_key {
        exchange = exchange.header("Idempotency-Key", key);
    }
    if let Some(epoch) = request.fencing_epoch {
        exchange = exchange.header("Fencing-Epoch", epoch);
    }
    exchange
}
