//! Outage notes, which ledger hosts store before an owner grants an overdraft.
//!
//! A successor must know whether the owner of a record may have granted an overdraft since. The
//! record names the hosts that store outage notes for its owner. The owner grants an overdraft only
//! once a majority of them has noted how far its record may be incomplete. A successor asks so many of
//! the same hosts that one of any majority is among them, and each of them then notes nothing more for earlier epochs. So either
//! the successor learns of the note, or the overdraft is never granted. No clocks are compared, and
//! it does not matter which hosts are believed to be alive.

use {super::LedgerRecord, crate::ids::Epoch, derive_more::Display};

/// The epoch of a ledger's first owner.
pub const FIRST_EPOCH: Epoch = 1;

/// Identifies the notes of one host. Changes when the host loses them.
#[derive(
    Clone,
    Debug,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[display("{host}#{notes_id:016x}")]
pub struct NoteHost {
    /// Name of the host.
    pub host: String,
    /// Random id of the host's note storage.
    #[serde(rename = "id")]
    pub notes_id: u64,
}

/// Identifies one write of a ledger's record. Ordered by time.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct LedgerPosition {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Sequence number of the write within the epoch. Increases with every write, including failed
    /// ones.
    pub sequence: u64,
}

/// The outage notes of one host for one ledger.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct OutageNotes {
    /// Nothing is noted for epochs before this one.
    fenced_before: Epoch,
    /// The last write up to which records may be incomplete.
    noted: Option<LedgerPosition>,
}

impl OutageNotes {
    /// Notes that records up to a position may be incomplete. Returns false if a successor has
    /// fenced that epoch.
    pub fn note(&mut self, position: LedgerPosition) -> bool {
        if position.epoch < self.fenced_before {
            return false;
        }
        self.fenced_before = position.epoch;
        self.noted = self.noted.max(Some(position));
        true
    }

    /// Notes nothing more for epochs before `epoch`. Returns the last position noted. Changes nothing for
    /// [`FIRST_EPOCH`], so that the first owner of a ledger waits for no disk.
    pub fn fence(&mut self, epoch: Epoch) -> Option<LedgerPosition> {
        if epoch > FIRST_EPOCH {
            self.fenced_before = self.fenced_before.max(epoch);
        }
        self.noted
    }

    /// Returns the first epoch that is not fenced.
    pub fn fenced_before(&self) -> Epoch {
        self.fenced_before
    }

    /// Returns whether the notes include a position.
    pub fn covers(&self, position: LedgerPosition) -> bool {
        self.noted.is_some_and(|noted| noted.epoch == position.epoch && noted >= position)
    }
}

/// The answer of one host to a successor that has fenced the former epochs.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct FenceReply {
    /// The host that answered.
    pub note_host: NoteHost,
    /// The last position that it has noted.
    pub noted: Option<LedgerPosition>,
    /// It notes nothing for epochs before this one. Builds before this field do not name it.
    #[serde(default)]
    pub fenced_before: Epoch,
}

/// Returns whether a note host notes nothing more for an epoch. A host that wanted to take the ledger
/// over has fenced it, and may have left the ledger to its owner afterwards. The owner can have no
/// outage noted until it begins another epoch.
pub fn is_epoch_fenced(epoch: Epoch, replies: &[FenceReply]) -> bool {
    replies.iter().any(|reply| reply.fenced_before > epoch)
}

/// Returns the number of note hosts that have to note an outage: a majority.
pub(super) fn note_quorum(note_hosts: &[NoteHost]) -> usize {
    note_hosts.len() / 2 + 1
}

/// Returns the number of note hosts that a successor has to ask. At least one of them has noted an
/// outage that as many as [`note_quorum`] have noted.
fn fence_quorum(note_hosts: &[NoteHost]) -> usize {
    note_hosts.len() + 1 - note_quorum(note_hosts)
}

fn own_replies<'a>(
    record: &'a LedgerRecord,
    replies: &'a [FenceReply],
) -> impl Iterator<Item = &'a FenceReply> {
    replies.iter().filter(|reply| record.note_hosts.contains(&reply.note_host))
}

/// Returns whether so many note hosts of a record have replied to a fence that its writer can't have
/// another outage noted.
pub fn is_fenced(record: &LedgerRecord, replies: &[FenceReply]) -> bool {
    // Without note hosts the owner grants no overdraft.
    record.note_hosts.is_empty()
        || own_replies(record, replies).count() >= fence_quorum(&record.note_hosts)
}

/// Returns whether the owner that wrote a record may have granted an overdraft since. Returns `None`
/// if too few of its note hosts have answered.
pub fn may_lack_overdraft(record: &LedgerRecord, replies: &[FenceReply]) -> Option<bool> {
    if own_replies(record, replies).any(|reply| reply.noted >= Some(record.position())) {
        return Some(true);
    }
    is_fenced(record, replies).then_some(false)
}
