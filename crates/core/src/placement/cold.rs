//! Cold upstreams: those that have just started, or may have lost what makes them fast.
//!
//! Load pattern: many hosts send to an upstream that has just started, or all of whose failure domain
//! has just been given back. It looks idle to each of them, and crashes if it gets much more than a
//! fixed rate of requests from all hosts together while it is cold. The rate is split between the
//! hosts, and lent, as the limits that upstreams name themselves are ([`RateLimit`]), so the sum holds
//! whichever hosts are cut off from the store or from each other. It saves up less, so that each second
//! gets at most one and a half times the rate.

use {
    super::{
        Placement,
        rate_limit::{LendOutcome, RateLimit, Saving},
        upstream::Upstream,
    },
    crate::{
        ids::{HostId, ServiceId, UpstreamId},
        routing::ServiceRules,
        shares::AllowanceHosts,
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// What the hosts may save up of the rate. The saved tokens, those of a second and the borrowed ones
/// that still count at its beginning are one and a half times the rate.
const SAVING: Saving =
    Saving { time: Duration::from_millis(300), borrowed_ttl: Duration::from_millis(200) };

/// How a service's upstreams start.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ColdRules {
    /// How long an upstream is cold after its start.
    start: Duration,
    /// Requests a second that a cold upstream takes from all hosts together. Invariant: above zero.
    per_s: f64,
}

/// The services whose upstreams may be cold.
#[derive(Debug, Default)]
pub(super) struct ColdServices(HashMap<ServiceId, ColdRules>);

/// Whether an upstream is cold.
#[derive(Debug, Default)]
pub(super) struct ColdState {
    /// Revision of the store up to which entries are not later than what is known; `None` before
    /// an entry.
    revision: Option<u64>,
    until: Option<Instant>,
    /// This host's part of the rate. Present at least as long as the upstream is cold.
    limit: Option<RateLimit>,
}

impl ColdState {
    /// Returns this host's part of the rate while the upstream is cold.
    pub(super) fn limit(&self, now: Instant) -> Option<&RateLimit> {
        self.limit.as_ref().filter(|_| self.until.is_some_and(|until| now < until))
    }

    fn limit_mut(&mut self, now: Instant) -> Option<&mut RateLimit> {
        self.limit.as_mut().filter(|_| self.until.is_some_and(|until| now < until))
    }

    /// Counts a request. Returns false if the rate does not allow it now.
    pub(super) fn take(&mut self, now: Instant) -> bool {
        self.limit_mut(now).is_none_or(|limit| limit.take(now))
    }

    /// Returns when the host's part next allows a request. The end of the cold time does, too.
    pub(super) fn next_token_at(&self, now: Instant) -> Option<Instant> {
        let limit = self.limit(now)?;
        limit.next_token_at(now).into_iter().chain(self.until).min()
    }

    /// Applies changed hosts.
    pub(super) fn set_hosts(&mut self, now: Instant, upstream: &str, hosts: &AllowanceHosts) {
        if let Some(limit) = &mut self.limit {
            let per_s = limit.limit_per_s();
            limit.set_limit(now, upstream, per_s, hosts);
        }
    }

    /// Returns how much longer the upstream is cold.
    fn left(&self, now: Instant) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Sets for how long the upstream is cold from now on.
    fn set(
        &mut self,
        now: Instant,
        left: Duration,
        upstream: &str,
        rules: Option<&ColdRules>,
        hosts: &AllowanceHosts,
    ) {
        let is_cold = self.limit(now).is_some();
        // The time also counts if the configuration, with its rate, comes after the entries.
        self.until = now.checked_add(left).filter(|_| !left.is_zero());
        let Some(rules) = rules.filter(|_| self.until.is_some()) else {
            self.limit = None;
            return;
        };
        // A host that learns that an upstream is cold starts without tokens.
        match self.limit.as_mut().filter(|_| is_cold) {
            Some(limit) => limit.set_limit(now, upstream, rules.per_s, hosts),
            None => {
                self.limit = Some(RateLimit::new(now, now, upstream, rules.per_s, hosts, SAVING));
            }
        }
    }
}

/// An upstream's entry in the store, as far as it concerns coldness.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdEntry {
    /// How much longer the upstream is cold, by the entry.
    pub left: Duration,
    /// The entry's revision; `None` if it comes from another host.
    pub revision: Option<u64>,
    /// Whether the host knew the upstreams before. An upstream that registers from then on is new.
    pub is_news: bool,
}

impl ColdServices {
    /// Counts an upstream whose domain was given back at a revision of the store as cold, until a later
    /// entry says otherwise.
    pub(super) fn on_return(
        &self,
        now: Instant,
        upstream: &mut Upstream,
        revision: u64,
        hosts: &AllowanceHosts,
    ) {
        let Some(rules) = self.0.get(&upstream.record.service) else { return };
        upstream.cold.revision = upstream.cold.revision.max(Some(revision));
        let left = upstream.cold.left(now).max(rules.start);
        upstream.cold.set(now, left, &upstream.record.id, Some(rules), hosts);
    }
}

impl Placement {
    /// Applies the rules of services. Upstreams that are cold keep to the changed rates.
    pub fn set_cold_rules(&mut self, now: Instant, services: &BTreeMap<ServiceId, ServiceRules>) {
        let with_rates = services.iter().filter(|(_, rules)| rules.cold_per_s > 0.0);
        let cold_rules = with_rates.map(|(service, rules)| {
            (service.clone(), ColdRules { start: rules.cold_start, per_s: rules.cold_per_s })
        });
        self.cold_services = ColdServices(cold_rules.collect());
        for upstream in self.upstreams.values_mut() {
            let rules = self.cold_services.0.get(&upstream.record.service);
            let left = upstream.cold.left(now);
            upstream.cold.set(now, left, &upstream.record.id, rules, &self.limit_hosts);
        }
    }

    /// Applies an upstream's entry after [`Self::upsert`]. Returns whether it makes the upstream cold
    /// or warm.
    pub fn record_cold_entry(&mut self, now: Instant, upstream: &str, entry: ColdEntry) -> bool {
        let Some(&key) = self.by_id.get(upstream) else { return false };
        let upstream = &mut self.upstreams[key];
        let rules = self.cold_services.0.get(&upstream.record.service);
        let left = match upstream.cold.revision {
            None if entry.is_news => {
                entry.left.max(rules.map_or(Duration::ZERO, |rules| rules.start))
            }
            None => entry.left,
            // A listing repeats entries whose time has passed since.
            Some(known) if entry.revision.is_none_or(|revision| revision <= known) => return false,
            Some(_) => entry.left,
        };
        upstream.cold.revision = Some(entry.revision.unwrap_or_default());
        let was_cold = upstream.cold.limit(now).is_some();
        upstream.cold.set(now, left, &upstream.record.id, rules, &self.limit_hosts);
        was_cold != upstream.cold.limit(now).is_some()
    }

    /// Records that an upstream says in an answer that it is cold.
    pub fn record_cold_answer(&mut self, now: Instant, key: super::UpstreamKey, left: Duration) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let rules = self.cold_services.0.get(&upstream.record.service);
        if !left.is_zero() {
            upstream.cold.set(now, left, &upstream.record.id, rules, &self.limit_hosts);
        }
    }

    /// Returns how much longer an upstream is cold.
    pub fn cold_left(&self, now: Instant, upstream: &str) -> Duration {
        let key = self.by_id.get(upstream);
        key.map_or(Duration::ZERO, |key| self.upstreams[*key].cold.left(now))
    }

    /// Returns the number of cold upstreams.
    pub fn cold_count(&self, now: Instant) -> usize {
        self.upstreams.values().filter(|upstream| upstream.cold.limit(now).is_some()).count()
    }

    /// Returns the upstreams of a service for which this host should borrow a token of the cold rate:
    /// their own is used up, and they have more capacity left than those that may be used.
    pub fn cold_upstreams_to_borrow_for(&self, now: Instant, service: &str) -> Vec<UpstreamId> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let accepting =
            || keys.iter().map(|key| &self.upstreams[*key]).filter(|one| one.accepts_work(now));
        let is_throttled = |upstream: &&Upstream| {
            upstream.cold.limit(now).is_some_and(|limit| !limit.has_token(now))
        };
        let mean_load = self.mean_remote_load(now, service);
        let cost = |upstream: &Upstream| {
            upstream.load(now, mean_load) + upstream.return_load(now) + upstream.penalty(now)
        };
        let mut throttled = accepting().filter(is_throttled).peekable();
        if throttled.peek().is_none() {
            return Vec::new();
        }
        let usable_costs = accepting().filter(|one| one.is_within_limit(now)).map(cost);
        let least_cost = usable_costs.fold(f64::INFINITY, f64::min);
        let to_borrow = throttled.filter(|upstream| cost(upstream) <= least_cost);
        to_borrow.map(|upstream| upstream.record.id.clone()).collect()
    }

    /// Returns the other hosts that may lend tokens of an upstream's cold rate.
    pub fn cold_lenders(&self, now: Instant, upstream: &str) -> Vec<HostId> {
        let cold = self.by_id.get(upstream).map(|key| &self.upstreams[*key].cold);
        let Some(limit) = cold.and_then(|cold| cold.limit(now)) else { return Vec::new() };
        let holders = self.limit_hosts.holders_of(upstream, limit.burst_tokens());
        holders.into_iter().cloned().collect()
    }

    /// Takes a token of an upstream's cold rate for another host, to which it is cold for `left` by
    /// entries up to `revision`.
    pub fn lend_cold_token(
        &mut self,
        now: Instant,
        upstream: &str,
        left: Duration,
        revision: u64,
    ) -> LendOutcome {
        let Some(&key) = self.by_id.get(upstream) else { return LendOutcome::NoToken };
        let upstream = &mut self.upstreams[key];
        if upstream.cold.limit(now).is_none() {
            // A host that does not know that the upstream is cold keeps to the rate from now on.
            if upstream.cold.revision.is_none_or(|known| known <= revision) {
                let rules = self.cold_services.0.get(&upstream.record.service);
                upstream.cold.set(now, left, &upstream.record.id, rules, &self.limit_hosts);
            }
            return LendOutcome::NoToken;
        }
        match upstream.cold.limit_mut(now) {
            Some(limit) if limit.has_own_token(now) => {
                limit.take_own(now);
                LendOutcome::Lent
            }
            _ => LendOutcome::NoToken,
        }
    }

    /// Returns the revision up to which an upstream's entries are known.
    pub fn cold_revision(&self, upstream: &str) -> Option<u64> {
        self.upstreams[*self.by_id.get(upstream)?].cold.revision
    }

    /// Adds a token of an upstream's cold rate that another host has lent.
    pub fn receive_cold_token(&mut self, now: Instant, upstream: &str) {
        let Some(&key) = self.by_id.get(upstream) else { return };
        if let Some(limit) = self.upstreams[key].cold.limit_mut(now) {
            limit.receive(now);
        }
    }
}

#[cfg(test)]
mod tests;
