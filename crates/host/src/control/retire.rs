//! Deletes journals that are no longer needed.
//!
//! Every start of a host opens a journal, and a successor takes it over when the host is lost or
//! leaves. The journal is deleted once its last program has been removed. Otherwise journals would
//! accumulate with each restart: in the store, in heartbeats, and in every list of journals.
//!
//! A former owner that was paused all that time could still create an entry at a deleted position.
//! It has no lease, so it sends no calls. The next list finds the entry, and the journal is deleted
//! again.

use {
    crate::{control::Control, journal_store, shared::Shared},
    std::{sync::Arc, time::Instant},
    trefoilring_core::{ids::JournalId, journal::Event},
};

/// Time for which a journal must have had no programs before it is deleted, in leases.
const RETIRE_AFTER_LEASES: u32 = 12;

impl Control {
    /// Closes and deletes journals that have had no programs for long enough.
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
        // The next list of journals finds the remaining entries, and the journal is taken over
        // again.
        Err(detail) => {
            log::info!("journal {journal}: deleted only in part: {detail}");
            shared.control.submit(move |control| {
                control.homes.owned.remove(&journal);
                control.announce_journals();
            });
        }
    }
}
