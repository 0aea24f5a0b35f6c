//! Events of the timeline.
//!
//! Each host writes its events as JSON lines. The timeline merges the files of all hosts by
//! [`Stamp`]. All kinds of events have the same flat format; fields that a kind does not use are
//! omitted.

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
    /// Hybrid logical timestamp. Orders events across processes.
    pub at: Stamp,
    /// Host that wrote the event.
    pub host: HostId,
    /// Increases by one per event of the host, so that gaps reveal lost lines.
    pub sequence: u64,
    /// Kind of the event.
    pub kind: Kind,
    /// Program that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<ProgramId>,
    /// Step that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step: Option<StepKey>,
    /// Request that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Team that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
    /// Upstream that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// Epoch under which the host acted, if it acted as the owner of a journal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<Epoch>,
    /// Details by name. Names of values with a unit include the unit.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub details: BTreeMap<String, serde_json::Value>,
}

/// Kind of an event.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)] // The names are self-explanatory; docs/OPERATIONS.md describes each one.
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
