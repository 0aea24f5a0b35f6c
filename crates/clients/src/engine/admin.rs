//! Calls of an engine other than turns: load reports, the cache of programs' prefixes, and model
//! orders.

use {
    super::Engine,
    crate::{
        error::CallError,
        http::{Answer, Exchange, Reuse},
        objects::percent_encode,
    },
    serde_json::json,
    std::time::Instant,
    trefoilring_core::ids::ProgramId,
};

/// Maximum size of an answer in JSON, in bytes.
const MAX_JSON_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of the export of one program's cached memory, in bytes.
const MAX_EXPORT_BYTES: usize = 256 * 1024 * 1024;

/// An engine's report of its load. It lags behind the actual load, see `age_ms`.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Load {
    /// Number of requests in the batch.
    pub running: u64,
    /// Number of requests waiting for a slot in the batch.
    pub waiting: u64,
    /// Tokens in the cache, including those not in use by a running request.
    pub kv_used_tokens: u64,
    /// Tokens that the cache can hold.
    pub kv_capacity_tokens: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// The kind of a cache event.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// A program's prefix was stored; `tokens` is its complete length.
    Stored,
    /// A program's prefix was evicted or released; `tokens` is the length that remains.
    Evicted,
}

/// A change of the memory cached for one program.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CacheEvent {
    /// Sequence number, counted per engine. A gap means that events were lost.
    pub sequence: u64,
    /// Whether memory was stored or removed.
    pub kind: CacheEventKind,
    /// The program that the memory is cached for.
    pub program: ProgramId,
    /// Number of tokens cached after the event.
    pub tokens: u64,
}

/// Cache events since a sequence number.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CacheEvents {
    /// The sequence number for the next request. If it is lower than in the last answer, the engine
    /// has restarted.
    pub next: u64,
    /// The events. They are delayed and may have gaps.
    pub events: Vec<CacheEvent>,
}

/// The memory cached for one program.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CachedProgram {
    /// The program that the memory is cached for.
    pub program: ProgramId,
    /// Number of tokens cached.
    pub tokens: u64,
    /// Time since the last use in milliseconds.
    pub idle_ms: u64,
}

/// The operation of a model order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)] // The variants are named as in the engine's interface.
pub enum OrderKind {
    Load,
    Unload,
    Adapter,
    Version,
    Role,
}

/// An order to an engine to change a model. Orders are idempotent.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ModelOrder {
    /// The operation.
    pub order: OrderKind,
    /// The model to change.
    pub model: String,
    /// The adapter, the version or the role, depending on the operation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// The sender's fencing number. An engine that checks it refuses an order with a lower number
    /// than the highest received so far.
    pub fencing: u64,
}

impl Engine {
    /// Requests the load report.
    pub async fn load(&self) -> Result<Load, CallError> {
        self.call_admin(Exchange::new("GET", "v1/load", MAX_JSON_BYTES)).await?.json()
    }

    /// Requests the cache events from sequence number `since` on.
    pub async fn cache_events(&self, since: u64) -> Result<CacheEvents, CallError> {
        let path = format!("v1/cache/events?since={since}");
        self.call_admin(Exchange::new("GET", path, MAX_JSON_BYTES)).await?.json()
    }

    /// Requests the list of programs for which the engine caches memory.
    pub async fn cached_programs(&self) -> Result<Vec<CachedProgram>, CallError> {
        #[derive(serde::Deserialize)]
        struct Page {
            programs: Vec<CachedProgram>,
        }
        let exchange = Exchange::new("GET", "v1/cache/programs", MAX_JSON_BYTES);
        Ok(self.call_admin(exchange).await?.json::<Page>()?.programs)
    }

    /// Frees all memory cached for a program. Releasing is idempotent.
    pub async fn release(&self, program: &str) -> Result<(), CallError> {
        self.call_admin(post("v1/cache/release", MAX_JSON_BYTES, &json!({ "program": program })))
            .await?;
        Ok(())
    }

    /// Exports the memory cached for a program. The engine answers 404 if there is none.
    pub async fn export(&self, program: &str) -> Result<Vec<u8>, CallError> {
        let exchange = post("v1/cache/export", MAX_EXPORT_BYTES, &json!({ "program": program }));
        Ok(self.call_admin(exchange).await?.body)
    }

    /// Imports a program's cached memory that was exported from another engine.
    pub async fn import(&self, program: &str, bytes: Vec<u8>) -> Result<(), CallError> {
        let path = format!("v1/cache/import?program={}", percent_encode(program));
        self.call_admin(Exchange::new("POST", path, MAX_JSON_BYTES).body(bytes)).await?;
        Ok(())
    }

    /// Sends an order. An engine that checks fencing numbers answers 409 if the number is outdated.
    pub async fn order(&self, order: ModelOrder) -> Result<(), CallError> {
        self.call_admin(post("v1/models", MAX_JSON_BYTES, &json!(order))).await?;
        Ok(())
    }

    async fn call_admin(&self, exchange: Exchange) -> Result<Answer, CallError> {
        let deadline = Instant::now() + self.timeout;
        self.client.call(exchange, Reuse::Pooled, deadline).await?.expect_success()
    }
}

fn post(path: &str, max_body_bytes: usize, body: &serde_json::Value) -> Exchange {
    Exchange::new("POST", path, max_body_bytes)
        .header("Content-Type", "application/json")
        .body(body.to_string().into_bytes())
}
