//! What a journal says, read from its entries.

use {
    crate::{
        ids::{Epoch, Member, ProgramId},
        journal::{Entry, Opening, Owner, Record},
    },
    std::collections::BTreeSet,
};

/// A journal as read from the store, without what doesn't count.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovery {
    /// Entries in order of position, with those repeated from copies. Invariant: the epoch never
    /// falls.
    pub entries: Vec<Entry>,
    /// Highest epoch of any entry that was seen, also of those that don't count.
    pub max_epoch: Epoch,
}

/// Reads a journal from all its entries, in any order.
///
/// An entry whose epoch is above that of a later one, or the same with another writer, was created
/// by a slow successor at a position that had been deleted: it never counted, and is left out.
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
    /// First position after the last entry.
    pub fn next_seq(&self) -> u64 {
        self.entries.last().map_or(1, |entry| entry.seq + 1)
    }

    /// Programs that count: created, and listed in every checkpoint since.
    ///
    /// Ids are never used twice, so one that a checkpoint leaves out stays out, also if later
    /// records or an entry that was created once more name it.
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

    /// The records that count, in order.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        let programs = self.programs();
        let records = self.entries.iter().flat_map(|entry| entry.records.iter());
        records.filter(move |record| programs.contains(record.program()))
    }

    /// The last start of an ownership.
    pub fn takeover(&self) -> Option<(Owner, &Opening)> {
        self.entries.iter().rev().find_map(|entry| Some((entry.owner(), entry.takeover.as_ref()?)))
    }

    /// The present owner.
    pub fn owner(&self) -> Option<Owner> {
        self.entries.last().map(Entry::owner)
    }

    /// The owner whose copies at the named backups count, and those backups.
    pub fn copies(&self) -> Option<(Owner, Vec<Member>)> {
        let (owner, takeover) = self.takeover()?;
        let copier = takeover.adopts.clone().unwrap_or(owner);
        Some((copier, takeover.backups.clone()))
    }

    /// Returns those of a backup's copies whose records are not in the journal yet, in order.
    pub fn missing(&self, copies: Vec<Entry>) -> Vec<Entry> {
        let Some((copier, _)) = self.copies() else { return Vec::new() };
        let own =
            self.entries.iter().filter(|entry| entry.owner() == copier).map(|entry| entry.seq);
        let adopted = self.entries.iter().filter_map(|entry| entry.adopted);
        let known = own.chain(adopted).max().unwrap_or(0);
        let is_missing = |copy: &Entry| copy.owner() == copier && copy.seq > known;
        let mut missing: Vec<Entry> = copies.into_iter().filter(is_missing).collect();
        missing.sort_by_key(|copy| copy.seq);
        missing
    }
}
