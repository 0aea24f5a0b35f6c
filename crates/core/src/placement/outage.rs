//! Decides whether upstreams that are no longer listed were removed, or only lost their
//! registration in a store outage.
//!
//! Registrations lapse while the store can't accept heartbeats, and return about two seconds after
//! the store recovers. Without an outage, a leaving upstream must get no work soon after it is
//! delisted.

use std::time::{Duration, Instant};

/// How long delisted upstreams have to register again after an outage.
const RETURN_GRACE: Duration = Duration::from_millis(2500);
/// How long delisted upstreams have to register again if many are delisted together without an
/// outage that this host has seen. Shorter than the time after which a leaving upstream must get no
/// work.
const MASS_DELISTING_GRACE: Duration = Duration::from_millis(1500);
/// Minimum outage in which registrations lapse: a shorter one misses fewer than three heartbeats. A
/// host may notice the start of an outage late, by up to two probes of its connection.
const LAPSE_OUTAGE_MIN: Duration = Duration::from_millis(700);

/// How to handle delisted upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delisted {
    /// Remove them now.
    Removed,
    /// Remove them unless they are listed again within this time.
    MayReturn(Duration),
}

/// Store outages as seen by this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutage {
    failing_since: Option<Instant>,
    lapse_ended_at: Option<Instant>,
}

impl StoreOutage {
    /// Records that a call failed. Returns whether it is the first failure of an outage.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        let is_first = self.failing_since.is_none();
        self.failing_since.get_or_insert(now);
        is_first
    }

    /// Returns whether the last call failed.
    pub fn is_ongoing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Records that a call succeeded. If this ends an outage, returns how long it lasted.
    pub fn record_success(&mut self, now: Instant) -> Option<Duration> {
        let length = now.duration_since(self.failing_since.take()?);
        if length >= LAPSE_OUTAGE_MIN {
            self.lapse_ended_at = Some(now);
        }
        Some(length)
    }

    /// Decides how to handle `delisted` upstreams out of `known` ones.
    pub fn classify_delisted(&self, now: Instant, delisted: usize, known: usize) -> Delisted {
        let is_long =
            self.failing_since.is_some_and(|since| now.duration_since(since) >= LAPSE_OUTAGE_MIN);
        let is_recent = |ended: Instant| now.duration_since(ended) < RETURN_GRACE;
        if is_long || self.lapse_ended_at.is_some_and(is_recent) {
            Delisted::MayReturn(RETURN_GRACE)
        } else if delisted > 1 && delisted * 3 > known {
            Delisted::MayReturn(MASS_DELISTING_GRACE)
        } else {
            Delisted::Removed
        }
    }
}

#[cfg(test)]
mod tests;
