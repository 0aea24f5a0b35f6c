//! Requests that may crash every upstream that runs them, identified by the fingerprint of their
//! content.
//!
//! An upstream has crashed when it ends during a call. Every request that was running there becomes
//! suspected. A suspected request is tried alone on one more upstream. If that one crashes too, the
//! request is quarantined for a time, unless so many upstreams crash that this may be a
//! coincidence. If the upstream answers, the request is cleared.

use {
    crate::crashes::{CrashLog, UpstreamCrash},
    std::{
        collections::{BTreeMap, HashSet},
        time::{Duration, Instant},
    },
};

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

/// All fingerprints that are suspected, quarantined or known to be safe.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    /// Suspected fingerprints, and when each suspicion expires.
    suspected: BTreeMap<u64, Instant>,
    crashes: CrashLog,
    /// Fingerprints of requests that completed, in two generations. Used only for membership tests.
    known_safe: HashSet<u64>,
    previous_known_safe: HashSet<u64>,
}

impl Suspects {
    /// Returns the state of the request with this fingerprint.
    pub(super) fn check(&self, now: Instant, fingerprint: u64) -> Suspicion {
        if let Some(remaining) = self.crashes.blamed_for(now, fingerprint) {
            return Suspicion::Quarantined(remaining);
        }
        match self.suspected.get(&fingerprint) {
            Some(until) if *until > now => Suspicion::Suspected,
            _ => Suspicion::Clear,
        }
    }

    /// Returns whether a request with this fingerprint has completed and no upstream has crashed
    /// while running it since.
    pub(super) fn is_known_safe(&self, fingerprint: u64) -> bool {
        self.known_safe.contains(&fingerprint) || self.previous_known_safe.contains(&fingerprint)
    }

    /// Records the crash of an upstream and suspects all requests that ran there. `is_alone` says
    /// that a single suspected request ran there. Returns whether it is quarantined.
    pub(super) fn record_crash(
        &mut self,
        now: Instant,
        crash: &UpstreamCrash,
        is_alone: bool,
    ) -> bool {
        for attempt in &crash.attempts {
            self.known_safe.remove(&attempt.content);
            self.previous_known_safe.remove(&attempt.content);
            self.suspected.entry(attempt.content).or_insert(now + SUSPICION_TIME);
        }
        self.crashes.record(now, crash);
        match &crash.attempts[..] {
            [attempt] if is_alone => self.crashes.judge_alone(now, attempt.content),
            _ => false,
        }
    }

    /// Records that a request with this fingerprint completed.
    pub(super) fn clear(&mut self, fingerprint: u64) {
        self.suspected.remove(&fingerprint);
        self.crashes.clear(fingerprint);
        if self.known_safe.len() >= SAFE_GENERATION_SIZE {
            self.previous_known_safe = std::mem::take(&mut self.known_safe);
        }
        self.known_safe.insert(fingerprint);
    }

    /// Removes expired entries.
    pub(super) fn expire(&mut self, now: Instant) {
        self.suspected.retain(|_, until| *until > now);
        self.crashes.expire(now);
    }
}
