//! Which failure domains are evacuated, and how they get their load back.
//!
//! Load pattern: operators evacuate a failure domain, or several, and each of many hosts must send
//! no request there from a few seconds later until the end of the evacuation. Hosts learn of it from
//! the store, from the host that reads the store for them, or from any other host while the store is
//! unavailable, so a state may arrive late, twice and after a newer one. Each state and change comes
//! with the store's revision, and one that is not newer than what the host knows is ignored. A host
//! that knows no state yet sends nothing. A domain that is given back has idle upstreams with cold
//! caches, which all hosts would choose at the same time. Its upstreams therefore begin with the load
//! of a full upstream added to theirs, which falls to zero within [`RETURN_RAMP`].

mod pause;

#[cfg(test)]
mod tests;

pub use pause::PauseGuard;

use {
    super::{Placement, UpstreamKey, upstream::Upstream},
    crate::{
        ids::{DomainId, ServiceId},
        rendezvous::NameHash,
    },
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time in which the upstreams of a domain that is given back get their usual share of new work.
/// Upstreams of engines read all prompts again after an evacuation, which takes some seconds.
const RETURN_RAMP: Duration = Duration::from_secs(8);
/// Load that counts at first for an upstream of such a domain, as a fraction of its slots: that of a
/// full upstream.
const RETURN_LOAD: f64 = 1.0;

/// Work that moves to the other upstreams of a service when domains are evacuated.
#[derive(Clone, Copy, Debug)]
pub(super) struct MovedLoad {
    /// Load of the evacuated upstreams, as a fraction of the slots of those that remain.
    load: f64,
    at: Instant,
}

/// Revision of the store. Increases with each change of any object.
pub type StoreRevision = u64;

/// A change of the operators' list of evacuated domains.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationChange {
    /// The domain is evacuated.
    Begun(DomainId),
    /// The domain is given back.
    Ended(DomainId),
}

/// The evacuated failure domains as this host knows them.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Revision up to which the changes are known; `None` before any state was received.
    revision: Option<StoreRevision>,
    domains: BTreeSet<DomainId>,
}

impl Evacuations {
    /// Applies all evacuated domains at a revision. Returns whether they replace what was known.
    pub fn on_state(&mut self, revision: StoreRevision, domains: BTreeSet<DomainId>) -> bool {
        if self.revision.is_some_and(|known| revision < known) {
            return false;
        }
        let is_changed = self.revision.is_none() || self.domains != domains;
        self.revision = Some(revision);
        self.domains = domains;
        is_changed
    }

    /// Applies the changes up to a revision, oldest first, after the state at an earlier one. Returns
    /// whether the domains are different now. Changes that a newer state includes are ignored.
    pub fn on_changes(
        &mut self,
        revision: StoreRevision,
        changes: impl IntoIterator<Item = EvacuationChange>,
    ) -> bool {
        if self.revision.is_none_or(|known| revision <= known) {
            return false;
        }
        let before = self.domains.clone();
        self.revision = Some(revision);
        for change in changes {
            match change {
                EvacuationChange::Begun(domain) => self.domains.insert(domain),
                EvacuationChange::Ended(domain) => self.domains.remove(&domain),
            };
        }
        self.domains != before
    }

    /// Returns the evacuated domains and the revision up to which they are known; `None` before any
    /// state was received.
    pub fn known(&self) -> Option<(StoreRevision, &BTreeSet<DomainId>)> {
        Some((self.revision?, &self.domains))
    }
}

/// The domains in which a host uses no upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum EvacuatedDomains {
    /// Not known yet, so none may be used.
    Unknown,
    /// These are evacuated.
    Known(BTreeSet<DomainId>),
}

impl Default for EvacuatedDomains {
    fn default() -> Self {
        Self::Known(BTreeSet::new())
    }
}

impl EvacuatedDomains {
    pub(super) fn contains(&self, domain: &DomainId) -> bool {
        match self {
            Self::Unknown => true,
            Self::Known(domains) => domains.contains(domain),
        }
    }
}

impl Placement {
    /// Uses no upstream until [`Self::set_evacuated_domains`] is called. For hosts of a deployment with
    /// evacuations, which may start during one.
    pub fn await_evacuated_domains(&mut self) {
        self.evacuated_domains = EvacuatedDomains::Unknown;
        self.upstreams.values_mut().for_each(|upstream| upstream.is_evacuated = true);
    }

    /// Sets the evacuated domains at a revision of the store. Their upstreams get no new requests.
    /// Those of domains that are given back count as cold.
    pub fn set_evacuated_domains(
        &mut self,
        now: Instant,
        revision: StoreRevision,
        domains: &BTreeSet<DomainId>,
    ) {
        let were_unknown = self.evacuated_domains == EvacuatedDomains::Unknown;
        self.evacuated_domains = EvacuatedDomains::Known(domains.clone());
        let mut moved_requests: HashMap<ServiceId, f64> = HashMap::new();
        for upstream in self.upstreams.values_mut() {
            let is_evacuated = domains.contains(&upstream.record.domain);
            let was_evacuated = std::mem::replace(&mut upstream.is_evacuated, is_evacuated);
            if is_evacuated && !was_evacuated {
                let service = upstream.record.service.clone();
                let mean_load = self.remote_loads.get(&service).map_or(0.0, |mean| mean.value(now));
                let reported = upstream.reported_load(now);
                let load = reported.unwrap_or_else(|| upstream.load(now, mean_load));
                *moved_requests.entry(service).or_default() +=
                    load * f64::from(upstream.record.slots);
            }
            if was_evacuated && !is_evacuated && !were_unknown {
                upstream.returned_at = Some(now);
                self.cold_services.on_return(now, upstream, revision, &self.limit_hosts);
            }
        }
        for (service, requests) in moved_requests {
            let keys = self.by_service.get(&service).map_or(&[][..], Vec::as_slice);
            let remaining = keys.iter().map(|key| &self.upstreams[*key]);
            let slots: u32 = remaining
                .filter(|upstream| upstream.accepts_work(now))
                .map(|upstream| upstream.record.slots)
                .sum();
            let load = requests / f64::from(slots.max(1));
            self.moved_loads.insert(service, MovedLoad { load, at: now });
        }
    }

    /// Returns the load that the upstreams of a service will have on top of what they report, because
    /// work moves to them from evacuated domains. What runs there ends within about the time of a
    /// request, and what follows it shows in the reports from then on.
    pub(super) fn moved_load(&self, now: Instant, service: &str) -> f64 {
        let time_s = self.service_times_s.get(service).copied().unwrap_or_default();
        self.moved_loads.get(service).map_or(0.0, |moved| {
            let age_s = now.saturating_duration_since(moved.at).as_secs_f64();
            moved.load * (-age_s / time_s.max(f64::MIN_POSITIVE)).exp()
        })
    }

    /// Returns whether an upstream is in an evacuated domain, or is no longer known.
    pub fn is_evacuated(&self, key: UpstreamKey) -> bool {
        self.upstreams.get(key).is_none_or(|upstream| upstream.is_evacuated)
    }

    /// Returns the addresses of the upstreams outside evacuated domains, to which connections may be
    /// tried.
    pub fn usable_addresses(&self) -> Vec<SocketAddr> {
        let usable = self.upstreams.values().filter(|upstream| !upstream.is_evacuated);
        usable.map(|upstream| upstream.record.address).collect()
    }

    /// Returns the number of upstreams in evacuated domains.
    pub fn evacuated_count(&self) -> usize {
        self.upstreams.values().filter(|upstream| upstream.is_evacuated).count()
    }
}

impl Upstream {
    /// Returns whether the upstream gets no new requests: it is about to stop, or its domain is
    /// evacuated.
    pub(super) fn is_excluded(&self) -> bool {
        self.is_leaving() || self.is_evacuated
    }

    /// Returns the part of the ramp after the return of the upstream's domain that has passed, from 0
    /// to 1.
    fn return_progress(&self, now: Instant) -> f64 {
        self.returned_at.map_or(1.0, |at| {
            let since = now.saturating_duration_since(at);
            (since.as_secs_f64() / RETURN_RAMP.as_secs_f64()).min(1.0)
        })
    }

    /// Returns the load to add to the upstream's while its domain returns.
    pub(super) fn return_load(&self, now: Instant) -> f64 {
        RETURN_LOAD * (1.0 - self.return_progress(now))
    }

    /// Returns whether requests on an object may go to the upstream: while its domain returns, only
    /// those on a growing part of the objects, the same at all hosts.
    pub(super) fn takes_object(&self, now: Instant, object: NameHash) -> bool {
        // The upper bits of the weight are high for all objects that rank this upstream first.
        let point = object.weight(NameHash::new(&self.record.id)) as u32;
        f64::from(point) <= self.return_progress(now) * f64::from(u32::MAX)
    }
}
