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
mod outage;
mod upstream;
mod wait_queue;

#[cfg(test)]
mod tests;

pub use {
    broken_attempts::{BrokenAttempts, RetryDecision},
    outage::{DelistingAction, StoreOutage},
    upstream::{LoadReport, Outcome, UpstreamRecord},
    wait_queue::{QueueWait, WaitQueues},
};

use {
    crate::{
        ids::{DomainId, ServiceId, UpstreamId},
        rendezvous::NameHash,
    },
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
/// Maximum number of sessions stored: about one minute of sessions at the load that the system is
/// designed for.
const SESSIONS_MAX: usize = 16_384;
/// How long a session is stored after its last turn.
const SESSION_TTL: Duration = Duration::from_secs(60);

/// A request for which [`Placement::choose`] selects an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service whose upstreams are candidates.
    pub service: &'a str,
    /// Session that the request continues, or the request's program if the caller names no session.
    pub session: Option<&'a str>,
    /// Upstreams that have refused the request.
    pub refused_by: &'a [UpstreamKey],
}

/// Result of [`Placement::choose`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send the request to this upstream.
    Use(UpstreamKey),
    /// All upstreams that accept work have refused the request.
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
                let has_changed = existing.record != record;
                existing.record = record;
                return has_changed;
            }
            self.remove(&record.id);
        }
        let (id, service) = (record.id.clone(), record.service.clone());
        let key = self.upstreams.insert(Upstream::new(record));
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

    /// Selects an upstream for a request, and stores it as the upstream of the request's session.
    pub fn choose(&mut self, now: Instant, request: &PlacementRequest<'_>) -> Choice {
        let keys = self.by_service.get(request.service).map_or(&[][..], Vec::as_slice);
        let accepts_work = |key: &&UpstreamKey| self.upstreams[**key].accepts_work(now);
        let mut usable: Vec<UpstreamKey> = keys.iter().filter(accepts_work).copied().collect();
        if usable.is_empty() {
            // If all upstreams are ejected, use them anyway.
            let is_not_leaving = |key: &&UpstreamKey| !self.upstreams[**key].record.is_leaving;
            usable = keys.iter().filter(is_not_leaving).copied().collect();
        }
        if usable.is_empty() {
            return Choice::NoUpstream;
        }
        usable.retain(|key| !request.refused_by.contains(key));
        let Some(best) = self.least_loaded(now, &usable, request.session) else {
            return Choice::AllRefused;
        };
        let chosen = self.session_upstream(now, &usable, request.session).unwrap_or(best);
        if let Some(session) = request.session {
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
            (upstream.load(now) + upstream.penalty(now) + domain_cost, tie_break)
        };
        let by_cost = |a: &UpstreamKey, b: &UpstreamKey| {
            let ((a_cost, a_tie), (b_cost, b_tie)) = (cost(*a), cost(*b));
            a_cost.total_cmp(&b_cost).then(a_tie.cmp(&b_tie))
        };
        usable.iter().copied().min_by(by_cost)
    }

    fn session_upstream(
        &self,
        now: Instant,
        usable: &[UpstreamKey],
        session: Option<&str>,
    ) -> Option<UpstreamKey> {
        let upstream = self.sessions.get(session?)?.upstream;
        let has_affinity =
            usable.contains(&upstream) && self.upstreams[upstream].keeps_affinity(now);
        has_affinity.then_some(upstream)
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

    /// Records that a request was sent to an upstream.
    pub fn record_sent(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.record_sent();
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

    /// Returns the number of upstreams of a service that accept work, and the estimated mean
    /// fraction of their slots in use.
    pub fn service_load(&self, now: Instant, service: &str) -> (usize, f64) {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let usable = keys.iter().filter(|key| self.upstreams[**key].accepts_work(now));
        let loads: Vec<f64> = usable.map(|key| self.upstreams[*key].load(now)).collect();
        (loads.len(), loads.iter().sum::<f64>() / loads.len().max(1) as f64)
    }
}
