//! Sums whose terms lose half of their weight in each half-life.

use std::time::{Duration, Instant};

/// A sum of weights that decays with time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Decayed {
    sum: f64,
    at: Option<Instant>,
}

impl Decayed {
    /// Adds a term.
    pub(super) fn add(&mut self, now: Instant, half_life: Duration, term: f64) {
        self.sum = self.value(now, half_life) + term;
        self.at = Some(now);
    }

    /// Returns the sum now.
    pub(super) fn value(&self, now: Instant, half_life: Duration) -> f64 {
        self.at.map_or(0.0, |at| self.sum * remaining(now, at, half_life))
    }
}

/// Returns the fraction of a value of time `at` that remains.
pub(super) fn remaining(now: Instant, at: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    (-age / half_life.as_secs_f64()).exp2()
}

/// A mean of values that leans to zero while there are few.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayedMean {
    weight: Decayed,
    sum: Decayed,
}

impl DecayedMean {
    /// Half-life of a value. Short enough to follow bursts, and long enough for hosts that hear from
    /// upstreams once a second.
    const HALF_LIFE: Duration = Duration::from_secs(2);
    /// Weight of the assumed value zero.
    const PRIOR_WEIGHT: f64 = 1.0;

    /// Adds a value.
    pub(super) fn add(&mut self, now: Instant, value: f64) {
        self.weight.add(now, Self::HALF_LIFE, 1.0);
        self.sum.add(now, Self::HALF_LIFE, value);
    }

    /// Returns the mean now.
    pub(super) fn value(&self, now: Instant) -> f64 {
        let weight = self.weight.value(now, Self::HALF_LIFE) + Self::PRIOR_WEIGHT;
        self.sum.value(now, Self::HALF_LIFE) / weight
    }
}
