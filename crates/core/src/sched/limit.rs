//! Adaptive concurrency limit of one upstream.
//!
//! Engines admit every request and report overload late. The limit rises while all slots are in use
//! and latency stays near the lowest seen. It is multiplied by a factor below one when latency
//! rises too far or the engine reports a queue of its own. A new limit starts low and grows by slow
//! start, so that neither a new dispatcher nor the recovery of an upstream causes a burst of calls.
//!
//! Latency here is the decode time per completion token or, if a response has no token usage, its
//! total time.

use {
    super::{LimitPolicy, LoadReport},
    crate::message::Usage,
    std::time::{Duration, Instant},
};

/// Initial limit of a new upstream.
const INITIAL_SLOTS: f64 = 8.0;
/// Limit after a failure, and lower bound of the limit.
const PROBE_SLOTS: f64 = 1.0;
/// Upper bound of the limit.
const MAX_SLOTS: f64 = 512.0;
/// Factor by which the limit is decreased.
const DECREASE_FACTOR: f64 = 0.85;
/// Latency may be this many times the lowest seen before the limit is decreased.
const LATENCY_TOLERANCE: f64 = 4.0;
/// Weight of one response in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// The lowest latency is raised by this factor with each response, so that the limit adapts to a
/// changed engine.
const MIN_LATENCY_GROWTH_FACTOR: f64 = 1.000_5;
/// Shorter responses are too noisy to measure latency.
const MIN_SAMPLE_TOKENS: u64 = 8;
/// Minimum time between two decreases, so that one event does not cause several.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_secs(2);

/// Concurrency limit of one upstream.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    policy: LimitPolicy,
    /// Invariant: between [`PROBE_SLOTS`] and [`MAX_SLOTS`].
    slots: f64,
    is_slow_start: bool,
    min_latency_s: Option<f64>,
    latency_s: Option<f64>,
    last_decrease: Option<Instant>,
}

impl Limit {
    /// Creates a limit of [`INITIAL_SLOTS`].
    pub(super) fn new(policy: LimitPolicy) -> Self {
        Self {
            policy,
            slots: INITIAL_SLOTS,
            is_slow_start: true,
            min_latency_s: None,
            latency_s: None,
            last_decrease: None,
        }
    }

    /// Returns the limit as a whole number, at least one.
    pub(super) fn slots(&self) -> u32 {
        match self.policy {
            LimitPolicy::Adaptive => self.slots as u32,
            LimitPolicy::Fixed(slots) => slots.max(1),
        }
    }

    /// Resets the limit to [`PROBE_SLOTS`] after a failure.
    pub(super) fn restart(&mut self) {
        self.slots = PROBE_SLOTS;
        self.is_slow_start = true;
        self.latency_s = None;
    }

    /// Updates the limit after a response. `in_flight` counts the calls at the upstream, including
    /// this one. The limit rises only if at most one slot was free.
    pub(super) fn on_done(
        &mut self,
        now: Instant,
        in_flight: u32,
        first_byte: Duration,
        total: Duration,
        usage: Option<&Usage>,
    ) {
        if let Some(latency_s) = latency_sample_s(first_byte, total, usage) {
            self.record_latency(latency_s);
        }
        if self.is_overloaded() {
            self.decrease(now);
        } else if in_flight + 1 >= self.slots() {
            self.increase();
        }
    }

    /// Decreases the limit if the engine reports a queue of its own, unless the report is older
    /// than the last decrease.
    pub(super) fn on_report(&mut self, now: Instant, report: &LoadReport) {
        let is_newer =
            self.last_decrease.is_none_or(|decrease| now.duration_since(decrease) > report.age);
        if report.waiting > 0 && is_newer {
            self.decrease(now);
        }
    }

    fn record_latency(&mut self, latency_s: f64) {
        let min = self
            .min_latency_s
            .map_or(latency_s, |min| (min * MIN_LATENCY_GROWTH_FACTOR).min(latency_s));
        self.min_latency_s = Some(min);
        let smoothed = self
            .latency_s
            .map_or(latency_s, |smoothed| smoothed + LATENCY_WEIGHT * (latency_s - smoothed));
        self.latency_s = Some(smoothed);
    }

    fn is_overloaded(&self) -> bool {
        self.latency_s
            .zip(self.min_latency_s)
            .is_some_and(|(latency, min)| latency > LATENCY_TOLERANCE * min)
    }

    fn increase(&mut self) {
        let step = if self.is_slow_start { 1.0 } else { 1.0 / self.slots };
        self.slots = (self.slots + step).min(MAX_SLOTS);
    }

    fn decrease(&mut self, now: Instant) {
        if self
            .last_decrease
            .is_some_and(|decrease| now.duration_since(decrease) < MIN_DECREASE_INTERVAL)
        {
            return;
        }
        self.last_decrease = Some(now);
        self.is_slow_start = false;
        self.slots = (self.slots * DECREASE_FACTOR).max(PROBE_SLOTS);
    }
}

/// Returns the decode time per completion token, or the total time of a response without token
/// usage. Returns `None` if the response is too short.
fn latency_sample_s(first_byte: Duration, total: Duration, usage: Option<&Usage>) -> Option<f64> {
    match usage {
        None => Some(total.as_secs_f64()),
        Some(usage) if usage.completion_tokens >= MIN_SAMPLE_TOKENS => {
            let decode = total.saturating_sub(first_byte);
            Some(decode.as_secs_f64() / usage.completion_tokens as f64)
        }
        Some(_) => None,
    }
}
