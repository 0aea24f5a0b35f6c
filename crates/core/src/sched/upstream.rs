//! What a dispatcher knows of one upstream.

use {
    super::{LimitPolicy, LoadReport, Ticket, UpstreamView, fair::TeamIndex, limit::Limit},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

slotmap::new_key_type! {
    /// Names an upstream within the dispatcher.
    pub(super) struct UpstreamKey;
    /// Names a waiting request within the dispatcher.
    pub(super) struct WaitKey;
}

/// Where a request stands in a queue: its rank, then its number.
pub(super) type Position = (i64, u64, WaitKey);

/// The first ejection lasts so long, each further one twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Timeouts or refusals in a row that eject an upstream. A broken connection does at once.
const SOFT_FAILURES_TO_EJECT: u32 = 4;
/// Weight of one call in the smoothed time that a slot is held.
const HOLD_WEIGHT: f64 = 0.05;
/// Time that a slot is held while none has been seen.
const DEFAULT_HOLD_S: f64 = 2.0;
/// Share of cache memory that calls under way may fill together.
const MAX_KV_FRACTION: f64 = 0.9;
/// Steps of the load by which upstreams are compared, for one whole limit.
const LOAD_RESOLUTION: f64 = 1_000.0;

/// How an upstream failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Failure {
    /// Its connection broke.
    Hard,
    /// It refused or was too slow.
    Soft,
}

/// One upstream.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) view: UpstreamView,
    /// False once the host list no longer names it; kept while calls are under way.
    pub(super) is_listed: bool,
    pub(super) limit: Limit,
    /// Calls under way.
    pub(super) in_flight: u32,
    /// Their tickets.
    pub(super) tickets: BTreeSet<Ticket>,
    /// Their tokens, expected answers included.
    pub(super) in_flight_tokens: u64,
    /// Tokens of programs believed to be cached here.
    pub(super) resident_tokens: i64,
    /// Waiting requests by team. Invariant: no empty sets.
    pub(super) queue: BTreeMap<TeamIndex, BTreeSet<Position>>,
    /// Requests in `queue`.
    pub(super) queued: u32,
    /// A suspected request that runs, or will run, here alone.
    pub(super) reserved_for: Option<WaitKey>,
    /// Whether a suspected request runs here alone now.
    pub(super) runs_alone: bool,
    pub(super) ejected_until: Option<Instant>,
    pub(super) kv_capacity_tokens: u64,
    pub(super) last_event: Option<u64>,
    /// Calls that the engine reported and this dispatcher didn't grant.
    external_calls: u32,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    hold_s: f64,
    /// Key of its entry in the load index.
    pub(super) load: u64,
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
            last_event: None,
            external_calls: 0,
            consecutive_failures: 0,
            consecutive_ejections: 0,
            hold_s: DEFAULT_HOLD_S,
            load: 0,
        }
    }

    /// Whether it may get new work, now or when a slot is free.
    pub(super) fn is_available(&self) -> bool {
        self.is_listed
            && !self.view.is_leaving
            && self.ejected_until.is_none()
            && !self.is_reserved()
    }

    /// Whether it is kept for a suspected request.
    pub(super) fn is_reserved(&self) -> bool {
        self.reserved_for.is_some() || self.runs_alone
    }

    /// Whether it serves a model.
    pub(super) fn serves(&self, model: Option<&str>) -> bool {
        let models = &self.view.models;
        models.is_empty() || model.is_none_or(|model| models.iter().any(|name| name == model))
    }

    /// Whether a call of so many tokens may start now.
    pub(super) fn has_room(&self, tokens: u64) -> bool {
        let has_slot = self.in_flight + self.external_calls < self.limit.slots();
        let capacity = self.kv_capacity_tokens;
        let fits = capacity == 0
            || self.in_flight == 0
            || self.in_flight_tokens + tokens <= (capacity as f64 * MAX_KV_FRACTION) as u64;
        self.is_available() && has_slot && fits
    }

    /// What runs and waits over the limit.
    pub(super) fn occupancy(&self) -> f64 {
        f64::from(self.in_flight + self.external_calls + self.queued)
            / f64::from(self.limit.slots())
    }

    /// What runs and waits here and the limit, while the upstream is available.
    pub(super) fn occupied_and_slots(&self) -> (i64, i64) {
        if !self.is_available() {
            return (0, 0);
        }
        let occupied = i64::from(self.in_flight + self.external_calls + self.queued);
        (occupied, i64::from(self.limit.slots()))
    }

    /// Time that a new request may expect to wait for a slot.
    pub(super) fn expected_wait_s(&self) -> f64 {
        let slots = self.limit.slots();
        let ahead = self.in_flight + self.external_calls + self.queued;
        let excess = f64::from((ahead + 1).saturating_sub(slots));
        excess * self.hold_s / f64::from(slots)
    }

    /// Time until `ahead` waiting requests and the next one got slots.
    pub(super) fn wait_behind_s(&self, ahead: usize) -> f64 {
        (ahead + 1) as f64 * self.hold_s / f64::from(self.limit.slots())
    }

    /// Smoothed time that a slot is held.
    pub(super) fn hold_s(&self) -> f64 {
        self.hold_s
    }

    /// The load by which upstreams are compared: occupancy and, for engines, memory in use.
    pub(super) fn load_key(&self) -> u64 {
        let capacity = self.kv_capacity_tokens.max(1) as f64;
        let resident = self.resident_tokens.max(0) as f64;
        let memory = if self.kv_capacity_tokens == 0 { 0.0 } else { resident / capacity };
        ((self.occupancy() + 0.5 * memory) * LOAD_RESOLUTION) as u64
    }

    /// Learns from a load report.
    pub(super) fn on_report(&mut self, now: Instant, report: &LoadReport, is_settled: bool) {
        self.kv_capacity_tokens = report.kv_capacity_tokens;
        let reported = report.running + report.waiting;
        self.external_calls = if is_settled { 0 } else { reported.saturating_sub(self.in_flight) };
        self.limit.on_report(now, report);
    }

    /// Learns from an answer.
    pub(super) fn on_answer(&mut self, total: Duration) {
        self.consecutive_failures = 0;
        self.consecutive_ejections = 0;
        self.hold_s += HOLD_WEIGHT * (total.as_secs_f64() - self.hold_s);
    }

    /// Counts a failure. Returns whether it is ejected now; `jitter` in 0..1 spreads the returns.
    pub(super) fn on_failure(&mut self, now: Instant, failure: Failure, jitter: f64) -> bool {
        self.consecutive_failures += 1;
        let must_eject =
            failure == Failure::Hard || self.consecutive_failures >= SOFT_FAILURES_TO_EJECT;
        if !must_eject || self.ejected_until.is_some() {
            return false;
        }
        let doublings = self.consecutive_ejections.min(16);
        let length = FIRST_EJECTION.saturating_mul(1 << doublings).min(MAX_EJECTION);
        self.ejected_until = Some(now + length.mul_f64(0.75 + 0.5 * jitter));
        self.consecutive_ejections += 1;
        self.consecutive_failures = 0;
        self.limit.restart();
        true
    }
}
