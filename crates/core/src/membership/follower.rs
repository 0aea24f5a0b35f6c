//! A host that sends heartbeats to its domain's delegate, and takes its place when it is gone.

use {
    super::{
        Body, Command, Delegate, DomainRole, Heartbeat, HeartbeatReply, HostEntry, HostState,
        LogEvent, Membership, ROSTER_PREFIX, Roster, StoreError, StoreOp, StoreReply, StoreResult,
        store::Purpose,
    },
    crate::ids::{HostId, Member},
    std::{collections::BTreeMap, time::Instant},
};

/// Places in the order of succession that wait longer than the one before.
const STAGGERED_MAX: usize = 5;

/// What a follower knows of its delegate.
#[derive(Clone, Debug)]
pub(super) struct Follower {
    delegate: Option<(Member, String)>,
    /// When the delegate last acknowledged a heartbeat, or was chosen.
    last_contact_at: Instant,
    /// The roster's version in the store and since when it has been the same.
    observed_version: Option<(u64, Instant)>,
    is_reading_roster: bool,
    /// The roster that this host is trying to write as the new delegate.
    claim: Option<Roster>,
    is_store_up: bool,
}

impl Follower {
    pub fn new(now: Instant) -> Self {
        Self {
            delegate: None,
            last_contact_at: now,
            observed_version: None,
            is_reading_roster: false,
            claim: None,
            is_store_up: true,
        }
    }

    pub fn delegate(&self) -> Option<&HostId> {
        self.delegate.as_ref().map(|(member, _)| &member.host)
    }

    pub fn is_store_up(&self) -> bool {
        self.is_store_up
    }
}

impl Membership {
    /// Sends a heartbeat, and looks at the store when the delegate is silent.
    pub(super) fn tick_follower(&mut self, now: Instant) {
        self.send_heartbeat(now);
        let takeover = self.options.takeover;
        let is_leaving = self.entry.state == HostState::Left;
        let is_delegate_stopping = self.is_delegate_stopping();
        let DomainRole::Follower(follower) = &mut self.domain_role else { return };
        let is_silent = now.saturating_duration_since(follower.last_contact_at) >= takeover;
        let must_read = follower.delegate.is_none() || is_silent || is_delegate_stopping;
        if !must_read || follower.is_reading_roster || follower.claim.is_some() || is_leaving {
            return;
        }
        follower.is_reading_roster = true;
        let op = StoreOp::Read { key: self.roster_key() };
        self.start_direct_operation(now, Purpose::ReadRoster, op);
    }

    pub(super) fn send_heartbeat(&mut self, now: Instant) {
        let DomainRole::Follower(follower) = &self.domain_role else { return };
        let Some((delegate, address)) = follower.delegate.clone() else { return };
        let heartbeat = Heartbeat {
            seq: self.lease.record_sent(now),
            entry: self.entry.clone(),
            view: self.view.stamp().clone(),
        };
        self.send(&delegate.host, &address, Body::Heartbeat(heartbeat));
    }

    pub(super) fn roster_key(&self) -> String {
        format!("{ROSTER_PREFIX}{}", self.me.domain)
    }

    /// Returns whether the delegate is known to be stopping.
    fn is_delegate_stopping(&self) -> bool {
        let Some(delegate) = self.delegate() else { return false };
        self.view.get(delegate).is_some_and(|entry| !entry.is_live())
    }

    pub(super) fn reply_received(
        &mut self,
        now: Instant,
        from: Member,
        address: String,
        reply: HeartbeatReply,
    ) {
        let known_revision = self.revision;
        let DomainRole::Follower(follower) = &mut self.domain_role else { return };
        let is_current = follower.delegate.as_ref().is_some_and(|(known, _)| *known == from);
        let is_same_domain = self.view.get(&from.host).is_none_or(|e| e.domain == self.me.domain);
        if reply.revision < known_revision
            || (!is_current && (reply.revision == known_revision || !is_same_domain))
        {
            return;
        }
        self.revision = reply.revision;
        follower.last_contact_at = now;
        follower.observed_version = None;
        if !is_current {
            follower.delegate = Some((from, address));
        }
        let was_up = std::mem::replace(&mut follower.is_store_up, reply.is_store_up);
        if was_up != reply.is_store_up {
            let log_event = if reply.is_store_up { LogEvent::StoreUp } else { LogEvent::StoreDown };
            self.commands.push(Command::Log(log_event));
        }
        if reply.acked_seq > 0 {
            self.apply_reply(now, reply);
        }
    }

    fn apply_reply(&mut self, now: Instant, reply: HeartbeatReply) {
        let view = reply.view;
        let known = self.view.stamp();
        // A change that builds on a state which this host doesn't have is of no use: the next
        // heartbeat says what it has. The same holds for the lease, which rests on the view.
        let is_next = view.is_complete || view.stamp.delegate == known.delegate;
        if !is_next || (!view.is_complete && view.stamp.number < known.number) {
            return;
        }
        let changes = self.view.apply(now, view);
        self.heartbeat_acknowledged(now, reply.acked_seq, reply.manifest_version);
        self.view_changed(now, changes);
    }

    /// Renews the lease.
    pub(super) fn heartbeat_acknowledged(
        &mut self,
        now: Instant,
        seq: u64,
        manifest_version: Option<u64>,
    ) {
        let is_known =
            self.view.get(&self.me.member.host).is_some_and(|entry| entry.member == self.me.member);
        if !is_known || self.entry.state == HostState::Left {
            return;
        }
        let Some(as_of) = self.lease.renew(now, seq) else { return };
        if let Some(version) = manifest_version {
            self.commands.push(Command::ManifestSeen { version, as_of });
        }
    }

    pub(super) fn own_roster_read(&mut self, now: Instant, result: StoreResult) {
        let DomainRole::Follower(follower) = &mut self.domain_role else { return };
        follower.is_reading_roster = false;
        match result {
            Ok(StoreReply::Absent) => self.claim(now, 0, None),
            Ok(StoreReply::Value { version, bytes }) => {
                match serde_json::from_slice::<Roster>(&bytes) {
                    Ok(roster) => self.roster_observed(now, version, roster),
                    // An unreadable roster names no host, so no lease is written in it that
                    // could be lost; it is replaced like a stale one.
                    Err(_) => self.claim_if_stale(now, version, None),
                }
            }
            _ => {}
        }
    }

    fn roster_observed(&mut self, now: Instant, version: u64, roster: Roster) {
        if roster.writer == self.me.member {
            // The answer to this host's own claim was lost.
            self.become_delegate(now, version, roster);
            return;
        }
        let writer = roster.writer.host.clone();
        let entry = roster.hosts.get(&writer);
        let is_gone = entry.is_none();
        let is_stopping = entry.is_some_and(|entry| !entry.is_live());
        let DomainRole::Follower(follower) = &mut self.domain_role else { return };
        let is_known = follower.delegate.as_ref().is_some_and(|(known, _)| *known == roster.writer);
        let is_other = !is_known && writer != self.me.member.host;
        if is_other && !is_gone {
            follower.delegate = Some((roster.writer.clone(), roster.writer_address.clone()));
            follower.last_contact_at = now;
            self.revision = roster.revision;
            self.send_heartbeat(now);
        }
        let is_next = self.succession_rank(&roster) == 0;
        if roster.hosts.is_empty() || ((is_gone || is_stopping) && is_next) {
            self.claim(now, version, Some(roster));
        } else {
            self.claim_if_stale(now, version, Some(roster));
        }
    }

    /// Takes the delegate's place when the roster hasn't changed for long enough.
    fn claim_if_stale(&mut self, now: Instant, version: u64, roster: Option<Roster>) {
        let rank = roster.as_ref().map_or(0, |roster| self.succession_rank(roster));
        let wait = self.options.takeover / 2
            + self.options.heartbeat * u32::try_from(rank.min(STAGGERED_MAX)).unwrap_or(0);
        let DomainRole::Follower(follower) = &mut self.domain_role else { return };
        match follower.observed_version {
            Some((known, since)) if known == version => {
                if now.saturating_duration_since(since) >= wait {
                    self.claim(now, version, roster);
                }
            }
            _ => follower.observed_version = Some((version, now)),
        }
    }

    /// Returns how many live hosts of the domain come before this one, without the delegate.
    fn succession_rank(&self, roster: &Roster) -> usize {
        roster
            .hosts
            .values()
            .filter(|entry| entry.is_live() && entry.member.host != roster.writer.host)
            .filter(|entry| entry.member.host < self.me.member.host)
            .count()
    }

    /// Writes the roster as its new delegate. The condition on the version decides a race.
    fn claim(&mut self, now: Instant, version: u64, former: Option<Roster>) {
        if self.entry.state != HostState::Live {
            return;
        }
        let roster = self.roster_for_claim(former);
        let DomainRole::Follower(follower) = &mut self.domain_role else { return };
        if follower.claim.is_some() {
            return;
        }
        let bytes = encode(&roster);
        follower.claim = Some(roster);
        let key = self.roster_key();
        self.start_direct_operation(
            now,
            Purpose::Claim,
            StoreOp::Write { key, if_version: version, bytes },
        );
    }

    fn roster_for_claim(&self, former: Option<Roster>) -> Roster {
        let mut roster = former.unwrap_or_else(|| Roster {
            domain: self.me.domain.clone(),
            writer: self.me.member.clone(),
            writer_address: self.me.address.clone(),
            revision: 0,
            hosts: BTreeMap::new(),
            guards: Vec::new(),
            former_guards: Vec::new(),
            seen: BTreeMap::new(),
        });
        let guards = std::mem::take(&mut roster.guards);
        if !guards.is_empty() && !roster.former_guards.contains(&guards) {
            roster.former_guards.push(guards);
        }
        for entry in roster.hosts.values_mut() {
            entry.is_inherited = entry.member != self.me.member;
        }
        roster.writer = self.me.member.clone();
        roster.writer_address = self.me.address.clone();
        roster.revision = roster.revision.max(self.revision) + 1;
        let own =
            HostEntry { live_revision: roster.revision, is_settled: false, ..self.entry.clone() };
        roster.hosts.entry(self.me.member.host.clone()).or_insert(own);
        roster
    }

    pub(super) fn claim_ended(&mut self, now: Instant, result: StoreResult) {
        let DomainRole::Follower(follower) = &mut self.domain_role else { return };
        let Some(roster) = follower.claim.take() else { return };
        follower.observed_version = None;
        match result {
            Ok(StoreReply::Written { version }) => self.become_delegate(now, version, roster),
            // Lost to another host, or the answer was lost: the next look at the store tells.
            Ok(_) | Err(StoreError::Conflict | StoreError::NotRun | StoreError::Unknown) => {}
        }
    }

    fn become_delegate(&mut self, now: Instant, version: u64, roster: Roster) {
        self.revision = roster.revision;
        self.view.start_numbering(&self.me.member);
        let peers: Vec<(HostId, String)> = roster
            .hosts
            .values()
            .filter(|entry| entry.member.host != self.me.member.host)
            .map(|entry| (entry.member.host.clone(), entry.address.clone()))
            .collect();
        let revision = roster.revision;
        self.domain_role = DomainRole::Delegate(Box::new(Delegate::new(now, version, roster)));
        self.commands.push(Command::Log(LogEvent::BecameDelegate));
        // Tells the domain where to send heartbeats. Nothing is acknowledged yet.
        for (host, address) in peers {
            let reply = HeartbeatReply {
                acked_seq: 0,
                revision,
                view: super::ViewUpdate::default(),
                is_store_up: true,
                manifest_version: None,
            };
            self.send(&host, &address, Body::Reply(reply));
        }
        self.tick_delegate(now);
    }

    /// Sends heartbeats to whoever writes the roster now.
    pub(super) fn become_follower(&mut self, now: Instant) {
        self.store.discard_round_operations();
        self.store.use_direct_link();
        self.domain_role = DomainRole::Follower(Box::new(Follower::new(now)));
        self.commands.push(Command::Log(LogEvent::BecameFollower));
        self.tick_follower(now);
    }
}

/// Encodes a roster for the store. Rosters hold only strings and numbers, which always encode.
pub(super) fn encode(roster: &Roster) -> Vec<u8> {
    serde_json::to_vec(roster).unwrap_or_default()
}
