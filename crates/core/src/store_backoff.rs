//! Limits how often a host calls the platform's store: the call rate does not depend on how many
//! registrations change, and no request storm follows an outage.
//!
//! Load pattern: many hosts and upstreams start within seconds, and each new registration would
//! complete the pending watch (a long poll) of every host. After an outage, all hosts reach the
//! store again at about the same time, while expired registrations are renewed.

use std::time::{Duration, Instant};

/// First delay after a failed call. Doubles up to [`RETRY_DELAY_MAX`], with jitter.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(150);
/// Maximum delay: a host must read the store within about one second after the store recovers.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(1000);
/// Minimum factor that jitter applies to a delay; the maximum is 1.0.
const JITTER_FRACTION_MIN: f64 = 0.5;
/// Initial delay for batching changes to upstreams. Doubles while changes continue.
const UPSTREAM_CHANGES_DELAY_MIN: Duration = Duration::from_millis(200);
/// Maximum delay for batching changes to upstreams. An upstream must receive no work later than 2 s
/// after it reports that it is leaving.
const UPSTREAM_CHANGES_DELAY_MAX: Duration = Duration::from_millis(800);
/// Initial delay for batching changes to hosts at hosts that serve callers. New hosts announce
/// themselves directly to them, and nothing else there depends on seeing these changes early.
const HOST_CHANGES_DELAY_MIN: Duration = Duration::from_secs(1);
/// Maximum delay for batching changes to hosts.
const HOST_CHANGES_DELAY_MAX: Duration = Duration::from_secs(4);
/// Initial delay for batching changes to hosts at store hosts.
const HOLDER_CHANGES_DELAY_MIN: Duration = Duration::from_millis(200);
/// Maximum delay for batching changes to hosts at store hosts.
const HOLDER_CHANGES_DELAY_MAX: Duration = Duration::from_millis(500);

/// Exponential backoff with jitter for failed calls.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    delay: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { delay: RETRY_DELAY_MIN }
    }
}

impl Backoff {
    /// Returns how long to wait after a failed call. `jitter` is a random number from 0 to 1 that
    /// desynchronizes hosts.
    pub fn after_failure(&mut self, jitter: f64) -> Duration {
        let delay = self.delay.mul_f64(JITTER_FRACTION_MIN + jitter * (1.0 - JITTER_FRACTION_MIN));
        self.delay = (self.delay * 2).min(RETRY_DELAY_MAX);
        delay
    }
}

/// Delays the next watch after a watch that returned changes, so that further changes are batched.
/// The delay doubles if the next watch returns changes within twice the delay.
#[derive(Clone, Copy, Debug)]
pub struct WatchDelay {
    min: Duration,
    max: Duration,
    delay: Duration,
    last_changes_at: Option<Instant>,
}

impl WatchDelay {
    /// Creates the delay for watches of upstreams.
    pub fn for_upstreams() -> Self {
        Self::new(UPSTREAM_CHANGES_DELAY_MIN, UPSTREAM_CHANGES_DELAY_MAX)
    }

    /// Creates the delay for watches of hosts.
    pub fn for_hosts() -> Self {
        Self::new(HOST_CHANGES_DELAY_MIN, HOST_CHANGES_DELAY_MAX)
    }

    /// Creates the delay for watches of hosts at a store host, which must make copies again soon after
    /// a host has been replaced.
    pub fn for_hosts_with_copies() -> Self {
        Self::new(HOLDER_CHANGES_DELAY_MIN, HOLDER_CHANGES_DELAY_MAX)
    }

    /// Creates a delay that is always zero.
    pub fn disabled() -> Self {
        Self::new(Duration::ZERO, Duration::ZERO)
    }

    fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, delay: min, last_changes_at: None }
    }

    /// Returns how long to wait after a watch has returned changes.
    pub fn after_changes(&mut self, now: Instant) -> Duration {
        let is_first =
            self.last_changes_at.is_none_or(|at| now.duration_since(at) > 2 * self.delay);
        self.delay = if is_first { self.min } else { (self.delay * 2).min(self.max) };
        self.last_changes_at = Some(now);
        self.delay
    }
}

#[cfg(test)]
mod tests;
