//! Whether upstreams that are no longer listed are gone, or only lapsed with the store.
//!
//! Registrations lapse while the store can't take heartbeats, and are back about two seconds after
//! its return. An upstream that leaves in calm times must get no work soon after it is delisted.

use std::time::{Duration, Instant};

/// How long delisted upstreams get to come back after an outage.
const RETURN_GRACE: Duration = Duration::from_millis(2500);
/// How long they get when many are delisted at once without an outage that this host has seen. Below
/// the time after which a leaving upstream must get no work.
const MASS_GRACE: Duration = Duration::from_millis(1500);
/// Outages shorter than this let nothing lapse: heartbeats must be missed three times. What a host
/// sees of an outage may begin two probes of its connection late.
const LAPSE_AFTER: Duration = Duration::from_millis(700);

/// What becomes of delisted upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delisted {
    /// They are gone.
    Gone,
    /// They get this long to come back.
    Awaited(Duration),
}

/// The store's outages, as one host sees them.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutage {
    since: Option<Instant>,
    lapsing_ended_at: Option<Instant>,
}

impl StoreOutage {
    /// Notes that a call failed. Returns whether it is the first one.
    pub fn began(&mut self, now: Instant) -> bool {
        let is_first = self.since.is_none();
        self.since.get_or_insert(now);
        is_first
    }

    /// Returns whether the last call failed.
    pub fn is_on(&self) -> bool {
        self.since.is_some()
    }

    /// Notes that a call succeeded. Returns how long an outage has lasted, if one has ended.
    pub fn ended(&mut self, now: Instant) -> Option<Duration> {
        let length = now.duration_since(self.since.take()?);
        if length >= LAPSE_AFTER {
            self.lapsing_ended_at = Some(now);
        }
        Some(length)
    }

    /// Decides on `delisted` of `known` upstreams.
    pub fn delisted(&self, now: Instant, delisted: usize, known: usize) -> Delisted {
        let is_long = self.since.is_some_and(|since| now.duration_since(since) >= LAPSE_AFTER);
        let is_recent = |ended: Instant| now.duration_since(ended) < RETURN_GRACE;
        if is_long || self.lapsing_ended_at.is_some_and(is_recent) {
            Delisted::Awaited(RETURN_GRACE)
        } else if delisted > 1 && delisted * 3 > known {
            Delisted::Awaited(MASS_GRACE)
        } else {
            Delisted::Gone
        }
    }
}

#[cfg(test)]
mod tests;
