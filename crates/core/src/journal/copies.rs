//! Tracks the copies of the entry in flight at the backups.

use {
    crate::{ids::Member, journal::CopyReply},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

/// Number of copies that make an entry durable: one at each backup.
pub(super) const COPIES_NEEDED: usize = 2;

/// The backups of an owner, and the state of the copies of its entry in flight.
#[derive(Debug)]
pub(super) struct CopyTracker {
    /// Invariant: distinct members. Each member has the incarnation from the opening entry; a
    /// restarted host is not substituted.
    backups: Vec<Member>,
    /// Backups that can no longer accept copies from this owner, because a successor claimed the
    /// journal there or the host restarted.
    lost: BTreeSet<Member>,
    /// Time of the last attempt to copy the entry in flight, by backup.
    sent_at: BTreeMap<Member, Instant>,
    acked: BTreeSet<Member>,
}

impl CopyTracker {
    /// Creates a tracker for backups to which nothing has been copied.
    pub fn new(mut backups: Vec<Member>) -> Self {
        backups.sort();
        backups.dedup();
        Self { backups, lost: BTreeSet::new(), sent_at: BTreeMap::new(), acked: BTreeSet::new() }
    }

    pub fn backups(&self) -> &[Member] {
        &self.backups
    }

    /// Whether the backups can make an entry durable.
    pub fn has_usable_backups(&self) -> bool {
        self.backups.len() >= COPIES_NEEDED && self.lost.is_empty()
    }

    /// Whether all backups have acknowledged the entry in flight.
    pub fn is_complete(&self) -> bool {
        self.has_usable_backups() && self.backups.iter().all(|backup| self.acked.contains(backup))
    }

    /// Clears the copy state of the entry in flight, for the next entry.
    pub fn reset(&mut self) {
        self.sent_at.clear();
        self.acked.clear();
    }

    /// Returns the backups to which the entry should be sent now, and records the attempt.
    pub fn take_due(&mut self, now: Instant, retry_delay: std::time::Duration) -> Vec<Member> {
        if !self.has_usable_backups() {
            return Vec::new();
        }
        let acked = &self.acked;
        let sent_at = &self.sent_at;
        let is_due = |backup: &&Member| {
            !acked.contains(*backup)
                && sent_at.get(*backup).is_none_or(|at| *at + retry_delay <= now)
        };
        let due: Vec<Member> = self.backups.iter().filter(is_due).cloned().collect();
        self.sent_at.extend(due.iter().map(|backup| (backup.clone(), now)));
        due
    }

    /// Returns when the next retry is due, or `None` if all sent copies are acknowledged.
    pub fn next_due(&self, retry_delay: std::time::Duration) -> Option<Instant> {
        let unacked = self.sent_at.iter().filter(|(backup, _)| !self.acked.contains(*backup));
        unacked.map(|(_, at)| *at + retry_delay).min()
    }

    /// Applies a backup's reply to the copy of the entry in flight.
    pub fn on_reply(&mut self, backup: &Member, reply: CopyReply) {
        match reply {
            CopyReply::Acked => drop(self.acked.insert(backup.clone())),
            CopyReply::Refused { .. } | CopyReply::OtherMember => self.mark_lost(backup),
            CopyReply::Full => {}
        }
    }

    /// Records that a backup can no longer accept copies from this owner.
    pub fn mark_lost(&mut self, backup: &Member) {
        if self.backups.contains(backup) {
            self.lost.insert(backup.clone());
        }
    }
}
