//! Client of the platform's host list.

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

/// The longest that a call takes.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The largest answer.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// One upstream as the host list shows it. The list lags behind the truth.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(try_from = "wire::Upstream", into = "wire::Upstream")]
pub struct UpstreamRecord {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it is leaving and gets no new work.
    pub is_leaving: bool,
    /// Models that it has loaded, for an engine.
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

/// The client. Clones share connections.
#[derive(Clone, Debug)]
pub struct HostList {
    client: Client,
}

impl HostList {
    /// Makes a client.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(address) }
    }

    /// Reads the list. One malformed record does not hide the others: it is left out and logged.
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
        .inspect_err(|error| log::warn!("host list: left out a record: {error}"))
        .ok()
}
