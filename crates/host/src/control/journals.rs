//! Opening, taking over, running and handing over journals.

use {
    crate::{
        control::{
            Control,
            home::{Homes, Pending, Waiting, answer, moment, tell_all_gone},
        },
        journal_store,
        observe::events::About,
        shared::Shared,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        event::Kind,
        ids::{HostId, JournalId, Member, ProgramId},
        journal::{self, Command, Event, Journal, Takeover, TakeoverCommand, TakeoverEvent, Token},
        membership::OwnedJournal,
        program::{self, Programs},
    },
    trefoilring_proto::DiscardRequest,
};

/// A journal that was looked for in vain is not looked for again so soon.
const UNKNOWN_FOR: Duration = Duration::from_secs(5);

/// A journal that this host owns.
pub(crate) struct Owned {
    pub(super) journal: Journal,
    pub(super) programs: Programs,
    pub(super) pending: BTreeMap<Token, Pending>,
    /// Calls that wait for their turn, by program.
    pub(super) waiting: BTreeMap<ProgramId, Vec<Waiting>>,
    wake: Option<Instant>,
    /// Versions of the objects that this host wrote, to delete them by.
    versions: BTreeMap<u64, u64>,
    /// Backups of the journal, by host.
    backups: Vec<Member>,
    /// Set while the journal is being closed; answered with its first free position.
    pub(super) closed: Option<smol::channel::Sender<u64>>,
    /// Since when the journal has been without programs.
    pub(super) empty_since: Option<Instant>,
}

impl Owned {
    /// Whether no program of the journal is known any more, and nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.programs.ids().next().is_none() && self.pending.is_empty() && self.waiting.is_empty()
    }
}

/// A journal that this host is taking over.
pub(crate) struct Taking {
    takeover: Takeover,
    backups: Vec<Member>,
    wake: Option<Instant>,
    is_own: bool,
}

/// Journals under takeover, and what is known about journals of others.
#[derive(Default)]
pub(crate) struct Journals {
    taking: BTreeMap<JournalId, Taking>,
    looking: BTreeSet<JournalId>,
    unknown: BTreeMap<JournalId, Instant>,
    /// Own journals opened before: another host may have taken one over, and its name is used up.
    opened: u32,
}

impl Journals {
    pub(super) fn is_taking(&self, journal: &JournalId) -> bool {
        self.taking.contains_key(journal)
    }

    /// Whether the store was asked for the journal lately and had nothing.
    pub(super) fn is_unknown(&self, journal: &JournalId, now: Instant) -> bool {
        self.unknown.get(journal).is_some_and(|at| now < *at + UNKNOWN_FOR)
    }

    /// Notes that the store has nothing of a journal.
    pub(super) fn mark_unknown(&mut self, journal: &JournalId, now: Instant) {
        self.unknown.retain(|_, at| now < *at + UNKNOWN_FOR);
        self.unknown.insert(journal.clone(), now);
    }

    /// When a takeover is due.
    pub(super) fn wake(&self) -> Option<Instant> {
        self.taking.values().filter_map(|taking| taking.wake).min()
    }
}

/// Writes a second to the Object API that all journals of a site share. The store takes several
/// hundred; rosters and declarations need the rest.
const SITE_WRITES_PER_S: u32 = 250;

/// The pace of each journal of this host, so that the site's journals together stay within
/// [`SITE_WRITES_PER_S`] over a second or two.
fn pace(least: Duration, hosts: usize, journals: usize) -> (Duration, u32) {
    let journals = u32::try_from(hosts * journals).unwrap_or(u32::MAX).max(1);
    let spacing = (Duration::from_secs(1) / SITE_WRITES_PER_S).saturating_mul(journals).max(least);
    let a_second = Duration::from_secs(1).as_nanos() / spacing.as_nanos().max(1);
    (spacing, u32::try_from(a_second).unwrap_or(u32::MAX))
}

impl Control {
    /// Opens this host's own journal, once it has a lease.
    pub(super) fn open_own_journal(&mut self, now: Instant) {
        if self.homes.own.is_some() || !self.membership.may_act(now) {
            return;
        }
        let member = &self.shared.member;
        let number = self.journals.opened;
        let journal: JournalId =
            format!("{}-{:x}-{number}", member.host, member.incarnation).into();
        if !self.journals.is_taking(&journal) {
            self.take_over(now, journal, None, true);
        }
    }

    /// Looks whether a journal without an owner is there, and takes it over.
    pub(crate) fn adopt(&mut self, now: Instant, journal: JournalId) {
        let is_known = self.homes.owned.contains_key(&journal) || self.journals.is_taking(&journal);
        if is_known || self.journals.is_unknown(&journal, now) || !self.membership.may_act(now) {
            return;
        }
        if !self.journals.looking.insert(journal.clone()) {
            return;
        }
        let shared = self.shared.clone();
        self.shared.spawn(async move {
            let found = journal_store::exists(&shared, &journal).await;
            shared.control.tell(move |control| control.looked(&journal, found.ok()));
        });
    }

    fn looked(&mut self, journal: &JournalId, found: Option<bool>) {
        let now = Instant::now();
        self.journals.looking.remove(journal);
        match found {
            Some(true) => self.take_over(now, journal.clone(), None, false),
            Some(false) => {
                self.journals.mark_unknown(journal, now);
                self.sweeper.forget(journal);
            }
            None => (),
        }
    }

    /// Starts a takeover.
    pub(crate) fn take_over(
        &mut self,
        now: Instant,
        journal: JournalId,
        handed_over: Option<u64>,
        is_own: bool,
    ) {
        if self.journals.is_taking(&journal) || self.homes.owned.contains_key(&journal) {
            return;
        }
        let domain = self.shared.settings.domain.clone();
        let backups = self.membership.backups_for(&journal, &domain);
        let backups: Vec<Member> = backups.into_iter().map(|entry| entry.member.clone()).collect();
        let (spacing, burst_writes) = self.pace();
        let settings = journal::Settings { spacing, burst_writes, ..Default::default() };
        let me = self.shared.member.clone();
        let mut takeover =
            Takeover::new(settings, journal.clone(), me, backups.clone(), handed_over);
        let commands = takeover.start();
        let taking = Taking { takeover, backups, wake: None, is_own };
        self.journals.taking.insert(journal.clone(), taking);
        self.run_takeover(now, &journal, commands);
    }

    /// Gives an event to a takeover.
    fn takeover_event(&mut self, journal: &JournalId, event: TakeoverEvent) {
        let now = Instant::now();
        let Some(taking) = self.journals.taking.get_mut(journal) else { return };
        let commands = taking.takeover.handle(now, event);
        self.run_takeover(now, journal, commands);
    }

    fn run_takeover(&mut self, now: Instant, journal: &JournalId, commands: Vec<TakeoverCommand>) {
        for command in commands {
            match command {
                TakeoverCommand::ReadAfter { after } => {
                    self.takeover_task(journal, move |shared, journal| async move {
                        journal_store::read_after(&shared, &journal, after).await
                    });
                }
                TakeoverCommand::Claim { backup, by } => self.claim(journal, backup, by),
                TakeoverCommand::Journal(command) => self.run_taking(journal, command),
                TakeoverCommand::Blocked => {
                    log::warn!("journal {journal}: no backup answers; its programs wait");
                }
                TakeoverCommand::Lost { by_epoch } => {
                    log::info!("journal {journal}: another host took it, epoch {by_epoch}");
                    self.journals.taking.remove(journal);
                }
                TakeoverCommand::Done(owned) => self.taken_over(now, journal, *owned),
            }
        }
    }

    fn takeover_task<F>(
        &self,
        journal: &JournalId,
        task: impl FnOnce(Arc<Shared>, JournalId) -> F + Send + 'static,
    ) where
        F: Future<Output = TakeoverEvent> + Send,
    {
        let (shared, journal) = (self.shared.clone(), journal.clone());
        self.shared.spawn(async move {
            let event = task(shared.clone(), journal.clone()).await;
            shared.control.tell(move |control| control.takeover_event(&journal, event));
        });
    }

    fn claim(&mut self, journal: &JournalId, backup: Member, by: journal::Owner) {
        let Some(address) = self.address_of(&backup) else {
            let is_gone = self.has_ended(&backup);
            let journal = journal.clone();
            return self.shared.control.tell(move |control| {
                if is_gone {
                    let gone = TakeoverEvent::BackupGone { backup: backup.clone() };
                    control.takeover_event(&journal, gone);
                }
                // The claim was asked for, and waits for an answer of its own.
                control.takeover_event(&journal, TakeoverEvent::ClaimFailed { backup });
            });
        };
        self.takeover_task(journal, move |shared, journal| async move {
            journal_store::claim(&shared, &address, backup, journal, by).await
        });
    }

    /// Whether a life of a host that is not in the view has ended for certain: another life of it
    /// is there, or it has been out of a view that this host has had for long. A host that has just
    /// started may not have read every roster, and would pass over copies that still count.
    fn has_ended(&self, member: &Member) -> bool {
        self.membership.host(&member.host).is_some() || self.has_settled_view()
    }

    /// The address of a member, if that life of the host is in the view.
    fn address_of(&self, member: &Member) -> Option<String> {
        let entry = self.membership.host(&member.host)?;
        (entry.member == *member).then(|| entry.address.clone())
    }

    fn run_taking(&mut self, journal: &JournalId, command: Command) {
        match command {
            Command::Write(entry) => {
                self.takeover_task(journal, move |shared, _| async move {
                    TakeoverEvent::Journal(journal_store::write(&shared, &entry).await.0)
                });
            }
            Command::Read { seq } => {
                self.takeover_task(journal, move |shared, journal| async move {
                    TakeoverEvent::Journal(journal_store::read(&shared, &journal, seq).await)
                });
            }
            Command::WakeAt(at) => {
                if let Some(taking) = self.journals.taking.get_mut(journal) {
                    taking.wake = Some(at);
                }
            }
            Command::Discard { to, epoch, seq } => self.discard(journal, &to, epoch, seq),
            Command::Delete { seq } => {
                self.takeover_task(journal, move |shared, journal| async move {
                    let event = journal_store::delete(&shared, &journal, seq, None).await;
                    TakeoverEvent::Journal(event)
                });
            }
            Command::Copy { .. }
            | Command::Durable { .. }
            | Command::Late { .. }
            | Command::Lost { .. }
            | Command::Dropped { .. }
            | Command::Fenced { .. }
            | Command::Closed { .. } => (),
        }
    }

    fn discard(&self, journal: &JournalId, to: &Member, epoch: u64, seq: u64) {
        let Some(address) = self.address_of(to) else { return };
        let request = DiscardRequest { journal: journal.clone(), epoch, seq };
        let shared = self.shared.clone();
        self.shared.spawn(async move {
            journal_store::discard(&shared, &address, request).await;
        });
    }

    fn taken_over(&mut self, now: Instant, journal: &JournalId, owned: journal::Owned) {
        let Some(taking) = self.journals.taking.remove(journal) else { return };
        let journal::Owned { journal: machine, recovery } = owned;
        let mut programs = Programs::new(program::Settings::default());
        for record in recovery.records() {
            programs.apply(moment(), record);
        }
        let about = About::default()
            .epoch(machine.epoch())
            .with("journal", &**journal)
            .with("programs", programs.live_count());
        if !taking.is_own {
            self.shared.events.note(Kind::JournalTakenOver, about);
            for program in programs.ids() {
                let about = About::program(program).epoch(machine.epoch());
                self.shared.events.note(Kind::ProgramAdopted, about);
            }
        }
        let owned = Owned {
            journal: machine,
            programs,
            pending: BTreeMap::new(),
            waiting: BTreeMap::new(),
            wake: Some(now),
            versions: BTreeMap::new(),
            backups: taking.backups,
            closed: None,
            empty_since: None,
        };
        self.homes.owned.insert(journal.clone(), owned);
        if taking.is_own {
            self.homes.own = Some(journal.clone());
            self.journals.opened += 1;
        }
        self.announce_journals();
    }

    fn pace(&self) -> (Duration, u32) {
        let hosts = self.membership.live_hosts().count().max(1);
        let journals = self.homes.owned.len().max(1);
        pace(self.shared.settings.store_write_spacing, hosts, journals)
    }

    /// Shares the store's writes anew after hosts or journals have come or gone.
    pub(super) fn set_pace(&mut self) {
        let (spacing, burst_writes) = self.pace();
        for owned in self.homes.owned.values_mut() {
            owned.journal.set_pace(spacing, burst_writes);
        }
    }

    /// Tells the other hosts which journals this one owns.
    pub(super) fn announce_journals(&mut self) {
        let announce = |owned: &Owned| OwnedJournal {
            journal: owned.journal.id().clone(),
            epoch: owned.journal.epoch(),
        };
        let journals = self.homes.owned.values().map(announce).collect();
        self.membership.set_journals(journals);
        self.set_pace();
    }

    /// Names other backups where one is gone, so that an outage of the store finds two.
    pub(super) fn renew_backups(&mut self, now: Instant) {
        let domain = self.shared.settings.domain.clone();
        let journals: Vec<JournalId> = self.homes.owned.keys().cloned().collect();
        for journal in journals {
            let wanted = self.membership.backups_for(&journal, &domain);
            let wanted: Vec<Member> = wanted.into_iter().map(|e| e.member.clone()).collect();
            let Some(owned) = self.homes.owned.get_mut(&journal) else { continue };
            let gone: Vec<Member> = owned
                .backups
                .iter()
                .filter(|backup| {
                    let entry = self.membership.host(&backup.host);
                    entry.is_none_or(|entry| entry.member != **backup)
                })
                .cloned()
                .collect();
            gone.iter().for_each(|backup| owned.journal.backup_gone(backup));
            let has_too_few = !gone.is_empty() || owned.backups.len() < wanted.len();
            if has_too_few && self.membership.is_store_up() {
                owned.backups.clone_from(&wanted);
                let commands = owned.journal.rename_backups(now, wanted);
                self.homes.run_journal(&journal, commands);
                self.announce_journals();
            }
        }
    }

    /// Does what is due in journals and takeovers.
    pub(super) fn tick_journals(&mut self, now: Instant) {
        let is_due = |wake: Option<Instant>| wake.is_some_and(|wake| wake <= now);
        let taking = self.journals.taking.iter_mut();
        let mut due = Vec::new();
        for (journal, taking) in taking.filter(|(_, taking)| is_due(taking.wake)) {
            taking.wake = None;
            due.push(journal.clone());
        }
        for journal in due {
            self.takeover_event(&journal, TakeoverEvent::Journal(Event::Tick));
        }
        self.homes.tick_journals(now);
        self.homes.sweep(now);
    }

    /// Brings all journals into the store and hands them to their successors. The reply comes when
    /// that is done.
    pub(crate) fn hand_over(&mut self, reply: super::Reply<()>) {
        let now = Instant::now();
        let commands = self.membership.handle(now, trefoilring_core::membership::Event::Drain);
        self.run_membership(commands);
        let mut waits = Vec::new();
        let journals: Vec<JournalId> = self.homes.owned.keys().cloned().collect();
        for journal in journals {
            let Some(owned) = self.homes.owned.get_mut(&journal) else { continue };
            if owned.closed.is_some() {
                // It is being deleted.
                continue;
            }
            let (closed, wait) = smol::channel::bounded(1);
            owned.closed = Some(closed);
            waits.push((journal.clone(), wait));
            self.homes.journal_event(&journal, Event::Closing);
        }
        let shared = self.shared.clone();
        self.shared.spawn(async move {
            let offers: Vec<smol::Task<()>> = waits
                .into_iter()
                .map(|(journal, wait)| {
                    let owned = shared.clone();
                    shared.executor.spawn(async move {
                        if let Ok(next_seq) = wait.recv().await {
                            offer(owned, journal, next_seq).await;
                        }
                    })
                })
                .collect();
            for offer in offers {
                offer.await;
            }
            shared.control.tell(move |control| control.leave(&reply));
        });
    }

    /// Leaves the roster for good.
    fn leave(&mut self, reply: &super::Reply<()>) {
        let owned = std::mem::take(&mut self.homes.owned);
        owned.into_values().for_each(tell_all_gone);
        self.announce_journals();
        let leave = trefoilring_core::membership::Event::Leave;
        let commands = self.membership.handle(Instant::now(), leave);
        self.run_membership(commands);
        self.leaving = Some(reply.clone());
    }

    /// The host that should take a journal over.
    pub(crate) fn successor(&self, journal: &JournalId) -> Option<(HostId, String)> {
        let entry = self.membership.successor_of(journal)?;
        let is_other = entry.member.host != self.shared.member.host;
        is_other.then(|| (entry.member.host.clone(), entry.address.clone()))
    }
}

/// Times that a closed journal is offered, to whoever is its successor by then.
const MAX_OFFERS: u32 = 10;
/// Pause between two offers.
const OFFER_PAUSE: Duration = Duration::from_millis(200);

/// Offers a closed journal to its successor. If nobody takes it on, its successor finds it by
/// itself when this host has left, which takes longer.
async fn offer(shared: Arc<Shared>, journal: JournalId, next_seq: u64) {
    for _ in 0..MAX_OFFERS {
        let Some((host, address)) = find_successor(&shared, &journal).await else { break };
        if is_taken_on(&shared, &address, &journal, next_seq).await {
            return log::info!("journal {journal} handed over to {host}");
        }
        smol::Timer::after(OFFER_PAUSE).await;
    }
    log::info!("journal {journal}: no successor took it on");
}

async fn find_successor(shared: &Shared, journal: &JournalId) -> Option<(HostId, String)> {
    let asked = journal.clone();
    let find = move |control: &mut Control, reply: super::Reply<_>| {
        answer(&reply, control.successor(&asked));
    };
    shared.control.ask(find).await.ok()?
}

async fn is_taken_on(shared: &Shared, address: &str, journal: &JournalId, next_seq: u64) -> bool {
    let Ok(address) = address.parse() else { return false };
    let link = shared.peers.link(address);
    let handover = trefoilring_proto::Handover { journal: journal.clone(), next_seq };
    let ask = |client: trefoilring_proto::PeerClient, context| async move {
        client.take_journal(context, handover).await
    };
    link.call(Duration::from_secs(2), ask).await.unwrap_or_default()
}

impl Homes {
    /// Gives an event to a journal.
    pub(super) fn journal_event(&mut self, journal: &JournalId, event: Event) {
        let Some(owned) = self.owned.get_mut(journal) else { return };
        let commands = owned.journal.handle(Instant::now(), event);
        self.run_journal(journal, commands);
    }

    fn tick_journals(&mut self, now: Instant) {
        let is_due = |owned: &Owned| owned.wake.is_some_and(|wake| wake <= now);
        let due = self.owned.iter_mut().filter(|(_, owned)| is_due(owned));
        let due: Vec<JournalId> = due
            .map(|(journal, owned)| {
                owned.wake = None;
                journal.clone()
            })
            .collect();
        due.iter().for_each(|journal| self.journal_event(journal, Event::Tick));
    }

    /// When a journal is due.
    pub(super) fn wake_at(&self) -> Option<Instant> {
        self.owned.values().filter_map(|owned| owned.wake).min()
    }

    pub(super) fn run_journal(&mut self, journal: &JournalId, commands: Vec<Command>) {
        for command in commands {
            self.run_command(journal, command);
        }
    }

    fn run_command(&mut self, journal: &JournalId, command: Command) {
        match command {
            Command::Write(entry) => self.task(journal, move |shared, _| async move {
                journal_store::write(&shared, &entry).await
            }),
            Command::Read { seq } => self.task(journal, move |shared, journal| async move {
                (journal_store::read(&shared, &journal, seq).await, None)
            }),
            Command::Delete { seq } => {
                let owned = self.owned.get_mut(journal);
                let version = owned.and_then(|owned| owned.versions.remove(&seq));
                self.task(journal, move |shared, journal| async move {
                    (journal_store::delete(&shared, &journal, seq, version).await, None)
                });
            }
            Command::Copy { to, entry } => self.copy(journal, to, entry),
            Command::Discard { to, epoch, seq } => {
                let journal = journal.clone();
                let discard = move |control: &mut Control| {
                    control.discard(&journal, &to, epoch, seq);
                };
                self.shared.control.tell(discard);
            }
            Command::Durable { tokens, by } => {
                if by == journal::DurableBy::Backups {
                    self.shared.metrics.count("journal.durable_by_backups", tokens.len() as i64);
                }
                tokens.into_iter().for_each(|token| self.durable(journal, token));
            }
            Command::Late { tokens } => {
                tokens.into_iter().for_each(|token| self.late(journal, token));
            }
            Command::Lost { tokens } | Command::Dropped { tokens } => {
                tokens.into_iter().for_each(|token| self.lost(journal, token));
            }
            Command::Fenced { by_epoch } => self.fenced(journal, by_epoch),
            Command::Closed { next_seq } => {
                let closed = self.owned.get(journal).and_then(|owned| owned.closed.as_ref());
                if let Some(closed) = closed {
                    answer(closed, next_seq);
                }
            }
            Command::WakeAt(at) => {
                if let Some(owned) = self.owned.get_mut(journal) {
                    owned.wake = Some(at);
                }
            }
        }
    }

    fn task<F>(
        &self,
        journal: &JournalId,
        task: impl FnOnce(Arc<Shared>, JournalId) -> F + Send + 'static,
    ) where
        F: Future<Output = (Event, Option<u64>)> + Send,
    {
        let (shared, journal) = (self.shared.clone(), journal.clone());
        self.shared.spawn(async move {
            let (event, version) = task(shared.clone(), journal.clone()).await;
            shared.control.tell(move |control| control.homes.ended_task(&journal, event, version));
        });
    }

    fn ended_task(&mut self, journal: &JournalId, event: Event, version: Option<u64>) {
        if let (Event::Stored { seq }, Some(version)) = (&event, version)
            && let Some(owned) = self.owned.get_mut(journal)
        {
            owned.versions.insert(*seq, version);
        }
        self.journal_event(journal, event);
    }

    fn copy(&self, journal: &JournalId, to: Member, entry: Arc<journal::Entry>) {
        let journal = journal.clone();
        self.shared.control.tell(move |control| {
            let Some(address) = control.address_of(&to) else {
                let failed = Event::CopyFailed { seq: entry.seq, backup: to };
                return control.homes.journal_event(&journal, failed);
            };
            control.homes.task(&journal, move |shared, _| async move {
                (journal_store::copy(&shared, &address, to, &entry).await, None)
            });
        });
    }

    /// Another host owns the journal: forget its programs, and send nothing more for them.
    fn fenced(&mut self, journal: &JournalId, by_epoch: u64) {
        let Some(owned) = self.owned.remove(journal) else { return };
        let about = About::default()
            .epoch(owned.journal.epoch())
            .with("journal", &**journal)
            .with("by_epoch", by_epoch);
        self.shared.events.note(Kind::JournalFenced, about);
        tell_all_gone(owned);
        if self.own.as_ref() == Some(journal) {
            self.own = None;
        }
        self.shared.control.tell(Control::announce_journals);
    }
}
