//! Cluster membership: the live hosts, the assignment of roles to them, and this host's lease.
//!
//! Every host sends heartbeats to the delegate of its failure domain. The delegate writes the
//! domain's roster by conditional update and reads the rosters of the other domains. It then
//! acknowledges the heartbeats that the written roster includes. An acknowledged lease runs from
//! the time, on the host's own clock, at which the host sent the acknowledged heartbeat. A host is
//! removed from a roster only when its lease has certainly ended.
//! `docs/decisions/0001-membership-and-leases.md` describes the rules and proves them.

mod delegate;
mod follower;
mod freeze;
mod lease;
mod message;
mod options;
mod removal;
mod role;
mod round;
mod store;
#[cfg(test)]
mod tests;
mod view;

pub use {
    message::{
        Answer, Body, Command, Event, Guard, Heartbeat, HeartbeatReply, HostEntry, HostState,
        LogEvent, Message, OwnedJournal, Query, Roster, StoreError, StoreOp, StoreReply,
        StoreResult, ViewUpdate, ViewVersion,
    },
    options::{Identity, Options},
    role::{BACKUPS, HALVES, RoleKey, Standing},
};

use {
    crate::ids::{ConfigVersion, HostId},
    delegate::Delegate,
    follower::Follower,
    freeze::GuardState,
    lease::Lease,
    options::Rule,
    std::{collections::BTreeSet, time::Instant},
    store::StoreLink,
    view::{View, ViewChanges},
};

/// Prefix of the rosters' keys in the store; the domain follows.
pub const ROSTER_PREFIX: &str = "roster/";
/// Store key of the configuration's manifest. Delegates check its object version in each round.
pub const MANIFEST_KEY: &str = "config/manifest";

/// The membership state machine of one host. It turns events into commands and performs no I/O;
/// the caller passes in the current time.
#[derive(Clone, Debug)]
pub struct Membership {
    options: Options,
    me: Identity,
    entry: HostEntry,
    lease: Lease,
    was_leased: bool,
    /// Time at which this host found that it is in the view of every host with a lease; `None`
    /// while it is not settled.
    settled_at: Option<Instant>,
    view: View,
    /// Hosts to which the last connection broke or could not be opened.
    unreachable_peers: BTreeSet<HostId>,
    roster_role: RosterRole,
    store: StoreLink,
    guard_state: GuardState,
    /// The highest known revision of the roster of this host's domain.
    revision: u64,
    last_tick: Instant,
    next_heartbeat: Instant,
    commands: Vec<Command>,
}

/// Whether this host writes its domain's roster or sends heartbeats to the host that does.
#[derive(Clone, Debug)]
enum RosterRole {
    /// Sends heartbeats to the delegate.
    Follower(Box<Follower>),
    /// Writes the roster.
    Delegate(Box<Delegate>),
}

impl Membership {
    /// Creates the state machine of a host that starts at `now`.
    pub fn new(now: Instant, me: Identity, options: Options) -> Self {
        let entry = HostEntry {
            member: me.member.clone(),
            address: me.address.clone(),
            domain: me.domain.clone(),
            state: HostState::Live,
            journals: Vec::new(),
            config: 0,
            added_revision: 0,
            is_settled: false,
            is_inherited: false,
        };
        Self {
            lease: Lease::new(options.lease),
            store: StoreLink::new(options.store_timeout),
            guard_state: GuardState::new(now),
            view: View::new(now),
            roster_role: RosterRole::Follower(Box::new(Follower::new(now))),
            was_leased: false,
            settled_at: None,
            unreachable_peers: BTreeSet::new(),
            revision: 0,
            last_tick: now,
            next_heartbeat: now,
            commands: Vec::new(),
            options,
            me,
            entry,
        }
    }

    /// Applies an event and returns the commands that follow from it.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        match event {
            Event::Tick => self.tick(now),
            Event::Received(message) => self.receive(now, message),
            Event::StoreOperationEnded { token, result } => {
                self.direct_result_received(now, token, result)
            }
            Event::PeerLost(host) => {
                self.unreachable_peers.insert(host);
            }
            Event::PeerSeen(host) => {
                self.unreachable_peers.remove(&host);
            }
            Event::Drain => self.announce_state(now, HostState::Draining),
            Event::Leave => self.announce_state(now, HostState::Left),
        }
        self.report_lease_change(now);
        std::mem::take(&mut self.commands)
    }

    /// Returns whether this host may act as home, limiter or delegate. Check this immediately
    /// before each effect: the lease may have expired while the process was paused.
    pub fn may_act(&self, now: Instant) -> bool {
        self.lease.held_since(now).is_some() || !self.options.enforces(Rule::Lease)
    }

    /// Returns when the lease ends unless it is renewed.
    pub fn lease_until(&self) -> Option<Instant> {
        self.lease.until()
    }

    /// Sets the owned journals that this host announces, starting with its next heartbeat.
    pub fn set_journals(&mut self, journals: Vec<OwnedJournal>) {
        self.entry.journals = journals;
    }

    /// Sets the version of the configuration in force that this host announces, starting with its
    /// next heartbeat.
    pub fn set_config(&mut self, version: ConfigVersion) {
        self.entry.config = version;
    }

    /// Returns the identity of this host.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Returns the state of this host. It is [`HostState::Joining`] until the view contains this
    /// incarnation.
    pub fn state(&self) -> HostState {
        if self.entry.state != HostState::Live {
            return self.entry.state;
        }
        let own = self.view.get(&self.me.member.host);
        let is_in_view = own.is_some_and(|entry| entry.member == self.me.member);
        if is_in_view { HostState::Live } else { HostState::Joining }
    }

    /// Returns all known hosts, in the order of their ids.
    pub fn hosts(&self) -> impl Iterator<Item = &HostEntry> {
        self.view.entries()
    }

    /// Returns the hosts in state [`HostState::Live`], which accept roles, in the order of their
    /// ids.
    pub fn live_hosts(&self) -> impl Iterator<Item = &HostEntry> {
        self.view.entries().filter(|entry| entry.is_live())
    }

    /// Returns all known hosts except this one.
    pub fn peers(&self) -> impl Iterator<Item = &HostEntry> {
        self.view.entries().filter(|entry| entry.member.host != self.me.member.host)
    }

    /// Returns the entry of a host, if the view contains it.
    pub fn host(&self, host: &str) -> Option<&HostEntry> {
        self.view.get(host)
    }

    /// Returns the delegate of this host's domain, if one is known.
    pub fn delegate(&self) -> Option<&HostId> {
        match &self.roster_role {
            RosterRole::Delegate(_) => Some(&self.me.member.host),
            RosterRole::Follower(follower) => follower.delegate(),
        }
    }

    /// Returns whether this host writes its domain's roster.
    pub fn is_delegate(&self) -> bool {
        matches!(self.roster_role, RosterRole::Delegate(_))
    }

    /// Returns whether the store answers the domain's delegate. A follower returns what its
    /// delegate last reported.
    pub fn is_store_up(&self) -> bool {
        match &self.roster_role {
            RosterRole::Delegate(delegate) => delegate.is_store_up(),
            RosterRole::Follower(follower) => follower.is_store_up(),
        }
    }

    /// Returns whether this host accepts roles according to its own state, which may be newer than
    /// the view.
    fn accepts_roles(&self) -> bool {
        self.entry.state == HostState::Live
    }

    fn tick(&mut self, now: Instant) {
        // Heartbeats received before a gap of this length are no longer recent enough to be
        // included in a roster.
        let is_after_pause = now.saturating_duration_since(self.last_tick) > self.options.takeover;
        self.last_tick = now;
        for purpose in self.store.expire(now) {
            self.operation_ended(now, purpose, Err(StoreError::Unknown));
        }
        if is_after_pause {
            self.resume_after_pause(now);
        }
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + self.options.heartbeat;
        match self.roster_role {
            RosterRole::Follower(_) => self.tick_follower(now),
            RosterRole::Delegate(_) => self.tick_delegate(now),
        }
    }

    /// On a delegate, restarts the heartbeat time-outs of its domain's hosts and the staleness
    /// timers of the other rosters. Messages that arrived during the pause may still be unread, so
    /// none of these time-outs may expire yet.
    fn resume_after_pause(&mut self, now: Instant) {
        if let RosterRole::Delegate(delegate) = &mut self.roster_role {
            delegate.reset_timeouts(now);
        }
    }

    fn announce_state(&mut self, now: Instant, state: HostState) {
        if self.entry.state == HostState::Left {
            return;
        }
        self.entry.state = state;
        if state == HostState::Left {
            self.lease.relinquish();
        }
        self.next_heartbeat = now;
        self.tick(now);
    }

    fn report_lease_change(&mut self, now: Instant) {
        let is_leased = self.lease.held_since(now).is_some();
        if is_leased == self.was_leased {
            return;
        }
        self.was_leased = is_leased;
        self.commands.push(Command::Log(if is_leased {
            LogEvent::LeaseRegained
        } else {
            LogEvent::LeaseLost
        }));
    }

    fn receive(&mut self, now: Instant, message: Message) {
        if message.from == self.me.member {
            return;
        }
        self.unreachable_peers.remove(&message.from.host);
        let Message { from, address, body } = message;
        match body {
            Body::Heartbeat(heartbeat) => self.heartbeat_received(now, heartbeat),
            Body::Reply(reply) => self.reply_received(now, from, address, reply),
            Body::Query(query) => self.query_received(now, from, address, query),
            Body::Answer(answer) => self.answer_received(now, from, address, answer),
            Body::Relay { token, op } => self.relay_operation(now, from.host, address, token, op),
            Body::Relayed { token, result } => self.relayed_result_received(now, token, result),
        }
    }

    fn send(&mut self, to: &HostId, address: &str, body: Body) {
        let message =
            Message { from: self.me.member.clone(), address: self.me.address.clone(), body };
        self.commands.push(Command::Send { to: to.clone(), address: address.into(), message });
    }

    fn view_changed(&mut self, now: Instant, changes: ViewChanges) {
        if changes.is_changed {
            self.commands.push(Command::ViewChanged);
        }
        self.commands.extend(changes.log_events.into_iter().map(Command::Log));
        self.update_settled(now);
    }

    /// Updates `settled_at` from this host's entry in the view. If the entry was removed and added
    /// again, settling starts over, even if this host never received a view without the entry.
    fn update_settled(&mut self, now: Instant) {
        let own = self.view.get(&self.me.member.host);
        let live = own.filter(|entry| entry.member == self.me.member && entry.is_live());
        let Some(entry) = live else {
            self.settled_at = None;
            return;
        };
        let is_reinserted = entry.added_revision != self.entry.added_revision;
        self.entry.added_revision = entry.added_revision;
        if is_reinserted {
            self.settled_at = None;
        }
        let is_settled = entry.is_settled || !self.options.enforces(Rule::Settling);
        if is_settled && self.settled_at.is_none() {
            self.settled_at = Some(now);
        }
    }
}
