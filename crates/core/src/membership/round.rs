//! One round of a delegate's store operations: it writes its domain's roster, lists all rosters,
//! reads the changed ones and acknowledges the heartbeats.
//!
//! The write starts after the included heartbeats have been received, and the reads start after
//! the write. A host whose heartbeat is acknowledged therefore has a view that is newer than that
//! heartbeat.

use {
    super::{
        Body, Command, HeartbeatReply, HostState, LogEvent, MANIFEST_KEY, Membership,
        ROSTER_PREFIX, Roster, RosterRole, StoreError, StoreOp, StoreReply, StoreResult,
        ViewVersion,
        delegate::{OtherRoster, ReceivedHeartbeat},
        follower::encode,
        removal::UnreleasedEntries,
        store::Purpose,
    },
    crate::ids::{DomainId, Member},
    std::time::Instant,
};

/// A heartbeat that is acknowledged when its round completes.
#[derive(Clone, Debug)]
pub(super) struct IncludedHeartbeat {
    pub member: Member,
    pub address: String,
    pub seq: u64,
    pub view: ViewVersion,
}

/// A round of store operations in progress.
#[derive(Clone, Debug)]
pub(super) struct StoreRound {
    revision: u64,
    included: Vec<IncludedHeartbeat>,
    are_rosters_listed: bool,
    manifest_version: Option<u64>,
    reads_left: usize,
}

impl Membership {
    /// Records this host's own heartbeat and starts a round unless one is in progress. Also starts
    /// a freeze round if the last round failed.
    pub(super) fn tick_delegate(&mut self, now: Instant) {
        let seq = self.lease.record_sent(now);
        let received = ReceivedHeartbeat {
            at: now,
            seq,
            entry: self.entry.clone(),
            view: self.view.stamp().clone(),
        };
        let me = self.me.member.clone();
        let RosterRole::Delegate(delegate) = &mut self.roster_role else { return };
        delegate.heartbeats.insert(me, received);
        let is_removal_written = self.entry.state == HostState::Left
            && !delegate.roster.hosts.contains_key(&self.me.member.host);
        if is_removal_written {
            return;
        }
        let has_failed_rounds = delegate.failed_rounds > 0;
        if delegate.round.is_none() {
            self.start_round(now);
        }
        if has_failed_rounds {
            self.start_freeze_round(now);
        }
        self.probe_direct_link(now);
    }

    fn start_round(&mut self, now: Instant) {
        let RosterRole::Delegate(delegate) = &mut self.roster_role else { return };
        let roster = delegate.next_roster(now, &self.me, &self.options);
        let bytes = encode(&roster);
        delegate.round = Some(StoreRound {
            revision: roster.revision,
            included: delegate.heartbeats_included_in(&roster),
            are_rosters_listed: false,
            manifest_version: None,
            reads_left: 0,
        });
        delegate.record_attempt(roster);
        let if_version = delegate.version;
        let key = self.roster_key();
        self.start_operation(now, Purpose::RoundWrite, StoreOp::Write { key, if_version, bytes });
    }

    pub(super) fn round_operation_ended(
        &mut self,
        now: Instant,
        purpose: Purpose,
        result: StoreResult,
    ) {
        let RosterRole::Delegate(delegate) = &mut self.roster_role else { return };
        if delegate.round.is_none() {
            return;
        }
        match purpose {
            Purpose::RoundWrite => self.roster_write_ended(now, result),
            Purpose::RoundReadBack => self.read_back_ended(now, result),
            Purpose::RoundList => self.roster_list_ended(now, result),
            Purpose::RoundManifest => self.manifest_list_ended(now, result),
            Purpose::RoundRead(domain) => self.other_roster_read(now, domain, result),
            // The outcome of `Purpose::Clear` shows when the rosters are next listed.
            _ => {}
        }
    }

    fn roster_write_ended(&mut self, now: Instant, result: StoreResult) {
        match result {
            Ok(StoreReply::Written { version }) => self.start_round_reads(now, version),
            Err(StoreError::Conflict | StoreError::Unknown) => {
                let key = self.roster_key();
                self.start_operation(now, Purpose::RoundReadBack, StoreOp::Read { key });
            }
            _ => self.round_failed(now),
        }
    }

    /// Determines from the stored roster whether a write with a lost answer took effect, or which
    /// other host wrote the roster.
    fn read_back_ended(&mut self, now: Instant, result: StoreResult) {
        let RosterRole::Delegate(delegate) = &mut self.roster_role else { return };
        match result {
            Ok(StoreReply::Value { version, bytes }) => {
                let Ok(roster) = serde_json::from_slice::<Roster>(&bytes) else {
                    delegate.version = version;
                    self.round_failed(now);
                    return;
                };
                let revision = delegate.round.as_ref().map(|round| round.revision);
                if roster.writer != self.me.member {
                    self.revision = self.revision.max(roster.revision);
                    self.become_follower(now);
                } else if Some(roster.revision) == revision {
                    self.start_round_reads(now, version);
                } else {
                    // An earlier write took effect late. The next round starts from the roster
                    // that it wrote.
                    delegate.version = version;
                    delegate.roster = roster;
                    delegate.round = None;
                    self.next_heartbeat = now;
                }
            }
            Ok(StoreReply::Absent) => {
                delegate.version = 0;
                self.round_failed(now);
            }
            _ => self.round_failed(now),
        }
    }

    fn start_round_reads(&mut self, now: Instant, version: u64) {
        let RosterRole::Delegate(delegate) = &mut self.roster_role else { return };
        delegate.record_written(version);
        self.revision = delegate.roster.revision;
        self.start_operation(
            now,
            Purpose::RoundList,
            StoreOp::List { prefix: ROSTER_PREFIX.into() },
        );
        let prefix = MANIFEST_KEY.into();
        self.start_operation(now, Purpose::RoundManifest, StoreOp::List { prefix });
    }

    fn roster_list_ended(&mut self, now: Instant, result: StoreResult) {
        let Ok(StoreReply::Listed(keys)) = result else { return self.round_failed(now) };
        let RosterRole::Delegate(delegate) = &mut self.roster_role else { return };
        let listed: Vec<(DomainId, u64)> = keys
            .iter()
            .filter_map(|(key, version)| {
                key.strip_prefix(ROSTER_PREFIX).map(|domain| (domain.into(), *version))
            })
            .filter(|(domain, _)| *domain != self.me.domain)
            .collect();
        delegate.other_rosters.retain(|domain, _| listed.iter().any(|(known, _)| known == domain));
        let changed: Vec<DomainId> = listed
            .into_iter()
            .filter(|(domain, version)| {
                delegate.other_rosters.get(domain).is_none_or(|other| other.version != *version)
            })
            .map(|(domain, _)| domain)
            .collect();
        if let Some(round) = &mut delegate.round {
            round.are_rosters_listed = true;
            round.reads_left = changed.len();
        }
        for domain in changed {
            let key = format!("{ROSTER_PREFIX}{domain}");
            self.start_operation(now, Purpose::RoundRead(domain), StoreOp::Read { key });
        }
        self.finish_round_if_complete(now);
    }

    fn manifest_list_ended(&mut self, now: Instant, result: StoreResult) {
        let Ok(StoreReply::Listed(keys)) = result else { return self.round_failed(now) };
        let RosterRole::Delegate(delegate) = &mut self.roster_role else { return };
        let version =
            keys.iter().find(|(key, _)| key == MANIFEST_KEY).map_or(0, |(_, version)| *version);
        if let Some(round) = &mut delegate.round {
            round.manifest_version = Some(version);
        }
        self.finish_round_if_complete(now);
    }

    fn other_roster_read(&mut self, now: Instant, domain: DomainId, result: StoreResult) {
        let RosterRole::Delegate(delegate) = &mut self.roster_role else { return };
        match result {
            Ok(StoreReply::Value { version, bytes }) => {
                let former = delegate.other_rosters.get(&domain).map(|other| other.roster.clone());
                // If the roster can't be decoded, the former one is kept, so that no host is
                // removed because of it.
                let roster = serde_json::from_slice::<Roster>(&bytes).ok().or(former);
                if let Some(roster) = roster {
                    self.guard_state.roster_read(&domain, roster.revision);
                    delegate
                        .other_rosters
                        .insert(domain, OtherRoster { version, unchanged_since: now, roster });
                }
            }
            Ok(StoreReply::Absent) => {
                delegate.other_rosters.remove(&domain);
            }
            _ => return self.round_failed(now),
        }
        if let Some(round) = &mut delegate.round {
            round.reads_left = round.reads_left.saturating_sub(1);
        }
        self.finish_round_if_complete(now);
    }

    fn finish_round_if_complete(&mut self, now: Instant) {
        let RosterRole::Delegate(delegate) = &mut self.roster_role else { return };
        let is_done = |round: &StoreRound| {
            round.are_rosters_listed && round.manifest_version.is_some() && round.reads_left == 0
        };
        if !delegate.round.as_ref().is_some_and(is_done) {
            return;
        }
        let Some(round) = delegate.round.take() else { return };
        let gap = delegate.last_round_at.map(|at| now.saturating_duration_since(at));
        if gap.is_some_and(|gap| gap > self.options.takeover) {
            delegate.reset_staleness(now);
        }
        delegate.last_round_at = Some(now);
        delegate.manifest_version = round.manifest_version;
        // `StoreDown` is reported from the second failed round on; see
        // `FAILED_ROUNDS_TO_REPORT`.
        let was_down = std::mem::replace(&mut delegate.failed_rounds, 0) > 1;
        delegate.freeze = None;
        delegate.mark_settled(now, &self.options);
        if was_down {
            self.commands.push(Command::Log(LogEvent::StoreUp));
        }
        self.rebuild_view(now);
        self.acknowledge(now, round.included, round.manifest_version, true);
        self.handle_unreleased_entries(now);
    }

    fn rebuild_view(&mut self, now: Instant) {
        let RosterRole::Delegate(delegate) = &self.roster_role else { return };
        let others = delegate.other_rosters.values().map(|other| &other.roster);
        let changes = self.view.rebuild(now, std::iter::once(&delegate.roster).chain(others));
        self.view_changed(now, changes);
    }

    /// Acknowledges heartbeats: renews this host's own lease and sends replies to the other hosts.
    pub(super) fn acknowledge(
        &mut self,
        now: Instant,
        included: Vec<IncludedHeartbeat>,
        manifest_version: Option<u64>,
        is_store_up: bool,
    ) {
        let revision = self.revision;
        for host in included {
            if host.member == self.me.member {
                self.heartbeat_acknowledged(now, host.seq, manifest_version);
                continue;
            }
            let reply = HeartbeatReply {
                acked_seq: host.seq,
                revision,
                view: self.view.update_since(&host.view),
                is_store_up,
                manifest_version,
            };
            self.send(&host.member.host, &host.address, Body::Reply(reply));
        }
    }

    /// Requests the release of this domain while it has inherited entries, and of other domains
    /// with a stale roster. Empties a stale roster once its domain is released.
    fn handle_unreleased_entries(&mut self, now: Instant) {
        let RosterRole::Delegate(delegate) = &self.roster_role else { return };
        let stale_after = self.options.expiry() + self.options.takeover * 2;
        let mut unreleased: Vec<UnreleasedEntries> = Vec::new();
        if let Some((revision, guard_sets)) = delegate.inherited_guards() {
            unreleased.push(UnreleasedEntries {
                domain: self.me.domain.clone(),
                revision,
                guard_sets: guard_sets.to_vec(),
            });
        }
        for (domain, other) in &delegate.other_rosters {
            let is_stale = now.saturating_duration_since(other.unchanged_since) > stale_after;
            if is_stale && !other.roster.hosts.is_empty() {
                let mut guard_sets = other.roster.former_guards.clone();
                guard_sets.push(other.roster.guards.clone());
                unreleased.push(UnreleasedEntries {
                    domain: domain.clone(),
                    revision: other.roster.revision,
                    guard_sets,
                });
            }
        }
        for entries in unreleased {
            self.request_releases(now, &entries);
            if entries.domain != self.me.domain {
                self.clear_if_released(now, &entries);
            }
        }
    }
}
