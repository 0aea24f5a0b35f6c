//! Requests that may crash every upstream that runs them, identified by the fingerprint of their
//! content.
//!
//! An upstream counts as crashed when the connection of a call breaks. Every request that was
//! running there becomes suspected. A suspected request is tried alone on one more upstream. If
//! that one crashes too, the request is quarantined for a time. Otherwise it is cleared.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

/// Duration of a quarantine.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Time after which a suspicion expires if the request is not retried.
const SUSPICION_TIME: Duration = Duration::from_secs(600);
/// Maximum size of one generation of fingerprints known to be safe. At most twice this many are
/// retained.
const SAFE_GENERATION_SIZE: usize = 32_768;

/// State of a request, by its fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Suspicion {
    /// The request is not suspected.
    Clear,
    /// The request was running when an upstream crashed.
    Suspected,
    /// An upstream crashed while running only this request. It must not run for this long.
    Quarantined(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    is_quarantined: bool,
    until: Instant,
}

/// All fingerprints that are suspected, quarantined or known to be safe.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    by_fingerprint: BTreeMap<u64, Entry>,
    /// Fingerprints of requests that completed, in two generations. Used only for membership tests.
    known_safe: HashSet<u64>,
    previous_known_safe: HashSet<u64>,
}

impl Suspects {
    /// Returns the state of the request with this fingerprint.
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

    /// Returns whether a request with this fingerprint has completed and no upstream has crashed
    /// while running it since.
    pub(super) fn is_known_safe(&self, fingerprint: u64) -> bool {
        self.known_safe.contains(&fingerprint) || self.previous_known_safe.contains(&fingerprint)
    }

    /// Records that an upstream crashed while running this request among others.
    pub(super) fn suspect(&mut self, now: Instant, fingerprint: u64) {
        self.known_safe.remove(&fingerprint);
        self.previous_known_safe.remove(&fingerprint);
        let entry = Entry { is_quarantined: false, until: now + SUSPICION_TIME };
        self.by_fingerprint.entry(fingerprint).or_insert(entry);
    }

    /// Records that an upstream crashed while running only this suspected request.
    pub(super) fn quarantine(&mut self, now: Instant, fingerprint: u64) {
        let entry = Entry { is_quarantined: true, until: now + QUARANTINE_TIME };
        self.by_fingerprint.insert(fingerprint, entry);
    }

    /// Records that a request with this fingerprint completed.
    pub(super) fn clear(&mut self, fingerprint: u64) {
        let is_suspected = |entry: &Entry| !entry.is_quarantined;
        if self.by_fingerprint.get(&fingerprint).is_some_and(is_suspected) {
            self.by_fingerprint.remove(&fingerprint);
        }
        if self.known_safe.len() >= SAFE_GENERATION_SIZE {
            self.previous_known_safe = std::mem::take(&mut self.known_safe);
        }
        self.known_safe.insert(fingerprint);
    }

    /// Removes expired entries.
    pub(super) fn expire(&mut self, now: Instant) {
        self.by_fingerprint.retain(|_, entry| entry.until > now);
    }
}
