//! Takes journals over: executes the commands of the takeover state machine and installs the
//! journal that results.

use {
    super::JournalState,
    crate::{
        control::{Control, home::current_moment},
        journal_store,
        observe::events::EventFields,
        shared::Shared,
    },
    std::{collections::BTreeMap, sync::Arc, time::Instant},
    trefoilring_core::{
        event::Kind,
        ids::{JournalId, Member},
        journal::{self, Command, Takeover, TakeoverCommand, TakeoverEvent},
        program::{self, Programs},
    },
    trefoilring_proto::DiscardRequest,
};

/// A journal that this host is taking over.
pub(crate) struct ActiveTakeover {
    takeover: Takeover,
    backups: Vec<Member>,
    pub(super) wake_at: Option<Instant>,
    is_own: bool,
}

impl Control {
    /// Starts a takeover. `handover_seq` is the first free position if the former owner hands the
    /// journal over. `is_own` is set for a new journal that this host opens for itself, which runs
    /// through the same steps.
    pub(crate) fn take_over(
        &mut self,
        now: Instant,
        journal: JournalId,
        handover_seq: Option<u64>,
        is_own: bool,
    ) {
        if self.journals.is_taking_over(&journal) || self.homes.owned.contains_key(&journal) {
            return;
        }
        let domain = self.shared.settings.domain.clone();
        let backups = self.membership.backups_for(&journal, &domain);
        let backups: Vec<Member> = backups.into_iter().map(|entry| entry.member.clone()).collect();
        let (spacing, burst_writes) = self.write_limits();
        let settings = journal::Settings { spacing, burst_writes, ..Default::default() };
        let me = self.shared.member.clone();
        let mut takeover =
            Takeover::new(settings, journal.clone(), me, backups.clone(), handover_seq);
        let commands = takeover.start();
        let active = ActiveTakeover { takeover, backups, wake_at: None, is_own };
        self.journals.takeovers.insert(journal.clone(), active);
        self.execute_takeover_commands(now, &journal, commands);
    }

    /// Delivers an event to a takeover.
    pub(super) fn on_takeover_event(&mut self, journal: &JournalId, event: TakeoverEvent) {
        let now = Instant::now();
        let Some(active) = self.journals.takeovers.get_mut(journal) else { return };
        let commands = active.takeover.handle(now, event);
        self.execute_takeover_commands(now, journal, commands);
    }

    fn execute_takeover_commands(
        &mut self,
        now: Instant,
        journal: &JournalId,
        commands: Vec<TakeoverCommand>,
    ) {
        for command in commands {
            match command {
                TakeoverCommand::ReadAfter { after } => {
                    self.takeover_task(journal, move |shared, journal| async move {
                        journal_store::read_after(&shared, &journal, after).await
                    });
                }
                TakeoverCommand::Claim { backup, by } => self.claim(journal, backup, by),
                TakeoverCommand::Journal(command) => {
                    self.run_takeover_journal_command(journal, command)
                }
                TakeoverCommand::Blocked => {
                    log::warn!(
                        "journal {journal}: takeover blocked, programs wait: no backup replied"
                    );
                }
                TakeoverCommand::Superseded { by_epoch } => {
                    log::info!(
                        "journal {journal}: taken over by another host under epoch {by_epoch}"
                    );
                    self.journals.takeovers.remove(journal);
                }
                TakeoverCommand::Done(result) => self.on_taken_over(now, journal, *result),
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
            shared.control.submit(move |control| control.on_takeover_event(&journal, event));
        });
    }

    fn claim(&mut self, journal: &JournalId, backup: Member, by: journal::Owner) {
        let Some(address) = self.address_of(&backup) else {
            let is_ended = self.has_ended(&backup);
            let journal = journal.clone();
            return self.shared.control.submit(move |control| {
                if is_ended {
                    let lost = TakeoverEvent::BackupLost { backup: backup.clone() };
                    control.on_takeover_event(&journal, lost);
                }
                // The takeover still expects a reply to its claim.
                control.on_takeover_event(&journal, TakeoverEvent::ClaimFailed { backup });
            });
        };
        self.takeover_task(journal, move |shared, journal| async move {
            journal_store::claim(&shared, &address, backup, journal, by).await
        });
    }

    /// Returns whether an incarnation of a host that is not in the view has certainly ended:
    /// another incarnation of the host is in the view, or this host's view is settled. A host that
    /// has just started may not have read every roster. It could treat a live backup as lost and
    /// ignore the copies that the backup holds.
    fn has_ended(&self, member: &Member) -> bool {
        self.membership.host(&member.host).is_some() || self.has_settled_view()
    }

    /// Returns the address of a member if that incarnation of the host is in the view.
    pub(super) fn address_of(&self, member: &Member) -> Option<String> {
        let entry = self.membership.host(&member.host)?;
        (entry.member == *member).then(|| entry.address.clone())
    }

    fn run_takeover_journal_command(&mut self, journal: &JournalId, command: Command) {
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
                if let Some(active) = self.journals.takeovers.get_mut(journal) {
                    active.wake_at = Some(at);
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
            | Command::OutcomeUnknown { .. }
            | Command::Dropped { .. }
            | Command::Fenced { .. }
            | Command::Closed { .. } => (),
        }
    }

    pub(super) fn discard(&self, journal: &JournalId, to: &Member, epoch: u64, seq: u64) {
        let Some(address) = self.address_of(to) else { return };
        let request = DiscardRequest { journal: journal.clone(), epoch, seq };
        let shared = self.shared.clone();
        self.shared.spawn(async move {
            journal_store::discard(&shared, &address, request).await;
        });
    }

    fn on_taken_over(
        &mut self,
        now: Instant,
        journal: &JournalId,
        result: journal::TakeoverResult,
    ) {
        let Some(active) = self.journals.takeovers.remove(journal) else { return };
        let journal::TakeoverResult { journal: machine, recovery } = result;
        let mut programs = Programs::new(program::Settings::default());
        for record in recovery.records() {
            programs.apply(current_moment(), record);
        }
        let fields = EventFields::default()
            .epoch(machine.epoch())
            .with("journal", &**journal)
            .with("programs", programs.live_count());
        if !active.is_own {
            self.shared.events.record(Kind::JournalTakenOver, fields);
            for program in programs.ids() {
                let fields = EventFields::for_program(program).epoch(machine.epoch());
                self.shared.events.record(Kind::ProgramAdopted, fields);
            }
        }
        let owned = JournalState {
            journal: machine,
            programs,
            pending: BTreeMap::new(),
            waiting: BTreeMap::new(),
            wake_at: Some(now),
            versions: BTreeMap::new(),
            backups: active.backups,
            close_reply: None,
            empty_since: None,
        };
        self.homes.owned.insert(journal.clone(), owned);
        if active.is_own {
            self.homes.own_journal = Some(journal.clone());
            self.journals.opened += 1;
        }
        self.announce_journals();
    }
}
