//! Request and reply types of the `Peer` service that are not defined by a state machine of the
//! core.

use {
    std::time::Duration,
    trefoilring_core::{
        call::{Caller, Chunk, CreateProgram, ProgramQuery},
        ids::{Epoch, JournalId, Member, ProgramId, TeamId},
        journal::{Entry, Owner},
        verdict::Refusal,
    },
};

/// Identifies a call in progress at its home.
pub type CallHandle = u64;

/// A request to a home: creates a program, or queries or ends one.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum ProgramRequest {
    /// Creates a program. A child is stored in its parent's journal.
    Create {
        /// The authenticated caller: team and key.
        caller: Caller,
        /// Class, budget and parent of the new program.
        request: CreateProgram,
        /// Journal of the parent; `None` for a program without a parent.
        journal: Option<JournalId>,
    },
    /// Queries a program or ends it.
    Query {
        /// The authenticated caller: team and key.
        caller: Caller,
        /// Id of the program.
        program: ProgramId,
        /// Whether to return the state or the history, or to end the program.
        query: ProgramQuery,
    },
}

/// Chunks of an answer since the previous batch.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ChunkBatch {
    /// Position of the first chunk of this batch, counted from 0.
    pub first: u64,
    /// Chunks in order of their positions.
    pub chunks: Vec<Chunk>,
    /// Set once the answer has ended. A refusal means that it ended early.
    pub end: Option<Result<(), Refusal>>,
}

/// A request for tokens from one half of a team's allowance.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct TakeTokens {
    /// Team whose allowance is charged.
    pub team: TeamId,
    /// Index of the half: 0 or 1.
    pub half: u8,
    /// Number of tokens.
    pub count: u32,
    /// Maximum wait until the tokens may be used.
    pub wait_max: Duration,
}

/// A request to a backup to hold a copy of a journal entry.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CopyRequest {
    /// Host and incarnation of the backup, as recorded in the journal.
    pub to: Member,
    /// The entry to copy.
    pub entry: Entry,
}

/// A request to a backup to accept the new owner of a journal.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ClaimRequest {
    /// Host and incarnation of the backup, as recorded in the journal.
    pub to: Member,
    /// The claimed journal.
    pub journal: JournalId,
    /// The new owner of the journal and the epoch that it claims.
    pub by: Owner,
}

/// Allows a backup to drop copies of entries that are in the store.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct DiscardRequest {
    /// The journal that the copies belong to.
    pub journal: JournalId,
    /// Copies written under this epoch or an earlier one may be dropped.
    pub epoch: Epoch,
    /// Position of the last entry whose copy may be dropped.
    pub seq: u64,
}

/// Hands a journal over to its successor during a drain.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Handover {
    /// The journal that is handed over.
    pub journal: JournalId,
    /// First free position. All entries before it are in the store, and the former owner no longer
    /// writes to the journal.
    pub next_seq: u64,
}

/// Names a part of the configuration in force.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum ConfigPart {
    /// The manifest, which lists the shards.
    Manifest,
    /// The shard with this hash.
    Shard(String),
}
