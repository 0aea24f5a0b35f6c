//! The state machine of a journal's owner.

mod advance;
mod make;
mod pace;
mod queue;

use {
    super::{backup::entry_bytes, copies::CopyTracker, garbage::GarbageCollector},
    crate::{
        ids::{Epoch, JournalId, Member, ProgramId},
        journal::{
            AppendError, Command, DurableBy, Entry, Event, FailureKind, Record, Settings, Token,
        },
    },
    pace::Pacer,
    queue::{Batch, Queue, WaitingCall},
    std::{
        collections::VecDeque,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Bytes of an entry that are reserved for everything except its records.
const ENVELOPE_BYTES: usize = 2048;

/// The entry in flight. Its content is fixed, and it is not durable yet.
#[derive(Debug)]
struct InFlightEntry {
    entry: Arc<Entry>,
    calls: Vec<WaitingCall>,
    started_at: Instant,
    /// Whether a write of this entry or of an earlier one has failed.
    has_write_failed: bool,
}

/// The store call in flight that creates an entry or reads one after a conflict, if any.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreCall {
    None,
    Writing { seq: u64 },
    Reading { seq: u64 },
}

/// Initial state of a journal whose opening entry is stored.
#[derive(Debug)]
pub(super) struct InitialState {
    pub settings: Settings,
    pub journal: JournalId,
    pub me: Member,
    pub epoch: Epoch,
    pub next_seq: u64,
    pub backups: Vec<Member>,
    pub garbage: GarbageCollector,
}

/// The owner's side of a journal. Makes records durable in order until it finds another owner's
/// entry.
///
/// Invariants: The content of a position is fixed before the first attempt to write it and never
/// changes. A new entry is built only when all earlier entries are durable. Positions are written
/// to the store in order.
#[derive(Debug)]
pub struct Journal {
    settings: Settings,
    journal: JournalId,
    me: Member,
    epoch: Epoch,
    next_seq: u64,
    /// All positions up to this one are known to be in the store.
    stored_seq: u64,
    /// Highest position of which a backup may hold a copy, or 0 if there is none.
    copied_seq: u64,
    copies: CopyTracker,
    /// Highest epoch with which a backup has refused a copy.
    refused_epoch: Epoch,
    queue: Queue,
    pending_adoptions: VecDeque<Entry>,
    new_backups: Option<Vec<Member>>,
    in_flight: Option<InFlightEntry>,
    /// Entries that are durable at the backups and not in the store yet, in order, each with its
    /// size in bytes.
    backlog: VecDeque<(Arc<Entry>, usize)>,
    backlog_bytes: usize,
    store_call: StoreCall,
    write_pacer: Pacer,
    entry_pacer: Pacer,
    /// Time of the last failed store call, or `None` after a success.
    store_failed_at: Option<Instant>,
    /// When the last delete was started.
    last_delete_at: Option<Instant>,
    /// Whether garbage may be collected. False until the takeover has finished. Deletes must not
    /// start earlier, because the driver would send their replies to the ended `Takeover`.
    is_collecting: bool,
    is_deleting: bool,
    is_closing: bool,
    is_stopped: bool,
    garbage: GarbageCollector,
}

impl Journal {
    pub(super) fn new(initial: InitialState) -> Self {
        Self {
            settings: initial.settings,
            journal: initial.journal,
            me: initial.me,
            epoch: initial.epoch,
            next_seq: initial.next_seq,
            stored_seq: initial.next_seq - 1,
            copied_seq: 0,
            copies: CopyTracker::new(initial.backups),
            refused_epoch: 0,
            queue: Queue::default(),
            pending_adoptions: VecDeque::new(),
            new_backups: None,
            in_flight: None,
            backlog: VecDeque::new(),
            backlog_bytes: 0,
            store_call: StoreCall::None,
            write_pacer: Pacer::default(),
            entry_pacer: Pacer::default(),
            store_failed_at: None,
            last_delete_at: None,
            is_collecting: false,
            is_deleting: false,
            is_closing: false,
            is_stopped: false,
            garbage: initial.garbage,
        }
    }

    /// Appends records as one unit. They become durable together, after all records appended
    /// earlier.
    ///
    /// The token is returned in [`Command::Durable`], [`Command::OutcomeUnknown`] or
    /// [`Command::Dropped`].
    pub fn append(
        &mut self,
        now: Instant,
        records: Vec<Record>,
        token: Token,
    ) -> Result<Vec<Command>, AppendError> {
        let bytes = records_bytes(&records);
        self.check_append(bytes)?;
        self.queue.push(Batch { records, bytes, call: WaitingCall::new(token, now) });
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

    /// Sets the write rate. Called when the number of hosts that share the store changes.
    pub fn set_write_rate(&mut self, spacing: Duration, burst_writes: u32) {
        self.settings.spacing = spacing;
        self.settings.burst_writes = burst_writes;
    }

    /// Returns the maximum size of one append in bytes, as serialized JSON. Before sending a step,
    /// check that its largest possible response fits.
    pub fn max_append_bytes(&self) -> usize {
        self.settings.max_entry_bytes.saturating_sub(ENVELOPE_BYTES)
    }

    /// Replaces the backups by writing a new opening entry with a higher epoch, once all earlier
    /// entries are in the store.
    pub fn replace_backups(&mut self, now: Instant, backups: Vec<Member>) -> Vec<Command> {
        let mut commands = Vec::new();
        if !self.is_stopped && !self.is_closing {
            self.new_backups = Some(backups);
            self.advance(now, &mut commands);
        }
        commands
    }

    /// Whether the backups must be replaced, because nothing could become durable if the store
    /// failed now.
    pub fn needs_backups(&self) -> bool {
        !self.is_stopped && self.new_backups.is_none() && !self.copies.has_usable_backups()
    }

    /// Records that a backup has restarted or left.
    pub fn backup_lost(&mut self, backup: &Member) {
        self.copies.mark_lost(backup);
    }

    /// Returns the owner's epoch, for upstreams that check fencing.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the id under which the journal is stored.
    pub fn id(&self) -> &JournalId {
        &self.journal
    }

    /// Whether the journal was fenced or closed.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// Returns the number of entries that are durable only at the backups.
    pub fn backlog_len(&self) -> usize {
        self.backlog.len()
    }

    /// Returns the number of known entries, including the one in flight and not counting opening
    /// entries.
    pub fn entry_count(&self) -> usize {
        self.garbage.entry_count()
    }

    /// Whether nothing is waiting to be stored.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none()
            && self.backlog.is_empty()
            && self.queue.is_empty()
            && self.pending_adoptions.is_empty()
            && self.new_backups.is_none()
    }

    /// Adopts copied entries of a previous owner: writes their records in entries of this owner,
    /// before any new records.
    pub(super) fn adopt(&mut self, now: Instant, copies: Vec<Entry>) -> Vec<Command> {
        self.pending_adoptions.extend(copies);
        let mut commands = Vec::new();
        self.advance(now, &mut commands);
        commands
    }

    /// Enables garbage collection, which starts at the next event.
    pub(super) fn start_collecting(&mut self) {
        self.is_collecting = true;
    }

    /// Handles an event and returns the commands to execute.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.is_stopped {
            return commands;
        }
        self.on_event(now, event, &mut commands);
        if !self.is_stopped {
            self.advance(now, &mut commands);
        }
        commands
    }

    fn on_event(&mut self, now: Instant, event: Event, out: &mut Vec<Command>) {
        match event {
            Event::Stored { seq } => self.on_stored(seq, out),
            Event::Conflict { seq, found: None } if self.has_store_call_for(seq) => {
                self.store_call = StoreCall::Reading { seq };
                out.push(Command::Read { seq });
            }
            Event::Conflict { seq, found } => self.on_entry_read(now, seq, found, out),
            Event::EntryRead { seq, entry } => self.on_entry_read(now, seq, entry, out),
            Event::StoreFailed { seq, kind } => self.on_store_failed(now, seq, kind),
            Event::CopyReplied { seq, backup, reply } => self.on_copy_reply(seq, &backup, reply),
            Event::CopyFailed { .. } | Event::Tick => {}
            Event::Deleted { .. } => self.is_deleting = false,
            Event::DeleteFailed { seq } => {
                self.is_deleting = false;
                self.garbage.retry_delete(seq);
            }
            Event::Released { program } => self.garbage.release(&program),
            Event::Close => self.is_closing = true,
        }
    }

    fn has_store_call_for(&self, seq: u64) -> bool {
        let (StoreCall::Writing { seq: called } | StoreCall::Reading { seq: called }) =
            self.store_call
        else {
            return false;
        };
        called == seq
    }

    /// Returns the first entry that is not known to be in the store.
    fn first_unstored(&self) -> Option<&Arc<Entry>> {
        let backlog = self.backlog.front().map(|(entry, _)| entry);
        backlog.or(self.in_flight.as_ref().map(|in_flight| &in_flight.entry))
    }

    fn on_stored(&mut self, seq: u64, out: &mut Vec<Command>) {
        if !self.has_store_call_for(seq) {
            return;
        }
        self.store_call = StoreCall::None;
        self.store_failed_at = None;
        self.stored_seq = seq;
        self.garbage.on_stored(&self.me, seq);
        let entry = match self.backlog.pop_front() {
            Some((entry, bytes)) => {
                self.backlog_bytes -= bytes;
                Some(entry)
            }
            None => self.in_flight.take().map(|in_flight| {
                self.copies.reset();
                push_durable(&in_flight.calls, DurableBy::Store, out);
                in_flight.entry
            }),
        };
        if let Some(live) = entry.as_ref().and_then(|entry| entry.live.as_ref()) {
            self.garbage.on_checkpoint_stored(seq, live);
        }
        self.discard_copies(out);
    }

    /// Requests that the backups drop their copies, once the store holds all of the copied entries.
    fn discard_copies(&mut self, out: &mut Vec<Command>) {
        if self.copied_seq == 0 || self.copied_seq > self.stored_seq {
            return;
        }
        self.copied_seq = 0;
        let (epoch, seq) = (self.epoch, self.stored_seq);
        let backups = self.copies.backups().iter().cloned();
        out.extend(backups.map(|to| Command::Discard { to, epoch, seq }));
    }

    /// Handles the result of reading a position at which a write conflicted.
    fn on_entry_read(
        &mut self,
        now: Instant,
        seq: u64,
        found: Option<Arc<Entry>>,
        out: &mut Vec<Command>,
    ) {
        if !self.has_store_call_for(seq) {
            return;
        }
        let Some(found) = found else {
            // The position is empty: the read result is out of date, or the entry was deleted
            // before the read. Retry the write.
            self.on_store_failed(now, seq, FailureKind::Unknown);
            return;
        };
        let is_own = self.first_unstored().is_some_and(|entry| *entry == found);
        if is_own {
            self.on_stored(seq, out);
        } else {
            self.fence(found.epoch, out);
        }
    }

    fn on_store_failed(&mut self, now: Instant, seq: u64, _kind: FailureKind) {
        if !self.has_store_call_for(seq) {
            return;
        }
        // Both kinds are retried. If the failed write did take effect, the retry finds its own
        // entry.
        self.store_call = StoreCall::None;
        self.store_failed_at = Some(now);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.has_write_failed = true;
        }
    }

    fn on_copy_reply(&mut self, seq: u64, backup: &Member, reply: crate::journal::CopyReply) {
        if let crate::journal::CopyReply::Refused { epoch } = reply {
            self.refused_epoch = self.refused_epoch.max(epoch);
        }
        let Some(in_flight) =
            self.in_flight.as_ref().filter(|in_flight| in_flight.entry.seq == seq)
        else {
            return;
        };
        debug_assert!(in_flight.entry.takeover.is_none());
        self.copies.on_reply(backup, reply);
    }

    fn fence(&mut self, by_epoch: Epoch, out: &mut Vec<Command>) {
        self.is_stopped = true;
        let in_flight_calls = self.in_flight.take().map_or(Vec::new(), |in_flight| in_flight.calls);
        let dropped = self.queue.drain();
        if !in_flight_calls.is_empty() {
            out.push(Command::OutcomeUnknown {
                tokens: in_flight_calls.iter().map(|call| call.token).collect(),
            });
        }
        if !dropped.is_empty() {
            out.push(Command::Dropped { tokens: dropped });
        }
        out.push(Command::Fenced { by_epoch });
    }

    /// Returns the programs whose records the journal keeps.
    pub fn live_programs(&self) -> impl Iterator<Item = &ProgramId> {
        self.garbage.live_programs()
    }
}

fn push_durable(calls: &[WaitingCall], by: DurableBy, out: &mut Vec<Command>) {
    if !calls.is_empty() {
        out.push(Command::Durable { tokens: calls.iter().map(|call| call.token).collect(), by });
    }
}

fn records_bytes(records: &[Record]) -> usize {
    // Adds one byte for the comma between records.
    let size = |record| serde_json::to_vec(record).map_or(0, |json| json.len() + 1);
    records.iter().map(size).sum()
}
