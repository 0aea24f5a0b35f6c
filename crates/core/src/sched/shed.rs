//! Load shedding: decides whether to refuse a new program, from the pressure on the pool.
//!
//! Pressure is the smoothed ratio of running and waiting calls to slots. Above a threshold a share
//! of the new programs is refused, and the share grows with the pressure. The number of active
//! programs follows with one lag, so a proportional share settles without oscillation, where an
//! on-off switch would oscillate with a period of about the length of a program. A team whose use,
//! divided by its weight, is above the mean reaches the threshold earlier, and a team below the
//! mean later.

use std::time::{Duration, Instant};

/// Pressure below which no program is refused, for a team with mean use.
const PRESSURE_LOW: f64 = 1.3;
/// Pressure from which every new program is refused, for a team with mean use.
const PRESSURE_HIGH: f64 = 2.2;
/// Time constant of the smoothed pressure.
const SMOOTHING_S: f64 = 4.0;
/// Bounds of the relative use of a team, which limit how far it moves the threshold.
const USE_RANGE: (f64, f64) = (0.6, 2.5);
/// Minimum retry delay of a refused program, before jitter.
const RETRY_MIN_S: f64 = 2.0;
/// Maximum retry delay of a refused program.
const RETRY_MAX_S: f64 = 30.0;

/// Smoothed pressure on the pool.
#[derive(Clone, Debug)]
pub(super) struct Shedding {
    pressure: f64,
    /// Pressure at the last observation, in effect since `last_observed`.
    last_pressure: f64,
    last_observed: Option<Instant>,
}

impl Default for Shedding {
    fn default() -> Self {
        Self { pressure: 0.0, last_pressure: 0.0, last_observed: None }
    }
}

impl Shedding {
    /// Updates the pressure with the number of running and waiting calls and the number of slots.
    pub(super) fn observe(&mut self, now: Instant, occupied: f64, slots: f64) {
        let pressure = if slots > 0.0 { occupied / slots } else { PRESSURE_HIGH };
        if let Some(last) = self.last_observed {
            let passed_s = now.duration_since(last).as_secs_f64();
            let weight = 1.0 - (-passed_s / SMOOTHING_S).exp();
            self.pressure += weight * (self.last_pressure - self.pressure);
        }
        self.last_pressure = pressure;
        self.last_observed = Some(now);
    }

    /// Returns the retry delay if a new program must be refused. `draw` is a random number in 0..1.
    pub(super) fn refusal_delay(&self, relative_use: f64, draw: f64) -> Option<Duration> {
        let use_factor = relative_use.clamp(USE_RANGE.0, USE_RANGE.1);
        let over = self.pressure * use_factor.sqrt() - PRESSURE_LOW;
        let share = over / (PRESSURE_HIGH - PRESSURE_LOW);
        (self.pressure > PRESSURE_LOW * 0.8 && draw < share).then(|| self.retry_after(draw))
    }

    /// Returns the smoothed pressure.
    pub(super) fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Returns a longer delay under more pressure, randomized so that refused programs don't retry
    /// at the same time.
    fn retry_after(&self, draw: f64) -> Duration {
        let base = RETRY_MIN_S + (self.pressure - 1.0).max(0.0) * 10.0;
        Duration::from_secs_f64((base * (0.75 + draw)).min(RETRY_MAX_S))
    }
}
