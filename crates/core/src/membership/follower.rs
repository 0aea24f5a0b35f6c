//! The state of a follower: it sends heartbeats to its domain's delegate, and takes over as
//! delegate when the current one is lost.

use {
    super::{
        Body, Command, Delegate, Heartbeat, HeartbeatReply, HostEntry, HostState, LogEvent,
        Membership, ROSTER_PREFIX, Roster, RosterRole, StoreError, StoreOp, StoreReply,
        StoreResult, store::Purpose,
    },
    crate::ids::{HostId, Member},
    std::{collections::BTreeMap, time::Instant},
};

/// Maximum rank in the order of succession for which a claim is delayed by one heartbeat interval
/// per rank. Higher ranks wait no longer than this one.
const CLAIM_DELAY_RANK_MAX: usize = 5;

/// State of a follower.
#[derive(Clone, Debug)]
pub(super) struct Follower {
    delegate: Option<(Member, String)>,
    /// Last contact: when the delegate last sent a reply, or when this host became a follower or
    /// found the delegate in the stored roster.
    last_contact_at: Instant,
    /// Object version of the stored roster, and when this version was first read.
    observed_version: Option<(u64, Instant)>,
    is_reading_roster: bool,
    /// The roster that this host is writing to become the delegate.
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
    /// Sends a heartbeat. Reads the stored roster if the delegate is unknown, has sent no reply
    /// within the takeover time-out, or is draining or leaving.
    pub(super) fn tick_follower(&mut self, now: Instant) {
        self.send_heartbeat(now);
        let takeover = self.options.takeover;
        let is_leaving = self.entry.state == HostState::Left;
        let is_delegate_stopping = self.is_delegate_stopping();
        let RosterRole::Follower(follower) = &mut self.roster_role else { return };
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
        let RosterRole::Follower(follower) = &self.roster_role else { return };
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

    /// Returns whether the delegate is draining or leaving according to the view.
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
        let RosterRole::Follower(follower) = &mut self.roster_role else { return };
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
        let current = self.view.stamp();
        // An update relative to a version that this host doesn't have can't be applied, and the
        // lease isn't renewed either, since it requires a current view. The next heartbeat reports
        // the version that this host has.
        let is_applicable = view.is_complete || view.stamp.delegate == current.delegate;
        if !is_applicable || (!view.is_complete && view.stamp.number < current.number) {
            return;
        }
        let changes = self.view.apply(now, view);
        self.heartbeat_acknowledged(now, reply.acked_seq, reply.manifest_version);
        self.view_changed(now, changes);
    }

    /// Renews the lease for an acknowledged heartbeat and reports the manifest's version. Does
    /// nothing unless the view contains this incarnation.
    pub(super) fn heartbeat_acknowledged(
        &mut self,
        now: Instant,
        seq: u64,
        manifest_version: Option<u64>,
    ) {
        let is_in_view =
            self.view.get(&self.me.member.host).is_some_and(|entry| entry.member == self.me.member);
        if !is_in_view || self.entry.state == HostState::Left {
            return;
        }
        let Some(as_of) = self.lease.renew(now, seq) else { return };
        if let Some(version) = manifest_version {
            self.commands.push(Command::ManifestSeen { version, as_of });
        }
    }

    pub(super) fn own_roster_read(&mut self, now: Instant, result: StoreResult) {
        let RosterRole::Follower(follower) = &mut self.roster_role else { return };
        follower.is_reading_roster = false;
        match result {
            Ok(StoreReply::Absent) => self.claim(now, 0, None),
            Ok(StoreReply::Value { version, bytes }) => {
                match serde_json::from_slice::<Roster>(&bytes) {
                    Ok(roster) => self.roster_observed(now, version, roster),
                    // A roster that can't be decoded lists no hosts, so replacing that roster can't
                    // end a lease. It is replaced like a stale one.
                    Err(_) => self.claim_if_stale(now, version, None),
                }
            }
            _ => {}
        }
    }

    fn roster_observed(&mut self, now: Instant, version: u64, roster: Roster) {
        if roster.writer == self.me.member {
            // This host's claim took effect, but the store's answer was lost.
            self.become_delegate(now, version, roster);
            return;
        }
        let writer = roster.writer.host.clone();
        let entry = roster.hosts.get(&writer);
        let is_removed = entry.is_none();
        let is_stopping = entry.is_some_and(|entry| !entry.is_live());
        let RosterRole::Follower(follower) = &mut self.roster_role else { return };
        let is_known_writer =
            follower.delegate.as_ref().is_some_and(|(known, _)| *known == roster.writer);
        let is_new_writer = !is_known_writer && writer != self.me.member.host;
        if is_new_writer && !is_removed {
            follower.delegate = Some((roster.writer.clone(), roster.writer_address.clone()));
            follower.last_contact_at = now;
            self.revision = roster.revision;
            self.send_heartbeat(now);
        }
        let is_successor = self.succession_rank(&roster) == 0;
        if roster.hosts.is_empty() || ((is_removed || is_stopping) && is_successor) {
            self.claim(now, version, Some(roster));
        } else {
            self.claim_if_stale(now, version, Some(roster));
        }
    }

    /// Claims the roster if it hasn't changed for long enough. The wait grows with this host's rank
    /// in the order of succession.
    fn claim_if_stale(&mut self, now: Instant, version: u64, roster: Option<Roster>) {
        let rank = roster.as_ref().map_or(0, |roster| self.succession_rank(roster));
        let wait = self.options.takeover / 2
            + self.options.heartbeat * u32::try_from(rank.min(CLAIM_DELAY_RANK_MAX)).unwrap_or(0);
        let RosterRole::Follower(follower) = &mut self.roster_role else { return };
        match follower.observed_version {
            Some((seen, since)) if seen == version => {
                if now.saturating_duration_since(since) >= wait {
                    self.claim(now, version, roster);
                }
            }
            _ => follower.observed_version = Some((version, now)),
        }
    }

    /// Returns how many live hosts of the domain precede this one in the order of succession, not
    /// counting the delegate.
    fn succession_rank(&self, roster: &Roster) -> usize {
        roster
            .hosts
            .values()
            .filter(|entry| entry.is_live() && entry.member.host != roster.writer.host)
            .filter(|entry| entry.member.host < self.me.member.host)
            .count()
    }

    /// Writes its domain's roster with this host as writer, to become the delegate. The write is
    /// conditional on the object version, so only one of several concurrent claims succeeds.
    fn claim(&mut self, now: Instant, version: u64, former: Option<Roster>) {
        if self.entry.state != HostState::Live {
            return;
        }
        let roster = self.roster_for_claim(former);
        let RosterRole::Follower(follower) = &mut self.roster_role else { return };
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
            HostEntry { added_revision: roster.revision, is_settled: false, ..self.entry.clone() };
        roster.hosts.entry(self.me.member.host.clone()).or_insert(own);
        roster
    }

    pub(super) fn claim_ended(&mut self, now: Instant, result: StoreResult) {
        let RosterRole::Follower(follower) = &mut self.roster_role else { return };
        let Some(roster) = follower.claim.take() else { return };
        follower.observed_version = None;
        match result {
            Ok(StoreReply::Written { version }) => self.become_delegate(now, version, roster),
            // The write lost to a concurrent one, was not run, or its outcome is unknown. The next
            // read of the roster shows its state.
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
        self.roster_role = RosterRole::Delegate(Box::new(Delegate::new(now, version, roster)));
        self.commands.push(Command::Log(LogEvent::BecameDelegate));
        // Announces the new delegate to the domain, without acknowledging a heartbeat.
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

    /// Discards the delegate state after another host has written the roster.
    pub(super) fn become_follower(&mut self, now: Instant) {
        self.store.discard_own_operations();
        self.store.use_direct_link();
        self.roster_role = RosterRole::Follower(Box::new(Follower::new(now)));
        self.commands.push(Command::Log(LogEvent::BecameFollower));
        self.tick_follower(now);
    }
}

/// Encodes a roster for the store. Encoding can't fail: rosters contain only strings, numbers and
/// booleans.
pub(super) fn encode(roster: &Roster) -> Vec<u8> {
    serde_json::to_vec(roster).unwrap_or_default()
}
