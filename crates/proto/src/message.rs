//! Messages that belong to no state machine.

use {
    std::time::Duration,
    trefoilring_core::{
        call::{Caller, Chunk, CreateProgram, ProgramQuery},
        ids::{Epoch, JournalId, Member, ProgramId, TeamId},
        journal::{Entry, Owner},
        verdict::Refusal,
    },
};

/// Names a call under way at its home.
pub type CallHandle = u64;

/// Asks the home about a program, or for a new one.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum ProgramRequest {
    /// Creates a program; a child lands in its parent's journal.
    Create {
        /// Who asks.
        caller: Caller,
        /// What to create.
        request: CreateProgram,
        /// The journal of the parent, for a child.
        journal: Option<JournalId>,
    },
    /// Asks about a program or ends it.
    Query {
        /// Who asks.
        caller: Caller,
        /// The program.
        program: ProgramId,
        /// What is asked.
        query: ProgramQuery,
    },
}

/// Chunks of an answer since the last batch.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ChunkBatch {
    /// Position of the first chunk of this batch, counted from 0.
    pub first: u64,
    /// The chunks, in order.
    pub chunks: Vec<Chunk>,
    /// Set when no more chunks come; a refusal ends the answer early.
    pub end: Option<Result<(), Refusal>>,
}

/// Takes tokens from one half of a team's allowance.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct TakeTokens {
    /// The team.
    pub team: TeamId,
    /// Which half: 0 or 1.
    pub half: u8,
    /// How many.
    pub count: u32,
    /// The longest wait until they may be used.
    pub wait_max: Duration,
}

/// Asks a backup to hold a copy of an entry.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CopyRequest {
    /// The backup, in the life that the journal names.
    pub to: Member,
    /// The entry.
    pub entry: Entry,
}

/// Claims a journal at a backup.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ClaimRequest {
    /// The backup, in the life that the journal names.
    pub to: Member,
    /// The journal.
    pub journal: JournalId,
    /// The successor.
    pub by: Owner,
}

/// Lets a backup drop copies that are in the store.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct DiscardRequest {
    /// The journal.
    pub journal: JournalId,
    /// Owners up to this epoch.
    pub epoch: Epoch,
    /// Positions up to this one.
    pub seq: u64,
}

/// Hands a journal over to its successor in a planned stop.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Handover {
    /// The journal.
    pub journal: JournalId,
    /// First free position: all before it is in the store, and the former owner writes no more.
    pub next_seq: u64,
}

/// A part of the configuration.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum ConfigPart {
    /// The manifest.
    Manifest,
    /// A shard, by its hash.
    Shard(String),
}
