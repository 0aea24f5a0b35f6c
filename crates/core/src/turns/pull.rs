//! Tracks from which hosts a store host must still fetch turns.
//!
//! A store host asks all others for the turns that it should hold when it starts, and whenever a
//! host is added, removed or starts again, perhaps with an empty disk. Turns then have all their
//! copies again before the next disk may be lost.

use {
    super::DiskId,
    crate::ids::{HostId, Incarnation},
    std::collections::{BTreeMap, BTreeSet},
};

/// Another store host, as far as it matters for what must be fetched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PullPeer {
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Contents of its disk.
    pub disk: DiskId,
    /// Whether the host leaves, or has been out of reach for long: others take its place.
    pub is_replaced: bool,
}

/// The hosts that this one must ask for turns.
#[derive(Debug)]
pub struct PullRound {
    peers: BTreeMap<HostId, PullPeer>,
    /// Hosts that may have turns that this one should hold.
    unasked: BTreeSet<HostId>,
    /// Whether this host has been told which other hosts there are.
    is_listed: bool,
    /// Whether this host has all turns that it should have had since its disk was empty. Once true
    /// it stays true: turns that it should hold since the hosts changed are elsewhere.
    has_recovered: bool,
}

impl PullRound {
    /// Creates the state of a host that has just started. `has_recovered` is false if its disk was
    /// lost and it has not fetched all turns since.
    pub fn new(has_recovered: bool) -> Self {
        Self { peers: BTreeMap::new(), unasked: BTreeSet::new(), is_listed: false, has_recovered }
    }

    /// Applies the current list of the other store hosts, including those that can't be reached.
    /// After any change all of them must be asked again.
    pub fn set_peers(&mut self, peers: BTreeMap<HostId, PullPeer>) {
        if self.is_listed && peers == self.peers {
            return;
        }
        self.is_listed = true;
        self.unasked = peers.keys().cloned().collect();
        self.peers = peers;
    }

    /// Returns the hosts to ask.
    pub fn unasked(&self) -> impl Iterator<Item = &HostId> {
        self.unasked.iter()
    }

    /// Returns the host's state when it is asked, to be passed to [`Self::on_pulled`].
    pub fn peer(&self, host: &str) -> Option<&PullPeer> {
        self.peers.get(host)
    }

    /// Records that this host has fetched all turns that it should hold from another one, whose
    /// state was `asked` at the beginning. Returns whether this host has recovered just now.
    pub fn on_pulled(&mut self, host: &HostId, asked: &PullPeer) -> bool {
        if self.peers.get(host) == Some(asked) {
            self.unasked.remove(host);
        }
        let has_just_recovered = !self.has_recovered && self.is_settled();
        self.has_recovered |= has_just_recovered;
        has_just_recovered
    }

    /// Records that turns on the disk can't be read: this host must fetch them again.
    pub fn on_damage(&mut self) {
        self.has_recovered = false;
        self.unasked = self.peers.keys().cloned().collect();
    }

    /// Returns whether all hosts have been asked since the last change.
    pub fn is_settled(&self) -> bool {
        self.is_listed && self.unasked.is_empty()
    }

    /// Returns whether this host has lost no turn, or has fetched what it had lost.
    pub fn has_recovered(&self) -> bool {
        self.has_recovered
    }
}
