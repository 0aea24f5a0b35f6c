//! The daemon as a library.
//!
//! One thread runs [`control`], which owns every state machine of `trefoilring_core` and never
//! blocks on the network or the store. Traffic threads run connections, upstream calls and store
//! calls, and report the results to the control thread.

mod allowance;
mod backend;
mod call;
mod control;
mod host;
mod journal_store;
pub mod observe;
mod peer_server;
mod peers;
mod relay;
mod running_calls;
mod shared;
mod upstream;
mod withdrawals;

pub use host::{Host, HostError};
