//! A simulated cluster: membership state machines of many hosts and a store, in virtual time.
//! Messages arrive within the tick in which they are sent, and none is lost.

use {
    super::{CapacityError, wire},
    error_stack::Report,
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
    trefoilring_core::{
        hlc::Stamp,
        ids::{DomainId, HostId, JournalId, Member},
        membership::{
            Command, Event, Identity, MANIFEST_KEY, Membership, Message, Options, OwnedJournal,
            StoreError, StoreOp, StoreReply, StoreResult,
        },
    },
    trefoilring_proto::{PeerRequest, PeerResponse},
};

/// Interval between ticks: a tenth of a heartbeat, as in the daemon.
const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_S: usize = 10;
/// First incarnation of all hosts: their start time in milliseconds since 1970.
const FIRST_INCARNATION_MS: u64 = 1_796_000_000_000;

/// Traffic and processing time of one host's membership.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostUsage {
    /// Bytes exchanged with other hosts.
    pub peer_bytes: f64,
    /// Messages exchanged with other hosts, including responses.
    pub peer_messages: f64,
    /// Bytes of values exchanged with the store.
    pub store_bytes: f64,
    /// Store reads of single objects.
    pub reads: f64,
    /// Store list operations.
    pub lists: f64,
    /// Store writes.
    pub writes: f64,
    /// Time spent in the state machine.
    pub handling_time: Duration,
}

impl HostUsage {
    /// Returns the bytes exchanged with hosts and the store.
    pub fn bytes(&self) -> f64 {
        self.peer_bytes + self.store_bytes
    }
}

/// Membership state machines, the store and the messages between them.
pub struct Cluster {
    now: Instant,
    memberships: Vec<Membership>,
    index_by_host: BTreeMap<HostId, usize>,
    store: BTreeMap<String, (u64, Vec<u8>)>,
    last_version: u64,
    usage: Vec<HostUsage>,
    queue: VecDeque<(usize, Command)>,
    /// Object version of the newest manifest that each host has reported as seen.
    seen_manifests: Vec<u64>,
}

impl Cluster {
    /// Creates hosts in `domains` failure domains, all starting now.
    pub fn new(hosts: usize, domains: usize) -> Self {
        let now = Instant::now();
        let new_memberships: Vec<Membership> = (0..hosts)
            .map(|number| new_membership(now, number, domains, FIRST_INCARNATION_MS))
            .collect();
        let host = |membership: &Membership| membership.me().member.host.clone();
        let index_by_host =
            new_memberships.iter().enumerate().map(|(index, m)| (host(m), index)).collect();
        Self {
            now,
            usage: vec![HostUsage::default(); hosts],
            memberships: new_memberships,
            index_by_host,
            store: BTreeMap::new(),
            last_version: 0,
            queue: VecDeque::new(),
            seen_manifests: vec![0; hosts],
        }
    }

    /// Returns the state machines, indexed by host number.
    pub fn memberships(&mut self) -> &mut [Membership] {
        &mut self.memberships
    }

    /// Returns the state machine of one host.
    pub fn membership(&self, number: usize) -> &Membership {
        &self.memberships[number]
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns the size of the largest stored roster.
    pub fn roster_bytes(&self) -> f64 {
        let rosters = self.store.iter().filter(|(key, _)| key.starts_with("roster/"));
        rosters.map(|(_, (_, bytes))| bytes.len()).max().unwrap_or_default() as f64
    }

    /// Runs for `seconds` of virtual time and returns each host's usage in that time.
    pub fn run(&mut self, seconds: usize) -> Result<Vec<HostUsage>, Report<CapacityError>> {
        self.usage.fill(HostUsage::default());
        for _ in 0..seconds * TICKS_PER_S {
            self.tick()?;
        }
        Ok(self.usage.clone())
    }

    fn tick(&mut self) -> Result<(), Report<CapacityError>> {
        self.now += TICK;
        for index in 0..self.memberships.len() {
            self.deliver(index, Event::Tick);
        }
        while let Some((from, command)) = self.queue.pop_front() {
            self.execute(from, command)?;
        }
        Ok(())
    }

    /// Fails unless every host sees all hosts live.
    pub fn check_converged(&self) -> Result<(), Report<CapacityError>> {
        let hosts = self.memberships.len();
        let all_live =
            self.memberships.iter().all(|membership| membership.live_hosts().count() == hosts);
        let error = || {
            Report::new(CapacityError)
                .attach(format!("some of the {hosts} hosts do not see all others as live"))
        };
        all_live.then_some(()).ok_or_else(error)
    }

    /// Writes a manifest and returns the time until every host has seen its version.
    pub fn write_manifest_and_wait(
        &mut self,
        limit: Duration,
    ) -> Result<Duration, Report<CapacityError>> {
        self.last_version += 1;
        let version = self.last_version;
        self.store.insert(MANIFEST_KEY.into(), (version, Vec::new()));
        let start = self.now;
        while self.seen_manifests.iter().any(|seen| *seen < version) {
            if self.now.duration_since(start) > limit {
                return Err(
                    Report::new(CapacityError).attach("a manifest did not reach all hosts in time")
                );
            }
            self.tick()?;
        }
        Ok(self.now.duration_since(start))
    }

    /// Drains and stops a host, starts a new incarnation after `wait_s`, and runs for another
    /// `wait_s`. Returns each host's usage. Its messages, store calls and processing time after the
    /// restart are not included.
    pub fn restart(
        &mut self,
        number: usize,
        domains: usize,
        wait_s: usize,
    ) -> Result<Vec<HostUsage>, Report<CapacityError>> {
        self.deliver(number, Event::Drain);
        self.deliver(number, Event::Leave);
        let mut total = self.run(wait_s)?;
        self.memberships[number] =
            new_membership(self.now, number, domains, FIRST_INCARNATION_MS + 1_000);
        for (host_total, usage) in total.iter_mut().zip(self.run(wait_s)?) {
            host_total.peer_bytes += usage.peer_bytes;
            host_total.store_bytes += usage.store_bytes;
        }
        Ok(total)
    }

    fn deliver(&mut self, index: usize, event: Event) {
        let started = Instant::now();
        let commands = self.memberships[index].handle(self.now, event);
        self.usage[index].handling_time += started.elapsed();
        self.queue.extend(commands.into_iter().map(|command| (index, command)));
    }

    fn execute(&mut self, from: usize, command: Command) -> Result<(), Report<CapacityError>> {
        match command {
            Command::Send { to, message, .. } => {
                let Some(&to) = self.index_by_host.get(&to) else { return Ok(()) };
                self.count_message(from, to, &message)?;
                self.deliver(to, Event::Received(wire::round_trip(&message)?));
            }
            Command::Store { token, op } => {
                let result = self.execute_store_op(from, op);
                self.deliver(from, Event::StoreOperationEnded { token, result });
            }
            Command::ManifestSeen { version, .. } => self.seen_manifests[from] = version,
            Command::ViewChanged | Command::Log(_) => (),
        }
        Ok(())
    }

    /// Counts a message and its response. A message is sent as a call; its response contains only a
    /// time stamp.
    fn count_message(
        &mut self,
        from: usize,
        to: usize,
        message: &Message,
    ) -> Result<(), Report<CapacityError>> {
        let stamp = Stamp { wall_us: FIRST_INCARNATION_MS * 1_000, count: 0 };
        let request = PeerRequest::Member { message: message.clone(), stamp };
        let bytes =
            wire::request_bytes(request)? + wire::response_bytes(PeerResponse::Member(stamp))?;
        for index in [from, to] {
            self.usage[index].peer_bytes += bytes;
            self.usage[index].peer_messages += 2.0;
        }
        Ok(())
    }

    fn execute_store_op(&mut self, from: usize, op: StoreOp) -> StoreResult {
        let usage = &mut self.usage[from];
        match op {
            StoreOp::Read { key } => {
                usage.reads += 1.0;
                let found = self.store.get(&key).cloned();
                usage.store_bytes += found.as_ref().map_or(0, |(_, bytes)| bytes.len()) as f64;
                let found = found.map(|(version, bytes)| StoreReply::Value { version, bytes });
                Ok(found.unwrap_or(StoreReply::Absent))
            }
            StoreOp::Write { key, if_version, bytes } => {
                usage.writes += 1.0;
                usage.store_bytes += bytes.len() as f64;
                let current_version = self.store.get(&key).map_or(0, |(version, _)| *version);
                if current_version != if_version {
                    return Err(StoreError::Conflict);
                }
                self.last_version += 1;
                self.store.insert(key, (self.last_version, bytes));
                Ok(StoreReply::Written { version: self.last_version })
            }
            StoreOp::List { prefix } => {
                usage.lists += 1.0;
                let keys = self.store.iter().filter(|(key, _)| key.starts_with(&prefix));
                let keys = keys.map(|(key, (version, _))| (key.clone(), *version));
                let keys: Vec<(String, u64)> = keys.collect();
                let text = serde_json::to_vec(&keys).unwrap_or_default();
                usage.store_bytes += text.len() as f64;
                Ok(StoreReply::Listed(keys))
            }
        }
    }
}

/// Returns the name of a host.
pub fn host_name(number: usize) -> HostId {
    format!("entry-{number:03}").into()
}

fn new_membership(now: Instant, number: usize, domains: usize, incarnation_ms: u64) -> Membership {
    let host = host_name(number);
    let domain: DomainId =
        format!("region-{}-{:02}", number % domains % 3, number % domains).into();
    let journal: JournalId = format!("{host}-{incarnation_ms:x}-0").into();
    let member = Member { host, incarnation: incarnation_ms };
    let address = format!("10.20.{}.{}:7402", number / 250, number % 250 + 1);
    let mut membership =
        Membership::new(now, Identity { member, address, domain }, Options::default());
    membership.set_journals(vec![OwnedJournal { journal, epoch: 1 }]);
    membership.set_config(1);
    membership
}
