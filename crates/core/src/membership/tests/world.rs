//! A few hosts with a fake store and a fake network, in virtual time.

use {
    super::super::{
        Command, Event, Identity, Membership, Message, Options, RoleKey, StoreError, StoreOp,
        StoreReply, StoreResult,
    },
    crate::{
        ids::{HostId, Member, TeamId},
        limit::{Allowance, Bucket, Limiter, MAX_DEFERRAL, Taken},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        time::{Duration, Instant},
    },
};

pub const HEARTBEAT: Duration = Duration::from_millis(100);
pub const STEP: Duration = Duration::from_millis(10);
const LATENCY: Duration = Duration::from_millis(2);
pub const TEAMS: [&str; 3] = ["ayla", "bina", "cemre"];
pub const ALLOWANCE: Allowance =
    Allowance { rate_nanotokens_per_s: 20_000_000_000, burst_tokens: 8 };
/// Each half, though the burst is small: both halves are tested, and are used up often.
const HALF: Allowance = Allowance { rate_nanotokens_per_s: 10_000_000_000, burst_tokens: 4 };

/// One process of one host.
#[derive(Clone)]
pub struct Process {
    pub machine: Membership,
    pub limiter: Limiter,
    pub is_paused: bool,
    /// Local time that passes in a second of true time.
    pub rate: f64,
    started: Instant,
    pub manifest_seen: Option<(u64, Instant)>,
    waiting: Vec<Delivery>,
}

#[derive(Clone, Debug)]
enum Delivery {
    Message { to: HostId, address: String, message: Message },
    Operation { from: Member, token: u64, op: StoreOp },
    Outcome { to: Member, token: u64, result: StoreResult },
}

/// Everything.
#[derive(Clone)]
pub struct World {
    pub now: Instant,
    /// By incarnation: two processes of one host may run at once.
    pub processes: BTreeMap<Member, Process>,
    pub store: BTreeMap<String, (u64, Vec<u8>)>,
    pub is_store_up: bool,
    pub loses_answers: bool,
    pub store_latency: Duration,
    /// Hosts that can't reach the store.
    pub cut_from_store: BTreeSet<HostId>,
    /// Pairs of hosts that can't reach each other, in both orders.
    pub cuts: BTreeSet<(HostId, HostId)>,
    /// Processes that don't reach a host.
    muted: BTreeSet<(Member, HostId)>,
    /// One message in so many is lost; zero for none.
    pub loses_one_in: u64,
    queue: BTreeMap<(Instant, u64), Delivery>,
    sequence: u64,
    options: Options,
    incarnations: u64,
    grants: BTreeMap<&'static str, Bucket>,
    /// Tokens that are taken, by the time from which they may be used.
    uses: BinaryHeap<Reverse<(Instant, String)>>,
    keys: Vec<(TeamId, u8, RoleKey)>,
    pub granted: u64,
    pub overshoot: u64,
    pub doubles: u64,
    pub reads: u64,
    pub writes: u64,
    pub message_bytes: u64,
}

impl World {
    pub fn new(options: Options) -> Self {
        let now = Instant::now();
        let full = Bucket::with_level(now, ALLOWANCE, i128::MAX);
        Self {
            now,
            processes: BTreeMap::new(),
            store: BTreeMap::new(),
            is_store_up: true,
            loses_answers: false,
            store_latency: LATENCY,
            cut_from_store: BTreeSet::new(),
            cuts: BTreeSet::new(),
            muted: BTreeSet::new(),
            loses_one_in: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            options,
            incarnations: 0,
            grants: TEAMS.iter().map(|team| (*team, full.clone())).collect(),
            keys: TEAMS
                .iter()
                .flat_map(|team| (0..2).map(move |half| (*team, half)))
                .map(|(team, half)| (team.into(), half, RoleKey::limiter(team, half)))
                .collect(),
            granted: 0,
            overshoot: 0,
            uses: BinaryHeap::new(),
            doubles: 0,
            reads: 0,
            writes: 0,
            message_bytes: 0,
        }
    }

    /// Three domains with `hosts` hosts each: `a1`, `a2`, `b1` and so on.
    pub fn with_hosts(options: Options, hosts: usize) -> Self {
        let mut world = Self::new(options);
        for domain in ["a", "b", "c"] {
            for number in 1..=hosts {
                world.launch(&format!("{domain}{number}"), 1.0);
            }
        }
        world
    }

    /// Starts a process; the first letter of the host is its domain.
    pub fn launch(&mut self, host: &str, rate: f64) -> Member {
        self.incarnations += 1;
        let member = Member { host: host.into(), incarnation: self.incarnations };
        let me = Identity {
            member: member.clone(),
            address: format!("{host}:{}", self.incarnations),
            domain: host[..1].into(),
        };
        let process = Process {
            machine: Membership::new(self.now, me, self.options.clone()),
            limiter: Limiter::default(),
            is_paused: false,
            rate,
            started: self.now,
            manifest_seen: None,
            waiting: Vec::new(),
        };
        self.processes.insert(member.clone(), process);
        member
    }

    /// The newest process of a host.
    pub fn member(&self, host: &str) -> Option<Member> {
        self.processes.keys().rev().find(|member| &*member.host == host).cloned()
    }

    pub fn machine(&self, host: &str) -> &Membership {
        let member = self.member(host).expect("a process of this host");
        &self.processes[&member].machine
    }

    pub fn kill(&mut self, host: &str) {
        self.processes.retain(|member, _| &*member.host != host);
    }

    pub fn event(&mut self, host: &str, event: Event) {
        let Some(member) = self.member(host) else { return };
        let now = self.local(&member);
        let process = self.processes.get_mut(&member).expect("known");
        let commands = process.machine.handle(now, event);
        self.perform(&member, commands);
    }

    pub fn local(&self, member: &Member) -> Instant {
        let process = &self.processes[member];
        process.started + (self.now - process.started).mul_f64(process.rate)
    }

    /// Cuts one process, and not the host's other one, off from a host.
    pub fn mute(&mut self, member: &Member, other: &str) {
        self.muted.insert((member.clone(), other.into()));
    }

    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.into(), b.into()));
        self.cuts.insert((b.into(), a.into()));
    }

    /// Cuts a domain from the others, and perhaps from the store.
    pub fn cut_domain(&mut self, domain: &str, from_store: bool) {
        let hosts: Vec<HostId> = self.processes.keys().map(|m| m.host.clone()).collect();
        for inside in hosts.iter().filter(|host| host.starts_with(domain)) {
            for outside in hosts.iter().filter(|host| !host.starts_with(domain)) {
                self.cut(inside, outside);
            }
            if from_store {
                self.cut_from_store.insert(inside.clone());
            }
        }
    }

    pub fn resume(&mut self, host: &str) {
        let members: Vec<Member> =
            self.processes.keys().filter(|member| &*member.host == host).cloned().collect();
        for member in members {
            let process = self.processes.get_mut(&member).expect("known");
            if !process.is_paused {
                continue;
            }
            process.is_paused = false;
            let waiting = std::mem::take(&mut process.waiting);
            // The first thing that a resumed process does is what it was about to do.
            self.take_all(&member);
            for delivery in waiting {
                self.deliver(delivery);
            }
        }
    }

    pub fn heal(&mut self) {
        self.is_store_up = true;
        self.loses_answers = false;
        self.store_latency = LATENCY;
        self.loses_one_in = 0;
        self.cut_from_store.clear();
        self.cuts.clear();
        let hosts: Vec<HostId> = self.processes.keys().map(|m| m.host.clone()).collect();
        for host in hosts {
            self.resume(&host);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > self.now {
                break;
            }
            let Some((_, delivery)) = self.queue.pop_first() else { break };
            self.deliver(delivery);
        }
        let members: Vec<Member> = self.processes.keys().cloned().collect();
        for member in &members {
            if self.processes[member].is_paused {
                continue;
            }
            let now = self.local(member);
            let process = self.processes.get_mut(member).expect("known");
            let commands = process.machine.handle(now, Event::Tick);
            self.perform(member, commands);
            self.take_all(member);
        }
        self.use_granted();
        self.count_doubles(&members);
    }

    /// A process takes all tokens that it may.
    fn take_all(&mut self, member: &Member) {
        let now = self.local(member);
        let process = self.processes.get_mut(member).expect("known");
        for (team, half, key) in &self.keys {
            let standing = process.machine.standing(key, now);
            let allowance = HALF;
            let half = (team, *half);
            let wanted = (1, MAX_DEFERRAL);
            while let Taken::Granted(wait) =
                process.limiter.take(now, half, wanted, allowance, &standing)
            {
                self.granted += 1;
                self.uses.push(Reverse((self.now + wait, team.to_string())));
            }
        }
    }

    /// Returns what the process last knew of the manifest, and how long ago that held.
    pub fn manifest_age(&self, host: &str) -> Option<Duration> {
        let member = self.member(host)?;
        let (_, as_of) = self.processes[&member].manifest_seen?;
        Some(self.local(&member) - as_of)
    }

    /// Counts uses that are due, in order of time.
    fn use_granted(&mut self) {
        while let Some(Reverse((at, _))) = self.uses.peek()
            && *at <= self.now
            && let Some(Reverse((at, team))) = self.uses.pop()
        {
            let bucket = self.grants.get_mut(&*team).expect("known");
            self.overshoot += u64::from(bucket.take(at, 1, Duration::ZERO).is_err());
        }
    }

    fn count_doubles(&mut self, members: &[Member]) {
        for (_, _, key) in &self.keys {
            let acting = members.iter().filter(|member| self.acts(member, key));
            self.doubles += u64::from(acting.count() > 1);
        }
    }

    /// A paused process doesn't act; when it resumes it looks at its lease first.
    pub fn acts(&self, member: &Member, key: &RoleKey) -> bool {
        let process = &self.processes[member];
        !process.is_paused && process.machine.is_acting(key, self.local(member))
    }

    /// Returns the number of team halves that nobody holds.
    pub fn vacant(&self) -> usize {
        let is_held = |key: &RoleKey| self.processes.keys().any(|member| self.acts(member, key));
        self.keys.iter().filter(|(_, _, key)| !is_held(key)).count()
    }

    pub fn leased(&self) -> Vec<Member> {
        let holds = |member: &&Member| self.processes[*member].machine.may_act(self.local(member));
        self.processes.keys().filter(holds).cloned().collect()
    }

    fn send(&mut self, after: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), delivery);
    }

    fn perform(&mut self, member: &Member, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send { to, address, message } => {
                    let bytes = serde_json::to_vec(&message).expect("it encodes").len();
                    self.message_bytes += bytes as u64;
                    let is_cut = self.cuts.contains(&(member.host.clone(), to.clone()))
                        || self.muted.contains(&(member.clone(), to.clone()));
                    let is_lost = self.loses_one_in > 0
                        && crate::rendezvous::Point::new(&self.sequence.to_string())
                            .weight(crate::rendezvous::Point::new(&member.host))
                            .is_multiple_of(self.loses_one_in);
                    self.sequence += 1;
                    if !is_cut && !is_lost {
                        self.send(LATENCY, Delivery::Message { to, address, message });
                    }
                }
                Command::Store { token, op } => {
                    let from = member.clone();
                    self.send(self.store_latency / 2, Delivery::Operation { from, token, op });
                }
                Command::ManifestSeen { version, as_of } => {
                    let process = self.processes.get_mut(member).expect("known");
                    process.manifest_seen = Some((version, as_of));
                }
                Command::ViewChanged | Command::Note(_) => {}
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let (member, event) = match delivery.clone() {
            Delivery::Operation { from, token, op } => return self.operate(from, token, &op),
            Delivery::Message { to, address, message } => {
                let at_address = |member: &&Member| {
                    member.host == to && address == format!("{to}:{}", member.incarnation)
                };
                let Some(member) = self.processes.keys().find(at_address).cloned() else {
                    return;
                };
                (member, Event::Received(message))
            }
            Delivery::Outcome { to, token, result } => (to, Event::Stored { token, result }),
        };
        let Some(process) = self.processes.get_mut(&member) else { return };
        if process.is_paused {
            process.waiting.push(delivery);
            return;
        }
        let now = self.local(&member);
        let process = self.processes.get_mut(&member).expect("known");
        let commands = process.machine.handle(now, event);
        self.perform(&member, commands);
    }

    fn operate(&mut self, from: Member, token: u64, op: &StoreOp) {
        if !self.is_store_up || self.cut_from_store.contains(&from.host) {
            return;
        }
        let result = self.apply(op);
        self.reads += u64::from(!matches!(op, StoreOp::Write { .. }));
        self.writes += u64::from(matches!(op, StoreOp::Write { .. }));
        if self.loses_answers && matches!(op, StoreOp::Write { .. }) {
            let result = Err(StoreError::Unknown);
            self.send(LATENCY, Delivery::Outcome { to: from, token, result });
            return;
        }
        self.send(self.store_latency / 2, Delivery::Outcome { to: from, token, result });
    }

    fn apply(&mut self, op: &StoreOp) -> StoreResult {
        Ok(match op {
            StoreOp::Read { key } => match self.store.get(key) {
                Some((version, bytes)) => {
                    StoreReply::Value { version: *version, bytes: bytes.clone() }
                }
                None => StoreReply::Absent,
            },
            StoreOp::Write { key, if_version, bytes } => {
                let version = self.store.get(key).map_or(0, |(version, _)| *version);
                if version != *if_version {
                    return Err(StoreError::Conflict);
                }
                // Versions rise by more than one, as they may.
                self.store.insert(key.clone(), (version + 3, bytes.clone()));
                StoreReply::Written { version: version + 3 }
            }
            StoreOp::List { prefix } => StoreReply::Listed(
                self.store
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix.as_str()))
                    .map(|(key, (version, _))| (key.clone(), *version))
                    .collect(),
            ),
        })
    }
}
