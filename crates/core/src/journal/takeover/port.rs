//! What a takeover and its driver say to each other.

use crate::{
    ids::{Epoch, Member},
    journal::{ClaimReply, Command, Entry, Event, Journal, Owner, Recovery},
};

/// What the driver tells a takeover.
#[derive(Clone, Debug, PartialEq)]
pub enum TakeoverEvent {
    /// All entries after the position that was asked for, in any order.
    Entries(Vec<Entry>),
    /// The entries could not be read.
    ReadFailed,
    /// A backup answered a claim.
    ClaimAnswered {
        /// The backup.
        backup: Member,
        /// The answer.
        reply: ClaimReply,
    },
    /// A backup did not answer a claim.
    ClaimFailed {
        /// The backup.
        backup: Member,
    },
    /// That life of a backup has ended for certain: the host was seen with another incarnation, or
    /// has been out of every roster for a whole lease plus the margin. Its copies are lost.
    BackupGone {
        /// The backup.
        backup: Member,
    },
    /// An answer to a store call of [`TakeoverCommand::Journal`], or its tick.
    Journal(Event),
}

/// What a takeover asks of its driver, or tells it.
#[derive(Debug)]
pub enum TakeoverCommand {
    /// List the journal's keys after this position and read them all, and go on until nothing
    /// stands after the last key listed. A key that is gone when it is read is left out. Answer with [`TakeoverEvent::Entries`] or
    /// [`TakeoverEvent::ReadFailed`], always.
    ReadAfter {
        /// The position; 0 for all.
        after: u64,
    },
    /// Claim the journal at a backup. Answer with [`TakeoverEvent::ClaimAnswered`] or
    /// [`TakeoverEvent::ClaimFailed`], always.
    Claim {
        /// The backup, in the life that the journal names.
        backup: Member,
        /// Who claims, under which epoch.
        by: Owner,
    },
    /// A command as of a journal: write, read, discard, wake.
    Journal(Command),
    /// No backup that may hold copies answers. The takeover goes on trying.
    Blocked,
    /// Another host owns the journal or is about to. Start anew if it doesn't go on.
    Lost {
        /// The epoch that was seen.
        by_epoch: Epoch,
    },
    /// The host owns the journal. No call of the takeover is under way any more. Tick the journal
    /// once, so that it asks for its next wake.
    Done(Box<Owned>),
}

/// What a finished takeover hands over.
#[derive(Debug)]
pub struct Owned {
    /// The journal, ready for records.
    pub journal: Journal,
    /// All that is in it, to rebuild the programs from.
    pub recovery: Recovery,
}
