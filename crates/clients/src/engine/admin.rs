//! Load, cached memory and orders.

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

/// The largest answer that is read as JSON.
const MAX_JSON_BYTES: usize = 16 * 1024 * 1024;
/// The largest export of one program's memory.
const MAX_EXPORT_BYTES: usize = 256 * 1024 * 1024;

/// An engine's report of its load. It lags.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Load {
    /// Requests in the batch.
    pub running: u64,
    /// Requests that wait for a place in the batch.
    pub waiting: u64,
    /// Tokens in the cache, in use or kept.
    pub kv_used_tokens: u64,
    /// Tokens that the cache can hold.
    pub kv_capacity_tokens: u64,
    /// Age of the report.
    pub age_ms: u64,
}

/// What happened to cached memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// A program's prefix was stored; the tokens are its whole length.
    Stored,
    /// A program's prefix was evicted or released; the tokens are what is left.
    Evicted,
}

/// One cache event.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CacheEvent {
    /// Counts events of the engine; a gap means that events were lost.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The holder.
    pub program: ProgramId,
    /// Tokens held after the event.
    pub tokens: u64,
}

/// Cache events since a sequence number.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CacheEvents {
    /// The sequence number to ask for next. One below the last means that the engine restarted.
    pub next: u64,
    /// Events, late and with gaps.
    pub events: Vec<CacheEvent>,
}

/// Memory held for one program.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CachedProgram {
    /// The program.
    pub program: ProgramId,
    /// Tokens held.
    pub tokens: u64,
    /// Time since it was last used.
    pub idle_ms: u64,
}

/// What an engine is told to do with a model.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)] // The names are those of the interface.
pub enum OrderKind {
    Load,
    Unload,
    Adapter,
    Version,
    Role,
}

/// An order to an engine. Repeated orders are harmless.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ModelOrder {
    /// What to do.
    pub order: OrderKind,
    /// The model that it is about.
    pub model: String,
    /// The adapter, the version or the role.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// The sender's fencing number; an engine that checks refuses a lower one than it has seen.
    pub fencing: u64,
}

impl Engine {
    /// Asks for the load.
    pub async fn load(&self) -> Result<Load, CallError> {
        self.call_admin(Exchange::new("GET", "v1/load", MAX_JSON_BYTES)).await?.json()
    }

    /// Asks for cache events from a sequence number on.
    pub async fn cache_events(&self, since: u64) -> Result<CacheEvents, CallError> {
        let path = format!("v1/cache/events?since={since}");
        self.call_admin(Exchange::new("GET", path, MAX_JSON_BYTES)).await?.json()
    }

    /// Asks for which programs memory is held.
    pub async fn cached_programs(&self) -> Result<Vec<CachedProgram>, CallError> {
        #[derive(serde::Deserialize)]
        struct Page {
            programs: Vec<CachedProgram>,
        }
        let exchange = Exchange::new("GET", "v1/cache/programs", MAX_JSON_BYTES);
        Ok(self.call_admin(exchange).await?.json::<Page>()?.programs)
    }

    /// Frees all memory held for a program. Repeated releases are harmless.
    pub async fn release(&self, program: &str) -> Result<(), CallError> {
        self.call_admin(post("v1/cache/release", MAX_JSON_BYTES, &json!({ "program": program })))
            .await?;
        Ok(())
    }

    /// Exports a program's cached memory. An engine that holds none answers 404.
    pub async fn export(&self, program: &str) -> Result<Vec<u8>, CallError> {
        let exchange = post("v1/cache/export", MAX_EXPORT_BYTES, &json!({ "program": program }));
        Ok(self.call_admin(exchange).await?.body)
    }

    /// Imports memory that was exported by another engine.
    pub async fn import(&self, program: &str, bytes: Vec<u8>) -> Result<(), CallError> {
        let path = format!("v1/cache/import?program={}", percent_encode(program));
        self.call_admin(Exchange::new("POST", path, MAX_JSON_BYTES).body(bytes)).await?;
        Ok(())
    }

    /// Gives an order. An engine that checks fencing numbers answers 409 to an old one.
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
