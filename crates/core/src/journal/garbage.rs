//! Which entries may be deleted without harm.
//!
//! A deleted position can be created once more, so three kinds of entries stay:
//! - the first entry of each owner and the last of all: they stop a former owner and a slow
//!   successor;
//! - entries that their writer may still be trying to create, because no later entry of the same
//!   writer proves that it knew them to be stored;
//! - entries with records of live programs.
//!
//! A checkpoint comes before any deletion. It lists the live programs, so that records which
//! survive beside those of a live program, or an entry that a delayed request creates once more,
//! don't bring a program back.

use {
    crate::{
        ids::{Member, ProgramId},
        journal::{Entry, Record},
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Instant,
    },
};

/// What is known of one stored entry.
#[derive(Debug)]
struct Note {
    writer: Member,
    is_takeover: bool,
    programs: BTreeSet<ProgramId>,
}

/// The entries of a journal and what keeps them.
#[derive(Debug, Default)]
pub(super) struct Garbage {
    entries: BTreeMap<u64, Note>,
    live: BTreeSet<ProgramId>,
    /// Highest position that each writer is known to be done with.
    proven: BTreeMap<Member, u64>,
    /// Positions to delete. Invariant: a stored checkpoint makes them needless.
    deletes: VecDeque<u64>,
    checkpoint_at: Option<Instant>,
}

impl Garbage {
    /// Takes in an entry that is, or will be, in the journal.
    pub fn note(&mut self, entry: &Entry) {
        let programs: BTreeSet<_> = entry.records.iter().map(|r| r.program().clone()).collect();
        // A late record must not bring a program back that was released.
        let created = entry.records.iter().filter(|r| matches!(r, Record::Created { .. }));
        self.live.extend(created.map(|r| r.program().clone()));
        let note =
            Note { writer: entry.writer.clone(), is_takeover: entry.takeover.is_some(), programs };
        self.entries.insert(entry.seq, note);
        self.prove(&entry.writer, entry.stored_seq);
    }

    /// Takes in that a writer won't create positions up to `seq` again.
    pub fn prove(&mut self, writer: &Member, seq: u64) {
        let proven = self.proven.entry(writer.clone()).or_default();
        *proven = seq.max(*proven);
    }

    /// Takes in that the records of a program are garbage.
    pub fn release(&mut self, program: &ProgramId) {
        self.live.remove(program);
    }

    /// Keeps only the named programs, after recovery.
    pub fn keep(&mut self, live: BTreeSet<ProgramId>) {
        self.live = live;
    }

    /// Programs whose records count.
    pub fn live(&self) -> &BTreeSet<ProgramId> {
        &self.live
    }

    /// Returns when the next checkpoint is due, if it would let anything be deleted.
    pub fn checkpoint_due(&self, now: Instant, every: std::time::Duration) -> Option<Instant> {
        let last = self.entries.keys().next_back()?;
        let has_garbage = self.needless(&self.live).any(|seq| seq < *last);
        has_garbage.then(|| self.checkpoint_at.map_or(now, |at| at + every))
    }

    /// Takes in that a checkpoint is being written.
    pub fn checkpoint_started(&mut self, now: Instant) {
        self.checkpoint_at = Some(now);
    }

    /// Takes in that a checkpoint is stored: what it makes needless may be deleted.
    pub fn checkpoint_stored(&mut self, seq: u64, live: &[ProgramId]) {
        let live = live.iter().cloned().collect();
        let needless: Vec<u64> = self.needless(&live).filter(|other| *other < seq).collect();
        for seq in needless {
            self.entries.remove(&seq);
            self.deletes.push_back(seq);
        }
    }

    /// Returns a position to delete.
    pub fn next_delete(&mut self) -> Option<u64> {
        self.deletes.pop_front()
    }

    /// Takes back a position that could not be deleted.
    pub fn delete_failed(&mut self, seq: u64) {
        self.deletes.push_back(seq);
    }

    /// Whether positions wait to be deleted.
    pub fn has_deletes(&self) -> bool {
        !self.deletes.is_empty()
    }

    /// Number of entries that the journal holds.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    fn needless<'a>(&'a self, live: &'a BTreeSet<ProgramId>) -> impl Iterator<Item = u64> + 'a {
        self.entries.iter().filter_map(move |(seq, note)| {
            let is_proven = self.proven.get(&note.writer).is_some_and(|proven| proven >= seq);
            let is_needless = !note.is_takeover && is_proven && note.programs.is_disjoint(live);
            is_needless.then_some(*seq)
        })
    }
}
