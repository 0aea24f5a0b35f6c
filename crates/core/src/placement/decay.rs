//! Sums whose terms lose half of their weight in each half-life.

use std::time::{Duration, Instant};

/// Number of half-lives after which nothing is left of a value.
const NEGLIGIBLE_HALF_LIVES: u32 = 20;

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
    let age = now.saturating_duration_since(at);
    if age > half_life * NEGLIGIBLE_HALF_LIVES {
        return 0.0;
    }
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

/// A mean of recent values that leans to an assumed one while there are few.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayedMean {
    half_life: Duration,
    assumed: f64,
    /// Number of values that the assumed one counts for.
    assumed_weight: f64,
    weight: Decayed,
    sum: Decayed,
}

impl DecayedMean {
    pub(super) fn new(half_life: Duration, assumed: f64, assumed_weight: f64) -> Self {
        let (weight, sum) = (Decayed::default(), Decayed::default());
        Self { half_life, assumed, assumed_weight, weight, sum }
    }

    /// Adds a value that counts for `weight` values.
    pub(super) fn add(&mut self, now: Instant, value: f64, weight: f64) {
        self.weight.add(now, self.half_life, weight);
        self.sum.add(now, self.half_life, value * weight);
    }

    /// Returns the mean now.
    pub(super) fn value(&self, now: Instant) -> f64 {
        let weight = self.weight.value(now, self.half_life) + self.assumed_weight;
        (self.sum.value(now, self.half_life) + self.assumed * self.assumed_weight) / weight
    }
}
