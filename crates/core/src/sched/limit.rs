//! How many requests one upstream serves well at once, learned while it runs.
//!
//! Engines admit all that comes and say late how it went. The limit rises while every slot is in
//! use and answers stay near the best pace that was seen, and falls by a factor when the pace is
//! lost or the engine reports a queue of its own. A new limit starts low and doubles, so that a
//! dispatcher that just took over, or an upstream that just came back, isn't flooded.

use {
    super::{LimitPolicy, LoadReport},
    crate::message::Usage,
    std::time::{Duration, Instant},
};

/// Slots of an upstream of which nothing is known.
const INITIAL_SLOTS: f64 = 8.0;
/// Slots after a failure.
const PROBE_SLOTS: f64 = 1.0;
/// The most slots ever given at one upstream.
const MAX_SLOTS: f64 = 512.0;
/// The limit is multiplied by this when the pace is lost.
const DECREASE_FACTOR: f64 = 0.85;
/// The pace may be this many times the best seen.
const LATENCY_TOLERANCE: f64 = 4.0;
/// Weight of one answer in the smoothed pace.
const LATENCY_WEIGHT: f64 = 0.1;
/// The best pace is forgotten by this factor an answer, so that a changed engine is learned anew.
const MIN_LATENCY_DRIFT: f64 = 1.000_5;
/// Answers shorter than this say little about the pace.
const MIN_SAMPLE_TOKENS: u64 = 8;
/// Least time between two cuts, so that one event isn't punished twice.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_secs(2);

/// The admission limit of one upstream.
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
    /// Starts at a cautious number of slots.
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

    /// Whole slots, at least one.
    pub(super) fn slots(&self) -> u32 {
        match self.policy {
            LimitPolicy::Learned => self.slots as u32,
            LimitPolicy::Fixed(slots) => slots.max(1),
        }
    }

    /// Starts again with one slot after a failure.
    pub(super) fn restart(&mut self) {
        self.slots = PROBE_SLOTS;
        self.is_slow_start = true;
        self.latency_s = None;
    }

    /// Learns from an answer. `in_flight` counts the calls at the upstream, with this one.
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

    /// Learns from a load report: an engine with a queue of its own has been given too much.
    pub(super) fn on_report(&mut self, now: Instant, report: &LoadReport) {
        let is_newer =
            self.last_decrease.is_none_or(|decrease| now.duration_since(decrease) > report.age);
        if report.waiting > 0 && is_newer {
            self.decrease(now);
        }
    }

    fn record_latency(&mut self, latency_s: f64) {
        let min =
            self.min_latency_s.map_or(latency_s, |min| (min * MIN_LATENCY_DRIFT).min(latency_s));
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

/// Seconds for a generated token, or for the whole answer where there are none.
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
