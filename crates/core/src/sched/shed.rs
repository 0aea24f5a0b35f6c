//! Whether to take a new program in, from the pressure on the pool.
//!
//! Pressure is what runs and waits over what the pool serves well, smoothed. Above a threshold a
//! share of the new programs is refused, and the share grows with the pressure: the number of
//! live programs follows with one lag, so a share in proportion settles without oscillation where
//! an on-off switch would swing by the length of a program. A team that uses more than the mean,
//! over its weight, meets the threshold earlier, and one that uses less meets it later.

use std::time::{Duration, Instant};

/// Pressure below which no program is refused.
const PRESSURE_LOW: f64 = 1.3;
/// Pressure from which every new program is refused.
const PRESSURE_HIGH: f64 = 2.2;
/// Time over which pressure is smoothed.
const SMOOTHING_S: f64 = 4.0;
/// How far a team's use may move its threshold.
const USE_RANGE: (f64, f64) = (0.6, 2.5);
/// The least time after which a refused program may come back.
const RETRY_MIN_S: f64 = 2.0;
/// The most.
const RETRY_MAX_S: f64 = 30.0;

/// The smoothed pressure.
#[derive(Clone, Debug)]
pub(super) struct Shedding {
    pressure: f64,
    /// What was last seen, in force since `at`.
    last_pressure: f64,
    last_observed: Option<Instant>,
}

impl Default for Shedding {
    fn default() -> Self {
        Self { pressure: 0.0, last_pressure: 0.0, last_observed: None }
    }
}

impl Shedding {
    /// Notes what runs and waits over what the pool serves well.
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

    /// Decides by `draw`, a random number in 0..1. Returns when to come back if refused.
    pub(super) fn refusal_delay(&self, relative_use: f64, draw: f64) -> Option<Duration> {
        let use_factor = relative_use.clamp(USE_RANGE.0, USE_RANGE.1);
        let over = self.pressure * use_factor.sqrt() - PRESSURE_LOW;
        let share = over / (PRESSURE_HIGH - PRESSURE_LOW);
        (self.pressure > PRESSURE_LOW * 0.8 && draw < share).then(|| self.retry_after(draw))
    }

    /// The smoothed pressure, for the time line.
    pub(super) fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Longer under more pressure, and spread so that the refused don't come back together.
    fn retry_after(&self, draw: f64) -> Duration {
        let base = RETRY_MIN_S + (self.pressure - 1.0).max(0.0) * 10.0;
        Duration::from_secs_f64((base * (0.75 + draw)).min(RETRY_MAX_S))
    }
}
