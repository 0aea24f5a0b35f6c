//! Assignment of roles to hosts by rendezvous hashing.

use {
    super::{HostEntry, Membership},
    crate::{
        ids::{DomainId, HostId, JournalId, TeamId},
        rendezvous::{Point, in_other_domains},
    },
    std::{cmp::Ordering, time::Instant},
};

/// Number of halves into which a team's allowance is split.
pub const HALVES: u8 = 2;

/// A host as a candidate for roles, with its hashes computed in advance.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    host: HostId,
    host_point: Point,
    domain: DomainId,
    domain_point: Point,
}

impl Candidate {
    pub fn new(host: &HostId, domain: &DomainId) -> Self {
        Self {
            host: host.clone(),
            host_point: Point::new(host),
            domain: domain.clone(),
            domain_point: Point::new(domain),
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
    hosts: Point,
    domains: Option<DomainOrder>,
}

/// Orders candidates by failure domain, before they are ordered by host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct DomainOrder {
    point: Point,
    is_reversed: bool,
}

impl RoleKey {
    /// The limiter of one half of a team's allowance. The two halves order failure domains in
    /// opposite directions, so with two or more domains they are never placed in the same one.
    pub fn limiter(team: &str, half: u8) -> Self {
        let domains =
            DomainOrder { point: Point::new(&format!("limiter/{team}")), is_reversed: half != 0 };
        Self { hosts: Point::new(&format!("limiter/{team}/{half}")), domains: Some(domains) }
    }

    /// The dispatcher of a service's upstreams.
    pub fn dispatcher(service: &str) -> Self {
        Self { hosts: Point::new(&format!("dispatcher/{service}")), domains: None }
    }

    /// The successor of a journal's owner.
    pub fn journal(journal: &str) -> Self {
        Self { hosts: Point::new(&format!("journal/{journal}")), domains: None }
    }

    /// Compares two candidates; the greater one ranks higher.
    pub(super) fn compare(&self, a: &Candidate, b: &Candidate) -> Ordering {
        let by_domain = self.domains.map_or(Ordering::Equal, |order| order.compare(a, b));
        let weight = |candidate: &Candidate| self.hosts.weight(candidate.host_point);
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

/// State of this host with regard to an exclusive role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Another host ranks first, or no candidate is known.
    Elsewhere(Option<HostId>),
    /// This host ranks first, but must not act because it has no lease.
    Lapsed,
    /// This host ranks first and has a lease, but a host that doesn't have it in its view yet may
    /// still hold the role. It may use only what the former holder has handed over to it.
    Settling {
        /// Since when this state has held without a gap.
        since: Instant,
    },
    /// This host is the only holder of the role.
    Acting {
        /// Since when this state has held without a gap. No other host has acted in the role on its
        /// own authority since then.
        since: Instant,
        /// Since when this host has ranked first with a lease, without a gap. A handover received
        /// at or after this time is still valid.
        held_since: Instant,
        /// The former holder, if its departure is what gave this host the role at `since`. `None`
        /// if a later lease or settling did, or if the departure is no longer stored.
        former: Option<HostId>,
    },
}

/// Role assignment according to this host's view.
impl Membership {
    /// Returns this host's state for an exclusive role. Check it immediately before each effect.
    pub fn standing(&self, key: &RoleKey, now: Instant) -> Standing {
        self.standing_among(key, now, HostEntry::is_live)
    }

    /// Returns this host's standing for a role without counting `successor`, the host that ranks
    /// first now. [`Standing::Acting`] means that this host may hand over to `successor`, since no
    /// third host ranks above this one.
    pub fn former_standing(&self, key: &RoleKey, successor: &str, now: Instant) -> Standing {
        let winner = self.view.winner(key, HostEntry::is_live);
        if winner.is_none_or(|winner| &*winner.member.host != successor) {
            return Standing::Elsewhere(winner.map(|winner| winner.member.host.clone()));
        }
        self.standing_among(key, now, |entry| entry.is_live() && &*entry.member.host != successor)
    }

    fn standing_among(
        &self,
        key: &RoleKey,
        now: Instant,
        accepts: impl Fn(&HostEntry) -> bool,
    ) -> Standing {
        let winner = self.view.winner(key, accepts);
        if winner.is_none_or(|winner| winner.member != self.me.member) || !self.accepts_roles() {
            let other = winner.filter(|winner| winner.member != self.me.member);
            return Standing::Elsewhere(other.map(|winner| winner.member.host.clone()));
        }
        let Some(leased_since) = self.lease.held_since(now) else { return Standing::Lapsed };
        let (departed_at, former) = self.view.last_departure_above(key, &self.me.member.host);
        let since = leased_since.max(departed_at);
        match self.settled_at {
            Some(settled_at) => {
                let is_by_departure = departed_at >= leased_since.max(settled_at);
                Standing::Acting {
                    since: since.max(settled_at),
                    held_since: since,
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
        self.view.winner(&RoleKey::journal(journal), |entry| {
            self.is_usable(entry) && owner.as_ref() != Some(&entry.member.host)
        })
    }

    /// Returns the limiter of one half of a team's allowance.
    pub fn limiter_of(&self, team: &TeamId, half: u8) -> Option<&HostEntry> {
        self.view.winner(&RoleKey::limiter(team, half), HostEntry::is_live)
    }

    /// Returns the highest-ranked settled host for one half of a team's allowance. A limiter that
    /// is still settling requests the handover from this host.
    pub fn settled_limiter_of(&self, team: &TeamId, half: u8) -> Option<&HostEntry> {
        self.view.winner(&RoleKey::limiter(team, half), |entry| entry.is_live() && entry.is_settled)
    }

    /// Returns the dispatcher of a service. Its state is soft, so a new dispatcher doesn't wait for
    /// the former one. Excludes hosts that this host can't reach.
    pub fn dispatcher_of(&self, service: &str) -> Option<&HostEntry> {
        self.view.winner(&RoleKey::dispatcher(service), |entry| self.is_usable(entry))
    }

    /// Returns up to [`BACKUPS`] live hosts, each in a failure domain of its own other than
    /// `domain`, in the order of their ranks for `journal`.
    pub fn backups_for(&self, journal: &JournalId, domain: &str) -> Vec<&HostEntry> {
        let ranked = self.view.ranked(&RoleKey::journal(journal), |entry| self.is_usable(entry));
        in_other_domains(ranked, |entry| &entry.domain, domain, BACKUPS)
    }

    fn is_usable(&self, entry: &HostEntry) -> bool {
        entry.is_live() && !self.lost_peers.contains(&entry.member.host)
    }
}

/// Number of hosts that hold copies of a journal's entries while the store is unavailable.
pub const BACKUPS: usize = 2;
