//! Leases without the store, and the promises that keep them apart from removals.
//!
//! A delegate that can't reach the store may let its domain's leases go on when all guards confirm
//! that they can't reach it either. A guard is a process that the stored roster names: the
//! delegates of the other domains. To remove hosts of a domain that may be going on like this, one
//! of the same guards must have released it. A guard that confirmed doesn't release before the
//! leases that rest on its word have ended.

use {
    super::{
        Answer, Body, Command, DomainRole, Guard, LogEvent, Membership, Query, StoreOp,
        round::IncludedHeartbeat, store::Purpose,
    },
    crate::ids::{DomainId, HostId, Member},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Failed rounds after which the store counts as down in reports.
const FAILED_ROUNDS_TO_REPORT: u32 = 2;

/// What this process has promised other delegates.
#[derive(Clone, Debug)]
pub(super) struct Promises {
    started_at: Instant,
    /// When leases of a domain were last allowed to go on.
    confirmed: BTreeMap<DomainId, Instant>,
    /// Beat of the roster up to which leases of a domain may not go on.
    released: BTreeMap<DomainId, u64>,
}

impl Promises {
    pub fn new(now: Instant) -> Self {
        Self { started_at: now, confirmed: BTreeMap::new(), released: BTreeMap::new() }
    }

    fn confirm(&mut self, now: Instant, domain: &DomainId) -> bool {
        if self.released.contains_key(domain) {
            return false;
        }
        self.confirmed.insert(domain.clone(), now);
        true
    }

    fn release(
        &mut self,
        now: Instant,
        domain: &DomainId,
        revision: u64,
        expiry: Duration,
    ) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) <= expiry;
        if self.confirmed.get(domain).is_some_and(is_recent) {
            return false;
        }
        let released = self.released.entry(domain.clone()).or_insert(revision);
        *released = revision.max(*released);
        true
    }

    /// A newer roster was read: what was released is decided.
    pub fn roster_read(&mut self, domain: &DomainId, revision: u64) {
        if self.released.get(domain).is_some_and(|released| revision > *released) {
            self.released.remove(domain);
        }
    }
}

/// Returns whether leases may go on, for each group of guards that may be the stored one. Without
/// guards nobody could tell that the store is down for others too.
pub(super) fn may_freeze(guard_sets: &[Vec<Guard>], confirmed: &BTreeSet<Member>) -> bool {
    let has_all = |set: &Vec<Guard>| {
        !set.is_empty() && set.iter().all(|guard| confirmed.contains(&guard.member))
    };
    guard_sets.iter().all(has_all)
}

/// Returns whether hosts may be removed: each group that might have let leases go on can't do so
/// any more, because one of it has released them.
pub(super) fn may_remove(guard_sets: &[Vec<Guard>], released: &BTreeSet<Member>) -> bool {
    let has_one = |set: &Vec<Guard>| {
        set.is_empty() || set.iter().any(|guard| released.contains(&guard.member))
    };
    guard_sets.iter().all(has_one)
}

/// One attempt to let the leases go on.
#[derive(Clone, Debug)]
pub(super) struct FreezeRound {
    number: u64,
    started: Instant,
    included: Vec<IncludedHeartbeat>,
    confirmed: BTreeSet<Member>,
    down_domains: BTreeSet<DomainId>,
    is_acked: bool,
    is_manifest_acked: bool,
}

impl FreezeRound {
    pub fn new(number: u64, started: Instant, included: Vec<IncludedHeartbeat>) -> Self {
        Self {
            number,
            started,
            included,
            confirmed: BTreeSet::new(),
            down_domains: BTreeSet::new(),
            is_acked: false,
            is_manifest_acked: false,
        }
    }
}

impl Membership {
    /// Asks all guards.
    pub(super) fn freeze_round(&mut self, now: Instant) {
        let DomainRole::Delegate(delegate) = &mut self.domain_role else { return };
        let heartbeat = self.options.heartbeat;
        let is_open = |freeze: &FreezeRound| {
            !freeze.is_acked && now.saturating_duration_since(freeze.started) < heartbeat
        };
        // The guards may be trying the store: their answers take as long as a store timeout.
        if !delegate.has_view() || delegate.freeze.as_ref().is_some_and(is_open) {
            return;
        }
        let number = delegate.start_freeze(now);
        let guards: BTreeMap<HostId, String> = delegate
            .guard_sets()
            .iter()
            .flatten()
            .map(|guard| (guard.member.host.clone(), guard.address.clone()))
            .collect();
        for (host, address) in guards {
            let query = Query::Freeze { round: number, domain: self.me.domain.clone() };
            self.send(&host, &address, Body::Query(query));
        }
    }

    pub(super) fn round_failed(&mut self, now: Instant) {
        self.store.discard_round_operations();
        self.store.use_direct_link();
        let DomainRole::Delegate(delegate) = &mut self.domain_role else { return };
        delegate.round = None;
        delegate.failed_rounds += 1;
        if delegate.failed_rounds == FAILED_ROUNDS_TO_REPORT {
            self.commands.push(Command::Log(LogEvent::StoreDown));
        }
        self.freeze_round(now);
    }

    pub(super) fn query_received(
        &mut self,
        now: Instant,
        from: Member,
        address: String,
        query: Query,
    ) {
        match query {
            Query::Freeze { round, domain } => {
                self.freeze_query_received(now, from, address, round, domain)
            }
            Query::Release { domain, revision, guard } => {
                if self.release(now, &domain, revision, &guard) {
                    let answer = Answer::Release { domain, revision, guard };
                    self.send(&from.host, &address, Body::Answer(answer));
                }
            }
        }
    }

    /// A host that knows that the store doesn't answer it says so at once. Any other tries.
    fn freeze_query_received(
        &mut self,
        now: Instant,
        from: Member,
        address: String,
        round: u64,
        domain: DomainId,
    ) {
        let is_down =
            matches!(&self.domain_role, DomainRole::Delegate(delegate) if !delegate.is_store_up());
        if is_down {
            self.answer_freeze(now, from, address, round, domain, false);
            return;
        }
        let op = StoreOp::List { prefix: super::MANIFEST_KEY.into() };
        let purpose = Purpose::Probe { to: from, address, round, domain };
        self.start_direct_operation(now, purpose, op);
    }

    /// Only the delegate that a domain's roster names gets a confirmation, and only another
    /// delegate gives one: a host that no longer is one reads no rosters.
    pub(super) fn answer_freeze(
        &mut self,
        now: Instant,
        to: Member,
        address: String,
        round: u64,
        domain: DomainId,
        is_store_up: bool,
    ) {
        let is_writer = matches!(
            &self.domain_role,
            DomainRole::Delegate(delegate) if delegate.writer_of(&domain) == Some(&to)
        );
        let is_confirmed = !is_store_up && is_writer && self.promises.confirm(now, &domain);
        let answer =
            Answer::Freeze { round, domain: self.me.domain.clone(), is_store_up, is_confirmed };
        self.send(&to.host, &address, Body::Answer(answer));
    }

    /// Returns whether this process releases a domain as a guard. It also answers for a former
    /// incarnation of the same host, once that one's word can no longer carry a lease.
    pub(super) fn release(
        &mut self,
        now: Instant,
        domain: &DomainId,
        revision: u64,
        guard: &Member,
    ) -> bool {
        let expiry = self.options.expiry();
        if *guard == self.me.member {
            return self.promises.release(now, domain, revision, expiry);
        }
        let is_former =
            guard.host == self.me.member.host && guard.incarnation < self.me.member.incarnation;
        is_former && now.saturating_duration_since(self.promises.started_at) > expiry
    }

    pub(super) fn answer_received(
        &mut self,
        now: Instant,
        from: Member,
        address: String,
        answer: Answer,
    ) {
        match answer {
            Answer::Freeze { round, domain, is_store_up, is_confirmed } => {
                if is_store_up {
                    self.store.relay_through(from.host, address);
                } else {
                    self.freeze_answer_received(now, round, from, domain, is_confirmed);
                }
            }
            Answer::Release { domain, revision, guard } => {
                if let DomainRole::Delegate(delegate) = &mut self.domain_role {
                    delegate.record_release(domain, revision, guard);
                }
            }
        }
    }

    fn freeze_answer_received(
        &mut self,
        now: Instant,
        number: u64,
        from: Member,
        domain: DomainId,
        is_confirmed: bool,
    ) {
        let DomainRole::Delegate(delegate) = &mut self.domain_role else { return };
        let domains = delegate.other_domains();
        let guard_sets = delegate.guard_sets().to_vec();
        let manifest_version = delegate.manifest_version;
        let Some(freeze) = delegate.freeze.as_mut().filter(|freeze| freeze.number == number) else {
            return;
        };
        let is_late = now.saturating_duration_since(freeze.started) > self.options.lease;
        if is_late {
            return;
        }
        if is_confirmed {
            freeze.confirmed.insert(from);
        }
        freeze.down_domains.insert(domain);
        let may_extend = may_freeze(&guard_sets, &freeze.confirmed);
        let is_down_for_all = domains.is_subset(&freeze.down_domains);
        let is_new = !freeze.is_acked || (is_down_for_all && !freeze.is_manifest_acked);
        let ack = (may_extend && is_new).then(|| {
            freeze.is_acked = true;
            freeze.is_manifest_acked |= is_down_for_all;
            (freeze.included.clone(), manifest_version.filter(|_| is_down_for_all))
        });
        if let Some((included, manifest_version)) = ack {
            self.acknowledge(now, included, manifest_version, false);
        }
    }
}
