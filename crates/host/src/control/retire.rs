//! Deleting journals that are of no more use.
//!
//! Every start of a host opens a journal, and its successor takes it over when the host goes. Once
//! the last of its programs is forgotten it is deleted, or journals would pile up with each restart:
//! in the store, in heartbeats, and in every list of the journals.
//!
//! A former owner that was paused all that time could still create an entry at a deleted position.
//! It has no lease, so it sends nothing; the entry is found by the next list, and deleted again.

use {
    crate::{control::Control, journal_store, shared::Shared},
    std::{sync::Arc, time::Instant},
    trefoilring_core::{ids::JournalId, journal::Event},
};

/// Leases for which a journal must have been without programs.
const RETIRE_AFTER_LEASES: u32 = 12;

impl Control {
    /// Closes journals that have long been without programs, and deletes them.
    pub(super) fn retire_journals(&mut self, now: Instant) {
        if !self.membership.may_act(now) || !self.membership.is_store_up() {
            return;
        }
        let wait = self.shared.settings.lease * RETIRE_AFTER_LEASES;
        let own = self.homes.own_journal.clone();
        let mut retiring = Vec::new();
        for (journal, owned) in &mut self.homes.owned {
            if own.as_ref() == Some(journal) || !owned.is_empty() {
                owned.empty_since = None;
                continue;
            }
            let since = *owned.empty_since.get_or_insert(now);
            if now.saturating_duration_since(since) >= wait && owned.closed.is_none() {
                retiring.push(journal.clone());
            }
        }
        retiring.into_iter().for_each(|journal| self.retire(journal));
    }

    fn retire(&mut self, journal: JournalId) {
        let Some(owned) = self.homes.owned.get_mut(&journal) else { return };
        let (closed, wait) = smol::channel::bounded(1);
        owned.closed = Some(closed);
        self.homes.journal_event(&journal, Event::Close);
        let shared = self.shared.clone();
        self.shared.spawn(async move {
            if wait.recv().await.is_ok() {
                delete(&shared, journal).await;
            }
        });
    }

    fn on_retired(&mut self, journal: &JournalId) {
        self.homes.owned.remove(journal);
        self.journals.mark_absent(journal, Instant::now());
        self.sweeper.remove_journal(journal);
        self.announce_journals();
        self.shared.metrics.count("journal.retired", 1);
    }
}

async fn delete(shared: &Arc<Shared>, journal: JournalId) {
    match journal_store::delete_all(shared, &journal).await {
        Ok(()) => shared.control.submit(move |control| control.on_retired(&journal)),
        // What is left is found by the next list of journals, and taken over.
        Err(detail) => {
            log::info!("journal {journal}: not all deleted: {detail}");
            shared.control.submit(move |control| {
                control.homes.owned.remove(&journal);
                control.announce_journals();
            });
        }
    }
}
