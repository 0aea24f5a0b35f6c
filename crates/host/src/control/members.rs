//! Runs membership on the control thread: executes its commands and reacts to view changes.

use {
    crate::{
        control::{
            Control, Reply,
            home::{Home, not_home, send_reply},
        },
        observe::events::EventFields,
        shared::Shared,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    trefoilring_clients::{CallError, UpstreamRecord, WriteError},
    trefoilring_core::{
        event::Kind,
        hlc::Stamp,
        ids::{HostId, JournalId, Member, ServiceId},
        membership::{
            Command, Event, HostEntry, HostState, LogEvent, Message, StoreError, StoreOp,
            StoreReply, StoreResult,
        },
        verdict::{Reason, Refusal},
    },
    trefoilring_proto::Handover,
};

/// Timeout for a message of the membership state machines.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which this host must have held a lease before a host missing from its view counts as
/// lost, as a multiple of the lease duration.
const VIEW_SETTLE_LEASES: u32 = 2;
/// Maximum number of keys returned by a list operation of the membership state machine.
const LIST_KEYS: usize = 1000;

impl Control {
    pub(super) fn tick_members(&mut self, now: Instant) {
        let commands = self.membership.handle(now, Event::Tick);
        self.execute_membership_commands(commands);
        self.shared
            .lease
            .set(self.membership.lease_until().filter(|_| self.membership.may_act(now)));
        self.open_own_journal(now);
        if let Some(reply) = &self.leave_reply
            && self.has_left()
        {
            send_reply(reply, ());
            self.leave_reply = None;
        }
    }

    /// Returns whether the roster shows that this host has left, or no longer contains it.
    fn has_left(&self) -> bool {
        let me = &self.shared.member;
        let entry = self.membership.host(&me.host);
        entry.is_none_or(|entry| entry.member != *me || entry.state == HostState::Left)
    }

    /// Applies a message from another host's membership state machine.
    pub(crate) fn on_member_message(&mut self, message: Message) {
        let commands = self.membership.handle(Instant::now(), Event::Received(message));
        self.execute_membership_commands(commands);
    }

    pub(super) fn execute_membership_commands(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send { to, address, message } => self.send(to, &address, message),
                Command::Store { token, op } => self.run_store_op(token, op),
                Command::ViewChanged => self.on_view_changed(),
                Command::ManifestSeen { version, as_of } => self.on_manifest_seen(version, as_of),
                Command::Log(log_event) => self.record_membership_event(log_event),
            }
        }
    }

    fn send(&self, to: HostId, address: &str, message: Message) {
        let Ok(address) = address.parse() else { return };
        let shared = self.shared.clone();
        self.shared.spawn(async move {
            let is_delivered = send_message(&shared, address, message).await;
            let event = if is_delivered { Event::PeerSeen(to) } else { Event::PeerLost(to) };
            shared.control.submit(move |control| {
                let commands = control.membership.handle(Instant::now(), event);
                control.execute_membership_commands(commands);
            });
        });
    }

    fn run_store_op(&self, token: u64, op: StoreOp) {
        let shared = self.shared.clone();
        self.shared.spawn(async move {
            let result = execute_store_op(&shared, op).await;
            shared.control.submit(move |control| {
                let event = Event::StoreOperationEnded { token, result };
                let commands = control.membership.handle(Instant::now(), event);
                control.execute_membership_commands(commands);
            });
        });
    }

    fn on_view_changed(&mut self) {
        let now = Instant::now();
        let hosts: BTreeMap<HostId, _> = self
            .membership
            .live_hosts()
            .map(|entry| (entry.member.host.clone(), entry.domain.clone()))
            .collect();
        self.dispatchers.set_hosts(hosts);
        let me = self.shared.member.host.clone();
        let membership = &self.membership;
        self.dispatchers.retain(|service| {
            membership.dispatcher_of(service).is_none_or(|entry| entry.member.host == me)
        });
        let peers: Vec<SocketAddr> =
            self.membership.peers().filter_map(|entry| entry.address.parse().ok()).collect();
        self.shared.peers.close_removed(&self.known_peers, &peers);
        self.known_peers = peers;
        self.update_write_limits();
        self.raise_min_config_version();
        self.replace_lost_backups(now);
        self.take_over_unowned(now);
    }

    /// Takes over journals that have no owner and whose successor is this host.
    pub(super) fn take_over_unowned(&mut self, now: Instant) {
        let announced = self.membership.hosts().flat_map(|entry| &entry.journals);
        let owned: BTreeSet<JournalId> = announced.map(|entry| entry.journal.clone()).collect();
        let unowned = self.sweeper.unowned_journals(&owned);
        for journal in unowned {
            if self.should_take_over(&journal) {
                self.take_over_if_exists(now, journal);
            }
        }
    }

    /// Returns the owner of a journal according to the view. If no host announces the journal, its
    /// opener counts as the owner while that incarnation of the opener is in the view, because an
    /// announcement takes a heartbeat or two. Invariant: another host takes the journal over only
    /// if this returns `None`, which implies that the owner's lease has ended.
    fn owner_or_opener(&self, journal: &JournalId) -> Option<&HostEntry> {
        let opener = || {
            let opener = opener_of(journal)?;
            self.membership.host(&opener.host).filter(|entry| entry.member == opener)
        };
        self.membership.owner_of(journal).or_else(opener)
    }

    /// Returns whether this host should take a journal over: the journal has no owner, or the view
    /// still lists this host as the owner. The caller checks that this host does not hold the
    /// journal.
    fn should_take_over(&self, journal: &JournalId) -> bool {
        let me = &self.shared.member;
        match self.owner_or_opener(journal) {
            Some(owner) => owner.member == *me,
            // A host that has just started may not have read every roster. An owner that is missing
            // from its view may be alive.
            None if !self.has_settled_view() => false,
            None => {
                let successor = self.membership.successor_of(journal);
                successor.is_some_and(|entry| entry.member == *me)
            }
        }
    }

    /// Returns whether this host has held its lease long enough for a host missing from its view to
    /// count as lost.
    pub(super) fn has_settled_view(&self) -> bool {
        let leased_for = self.leased_since.map(|since| since.elapsed());
        leased_for >= Some(self.shared.settings.lease * VIEW_SETTLE_LEASES)
    }

    /// Finds the home of a journal. With `None`, finds a host that can create a new program.
    pub(crate) fn find_home(&mut self, journal: Option<&JournalId>) -> Result<Home, Refusal> {
        let Some(journal) = journal else { return self.home_for_new_program() };
        if self.homes.owned.contains_key(journal) {
            return Ok(Home::Local);
        }
        let now = Instant::now();
        if self.journals.is_absent(journal, now) {
            return Err(Refusal::not_run(Reason::NotFound, "no such program"));
        }
        let owner = self.owner_or_opener(journal);
        let owner = owner.filter(|entry| entry.member != self.shared.member);
        if let Some(address) = owner.and_then(|entry| entry.address.parse().ok()) {
            return Ok(Home::Remote(address));
        }
        if self.should_take_over(journal) {
            self.take_over_if_exists(now, journal.clone());
            return Err(not_home());
        }
        let successor = self.membership.successor_of(journal);
        match successor.and_then(|entry| entry.address.parse().ok()) {
            Some(address) => Ok(Home::Remote(address)),
            None => Err(not_home()),
        }
    }

    fn home_for_new_program(&self) -> Result<Home, Refusal> {
        let is_draining = self.shared.is_draining.load(Ordering::Acquire);
        if self.homes.own_journal.is_some() && !is_draining && self.shared.lease.holds() {
            return Ok(Home::Local);
        }
        let has_journal =
            |entry: &&HostEntry| !entry.journals.is_empty() && entry.member != self.shared.member;
        let other = self.membership.live_hosts().find(has_journal);
        match other.and_then(|entry| entry.address.parse().ok()) {
            Some(address) => Ok(Home::Remote(address)),
            None => Err(not_home()),
        }
    }

    /// Starts a takeover if this host is the successor of a requested journal and doesn't own it
    /// yet.
    pub(crate) fn take_over_if_needed(&mut self, journal: &JournalId) {
        if !self.homes.owned.contains_key(journal) && self.should_take_over(journal) {
            self.take_over_if_exists(Instant::now(), journal.clone());
        }
    }

    /// Takes over a journal that a draining host hands over.
    pub(crate) fn accept_handover(&mut self, handover: Handover, reply: &Reply<bool>) {
        let now = Instant::now();
        let may_act = self.membership.may_act(now);
        if may_act {
            self.take_over(now, handover.journal, Some(handover.next_seq), false);
        }
        send_reply(reply, may_act);
    }

    /// Finds the dispatcher of a service.
    pub(crate) fn find_dispatcher(&self, service: &ServiceId) -> Result<Home, Refusal> {
        let Some(entry) = self.membership.dispatcher_of(service) else { return Err(not_home()) };
        if entry.member == self.shared.member {
            return Ok(Home::Local);
        }
        let address = entry.address.parse().map_err(|_| not_home())?;
        Ok(Home::Remote(address))
    }

    /// Records that the connection to a host failed.
    pub(crate) fn on_connection_failed(&mut self, address: SocketAddr) {
        let text = address.to_string();
        let host = self.membership.hosts().find(|entry| entry.address == text);
        if let Some(host) = host.map(|entry| entry.member.host.clone()) {
            let commands = self.membership.handle(Instant::now(), Event::PeerLost(host));
            self.execute_membership_commands(commands);
        }
    }

    /// Applies the upstreams of a newly read host list.
    pub(crate) fn set_upstreams(&mut self, records: Vec<UpstreamRecord>) {
        self.sweeper.set_upstreams(&records);
        self.dispatchers.set_upstreams(Instant::now(), records);
    }

    fn record_membership_event(&mut self, log_event: LogEvent) {
        let events = &self.shared.events;
        let host_fields =
            |member: &Member| EventFields::default().with("member", member.to_string());
        match log_event {
            LogEvent::HostSeen(member) => events.record(Kind::HostSeen, host_fields(&member)),
            LogEvent::HostLost(member) => {
                events.record(Kind::HostLost, host_fields(&member));
                self.dispatchers.on_home_lost(Instant::now(), &member.host);
            }
            LogEvent::LeaseLost => {
                events.record(Kind::LeaseLost, EventFields::default());
                self.leased_since = None;
            }
            LogEvent::LeaseRegained => {
                events.record(Kind::LeaseRegained, EventFields::default());
                self.leased_since = Some(Instant::now());
            }
            LogEvent::StoreDown => events.record(Kind::StoreDown, EventFields::default()),
            LogEvent::StoreUp => events.record(Kind::StoreUp, EventFields::default()),
            LogEvent::BecameDelegate => log::info!("this host is now its domain's delegate"),
            LogEvent::BecameFollower => log::info!("another host is now this domain's delegate"),
        }
    }
}

/// Returns the host that opened a journal, parsed from the journal's name.
fn opener_of(journal: &str) -> Option<Member> {
    let mut parts = journal.rsplitn(3, '-');
    let (_number, incarnation, host) = (parts.next()?, parts.next()?, parts.next()?);
    let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
    Some(Member { host: host.into(), incarnation })
}

async fn send_message(shared: &Shared, address: SocketAddr, message: Message) -> bool {
    let link = shared.peers.link(address);
    let stamp = shared.events.stamp();
    let send = |client: trefoilring_proto::PeerClient, context| async move {
        client.member(context, message, stamp).await
    };
    match link.call(MESSAGE_TIMEOUT, send).await {
        Ok(stamp) => {
            let stamp: Stamp = stamp;
            shared.events.observe(stamp);
            true
        }
        Err(error) => {
            log::debug!("{error}");
            false
        }
    }
}

async fn execute_store_op(shared: &Arc<Shared>, op: StoreOp) -> StoreResult {
    let read_error = |_| StoreError::NotRun;
    match op {
        StoreOp::Read { key } => Ok(match shared.objects.get(&key).await.map_err(read_error)? {
            Some(object) => StoreReply::Value { version: object.version, bytes: object.value },
            None => StoreReply::Absent,
        }),
        StoreOp::Write { key, if_version, bytes } => {
            let version = shared.objects.put(&key, if_version, bytes).await.map_err(put_error)?;
            Ok(StoreReply::Written { version })
        }
        StoreOp::List { prefix } => {
            let list = shared.objects.list(&prefix, "", LIST_KEYS).await.map_err(read_error)?;
            Ok(StoreReply::Listed(list.into_iter().map(|l| (l.key, l.version)).collect()))
        }
    }
}

fn put_error(error: WriteError) -> StoreError {
    match error {
        WriteError::Conflict { .. } => StoreError::Conflict,
        WriteError::NotApplied(CallError { .. }) => StoreError::NotRun,
        WriteError::Unknown(CallError { .. }) => StoreError::Unknown,
    }
}
