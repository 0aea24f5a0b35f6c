//! What the daemon tells about itself: logs, metrics and the event log.

pub mod events;

pub use trefoilring_observe::{log, metrics};
