//! Running the commands of journals, and feeding the answers back.

use {
    super::Owned,
    crate::{
        control::{
            Control,
            home::{Homes, answer, tell_all_gone},
        },
        journal_store,
        observe::events::About,
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
    /// Gives an event to a journal.
    pub(in crate::control) fn journal_event(&mut self, journal: &JournalId, event: Event) {
        let Some(owned) = self.owned.get_mut(journal) else { return };
        let commands = owned.journal.handle(Instant::now(), event);
        self.run_journal(journal, commands);
    }

    pub(super) fn tick_journals(&mut self, now: Instant) {
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
    pub(in crate::control) fn wake_at(&self) -> Option<Instant> {
        self.owned.values().filter_map(|owned| owned.wake).min()
    }

    pub(in crate::control) fn run_journal(&mut self, journal: &JournalId, commands: Vec<Command>) {
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
            Command::OutcomeUnknown { tokens } | Command::Dropped { tokens } => {
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
