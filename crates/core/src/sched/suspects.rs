//! Requests that may crash every upstream that runs them.
//!
//! When an upstream breaks, every fingerprint that was running there becomes suspected. A suspected
//! request is tried alone on one more upstream. If that one breaks too, the fingerprint is
//! quarantined for a time. Otherwise it is cleared.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

/// Duration of a quarantine.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Time after which a suspicion expires if the request is not retried.
const SUSPICION_TIME: Duration = Duration::from_secs(600);
/// Size of one generation of proven fingerprints. Between this many and twice as many are kept.
const PROVEN_GENERATION_SIZE: usize = 32_768;

/// State of a fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Suspicion {
    /// The fingerprint is not suspected.
    Clear,
    /// The fingerprint was running when an upstream broke.
    Suspected,
    /// The fingerprint broke an upstream while it ran there alone. It must not run for this long.
    Quarantined(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    is_quarantined: bool,
    until: Instant,
}

/// All suspected and proven fingerprints.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    by_fingerprint: BTreeMap<u64, Entry>,
    /// Fingerprints that completed, in two generations. Used only for membership tests.
    proven: HashSet<u64>,
    previous_proven: HashSet<u64>,
}

impl Suspects {
    /// Returns the state of a fingerprint.
    pub(super) fn check(&self, now: Instant, fingerprint: u64) -> Suspicion {
        match self.by_fingerprint.get(&fingerprint) {
            Some(entry) if entry.until <= now => Suspicion::Clear,
            Some(entry) if entry.is_quarantined => {
                Suspicion::Quarantined(entry.until.duration_since(now))
            }
            Some(_) => Suspicion::Suspected,
            None => Suspicion::Clear,
        }
    }

    /// Returns whether the fingerprint has completed and no upstream has broken under it since.
    pub(super) fn is_proven(&self, fingerprint: u64) -> bool {
        self.proven.contains(&fingerprint) || self.previous_proven.contains(&fingerprint)
    }

    /// Records that an upstream broke while the fingerprint ran there with others.
    pub(super) fn suspect(&mut self, now: Instant, fingerprint: u64) {
        self.proven.remove(&fingerprint);
        self.previous_proven.remove(&fingerprint);
        let entry = Entry { is_quarantined: false, until: now + SUSPICION_TIME };
        self.by_fingerprint.entry(fingerprint).or_insert(entry);
    }

    /// Records that an upstream broke while the suspected fingerprint ran there alone.
    pub(super) fn quarantine(&mut self, now: Instant, fingerprint: u64) {
        let entry = Entry { is_quarantined: true, until: now + QUARANTINE_TIME };
        self.by_fingerprint.insert(fingerprint, entry);
    }

    /// Records that the fingerprint completed.
    pub(super) fn clear(&mut self, fingerprint: u64) {
        let is_suspected = |entry: &Entry| !entry.is_quarantined;
        if self.by_fingerprint.get(&fingerprint).is_some_and(is_suspected) {
            self.by_fingerprint.remove(&fingerprint);
        }
        if self.proven.len() >= PROVEN_GENERATION_SIZE {
            self.previous_proven = std::mem::take(&mut self.proven);
        }
        self.proven.insert(fingerprint);
    }

    /// Removes expired entries.
    pub(super) fn expire(&mut self, now: Instant) {
        self.by_fingerprint.retain(|_, entry| entry.until > now);
    }
}
