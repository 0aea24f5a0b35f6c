//! Inputs and commands of a dispatcher.

use {
    crate::{
        event::Kind,
        ids::{DomainId, ProgramId, RequestId, TeamId, UpstreamId},
        sched::{SlotGrant, SlotRequest, Ticket},
        verdict::Refusal,
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Identifies a waiting request. Chosen by the caller; unique among the waiting requests.
pub type WaiterId = u64;

/// State of one upstream of the pool, taken from the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamView {
    /// Id that stays the same while the upstream is in the host list.
    pub upstream: UpstreamId,
    /// Address that calls are sent to, as `ip:port`.
    pub address: String,
    /// Failure domain, compared with that of a request's home when an upstream is chosen.
    pub domain: DomainId,
    /// Whether the upstream is draining and accepts no new work.
    pub is_leaving: bool,
    /// Models that the upstream serves; empty if it serves all models of its service.
    pub models: Vec<String>,
}

/// Load that an engine reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests in the engine's own queue.
    pub waiting: u32,
    /// Tokens in the KV cache, including cached prefixes that no request uses.
    pub kv_used_tokens: u64,
    /// Capacity of the KV cache in tokens; zero if unknown.
    pub kv_capacity_tokens: u64,
    /// Age of the report when it was received.
    pub age: Duration,
}

/// A change of an engine's prefix cache. Events arrive late and some are lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Sequence number of the event at its engine; a skipped number means that events were lost.
    pub sequence: u64,
    /// Program whose prefix is cached or was evicted.
    pub program: ProgramId,
    /// Tokens that the engine now caches for the program; zero after an eviction.
    pub tokens: u64,
}

/// A slot that a home already held when this dispatcher started.
#[derive(Clone, Debug, PartialEq)]
pub struct AdoptedSlot {
    /// Ticket that the previous dispatcher issued.
    pub ticket: Ticket,
    /// Upstream that runs the call.
    pub upstream: UpstreamId,
    /// Time since the slot was granted.
    pub age: Duration,
    /// Request that the slot was granted for.
    pub request: SlotRequest,
}

/// An action that the owner of a dispatcher must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Grants a slot to a waiting request.
    Grant {
        /// Request that receives the slot.
        waiter: WaiterId,
        /// Slot to hand to the home.
        grant: SlotGrant,
    },
    /// Refuses a waiting request, which was not sent to an upstream.
    Refuse {
        /// Request that is refused.
        waiter: WaiterId,
        /// Reason of the refusal, with the retry delay.
        refusal: Refusal,
    },
    /// Frees the cache memory that an engine holds for a program.
    Release {
        /// Engine that holds the memory.
        upstream: UpstreamId,
        /// Program whose prefix is no longer needed.
        program: ProgramId,
    },
    /// Writes an event to the event log.
    LogEvent(LogEvent),
    /// The owner must call [`Dispatcher::tick`](super::Dispatcher::tick) no later than this time.
    /// Replaces any earlier `WakeAt`.
    WakeAt(Instant),
}

/// An event for the event log, without the fields that the host adds.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEvent {
    /// Kind of event.
    pub kind: Kind,
    /// Request that the event concerns.
    pub request: Option<RequestId>,
    /// Program that the event concerns.
    pub program: Option<ProgramId>,
    /// Team that the event concerns.
    pub team: Option<TeamId>,
    /// Upstream that the event concerns.
    pub upstream: Option<UpstreamId>,
    /// Details by name. A name ends with the unit of its value.
    pub details: BTreeMap<String, serde_json::Value>,
}

impl LogEvent {
    /// Creates an event without a request, program, team, upstream or details.
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            request: None,
            program: None,
            team: None,
            upstream: None,
            details: BTreeMap::new(),
        }
    }

    /// Sets the request, its program and its team.
    pub fn with_request(mut self, request: &SlotRequest) -> Self {
        self.request = Some(request.request.clone());
        self.program = Some(request.program.clone());
        self.team = Some(request.team.clone());
        self
    }

    /// Sets the upstream.
    pub fn with_upstream(mut self, upstream: &UpstreamId) -> Self {
        self.upstream = Some(upstream.clone());
        self
    }

    /// Adds a field to the details of the event; replaces a field of the same name.
    pub fn with_detail(mut self, name: &str, value: impl Into<serde_json::Value>) -> Self {
        self.details.insert(name.into(), value.into());
        self
    }
}
