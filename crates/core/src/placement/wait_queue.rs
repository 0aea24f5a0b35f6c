//! Queues requests at a host while all upstreams of a service are full.
//!
//! Load pattern: some upstreams of a small service are removed. The remaining ones have enough
//! capacity on average, but are full for short times. A refusal at such a time ends a program that
//! has done most of its work. Upstreams do not prioritize requests, so hosts queue them, and requests
//! of active programs may wait longer than others. Under sustained overload the wait of the oldest
//! request grows until new requests are refused immediately.
//!
//! The oldest request is first, but requests of programs that are about to end have a head start over
//! others, and first turns have none: a program that misses its target by one call has wasted all its
//! work, and one that has not begun has wasted none. Head starts are shorter than the waits of the
//! programs under way, so that these are not starved by each other.

use {
    crate::{ids::ServiceId, wait},
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Maximum wait of a request that does not belong to an active program: about the time that a plain
/// service takes for one request.
const DEFAULT_WAIT_MAX: Duration = Duration::from_millis(150);
/// A new request is queued only if the first one is ahead of it by at most this fraction of the new
/// request's own maximum wait. The oldest request waits longer than most, because a free slot goes
/// to whichever host sends a request first. Above this value, most requests refused under sustained
/// overload are first held for their maximum wait.
const OLDEST_WAIT_FRACTION_MAX: f64 = 0.8;
/// Time left until a program's target below which it is about to end, or late. Its request can't wait
/// for its maximum wait without missing the target.
const ABOUT_TO_END: Duration = wait::ACTIVE_PROGRAM_WAIT_MAX;
/// Head start of requests over first turns. Shorter than [`DEFAULT_WAIT_MAX`], so that a first turn gets
/// its turn before its wait is over.
const HEAD_START: Duration = Duration::from_millis(100);
/// Head start of programs that are about to end over first turns. Leaves other programs more than half
/// of their maximum wait to get their turn.
const ABOUT_TO_END_HEAD_START: Duration = Duration::from_millis(300);
/// First delay before the next attempt. Doubles with each refusal.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);
/// Minimum factor that jitter applies to a delay. The maximum is 1.0 higher: factors range from 0.5
/// to 1.5.
const JITTER_FACTOR_MIN: f64 = 0.5;
/// Maximum delay before the next attempt. With a longer delay, other hosts would take the freed
/// slots.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(160);

/// How much is lost if a request waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Belongs to a program that is about to end.
    AboutToEnd,
    /// Belongs to another active program.
    ActiveProgram,
    /// Belongs to no program, or to one of which nothing is known.
    NoProgram,
    /// The first turn of a program.
    FirstTurn,
}

impl Urgency {
    /// Returns the urgency of a request of an active program, by the time left until its target.
    pub fn of_active_program(time_left: Option<Duration>) -> Self {
        match time_left {
            Some(time_left) if time_left < ABOUT_TO_END => Self::AboutToEnd,
            _ => Self::ActiveProgram,
        }
    }

    fn wait_max(self) -> Duration {
        match self {
            Self::AboutToEnd | Self::ActiveProgram => wait::ACTIVE_PROGRAM_WAIT_MAX,
            Self::NoProgram | Self::FirstTurn => DEFAULT_WAIT_MAX,
        }
    }

    /// Returns by how much later than a request with the greatest head start one counts as begun.
    fn handicap(self) -> Duration {
        match self {
            Self::AboutToEnd => Duration::ZERO,
            Self::ActiveProgram | Self::NoProgram => ABOUT_TO_END_HEAD_START - HEAD_START,
            Self::FirstTurn => ABOUT_TO_END_HEAD_START,
        }
    }
}

/// The wait of one request. It covers all refusals of the request.
#[derive(Clone, Copy, Debug)]
pub struct QueueWait {
    position: QueuePosition,
    started_at: Instant,
    expires_at: Instant,
    retry_delay: Duration,
}

/// Orders requests by the start of their waits and their head starts. Ties are broken by the sequence
/// number.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePosition {
    /// Start of the wait, later by the handicap of the request's urgency.
    counts_from: Instant,
    sequence: u64,
}

impl QueuePosition {
    fn new(started_at: Instant, urgency: Urgency, sequence: u64) -> Self {
        Self { counts_from: started_at + urgency.handicap(), sequence }
    }
}

/// A request in a queue.
#[derive(Debug)]
struct QueuedRequest<W> {
    started_at: Instant,
    waker: W,
}

impl QueueWait {
    /// Returns when to try the upstreams again if the request is not woken earlier. Returns `None`
    /// when the wait is over, or when less than half of the minimum delay remains. `jitter` is a
    /// random number from 0 to 1 that desynchronizes hosts.
    pub fn next_attempt(&mut self, now: Instant, jitter: f64) -> Option<Instant> {
        let remaining = self.expires_at.saturating_duration_since(now);
        if remaining < RETRY_DELAY_MIN / 2 {
            return None;
        }
        let retry_delay = self.retry_delay.mul_f64(JITTER_FACTOR_MIN + jitter);
        self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAY_MAX);
        Some(now + retry_delay.min(remaining))
    }
}

/// The requests that wait at this host, by service. `W` is the waker of a request.
#[derive(Debug)]
pub struct WaitQueues<W> {
    /// Invariant: contains no empty queues.
    queues: HashMap<ServiceId, BTreeMap<QueuePosition, QueuedRequest<W>>>,
    last_sequence: u64,
}

impl<W> Default for WaitQueues<W> {
    fn default() -> Self {
        Self { queues: HashMap::new(), last_sequence: 0 }
    }
}

impl<W> WaitQueues<W> {
    /// Starts the wait of a request. [`Self::enqueue`] adds it to a queue.
    pub fn begin_wait(&mut self, now: Instant, deadline: Instant, urgency: Urgency) -> QueueWait {
        self.last_sequence += 1;
        let position = QueuePosition::new(now, urgency, self.last_sequence);
        let expires_at = wait::expires_at(now, deadline, urgency.wait_max());
        QueueWait { position, started_at: now, expires_at, retry_delay: RETRY_DELAY_MIN }
    }

    /// Returns whether requests wait for a service, so that a new one must queue behind them.
    pub fn has_waiting(&self, service: &str) -> bool {
        self.queues.contains_key(service)
    }

    /// Returns whether a request is behind a queued one of its service. A request without a wait would
    /// begin it now.
    pub fn is_behind_others(
        &self,
        now: Instant,
        service: &str,
        urgency: Urgency,
        wait: Option<&QueueWait>,
    ) -> bool {
        let position =
            wait.map_or(QueuePosition::new(now, urgency, u64::MAX), |wait| wait.position);
        self.first_position(service).is_some_and(|first| first < position)
    }

    /// Returns how long the oldest queued request of a service has waited.
    pub fn oldest_wait(&self, now: Instant, service: &str) -> Duration {
        let queued = self.queues.get(service).into_iter().flat_map(BTreeMap::values);
        let oldest = queued.map(|queued| queued.started_at).min();
        oldest.map_or(Duration::ZERO, |oldest| now.saturating_duration_since(oldest))
    }

    /// Returns whether the queue is short enough for a new request to be tried before its wait is over.
    /// The first one in the queue has waited for long, and is far ahead of it, if the queue is not.
    pub fn admits(&self, service: &str, wait: &QueueWait) -> bool {
        let first = self.queues.get(service).and_then(|queue| queue.first_key_value());
        let Some((first, queued)) = first else { return true };
        let ahead = wait.position.counts_from.saturating_duration_since(first.counts_from);
        // A head start alone does not make the queue long.
        let ahead = ahead.min(wait.started_at.saturating_duration_since(queued.started_at));
        let max = wait.expires_at.saturating_duration_since(wait.started_at);
        ahead <= max.mul_f64(OLDEST_WAIT_FRACTION_MAX)
    }

    fn first_position(&self, service: &str) -> Option<QueuePosition> {
        Some(*self.queues.get(service)?.first_key_value()?.0)
    }

    /// Adds a request to the queue, for the first time or after another refusal.
    pub fn enqueue(&mut self, service: &ServiceId, wait: &QueueWait, waker: W) {
        let queued = QueuedRequest { started_at: wait.started_at, waker };
        self.queues.entry(service.clone()).or_default().insert(wait.position, queued);
    }

    /// Removes a request from the queue, before its next attempt or because its caller has
    /// disconnected.
    pub fn dequeue(&mut self, service: &str, wait: &QueueWait) {
        let Some(queue) = self.queues.get_mut(service) else { return };
        queue.remove(&wait.position);
        if queue.is_empty() {
            self.queues.remove(service);
        }
    }

    /// Returns the waker of the first request of a service, which gets the next free slot.
    pub fn front_waker(&self, service: &str) -> Option<&W> {
        self.queues.get(service)?.first_key_value().map(|(_, queued)| &queued.waker)
    }

    /// Returns the wakers of all requests, for when other upstreams can be used than before.
    pub fn wakers(&self) -> impl Iterator<Item = &W> {
        self.queues.values().flat_map(BTreeMap::values).map(|queued| &queued.waker)
    }
}

#[cfg(test)]
mod tests;
