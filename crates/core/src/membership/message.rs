//! Messages between membership state machines, operations on the store, and the events and
//! commands of the state machine.
//!
//! Messages carry sequence numbers and never a time: a time is only ever compared with times of the
//! same host's clock.

use {
    crate::ids::{ConfigVersion, DomainId, Epoch, HostId, JournalId, Member},
    std::{collections::BTreeMap, time::Instant},
};

/// Lifecycle state of a host.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host does not have its own entry in its view yet and holds no roles.
    Joining,
    /// The host accepts roles.
    Live,
    /// The host finishes its current work and accepts no new roles.
    Draining,
    /// The host has ended its own lease, so its entry is removed without waiting for the lease to
    /// expire.
    Left,
}

/// A journal that a host owns.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct OwnedJournal {
    /// The owned journal.
    pub journal: JournalId,
    /// The epoch under which the host owns it.
    pub epoch: Epoch,
}

/// A host's entry in its domain's roster, from which every host's view is built.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HostEntry {
    /// The host and its incarnation.
    pub member: Member,
    /// Address at which other hosts reach this host, `ip:port`.
    pub address: String,
    /// The host's failure domain.
    pub domain: DomainId,
    /// Lifecycle state that the host announced.
    pub state: HostState,
    /// Journals that the host owns.
    pub journals: Vec<OwnedJournal>,
    /// Version of the configuration that the host has in force.
    pub config: ConfigVersion,
    /// Revision of the roster in which this entry was added, or zero in an entry that has not been
    /// in a roster yet.
    #[serde(rename = "live_beat")]
    pub added_revision: u64,
    /// Whether every host with a lease has this host in its view as live, so that it may hold
    /// exclusive roles.
    pub is_settled: bool,
    /// Whether the current writer of the roster took over the entry from a former delegate and has
    /// not received a heartbeat of the host yet.
    pub is_inherited: bool,
}

impl HostEntry {
    /// Returns whether the host accepts roles.
    pub fn is_live(&self) -> bool {
        self.state == HostState::Live
    }
}

/// A delegate of another domain whose confirmation is needed to extend leases without the store,
/// or whose release is needed to remove the hosts that hold them.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize)]
pub struct Guard {
    /// The delegate. Invariant: names one process; a successor as delegate is a different guard.
    pub member: Member,
    /// Address of the delegate, `ip:port`.
    pub address: String,
}

/// The stored roster of a domain, at the key `roster/{domain}`, encoded as JSON.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Roster {
    /// The failure domain whose hosts the roster lists.
    pub domain: DomainId,
    /// The delegate that wrote this revision.
    pub writer: Member,
    /// Address of the writer, `ip:port`.
    pub writer_address: String,
    /// Increases with each write. Invariant: never reused, even if another delegate writes.
    #[serde(rename = "beat")]
    pub revision: u64,
    /// The hosts of the domain. Invariant: an entry is removed only when its lease has ended.
    pub hosts: BTreeMap<HostId, HostEntry>,
    /// The delegates of the other domains whose rosters the writer had read.
    pub guards: Vec<Guard>,
    /// Guard sets of the former writers' rosters. Present while inherited entries remain.
    #[serde(default)]
    pub former_guards: Vec<Vec<Guard>>,
    /// Revision of each other domain's roster that the writer has in its view.
    #[serde(default)]
    pub seen: BTreeMap<DomainId, u64>,
}

/// Version of a view: the delegate that assigned it, and its sequence number.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ViewVersion {
    /// The delegate that assigned the version; `None` before the first update.
    pub delegate: Option<Member>,
    /// Sequence number. It increases with each change of the delegate's view.
    pub number: u64,
}

/// Heartbeat that a host sends to its delegate once per heartbeat interval.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Heartbeat {
    /// Sequence number of the heartbeat. The lease period starts at the time at which the host sent
    /// this heartbeat.
    pub seq: u64,
    /// Entry of the host for the roster.
    pub entry: HostEntry,
    /// Version of the host's view. The reply contains only later changes.
    pub view: ViewVersion,
}

/// Changes of the delegate's view since the version that a host reported.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ViewUpdate {
    /// Version of the view after the update.
    pub stamp: ViewVersion,
    /// Whether the update contains the complete view and replaces the former one.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
    /// New and changed entries.
    pub changed: Vec<HostEntry>,
    /// Hosts that were removed from the rosters.
    pub removed: Vec<HostId>,
    /// The delegate of each domain whose delegate changed.
    pub delegates: Vec<(DomainId, HostId)>,
}

/// A delegate's acknowledgement of a heartbeat, or its announcement to its domain.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HeartbeatReply {
    /// Sequence number of the acknowledged heartbeat. Zero acknowledges none; a new delegate uses
    /// it to announce itself.
    pub acked_seq: u64,
    /// Revision of the delegate's stored roster.
    #[serde(rename = "beat")]
    pub revision: u64,
    /// Changes of the view since the version that the heartbeat reported.
    pub view: ViewUpdate,
    /// Whether the store answers the delegate.
    pub is_store_up: bool,
    /// Newest object version of the configuration's manifest (zero: absent), confirmed after the
    /// delegate received the heartbeat. `None` if it could not be confirmed.
    pub manifest_version: Option<u64>,
}

/// A query from a delegate to a guard, sent when the store can't be reached or its contents don't
/// suffice to remove a host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Query {
    /// Sent when the store does not answer the sender. Asks whether the store answers the receiver,
    /// and if not, to confirm that the leases of the sender's domain may be extended without the
    /// store.
    Freeze {
        /// Number of the sender's freeze round.
        round: u64,
        /// Domain of the sender.
        domain: DomainId,
    },
    /// Asks the receiver not to confirm any further lease extension of a domain until the receiver
    /// reads a newer roster of that domain.
    Release {
        /// The domain whose entries the sender wants to remove.
        domain: DomainId,
        /// Revision of the domain's roster.
        #[serde(rename = "beat")]
        revision: u64,
        /// The guard whose release is requested.
        guard: Member,
    },
}

/// The answer to a [`Query`].
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Answer {
    /// Answer to [`Query::Freeze`].
    Freeze {
        /// Round number from the query.
        round: u64,
        /// Domain of the answering host.
        domain: DomainId,
        /// Whether the answering host can reach the store.
        is_store_up: bool,
        /// Whether the answering host confirms the extension of the leases.
        is_confirmed: bool,
    },
    /// Answer to [`Query::Release`]. A guard that does not release sends no answer.
    Release {
        /// Domain from the query.
        domain: DomainId,
        /// Revision from the query.
        #[serde(rename = "beat")]
        revision: u64,
        /// The guard that released the domain.
        guard: Member,
    },
}

/// An operation on the store.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum StoreOp {
    /// Reads one object.
    Read {
        /// Key of the object.
        key: String,
    },
    /// Writes one object if it still has the given version.
    Write {
        /// Key of the object.
        key: String,
        /// Object version that the write requires; zero requires that the object is absent.
        if_version: u64,
        /// The new value.
        bytes: Vec<u8>,
    },
    /// Lists keys with their object versions.
    List {
        /// Prefix of the listed keys.
        prefix: String,
    },
}

/// Reply of the store to a successful operation.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum StoreReply {
    /// The object that was read.
    Value {
        /// Object version.
        version: u64,
        /// Value of the object.
        bytes: Vec<u8>,
    },
    /// The object does not exist.
    Absent,
    /// The write took effect.
    Written {
        /// New object version.
        version: u64,
    },
    /// The keys with their object versions.
    Listed(Vec<(String, u64)>),
}

/// Why an operation on the store failed.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum StoreError {
    /// The operation was refused or never sent, so it has not taken effect.
    NotRun,
    /// The object has a different version than the write requires.
    Conflict,
    /// No answer was received: the operation may or may not have taken effect.
    Unknown,
}

/// The outcome of an operation on the store.
pub type StoreResult = Result<StoreReply, StoreError>;

/// Content of a message between two hosts.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Body {
    /// From a host to its delegate.
    Heartbeat(Heartbeat),
    /// From a delegate to a host of its domain.
    Reply(HeartbeatReply),
    /// From a delegate to a guard.
    #[serde(rename = "Ask")]
    Query(Query),
    /// From a guard to the delegate that sent the query.
    Answer(Answer),
    /// Asks the receiver to run an operation on the store for the sender.
    Relay {
        /// Identifies the operation at the sender.
        token: u64,
        /// The operation to run.
        op: StoreOp,
    },
    /// Reports the outcome of a relayed operation.
    Relayed {
        /// Token from the relay request.
        token: u64,
        /// Outcome of the operation.
        result: StoreResult,
    },
}

/// A one-way message between hosts. The protocol tolerates loss, duplication and reordering.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// The sender's address, `ip:port`.
    pub address: String,
    /// The content.
    pub body: Body,
}

/// Input of the membership state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. The caller sends this event at least ten times per heartbeat interval.
    Tick,
    /// A message was received.
    Received(Message),
    /// An operation on the store ended. The caller sends this event once for each
    /// [`Command::Store`], with [`StoreError::Unknown`] after a time-out.
    StoreOperationEnded {
        /// Token from the command.
        token: u64,
        /// Outcome of the operation.
        result: StoreResult,
    },
    /// A connection to a host broke or could not be opened. This affects only dispatchers, backups
    /// and successors of journals, not exclusive roles.
    PeerLost(HostId),
    /// A host can be reached again.
    PeerSeen(HostId),
    /// The host drains: it hands over its roles and accepts no new ones.
    Drain,
    /// The host leaves: every request has ended, and it will have no further effects.
    Leave,
}

/// Output of the membership state machine, for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a message without waiting for an answer.
    Send {
        /// The receiver, which may have restarted since it sent its address.
        to: HostId,
        /// Address of the receiver, `ip:port`.
        address: String,
        /// The message to send.
        message: Message,
    },
    /// Run an operation on the store.
    Store {
        /// Identifies the operation in [`Event::StoreOperationEnded`].
        token: u64,
        /// The operation to run.
        op: StoreOp,
    },
    /// The view has changed; the caller must evaluate the roles again.
    ViewChanged,
    /// The manifest had this object version at some time after `as_of`.
    ManifestSeen {
        /// Object version of the manifest; zero if it was absent.
        version: u64,
        /// Local time at which this host sent the heartbeat whose acknowledgement reported the
        /// version. The delegate confirmed the version after that.
        as_of: Instant,
    },
    /// Write a log entry.
    Log(LogEvent),
}

/// A change that needs no action except a log entry or a recorded event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogEvent {
    /// A host or a new incarnation of it was added to the view.
    HostSeen(Member),
    /// A host was removed from the view.
    HostLost(Member),
    /// This host's lease has ended.
    LeaseLost,
    /// This host has a lease, for the first time or again.
    LeaseRegained,
    /// The store does not answer the delegate of this host's domain.
    StoreDown,
    /// The store answers the delegate of this host's domain again.
    StoreUp,
    /// This host has become the delegate of its domain.
    BecameDelegate,
    /// This host is no longer the delegate of its domain.
    BecameFollower,
}
