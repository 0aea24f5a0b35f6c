//! Decisions of the scheduler, without input or output.
//!
//! Every state machine in this crate takes the present time and an event and returns commands.
//! Sockets, files, timers and the clock belong to the callers, so that each decision can be
//! tested in virtual time with a fixed seed, and the same code runs in the daemon.

pub mod budget;
pub mod call;
pub mod catalog;
pub mod config_distribution;
pub mod event;
pub mod hlc;
pub mod ids;
pub mod journal;
pub mod limit;
pub mod membership;
pub mod message;
pub mod placement;
pub mod program;
pub mod rendezvous;
pub mod roster;
pub mod routing;
pub mod sched;
pub mod shares;
pub mod store_pace;
pub mod verdict;
pub mod wait;
