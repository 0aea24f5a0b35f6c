//! Taking requests in, and giving up on those that can't be served in time.

use {
    super::{Dispatcher, Lane, Waiting},
    crate::{
        event::Kind,
        sched::{
            AdoptedSlot, Command, Note, SlotRequest, Waiter,
            suspects::Suspicion,
            upstream::{Position, UpstreamKey, WaitKey},
        },
        verdict::{Reason, Refusal},
    },
    std::time::{Duration, Instant},
};

/// The longest a request is held while no upstream is available.
const MAX_PARKED: Duration = Duration::from_secs(5);
/// When to come back where no upstream is known at all.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(5);
/// The least time after which a request that was given up on may come back.
const GIVE_UP_RETRY: Duration = Duration::from_secs(1);
/// The mean time after which a retry beyond the budget may come back.
const RETRY_SPREAD: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Refuses a request or lets it wait; grants it where there is room.
    pub(super) fn take_in(&mut self, now: Instant, request: SlotRequest, waiter: Waiter) {
        if let Some(&former) = self.by_waiter.get(&waiter) {
            self.remove_waiting(former);
        }
        let suspicion = self.suspects.check(now, request.fingerprint);
        if let Some(refusal) = self.refusal_at_once(now, &request, suspicion) {
            self.counts.refused += 1;
            self.out.push(Command::Refuse { waiter, refusal });
            return;
        }
        self.learn_from(now, &request);
        let key = self.admit(now, request, waiter);
        if suspicion == Suspicion::Suspected {
            self.waiting[key].lane = Lane::Suspected;
            self.suspected.insert((self.waiting[key].number, key));
            self.pump_suspected(now);
        } else {
            self.settle(now, key);
            self.give_up_if_late(now, key);
        }
    }

    /// Takes over a slot that another dispatcher granted.
    pub(super) fn take_over(&mut self, now: Instant, adopted: AdoptedSlot) {
        let AdoptedSlot { ticket, upstream, age, request } = adopted;
        let Some(&upstream) = self.by_id.get(&upstream) else {
            return;
        };
        if self.slots.contains_key(&ticket) {
            return;
        }
        let granted = now.checked_sub(age).unwrap_or(now);
        let team = self.teams.index(&request.team);
        self.occupy(granted, ticket, upstream, request, team, 0, false);
    }

    /// Refuses what waits and can't be served within its patience.
    pub(super) fn give_up(&mut self, now: Instant) {
        self.give_up_parked(now);
        let mut late: Vec<WaitKey> = Vec::new();
        for &(_, upstream) in &self.crowded {
            late.extend(self.late_at(now, upstream));
        }
        let parked = self.parked.iter().chain(&self.suspected).map(|&(_, key)| key);
        late.extend(parked.filter(|&key| self.patience_left(now, key).is_zero()));
        for key in late {
            let wait_s = self.expected_wait_s(key);
            self.give_up_on(now, key, wait_s);
        }
    }

    /// Refuses what waits for an upstream to come back, if none will soon.
    fn give_up_parked(&mut self, now: Instant) {
        let parked: Vec<WaitKey> = self.parked.iter().map(|&(_, key)| key).collect();
        for key in parked {
            let refusal = self.refusal_without_upstream(now, &self.waiting[key].request);
            if let Some(refusal) = refusal {
                self.note(Note::new(Kind::CallRefused).about(&self.waiting[key].request.clone()));
                self.refuse(now, key, refusal);
            }
        }
    }

    /// Refuses a waiting request.
    pub(super) fn refuse(&mut self, _now: Instant, key: WaitKey, refusal: Refusal) {
        if let Some(waiting) = self.remove_waiting(key) {
            self.counts.refused += 1;
            self.out.push(Command::Refuse { waiter: waiting.waiter, refusal });
        }
    }

    fn refusal_at_once(
        &mut self,
        now: Instant,
        request: &SlotRequest,
        suspicion: Suspicion,
    ) -> Option<Refusal> {
        if let Suspicion::Quarantined(left) = suspicion {
            self.note(Note::new(Kind::Quarantined).about(request));
            return Some(quarantined(left));
        }
        if !self.retries.admit(&request.request) {
            let after = RETRY_SPREAD.mul_f64(0.5 + self.draw());
            let detail = "too many retries at present";
            return Some(Refusal::not_run(Reason::Overloaded, detail).retry_after(after));
        }
        self.refusal_without_upstream(now, request).or_else(|| self.shed(now, request))
    }

    fn refusal_without_upstream(&self, now: Instant, request: &SlotRequest) -> Option<Refusal> {
        let model = request.model.as_deref();
        let serving = self
            .upstreams
            .values()
            .filter(|up| up.is_listed && !up.view.is_leaving && up.serves(model));
        // Without failures the first upstream decides.
        let mut soonest: Option<Duration> = None;
        for upstream in serving {
            let until = upstream.ejected_until?;
            let left = until.saturating_duration_since(now);
            soonest = Some(soonest.map_or(left, |soonest| soonest.min(left)));
        }
        let detail = "no upstream serves this at present";
        let refusal = Refusal::not_run(Reason::NoUpstream, detail);
        match soonest {
            Some(left) if left <= request.patience.min(MAX_PARKED) => None,
            Some(left) => Some(refusal.retry_after(left)),
            None => Some(refusal.retry_after(NO_UPSTREAM_RETRY)),
        }
    }

    /// Refuses a share of the new programs under overload. A child's first call carries the calls
    /// of its parents, so it isn't taken for a new program.
    fn shed(&mut self, now: Instant, request: &SlotRequest) -> Option<Refusal> {
        let program = self.programs.get(&request.program);
        let is_known = program.is_some_and(|program| program.attained_tokens > 0);
        if !self.options.is_shedding || request.calls_done > 0 || is_known {
            return None;
        }
        let team = self.teams.index(&request.team);
        let relative_use = self.teams.relative_use(self.now_s(now), team);
        let draw = self.draw();
        let after = self.shedding.refuses(relative_use, draw)?;
        self.counts.shed += 1;
        let pressure = self.shedding.pressure();
        self.note(Note::new(Kind::Shed).about(request).with("pressure", pressure));
        let detail = "new programs are refused until those under way are near their targets";
        Some(Refusal::not_run(Reason::Overloaded, detail).retry_after(after))
    }

    fn learn_from(&mut self, now: Instant, request: &SlotRequest) {
        self.estimates.saw_request(&request.class, request.calls_done);
        let paused_at = self.programs.touch(now, &request.program).paused_at.take();
        if let Some(paused_at) = paused_at {
            self.estimates.saw_pause(&request.class, now.duration_since(paused_at));
        }
    }

    fn admit(&mut self, now: Instant, request: SlotRequest, waiter: Waiter) -> WaitKey {
        let team = self.teams.index(&request.team);
        let rank = self.rank(now, &request);
        let number = self.next_number;
        self.next_number += 1;
        let lane = Lane::Parked;
        let waiting = Waiting { waiter, request, team, came: now, number, rank, lane };
        let key = self.waiting.insert(waiting);
        self.by_waiter.insert(waiter, key);
        self.teams.enqueue(team);
        key
    }

    /// Refuses a request at once if its turn will come after its patience has ended.
    fn give_up_if_late(&mut self, now: Instant, key: WaitKey) {
        let Some(waiting) = self.waiting.get(key) else {
            return;
        };
        let Lane::Upstream(upstream) = waiting.lane else {
            return;
        };
        let patience_s = waiting.request.patience.as_secs_f64();
        if self.upstreams[upstream].expected_wait_s() <= patience_s {
            return;
        }
        let wait_s = self.expected_wait_s(key);
        if wait_s > patience_s {
            self.give_up_on(now, key, wait_s);
        }
    }

    fn give_up_on(&mut self, now: Instant, key: WaitKey, wait_s: f64) {
        let Some(waiting) = self.waiting.get(key) else {
            return;
        };
        let left_s = self.patience_left(now, key).as_secs_f64();
        let excess = Duration::from_secs_f64((wait_s - left_s).clamp(0.0, 600.0));
        let note = Note::new(Kind::CallRefused).about(&waiting.request);
        self.note(note.with("expected_wait_s", wait_s));
        let after = excess.max(GIVE_UP_RETRY).mul_f64(0.75 + 0.5 * self.draw());
        let detail = "the call would wait longer than its home waits";
        self.refuse(now, key, Refusal::not_run(Reason::Overloaded, detail).retry_after(after));
    }

    fn late_at(&self, now: Instant, upstream: UpstreamKey) -> Vec<WaitKey> {
        let upstream = &self.upstreams[upstream];
        let mut queue: Vec<Position> = upstream.queue.values().flatten().copied().collect();
        queue.sort_unstable();
        let waits = queue.iter().enumerate();
        let late = waits.filter(|(ahead, (_, _, key))| {
            let left_s = self.patience_left(now, *key).as_secs_f64();
            left_s <= 0.0 || (*ahead > 0 && upstream.wait_behind_s(*ahead) > left_s)
        });
        late.map(|(_, &(_, _, key))| key).collect()
    }

    fn patience_left(&self, now: Instant, key: WaitKey) -> Duration {
        let waiting = &self.waiting[key];
        waiting.request.patience.saturating_sub(now.duration_since(waiting.came))
    }

    /// Time until a waiting request's turn, from its place in its queue.
    fn expected_wait_s(&self, key: WaitKey) -> f64 {
        let waiting = &self.waiting[key];
        let Lane::Upstream(upstream) = waiting.lane else {
            return MAX_PARKED.as_secs_f64();
        };
        let upstream = &self.upstreams[upstream];
        let own: Position = (waiting.rank, waiting.number, key);
        let ahead = upstream.queue.values().flatten().filter(|&&other| other < own).count();
        upstream.wait_behind_s(ahead)
    }
}

/// The refusal of a quarantined request.
pub(super) fn quarantined(left: Duration) -> Refusal {
    let detail = "upstreams broke while they ran this request; it is kept from them for a time";
    Refusal::not_run(Reason::Quarantined, detail).retry_after(left)
}
