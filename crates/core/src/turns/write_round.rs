//! Writes a turn to enough hosts.

use {
    crate::ids::HostId,
    derive_more::{Display, Error},
    std::collections::{BTreeSet, VecDeque},
};

/// There are fewer hosts than a turn needs copies.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("a turn needs {copies} copies, but only {hosts} hosts can store it")]
pub struct TooFewHosts {
    /// Copies that a turn needs.
    pub copies: usize,
    /// Hosts that could store one.
    pub hosts: usize,
}

/// The writes of one turn. The turn is durable once as many hosts as it needs copies have synced it
/// to their disks; a host that fails or is slow is replaced by the next one.
#[derive(Debug)]
pub struct WriteRound {
    copies: usize,
    /// Hosts that have not been asked, by preference.
    untried: VecDeque<HostId>,
    /// Hosts that have been asked and have not answered.
    open: BTreeSet<HostId>,
    /// Hosts that have stored the turn.
    stored: BTreeSet<HostId>,
}

impl WriteRound {
    /// Begins the writes of a turn at `ranked` hosts, the preferred ones first. Returns the hosts to
    /// ask at once.
    ///
    /// # Errors
    ///
    /// Fails if there are fewer hosts than copies.
    pub fn begin(copies: usize, ranked: Vec<HostId>) -> Result<(Self, Vec<HostId>), TooFewHosts> {
        if ranked.len() < copies {
            return Err(TooFewHosts { copies, hosts: ranked.len() });
        }
        let (open, stored) = (BTreeSet::new(), BTreeSet::new());
        let mut round = Self { copies, untried: ranked.into(), open, stored };
        let first = (0..copies).filter_map(|_| round.ask_next()).collect();
        Ok((round, first))
    }

    /// Records that a host has synced the turn to its disk.
    pub fn on_stored(&mut self, host: &HostId) {
        self.open.remove(host);
        self.stored.insert(host.clone());
    }

    /// Records that a host does not store the turn. Returns the host to ask instead.
    pub fn on_failed(&mut self, host: &HostId) -> Option<HostId> {
        self.open.remove(host);
        self.ask_next()
    }

    /// Records that the hosts that were asked take long. Returns another one to ask as well.
    pub fn on_slow(&mut self) -> Option<HostId> {
        self.ask_next()
    }

    /// Returns whether enough hosts have stored the turn.
    pub fn is_durable(&self) -> bool {
        self.stored.len() >= self.copies
    }

    /// Returns whether too few hosts are left to make the turn durable.
    pub fn is_hopeless(&self) -> bool {
        self.stored.len() + self.open.len() + self.untried.len() < self.copies
    }

    fn ask_next(&mut self) -> Option<HostId> {
        let next = self.untried.pop_front()?;
        self.open.insert(next.clone());
        Some(next)
    }
}
