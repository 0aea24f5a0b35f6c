//! Removal of hosts whose leases another delegate may have extended without the store.

use {
    super::{
        Body, DomainRole, Guard, Membership, Query, ROSTER_PREFIX, Roster, StoreOp,
        follower::encode, freeze::may_remove, options::Rule, store::Purpose,
    },
    crate::ids::{DomainId, Member},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

/// Roster entries that may be removed once their guards release them: the hosts of a domain whose
/// roster has not changed for longer than its leases last, or the inherited hosts of this domain.
#[derive(Clone, Debug)]
pub(super) struct StaleEntries {
    pub domain: DomainId,
    /// Revision of the roster that a release must name to count.
    pub revision: u64,
    /// The guards of each delegate that may have extended the leases.
    pub guard_sets: Vec<Vec<Guard>>,
}

impl Membership {
    /// Sends a release request to each guard that has not released the entries yet. A guard that
    /// runs on this host is handled locally.
    pub(super) fn request_releases(&mut self, now: Instant, stale: &StaleEntries) {
        let DomainRole::Delegate(delegate) = &self.domain_role else { return };
        let released: BTreeSet<Member> = delegate.releases(&stale.domain, stale.revision);
        let unreleased: BTreeMap<Member, String> = stale
            .guard_sets
            .iter()
            .flatten()
            .filter(|guard| !released.contains(&guard.member))
            .map(|guard| (guard.member.clone(), guard.address.clone()))
            .collect();
        for (guard, address) in unreleased {
            if guard.host == self.me.member.host {
                self.release_locally(now, stale, guard);
                continue;
            }
            let query = Query::Release {
                domain: stale.domain.clone(),
                revision: stale.revision,
                guard: guard.clone(),
            };
            self.send(&guard.host, &address, Body::Query(query));
        }
    }

    fn release_locally(&mut self, now: Instant, stale: &StaleEntries, guard: Member) {
        if !self.release(now, &stale.domain, stale.revision, &guard) {
            return;
        }
        if let DomainRole::Delegate(delegate) = &mut self.domain_role {
            delegate.record_release(stale.domain.clone(), stale.revision, guard);
        }
    }

    /// Writes an empty roster for a domain whose hosts have all been released. The write is
    /// conditional on the object version, so it fails if the roster has been written since it was
    /// found stale.
    pub(super) fn clear_if_released(&mut self, now: Instant, stale: &StaleEntries) {
        let DomainRole::Delegate(delegate) = &self.domain_role else { return };
        let Some(other) = delegate.other_rosters.get(&stale.domain) else { return };
        let released = delegate.releases(&stale.domain, stale.revision);
        let is_released = may_remove(&stale.guard_sets, &released);
        if !is_released && self.options.enforces(Rule::Release) {
            return;
        }
        let roster = Roster {
            domain: stale.domain.clone(),
            writer: self.me.member.clone(),
            writer_address: self.me.address.clone(),
            revision: other.roster.revision + 1,
            hosts: BTreeMap::new(),
            guards: Vec::new(),
            former_guards: Vec::new(),
            seen: BTreeMap::new(),
        };
        let op = StoreOp::Write {
            key: format!("{ROSTER_PREFIX}{}", stale.domain),
            if_version: other.version,
            bytes: encode(&roster),
        };
        self.start_operation(now, Purpose::Clear, op);
    }
}
