//! How far the copies of one entry have come.

use {
    crate::{ids::Member, journal::CopyReply},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

/// Copies that make an entry durable: one at each backup.
pub(super) const COPIES_NEEDED: usize = 2;

/// The backups of an ownership, and the copies of its entry in flight.
#[derive(Debug)]
pub(super) struct Copies {
    /// Invariant: distinct members; no life of a host takes the place of another.
    backups: Vec<Member>,
    /// Backups that hold nothing for this ownership any more: claimed, or restarted.
    lost: BTreeSet<Member>,
    /// Times of the last try, by backup, for the entry in flight.
    tried: BTreeMap<Member, Instant>,
    acked: BTreeSet<Member>,
}

impl Copies {
    /// No copies yet.
    pub fn new(mut backups: Vec<Member>) -> Self {
        backups.sort();
        backups.dedup();
        Self { backups, lost: BTreeSet::new(), tried: BTreeMap::new(), acked: BTreeSet::new() }
    }

    /// All backups.
    pub fn backups(&self) -> &[Member] {
        &self.backups
    }

    /// Whether an entry can become durable by copies.
    pub fn are_possible(&self) -> bool {
        self.backups.len() >= COPIES_NEEDED && self.lost.is_empty()
    }

    /// Whether the entry in flight is durable.
    pub fn are_complete(&self) -> bool {
        self.are_possible() && self.backups.iter().all(|backup| self.acked.contains(backup))
    }

    /// Forgets the entry in flight.
    pub fn reset(&mut self) {
        self.tried.clear();
        self.acked.clear();
    }

    /// Returns the backups to which the entry should be sent now, and notes that it is.
    pub fn due(&mut self, now: Instant, pause: std::time::Duration) -> Vec<Member> {
        if !self.are_possible() {
            return Vec::new();
        }
        let acked = &self.acked;
        let tried = &self.tried;
        let is_due = |backup: &&Member| {
            !acked.contains(*backup) && tried.get(*backup).is_none_or(|at| *at + pause <= now)
        };
        let due: Vec<Member> = self.backups.iter().filter(is_due).cloned().collect();
        self.tried.extend(due.iter().map(|backup| (backup.clone(), now)));
        due
    }

    /// When the next copy is due, if one was sent and not acknowledged.
    pub fn next_due(&self, pause: std::time::Duration) -> Option<Instant> {
        let waiting = self.tried.iter().filter(|(backup, _)| !self.acked.contains(*backup));
        waiting.map(|(_, at)| *at + pause).min()
    }

    /// Takes in an answer for the entry in flight.
    pub fn answered(&mut self, backup: &Member, reply: CopyReply) {
        match reply {
            CopyReply::Acked => drop(self.acked.insert(backup.clone())),
            CopyReply::Refused { .. } | CopyReply::OtherMember => self.lost(backup),
            CopyReply::Full => {}
        }
    }

    /// Takes in that a backup holds nothing for this ownership any more.
    pub fn lost(&mut self, backup: &Member) {
        if self.backups.contains(backup) {
            self.lost.insert(backup.clone());
        }
    }
}
