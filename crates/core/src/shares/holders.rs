//! Selects the hosts that hold a team's allowance.
//!
//! A burst of a few tokens can't be split over many hosts, because each share would hold less than
//! one request needs. A small burst is therefore held by a few hosts, chosen by rendezvous hashing
//! so that all hosts agree on them. The other hosts borrow.

use crate::{ids::HostId, rendezvous::Point};

/// Minimum tokens of a share, so that a complete request fits.
pub(super) const SHARE_TOKENS_MIN: f64 = 2.0;

/// The hosts that callers connect to, as this host sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Holders {
    own: Option<HostId>,
    /// All hosts that serve callers, including this one, sorted by name.
    hosts: Vec<(HostId, Point)>,
    /// Fraction of its shares that this host may use, from 0 to 1.
    usable_fraction: f64,
}

impl Holders {
    /// Creates the holders as host `own` sees them. `usable_fraction` is the fraction of its shares
    /// that `own` may use, from 0 to 1.
    pub fn new(own: HostId, peers: impl IntoIterator<Item = HostId>, usable_fraction: f64) -> Self {
        let all = peers.into_iter().chain([own.clone()]);
        let mut hosts: Vec<_> = all
            .map(|host| {
                let point = Point::new(&host);
                (host, point)
            })
            .collect();
        hosts.sort_by(|(a, _), (b, _)| a.cmp(b));
        Self { own: Some(own), hosts, usable_fraction }
    }

    /// Returns the number of hosts that serve callers.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the fraction of its shares that this host may use.
    pub fn usable_fraction(&self) -> f64 {
        self.usable_fraction
    }

    /// Returns the hosts that hold a team's allowance.
    pub fn for_team(&self, team: &str, burst_tokens: f64) -> Vec<&HostId> {
        let count = holder_count(burst_tokens, self.hosts.len());
        if count == self.hosts.len() {
            return self.hosts.iter().map(|(host, _)| host).collect();
        }
        let team = Point::new(team);
        let mut ranked: Vec<_> = self.hosts.iter().collect();
        ranked.sort_by_cached_key(|(host, point)| {
            (std::cmp::Reverse(team.weight(*point)), host.clone())
        });
        ranked.into_iter().take(count).map(|(host, _)| host).collect()
    }

    /// Returns the fraction of a team's allowance that this host may use, from 0 to 1.
    pub(super) fn own_share(&self, team: &str, burst_tokens: f64) -> f64 {
        if self.usable_fraction == 0.0 {
            return 0.0;
        }
        let holders = self.for_team(team, burst_tokens);
        match holders.iter().any(|host| Some(*host) == self.own.as_ref()) {
            true => self.usable_fraction / holders.len() as f64,
            false => 0.0,
        }
    }
}

/// Returns the number of hosts, out of `hosts`, over which a burst is split.
fn holder_count(burst_tokens: f64, hosts: usize) -> usize {
    // The cast saturates, and maps NaN to zero.
    ((burst_tokens / SHARE_TOKENS_MIN) as usize).min(hosts).max(usize::from(hosts > 0))
}
