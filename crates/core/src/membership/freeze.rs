//! Extension of leases while the store is unavailable, and the confirmations and releases by which
//! guards prevent a removal during an extension.
//!
//! A delegate that can't reach the store may extend its domain's leases if all guards confirm the
//! extension, which they do only if they can't reach the store either. A domain whose leases are
//! extended this way is called frozen. The guards are the processes that the stored roster lists:
//! the delegates of the other domains. Before hosts of a domain that may be frozen are removed, one
//! of the same guards must release the domain. A guard that has confirmed an extension doesn't
//! release the domain before the extended leases have ended.

use {
    super::{
        Answer, Body, Command, Guard, LogEvent, Membership, Message, Query, RosterRole, StoreOp,
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

/// Confirmations and releases that this process has sent as a guard.
#[derive(Clone, Debug)]
pub(super) struct GuardState {
    started_at: Instant,
    /// When this process last confirmed a lease extension of a domain.
    confirmed: BTreeMap<DomainId, Instant>,
    /// For each released domain, the roster revision of the release. No extension is confirmed
    /// until a newer roster is read.
    released: BTreeMap<DomainId, u64>,
}

impl GuardState {
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

/// Returns whether leases may be extended: every guard in each guard set of a roster that may be
/// the stored one must have confirmed. An empty set never suffices, since there is then no other
/// process to confirm that the store can't be reached.
pub(super) fn may_freeze(guard_sets: &[Vec<Guard>], confirmed: &BTreeSet<Member>) -> bool {
    let is_fully_confirmed = |set: &Vec<Guard>| {
        !set.is_empty() && set.iter().all(|guard| confirmed.contains(&guard.member))
    };
    guard_sets.iter().all(is_fully_confirmed)
}

/// Returns whether hosts may be removed: each guard set must contain a guard that has released the
/// domain, so that [`may_freeze`] can no longer succeed for that set. For an empty set,
/// [`may_freeze`] never succeeds.
pub(super) fn may_remove(guard_sets: &[Vec<Guard>], released: &BTreeSet<Member>) -> bool {
    let has_release = |set: &Vec<Guard>| {
        set.is_empty() || set.iter().any(|guard| released.contains(&guard.member))
    };
    guard_sets.iter().all(has_release)
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
    pub(super) fn start_freeze_round(&mut self, now: Instant) {
        let RosterRole::Delegate(delegate) = &mut self.roster_role else { return };
        let heartbeat = self.options.heartbeat;
        let is_in_progress = |freeze: &FreezeRound| {
            !freeze.is_acked && now.saturating_duration_since(freeze.started) < heartbeat
        };
        // A round isn't replaced while its guards may still be probing the store, which takes up to
        // the store time-out.
        if !delegate.has_view() || delegate.freeze.as_ref().is_some_and(is_in_progress) {
            return;
        }
        let number = delegate.new_freeze_round(now);
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
        self.store.discard_own_operations();
        self.store.use_direct_link();
        let RosterRole::Delegate(delegate) = &mut self.roster_role else { return };
        delegate.round = None;
        delegate.failed_rounds += 1;
        if delegate.failed_rounds == FAILED_ROUNDS_TO_REPORT {
            self.commands.push(Command::Log(LogEvent::StoreDown));
        }
        self.start_freeze_round(now);
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
            Query::Release { domain, revision, guard } if guard.host != self.me.member.host => {
                let query = Query::Release { domain, revision, guard: guard.clone() };
                self.forward_to_guard(from, address, &guard, query);
            }
            Query::Release { domain, revision, guard } => {
                if self.release(now, &domain, revision, &guard) {
                    let answer = Answer::Release { domain, revision, guard };
                    self.send(&from.host, &address, Body::Answer(answer));
                }
            }
        }
    }

    /// Forwards a query to the process that runs now under the name of a guard of this domain. The
    /// guard answers the sender.
    fn forward_to_guard(&mut self, from: Member, address: String, guard: &Member, query: Query) {
        let RosterRole::Delegate(delegate) = &self.roster_role else { return };
        let of_guard = |(member, _): &(&Member, _)| member.host == guard.host;
        let newest = delegate.heartbeats.iter().filter(of_guard).max_by_key(|(member, _)| *member);
        let Some((member, received)) = newest else { return };
        let message = Message { from, address, body: Body::Query(query) };
        self.commands.push(Command::Send {
            to: member.host.clone(),
            address: received.entry.address.clone(),
            message,
        });
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
            matches!(&self.roster_role, RosterRole::Delegate(delegate) if !delegate.is_store_up());
        if is_down {
            self.answer_freeze(now, from, address, round, domain, false);
            return;
        }
        let op = StoreOp::List { prefix: super::MANIFEST_KEY.into() };
        let purpose = Purpose::Probe { to: from, address, round, domain };
        self.start_direct_operation(now, purpose, op);
    }

    /// Sends the answer to a freeze query. The receiver gets a confirmation only if it is the
    /// writer of its domain's roster. Only a delegate confirms, since other hosts don't read
    /// rosters.
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
            &self.roster_role,
            RosterRole::Delegate(delegate) if delegate.writer_of(&domain) == Some(&to)
        );
        let is_confirmed = !is_store_up && is_writer && self.guard_state.confirm(now, &domain);
        let answer =
            Answer::Freeze { round, domain: self.me.domain.clone(), is_store_up, is_confirmed };
        self.send(&to.host, &address, Body::Answer(answer));
    }

    /// Returns whether this process releases a domain as a guard. It also releases on behalf of a
    /// former incarnation of this host, once every lease whose extension that incarnation may have
    /// confirmed has ended.
    pub(super) fn release(
        &mut self,
        now: Instant,
        domain: &DomainId,
        revision: u64,
        guard: &Member,
    ) -> bool {
        let expiry = self.options.expiry();
        if *guard == self.me.member {
            return self.guard_state.release(now, domain, revision, expiry);
        }
        let is_former =
            guard.host == self.me.member.host && guard.incarnation < self.me.member.incarnation;
        is_former && now.saturating_duration_since(self.guard_state.started_at) > expiry
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
                if let RosterRole::Delegate(delegate) = &mut self.roster_role {
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
        let RosterRole::Delegate(delegate) = &mut self.roster_role else { return };
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
        let is_ack_due = !freeze.is_acked || (is_down_for_all && !freeze.is_manifest_acked);
        let ack = (may_extend && is_ack_due).then(|| {
            freeze.is_acked = true;
            freeze.is_manifest_acked |= is_down_for_all;
            (freeze.included.clone(), manifest_version.filter(|_| is_down_for_all))
        });
        if let Some((included, manifest_version)) = ack {
            self.acknowledge(now, included, manifest_version, false);
        }
    }
}
