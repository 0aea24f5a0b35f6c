//! A simulated cluster: a few hosts with a simulated store and network, in virtual time.

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
/// Allowance of each half. In production, a burst this small is not split. The tests split it to
/// exercise both halves and to exhaust them often.
const HALF: Allowance = Allowance { rate_nanotokens_per_s: 10_000_000_000, burst_tokens: 4 };

/// One process, an incarnation of a host.
#[derive(Clone)]
pub struct Process {
    pub machine: Membership,
    pub limiter: Limiter,
    pub is_paused: bool,
    /// Rate of the local clock relative to simulated time.
    pub rate: f64,
    started: Instant,
    pub manifest_seen: Option<(u64, Instant)>,
    queued_while_paused: Vec<Delivery>,
}

#[derive(Clone, Debug)]
enum Delivery {
    Message { to: HostId, address: String, message: Message },
    Operation { from: Member, token: u64, op: StoreOp },
    Outcome { to: Member, token: u64, result: StoreResult },
}

/// The state of the simulation, with the counters that the tests check.
#[derive(Clone)]
pub struct Cluster {
    pub now: Instant,
    /// Keyed by incarnation, since two processes of one host may run at the same time.
    pub processes: BTreeMap<Member, Process>,
    pub store: BTreeMap<String, (u64, Vec<u8>)>,
    pub is_store_up: bool,
    pub loses_write_answers: bool,
    pub store_latency: Duration,
    /// Hosts that can't reach the store.
    pub cut_from_store: BTreeSet<HostId>,
    /// Pairs of hosts that can't reach each other; each pair is present in both orders.
    pub cuts: BTreeSet<(HostId, HostId)>,
    /// Links from one process to a host on which all messages are dropped.
    dropped_links: BTreeSet<(Member, HostId)>,
    /// One of this many messages is dropped; zero drops none.
    pub loss_interval: u64,
    queue: BTreeMap<(Instant, u64), Delivery>,
    sequence: u64,
    options: Options,
    incarnations: u64,
    reference_buckets: BTreeMap<&'static str, Bucket>,
    /// Granted but unused tokens: earliest time of use, and team.
    unused_grants: BinaryHeap<Reverse<(Instant, String)>>,
    role_keys: Vec<(TeamId, u8, RoleKey)>,
    pub granted: u64,
    pub tokens_over_allowance: u64,
    pub double_holder_steps: u64,
    pub reads: u64,
    pub writes: u64,
    pub message_bytes: u64,
}

impl Cluster {
    pub fn new(options: Options) -> Self {
        let now = Instant::now();
        let full = Bucket::with_level(now, ALLOWANCE, i128::MAX);
        Self {
            now,
            processes: BTreeMap::new(),
            store: BTreeMap::new(),
            is_store_up: true,
            loses_write_answers: false,
            store_latency: LATENCY,
            cut_from_store: BTreeSet::new(),
            cuts: BTreeSet::new(),
            dropped_links: BTreeSet::new(),
            loss_interval: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            options,
            incarnations: 0,
            reference_buckets: TEAMS.iter().map(|team| (*team, full.clone())).collect(),
            role_keys: TEAMS
                .iter()
                .flat_map(|team| (0..2).map(move |half| (*team, half)))
                .map(|(team, half)| (team.into(), half, RoleKey::limiter(team, half)))
                .collect(),
            granted: 0,
            tokens_over_allowance: 0,
            unused_grants: BinaryHeap::new(),
            double_holder_steps: 0,
            reads: 0,
            writes: 0,
            message_bytes: 0,
        }
    }

    /// Creates a cluster of three domains with `hosts` hosts each, named `a1`, `a2`, `b1` and so
    /// on.
    pub fn with_hosts(options: Options, hosts: usize) -> Self {
        let mut cluster = Self::new(options);
        for domain in ["a", "b", "c"] {
            for number in 1..=hosts {
                cluster.launch(&format!("{domain}{number}"), 1.0);
            }
        }
        cluster
    }

    /// Starts a process. The first letter of the host's name is its domain.
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
            queued_while_paused: Vec::new(),
        };
        self.processes.insert(member.clone(), process);
        member
    }

    /// Returns the newest incarnation of a host.
    pub fn member(&self, host: &str) -> Option<Member> {
        self.processes.keys().rev().find(|member| &*member.host == host).cloned()
    }

    pub fn machine(&self, host: &str) -> &Membership {
        let member = self.member(host).expect("the host has a process");
        &self.processes[&member].machine
    }

    pub fn kill(&mut self, host: &str) {
        self.processes.retain(|member, _| &*member.host != host);
    }

    pub fn inject_event(&mut self, host: &str, event: Event) {
        let Some(member) = self.member(host) else { return };
        let now = self.local_time(&member);
        let process = self.processes.get_mut(&member).expect("the member is part of the cluster");
        let commands = process.machine.handle(now, event);
        self.perform(&member, commands);
    }

    pub fn local_time(&self, member: &Member) -> Instant {
        let process = &self.processes[member];
        process.started + (self.now - process.started).mul_f64(process.rate)
    }

    /// Drops all messages from one process to a host, without affecting other processes of the
    /// sending host.
    pub fn drop_messages(&mut self, member: &Member, other: &str) {
        self.dropped_links.insert((member.clone(), other.into()));
    }

    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.into(), b.into()));
        self.cuts.insert((b.into(), a.into()));
    }

    /// Cuts a domain off from the other domains, and also from the store if `from_store` is set.
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
            let process =
                self.processes.get_mut(&member).expect("the member is part of the cluster");
            if !process.is_paused {
                continue;
            }
            process.is_paused = false;
            let queued_while_paused = std::mem::take(&mut process.queued_while_paused);
            // A resumed process takes tokens first and then handles the queued messages, like a
            // process that was paused between its check of the lease and the effect.
            self.take_all_tokens(&member);
            for delivery in queued_while_paused {
                self.deliver(delivery);
            }
        }
    }

    pub fn restore(&mut self) {
        self.is_store_up = true;
        self.loses_write_answers = false;
        self.store_latency = LATENCY;
        self.loss_interval = 0;
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
            let now = self.local_time(member);
            let process =
                self.processes.get_mut(member).expect("the member is part of the cluster");
            let commands = process.machine.handle(now, Event::Tick);
            self.perform(member, commands);
            self.take_all_tokens(member);
        }
        self.use_granted();
        self.count_double_holder_steps(&members);
    }

    /// Takes tokens on a process until its limiter grants no more.
    fn take_all_tokens(&mut self, member: &Member) {
        let now = self.local_time(member);
        let process = self.processes.get_mut(member).expect("the member is part of the cluster");
        for (team, half, key) in &self.role_keys {
            let standing = process.machine.standing(key, now);
            let allowance = HALF;
            let half = (team, *half);
            let tokens_and_wait_max = (1, MAX_DEFERRAL);
            while let Taken::Granted(wait) =
                process.limiter.take(now, half, tokens_and_wait_max, allowance, &standing)
            {
                self.granted += 1;
                self.unused_grants.push(Reverse((self.now + wait, team.to_string())));
            }
        }
    }

    /// Returns the age of the host's last report about the manifest.
    pub fn manifest_age(&self, host: &str) -> Option<Duration> {
        let member = self.member(host)?;
        let (_, as_of) = self.processes[&member].manifest_seen?;
        Some(self.local_time(&member) - as_of)
    }

    /// Uses the granted tokens that are due, in order of time, and counts those that exceed the
    /// team's allowance.
    fn use_granted(&mut self) {
        while let Some(Reverse((at, _))) = self.unused_grants.peek()
            && *at <= self.now
            && let Some(Reverse((at, team))) = self.unused_grants.pop()
        {
            let bucket =
                self.reference_buckets.get_mut(&*team).expect("the team has a reference bucket");
            self.tokens_over_allowance += u64::from(bucket.take(at, 1, Duration::ZERO).is_err());
        }
    }

    fn count_double_holder_steps(&mut self, members: &[Member]) {
        for (_, _, key) in &self.role_keys {
            let acting = members.iter().filter(|member| self.is_acting_holder(member, key));
            self.double_holder_steps += u64::from(acting.count() > 1);
        }
    }

    /// Returns whether a process acts in a role. A paused process does not act: it checks its lease
    /// when it resumes.
    pub fn is_acting_holder(&self, member: &Member, key: &RoleKey) -> bool {
        let process = &self.processes[member];
        !process.is_paused && process.machine.is_acting(key, self.local_time(member))
    }

    /// Returns the number of limiter roles that no process holds.
    pub fn roles_without_holder(&self) -> usize {
        let is_held =
            |key: &RoleKey| self.processes.keys().any(|member| self.is_acting_holder(member, key));
        self.role_keys.iter().filter(|(_, _, key)| !is_held(key)).count()
    }

    pub fn leased(&self) -> Vec<Member> {
        let holds =
            |member: &&Member| self.processes[*member].machine.may_act(self.local_time(member));
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
                    let bytes =
                        serde_json::to_vec(&message).expect("the message can be encoded").len();
                    self.message_bytes += bytes as u64;
                    let is_cut = self.cuts.contains(&(member.host.clone(), to.clone()))
                        || self.dropped_links.contains(&(member.clone(), to.clone()));
                    // A deterministic pseudo-random choice of the lost messages.
                    let is_lost = self.loss_interval > 0
                        && crate::rendezvous::NameHash::new(&self.sequence.to_string())
                            .weight(crate::rendezvous::NameHash::new(&member.host))
                            .is_multiple_of(self.loss_interval);
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
                    let process =
                        self.processes.get_mut(member).expect("the member is part of the cluster");
                    process.manifest_seen = Some((version, as_of));
                }
                Command::ViewChanged | Command::Log(_) => {}
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let (member, event) = match delivery.clone() {
            Delivery::Operation { from, token, op } => return self.serve_store(from, token, &op),
            Delivery::Message { to, address, message } => {
                let at_address = |member: &&Member| {
                    member.host == to && address == format!("{to}:{}", member.incarnation)
                };
                let Some(member) = self.processes.keys().find(at_address).cloned() else {
                    return;
                };
                (member, Event::Received(message))
            }
            Delivery::Outcome { to, token, result } => {
                (to, Event::StoreOperationEnded { token, result })
            }
        };
        let Some(process) = self.processes.get_mut(&member) else { return };
        if process.is_paused {
            process.queued_while_paused.push(delivery);
            return;
        }
        let now = self.local_time(&member);
        let process = self.processes.get_mut(&member).expect("the member is part of the cluster");
        let commands = process.machine.handle(now, event);
        self.perform(&member, commands);
    }

    fn serve_store(&mut self, from: Member, token: u64, op: &StoreOp) {
        if !self.is_store_up || self.cut_from_store.contains(&from.host) {
            return;
        }
        let result = self.apply(op);
        self.reads += u64::from(!matches!(op, StoreOp::Write { .. }));
        self.writes += u64::from(matches!(op, StoreOp::Write { .. }));
        if self.loses_write_answers && matches!(op, StoreOp::Write { .. }) {
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
                // The store may increase versions by more than one.
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
