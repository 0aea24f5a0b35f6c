//! Which other hosts a host reaches, judged by its exchanges with them.

use std::{
    collections::{HashMap, HashSet},
    hash::Hash,
    time::{Duration, Instant},
};

/// How long a reply counts. No request takes longer.
const REPLY_MAX_AGE: Duration = Duration::from_secs(60);
/// Number of peers at which those that have not replied lately are forgotten.
const PEERS_MAX: usize = 1024;

/// The peers that a host does not reach.
///
/// A request may stay without a reply because the peer waits for its disk, for the store or for another
/// host. Such a peer is not out of reach: it has replied to other requests in the meantime.
#[derive(Debug)]
pub struct PeerReach<A> {
    suspects: HashSet<A>,
    /// When each peer last replied. Beyond [`PEERS_MAX`] entries, none is older than [`REPLY_MAX_AGE`].
    replied_at: HashMap<A, Instant>,
}

impl<A> Default for PeerReach<A> {
    fn default() -> Self {
        Self { suspects: HashSet::new(), replied_at: HashMap::new() }
    }
}

impl<A: Copy + Eq + Hash> PeerReach<A> {
    /// Called when a peer has replied to a request.
    pub fn on_reply(&mut self, now: Instant, peer: A) {
        self.replied_at.insert(peer, now);
        if self.replied_at.len() > PEERS_MAX {
            self.replied_at.retain(|_, at| now.saturating_duration_since(*at) < REPLY_MAX_AGE);
        }
    }

    /// Called when a peer has not replied in time to a request that was sent at `sent_at`. Returns
    /// whether this makes it a suspect, to be pinged until it answers.
    pub fn on_unanswered(&mut self, sent_at: Instant, peer: A) -> bool {
        let has_replied_since = self.replied_at.get(&peer).is_some_and(|at| *at > sent_at);
        !has_replied_since && self.suspects.insert(peer)
    }

    /// Makes a peer a suspect whatever it has replied. Returns whether it was none before.
    pub fn mark_suspect(&mut self, peer: A) -> bool {
        self.suspects.insert(peer)
    }

    /// Called when a suspect has answered a ping.
    pub fn clear_suspect(&mut self, peer: A) {
        self.suspects.remove(&peer);
    }

    /// Forgets a peer that is not listed any more.
    pub fn forget(&mut self, peer: A) {
        self.suspects.remove(&peer);
        self.replied_at.remove(&peer);
    }

    /// Returns whether a peer is suspect: it has not answered the last request or ping.
    pub fn is_suspect(&self, peer: A) -> bool {
        self.suspects.contains(&peer)
    }

    /// Returns the number of suspects.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }
}

#[cfg(test)]
mod tests;
