//! What the daemon tells about itself: logs, metrics and the event log.

pub mod events;
pub mod log;
pub mod metrics;
