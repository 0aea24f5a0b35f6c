//! Events of the time line.
//!
//! Each host writes its events as JSON lines; the time line merges the files of all hosts by
//! [`Stamp`]. An event says what happened to whom; the fields are optional so that one flat form
//! serves all kinds.

use {
    crate::{
        hlc::Stamp,
        ids::{Epoch, HostId, ProgramId, RequestId, StepKey, TeamId, UpstreamId},
    },
    std::collections::BTreeMap,
};

/// One line of the event log.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Event {
    /// When, in the order over all processes.
    pub at: Stamp,
    /// The host that saw it.
    pub host: HostId,
    /// Counts the host's events without gaps, so that a lost line shows.
    pub sequence: u64,
    /// What happened.
    pub kind: Kind,
    /// The program, if one is concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<ProgramId>,
    /// The step, if one is concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step: Option<StepKey>,
    /// The request, if one is concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The team, if one is concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
    /// The upstream, if one is concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// The epoch under which the host acted, if it acted as an owner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<Epoch>,
    /// Details by name; values carry their unit in the name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub details: BTreeMap<String, serde_json::Value>,
}

/// What an event tells.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)] // The names say what happened; docs/OPERATIONS.md has a line for each.
pub enum Kind {
    HostStarted,
    HostDraining,
    HostStopped,
    HostSeen,
    HostLost,
    LeaseLost,
    LeaseRegained,
    StoreDown,
    StoreUp,
    ConfigInForce,
    KeyWithdrawn,
    ProgramCreated,
    ProgramEnded,
    ProgramAdopted,
    JournalTakenOver,
    JournalFenced,
    CallReceived,
    CallQueued,
    CallSent,
    CallFirstByte,
    CallEnded,
    CallRecorded,
    CallRefused,
    CallReplayed,
    CallJoined,
    CallRetried,
    UpstreamSeen,
    UpstreamLeaving,
    UpstreamLost,
    UpstreamEjected,
    Quarantined,
    Shed,
    MemoryReleased,
    OrderSent,
}
