//! Load shedding: decides whether to refuse a new program, from the pressure on the pool.
//!
//! Pressure is the smoothed ratio of running and waiting calls to slots. Above a threshold, a share
//! of new programs that grows with the pressure is refused. The number of active programs responds
//! to refusals with a single lag, so a proportional share settles without oscillation. An on-off
//! switch would oscillate with a period of about the length of a program. A team whose usage,
//! divided by its weight, is above the mean reaches the threshold earlier, and a team below the
//! mean later.

use std::time::{Duration, Instant};

/// Pressure below which no program is refused, for a team with mean usage.
const PRESSURE_LOW: f64 = 1.3;
/// Pressure from which every new program is refused, for a team with mean usage.
const PRESSURE_HIGH: f64 = 2.2;
/// Time constant of the smoothed pressure.
const SMOOTHING_S: f64 = 4.0;
/// Range to which a team's relative usage is clamped before it scales the pressure.
const USAGE_RANGE: (f64, f64) = (0.6, 2.5);
/// Minimum retry delay of a refused program, before jitter.
const RETRY_MIN_S: f64 = 2.0;
/// Maximum retry delay of a refused program.
const RETRY_MAX_S: f64 = 30.0;

/// Smoothed pressure on the pool.
#[derive(Clone, Debug)]
pub(super) struct Shedding {
    smoothed_pressure: f64,
    /// Unsmoothed pressure at the last observation, in effect since `last_observed`.
    raw_pressure: f64,
    last_observed: Option<Instant>,
}

impl Default for Shedding {
    fn default() -> Self {
        Self { smoothed_pressure: 0.0, raw_pressure: 0.0, last_observed: None }
    }
}

impl Shedding {
    /// Updates the pressure with the number of running and waiting calls and the number of slots.
    pub(super) fn observe(&mut self, now: Instant, calls: f64, slots: f64) {
        let pressure = if slots > 0.0 { calls / slots } else { PRESSURE_HIGH };
        if let Some(last) = self.last_observed {
            let passed_s = now.duration_since(last).as_secs_f64();
            let weight = 1.0 - (-passed_s / SMOOTHING_S).exp();
            self.smoothed_pressure += weight * (self.raw_pressure - self.smoothed_pressure);
        }
        self.raw_pressure = pressure;
        self.last_observed = Some(now);
    }

    /// Returns the retry delay if a new program must be refused. `draw` is a random number in 0..1.
    /// Below 80 % of [`PRESSURE_LOW`] nothing is refused, however high the team's usage.
    pub(super) fn refusal_delay(&self, relative_usage: f64, draw: f64) -> Option<Duration> {
        let usage_factor = relative_usage.clamp(USAGE_RANGE.0, USAGE_RANGE.1);
        let excess = self.smoothed_pressure * usage_factor.sqrt() - PRESSURE_LOW;
        let refusal_probability = excess / (PRESSURE_HIGH - PRESSURE_LOW);
        (self.smoothed_pressure > PRESSURE_LOW * 0.8 && draw < refusal_probability)
            .then(|| self.retry_after(draw))
    }

    /// Returns the smoothed pressure.
    pub(super) fn pressure(&self) -> f64 {
        self.smoothed_pressure
    }

    /// Returns a delay that grows by 10 s, before jitter, for each unit of pressure above one.
    /// Jitter prevents refused programs from retrying at the same time.
    fn retry_after(&self, draw: f64) -> Duration {
        let base = RETRY_MIN_S + (self.smoothed_pressure - 1.0).max(0.0) * 10.0;
        Duration::from_secs_f64((base * (0.75 + draw)).min(RETRY_MAX_S))
    }
}
