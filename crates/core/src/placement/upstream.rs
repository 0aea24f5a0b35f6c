//! State and load estimate of one upstream at this host.

use {
    super::{
        cold::ColdState,
        decay::{DecayedMean, remaining},
        departure::Departure,
        rate_limit::RateLimit,
    },
    crate::{
        ids::{DomainId, Incarnation, ServiceId, SoftwareVersion, UpstreamId},
        rendezvous::NameHash,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Load, as a fraction of the slots, up to which an upstream keeps its objects.
const AFFINITY_LOAD_MAX: f64 = 0.9;
/// Number of consecutive failures after which an upstream is ejected.
const FAILURES_MAX: u32 = 3;
/// Duration of the first ejection. Each further ejection lasts twice as long as the previous one.
const EJECTION_MIN: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection: a restarted process is available again after a few seconds.
const EJECTION_MAX: Duration = Duration::from_secs(4);
/// Penalty for one error answer, equal to the load of a quarter of the slots. Kept low because
/// tools answer some requests with errors although they are healthy.
const ERROR_PENALTY: f64 = 0.25;
/// Penalty for one broken answer or failed connection, equal to the load of a full upstream. A call
/// that may not be repeated fails with the first failure. If each of many hosts tolerated several
/// failures, each of these failures would lose a call, so a host avoids the upstream after the
/// first one.
const FAILURE_PENALTY: f64 = 1.0;
/// Penalty for one slow pause between events. A turn has about ten pauses, so a turn with only slow
/// pauses reaches the maximum.
const SLOW_EVENT_PENALTY: f64 = 0.1;
/// Maximum penalty, equal to the load of a full upstream.
const PENALTY_MAX: f64 = 1.0;
/// Half-life of a penalty.
const PENALTY_HALF_LIFE: Duration = Duration::from_secs(2);
/// Penalty from which on an upstream's cache is not counted on: a few slow events, or part of an
/// error's penalty.
const AFFINITY_PENALTY_MAX: f64 = 0.2;
/// Weight of one report in the moving average of an upstream's load.
const REPORT_WEIGHT: f64 = 0.7;
/// Time for which the average counts after the last report.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(1500);
/// Load that counts for an upstream whose queue is full, as a fraction of its slots.
const FULL_LOAD: f64 = 2.0;
/// Half-life of the difference between an upstream's reported load and its service's mean.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);
/// Half-life of what an upstream's speed is learned from. Short enough to follow an upstream that
/// becomes slow for good, and long enough for hosts that hear from it every few seconds.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(10);
/// Number of pauses between events that the service's mean counts for in an upstream's speed. In the
/// replay of `tests/placement_replay.rs` with equal engines and 259 hosts, 10, 30 and 100 gave 11%, 10%
/// and 9% of tokens read again, since noise drives turns from the holders of their part; p95 with
/// unequal engines differed by 3% at most.
const SPEED_ASSUMED_PAUSES: f64 = 100.0;
/// Number of reported slowdowns that the usual value counts for in an upstream's mean.
const SLOWDOWN_ASSUMED_REPORTS: f64 = 3.0;
/// Range of a single time as a multiple of its service's usual one. Longer ones are outliers.
const RELATIVE_TIME_RANGE: (f64, f64) = (0.25, 4.0);
/// Half-life of a reported slowdown: neighbours slow an engine down for some hundred ms at a time.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(400);
/// Reported loads above this multiple of the slots count as this. Far above what upstreams with few slots
/// report, which queue up to 36 requests.
const REPORTED_LOAD_MAX: u32 = 64;
/// Maximum number of slots that an upstream can report. A larger number leaves the known one unchanged.
const SLOTS_MAX: u32 = 4096;
/// Range of the slowdowns that count.
const SLOWDOWN_RANGE: (f64, f64) = (0.1, 10.0);

/// An upstream as listed by the platform.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct UpstreamRecord {
    /// Id of the upstream. Most upstreams get a new id at each start.
    pub id: UpstreamId,
    /// Service whose requests it runs.
    pub service: ServiceId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Version of its software.
    #[serde(default = "unnamed_version")]
    pub version: SoftwareVersion,
    /// Maximum number of requests that it runs concurrently. Updated from load reports. Invariant:
    /// above zero.
    pub slots: u32,
    /// Whether it accepts no new work because it is about to stop.
    pub is_leaving: bool,
    /// Incarnation, for upstreams that keep their id across restarts.
    pub incarnation: Option<Incarnation>,
    /// How much longer it is cold, if it is. Cold upstreams take few requests.
    #[serde(default)]
    pub cold_left: Option<Duration>,
}

impl UpstreamRecord {
    /// Returns whether a later record of the same process says something new. The time that an
    /// upstream is cold changes with each record.
    pub(super) fn differs_from(&self, later: &Self) -> bool {
        *self != Self { cold_left: self.cold_left, ..later.clone() }
    }

    /// Returns whether two records describe the same process.
    pub(super) fn is_same_process(&self, other: &Self) -> bool {
        self.service == other.service
            && self.address == other.address
            && self.incarnation == other.incarnation
            && self.version == other.version
    }
}

/// Returns the version in records of hosts that do not read it.
fn unnamed_version() -> SoftwareVersion {
    "".into()
}

/// The load that an upstream reports in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// Maximum number of requests that it runs concurrently. Zero leaves the known value unchanged.
    pub slots: u32,
    /// How much longer work takes there now than usual, which is 1.0. `None` if it is not reported.
    pub slowdown: Option<f64>,
}

/// How a request at an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream answered, or the caller cancelled the request or has gone.
    Done,
    /// The upstream answered with an error status.
    Errored,
    /// The upstream was full and refused the request without running it.
    Full,
    /// The upstream was unreachable, or closed the connection before its answer was complete.
    Failed,
    /// Another process answered at the upstream's address.
    Misdirected,
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) record: UpstreamRecord,
    /// Hash of the record's id.
    pub(super) hash: NameHash,
    /// Requests of this host in flight at the upstream.
    local_requests: u32,
    /// Requests of other hosts at the upstream, as of the last report.
    remote_requests: f64,
    reported_at: Option<Instant>,
    /// The slowdown that was reported last, as a multiple of the mean of those before.
    reported_slowdown: Option<(Instant, f64)>,
    mean_slowdown: DecayedMean,
    /// How long work takes here in general, as a multiple of the service's mean.
    relative_times: DecayedMean,
    /// Value of `relative_times` when the last time was recorded. Leans to one from then on.
    relative_time: Option<(Instant, f64)>,
    /// Moving average of the requests running or waiting, as a fraction of the slots, as reported.
    reported_load: Option<f64>,
    consecutive_failures: u32,
    /// Sum of the penalties for errors and slow events, as of `penalty_at`.
    penalty: f64,
    penalty_at: Option<Instant>,
    ejected_until: Option<Instant>,
    next_ejection: Duration,
    /// When it has begun to leave, if it has.
    pub(super) departure: Departure,
    /// The request rate that the upstream names as its limit.
    pub(super) rate_limit: Option<RateLimit>,
    /// When the latest request was sent whose answer named no limit.
    pub(super) unlimited_at: Option<Instant>,
    /// Whether its domain is evacuated.
    pub(super) is_evacuated: bool,
    /// When its domain was given back after an evacuation.
    pub(super) returned_at: Option<Instant>,
    pub(super) cold: ColdState,
}

impl Upstream {
    pub(super) fn new(record: UpstreamRecord) -> Self {
        Self {
            hash: NameHash::new(&record.id),
            record,
            local_requests: 0,
            remote_requests: 0.0,
            reported_at: None,
            reported_slowdown: None,
            mean_slowdown: DecayedMean::new(SPEED_HALF_LIFE, 1.0, SLOWDOWN_ASSUMED_REPORTS),
            relative_time: None,
            relative_times: DecayedMean::new(SPEED_HALF_LIFE, 1.0, SPEED_ASSUMED_PAUSES),
            reported_load: None,
            consecutive_failures: 0,
            penalty: 0.0,
            penalty_at: None,
            ejected_until: None,
            next_ejection: EJECTION_MIN,
            departure: Departure::default(),
            rate_limit: None,
            unlimited_at: None,
            is_evacuated: false,
            returned_at: None,
            cold: ColdState::default(),
        }
    }

    /// Returns whether the upstream's limit, and the rate of a cold upstream, allow another request
    /// now.
    pub(super) fn is_within_limit(&self, now: Instant) -> bool {
        let is_allowed = |limit: &RateLimit| limit.has_token(now);
        self.rate_limit.as_ref().is_none_or(is_allowed)
            && self.cold.limit(now).is_none_or(is_allowed)
    }

    /// Returns when the upstream's limits next allow a request, if it has any and the host need not
    /// borrow for them.
    pub(super) fn next_within_limit(&self, now: Instant) -> Option<Instant> {
        let named = self.rate_limit.as_ref().map(|limit| limit.next_token_at(now));
        let cold = self.cold.limit(now).map(|_| self.cold.next_token_at(now));
        match (named, cold) {
            (Some(named), Some(cold)) => Some(named?.max(cold?)),
            (named, cold) => named.or(cold).flatten(),
        }
    }

    /// Returns whether the upstream is about to stop, by its record or its answers.
    pub(super) fn is_leaving(&self) -> bool {
        self.record.is_leaving || self.says_leaving()
    }

    pub(super) fn accepts_work(&self, now: Instant) -> bool {
        !self.is_excluded() && self.ejected_until.is_none_or(|until| until <= now)
    }

    /// Returns the estimated number of requests running or waiting, as a fraction of the slots. The
    /// requests of other hosts lean from the last report to `mean_load`, that of the service.
    pub(super) fn load(&self, now: Instant, mean_load: f64) -> f64 {
        let slots = f64::from(self.record.slots);
        let mean_requests = mean_load * slots;
        let remote_requests = self.reported_at.map_or(mean_requests, |at| {
            let weight = remaining(now, at, REPORT_HALF_LIFE);
            mean_requests + (self.remote_requests - mean_requests) * weight
        });
        (f64::from(self.local_requests) + remote_requests) / slots
    }

    /// Returns the load that other hosts caused as of the last report, as a fraction of the slots.
    pub(super) fn remote_load(&self) -> f64 {
        self.remote_requests / f64::from(self.record.slots)
    }

    /// Returns how much longer work takes at the upstream now than the service's mean. Its speed in
    /// general is learned from times, so that it does not matter whether a report of the usual value
    /// means the usual speed of this upstream or of all.
    pub(super) fn slowdown(&self, now: Instant) -> f64 {
        let present = self.reported_slowdown.map_or(1.0, |(at, slowdown)| {
            1.0 + (slowdown - 1.0) * remaining(now, at, SLOWDOWN_HALF_LIFE)
        });
        let general = self
            .relative_time
            .map_or(1.0, |(at, time)| 1.0 + (time - 1.0) * remaining(now, at, SPEED_HALF_LIFE));
        present * general
    }

    /// Records a time as a multiple of the service's usual one. It counts for `weight` pauses.
    pub(super) fn record_relative_time(&mut self, now: Instant, relative: f64, weight: f64) {
        let (min, max) = RELATIVE_TIME_RANGE;
        if relative.is_finite() {
            self.relative_times.add(now, relative.clamp(min, max), weight);
            self.relative_time = Some((now, self.relative_times.value(now)));
        }
    }

    /// Returns the current penalty for errors and slow events, in units of load.
    pub(super) fn penalty(&self, now: Instant) -> f64 {
        self.penalty_at.map_or(0.0, |at| self.penalty * remaining(now, at, PENALTY_HALF_LIFE))
    }

    /// Returns whether the upstream keeps its objects.
    pub(super) fn keeps_affinity(&self, now: Instant, mean_load: f64) -> bool {
        self.load(now, mean_load) < AFFINITY_LOAD_MAX && self.has_sound_cache(now)
    }

    /// Returns whether the upstream's cache can be counted on: an upstream in trouble may have started
    /// again.
    pub(super) fn has_sound_cache(&self, now: Instant) -> bool {
        self.penalty < AFFINITY_PENALTY_MAX || self.penalty(now) < AFFINITY_PENALTY_MAX
    }

    /// Records a pause between events that was much longer than typical for the service.
    pub(super) fn record_slow_event(&mut self, now: Instant) {
        self.add_penalty(now, SLOW_EVENT_PENALTY);
    }

    fn add_penalty(&mut self, now: Instant, weight: f64) {
        self.penalty = (self.penalty(now) + weight).min(PENALTY_MAX);
        self.penalty_at = Some(now);
    }

    pub(super) fn record_sent(&mut self) {
        self.local_requests += 1;
    }

    pub(super) fn record_end(&mut self, now: Instant, outcome: Outcome) {
        self.local_requests = self.local_requests.saturating_sub(1);
        match outcome {
            Outcome::Done => {
                self.consecutive_failures = 0;
                self.next_ejection = EJECTION_MIN;
            }
            Outcome::Errored => self.add_penalty(now, ERROR_PENALTY),
            Outcome::Full => {
                // A full upstream has no free slots, so other hosts use all that this host does not.
                let slots = f64::from(self.record.slots);
                self.remote_requests =
                    self.remote_requests.max(slots - f64::from(self.local_requests));
                self.reported_at = Some(now);
                self.average_load(FULL_LOAD);
            }
            Outcome::Failed => self.record_failure(now),
            Outcome::Misdirected => self.eject(now),
        }
    }

    /// Records that the upstream was unreachable or closed the connection before its answer was
    /// complete.
    pub(super) fn record_failure(&mut self, now: Instant) {
        self.add_penalty(now, FAILURE_PENALTY);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_MAX {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Instant) {
        self.ejected_until = Some(now + self.next_ejection);
        self.next_ejection = (self.next_ejection * 2).min(EJECTION_MAX);
        self.consecutive_failures = 0;
    }

    pub(super) fn record_load(&mut self, now: Instant, load: LoadReport) {
        if (1..=SLOTS_MAX).contains(&load.slots) {
            self.record.slots = load.slots;
        }
        let total_max = self.record.slots.saturating_mul(REPORTED_LOAD_MAX);
        let total = load.running.saturating_add(load.waiting).min(total_max);
        self.remote_requests = f64::from(total.saturating_sub(self.local_requests));
        self.reported_at = Some(now);
        if let Some(slowdown) = load.slowdown.filter(|slowdown| slowdown.is_finite()) {
            let (min, max) = SLOWDOWN_RANGE;
            let slowdown = slowdown.clamp(min, max);
            let mean = self.mean_slowdown.value(now);
            self.reported_slowdown = Some((now, slowdown / mean));
            self.mean_slowdown.add(now, slowdown, 1.0);
        }
        self.average_load(f64::from(total) / f64::from(self.record.slots));
    }

    fn average_load(&mut self, load: f64) {
        let before = self.reported_load.unwrap_or(load);
        self.reported_load = Some(before + (load - before) * REPORT_WEIGHT);
    }

    /// Returns the average of the load that was reported lately.
    pub(super) fn reported_load(&self, now: Instant) -> Option<f64> {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < REPORTED_LOAD_TTL;
        self.reported_load.filter(|_| self.reported_at.is_some_and(is_fresh))
    }
}
