//! State of one upstream in a dispatcher.

use {
    super::{LimitPolicy, LoadReport, Ticket, UpstreamView, fair::TeamIndex, limit::Limit},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

slotmap::new_key_type! {
    /// Key of an upstream within the dispatcher.
    pub(super) struct UpstreamKey;
    /// Key of a waiting request within the dispatcher.
    pub(super) struct WaitKey;
}

/// Position in a queue: rank, then order of arrival.
pub(super) type Position = (i64, u64, WaitKey);

/// Duration of the first ejection. Each further one lasts twice as long as the one before.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Maximum duration of an ejection, before jitter.
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Consecutive timeouts or refusals after which an upstream is ejected. One broken connection is
/// enough.
const SOFT_FAILURES_TO_EJECT: u32 = 4;
/// Weight of one call in the smoothed time that a slot is held.
const HOLD_WEIGHT: f64 = 0.05;
/// Time that a slot is held, until one has been measured.
const DEFAULT_HOLD_S: f64 = 2.0;
/// Maximum fraction of the KV cache that the calls in flight may fill together.
const MAX_KV_FRACTION: f64 = 0.9;
/// Factor that converts a load ratio to the integer load by which upstreams are ordered.
const LOAD_RESOLUTION: f64 = 1_000.0;

/// How an upstream failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Failure {
    /// The connection broke or could not be made.
    Hard,
    /// The upstream refused the call or did not respond in time.
    Soft,
}

#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) view: UpstreamView,
    /// False once the upstream is no longer in the host list. The upstream is removed when its last
    /// call ends.
    pub(super) is_listed: bool,
    pub(super) limit: Limit,
    /// Calls with a granted or adopted slot that have not ended.
    pub(super) in_flight: u32,
    /// Tickets of the calls in flight.
    pub(super) tickets: BTreeSet<Ticket>,
    /// Tokens of the calls in flight, including their expected responses.
    pub(super) in_flight_tokens: u64,
    /// Tokens of the prefixes believed to be cached here.
    pub(super) resident_tokens: i64,
    /// Waiting requests by team. Invariant: no empty sets.
    pub(super) queue: BTreeMap<TeamIndex, BTreeSet<Position>>,
    /// Number of requests in `queue`.
    pub(super) queued: u32,
    /// Suspected request that waits to run here alone.
    pub(super) reserved_for: Option<WaitKey>,
    /// Whether a suspected request runs here alone.
    pub(super) runs_alone: bool,
    pub(super) ejected_until: Option<Instant>,
    pub(super) kv_capacity_tokens: u64,
    /// Sequence number of the last cache event.
    pub(super) last_event_sequence: Option<u64>,
    /// Calls that the engine reported but that have no slot in this dispatcher.
    external_calls: u32,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    hold_s: f64,
    /// Value of [`Upstream::load_key`] in the dispatcher's indexes.
    pub(super) indexed_load: u64,
}

impl Upstream {
    pub(super) fn new(view: UpstreamView, policy: LimitPolicy) -> Self {
        Self {
            view,
            is_listed: true,
            limit: Limit::new(policy),
            in_flight: 0,
            tickets: BTreeSet::new(),
            in_flight_tokens: 0,
            resident_tokens: 0,
            queue: BTreeMap::new(),
            queued: 0,
            reserved_for: None,
            runs_alone: false,
            ejected_until: None,
            kv_capacity_tokens: 0,
            last_event_sequence: None,
            external_calls: 0,
            consecutive_failures: 0,
            consecutive_ejections: 0,
            hold_s: DEFAULT_HOLD_S,
            indexed_load: 0,
        }
    }

    /// Returns whether the upstream may get new work, now or when a slot becomes free.
    pub(super) fn accepts_calls(&self) -> bool {
        self.is_listed
            && !self.view.is_leaving
            && self.ejected_until.is_none()
            && !self.is_reserved()
    }

    /// Returns whether the upstream is reserved for a suspected request.
    pub(super) fn is_reserved(&self) -> bool {
        self.reserved_for.is_some() || self.runs_alone
    }

    /// Returns whether the upstream serves a model. Every upstream serves `None`, a call without
    /// model.
    pub(super) fn serves(&self, model: Option<&str>) -> bool {
        let models = &self.view.models;
        models.is_empty() || model.is_none_or(|model| models.iter().any(|name| name == model))
    }

    /// Returns whether a call that needs this many tokens may start now.
    pub(super) fn can_start(&self, tokens: u64) -> bool {
        let has_slot = self.in_flight + self.external_calls < self.limit.slots();
        let capacity = self.kv_capacity_tokens;
        let fits = capacity == 0
            || self.in_flight == 0
            || self.in_flight_tokens + tokens <= (capacity as f64 * MAX_KV_FRACTION) as u64;
        self.accepts_calls() && has_slot && fits
    }

    /// Returns the ratio of running and waiting calls to the limit.
    pub(super) fn load_ratio(&self) -> f64 {
        f64::from(self.in_flight + self.external_calls + self.queued)
            / f64::from(self.limit.slots())
    }

    /// Returns the number of running and waiting calls and the limit, or zeros while the upstream
    /// does not accept calls.
    pub(super) fn calls_and_slots(&self) -> (i64, i64) {
        if !self.accepts_calls() {
            return (0, 0);
        }
        let calls = i64::from(self.in_flight + self.external_calls + self.queued);
        (calls, i64::from(self.limit.slots()))
    }

    /// Returns the expected time that a new request waits for a slot.
    pub(super) fn expected_wait_s(&self) -> f64 {
        let slots = self.limit.slots();
        let ahead = self.in_flight + self.external_calls + self.queued;
        let excess = f64::from((ahead + 1).saturating_sub(slots));
        excess * self.hold_s / f64::from(slots)
    }

    /// Returns the expected wait for a slot of a request behind `ahead` others in the queue.
    pub(super) fn wait_behind_s(&self, ahead: usize) -> f64 {
        (ahead + 1) as f64 * self.hold_s / f64::from(self.limit.slots())
    }

    /// Returns the smoothed time that a slot is held.
    pub(super) fn hold_s(&self) -> f64 {
        self.hold_s
    }

    /// Returns the load by which upstreams are ordered: the load ratio plus, for engines, half the
    /// fraction of the KV cache in use.
    pub(super) fn load_key(&self) -> u64 {
        let capacity = self.kv_capacity_tokens.max(1) as f64;
        let resident = self.resident_tokens.max(0) as f64;
        let kv_fraction = if self.kv_capacity_tokens == 0 { 0.0 } else { resident / capacity };
        ((self.load_ratio() + 0.5 * kv_fraction) * LOAD_RESOLUTION) as u64
    }

    /// Applies a load report. External calls count only during the dispatcher's `SETTLING_PERIOD`.
    pub(super) fn on_report(&mut self, now: Instant, report: &LoadReport, is_settled: bool) {
        self.kv_capacity_tokens = report.kv_capacity_tokens;
        let reported = report.running + report.waiting;
        self.external_calls = if is_settled { 0 } else { reported.saturating_sub(self.in_flight) };
        self.limit.on_report(now, report);
    }

    /// Records a response and resets the counts of consecutive failures and ejections.
    pub(super) fn on_response(&mut self, total: Duration) {
        self.consecutive_failures = 0;
        self.consecutive_ejections = 0;
        self.hold_s += HOLD_WEIGHT * (total.as_secs_f64() - self.hold_s);
    }

    /// Records a failure. Returns whether it ejects the upstream. `jitter` in 0..1 spreads the ends
    /// of ejections.
    pub(super) fn on_failure(&mut self, now: Instant, failure: Failure, jitter: f64) -> bool {
        self.consecutive_failures += 1;
        let must_eject =
            failure == Failure::Hard || self.consecutive_failures >= SOFT_FAILURES_TO_EJECT;
        if !must_eject || self.ejected_until.is_some() {
            return false;
        }
        // The bound only keeps the shift from overflowing.
        let doublings = self.consecutive_ejections.min(16);
        let length = FIRST_EJECTION.saturating_mul(1 << doublings).min(MAX_EJECTION);
        self.ejected_until = Some(now + length.mul_f64(0.75 + 0.5 * jitter));
        self.consecutive_ejections += 1;
        self.consecutive_failures = 0;
        self.limit.restart();
        true
    }
}
