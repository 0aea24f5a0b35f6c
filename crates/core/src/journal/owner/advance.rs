//! Performs the owner's actions when they are due.

use {
    super::{Journal, StoreCall, entry_bytes, push_durable, queue::WaitingCall},
    crate::journal::{Command, DurableBy},
    std::time::{Duration, Instant},
};

impl Journal {
    /// Performs every action that is possible now and requests the next wake-up.
    pub(super) fn advance(&mut self, now: Instant, out: &mut Vec<Command>) {
        self.finish_copies(out);
        self.build_entry(now);
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
        if !self.copies.is_complete() {
            return;
        }
        let Some(in_flight) = self.in_flight.take() else { return };
        self.copies.reset();
        let bytes = entry_bytes(&in_flight.entry);
        self.backlog_bytes += bytes;
        self.backlog.push_back((in_flight.entry, bytes));
        push_durable(&in_flight.calls, DurableBy::Backups, out);
    }

    /// Returns when the next store write may start, or `None` if a store call is in flight or there
    /// is nothing to write.
    fn next_write_at(&self, now: Instant) -> Option<Instant> {
        if self.store_call != StoreCall::None {
            return None;
        }
        self.first_unstored()?;
        let paced_at =
            self.write_pacer.next_at(now, self.settings.spacing, self.settings.burst_writes);
        let retry_at = self.store_failed_at.map_or(now, |at| at + self.settings.retry_delay);
        Some(paced_at.max(retry_at).max(now))
    }

    fn write(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.next_write_at(now).is_none_or(|at| at > now) {
            return;
        }
        let Some(entry) = self.first_unstored().cloned() else { return };
        self.store_call = StoreCall::Writing { seq: entry.seq };
        self.write_pacer.on_write(now, self.settings.spacing);
        out.push(Command::Write(entry));
    }

    /// Returns when the entry in flight should be copied to the backups, or `None` if it must not
    /// be copied.
    fn next_copy_at(&self) -> Option<Instant> {
        let in_flight = self.in_flight.as_ref()?;
        let is_store_only = in_flight.entry.takeover.is_some() || in_flight.entry.adopted.is_some();
        if is_store_only || !self.copies.has_usable_backups() {
            return None;
        }
        let is_store_down = in_flight.has_write_failed || !self.backlog.is_empty();
        let wait = if is_store_down { Duration::ZERO } else { self.settings.copy_after };
        let start = in_flight.started_at + wait;
        Some(self.copies.next_due(self.settings.retry_delay).map_or(start, |at| at.max(start)))
    }

    fn copy(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.next_copy_at().is_none_or(|at| at > now) {
            return;
        }
        let Some(in_flight) = &self.in_flight else { return };
        let due = self.copies.take_due(now, self.settings.retry_delay);
        if !due.is_empty() {
            self.copied_seq = in_flight.entry.seq;
        }
        out.extend(due.into_iter().map(|to| Command::Copy { to, entry: in_flight.entry.clone() }));
    }

    fn mark_late(&mut self, now: Instant, out: &mut Vec<Command>) {
        let after = self.settings.late_after;
        let mut tokens = Vec::new();
        // Calls are in order of arrival, so stop at the first one that is not late yet.
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

    /// Returns the calls that wait for durability, those of the entry in flight first.
    fn waiting_calls(&mut self) -> impl Iterator<Item = &mut WaitingCall> {
        let in_flight = self.in_flight.iter_mut().flat_map(|entry| entry.calls.iter_mut());
        in_flight.chain(self.queue.calls())
    }

    fn next_delete_at(&self, now: Instant) -> Option<Instant> {
        let is_possible =
            self.garbage.has_pending_deletes() && !self.is_deleting && !self.is_closing;
        let at = self.last_delete_at.map_or(now, |at| at + self.settings.spacing);
        is_possible.then_some(at)
    }

    fn delete(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.next_delete_at(now).is_none_or(|at| at > now) {
            return;
        }
        let Some(seq) = self.garbage.next_delete() else { return };
        self.is_deleting = true;
        self.last_delete_at = Some(now);
        out.push(Command::Delete { seq });
    }

    fn next_wake(&mut self, now: Instant) -> Option<Instant> {
        let after = self.settings.late_after;
        let late = self.waiting_calls().find_map(|call| call.late_at(after));
        let times = [
            self.next_entry_at(now),
            self.next_write_at(now),
            self.next_copy_at(),
            self.next_delete_at(now),
            late,
        ];
        times.into_iter().flatten().min()
    }
}
