//! Settings, events and commands of the owner's state machine.

use {
    crate::{
        ids::{Epoch, Member, ProgramId},
        journal::{CopyReply, Entry},
    },
    derive_more::{Display, Error},
    std::{sync::Arc, time::Duration},
};

/// Identifies one call of [`Journal::append`](super::Journal::append) for the driver.
pub type Token = u64;

/// Limits and times of a journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Minimum interval between the starts of two writes, except during a burst. Chosen so that all
    /// hosts combined stay within the store's write rate. The first write after a pause of this
    /// length starts at once.
    pub spacing: Duration,
    /// Number of writes that may start ahead of the even spacing after a pause, so that a journal
    /// with few writes does not wait.
    pub burst_writes: u32,
    /// Maximum size of a stored entry, in bytes.
    pub max_entry_bytes: usize,
    /// Maximum total size of queued records, in bytes. Further records are refused.
    pub max_queue_bytes: usize,
    /// Maximum total size of entries that only the backups hold, in bytes. At this limit no new
    /// entry is built until the store accepts a write.
    pub max_backlog_bytes: usize,
    /// Time without a reply after which an entry that is being written is copied to the backups.
    pub copy_after: Duration,
    /// Delay before a failed write, read or copy is retried.
    pub retry_delay: Duration,
    /// Time that an append may wait before its caller gets `store_unavailable`.
    pub late_after: Duration,
    /// Minimum time between two checkpoints. Garbage is kept until the next checkpoint.
    pub checkpoint_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            spacing: Duration::from_millis(20),
            burst_writes: 0,
            max_entry_bytes: 1 << 20,
            max_queue_bytes: 16 << 20,
            max_backlog_bytes: 32 << 20,
            copy_after: Duration::from_millis(300),
            retry_delay: Duration::from_millis(200),
            late_after: Duration::from_secs(5),
            checkpoint_interval: Duration::from_secs(60),
        }
    }
}

/// Reason for refusing records. None of the refused records becomes durable.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum AppendError {
    /// The records do not fit into one entry together.
    #[display("the records have {bytes} bytes, an entry holds {max_bytes}")]
    TooLarge {
        /// Size of the records in bytes.
        bytes: usize,
        /// Maximum size of one append, in bytes.
        max_bytes: usize,
    },
    /// The queue of records has reached [`Settings::max_queue_bytes`].
    #[display("too many records wait for the store")]
    Full,
    /// The owner is handing the journal over.
    #[display("the journal is being handed over")]
    Closing,
    /// Another host owns the journal, or the handover is complete.
    #[display("another host owns the journal")]
    Fenced,
}

/// Whether a failed store call may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// The store refused the call, so it had no effect.
    NotApplied,
    /// The connection failed or timed out, so the call may have taken effect.
    Unknown,
}

/// Where records became durable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DurableBy {
    /// The store holds the records.
    Store,
    /// Both backups hold the records. The owner flushes them to the store later.
    Backups,
}

/// Events that the driver reports to a journal.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The store created the entry.
    Stored {
        /// Position of the entry.
        seq: u64,
    },
    /// The store already has an entry at the position. If the driver has not read that entry, the
    /// journal requests it.
    Conflict {
        /// Position of the entry.
        seq: u64,
        /// The entry in the store, if the driver has read it.
        found: Option<Arc<Entry>>,
    },
    /// A read finished.
    EntryRead {
        /// The position that was read.
        seq: u64,
        /// The entry, or `None` if the position is empty.
        entry: Option<Arc<Entry>>,
    },
    /// A write or read failed.
    StoreFailed {
        /// Position of the entry.
        seq: u64,
        /// Whether the call may have taken effect.
        kind: FailureKind,
    },
    /// A backup replied to a copy.
    CopyReplied {
        /// Position of the copied entry.
        seq: u64,
        /// The backup that replied.
        backup: Member,
        /// Its reply.
        reply: CopyReply,
    },
    /// A backup did not reply to a copy.
    CopyFailed {
        /// Position of the copied entry.
        seq: u64,
        /// The backup that did not reply.
        backup: Member,
    },
    /// An entry was deleted or did not exist.
    Deleted {
        /// Position of the entry.
        seq: u64,
    },
    /// An entry could not be deleted.
    DeleteFailed {
        /// Position of the entry.
        seq: u64,
    },
    /// The program was released: its state is removed and its steps are no longer replayed. Its
    /// records are garbage.
    Released {
        /// Id of the released program.
        program: ProgramId,
    },
    /// The time requested by [`Command::WakeAt`] has come.
    Tick,
    /// Requests an orderly close, before a handover or when the host stops. The journal refuses
    /// further records, writes the remaining ones to the store, and then emits [`Command::Closed`].
    Close,
}

/// Requests and notifications for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Create the entry at its position if the position is empty. Always reply with one of
    /// [`Event::Stored`], [`Event::Conflict`] and [`Event::StoreFailed`].
    Write(Arc<Entry>),
    /// Read a position. Always reply with [`Event::EntryRead`] or [`Event::StoreFailed`].
    Read {
        /// The position to read.
        seq: u64,
    },
    /// Delete a position. Always reply with [`Event::Deleted`] or [`Event::DeleteFailed`].
    Delete {
        /// The position to delete.
        seq: u64,
    },
    /// Send a copy to a backup. Always reply with [`Event::CopyReplied`] or [`Event::CopyFailed`].
    Copy {
        /// The backup, with the incarnation recorded in the journal.
        to: Member,
        /// The entry to copy.
        entry: Arc<Entry>,
    },
    /// Send a backup a request to drop copies. No reply is needed: a lost message only delays
    /// freeing the backup's memory.
    Discard {
        /// The backup that holds the copies.
        to: Member,
        /// Drop only copies with an epoch up to this one.
        epoch: Epoch,
        /// Drop only copies at positions up to this one.
        seq: u64,
    },
    /// The records of these calls are durable. Apply them and, if the host's lease is still valid,
    /// send the call or the response that waited for them.
    Durable {
        /// Tokens of the calls, in order.
        tokens: Vec<Token>,
        /// Where the records are durable.
        by: DurableBy,
    },
    /// The records of these calls are still not durable after [`Settings::late_after`]. Reply
    /// `store_unavailable` to the callers. The records may still become durable: exactly one of
    /// `Durable`, `OutcomeUnknown` and `Dropped` is emitted later for each token. A token is
    /// reported as late at most once. If the caller was told that the step did not run (verdict
    /// `not_run`) and its intent then becomes durable, the driver must append
    /// [`Record::NotRun`](super::Record::NotRun) and not send the step.
    Late {
        /// Tokens of the calls, in order.
        tokens: Vec<Token>,
    },
    /// The journal is fenced, and the records of these calls may or may not be in it.
    OutcomeUnknown {
        /// Tokens of the calls, in order.
        tokens: Vec<Token>,
    },
    /// The journal is fenced, and the records of these calls are certainly not in it.
    Dropped {
        /// Tokens of the calls, in order.
        tokens: Vec<Token>,
    },
    /// Another host owns the journal. Stop all calls of the journal's programs and drop their
    /// state.
    Fenced {
        /// Epoch of the entry that fenced this owner.
        by_epoch: Epoch,
    },
    /// Everything is in the store, and the journal writes nothing more. The successor may start at
    /// once.
    Closed {
        /// The first free position.
        next_seq: u64,
    },
    /// Send [`Event::Tick`] at this time. Replaces any earlier request.
    WakeAt(std::time::Instant),
}
