//! The state of a delegate, the host that writes its domain's roster.

use {
    super::{
        Guard, Heartbeat, HostEntry, HostState, Identity, Membership, Options, Roster, ViewVersion,
        freeze::{FreezeRound, may_remove},
        options::Rule,
        round::{IncludedHeartbeat, StoreRound},
    },
    crate::ids::{DomainId, HostId, Member},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

/// The last heartbeat received from a host.
#[derive(Clone, Debug)]
pub(super) struct ReceivedHeartbeat {
    pub at: Instant,
    pub seq: u64,
    pub entry: HostEntry,
    pub view: ViewVersion,
}

/// Another domain's roster as last read, with its object version.
#[derive(Clone, Debug)]
pub(super) struct OtherRoster {
    pub version: u64,
    /// When this version was first read. Reset after a period without reads of the store.
    pub unchanged_since: Instant,
    pub roster: Roster,
}

/// State of a delegate.
#[derive(Clone, Debug)]
pub(super) struct Delegate {
    /// Object version of this domain's roster in the store.
    pub version: u64,
    /// This domain's roster as stored.
    pub roster: Roster,
    /// The last roster whose write was started and has not been confirmed.
    pub attempted: Option<Roster>,
    /// Guards of each roster that may be the stored one. There are several while the outcome of a
    /// write is unknown.
    guard_sets: Vec<Vec<Guard>>,
    pub heartbeats: BTreeMap<Member, ReceivedHeartbeat>,
    became_delegate_at: Instant,
    /// Revision of the roster with which this host became the delegate.
    claim_revision: u64,
    pub other_rosters: BTreeMap<DomainId, OtherRoster>,
    pub round: Option<StoreRound>,
    /// When the last round completed.
    pub last_round_at: Option<Instant>,
    /// Number of consecutive failed rounds.
    pub failed_rounds: u32,
    /// For each host that is settling: its `added_revision`, and when it was first found to be in
    /// the views of the delegates of all domains.
    settling: BTreeMap<HostId, (u64, Instant)>,
    pub freeze: Option<FreezeRound>,
    freeze_number: u64,
    /// For each domain: a roster revision, and the guards that have released the domain at that
    /// revision.
    releases: BTreeMap<DomainId, (u64, BTreeSet<Member>)>,
    pub manifest_version: Option<u64>,
}

impl Delegate {
    pub fn new(now: Instant, version: u64, roster: Roster) -> Self {
        Self {
            version,
            guard_sets: vec![roster.guards.clone()],
            claim_revision: roster.revision,
            roster,
            attempted: None,
            heartbeats: BTreeMap::new(),
            became_delegate_at: now,
            other_rosters: BTreeMap::new(),
            round: None,
            last_round_at: None,
            failed_rounds: 0,
            settling: BTreeMap::new(),
            freeze: None,
            freeze_number: 0,
            releases: BTreeMap::new(),
            manifest_version: None,
        }
    }

    /// Returns whether a round has completed, so that this host's view includes all domains.
    pub fn has_view(&self) -> bool {
        self.last_round_at.is_some()
    }

    pub fn is_store_up(&self) -> bool {
        self.failed_rounds == 0
    }

    pub fn entry_of(&self, host: &str) -> Option<&HostEntry> {
        self.roster.hosts.get(host)
    }

    pub fn guard_sets(&self) -> &[Vec<Guard>] {
        &self.guard_sets
    }

    /// Returns the delegate that wrote a domain's roster, as last read.
    pub fn writer_of(&self, domain: &str) -> Option<&Member> {
        self.other_rosters.get(domain).map(|other| &other.roster.writer)
    }

    /// Returns the hosts and addresses to which a query for a guard is sent: the guard itself, and
    /// the delegate of the domain that lists its host, which forwards the query. The guard may have
    /// been restarted at another address since, and answers for its former incarnation.
    pub fn query_recipients(&self, guard: &Guard) -> Vec<(HostId, String)> {
        let lists_guard = |roster: &&Roster| {
            roster.writer.host == guard.member.host || roster.hosts.contains_key(&guard.member.host)
        };
        let rosters = self.other_rosters.values().map(|other| &other.roster);
        let delegates = rosters
            .filter(lists_guard)
            .map(|roster| (roster.writer.host.clone(), roster.writer_address.clone()));
        let itself = (guard.member.host.clone(), guard.address.clone());
        let mut recipients: Vec<(HostId, String)> = delegates.chain([itself]).collect();
        recipients.sort();
        recipients.dedup();
        recipients
    }

    /// Returns the other domains that have hosts.
    pub fn other_domains(&self) -> BTreeSet<DomainId> {
        self.other_rosters
            .iter()
            .filter(|(_, other)| !other.roster.hosts.is_empty())
            .map(|(domain, _)| domain.clone())
            .collect()
    }

    /// Restarts the heartbeat time-outs of all hosts of this domain and the staleness timers of the
    /// other domains' rosters.
    pub fn reset_timeouts(&mut self, now: Instant) {
        self.heartbeats.values_mut().for_each(|received| received.at = now);
        self.reset_staleness(now);
    }

    /// Restarts the staleness timers of the other domains' rosters. Used after a period without
    /// reads, since an unchanged version then doesn't show that the writer has stopped.
    pub fn reset_staleness(&mut self, now: Instant) {
        self.other_rosters.values_mut().for_each(|other| other.unchanged_since = now);
    }

    pub fn new_freeze_round(&mut self, now: Instant) -> u64 {
        self.freeze_number += 1;
        self.freeze =
            Some(FreezeRound::new(self.freeze_number, now, self.heartbeats_to_acknowledge()));
        self.freeze_number
    }

    /// Returns the heartbeats that may be acknowledged: those of hosts in the stored roster.
    pub fn heartbeats_to_acknowledge(&self) -> Vec<IncludedHeartbeat> {
        self.heartbeats_included_in(&self.roster)
    }

    pub fn heartbeats_included_in(&self, roster: &Roster) -> Vec<IncludedHeartbeat> {
        roster
            .hosts
            .values()
            .filter_map(|entry| {
                let received = self.heartbeats.get(&entry.member)?;
                Some(IncludedHeartbeat {
                    member: entry.member.clone(),
                    address: entry.address.clone(),
                    seq: received.seq,
                    view: received.view.clone(),
                })
            })
            .collect()
    }

    pub fn record_release(&mut self, domain: DomainId, revision: u64, guard: Member) {
        let (released_revision, released) = self.releases.entry(domain).or_default();
        if *released_revision != revision {
            *released_revision = revision;
            released.clear();
        }
        released.insert(guard);
    }

    pub fn releases(&self, domain: &str, revision: u64) -> BTreeSet<Member> {
        let released = self
            .releases
            .get(domain)
            .filter(|(released_revision, _)| *released_revision == revision);
        released.map(|(_, released)| released.clone()).unwrap_or_default()
    }

    /// Returns the guards that can release the inherited entries, and the revision that the release
    /// must name. Returns `None` if no inherited entries remain.
    pub fn inherited_guards(&self) -> Option<(u64, &[Vec<Guard>])> {
        let has_inherited = self.roster.hosts.values().any(|entry| entry.is_inherited);
        has_inherited.then_some((self.claim_revision, self.roster.former_guards.as_slice()))
    }

    fn are_inherited_released(&self, options: &Options) -> bool {
        let released = self.releases(&self.roster.domain, self.claim_revision);
        may_remove(&self.roster.former_guards, &released) || !options.enforces(Rule::Release)
    }

    /// Builds the next roster from the stored one and the received heartbeats.
    pub fn next_roster(&mut self, now: Instant, me: &Identity, options: &Options) -> Roster {
        let mut roster = self.roster.clone();
        roster.revision += 1;
        roster.writer = me.member.clone();
        roster.writer_address = me.address.clone();
        self.remove_ended_leases(now, options, &mut roster);
        // A heartbeat older than the takeover time-out is not used, so that it can't add a host
        // again that has just been removed after a time-out.
        let is_recent = |received: &&ReceivedHeartbeat| {
            now.saturating_duration_since(received.at) <= options.takeover
        };
        for received in self.heartbeats.values().filter(is_recent) {
            include_heartbeat(&mut roster, received, options);
        }
        if roster.hosts.values().all(|entry| !entry.is_inherited) {
            roster.former_guards.clear();
        }
        roster.guards = self.guards();
        roster.seen = self
            .other_rosters
            .iter()
            .map(|(domain, other)| (domain.clone(), other.roster.revision))
            .collect();
        let expiry = options.expiry();
        self.heartbeats.retain(|member, received| {
            let is_listed =
                roster.hosts.get(&member.host).is_some_and(|entry| entry.member == *member);
            is_listed || now.saturating_duration_since(received.at) <= expiry
        });
        roster
    }

    fn remove_ended_leases(&self, now: Instant, options: &Options, roster: &mut Roster) {
        let are_inherited_released = self.are_inherited_released(options);
        roster.hosts.retain(|_, entry| {
            let received = self.heartbeats.get(&entry.member);
            let last = received.map_or(self.became_delegate_at, |received| received.at);
            let is_silent = now.saturating_duration_since(last) > options.expiry();
            let has_left = received.is_some_and(|received| received.entry.state == HostState::Left);
            let may_be_extended_elsewhere =
                entry.is_inherited && received.is_none() && !are_inherited_released;
            !has_left && (!is_silent || may_be_extended_elsewhere)
        });
    }

    fn guards(&self) -> Vec<Guard> {
        self.other_rosters
            .values()
            .map(|other| &other.roster)
            .filter(|roster| !roster.hosts.is_empty())
            .map(|roster| Guard {
                member: roster.writer.clone(),
                address: roster.writer_address.clone(),
            })
            .collect()
    }

    /// Records a roster that is about to be written. Until the outcome of the write is known, both
    /// its guard set and that of the former roster must be taken into account.
    pub fn record_attempt(&mut self, roster: Roster) {
        if !self.guard_sets.contains(&roster.guards) {
            self.guard_sets.push(roster.guards.clone());
        }
        self.attempted = Some(roster);
    }

    pub fn record_written(&mut self, version: u64) {
        self.version = version;
        if let Some(roster) = self.attempted.take() {
            self.guard_sets = vec![roster.guards.clone()];
            self.roster = roster;
        }
    }

    /// Marks as settled each host that is by now in the view of every host with a lease.
    pub fn mark_settled(&mut self, now: Instant, options: &Options) {
        let domain = self.roster.domain.clone();
        let others: Vec<&Roster> = self
            .other_rosters
            .values()
            .map(|other| &other.roster)
            .filter(|roster| !roster.hosts.is_empty())
            .collect();
        let is_alone = others.is_empty() && self.roster.hosts.len() == 1;
        let has_inherited = |roster: &Roster| roster.hosts.values().any(|e| e.is_inherited);
        let is_settling_allowed =
            !has_inherited(&self.roster) && !others.iter().any(|roster| has_inherited(roster));
        let seen_by_all = others
            .iter()
            .map(|roster| roster.seen.get(&domain).copied().unwrap_or(0))
            .min()
            .unwrap_or(u64::MAX);
        for (host, entry) in &mut self.roster.hosts {
            if !entry.is_live() || entry.is_settled {
                continue;
            }
            if !is_settling_allowed || seen_by_all < entry.added_revision {
                self.settling.remove(host);
                continue;
            }
            let (revision, since) =
                self.settling.entry(host.clone()).or_insert((entry.added_revision, now));
            if *revision != entry.added_revision {
                (*revision, *since) = (entry.added_revision, now);
            }
            entry.is_settled = is_alone || now.saturating_duration_since(*since) > options.expiry();
        }
    }
}

/// Updates or adds a host's entry in a roster from the host's last heartbeat.
fn include_heartbeat(roster: &mut Roster, received: &ReceivedHeartbeat, options: &Options) {
    if received.entry.state == HostState::Left {
        return;
    }
    let revision = roster.revision;
    let host = &received.entry.member.host;
    let fresh = || HostEntry {
        added_revision: revision,
        is_settled: false,
        is_inherited: false,
        ..received.entry.clone()
    };
    let Some(entry) = roster.hosts.get_mut(host) else {
        roster.hosts.insert(host.clone(), fresh());
        return;
    };
    if entry.member != received.entry.member {
        // The entry belongs to another incarnation of the host, which may be paused with a valid
        // lease. The entry stays until that incarnation has been silent for longer than a lease
        // can last.
        if !options.enforces(Rule::Incarnation) && entry.member < received.entry.member {
            *entry = fresh();
        }
        return;
    }
    let kept = (entry.added_revision, entry.is_settled);
    *entry = fresh();
    (entry.added_revision, entry.is_settled) = kept;
    entry.is_settled &= entry.is_live();
}

impl Membership {
    /// Stores a heartbeat for the next round. Starts that round early if the host is not in the
    /// roster yet or is stopping.
    pub(super) fn heartbeat_received(&mut self, now: Instant, heartbeat: Heartbeat) {
        let super::RosterRole::Delegate(delegate) = &mut self.roster_role else { return };
        if heartbeat.entry.domain != self.me.domain {
            return;
        }
        let member = heartbeat.entry.member.clone();
        let is_old =
            delegate.heartbeats.get(&member).is_some_and(|received| received.seq >= heartbeat.seq);
        if is_old {
            return;
        }
        let is_new = delegate.entry_of(&member.host).is_none();
        let is_stopping = heartbeat.entry.state != HostState::Live;
        let received = ReceivedHeartbeat {
            at: now,
            seq: heartbeat.seq,
            entry: heartbeat.entry,
            view: heartbeat.view,
        };
        delegate.heartbeats.insert(member, received);
        if (is_new || is_stopping) && delegate.round.is_none() && delegate.is_store_up() {
            self.next_heartbeat = now;
        }
    }
}
