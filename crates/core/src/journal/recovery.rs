//! Reads the valid records of a journal from its entries.

use {
    crate::{
        ids::{Epoch, Member, ProgramId},
        journal::{Entry, Opening, Owner, Record},
    },
    std::collections::BTreeSet,
};

/// A journal as read from the store, without invalid entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovery {
    /// Valid entries ordered by position, including adopted ones. Invariant: the epoch never
    /// decreases.
    pub entries: Vec<Entry>,
    /// Highest epoch of all entries, including invalid ones.
    pub max_epoch: Epoch,
}

/// Builds a [`Recovery`] from all entries of a journal, given in any order.
///
/// An entry is invalid if a later entry has a lower epoch, or the same epoch and another writer.
/// Such an entry was written by a successor after the position had been deleted; that successor
/// never became the owner.
pub fn recover(mut entries: Vec<Entry>) -> Recovery {
    entries.sort_by_key(|entry| entry.seq);
    entries.dedup_by_key(|entry| entry.seq);
    let max_epoch = entries.iter().map(|entry| entry.epoch).max().unwrap_or(0);
    let mut valid: Vec<Entry> = Vec::with_capacity(entries.len());
    for entry in entries.into_iter().rev() {
        let is_valid = valid.last().is_none_or(|later| {
            let is_same_owner = later.epoch == entry.epoch && later.writer == entry.writer;
            is_same_owner || entry.epoch < later.epoch
        });
        if is_valid {
            valid.push(entry);
        }
    }
    valid.reverse();
    Recovery { entries: valid, max_epoch }
}

impl Recovery {
    /// Returns the first position after the last entry.
    pub fn next_seq(&self) -> u64 {
        self.entries.last().map_or(1, |entry| entry.seq + 1)
    }

    /// Returns the live programs: those that were created and are listed in every checkpoint since.
    ///
    /// Program ids are never reused. A program that a checkpoint omits stays removed, even if later
    /// records or an entry that was created again refer to it.
    pub fn programs(&self) -> BTreeSet<ProgramId> {
        let mut programs = BTreeSet::new();
        for entry in &self.entries {
            if let Some(live) = &entry.live {
                let live: BTreeSet<&ProgramId> = live.iter().collect();
                programs.retain(|program| live.contains(program));
            }
            let created = entry.records.iter().filter(|r| matches!(r, Record::Created { .. }));
            programs.extend(created.map(|r| r.program().clone()));
        }
        programs
    }

    /// Returns the records of live programs, in order.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        let programs = self.programs();
        let records = self.entries.iter().flat_map(|entry| entry.records.iter());
        records.filter(move |record| programs.contains(record.program()))
    }

    /// Returns the latest opening of an ownership, with its owner.
    pub fn last_opening(&self) -> Option<(Owner, &Opening)> {
        self.entries.iter().rev().find_map(|entry| Some((entry.owner(), entry.takeover.as_ref()?)))
    }

    /// Returns the owner that wrote the last entry, or `None` if the journal is empty.
    pub fn owner(&self) -> Option<Owner> {
        self.entries.last().map(Entry::owner)
    }

    /// Returns the owner whose copies may have to be adopted, and the backups that hold them.
    pub fn copy_source(&self) -> Option<(Owner, Vec<Member>)> {
        let (owner, opening) = self.last_opening()?;
        let copy_owner = opening.adopts.clone().unwrap_or(owner);
        Some((copy_owner, opening.backups.clone()))
    }

    /// Returns the copies from a backup whose records are not in the journal yet, ordered by
    /// position.
    pub fn copies_to_adopt(&self, copies: Vec<Entry>) -> Vec<Entry> {
        let Some((copy_owner, _)) = self.copy_source() else { return Vec::new() };
        let written_seqs =
            self.entries.iter().filter(|entry| entry.owner() == copy_owner).map(|entry| entry.seq);
        let adopted_seqs = self.entries.iter().filter_map(|entry| entry.adopted);
        let last_known = written_seqs.chain(adopted_seqs).max().unwrap_or(0);
        let is_missing = |copy: &Entry| copy.owner() == copy_owner && copy.seq > last_known;
        let mut missing: Vec<Entry> = copies.into_iter().filter(is_missing).collect();
        missing.sort_by_key(|copy| copy.seq);
        missing
    }
}
