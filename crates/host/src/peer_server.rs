//! Serves the requests of other hosts.

use {
    crate::{
        allowance, call,
        control::{Control, Reply},
        relay::POLL_WAIT,
        shared::Shared,
    },
    std::{sync::Arc, time::Instant},
    trefoilring_core::{
        call::{Call, ProgramInfo},
        hlc::Stamp,
        ids::ProgramId,
        journal::{ClaimReply, CopyReply},
        limit::Taken,
        membership,
        message::Message,
        sched::{SlotGrant, SlotRelease, SlotRequest},
        verdict::Refusal,
    },
    trefoilring_proto::{
        CallHandle, ChunkBatch, ClaimRequest, ConfigPart, Context, CopyRequest, DiscardRequest,
        Handover, Peer, ProgramRequest, TakeTokens,
    },
};

/// The server's end of one connection.
#[derive(Clone)]
pub(crate) struct PeerServer {
    shared: Arc<Shared>,
}

impl PeerServer {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Runs a job that replies at once. Returns `None` if this host is stopping.
    async fn request<T: Send + 'static>(
        &self,
        job: impl FnOnce(&mut Control, &Reply<T>) + Send + 'static,
    ) -> Option<T> {
        self.shared.control.request(move |control, reply| job(control, &reply)).await.ok()
    }
}

impl Peer for PeerServer {
    async fn program(
        self,
        _: Context,
        request: ProgramRequest,
    ) -> Result<(ProgramInfo, Vec<Message>), Refusal> {
        call::handle_program_request(&self.shared, request).await
    }

    async fn open_call(self, _: Context, call: Call) -> Result<CallHandle, Refusal> {
        let answer = call::start_local_call(&self.shared, call);
        Ok(self.shared.relays.insert(answer))
    }

    async fn next_chunks(
        self,
        _: Context,
        handle: CallHandle,
        after: u64,
    ) -> Result<ChunkBatch, Refusal> {
        let timeout = async {
            smol::Timer::after(POLL_WAIT).await;
        };
        self.shared.relays.next(handle, after, timeout).await
    }

    async fn close_call(self, _: Context, handle: CallHandle) {
        self.shared.relays.remove(handle);
    }

    async fn acquire_slot(self, _: Context, request: SlotRequest) -> Result<SlotGrant, Refusal> {
        call::acquire_local_slot(&self.shared, request).await
    }

    async fn release_slot(self, _: Context, release: SlotRelease) {
        self.shared.control.submit(move |control| {
            control.dispatchers.release(Instant::now(), release);
        });
    }

    async fn take_tokens(self, _: Context, take: TakeTokens) -> Taken {
        allowance::take_local(&self.shared, take).await
    }

    async fn member(self, _: Context, message: membership::Message, stamp: Stamp) -> Stamp {
        self.shared.events.observe(stamp);
        self.shared.control.submit(move |control| control.on_member_message(message));
        self.shared.events.stamp()
    }

    async fn copy_entry(self, _: Context, request: CopyRequest) -> Option<CopyReply> {
        if !self.shared.lease.holds() {
            return None;
        }
        self.request(move |control, reply| {
            let copied = control.backup.copy(&request.to, request.entry);
            let _ = reply.try_send(copied);
        })
        .await
    }

    async fn claim_journal(self, _: Context, request: ClaimRequest) -> Option<ClaimReply> {
        if !self.shared.lease.holds() {
            return None;
        }
        self.request(move |control, reply| {
            let claimed = control.backup.claim(&request.to, &request.journal, &request.by);
            let _ = reply.try_send(claimed);
        })
        .await
    }

    async fn discard_copies(self, _: Context, request: DiscardRequest) {
        self.shared.control.submit(move |control| {
            control.backup.discard(&request.journal, request.epoch, request.seq);
        });
    }

    async fn take_journal(self, _: Context, handover: Handover) -> bool {
        let take = move |control: &mut Control, reply: &Reply<bool>| {
            control.accept_handover(handover, reply);
        };
        self.request(take).await.unwrap_or_default()
    }

    async fn ended_programs(self, _: Context, programs: Vec<ProgramId>) -> Vec<ProgramId> {
        let ended = move |control: &mut Control, reply: &Reply<Vec<ProgramId>>| {
            let _ = reply.try_send(control.homes.ended(programs));
        };
        self.request(ended).await.unwrap_or_default()
    }

    async fn config_part(self, _: Context, part: ConfigPart) -> Option<(u64, Vec<u8>)> {
        self.request(move |control, reply| control.config_part(&part, reply)).await?
    }
}
