//! What an owner's machine and its driver say to each other.

use {
    crate::{
        ids::{Epoch, Member, ProgramId},
        journal::{CopyReply, Entry},
    },
    derive_more::{Display, Error},
    std::{sync::Arc, time::Duration},
};

/// Names one call of [`Journal::append`](super::Journal::append), for the driver.
pub type Token = u64;

/// Bounds and times of a journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Least time between the starts of two writes, so that all hosts together stay within the
    /// store's rate. The first write after a pause of this length is immediate.
    pub spacing: Duration,
    /// Writes that may come ahead of the even spacing after a pause, so that a journal with little
    /// to write doesn't wait.
    pub burst_writes: u32,
    /// Largest stored entry.
    pub max_entry_bytes: usize,
    /// Most bytes that wait for their first entry; more are refused.
    pub max_queue_bytes: usize,
    /// Most bytes that are durable at the backups and not in the store yet. While there are more,
    /// nothing becomes durable until the store takes some.
    pub max_backlog_bytes: usize,
    /// Time after which an unanswered write is copied to the backups.
    pub slow_after: Duration,
    /// Pause before a failed write, read or copy is tried again.
    pub retry_after: Duration,
    /// Time after which callers are told that the store is unavailable.
    pub late_after: Duration,
    /// Least time between two checkpoints; garbage waits this long.
    pub checkpoint_every: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            spacing: Duration::from_millis(20),
            burst_writes: 0,
            max_entry_bytes: 1 << 20,
            max_queue_bytes: 16 << 20,
            max_backlog_bytes: 32 << 20,
            slow_after: Duration::from_millis(300),
            retry_after: Duration::from_millis(200),
            late_after: Duration::from_secs(5),
            checkpoint_every: Duration::from_secs(60),
        }
    }
}

/// Why records were not taken. Nothing of them becomes durable.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum AppendError {
    /// The records don't fit one entry together.
    #[display("the records have {bytes} bytes, an entry holds {max_bytes}")]
    TooLarge {
        /// Size of the records.
        bytes: usize,
        /// The most that one call may append.
        max_bytes: usize,
    },
    /// Too many records wait for the store.
    #[display("too many records wait for the store")]
    Full,
    /// The journal is being handed over.
    #[display("the journal is being handed over")]
    Closing,
    /// Another host owns the journal.
    #[display("another host owns the journal")]
    Fenced,
}

/// Whether a failed store call may have had an effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// It had none: the store refused it.
    NotApplied,
    /// It may have had one: the connection broke or no answer came in time.
    Unknown,
}

/// What made records durable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DurableBy {
    /// The store holds them.
    Store,
    /// Both backups hold them; they are flushed to the store later.
    Backups,
}

/// What the driver tells a journal.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The entry was created.
    Stored {
        /// Its position.
        seq: u64,
    },
    /// The position is taken. A driver that has read what is there says so; otherwise the journal
    /// asks for it.
    Conflict {
        /// The position.
        seq: u64,
        /// What is there, if known.
        found: Option<Arc<Entry>>,
    },
    /// A position was read.
    Found {
        /// The position.
        seq: u64,
        /// What is there; `None` if nothing is.
        entry: Option<Arc<Entry>>,
    },
    /// A write or read failed.
    StoreFailed {
        /// The position.
        seq: u64,
        /// Whether it may have had an effect.
        kind: FailureKind,
    },
    /// A backup answered a copy.
    CopyAnswered {
        /// The position.
        seq: u64,
        /// The backup.
        backup: Member,
        /// The answer.
        reply: CopyReply,
    },
    /// A backup did not answer.
    CopyFailed {
        /// The position.
        seq: u64,
        /// The backup.
        backup: Member,
    },
    /// An entry is deleted, or was not there.
    Deleted {
        /// The position.
        seq: u64,
    },
    /// An entry could not be deleted.
    DeleteFailed {
        /// The position.
        seq: u64,
    },
    /// The program is gone for good, its replays too: its records are garbage.
    Released {
        /// The program.
        program: ProgramId,
    },
    /// The time asked for by [`Command::WakeAt`] has come.
    Tick,
    /// The host stops: take no more records, bring all into the store, then [`Command::Closed`].
    Closing,
}

/// What a journal asks of its driver, or tells it.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Create the entry at its position if nothing is there. Answer with one of
    /// [`Event::Stored`], [`Event::Conflict`] and [`Event::StoreFailed`], always.
    Write(Arc<Entry>),
    /// Read a position. Answer with [`Event::Found`] or [`Event::StoreFailed`], always.
    Read {
        /// The position.
        seq: u64,
    },
    /// Delete a position. Answer with [`Event::Deleted`] or [`Event::DeleteFailed`], always.
    Delete {
        /// The position.
        seq: u64,
    },
    /// Send a copy to a backup. Answer with [`Event::CopyAnswered`] or [`Event::CopyFailed`].
    Copy {
        /// The backup, in the life that the journal names.
        to: Member,
        /// The entry.
        entry: Arc<Entry>,
    },
    /// Tell a backup that it may drop copies. Needs no answer; a lost one costs memory there.
    Discard {
        /// The backup.
        to: Member,
        /// Owners up to this epoch.
        epoch: Epoch,
        /// Positions up to this one.
        seq: u64,
    },
    /// The records of these calls are durable: apply them, then act on them.
    Durable {
        /// The calls, in order.
        tokens: Vec<Token>,
        /// What made them so.
        by: DurableBy,
    },
    /// The records of these calls have waited for long and still do. Tell the callers
    /// `store_unavailable`; the records may yet become durable, and each token still gets exactly
    /// one of `Durable`, `Lost` and `Dropped` later. Given once a token at most. A driver that told
    /// a caller `not_run` must not send the call when its intent becomes durable after all, but
    /// record that it was not run.
    Late {
        /// The calls.
        tokens: Vec<Token>,
    },
    /// The journal is fenced, and the records of these calls may or may not be in it.
    Lost {
        /// The calls.
        tokens: Vec<Token>,
    },
    /// The journal is fenced, and the records of these calls are certainly not in it.
    Dropped {
        /// The calls.
        tokens: Vec<Token>,
    },
    /// Another host owns the journal: send nothing more for its programs, forget them.
    Fenced {
        /// The epoch that was seen.
        by_epoch: Epoch,
    },
    /// All is in the store and nothing more will be written: the successor may start at once.
    Closed {
        /// First free position.
        next_seq: u64,
    },
    /// Send [`Event::Tick`] at this time. Takes the place of the one asked for before.
    WakeAt(std::time::Instant),
}
