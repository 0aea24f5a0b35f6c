//! How long requests are held at a host for what may come soon: an allowance token, a place at a full service.
//!
//! Load pattern: a short peak over what is allowed or can be done. A caller that is refused comes back later than
//! the peak lasts, and a program that is refused twice has wasted what it did before.

use std::time::{Duration, Instant};

/// How long a request of a program under way is held at most: a refusal would end the program, and waste the
/// tokens that it has used. Some waits of this length still leave a program within twice its target.
pub const UNDER_WAY_MAX: Duration = Duration::from_millis(500);
/// Part of the time that a request has left for which it is held at most.
const SHARE_MAX: f64 = 0.3;

/// Returns until when a request is held that may be held for `max`.
pub fn gives_up_at(now: Instant, deadline: Instant, max: Duration) -> Instant {
    now + deadline.saturating_duration_since(now).mul_f64(SHARE_MAX).min(max)
}
