//! Retry budget, so that failures don't multiply the load.

use {
    crate::ids::RequestId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Tokens added for each first try; a retry costs one.
const TOKENS_PER_FIRST_TRY: f64 = 0.2;
/// Maximum number of saved tokens.
const MAX_TOKENS: f64 = 100.0;
/// A retry is recognized for this long after the failure.
const FAILURE_RETENTION: Duration = Duration::from_secs(60);

/// Distinguishes retries from first tries and tracks the remaining budget.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
    failed: HashMap<RequestId, Instant>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS, failed: HashMap::new() }
    }
}

impl RetryBudget {
    /// Records that a request was sent and failed.
    pub(super) fn record_failure(&mut self, now: Instant, request: &RequestId) {
        self.failed.insert(request.clone(), now);
    }

    /// Returns whether a request may be sent. A retry takes one token from the budget.
    pub(super) fn admit(&mut self, request: &RequestId) -> bool {
        if !self.failed.contains_key(request) {
            self.tokens = (self.tokens + TOKENS_PER_FIRST_TRY).min(MAX_TOKENS);
            return true;
        }
        let is_covered = self.tokens >= 1.0;
        if is_covered {
            self.tokens -= 1.0;
            self.failed.remove(request);
        }
        is_covered
    }

    /// Removes failures older than [`FAILURE_RETENTION`].
    pub(super) fn expire(&mut self, now: Instant) {
        self.failed.retain(|_, at| now.duration_since(*at) < FAILURE_RETENTION);
    }
}
