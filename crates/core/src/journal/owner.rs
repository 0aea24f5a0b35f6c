//! The owner's side of a journal.

use {
    super::{backup::entry_bytes, copies::Copies, garbage::Garbage},
    crate::{
        ids::{Epoch, JournalId, Member, ProgramId},
        journal::{
            AppendError, Command, DurableBy, Entry, Event, FailureKind, Opening, Record, Settings,
            Token,
        },
    },
    std::{
        collections::{BTreeSet, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Bytes of an entry that are set aside for all but its records.
const ENVELOPE_BYTES: usize = 2048;
/// Entries are made this much slower than they are flushed while there is a backlog, so that it
/// shrinks under load.
const BACKLOG_SPACING: u32 = 2;

/// Records of one call, which become durable together.
#[derive(Debug)]
struct Batch {
    records: Vec<Record>,
    bytes: usize,
    call: Waiting,
}

/// A call that waits.
#[derive(Debug)]
struct Waiting {
    token: Token,
    since: Instant,
    is_late: bool,
}

/// The entry in flight: fixed, and not durable yet.
#[derive(Debug)]
struct Current {
    entry: Arc<Entry>,
    calls: Vec<Waiting>,
    since: Instant,
    /// Whether a write of it, or of an entry before it, has failed.
    has_failed: bool,
}

/// The one store call under way for writing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreCall {
    None,
    Writing { seq: u64 },
    Reading { seq: u64 },
}

/// What a journal is made from, once its first entry is stored.
#[derive(Debug)]
pub(super) struct Start {
    pub settings: Settings,
    pub journal: JournalId,
    pub me: Member,
    pub epoch: Epoch,
    pub next_seq: u64,
    pub backups: Vec<Member>,
    pub garbage: Garbage,
}

/// The journal of one owner: makes records durable, in order, until another owner is seen.
///
/// Invariants: the content of a position is fixed when it is first tried and never changes; an
/// entry is made only when all before it are durable; positions are tried in the store in order.
#[derive(Debug)]
pub struct Journal {
    settings: Settings,
    journal: JournalId,
    me: Member,
    epoch: Epoch,
    next_seq: u64,
    /// All positions up to this one are known to be in the store.
    stored_seq: u64,
    /// Highest position of which a backup may hold a copy.
    copied_seq: u64,
    copies: Copies,
    /// Highest epoch that a backup answered with.
    refused_epoch: Epoch,
    queue: VecDeque<Batch>,
    queue_bytes: usize,
    adoptions: VecDeque<Entry>,
    renaming: Option<Vec<Member>>,
    current: Option<Current>,
    /// Entries that are durable at the backups, in order.
    backlog: VecDeque<(Arc<Entry>, usize)>,
    backlog_bytes: usize,
    store_call: StoreCall,
    wrote_at: Option<Instant>,
    made_at: Option<Instant>,
    failed_at: Option<Instant>,
    deleted_at: Option<Instant>,
    is_deleting: bool,
    is_closing: bool,
    is_stopped: bool,
    garbage: Garbage,
}

impl Journal {
    pub(super) fn new(start: Start) -> Self {
        Self {
            settings: start.settings,
            journal: start.journal,
            me: start.me,
            epoch: start.epoch,
            next_seq: start.next_seq,
            stored_seq: start.next_seq - 1,
            copied_seq: 0,
            copies: Copies::new(start.backups),
            refused_epoch: 0,
            queue: VecDeque::new(),
            queue_bytes: 0,
            adoptions: VecDeque::new(),
            renaming: None,
            current: None,
            backlog: VecDeque::new(),
            backlog_bytes: 0,
            store_call: StoreCall::None,
            wrote_at: None,
            made_at: None,
            failed_at: None,
            deleted_at: None,
            is_deleting: false,
            is_closing: false,
            is_stopped: false,
            garbage: start.garbage,
        }
    }

    /// Takes records that become durable together, and after all that were taken before.
    ///
    /// The token comes back in [`Command::Durable`], [`Command::Lost`] or [`Command::Dropped`].
    pub fn append(
        &mut self,
        now: Instant,
        records: Vec<Record>,
        token: Token,
    ) -> Result<Vec<Command>, AppendError> {
        let bytes = records_bytes(&records);
        self.check_append(bytes)?;
        self.queue_bytes += bytes;
        let call = Waiting { token, since: now, is_late: false };
        self.queue.push_back(Batch { records, bytes, call });
        let mut commands = Vec::new();
        self.advance(now, &mut commands);
        Ok(commands)
    }

    fn check_append(&self, bytes: usize) -> Result<(), AppendError> {
        if self.is_stopped {
            return Err(AppendError::Fenced);
        }
        if self.is_closing {
            return Err(AppendError::Closing);
        }
        let max_bytes = self.max_append_bytes();
        if bytes > max_bytes {
            return Err(AppendError::TooLarge { bytes, max_bytes });
        }
        if self.queue_bytes + bytes > self.settings.max_queue_bytes {
            return Err(AppendError::Full);
        }
        Ok(())
    }

    /// The most bytes that one call may append, in the records' stored form. Check what a step may
    /// answer against it before the step is sent.
    pub fn max_append_bytes(&self) -> usize {
        self.settings.max_entry_bytes.saturating_sub(ENVELOPE_BYTES)
    }

    /// Names other backups, under a higher epoch, once all entries are in the store.
    pub fn rename_backups(&mut self, now: Instant, backups: Vec<Member>) -> Vec<Command> {
        let mut commands = Vec::new();
        if !self.is_stopped && !self.is_closing {
            self.renaming = Some(backups);
            self.advance(now, &mut commands);
        }
        commands
    }

    /// Whether a failure of the store would stop the journal: other backups should be named.
    pub fn wants_backups(&self) -> bool {
        !self.is_stopped && self.renaming.is_none() && !self.copies.are_possible()
    }

    /// Takes in that a backup has restarted or left.
    pub fn backup_gone(&mut self, backup: &Member) {
        self.copies.lost(backup);
    }

    /// The owner's epoch, for upstreams that check it.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The journal.
    pub fn id(&self) -> &JournalId {
        &self.journal
    }

    /// Whether another owner was seen.
    pub fn is_fenced(&self) -> bool {
        self.is_stopped
    }

    /// Entries that are durable only at the backups.
    pub fn backlog_len(&self) -> usize {
        self.backlog.len()
    }

    /// Entries in the journal, as far as known.
    pub fn entry_count(&self) -> usize {
        self.garbage.entry_count()
    }

    /// Whether nothing waits to be stored.
    pub fn is_idle(&self) -> bool {
        self.current.is_none()
            && self.backlog.is_empty()
            && self.queue.is_empty()
            && self.adoptions.is_empty()
            && self.renaming.is_none()
    }

    /// Repeats copies of a former owner's entries as own entries, before anything else.
    pub(super) fn adopt(&mut self, now: Instant, copies: Vec<Entry>) -> Vec<Command> {
        self.adoptions.extend(copies);
        let mut commands = Vec::new();
        self.advance(now, &mut commands);
        commands
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.is_stopped {
            return commands;
        }
        self.take(now, event, &mut commands);
        if !self.is_stopped {
            self.advance(now, &mut commands);
        }
        commands
    }

    fn take(&mut self, now: Instant, event: Event, out: &mut Vec<Command>) {
        match event {
            Event::Stored { seq } => self.stored(seq, out),
            Event::Conflict { seq, found: None } if self.is_busy_with(seq) => {
                self.store_call = StoreCall::Reading { seq };
                out.push(Command::Read { seq });
            }
            Event::Conflict { seq, found } => self.found(now, seq, found, out),
            Event::Found { seq, entry } => self.found(now, seq, entry, out),
            Event::StoreFailed { seq, kind } => self.store_failed(now, seq, kind),
            Event::CopyAnswered { seq, backup, reply } => self.copied(seq, &backup, reply),
            Event::CopyFailed { .. } | Event::Tick => {}
            Event::Deleted { .. } => self.is_deleting = false,
            Event::DeleteFailed { seq } => {
                self.is_deleting = false;
                self.garbage.delete_failed(seq);
            }
            Event::Released { program } => self.garbage.release(&program),
            Event::Closing => self.is_closing = true,
        }
    }

    fn is_busy_with(&self, seq: u64) -> bool {
        let (StoreCall::Writing { seq: busy } | StoreCall::Reading { seq: busy }) = self.store_call
        else {
            return false;
        };
        busy == seq
    }

    /// The first entry that the store is not known to hold.
    fn first_unstored(&self) -> Option<&Arc<Entry>> {
        let backlog = self.backlog.front().map(|(entry, _)| entry);
        backlog.or(self.current.as_ref().map(|current| &current.entry))
    }

    fn stored(&mut self, seq: u64, out: &mut Vec<Command>) {
        if !self.is_busy_with(seq) {
            return;
        }
        self.store_call = StoreCall::None;
        self.failed_at = None;
        self.stored_seq = seq;
        self.garbage.prove(&self.me, seq);
        let entry = match self.backlog.pop_front() {
            Some((entry, bytes)) => {
                self.backlog_bytes -= bytes;
                Some(entry)
            }
            None => self.current.take().map(|current| {
                self.copies.reset();
                push_durable(&current.calls, DurableBy::Store, out);
                current.entry
            }),
        };
        if let Some(live) = entry.as_ref().and_then(|entry| entry.live.as_ref()) {
            self.garbage.checkpoint_stored(seq, live);
        }
        self.discard_copies(out);
    }

    /// Lets the backups drop their copies once the store holds all of them.
    fn discard_copies(&mut self, out: &mut Vec<Command>) {
        if self.copied_seq == 0 || self.copied_seq > self.stored_seq {
            return;
        }
        self.copied_seq = 0;
        let (epoch, seq) = (self.epoch, self.stored_seq);
        let backups = self.copies.backups().iter().cloned();
        out.extend(backups.map(|to| Command::Discard { to, epoch, seq }));
    }

    /// Decides by what stands at a position that was taken.
    fn found(&mut self, now: Instant, seq: u64, found: Option<Arc<Entry>>, out: &mut Vec<Command>) {
        if !self.is_busy_with(seq) {
            return;
        }
        let Some(found) = found else {
            // Nothing there: a delayed read, or a position that was deleted. Try again.
            self.store_failed(now, seq, FailureKind::Unknown);
            return;
        };
        let is_own = self.first_unstored().is_some_and(|entry| *entry == found);
        if is_own {
            self.stored(seq, out);
        } else {
            self.fence(found.epoch, out);
        }
    }

    fn store_failed(&mut self, now: Instant, seq: u64, _kind: FailureKind) {
        if !self.is_busy_with(seq) {
            return;
        }
        // Either kind is tried again: a write that did take effect then meets itself.
        self.store_call = StoreCall::None;
        self.failed_at = Some(now);
        if let Some(current) = &mut self.current {
            current.has_failed = true;
        }
    }

    fn copied(&mut self, seq: u64, backup: &Member, reply: crate::journal::CopyReply) {
        if let crate::journal::CopyReply::Refused { epoch } = reply {
            self.refused_epoch = self.refused_epoch.max(epoch);
        }
        let Some(current) = self.current.as_ref().filter(|current| current.entry.seq == seq) else {
            return;
        };
        debug_assert!(current.entry.takeover.is_none());
        self.copies.answered(backup, reply);
    }

    fn fence(&mut self, by_epoch: Epoch, out: &mut Vec<Command>) {
        self.is_stopped = true;
        let lost = self.current.take().map_or(Vec::new(), |current| current.calls);
        let dropped: Vec<Token> = self.queue.drain(..).map(|batch| batch.call.token).collect();
        if !lost.is_empty() {
            out.push(Command::Lost { tokens: lost.iter().map(|call| call.token).collect() });
        }
        if !dropped.is_empty() {
            out.push(Command::Dropped { tokens: dropped });
        }
        out.push(Command::Fenced { by_epoch });
    }

    /// Does all that can be done now.
    fn advance(&mut self, now: Instant, out: &mut Vec<Command>) {
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

    /// When the next entry may be made; `None` while it must wait for an event.
    fn make_at(&self, now: Instant) -> Option<Instant> {
        if self.current.is_some() || self.backlog_bytes >= self.settings.max_backlog_bytes {
            return None;
        }
        let spacing = match self.backlog.is_empty() {
            true => self.settings.spacing,
            false => self.settings.spacing * BACKLOG_SPACING,
        };
        let wrote = self.wrote_at.map_or(now, |at| at + self.settings.spacing);
        let made = self.made_at.map_or(now, |at| at + spacing);
        let ready = if self.backlog.is_empty() { made.max(wrote) } else { made };
        let is_store_only = self.may_rename() || !self.adoptions.is_empty();
        if is_store_only || !self.queue.is_empty() {
            return Some(ready.max(now));
        }
        let due = self.garbage.checkpoint_due(now, self.settings.checkpoint_every)?;
        (!self.is_closing && self.backlog.is_empty()).then(|| ready.max(due).max(now))
    }

    /// Whether other backups may be named now. That waits for the store, so while the store is down
    /// records go to the present backups first.
    fn may_rename(&self) -> bool {
        let is_store_up = self.failed_at.is_none() || !self.copies.are_possible();
        self.renaming.is_some() && self.backlog.is_empty() && is_store_up
    }

    fn make_entry(&mut self, now: Instant) {
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
        self.made_at = Some(now);
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
        let due = self.garbage.checkpoint_due(now, self.settings.checkpoint_every);
        if due.is_none_or(|at| at > now) {
            return room;
        }
        self.garbage.checkpoint_started(now);
        let live: Vec<ProgramId> = self.garbage.live().iter().cloned().collect();
        let bytes: usize = live.iter().map(|program| program.len() + 3).sum();
        // The first batch must still fit, or it would wait for ever.
        let first = self.queue.front().map_or(0, |batch| batch.bytes);
        if bytes + first > room {
            return room;
        }
        entry.live = Some(live);
        room - bytes
    }

    /// Moves as many batches into the entry as fit.
    fn fill(&mut self, entry: &mut Entry, mut room: usize) -> Vec<Waiting> {
        let mut calls = Vec::new();
        while self.queue.front().is_some_and(|batch| batch.bytes <= room) {
            let Some(batch) = self.queue.pop_front() else { break };
            room -= batch.bytes;
            self.queue_bytes -= batch.bytes;
            entry.records.extend(batch.records);
            calls.push(batch.call);
        }
        calls
    }

    /// When the store may be called; `None` while a call is under way or nothing is to be written.
    fn write_at(&self, now: Instant) -> Option<Instant> {
        if self.store_call != StoreCall::None {
            return None;
        }
        self.first_unstored()?;
        let spaced = self.wrote_at.map_or(now, |at| at + self.settings.spacing);
        let retried = self.failed_at.map_or(now, |at| at + self.settings.retry_after);
        Some(spaced.max(retried).max(now))
    }

    fn write(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.write_at(now).is_none_or(|at| at > now) {
            return;
        }
        let Some(entry) = self.first_unstored().cloned() else { return };
        self.store_call = StoreCall::Writing { seq: entry.seq };
        self.wrote_at = Some(now);
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
        let deadline = self.settings.late_after;
        let mut tokens = Vec::new();
        for call in waiting_calls(&mut self.current, &mut self.queue) {
            if !call.is_late && call.since + deadline <= now {
                call.is_late = true;
                tokens.push(call.token);
            }
        }
        if !tokens.is_empty() {
            out.push(Command::Late { tokens });
        }
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
        let late_after = self.settings.late_after;
        let late = waiting_calls(&mut self.current, &mut self.queue)
            .filter(|call| !call.is_late)
            .map(|call| call.since + late_after)
            .min();
        let times =
            [self.make_at(now), self.write_at(now), self.copy_at(), self.delete_at(now), late];
        times.into_iter().flatten().min()
    }

    /// Programs that the journal keeps records of.
    pub fn live(&self) -> &BTreeSet<ProgramId> {
        self.garbage.live()
    }
}

fn waiting_calls<'a>(
    current: &'a mut Option<Current>,
    queue: &'a mut VecDeque<Batch>,
) -> impl Iterator<Item = &'a mut Waiting> {
    let current = current.iter_mut().flat_map(|current| current.calls.iter_mut());
    current.chain(queue.iter_mut().map(|batch| &mut batch.call))
}

fn push_durable(calls: &[Waiting], by: DurableBy, out: &mut Vec<Command>) {
    if !calls.is_empty() {
        out.push(Command::Durable { tokens: calls.iter().map(|call| call.token).collect(), by });
    }
}

fn records_bytes(records: &[Record]) -> usize {
    let size = |record| serde_json::to_vec(record).map_or(0, |json| json.len() + 1);
    records.iter().map(size).sum()
}
