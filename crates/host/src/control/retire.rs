//! Deletes journals that are no longer needed.
//!
//! Each time a host starts, it opens a new journal, and a successor takes the journal over when the
//! host is lost or leaves. The journal is deleted once its last program has been removed. Otherwise
//! journals would accumulate with each restart: in the store, in heartbeats, and in every listing
//! of journals.
//!
//! A former owner that resumes after a long pause could still create an entry at a deleted
//! position. It has no lease, so it sends no calls. The next listing finds the entry, and the
//! journal is deleted again.

use {
    crate::{control::Control, journal_store, shared::Shared},
    std::{sync::Arc, time::Instant},
    trefoilring_core::{ids::JournalId, journal::Event},
};

/// Time for which a journal must have had no programs before it is deleted, as a multiple of the
/// lease duration.
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
            if now.saturating_duration_since(since) >= wait && owned.close_reply.is_none() {
                retiring.push(journal.clone());
            }
        }
        retiring.into_iter().for_each(|journal| self.retire(journal));
    }

    fn retire(&mut self, journal: JournalId) {
        let Some(owned) = self.homes.owned.get_mut(&journal) else { return };
        let (closed_sender, closed_receiver) = smol::channel::bounded(1);
        owned.close_reply = Some(closed_sender);
        self.homes.on_journal_event(&journal, Event::Close);
        let shared = self.shared.clone();
        self.shared.spawn(async move {
            if closed_receiver.recv().await.is_ok() {
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
        // The next listing of journals finds the remaining entries, and the journal is taken over
        // again.
        Err(detail) => {
            log::info!("journal {journal} only partially deleted: {detail}");
            shared.control.submit(move |control| {
                control.homes.owned.remove(&journal);
                control.announce_journals();
            });
        }
    }
}
