//! Decides how long delisted upstreams may stay in use, because they may only have lost their
//! registrations in a store outage.
//!
//! Registrations expire while the store can't accept heartbeats. Upstreams register again about two
//! seconds after the store recovers. Without an outage, an upstream that leaves must stop receiving
//! work shortly after it is delisted.

use std::time::{Duration, Instant};

/// Time after the end of an outage within which upstreams register again.
const RETURN_GRACE: Duration = Duration::from_millis(2200);
/// Latest removal after the last call that failed. The store may have recovered just after that call,
/// and hosts must act on its state 3 s after it recovers.
const REMOVAL_AFTER_FAILURE_MAX: Duration = Duration::from_millis(2800);
/// Time within which upstreams may register again if many are delisted together and this host has
/// seen no outage.
const MASS_DELISTING_GRACE: Duration = Duration::from_millis(1500);
/// Latest removal after the store has delisted an upstream, without an outage. Upstreams that leave
/// must receive no work after 2 s.
const REMOVAL_AFTER_CHANGE_MAX: Duration = Duration::from_millis(1700);
/// Minimum length of an outage in which registrations expire: they expire after three missed
/// heartbeats. The measured length can be short by up to two connection probes, because a host may
/// notice the start of an outage late.
const EXPIRY_OUTAGE_MIN: Duration = Duration::from_millis(700);

/// Tracks the outage of the store, as observed by this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutage {
    failing_since: Option<Instant>,
    /// When the call was sent that failed last.
    last_failed_call_at: Option<Instant>,
    last_long_outage: Option<EndedOutage>,
}

#[derive(Clone, Copy, Debug)]
struct EndedOutage {
    /// When the last call was sent that failed. The store has recovered after this time.
    last_failed_call_at: Instant,
    /// When a call succeeded. The store has recovered before this time.
    noticed_at: Instant,
}

impl StoreOutage {
    /// Records that a call failed which was sent at `sent_at`. Returns whether it is the first
    /// failure of an outage.
    pub fn record_failure(&mut self, now: Instant, sent_at: Instant) -> bool {
        let is_first = self.failing_since.is_none();
        self.failing_since.get_or_insert(now);
        self.last_failed_call_at = self.last_failed_call_at.max(Some(sent_at));
        is_first
    }

    /// Returns whether an outage is in progress: the last call failed.
    pub fn is_ongoing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns whether an outage is in progress that is long enough for registrations to expire.
    pub fn is_long(&self, now: Instant) -> bool {
        let is_long = |since: Instant| now.duration_since(since) >= EXPIRY_OUTAGE_MIN;
        self.failing_since.is_some_and(is_long)
    }

    /// Records that a call succeeded. If this ends an outage, returns how long it lasted.
    pub fn record_success(&mut self, now: Instant) -> Option<Duration> {
        let length = now.duration_since(self.failing_since.take()?);
        if length >= EXPIRY_OUTAGE_MIN {
            self.last_long_outage = self
                .last_failed_call_at
                .map(|last_failed_call_at| EndedOutage { last_failed_call_at, noticed_at: now });
        }
        Some(length)
    }

    /// Returns until when upstreams may return that are delisted now: `now` if they are to be removed
    /// at once. `change_age` is the most that may have passed since the store delisted them. Without
    /// an outage, delisting more than one upstream and more than a third of all known ones counts as
    /// a mass delisting.
    pub fn return_deadline(
        &self,
        now: Instant,
        change_age: Duration,
        delisted_count: usize,
        known_count: usize,
    ) -> Instant {
        let after_outage = match self.last_long_outage {
            _ if self.is_long(now) => now + RETURN_GRACE,
            Some(outage) => outage.return_deadline(),
            None => now,
        };
        let is_mass_delisting = delisted_count > 1 && delisted_count * 3 > known_count;
        if after_outage <= now && is_mass_delisting {
            let left = REMOVAL_AFTER_CHANGE_MAX.saturating_sub(change_age);
            return now + left.min(MASS_DELISTING_GRACE);
        }
        after_outage.max(now)
    }

    /// Returns until when upstreams may return after the last outage in which registrations expire.
    pub(super) fn last_return_deadline(&self) -> Option<Instant> {
        Some(self.last_long_outage?.return_deadline())
    }
}

impl EndedOutage {
    fn return_deadline(&self) -> Instant {
        let latest = self.last_failed_call_at + REMOVAL_AFTER_FAILURE_MAX;
        latest.min(self.noticed_at + RETURN_GRACE)
    }
}

#[cfg(test)]
mod tests;
