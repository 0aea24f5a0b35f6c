//! Events of the timeline.
//!
//! Each host writes its events as JSON lines. The timeline merges the files of all hosts by
//! [`Stamp`]. The fields are optional, so that one flat format fits all kinds of events.

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
    /// Time of the event, in the order over all processes.
    pub at: Stamp,
    /// Host that wrote the event.
    pub host: HostId,
    /// Sequence number of the event at its host. Has no gaps, so that lost lines can be detected.
    pub sequence: u64,
    /// Kind of the event.
    pub kind: Kind,
    /// Program of the event, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<ProgramId>,
    /// Step of the event, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step: Option<StepKey>,
    /// Request of the event, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Team of the event, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
    /// Upstream of the event, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// Epoch under which the host acted, if it acted as an owner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<Epoch>,
    /// Details by name. Names of values with a unit include the unit.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub details: BTreeMap<String, serde_json::Value>,
}

/// What happened.
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
