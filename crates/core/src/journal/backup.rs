//! Holds copies of other hosts' journal entries in memory until the store has them.
//!
//! While the store is unavailable, an entry is durable only if both backups hold a copy. A
//! successor therefore needs a claim at only one backup: after that claim, the previous owner can
//! no longer get both copies acknowledged.

use {
    crate::{
        ids::{Epoch, JournalId, Member},
        journal::{Entry, Owner},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Reply of a backup to a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum CopyReply {
    /// The copy is held until it is discarded or the host's process ends.
    Acked,
    /// The backup has granted a claim to a successor or holds copies of a newer owner.
    Refused {
        /// Epoch of that claim or newer owner.
        epoch: Epoch,
    },
    /// The copy was addressed to an earlier incarnation of this host, whose copies are lost.
    OtherMember,
    /// The memory limit for copies is reached.
    Full,
}

/// Reply of a backup to a claim.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum ClaimReply {
    /// The claim is granted. The backup refuses copies of older owners from now on.
    Claimed {
        /// All copies that the backup holds for the journal, ordered by position.
        copies: Vec<Entry>,
    },
    /// Another claim, or the owner of the held copies, has an epoch that is not lower than that of
    /// this claim.
    Refused {
        /// Epoch of that other claim or owner. The next claim needs a higher one.
        epoch: Epoch,
    },
    /// The claim was addressed to an earlier incarnation of this host, whose copies are lost.
    OtherMember,
}

/// The copies that one host holds for the journals of other hosts.
#[derive(Clone, Debug)]
pub struct Backup {
    me: Member,
    max_bytes: usize,
    held_bytes: usize,
    journals: BTreeMap<JournalId, JournalCopies>,
}

#[derive(Clone, Debug, Default)]
struct JournalCopies {
    /// The latest granted claim. Invariant: its epoch never decreases.
    claim: Option<Owner>,
    /// Copies by position, each with its size in bytes. Invariant: all have the same epoch.
    copies: BTreeMap<u64, (Arc<Entry>, usize)>,
}

impl JournalCopies {
    /// Returns the epoch of the held copies, or 0 if there are none.
    fn held_epoch(&self) -> Epoch {
        self.copies.values().next_back().map_or(0, |(entry, _)| entry.epoch)
    }

    /// Returns the epoch that supersedes `owner`, or `None` if copies from it are accepted.
    fn superseding_epoch(&self, owner: &Owner) -> Option<Epoch> {
        if let Some(claim) = &self.claim
            && claim != owner
            && claim.epoch >= owner.epoch
        {
            return Some(claim.epoch);
        }
        let epoch = self.held_epoch();
        (epoch > owner.epoch).then_some(epoch)
    }
}

impl Backup {
    /// Creates an empty set of copies for one incarnation of a host.
    pub fn new(me: Member, max_bytes: usize) -> Self {
        Self { me, max_bytes, held_bytes: 0, journals: BTreeMap::new() }
    }

    /// Stores a copy that was sent to the member `to`. Receiving the same copy again is harmless.
    ///
    /// The driver calls this only while the host's lease is valid.
    pub fn copy(&mut self, to: &Member, entry: Entry) -> CopyReply {
        if *to != self.me {
            return CopyReply::OtherMember;
        }
        let journal_copies = self.journals.entry(entry.journal.clone()).or_default();
        if let Some(epoch) = journal_copies.superseding_epoch(&entry.owner()) {
            return CopyReply::Refused { epoch };
        }
        if journal_copies.copies.contains_key(&entry.seq)
            && journal_copies.held_epoch() == entry.epoch
        {
            return CopyReply::Acked;
        }
        let bytes = entry_bytes(&entry);
        let stored_seq = entry.stored_seq;
        let epoch = entry.epoch;
        // An owner sends copies only after the store holds everything that its predecessors copied.
        self.held_bytes -=
            drop_copies(journal_copies, |copy| copy.epoch < epoch || copy.seq <= stored_seq);
        if self.held_bytes + bytes > self.max_bytes {
            return CopyReply::Full;
        }
        self.held_bytes += bytes;
        journal_copies.copies.insert(entry.seq, (Arc::new(entry), bytes));
        CopyReply::Acked
    }

    /// Grants or refuses a successor's claim to a journal. A repeated claim gets the same reply, so
    /// a claim can be retried after a lost reply.
    pub fn claim(&mut self, to: &Member, journal: &JournalId, by: &Owner) -> ClaimReply {
        if *to != self.me {
            return ClaimReply::OtherMember;
        }
        let journal_copies = self.journals.entry(journal.clone()).or_default();
        let claimed = journal_copies.claim.as_ref().map_or(0, |claim| claim.epoch);
        let epoch = claimed.max(journal_copies.held_epoch());
        if journal_copies.claim.as_ref() != Some(by) && epoch >= by.epoch {
            return ClaimReply::Refused { epoch };
        }
        journal_copies.claim = Some(by.clone());
        let copies = journal_copies.copies.values().map(|(entry, _)| Entry::clone(entry)).collect();
        ClaimReply::Claimed { copies }
    }

    /// Drops copies with an epoch up to `epoch` and a position up to `seq`. The store has these
    /// entries.
    pub fn discard(&mut self, journal: &JournalId, epoch: Epoch, seq: u64) {
        let Some(journal_copies) = self.journals.get_mut(journal) else { return };
        self.held_bytes -=
            drop_copies(journal_copies, |copy| copy.epoch <= epoch && copy.seq <= seq);
    }

    /// Returns the size of all held copies in bytes, as serialized JSON.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}

/// Drops the copies for which `is_obsolete` returns true and returns their total size in bytes.
fn drop_copies(journal_copies: &mut JournalCopies, is_obsolete: impl Fn(&Entry) -> bool) -> usize {
    let mut bytes = 0;
    journal_copies.copies.retain(|_, (entry, size)| {
        let is_dropped = is_obsolete(entry);
        bytes += if is_dropped { *size } else { 0 };
        !is_dropped
    });
    bytes
}

/// Returns the size of an entry in bytes, as serialized JSON.
pub(super) fn entry_bytes(entry: &Entry) -> usize {
    serde_json::to_vec(entry).map_or(0, |json| json.len())
}
