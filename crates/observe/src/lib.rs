//! Observability of a host: logs, decision lines and metrics.

pub mod decisions;
pub mod log;
pub mod metrics;
mod rate;
