//! Requests that may crash each upstream that runs them.
//!
//! When an upstream breaks, every fingerprint that was running there is suspected. A suspected
//! request is tried again alone on one more upstream. If that breaks too, the fingerprint is
//! quarantined for a time; if not, it is cleared.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

/// How long a quarantine lasts.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// How long a suspicion lasts if the request doesn't come back.
const SUSPICION_TIME: Duration = Duration::from_secs(600);
/// Fingerprints remembered as harmless: between this and twice as many.
const PROVEN_GENERATION_SIZE: usize = 32_768;

/// What is held against a fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Suspicion {
    /// Nothing.
    Clear,
    /// It was running when an upstream broke.
    Suspected,
    /// It broke an upstream while it ran there alone; not to be run for so long.
    Quarantined(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    is_quarantined: bool,
    until: Instant,
}

/// All suspected fingerprints.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    by_fingerprint: BTreeMap<u64, Entry>,
    /// Fingerprints that ran to their end, in two generations. Only asked for membership.
    proven: HashSet<u64>,
    previous_proven: HashSet<u64>,
}

impl Suspects {
    /// Returns what is held against a fingerprint.
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

    /// Whether the fingerprint has run to its end before and broke nothing since.
    pub(super) fn is_proven(&self, fingerprint: u64) -> bool {
        self.proven.contains(&fingerprint) || self.previous_proven.contains(&fingerprint)
    }

    /// An upstream broke while the fingerprint ran there among others.
    pub(super) fn suspect(&mut self, now: Instant, fingerprint: u64) {
        self.proven.remove(&fingerprint);
        self.previous_proven.remove(&fingerprint);
        let entry = Entry { is_quarantined: false, until: now + SUSPICION_TIME };
        self.by_fingerprint.entry(fingerprint).or_insert(entry);
    }

    /// An upstream broke while the suspected fingerprint ran there alone.
    pub(super) fn quarantine(&mut self, now: Instant, fingerprint: u64) {
        let entry = Entry { is_quarantined: true, until: now + QUARANTINE_TIME };
        self.by_fingerprint.insert(fingerprint, entry);
    }

    /// The fingerprint ran to its end.
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

    /// Drops what has expired.
    pub(super) fn expire(&mut self, now: Instant) {
        self.by_fingerprint.retain(|_, entry| entry.until > now);
    }
}
