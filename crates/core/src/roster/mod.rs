//! Which hosts there are, and which part of each team's allowance this host may use.
//!
//! Hosts register in the store and read each other there. A host that joins makes everybody's part
//! smaller; it may use its own only when all others know of it. They say so when it greets them. One
//! that can't be reached is waited for as long as a host trusts its view without the store: after
//! [`VIEW_TRUSTED`] such a host uses half of its part, which leaves room for as many new hosts as
//! there were.

#[cfg(test)]
mod tests;

use {
    crate::{
        ids::{DomainId, HostId, Incarnation},
        shares::Holders,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// How long a host relies on its view of the others without word from the store.
pub const VIEW_TRUSTED: Duration = Duration::from_secs(45);
/// How long a new host waits for others that it can't reach: until they don't trust their view any
/// more, with a margin.
const JOIN_WAIT_MAX: Duration = Duration::from_secs(50);

/// A host as it registers itself.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HostRecord {
    /// Where other hosts reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Which of its starts this is.
    pub incarnation: Incarnation,
    /// Whether callers connect to it. Only such hosts have a part of the allowances.
    pub serves_callers: bool,
    /// Whether all others knew of it once. A restarted host need not be greeted again.
    pub has_joined: bool,
}

/// All hosts, as one of them knows them.
#[derive(Debug)]
pub struct Roster {
    host: HostId,
    serves_callers: bool,
    others: BTreeMap<HostId, HostRecord>,
    /// Others that know of this host.
    greeted: BTreeSet<HostId>,
    /// Whether a list of all hosts has had this one.
    is_listed: bool,
    has_joined: bool,
    started_at: Instant,
    /// When the store last said who is there.
    seen_at: Instant,
}

impl Roster {
    /// Makes the roster of a host that has just started.
    pub fn new(now: Instant, host: HostId, serves_callers: bool) -> Self {
        Self {
            host,
            serves_callers,
            others: BTreeMap::new(),
            greeted: BTreeSet::new(),
            is_listed: false,
            has_joined: false,
            started_at: now,
            seen_at: now,
        }
    }

    /// Notes that the store has said who is there.
    pub fn heard_from_store(&mut self, now: Instant) {
        self.seen_at = now;
    }

    /// Takes in a host's record, from a list of all or from itself. Returns whether it is new.
    ///
    /// A list that has this host has all others that it must greet: later ones greet it.
    pub fn upsert(&mut self, host: &HostId, record: HostRecord) -> bool {
        if *host == self.host {
            self.is_listed = true;
            self.has_joined |= record.has_joined;
            return false;
        }
        match self.others.get(host) {
            Some(known) if known.incarnation > record.incarnation => false,
            Some(known) if *known == record => false,
            _ => self.others.insert(host.clone(), record).is_none(),
        }
    }

    /// Forgets a host that is gone for good.
    pub fn remove(&mut self, host: &str) {
        self.others.remove(host);
        self.greeted.remove(host);
    }

    /// Notes that another host knows of this one.
    pub fn greeted(&mut self, host: &HostId) {
        self.greeted.insert(host.clone());
    }

    /// Returns the hosts to greet before this one may use its part.
    pub fn to_greet(&self) -> Vec<(HostId, SocketAddr)> {
        if self.has_joined || !self.serves_callers || !self.is_listed {
            return Vec::new();
        }
        let unaware = self
            .others
            .iter()
            .filter(|(host, record)| record.serves_callers && !self.greeted.contains(*host));
        unaware.map(|(host, record)| (host.clone(), record.address)).collect()
    }

    /// Decides whether this host has joined. Returns whether that is new.
    pub fn join(&mut self, now: Instant) -> bool {
        if self.has_joined || !self.is_listed {
            return false;
        }
        let has_waited = now.saturating_duration_since(self.started_at) >= JOIN_WAIT_MAX;
        self.has_joined = has_waited || self.to_greet().is_empty();
        self.has_joined
    }

    /// Returns whether this host may use its part.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// Returns who holds teams' allowances, and which share of its parts this host may use.
    pub fn holders(&self, now: Instant) -> Holders {
        let is_trusted = now.saturating_duration_since(self.seen_at) < VIEW_TRUSTED;
        let trusted = match self.has_joined && self.is_listed && self.serves_callers {
            false => 0.0,
            true if is_trusted => 1.0,
            true => 0.5,
        };
        Holders::new(self.host.clone(), self.lenders().map(|(host, _)| host.clone()), trusted)
    }

    /// Returns the other hosts that callers connect to.
    pub fn lenders(&self) -> impl Iterator<Item = (&HostId, SocketAddr)> {
        let lenders = self.others.iter().filter(|(_, record)| record.serves_callers);
        lenders.map(|(host, record)| (host, record.address))
    }

    /// Returns all other hosts.
    pub fn others(&self) -> impl Iterator<Item = (&HostId, &HostRecord)> {
        self.others.iter()
    }
}
