//! Chooses the upstream for a request at the host that received it from the caller.
//!
//! Load pattern: many hosts send to the same few upstreams without coordination. Each host tracks
//! its own requests in flight, and reads the load of an upstream from its answers. The load
//! estimate adds its own requests to the reported load of other hosts, which leans to the service's
//! mean with its age, so that a stale report has little effect and an upstream that the host has not
//! heard from does not count as idle. The upstream with the least [`cost`] gets the request. Prompt
//! tokens that an upstream has in cache need not be read there: those of its sessions and of the
//! shared [`parts`] that it holds. An upstream that fails fast appears idle, and a slow one shows a
//! high load only after a delay. Errors and slow events therefore add a penalty, which decays within
//! seconds.

mod broken_attempts;
mod cold;
mod cost;
mod decay;
mod departure;
mod evacuation;
mod helpers;
mod parts;
mod rate_limit;
mod reach;
mod upstream;
mod wait_queue;

#[cfg(test)]
mod tests;

pub use {
    broken_attempts::{BrokenAttempts, RetryDecision},
    cold::ColdEntry,
    evacuation::{EvacuationChange, Evacuations, PauseGuard, StoreRevision},
    helpers::Helpers,
    parts::PromptPart,
    rate_limit::LendOutcome,
    reach::{ReachChange, UpstreamReach},
    upstream::{LoadReport, Outcome, UpstreamRecord},
    wait_queue::{QueueWait, Urgency, WaitQueues},
};

use {
    crate::{
        ids::{DomainId, HostId, ServiceId, SoftwareVersion, UpstreamId},
        rendezvous::NameHash,
        shares::AllowanceHosts,
    },
    cold::ColdServices,
    cost::{CostInputs, PromptTokens},
    decay::DecayedMean,
    evacuation::{EvacuatedDomains, MovedLoad},
    parts::{SharedParts, SharedPrefix},
    rate_limit::{RateLimit, Saving},
    slotmap::{SlotMap, new_key_type},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    upstream::Upstream,
};

new_key_type! {
    /// Identifies one incarnation of an upstream.
    pub struct UpstreamKey;
}

/// A pause between events counts as slow if it is longer than this multiple of the typical pause.
/// Pauses are about twice as long as typical while the engine prefills other prompts, and in a full
/// batch.
const SLOW_EVENT_FACTOR: f64 = 4.0;
/// Weight of one pause in the moving average of a service's typical pause.
const TYPICAL_PAUSE_WEIGHT: f64 = 0.02;
/// Weight of one request in the moving average of a service's time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Half-life of a report in the mean load of a service. Short enough to follow bursts, and long enough
/// for hosts that hear from upstreams once a second.
const LOAD_HALF_LIFE: Duration = Duration::from_secs(2);
/// Number of reports that an idle upstream counts for in the mean load of a service.
const LOAD_ASSUMED_REPORTS: f64 = 1.0;
/// Number of pauses that the time of a whole request counts for, at services without streams.
const DURATION_WEIGHT: f64 = 3.0;
/// Maximum number of sessions stored: about one minute of sessions at the load that the system is
/// designed for.
const SESSIONS_MAX: usize = 16_384;
/// Minimum interval between two passes over all sessions, which take some 100 us.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);
/// How long a session is stored after its last turn.
const SESSION_TTL: Duration = Duration::from_secs(60);

/// A request for which [`Placement::choose`] selects an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementRequest<'a> {
    /// Service whose upstreams are candidates.
    pub service: &'a str,
    /// Session that the request continues, or the request's program if the caller names no session.
    pub session: Option<&'a str>,
    /// Parts of the prompt in order; the last one belongs to the request or its session alone. Empty if
    /// the request names none.
    pub prompt: &'a [PromptPart],
    /// Upstream that ran the turn before this one, if the stored turn names it. Preferred to what
    /// this host remembers of the session, which may have continued at other hosts since.
    pub previous_upstream: Option<&'a str>,
    /// Whether the session's next turn names the upstream of this one, at whichever host it arrives.
    pub is_retained: bool,
    /// Object that the request concerns, if its upstream matters. Preferred to the session.
    pub object: Option<&'a str>,
    /// Software version that the upstream must have, if the request continues a stream.
    pub version: Option<&'a str>,
    /// Software versions that are used only if no upstream of another version accepts work.
    pub avoided_versions: &'a [SoftwareVersion],
    /// Upstreams that have refused the request.
    pub refused_by: &'a [UpstreamKey],
    /// Whether an older request waits for the service. Requests that limits allow are then left to
    /// it.
    pub is_behind_others: bool,
}

/// Result of [`Placement::choose`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send the request to this upstream.
    Use(UpstreamKey),
    /// All upstreams that accept work have refused the request, or name limits that allow no more
    /// requests at present.
    AllRefused,
    /// The service has no upstream that accepts work.
    NoUpstream,
}

/// The upstream that a session used last.
#[derive(Debug)]
struct Session {
    upstream: UpstreamKey,
    used_at: Instant,
}

/// An upstream that may run a request.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: UpstreamKey,
    cost_ms: f64,
}

/// Selects upstreams for the requests of this host, and tracks their load.
#[derive(Debug)]
pub struct Placement {
    domain: DomainId,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_id: HashMap<UpstreamId, UpstreamKey>,
    /// Invariant: contains each upstream of `by_id` exactly once, under its service.
    by_service: HashMap<ServiceId, Vec<UpstreamKey>>,
    sessions: HashMap<String, Session>,
    /// When old sessions may be forgotten next; `None` if none have been yet.
    forget_sessions_at: Option<Instant>,
    /// Moving average of the pause between stream events, by service, in seconds.
    typical_pauses_s: HashMap<ServiceId, f64>,
    /// Moving average of the time that a request takes at an upstream without a queue, by service, in
    /// seconds.
    service_times_s: HashMap<ServiceId, f64>,
    /// Loads that other hosts cause at the upstreams of a service, as these report them.
    remote_loads: HashMap<ServiceId, DecayedMean>,
    /// Shared parts of the prompts of each service.
    shared_parts: HashMap<ServiceId, SharedParts>,
    /// Space for the candidates of a choice, so that choices don't allocate. Empty between them.
    candidates: Vec<Candidate>,
    /// The hosts between which the limits of upstreams are split.
    limit_hosts: AllowanceHosts,
    evacuated_domains: EvacuatedDomains,
    /// Work that moves because of evacuations, by service.
    moved_loads: HashMap<ServiceId, MovedLoad>,
    cold_services: ColdServices,
    /// How long upstreams serve after they have reported that they are about to stop.
    drain_time: Duration,
}

impl Placement {
    /// Creates a placement without upstreams, for a host in the given failure domain.
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            upstreams: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            sessions: HashMap::new(),
            forget_sessions_at: None,
            typical_pauses_s: HashMap::new(),
            service_times_s: HashMap::new(),
            remote_loads: HashMap::new(),
            shared_parts: HashMap::new(),
            candidates: Vec::new(),
            limit_hosts: AllowanceHosts::default(),
            evacuated_domains: EvacuatedDomains::default(),
            moved_loads: HashMap::new(),
            cold_services: ColdServices::default(),
            drain_time: departure::DRAIN_TIME,
        }
    }

    /// Applies an upstream's record. Returns whether the record is new or changed. A record of a
    /// later incarnation discards the state of the earlier one.
    pub fn upsert(&mut self, record: UpstreamRecord) -> bool {
        if let Some(&key) = self.by_id.get(&record.id) {
            let existing = &mut self.upstreams[key];
            if record.incarnation < existing.record.incarnation {
                // The record comes from a delayed heartbeat of an earlier incarnation.
                return false;
            }
            if existing.record.is_same_process(&record) {
                let has_changed = existing.record.differs_from(&record);
                existing.departure.on_listed();
                existing.is_evacuated = self.evacuated_domains.contains(&record.domain);
                existing.record = record;
                return has_changed;
            }
            self.remove(&record.id);
        }
        self.remove_replaced(record.address);
        let (id, service) = (record.id.clone(), record.service.clone());
        let mut upstream = Upstream::new(record);
        upstream.is_evacuated = self.evacuated_domains.contains(&upstream.record.domain);
        let key = self.upstreams.insert(upstream);
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        true
    }

    /// Removes an upstream. Returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(key) = self.by_id.remove(id) else { return false };
        if let Some(upstream) = self.upstreams.remove(key)
            && let Some(keys) = self.by_service.get_mut(&upstream.record.service)
        {
            keys.retain(|&other| other != key);
        }
        true
    }

    /// Returns the number of upstreams of a service that have entries.
    pub fn upstream_count(&self, service: &str) -> usize {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter(|key| !self.upstreams[**key].departure.is_delisted).count()
    }

    /// Returns the ids of all upstreams that have entries.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.records().map(|record| &record.id)
    }

    /// Returns the records of all upstreams that have entries.
    pub fn records(&self) -> impl Iterator<Item = &UpstreamRecord> {
        let listed = self.upstreams.values().filter(|upstream| !upstream.departure.is_delisted);
        listed.map(|upstream| &upstream.record)
    }

    /// Returns the record of an upstream, if it is still known. One without an entry is known until it
    /// no longer gets any request, see [`Self::delist`].
    pub fn record(&self, key: UpstreamKey) -> Option<&UpstreamRecord> {
        self.upstreams.get(key).map(|upstream| &upstream.record)
    }

    /// Returns the key and the record of an upstream, if it is known.
    pub fn find(&self, id: &str) -> Option<(UpstreamKey, &UpstreamRecord)> {
        let key = *self.by_id.get(id)?;
        Some((key, &self.upstreams.get(key)?.record))
    }

    /// Returns whether an upstream gets no new requests: it is about to stop, its domain is evacuated,
    /// or it is no longer known.
    pub fn is_excluded(&self, key: UpstreamKey) -> bool {
        self.upstreams.get(key).is_none_or(Upstream::is_excluded)
    }

    /// Returns whether an upstream has said in an answer that it is about to stop, or has no entry any
    /// more.
    pub fn has_said_leaving(&self, key: UpstreamKey) -> bool {
        let has_said = |one: &Upstream| one.says_leaving() || one.departure.is_delisted;
        self.upstreams.get(key).is_none_or(has_said)
    }

    /// Returns the number of upstreams that have said in an answer that they are about to stop.
    pub fn leaving_count(&self) -> usize {
        self.upstreams.values().filter(|upstream| upstream.says_leaving()).count()
    }

    /// Selects the upstream where a request costs least, and stores it as the upstream of the
    /// request's session.
    pub fn choose(&mut self, now: Instant, request: &PlacementRequest<'_>) -> Choice {
        let weight_min = self.record_turn(now, request);
        let mut candidates = std::mem::take(&mut self.candidates);
        let choice = match self.find_candidates(now, request, &mut candidates) {
            false => Choice::NoUpstream,
            true => match self.best_candidate(now, request, weight_min, &mut candidates) {
                Some(key) => Choice::Use(key),
                None => Choice::AllRefused,
            },
        };
        candidates.clear();
        self.candidates = candidates;
        if let Choice::Use(key) = choice
            && let Some(session) = request.session.filter(|_| request.object.is_none())
        {
            self.record_session(now, session, key);
        }
        choice
    }

    /// Records a request with a shared prompt part. Returns the minimum weight of the part's holders.
    fn record_turn(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
    ) -> Option<(SharedPrefix, u64)> {
        let prefix = SharedPrefix::of(request.prompt)?;
        let keys = self.by_service.get(request.service)?;
        if !self.shared_parts.contains_key(request.service) {
            self.shared_parts.insert(request.service.into(), SharedParts::default());
        }
        let holders = keys.iter().map(|key| &self.upstreams[*key]);
        let holders = holders.filter(|one| !one.is_excluded()).map(|one| one.hash);
        let weight_min =
            self.shared_parts.get_mut(request.service)?.record_turn(now, prefix, holders)?;
        Some((prefix, weight_min))
    }

    /// Collects the upstreams that may run a request now. Returns false if none could even if it
    /// waited.
    fn find_candidates(
        &self,
        now: Instant,
        request: &PlacementRequest<'_>,
        candidates: &mut Vec<Candidate>,
    ) -> bool {
        let keys = self.by_service.get(request.service).map_or(&[][..], Vec::as_slice);
        let has_version = |upstream: &Upstream| {
            let version = &upstream.record.version;
            request.version.is_none_or(|required| **version == *required)
        };
        let of_version = || {
            let all = keys.iter().map(|key| (*key, &self.upstreams[*key]));
            all.filter(|(_, upstream)| has_version(upstream))
        };
        // If all upstreams are ejected, they are used anyway.
        let are_all_ejected = !of_version().any(|(_, upstream)| upstream.accepts_work(now));
        // A stream can go on at its version only.
        let can_go_on_elsewhere =
            request.version.is_none() || of_version().any(|(_, upstream)| !upstream.is_excluded());
        let usable = || {
            of_version().filter(|(_, upstream)| {
                upstream.accepts_work(now)
                    || are_all_ejected && !upstream.is_excluded()
                    || !can_go_on_elsewhere && upstream.serves_out(now, self.drain_time)
            })
        };
        if usable().next().is_none() {
            return false;
        }
        let is_avoided =
            |upstream: &Upstream| request.avoided_versions.contains(&upstream.record.version);
        let are_all_avoided = usable().all(|(_, upstream)| is_avoided(upstream));
        let is_within_limits = |upstream: &Upstream| {
            let is_limited = upstream.rate_limit.is_some() || upstream.cold.limit(now).is_some();
            let is_left_to_others = request.is_behind_others && is_limited;
            !is_left_to_others && upstream.is_within_limit(now)
        };
        let admitted = usable().filter(|(key, upstream)| {
            (are_all_avoided || !is_avoided(upstream))
                && !request.refused_by.contains(key)
                && is_within_limits(upstream)
        });
        candidates.extend(admitted.map(|(key, _)| Candidate { key, cost_ms: 0.0 }));
        true
    }

    /// Returns the candidate where a request costs least. Ties, and small differences for sessions that
    /// other hosts could not find, are decided by rendezvous hashing, so that hosts choose alike.
    fn best_candidate(
        &self,
        now: Instant,
        request: &PlacementRequest<'_>,
        holders: Option<(SharedPrefix, u64)>,
        candidates: &mut [Candidate],
    ) -> Option<UpstreamKey> {
        let mean_load = self.mean_remote_load(now, request.service);
        if let Some(object) = request.object
            && let Some(key) = self.object_upstream(now, mean_load, candidates, object)
        {
            return Some(key);
        }
        let time_ms = self.time_ms(request.service);
        let known = self.session_upstream(request);
        let tokens = PromptTokens::of(request.prompt, holders.map(|(prefix, _)| prefix));
        let unread_tokens = |key: UpstreamKey, upstream: &Upstream| {
            let has_sound_cache = upstream.has_sound_cache(now);
            let holds_shared = |(prefix, weight_min): (SharedPrefix, u64)| {
                prefix.hash.weight(upstream.hash) >= weight_min
            };
            if request.session.is_none() || known == Some(key) && has_sound_cache {
                0
            } else if holders.is_some_and(holds_shared) && has_sound_cache {
                tokens.own
            } else {
                tokens.total()
            }
        };
        let (mut least_ms, mut running) = (f64::INFINITY, 0.0);
        for candidate in candidates.iter_mut() {
            let upstream = &self.upstreams[candidate.key];
            let unread_tokens = unread_tokens(candidate.key, upstream);
            let inputs = self.cost_inputs(now, mean_load, upstream, unread_tokens);
            candidate.cost_ms = cost::cost_ms(time_ms, &inputs);
            if candidate.cost_ms < least_ms {
                (least_ms, running) = (candidate.cost_ms, inputs.running);
            }
        }
        let is_lost = known.is_none() && !request.is_retained && request.session.is_some();
        let margin_ms = if is_lost { cost::ranked_margin_ms(tokens, running) } else { 0.0 };
        let session = request.session.map(NameHash::new);
        let eligible = candidates.iter().filter(|one| one.cost_ms <= least_ms + margin_ms);
        let weight = |candidate: &&Candidate| {
            session.map(|session| session.weight(self.upstreams[candidate.key].hash))
        };
        // The first of equal weights.
        eligible.rev().max_by_key(weight).map(|candidate| candidate.key)
    }

    fn cost_inputs(
        &self,
        now: Instant,
        mean_load: f64,
        upstream: &Upstream,
        unread_tokens: u64,
    ) -> CostInputs {
        let slots = f64::from(upstream.record.slots);
        let penalty = upstream.penalty(now);
        // A broken answer counts as a full upstream: one that fails fast appears idle, and reading prompts
        // seems cheap there. A single slow event is noise, and several are trouble.
        let trouble = penalty * penalty;
        let load = upstream.load(now, mean_load) + upstream.return_load(now) + trouble;
        CostInputs {
            load: load + 1.0 / slots,
            running: load.min(1.0) * slots,
            slowdown: upstream.slowdown(now),
            unread_tokens,
            is_far: upstream.record.domain != self.domain,
            is_limited: upstream.rate_limit.is_some(),
        }
    }

    /// Returns the mean load that other hosts cause at the upstreams of a service, as a fraction of
    /// their slots.
    fn mean_remote_load(&self, now: Instant, service: &str) -> f64 {
        self.remote_loads.get(service).map_or(0.0, |mean| mean.value(now))
    }

    /// Returns the time that a request of a service takes without a queue.
    fn time_ms(&self, service: &str) -> f64 {
        self.service_times_s.get(service).map_or(cost::TIME_DEFAULT_MS, |time_s| time_s * 1000.0)
    }

    /// Returns the upstream that ranks first for an object among those that have capacity left. All
    /// hosts rank alike, so requests on an object meet at one upstream; an upstream that is full or in
    /// trouble loses its objects to those that rank next, each to another one.
    fn object_upstream(
        &self,
        now: Instant,
        mean_load: f64,
        candidates: &[Candidate],
        object: &str,
    ) -> Option<UpstreamKey> {
        let object = NameHash::new(object);
        let keys = candidates.iter().map(|candidate| candidate.key);
        let with_capacity = keys.filter(|key| {
            let upstream = &self.upstreams[*key];
            upstream.keeps_affinity(now, mean_load) && upstream.takes_object(now, object)
        });
        with_capacity.max_by_key(|key| object.weight(self.upstreams[*key].hash))
    }

    /// Returns the upstream that has the prompt of the request's session in cache.
    fn session_upstream(&self, request: &PlacementRequest<'_>) -> Option<UpstreamKey> {
        let session = request.session?;
        let named = request.previous_upstream.and_then(|id| self.by_id.get(id).copied());
        named.or_else(|| Some(self.sessions.get(session)?.upstream))
    }

    fn record_session(&mut self, now: Instant, session: &str, upstream: UpstreamKey) {
        if let Some(existing) = self.sessions.get_mut(session) {
            *existing = Session { upstream, used_at: now };
            return;
        }
        if self.sessions.len() >= SESSIONS_MAX && self.forget_sessions_at.is_none_or(|at| at <= now)
        {
            self.forget_sessions_at = Some(now + FORGET_INTERVAL);
            self.sessions.retain(|_, session| now.duration_since(session.used_at) < SESSION_TTL);
        }
        if self.sessions.len() < SESSIONS_MAX {
            self.sessions.insert(session.into(), Session { upstream, used_at: now });
        }
    }

    /// Records that a request was sent to an upstream. Counts against the upstream's limit.
    pub fn record_sent(&mut self, now: Instant, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.record_sent();
            if let Some(limit) = &mut upstream.rate_limit {
                limit.take(now);
            }
            upstream.cold.take(now);
        }
    }

    /// Counts a request that is sent to the same upstream again against its limit. Returns false if
    /// the limit does not allow it now.
    pub fn try_send_again(&mut self, now: Instant, key: UpstreamKey) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else { return false };
        upstream.cold.limit(now).is_none_or(|limit| limit.has_token(now))
            && upstream.rate_limit.as_mut().is_none_or(|limit| limit.take(now))
            && upstream.cold.take(now)
    }

    /// Records the limit that an answer names, in requests a second from all hosts together, or
    /// that it names none. `sent_at` is when the request was sent.
    pub fn record_limit(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        sent_at: Instant,
        limit_per_s: Option<f64>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let Some(limit_per_s) = limit_per_s else {
            upstream.unlimited_at = upstream.unlimited_at.max(Some(sent_at));
            upstream.rate_limit.take_if(|limit| limit.named_at() <= sent_at);
            return;
        };
        if upstream.unlimited_at > Some(sent_at) {
            return;
        }
        let (id, hosts) = (&upstream.record.id, &self.limit_hosts);
        match &mut upstream.rate_limit {
            Some(limit) => limit.on_named(now, sent_at, id, limit_per_s, hosts),
            None => {
                upstream.rate_limit =
                    Some(RateLimit::new(now, sent_at, id, limit_per_s, hosts, Saving::NAMED_LIMIT));
            }
        }
    }

    /// Sets the hosts between which the limits of upstreams are split.
    pub fn set_limit_hosts(&mut self, now: Instant, hosts: AllowanceHosts) {
        self.limit_hosts = hosts;
        for upstream in self.upstreams.values_mut() {
            if let Some(limit) = &mut upstream.rate_limit {
                let limit_per_s = limit.limit_per_s();
                limit.set_limit(now, &upstream.record.id, limit_per_s, &self.limit_hosts);
            }
            upstream.cold.set_hosts(now, &upstream.record.id, &self.limit_hosts);
        }
    }

    /// Returns the limit that an upstream names, in requests a second from all hosts together.
    pub fn limit_per_s(&self, upstream: &str) -> Option<f64> {
        Some(self.limit_of(upstream)?.limit_per_s())
    }

    fn limit_of(&self, upstream: &str) -> Option<&RateLimit> {
        self.upstreams[*self.by_id.get(upstream)?].rate_limit.as_ref()
    }

    /// Returns the upstreams of a service for which this host should borrow a token: their limits
    /// allow it no request at present, and they have more capacity left than the others, or it is
    /// not known whether the limits still apply.
    pub fn upstreams_to_borrow_for(&self, now: Instant, service: &str) -> Vec<UpstreamId> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let accepting =
            || keys.iter().map(|key| &self.upstreams[*key]).filter(|one| one.accepts_work(now));
        let limited =
            accepting().filter_map(|upstream| Some((upstream, upstream.rate_limit.as_ref()?)));
        let throttled: Vec<_> = limited.filter(|(_, limit)| !limit.has_token(now)).collect();
        if throttled.is_empty() {
            return Vec::new();
        }
        let (mean_load, time_ms) = (self.mean_remote_load(now, service), self.time_ms(service));
        let cost = |upstream: &Upstream| {
            cost::cost_ms(time_ms, &self.cost_inputs(now, mean_load, upstream, 0))
        };
        let usable_costs = accepting().filter(|one| one.is_within_limit(now)).map(cost);
        let least_cost = usable_costs.fold(f64::INFINITY, f64::min);
        let should_borrow = |(upstream, limit): &(&Upstream, &RateLimit)| {
            cost(upstream) <= least_cost || limit.needs_confirmation(now)
        };
        let to_borrow = throttled.into_iter().filter(should_borrow);
        to_borrow.map(|(upstream, _)| upstream.record.id.clone()).collect()
    }

    /// Returns when the limits of a service's upstreams next allow a request of this host, if it
    /// need not borrow for it.
    pub fn next_within_limits(&self, now: Instant, service: &str) -> Option<Instant> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| self.upstreams[*key].next_within_limit(now)).min()
    }

    /// Returns when an upstream's limit next allows a request of this host, if it need not borrow
    /// for it.
    pub fn next_within_limit(&self, now: Instant, key: UpstreamKey) -> Option<Instant> {
        self.upstreams.get(key)?.next_within_limit(now)
    }

    /// Returns the service of an upstream.
    pub fn service_of(&self, upstream: &str) -> Option<ServiceId> {
        Some(self.upstreams[*self.by_id.get(upstream)?].record.service.clone())
    }

    /// Returns the other hosts that may lend tokens of an upstream's limit.
    pub fn limit_lenders(&self, upstream: &str) -> Vec<HostId> {
        let Some(limit) = self.limit_of(upstream) else { return Vec::new() };
        let holders = self.limit_hosts.holders_of(upstream, limit.burst_tokens());
        holders.into_iter().cloned().collect()
    }

    /// Returns the time since the request was sent whose answer named an upstream's limit last.
    pub fn limit_age(&self, now: Instant, upstream: &str) -> Option<Duration> {
        Some(now.saturating_duration_since(self.limit_of(upstream)?.named_at()))
    }

    /// Takes a token of an upstream's limit for another host, which was told that it is
    /// `limit_per_s` in the answer to a request that was sent `named_ago`.
    pub fn lend_limit_token(
        &mut self,
        now: Instant,
        upstream: &str,
        limit_per_s: f64,
        named_ago: Duration,
    ) -> LendOutcome {
        let Some(&key) = self.by_id.get(upstream) else { return LendOutcome::NoToken };
        // A host that was not told of the limit keeps to it from now on, as others do.
        if let Some(named_at) = now.checked_sub(named_ago) {
            self.record_limit(now, key, named_at, Some(limit_per_s));
        }
        let upstream = &mut self.upstreams[key];
        match (&mut upstream.rate_limit, upstream.unlimited_at) {
            (Some(limit), _) if limit.has_own_token(now) => {
                limit.take_own(now);
                LendOutcome::Lent
            }
            (None, Some(sent_at)) => {
                LendOutcome::NotLimited { sent_ago: now.saturating_duration_since(sent_at) }
            }
            _ => LendOutcome::NoToken,
        }
    }

    /// Applies the answer of another host that was asked for a token of an upstream's limit.
    pub fn on_limit_token_answer(&mut self, now: Instant, upstream: &str, outcome: LendOutcome) {
        let Some(&key) = self.by_id.get(upstream) else { return };
        match (outcome, &mut self.upstreams[key].rate_limit) {
            (LendOutcome::Lent, Some(limit)) => limit.receive(now),
            (LendOutcome::NotLimited { sent_ago }, _) => {
                if let Some(sent_at) = now.checked_sub(sent_ago) {
                    self.record_limit(now, key, sent_at, None);
                }
            }
            _ => {}
        }
    }

    /// Records that a request is no longer in flight at an upstream, with its outcome.
    pub fn record_end(&mut self, now: Instant, key: UpstreamKey, outcome: Outcome) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.record_end(now, outcome);
        }
    }

    /// Records that an upstream closed the connection before its answer was complete. The request
    /// stays in flight, because it is sent to the same upstream again.
    pub fn record_broken_attempt(&mut self, now: Instant, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.record_failure(now);
        }
    }

    /// Records the load that an answer reported.
    pub fn record_load(&mut self, now: Instant, key: UpstreamKey, load: LoadReport) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.record_load(now, load);
        let (service, remote_load) = (&upstream.record.service, upstream.remote_load());
        match self.remote_loads.get_mut(service) {
            Some(mean) => mean.add(now, remote_load, 1.0),
            None => {
                let mut mean = DecayedMean::new(LOAD_HALF_LIFE, 0.0, LOAD_ASSUMED_REPORTS);
                mean.add(now, remote_load, 1.0);
                self.remote_loads.insert(service.clone(), mean);
            }
        }
    }

    /// Records the pause between two events of a stream.
    pub fn record_pause(&mut self, now: Instant, key: UpstreamKey, pause: Duration) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let pause_s = pause.as_secs_f64();
        let Some(typical_pause_s) = self.typical_pauses_s.get_mut(&upstream.record.service) else {
            self.typical_pauses_s.insert(upstream.record.service.clone(), pause_s);
            return;
        };
        if *typical_pause_s > 0.0 {
            upstream.record_relative_time(now, pause_s / *typical_pause_s, 1.0);
        }
        let slow_pause_s = *typical_pause_s * SLOW_EVENT_FACTOR;
        if pause_s > slow_pause_s {
            upstream.record_slow_event(now);
        }
        // The average adapts when all upstreams slow down, because a slow pause still raises it.
        *typical_pause_s += (pause_s.min(slow_pause_s) - *typical_pause_s) * TYPICAL_PAUSE_WEIGHT;
    }

    /// Returns the mean load that the upstreams of a service that accept work have reported lately, as
    /// a fraction of their slots. `None` if fewer than half of them have.
    fn reported_load(&self, now: Instant, service: &str) -> Option<f64> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let usable = keys.iter().filter(|key| self.upstreams[**key].accepts_work(now));
        let reported: Vec<Option<f64>> =
            usable.map(|key| self.upstreams[*key].reported_load(now)).collect();
        let known: Vec<f64> = reported.iter().copied().flatten().collect();
        let is_known = !known.is_empty() && known.len() * 2 >= reported.len();
        is_known.then(|| known.iter().sum::<f64>() / known.len() as f64)
    }

    /// Records how long a request took from its sending to the end of its answer.
    pub fn record_duration(&mut self, now: Instant, key: UpstreamKey, duration: Duration) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        // A queue as long as the slots doubles the time.
        let load = upstream.reported_load(now).unwrap_or_default().max(1.0);
        let time_s = duration.as_secs_f64() / load;
        let service = &upstream.record.service;
        if !self.typical_pauses_s.contains_key(service)
            && let Some(average_s) = self.service_times_s.get(service).filter(|time| **time > 0.0)
        {
            upstream.record_relative_time(now, time_s / average_s, DURATION_WEIGHT);
        }
        match self.service_times_s.get_mut(&upstream.record.service) {
            Some(average_s) => *average_s += (time_s - *average_s) * SERVICE_TIME_WEIGHT,
            None => {
                self.service_times_s.insert(upstream.record.service.clone(), time_s);
            }
        }
    }

    /// Returns the time that requests wait in the queues of a service's upstreams at present, by the
    /// load that these report. `None` if it is not known.
    pub fn queue_delay(&self, now: Instant, service: &str) -> Option<Duration> {
        let load = self.reported_load(now, service)? + self.moved_load(now, service);
        let time_s = self.service_times_s.get(service)?;
        Some(Duration::from_secs_f64((load - 1.0).max(0.0) * time_s))
    }

    /// Returns the number of upstreams of a service that accept work, and the estimated mean
    /// fraction of their slots in use.
    pub fn service_load(&self, now: Instant, service: &str) -> (usize, f64) {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let usable = keys.iter().filter(|key| self.upstreams[**key].accepts_work(now));
        let mean_load = self.mean_remote_load(now, service);
        let loads: Vec<f64> = usable.map(|key| self.upstreams[*key].load(now, mean_load)).collect();
        (loads.len(), loads.iter().sum::<f64>() / loads.len().max(1) as f64)
    }
}
