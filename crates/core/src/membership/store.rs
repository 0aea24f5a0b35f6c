//! Operations on the store: tokens, time-outs, and relaying through another delegate.

use {
    super::{Body, Command, Membership, StoreError, StoreOp, StoreResult},
    crate::ids::{DomainId, HostId, Member},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Interval, in rounds through a relay, at which the direct link to the store is probed again.
const DIRECT_PROBE_INTERVAL_ROUNDS: u32 = 10;

/// Purpose of an operation, which decides how its outcome is handled.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// A follower reads its domain's roster.
    ReadRoster,
    /// A follower writes its domain's roster to become the delegate.
    Claim,
    /// A delegate's round: writes its domain's roster.
    RoundWrite,
    /// A delegate's round: reads its domain's roster back after a lost answer or a conflict.
    RoundReadBack,
    /// A delegate's round: lists the rosters with their object versions.
    RoundList,
    /// A delegate's round: lists the manifest's object version.
    RoundManifest,
    /// A delegate's round: reads another domain's roster.
    RoundRead(DomainId),
    /// A delegate writes an empty roster for a domain whose hosts may all be removed.
    Clear,
    /// A guard tests whether the store answers, to answer a freeze query.
    Probe { to: Member, address: String, round: u64, domain: DomainId },
    /// Runs an operation for another host that can't reach the store.
    ForPeer { to: HostId, address: String, token: u64 },
    /// Tests whether the direct link works again while a relay is in use.
    DirectProbe,
}

/// An operation in progress.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    purpose: Purpose,
    since: Instant,
    is_through_relay: bool,
}

/// The link to the store, direct or through a relay, and the operations in progress.
#[derive(Clone, Debug)]
pub(super) struct StoreLink {
    timeout: Duration,
    next_token: u64,
    pending: BTreeMap<u64, Pending>,
    relay: Option<(HostId, String)>,
    relayed_rounds: u32,
}

impl StoreLink {
    pub fn new(timeout: Duration) -> Self {
        Self { timeout, next_token: 1, pending: BTreeMap::new(), relay: None, relayed_rounds: 0 }
    }

    /// Removes the operations that have timed out and returns their purposes.
    pub fn expire(&mut self, now: Instant) -> Vec<Purpose> {
        let is_late =
            |pending: &Pending| now.saturating_duration_since(pending.since) >= self.timeout;
        let late: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_late(pending))
            .map(|(token, _)| *token)
            .collect();
        late.into_iter()
            .filter_map(|token| self.pending.remove(&token).map(|pending| pending.purpose))
            .collect()
    }

    /// Makes subsequent operations go through another delegate.
    pub fn relay_through(&mut self, host: HostId, address: String) {
        if self.relay.is_none() {
            self.relayed_rounds = 0;
        }
        self.relay = Some((host, address));
    }

    /// Makes subsequent operations go directly to the store.
    pub fn use_direct_link(&mut self) {
        self.relay = None;
    }

    /// Discards the operations of this host as follower or delegate, so that late outcomes are
    /// ignored. Keeps probes and operations for other hosts.
    pub fn discard_own_operations(&mut self) {
        self.pending.retain(|_, pending| {
            matches!(
                pending.purpose,
                Purpose::Probe { .. } | Purpose::ForPeer { .. } | Purpose::DirectProbe
            )
        });
    }

    fn start(&mut self, now: Instant, purpose: Purpose, is_through_relay: bool) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        self.pending.insert(token, Pending { purpose, since: now, is_through_relay });
        token
    }
}

impl Membership {
    /// Starts an operation, through the relay if one is set.
    pub(super) fn start_operation(&mut self, now: Instant, purpose: Purpose, op: StoreOp) {
        match self.store.relay.clone() {
            Some((host, address)) => {
                let token = self.store.start(now, purpose, true);
                self.send(&host, &address, Body::Relay { token, op });
            }
            None => self.start_direct_operation(now, purpose, op),
        }
    }

    /// Starts an operation on the direct link.
    pub(super) fn start_direct_operation(&mut self, now: Instant, purpose: Purpose, op: StoreOp) {
        let token = self.store.start(now, purpose, false);
        self.commands.push(Command::Store { token, op });
    }

    /// Probes the direct link every [`DIRECT_PROBE_INTERVAL_ROUNDS`] rounds while a relay is in
    /// use.
    pub(super) fn probe_direct_link(&mut self, now: Instant) {
        if self.store.relay.is_none() {
            return;
        }
        self.store.relayed_rounds += 1;
        if self.store.relayed_rounds.is_multiple_of(DIRECT_PROBE_INTERVAL_ROUNDS) {
            let op = StoreOp::List { prefix: super::ROSTER_PREFIX.into() };
            self.start_direct_operation(now, Purpose::DirectProbe, op);
        }
    }

    pub(super) fn direct_result_received(&mut self, now: Instant, token: u64, result: StoreResult) {
        let is_mine =
            self.store.pending.get(&token).is_some_and(|pending| !pending.is_through_relay);
        if let Some(pending) = is_mine.then(|| self.store.pending.remove(&token)).flatten() {
            self.operation_ended(now, pending.purpose, result);
        }
    }

    pub(super) fn relayed_result_received(
        &mut self,
        now: Instant,
        token: u64,
        result: StoreResult,
    ) {
        let is_mine =
            self.store.pending.get(&token).is_some_and(|pending| pending.is_through_relay);
        if let Some(pending) = is_mine.then(|| self.store.pending.remove(&token)).flatten() {
            self.operation_ended(now, pending.purpose, result);
        }
    }

    /// Runs an operation for another host. Refuses operations on keys other than the rosters and
    /// the manifest.
    pub(super) fn relay_operation(
        &mut self,
        now: Instant,
        to: HostId,
        address: String,
        token: u64,
        op: StoreOp,
    ) {
        let key = match &op {
            StoreOp::Read { key } | StoreOp::Write { key, .. } => key,
            StoreOp::List { prefix } => prefix,
        };
        if key.starts_with(super::ROSTER_PREFIX) || key == super::MANIFEST_KEY {
            self.start_direct_operation(now, Purpose::ForPeer { to, address, token }, op);
        } else {
            let result = Err(StoreError::NotRun);
            self.send(&to, &address, Body::Relayed { token, result });
        }
    }

    pub(super) fn operation_ended(&mut self, now: Instant, purpose: Purpose, result: StoreResult) {
        match purpose {
            Purpose::ReadRoster => self.own_roster_read(now, result),
            Purpose::Claim => self.claim_ended(now, result),
            Purpose::Probe { to, address, round, domain } => {
                self.answer_freeze(now, to, address, round, domain, result.is_ok());
            }
            Purpose::ForPeer { to, address, token } => {
                self.send(&to, &address, Body::Relayed { token, result });
            }
            Purpose::DirectProbe if result.is_ok() => self.store.use_direct_link(),
            Purpose::DirectProbe => {}
            purpose => self.round_operation_ended(now, purpose, result),
        }
    }
}
