//! Identity of a host, and the time-outs of the membership protocol.

use {
    crate::ids::{DomainId, Member},
    std::time::Duration,
};

/// The identity of a host, from its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The host and its incarnation.
    pub member: Member,
    /// Address at which other hosts reach this host, `ip:port`.
    pub address: String,
    /// The host's failure domain.
    pub domain: DomainId,
}

/// Intervals and time-outs of the membership protocol. All hosts of a site must use the same
/// values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Interval between heartbeats, and between writes of a roster.
    pub heartbeat: Duration,
    /// Length of a lease. It starts at the time at which the host sent the acknowledged heartbeat.
    pub lease: Duration,
    /// Added to the lease length wherever another host waits for a lease to end. It covers the
    /// difference between the rates of two clocks over a lease. Clock rates that differ by 1% need
    /// 1% of the lease; a quarter of the lease covers that many times over.
    pub margin: Duration,
    /// Time without contact to the delegate after which a follower reads the roster, in order to
    /// take over from a lost delegate. Also the age at which a heartbeat is too old to be included
    /// in a roster, and the longest gap between ticks that does not count as a pause. The waits for
    /// a claim and for stale rosters are derived from it.
    pub takeover: Duration,
    /// Time-out of an operation on the store. A failed round and the store access of a guard must
    /// together take less time than a lease lasts. With a time-out of three quarters of a heartbeat
    /// interval and a lease of four intervals, leases expired when the store became unavailable.
    pub store_timeout: Duration,
    /// The rule that a test disables to show that the protocol is unsafe without it.
    #[cfg(test)]
    pub(super) disabled: Option<Rule>,
}

/// The rules on which safety depends. A test can disable one to show that the protocol is unsafe
/// without it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Rule {
    /// A host acts as home, limiter or delegate only while its lease is valid.
    Lease,
    /// A host holds exclusive roles only when all hosts with a lease list it as live in their
    /// views.
    Settling,
    /// A host whose lease a delegate may be extending without the store is removed only after one
    /// guard of each guard set has released its domain.
    Release,
    /// A roster includes a new incarnation of a host only after the lease of the former
    /// incarnation has ended.
    Incarnation,
}

impl Default for Options {
    fn default() -> Self {
        Self::from_heartbeat(Duration::from_secs(1))
    }
}

impl Options {
    /// Derives all intervals and time-outs from the heartbeat interval.
    pub fn from_heartbeat(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            lease: heartbeat * 4,
            margin: heartbeat,
            takeover: heartbeat * 5 / 2,
            store_timeout: heartbeat / 2,
            #[cfg(test)]
            disabled: None,
        }
    }

    /// Returns whether a rule is enforced. Only a test can disable one.
    #[cfg(not(test))]
    pub(super) const fn enforces(&self, _rule: Rule) -> bool {
        true
    }

    /// Returns whether a rule is enforced.
    #[cfg(test)]
    pub(super) fn enforces(&self, rule: Rule) -> bool {
        self.disabled != Some(rule)
    }

    /// Returns the time after which a lease that has not been renewed has certainly ended, on the
    /// clock of any host.
    pub fn expiry(&self) -> Duration {
        self.lease + self.margin
    }
}
