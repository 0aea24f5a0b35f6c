//! Which upstream a request goes to, when the host that took it sends it.
//!
//! Load pattern: many entry hosts send to the same few upstreams without asking each other. What a
//! host knows is its own requests under way, and the load that each answer reports. An estimate adds
//! the two, so that a host neither follows stale reports nor forgets the other hosts. Lines of turns
//! stay at the upstream that has read them, until it is full or in trouble. An upstream that fails fast is
//! always idle, and a slow one fills up late: errors and slow events count like load until they are some
//! seconds old.

mod breaks;
mod full;
mod outage;
mod upstream;

#[cfg(test)]
mod tests;

pub use {
    breaks::{AfterBreak, Breaks},
    full::{FullServices, FullWait},
    outage::{Delisted, StoreOutage},
    upstream::{Load, Outcome, UpstreamRecord},
};

use {
    crate::{
        ids::{DomainId, ServiceId, UpstreamId},
        rendezvous::Point,
    },
    slotmap::{SlotMap, new_key_type},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    upstream::Upstream,
};

new_key_type! {
    /// An upstream in one of its lives.
    pub struct UpstreamKey;
}

/// Load that a busier upstream of the own failure domain may have over another one: sending bytes to
/// another domain costs delay and is priced, but a tenth of the slots is worth it.
const DOMAIN_PREFERENCE: f64 = 0.15;
/// How many times longer than usual a pause between events is that counts as slow. Beside the reading of
/// other prompts, and in a full batch, pauses are some two times longer.
const SLOW_EVENT_FACTOR: f64 = 4.0;
/// Weight of one pause in what is usual for a service.
const USUAL_PAUSE_WEIGHT: f64 = 0.02;
/// Lines of turns remembered, about a minute of them at the size to design for.
const LINES_MAX: usize = 16_384;
/// How long a line of turns is remembered after its last turn.
const LINE_KEPT: Duration = Duration::from_secs(60);

/// A request to place.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a str,
    /// The line of turns that it continues, or the program.
    pub line: Option<&'a str>,
    /// Upstreams that have refused it.
    pub refused_by: &'a [UpstreamKey],
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// To this upstream.
    Use(UpstreamKey),
    /// All upstreams that take work have refused it.
    AllRefused,
    /// The service has no upstream that takes work.
    NoUpstream,
}

/// A line of turns and where it ran last.
#[derive(Debug)]
struct Line {
    upstream: UpstreamKey,
    used_at: Instant,
}

/// The upstreams that this host knows, and its requests at them.
#[derive(Debug)]
pub struct Placement {
    domain: DomainId,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_id: HashMap<UpstreamId, UpstreamKey>,
    /// Invariant: has each upstream of `by_id` once, under its service.
    by_service: HashMap<ServiceId, Vec<UpstreamKey>>,
    lines: HashMap<String, Line>,
    /// The usual pause between events of a service's streams, in seconds.
    usual_pauses_s: HashMap<ServiceId, f64>,
}

impl Placement {
    /// Makes a placement for a host of a failure domain.
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            upstreams: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            lines: HashMap::new(),
            usual_pauses_s: HashMap::new(),
        }
    }

    /// Takes in an upstream's record. Returns whether it changes where work may go. A record of a
    /// later life replaces what was known of the earlier one.
    pub fn upsert(&mut self, record: UpstreamRecord) -> bool {
        if let Some(&key) = self.by_id.get(&record.id) {
            let known = &mut self.upstreams[key];
            if record.incarnation < known.record.incarnation {
                // A heartbeat of an earlier life that was late.
                return false;
            }
            if known.record.is_same_life(&record) {
                let is_new = known.record != record;
                known.record = record;
                return is_new;
            }
            self.remove(&record.id);
        }
        let (id, service) = (record.id.clone(), record.service.clone());
        let key = self.upstreams.insert(Upstream::new(record));
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        true
    }

    /// Forgets an upstream. Returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(key) = self.by_id.remove(id) else { return false };
        if let Some(upstream) = self.upstreams.remove(key)
            && let Some(keys) = self.by_service.get_mut(&upstream.record.service)
        {
            keys.retain(|&other| other != key);
        }
        true
    }

    /// Ids of all known upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.by_id.keys()
    }

    /// Records of all known upstreams.
    pub fn records(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.upstreams.values().map(|upstream| &upstream.record)
    }

    /// Returns an upstream's record.
    pub fn record(&self, key: UpstreamKey) -> Option<&UpstreamRecord> {
        self.upstreams.get(key).map(|upstream| &upstream.record)
    }

    /// Chooses an upstream.
    pub fn choose(&mut self, now: Instant, demand: &Demand<'_>) -> Choice {
        let keys = self.by_service.get(demand.service).map_or(&[][..], Vec::as_slice);
        let takes_work = |key: &&UpstreamKey| self.upstreams[**key].takes_work(now);
        let mut usable: Vec<UpstreamKey> = keys.iter().filter(takes_work).copied().collect();
        if usable.is_empty() {
            // Ejected upstreams are better than none.
            let listed = |key: &&UpstreamKey| !self.upstreams[**key].record.is_leaving;
            usable = keys.iter().filter(listed).copied().collect();
        }
        if usable.is_empty() {
            return Choice::NoUpstream;
        }
        usable.retain(|key| !demand.refused_by.contains(key));
        let Some(best) = self.least_loaded(now, &usable, demand.line) else {
            return Choice::AllRefused;
        };
        let chosen = self.sticky(now, &usable, demand.line).unwrap_or(best);
        if let Some(line) = demand.line {
            self.remember(now, line, chosen);
        }
        Choice::Use(chosen)
    }

    fn least_loaded(
        &self,
        now: Instant,
        usable: &[UpstreamKey],
        line: Option<&str>,
    ) -> Option<UpstreamKey> {
        let line = line.map(Point::new);
        let cost = |key: UpstreamKey| {
            let upstream = &self.upstreams[key];
            let away = if upstream.record.domain == self.domain { 0.0 } else { DOMAIN_PREFERENCE };
            let point = Point::new(&upstream.record.id);
            // Hosts agree on the upstream of a line that none of them has seen, all else equal.
            let tie = line.map_or(0, |line| u64::MAX - line.weight(point));
            (upstream.load(now) + upstream.trouble_score(now) + away, tie)
        };
        let by_cost = |a: &UpstreamKey, b: &UpstreamKey| {
            let ((a_cost, a_tie), (b_cost, b_tie)) = (cost(*a), cost(*b));
            a_cost.total_cmp(&b_cost).then(a_tie.cmp(&b_tie))
        };
        usable.iter().copied().min_by(by_cost)
    }

    fn sticky(
        &self,
        now: Instant,
        usable: &[UpstreamKey],
        line: Option<&str>,
    ) -> Option<UpstreamKey> {
        let upstream = self.lines.get(line?)?.upstream;
        let may_stay = usable.contains(&upstream) && self.upstreams[upstream].keeps_lines(now);
        may_stay.then_some(upstream)
    }

    fn remember(&mut self, now: Instant, line: &str, upstream: UpstreamKey) {
        if let Some(known) = self.lines.get_mut(line) {
            *known = Line { upstream, used_at: now };
            return;
        }
        if self.lines.len() >= LINES_MAX {
            self.lines.retain(|_, line| now.duration_since(line.used_at) < LINE_KEPT);
        }
        if self.lines.len() < LINES_MAX {
            self.lines.insert(line.into(), Line { upstream, used_at: now });
        }
    }

    /// Notes that a request was sent.
    pub fn started(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.started();
        }
    }

    /// Notes that a request is no longer under way, and how it went.
    pub fn ended(&mut self, now: Instant, key: UpstreamKey, outcome: Outcome) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.ended(now, outcome);
        }
    }

    /// Notes that an upstream broke off a request that is sent to it again.
    pub fn broke_off(&mut self, now: Instant, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.failed(now);
        }
    }

    /// Takes in the load that an answer reports.
    pub fn reported(&mut self, now: Instant, key: UpstreamKey, load: Load) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.reported(now, load);
        }
    }

    /// Takes in the pause between two events of a stream.
    pub fn paused(&mut self, now: Instant, key: UpstreamKey, pause: Duration) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let pause_s = pause.as_secs_f64();
        let Some(usual_s) = self.usual_pauses_s.get_mut(&upstream.record.service) else {
            self.usual_pauses_s.insert(upstream.record.service.clone(), pause_s);
            return;
        };
        let slow_s = *usual_s * SLOW_EVENT_FACTOR;
        if pause_s > slow_s {
            upstream.was_slow(now);
        }
        // When all upstreams slow down, what is usual follows.
        *usual_s += (pause_s.min(slow_s) - *usual_s) * USUAL_PAUSE_WEIGHT;
    }

    /// Returns how many upstreams of a service take work, and how many of their slots seem taken.
    pub fn service_load(&self, now: Instant, service: &str) -> (usize, f64) {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let usable = keys.iter().filter(|key| self.upstreams[**key].takes_work(now));
        let loads: Vec<f64> = usable.map(|key| self.upstreams[*key].load(now)).collect();
        (loads.len(), loads.iter().sum::<f64>() / loads.len().max(1) as f64)
    }
}
