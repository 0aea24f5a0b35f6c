//! A budget for retries, so that failures don't multiply the load.

use {
    crate::ids::RequestId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Retries earned by each first try.
const TOKENS_PER_FIRST_TRY: f64 = 0.2;
/// Retries that may be saved up.
const MAX_TOKENS: f64 = 100.0;
/// A failure is remembered for this long.
const FAILURE_RETENTION: Duration = Duration::from_secs(60);

/// Tells retries from first tries and counts what is left of the budget.
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
    /// A request was sent and failed.
    pub(super) fn record_failure(&mut self, now: Instant, request: &RequestId) {
        self.failed.insert(request.clone(), now);
    }

    /// Whether a request may be tried; pays for it if it is a retry.
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

    /// Drops what is no longer remembered.
    pub(super) fn expire(&mut self, now: Instant) {
        self.failed.retain(|_, at| now.duration_since(*at) < FAILURE_RETENTION);
    }
}
