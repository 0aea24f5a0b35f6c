//! How fast a host asks the platform's store, so that calls don't grow with the changes of a large site and no
//! storm follows an outage.
//!
//! Load pattern: many hosts and upstreams start within some seconds, and each of their entries would end
//! a waiting watch of every host. After an outage all hosts find the store back at about the same time, while
//! entries that had lapsed come back.

use std::time::{Duration, Instant};

/// The first pause after a failed call. Doubles up to [`RETRY_PAUSE_MAX`], with jitter.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(150);
/// The longest pause: what the store says must be known about a second after its return.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(1000);
/// The least part of a pause that jitter leaves.
const JITTER_MIN: f64 = 0.5;
/// The first time over which changes of upstreams are gathered. Doubles while changes go on.
const UPSTREAMS_GATHERED_MIN: Duration = Duration::from_millis(200);
/// The longest such time: a leaving upstream must get no more work two seconds after it has said so.
const UPSTREAMS_GATHERED_MAX: Duration = Duration::from_millis(800);
/// The first time over which changes of hosts are gathered. New hosts greet the others; nothing else
/// depends on them soon.
const HOSTS_GATHERED_MIN: Duration = Duration::from_secs(1);
/// The longest such time.
const HOSTS_GATHERED_MAX: Duration = Duration::from_secs(4);

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
    /// Returns how long to wait after a failed call. `draw` is a random number from 0 to 1, which keeps hosts
    /// apart.
    pub fn after_failure(&mut self, draw: f64) -> Duration {
        let pause = self.pause.mul_f64(JITTER_MIN + draw * (1.0 - JITTER_MIN));
        self.pause = (self.pause * 2).min(RETRY_PAUSE_MAX);
        pause
    }
}

/// A pause after changes, in which further ones gather. Grows while each watch ends soon.
#[derive(Clone, Copy, Debug)]
pub struct Gathering {
    min: Duration,
    max: Duration,
    pause: Duration,
    ended_at: Option<Instant>,
}

impl Gathering {
    /// Gathers changes of upstreams.
    pub fn of_upstreams() -> Self {
        Self::new(UPSTREAMS_GATHERED_MIN, UPSTREAMS_GATHERED_MAX)
    }

    /// Gathers changes of hosts.
    pub fn of_hosts() -> Self {
        Self::new(HOSTS_GATHERED_MIN, HOSTS_GATHERED_MAX)
    }

    /// Holds nothing up.
    pub fn none() -> Self {
        Self::new(Duration::ZERO, Duration::ZERO)
    }

    fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, pause: min, ended_at: None }
    }

    /// Returns how long to wait after a watch has ended with changes.
    pub fn after_changes(&mut self, now: Instant) -> Duration {
        let is_first = self.ended_at.is_none_or(|at| now.duration_since(at) > 2 * self.pause);
        self.pause = if is_first { self.min } else { (self.pause * 2).min(self.max) };
        self.ended_at = Some(now);
        self.pause
    }
}

#[cfg(test)]
mod tests;
