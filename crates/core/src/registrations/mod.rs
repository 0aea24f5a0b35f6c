//! What a host knows of the registrations of upstreams, and which of them it may use.
//!
//! Facts come from several places and in any order: entries and removals from the store, from a
//! listing or from its changes; notices in the answers of upstreams; the word of other hosts. Each of
//! them may be late. A heartbeat that the store accepts late is older than what is known, and an
//! entry that is gone may have lapsed in an outage. This module keeps the order, by the start of the
//! upstream's process and by its heartbeats:
//!
//! - An upstream that leaves does so until its process starts again, whatever its later entries say
//!   and whether its entry was gone in between.
//! - An upstream whose entry is gone is removed, at once or when its time to return is over. No
//!   further call of the store is needed for that, so none can fail.

mod outage;

#[cfg(test)]
mod tests;

pub use outage::StoreOutage;

use {
    crate::{
        ids::{Incarnation, UpstreamId},
        placement::UpstreamRecord,
    },
    std::{
        collections::{BTreeMap, HashSet},
        time::{Duration, Instant},
    },
};

/// Maximum number of upstreams without an entry that are remembered, to recognize late heartbeats.
const ABSENT_MAX: usize = 4096;

/// An upstream's entry in the store, or what another host knows of it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// The upstream.
    pub record: UpstreamRecord,
    /// Number of the heartbeat that wrote the entry, counted from the start of the process.
    pub heartbeat: Option<u64>,
}

/// How to handle an upstream's entry.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryDecision {
    /// Use the upstream according to this record.
    Apply(UpstreamRecord),
    /// Ignore the entry: it is older than what is known.
    Outdated,
}

/// What happens to upstreams whose entries are gone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delisting {
    /// To be removed now.
    pub removed: Vec<UpstreamId>,
    /// Stay in use until this time, unless they return.
    pub missing: Vec<(UpstreamId, Instant)>,
}

/// The registrations of all upstreams as far as this host knows them.
#[derive(Debug, Default)]
pub struct Registrations {
    outage: StoreOutage,
    upstreams: BTreeMap<UpstreamId, Registration>,
}

/// What is known of one upstream.
#[derive(Debug)]
struct Registration {
    /// Start of the process that the other fields describe.
    incarnation: Option<Incarnation>,
    /// Number of the latest heartbeat that is known of this process.
    heartbeat: Option<u64>,
    /// Whether the process is about to stop. Never withdrawn.
    is_leaving: bool,
    presence: Presence,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Presence {
    /// The upstream has an entry.
    Listed,
    /// The entry is gone; the upstream is used until this time unless it returns.
    Missing { until: Instant },
    /// The entry is gone or unreadable, and the upstream is not used.
    Absent { since: Instant },
}

impl Registration {
    fn is_absent(&self) -> bool {
        matches!(self.presence, Presence::Absent { .. })
    }

    /// Returns whether an entry is older than what is known.
    fn is_newer_than(&self, entry: &UpstreamEntry) -> bool {
        let incarnation = entry.record.incarnation;
        if incarnation != self.incarnation {
            return incarnation < self.incarnation;
        }
        // Without the start of the process, a lower number may be that of another one.
        incarnation.is_some()
            && matches!((self.heartbeat, entry.heartbeat), (Some(known), Some(new)) if new < known)
    }

    /// Returns whether an entry is of the process that is known.
    fn is_same_process(&self, record: &UpstreamRecord) -> bool {
        let is_known = self.incarnation.is_some() || !self.is_absent();
        record.incarnation == self.incarnation && is_known
    }
}

impl Registrations {
    /// Records that a call of the store failed which was sent at `sent_at`. Returns whether it is the
    /// first failure of an outage.
    pub fn record_store_failure(&mut self, now: Instant, sent_at: Instant) -> bool {
        self.outage.record_failure(now, sent_at)
    }

    /// Returns whether the last call of the store failed.
    pub fn is_store_failing(&self) -> bool {
        self.outage.is_ongoing()
    }

    /// Records that the store has answered. Upstreams that were missing before a long outage get the
    /// time to return that it gives.
    pub fn record_store_success(&mut self, now: Instant) {
        let was_long = self.outage.is_long(now);
        self.outage.record_success(now);
        let Some(deadline) = self.outage.last_return_deadline().filter(|_| was_long) else {
            return;
        };
        for registration in self.upstreams.values_mut() {
            if let Presence::Missing { until } = &mut registration.presence {
                *until = (*until).max(deadline);
            }
        }
    }

    /// Applies an upstream's entry.
    pub fn on_entry(&mut self, now: Instant, entry: UpstreamEntry) -> EntryDecision {
        let known = self.upstreams.get(&entry.record.id);
        if known.is_some_and(|known| known.is_newer_than(&entry)) {
            return EntryDecision::Outdated;
        }
        let UpstreamEntry { mut record, heartbeat } = entry;
        let same = known.filter(|known| known.is_same_process(&record));
        record.is_leaving |= same.is_some_and(|known| known.is_leaving);
        let heartbeat = heartbeat.max(same.and_then(|known| known.heartbeat));
        let registration = Registration {
            incarnation: record.incarnation,
            heartbeat,
            is_leaving: record.is_leaving,
            presence: Presence::Listed,
        };
        self.upstreams.insert(record.id.clone(), registration);
        self.forget_absent(now);
        EntryDecision::Apply(record)
    }

    /// Records that an upstream's entry can't be read. It names no upstream to use.
    pub fn on_unreadable(&mut self, now: Instant, id: &str) {
        if let Some(registration) = self.upstreams.get_mut(id) {
            registration.presence = Presence::Absent { since: now };
        }
    }

    /// Records that a process is about to stop, by its own word or that of another host. Returns
    /// whether that is new. A process that is not known yet is remembered.
    pub fn on_leaving(
        &mut self,
        now: Instant,
        id: &UpstreamId,
        incarnation: Option<Incarnation>,
    ) -> bool {
        match self.upstreams.get_mut(id) {
            Some(known) if known.incarnation == incarnation => {
                !std::mem::replace(&mut known.is_leaving, true)
            }
            // The notice is of a former process.
            Some(known) if known.incarnation > incarnation => false,
            // The entry of the later process has not arrived. The former one is used until then.
            Some(known) if !known.is_absent() => false,
            _ => {
                let presence = Presence::Absent { since: now };
                let registration =
                    Registration { incarnation, heartbeat: None, is_leaving: true, presence };
                self.upstreams.insert(id.clone(), registration);
                self.forget_absent(now);
                true
            }
        }
    }

    /// Records that entries are gone. `change_age` is the most that may have passed since they were
    /// removed.
    pub fn on_delisted(
        &mut self,
        now: Instant,
        ids: &[UpstreamId],
        change_age: Duration,
    ) -> Delisting {
        let known = self.upstreams.values().filter(|known| !known.is_absent()).count();
        let deadline = self.outage.return_deadline(now, change_age, ids.len(), known);
        let mut delisting = Delisting::default();
        for id in ids {
            let Some(registration) = self.upstreams.get_mut(id) else { continue };
            let until = match registration.presence {
                Presence::Absent { .. } => continue,
                // It was missing before, and has not returned since.
                Presence::Missing { until } => until,
                // It would get no work if it returned.
                Presence::Listed if registration.is_leaving => now,
                Presence::Listed => deadline,
            };
            if until <= now {
                registration.presence = Presence::Absent { since: now };
                delisting.removed.push(id.clone());
            } else if registration.presence == Presence::Listed {
                registration.presence = Presence::Missing { until };
                delisting.missing.push((id.clone(), until));
            }
        }
        self.forget_absent(now);
        delisting
    }

    /// Returns the upstreams that have entries by this host's knowledge, and are not in a complete
    /// listing.
    pub fn unlisted(&self, listed: &HashSet<&str>) -> Vec<UpstreamId> {
        let used = self.upstreams.iter().filter(|(_, known)| !known.is_absent());
        let unlisted = used.filter(|(id, _)| !listed.contains(&***id));
        unlisted.map(|(id, _)| id.clone()).collect()
    }

    /// Returns when the next upstream that has not returned must be removed.
    pub fn next_removal(&self, now: Instant) -> Option<Instant> {
        if self.outage.is_long(now) {
            // Decided when the store has recovered.
            return None;
        }
        let missing = self.upstreams.values().filter_map(|known| match known.presence {
            Presence::Missing { until } => Some(until),
            Presence::Listed | Presence::Absent { .. } => None,
        });
        missing.min()
    }

    /// Returns the upstreams whose time to return is over. They are to be removed.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<UpstreamId> {
        if self.outage.is_long(now) {
            return Vec::new();
        }
        let mut overdue = Vec::new();
        for (id, registration) in &mut self.upstreams {
            if matches!(registration.presence, Presence::Missing { until } if until <= now) {
                registration.presence = Presence::Absent { since: now };
                overdue.push(id.clone());
            }
        }
        overdue
    }

    /// Returns the number of upstreams that are used without an entry.
    pub fn missing_count(&self) -> usize {
        let is_missing = |known: &&Registration| matches!(known.presence, Presence::Missing { .. });
        self.upstreams.values().filter(is_missing).count()
    }

    /// Forgets the upstreams that have been absent for longest, if there are too many.
    fn forget_absent(&mut self, now: Instant) {
        let absent_for = |known: &Registration| match known.presence {
            Presence::Absent { since } => Some(now.saturating_duration_since(since)),
            Presence::Listed | Presence::Missing { .. } => None,
        };
        let mut ages: Vec<Duration> = self.upstreams.values().filter_map(absent_for).collect();
        if ages.len() <= ABSENT_MAX {
            return;
        }
        let middle = ages.len() / 2;
        let (_, &mut median, _) = ages.select_nth_unstable(middle);
        self.upstreams.retain(|_, known| absent_for(known).is_none_or(|age| age < median));
    }
}
