//! Membership on the control thread: its commands, and what a changed view asks for.

use {
    crate::{
        control::{
            Control, Reply,
            home::{Home, answer, not_home},
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
    trefoilring_clients::{CallError, PutError, UpstreamRecord},
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

/// How long a message of the membership machines may take.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Leases for which this host must have had its view before an absent host counts as gone.
const VIEW_SETTLE_LEASES: u32 = 2;
/// Keys of one list that the membership machine asks for.
const LIST_KEYS: usize = 1000;

impl Control {
    pub(super) fn tick_members(&mut self, now: Instant) {
        let commands = self.membership.handle(now, Event::Tick);
        self.run_membership(commands);
        self.shared
            .lease
            .set(self.membership.lease_until().filter(|_| self.membership.may_act(now)));
        self.open_own_journal(now);
        if let Some(reply) = &self.leave_reply
            && self.has_left()
        {
            answer(reply, ());
            self.leave_reply = None;
        }
    }

    /// Whether the roster shows that this host has gone, or nobody is there to write it.
    fn has_left(&self) -> bool {
        let me = &self.shared.member;
        let entry = self.membership.host(&me.host);
        entry.is_none_or(|entry| entry.member != *me || entry.state == HostState::Left)
    }

    /// Takes in a message of another host's membership machine.
    pub(crate) fn member_message(&mut self, message: Message) {
        let commands = self.membership.handle(Instant::now(), Event::Received(message));
        self.run_membership(commands);
    }

    pub(super) fn run_membership(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send { to, address, message } => self.send(to, &address, message),
                Command::Store { token, op } => self.run_store_op(token, op),
                Command::ViewChanged => self.on_view_changed(),
                Command::ManifestSeen { version, as_of } => self.manifest_seen(version, as_of),
                Command::Log(log_event) => self.record_membership_event(log_event),
            }
        }
    }

    fn send(&self, to: HostId, address: &str, message: Message) {
        let Ok(address) = address.parse() else { return };
        let shared = self.shared.clone();
        self.shared.spawn(async move {
            let is_sent = send_message(&shared, address, message).await;
            let event = if is_sent { Event::PeerSeen(to) } else { Event::PeerLost(to) };
            shared.control.submit(move |control| {
                let commands = control.membership.handle(Instant::now(), event);
                control.run_membership(commands);
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
                control.run_membership(commands);
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
        self.update_write_rate();
        self.raise_min_config_version();
        self.replace_lost_backups(now);
        self.adopt_orphans(now);
    }

    /// Takes over journals that this host is the successor of and that nobody owns.
    pub(super) fn adopt_orphans(&mut self, now: Instant) {
        let owned = self.membership.hosts().flat_map(|entry| &entry.journals);
        let owned: BTreeSet<JournalId> = owned.map(|owned| owned.journal.clone()).collect();
        let orphans = self.sweeper.orphans(&owned);
        for journal in orphans {
            if self.is_successor(&journal) {
                self.adopt(now, journal);
            }
        }
    }

    /// The host that owns a journal, as far as the view has it. A journal that no host announces
    /// is still its opener's while that life of the opener is there: an announcement takes a
    /// heartbeat or two. Invariant: another host takes a journal over only when this is `None`, so
    /// only when the owner's lease has ended.
    fn owner_or_opener(&self, journal: &JournalId) -> Option<&HostEntry> {
        let opener = || {
            let opener = opener_of(journal)?;
            self.membership.host(&opener.host).filter(|entry| entry.member == opener)
        };
        self.membership.owner_of(journal).or_else(opener)
    }

    /// Whether this host is the one to take a journal over: nobody holds it, or this host does by
    /// the view and lost it.
    fn is_successor(&self, journal: &JournalId) -> bool {
        let me = &self.shared.member;
        match self.owner_or_opener(journal) {
            Some(owner) => owner.member == *me,
            // A host that has just started may not have read every roster: an owner that is
            // missing from its view may be alive.
            None if !self.has_settled_view() => false,
            None => {
                let successor = self.membership.successor_of(journal);
                successor.is_some_and(|entry| entry.member == *me)
            }
        }
    }

    /// Whether this host has had its view for so long that a host missing from it is gone.
    pub(super) fn has_settled_view(&self) -> bool {
        let leased_for = self.leased_since.map(|since| since.elapsed());
        leased_for >= Some(self.shared.settings.lease * VIEW_SETTLE_LEASES)
    }

    /// Where the home of a journal is; for a new program, any host that may own one.
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
        if self.is_successor(journal) {
            self.adopt(now, journal.clone());
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

    /// Starts the takeover that an entry's question shows to be needed.
    pub(crate) fn adopt_if_successor(&mut self, journal: &JournalId) {
        if !self.homes.owned.contains_key(journal) && self.is_successor(journal) {
            self.adopt(Instant::now(), journal.clone());
        }
    }

    /// Takes a journal over from a host that stops as planned.
    pub(crate) fn take_handover(&mut self, handover: Handover, reply: &Reply<bool>) {
        let now = Instant::now();
        let may_act = self.membership.may_act(now);
        if may_act {
            self.take_over(now, handover.journal, Some(handover.next_seq), false);
        }
        answer(reply, may_act);
    }

    /// Where the dispatcher of a service is.
    pub(crate) fn find_dispatcher(&self, service: &ServiceId) -> Result<Home, Refusal> {
        let Some(entry) = self.membership.dispatcher_of(service) else { return Err(not_home()) };
        if entry.member == self.shared.member {
            return Ok(Home::Local);
        }
        let address = entry.address.parse().map_err(|_| not_home())?;
        Ok(Home::Remote(address))
    }

    /// Takes in that the connection to a host failed.
    pub(crate) fn peer_lost(&mut self, address: SocketAddr) {
        let text = address.to_string();
        let host = self.membership.hosts().find(|entry| entry.address == text);
        if let Some(host) = host.map(|entry| entry.member.host.clone()) {
            let commands = self.membership.handle(Instant::now(), Event::PeerLost(host));
            self.run_membership(commands);
        }
    }

    /// Takes in the host list of upstreams.
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
                self.dispatchers.home_lost(Instant::now(), &member.host);
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
            LogEvent::BecameDelegate => log::info!("this host writes its domain's roster"),
            LogEvent::BecameFollower => log::info!("another host writes this domain's roster"),
        }
    }
}

/// The host that opened a journal, from the journal's name.
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

fn put_error(error: PutError) -> StoreError {
    match error {
        PutError::Conflict { .. } => StoreError::Conflict,
        PutError::NotApplied(CallError { .. }) => StoreError::NotRun,
        PutError::Unknown(CallError { .. }) => StoreError::Unknown,
    }
}
