//! Hands journals over in a planned stop.

use {
    crate::{
        control::{
            Control, Reply,
            home::{answer, refuse_all},
        },
        shared::Shared,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{HostId, JournalId},
        journal::Event,
        membership,
    },
    trefoilring_proto::{Handover, PeerClient},
};

/// Maximum number of offers of a closed journal. Each goes to the current successor.
const MAX_OFFERS: u32 = 10;
/// Pause between two offers.
const OFFER_PAUSE: Duration = Duration::from_millis(200);

impl Control {
    /// Writes all journals to the store and hands them to their successors. The reply is sent when
    /// that is done.
    pub(crate) fn hand_over(&mut self, reply: Reply<()>) {
        let now = Instant::now();
        let commands = self.membership.handle(now, membership::Event::Drain);
        self.run_membership(commands);
        let mut waits = Vec::new();
        let journals: Vec<JournalId> = self.homes.owned.keys().cloned().collect();
        for journal in journals {
            let Some(owned) = self.homes.owned.get_mut(&journal) else { continue };
            if owned.closed.is_some() {
                // The journal is being deleted.
                continue;
            }
            let (closed, wait) = smol::channel::bounded(1);
            owned.closed = Some(closed);
            waits.push((journal.clone(), wait));
            self.homes.journal_event(&journal, Event::Close);
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
            shared.control.submit(move |control| control.leave(&reply));
        });
    }

    /// Removes this host from the roster.
    fn leave(&mut self, reply: &Reply<()>) {
        let owned = std::mem::take(&mut self.homes.owned);
        owned.into_values().for_each(refuse_all);
        self.announce_journals();
        let leave = membership::Event::Leave;
        let commands = self.membership.handle(Instant::now(), leave);
        self.run_membership(commands);
        self.leave_reply = Some(reply.clone());
    }

    /// Returns the host that should take a journal over, unless it is this host.
    pub(crate) fn successor(&self, journal: &JournalId) -> Option<(HostId, String)> {
        let entry = self.membership.successor_of(journal)?;
        let is_other = entry.member.host != self.shared.member.host;
        is_other.then(|| (entry.member.host.clone(), entry.address.clone()))
    }
}

/// Offers a closed journal to its successor. If no host accepts it, the successor finds the journal
/// once this host has left, which takes longer.
async fn offer(shared: Arc<Shared>, journal: JournalId, next_seq: u64) {
    for _ in 0..MAX_OFFERS {
        let Some((host, address)) = find_successor(&shared, &journal).await else { break };
        if send_handover(&shared, &address, &journal, next_seq).await {
            return log::info!("journal {journal} handed over to {host}");
        }
        smol::Timer::after(OFFER_PAUSE).await;
    }
    log::info!("journal {journal}: no successor accepted it");
}

async fn find_successor(shared: &Shared, journal: &JournalId) -> Option<(HostId, String)> {
    let journal_id = journal.clone();
    let find = move |control: &mut Control, reply: Reply<_>| {
        answer(&reply, control.successor(&journal_id));
    };
    shared.control.request(find).await.ok()?
}

async fn send_handover(shared: &Shared, address: &str, journal: &JournalId, next_seq: u64) -> bool {
    let Ok(address) = address.parse() else { return false };
    let link = shared.peers.link(address);
    let handover = Handover { journal: journal.clone(), next_seq };
    let send =
        |client: PeerClient, context| async move { client.take_journal(context, handover).await };
    link.call(Duration::from_secs(2), send).await.unwrap_or_default()
}
