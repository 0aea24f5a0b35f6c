//! Decides where to send a repeatable request after an upstream broke off its answer.
//!
//! Load pattern: some upstreams alternate between down and up faster than the platform lists it,
//! and close each connection immediately while they are down. Others lose a few answers in a
//! hundred. A request may run at a bounded number of upstreams; upstreams that have ended don't
//! count. The request is therefore sent again to the same upstream first, which is healthy in most
//! cases. It moves to another upstream after so many breaks in a row that the first one must be
//! down.

/// Number of broken attempts after which an upstream counts as down. If one answer in ten is lost,
/// one request in 10,000 leaves an upstream that is up.
const ATTEMPTS_PER_UPSTREAM_MAX: u32 = 4;
/// Number of upstreams that may break off all attempts of a request before it is given up: the
/// request itself may crash them.
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
    /// Broken attempts at the current upstream.
    breaks_at_current: u32,
    /// Upstreams that the request has left.
    upstreams_left: u32,
}

impl BrokenAttempts {
    /// Records a broken attempt, and decides what to do next.
    pub fn on_break(&mut self) -> RetryDecision {
        self.breaks_at_current += 1;
        if self.breaks_at_current < ATTEMPTS_PER_UPSTREAM_MAX {
            return RetryDecision::SameUpstream;
        }
        self.upstreams_left += 1;
        self.breaks_at_current = 0;
        if self.upstreams_left < UPSTREAMS_MAX {
            RetryDecision::OtherUpstream
        } else {
            RetryDecision::GiveUp
        }
    }
}

#[cfg(test)]
mod tests;
