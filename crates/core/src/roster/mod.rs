//! Tracks the hosts of the site, and decides how much of its shares of the allowances this host may
//! use.
//!
//! Hosts register in the store and read each other's records there. A joining host reduces every
//! other host's share, so it may use its own share only once all peers have its record. It
//! announces itself to each peer, and a peer acknowledges that it has stored the record. An
//! unreachable peer delays the join until the peer's view must have expired: a host relies on its
//! view for [`VIEW_VALIDITY`] without the store. After that it halves its share, so the sum stays
//! within the allowance until the number of hosts has doubled.

#[cfg(test)]
mod tests;

use {
    crate::{
        ids::{DomainId, HostId, Incarnation},
        shares::AllowanceHosts,
        turns::DiskId,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// How long a host relies on its view of its peers without an answer from the store. The answers may
/// be some seconds old.
pub const VIEW_VALIDITY: Duration = Duration::from_secs(40);
/// Maximum time that a new host waits for unreachable peers. This must exceed [`VIEW_VALIDITY`] by
/// a margin, so that the views of those peers have expired.
const JOIN_WAIT_MAX: Duration = Duration::from_secs(50);

/// The record that a host registers in the store.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HostRecord {
    /// Address at which other hosts connect to it.
    pub address: SocketAddr,
    /// Failure domain from the host's settings.
    pub domain: DomainId,
    /// Incarnation of the host that wrote the record.
    pub incarnation: Incarnation,
    /// Whether callers connect to the host. Only such hosts have a share of the allowances.
    pub serves_callers: bool,
    /// Whether the host has completed a join. If set, it makes no announcements after a restart.
    pub has_joined: bool,
    /// The host's store of turns, if it has one. Hosts of builds that have none write no such field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub turn_store: Option<TurnStoreRecord>,
    /// Set by another host once this one has been out of reach for long. It is not used until it
    /// registers again, but its disk may still hold turns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub away: Option<AwayRecord>,
    /// Whether the host reads the store for others that ask it to.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub shares_watches: bool,
}

/// What a host announces of its store of turns.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct TurnStoreRecord {
    /// Contents of the host's disk.
    pub disk: DiskId,
    /// Whether the host is about to be removed.
    #[serde(default)]
    pub is_leaving: bool,
}

/// That a host has been out of reach for long.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct AwayRecord {
    /// Time of day from which nothing on the host's disk is needed any more, in milliseconds since
    /// 1970.
    pub needless_from_ms: u64,
}

/// This host's view of all hosts.
#[derive(Debug)]
pub struct Roster {
    host: HostId,
    serves_callers: bool,
    peers: BTreeMap<HostId, HostRecord>,
    /// Peers that have acknowledged this host's announcement.
    acknowledged: BTreeSet<HostId>,
    /// Whether this host was in a host list read from the store.
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
            acknowledged: BTreeSet::new(),
            is_listed: false,
            has_joined: false,
            started_at: now,
            store_contact_at: now,
        }
    }

    /// Records that the store has answered with the hosts or their changes.
    pub fn record_store_contact(&mut self, now: Instant) {
        self.store_contact_at = self.store_contact_at.max(now);
    }

    /// Applies the record of a host, either a peer or this host. Returns true only if the host is a
    /// peer that was not in the roster.
    ///
    /// A list that contains this host also contains all peers to which it must announce itself,
    /// because a host that registers later announces itself to this one.
    pub fn upsert(&mut self, host: &HostId, mut record: HostRecord) -> bool {
        if *host == self.host {
            self.is_listed = true;
            self.has_joined |= record.has_joined;
            return false;
        }
        if let Some(existing) = self.peers.get(host)
            && existing.incarnation == record.incarnation
        {
            // The record may have come through a host whose build does not know these fields.
            record.shares_watches |= existing.shares_watches;
            if record.turn_store.is_none() {
                record.turn_store.clone_from(&existing.turn_store);
            }
        }
        match self.peers.get(host) {
            Some(existing) if existing.incarnation > record.incarnation => false,
            Some(existing) if *existing == record => false,
            _ => self.peers.insert(host.clone(), record).is_none(),
        }
    }

    /// Removes a host that has left the site.
    pub fn remove(&mut self, host: &str) {
        self.peers.remove(host);
        self.acknowledged.remove(host);
    }

    /// Records that a peer has acknowledged this host's announcement.
    pub fn record_acknowledgement(&mut self, host: &HostId) {
        self.acknowledged.insert(host.clone());
    }

    /// Returns the peers that must acknowledge this host before it may use its share.
    pub fn unacknowledged_peers(&self) -> Vec<(HostId, SocketAddr)> {
        if self.has_joined || !self.serves_callers || !self.is_listed {
            return Vec::new();
        }
        let unacknowledged = self
            .peers
            .iter()
            .filter(|(host, record)| record.serves_callers && !self.acknowledged.contains(*host));
        unacknowledged.map(|(host, record)| (host.clone(), record.address)).collect()
    }

    /// Completes the join if all peers have acknowledged this host or the maximum wait is over.
    /// Returns true only for the call that completes the join.
    pub fn try_join(&mut self, now: Instant) -> bool {
        if self.has_joined || !self.is_listed {
            return false;
        }
        let wait_expired = now.saturating_duration_since(self.started_at) >= JOIN_WAIT_MAX;
        self.has_joined = wait_expired || self.unacknowledged_peers().is_empty();
        self.has_joined
    }

    /// Returns whether this host was in a host list that it has read.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns whether this host has completed its join.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// Returns the hosts that share the allowances. Without recent contact to the store, this host
    /// may use only half of its shares, which leaves tokens for hosts missing in its view.
    pub fn allowance_hosts(&self, now: Instant) -> AllowanceHosts {
        let is_fresh = now.saturating_duration_since(self.store_contact_at) < VIEW_VALIDITY;
        let usable_fraction = match self.has_joined && self.is_listed && self.serves_callers {
            false => 0.0,
            true if is_fresh => 1.0,
            true => 0.5,
        };
        AllowanceHosts::new(
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

    /// Returns the peers that store turns.
    pub fn turn_stores(&self) -> impl Iterator<Item = (&HostId, &HostRecord, &TurnStoreRecord)> {
        let stores = self.peers.iter();
        stores.filter_map(|(host, record)| Some((host, record, record.turn_store.as_ref()?)))
    }

    /// Returns all hosts other than this one.
    pub fn peers(&self) -> impl Iterator<Item = (&HostId, &HostRecord)> {
        self.peers.iter()
    }
}
