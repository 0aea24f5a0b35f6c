//! What hosts ask each other, and answer.

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

/// What one host asks another.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Question {
    /// Know of me, and count me from now on.
    Greet { host: HostId, record: HostRecord },
    /// Lend me tokens of a team's allowance.
    Lend { team: TeamId, tokens: f64 },
    /// Charge a turn, to be answered until the time is over.
    Charge { charge: Charge, wait: Duration },
    /// Take back what turns did not use.
    Refund { refunds: Vec<(ProgramId, TokenCount)> },
    /// Tell me what you have noted of a ledger.
    OutageNotes {
        #[serde(rename = "part")]
        partition: usize,
    },
    /// Tell me whether you keep a ledger as this writer of its records.
    IsLedgerKept {
        #[serde(rename = "part")]
        partition: usize,
        writer: String,
    },
    /// Keep a copy of my ledger up to date, and stand in for me if I am lost and the witness consents.
    CopyLedger {
        #[serde(rename = "part")]
        partition: usize,
        update: ReplicaUpdate,
        keeper: SocketAddr,
        witness: SocketAddr,
    },
    /// Forget the copy.
    EndCopy {
        #[serde(rename = "part")]
        partition: usize,
        copy: ReplicationId,
    },
    /// Consent, as the witness, to one of two things.
    Consent {
        #[serde(rename = "part")]
        partition: usize,
        copy: ReplicationId,
        to: VoteOption,
    },
    /// Give me a newer configuration than this version.
    Configuration { newer_than: Option<ConfigVersion> },
    /// Give me the upstreams that you know.
    Upstreams,
    /// Give me the hosts that you know.
    Hosts,
    /// Ask a host that I can't reach, and pass its answer on.
    Relay { to: SocketAddr, question: Box<Question>, wait: Duration },
    /// Answer, so that I know you can be reached.
    Ping,
}

/// What it answers.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Reply {
    /// It is done.
    Done,
    /// It lends this much.
    Lent { tokens: f64 },
    /// What became of the charge.
    Charged { decision: ChargeDecision },
    /// The notes.
    OutageNotes { notes: OutageNotes },
    /// Whether it does.
    LedgerKept { kept: Kept },
    /// What became of the copy.
    Copied { copied: Copied },
    /// Whether it does.
    Consented { is_given: bool },
    /// The configuration, if there is a newer one.
    Configuration { object: Option<StoredObject> },
    /// The upstreams.
    Upstreams { records: Vec<UpstreamRecord> },
    /// The hosts.
    Hosts { hosts: Vec<(HostId, HostRecord)> },
    /// What the other host has answered, if it has.
    Relayed { reply: Option<Box<Reply>> },
}

/// Whether a host keeps a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kept {
    /// It does, and can write its record.
    WithStore,
    /// It does, and the store has failed it for a while.
    WithoutStore,
    /// It does not.
    No,
}

/// What became of the copy of a ledger at its standby.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Copied {
    /// The standby has what it was sent.
    Kept,
    /// It has none, and will not stand in with one.
    NotKept,
    /// It stands in.
    StandsIn,
}

/// What became of a charge.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ChargeDecision {
    /// The turn may start.
    Granted {
        /// Whether it opens its program.
        is_new: bool,
    },
    /// The budget does not hold it.
    Spent,
    /// The ledger has to be read or written first, which takes longer.
    Undecided,
    /// Another host keeps the ledger, and this one leaves it to that for now.
    KeptElsewhere {
        /// Where that host is.
        keeper: SocketAddr,
    },
    /// The ledger has to be read or written first, and the store can't be reached from here.
    StoreAway {
        /// Whether this host has noted what it was asked to.
        is_noted: bool,
        /// Up to which write this host would go beyond the record, if it keeps the ledger as its
        /// first choice.
        beyond: Option<LedgerPosition>,
    },
}
