//! Client for the platform's host list.

use {
    crate::{
        error::CallError,
        http::{Client, Exchange, Reuse},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    trefoilring_core::ids::{DomainId, ServiceId, UpstreamId},
};

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of an answer, in bytes.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// One upstream in the host list. The list lags behind the actual state.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(try_from = "wire::Upstream", into = "wire::Upstream")]
pub struct UpstreamRecord {
    /// The id of the upstream.
    pub upstream: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether the upstream is leaving and must get no new work.
    pub is_leaving: bool,
    /// The models that an engine has loaded; empty for other upstreams.
    pub models: Vec<String>,
}

mod wire {
    use {super::UpstreamRecord, std::net::AddrParseError};

    #[derive(Clone, serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "snake_case")]
    pub(super) enum State {
        Live,
        Leaving,
    }

    #[derive(Clone, serde::Deserialize, serde::Serialize)]
    pub(super) struct Upstream {
        upstream: String,
        service: String,
        address: String,
        domain: String,
        state: State,
        #[serde(default)]
        models: Vec<String>,
    }

    impl TryFrom<Upstream> for UpstreamRecord {
        type Error = AddrParseError;

        fn try_from(raw: Upstream) -> Result<Self, AddrParseError> {
            Ok(Self {
                upstream: raw.upstream.into(),
                service: raw.service.into(),
                address: raw.address.parse()?,
                domain: raw.domain.into(),
                is_leaving: matches!(raw.state, State::Leaving),
                models: raw.models,
            })
        }
    }

    impl From<UpstreamRecord> for Upstream {
        fn from(record: UpstreamRecord) -> Self {
            Self {
                upstream: record.upstream.to_string(),
                service: record.service.to_string(),
                address: record.address.to_string(),
                domain: record.domain.to_string(),
                state: if record.is_leaving { State::Leaving } else { State::Live },
                models: record.models,
            }
        }
    }
}

/// A client for the host list. Clones share connections.
#[derive(Clone, Debug)]
pub struct HostList {
    client: Client,
}

impl HostList {
    /// Creates a client without opening a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(address) }
    }

    /// Reads the list. Malformed records are logged and skipped, so that the others stay usable.
    pub async fn upstreams(&self) -> Result<Vec<UpstreamRecord>, CallError> {
        #[derive(serde::Deserialize)]
        struct Page {
            upstreams: Vec<serde_json::Value>,
        }
        let exchange = Exchange::new("GET", "v1/hosts", MAX_BYTES);
        let deadline = Instant::now() + TIMEOUT;
        let answer = self.client.call(exchange, Reuse::Pooled, deadline).await?;
        let page: Page = answer.expect_success()?.json()?;
        Ok(page.upstreams.into_iter().filter_map(parse).collect())
    }
}

fn parse(value: serde_json::Value) -> Option<UpstreamRecord> {
    serde_json::from_value(value)
        .inspect_err(|error| log::warn!("host list: skipped a malformed record: {error}"))
        .ok()
}
