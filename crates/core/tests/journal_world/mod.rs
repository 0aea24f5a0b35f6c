//! A small world for journals: one store, three hosts that may own the journal, three backups, and
//! all calls between them in flight until a test delivers or fails them.
#![allow(dead_code)] // Each test binary uses a part.

use {
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        catalog::Budget,
        ids::{Epoch, JournalId, Member, ProgramId, StepKey},
        journal::{
            Backup, ClaimReply, Command, Entry, Event, FailureKind, Journal, Record, Recovery,
            Settings, Takeover, TakeoverCommand, TakeoverEvent, recover,
        },
    },
};

/// Mechanisms that a test may take out of the store and the driver.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Broken {
    #[default]
    Nothing,
    /// The store overwrites what stands at a position.
    CreateIfAbsent,
    /// The driver says that all backups are gone instead of claiming.
    Claim,
    /// The driver reads the copies without making the backup refuse the former owner.
    ClaimRefusal,
    /// The driver takes a conflict for the answer to its own write.
    ReadOnConflict,
    /// The driver says that nothing stands after the first entry of an owner.
    LookAfterOpening,
}

/// Who waits for an answer: a host, and the machine on it.
type Asker = (usize, u64);

#[derive(Clone, Debug)]
pub enum Flight {
    Write(Asker, Arc<Entry>),
    Read(Asker, u64),
    ReadAfter(Asker, u64, bool),
    Delete(Asker, u64),
    Copy(Asker, Member, Arc<Entry>),
    Claim(Asker, Member, trefoilring_core::journal::Owner),
    Answer(Asker, TakeoverEvent),
}

impl Flight {
    fn asker(&self) -> Asker {
        match self {
            Self::Write(asker, _)
            | Self::Read(asker, _)
            | Self::ReadAfter(asker, ..)
            | Self::Delete(asker, _)
            | Self::Copy(asker, ..)
            | Self::Claim(asker, ..)
            | Self::Answer(asker, _) => *asker,
        }
    }
}

pub enum Machine {
    Idle,
    Taking(Box<Takeover>),
    Owning(Box<Journal>),
}

pub struct Host {
    pub member: Member,
    pub machine: Machine,
    pub instance: u64,
    wake_at: Option<Instant>,
    pub created: BTreeSet<ProgramId>,
    pub known: BTreeSet<(ProgramId, StepKey)>,
    /// Records by token, until the token's end.
    waiting: BTreeMap<u64, Record>,
}

pub struct World {
    pub broken: Broken,
    pub journal: JournalId,
    pub settings: Settings,
    pub now: Instant,
    pub store: BTreeMap<u64, Arc<Entry>>,
    pub is_store_down: bool,
    pub hosts: Vec<Host>,
    pub backups: Vec<(Member, Backup)>,
    pub flights: Vec<Flight>,
    next_token: u64,
    next_program: u64,
    next_instance: u64,
    /// Records that some host was told are durable, with its epoch.
    pub acked: Vec<(Epoch, Record)>,
    pub released: BTreeSet<ProgramId>,
    /// Effects sent, by step.
    pub sent: BTreeMap<(ProgramId, StepKey), u32>,
    pub takeovers: u64,
    pub adoptions: u64,
    pub deletions: u64,
    pub by_backups: u64,
    /// What went wrong, if anything.
    pub violations: Vec<String>,
}

fn member(name: &str, incarnation: u64) -> Member {
    Member { host: name.into(), incarnation }
}

fn settings() -> Settings {
    Settings {
        spacing: Duration::from_millis(10),
        burst_writes: 2,
        max_entry_bytes: 8 << 10,
        max_queue_bytes: 64 << 10,
        max_backlog_bytes: 64 << 10,
        slow_after: Duration::from_millis(50),
        retry_after: Duration::from_millis(30),
        late_after: Duration::from_millis(300),
        checkpoint_every: Duration::from_millis(100),
    }
}

impl World {
    pub fn new(broken: Broken) -> Self {
        let hosts = ["a", "b", "c"].map(|name| Host {
            member: member(name, 1),
            machine: Machine::Idle,
            instance: 0,
            wake_at: None,
            created: BTreeSet::new(),
            known: BTreeSet::new(),
            waiting: BTreeMap::new(),
        });
        let backups = ["d", "e", "f"].map(|name| {
            let me = member(name, 1);
            (me.clone(), Backup::new(me, 1 << 20))
        });
        Self {
            broken,
            journal: "j".into(),
            settings: settings(),
            now: Instant::now(),
            store: BTreeMap::new(),
            is_store_down: false,
            hosts: hosts.into(),
            backups: backups.into(),
            flights: Vec::new(),
            next_token: 0,
            next_program: 0,
            next_instance: 0,
            acked: Vec::new(),
            released: BTreeSet::new(),
            sent: BTreeMap::new(),
            takeovers: 0,
            adoptions: 0,
            deletions: 0,
            by_backups: 0,
            violations: Vec::new(),
        }
    }

    fn violate(&mut self, what: String) {
        self.violations.push(what);
    }

    /// Starts a takeover at a host, which will name two of the three backups.
    pub fn take_over(&mut self, host: usize, leaves_out: usize) {
        if !matches!(self.hosts[host].machine, Machine::Idle) {
            return;
        }
        let backups = self.backups.iter().enumerate().filter(|(i, _)| *i != leaves_out % 3);
        let backups = backups.map(|(_, (member, _))| member.clone()).collect();
        let mut takeover = Takeover::new(
            self.settings.clone(),
            self.journal.clone(),
            self.hosts[host].member.clone(),
            backups,
            None,
        );
        let commands = takeover.start();
        self.next_instance += 1;
        self.hosts[host].instance = self.next_instance;
        self.hosts[host].wake_at = None;
        self.hosts[host].machine = Machine::Taking(Box::new(takeover));
        self.run_takeover(host, commands);
    }

    /// Ends a host's process and starts it anew.
    pub fn kill(&mut self, host: usize) {
        let state = &mut self.hosts[host];
        state.member.incarnation += 1;
        state.machine = Machine::Idle;
        state.instance = 0;
        state.waiting.clear();
    }

    pub fn restart_backup(&mut self, backup: usize) {
        let incarnation = self.backups[backup].0.incarnation + 1;
        let me = Member { host: self.backups[backup].0.host.clone(), incarnation };
        self.backups[backup] = (me.clone(), Backup::new(me, 1 << 20));
    }

    /// Appends a record at a host that believes to be the owner.
    pub fn append(&mut self, host: usize, record: Record) -> bool {
        let token = self.next_token;
        let now = self.now;
        let Machine::Owning(journal) = &mut self.hosts[host].machine else { return false };
        let Ok(commands) = journal.append(now, vec![record.clone()], token) else { return false };
        self.next_token += 1;
        self.hosts[host].waiting.insert(token, record);
        self.run_journal(host, commands);
        true
    }

    /// Creates a program at an owner.
    pub fn create(&mut self, host: usize) -> ProgramId {
        let program: ProgramId = format!("p{}", self.next_program).into();
        self.next_program += 1;
        self.append(host, created(&program));
        program
    }

    /// Runs a step at an owner, as a home would: not without the program, and not twice.
    pub fn step(&mut self, host: usize, program: &ProgramId, step: u32) {
        let step: StepKey = format!("s{step}").into();
        let state = &mut self.hosts[host];
        let key = (program.clone(), step.clone());
        if !state.created.contains(program) || state.known.contains(&key) {
            return;
        }
        if self.append(host, intended(program, &step)) {
            self.hosts[host].known.insert(key);
        }
    }

    /// Forgets a program at an owner.
    pub fn release(&mut self, host: usize, program: &ProgramId) {
        if !self.hosts[host].created.remove(program) {
            return;
        }
        self.released.insert(program.clone());
        self.journal_event(host, Event::Released { program: program.clone() });
    }

    pub fn journal_event(&mut self, host: usize, event: Event) {
        let instance = self.hosts[host].instance;
        self.answer((host, instance), TakeoverEvent::Journal(event));
    }

    /// Lets time pass and ticks all hosts.
    pub fn pass(&mut self, time: Duration) {
        self.now += time;
        for host in 0..self.hosts.len() {
            if self.hosts[host].wake_at.is_some_and(|at| at <= self.now) {
                self.hosts[host].wake_at = None;
                self.journal_event(host, Event::Tick);
            }
        }
    }

    /// Delivers one call or answer.
    pub fn deliver(&mut self, index: usize) {
        if self.flights.is_empty() {
            return;
        }
        let index = index % self.flights.len();
        match self.flights.swap_remove(index) {
            Flight::Answer(asker, event) => self.answer(asker, event),
            Flight::Copy(asker, to, entry) => {
                let backup = self.backups.iter_mut().find(|(member, _)| member.host == to.host);
                let Some((_, backup)) = backup else { return };
                let reply = backup.copy(&to, Entry::clone(&entry));
                let event = Event::CopyAnswered { seq: entry.seq, backup: to, reply };
                self.flights.push(Flight::Answer(asker, TakeoverEvent::Journal(event)));
            }
            Flight::Claim(asker, to, by) => {
                let reply = self.claim(&to, &by);
                let event = TakeoverEvent::ClaimAnswered { backup: to, reply };
                self.flights.push(Flight::Answer(asker, event));
            }
            store_call => self.deliver_to_store(store_call),
        }
    }

    fn claim(&mut self, to: &Member, by: &trefoilring_core::journal::Owner) -> ClaimReply {
        let journal = self.journal.clone();
        let backup = self.backups.iter_mut().find(|(member, _)| member.host == to.host);
        let Some((_, backup)) = backup else { return ClaimReply::OtherMember };
        if self.broken == Broken::ClaimRefusal {
            let mut copy = backup.clone();
            return copy.claim(to, &journal, by);
        }
        backup.claim(to, &journal, by)
    }

    fn deliver_to_store(&mut self, call: Flight) {
        let is_down = self.is_store_down;
        let failed = |seq| Event::StoreFailed { seq, kind: FailureKind::NotApplied };
        let (asker, event) = match call {
            Flight::Write(asker, entry) if is_down => (asker, failed(entry.seq)),
            Flight::Read(asker, seq) if is_down => (asker, failed(seq)),
            Flight::Delete(asker, seq) if is_down => (asker, Event::DeleteFailed { seq }),
            Flight::ReadAfter(asker, ..) if is_down => {
                self.flights.push(Flight::Answer(asker, TakeoverEvent::ReadFailed));
                return;
            }
            Flight::Write(asker, entry) => (asker, self.write(entry)),
            Flight::Read(asker, seq) => {
                let entry = self.store.get(&seq).cloned();
                (asker, Event::Found { seq, entry })
            }
            Flight::Delete(asker, seq) => {
                self.store.remove(&seq);
                self.deletions += 1;
                (asker, Event::Deleted { seq })
            }
            Flight::ReadAfter(asker, after, is_look) => {
                let is_skipped = is_look && self.broken == Broken::LookAfterOpening;
                let entries = self.store.range(after + 1..).filter(|_| !is_skipped);
                let entries = entries.map(|(_, entry)| stored_form(entry)).collect();
                self.flights.push(Flight::Answer(asker, TakeoverEvent::Entries(entries)));
                return;
            }
            _ => return,
        };
        self.flights.push(Flight::Answer(asker, TakeoverEvent::Journal(event)));
    }

    fn write(&mut self, entry: Arc<Entry>) -> Event {
        let seq = entry.seq;
        if self.store.contains_key(&seq) && self.broken != Broken::CreateIfAbsent {
            return match self.broken {
                Broken::ReadOnConflict => Event::Stored { seq },
                _ => Event::Conflict { seq, found: None },
            };
        }
        self.store.insert(seq, Arc::new(stored_form(&entry)));
        Event::Stored { seq }
    }

    /// Fails one call. A store call may still take effect later, unanswered.
    pub fn fail(&mut self, index: usize, comes_later: bool) {
        if self.flights.is_empty() {
            return;
        }
        let index = index % self.flights.len();
        let unknown = |seq| Event::StoreFailed { seq, kind: FailureKind::Unknown };
        let journal = TakeoverEvent::Journal;
        let nobody = (0, u64::MAX);
        let (asker, event, rest) = match self.flights[index].clone() {
            Flight::Write(asker, entry) => {
                (asker, journal(unknown(entry.seq)), Some(Flight::Write(nobody, entry)))
            }
            Flight::Read(asker, seq) => (asker, journal(unknown(seq)), None),
            Flight::ReadAfter(asker, ..) => (asker, TakeoverEvent::ReadFailed, None),
            Flight::Delete(asker, seq) => {
                let event = journal(Event::DeleteFailed { seq });
                (asker, event, Some(Flight::Delete(nobody, seq)))
            }
            Flight::Copy(asker, backup, entry) => {
                let event = Event::CopyFailed { seq: entry.seq, backup: backup.clone() };
                (asker, journal(event), Some(Flight::Copy(nobody, backup, entry)))
            }
            Flight::Claim(asker, backup, by) => {
                let event = TakeoverEvent::ClaimFailed { backup: backup.clone() };
                (asker, event, Some(Flight::Claim(nobody, backup, by)))
            }
            // The work is done; the answer is lost, as if the call had failed.
            Flight::Answer(asker, event) => match lost_answer(event) {
                Some(event) => (asker, event, None),
                None => return,
            },
        };
        self.flights.swap_remove(index);
        self.flights.extend(rest.filter(|_| comes_later));
        self.answer(asker, event);
    }

    fn answer(&mut self, (host, instance): Asker, event: TakeoverEvent) {
        if instance == 0 || self.hosts.get(host).is_none_or(|host| host.instance != instance) {
            return;
        }
        let now = self.now;
        match &mut self.hosts[host].machine {
            Machine::Idle => {}
            Machine::Taking(takeover) => {
                let commands = takeover.handle(now, event);
                self.run_takeover(host, commands);
            }
            Machine::Owning(journal) => {
                let TakeoverEvent::Journal(event) = event else { return };
                let commands = journal.handle(now, event);
                self.run_journal(host, commands);
            }
        }
    }

    pub fn run_takeover(&mut self, host: usize, commands: Vec<TakeoverCommand>) {
        let asker = (host, self.hosts[host].instance);
        let mut is_look = false;
        for command in commands {
            match command {
                TakeoverCommand::ReadAfter { after } => {
                    is_look |= self.store.get(&after).is_some_and(|entry| {
                        entry.writer == self.hosts[host].member && entry.takeover.is_some()
                    });
                    self.flights.push(Flight::ReadAfter(asker, after, is_look));
                }
                TakeoverCommand::Claim { backup, .. } if self.broken == Broken::Claim => {
                    let gone = TakeoverEvent::BackupGone { backup: backup.clone() };
                    self.answer(asker, gone);
                    self.answer(asker, TakeoverEvent::ClaimFailed { backup });
                }
                TakeoverCommand::Claim { backup, by } => {
                    self.flights.push(Flight::Claim(asker, backup, by));
                }
                TakeoverCommand::Journal(command) => self.run_journal(host, vec![command]),
                TakeoverCommand::Blocked => {}
                TakeoverCommand::Lost { .. } => {
                    self.hosts[host].machine = Machine::Idle;
                    self.hosts[host].instance = 0;
                }
                TakeoverCommand::Done(owned) => {
                    self.takeovers += 1;
                    if self.flights.iter().any(|flight| flight.asker() == asker) {
                        self.violate("a takeover ended with a call under way".into());
                    }
                    self.check(owned.journal.epoch(), &owned.recovery);
                    let state = &mut self.hosts[host];
                    state.created = BTreeSet::new();
                    state.known = BTreeSet::new();
                    for record in owned.recovery.records() {
                        learn(state, record);
                    }
                    state.machine = Machine::Owning(Box::new(owned.journal));
                    state.wake_at = Some(self.now);
                }
            }
        }
    }

    fn run_journal(&mut self, host: usize, commands: Vec<Command>) {
        let asker = (host, self.hosts[host].instance);
        for command in commands {
            match command {
                Command::Write(entry) => {
                    self.adoptions += u64::from(entry.adopted.is_some());
                    self.flights.push(Flight::Write(asker, entry));
                }
                Command::Read { seq } => self.flights.push(Flight::Read(asker, seq)),
                Command::Delete { seq } => self.flights.push(Flight::Delete(asker, seq)),
                Command::Copy { to, entry } => self.flights.push(Flight::Copy(asker, to, entry)),
                Command::Discard { to, epoch, seq } => {
                    let journal = self.journal.clone();
                    for (_, backup) in self.backups.iter_mut().filter(|(me, _)| *me == to) {
                        backup.discard(&journal, epoch, seq);
                    }
                }
                Command::Durable { tokens, by } => {
                    let is_copied = by == trefoilring_core::journal::DurableBy::Backups;
                    self.by_backups += u64::from(is_copied);
                    tokens.into_iter().for_each(|token| self.durable(host, token));
                }
                Command::Late { .. } => {}
                Command::Lost { tokens } | Command::Dropped { tokens } => {
                    for token in tokens {
                        if self.hosts[host].waiting.remove(&token).is_none() {
                            self.violate(format!("token {token} ended twice"));
                        }
                    }
                }
                Command::Fenced { .. } | Command::Closed { .. } => {
                    self.hosts[host].machine = Machine::Idle;
                    self.hosts[host].instance = 0;
                    self.hosts[host].waiting.clear();
                }
                Command::WakeAt(at) => self.hosts[host].wake_at = Some(at),
            }
        }
    }

    fn durable(&mut self, host: usize, token: u64) {
        let Some(record) = self.hosts[host].waiting.remove(&token) else {
            self.violate(format!("token {token} ended twice"));
            return;
        };
        learn(&mut self.hosts[host], &record);
        if let Record::Intended { program, step, .. } = &record {
            let sent = self.sent.entry((program.clone(), step.clone())).or_default();
            *sent += 1;
            if *sent > 1 {
                let what = format!("step {program} {step} was sent twice");
                self.violate(what);
            }
        }
        let Machine::Owning(journal) = &self.hosts[host].machine else { return };
        self.acked.push((journal.epoch(), record));
    }

    /// Checks what a new owner has read against what was acknowledged by owners before it. A newer
    /// one may exist already: then this one is fenced by its first entry.
    fn check(&mut self, epoch: Epoch, recovery: &Recovery) {
        let records: Vec<Record> = recovery.records().cloned().collect();
        let programs: BTreeSet<&ProgramId> = records
            .iter()
            .filter(|record| matches!(record, Record::Created { .. }))
            .map(Record::program)
            .collect();
        let mut violations = Vec::new();
        for (i, record) in records.iter().enumerate() {
            if records[..i].contains(record) {
                violations.push(format!("recovered twice: {record:?}"));
            }
        }
        for (_, record) in self.acked.iter().filter(|(by, _)| *by < epoch) {
            let is_needed =
                programs.contains(record.program()) || !self.released.contains(record.program());
            if is_needed && !records.contains(record) {
                violations.push(format!("acknowledged and lost: {record:?}"));
            }
        }
        let mut writers = BTreeMap::new();
        for entry in &recovery.entries {
            let writer = writers.entry(entry.epoch).or_insert_with(|| entry.writer.clone());
            if *writer != entry.writer {
                violations.push(format!("two owners in epoch {}", entry.epoch));
            }
        }
        self.violations.extend(violations);
    }

    /// Repairs all, delivers all and lets one host take over. Returns whether it could.
    pub fn settle(&mut self) -> bool {
        self.is_store_down = false;
        (0..self.hosts.len()).for_each(|host| self.kill(host));
        self.deliver_all();
        let before = self.takeovers;
        for _ in 0..20 {
            self.take_over(0, 0);
            for _ in 0..40 {
                self.deliver_all();
                self.pass(Duration::from_millis(40));
            }
            if self.takeovers > before {
                return true;
            }
        }
        false
    }

    pub fn deliver_all(&mut self) {
        while !self.flights.is_empty() {
            self.deliver(0);
        }
    }

    /// Delivers all and lets time pass until nothing is left to do.
    pub fn run(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.deliver_all();
            self.pass(Duration::from_millis(10));
        }
    }

    /// Delivers what one host waits for, and lets time pass for it, until `stops` holds for a call
    /// of that host. That call stays in flight.
    pub fn run_host(&mut self, host: usize, rounds: u32, stops: impl Fn(&Flight) -> bool) -> bool {
        for _ in 0..rounds {
            while let Some(index) = self.flights.iter().position(|f| f.asker().0 == host) {
                if stops(&self.flights[index]) {
                    return true;
                }
                self.deliver(index);
            }
            self.pass(Duration::from_millis(10));
        }
        false
    }

    /// What a reader sees in the store now.
    pub fn recovered(&self) -> Recovery {
        recover(self.store.values().map(|entry| stored_form(entry)).collect())
    }

    pub fn owner(&self) -> Option<usize> {
        self.hosts.iter().position(|host| matches!(host.machine, Machine::Owning(_)))
    }
}

fn learn(host: &mut Host, record: &Record) {
    match record {
        Record::Created { program, .. } => drop(host.created.insert(program.clone())),
        Record::Intended { program, step, .. } => {
            host.known.insert((program.clone(), step.clone()));
        }
        _ => {}
    }
}

/// The failure that a lost answer looks like.
fn lost_answer(event: TakeoverEvent) -> Option<TakeoverEvent> {
    let unknown = |seq| Event::StoreFailed { seq, kind: FailureKind::Unknown };
    let event = match event {
        TakeoverEvent::Entries(_) => return Some(TakeoverEvent::ReadFailed),
        TakeoverEvent::ClaimAnswered { backup, .. } => {
            return Some(TakeoverEvent::ClaimFailed { backup });
        }
        TakeoverEvent::Journal(event) => event,
        other => return Some(other),
    };
    let lost = match event {
        Event::Stored { seq } | Event::Conflict { seq, .. } | Event::Found { seq, .. } => {
            unknown(seq)
        }
        Event::Deleted { seq } => Event::DeleteFailed { seq },
        Event::CopyAnswered { seq, backup, .. } => Event::CopyFailed { seq, backup },
        other => other,
    };
    Some(TakeoverEvent::Journal(lost))
}

/// An entry as it comes back from the store.
fn stored_form(entry: &Entry) -> Entry {
    let json = serde_json::to_vec(entry).expect("an entry is JSON");
    serde_json::from_slice(&json).expect("an entry is read back")
}

pub fn created(program: &ProgramId) -> Record {
    Record::Created {
        program: program.clone(),
        parent: None,
        team: "t".into(),
        class: "c".into(),
        budget: Budget::default(),
        step: None,
        created_ms: 0,
    }
}

pub fn intended(program: &ProgramId, step: &StepKey) -> Record {
    Record::Intended {
        program: program.clone(),
        step: step.clone(),
        request_hash: 0,
        service: "s".into(),
    }
}
