//! What a host knows of one upstream.

use {
    crate::ids::{DomainId, Incarnation, ServiceId, UpstreamId},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Share of an upstream's slots up to which a line of turns stays with it: beyond that, waiting
/// costs more than reading the prompt again (13,000 tokens take 40 ms, a queued turn some 200 ms).
const STICKY_LOAD_MAX: f64 = 0.9;
/// Failures in a row after which an upstream gets no work for a while.
const FAILURES_MAX: u32 = 3;
/// How long the first ejection lasts; each further one lasts twice as long.
const EJECTION: Duration = Duration::from_millis(500);
/// The longest ejection: a restarted process is back after a few seconds.
const EJECTION_MAX: Duration = Duration::from_secs(4);
/// What one error adds to an upstream's trouble score. It keeps work away as a quarter of the slots would:
/// tools answer some requests with errors of their own.
const ERROR_WEIGHT: f64 = 0.25;
/// What one broken answer or failed connection adds: as much as a full upstream's load. A call that may not be
/// repeated ends with the next one, and many hosts that each wait for some failures lose a call for each.
const FAILURE_WEIGHT: f64 = 1.0;
/// What one pause between events adds that is far longer than the service's others. A turn has some ten.
const SLOW_EVENT_WEIGHT: f64 = 0.1;
/// The highest trouble score: that of a full upstream.
const TROUBLE_MAX: f64 = 1.0;
/// Time in which half of a trouble score is forgiven.
const TROUBLE_HALF_LIFE_S: f64 = 2.0;
/// Trouble score above which lines of turns leave an upstream: a few slow events, or a part of an error.
const TROUBLE_STICKY_MAX: f64 = 0.2;
/// Time in which half of what a report says of other hosts' requests is taken as gone.
const REPORT_HALF_LIFE_S: f64 = 0.4;

/// An upstream as listed by the platform.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct UpstreamRecord {
    /// Its id, one for each start in most cases.
    pub id: UpstreamId,
    /// Its service.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it runs at once. Invariant: above zero.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Which of its starts this is, for those that keep their id.
    pub incarnation: Option<Incarnation>,
}

impl UpstreamRecord {
    /// Returns whether two records are of the same process.
    pub(super) fn is_same_life(&self, other: &Self) -> bool {
        self.service == other.service
            && self.address == other.address
            && self.incarnation == other.incarnation
    }
}

/// Load that an upstream reports of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// How a request at an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It answered, or was cancelled by the caller.
    Done,
    /// It answered with an error of its own.
    Errored,
    /// It refused the request without running it, since it was full.
    Full,
    /// It could not be reached, or its answer broke off.
    Failed,
    /// Another process answers at its address.
    Misdirected,
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) record: UpstreamRecord,
    /// Requests of this host under way.
    own: u32,
    /// Requests of other hosts, by the last report.
    others: f64,
    reported_at: Option<Instant>,
    failures: u32,
    /// What its errors and slow events count for, at `trouble_at`.
    trouble_score: f64,
    trouble_at: Option<Instant>,
    ejected_until: Option<Instant>,
    ejection: Duration,
}

impl Upstream {
    pub(super) fn new(record: UpstreamRecord) -> Self {
        Self {
            record,
            own: 0,
            others: 0.0,
            reported_at: None,
            failures: 0,
            trouble_score: 0.0,
            trouble_at: None,
            ejected_until: None,
            ejection: EJECTION,
        }
    }

    pub(super) fn takes_work(&self, now: Instant) -> bool {
        !self.record.is_leaving && self.ejected_until.is_none_or(|until| until <= now)
    }

    /// Returns requests under way or waiting, in shares of the slots.
    pub(super) fn load(&self, now: Instant) -> f64 {
        let age = self.reported_at.map_or(Duration::ZERO, |at| now.duration_since(at));
        let others = self.others * 0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE_S);
        (f64::from(self.own) + others) / f64::from(self.record.slots)
    }

    /// Returns how much its latest errors and slow events count, as load does. An upstream that answers
    /// at once with errors seems idle, and would draw all work.
    pub(super) fn trouble_score(&self, now: Instant) -> f64 {
        let age = self.trouble_at.map_or(Duration::ZERO, |at| now.duration_since(at));
        self.trouble_score * 0.5_f64.powf(age.as_secs_f64() / TROUBLE_HALF_LIFE_S)
    }

    /// Returns whether lines of turns may stay.
    pub(super) fn keeps_lines(&self, now: Instant) -> bool {
        self.load(now) < STICKY_LOAD_MAX && self.trouble_score(now) < TROUBLE_STICKY_MAX
    }

    /// Notes a pause between two events that was far longer than others of the service.
    pub(super) fn was_slow(&mut self, now: Instant) {
        self.note_trouble(now, SLOW_EVENT_WEIGHT);
    }

    fn note_trouble(&mut self, now: Instant, weight: f64) {
        self.trouble_score = (self.trouble_score(now) + weight).min(TROUBLE_MAX);
        self.trouble_at = Some(now);
    }

    pub(super) fn started(&mut self) {
        self.own += 1;
    }

    pub(super) fn ended(&mut self, now: Instant, outcome: Outcome) {
        self.own = self.own.saturating_sub(1);
        match outcome {
            Outcome::Done => {
                self.failures = 0;
                self.ejection = EJECTION;
            }
            Outcome::Errored => self.note_trouble(now, ERROR_WEIGHT),
            Outcome::Full => {
                let slots = f64::from(self.record.slots);
                self.others = self.others.max(slots - f64::from(self.own));
                self.reported_at = Some(now);
            }
            Outcome::Failed => self.failed(now),
            Outcome::Misdirected => self.eject(now),
        }
    }

    /// Notes that it could not be reached, or broke an answer off.
    pub(super) fn failed(&mut self, now: Instant) {
        self.note_trouble(now, FAILURE_WEIGHT);
        self.failures += 1;
        if self.failures >= FAILURES_MAX {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Instant) {
        self.ejected_until = Some(now + self.ejection);
        self.ejection = (self.ejection * 2).min(EJECTION_MAX);
        self.failures = 0;
    }

    pub(super) fn reported(&mut self, now: Instant, load: Load) {
        let total = load.running.saturating_add(load.waiting);
        self.others = f64::from(total.saturating_sub(self.own));
        self.reported_at = Some(now);
        if load.slots > 0 {
            self.record.slots = load.slots;
        }
    }
}
