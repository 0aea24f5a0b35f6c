//! Tracks all hosts, and which share of each team's allowance this host may use.
//!
//! Hosts register in the store and read each other's records there. A joining host reduces every
//! other host's share, so it may use its own share only once all peers know it. It announces itself
//! to each peer ("greets" it) and counts the peers that reply. A peer that can't be reached delays
//! the join for as long as a host relies on its view without the store. After [`VIEW_VALIDITY`]
//! such a peer uses half of its share, which leaves room for as many new hosts as there were hosts.

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

/// How long a host relies on its view of its peers without an answer from the store.
pub const VIEW_VALIDITY: Duration = Duration::from_secs(45);
/// How long a new host waits for peers that it can't reach: until their views have expired
/// ([`VIEW_VALIDITY`]), plus a margin.
const JOIN_WAIT_MAX: Duration = Duration::from_secs(50);

/// The record that a host registers in the store.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HostRecord {
    /// Address at which other hosts connect to it.
    pub address: SocketAddr,
    /// Failure domain from the host's settings.
    pub domain: DomainId,
    /// Incarnation of the host that wrote this record.
    pub incarnation: Incarnation,
    /// Whether callers connect to the host. Only such hosts have a share of the allowances.
    pub serves_callers: bool,
    /// Whether all peers have known the host at some time. If so, it need not greet them after a
    /// restart.
    pub has_joined: bool,
}

/// All hosts, as this host sees them.
#[derive(Debug)]
pub struct Roster {
    host: HostId,
    serves_callers: bool,
    peers: BTreeMap<HostId, HostRecord>,
    /// Peers that have confirmed a greeting, so they know this host.
    greeted: BTreeSet<HostId>,
    /// Whether a list of all hosts from the store has contained this host.
    is_listed: bool,
    has_joined: bool,
    started_at: Instant,
    /// Last time that the store returned the hosts or their changes.
    store_contact_at: Instant,
}

impl Roster {
    /// Creates the roster of a host that has just started.
    pub fn new(now: Instant, host: HostId, serves_callers: bool) -> Self {
        Self {
            host,
            serves_callers,
            peers: BTreeMap::new(),
            greeted: BTreeSet::new(),
            is_listed: false,
            has_joined: false,
            started_at: now,
            store_contact_at: now,
        }
    }

    /// Records that the store has answered with the hosts or their changes.
    pub fn record_store_contact(&mut self, now: Instant) {
        self.store_contact_at = now;
    }

    /// Applies the record of a host, either a peer or this host. Returns whether the peer is new.
    ///
    /// Once a list contains this host, it also contains all peers that this host must greet: a host
    /// that registers later greets this one.
    pub fn upsert(&mut self, host: &HostId, record: HostRecord) -> bool {
        if *host == self.host {
            self.is_listed = true;
            self.has_joined |= record.has_joined;
            return false;
        }
        match self.peers.get(host) {
            Some(known) if known.incarnation > record.incarnation => false,
            Some(known) if *known == record => false,
            _ => self.peers.insert(host.clone(), record).is_none(),
        }
    }

    /// Removes a host that will not return.
    pub fn remove(&mut self, host: &str) {
        self.peers.remove(host);
        self.greeted.remove(host);
    }

    /// Records that a peer knows this host.
    pub fn record_greeted(&mut self, host: &HostId) {
        self.greeted.insert(host.clone());
    }

    /// Returns the peers that this host must still greet before it may use its share.
    pub fn peers_to_greet(&self) -> Vec<(HostId, SocketAddr)> {
        if self.has_joined || !self.serves_callers || !self.is_listed {
            return Vec::new();
        }
        let not_greeted = self
            .peers
            .iter()
            .filter(|(host, record)| record.serves_callers && !self.greeted.contains(*host));
        not_greeted.map(|(host, record)| (host.clone(), record.address)).collect()
    }

    /// Completes the join if all peers know this host or the maximum wait is over. Returns whether
    /// the host has joined by this call.
    pub fn try_join(&mut self, now: Instant) -> bool {
        if self.has_joined || !self.is_listed {
            return false;
        }
        let has_waited = now.saturating_duration_since(self.started_at) >= JOIN_WAIT_MAX;
        self.has_joined = has_waited || self.peers_to_greet().is_empty();
        self.has_joined
    }

    /// Returns whether this host may use its share.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// Returns the hosts that hold allowances, with the fraction of its shares that this host may
    /// use.
    pub fn holders(&self, now: Instant) -> Holders {
        let is_fresh = now.saturating_duration_since(self.store_contact_at) < VIEW_VALIDITY;
        let usable_fraction = match self.has_joined && self.is_listed && self.serves_callers {
            false => 0.0,
            true if is_fresh => 1.0,
            true => 0.5,
        };
        Holders::new(
            self.host.clone(),
            self.lenders().map(|(host, _)| host.clone()),
            usable_fraction,
        )
    }

    /// Returns the peers that callers connect to. This host may borrow tokens from them.
    pub fn lenders(&self) -> impl Iterator<Item = (&HostId, SocketAddr)> {
        let lenders = self.peers.iter().filter(|(_, record)| record.serves_callers);
        lenders.map(|(host, record)| (host, record.address))
    }

    /// Returns all hosts other than this one.
    pub fn peers(&self) -> impl Iterator<Item = (&HostId, &HostRecord)> {
        self.peers.iter()
    }
}
