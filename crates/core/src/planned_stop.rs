//! Decides which requests a host that stops as planned still takes.
//!
//! Load pattern: the platform goes on to send new connections to a stopping host until it has noticed
//! that the host is not ready, and callers go on to use open ones. What is taken then and does not
//! end before the process does is cut off, and a request that may not run twice is lost. Another host
//! can run it from its beginning.

#[cfg(test)]
mod tests;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// A request is taken if its kind usually takes at most this fraction of the time that is left.
const USUAL_FRACTION_MAX: f64 = 0.5;
/// Fraction by which the usual duration approaches a shorter one with each request.
const DECAY: f64 = 0.02;
/// Maximum number of routes whose durations are kept.
const ROUTES_MAX: usize = 1024;

/// How long requests take, by route. Longer durations count at once, shorter ones only gradually, so
/// that an estimate covers most requests of a kind and not their mean.
#[derive(Debug, Default)]
pub struct UsualDurations {
    /// Invariant: at most [`ROUTES_MAX`].
    by_route: HashMap<String, Duration>,
}

impl UsualDurations {
    /// Records how long a request took from its arrival to the end of its answer.
    pub fn record(&mut self, route: &str, duration: Duration) {
        let has_room = self.by_route.len() < ROUTES_MAX;
        match self.by_route.get_mut(route) {
            Some(usual) if duration < *usual => *usual -= (*usual - duration).mul_f64(DECAY),
            Some(usual) => *usual = duration,
            None if has_room => {
                self.by_route.insert(route.into(), duration);
            }
            None => {}
        }
    }

    /// Returns whether a request of a route ends before `stop_at`: it is given up before, or its kind
    /// is known to take far less time than is left.
    pub fn ends_before(
        &self,
        now: Instant,
        stop_at: Instant,
        route: &str,
        request_deadline: Instant,
    ) -> bool {
        let left = stop_at.saturating_duration_since(now);
        let usual = self.by_route.get(route);
        request_deadline <= stop_at
            || usual.is_some_and(|usual| *usual <= left.mul_f64(USUAL_FRACTION_MAX))
    }
}
