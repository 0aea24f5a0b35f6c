//! Decides when to build the owner's next entry, and fills it.

use {
    super::{InFlightEntry, Journal, queue::WaitingCall},
    crate::{
        ids::{Member, ProgramId},
        journal::{Entry, Opening, copies::CopyTracker},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Factor by which entries are built more slowly than they are flushed while there is a backlog, so
/// that the backlog shrinks under load.
const BACKLOG_SPACING_FACTOR: u32 = 2;

impl Journal {
    /// Returns when the next entry may be built, or `None` if no entry can be built before another
    /// event.
    pub(super) fn next_entry_at(&self, now: Instant) -> Option<Instant> {
        if self.in_flight.is_some() || self.backlog_bytes >= self.settings.max_backlog_bytes {
            return None;
        }
        let burst = self.settings.burst_writes;
        let next_write = self.write_pacer.next_at(now, self.settings.spacing, burst);
        let next_entry = self.entry_pacer.next_at(now, self.entry_spacing(), burst);
        let ready_at =
            if self.backlog.is_empty() { next_entry.max(next_write) } else { next_entry };
        let is_store_only = self.can_replace_backups() || !self.pending_adoptions.is_empty();
        if is_store_only || !self.queue.is_empty() {
            return Some(ready_at.max(now));
        }
        let due = self.checkpoint_due(now)?;
        (!self.is_closing && self.backlog.is_empty()).then(|| ready_at.max(due).max(now))
    }

    fn checkpoint_due(&self, now: Instant) -> Option<Instant> {
        let due = self.garbage.checkpoint_due(now, self.settings.checkpoint_interval);
        due.filter(|_| self.is_collecting)
    }

    /// Returns the minimum time between two entries, which is longer while there is a backlog.
    fn entry_spacing(&self) -> Duration {
        match self.backlog.is_empty() {
            true => self.settings.spacing,
            false => self.settings.spacing * BACKLOG_SPACING_FACTOR,
        }
    }

    /// Whether the backups can be replaced now. The replacement must be written to the store. While
    /// the store is unavailable, records are copied to the current backups first.
    fn can_replace_backups(&self) -> bool {
        // Without usable backups there is no reason to wait for the store.
        let should_write_to_store =
            self.store_failed_at.is_none() || !self.copies.has_usable_backups();
        self.new_backups.is_some() && self.backlog.is_empty() && should_write_to_store
    }

    pub(super) fn build_entry(&mut self, now: Instant) {
        if self.next_entry_at(now).is_none_or(|at| at > now) {
            return;
        }
        let mut entry = self.empty_entry();
        let mut calls = Vec::new();
        if let Some(copy) = self.pending_adoptions.pop_front() {
            entry.adopted = Some(copy.seq);
            entry.records = copy.records;
        } else if let Some(backups) = self.take_new_backups() {
            self.epoch = self.epoch.max(self.refused_epoch) + 1;
            entry.epoch = self.epoch;
            entry.takeover =
                Some(Opening { backups: backups.clone(), is_planned: false, adopts: None });
            self.copies = CopyTracker::new(backups);
        } else {
            let free_bytes = self.add_checkpoint(now, &mut entry);
            calls = self.fill(&mut entry, free_bytes);
            if calls.is_empty() && entry.live.is_none() {
                return;
            }
        }
        self.garbage.add_entry(&entry);
        self.next_seq += 1;
        self.entry_pacer.on_write(now, self.entry_spacing());
        let has_write_failed = self.store_failed_at.is_some();
        self.in_flight = Some(InFlightEntry {
            entry: Arc::new(entry),
            calls,
            started_at: now,
            has_write_failed,
        });
    }

    fn take_new_backups(&mut self) -> Option<Vec<Member>> {
        if self.can_replace_backups() { self.new_backups.take() } else { None }
    }

    fn empty_entry(&self) -> Entry {
        Entry {
            journal: self.journal.clone(),
            seq: self.next_seq,
            epoch: self.epoch,
            writer: self.me.clone(),
            stored_seq: self.stored_seq,
            takeover: None,
            adopted: None,
            live: None,
            records: Vec::new(),
        }
    }

    /// Makes the entry a checkpoint if one is due. Returns the number of bytes left for records.
    fn add_checkpoint(&mut self, now: Instant, entry: &mut Entry) -> usize {
        let free_bytes = self.max_append_bytes();
        let due = self.checkpoint_due(now);
        if due.is_none_or(|at| at > now) {
            return free_bytes;
        }
        self.garbage.on_checkpoint_attempt(now);
        let live: Vec<ProgramId> = self.garbage.live_programs().cloned().collect();
        // Adds three bytes for the quotes and the comma.
        let bytes: usize = live.iter().map(|program| program.len() + 3).sum();
        // The first batch must still fit, or it would never be written.
        let first_batch_bytes = self.queue.first_bytes();
        if bytes + first_batch_bytes > free_bytes {
            return free_bytes;
        }
        entry.live = Some(live);
        free_bytes - bytes
    }

    /// Moves as many batches from the queue into the entry as fit.
    fn fill(&mut self, entry: &mut Entry, mut free_bytes: usize) -> Vec<WaitingCall> {
        let mut calls = Vec::new();
        while let Some(batch) = self.queue.pop(free_bytes) {
            free_bytes -= batch.bytes;
            entry.records.extend(batch.records);
            calls.push(batch.call);
        }
        calls
    }
}
