//! A simulation of one journal with one store, three hosts that may own the journal, and three
//! backups. All calls between them stay in flight until a test delivers or fails them.
#![allow(dead_code)] // Each test binary uses only some of these items.

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

/// Mechanisms of the store and the driver that a test can disable.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Disabled {
    #[default]
    Nothing,
    /// The store overwrites an existing entry.
    CreateIfAbsent,
    /// The driver reports all backups as lost instead of claiming.
    Claim,
    /// The driver reads the copies, but the backup does not refuse the previous owner afterwards.
    ClaimRefusal,
    /// The driver reports a conflict as a successful write.
    ReadOnConflict,
    /// The driver reports that no entries follow an opening entry.
    VerifyAfterOpening,
}

/// Sender of a call: the index of the host, and the instance of its state machine that gets the
/// reply.
type Sender = (usize, u64);

/// A call or a reply in flight.
#[derive(Clone, Debug)]
pub enum Message {
    Write(Sender, Arc<Entry>),
    Read(Sender, u64),
    /// Reads the entries after a position. The flag is set if this verifies an opening entry.
    ReadAfter(Sender, u64, bool),
    Delete(Sender, u64),
    Copy(Sender, Member, Arc<Entry>),
    Claim(Sender, Member, trefoilring_core::journal::Owner),
    Reply(Sender, TakeoverEvent),
}

impl Message {
    fn sender(&self) -> Sender {
        match self {
            Self::Write(sender, _)
            | Self::Read(sender, _)
            | Self::ReadAfter(sender, ..)
            | Self::Delete(sender, _)
            | Self::Copy(sender, ..)
            | Self::Claim(sender, ..)
            | Self::Reply(sender, _) => *sender,
        }
    }
}

pub enum OwnershipState {
    Idle,
    TakingOver(Box<Takeover>),
    Owning(Box<Journal>),
}

pub struct Host {
    pub member: Member,
    pub ownership: OwnershipState,
    pub instance: u64,
    wake_at: Option<Instant>,
    pub created: BTreeSet<ProgramId>,
    pub intended_steps: BTreeSet<(ProgramId, StepKey)>,
    /// Records of appended calls, by token, until the call ends.
    pending_records: BTreeMap<u64, Record>,
}

pub struct Simulation {
    pub disabled: Disabled,
    pub journal: JournalId,
    pub settings: Settings,
    pub now: Instant,
    pub store: BTreeMap<u64, Arc<Entry>>,
    pub is_store_down: bool,
    pub hosts: Vec<Host>,
    pub backups: Vec<(Member, Backup)>,
    pub in_flight: Vec<Message>,
    next_token: u64,
    next_program: u64,
    next_instance: u64,
    /// Records that a host reported as durable, each with the epoch of that host.
    pub acked: Vec<(Epoch, Record)>,
    pub released: BTreeSet<ProgramId>,
    /// Number of times that each step was sent.
    pub sent: BTreeMap<(ProgramId, StepKey), u32>,
    pub takeovers: u64,
    pub adoptions: u64,
    pub deletions: u64,
    pub durable_by_backups: u64,
    /// Descriptions of the violations found; empty if all guarantees held.
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
        copy_after: Duration::from_millis(50),
        retry_delay: Duration::from_millis(30),
        late_after: Duration::from_millis(300),
        checkpoint_interval: Duration::from_millis(100),
    }
}

impl Simulation {
    pub fn new(disabled: Disabled) -> Self {
        let hosts = ["a", "b", "c"].map(|name| Host {
            member: member(name, 1),
            ownership: OwnershipState::Idle,
            instance: 0,
            wake_at: None,
            created: BTreeSet::new(),
            intended_steps: BTreeSet::new(),
            pending_records: BTreeMap::new(),
        });
        let backups = ["d", "e", "f"].map(|name| {
            let me = member(name, 1);
            (me.clone(), Backup::new(me, 1 << 20))
        });
        Self {
            disabled,
            journal: "j".into(),
            settings: settings(),
            now: Instant::now(),
            store: BTreeMap::new(),
            is_store_down: false,
            hosts: hosts.into(),
            backups: backups.into(),
            in_flight: Vec::new(),
            next_token: 0,
            next_program: 0,
            next_instance: 0,
            acked: Vec::new(),
            released: BTreeSet::new(),
            sent: BTreeMap::new(),
            takeovers: 0,
            adoptions: 0,
            deletions: 0,
            durable_by_backups: 0,
            violations: Vec::new(),
        }
    }

    fn add_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// Starts a takeover at a host. Its backups are all except `excluded_backup`.
    pub fn take_over(&mut self, host: usize, excluded_backup: usize) {
        if !matches!(self.hosts[host].ownership, OwnershipState::Idle) {
            return;
        }
        let backups = self.backups.iter().enumerate().filter(|(i, _)| *i != excluded_backup % 3);
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
        self.hosts[host].ownership = OwnershipState::TakingOver(Box::new(takeover));
        self.run_takeover(host, commands);
    }

    /// Kills a host's process and starts a new incarnation.
    pub fn restart_host(&mut self, host: usize) {
        let state = &mut self.hosts[host];
        state.member.incarnation += 1;
        state.ownership = OwnershipState::Idle;
        state.instance = 0;
        state.pending_records.clear();
    }

    pub fn restart_backup(&mut self, backup: usize) {
        let incarnation = self.backups[backup].0.incarnation + 1;
        let me = Member { host: self.backups[backup].0.host.clone(), incarnation };
        self.backups[backup] = (me.clone(), Backup::new(me, 1 << 20));
    }

    /// Appends a record at a host. Returns false if the host does not own the journal or refuses
    /// the record.
    pub fn append(&mut self, host: usize, record: Record) -> bool {
        let token = self.next_token;
        let now = self.now;
        let OwnershipState::Owning(journal) = &mut self.hosts[host].ownership else { return false };
        let Ok(commands) = journal.append(now, vec![record.clone()], token) else { return false };
        self.next_token += 1;
        self.hosts[host].pending_records.insert(token, record);
        self.run_journal(host, commands);
        true
    }

    /// Appends the creation of a program at `host`, if it owns the journal. Returns the program's
    /// id.
    pub fn create(&mut self, host: usize) -> ProgramId {
        let program: ProgramId = format!("p{}", self.next_program).into();
        self.next_program += 1;
        self.append(host, created(&program));
        program
    }

    /// Appends the intent of a step at `host`, under the rules of a home: only for an existing
    /// program, and only once.
    pub fn step(&mut self, host: usize, program: &ProgramId, step: u32) {
        let step: StepKey = format!("s{step}").into();
        let state = &mut self.hosts[host];
        let key = (program.clone(), step.clone());
        if !state.created.contains(program) || state.intended_steps.contains(&key) {
            return;
        }
        if self.append(host, intended(program, &step)) {
            self.hosts[host].intended_steps.insert(key);
        }
    }

    /// Releases a program at `host`.
    pub fn release(&mut self, host: usize, program: &ProgramId) {
        if !self.hosts[host].created.remove(program) {
            return;
        }
        self.released.insert(program.clone());
        self.send_journal_event(host, Event::Released { program: program.clone() });
    }

    pub fn send_journal_event(&mut self, host: usize, event: Event) {
        let instance = self.hosts[host].instance;
        self.send_event((host, instance), TakeoverEvent::Journal(event));
    }

    /// Advances the clock and sends the due ticks.
    pub fn advance_time(&mut self, time: Duration) {
        self.now += time;
        for host in 0..self.hosts.len() {
            if self.hosts[host].wake_at.is_some_and(|at| at <= self.now) {
                self.hosts[host].wake_at = None;
                self.send_journal_event(host, Event::Tick);
            }
        }
    }

    /// Delivers one call or reply.
    pub fn deliver(&mut self, index: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = index % self.in_flight.len();
        match self.in_flight.swap_remove(index) {
            Message::Reply(sender, event) => self.send_event(sender, event),
            Message::Copy(sender, to, entry) => {
                let backup = self.backups.iter_mut().find(|(member, _)| member.host == to.host);
                let Some((_, backup)) = backup else { return };
                let reply = backup.copy(&to, Entry::clone(&entry));
                let event = Event::CopyReplied { seq: entry.seq, backup: to, reply };
                self.in_flight.push(Message::Reply(sender, TakeoverEvent::Journal(event)));
            }
            Message::Claim(sender, to, by) => {
                let reply = self.claim(&to, &by);
                let event = TakeoverEvent::ClaimReplied { backup: to, reply };
                self.in_flight.push(Message::Reply(sender, event));
            }
            store_call => self.deliver_to_store(store_call),
        }
    }

    fn claim(&mut self, to: &Member, by: &trefoilring_core::journal::Owner) -> ClaimReply {
        let journal = self.journal.clone();
        let backup = self.backups.iter_mut().find(|(member, _)| member.host == to.host);
        let Some((_, backup)) = backup else { return ClaimReply::OtherMember };
        if self.disabled == Disabled::ClaimRefusal {
            let mut copy = backup.clone();
            return copy.claim(to, &journal, by);
        }
        backup.claim(to, &journal, by)
    }

    fn deliver_to_store(&mut self, call: Message) {
        let is_down = self.is_store_down;
        let failed = |seq| Event::StoreFailed { seq, kind: FailureKind::NotApplied };
        let (sender, event) = match call {
            Message::Write(sender, entry) if is_down => (sender, failed(entry.seq)),
            Message::Read(sender, seq) if is_down => (sender, failed(seq)),
            Message::Delete(sender, seq) if is_down => (sender, Event::DeleteFailed { seq }),
            Message::ReadAfter(sender, ..) if is_down => {
                self.in_flight.push(Message::Reply(sender, TakeoverEvent::ReadFailed));
                return;
            }
            Message::Write(sender, entry) => (sender, self.write(entry)),
            Message::Read(sender, seq) => {
                let entry = self.store.get(&seq).cloned();
                (sender, Event::EntryRead { seq, entry })
            }
            Message::Delete(sender, seq) => {
                self.store.remove(&seq);
                self.deletions += 1;
                (sender, Event::Deleted { seq })
            }
            Message::ReadAfter(sender, after, is_verification) => {
                let is_skipped = is_verification && self.disabled == Disabled::VerifyAfterOpening;
                let entries = self.store.range(after + 1..).filter(|_| !is_skipped);
                let entries = entries.map(|(_, entry)| stored_form(entry)).collect();
                self.in_flight.push(Message::Reply(sender, TakeoverEvent::Entries(entries)));
                return;
            }
            _ => return,
        };
        self.in_flight.push(Message::Reply(sender, TakeoverEvent::Journal(event)));
    }

    fn write(&mut self, entry: Arc<Entry>) -> Event {
        let seq = entry.seq;
        if self.store.contains_key(&seq) && self.disabled != Disabled::CreateIfAbsent {
            return match self.disabled {
                Disabled::ReadOnConflict => Event::Stored { seq },
                _ => Event::Conflict { seq, found: None },
            };
        }
        self.store.insert(seq, Arc::new(stored_form(&entry)));
        Event::Stored { seq }
    }

    /// Fails one call. With `takes_effect_later`, the call (except a read) stays in flight and is
    /// executed without a reply.
    pub fn fail(&mut self, index: usize, takes_effect_later: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = index % self.in_flight.len();
        let unknown = |seq| Event::StoreFailed { seq, kind: FailureKind::Unknown };
        let journal_event = TakeoverEvent::Journal;
        let no_sender = (0, u64::MAX);
        let (sender, event, remaining_call) = match self.in_flight[index].clone() {
            Message::Write(sender, entry) => {
                (sender, journal_event(unknown(entry.seq)), Some(Message::Write(no_sender, entry)))
            }
            Message::Read(sender, seq) => (sender, journal_event(unknown(seq)), None),
            Message::ReadAfter(sender, ..) => (sender, TakeoverEvent::ReadFailed, None),
            Message::Delete(sender, seq) => {
                let event = journal_event(Event::DeleteFailed { seq });
                (sender, event, Some(Message::Delete(no_sender, seq)))
            }
            Message::Copy(sender, backup, entry) => {
                let event = Event::CopyFailed { seq: entry.seq, backup: backup.clone() };
                (sender, journal_event(event), Some(Message::Copy(no_sender, backup, entry)))
            }
            Message::Claim(sender, backup, by) => {
                let event = TakeoverEvent::ClaimFailed { backup: backup.clone() };
                (sender, event, Some(Message::Claim(no_sender, backup, by)))
            }
            // The call took effect but its reply is lost, so the sender gets a failure.
            Message::Reply(sender, event) => match lost_reply_event(event) {
                Some(event) => (sender, event, None),
                None => return,
            },
        };
        self.in_flight.swap_remove(index);
        self.in_flight.extend(remaining_call.filter(|_| takes_effect_later));
        self.send_event(sender, event);
    }

    fn send_event(&mut self, (host, instance): Sender, event: TakeoverEvent) {
        if instance == 0 || self.hosts.get(host).is_none_or(|host| host.instance != instance) {
            return;
        }
        let now = self.now;
        match &mut self.hosts[host].ownership {
            OwnershipState::Idle => {}
            OwnershipState::TakingOver(takeover) => {
                let commands = takeover.handle(now, event);
                self.run_takeover(host, commands);
            }
            OwnershipState::Owning(journal) => {
                let TakeoverEvent::Journal(event) = event else { return };
                let commands = journal.handle(now, event);
                self.run_journal(host, commands);
            }
        }
    }

    pub fn run_takeover(&mut self, host: usize, commands: Vec<TakeoverCommand>) {
        let sender = (host, self.hosts[host].instance);
        let mut is_verification = false;
        for command in commands {
            match command {
                TakeoverCommand::ReadAfter { after } => {
                    is_verification |= self.store.get(&after).is_some_and(|entry| {
                        entry.writer == self.hosts[host].member && entry.takeover.is_some()
                    });
                    self.in_flight.push(Message::ReadAfter(sender, after, is_verification));
                }
                TakeoverCommand::Claim { backup, .. } if self.disabled == Disabled::Claim => {
                    let lost = TakeoverEvent::BackupLost { backup: backup.clone() };
                    self.send_event(sender, lost);
                    self.send_event(sender, TakeoverEvent::ClaimFailed { backup });
                }
                TakeoverCommand::Claim { backup, by } => {
                    self.in_flight.push(Message::Claim(sender, backup, by));
                }
                TakeoverCommand::Journal(command) => self.run_journal(host, vec![command]),
                TakeoverCommand::Blocked => {}
                TakeoverCommand::Superseded { .. } => {
                    self.hosts[host].ownership = OwnershipState::Idle;
                    self.hosts[host].instance = 0;
                }
                TakeoverCommand::Done(owned) => {
                    self.takeovers += 1;
                    if self.in_flight.iter().any(|call| call.sender() == sender) {
                        self.add_violation("a takeover ended with a call in flight".into());
                    }
                    self.check_recovery(owned.journal.epoch(), &owned.recovery);
                    let state = &mut self.hosts[host];
                    state.created = BTreeSet::new();
                    state.intended_steps = BTreeSet::new();
                    for record in owned.recovery.records() {
                        apply_record(state, record);
                    }
                    state.ownership = OwnershipState::Owning(Box::new(owned.journal));
                    state.wake_at = Some(self.now);
                }
            }
        }
    }

    fn run_journal(&mut self, host: usize, commands: Vec<Command>) {
        let sender = (host, self.hosts[host].instance);
        for command in commands {
            match command {
                Command::Write(entry) => {
                    self.adoptions += u64::from(entry.adopted.is_some());
                    self.in_flight.push(Message::Write(sender, entry));
                }
                Command::Read { seq } => self.in_flight.push(Message::Read(sender, seq)),
                Command::Delete { seq } => self.in_flight.push(Message::Delete(sender, seq)),
                Command::Copy { to, entry } => {
                    self.in_flight.push(Message::Copy(sender, to, entry))
                }
                Command::Discard { to, epoch, seq } => {
                    let journal = self.journal.clone();
                    for (_, backup) in self.backups.iter_mut().filter(|(me, _)| *me == to) {
                        backup.discard(&journal, epoch, seq);
                    }
                }
                Command::Durable { tokens, by } => {
                    let is_copied = by == trefoilring_core::journal::DurableBy::Backups;
                    self.durable_by_backups += u64::from(is_copied);
                    tokens.into_iter().for_each(|token| self.on_durable(host, token));
                }
                Command::Late { .. } => {}
                Command::OutcomeUnknown { tokens } | Command::Dropped { tokens } => {
                    for token in tokens {
                        if self.hosts[host].pending_records.remove(&token).is_none() {
                            self.add_violation(format!(
                                "token {token} was reported twice or never issued"
                            ));
                        }
                    }
                }
                Command::Fenced { .. } | Command::Closed { .. } => {
                    self.hosts[host].ownership = OwnershipState::Idle;
                    self.hosts[host].instance = 0;
                    self.hosts[host].pending_records.clear();
                }
                Command::WakeAt(at) => self.hosts[host].wake_at = Some(at),
            }
        }
    }

    fn on_durable(&mut self, host: usize, token: u64) {
        let Some(record) = self.hosts[host].pending_records.remove(&token) else {
            self.add_violation(format!("token {token} was reported twice or never issued"));
            return;
        };
        apply_record(&mut self.hosts[host], &record);
        if let Record::Intended { program, step, .. } = &record {
            let sent = self.sent.entry((program.clone(), step.clone())).or_default();
            *sent += 1;
            if *sent > 1 {
                let violation = format!("step {program} {step} was sent twice");
                self.add_violation(violation);
            }
        }
        let OwnershipState::Owning(journal) = &self.hosts[host].ownership else { return };
        self.acked.push((journal.epoch(), record));
    }

    /// Checks a new owner's recovered records against those acknowledged by earlier owners. Records
    /// of newer owners are not checked: if there is a newer owner, its opening entry fences this
    /// one.
    fn check_recovery(&mut self, epoch: Epoch, recovery: &Recovery) {
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

    /// Restores the store, restarts the hosts, delivers all calls, and lets one host take over.
    /// Returns whether the takeover succeeded.
    pub fn restore_and_take_over(&mut self) -> bool {
        self.is_store_down = false;
        (0..self.hosts.len()).for_each(|host| self.restart_host(host));
        self.deliver_all();
        let before = self.takeovers;
        for _ in 0..20 {
            self.take_over(0, 0);
            for _ in 0..40 {
                self.deliver_all();
                self.advance_time(Duration::from_millis(40));
            }
            if self.takeovers > before {
                return true;
            }
        }
        false
    }

    pub fn deliver_all(&mut self) {
        while !self.in_flight.is_empty() {
            self.deliver(0);
        }
    }

    /// Delivers all calls and advances the clock, `rounds` times.
    pub fn run(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.deliver_all();
            self.advance_time(Duration::from_millis(10));
        }
    }

    /// Delivers the calls of one host and advances the clock until `stop_at` matches one of these
    /// calls. That call stays in flight. Returns whether a call matched.
    pub fn run_host(
        &mut self,
        host: usize,
        rounds: u32,
        stop_at: impl Fn(&Message) -> bool,
    ) -> bool {
        for _ in 0..rounds {
            while let Some(index) = self.in_flight.iter().position(|f| f.sender().0 == host) {
                if stop_at(&self.in_flight[index]) {
                    return true;
                }
                self.deliver(index);
            }
            self.advance_time(Duration::from_millis(10));
        }
        false
    }

    /// Recovers the journal from the current content of the store.
    pub fn recovered(&self) -> Recovery {
        recover(self.store.values().map(|entry| stored_form(entry)).collect())
    }

    pub fn owner(&self) -> Option<usize> {
        self.hosts.iter().position(|host| matches!(host.ownership, OwnershipState::Owning(_)))
    }
}

fn apply_record(host: &mut Host, record: &Record) {
    match record {
        Record::Created { program, .. } => drop(host.created.insert(program.clone())),
        Record::Intended { program, step, .. } => {
            host.intended_steps.insert((program.clone(), step.clone()));
        }
        _ => {}
    }
}

/// Returns the event that the sender gets if this reply is lost.
fn lost_reply_event(event: TakeoverEvent) -> Option<TakeoverEvent> {
    let unknown = |seq| Event::StoreFailed { seq, kind: FailureKind::Unknown };
    let event = match event {
        TakeoverEvent::Entries(_) => return Some(TakeoverEvent::ReadFailed),
        TakeoverEvent::ClaimReplied { backup, .. } => {
            return Some(TakeoverEvent::ClaimFailed { backup });
        }
        TakeoverEvent::Journal(event) => event,
        other => return Some(other),
    };
    let lost = match event {
        Event::Stored { seq } | Event::Conflict { seq, .. } | Event::EntryRead { seq, .. } => {
            unknown(seq)
        }
        Event::Deleted { seq } => Event::DeleteFailed { seq },
        Event::CopyReplied { seq, backup, .. } => Event::CopyFailed { seq, backup },
        other => other,
    };
    Some(TakeoverEvent::Journal(lost))
}

/// Returns an entry as read back from the store.
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
