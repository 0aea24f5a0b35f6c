//! Which hosts hold a team's allowance.
//!
//! A burst of a few tokens can't be split over many hosts: each part would hold less than a request
//! needs. So a small burst is held by a few hosts, which all hosts agree on by rendezvous, and the
//! others borrow.

use crate::{ids::HostId, rendezvous::Point};

/// Least tokens of a part, so that whole requests fit into it.
pub(super) const PART_TOKENS_MIN: f64 = 2.0;

/// The hosts that callers connect to, as one of them knows them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Holders {
    own: Option<HostId>,
    /// All hosts with callers, this one too, by name.
    hosts: Vec<(HostId, Point)>,
    /// Share of its parts that this host may use, from 0 to 1.
    trusted: f64,
}

impl Holders {
    /// Makes the holders as host `own` knows them, with the share of its parts that it may use.
    pub fn new(own: HostId, others: impl IntoIterator<Item = HostId>, trusted: f64) -> Self {
        let all = others.into_iter().chain([own.clone()]);
        let mut hosts: Vec<_> = all
            .map(|host| {
                let point = Point::new(&host);
                (host, point)
            })
            .collect();
        hosts.sort_by(|(a, _), (b, _)| a.cmp(b));
        Self { own: Some(own), hosts, trusted }
    }

    /// Returns how many hosts with callers there are.
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the share of its parts that this host may use.
    pub fn trusted(&self) -> f64 {
        self.trusted
    }

    /// Returns the hosts that hold a team's allowance.
    pub fn of(&self, team: &str, burst_tokens: f64) -> Vec<&HostId> {
        let count = count(burst_tokens, self.hosts.len());
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

    /// Returns this host's part of a team's allowance, from 0 to 1.
    pub(super) fn own_part(&self, team: &str, burst_tokens: f64) -> f64 {
        if self.trusted == 0.0 {
            return 0.0;
        }
        let holders = self.of(team, burst_tokens);
        match holders.iter().any(|host| Some(*host) == self.own.as_ref()) {
            true => self.trusted / holders.len() as f64,
            false => 0.0,
        }
    }
}

/// Returns over how many of `hosts` a burst is split.
fn count(burst_tokens: f64, hosts: usize) -> usize {
    // The cast saturates, and takes "not a number" to zero.
    ((burst_tokens / PART_TOKENS_MIN) as usize).min(hosts).max(usize::from(hosts > 0))
}
