//! When and from what an owner makes its next entry.

use {
    super::{Current, Journal, queue::Waiting},
    crate::{
        ids::{Member, ProgramId},
        journal::{Entry, Opening, copies::Copies},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Entries are made this much slower than they are flushed while there is a backlog, so that it
/// shrinks under load.
const BACKLOG_SPACING: u32 = 2;

impl Journal {
    /// When the next entry may be made; `None` while it must wait for an event.
    pub(super) fn make_at(&self, now: Instant) -> Option<Instant> {
        if self.current.is_some() || self.backlog_bytes >= self.settings.max_backlog_bytes {
            return None;
        }
        let burst = self.settings.burst_writes;
        let wrote = self.wrote.next_at(now, self.settings.spacing, burst);
        let made = self.made.next_at(now, self.making_spacing(), burst);
        let ready = if self.backlog.is_empty() { made.max(wrote) } else { made };
        let is_store_only = self.may_rename() || !self.adoptions.is_empty();
        if is_store_only || !self.queue.is_empty() {
            return Some(ready.max(now));
        }
        let due = self.checkpoint_due(now)?;
        (!self.is_closing && self.backlog.is_empty()).then(|| ready.max(due).max(now))
    }

    fn checkpoint_due(&self, now: Instant) -> Option<Instant> {
        let due = self.garbage.checkpoint_due(now, self.settings.checkpoint_every);
        due.filter(|_| self.is_collecting)
    }

    /// Time between two entries: longer while there is a backlog.
    fn making_spacing(&self) -> Duration {
        match self.backlog.is_empty() {
            true => self.settings.spacing,
            false => self.settings.spacing * BACKLOG_SPACING,
        }
    }

    /// Whether other backups may be named now. That waits for the store, so while the store is down
    /// records go to the present backups first.
    fn may_rename(&self) -> bool {
        let is_store_up = self.failed_at.is_none() || !self.copies.are_possible();
        self.renaming.is_some() && self.backlog.is_empty() && is_store_up
    }

    pub(super) fn make_entry(&mut self, now: Instant) {
        if self.make_at(now).is_none_or(|at| at > now) {
            return;
        }
        let mut entry = self.empty_entry();
        let mut calls = Vec::new();
        if let Some(copy) = self.adoptions.pop_front() {
            entry.adopted = Some(copy.seq);
            entry.records = copy.records;
        } else if let Some(backups) = self.take_renaming() {
            self.epoch = self.epoch.max(self.refused_epoch) + 1;
            entry.epoch = self.epoch;
            entry.takeover =
                Some(Opening { backups: backups.clone(), is_planned: false, adopts: None });
            self.copies = Copies::new(backups);
        } else {
            let room = self.add_checkpoint(now, &mut entry);
            calls = self.fill(&mut entry, room);
            if calls.is_empty() && entry.live.is_none() {
                return;
            }
        }
        self.garbage.note(&entry);
        self.next_seq += 1;
        self.made.wrote(now, self.making_spacing());
        let has_failed = self.failed_at.is_some();
        self.current = Some(Current { entry: Arc::new(entry), calls, since: now, has_failed });
    }

    fn take_renaming(&mut self) -> Option<Vec<Member>> {
        if self.may_rename() { self.renaming.take() } else { None }
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

    /// Makes the entry a checkpoint if one is due, and returns the bytes left for records.
    fn add_checkpoint(&mut self, now: Instant, entry: &mut Entry) -> usize {
        let room = self.max_append_bytes();
        let due = self.checkpoint_due(now);
        if due.is_none_or(|at| at > now) {
            return room;
        }
        self.garbage.checkpoint_started(now);
        let live: Vec<ProgramId> = self.garbage.live().cloned().collect();
        let bytes: usize = live.iter().map(|program| program.len() + 3).sum();
        // The first batch must still fit, or it would wait for ever.
        let first = self.queue.first_bytes();
        if bytes + first > room {
            return room;
        }
        entry.live = Some(live);
        room - bytes
    }

    /// Moves as many batches into the entry as fit.
    fn fill(&mut self, entry: &mut Entry, mut room: usize) -> Vec<Waiting> {
        let mut calls = Vec::new();
        while let Some(batch) = self.queue.pop(room) {
            room -= batch.bytes;
            entry.records.extend(batch.records);
            calls.push(batch.call);
        }
        calls
    }
}
