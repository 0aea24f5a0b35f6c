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
const CUT: f64 = 0.85;
/// The pace may be this many times the best seen.
const PACE_TOLERANCE: f64 = 4.0;
/// Weight of one answer in the smoothed pace.
const PACE_WEIGHT: f64 = 0.1;
/// The best pace is forgotten by this factor an answer, so that a changed engine is learned anew.
const BEST_DRIFT: f64 = 1.000_5;
/// Answers shorter than this say little about the pace.
const MIN_TOKENS: u64 = 8;
/// Least time between two cuts, so that one event isn't punished twice.
const CUT_INTERVAL: Duration = Duration::from_secs(2);

/// The admission limit of one upstream.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    policy: LimitPolicy,
    /// Invariant: between [`PROBE_SLOTS`] and [`MAX_SLOTS`].
    slots: f64,
    is_doubling: bool,
    best_pace_s: Option<f64>,
    pace_s: Option<f64>,
    last_cut: Option<Instant>,
}

impl Limit {
    /// Starts at a cautious number of slots.
    pub(super) fn new(policy: LimitPolicy) -> Self {
        Self {
            policy,
            slots: INITIAL_SLOTS,
            is_doubling: true,
            best_pace_s: None,
            pace_s: None,
            last_cut: None,
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
        self.is_doubling = true;
        self.pace_s = None;
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
        if let Some(pace_s) = pace_of(first_byte, total, usage) {
            self.observe(pace_s);
        }
        if self.is_strained() {
            self.cut(now);
        } else if in_flight + 1 >= self.slots() {
            self.raise();
        }
    }

    /// Learns from a load report: an engine with a queue of its own has been given too much.
    pub(super) fn on_report(&mut self, now: Instant, report: &LoadReport) {
        let is_newer = self.last_cut.is_none_or(|cut| now.duration_since(cut) > report.age);
        if report.waiting > 0 && is_newer {
            self.cut(now);
        }
    }

    fn observe(&mut self, pace_s: f64) {
        let best = self.best_pace_s.map_or(pace_s, |best| (best * BEST_DRIFT).min(pace_s));
        self.best_pace_s = Some(best);
        let smoothed =
            self.pace_s.map_or(pace_s, |smoothed| smoothed + PACE_WEIGHT * (pace_s - smoothed));
        self.pace_s = Some(smoothed);
    }

    fn is_strained(&self) -> bool {
        self.pace_s.zip(self.best_pace_s).is_some_and(|(pace, best)| pace > PACE_TOLERANCE * best)
    }

    fn raise(&mut self) {
        let step = if self.is_doubling { 1.0 } else { 1.0 / self.slots };
        self.slots = (self.slots + step).min(MAX_SLOTS);
    }

    fn cut(&mut self, now: Instant) {
        if self.last_cut.is_some_and(|cut| now.duration_since(cut) < CUT_INTERVAL) {
            return;
        }
        self.last_cut = Some(now);
        self.is_doubling = false;
        self.slots = (self.slots * CUT).max(PROBE_SLOTS);
    }
}

/// Seconds for a generated token, or for the whole answer where there are none.
fn pace_of(first_byte: Duration, total: Duration, usage: Option<&Usage>) -> Option<f64> {
    match usage {
        None => Some(total.as_secs_f64()),
        Some(usage) if usage.completion_tokens >= MIN_TOKENS => {
            let decode = total.saturating_sub(first_byte);
            Some(decode.as_secs_f64() / usage.completion_tokens as f64)
        }
        Some(_) => None,
    }
}
