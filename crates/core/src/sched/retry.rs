//! Retry budget, so that failures don't multiply the load.

use {
    crate::ids::RequestId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Retry credits added for each first attempt; a retry costs one.
const CREDITS_PER_FIRST_ATTEMPT: f64 = 0.2;
/// Maximum number of saved credits.
const MAX_CREDITS: f64 = 100.0;
/// A retry is recognized for this long after the failure.
const FAILURE_RETENTION: Duration = Duration::from_secs(60);

/// Distinguishes retries from first attempts and tracks the remaining budget.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    credits: f64,
    failed: HashMap<RequestId, Instant>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credits: MAX_CREDITS, failed: HashMap::new() }
    }
}

impl RetryBudget {
    /// Records that a request was sent and failed.
    pub(super) fn record_failure(&mut self, now: Instant, request: &RequestId) {
        self.failed.insert(request.clone(), now);
    }

    /// Returns whether a request may be sent. A retry takes one credit from the budget.
    pub(super) fn admit(&mut self, request: &RequestId) -> bool {
        if !self.failed.contains_key(request) {
            self.credits = (self.credits + CREDITS_PER_FIRST_ATTEMPT).min(MAX_CREDITS);
            return true;
        }
        let has_credit = self.credits >= 1.0;
        if has_credit {
            self.credits -= 1.0;
            self.failed.remove(request);
        }
        has_credit
    }

    /// Removes failures older than [`FAILURE_RETENTION`].
    pub(super) fn expire(&mut self, now: Instant) {
        self.failed.retain(|_, at| now.duration_since(*at) < FAILURE_RETENTION);
    }
}
