//! What an owner does as soon as it may.

use {
    super::{Journal, StoreCall, entry_bytes, push_durable, queue::Waiting},
    crate::journal::{Command, DurableBy},
    std::time::{Duration, Instant},
};

impl Journal {
    /// Does all that can be done now.
    pub(super) fn advance(&mut self, now: Instant, out: &mut Vec<Command>) {
        self.finish_copies(out);
        self.make_entry(now);
        self.write(now, out);
        self.copy(now, out);
        self.mark_late(now, out);
        self.delete(now, out);
        if self.is_closing && self.is_idle() && self.store_call == StoreCall::None {
            self.is_stopped = true;
            out.push(Command::Closed { next_seq: self.next_seq });
            return;
        }
        if let Some(at) = self.next_wake(now) {
            out.push(Command::WakeAt(at));
        }
    }

    /// Moves the entry in flight to the backlog once both backups hold it.
    fn finish_copies(&mut self, out: &mut Vec<Command>) {
        if !self.copies.are_complete() {
            return;
        }
        let Some(current) = self.current.take() else { return };
        self.copies.reset();
        let bytes = entry_bytes(&current.entry);
        self.backlog_bytes += bytes;
        self.backlog.push_back((current.entry, bytes));
        push_durable(&current.calls, DurableBy::Backups, out);
    }

    /// When the store may be called; `None` while a call is under way or nothing is to be written.
    fn write_at(&self, now: Instant) -> Option<Instant> {
        if self.store_call != StoreCall::None {
            return None;
        }
        self.first_unstored()?;
        let spaced = self.wrote.next_at(now, self.settings.spacing, self.settings.burst_writes);
        let retried = self.failed_at.map_or(now, |at| at + self.settings.retry_after);
        Some(spaced.max(retried).max(now))
    }

    fn write(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.write_at(now).is_none_or(|at| at > now) {
            return;
        }
        let Some(entry) = self.first_unstored().cloned() else { return };
        self.store_call = StoreCall::Writing { seq: entry.seq };
        self.wrote.wrote(now, self.settings.spacing);
        out.push(Command::Write(entry));
    }

    /// When the entry in flight should be copied; `None` if it must not be.
    fn copy_at(&self) -> Option<Instant> {
        let current = self.current.as_ref()?;
        let is_store_only = current.entry.takeover.is_some() || current.entry.adopted.is_some();
        if is_store_only || !self.copies.are_possible() {
            return None;
        }
        let is_store_down = current.has_failed || !self.backlog.is_empty();
        let wait = if is_store_down { Duration::ZERO } else { self.settings.slow_after };
        let start = current.since + wait;
        Some(self.copies.next_due(self.settings.retry_after).map_or(start, |at| at.max(start)))
    }

    fn copy(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.copy_at().is_none_or(|at| at > now) {
            return;
        }
        let Some(current) = &self.current else { return };
        let due = self.copies.due(now, self.settings.retry_after);
        if !due.is_empty() {
            self.copied_seq = current.entry.seq;
        }
        out.extend(due.into_iter().map(|to| Command::Copy { to, entry: current.entry.clone() }));
    }

    fn mark_late(&mut self, now: Instant, out: &mut Vec<Command>) {
        let after = self.settings.late_after;
        let mut tokens = Vec::new();
        // Calls wait in the order in which they came: none after the first that has time is late.
        for call in self.waiting_calls() {
            match call.late_at(after) {
                Some(at) if at > now => break,
                Some(_) => tokens.push(call.mark_late()),
                None => {}
            }
        }
        if !tokens.is_empty() {
            out.push(Command::Late { tokens });
        }
    }

    /// The calls that wait, those of the entry in flight first.
    fn waiting_calls(&mut self) -> impl Iterator<Item = &mut Waiting> {
        let current = self.current.iter_mut().flat_map(|current| current.calls.iter_mut());
        current.chain(self.queue.calls())
    }

    fn delete_at(&self, now: Instant) -> Option<Instant> {
        let is_possible = self.garbage.has_deletes() && !self.is_deleting && !self.is_closing;
        let at = self.deleted_at.map_or(now, |at| at + self.settings.spacing);
        is_possible.then_some(at)
    }

    fn delete(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.delete_at(now).is_none_or(|at| at > now) {
            return;
        }
        let Some(seq) = self.garbage.next_delete() else { return };
        self.is_deleting = true;
        self.deleted_at = Some(now);
        out.push(Command::Delete { seq });
    }

    fn next_wake(&mut self, now: Instant) -> Option<Instant> {
        let after = self.settings.late_after;
        let late = self.waiting_calls().find_map(|call| call.late_at(after));
        let times =
            [self.make_at(now), self.write_at(now), self.copy_at(), self.delete_at(now), late];
        times.into_iter().flatten().min()
    }
}
