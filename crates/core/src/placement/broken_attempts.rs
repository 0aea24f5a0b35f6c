//! Decides where to send a repeatable request after an upstream closed the connection before its
//! answer was complete (a broken attempt).
//!
//! Load pattern: some upstreams alternate between down and up faster than the platform's list is
//! updated, and close each connection immediately while they are down. Others break a few percent
//! of their answers. A request may run at a bounded number of upstreams, not counting upstreams
//! that have stopped. The request is therefore sent to the same upstream again first, which is
//! healthy in most cases. It moves to another upstream after several consecutive broken attempts,
//! when the first upstream is most likely down.

/// Number of consecutive broken attempts after which the request treats an upstream as down. If one
/// answer in ten is broken, one request in 10,000 leaves an upstream that is up.
const ATTEMPTS_PER_UPSTREAM_MAX: u32 = 4;
/// Number of upstreams at which all attempts may break before the request is refused: the request
/// itself may crash the upstreams.
const UPSTREAMS_MAX: u32 = 2;

/// What to do after a broken attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send the request to the same upstream again.
    SameUpstream,
    /// Send the request to another upstream.
    OtherUpstream,
    /// Refuse the request.
    GiveUp,
}

/// Counts the broken attempts of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct BrokenAttempts {
    /// Consecutive broken attempts at the current upstream.
    breaks_at_current: u32,
    /// Upstreams at which all attempts broke.
    upstreams_abandoned: u32,
}

impl BrokenAttempts {
    /// Records a broken attempt, and decides what to do next.
    pub fn on_break(&mut self) -> RetryDecision {
        self.breaks_at_current += 1;
        if self.breaks_at_current < ATTEMPTS_PER_UPSTREAM_MAX {
            return RetryDecision::SameUpstream;
        }
        self.upstreams_abandoned += 1;
        self.breaks_at_current = 0;
        if self.upstreams_abandoned < UPSTREAMS_MAX {
            RetryDecision::OtherUpstream
        } else {
            RetryDecision::GiveUp
        }
    }
}

#[cfg(test)]
mod tests;
