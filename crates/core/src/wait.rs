//! Limits how long a host holds requests that wait for an allowance token or for a slot of a full
//! service.
//!
//! Load pattern: demand exceeds the allowance or the capacity for a short time. Holding a request
//! bridges the peak. A refused caller would retry later than the peak lasts, and a program that is
//! refused twice has wasted the work that it did before.

use std::time::{Duration, Instant};

/// Maximum time for which a request of an active program is held. Long, because a refusal can end
/// the program and waste the tokens it has used. A program that waits this long several times can
/// still end within twice its target.
pub const ACTIVE_PROGRAM_WAIT_MAX: Duration = Duration::from_millis(500);
/// A request is held for at most this fraction of the time left until its deadline.
const TIME_LEFT_FRACTION_MAX: f64 = 0.3;

/// Returns until when a request is held, given its deadline and the maximum wait.
pub fn expires_at(now: Instant, deadline: Instant, max: Duration) -> Instant {
    now + deadline.saturating_duration_since(now).mul_f64(TIME_LEFT_FRACTION_MAX).min(max)
}
