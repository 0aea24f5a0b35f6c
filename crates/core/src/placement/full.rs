//! How long requests wait at a host where all upstreams of a service are full.
//!
//! Load pattern: upstreams of a small service are taken away, and those that are left keep up with the
//! work on the whole, but are full for moments. A refusal at such a moment ends a program that has done
//! most of its work. Upstreams know no priorities, so requests wait at the host, the oldest first, and those
//! of programs under way longer than others. Under lasting overload the oldest wait grows until further
//! requests are refused at once.

use {
    crate::{ids::ServiceId, wait},
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// How long a request waits that is of no program under way: about the work of one request at a plain
/// service.
const WAIT_MAX: Duration = Duration::from_millis(150);
/// Part of a request's own wait that the oldest one may have waited when it comes. The oldest waits longer
/// than most, since free places go to the host that asks first. Above this, most requests that are refused
/// in lasting overload are held until then.
const OLDEST_SHARE_MAX: f64 = 0.8;
/// The first pause before the upstreams are asked again. Doubles with each refusal.
const PAUSE_MIN: Duration = Duration::from_millis(20);
/// The least part of a pause that jitter leaves; the most is one more.
const JITTER_MIN: f64 = 0.5;
/// The longest pause: other hosts' requests take the places that become free.
const PAUSE_MAX: Duration = Duration::from_millis(160);

/// The wait of one request, over all its refusals.
#[derive(Clone, Copy, Debug)]
pub struct FullWait {
    place: Place,
    gives_up_at: Instant,
    pause: Duration,
}

/// Sorts requests by the time at which their waits began.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    began: Instant,
    number: u64,
}

impl FullWait {
    /// Returns when to ask the upstreams again, if it isn't this request's turn before. Returns `None`
    /// when the wait is over. `draw` is a random number from 0 to 1, which keeps hosts apart.
    pub fn next(&mut self, now: Instant, draw: f64) -> Option<Instant> {
        let left = self.gives_up_at.saturating_duration_since(now);
        if left < PAUSE_MIN / 2 {
            return None;
        }
        let pause = self.pause.mul_f64(JITTER_MIN + draw);
        self.pause = (self.pause * 2).min(PAUSE_MAX);
        Some(now + pause.min(left))
    }
}

/// The requests that wait at this host, by service. `W` wakes one of them.
#[derive(Debug)]
pub struct FullServices<W> {
    /// Invariant: has only services at which some request waits.
    lines: HashMap<ServiceId, BTreeMap<Place, W>>,
    begun: u64,
}

impl<W> Default for FullServices<W> {
    fn default() -> Self {
        Self { lines: HashMap::new(), begun: 0 }
    }
}

impl<W> FullServices<W> {
    /// Begins the wait of a request.
    pub fn begin(&mut self, now: Instant, deadline: Instant, is_under_way: bool) -> FullWait {
        let max = if is_under_way { wait::UNDER_WAY_MAX } else { WAIT_MAX };
        self.begun += 1;
        let place = Place { began: now, number: self.begun };
        let gives_up_at = wait::gives_up_at(now, deadline, max);
        FullWait { place, gives_up_at, pause: PAUSE_MIN }
    }

    /// Returns whether requests wait here for a service, so that a further one comes after them.
    pub fn is_waited_for(&self, service: &str) -> bool {
        self.lines.contains_key(service)
    }

    /// Returns how long the oldest request that waits for a service has done so.
    pub fn oldest_wait(&self, now: Instant, service: &str) -> Duration {
        let oldest = self.lines.get(service).and_then(|line| line.first_key_value());
        oldest.map_or(Duration::ZERO, |(place, _)| now.saturating_duration_since(place.began))
    }

    /// Returns whether a request that begins to wait may expect its turn before its wait is over.
    pub fn may_wait(&self, now: Instant, service: &str, wait: &FullWait) -> bool {
        self.oldest_wait(now, service)
            <= wait.gives_up_at.saturating_duration_since(now).mul_f64(OLDEST_SHARE_MAX)
    }

    /// Lets a request wait, at first or after a further refusal.
    pub fn join(&mut self, service: &ServiceId, wait: &FullWait, waker: W) {
        self.lines.entry(service.clone()).or_default().insert(wait.place, waker);
    }

    /// Ends the waiting of a request: it asks again, or its caller has left.
    pub fn leave(&mut self, service: &str, wait: &FullWait) {
        let Some(line) = self.lines.get_mut(service) else { return };
        line.remove(&wait.place);
        if line.is_empty() {
            self.lines.remove(service);
        }
    }

    /// Returns what wakes the request whose turn it is when a place becomes free.
    pub fn first(&self, service: &str) -> Option<&W> {
        self.lines.get(service)?.first_key_value().map(|(_, waker)| waker)
    }
}

#[cfg(test)]
mod tests;
