//! Events and commands of a takeover.

use crate::{
    ids::{Epoch, Member},
    journal::{ClaimReply, Command, Entry, Event, Journal, Owner, Recovery},
};

/// Events that the driver reports to a takeover.
#[derive(Clone, Debug, PartialEq)]
pub enum TakeoverEvent {
    /// All entries after the requested position, in any order.
    Entries(Vec<Entry>),
    /// The entries could not be read.
    ReadFailed,
    /// A backup replied to a claim.
    ClaimReplied {
        /// The backup that replied.
        backup: Member,
        /// Its reply.
        reply: ClaimReply,
    },
    /// A backup did not reply to a claim.
    ClaimFailed {
        /// The backup that did not reply.
        backup: Member,
    },
    /// This incarnation of a backup has certainly ended, and its copies are lost. Either the host
    /// was seen with another incarnation, or it has been missing from every roster for a full lease
    /// plus the margin of the membership options.
    BackupLost {
        /// The lost backup.
        backup: Member,
    },
    /// A reply to a [`TakeoverCommand::Journal`] command, or a requested tick.
    Journal(Event),
}

/// Requests and notifications for the driver.
#[derive(Debug)]
pub enum TakeoverCommand {
    /// List the journal's keys after this position and read all of them. Repeat until there is no
    /// key after the last one listed. Skip a key that no longer exists when it is read. Always
    /// reply with [`TakeoverEvent::Entries`] or [`TakeoverEvent::ReadFailed`].
    ReadAfter {
        /// Read entries after this position; 0 reads all.
        after: u64,
    },
    /// Claim the journal at a backup. Always reply with [`TakeoverEvent::ClaimReplied`] or
    /// [`TakeoverEvent::ClaimFailed`].
    Claim {
        /// The backup, with the incarnation recorded in the journal.
        backup: Member,
        /// The claiming member and its epoch.
        by: Owner,
    },
    /// A command of a journal: write, read, discard or wake-up.
    Journal(Command),
    /// No backup that may hold copies has granted the claim. The takeover keeps retrying.
    Blocked,
    /// Another host owns the journal or is taking it over. Start a new takeover if that host does
    /// not finish its own.
    Superseded {
        /// Highest epoch that was seen.
        by_epoch: Epoch,
    },
    /// The host owns the journal, and no call of the takeover is in flight. Send the journal one
    /// tick, so that it requests its next wake-up.
    Done(Box<TakeoverResult>),
}

/// Result of a finished takeover.
#[derive(Debug)]
pub struct TakeoverResult {
    /// The journal, which accepts records now.
    pub journal: Journal,
    /// The contents of the journal, to rebuild the programs from.
    pub recovery: Recovery,
}
