//! What hosts say to each other and to the store about membership.
//!
//! All times stay on the clock of the host that measured them: messages carry sequence numbers,
//! never a time.

use {
    crate::ids::{ConfigVersion, DomainId, Epoch, HostId, JournalId, Member},
    std::{collections::BTreeMap, time::Instant},
};

/// Where a host stands in its life.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Known, but not yet taking roles.
    Joining,
    /// Takes roles.
    Live,
    /// Finishes what it has and takes no new roles.
    Draining,
    /// Has ended by itself: its lease is over, and its entry is removed without a wait.
    Left,
}

/// A journal that a host owns.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct OwnedJournal {
    /// The journal.
    pub journal: JournalId,
    /// The epoch under which the host owns it.
    pub epoch: Epoch,
}

/// What all hosts know of one host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HostEntry {
    /// The host and its incarnation.
    pub member: Member,
    /// Address for other hosts, `ip:port`.
    pub address: String,
    /// The failure domain.
    pub domain: DomainId,
    /// Where it stands.
    pub state: HostState,
    /// Journals that it owns.
    pub journals: Vec<OwnedJournal>,
    /// The configuration that it has in force.
    pub config: ConfigVersion,
    /// Beat of the roster in which it became live, or zero.
    #[serde(rename = "live_beat")]
    pub live_revision: u64,
    /// Whether every leased host knows that it is live, so that it may hold exclusive roles.
    pub is_settled: bool,
    /// Whether the present writer of the roster took the entry over and hasn't heard the host.
    pub is_inherited: bool,
}

impl HostEntry {
    /// Returns whether the host takes roles.
    pub fn is_live(&self) -> bool {
        self.state == HostState::Live
    }
}

/// A delegate whose word counts for the leases of another domain.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize)]
pub struct Guard {
    /// The delegate. Invariant: one process, not whoever follows it.
    pub member: Member,
    /// Its address, `ip:port`.
    pub address: String,
}

/// The stored roster of a domain, `roster/{domain}`, in JSON.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Roster {
    /// The domain.
    pub domain: DomainId,
    /// The delegate that wrote it.
    pub writer: Member,
    /// Its address, `ip:port`.
    pub writer_address: String,
    /// Counts writes. Invariant: rises with each write, whoever writes.
    #[serde(rename = "beat")]
    pub revision: u64,
    /// The hosts of the domain. Invariant: an entry goes only when its lease has ended.
    pub hosts: BTreeMap<HostId, HostEntry>,
    /// Delegates of the other domains that the writer knew.
    pub guards: Vec<Guard>,
    /// Guards of former writers, for as long as inherited entries remain.
    #[serde(default)]
    pub former_guards: Vec<Vec<Guard>>,
    /// The beat of each other roster that the writer has in its view.
    #[serde(default)]
    pub seen: BTreeMap<DomainId, u64>,
}

/// Names a state of a delegate's view.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ViewStamp {
    /// The delegate that counts, if any.
    pub delegate: Option<Member>,
    /// Counts changes of its view.
    pub number: u64,
}

/// What a host tells its delegate, once a heartbeat interval.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Heartbeat {
    /// Counts the host's heartbeats; its lease runs from when it sent this one.
    pub seq: u64,
    /// The host.
    pub entry: HostEntry,
    /// The view that the host has, so that only changes are sent.
    pub view: ViewStamp,
}

/// Changes of the view since the state that a host has.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ViewUpdate {
    /// The state after the update.
    pub stamp: ViewStamp,
    /// Whether the host forgets all that it knew first.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
    /// New and changed entries.
    pub changed: Vec<HostEntry>,
    /// Hosts that are gone.
    pub removed: Vec<HostId>,
    /// Delegate by domain, where changed.
    pub delegates: Vec<(DomainId, HostId)>,
}

/// A delegate's answer to a heartbeat that a roster includes.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HeartbeatReply {
    /// The latest heartbeat that counts.
    pub acked_seq: u64,
    /// Beat of the roster that includes it.
    #[serde(rename = "beat")]
    pub revision: u64,
    /// Changes of the view.
    pub view: ViewUpdate,
    /// Whether the store answers the delegate.
    pub is_store_up: bool,
    /// Object version of the configuration's manifest, if it was known to be the newest after
    /// the heartbeat came.
    pub manifest_version: Option<u64>,
}

/// What one host asks of another about the store.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Query {
    /// "The store doesn't answer me. Does it answer you? If not, let my domain's leases go on."
    Freeze {
        /// Counts the asker's freeze rounds.
        round: u64,
        /// The asker's domain.
        domain: DomainId,
    },
    /// "Will you let no lease of this domain go on without the store, until you read a newer
    /// roster?"
    Release {
        /// The domain whose entries are to go.
        domain: DomainId,
        /// The beat of its roster.
        #[serde(rename = "beat")]
        revision: u64,
        /// The guard that is asked.
        guard: Member,
    },
}

/// The answer to an [`Ask`].
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Answer {
    /// To [`Ask::Freeze`].
    Freeze {
        /// The asker's round.
        round: u64,
        /// The answering host's domain.
        domain: DomainId,
        /// Whether the store answers the answering host.
        is_store_up: bool,
        /// Whether the leases may go on, as far as this host has a say.
        is_confirmed: bool,
    },
    /// To [`Ask::Release`], given only when released.
    Release {
        /// The domain.
        domain: DomainId,
        /// The beat of its roster.
        #[serde(rename = "beat")]
        revision: u64,
        /// The guard that was asked.
        guard: Member,
    },
}

/// An operation on the store.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum StoreOp {
    /// Read one object.
    Read {
        /// The key.
        key: String,
    },
    /// Write one object if it still has a version; zero to create it.
    Write {
        /// The key.
        key: String,
        /// The version that it must have.
        if_version: u64,
        /// The new value.
        bytes: Vec<u8>,
    },
    /// List keys with versions.
    List {
        /// The prefix.
        prefix: String,
    },
}

/// A store's answer.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum StoreReply {
    /// The object.
    Value {
        /// Its version.
        version: u64,
        /// Its value.
        bytes: Vec<u8>,
    },
    /// No such object.
    Absent,
    /// The write took effect.
    Written {
        /// The new version.
        version: u64,
    },
    /// The keys with their versions.
    Listed(Vec<(String, u64)>),
}

/// Why an operation on the store failed.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum StoreError {
    /// It did not take effect: refused, or never sent.
    NotRun,
    /// The object has another version.
    Conflict,
    /// No answer: it may have taken effect.
    Unknown,
}

/// The outcome of an operation on the store.
pub type StoreResult = Result<StoreReply, StoreError>;

/// What one host sends another.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Body {
    /// To the delegate.
    Heartbeat(Heartbeat),
    /// From the delegate.
    Reply(HeartbeatReply),
    /// About the store.
    #[serde(rename = "Ask")]
    Query(Query),
    /// To an ask.
    Answer(Answer),
    /// Please do this at the store for me.
    Relay {
        /// Names the operation at the asker.
        token: u64,
        /// The operation.
        op: StoreOp,
    },
    /// What came of it.
    Relayed {
        /// Names the operation at the asker.
        token: u64,
        /// The outcome.
        result: StoreResult,
    },
}

/// A one-way message between hosts. Loss, repeats and any order are harmless.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// The sender's address, `ip:port`.
    pub address: String,
    /// What it says.
    pub body: Body,
}

/// What happened to the membership machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time went by. Give it at least ten times a heartbeat interval.
    Tick,
    /// A message came.
    Received(Message),
    /// An operation on the store ended. Each [`Command::Store`] is answered once, at the latest
    /// with [`StoreError::Unknown`] after a timeout.
    Stored {
        /// From the command.
        token: u64,
        /// The outcome.
        result: StoreResult,
    },
    /// A connection to a host broke or could not be made. Moves soft roles only.
    PeerLost(HostId),
    /// A host answers again.
    PeerSeen(HostId),
    /// Hand over and take no new roles.
    Drain,
    /// Leave for good: every request has ended and nothing will be done any more.
    Leave,
}

/// What the membership machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a message; don't wait.
    Send {
        /// The receiver, which may have restarted since.
        to: HostId,
        /// Its address, `ip:port`.
        address: String,
        /// The message.
        message: Message,
    },
    /// Do an operation on the store.
    Store {
        /// Names the operation in [`Event::Stored`].
        token: u64,
        /// The operation.
        op: StoreOp,
    },
    /// The view has changed: look at the roles again.
    ViewChanged,
    /// The manifest had this object version (zero: absent) at some time after `as_of`.
    ManifestSeen {
        /// Object version of the manifest.
        version: u64,
        /// Local time from which on it is known to have held.
        as_of: Instant,
    },
    /// For the time line.
    Log(LogEvent),
}

/// What people want to know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogEvent {
    /// A host is new in the view.
    HostSeen(Member),
    /// A host is gone from the view.
    HostLost(Member),
    /// The own lease has ended.
    LeaseLost,
    /// The own lease holds (again).
    LeaseRegained,
    /// The store doesn't answer the own domain's delegate.
    StoreDown,
    /// The store answers (again).
    StoreUp,
    /// This host writes the roster of its domain from now on.
    BecameDelegate,
    /// Another host writes the roster of this domain.
    BecameFollower,
}
