//! Client for model engines.

mod admin;
mod assemble;
mod chat;
mod sse;

pub use {
    admin::{CacheEvent, CacheEventKind, CacheEvents, CachedProgram, Load, ModelOrder, OrderKind},
    assemble::ChatAssembler,
    chat::{ChatEvent, ChatRequest, ChatStream},
};

use {
    crate::{error::CallError, http::Client},
    std::{net::SocketAddr, time::Duration},
};

/// Default timeout of calls other than turns.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// A client for one engine. Clones share connections.
#[derive(Clone, Debug)]
pub struct Engine {
    client: Client,
    timeout: Duration,
}

impl Engine {
    /// Creates a client without opening a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(address), timeout: ADMIN_TIMEOUT }
    }

    /// Sets the timeout of calls other than turns.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns the engine's address.
    pub fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// Starts a turn. Returns when the head of the engine's answer is received.
    pub async fn chat(&self, request: ChatRequest) -> Result<ChatStream, CallError> {
        chat::start(&self.client, request).await
    }

    /// Resumes an interrupted stream after its first `after` events. The engine answers 404 if
    /// the stream is no longer stored.
    pub async fn resume(
        &self,
        resume_id: &str,
        after: u64,
        deadline: std::time::Instant,
    ) -> Result<ChatStream, CallError> {
        chat::resume(&self.client, resume_id, after, deadline).await
    }
}
