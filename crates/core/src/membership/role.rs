//! Assignment of roles to hosts by rendezvous hashing.

use {
    super::{HostEntry, Membership},
    crate::{
        ids::{DomainId, HostId, JournalId, TeamId},
        rendezvous::{NameHash, select_distinct_domains},
    },
    std::{cmp::Ordering, time::Instant},
};

/// Number of halves into which a team's allowance is split.
pub const HALVES: u8 = 2;

/// A host as a candidate for roles, with its hashes computed in advance.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    host: HostId,
    host_point: NameHash,
    domain: DomainId,
    domain_point: NameHash,
}

impl Candidate {
    pub fn new(host: &HostId, domain: &DomainId) -> Self {
        Self {
            host: host.clone(),
            host_point: NameHash::new(host),
            domain: domain.clone(),
            domain_point: NameHash::new(domain),
        }
    }

    pub fn host(&self) -> &HostId {
        &self.host
    }
}

/// Identifies a role and orders the candidates for it.
///
/// Invariant: the order of two candidates depends only on those two. Two hosts that have each other
/// in their views therefore never both rank first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleKey {
    role_point: NameHash,
    domain_order: Option<DomainOrder>,
}

/// Orders candidates by failure domain, before they are ordered by host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct DomainOrder {
    point: NameHash,
    is_reversed: bool,
}

impl RoleKey {
    /// The limiter of one half of a team's allowance. The two halves order failure domains in
    /// opposite directions, so with two or more domains they are never placed in the same one.
    pub fn limiter(team: &str, half: u8) -> Self {
        let domain_order = DomainOrder {
            point: NameHash::new(&format!("limiter/{team}")),
            is_reversed: half != 0,
        };
        Self {
            role_point: NameHash::new(&format!("limiter/{team}/{half}")),
            domain_order: Some(domain_order),
        }
    }

    /// The dispatcher of a service's upstreams.
    pub fn dispatcher(service: &str) -> Self {
        Self { role_point: NameHash::new(&format!("dispatcher/{service}")), domain_order: None }
    }

    /// The successor of a journal's owner.
    pub fn journal(journal: &str) -> Self {
        Self { role_point: NameHash::new(&format!("journal/{journal}")), domain_order: None }
    }

    /// Compares two candidates; the greater one ranks higher.
    pub(super) fn compare(&self, a: &Candidate, b: &Candidate) -> Ordering {
        let by_domain = self.domain_order.map_or(Ordering::Equal, |order| order.compare(a, b));
        let weight = |candidate: &Candidate| self.role_point.weight(candidate.host_point);
        by_domain.then_with(|| weight(a).cmp(&weight(b))).then_with(|| b.host.cmp(&a.host))
    }
}

impl DomainOrder {
    fn compare(self, a: &Candidate, b: &Candidate) -> Ordering {
        let weight = |candidate: &Candidate| self.point.weight(candidate.domain_point);
        let order = weight(a).cmp(&weight(b)).then_with(|| b.domain.cmp(&a.domain));
        if self.is_reversed { order.reverse() } else { order }
    }
}

/// The standing of this host for an exclusive role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Another host ranks first, no candidate is known, or this host is draining or leaving.
    NotFirst(Option<HostId>),
    /// This host ranks first, but has no lease and must not act.
    Unleased,
    /// This host ranks first and has a lease, but another host may not have this host in its view
    /// yet and may still hold the role. Until then this host may use only what the former holder
    /// has handed over.
    Settling {
        /// Start of the current uninterrupted period in this standing.
        since: Instant,
    },
    /// This host is the only holder of the role.
    Acting {
        /// Start of the current uninterrupted period in this standing. Since then, no other host
        /// has acted in the role, except with what this host handed over to it.
        since: Instant,
        /// Start of the current uninterrupted period in which this host ranks first with a lease. A
        /// handover received at or after this time is still valid.
        ranked_first_since: Instant,
        /// The former holder, if this host became the holder at `since` because that host departed.
        /// `None` if a lease or settling that started later decided `since`, or if the departure is
        /// no longer stored.
        former: Option<HostId>,
    },
}

impl Membership {
    /// Returns this host's standing for an exclusive role. Check it immediately before each effect.
    pub fn standing(&self, key: &RoleKey, now: Instant) -> Standing {
        self.standing_among(key, now, HostEntry::is_live)
    }

    /// Returns this host's standing for a role, ignoring `successor`, which must rank first now.
    /// [`Standing::Acting`] means that this host may hand over to `successor`, since no third host
    /// ranks above this one.
    pub fn standing_excluding(&self, key: &RoleKey, successor: &str, now: Instant) -> Standing {
        let highest_ranked = self.view.highest_ranked(key, HostEntry::is_live);
        if highest_ranked.is_none_or(|highest_ranked| &*highest_ranked.member.host != successor) {
            return Standing::NotFirst(
                highest_ranked.map(|highest_ranked| highest_ranked.member.host.clone()),
            );
        }
        self.standing_among(key, now, |entry| entry.is_live() && &*entry.member.host != successor)
    }

    fn standing_among(
        &self,
        key: &RoleKey,
        now: Instant,
        is_candidate: impl Fn(&HostEntry) -> bool,
    ) -> Standing {
        let highest_ranked = self.view.highest_ranked(key, is_candidate);
        if highest_ranked.is_none_or(|highest_ranked| highest_ranked.member != self.me.member)
            || !self.accepts_roles()
        {
            let other =
                highest_ranked.filter(|highest_ranked| highest_ranked.member != self.me.member);
            return Standing::NotFirst(
                other.map(|highest_ranked| highest_ranked.member.host.clone()),
            );
        }
        let Some(leased_since) = self.lease.held_since(now) else { return Standing::Unleased };
        let (departed_at, former) = self.view.last_departure_above(key, &self.me.member.host);
        let since = leased_since.max(departed_at);
        match self.settled_at {
            Some(settled_at) => {
                let is_by_departure = departed_at >= leased_since.max(settled_at);
                Standing::Acting {
                    since: since.max(settled_at),
                    ranked_first_since: since,
                    former: former.filter(|_| is_by_departure),
                }
            }
            None => Standing::Settling { since },
        }
    }

    /// Returns whether this host is the only holder of an exclusive role now.
    pub fn is_acting(&self, key: &RoleKey, now: Instant) -> bool {
        matches!(self.standing(key, now), Standing::Acting { .. })
    }

    /// Returns the host that announces a journal as its own under the highest epoch. The
    /// announcement may be outdated; the journal in the store is authoritative.
    pub fn owner_of(&self, journal: &JournalId) -> Option<&HostEntry> {
        self.view.owner_of(journal)
    }

    /// Returns the host that should take over a journal when its owner is lost or draining.
    /// Excludes hosts that this host can't reach.
    pub fn successor_of(&self, journal: &JournalId) -> Option<&HostEntry> {
        let owner = self.owner_of(journal).map(|owner| owner.member.host.clone());
        self.view.highest_ranked(&RoleKey::journal(journal), |entry| {
            self.is_live_and_reachable(entry) && owner.as_ref() != Some(&entry.member.host)
        })
    }

    /// Returns the limiter of one half of a team's allowance.
    pub fn limiter_of(&self, team: &TeamId, half: u8) -> Option<&HostEntry> {
        self.view.highest_ranked(&RoleKey::limiter(team, half), HostEntry::is_live)
    }

    /// Returns the highest-ranked settled host for one half of a team's allowance. A limiter that
    /// is still settling requests the handover from this host.
    pub fn settled_limiter_of(&self, team: &TeamId, half: u8) -> Option<&HostEntry> {
        self.view.highest_ranked(&RoleKey::limiter(team, half), |entry| {
            entry.is_live() && entry.is_settled
        })
    }

    /// Returns the dispatcher of a service. A dispatcher holds only soft state, so a new one
    /// doesn't wait for the former one. Excludes hosts that this host can't reach.
    pub fn dispatcher_of(&self, service: &str) -> Option<&HostEntry> {
        self.view.highest_ranked(&RoleKey::dispatcher(service), |entry| {
            self.is_live_and_reachable(entry)
        })
    }

    /// Returns up to [`BACKUPS`] live hosts, each in a failure domain of its own other than
    /// `domain`, in the order of their ranks for `journal`.
    pub fn backups_for(&self, journal: &JournalId, domain: &str) -> Vec<&HostEntry> {
        let ranked =
            self.view.ranked(&RoleKey::journal(journal), |entry| self.is_live_and_reachable(entry));
        select_distinct_domains(ranked, |entry| &entry.domain, domain, BACKUPS)
    }

    fn is_live_and_reachable(&self, entry: &HostEntry) -> bool {
        entry.is_live() && !self.unreachable_peers.contains(&entry.member.host)
    }
}

/// Number of hosts that hold copies of a journal's entries while the store is unavailable.
pub const BACKUPS: usize = 2;
