//! Selects the hosts that hold a team's allowance.
//!
//! A burst of a few tokens can't be split over many hosts, because each share would be too small
//! for a request. A small burst is therefore held by a few hosts, chosen by rendezvous hashing so
//! that all hosts agree on them. The other hosts borrow.

use crate::{ids::HostId, rendezvous::NameHash};

/// Minimum tokens of a share. A request takes one token, so a share of this size always covers one.
pub(super) const SHARE_TOKENS_MIN: f64 = 2.0;

/// The hosts that callers connect to, in the view of this host. Any of them may hold a share of an
/// allowance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AllowanceHosts {
    own_id: Option<HostId>,
    /// All hosts that serve callers, including this one, sorted by name.
    hosts: Vec<(HostId, NameHash)>,
    /// Fraction of this host's shares that it may use, from 0 to 1. Below 1 while its view
    /// or those of its peers may be incomplete.
    usable_fraction: f64,
}

impl AllowanceHosts {
    /// Creates the view of host `own_id`. `usable_fraction` is the fraction of its shares that it
    /// may use, from 0 to 1.
    pub fn new(
        own_id: HostId,
        peers: impl IntoIterator<Item = HostId>,
        usable_fraction: f64,
    ) -> Self {
        let all = peers.into_iter().chain([own_id.clone()]);
        let mut hosts: Vec<_> = all
            .map(|host| {
                let point = NameHash::new(&host);
                (host, point)
            })
            .collect();
        hosts.sort_by(|(a, _), (b, _)| a.cmp(b));
        Self { own_id: Some(own_id), hosts, usable_fraction }
    }

    /// Returns the number of hosts that serve callers.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the fraction of this host's shares that it may use, from 0 to 1.
    pub fn usable_fraction(&self) -> f64 {
        self.usable_fraction
    }

    /// Returns the hosts that hold a team's allowance.
    pub fn holders_of(&self, team: &str, burst_tokens: f64) -> Vec<&HostId> {
        let count = holder_count(burst_tokens, self.hosts.len());
        if count == self.hosts.len() {
            return self.hosts.iter().map(|(host, _)| host).collect();
        }
        let team_hash = NameHash::new(team);
        let mut ranked: Vec<_> = self.hosts.iter().collect();
        ranked.sort_by_cached_key(|(host, point)| {
            (std::cmp::Reverse(team_hash.weight(*point)), host.clone())
        });
        ranked.into_iter().take(count).map(|(host, _)| host).collect()
    }

    /// Returns the fraction of a team's allowance, or of an upstream's limit, that this host may
    /// use, from 0 to 1.
    pub(crate) fn own_share(&self, team: &str, burst_tokens: f64) -> f64 {
        if self.usable_fraction == 0.0 {
            return 0.0;
        }
        let holders = self.holders_of(team, burst_tokens);
        match holders.iter().any(|host| Some(*host) == self.own_id.as_ref()) {
            true => self.usable_fraction / holders.len() as f64,
            false => 0.0,
        }
    }
}

/// Returns over how many hosts a burst is split.
fn holder_count(burst_tokens: f64, host_count: usize) -> usize {
    // The cast saturates, and maps NaN to zero.
    ((burst_tokens / SHARE_TOKENS_MIN) as usize).min(host_count).max(usize::from(host_count > 0))
}
