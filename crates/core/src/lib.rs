//! Scheduling decisions, without I/O.
//!
//! Every state machine in this crate receives the current time and an event, and returns commands.
//! Sockets, files, timers and clocks belong to the callers. Each decision can therefore be tested
//! in virtual time with a fixed seed, and the daemon runs the same code.

pub mod admission;
pub mod budget;
pub mod call;
pub mod catalog;
pub mod config_distribution;
pub mod crashes;
pub mod durations;
pub mod event;
pub mod hlc;
pub mod ids;
pub mod journal;
pub mod limit;
pub mod membership;
pub mod memory;
pub mod message;
pub mod peer_reach;
pub mod placement;
pub mod planned_stop;
pub mod program;
pub mod registrations;
pub mod rendezvous;
pub mod roster;
pub mod routing;
pub mod sched;
pub mod shares;
pub mod store_backoff;
pub mod stream_origins;
pub mod turns;
pub mod verdict;
pub mod wait;
pub mod watch_sharing;
