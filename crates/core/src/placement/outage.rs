//! Decides whether delisted upstreams were removed, or only lost their registration in a store
//! outage.
//!
//! Registrations expire while the store can't accept heartbeats. Upstreams register again about two
//! seconds after the store recovers. Without an outage, an upstream that leaves must stop receiving
//! work shortly after it is delisted.

use std::time::{Duration, Instant};

/// Time after the end of an outage within which upstreams may register again.
const RETURN_GRACE: Duration = Duration::from_millis(2500);
/// Time within which upstreams may register again if many are delisted together and this host has
/// seen no outage. Shorter than the 2 s after which an upstream that leaves must receive no work.
const MASS_DELISTING_GRACE: Duration = Duration::from_millis(1500);
/// Minimum length of an outage in which registrations expire: they expire after three missed
/// heartbeats. The measured length can be short by up to two connection probes, because a host may
/// notice the start of an outage late.
const EXPIRY_OUTAGE_MIN: Duration = Duration::from_millis(700);

/// How to handle delisted upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DelistingAction {
    /// Remove the upstreams now.
    Remove,
    /// Remove the upstreams unless they register again within this time.
    Wait(Duration),
}

/// Tracks the outage of the store, as observed by this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutage {
    failing_since: Option<Instant>,
    last_long_outage_ended_at: Option<Instant>,
}

impl StoreOutage {
    /// Records that a call failed. Returns whether it is the first failure of an outage.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        let is_first = self.failing_since.is_none();
        self.failing_since.get_or_insert(now);
        is_first
    }

    /// Returns whether an outage is in progress: the last call failed.
    pub fn is_ongoing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Records that a call succeeded. If this ends an outage, returns how long it lasted.
    pub fn record_success(&mut self, now: Instant) -> Option<Duration> {
        let length = now.duration_since(self.failing_since.take()?);
        if length >= EXPIRY_OUTAGE_MIN {
            self.last_long_outage_ended_at = Some(now);
        }
        Some(length)
    }

    /// Decides how to handle delisted upstreams, given how many there are and how many upstreams
    /// were known. Without an outage, delisting more than one upstream and more than a third of all
    /// counts as a mass delisting.
    pub fn classify_delisted(
        &self,
        now: Instant,
        delisted_count: usize,
        known_count: usize,
    ) -> DelistingAction {
        let is_long =
            self.failing_since.is_some_and(|since| now.duration_since(since) >= EXPIRY_OUTAGE_MIN);
        let grace_left =
            |ended: Instant| RETURN_GRACE.saturating_sub(now.saturating_duration_since(ended));
        let grace_left = self.last_long_outage_ended_at.map_or(Duration::ZERO, grace_left);
        if is_long {
            DelistingAction::Wait(RETURN_GRACE)
        } else if !grace_left.is_zero() {
            DelistingAction::Wait(grace_left)
        } else if delisted_count > 1 && delisted_count * 3 > known_count {
            DelistingAction::Wait(MASS_DELISTING_GRACE)
        } else {
            DelistingAction::Remove
        }
    }
}

#[cfg(test)]
mod tests;
