//! How fast the store is asked, so that calls don't grow with the changes of a large site.
//!
//! Load pattern: many hosts and upstreams start within some seconds, and each of their entries would end
//! a waiting watch of every host.

use {
    crate::store::Collection,
    rand::RngExt,
    smol::Timer,
    std::time::{Duration, Instant},
};

/// The first pause after a failed call. Doubles up to [`RETRY_PAUSE_MAX`], with jitter.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(150);
/// The longest pause: what the store says must be known about a second after its return.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(1000);
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
pub(super) struct Backoff {
    pause: Duration,
}

impl Backoff {
    pub(super) fn new() -> Self {
        Self { pause: RETRY_PAUSE_MIN }
    }

    pub(super) async fn wait(&mut self) {
        let share = rand::rng().random_range(0.5..1.0);
        Timer::after(self.pause.mul_f64(share)).await;
        self.pause = (self.pause * 2).min(RETRY_PAUSE_MAX);
    }
}

/// A pause after changes, in which further ones gather. Grows while each watch ends soon.
pub(super) struct Gathering {
    min: Duration,
    max: Duration,
    pause: Duration,
    ended_at: Option<Instant>,
}

impl Gathering {
    pub(super) fn new(collection: Collection) -> Self {
        let (min, max) = match collection {
            Collection::Hosts => (HOSTS_GATHERED_MIN, HOSTS_GATHERED_MAX),
            Collection::Upstreams => (UPSTREAMS_GATHERED_MIN, UPSTREAMS_GATHERED_MAX),
            Collection::Configuration | Collection::Ledgers => (Duration::ZERO, Duration::ZERO),
        };
        Self { min, max, pause: min, ended_at: None }
    }

    /// Returns how long to wait after a watch has ended with changes.
    pub(super) fn after_changes(&mut self, now: Instant) -> Duration {
        let is_first = self.ended_at.is_none_or(|at| now.duration_since(at) > 2 * self.pause);
        self.pause = if is_first { self.min } else { (self.pause * 2).min(self.max) };
        self.ended_at = Some(now);
        self.pause
    }
}

#[cfg(test)]
mod tests;
