//! What a dispatcher is told about its pool, and what it orders.

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

/// Names a waiting request. Chosen by the caller; unique among those that wait.
pub type Waiter = u64;

/// One upstream of the pool, as the host list shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamView {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address, `ip:port`.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it is to get no new work.
    pub is_leaving: bool,
    /// Models that it serves; empty for all models of its service.
    pub models: Vec<String>,
}

/// What an engine said about its load, some time ago.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that the engine holds back itself.
    pub waiting: u32,
    /// Tokens in cache memory, idle prefixes included.
    pub kv_used_tokens: u64,
    /// Tokens that fit into cache memory; zero if unknown.
    pub kv_capacity_tokens: u64,
    /// Age of these figures when they arrived.
    pub age: Duration,
}

/// A change of an engine's prefix cache. Events come late and some are lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Counts the engine's events; a jump shows a gap.
    pub sequence: u64,
    /// The holder.
    pub program: ProgramId,
    /// Tokens that the engine now holds for the program; zero when evicted.
    pub tokens: u64,
}

/// A slot that a home holds from before this dispatcher began.
#[derive(Clone, Debug, PartialEq)]
pub struct AdoptedSlot {
    /// The ticket that the former dispatcher gave.
    pub ticket: Ticket,
    /// The upstream at which the call runs.
    pub upstream: UpstreamId,
    /// Age of the grant.
    pub age: Duration,
    /// The request as it was made.
    pub request: SlotRequest,
}

/// What the owner of a dispatcher must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Give a slot to a waiting request.
    Grant {
        /// The request.
        waiter: Waiter,
        /// The slot.
        grant: SlotGrant,
    },
    /// Refuse a waiting request, which was not sent.
    Refuse {
        /// The request.
        waiter: Waiter,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Free the memory that an engine holds for a program.
    Release {
        /// The engine.
        upstream: UpstreamId,
        /// The program.
        program: ProgramId,
    },
    /// Write to the time line.
    LogEvent(LogEvent),
    /// Call `tick` at this time, or earlier. Replaces all former ones.
    WakeAt(Instant),
}

/// An event for the time line, without the parts that the host adds.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEvent {
    /// What happened.
    pub kind: Kind,
    /// The request, if one is concerned.
    pub request: Option<RequestId>,
    /// The program, if one is concerned.
    pub program: Option<ProgramId>,
    /// The team, if one is concerned.
    pub team: Option<TeamId>,
    /// The upstream, if one is concerned.
    pub upstream: Option<UpstreamId>,
    /// Details by name; values carry their unit in the name.
    pub details: BTreeMap<String, serde_json::Value>,
}

impl LogEvent {
    /// Makes a note about nobody in particular.
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

    /// Names the request, its program and its team.
    pub fn with_request(mut self, request: &SlotRequest) -> Self {
        self.request = Some(request.request.clone());
        self.program = Some(request.program.clone());
        self.team = Some(request.team.clone());
        self
    }

    /// Names the upstream.
    pub fn with_upstream(mut self, upstream: &UpstreamId) -> Self {
        self.upstream = Some(upstream.clone());
        self
    }

    /// Adds a detail.
    pub fn with_detail(mut self, name: &str, value: impl Into<serde_json::Value>) -> Self {
        self.details.insert(name.into(), value.into());
        self
    }
}
