//! Times of the membership protocol.

use {
    crate::ids::{DomainId, Member},
    std::time::Duration,
};

/// Who a host is, from its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The host and its incarnation.
    pub member: Member,
    /// Address for other hosts, `ip:port`.
    pub address: String,
    /// The failure domain.
    pub domain: DomainId,
}

/// Times of the membership protocol. Must be the same on all hosts of a site.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Time between heartbeats, and between writes of a roster.
    pub heartbeat: Duration,
    /// How long a heartbeat that a roster includes lets its sender act.
    pub lease: Duration,
    /// Added to the lease wherever another host waits for its end. Covers the difference between
    /// the rates of two clocks over a lease: a quarter of the lease covers 1% many times over.
    pub margin: Duration,
    /// Silence of a delegate after which the next host writes the roster.
    pub takeover: Duration,
    /// Time after which an operation on the store counts as failed. A failed round and a guard that
    /// tries the store have to fit into a lease: at three quarters of a heartbeat, and a lease of
    /// four, leases ended when the store went down.
    pub store_timeout: Duration,
    /// Rules that tests switch off, to show that something fails then.
    #[cfg(test)]
    pub(super) disabled: Option<Rule>,
}

/// Rules on which safety rests. A test may switch one off, to show that something fails then.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Rule {
    /// A host acts only while its lease holds.
    Lease,
    /// A host holds exclusive roles only when every leased host knows that it is live.
    Settling,
    /// Hosts that a frozen delegate may still be renewing are removed only when guards released
    /// them.
    Release,
    /// A new incarnation is included only when the former one's lease has ended.
    Incarnation,
}

impl Default for Options {
    fn default() -> Self {
        Self::scaled(Duration::from_secs(1))
    }
}

impl Options {
    /// Derives all times from the heartbeat interval.
    pub fn scaled(heartbeat: Duration) -> Self {
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

    /// Returns whether a rule holds. Only a test can switch one off.
    #[cfg(not(test))]
    pub(super) const fn enforces(&self, _rule: Rule) -> bool {
        true
    }

    /// Returns whether a rule holds. Only a test can switch one off.
    #[cfg(test)]
    pub(super) fn enforces(&self, rule: Rule) -> bool {
        self.disabled != Some(rule)
    }

    /// The wait after which a lease that was last renewed before it has ended for certain.
    pub fn expiry(&self) -> Duration {
        self.lease + self.margin
    }
}
