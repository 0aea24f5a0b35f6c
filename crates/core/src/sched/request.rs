//! What a home and a dispatcher say to each other.

use {
    crate::{
        ids::{ClassId, HostId, ProgramId, RequestId, ServiceId, TeamId, UpstreamId},
        message::Usage,
    },
    std::time::Duration,
};

/// Names a slot that a dispatcher granted.
pub type Ticket = u64;

/// Asks a dispatcher for a slot at an upstream of a service.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SlotRequest {
    /// Names the request.
    pub request: RequestId,
    /// The home that asks.
    pub home: HostId,
    /// The service.
    pub service: ServiceId,
    /// The model, for a turn.
    pub model: Option<String>,
    /// The program.
    pub program: ProgramId,
    /// Its class.
    pub class: ClassId,
    /// Its team.
    pub team: TeamId,
    /// Time since the whole program (the topmost parent) was created.
    pub program_age: Duration,
    /// The class's target for the whole program.
    pub target: Duration,
    /// Calls of the program that ended before, turns and others.
    pub calls_done: u32,
    /// Prompt tokens, with history. Zero for tools.
    pub prompt_tokens: u64,
    /// Tokens that the turn may generate. Zero for tools.
    pub completion_tokens: u64,
    /// The upstream that ran the program's last turn.
    pub last_upstream: Option<UpstreamId>,
    /// Hash of the content, by which requests that crash upstreams are known again.
    pub fingerprint: u64,
    /// Whether the call may be sent twice.
    pub is_repeatable: bool,
    /// How long the home will wait for a slot.
    #[serde(rename = "patience")]
    pub max_wait: Duration,
}

/// A slot: permission to send one call to one upstream.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SlotGrant {
    /// Names the slot in the release.
    pub ticket: Ticket,
    /// The upstream to use.
    pub upstream: UpstreamId,
    /// Its address, `ip:port`.
    pub address: String,
    /// Time that the request waited in the queue.
    pub waited: Duration,
}

/// Gives a slot back and says how the call went.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SlotRelease {
    /// The service.
    pub service: ServiceId,
    /// The slot.
    pub ticket: Ticket,
    /// How it went.
    pub outcome: Outcome,
}

/// How a call at an upstream went.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Outcome {
    /// Answered. For a turn with its usage.
    Done {
        /// Time to the first byte.
        first_byte: Duration,
        /// Time to the last byte.
        total: Duration,
        /// Tokens, for a turn.
        usage: Option<Usage>,
    },
    /// The upstream refused it before running anything.
    Refused,
    /// The connection broke under way: the upstream may have died of the call.
    Broken,
    /// No connection could be made: the upstream is gone, and the call has no part in it.
    Unreachable,
    /// No answer within the deadline.
    TimedOut,
    /// The home gave the slot back unused.
    Unused,
}
