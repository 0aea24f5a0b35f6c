//! What a daemon tells about itself: logs for people, one line for each decision, and metrics.

pub mod decisions;
pub mod log;
pub mod metrics;
