//! Operations on the store: naming, timeouts, and the way through another delegate.

use {
    super::{Body, Command, Membership, StoreError, StoreOp, StoreResult},
    crate::ids::{DomainId, HostId, Member},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Direct operations that failed before, after which the direct way is tried again.
const RELAYED_ROUNDS_MAX: u32 = 10;

/// What an operation is for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// A follower looks at its domain's roster.
    ReadRoster,
    /// A follower becomes the delegate.
    Claim,
    /// A delegate's round: the write of its own roster.
    RoundWrite,
    /// A delegate's round: reads back its own roster after a lost answer or a conflict.
    RoundReadBack,
    /// A delegate's round: which rosters there are.
    RoundList,
    /// A delegate's round: the manifest's version.
    RoundManifest,
    /// A delegate's round: another domain's roster.
    RoundRead(DomainId),
    /// A delegate empties the roster of a domain that is gone.
    Clear,
    /// Another delegate asked whether the store answers here.
    Probe { to: Member, address: String, round: u64, domain: DomainId },
    /// For another host that can't reach the store.
    Relayed { to: HostId, address: String, token: u64 },
    /// Whether the direct way works again.
    DirectProbe,
}

/// An operation under way.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    purpose: Purpose,
    since: Instant,
    is_relayed: bool,
}

/// The way to the store.
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

    /// Takes out the operations that have had no answer for too long.
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

    /// Uses another delegate's way from now on.
    pub fn relay_through(&mut self, host: HostId, address: String) {
        if self.relay.is_none() {
            self.relayed_rounds = 0;
        }
        self.relay = Some((host, address));
    }

    /// Goes back to the direct way.
    pub fn use_direct_link(&mut self) {
        self.relay = None;
    }

    /// Forgets operations of rounds; late outcomes are then ignored.
    pub fn discard_round_operations(&mut self) {
        self.pending.retain(|_, pending| {
            matches!(
                pending.purpose,
                Purpose::Probe { .. } | Purpose::Relayed { .. } | Purpose::DirectProbe
            )
        });
    }

    fn start(&mut self, now: Instant, purpose: Purpose, is_relayed: bool) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        self.pending.insert(token, Pending { purpose, since: now, is_relayed });
        token
    }
}

impl Membership {
    /// Starts an operation, directly or through another delegate.
    pub(super) fn start_operation(&mut self, now: Instant, purpose: Purpose, op: StoreOp) {
        match self.store.relay.clone() {
            Some((host, address)) => {
                let token = self.store.start(now, purpose, true);
                self.send(&host, &address, Body::Relay { token, op });
            }
            None => self.start_direct_operation(now, purpose, op),
        }
    }

    /// Starts an operation from here.
    pub(super) fn start_direct_operation(&mut self, now: Instant, purpose: Purpose, op: StoreOp) {
        let token = self.store.start(now, purpose, false);
        self.commands.push(Command::Store { token, op });
    }

    /// Tries the direct way again now and then while another delegate relays.
    pub(super) fn probe_direct_link(&mut self, now: Instant) {
        if self.store.relay.is_none() {
            return;
        }
        self.store.relayed_rounds += 1;
        if self.store.relayed_rounds.is_multiple_of(RELAYED_ROUNDS_MAX) {
            let op = StoreOp::List { prefix: super::ROSTER_PREFIX.into() };
            self.start_direct_operation(now, Purpose::DirectProbe, op);
        }
    }

    pub(super) fn direct_result_received(&mut self, now: Instant, token: u64, result: StoreResult) {
        let is_mine = self.store.pending.get(&token).is_some_and(|pending| !pending.is_relayed);
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
        let is_mine = self.store.pending.get(&token).is_some_and(|pending| pending.is_relayed);
        if let Some(pending) = is_mine.then(|| self.store.pending.remove(&token)).flatten() {
            self.operation_ended(now, pending.purpose, result);
        }
    }

    /// Does an operation for another host. Only operations on rosters and the manifest's version
    /// are relayed.
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
            self.start_direct_operation(now, Purpose::Relayed { to, address, token }, op);
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
            Purpose::Relayed { to, address, token } => {
                self.send(&to, &address, Body::Relayed { token, result });
            }
            Purpose::DirectProbe if result.is_ok() => self.store.use_direct_link(),
            Purpose::DirectProbe => {}
            purpose => self.round_operation_ended(now, purpose, result),
        }
    }
}
