//! Which host plays which role.

use {
    super::{HostEntry, Membership},
    crate::{
        ids::{DomainId, HostId, JournalId, TeamId},
        rendezvous::{Point, in_other_domains},
    },
    std::{cmp::Ordering, time::Instant},
};

/// Halves into which a team's allowance is split.
pub const HALVES: u8 = 2;

/// A host as a candidate for roles, hashed once.
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

/// Names a role and orders candidates for it.
///
/// Invariant: the order of two candidates depends on nothing but the two, so that two hosts that
/// see each other never both come first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleKey {
    hosts: Point,
    domains: Option<DomainOrder>,
}

/// Candidates of one failure domain come before those of another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct DomainOrder {
    point: Point,
    is_reversed: bool,
}

impl RoleKey {
    /// The limiter of half of a team's allowance. The halves order failure domains in opposite
    /// ways: with two domains or more they are never in the same one.
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

    /// Orders two candidates; the greater comes first.
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

/// Whether this host holds an exclusive role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Another host comes first, or none is known.
    Elsewhere(Option<HostId>),
    /// This host comes first, and may not act: it has no lease.
    Lapsed,
    /// This host comes first and has a lease. It may act only with what the former holder handed
    /// over to it, because a host that doesn't know of it may still hold the role.
    Settling {
        /// Since when it has been so without a gap.
        since: Instant,
    },
    /// This host alone holds the role.
    Acting {
        /// Since when, without a gap. No other host acted in the role by itself from then on.
        since: Instant,
        /// Since when it has come first with a lease, without a gap. What was handed over to it
        /// from then on still counts.
        held_since: Instant,
        /// The host whose leaving gave it the role at `since`, if nothing else did later.
        former: Option<HostId>,
    },
}

/// Roles, as seen from this host.
impl Membership {
    /// Returns whether this host holds an exclusive role now. Ask immediately before each act.
    pub fn standing(&self, key: &RoleKey, now: Instant) -> Standing {
        self.standing_among(key, now, HostEntry::is_live)
    }

    /// Returns this host's standing for a role as it was before `successor` came. It is
    /// [`Standing::Acting`] only if this host may hand over to `successor`: no third host comes
    /// before this one.
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

    /// Returns whether this host alone holds an exclusive role now.
    pub fn is_acting(&self, key: &RoleKey, now: Instant) -> bool {
        matches!(self.standing(key, now), Standing::Acting { .. })
    }

    /// Returns the host that owns a journal, as announced. The journal itself has the last word.
    pub fn owner_of(&self, journal: &JournalId) -> Option<&HostEntry> {
        self.view.owner_of(journal)
    }

    /// Returns the host that should take a journal over when its owner is gone or draining.
    /// Hosts that can't be reached from here are left out.
    pub fn successor_of(&self, journal: &JournalId) -> Option<&HostEntry> {
        let owner = self.owner_of(journal).map(|owner| owner.member.host.clone());
        self.view.winner(&RoleKey::journal(journal), |entry| {
            self.is_usable(entry) && owner.as_ref() != Some(&entry.member.host)
        })
    }

    /// Returns the host that holds half of a team's allowance.
    pub fn limiter_of(&self, team: &TeamId, half: u8) -> Option<&HostEntry> {
        self.view.winner(&RoleKey::limiter(team, half), HostEntry::is_live)
    }

    /// Returns the host that held half of a team's allowance before a host came that is still
    /// settling. The new one asks it to hand over.
    pub fn settled_limiter_of(&self, team: &TeamId, half: u8) -> Option<&HostEntry> {
        self.view.winner(&RoleKey::limiter(team, half), |entry| entry.is_live() && entry.is_settled)
    }

    /// Returns the dispatcher of a service. It holds soft state: no waiting, and hosts that can't
    /// be reached from here are left out.
    pub fn dispatcher_of(&self, service: &str) -> Option<&HostEntry> {
        self.view.winner(&RoleKey::dispatcher(service), |entry| self.is_usable(entry))
    }

    /// Returns two live hosts in two failure domains other than `domain`, or fewer if there are
    /// none, in an order that depends on `journal`.
    pub fn backups_for(&self, journal: &JournalId, domain: &str) -> Vec<&HostEntry> {
        let ranked = self.view.ranked(&RoleKey::journal(journal), |entry| self.is_usable(entry));
        in_other_domains(ranked, |entry| &entry.domain, domain, BACKUPS)
    }

    fn is_usable(&self, entry: &HostEntry) -> bool {
        entry.is_live() && !self.lost_peers.contains(&entry.member.host)
    }
}

/// Hosts that hold a journal's entries while the store is down.
pub const BACKUPS: usize = 2;
