//! Copies of entries that the store has not taken yet, held in memory for another host.
//!
//! A copy counts only together with that of the other backup, so a successor needs a claim at just
//! one of the two: from then on the former owner can't get both.

use {
    crate::{
        ids::{Epoch, JournalId, Member},
        journal::{Entry, Owner},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Answer to a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum CopyReply {
    /// The copy is held until it is discarded or the host ends.
    Acked,
    /// A successor holds a claim, or a newer owner was seen.
    Refused {
        /// The epoch that the claim or the newer owner has.
        epoch: Epoch,
    },
    /// The copy was meant for an earlier life of this host, whose copies are lost.
    OtherMember,
    /// The memory set aside for copies is full.
    Full,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum ClaimReply {
    /// Copies of older owners are refused from now on.
    Claimed {
        /// All copies held for the journal, in order.
        copies: Vec<Entry>,
    },
    /// Another claim or owner has at least this epoch.
    Refused {
        /// That epoch; a claim needs a higher one.
        epoch: Epoch,
    },
    /// The claim was meant for an earlier life of this host, whose copies are lost.
    OtherMember,
}

/// The copies that one host holds for the journals of others.
#[derive(Clone, Debug)]
pub struct Backup {
    me: Member,
    max_bytes: usize,
    held_bytes: usize,
    journals: BTreeMap<JournalId, Held>,
}

#[derive(Clone, Debug, Default)]
struct Held {
    /// Invariant: its epoch only ever goes up.
    claim: Option<Owner>,
    /// Copies by position, with their size in bytes. Invariant: all of one epoch.
    copies: BTreeMap<u64, (Arc<Entry>, usize)>,
}

impl Held {
    fn copied_epoch(&self) -> Epoch {
        self.copies.values().next_back().map_or(0, |(entry, _)| entry.epoch)
    }

    /// Returns the epoch that stands against an owner's copy.
    fn obstacle(&self, owner: &Owner) -> Option<Epoch> {
        if let Some(claim) = &self.claim
            && claim != owner
            && claim.epoch >= owner.epoch
        {
            return Some(claim.epoch);
        }
        let epoch = self.copied_epoch();
        (epoch > owner.epoch).then_some(epoch)
    }
}

impl Backup {
    /// Makes an empty set of copies for one life of a host.
    pub fn new(me: Member, max_bytes: usize) -> Self {
        Self { me, max_bytes, held_bytes: 0, journals: BTreeMap::new() }
    }

    /// Takes a copy that was sent to the member `to`. The same copy may come again.
    ///
    /// The driver calls this only while the host's lease is valid.
    pub fn copy(&mut self, to: &Member, entry: Entry) -> CopyReply {
        if *to != self.me {
            return CopyReply::OtherMember;
        }
        let held = self.journals.entry(entry.journal.clone()).or_default();
        if let Some(epoch) = held.obstacle(&entry.owner()) {
            return CopyReply::Refused { epoch };
        }
        if held.copies.contains_key(&entry.seq) && held.copied_epoch() == entry.epoch {
            return CopyReply::Acked;
        }
        let bytes = entry_bytes(&entry);
        let stored_seq = entry.stored_seq;
        let epoch = entry.epoch;
        // An owner copies only once all that its predecessors copied is in the store.
        self.held_bytes -= drop_copies(held, |copy| copy.epoch < epoch || copy.seq <= stored_seq);
        if self.held_bytes + bytes > self.max_bytes {
            return CopyReply::Full;
        }
        self.held_bytes += bytes;
        held.copies.insert(entry.seq, (Arc::new(entry), bytes));
        CopyReply::Acked
    }

    /// Claims a journal for a successor. The same claim may come again and has the same answer, so
    /// a lost answer does no harm.
    pub fn claim(&mut self, to: &Member, journal: &JournalId, by: &Owner) -> ClaimReply {
        if *to != self.me {
            return ClaimReply::OtherMember;
        }
        let held = self.journals.entry(journal.clone()).or_default();
        let claimed = held.claim.as_ref().map_or(0, |claim| claim.epoch);
        let epoch = claimed.max(held.copied_epoch());
        if held.claim.as_ref() != Some(by) && epoch >= by.epoch {
            return ClaimReply::Refused { epoch };
        }
        held.claim = Some(by.clone());
        let copies = held.copies.values().map(|(entry, _)| Entry::clone(entry)).collect();
        ClaimReply::Claimed { copies }
    }

    /// Drops copies of owners up to `epoch` at positions up to `seq`: they are in the store.
    pub fn discard(&mut self, journal: &JournalId, epoch: Epoch, seq: u64) {
        let Some(held) = self.journals.get_mut(journal) else { return };
        self.held_bytes -= drop_copies(held, |copy| copy.epoch <= epoch && copy.seq <= seq);
    }

    /// Bytes of all copies, as estimated from their stored form.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}

/// Drops the copies that `is_needless` names and returns their bytes.
fn drop_copies(held: &mut Held, is_needless: impl Fn(&Entry) -> bool) -> usize {
    let mut bytes = 0;
    held.copies.retain(|_, (entry, size)| {
        let drops = is_needless(entry);
        bytes += if drops { *size } else { 0 };
        !drops
    });
    bytes
}

/// Returns the size of an entry's stored form in bytes.
pub(super) fn entry_bytes(entry: &Entry) -> usize {
    serde_json::to_vec(entry).map_or(0, |json| json.len())
}
