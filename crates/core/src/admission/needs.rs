//! Learns what programs need of the services.
//!
//! Load pattern: programs of several kinds and sizes take turns at models and call tools. Their ends
//! are not announced, and their requests reach different hosts. A host therefore learns ratios, which
//! are the same at all hosts: the requests to each service, and the time that these take without
//! queues, for each second of the targets of the programs that began here. A program's target grows
//! with its size, so the ratios hold for small and large programs.

use {
    crate::ids::ServiceId,
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Half-life of what was learned, in seconds. Kinds of programs change within minutes, and a host may
/// see less than one program a second.
const HALF_LIFE_S: f64 = 30.0;
/// Fraction of its target after which a program counts. Its requests count one by one, and programs take
/// 0.6 to 0.9 of their targets, so about half of the requests have been made then. Ratios are too low in a
/// burst if programs count earlier, and too high at hosts that have seen few programs if they count later.
const COUNTED_AFTER: f64 = 0.42;
/// Maximum target from which something is learned. Programs with later ones count as if they named none: one
/// target of an hour would outweigh those of a thousand programs of seconds.
const LEARNED_TARGET_MAX: Duration = Duration::from_secs(60);
/// Maximum number of programs that do not count yet: two seconds of the programs of all hosts.
const PENDING_MAX: usize = 256;
/// Minimum number of programs from which ratios are used. With 0.7, they were up to 1.6 times too high.
const PROGRAMS_MIN: f64 = 1.5;
/// Number of programs below which ratios are not used any more: a few minutes without one.
const PROGRAMS_FORGOTTEN: f64 = 0.1;
/// Time constant of [`DecayingRate`], in seconds.
const RATE_TIME_S: f64 = 1.0;
/// Smallest weight of a service that is kept.
const REQUESTS_MIN: f64 = 0.01;

/// The needs of programs. All sums decay with [`HALF_LIFE_S`].
#[derive(Debug, Default)]
pub(super) struct ProgramNeeds {
    decayed_at: Option<Instant>,
    /// Whether enough programs have counted once. At first only requests of programs count that do not
    /// count themselves yet, and ratios would be several times too high.
    is_known: bool,
    /// Programs that have begun and do not count yet, by the time at which they will. Invariant: ordered by
    /// that time.
    pending: VecDeque<(Instant, Option<Duration>)>,
    programs: f64,
    /// Sum of the targets of `programs`, as far as they have named one, in seconds.
    targets_s: f64,
    programs_with_target: f64,
    /// Requests of programs to each service. Ordered, so that sums do not depend on the process.
    requests: BTreeMap<ServiceId, f64>,
    /// Sum of the times of requests without the queues, in seconds.
    unqueued_s: f64,
}

impl ProgramNeeds {
    /// Records that a program begins, with the time left until its target.
    pub(super) fn record_begin(&mut self, now: Instant, target: Option<Duration>) {
        self.advance(now);
        let target = target.filter(|target| *target <= LEARNED_TARGET_MAX);
        let counted_at = now + target.unwrap_or(Duration::ZERO).mul_f64(COUNTED_AFTER);
        if self.pending.len() < PENDING_MAX {
            let position = self.pending.partition_point(|(at, _)| *at <= counted_at);
            self.pending.insert(position, (counted_at, target));
        }
    }

    /// Records that a request of a program goes to a service.
    pub(super) fn record_request(&mut self, now: Instant, service: &ServiceId) {
        self.advance(now);
        match self.requests.get_mut(service) {
            Some(count) => *count += 1.0,
            None => {
                self.requests.retain(|_, count| *count > REQUESTS_MIN);
                self.requests.insert(service.clone(), 1.0);
            }
        }
    }

    /// Records the time that a request of a program took, and the part of it that was spent in queues.
    pub(super) fn record_answer(&mut self, now: Instant, took: Duration, queued: Duration) {
        self.advance(now);
        // Queues of single upstreams differ from their mean, so single values may be below zero.
        self.unqueued_s += took.as_secs_f64() - queued.as_secs_f64();
    }

    /// Returns the number of requests of a program, if it is known.
    pub(super) fn requests_per_program(&self) -> Option<f64> {
        let requests: f64 = self.requests.values().sum();
        self.is_known.then(|| (requests / self.programs).max(1.0))
    }

    /// Returns the fraction of its target that a program takes without queues, if it is known.
    pub(super) fn unqueued_share(&self) -> Option<f64> {
        self.has_targets().then(|| {
            let targets_s = self.targets_s * self.programs / self.programs_with_target;
            (self.unqueued_s / targets_s).max(0.0)
        })
    }

    /// Returns the mean target of programs, if it is known.
    pub(super) fn mean_target(&self) -> Option<Duration> {
        self.has_targets()
            .then(|| Duration::from_secs_f64(self.targets_s / self.programs_with_target))
    }

    /// Returns the number of requests of a program to each service, and that of all requests before any
    /// program counts.
    pub(super) fn requests_by_service(&self) -> impl Iterator<Item = (&ServiceId, f64)> {
        let programs = if self.programs > 0.0 { self.programs } else { 1.0 };
        self.requests.iter().map(move |(service, count)| (service, count / programs))
    }

    fn has_targets(&self) -> bool {
        self.is_known && self.programs_with_target >= PROGRAMS_FORGOTTEN
    }

    /// Decays the sums, and counts the programs that are due.
    pub(super) fn advance(&mut self, now: Instant) {
        let elapsed =
            self.decayed_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.decayed_at = Some(now);
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE_S);
        self.programs *= factor;
        self.targets_s *= factor;
        self.programs_with_target *= factor;
        self.unqueued_s *= factor;
        self.requests.values_mut().for_each(|count| *count *= factor);
        while let Some((_, target)) = self.pending.pop_front_if(|(at, _)| *at <= now) {
            self.programs += 1.0;
            if let Some(target) = target {
                self.targets_s += target.as_secs_f64();
                self.programs_with_target += 1.0;
            }
        }
        self.is_known = match self.is_known {
            true => self.programs >= PROGRAMS_FORGOTTEN,
            false => self.programs >= PROGRAMS_MIN.max(self.pending.len() as f64),
        };
    }
}

/// The rate of events in about the last second.
#[derive(Debug, Default)]
pub(super) struct DecayingRate {
    sum: f64,
    at: Option<Instant>,
}

impl DecayingRate {
    pub(super) fn add(&mut self, now: Instant, amount: f64) {
        self.sum = self.per_s(now) * RATE_TIME_S + amount;
        self.at = Some(now);
    }

    pub(super) fn per_s(&self, now: Instant) -> f64 {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.sum * (-age.as_secs_f64() / RATE_TIME_S).exp() / RATE_TIME_S
    }
}
