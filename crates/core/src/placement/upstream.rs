//! State and load estimate of one upstream at this host.

use {
    crate::ids::{DomainId, Incarnation, ServiceId, UpstreamId},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Load up to which a session stays at its upstream. Above it, waiting costs more than reading the
/// prompt again: 13,000 tokens take 40 ms, a queued turn about 200 ms.
const STICKY_LOAD_MAX: f64 = 0.9;
/// Number of consecutive failures after which an upstream is ejected.
const FAILURES_MAX: u32 = 3;
/// Duration of the first ejection. Each further one lasts twice as long.
const EJECTION: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection: a restarted process is available again after a few seconds.
const EJECTION_MAX: Duration = Duration::from_secs(4);
/// Penalty for one error answer. It diverts as much work as a load of a quarter of the slots; it is
/// low because tools answer some requests with their own errors.
const ERROR_PENALTY: f64 = 0.25;
/// Penalty for one broken answer or failed connection, equal to the load of a full upstream. The
/// next failure ends a call that may not be repeated, and if many hosts each waited for several
/// failures, each failure would lose a call.
const FAILURE_PENALTY: f64 = 1.0;
/// Penalty for one slow pause between events. A turn has about ten pauses.
const SLOW_EVENT_PENALTY: f64 = 0.1;
/// Maximum penalty, equal to the load of a full upstream.
const PENALTY_MAX: f64 = 1.0;
/// Half-life of a penalty.
const PENALTY_HALF_LIFE_S: f64 = 2.0;
/// Penalty from which sessions leave an upstream: reached by a few slow events, or by less than one
/// error.
const STICKY_PENALTY_MAX: f64 = 0.2;
/// Half-life of the reported load of other hosts.
const REPORT_HALF_LIFE_S: f64 = 0.4;

/// An upstream as listed by the platform.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct UpstreamRecord {
    /// Id of the upstream. Most upstreams get a new id at each start.
    pub id: UpstreamId,
    /// Service that the upstream belongs to.
    pub service: ServiceId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Maximum number of requests that it runs concurrently. Invariant: above zero.
    pub slots: u32,
    /// Whether it accepts no new work because it is about to stop.
    pub is_leaving: bool,
    /// Incarnation, for upstreams that keep their id across restarts.
    pub incarnation: Option<Incarnation>,
}

impl UpstreamRecord {
    /// Returns whether two records describe the same process.
    pub(super) fn is_same_process(&self, other: &Self) -> bool {
        self.service == other.service
            && self.address == other.address
            && self.incarnation == other.incarnation
    }
}

/// Load that an upstream reports about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
}

/// How a request at an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream answered, or the caller cancelled the request.
    Done,
    /// The upstream answered with an error of its own.
    Errored,
    /// The upstream was full and refused the request without running it.
    Full,
    /// The upstream was unreachable, or its answer broke off.
    Failed,
    /// Another process answered at the upstream's address.
    Misdirected,
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) record: UpstreamRecord,
    /// Requests of this host in flight.
    own_requests: u32,
    /// Requests of other hosts, as of the last report.
    other_requests: f64,
    reported_at: Option<Instant>,
    consecutive_failures: u32,
    /// Sum of the penalties for errors and slow events, as of `penalty_at`.
    penalty: f64,
    penalty_at: Option<Instant>,
    ejected_until: Option<Instant>,
    next_ejection: Duration,
}

impl Upstream {
    pub(super) fn new(record: UpstreamRecord) -> Self {
        Self {
            record,
            own_requests: 0,
            other_requests: 0.0,
            reported_at: None,
            consecutive_failures: 0,
            penalty: 0.0,
            penalty_at: None,
            ejected_until: None,
            next_ejection: EJECTION,
        }
    }

    pub(super) fn accepts_work(&self, now: Instant) -> bool {
        !self.record.is_leaving && self.ejected_until.is_none_or(|until| until <= now)
    }

    /// Returns the estimated number of requests running or waiting, as a fraction of the slots.
    pub(super) fn load(&self, now: Instant) -> f64 {
        let age = self.reported_at.map_or(Duration::ZERO, |at| now.duration_since(at));
        let other_requests =
            self.other_requests * 0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE_S);
        (f64::from(self.own_requests) + other_requests) / f64::from(self.record.slots)
    }

    /// Returns the current penalty for errors and slow events, in units of load. Without it, an
    /// upstream that fails immediately would look idle and attract all work.
    pub(super) fn penalty(&self, now: Instant) -> f64 {
        let age = self.penalty_at.map_or(Duration::ZERO, |at| now.duration_since(at));
        self.penalty * 0.5_f64.powf(age.as_secs_f64() / PENALTY_HALF_LIFE_S)
    }

    /// Returns whether sessions may stay at this upstream.
    pub(super) fn may_keep_sessions(&self, now: Instant) -> bool {
        self.load(now) < STICKY_LOAD_MAX && self.penalty(now) < STICKY_PENALTY_MAX
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
        self.own_requests += 1;
    }

    pub(super) fn record_end(&mut self, now: Instant, outcome: Outcome) {
        self.own_requests = self.own_requests.saturating_sub(1);
        match outcome {
            Outcome::Done => {
                self.consecutive_failures = 0;
                self.next_ejection = EJECTION;
            }
            Outcome::Errored => self.add_penalty(now, ERROR_PENALTY),
            Outcome::Full => {
                let slots = f64::from(self.record.slots);
                self.other_requests = self.other_requests.max(slots - f64::from(self.own_requests));
                self.reported_at = Some(now);
            }
            Outcome::Failed => self.record_failure(now),
            Outcome::Misdirected => self.eject(now),
        }
    }

    /// Records that the upstream was unreachable or broke off an answer.
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

    pub(super) fn record_load(&mut self, now: Instant, load: Load) {
        let total = load.running.saturating_add(load.waiting);
        self.other_requests = f64::from(total.saturating_sub(self.own_requests));
        self.reported_at = Some(now);
        if load.slots > 0 {
            self.record.slots = load.slots;
        }
    }
}
