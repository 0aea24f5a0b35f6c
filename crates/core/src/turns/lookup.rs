//! Decides whether a turn that was not found is certain not to exist.

use {crate::ids::HostId, std::collections::BTreeMap};

/// What a host replied that does not have a turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderReply {
    /// The host does not have the turn. `is_complete` tells whether it has lost no turn, or has
    /// fetched from the others what a lost disk held.
    Absent {
        /// Whether the host has all turns that it should have.
        is_complete: bool,
    },
    /// No reply, or none that says whether the host has the turn.
    Unknown,
}

impl HolderReply {
    /// Returns whether the host has no copy of the turn, and has lost none.
    pub fn rules_turn_out(&self) -> bool {
        matches!(self, Self::Absent { is_complete: true })
    }
}

/// Returns whether a turn that no host has found does not exist. `listed` are all hosts that may
/// store turns, as the platform's store listed them after the turn was asked for: a list read
/// earlier may lack the hosts that hold the turn.
///
/// A turn is on the disks of more hosts than may be lost at once, and a host that has lost its disk
/// does not count as complete before it has its turns again. So one of the hosts has the turn,
/// unless all of them reply and are complete.
pub fn is_certainly_absent(listed: &[HostId], replies: &BTreeMap<HostId, HolderReply>) -> bool {
    let is_absent = |host: &HostId| replies.get(host).is_some_and(HolderReply::rules_turn_out);
    !listed.is_empty() && listed.iter().all(is_absent)
}
