//! Client of tool and plain services.

use {
    crate::{
        error::CallError,
        http::{Client, Exchange, Reuse, forwardable_headers, status_error},
    },
    std::{net::SocketAddr, time::Instant},
    trefoilring_core::ids::Epoch,
};

/// The largest body of an answer.
pub const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// A call to a tool or plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// HTTP method, upper case.
    pub method: String,
    /// Path and query, without the leading slash.
    pub path: String,
    /// The caller's headers; those that never pass on are removed here.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Names the call, so that an upstream can know a repeat: program and step.
    pub idempotency_key: Option<String>,
    /// The epoch of the program's home, for upstreams that check it.
    pub fencing_epoch: Option<Epoch>,
    /// When the call is given up.
    pub deadline: Instant,
}

/// A whole answer of a service, of any status but 429 and 503.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceReply {
    /// HTTP status.
    pub status: u16,
    /// Headers for the caller.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// The client of one upstream.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    client: Client,
}

impl ServiceClient {
    /// Makes a client.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(address) }
    }

    /// Sends a call, once. A connection of its own keeps the verdict exact.
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
    // The system's own names hold; a caller can't stand in for another program's step.
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
