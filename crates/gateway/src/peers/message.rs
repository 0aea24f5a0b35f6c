//! Messages between hosts.

use {
    crate::store::StoredObject,
    std::{net::SocketAddr, time::Duration},
    trefoilring_core::{
        budget::{
            Charge, LedgerPosition, OutageNotes, ReplicaUpdate, ReplicationId, TokenCount,
            VoteOption,
        },
        ids::{ConfigVersion, HostId, ProgramId, TeamId},
        placement::UpstreamRecord,
        roster::HostRecord,
    },
};

/// A request from one host to another.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PeerRequest {
    /// Registers the sender in the receiver's roster, so that the receiver counts it as a host.
    Greet { host: HostId, record: HostRecord },
    /// Requests tokens of a team's allowance as a loan.
    Lend { team: TeamId, tokens: f64 },
    /// Charges a turn. The receiver replies within `wait`.
    Charge { charge: Charge, wait: Duration },
    /// Refunds the tokens that turns did not use.
    Refund { refunds: Vec<(ProgramId, TokenCount)> },
    /// Requests the outage notes that the receiver stores for a ledger.
    OutageNotes {
        #[serde(rename = "part")]
        partition: usize,
    },
    /// Asks whether the receiver owns a ledger as the given writer of its records.
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
    /// Tells the standby to discard its replica.
    #[serde(rename = "end_copy")]
    EndReplication {
        #[serde(rename = "part")]
        partition: usize,
        #[serde(rename = "copy")]
        replication: ReplicationId,
    },
    /// Requests the receiver's vote, as the witness, for one of two options.
    #[serde(rename = "consent")]
    Vote {
        #[serde(rename = "part")]
        partition: usize,
        #[serde(rename = "copy")]
        replication: ReplicationId,
        #[serde(rename = "to")]
        option: VoteOption,
    },
    /// Requests the configuration if the receiver has a newer one than this version.
    Configuration { newer_than: Option<ConfigVersion> },
    /// Requests the upstreams that the receiver knows.
    Upstreams,
    /// Requests the hosts that the receiver knows.
    Hosts,
    /// Forwards a request to a host that the sender can't reach.
    Relay {
        to: SocketAddr,
        #[serde(rename = "question")]
        request: Box<PeerRequest>,
        wait: Duration,
    },
    /// Checks whether the receiver can be reached.
    Ping,
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PeerReply {
    /// The request was carried out and has no result.
    Done,
    /// Number of tokens that the host lends.
    Lent { tokens: f64 },
    /// Outcome of a charge.
    Charged { decision: ChargeDecision },
    /// Outage notes that the host stores for the ledger.
    OutageNotes { notes: OutageNotes },
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
    },
    /// Whether the witness grants its vote.
    #[serde(rename = "consented")]
    Voted {
        #[serde(rename = "is_given")]
        is_granted: bool,
    },
    /// The configuration, if the host has a newer one.
    Configuration { object: Option<StoredObject> },
    /// Upstreams that the host knows.
    Upstreams { records: Vec<UpstreamRecord> },
    /// Hosts that the host knows, including itself.
    Hosts { hosts: Vec<(HostId, HostRecord)> },
    /// The other host's reply to a relayed request. `None` if the relay got none.
    Relayed { reply: Option<Box<PeerReply>> },
}

/// Whether a host owns a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Ownership {
    /// The host owns the ledger and can write its record.
    WithStore,
    /// The host owns the ledger, but the store has been unavailable to it for a while.
    WithoutStore,
    /// The host does not own the ledger.
    #[serde(rename = "no")]
    NotOwner,
}

/// State of a ledger's replica at its standby. The variant names appear in decision lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ReplicaStatus {
    /// The standby has applied the update.
    Kept,
    /// The standby has no replica and will not be promoted with one.
    NotKept,
    /// The standby was promoted and owns the ledger.
    StandsIn,
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
    /// The ledger must be read or written first, which takes longer than the request may wait.
    Undecided,
    /// Another host owns the ledger, and this host defers to it for now.
    #[serde(rename = "kept_elsewhere")]
    OwnedElsewhere {
        /// Address of the owner.
        #[serde(rename = "keeper")]
        owner: SocketAddr,
    },
    /// The ledger must be read or written first, and the store can't be reached from this host.
    #[serde(rename = "store_away")]
    StoreUnavailable {
        /// Whether this host has stored the outage note that the charge asks for.
        #[serde(rename = "is_noted")]
        is_acknowledged: bool,
        /// The ledger position up to which this host would grant unreserved charges. Set if the
        /// host owns the ledger as its first-ranked host.
        #[serde(rename = "beyond")]
        position: Option<LedgerPosition>,
    },
}
