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
        time::{Duration, Instant},
    },
};

/// What is known of one entry that may be deleted some time.
#[derive(Debug)]
struct Note {
    writer: Member,
    programs: BTreeSet<ProgramId>,
    /// Number of its programs that are live.
    live_count: usize,
}

/// The entries of a journal and what keeps them.
#[derive(Debug, Default)]
pub(super) struct Garbage {
    /// Entries that are not openings.
    entries: BTreeMap<u64, Note>,
    /// Entries without live programs. Invariant: a part of `entries`.
    candidates: BTreeSet<u64>,
    /// Live programs, and the entries with their records.
    live: BTreeMap<ProgramId, Vec<u64>>,
    /// Highest position that each writer is known to be done with.
    proven: BTreeMap<Member, u64>,
    last_seq: u64,
    /// Positions to delete. Invariant: a stored checkpoint makes them needless.
    deletes: VecDeque<u64>,
    checkpoint_at: Option<Instant>,
}

impl Garbage {
    /// Takes in an entry that is, or will be, in the journal.
    pub fn note(&mut self, entry: &Entry) {
        self.prove(&entry.writer, entry.stored_seq);
        self.last_seq = self.last_seq.max(entry.seq);
        if entry.takeover.is_some() || self.entries.contains_key(&entry.seq) {
            return;
        }
        // Only a creation makes a program live: a late record must not bring one back.
        for record in &entry.records {
            if let Record::Created { program, .. } = record {
                self.live.entry(program.clone()).or_default();
            }
        }
        let programs = entry.records.iter().map(|record| record.program().clone()).collect();
        let note = Note { writer: entry.writer.clone(), programs, live_count: 0 };
        self.entries.insert(entry.seq, note);
        self.count_live(entry.seq);
    }

    /// Counts an entry's live programs and notes it with each.
    fn count_live(&mut self, seq: u64) {
        let Some(note) = self.entries.get_mut(&seq) else { return };
        for program in &note.programs {
            if let Some(seqs) = self.live.get_mut(program) {
                seqs.push(seq);
                note.live_count += 1;
            }
        }
        if note.live_count == 0 {
            self.candidates.insert(seq);
        }
    }

    /// Takes in that a writer won't create positions up to `seq` again.
    pub fn prove(&mut self, writer: &Member, seq: u64) {
        let proven = self.proven.entry(writer.clone()).or_default();
        *proven = seq.max(*proven);
    }

    /// Takes in that the records of a program are garbage.
    pub fn release(&mut self, program: &ProgramId) {
        for seq in self.live.remove(program).unwrap_or_default() {
            let Some(note) = self.entries.get_mut(&seq) else { continue };
            note.live_count -= 1;
            if note.live_count == 0 {
                self.candidates.insert(seq);
            }
        }
    }

    /// Keeps only the named programs, after recovery.
    pub fn keep(&mut self, live: &BTreeSet<ProgramId>) {
        let others: Vec<ProgramId> =
            self.live.keys().filter(|program| !live.contains(*program)).cloned().collect();
        others.iter().for_each(|program| self.release(program));
    }

    /// Programs whose records count.
    pub fn live(&self) -> impl Iterator<Item = &ProgramId> {
        self.live.keys()
    }

    /// Returns when the next checkpoint is due, if it would let anything be deleted.
    pub fn checkpoint_due(&self, now: Instant, every: Duration) -> Option<Instant> {
        let has_garbage = self.deletable().any(|(seq, _)| seq < self.last_seq);
        has_garbage.then(|| self.checkpoint_at.map_or(now, |at| at + every))
    }

    /// Takes in that a checkpoint is being written.
    pub fn checkpoint_started(&mut self, now: Instant) {
        self.checkpoint_at = Some(now);
    }

    /// Takes in that a checkpoint is stored: what it makes needless may be deleted.
    pub fn checkpoint_stored(&mut self, checkpoint: u64, live: &[ProgramId]) {
        let live: BTreeSet<&ProgramId> = live.iter().collect();
        let is_needless = |(seq, note): &(u64, &Note)| {
            *seq < checkpoint && note.programs.iter().all(|program| !live.contains(program))
        };
        let needless: Vec<u64> = self.deletable().filter(is_needless).map(|(seq, _)| seq).collect();
        for seq in needless {
            self.entries.remove(&seq);
            self.candidates.remove(&seq);
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

    /// Number of entries that the journal holds, without openings.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Entries without live programs that their writers won't create again.
    fn deletable(&self) -> impl Iterator<Item = (u64, &Note)> {
        self.candidates.iter().filter_map(|seq| {
            let note = self.entries.get(seq)?;
            let is_proven = self.proven.get(&note.writer).is_some_and(|proven| proven >= seq);
            is_proven.then_some((*seq, note))
        })
    }
}
