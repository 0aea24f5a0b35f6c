//! The state of a host that writes its domain's roster.

use {
    super::{
        Guard, Heartbeat, HostEntry, HostState, Identity, Membership, Options, Roster, ViewStamp,
        freeze::{FreezeRound, may_remove},
        options::Rule,
        round::{Included, Round},
    },
    crate::ids::{DomainId, HostId, Member},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

/// The last heartbeat of a host.
#[derive(Clone, Debug)]
pub(super) struct Heard {
    pub at: Instant,
    pub seq: u64,
    pub entry: HostEntry,
    pub view: ViewStamp,
}

/// Another domain's roster, as last read.
#[derive(Clone, Debug)]
pub(super) struct Other {
    pub version: u64,
    /// Since when the version has been the same, while the store could be read.
    pub since: Instant,
    pub roster: Roster,
}

/// A delegate.
#[derive(Clone, Debug)]
pub(super) struct Delegate {
    /// Version of the own roster in the store.
    pub version: u64,
    /// The own roster as stored.
    pub roster: Roster,
    pub attempted: Option<Roster>,
    /// Guards of each roster that may be the stored one: several while a write's outcome is open.
    guard_sets: Vec<Vec<Guard>>,
    pub heard: BTreeMap<Member, Heard>,
    taken_at: Instant,
    taken_beat: u64,
    pub others: BTreeMap<DomainId, Other>,
    pub round: Option<Round>,
    pub last_ok: Option<Instant>,
    pub failures: u32,
    settling: BTreeMap<HostId, (u64, Instant)>,
    pub freeze: Option<FreezeRound>,
    freeze_number: u64,
    releases: BTreeMap<DomainId, (u64, BTreeSet<Member>)>,
    pub manifest: Option<u64>,
}

impl Delegate {
    pub fn new(now: Instant, version: u64, roster: Roster) -> Self {
        Self {
            version,
            guard_sets: vec![roster.guards.clone()],
            taken_beat: roster.beat,
            roster,
            attempted: None,
            heard: BTreeMap::new(),
            taken_at: now,
            others: BTreeMap::new(),
            round: None,
            last_ok: None,
            failures: 0,
            settling: BTreeMap::new(),
            freeze: None,
            freeze_number: 0,
            releases: BTreeMap::new(),
            manifest: None,
        }
    }

    /// Returns whether a whole round has been done, so that there is a view to go by.
    pub fn has_view(&self) -> bool {
        self.last_ok.is_some()
    }

    pub fn is_store_up(&self) -> bool {
        self.failures == 0
    }

    pub fn entry_of(&self, host: &str) -> Option<&HostEntry> {
        self.roster.hosts.get(host)
    }

    pub fn guard_sets(&self) -> &[Vec<Guard>] {
        &self.guard_sets
    }

    /// Returns the delegate that wrote a domain's roster, as last read.
    pub fn writer_of(&self, domain: &str) -> Option<&Member> {
        self.others.get(domain).map(|other| &other.roster.writer)
    }

    /// Returns the other domains that have hosts.
    pub fn other_domains(&self) -> BTreeSet<DomainId> {
        self.others
            .iter()
            .filter(|(_, other)| !other.roster.hosts.is_empty())
            .map(|(domain, _)| domain.clone())
            .collect()
    }

    /// Counts silence anew from now on.
    pub fn forgive_silence(&mut self, now: Instant) {
        self.heard.values_mut().for_each(|heard| heard.at = now);
        self.forget_staleness(now);
    }

    /// Rosters couldn't be read for a while: nobody is judged by their age yet.
    pub fn forget_staleness(&mut self, now: Instant) {
        self.others.values_mut().for_each(|other| other.since = now);
    }

    pub fn start_freeze(&mut self, now: Instant) -> u64 {
        self.freeze_number += 1;
        self.freeze = Some(FreezeRound::new(self.freeze_number, now, self.included()));
        self.freeze_number
    }

    /// Returns the heartbeats that may be acknowledged: of hosts in the stored roster.
    pub fn included(&self) -> Vec<Included> {
        self.included_in(&self.roster)
    }

    pub fn included_in(&self, roster: &Roster) -> Vec<Included> {
        roster
            .hosts
            .values()
            .filter_map(|entry| {
                let heard = self.heard.get(&entry.member)?;
                Some(Included {
                    member: entry.member.clone(),
                    address: entry.address.clone(),
                    seq: heard.seq,
                    view: heard.view.clone(),
                })
            })
            .collect()
    }

    pub fn note_release(&mut self, domain: DomainId, beat: u64, guard: Member) {
        let (known, released) = self.releases.entry(domain).or_default();
        if *known != beat {
            *known = beat;
            released.clear();
        }
        released.insert(guard);
    }

    pub fn releases(&self, domain: &str, beat: u64) -> BTreeSet<Member> {
        let released = self.releases.get(domain).filter(|(known, _)| *known == beat);
        released.map(|(_, released)| released.clone()).unwrap_or_default()
    }

    /// Returns the guards that must still release inherited entries, and the beat to name.
    pub fn inherited_guards(&self) -> Option<(u64, &[Vec<Guard>])> {
        let has_inherited = self.roster.hosts.values().any(|entry| entry.is_inherited);
        has_inherited.then_some((self.taken_beat, self.roster.former_guards.as_slice()))
    }

    fn is_released(&self, options: &Options) -> bool {
        let released = self.releases(&self.roster.domain, self.taken_beat);
        may_remove(&self.roster.former_guards, &released) || !options.has(Rule::Release)
    }

    /// Makes the next roster from the stored one and the heartbeats.
    pub fn next_roster(&mut self, now: Instant, me: &Identity, options: &Options) -> Roster {
        let mut roster = self.roster.clone();
        roster.beat += 1;
        roster.writer = me.member.clone();
        roster.writer_address = me.address.clone();
        self.remove_ended(now, options, &mut roster);
        // A host that has just been removed for its silence must not come back by its last word.
        let is_recent =
            |heard: &&Heard| now.saturating_duration_since(heard.at) <= options.takeover;
        for heard in self.heard.values().filter(is_recent) {
            include(&mut roster, heard, options);
        }
        if roster.hosts.values().all(|entry| !entry.is_inherited) {
            roster.former_guards.clear();
        }
        roster.guards = self.guards();
        roster.seen =
            self.others.iter().map(|(domain, other)| (domain.clone(), other.roster.beat)).collect();
        let expiry = options.expiry();
        self.heard.retain(|member, heard| {
            let is_listed =
                roster.hosts.get(&member.host).is_some_and(|entry| entry.member == *member);
            is_listed || now.saturating_duration_since(heard.at) <= expiry
        });
        roster
    }

    fn remove_ended(&self, now: Instant, options: &Options, roster: &mut Roster) {
        let is_released = self.is_released(options);
        roster.hosts.retain(|_, entry| {
            let heard = self.heard.get(&entry.member);
            let last = heard.map_or(self.taken_at, |heard| heard.at);
            let is_silent = now.saturating_duration_since(last) > options.expiry();
            let has_left = heard.is_some_and(|heard| heard.entry.state == HostState::Left);
            let may_go_on_elsewhere = entry.is_inherited && heard.is_none() && !is_released;
            !has_left && (!is_silent || may_go_on_elsewhere)
        });
    }

    fn guards(&self) -> Vec<Guard> {
        self.others
            .values()
            .map(|other| &other.roster)
            .filter(|roster| !roster.hosts.is_empty())
            .map(|roster| Guard {
                member: roster.writer.clone(),
                address: roster.writer_address.clone(),
            })
            .collect()
    }

    /// Remembers a roster that is about to be written: until the outcome is known, its guards
    /// count beside those of the roster before.
    pub fn attempt(&mut self, roster: Roster) {
        if !self.guard_sets.contains(&roster.guards) {
            self.guard_sets.push(roster.guards.clone());
        }
        self.attempted = Some(roster);
    }

    pub fn written(&mut self, version: u64) {
        self.version = version;
        if let Some(roster) = self.attempted.take() {
            self.guard_sets = vec![roster.guards.clone()];
            self.roster = roster;
        }
    }

    /// Marks hosts of which every leased host knows by now.
    pub fn settle(&mut self, now: Instant, options: &Options) {
        let domain = self.roster.domain.clone();
        let others: Vec<&Roster> = self
            .others
            .values()
            .map(|other| &other.roster)
            .filter(|roster| !roster.hosts.is_empty())
            .collect();
        let is_alone = others.is_empty() && self.roster.hosts.len() == 1;
        let has_inherited = |roster: &Roster| roster.hosts.values().any(|e| e.is_inherited);
        let is_clear =
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
            if !is_clear || seen_by_all < entry.live_beat {
                self.settling.remove(host);
                continue;
            }
            let (beat, since) = self.settling.entry(host.clone()).or_insert((entry.live_beat, now));
            if *beat != entry.live_beat {
                (*beat, *since) = (entry.live_beat, now);
            }
            entry.is_settled = is_alone || now.saturating_duration_since(*since) > options.expiry();
        }
    }
}

/// Puts a host's last heartbeat into a roster.
fn include(roster: &mut Roster, heard: &Heard, options: &Options) {
    if heard.entry.state == HostState::Left {
        return;
    }
    let beat = roster.beat;
    let host = &heard.entry.member.host;
    let fresh = || HostEntry {
        live_beat: beat,
        is_settled: false,
        is_inherited: false,
        ..heard.entry.clone()
    };
    let Some(entry) = roster.hosts.get_mut(host) else {
        roster.hosts.insert(host.clone(), fresh());
        return;
    };
    if entry.member != heard.entry.member {
        // Another incarnation holds the name. It may be paused with a lease that still runs, so
        // it stays until it has been silent for long enough.
        if !options.has(Rule::Incarnation) && entry.member < heard.entry.member {
            *entry = fresh();
        }
        return;
    }
    let kept = (entry.live_beat, entry.is_settled);
    *entry = fresh();
    (entry.live_beat, entry.is_settled) = kept;
    entry.is_settled &= entry.is_live();
}

impl Membership {
    /// Remembers a heartbeat; the next round includes it.
    pub(super) fn heartbeat_received(&mut self, now: Instant, heartbeat: Heartbeat) {
        let super::Duty::Delegate(delegate) = &mut self.duty else { return };
        if heartbeat.entry.domain != self.me.domain {
            return;
        }
        let member = heartbeat.entry.member.clone();
        let is_old = delegate.heard.get(&member).is_some_and(|heard| heard.seq >= heartbeat.seq);
        if is_old {
            return;
        }
        let is_new = delegate.entry_of(&member.host).is_none();
        let stops = heartbeat.entry.state != HostState::Live;
        let heard =
            Heard { at: now, seq: heartbeat.seq, entry: heartbeat.entry, view: heartbeat.view };
        delegate.heard.insert(member, heard);
        if (is_new || stops) && delegate.round.is_none() && delegate.is_store_up() {
            self.next_heartbeat = now;
        }
    }
}
