//! Admission of requests, and refusal of those that can't be served in time.

use {
    super::{Dispatcher, WaitQueue, WaitingRequest},
    crate::{
        event::Kind,
        sched::{
            AdoptedSlot, Command, LogEvent, SlotRequest, WaiterId,
            suspects::Suspicion,
            upstream::{Position, UpstreamKey, WaitKey},
        },
        verdict::{Reason, Refusal},
    },
    std::time::{Duration, Instant},
};

/// Maximum time that a request waits while no upstream is available; also its expected wait then.
const MAX_PARKED_TIME: Duration = Duration::from_secs(5);
/// Retry delay of a request that no listed upstream serves.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(5);
/// Minimum retry delay, before jitter, of a request that would have to wait too long.
const MIN_OVERLOAD_RETRY: Duration = Duration::from_secs(1);
/// Mean delay before the next attempt when the retry budget is exhausted.
const MEAN_RETRY_DELAY: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Refuses or queues a request. Grants it a slot at once if an upstream has room.
    pub(super) fn handle_request(&mut self, now: Instant, request: SlotRequest, waiter: WaiterId) {
        // A repeated request replaces the previous one of the same waiter.
        if let Some(&previous) = self.by_waiter.get(&waiter) {
            self.remove_waiting(previous);
        }
        let suspicion = self.suspects.check(now, request.fingerprint);
        if let Some(refusal) = self.immediate_refusal(now, &request, suspicion) {
            self.counts.refused += 1;
            self.commands.push(Command::Refuse { waiter, refusal });
            return;
        }
        self.update_estimates(now, &request);
        let key = self.add_waiting(now, request, waiter);
        if suspicion == Suspicion::Suspected {
            self.waiting[key].wait_queue = WaitQueue::Suspected;
            self.suspected.insert((self.waiting[key].arrival_seq, key));
            self.grant_to_suspected(now);
        } else {
            self.place_waiting(now, key);
            self.refuse_if_overdue(now, key);
        }
    }

    /// Adds a slot that another dispatcher granted.
    pub(super) fn adopt_slot(&mut self, now: Instant, adopted: AdoptedSlot) {
        let AdoptedSlot { ticket, upstream, age, request } = adopted;
        let Some(&upstream) = self.by_id.get(&upstream) else {
            return;
        };
        if self.slots.contains_key(&ticket) {
            return;
        }
        let granted = now.checked_sub(age).unwrap_or(now);
        let team = self.teams.index_of(&request.team);
        self.add_slot(granted, ticket, upstream, request, team, 0, false);
    }

    /// Refuses waiting requests that can't get a slot within their `max_wait`.
    pub(super) fn refuse_overdue(&mut self, now: Instant) {
        self.refuse_parked(now);
        let mut overdue: Vec<WaitKey> = Vec::new();
        for &(_, upstream) in &self.upstreams_with_queue {
            overdue.extend(self.overdue_requests(now, upstream));
        }
        let parked = self.parked.iter().chain(&self.suspected).map(|&(_, key)| key);
        overdue.extend(parked.filter(|&key| self.remaining_wait(now, key).is_zero()));
        for key in overdue {
            let wait_s = self.expected_wait_s(key);
            self.refuse_overloaded(now, key, wait_s);
        }
    }

    /// Refuses parked requests if no upstream will become available soon.
    fn refuse_parked(&mut self, now: Instant) {
        let parked: Vec<WaitKey> = self.parked.iter().map(|&(_, key)| key).collect();
        for key in parked {
            let refusal = self.no_upstream_refusal(now, &self.waiting[key].request);
            if let Some(refusal) = refusal {
                self.log(
                    LogEvent::new(Kind::CallRefused)
                        .with_request(&self.waiting[key].request.clone()),
                );
                self.refuse(now, key, refusal);
            }
        }
    }

    /// Refuses a waiting request and removes it. Does nothing if it no longer waits.
    pub(super) fn refuse(&mut self, _now: Instant, key: WaitKey, refusal: Refusal) {
        if let Some(waiting) = self.remove_waiting(key) {
            self.counts.refused += 1;
            self.commands.push(Command::Refuse { waiter: waiting.waiter, refusal });
        }
    }

    fn immediate_refusal(
        &mut self,
        now: Instant,
        request: &SlotRequest,
        suspicion: Suspicion,
    ) -> Option<Refusal> {
        if let Suspicion::Quarantined(remaining) = suspicion {
            self.log(LogEvent::new(Kind::Quarantined).with_request(request));
            return Some(quarantine_refusal(remaining));
        }
        if !self.retries.admit(&request.request) {
            let after = MEAN_RETRY_DELAY.mul_f64(0.5 + self.random_fraction());
            let detail = "too many retries at present";
            return Some(Refusal::not_run(Reason::Overloaded, detail).retry_after(after));
        }
        self.no_upstream_refusal(now, request).or_else(|| self.shed(now, request))
    }

    fn no_upstream_refusal(&self, now: Instant, request: &SlotRequest) -> Option<Refusal> {
        let model = request.model.as_deref();
        let serving = self
            .upstreams
            .values()
            .filter(|up| up.is_listed && !up.view.is_leaving && up.serves(model));
        // Stops at the first upstream that is not ejected, usually the first one looked at.
        let mut soonest: Option<Duration> = None;
        for upstream in serving {
            let until = upstream.ejected_until?;
            let remaining = until.saturating_duration_since(now);
            soonest = Some(soonest.map_or(remaining, |soonest| soonest.min(remaining)));
        }
        let detail = "no upstream serves this at present";
        let refusal = Refusal::not_run(Reason::NoUpstream, detail);
        match soonest {
            Some(remaining) if remaining <= request.max_wait.min(MAX_PARKED_TIME) => None,
            Some(remaining) => Some(refusal.retry_after(remaining)),
            None => Some(refusal.retry_after(NO_UPSTREAM_RETRY)),
        }
    }

    /// Refuses a share of the new programs under overload. The first call of a child does not count
    /// as a new program, because its `calls_done` includes the calls of its parents.
    fn shed(&mut self, now: Instant, request: &SlotRequest) -> Option<Refusal> {
        let program = self.programs.get(&request.program);
        let has_run = program.is_some_and(|program| program.attained_tokens > 0);
        if !self.options.is_shedding || request.calls_done > 0 || has_run {
            return None;
        }
        let team = self.teams.index_of(&request.team);
        let relative_usage = self.teams.relative_usage(self.now_s(now), team);
        let draw = self.random_fraction();
        let after = self.shedding.refusal_delay(relative_usage, draw)?;
        self.counts.shed += 1;
        let pressure = self.shedding.pressure();
        self.log(LogEvent::new(Kind::Shed).with_request(request).with_detail("pressure", pressure));
        let detail = "new programs are refused until those under way are near their targets";
        Some(Refusal::not_run(Reason::Overloaded, detail).retry_after(after))
    }

    fn update_estimates(&mut self, now: Instant, request: &SlotRequest) {
        self.estimates.record_request(&request.class, request.calls_done);
        let paused_at = self.programs.touch(now, &request.program).paused_at.take();
        if let Some(paused_at) = paused_at {
            self.estimates.record_pause(&request.class, now.duration_since(paused_at));
        }
    }

    fn add_waiting(&mut self, now: Instant, request: SlotRequest, waiter: WaiterId) -> WaitKey {
        let team = self.teams.index_of(&request.team);
        let rank = self.rank(now, &request);
        let arrival_seq = self.next_arrival_seq;
        self.next_arrival_seq += 1;
        let wait_queue = WaitQueue::Parked;
        let waiting =
            WaitingRequest { waiter, request, team, arrived: now, arrival_seq, rank, wait_queue };
        let key = self.waiting.insert(waiting);
        self.by_waiter.insert(waiter, key);
        self.teams.enqueue(team);
        key
    }

    /// Refuses a request at once if it is expected to wait longer than its `max_wait`.
    fn refuse_if_overdue(&mut self, now: Instant, key: WaitKey) {
        let Some(waiting) = self.waiting.get(key) else {
            return;
        };
        let WaitQueue::Upstream(upstream) = waiting.wait_queue else {
            return;
        };
        let max_wait_s = waiting.request.max_wait.as_secs_f64();
        if self.upstreams[upstream].expected_wait_s() <= max_wait_s {
            return;
        }
        let wait_s = self.expected_wait_s(key);
        if wait_s > max_wait_s {
            self.refuse_overloaded(now, key, wait_s);
        }
    }

    fn refuse_overloaded(&mut self, now: Instant, key: WaitKey, wait_s: f64) {
        let Some(waiting) = self.waiting.get(key) else {
            return;
        };
        let remaining_s = self.remaining_wait(now, key).as_secs_f64();
        // `from_secs_f64` needs a finite value that is not negative; 600 s bounds the retry delay.
        let excess = Duration::from_secs_f64((wait_s - remaining_s).clamp(0.0, 600.0));
        let event = LogEvent::new(Kind::CallRefused).with_request(&waiting.request);
        self.log(event.with_detail("expected_wait_s", wait_s));
        let after = excess.max(MIN_OVERLOAD_RETRY).mul_f64(0.75 + 0.5 * self.random_fraction());
        let detail = "the call would wait longer than its home waits";
        self.refuse(now, key, Refusal::not_run(Reason::Overloaded, detail).retry_after(after));
    }

    /// Returns the queued requests that can't get a slot in time. The first one in the queue is
    /// overdue only once its own `max_wait` is over.
    fn overdue_requests(&self, now: Instant, upstream: UpstreamKey) -> Vec<WaitKey> {
        let upstream = &self.upstreams[upstream];
        let mut queue: Vec<Position> = upstream.queue.values().flatten().copied().collect();
        queue.sort_unstable();
        let indexed = queue.iter().enumerate();
        let overdue = indexed.filter(|(ahead, (_, _, key))| {
            let remaining_s = self.remaining_wait(now, *key).as_secs_f64();
            remaining_s <= 0.0 || (*ahead > 0 && upstream.wait_behind_s(*ahead) > remaining_s)
        });
        overdue.map(|(_, &(_, _, key))| key).collect()
    }

    fn remaining_wait(&self, now: Instant, key: WaitKey) -> Duration {
        let waiting = &self.waiting[key];
        waiting.request.max_wait.saturating_sub(now.duration_since(waiting.arrived))
    }

    /// Returns the expected time until a waiting request gets a slot, from its position in its
    /// queue. A request without an upstream queue is expected to wait for [`MAX_PARKED_TIME`].
    fn expected_wait_s(&self, key: WaitKey) -> f64 {
        let waiting = &self.waiting[key];
        let WaitQueue::Upstream(upstream) = waiting.wait_queue else {
            return MAX_PARKED_TIME.as_secs_f64();
        };
        let upstream = &self.upstreams[upstream];
        let own: Position = (waiting.rank, waiting.arrival_seq, key);
        let ahead = upstream.queue.values().flatten().filter(|&&other| other < own).count();
        upstream.wait_behind_s(ahead)
    }
}

/// Returns the refusal of a quarantined request.
pub(super) fn quarantine_refusal(remaining: Duration) -> Refusal {
    let detail = "upstreams broke while they ran this request; it is kept from them for a time";
    Refusal::not_run(Reason::Quarantined, detail).retry_after(remaining)
}
