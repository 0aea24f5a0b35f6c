//! Limits how long a host holds requests that wait for an allowance token or for a slot of a full
//! service.
//!
//! Load pattern: a short peak above the allowance or the capacity. A refused caller retries only
//! after the peak is over, and a program that is refused twice has wasted its previous work.

use std::time::{Duration, Instant};

/// Maximum time for which a request of an active program is held. A refusal would end the program
/// and waste the tokens it has used. A program with several waits of this length still ends within
/// twice its target.
pub const ACTIVE_PROGRAM_WAIT_MAX: Duration = Duration::from_millis(500);
/// Maximum fraction of a request's remaining time for which it is held.
const TIME_LEFT_SHARE_MAX: f64 = 0.3;

/// Returns the end of a request's wait, given its deadline and the maximum wait.
pub fn expires_at(now: Instant, deadline: Instant, max: Duration) -> Instant {
    now + deadline.saturating_duration_since(now).mul_f64(TIME_LEFT_SHARE_MAX).min(max)
}
