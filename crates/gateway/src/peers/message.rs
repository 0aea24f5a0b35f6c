//! Messages between hosts. Each partition of the programs has one ledger.
//!
//! Hosts of two builds run side by side during a release. Fields that a build does not know are
//! ignored, fields that were added later have defaults, and a request of an unknown kind is answered
//! with [`PeerReply::Unsupported`]. A request that hosts of the former build can't do without is
//! sent only to hosts that announce in their records that they read it.

#[cfg(test)]
mod tests;

use {
    crate::{
        crashes::CrashReport,
        http::ListenerState,
        store::{Change, Collection, Revision, StoredObject},
        turns::{RetainedTurn, TurnLookup, TurnWriteOutcome},
    },
    derive_more::Display,
    http::HeaderValue,
    serde::{
        Serialize,
        de::{DeserializeOwned, IgnoredAny},
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    trefoilring_core::{
        budget::{
            Charge, FenceReply, LedgerPosition, NoteHost, ReplicaStatus, ReplicaUpdate,
            ReplicationId, Settlement, VoteOption,
        },
        durations,
        ids::{
            ConfigVersion, ContentHash, DomainId, Epoch, HostId, Incarnation, RequestId, ServiceId,
            TeamId, UpstreamId,
        },
        placement::{LendOutcome, UpstreamRecord},
        roster::HostRecord,
        stream_origins::{OriginReport, StreamOrigin},
        turns::{HeldTrees, TreeId},
    },
};

/// A request from one host to another.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PeerRequest {
    /// Announces the sender: the receiver records it in its roster and counts it as a host.
    #[serde(rename = "greet")]
    Announce { host: HostId, record: HostRecord },
    /// Requests rate-limit tokens of a team's allowance as a loan.
    Lend { team: TeamId, tokens: f64 },
    /// Requests one token of the limit that an upstream names. The sender was told that the limit is
    /// `limit_per_s`, in requests a second from all hosts together, in the answer to a request that
    /// it sent `named_ago`.
    LendUpstreamToken {
        upstream: UpstreamId,
        limit_per_s: f64,
        #[serde(deserialize_with = "durations::bounded")]
        named_ago: Duration,
    },
    /// Requests one token of the rate of a cold upstream. To the sender it is cold for `left`, by entries
    /// up to `revision`.
    LendColdToken {
        upstream: UpstreamId,
        #[serde(deserialize_with = "durations::bounded")]
        left: Duration,
        revision: Revision,
    },
    /// Charges a turn. The receiver replies within `wait`.
    Charge { charge: Charge, wait: Duration },
    /// Settles turns of one ledger. The receiver replies within `wait`.
    Settle { settlements: Vec<Settlement>, wait: Duration },
    /// Asks the receiver to store the outage note that a ledger's record may be incomplete up to a
    /// position.
    NoteOutage {
        #[serde(rename = "part")]
        partition: usize,
        position: LedgerPosition,
    },
    /// Asks the receiver to store no more outage notes for epochs before `epoch`.
    FenceLedger {
        #[serde(rename = "part")]
        partition: usize,
        epoch: Epoch,
    },
    /// Asks the receiver to give up a ledger that it owns as `writer`.
    ReleaseLedger {
        #[serde(rename = "part")]
        partition: usize,
        writer: String,
    },
    /// Asks whether the receiver owns the ledger and wrote its record under the name `writer`.
    #[serde(rename = "is_ledger_kept")]
    LedgerOwnership {
        #[serde(rename = "part")]
        partition: usize,
        writer: String,
    },
    /// Updates the receiver's replica of the sender's ledger. The receiver is the standby: it is
    /// promoted if the owner is lost and the witness grants its vote.
    #[serde(rename = "copy_ledger")]
    ReplicateLedger {
        #[serde(rename = "part")]
        partition: usize,
        update: ReplicaUpdate,
        #[serde(rename = "keeper")]
        owner: SocketAddr,
        witness: SocketAddr,
    },
    /// Ends the replication: the standby discards its replica.
    #[serde(rename = "end_copy")]
    EndReplication {
        #[serde(rename = "part")]
        partition: usize,
        #[serde(rename = "copy")]
        replication: ReplicationId,
    },
    /// Requests the receiver's vote, as the witness, for one of two options.
    #[serde(rename = "consent")]
    RequestVote {
        #[serde(rename = "part")]
        partition: usize,
        #[serde(rename = "copy")]
        replication: ReplicationId,
        #[serde(rename = "to")]
        option: VoteOption,
    },
    /// Requests the configuration if the receiver has a newer one than this version.
    Configuration { newer_than: Option<ConfigVersion> },
    /// Reports attempts that ended with the crash of their upstream.
    ReportCrash { report: CrashReport },
    /// Blames contents for crashes, each for this time: the receiver must not send them.
    BlameContents { contents: Vec<(ContentHash, Duration)> },
    /// Clears contents that got a complete answer.
    ClearContents { contents: Vec<ContentHash> },
    /// Requests the contents that the receiver blames for crashes.
    BlamedContents,
    /// Tells that an upstream has said that this start of it is about to stop.
    UpstreamLeaving { upstream: UpstreamId, incarnation: Option<Incarnation> },
    /// Asks whether a process listens at an upstream's address. The sender reaches no upstream.
    UpstreamListener { upstream: UpstreamId },
    /// Notes the origins of streams that began at the sender.
    NoteStreams { streams: Vec<(RequestId, StreamOrigin)> },
    /// Asks for the origin of the stream that began as `request`, and for the versions of a service.
    StreamOrigin { request: Option<RequestId>, service: ServiceId },
    /// Stores turns, each after the one that it continues. Sent only to hosts that announce a store
    /// of turns, as are the other requests about turns.
    StoreTurns { turns: Vec<RetainedTurn> },
    /// Requests a turn of a team and those before it, until they have `bytes_max`. With 0, asks only
    /// whether the receiver holds the turn. Hosts of a build before this field send a megabyte.
    FindTurn {
        id: RequestId,
        team: TeamId,
        #[serde(default)]
        bytes_max: Option<usize>,
    },
    /// Requests turns that the receiver holds, until they have `bytes_max`.
    FetchTurns {
        ids: Vec<RequestId>,
        #[serde(default)]
        bytes_max: Option<usize>,
    },
    /// Requests which turns the receiver holds, by tree, of the trees after this one.
    HeldTurns { after: Option<TreeId> },
    /// Requests the versions of all services that the receiver knows.
    Versions,
    /// Requests the receiver's list of upstreams.
    Upstreams,
    /// Requests the evacuated failure domains that the receiver knows.
    Evacuations,
    /// Requests the receiver's roster.
    Hosts,
    /// Forwards a request to a host that the sender can't reach.
    Relay {
        to: SocketAddr,
        /// The host at that address. The receiver uses the address that it knows of it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        host: Option<HostId>,
        #[serde(rename = "question")]
        request: Box<PeerRequest>,
        wait: Duration,
    },
    /// Checks whether the receiver can be reached.
    Ping,
    /// Requests the changes of collections of the store, each after the revision that the sender has.
    /// The receiver reads the store for the sender, and replies once there are changes or `wait` has
    /// passed. Sent only to hosts that announce that they do so.
    FollowStore {
        after: Vec<(Collection, Option<Revision>)>,
        #[serde(deserialize_with = "durations::bounded")]
        wait: Duration,
    },
}

/// What has changed in a collection of the store after a revision.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CollectionNews {
    /// The changes, oldest first, and the revision up to which they are complete.
    Changes { changes: Vec<Change>, revision: Revision },
    /// All objects at a revision.
    State { objects: Vec<StoredObject>, revision: Revision },
    /// The host does not pass on what has changed.
    ReadStore,
}

impl CollectionNews {
    /// Returns whether there is more to tell than that nothing has changed.
    pub(crate) fn is_worth_a_reply(&self) -> bool {
        !matches!(self, Self::Changes { changes, .. } if changes.is_empty())
    }
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PeerReply {
    /// The request was carried out and has no result.
    Done,
    /// Number of rate-limit tokens that the host lends.
    Lent { tokens: f64 },
    /// Whether the host lends a token of an upstream's limit.
    UpstreamTokenLent { outcome: LendOutcome },
    /// Outcome of a charge.
    Charged { decision: ChargeDecision },
    /// What became of the settlements.
    Settled { status: SettlementStatus },
    /// Whether a process listens at an upstream's address, as far as the host can tell.
    UpstreamListener { state: ListenerState },
    /// The host that has stored the outage note; `None` if it has not.
    OutageNoted { by: Option<NoteHost> },
    /// The reply to a fence; `None` if the host stores no notes.
    LedgerFenced { reply: Option<FenceReply> },
    /// Whether the host owns the ledger.
    #[serde(rename = "ledger_kept")]
    LedgerOwnership {
        #[serde(rename = "kept")]
        ownership: Ownership,
    },
    /// State of the replica at the standby.
    #[serde(rename = "copied")]
    ReplicaStatus {
        #[serde(rename = "copied")]
        status: ReplicaStatus,
        /// Whether `NotKept` also means that the standby was never promoted from the replication. A
        /// standby of a build before this field may have been.
        #[serde(default)]
        is_certain: bool,
    },
    /// Whether the witness grants its vote.
    #[serde(rename = "consented")]
    Voted {
        #[serde(rename = "is_given")]
        is_granted: bool,
    },
    /// The configuration, if the host has a newer one.
    Configuration { object: Option<StoredObject> },
    /// The contents that the host blames for crashes, each with the time that is left. In reply to
    /// a report only those of the report.
    Blamed { contents: Vec<(ContentHash, Duration)> },
    /// What became of the turns to store.
    TurnsStored { outcome: TurnWriteOutcome },
    /// The turn that was asked for.
    TurnLookup { lookup: TurnLookup },
    /// The first of the turns that were asked for, as many as fit, without those that the host does
    /// not hold. `tried` of them were looked up.
    Turns { turns: Vec<RetainedTurn>, tried: usize },
    /// The turns that the host holds, each after the one that it continues. Ordered by tree.
    HeldTurns {
        trees: HeldTrees,
        /// Whether there are more trees after the last one.
        has_more: bool,
        /// Whether the host leaves, or does not know whether it does.
        #[serde(default)]
        may_leave: bool,
    },
    /// What the host knows of a stream, and the upstreams of the service that leave and may still get
    /// streams, with how much longer.
    StreamOrigin {
        report: OriginReport,
        #[serde(default)]
        departing: Vec<(UpstreamRecord, Duration)>,
    },
    /// The versions of all services that the host knows.
    Versions { versions: Vec<StreamOrigin> },
    /// The host's list of upstreams.
    Upstreams { records: Vec<UpstreamRecord> },
    /// The evacuated failure domains at a revision of the store; `None` if the host knows none of its
    /// states.
    Evacuations { known: Option<(Revision, Vec<DomainId>)> },
    /// All hosts in the host's roster, including itself.
    Hosts { hosts: Vec<(HostId, HostRecord)> },
    /// The other host's reply to a relayed request. `None` if the relay got none.
    Relayed { reply: Option<Box<PeerReply>> },
    /// Changes of the store, which has answered the host this long ago.
    StoreChanges {
        collections: Vec<(Collection, CollectionNews)>,
        #[serde(deserialize_with = "durations::bounded")]
        contact_age: Duration,
    },
    /// The host does not read the store at present, or gets no answers from it.
    NotReading,
    /// The host's build does not read requests of this kind.
    Unsupported { kind: String },
}

impl PeerRequest {
    /// Returns the format in which the request is sent and answered. Requests about turns carry
    /// bytes, which take several times their size in JSON.
    pub(crate) fn format(&self) -> MessageFormat {
        match self {
            Self::StoreTurns { .. }
            | Self::FindTurn { .. }
            | Self::FetchTurns { .. }
            | Self::HeldTurns { .. } => MessageFormat::MessagePack,
            Self::Relay { request, .. } => request.format(),
            _ => MessageFormat::Json,
        }
    }
}

/// Maximum depth of a message in MessagePack. The library's own limit is beyond the stack of a
/// thread.
const DEPTH_MAX: usize = 64;

/// Serialization of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MessageFormat {
    Json,
    MessagePack,
}

impl MessageFormat {
    /// Returns the value of the header `Content-Type`.
    pub(crate) fn content_type(self) -> HeaderValue {
        HeaderValue::from_static(match self {
            Self::Json => "application/json",
            Self::MessagePack => "application/msgpack",
        })
    }

    /// Returns the format that a header `Content-Type` names; JSON if there is none.
    pub(crate) fn from_content_type(value: Option<&HeaderValue>) -> Self {
        match value {
            Some(value) if *value == Self::MessagePack.content_type() => Self::MessagePack,
            _ => Self::Json,
        }
    }

    /// Serializes a message.
    ///
    /// # Errors
    ///
    /// Returns a message for the log.
    pub(crate) fn encode<T: Serialize>(self, message: &T) -> Result<Vec<u8>, String> {
        match self {
            Self::Json => serde_json::to_vec(message).map_err(|error| error.to_string()),
            Self::MessagePack => {
                rmp_serde::to_vec_named(message).map_err(|error| error.to_string())
            }
        }
    }

    /// Deserializes a message.
    ///
    /// # Errors
    ///
    /// Returns a message for the log.
    pub(crate) fn decode<T: DeserializeOwned>(self, body: &[u8]) -> Result<T, String> {
        match self {
            Self::Json => serde_json::from_slice(body).map_err(|error| error.to_string()),
            Self::MessagePack => {
                let mut deserializer = rmp_serde::Deserializer::from_read_ref(body);
                deserializer.set_max_depth(DEPTH_MAX);
                T::deserialize(&mut deserializer).map_err(|error| error.to_string())
            }
        }
    }

    /// Returns the kind of a message: a text, or the only field of a map.
    fn kind_of(self, body: &[u8]) -> Option<String> {
        #[derive(serde::Deserialize)]
        #[serde(untagged)]
        enum Message {
            Unit(String),
            WithFields(BTreeMap<String, IgnoredAny>),
        }
        match self.decode(body).ok()? {
            Message::Unit(kind) => Some(kind),
            Message::WithFields(fields) if fields.len() == 1 => fields.into_keys().next(),
            Message::WithFields(_) => None,
        }
    }
}

/// Why a request can't be read.
#[derive(Debug, Display)]
pub(crate) enum DecodeError {
    /// The request has a form that another build may send.
    #[display("request of unknown kind {kind}: {error}")]
    Unsupported {
        /// The request's kind.
        kind: String,
        /// What this build can't read.
        error: String,
    },
    /// The bytes are not a request of any build.
    #[display("{_0}")]
    Malformed(String),
}

/// Decodes a request.
///
/// # Errors
///
/// Returns a [`DecodeError`], which distinguishes requests of other builds from malformed bytes.
pub(crate) fn decode_request(
    format: MessageFormat,
    body: &[u8],
) -> Result<PeerRequest, DecodeError> {
    format.decode(body).map_err(|error| match format.kind_of(body) {
        Some(kind) => DecodeError::Unsupported { kind, error },
        None => DecodeError::Malformed(error),
    })
}

/// Whether a host owns a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Ownership {
    /// The host owns the ledger and can write its record.
    #[serde(rename = "with_store")]
    StoreAvailable,
    /// The host owns the ledger but can't reach the store, or it holds a replica of the ledger and
    /// tries to be promoted.
    #[serde(rename = "without_store")]
    StoreUnavailable,
    /// The host does not own the ledger.
    #[serde(rename = "no")]
    NotOwner,
}

/// Outcome of a charge.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ChargeDecision {
    /// The turn may start.
    Granted {
        /// Whether this is the first turn of its program.
        is_new: bool,
    },
    /// The rest of the program's budget is too small for the turn.
    #[serde(rename = "spent")]
    InsufficientBudget,
    /// The rest of the budget may be too small: it is not known what lost hosts have granted.
    PossiblySpent,
    /// The ledger must be read or written first, which takes longer than the request may wait.
    Undecided,
    /// Another host owns the ledger, and this host defers to it for now.
    #[serde(rename = "kept_elsewhere")]
    OwnedElsewhere {
        #[serde(rename = "keeper")]
        owner: SocketAddr,
    },
    /// The store can't be reached from this host, or this host is stopping.
    #[serde(rename = "store_away")]
    Unavailable,
}

/// What became of settlements.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum SettlementStatus {
    /// The stored record includes them.
    Stored,
    /// They are applied, but may be lost with the host.
    Pending,
    /// The host does not own the ledger.
    NotOwner,
}
