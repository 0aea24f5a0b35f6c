//! The owner's side of a journal.

mod advance;
mod make;
mod pace;
mod queue;

use {
    super::{backup::entry_bytes, copies::Copies, garbage::Garbage},
    crate::{
        ids::{Epoch, JournalId, Member, ProgramId},
        journal::{
            AppendError, Command, DurableBy, Entry, Event, FailureKind, Record, Settings, Token,
        },
    },
    pace::Pace,
    queue::{Batch, Queue, Waiting},
    std::{
        collections::VecDeque,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Bytes of an entry that are set aside for all but its records.
const ENVELOPE_BYTES: usize = 2048;

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
    queue: Queue,
    adoptions: VecDeque<Entry>,
    renaming: Option<Vec<Member>>,
    current: Option<Current>,
    /// Entries that are durable at the backups, in order.
    backlog: VecDeque<(Arc<Entry>, usize)>,
    backlog_bytes: usize,
    store_call: StoreCall,
    wrote: Pace,
    made: Pace,
    failed_at: Option<Instant>,
    deleted_at: Option<Instant>,
    /// Whether garbage is collected: not before the takeover is over, for the answers to its calls
    /// would come to a machine that has ended.
    is_collecting: bool,
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
            queue: Queue::default(),
            adoptions: VecDeque::new(),
            renaming: None,
            current: None,
            backlog: VecDeque::new(),
            backlog_bytes: 0,
            store_call: StoreCall::None,
            wrote: Pace::default(),
            made: Pace::default(),
            failed_at: None,
            deleted_at: None,
            is_collecting: false,
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
        self.queue.push(Batch { records, bytes, call: Waiting::new(token, now) });
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
        if self.queue.bytes() + bytes > self.settings.max_queue_bytes {
            return Err(AppendError::Full);
        }
        Ok(())
    }

    /// Sets the pace of writes from now on, as the number of hosts that share the store changes.
    pub fn set_pace(&mut self, spacing: Duration, burst_writes: u32) {
        self.settings.spacing = spacing;
        self.settings.burst_writes = burst_writes;
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

    /// Entries in the journal, without openings, as far as known.
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

    /// Begins to collect garbage, at the next tick.
    pub(super) fn start_collecting(&mut self) {
        self.is_collecting = true;
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
        let dropped = self.queue.drain();
        if !lost.is_empty() {
            out.push(Command::Lost { tokens: lost.iter().map(|call| call.token).collect() });
        }
        if !dropped.is_empty() {
            out.push(Command::Dropped { tokens: dropped });
        }
        out.push(Command::Fenced { by_epoch });
    }

    /// Programs that the journal keeps records of.
    pub fn live(&self) -> impl Iterator<Item = &ProgramId> {
        self.garbage.live()
    }
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
