//! Chooses the next request for each free slot and grants it.

use {
    super::{Dispatcher, Slot, WaitQueue, WaitingRequest},
    crate::{
        event::Kind,
        sched::{
            Command, LogEvent, SlotGrant, SlotRequest,
            fair::cost_tokens,
            order::{RankInput, rank},
            suspects::Suspicion,
            upstream::{Position, UpstreamKey, WaitKey},
        },
    },
    std::time::Instant,
};

/// One upstream may be reserved for a suspected request per this many listed upstreams, and always
/// at least one.
const UPSTREAMS_PER_RESERVATION: usize = 4;

impl Dispatcher {
    /// Grants slots at an upstream while it can start the next request.
    pub(super) fn grant_slots_at(&mut self, now: Instant, key: UpstreamKey) {
        while let Some(wait) = self.next_waiting(now, key) {
            self.grant(now, wait, key, false);
        }
    }

    /// Grants slots at all upstreams that can start a request.
    pub(super) fn grant_slots_at_all(&mut self, now: Instant) {
        self.grant_to_suspected(now);
        if self.waiting.is_empty() {
            return;
        }
        let keys: Vec<UpstreamKey> = self.upstreams.keys().collect();
        for key in keys {
            self.grant_slots_at(now, key);
        }
    }

    /// Recomputes the rank of every waiting request after targets have changed.
    pub(super) fn rerank(&mut self) {
        let keys: Vec<WaitKey> = self.waiting.keys().collect();
        for key in keys {
            let waiting = &self.waiting[key];
            let (arrived, request) = (waiting.arrived, waiting.request.clone());
            let rank = self.rank(arrived, &request);
            let WaitQueue::Upstream(upstream) = waiting.wait_queue else {
                self.waiting[key].rank = rank;
                continue;
            };
            self.remove_from_queue(key);
            self.waiting[key].rank = rank;
            self.enqueue(key, upstream);
        }
    }

    /// Returns the sort key of a request in the queue. Requests with a lower key are served first.
    pub(super) fn rank(&self, arrived: Instant, request: &SlotRequest) -> i64 {
        let target = self.targets.get(&request.class).copied().unwrap_or(request.target);
        let program = self.programs.get(&request.program);
        let rank_input = RankInput {
            age: request.program_age,
            target,
            remaining: self.estimates.remaining(&request.class, request.calls_done),
            attained_tokens: program.map_or(0, |program| program.attained_tokens),
        };
        let origin = self.first_call_at.unwrap_or(arrived);
        rank(self.options.queue_order, self.options.max_rank_offset, origin, arrived, &rank_input)
    }

    /// Runs suspected requests alone, each on its own upstream.
    pub(super) fn grant_to_suspected(&mut self, now: Instant) {
        let keys: Vec<WaitKey> = self.suspected.iter().map(|&(_, key)| key).collect();
        for key in keys {
            if let Some(waiting) = self.waiting.get(key) {
                let fingerprint = waiting.request.fingerprint;
                self.try_suspected(now, key, fingerprint);
            }
        }
    }

    fn try_suspected(&mut self, now: Instant, key: WaitKey, fingerprint: u64) {
        match self.suspects.check(now, fingerprint) {
            Suspicion::Quarantined(remaining) => self.refuse_quarantined(now, key, remaining),
            Suspicion::Clear => {
                self.unreserve(key);
                self.remove_from_queue(key);
                self.place_waiting(now, key);
            }
            Suspicion::Suspected if self.running_fingerprints.contains_key(&fingerprint) => (),
            Suspicion::Suspected => self.try_alone(now, key),
        }
    }

    fn try_alone(&mut self, now: Instant, key: WaitKey) {
        let reserved = self.upstreams.iter().find(|(_, up)| up.reserved_for == Some(key));
        let Some(upstream) =
            reserved.map(|(upstream, _)| upstream).or_else(|| self.reserve(now, key))
        else {
            return;
        };
        if self.upstreams[upstream].in_flight == 0 {
            self.grant(now, key, upstream, true);
        }
    }

    /// Reserves the least busy upstream for a suspected request, unless too many are reserved
    /// already.
    fn reserve(&mut self, now: Instant, key: WaitKey) -> Option<UpstreamKey> {
        let request = self.waiting[key].request.clone();
        let listed = self.upstreams.values().filter(|up| up.is_listed && !up.view.is_leaving);
        let max_reserved = (listed.count() / UPSTREAMS_PER_RESERVATION).max(1);
        let reserved = self.upstreams.values().filter(|up| up.is_reserved()).count();
        if reserved >= max_reserved {
            return None;
        }
        let candidates = self.upstreams.iter().filter(|(key, _)| self.can_serve(*key, &request));
        let (upstream, _) = candidates.min_by_key(|(key, up)| (up.in_flight, *key))?;
        self.modify_upstream(upstream, |upstream| upstream.reserved_for = Some(key));
        self.requeue_elsewhere(now, upstream);
        Some(upstream)
    }

    /// Releases the upstream that is reserved for a request.
    pub(super) fn unreserve(&mut self, key: WaitKey) {
        let reserved = self.upstreams.iter().find(|(_, up)| up.reserved_for == Some(key));
        if let Some((upstream, _)) = reserved {
            self.modify_upstream(upstream, |upstream| upstream.reserved_for = None);
        }
    }

    /// Chooses the next request for a free slot at an upstream: from its own queue or, if that is
    /// empty, from a longer queue elsewhere. Requests pinned to another upstream are moved there,
    /// and a stolen request is moved to this queue.
    fn next_waiting(&mut self, now: Instant, key: UpstreamKey) -> Option<WaitKey> {
        loop {
            let (_, arrival_seq, wait) = match self.first_queued(key) {
                Some(position) => position,
                None => return self.steal_request(key),
            };
            let waiting = &self.waiting[wait];
            debug_assert_eq!(waiting.arrival_seq, arrival_seq, "a queue names another request");
            let pinned = self.pinned_to(waiting.request.fingerprint);
            if pinned.is_some_and(|upstream| upstream != key) {
                self.remove_from_queue(wait);
                self.place_waiting(now, wait);
                continue;
            }
            let kv_tokens = self.expected_kv_tokens(&self.waiting[wait].request);
            return self.upstreams[key].can_start(kv_tokens).then_some(wait);
        }
    }

    /// Returns the first request in an upstream's queue: the lowest rank among the eligible teams.
    /// If no team is eligible, returns the first request of the team with the lowest virtual time.
    fn first_queued(&self, key: UpstreamKey) -> Option<Position> {
        let queue = &self.upstreams.get(key)?.queue;
        let heads = || queue.iter().filter_map(|(team, set)| Some((*team, *set.first()?)));
        let eligible = heads().filter(|(team, _)| self.teams.is_eligible(*team));
        let first = eligible.min_by_key(|(_, position)| *position);
        let least_served = || heads().min_by_key(|(team, _)| self.teams.virtual_time(*team));
        first.or_else(least_served).map(|(_, position)| position)
    }

    fn steal_request(&mut self, key: UpstreamKey) -> Option<WaitKey> {
        if self.upstreams_with_queue.is_empty() || !self.upstreams.get(key)?.can_start(0) {
            return None;
        }
        let wait = self.find_request_to_steal(key)?;
        self.remove_from_queue(wait);
        self.enqueue(wait, key);
        self.counts.stolen += 1;
        Some(wait)
    }

    fn grant(&mut self, now: Instant, key: WaitKey, upstream: UpstreamKey, is_alone: bool) {
        let Some(waiting) = self.remove_waiting(key) else {
            return;
        };
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.counts.granted += 1;
        let view = &self.upstreams[upstream].view;
        let waited = now.duration_since(waiting.arrived);
        let grant = SlotGrant {
            ticket,
            upstream: view.upstream.clone(),
            address: view.address.clone(),
            waited,
        };
        self.commands.push(Command::Grant { waiter: waiting.waiter, grant });
        let charged_tokens = self.charge_expected(now, &waiting, upstream);
        self.add_slot(
            now,
            ticket,
            upstream,
            waiting.request,
            waiting.team,
            charged_tokens,
            is_alone,
        );
    }

    /// Charges the team the expected cost of the call. The charge is corrected on release.
    fn charge_expected(
        &mut self,
        now: Instant,
        waiting: &WaitingRequest,
        upstream: UpstreamKey,
    ) -> u64 {
        let request = &waiting.request;
        let cached = self.programs.cached(&request.program, upstream).min(request.prompt_tokens);
        let completion_tokens =
            self.expected_kv_tokens(request).saturating_sub(request.prompt_tokens);
        let charged = cost_tokens(request.prompt_tokens - cached, completion_tokens);
        self.teams.charge(self.now_s(now), waiting.team, charged as i64);
        charged
    }

    /// Adds a slot and counts its call at the upstream.
    #[allow(clippy::too_many_arguments)] // One argument for each part of a slot.
    pub(super) fn add_slot(
        &mut self,
        granted: Instant,
        ticket: u64,
        upstream: UpstreamKey,
        request: SlotRequest,
        team: usize,
        charged_tokens: u64,
        is_alone: bool,
    ) {
        let kv_tokens = self.expected_kv_tokens(&request);
        self.modify_upstream(upstream, |upstream| {
            upstream.in_flight += 1;
            upstream.in_flight_tokens += kv_tokens;
            upstream.tickets.insert(ticket);
            upstream.runs_alone |= is_alone;
        });
        self.running_fingerprints.entry(request.fingerprint).or_insert((upstream, 0)).1 += 1;
        self.programs.touch(granted, &request.program).paused_at = None;
        let slot = Slot {
            upstream,
            request,
            team,
            granted,
            kv_tokens,
            charged_tokens,
            is_alone,
            is_crash_counted: false,
        };
        self.slots.insert(ticket, slot);
    }

    /// Removes a slot and frees its capacity at the upstream.
    pub(super) fn remove_slot(&mut self, ticket: u64) -> Option<Slot> {
        let slot = self.slots.remove(&ticket)?;
        self.modify_upstream(slot.upstream, |upstream| {
            upstream.in_flight -= 1;
            upstream.in_flight_tokens -= slot.kv_tokens;
            upstream.tickets.remove(&ticket);
            upstream.runs_alone &= !slot.is_alone;
        });
        if let Some((_, count)) = self.running_fingerprints.get_mut(&slot.request.fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.running_fingerprints.remove(&slot.request.fingerprint);
            }
        }
        Some(slot)
    }

    fn refuse_quarantined(&mut self, now: Instant, key: WaitKey, remaining: std::time::Duration) {
        let request = &self.waiting[key].request;
        self.log(LogEvent::new(Kind::Quarantined).with_request(&request.clone()));
        self.refuse(now, key, super::intake::quarantine_refusal(remaining));
    }
}
