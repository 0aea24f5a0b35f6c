//! Extension of leases while the store is unavailable ("freeze"), and the promises of guards that
//! keep it from overlapping with removals.
//!
//! A delegate that can't reach the store may extend its domain's leases if all guards confirm that
//! they can't reach it either. The guards are the processes that the stored roster names: the
//! delegates of the other domains. Before hosts of a domain that may be frozen are removed, one of
//! the same guards must release the domain. A guard that has confirmed an extension doesn't release
//! the domain before the extended leases have ended.

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

/// Number of consecutive failed rounds after which the store is reported as unavailable.
const FAILED_ROUNDS_TO_REPORT: u32 = 2;

/// Promises that this process has given to other delegates as a guard.
#[derive(Clone, Debug)]
pub(super) struct Promises {
    started_at: Instant,
    /// When this process last confirmed a lease extension of a domain.
    confirmed: BTreeMap<DomainId, Instant>,
    /// Roster revision up to which this process confirms no lease extension of a domain.
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

    /// Ends the release of a domain when a newer roster of it has been read.
    pub fn roster_read(&mut self, domain: &DomainId, revision: u64) {
        if self.released.get(domain).is_some_and(|released| revision > *released) {
            self.released.remove(domain);
        }
    }
}

/// Returns whether leases may be extended: every guard in each guard set that may be the stored one
/// must have confirmed. An empty set never suffices, since no other process could then confirm that
/// the store is unavailable to others too.
pub(super) fn may_freeze(guard_sets: &[Vec<Guard>], confirmed: &BTreeSet<Member>) -> bool {
    let has_all = |set: &Vec<Guard>| {
        !set.is_empty() && set.iter().all(|guard| confirmed.contains(&guard.member))
    };
    guard_sets.iter().all(has_all)
}

/// Returns whether hosts may be removed: each guard set that could have confirmed lease extensions
/// must contain a guard that has released them, so that the set can't confirm any more.
pub(super) fn may_remove(guard_sets: &[Vec<Guard>], released: &BTreeSet<Member>) -> bool {
    let has_one = |set: &Vec<Guard>| {
        set.is_empty() || set.iter().any(|guard| released.contains(&guard.member))
    };
    guard_sets.iter().all(has_one)
}

/// One attempt to extend the leases without the store.
#[derive(Clone, Debug)]
pub(super) struct FreezeRound {
    number: u64,
    started: Instant,
    included: Vec<IncludedHeartbeat>,
    /// Guards that have confirmed the extension.
    confirmed: BTreeSet<Member>,
    /// Domains whose delegates report that the store does not answer.
    down_domains: BTreeSet<DomainId>,
    /// Whether the heartbeats have been acknowledged.
    is_acked: bool,
    /// Whether the manifest's version has been reported along with the acknowledgements.
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
    /// Starts a freeze round and sends a freeze query to all guards.
    pub(super) fn freeze_round(&mut self, now: Instant) {
        let DomainRole::Delegate(delegate) = &mut self.domain_role else { return };
        let heartbeat = self.options.heartbeat;
        let is_open = |freeze: &FreezeRound| {
            !freeze.is_acked && now.saturating_duration_since(freeze.started) < heartbeat
        };
        // A guard may probe the store before it answers, which takes up to the store time-out.
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

    /// Answers a freeze query at once if the store is known to be unavailable here, and otherwise
    /// after a probe of the store.
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

    /// Sends the answer to a freeze query. The receiver gets a confirmation only if it is the
    /// writer of its domain's roster. Only a delegate confirms, since other hosts read no rosters.
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

    /// Returns whether this process releases a domain as a guard. It also releases on behalf of a
    /// former incarnation of this host, once no lease that incarnation confirmed can still hold.
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
