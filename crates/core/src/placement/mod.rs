//! Chooses the upstream for a request at the host that received it from the caller.
//!
//! Load pattern: many hosts send to the same few upstreams without coordination. Each host tracks
//! its own requests in flight, and reads the load of an upstream from its answers. The load
//! estimate adds its own requests to the reported load of other hosts, which decays with its age,
//! so that a stale report has little effect. A session stays at the upstream that has its prompt in
//! cache, until that upstream is full or penalized. An upstream that fails fast appears idle, and a
//! slow one shows a high load only after a delay. Errors and slow events therefore add a penalty in
//! units of load, which decays within seconds.

mod broken_attempts;
mod cold;
mod evacuation;
mod helpers;
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
    evacuation::{EvacuatedDomains, MovedLoad},
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

/// Additional load, as a fraction of the slots, up to which an upstream in the host's own failure
/// domain is preferred over one in another domain. Traffic to another domain adds delay and cost,
/// but these are worth about a tenth of the slots.
const DOMAIN_PREFERENCE: f64 = 0.15;
/// A pause between events counts as slow if it is longer than this multiple of the typical pause.
/// Pauses are about twice as long as typical while the engine prefills other prompts, and in a full
/// batch.
const SLOW_EVENT_FACTOR: f64 = 4.0;
/// Weight of one pause in the moving average of a service's typical pause.
const TYPICAL_PAUSE_WEIGHT: f64 = 0.02;
/// Weight of one request in the moving average of a service's time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Additional load, as a fraction of the slots, up to which a limited upstream is preferred. What its
/// limit allows at this host is lost if it is not used soon.
const LIMITED_PREFERENCE: f64 = 0.15;
/// Load of its session's upstream from which on a request leaves it for a limited upstream.
const LEAVE_FOR_LIMITED_LOAD_MIN: f64 = 0.5;
/// Load above the mean of the service, as a fraction of the slots, up to which an upstream takes the
/// sessions for which it ranks first. Below [`DOMAIN_PREFERENCE`], so that an upstream of another
/// domain takes them only if it is less busy than the mean.
const RANKED_LOAD_MARGIN: f64 = 0.1;
/// Maximum number of sessions stored: about one minute of sessions at the load that the system is
/// designed for.
const SESSIONS_MAX: usize = 16_384;
/// How long a session is stored after its last turn.
const SESSION_TTL: Duration = Duration::from_secs(60);

/// A request for which [`Placement::choose`] selects an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementRequest<'a> {
    /// Service whose upstreams are candidates.
    pub service: &'a str,
    /// Session that the request continues, or the request's program if the caller names no session.
    pub session: Option<&'a str>,
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

/// Selects upstreams for the requests of this host, and tracks their load.
#[derive(Debug)]
pub struct Placement {
    domain: DomainId,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_id: HashMap<UpstreamId, UpstreamKey>,
    /// Invariant: contains each upstream of `by_id` exactly once, under its service.
    by_service: HashMap<ServiceId, Vec<UpstreamKey>>,
    sessions: HashMap<String, Session>,
    /// Moving average of the pause between stream events, by service, in seconds.
    typical_pauses_s: HashMap<ServiceId, f64>,
    /// Moving average of the time that a request takes at an upstream without a queue, by service, in
    /// seconds.
    service_times_s: HashMap<ServiceId, f64>,
    /// The hosts between which the limits of upstreams are split.
    limit_hosts: AllowanceHosts,
    evacuated_domains: EvacuatedDomains,
    /// Work that moves because of evacuations, by service.
    moved_loads: HashMap<ServiceId, MovedLoad>,
    cold_services: ColdServices,
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
            typical_pauses_s: HashMap::new(),
            service_times_s: HashMap::new(),
            limit_hosts: AllowanceHosts::default(),
            evacuated_domains: EvacuatedDomains::default(),
            moved_loads: HashMap::new(),
            cold_services: ColdServices::default(),
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
                existing.is_evacuated = self.evacuated_domains.contains(&record.domain);
                existing.record = record;
                return has_changed;
            }
            self.remove(&record.id);
        }
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

    /// Returns the number of known upstreams of a service.
    pub fn upstream_count(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// Returns the ids of all known upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.by_id.keys()
    }

    /// Returns the records of all known upstreams.
    pub fn records(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.upstreams.values().map(|upstream| &upstream.record)
    }

    /// Returns the record of an upstream, if it is still known.
    pub fn record(&self, key: UpstreamKey) -> Option<&UpstreamRecord> {
        self.upstreams.get(key).map(|upstream| &upstream.record)
    }

    /// Returns the key and the record of an upstream, if it is known.
    pub fn find(&self, id: &str) -> Option<(UpstreamKey, &UpstreamRecord)> {
        let key = *self.by_id.get(id)?;
        Some((key, &self.upstreams.get(key)?.record))
    }

    /// Records that an upstream has said in an answer that it is about to stop. This holds until it
    /// starts again, which gives it another key. Returns whether it is new.
    pub fn record_leaving(&mut self, key: UpstreamKey) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else { return false };
        !std::mem::replace(&mut upstream.says_leaving, true)
    }

    /// Returns whether an upstream gets no new requests: it is about to stop, its domain is evacuated,
    /// or it is no longer known.
    pub fn is_excluded(&self, key: UpstreamKey) -> bool {
        self.upstreams.get(key).is_none_or(Upstream::is_excluded)
    }

    /// Returns whether an upstream has said in an answer that it is about to stop, or is no longer
    /// known.
    pub fn has_said_leaving(&self, key: UpstreamKey) -> bool {
        self.upstreams.get(key).is_none_or(|upstream| upstream.says_leaving)
    }

    /// Returns the number of upstreams that have said in an answer that they are about to stop.
    pub fn leaving_count(&self) -> usize {
        self.upstreams.values().filter(|upstream| upstream.says_leaving).count()
    }

    /// Selects an upstream for a request, and stores it as the upstream of the request's session.
    pub fn choose(&mut self, now: Instant, request: &PlacementRequest<'_>) -> Choice {
        let keys = self.by_service.get(request.service).into_iter().flatten();
        let keys: Vec<UpstreamKey> = keys
            .filter(|key| {
                let version = &self.upstreams[**key].record.version;
                request.version.is_none_or(|required| **version == *required)
            })
            .copied()
            .collect();
        let accepts_work = |key: &&UpstreamKey| self.upstreams[**key].accepts_work(now);
        let mut usable: Vec<UpstreamKey> = keys.iter().filter(accepts_work).copied().collect();
        if usable.is_empty() {
            // If all upstreams are ejected, use them anyway.
            let is_not_excluded = |key: &&UpstreamKey| !self.upstreams[**key].is_excluded();
            usable = keys.iter().filter(is_not_excluded).copied().collect();
        }
        if usable.is_empty() {
            return Choice::NoUpstream;
        }
        if !request.avoided_versions.is_empty() {
            let is_avoided = |key: &UpstreamKey| {
                request.avoided_versions.contains(&self.upstreams[*key].record.version)
            };
            if usable.iter().any(|key| !is_avoided(key)) {
                usable.retain(|key| !is_avoided(key));
            }
        }
        usable.retain(|&key| {
            let upstream = &self.upstreams[key];
            let is_limited = upstream.rate_limit.is_some() || upstream.cold.limit(now).is_some();
            let is_left_to_others = request.is_behind_others && is_limited;
            !request.refused_by.contains(&key)
                && !is_left_to_others
                && upstream.is_within_limit(now)
        });
        let Some(best) = self.least_loaded(now, &usable, request.session) else {
            return Choice::AllRefused;
        };
        let preferred = match request.object {
            Some(object) => self.object_upstream(now, &usable, object),
            None => self.session_upstream(now, &usable, request),
        };
        // What a limit allows is lost if it is not used, and is used while others are busy.
        let leaves_for_limited = |session_upstream: &UpstreamKey| {
            self.upstreams[best].rate_limit.is_some()
                && self.upstreams[*session_upstream].load(now) >= LEAVE_FOR_LIMITED_LOAD_MIN
        };
        let chosen = preferred.filter(|key| !leaves_for_limited(key)).unwrap_or(best);
        if let Some(session) = request.session.filter(|_| request.object.is_none()) {
            self.record_session(now, session, chosen);
        }
        Choice::Use(chosen)
    }

    fn least_loaded(
        &self,
        now: Instant,
        usable: &[UpstreamKey],
        session: Option<&str>,
    ) -> Option<UpstreamKey> {
        let session = session.map(NameHash::new);
        let cost = |key: UpstreamKey| {
            let upstream = &self.upstreams[key];
            let domain_cost =
                if upstream.record.domain == self.domain { 0.0 } else { DOMAIN_PREFERENCE };
            let point = NameHash::new(&upstream.record.id);
            // Breaks ties by rendezvous hashing, so that all hosts choose the same upstream for a
            // session that is new to them.
            let tie_break = session.map_or(0, |session| u64::MAX - session.weight(point));
            let limit_gain = if upstream.rate_limit.is_some() { LIMITED_PREFERENCE } else { 0.0 };
            let load = upstream.load(now) + upstream.return_load(now);
            (load + upstream.penalty(now) + domain_cost - limit_gain, tie_break)
        };
        let by_cost = |a: &UpstreamKey, b: &UpstreamKey| {
            let ((a_cost, a_tie), (b_cost, b_tie)) = (cost(*a), cost(*b));
            a_cost.total_cmp(&b_cost).then(a_tie.cmp(&b_tie))
        };
        usable.iter().copied().min_by(by_cost)
    }

    /// Returns the upstream that ranks first for an object among those that have capacity left. All
    /// hosts rank alike, so requests on an object meet at one upstream; an upstream that is full or in
    /// trouble loses its objects to those that rank next, each to another one.
    fn object_upstream(
        &self,
        now: Instant,
        usable: &[UpstreamKey],
        object: &str,
    ) -> Option<UpstreamKey> {
        let object = NameHash::new(object);
        let with_capacity = usable.iter().copied().filter(|key| {
            let upstream = &self.upstreams[*key];
            upstream.keeps_affinity(now) && upstream.takes_object(now, object)
        });
        with_capacity
            .max_by_key(|key| object.weight(NameHash::new(&self.upstreams[*key].record.id)))
    }

    /// Returns the upstream that has the session's prompt in cache, or probably has, if it has
    /// capacity left.
    fn session_upstream(
        &self,
        now: Instant,
        usable: &[UpstreamKey],
        request: &PlacementRequest<'_>,
    ) -> Option<UpstreamKey> {
        let session = request.session?;
        let named = request.previous_upstream.and_then(|id| self.by_id.get(id).copied());
        let known = named.or_else(|| Some(self.sessions.get(session)?.upstream));
        match known {
            Some(upstream) => {
                let has_affinity =
                    usable.contains(&upstream) && self.upstreams[upstream].keeps_affinity(now);
                has_affinity.then_some(upstream)
            }
            None if request.is_retained => None,
            None => self.ranked_upstream(now, usable, session),
        }
    }

    /// Returns the upstream that ranks first for a session among those that are not much busier than
    /// the mean. Hosts rank alike, so the turns of a session that come to several hosts meet at one
    /// upstream as far as the hosts see similar loads.
    fn ranked_upstream(
        &self,
        now: Instant,
        usable: &[UpstreamKey],
        session: &str,
    ) -> Option<UpstreamKey> {
        let session = NameHash::new(session);
        let load_sum: f64 = usable.iter().map(|key| self.upstreams[*key].load(now)).sum();
        let load_max = load_sum / usable.len() as f64 + RANKED_LOAD_MARGIN;
        let is_eligible = |key: &UpstreamKey| {
            let upstream = &self.upstreams[*key];
            let domain_cost =
                if upstream.record.domain == self.domain { 0.0 } else { DOMAIN_PREFERENCE };
            upstream.load(now) + upstream.penalty(now) + domain_cost <= load_max
        };
        let eligible = usable.iter().copied().filter(is_eligible);
        eligible.max_by_key(|key| session.weight(NameHash::new(&self.upstreams[*key].record.id)))
    }

    fn record_session(&mut self, now: Instant, session: &str, upstream: UpstreamKey) {
        if let Some(existing) = self.sessions.get_mut(session) {
            *existing = Session { upstream, used_at: now };
            return;
        }
        if self.sessions.len() >= SESSIONS_MAX {
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
        let cost = |upstream: &Upstream| upstream.load(now) + upstream.penalty(now);
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
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.record_load(now, load);
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
        let Some(upstream) = self.upstreams.get(key) else { return };
        // A queue as long as the slots doubles the time.
        let load = upstream.reported_load(now).unwrap_or_default().max(1.0);
        let time_s = duration.as_secs_f64() / load;
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
        let loads: Vec<f64> = usable.map(|key| self.upstreams[*key].load(now)).collect();
        (loads.len(), loads.iter().sum::<f64>() / loads.len().max(1) as f64)
    }
}
