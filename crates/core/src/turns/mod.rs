//! Decides where retained turns are stored, when a turn is durable, and when it is certain that a
//! turn does not exist.
//!
//! Load pattern: callers send each turn of a program with its new input alone and name the turn that
//! it continues, at any host, also right after store hosts were lost together with their disks. A
//! turn is written once, when its answer ends, and read when a host that does not remember it gets
//! the next turn.
//!
//! The turns that begin at one first turn form a *tree*. A host that stores a turn stores all turns
//! before it, so a chain is read from one host, and trees are kept and forgotten whole. See
//! `docs/decisions/0024-retained-turns.md`.

mod holders;
mod index;
mod lookup;
mod pull;
mod retirement;
mod search;
mod transfer_rate;
mod write_round;

#[cfg(test)]
mod tests;

pub use {
    holders::{StoreHost, rank_holders},
    index::{InsertError, TurnIndex},
    lookup::{HolderReply, is_certainly_absent},
    pull::{PullNumber, PullPeer, PullRound},
    retirement::{HeldTrees, HeldTurns, OwnTurns, Retirement, RetirementStep, SENDING_DELAY},
    search::ChainSearch,
    transfer_rate::{PART_BYTES_MAX, TransferRate},
    write_round::{TooFewHosts, WriteRound},
};

use {
    crate::{
        durations,
        ids::{RequestId, TeamId, UpstreamId},
    },
    std::{sync::Arc, time::Duration},
};

/// Identifies a tree of turns: the id of the program that began it, or the id of its first turn.
pub type TreeId = Arc<str>;
/// Identifies the contents of a disk. Drawn at random when a host finds its disk empty.
pub type DiskId = u64;

/// What is known of a turn besides its contents.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct TurnHead {
    /// Id of the request whose answer the turn is.
    pub id: RequestId,
    /// Team whose key the request had; empty if the site has no teams.
    pub team: TeamId,
    /// The turn that this one continues. Invariant: stored wherever this turn is stored.
    pub previous: Option<RequestId>,
    /// The tree of the turn. Invariant: the same as that of `previous`.
    pub tree: TreeId,
    /// How long the turn is kept after its answer, and after that of each turn that continues it.
    #[serde(deserialize_with = "durations::bounded")]
    pub retention: Duration,
    /// Upstream that completed the answer, which has the prompt in its cache. `None` in turns of hosts
    /// that do not record it.
    #[serde(default)]
    pub upstream: Option<UpstreamId>,
}

impl TurnHead {
    /// Returns whether two heads describe the same turn. `upstream` may differ: hosts of a build
    /// that does not know it drop it when they pass a turn on.
    pub fn is_same_turn(&self, other: &Self) -> bool {
        let Self { id, team, previous, tree, retention, upstream: _ } = self;
        *id == other.id
            && *team == other.team
            && *previous == other.previous
            && *tree == other.tree
            && *retention == other.retention
    }
}
