//! Choice of the upstream that a request waits for, and moves between queues.

use {
    super::{Dispatcher, WaitQueue, WaitingRequest},
    crate::{
        ids::DomainId,
        sched::{
            Placement, SlotRequest,
            fair::TeamIndex,
            upstream::{Position, Upstream, UpstreamKey, WaitKey},
        },
    },
    std::time::Instant,
};

/// Number of least loaded upstreams checked per failure domain. If none of them can serve the
/// request in any domain, all upstreams are checked.
const UPSTREAMS_CHECKED_PER_DOMAIN: usize = 8;
/// Cost of using another failure domain: a few round trips, so that it only breaks ties.
const DOMAIN_COST_S: f64 = 0.004;
/// A prefill delays every call that runs beside it, and its prefix evicts the cached prefixes of
/// other programs. It therefore costs this many times its duration: about the number of calls in a
/// full batch.
const PREFILL_FACTOR: f64 = 16.0;
/// Cost of evicting from a full cache, as a fraction of the mean time of a call.
const EVICTION_FACTOR: f64 = 0.3;
/// Number of upstreams, the most loaded first, searched for a request to steal.
const STEAL_UPSTREAMS_CHECKED: usize = 3;
/// Number of requests checked per queue when stealing.
const STEAL_REQUESTS_CHECKED: usize = 8;
/// Minimum gain of a move, so that requests don't move back and forth.
const MIN_STEAL_GAIN_S: f64 = 0.05;

impl Dispatcher {
    /// Returns the upstream for a request, or `None` if none is available.
    pub(super) fn choose_upstream(&self, request: &SlotRequest) -> Option<UpstreamKey> {
        if let Some(key) = self.pinned_to(request.fingerprint) {
            // The same content is running there. If it crashes upstreams, it must crash only that
            // one.
            return self.can_serve(key, request).then_some(key);
        }
        match self.options.placement {
            Placement::RoundRobin => self.choose_round_robin(request),
            Placement::LeastLoaded => self.choose_least_loaded(request),
            Placement::Sticky => {
                self.largest_holder(request).or_else(|| self.choose_least_loaded(request))
            }
            Placement::LeastDelay => self.choose_least_delay(request),
        }
    }

    /// Returns the upstream that is running a request with this fingerprint, unless the fingerprint
    /// is known to be safe. A safe fingerprint, such as that of a call that many programs make, may
    /// run on any upstream.
    pub(super) fn pinned_to(&self, fingerprint: u64) -> Option<UpstreamKey> {
        let &(key, _) = self.running_fingerprints.get(&fingerprint)?;
        (!self.suspects.is_known_safe(fingerprint)).then_some(key)
    }

    /// Adds a waiting request to the queue of an upstream.
    pub(super) fn enqueue(&mut self, key: WaitKey, upstream: UpstreamKey) {
        let waiting = &mut self.waiting[key];
        waiting.wait_queue = WaitQueue::Upstream(upstream);
        let (team, position) = (waiting.team, (waiting.rank, waiting.arrival_seq, key));
        self.modify_upstream(upstream, |upstream| {
            upstream.queue.entry(team).or_default().insert(position);
            upstream.queued += 1;
        });
    }

    /// Removes a request from its queue. It stays in `waiting`.
    pub(super) fn remove_from_queue(&mut self, key: WaitKey) {
        let Some(waiting) = self.waiting.get(key) else {
            return;
        };
        let (wait_queue, arrival_seq) = (waiting.wait_queue, waiting.arrival_seq);
        let (team, position) = (waiting.team, (waiting.rank, arrival_seq, key));
        match wait_queue {
            WaitQueue::Parked => {
                self.parked.remove(&(arrival_seq, key));
            }
            WaitQueue::Suspected => {
                self.suspected.remove(&(arrival_seq, key));
            }
            WaitQueue::Upstream(upstream) => {
                self.modify_upstream(upstream, |upstream| upstream.remove_queued(team, &position));
            }
        }
    }

    /// Removes a waiting request completely.
    pub(super) fn remove_waiting(&mut self, key: WaitKey) -> Option<WaitingRequest> {
        self.remove_from_queue(key);
        let waiting = self.waiting.remove(key)?;
        self.by_waiter.remove(&waiting.waiter);
        self.teams.dequeue(waiting.team);
        if waiting.wait_queue == WaitQueue::Suspected {
            self.unreserve(key);
        }
        Some(waiting)
    }

    /// Moves all queued requests away from an upstream that can't serve them any more.
    pub(super) fn requeue_elsewhere(&mut self, now: Instant, upstream: UpstreamKey) {
        let queue = &self.upstreams[upstream].queue;
        let mut keys: Vec<Position> = queue.values().flatten().copied().collect();
        keys.sort_unstable();
        for (_, _, key) in keys {
            // Another upstream with a free slot may have stolen the request meanwhile.
            let wait_queue = self.waiting.get(key).map(|waiting| waiting.wait_queue);
            if wait_queue == Some(WaitQueue::Upstream(upstream)) {
                self.remove_from_queue(key);
                self.place_waiting(now, key);
            }
        }
    }

    /// Adds a waiting request that is in no queue to an upstream's queue, or parks it if no
    /// upstream is available.
    pub(super) fn place_waiting(&mut self, now: Instant, key: WaitKey) {
        match self.choose_upstream(&self.waiting[key].request) {
            Some(upstream) => {
                self.enqueue(key, upstream);
                self.grant_slots_at(now, upstream);
            }
            None => {
                self.waiting[key].wait_queue = WaitQueue::Parked;
                self.parked.insert((self.waiting[key].arrival_seq, key));
            }
        }
    }

    /// Places all parked requests again.
    pub(super) fn place_parked(&mut self, now: Instant) {
        for (_, key) in std::mem::take(&mut self.parked) {
            self.place_waiting(now, key);
        }
    }

    /// Returns a request from another upstream's queue that this upstream would serve sooner.
    pub(super) fn find_request_to_steal(&self, to: UpstreamKey) -> Option<WaitKey> {
        if matches!(self.options.placement, Placement::Sticky | Placement::RoundRobin) {
            return None;
        }
        let upstreams_with_queue =
            self.upstreams_with_queue.iter().rev().filter(|(_, from)| *from != to);
        upstreams_with_queue
            .take(STEAL_UPSTREAMS_CHECKED)
            .find_map(|&(_, from)| self.stealable_request(from, to))
    }

    fn stealable_request(&self, from: UpstreamKey, to: UpstreamKey) -> Option<WaitKey> {
        let source = &self.upstreams[from];
        let queue = source.queue.values().flatten().take(STEAL_REQUESTS_CHECKED);
        let mut positions: Vec<Position> = queue.copied().collect();
        positions.sort_unstable();
        positions.iter().enumerate().find_map(|(ahead, &(_, _, key))| {
            let request = &self.waiting[key].request;
            let wait_s = if self.options.placement == Placement::LeastLoaded {
                f64::INFINITY
            } else {
                source.wait_behind_s(ahead)
            };
            // Check the cheap condition first, so that the others are evaluated only for requests
            // that gain from a move.
            let stay_s = wait_s + self.prefill_cost_s(request, from);
            let is_faster = stay_s > MIN_STEAL_GAIN_S
                && self.prefill_cost_s(request, to) + MIN_STEAL_GAIN_S < stay_s;
            let may_move = is_faster
                && self.can_serve(to, request)
                && self.pinned_to(request.fingerprint).is_none()
                && self.upstreams[to].can_start(self.expected_kv_tokens(request));
            may_move.then_some(key)
        })
    }

    /// Returns the KV cache tokens that a call is expected to need.
    pub(super) fn expected_kv_tokens(&self, request: &SlotRequest) -> u64 {
        if request.prompt_tokens == 0 {
            return 0;
        }
        let completion_tokens = self.estimates.completion_tokens(&request.class);
        request.prompt_tokens + completion_tokens.min(request.completion_tokens.max(1))
    }

    /// Applies a change to an upstream and updates the indexes and totals that depend on it.
    pub(super) fn modify_upstream(&mut self, key: UpstreamKey, change: impl FnOnce(&mut Upstream)) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let entry = (upstream.indexed_load, key);
        let domain = upstream.view.domain.clone();
        let before = upstream.calls_and_slots();
        let ejected_before = upstream.ejected_until;
        change(upstream);
        let after = upstream.calls_and_slots();
        let ejected_after = upstream.ejected_until;
        upstream.indexed_load = upstream.load_key();
        let accepts_calls = upstream.accepts_calls();
        let (load, has_queue) = (upstream.indexed_load, upstream.queued > 0);
        let by_load = self.accepting_by_load.entry(domain).or_default();
        by_load.remove(&entry);
        if accepts_calls {
            by_load.insert((load, key));
        }
        self.upstreams_with_queue.remove(&entry);
        if has_queue {
            self.upstreams_with_queue.insert((load, key));
        }
        self.calls_at_accepting += after.0 - before.0;
        self.total_slots += after.1 - before.1;
        if ejected_before != ejected_after {
            ejected_before.map(|at| self.ejected.remove(&(at, key)));
            ejected_after.map(|at| self.ejected.insert((at, key)));
        }
    }

    /// Returns whether the upstream may serve the request, now or when a slot becomes free.
    pub(super) fn can_serve(&self, key: UpstreamKey, request: &SlotRequest) -> bool {
        let upstream = self.upstreams.get(key);
        upstream.is_some_and(|up| up.accepts_calls() && up.serves(request.model.as_deref()))
    }

    fn choose_round_robin(&self, request: &SlotRequest) -> Option<UpstreamKey> {
        let candidates: Vec<UpstreamKey> =
            self.upstreams.keys().filter(|&key| self.can_serve(key, request)).collect();
        let next = self.round_robin_index.get() + 1;
        self.round_robin_index.set(next);
        candidates.get(next % candidates.len().max(1)).copied()
    }

    fn choose_least_delay(&self, request: &SlotRequest) -> Option<UpstreamKey> {
        let home = self.hosts.get(&request.home);
        let likely_holders = self.likely_holders(request);
        let candidates = likely_holders.into_iter().chain(self.least_loaded_by_domain(request));
        let delays = candidates.map(|key| (self.delay_s(request, key, home), key));
        delays.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
    }

    /// Returns the expected time until the request's first token at an upstream, plus the cost to
    /// other requests. A fully loaded upstream costs half of the mean time that a slot is held.
    fn delay_s(&self, request: &SlotRequest, key: UpstreamKey, home: Option<&DomainId>) -> f64 {
        let upstream = &self.upstreams[key];
        let is_other_domain = home.is_some_and(|domain| *domain != upstream.view.domain);
        let domain_s = if is_other_domain { DOMAIN_COST_S } else { 0.0 };
        let contention_s = upstream.load_ratio().min(1.0) * upstream.hold_s() * 0.5;
        let prefill_cost_s = self.prefill_cost_s(request, key);
        let eviction_cost_s = if prefill_cost_s > 0.0 { eviction_cost_s(upstream) } else { 0.0 };
        upstream.expected_wait_s() + contention_s + eviction_cost_s + prefill_cost_s + domain_s
    }

    /// Returns the cost of prefilling the part of the prompt that an upstream does not cache.
    fn prefill_cost_s(&self, request: &SlotRequest, key: UpstreamKey) -> f64 {
        let cached = self.programs.cached(&request.program, key).min(request.prompt_tokens);
        let missing = (request.prompt_tokens - cached) as f64;
        PREFILL_FACTOR * missing / self.prefill_tokens_per_s
    }

    /// Returns the upstreams that can serve the request and may cache part of its prefix: those
    /// with a recorded prefix and the one that ran the program's last turn.
    fn likely_holders(&self, request: &SlotRequest) -> Vec<UpstreamKey> {
        let program = self.programs.get(&request.program);
        let prefixes = program.map_or(&[][..], |program| &program.prefixes);
        let held = prefixes.iter().map(|prefix| prefix.upstream);
        let last = request.last_upstream.as_ref().and_then(|id| self.by_id.get(id).copied());
        held.chain(last).filter(|&key| self.can_serve(key, request)).collect()
    }

    fn largest_holder(&self, request: &SlotRequest) -> Option<UpstreamKey> {
        let likely_holders = self.likely_holders(request);
        likely_holders.into_iter().max_by_key(|&key| self.programs.cached(&request.program, key))
    }

    /// Returns the least loaded upstream of each failure domain that can serve the request.
    fn least_loaded_by_domain(&self, request: &SlotRequest) -> Vec<UpstreamKey> {
        let first = |by_load: &std::collections::BTreeSet<(u64, UpstreamKey)>| {
            let mut keys = by_load.iter().map(|&(_, key)| key).take(UPSTREAMS_CHECKED_PER_DOMAIN);
            keys.find(|&key| self.can_serve(key, request))
        };
        let mut found: Vec<UpstreamKey> =
            self.accepting_by_load.values().filter_map(first).collect();
        if found.is_empty() {
            // Few upstreams serve the model: check all.
            let all = self.accepting_by_load.values().flatten().map(|&(_, key)| key);
            found.extend(all.filter(|&key| self.can_serve(key, request)));
        }
        found
    }

    fn choose_least_loaded(&self, request: &SlotRequest) -> Option<UpstreamKey> {
        self.least_loaded_by_domain(request)
            .into_iter()
            .min_by_key(|&key| (self.upstreams[key].indexed_load, key))
    }
}

/// Returns the cost of evicting the prefixes of other programs from an upstream's cache.
fn eviction_cost_s(upstream: &Upstream) -> f64 {
    let capacity = upstream.kv_capacity_tokens;
    if capacity == 0 {
        return 0.0;
    }
    let fill = upstream.resident_tokens.max(0) as f64 / capacity as f64;
    fill * upstream.hold_s() * EVICTION_FACTOR
}

impl Upstream {
    fn remove_queued(&mut self, team: TeamIndex, position: &Position) {
        let Some(queue) = self.queue.get_mut(&team) else {
            return;
        };
        if queue.remove(position) {
            self.queued -= 1;
        }
        if queue.is_empty() {
            self.queue.remove(&team);
        }
    }
}
