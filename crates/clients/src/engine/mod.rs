//! Client of model engines.

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

/// The longest that a call takes that is not a turn.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// The client of one engine. Clones share connections.
#[derive(Clone, Debug)]
pub struct Engine {
    client: Client,
    timeout: Duration,
}

impl Engine {
    /// Makes a client.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(address), timeout: ADMIN_TIMEOUT }
    }

    /// Sets the longest that a call takes that is not a turn.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// The engine's address.
    pub fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// Starts a turn. Returns once the engine has accepted it and answers.
    pub async fn chat(&self, request: ChatRequest) -> Result<ChatStream, CallError> {
        chat::start(&self.client, request).await
    }

    /// Resumes a cut stream after the chunks that were seen. An engine that no longer holds it
    /// answers 404.
    pub async fn resume(
        &self,
        resume_id: &str,
        after: u64,
        deadline: std::time::Instant,
    ) -> Result<ChatStream, CallError> {
        chat::resume(&self.client, resume_id, after, deadline).await
    }
}
