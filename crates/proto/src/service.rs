//! The tarpc service that each host offers to the other hosts.

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
    /// Creates, queries or ends a program at its home.
    async fn program(request: ProgramRequest) -> Result<(ProgramInfo, Vec<Message>), Refusal>;

    /// Starts a call at the program's home.
    async fn open_call(call: Call) -> Result<CallHandle, Refusal>;

    /// Waits for chunks of a call, starting at position `after` (inclusive). Repeating the request
    /// for the last batch returns the same batch, so a lost reply loses no chunks.
    async fn next_chunks(handle: CallHandle, after: u64) -> Result<ChunkBatch, Refusal>;

    /// Reports that no caller waits for the answer any more. The call still runs to its end.
    async fn close_call(handle: CallHandle);

    /// Waits for a slot at an upstream of a service whose dispatcher is this host.
    async fn acquire_slot(request: SlotRequest) -> Result<SlotGrant, Refusal>;

    /// Releases a slot.
    async fn release_slot(release: SlotRelease);

    /// Takes tokens from one half of a team's allowance.
    async fn take_tokens(take: TakeTokens) -> Taken;

    /// Delivers a message of the membership state machines. Both hosts exchange clock stamps, so
    /// that events are ordered across hosts.
    async fn member(message: membership::Message, stamp: Stamp) -> Stamp;

    /// Stores a copy of a journal entry. Returns `None` while this host has no lease.
    async fn copy_entry(request: CopyRequest) -> Option<CopyReply>;

    /// Requests that a backup accept the new owner of a journal. Returns `None` while this host has
    /// no lease.
    async fn claim_journal(request: ClaimRequest) -> Option<ClaimReply>;

    /// Drops copies of entries that are in the store.
    async fn discard_copies(request: DiscardRequest);

    /// Takes over a journal from a draining host. Returns whether the takeover was accepted.
    async fn take_journal(handover: Handover) -> bool;

    /// Returns a part of the configuration in force, with the manifest's object version, or 0 for a
    /// shard.
    async fn config_part(part: ConfigPart) -> Option<(u64, Vec<u8>)>;

    /// Returns those of the given programs that have ended or are unknown. Omits programs of
    /// journals that this host does not own.
    async fn ended_programs(programs: Vec<ProgramId>) -> Vec<ProgramId>;
}
