//! Hands journals over during a drain.

use {
    crate::{
        control::{
            Control, Reply,
            home::{refuse_all, send_reply},
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

/// Maximum number of attempts to hand a closed journal over. Each attempt looks up the successor
/// again.
const MAX_HANDOVER_ATTEMPTS: u32 = 10;
/// Pause between two attempts.
const HANDOVER_RETRY_PAUSE: Duration = Duration::from_millis(200);

impl Control {
    /// Writes all journals to the store, hands them to their successors, and leaves the roster. The
    /// reply is sent once the roster shows that this host has left.
    pub(crate) fn hand_over(&mut self, reply: Reply<()>) {
        let now = Instant::now();
        let commands = self.membership.handle(now, membership::Event::Drain);
        self.execute_membership_commands(commands);
        let mut closing = Vec::new();
        let journals: Vec<JournalId> = self.homes.owned.keys().cloned().collect();
        for journal in journals {
            let Some(owned) = self.homes.owned.get_mut(&journal) else { continue };
            if owned.close_reply.is_some() {
                // Already being closed for deletion by `retire`.
                continue;
            }
            let (closed_sender, closed_receiver) = smol::channel::bounded(1);
            owned.close_reply = Some(closed_sender);
            closing.push((journal.clone(), closed_receiver));
            self.homes.on_journal_event(&journal, Event::Close);
        }
        let shared = self.shared.clone();
        self.shared.spawn(async move {
            let handovers: Vec<smol::Task<()>> = closing
                .into_iter()
                .map(|(journal, closed_receiver)| {
                    let task_shared = shared.clone();
                    shared.executor.spawn(async move {
                        if let Ok(next_seq) = closed_receiver.recv().await {
                            hand_over_journal(task_shared, journal, next_seq).await;
                        }
                    })
                })
                .collect();
            for handover in handovers {
                handover.await;
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
        self.execute_membership_commands(commands);
        self.leave_reply = Some(reply.clone());
    }

    /// Returns the host that should take a journal over, unless it is this host.
    pub(crate) fn successor(&self, journal: &JournalId) -> Option<(HostId, String)> {
        let entry = self.membership.successor_of(journal)?;
        let is_other = entry.member.host != self.shared.member.host;
        is_other.then(|| (entry.member.host.clone(), entry.address.clone()))
    }
}

/// Hands a closed journal over to its successor. If no host accepts it, the successor finds the
/// journal once this host has left, which takes longer.
async fn hand_over_journal(shared: Arc<Shared>, journal: JournalId, next_seq: u64) {
    for _ in 0..MAX_HANDOVER_ATTEMPTS {
        let Some((host, address)) = find_successor(&shared, &journal).await else { break };
        if send_handover(&shared, &address, &journal, next_seq).await {
            return log::info!("journal {journal} handed over to {host}");
        }
        smol::Timer::after(HANDOVER_RETRY_PAUSE).await;
    }
    log::info!("journal {journal}: no successor accepted it");
}

async fn find_successor(shared: &Shared, journal: &JournalId) -> Option<(HostId, String)> {
    let journal_id = journal.clone();
    let find = move |control: &mut Control, reply: Reply<_>| {
        send_reply(&reply, control.successor(&journal_id));
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
