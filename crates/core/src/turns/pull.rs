//! Tracks from which hosts a store host must still fetch turns.
//!
//! A store host asks all others for the turns that it should hold when it starts, and whenever a
//! host is added, removed or starts again, perhaps with an empty disk. A host that does not answer
//! such questions is replaced as a holder until it answers. Turns then have all their copies again
//! before the next disk may be lost.

use {
    super::DiskId,
    crate::ids::{HostId, Incarnation},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Time from the first question that a host has not answered until others take its place as a holder, if
/// it answers none meanwhile. Shorter than the time after which the loss of a replaced host counts as
/// made up for.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(1);

/// Number of the question that a host is asked after a change. Answers to earlier ones may lack
/// turns that this host should hold since.
pub type PullNumber = u64;

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
    /// Increases whenever all hosts must be asked again.
    number: PullNumber,
    /// Hosts that have not answered, with the time at which the first question had failed. Invariant:
    /// each is in `peers`.
    unanswered_since: BTreeMap<HostId, Instant>,
    /// Hosts that have not answered for [`REPLACEMENT_DELAY`]. Invariant: each is in
    /// `unanswered_since`.
    unresponsive: BTreeSet<HostId>,
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
        Self {
            peers: BTreeMap::new(),
            unasked: BTreeSet::new(),
            number: 0,
            unanswered_since: BTreeMap::new(),
            unresponsive: BTreeSet::new(),
            is_listed: false,
            has_recovered,
        }
    }

    /// Applies the current list of the other store hosts, including those that can't be reached.
    /// After any change all of them must be asked again.
    pub fn set_peers(&mut self, peers: BTreeMap<HostId, PullPeer>) {
        if self.is_listed && peers == self.peers {
            return;
        }
        self.is_listed = true;
        // A host that has started again answers anew.
        let is_unchanged = |host: &HostId| {
            let incarnation =
                |peers: &BTreeMap<HostId, PullPeer>| peers.get(host).map(|peer| peer.incarnation);
            incarnation(&peers).is_some() && incarnation(&peers) == incarnation(&self.peers)
        };
        self.unanswered_since.retain(|host, _| is_unchanged(host));
        self.unresponsive.retain(is_unchanged);
        self.peers = peers;
        self.ask_all_again();
    }

    fn ask_all_again(&mut self) {
        self.unasked = self.peers.keys().cloned().collect();
        self.number += 1;
    }

    /// Returns the hosts to ask.
    pub fn unasked(&self) -> impl Iterator<Item = &HostId> {
        self.unasked.iter()
    }

    /// Returns the number of the current questions, to be passed to [`Self::on_pulled`].
    pub fn number(&self) -> PullNumber {
        self.number
    }

    /// Records that a host has answered.
    pub fn on_answered(&mut self, host: &HostId) {
        self.unanswered_since.remove(host);
        self.unresponsive.remove(host);
    }

    /// Records that a host has not answered a question. Returns whether others, perhaps this host, take
    /// its place from now on. One question is not enough, however long it took: this host may have been
    /// suspended itself.
    pub fn on_unanswered(&mut self, host: &HostId, now: Instant) -> bool {
        if !self.peers.contains_key(host) {
            return false;
        }
        let since = *self.unanswered_since.entry(host.clone()).or_insert(now);
        if now.saturating_duration_since(since) < REPLACEMENT_DELAY
            || !self.unresponsive.insert(host.clone())
        {
            return false;
        }
        self.ask_all_again();
        true
    }

    /// Returns whether others take the place of a host as a holder: it leaves, or has been out of
    /// reach.
    pub fn is_replaced(&self, host: &str) -> bool {
        self.unresponsive.contains(host)
            || self.peers.get(host).is_some_and(|peer| peer.is_replaced)
    }

    /// Returns the number of hosts that do not answer and are replaced for that.
    pub fn unresponsive_count(&self) -> usize {
        self.unresponsive.len()
    }

    /// Records that this host has fetched all turns that it should hold from another one, which it
    /// asked when the questions had `number`. Returns whether this host has recovered just now.
    pub fn on_pulled(&mut self, host: &HostId, number: PullNumber) -> bool {
        if number == self.number {
            self.unasked.remove(host);
        }
        let has_just_recovered = !self.has_recovered && self.is_settled();
        self.has_recovered |= has_just_recovered;
        has_just_recovered
    }

    /// Records that turns on the disk can't be read: this host must fetch them again.
    pub fn on_damage(&mut self) {
        self.has_recovered = false;
        self.ask_all_again();
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
