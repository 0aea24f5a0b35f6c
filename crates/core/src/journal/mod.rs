//! The durable log of a home's programs: one owner at a time, without a lock service.

mod record;

pub use record::{Entry, Record, StepResult, Takeover};
