//! Test doubles ("stand-ins") for the platform and for upstreams, with fault injection.
//!
//! A stand-in runs within the calling process on a port that the kernel assigns, or as a separate
//! process started from the binary `trefoil-standin`. Faults are injected through [`Control`] or
//! over HTTP by `POST /standin/faults`.

mod change_notifier;
pub mod cli;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod hosts;
pub mod objects;
mod request;
mod server;
pub mod tool;

pub use {
    faults::{Faults, HangPhase, Outage},
    server::{Control, RunningStandin, ServerOptions},
};
