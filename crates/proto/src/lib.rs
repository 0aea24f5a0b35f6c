//! The tarpc service that hosts offer each other, and its connections over smol.
//!
//! tarpc needs a tokio timer for its deadlines. `async_compat` provides one without a second
//! executor, at the cost of one thread per process. Measurements of this cost are in
//! `docs/decisions/0009-tarpc-on-smol.md`.

mod codec;
mod connection;
mod frames;
mod message;
mod service;

pub use {
    connection::{Link, LinkError, accept},
    frames::FrameMemory,
    message::{
        CallHandle, ChunkBatch, ClaimRequest, ConfigPart, CopyRequest, DiscardRequest, Handover,
        ProgramRequest, TakeTokens,
    },
    service::{Peer, PeerClient, PeerRequest, PeerResponse},
    tarpc::context::Context,
};
