//! Messages between a home and a dispatcher.

use {
    crate::{
        ids::{ClassId, HostId, ProgramId, RequestId, ServiceId, TeamId, UpstreamId},
        message::Usage,
    },
    std::time::Duration,
};

/// Identifies a slot that a dispatcher granted.
pub type Ticket = u64;

/// Requests a slot at an upstream of a service.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SlotRequest {
    /// Id of the request, the same for all its attempts.
    pub request: RequestId,
    /// Home that makes the request.
    pub home: HostId,
    /// Service whose pool serves the request.
    pub service: ServiceId,
    /// Model of a turn; `None` for tools.
    pub model: Option<String>,
    /// Program that makes the call.
    pub program: ProgramId,
    /// Class of the program.
    pub class: ClassId,
    /// Team of the program, charged for the call.
    pub team: TeamId,
    /// Time since the root program (the topmost parent) was created.
    pub program_age: Duration,
    /// Target duration of a program of this class, from the creation of the root program to its
    /// end.
    pub target: Duration,
    /// Number of completed calls, turns and others, including those of parent programs.
    pub calls_done: u32,
    /// Prompt tokens, including history. Zero for tools.
    pub prompt_tokens: u64,
    /// Maximum number of tokens that the turn may generate. Zero for tools.
    pub completion_tokens: u64,
    /// Upstream that ran the last turn of the program.
    pub last_upstream: Option<UpstreamId>,
    /// Hash of the content, used to recognize requests that crash upstreams.
    pub fingerprint: u64,
    /// Whether the call may be sent again after a failure.
    pub is_repeatable: bool,
    /// Maximum time that the home waits for a slot.
    #[serde(rename = "patience")]
    pub max_wait: Duration,
}

/// A slot: permission to send one call to one upstream.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SlotGrant {
    /// Identifies the slot when it is released.
    pub ticket: Ticket,
    /// Upstream to send the call to.
    pub upstream: UpstreamId,
    /// Address of the upstream, as `ip:port`.
    pub address: String,
    /// Time that the request waited in the queue.
    pub waited: Duration,
}

/// Releases a slot and reports the outcome of the call.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SlotRelease {
    /// Service whose dispatcher granted the slot.
    pub service: ServiceId,
    /// Ticket from [`SlotGrant`].
    pub ticket: Ticket,
    /// Outcome of the call.
    pub outcome: Outcome,
}

/// Outcome of a call at an upstream.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Outcome {
    /// The upstream answered.
    Done {
        /// Time to the first byte.
        first_byte: Duration,
        /// Time to the last byte.
        total: Duration,
        /// Token usage of a turn; `None` for tools.
        usage: Option<Usage>,
    },
    /// The upstream refused the call before running any of it.
    Refused,
    /// The upstream ended during the call. The call may have crashed it.
    Broken,
    /// No connection could be made, or the upstream failed the call and is still there, so the call
    /// has not crashed it.
    Unreachable,
    /// No response arrived within the deadline.
    TimedOut,
    /// The home released the slot without using it.
    Unused,
}
