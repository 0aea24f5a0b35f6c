//! Queues requests at a host while all upstreams of a service are full.
//!
//! Load pattern: some upstreams of a small service are removed. The remaining ones have enough
//! capacity on average, but are full for short times. A refusal at such a time ends a program that
//! has done most of its work. Upstreams do not prioritize requests, so hosts queue them, oldest
//! first, and requests of active programs may wait longer than others. Under sustained overload the
//! wait of the oldest request grows until new requests are refused immediately.

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
/// A new request is queued only if the oldest one has waited at most this fraction of the new
/// request's own maximum wait. The oldest request waits longer than most, because a free slot goes
/// to whichever host sends a request first. Above this value, most requests refused under sustained
/// overload are first held for their maximum wait.
const OLDEST_WAIT_FRACTION_MAX: f64 = 0.8;
/// First delay before the next attempt. Doubles with each refusal.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);
/// Minimum factor that jitter applies to a delay. The maximum is 1.0 higher: factors range from 0.5
/// to 1.5.
const JITTER_FACTOR_MIN: f64 = 0.5;
/// Maximum delay before the next attempt. With a longer delay, other hosts would take the freed
/// slots.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(160);

/// The wait of one request. It covers all refusals of the request.
#[derive(Clone, Copy, Debug)]
pub struct QueueWait {
    position: QueuePosition,
    expires_at: Instant,
    retry_delay: Duration,
}

/// Orders requests by the start of their waits. Ties are broken by the sequence number.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePosition {
    started_at: Instant,
    sequence: u64,
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
    queues: HashMap<ServiceId, BTreeMap<QueuePosition, W>>,
    last_sequence: u64,
}

impl<W> Default for WaitQueues<W> {
    fn default() -> Self {
        Self { queues: HashMap::new(), last_sequence: 0 }
    }
}

impl<W> WaitQueues<W> {
    /// Starts the wait of a request. [`Self::enqueue`] adds it to a queue.
    pub fn begin_wait(
        &mut self,
        now: Instant,
        deadline: Instant,
        in_active_program: bool,
    ) -> QueueWait {
        let max = if in_active_program { wait::ACTIVE_PROGRAM_WAIT_MAX } else { DEFAULT_WAIT_MAX };
        self.last_sequence += 1;
        let position = QueuePosition { started_at: now, sequence: self.last_sequence };
        let expires_at = wait::expires_at(now, deadline, max);
        QueueWait { position, expires_at, retry_delay: RETRY_DELAY_MIN }
    }

    /// Returns whether requests wait for a service, so that a new one must queue behind them.
    pub fn has_waiting(&self, service: &str) -> bool {
        self.queues.contains_key(service)
    }

    /// Returns whether an older request than the one with this wait is queued for a service.
    pub fn has_older(&self, service: &str, wait: Option<&QueueWait>) -> bool {
        let oldest = self.queues.get(service).and_then(|queue| queue.first_key_value());
        oldest.is_some_and(|(oldest, _)| wait.is_none_or(|wait| *oldest < wait.position))
    }

    /// Returns how long the oldest queued request of a service has waited.
    pub fn oldest_wait(&self, now: Instant, service: &str) -> Duration {
        let oldest = self.queues.get(service).and_then(|queue| queue.first_key_value());
        oldest.map_or(Duration::ZERO, |(position, _)| {
            now.saturating_duration_since(position.started_at)
        })
    }

    /// Returns whether the queue is short enough for a new request to be tried before its wait is
    /// over.
    pub fn admits(&self, now: Instant, service: &str, wait: &QueueWait) -> bool {
        self.oldest_wait(now, service)
            <= wait.expires_at.saturating_duration_since(now).mul_f64(OLDEST_WAIT_FRACTION_MAX)
    }

    /// Adds a request to the queue, for the first time or after another refusal.
    pub fn enqueue(&mut self, service: &ServiceId, wait: &QueueWait, waker: W) {
        self.queues.entry(service.clone()).or_default().insert(wait.position, waker);
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

    /// Returns the waker of the oldest request of a service, which gets the next free slot.
    pub fn front_waker(&self, service: &str) -> Option<&W> {
        self.queues.get(service)?.first_key_value().map(|(_, waker)| waker)
    }

    /// Returns the wakers of all requests, for when other upstreams can be used than before.
    pub fn wakers(&self) -> impl Iterator<Item = &W> {
        self.queues.values().flat_map(BTreeMap::values)
    }
}

#[cfg(test)]
mod tests;
