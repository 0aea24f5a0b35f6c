//! Removal of hosts whose leases another delegate may have extended without the store.

use {
    super::{
        Body, Guard, Membership, Query, ROSTER_PREFIX, Roster, RosterRole, StoreOp,
        follower::encode, freeze::may_remove, options::Rule, store::Purpose,
    },
    crate::ids::{DomainId, HostId, Member},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

/// Roster entries that may be removed once guards have released their domain: the hosts of a domain
/// whose roster has not changed for longer than the leases of its hosts can last, or the inherited
/// hosts of this domain.
#[derive(Clone, Debug)]
pub(super) struct UnreleasedEntries {
    pub domain: DomainId,
    /// Roster revision for which the guards must release the domain.
    pub revision: u64,
    /// The guards of each delegate that may have extended the leases.
    pub guard_sets: Vec<Vec<Guard>>,
}

impl Membership {
    /// Sends a release request to each guard that has not released the domain yet. A guard that
    /// runs on this host is handled locally.
    pub(super) fn request_releases(&mut self, now: Instant, entries: &UnreleasedEntries) {
        let RosterRole::Delegate(delegate) = &self.roster_role else { return };
        let released: BTreeSet<Member> = delegate.releases(&entries.domain, entries.revision);
        let pending_guards: BTreeMap<Member, Vec<(HostId, String)>> = entries
            .guard_sets
            .iter()
            .flatten()
            .filter(|guard| !released.contains(&guard.member))
            .map(|guard| (guard.member.clone(), delegate.query_recipients(guard)))
            .collect();
        for (guard, recipients) in pending_guards {
            if guard.host == self.me.member.host {
                self.release_locally(now, entries, guard);
                continue;
            }
            let query = Query::Release {
                domain: entries.domain.clone(),
                revision: entries.revision,
                guard: guard.clone(),
            };
            for (host, address) in recipients {
                self.send(&host, &address, Body::Query(query.clone()));
            }
        }
    }

    fn release_locally(&mut self, now: Instant, entries: &UnreleasedEntries, guard: Member) {
        if !self.release(now, &entries.domain, entries.revision, &guard) {
            return;
        }
        if let RosterRole::Delegate(delegate) = &mut self.roster_role {
            delegate.record_release(entries.domain.clone(), entries.revision, guard);
        }
    }

    /// Writes an empty roster for a domain that has been released. The write is conditional on the
    /// object version, so it fails if the roster has been written since it was found stale.
    pub(super) fn clear_if_released(&mut self, now: Instant, entries: &UnreleasedEntries) {
        let RosterRole::Delegate(delegate) = &self.roster_role else { return };
        let Some(other) = delegate.other_rosters.get(&entries.domain) else { return };
        let released = delegate.releases(&entries.domain, entries.revision);
        let is_released = may_remove(&entries.guard_sets, &released);
        if !is_released && self.options.enforces(Rule::Release) {
            return;
        }
        let roster = Roster {
            domain: entries.domain.clone(),
            writer: self.me.member.clone(),
            writer_address: self.me.address.clone(),
            revision: other.roster.revision + 1,
            hosts: BTreeMap::new(),
            guards: Vec::new(),
            former_guards: Vec::new(),
            seen: BTreeMap::new(),
        };
        let op = StoreOp::Write {
            key: format!("{ROSTER_PREFIX}{}", entries.domain),
            if_version: other.version,
            bytes: encode(&roster),
        };
        self.start_operation(now, Purpose::Clear, op);
    }
}
