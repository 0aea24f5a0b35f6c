//! Logs, metrics and the event log of the daemon.

pub mod events;

pub use trefoilring_observe::{log, metrics};
