//! Limits how often a host calls the platform's store, so that calls don't grow with the changes of
//! a large site and no request storm follows an outage.
//!
//! Load pattern: many hosts and upstreams start within seconds, and each new entry would end a
//! waiting watch of every host. After an outage, all hosts reach the store again at about the same
//! time, while lapsed entries are registered again.

use std::time::{Duration, Instant};

/// First pause after a failed call. Doubles up to [`RETRY_PAUSE_MAX`], with jitter.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(150);
/// Maximum pause: a host must read the store's state about a second after the store recovers.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(1000);
/// Minimum factor that jitter applies to a pause.
const JITTER_MIN: f64 = 0.5;
/// First delay in which changes of upstreams are collected. Doubles while changes continue.
const UPSTREAM_CHANGES_DELAY_MIN: Duration = Duration::from_millis(200);
/// Maximum delay for changes of upstreams. A leaving upstream must get no work two seconds after it
/// has reported that it leaves.
const UPSTREAM_CHANGES_DELAY_MAX: Duration = Duration::from_millis(800);
/// First delay in which changes of hosts are collected. New hosts greet their peers directly, and
/// nothing else needs the changes soon.
const HOST_CHANGES_DELAY_MIN: Duration = Duration::from_secs(1);
/// Maximum delay for changes of hosts.
const HOST_CHANGES_DELAY_MAX: Duration = Duration::from_secs(4);

/// A pause that grows while calls fail.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    pause: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { pause: RETRY_PAUSE_MIN }
    }
}

impl Backoff {
    /// Returns how long to wait after a failed call. `draw` is a random number from 0 to 1 that
    /// desynchronizes hosts.
    pub fn after_failure(&mut self, draw: f64) -> Duration {
        let pause = self.pause.mul_f64(JITTER_MIN + draw * (1.0 - JITTER_MIN));
        self.pause = (self.pause * 2).min(RETRY_PAUSE_MAX);
        pause
    }
}

/// The delay between a watch that returned changes and the next watch, in which further changes are
/// collected. Grows while watches keep returning quickly.
#[derive(Clone, Copy, Debug)]
pub struct WatchDelay {
    min: Duration,
    max: Duration,
    pause: Duration,
    ended_at: Option<Instant>,
}

impl WatchDelay {
    /// Returns the delay for watches of upstreams.
    pub fn for_upstreams() -> Self {
        Self::new(UPSTREAM_CHANGES_DELAY_MIN, UPSTREAM_CHANGES_DELAY_MAX)
    }

    /// Returns the delay for watches of hosts.
    pub fn for_hosts() -> Self {
        Self::new(HOST_CHANGES_DELAY_MIN, HOST_CHANGES_DELAY_MAX)
    }

    /// Returns a delay that is always zero.
    pub fn none() -> Self {
        Self::new(Duration::ZERO, Duration::ZERO)
    }

    fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, pause: min, ended_at: None }
    }

    /// Returns how long to wait after a watch has returned changes.
    pub fn after_changes(&mut self, now: Instant) -> Duration {
        let is_first = self.ended_at.is_none_or(|at| now.duration_since(at) > 2 * self.pause);
        self.pause = if is_first { self.min } else { (self.pause * 2).min(self.max) };
        self.ended_at = Some(now);
        self.pause
    }
}

#[cfg(test)]
mod tests;
