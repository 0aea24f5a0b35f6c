//! Decides which journal entries can be deleted safely.
//!
//! A delayed write request can recreate an entry at a position that was deleted. Three kinds of
//! entries are therefore kept:
//! - The opening entry of each ownership and the last entry of the journal. They fence a previous
//!   owner, and a successor whose opening write arrives late.
//! - Entries that their writer may still be trying to create. These are kept until a later entry of
//!   the same writer has a `stored_seq` at or above their position.
//! - Entries with records of live programs.
//!
//! A checkpoint, which lists the live programs, is stored before any entry is deleted. Recovery
//! ignores programs that a later checkpoint omits. A leftover record, in an entry kept for another
//! program or in one recreated by a delayed write, therefore does not restore a removed program.

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

/// State of an entry that is not an opening entry.
#[derive(Debug)]
struct EntryState {
    writer: Member,
    programs: BTreeSet<ProgramId>,
    /// Number of programs in `programs` that are live.
    live_program_count: usize,
}

/// Tracks the entries of a journal and the reasons to keep them.
#[derive(Debug, Default)]
pub(super) struct GarbageCollector {
    /// All entries except opening entries, by position.
    entries: BTreeMap<u64, EntryState>,
    /// Entries without live programs. Invariant: a subset of the keys of `entries`.
    candidates: BTreeSet<u64>,
    /// Live programs, each with the positions of the entries that hold its records.
    live_programs: BTreeMap<ProgramId, Vec<u64>>,
    /// Highest position that each writer is known to have stored. The writer does not retry writes
    /// at this position or an earlier one.
    stored_seqs: BTreeMap<Member, u64>,
    last_seq: u64,
    /// Positions to delete. Invariant: a stored checkpoint has made these entries obsolete.
    pending_deletes: VecDeque<u64>,
    last_checkpoint_at: Option<Instant>,
}

impl GarbageCollector {
    /// Adds an entry that is in the journal or is about to be written.
    pub fn add_entry(&mut self, entry: &Entry) {
        self.on_stored(&entry.writer, entry.stored_seq);
        self.last_seq = self.last_seq.max(entry.seq);
        if entry.takeover.is_some() || self.entries.contains_key(&entry.seq) {
            return;
        }
        // Only a creation makes a program live, so a late record cannot restore a removed program.
        for record in &entry.records {
            if let Record::Created { program, .. } = record {
                self.live_programs.entry(program.clone()).or_default();
            }
        }
        let programs = entry.records.iter().map(|record| record.program().clone()).collect();
        let state = EntryState { writer: entry.writer.clone(), programs, live_program_count: 0 };
        self.entries.insert(entry.seq, state);
        self.index_live_programs(entry.seq);
    }

    /// Counts an entry's live programs and adds the entry to the index of each.
    fn index_live_programs(&mut self, seq: u64) {
        let Some(state) = self.entries.get_mut(&seq) else { return };
        for program in &state.programs {
            if let Some(seqs) = self.live_programs.get_mut(program) {
                seqs.push(seq);
                state.live_program_count += 1;
            }
        }
        if state.live_program_count == 0 {
            self.candidates.insert(seq);
        }
    }

    /// Called when the writer is known not to retry writes at positions up to `seq`.
    pub fn on_stored(&mut self, writer: &Member, seq: u64) {
        let stored_seq = self.stored_seqs.entry(writer.clone()).or_default();
        *stored_seq = seq.max(*stored_seq);
    }

    /// Marks the records of a released program as garbage.
    pub fn release(&mut self, program: &ProgramId) {
        for seq in self.live_programs.remove(program).unwrap_or_default() {
            let Some(state) = self.entries.get_mut(&seq) else { continue };
            state.live_program_count -= 1;
            if state.live_program_count == 0 {
                self.candidates.insert(seq);
            }
        }
    }

    /// Releases all programs except the given ones. Called after recovery.
    pub fn retain_programs(&mut self, live: &BTreeSet<ProgramId>) {
        let removed: Vec<ProgramId> =
            self.live_programs.keys().filter(|program| !live.contains(*program)).cloned().collect();
        removed.iter().for_each(|program| self.release(program));
    }

    /// Returns the programs whose records must be kept.
    pub fn live_programs(&self) -> impl Iterator<Item = &ProgramId> {
        self.live_programs.keys()
    }

    /// Returns when the next checkpoint is due, or `None` if a checkpoint would not allow any
    /// deletion.
    pub fn checkpoint_due(&self, now: Instant, interval: Duration) -> Option<Instant> {
        let has_garbage = self.unreferenced().any(|(seq, _)| seq < self.last_seq);
        has_garbage.then(|| self.last_checkpoint_at.map_or(now, |at| at + interval))
    }

    /// Records an attempt to write a checkpoint. The caller may still omit the checkpoint if it
    /// does not fit.
    pub fn on_checkpoint_attempt(&mut self, now: Instant) {
        self.last_checkpoint_at = Some(now);
    }

    /// Schedules the deletion of the entries that the stored checkpoint at position `checkpoint`
    /// makes obsolete.
    pub fn on_checkpoint_stored(&mut self, checkpoint: u64, live: &[ProgramId]) {
        let live: BTreeSet<&ProgramId> = live.iter().collect();
        let is_obsolete = |(seq, state): &(u64, &EntryState)| {
            *seq < checkpoint && state.programs.iter().all(|program| !live.contains(program))
        };
        let obsolete: Vec<u64> =
            self.unreferenced().filter(is_obsolete).map(|(seq, _)| seq).collect();
        for seq in obsolete {
            self.entries.remove(&seq);
            self.candidates.remove(&seq);
            self.pending_deletes.push_back(seq);
        }
    }

    /// Removes and returns the next position to delete.
    pub fn next_delete(&mut self) -> Option<u64> {
        self.pending_deletes.pop_front()
    }

    /// Schedules another attempt to delete a position.
    pub fn retry_delete(&mut self, seq: u64) {
        self.pending_deletes.push_back(seq);
    }

    pub fn has_pending_deletes(&self) -> bool {
        !self.pending_deletes.is_empty()
    }

    /// Returns the number of entries, including the one in flight and not counting opening entries.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns entries that have no live program and that their writer will not try to write again.
    /// They may be deleted after a checkpoint.
    fn unreferenced(&self) -> impl Iterator<Item = (u64, &EntryState)> {
        self.candidates.iter().filter_map(|seq| {
            let state = self.entries.get(seq)?;
            let is_stored =
                self.stored_seqs.get(&state.writer).is_some_and(|stored_seq| stored_seq >= seq);
            is_stored.then_some((*seq, state))
        })
    }
}
