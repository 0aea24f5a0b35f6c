//! Executes the commands issued by the journal state machines and feeds the results back as events.

use {
    super::JournalState,
    crate::{
        control::{
            Control,
            home::{Homes, refuse_all, send_reply},
        },
        journal_store,
        observe::events::EventFields,
        shared::Shared,
    },
    std::{sync::Arc, time::Instant},
    trefoilring_core::{
        event::Kind,
        ids::{JournalId, Member},
        journal::{self, Command, Event},
    },
};

impl Homes {
    /// Delivers an event to a journal.
    pub(in crate::control) fn on_journal_event(&mut self, journal: &JournalId, event: Event) {
        let Some(owned) = self.owned.get_mut(journal) else { return };
        let commands = owned.journal.handle(Instant::now(), event);
        self.execute_journal_commands(journal, commands);
    }

    pub(super) fn tick_journals(&mut self, now: Instant) {
        let is_due = |owned: &JournalState| owned.wake_at.is_some_and(|wake| wake <= now);
        let due = self.owned.iter_mut().filter(|(_, owned)| is_due(owned));
        let due: Vec<JournalId> = due
            .map(|(journal, owned)| {
                owned.wake_at = None;
                journal.clone()
            })
            .collect();
        due.iter().for_each(|journal| self.on_journal_event(journal, Event::Tick));
    }

    /// Returns when the next journal timer is due.
    pub(in crate::control) fn next_wake(&self) -> Option<Instant> {
        self.owned.values().filter_map(|owned| owned.wake_at).min()
    }

    pub(in crate::control) fn execute_journal_commands(
        &mut self,
        journal: &JournalId,
        commands: Vec<Command>,
    ) {
        for command in commands {
            self.run_command(journal, command);
        }
    }

    fn run_command(&mut self, journal: &JournalId, command: Command) {
        match command {
            Command::Write(entry) => self.spawn_task(journal, move |shared, _| async move {
                journal_store::write(&shared, &entry).await
            }),
            Command::Read { seq } => self.spawn_task(journal, move |shared, journal| async move {
                (journal_store::read(&shared, &journal, seq).await, None)
            }),
            Command::Delete { seq } => {
                let owned = self.owned.get_mut(journal);
                let version = owned.and_then(|owned| owned.versions.remove(&seq));
                self.spawn_task(journal, move |shared, journal| async move {
                    (journal_store::delete(&shared, &journal, seq, version).await, None)
                });
            }
            Command::Copy { to, entry } => self.send_copy(journal, to, entry),
            Command::Discard { to, epoch, seq } => {
                let journal = journal.clone();
                let discard = move |control: &mut Control| {
                    control.discard(&journal, &to, epoch, seq);
                };
                self.shared.control.submit(discard);
            }
            Command::Durable { tokens, by } => {
                if by == journal::DurableBy::Backups {
                    self.shared.metrics.count("journal.durable_by_backups", tokens.len() as i64);
                }
                tokens.into_iter().for_each(|token| self.on_durable(journal, token));
            }
            Command::Late { tokens } => {
                tokens.into_iter().for_each(|token| self.on_late(journal, token));
            }
            Command::OutcomeUnknown { tokens } | Command::Dropped { tokens } => {
                tokens.into_iter().for_each(|token| self.on_lost(journal, token));
            }
            Command::Fenced { by_epoch } => self.on_fenced(journal, by_epoch),
            Command::Closed { next_seq } => {
                let close_reply =
                    self.owned.get(journal).and_then(|owned| owned.close_reply.as_ref());
                if let Some(close_reply) = close_reply {
                    send_reply(close_reply, next_seq);
                }
            }
            Command::WakeAt(at) => {
                if let Some(owned) = self.owned.get_mut(journal) {
                    owned.wake_at = Some(at);
                }
            }
        }
    }

    fn spawn_task<F>(
        &self,
        journal: &JournalId,
        task: impl FnOnce(Arc<Shared>, JournalId) -> F + Send + 'static,
    ) where
        F: Future<Output = (Event, Option<u64>)> + Send,
    {
        let (shared, journal) = (self.shared.clone(), journal.clone());
        self.shared.spawn(async move {
            let (event, version) = task(shared.clone(), journal.clone()).await;
            shared
                .control
                .submit(move |control| control.homes.on_task_ended(&journal, event, version));
        });
    }

    fn on_task_ended(&mut self, journal: &JournalId, event: Event, version: Option<u64>) {
        if let (Event::Stored { seq }, Some(version)) = (&event, version)
            && let Some(owned) = self.owned.get_mut(journal)
        {
            owned.versions.insert(*seq, version);
        }
        self.on_journal_event(journal, event);
    }

    fn send_copy(&self, journal: &JournalId, to: Member, entry: Arc<journal::Entry>) {
        let journal = journal.clone();
        self.shared.control.submit(move |control| {
            let Some(address) = control.address_of(&to) else {
                let failed = Event::CopyFailed { seq: entry.seq, backup: to };
                return control.homes.on_journal_event(&journal, failed);
            };
            control.homes.spawn_task(&journal, move |shared, _| async move {
                (journal_store::copy(&shared, &address, to, &entry).await, None)
            });
        });
    }

    /// Called when another host has taken the journal over. Drops the journal's programs, so that
    /// no further calls are sent for them.
    fn on_fenced(&mut self, journal: &JournalId, by_epoch: u64) {
        let Some(owned) = self.owned.remove(journal) else { return };
        let fields = EventFields::default()
            .epoch(owned.journal.epoch())
            .with("journal", &**journal)
            .with("by_epoch", by_epoch);
        self.shared.events.record(Kind::JournalFenced, fields);
        refuse_all(owned);
        if self.own_journal.as_ref() == Some(journal) {
            self.own_journal = None;
        }
        self.shared.control.submit(Control::announce_journals);
    }
}
