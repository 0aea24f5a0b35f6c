//! Queues requests at a host while all upstreams of a service are full.
//!
//! Load pattern: some upstreams of a small service are removed. The remaining ones keep up with the
//! work on average, but are full for short times. A refusal at such a time ends a program that has
//! done most of its work. Upstreams have no priorities, so requests wait at the host, the oldest
//! first, and requests of active programs may wait longer than others. Under sustained overload the
//! oldest wait grows until further requests are refused immediately.

use {
    crate::{ids::ServiceId, wait},
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Maximum wait of a request that belongs to no active program: about the time that a plain service
/// takes for one request.
const OTHER_WAIT_MAX: Duration = Duration::from_millis(150);
/// A new request may queue only if the oldest one has waited at most this fraction of the new
/// request's own maximum wait. The oldest one waits longer than most, because a free slot goes to
/// the first host that sends a request. With a larger fraction, most requests that are refused
/// under sustained overload would be held for their maximum wait first.
const OLDEST_WAIT_SHARE_MAX: f64 = 0.8;
/// First pause before the next attempt. Doubles with each refusal.
const PAUSE_MIN: Duration = Duration::from_millis(20);
/// Minimum factor that jitter applies to a pause; the maximum is one more.
const JITTER_MIN: f64 = 0.5;
/// Maximum pause. In a longer one, requests of other hosts would take the slots that become free.
const PAUSE_MAX: Duration = Duration::from_millis(160);

/// The wait of one request, across all its refusals.
#[derive(Clone, Copy, Debug)]
pub struct QueueWait {
    position: QueuePosition,
    expires_at: Instant,
    pause: Duration,
}

/// Orders requests by the start of their waits.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePosition {
    started_at: Instant,
    number: u64,
}

impl QueueWait {
    /// Returns when to try the upstreams again, unless the request is woken earlier. Returns `None`
    /// when the wait is over. `draw` is a random number from 0 to 1 that desynchronizes hosts.
    pub fn next_attempt(&mut self, now: Instant, draw: f64) -> Option<Instant> {
        let left = self.expires_at.saturating_duration_since(now);
        if left < PAUSE_MIN / 2 {
            return None;
        }
        let pause = self.pause.mul_f64(JITTER_MIN + draw);
        self.pause = (self.pause * 2).min(PAUSE_MAX);
        Some(now + pause.min(left))
    }
}

/// The requests that wait at this host, by service. `W` wakes one of them.
#[derive(Debug)]
pub struct WaitQueues<W> {
    /// Invariant: contains no empty queues.
    queues: HashMap<ServiceId, BTreeMap<QueuePosition, W>>,
    wait_count: u64,
}

impl<W> Default for WaitQueues<W> {
    fn default() -> Self {
        Self { queues: HashMap::new(), wait_count: 0 }
    }
}

impl<W> WaitQueues<W> {
    /// Starts the wait of a request. The request is not queued yet.
    pub fn begin_wait(
        &mut self,
        now: Instant,
        deadline: Instant,
        is_of_active_program: bool,
    ) -> QueueWait {
        let max = if is_of_active_program { wait::ACTIVE_PROGRAM_WAIT_MAX } else { OTHER_WAIT_MAX };
        self.wait_count += 1;
        let position = QueuePosition { started_at: now, number: self.wait_count };
        let expires_at = wait::expires_at(now, deadline, max);
        QueueWait { position, expires_at, pause: PAUSE_MIN }
    }

    /// Returns whether requests wait for a service, so that a new one must queue behind them.
    pub fn has_waiting(&self, service: &str) -> bool {
        self.queues.contains_key(service)
    }

    /// Returns how long the oldest queued request of a service has waited.
    pub fn oldest_wait(&self, now: Instant, service: &str) -> Duration {
        let oldest = self.queues.get(service).and_then(|queue| queue.first_key_value());
        oldest.map_or(Duration::ZERO, |(position, _)| {
            now.saturating_duration_since(position.started_at)
        })
    }

    /// Returns whether a new request can expect an attempt before its wait is over.
    pub fn may_wait(&self, now: Instant, service: &str, wait: &QueueWait) -> bool {
        self.oldest_wait(now, service)
            <= wait.expires_at.saturating_duration_since(now).mul_f64(OLDEST_WAIT_SHARE_MAX)
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

    /// Returns the waker of the oldest request, which gets the next free slot.
    pub fn front(&self, service: &str) -> Option<&W> {
        self.queues.get(service)?.first_key_value().map(|(_, waker)| waker)
    }
}

#[cfg(test)]
mod tests;
