//! What a host offers to other hosts.

use {
    crate::message::{
        CallHandle, ChunkBatch, ClaimRequest, ConfigPart, CopyRequest, DiscardRequest, Handover,
        ProgramRequest, TakeTokens,
    },
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
};

/// Calls between hosts. Each carries a deadline in its context.
#[tarpc::service]
pub trait Peer {
    /// Asks the home about a program, or for a new one.
    async fn program(request: ProgramRequest) -> Result<(ProgramInfo, Vec<Message>), Refusal>;

    /// Starts a call at the program's home.
    async fn open_call(call: Call) -> Result<CallHandle, Refusal>;

    /// Waits for chunks of a call from position `after` on. Asking again for the last batch
    /// returns it again, so that a lost reply loses nothing.
    async fn next_chunks(handle: CallHandle, after: u64) -> Result<ChunkBatch, Refusal>;

    /// Says that nobody waits for the answer any more. The call still ends.
    async fn close_call(handle: CallHandle);

    /// Waits for a slot at an upstream of a service whose dispatcher the host is.
    async fn acquire_slot(request: SlotRequest) -> Result<SlotGrant, Refusal>;

    /// Gives a slot back.
    async fn release_slot(release: SlotRelease);

    /// Takes tokens from a half of a team's allowance.
    async fn take_tokens(take: TakeTokens) -> Taken;

    /// Passes a message of the membership machines. The stamps order events over all hosts.
    async fn member(message: membership::Message, stamp: Stamp) -> Stamp;

    /// Holds a copy of a journal's entry; no reply while this host has no lease.
    async fn copy_entry(request: CopyRequest) -> Option<CopyReply>;

    /// Claims a journal for a successor; no reply while this host has no lease.
    async fn claim_journal(request: ClaimRequest) -> Option<ClaimReply>;

    /// Drops copies that are in the store.
    async fn discard_copies(request: DiscardRequest);

    /// Takes over a journal from a host that stops as planned. Returns whether it was taken on.
    async fn take_journal(handover: Handover) -> bool;

    /// Gives a part of the configuration in force, with the manifest's object version.
    async fn config_part(part: ConfigPart) -> Option<(u64, Vec<u8>)>;

    /// Says which of these programs are not alive at this host, their home.
    async fn ended_programs(programs: Vec<ProgramId>) -> Vec<ProgramId>;
}
