//! Small stand-ins for the platform and for upstreams, with fault switches.
//!
//! Each runs in the caller's process on a port from the kernel, or as a process of its own by the
//! program `trefoil-standin`. Faults are switched through [`Control`], or over HTTP by
//! `POST /standin/faults`.

pub mod cli;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod hosts;
pub mod objects;
mod request;
mod server;
mod signal;
pub mod tool;

pub use {
    faults::{Down, Faults, Hang},
    server::{Control, Running, ServerOptions},
};
