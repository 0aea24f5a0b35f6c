//! A host's view of all hosts, and the updates that keep it current.
//!
//! A delegate builds its view from the rosters and numbers the changes. A host of its domain
//! receives only the changes since the version that it has, so the reply to a heartbeat is small
//! while nothing changes.

use {
    super::{
        message::{HostEntry, LogEvent, Roster, ViewUpdate, ViewVersion},
        role::{Candidate, RoleKey},
    },
    crate::ids::{DomainId, HostId, JournalId, Member},
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Maximum number of removals that a delegate stores for its hosts. A host that missed more
/// receives the complete view.
const REMOVALS_MAX: usize = 1_024;
/// Maximum number of departures that a host stores to determine how long it has held a role.
const DEPARTURES_MAX: usize = 512;
/// Age above which departures are dropped. By then every token bucket is full again, so it makes no
/// difference when a limiter took over.
const DEPARTURE_AGE_MAX: Duration = Duration::from_secs(3_600);

/// A host's entry, with its hashes for ranking and the number of the change that last set it.
#[derive(Clone, Debug)]
struct ViewEntry {
    entry: HostEntry,
    candidate: Candidate,
    changed: u64,
}

/// All known hosts by id, and the delegate of each domain.
#[derive(Clone, Debug)]
pub(super) struct View {
    hosts: BTreeMap<HostId, ViewEntry>,
    delegates: BTreeMap<DomainId, (HostId, u64)>,
    stamp: ViewVersion,
    removed: VecDeque<(u64, HostId)>,
    /// Invariant: `removed` contains all removals with a number above this one.
    removals_complete_after: u64,
    departures: VecDeque<(Instant, Candidate)>,
    /// Invariant: `departures` contains all departures after this time.
    departures_complete_after: Instant,
}

/// Whether an update changed the view, with the log events for added and removed hosts.
#[derive(Debug, Default)]
pub(super) struct ViewChanges {
    pub is_changed: bool,
    pub log_events: Vec<LogEvent>,
}

impl View {
    pub fn new(now: Instant) -> Self {
        Self {
            hosts: BTreeMap::new(),
            delegates: BTreeMap::new(),
            stamp: ViewVersion::default(),
            removed: VecDeque::new(),
            removals_complete_after: 0,
            departures: VecDeque::new(),
            departures_complete_after: now,
        }
    }

    pub fn stamp(&self) -> &ViewVersion {
        &self.stamp
    }

    pub fn get(&self, host: &str) -> Option<&HostEntry> {
        self.hosts.get(host).map(|known| &known.entry)
    }

    pub fn entries(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts.values().map(|known| &known.entry)
    }

    pub fn delegate_of(&self, domain: &str) -> Option<&HostId> {
        self.delegates.get(domain).map(|(host, _)| host)
    }

    /// Returns the highest-ranked host for a role among those for which `is_candidate` returns
    /// true.
    pub fn highest_ranked(
        &self,
        key: &RoleKey,
        is_candidate: impl Fn(&HostEntry) -> bool,
    ) -> Option<&HostEntry> {
        self.hosts
            .values()
            .filter(|known| is_candidate(&known.entry))
            .max_by(|a, b| key.compare(&a.candidate, &b.candidate))
            .map(|known| &known.entry)
    }

    /// Returns the hosts for which `is_candidate` returns true, ordered by their rank for a role,
    /// the highest first.
    pub fn ranked(
        &self,
        key: &RoleKey,
        is_candidate: impl Fn(&HostEntry) -> bool,
    ) -> Vec<&HostEntry> {
        let mut ranked: Vec<&ViewEntry> =
            self.hosts.values().filter(|known| is_candidate(&known.entry)).collect();
        ranked.sort_by(|a, b| key.compare(&b.candidate, &a.candidate));
        ranked.into_iter().map(|known| &known.entry).collect()
    }

    /// Returns the latest departure of a host that ranked above `host` for the role: its time and
    /// the departed host. If no such departure is stored, returns the time before which departures
    /// have been dropped, and no host.
    pub fn last_departure_above(&self, key: &RoleKey, host: &str) -> (Instant, Option<HostId>) {
        let before_floor = (self.departures_complete_after, None);
        let Some(known) = self.hosts.get(host) else { return before_floor };
        self.departures
            .iter()
            .rev()
            .find(|(_, departed)| key.compare(departed, &known.candidate).is_gt())
            .map_or(before_floor, |(at, departed)| (*at, Some(departed.host().clone())))
    }

    /// Returns the host that announces a journal under the highest epoch.
    pub fn owner_of(&self, journal: &JournalId) -> Option<&HostEntry> {
        let owned = |entry: &HostEntry| {
            entry.journals.iter().find(|owned| owned.journal == *journal).map(|owned| owned.epoch)
        };
        self.entries()
            .filter_map(|entry| owned(entry).map(|epoch| (epoch, entry)))
            .max_by_key(|(epoch, _)| *epoch)
            .map(|(_, entry)| entry)
    }

    /// Starts a new numbering of the view's versions, assigned by `me` as delegate.
    pub fn start_numbering(&mut self, me: &Member) {
        let number = self.stamp.number + 1;
        self.stamp = ViewVersion { delegate: Some(me.clone()), number };
        self.removed.clear();
        self.removals_complete_after = number;
    }

    /// Rebuilds the view from all rosters.
    pub fn rebuild<'a>(
        &mut self,
        now: Instant,
        rosters: impl Iterator<Item = &'a Roster>,
    ) -> ViewChanges {
        let number = self.stamp.number + 1;
        let mut hosts: BTreeMap<HostId, HostEntry> = BTreeMap::new();
        let mut delegates = BTreeMap::new();
        for roster in rosters {
            if roster.hosts.contains_key(&roster.writer.host) {
                delegates.insert(roster.domain.clone(), roster.writer.host.clone());
            }
            for (host, entry) in &roster.hosts {
                insert_unless_older_present(&mut hosts, host, entry);
            }
        }
        let removed: Vec<HostId> =
            self.hosts.keys().filter(|host| !hosts.contains_key(*host)).cloned().collect();
        let mut changes = ViewChanges::default();
        for host in removed {
            self.remove(now, &host, number, &mut changes);
        }
        for entry in hosts.into_values() {
            self.insert(now, entry, number, &mut changes);
        }
        self.set_delegates(delegates, number, &mut changes);
        if changes.is_changed {
            self.stamp.number = number;
        }
        changes
    }

    /// Applies an update that a delegate sent.
    pub fn apply(&mut self, now: Instant, update: ViewUpdate) -> ViewChanges {
        let mut changes = ViewChanges::default();
        let number = update.stamp.number;
        if update.is_complete {
            let kept: Vec<&HostId> =
                update.changed.iter().map(|entry| &entry.member.host).collect();
            let removed: Vec<HostId> =
                self.hosts.keys().filter(|host| !kept.contains(host)).cloned().collect();
            for host in removed {
                self.remove(now, &host, number, &mut changes);
            }
            self.delegates.clear();
        }
        for host in &update.removed {
            self.remove(now, host, number, &mut changes);
        }
        for entry in update.changed {
            self.insert(now, entry, number, &mut changes);
        }
        for (domain, host) in update.delegates {
            self.delegates.insert(domain, (host, number));
        }
        self.stamp = update.stamp;
        changes
    }

    /// Returns the update for a host whose view has the version `since`.
    pub fn update_since(&self, since: &ViewVersion) -> ViewUpdate {
        let is_complete =
            since.delegate != self.stamp.delegate || since.number < self.removals_complete_after;
        let number = if is_complete { 0 } else { since.number };
        let is_new = |changed: u64| is_complete || changed > number;
        ViewUpdate {
            stamp: self.stamp.clone(),
            is_complete,
            changed: self
                .hosts
                .values()
                .filter(|known| is_new(known.changed))
                .map(|known| known.entry.clone())
                .collect(),
            removed: self
                .removed
                .iter()
                .filter(|(at, host)| !is_complete && *at > number && !self.hosts.contains_key(host))
                .map(|(_, host)| host.clone())
                .collect(),
            delegates: self
                .delegates
                .iter()
                .filter(|(_, (_, changed))| is_new(*changed))
                .map(|(domain, (host, _))| (domain.clone(), host.clone()))
                .collect(),
        }
    }

    fn set_delegates(
        &mut self,
        delegates: BTreeMap<DomainId, HostId>,
        number: u64,
        changes: &mut ViewChanges,
    ) {
        for (domain, host) in delegates {
            if self.delegate_of(&domain) != Some(&host) {
                self.delegates.insert(domain, (host, number));
                changes.is_changed = true;
            }
        }
    }

    fn insert(&mut self, now: Instant, entry: HostEntry, number: u64, changes: &mut ViewChanges) {
        let before = self.hosts.get(&entry.member.host);
        if before.is_some_and(|known| known.entry == entry) {
            return;
        }
        changes.is_changed = true;
        let was_live = before.is_some_and(|known| known.entry.is_live());
        let is_new = before.is_none_or(|known| known.entry.member != entry.member);
        // An entry that was removed and added again between two updates counts as a departure too.
        let ends_former_entry = is_new
            || !entry.is_live()
            || before.is_some_and(|known| known.entry.added_revision != entry.added_revision);
        let candidate = Candidate::new(&entry.member.host, &entry.domain);
        if was_live && ends_former_entry {
            self.record_departure(now, candidate.clone());
        }
        if is_new {
            changes.log_events.push(LogEvent::HostSeen(entry.member.clone()));
        }
        self.hosts
            .insert(entry.member.host.clone(), ViewEntry { entry, candidate, changed: number });
    }

    fn remove(&mut self, now: Instant, host: &HostId, number: u64, changes: &mut ViewChanges) {
        let Some(known) = self.hosts.remove(host) else { return };
        changes.is_changed = true;
        changes.log_events.push(LogEvent::HostLost(known.entry.member.clone()));
        if known.entry.is_live() {
            self.record_departure(now, known.candidate);
        }
        self.removed.push_back((number, host.clone()));
        while self.removed.len() > REMOVALS_MAX {
            if let Some((number, _)) = self.removed.pop_front() {
                self.removals_complete_after = number;
            }
        }
    }

    fn record_departure(&mut self, now: Instant, candidate: Candidate) {
        self.departures.push_back((now, candidate));
        while let Some((at, _)) = self.departures.front().cloned() {
            let is_old = now.saturating_duration_since(at) > DEPARTURE_AGE_MAX;
            if !is_old && self.departures.len() <= DEPARTURES_MAX {
                break;
            }
            self.departures.pop_front();
            self.departures_complete_after = at;
        }
    }
}

/// Inserts an entry unless an older incarnation of the host is present. A newer incarnation is left
/// out of the view until the lease of the older one has ended and its entry has been removed.
fn insert_unless_older_present(
    hosts: &mut BTreeMap<HostId, HostEntry>,
    host: &HostId,
    entry: &HostEntry,
) {
    let is_older =
        hosts.get(host).is_none_or(|known| entry.member.incarnation < known.member.incarnation);
    if is_older {
        hosts.insert(host.clone(), entry.clone());
    }
}
