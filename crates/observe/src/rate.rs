//! Limits how many lines of a kind are logged.

use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

/// Period over which lines are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Rate limits by kind of line.
#[derive(Debug)]
pub(crate) struct RateLimits<K>(HashMap<K, RateLimit>);

/// Limits the rate of one kind of line.
#[derive(Debug)]
struct RateLimit {
    window_start: Instant,
    lines: u32,
    /// Lines suppressed since the last admitted one.
    suppressed: u64,
}

impl<K> Default for RateLimits<K> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<K: Eq + Hash> RateLimits<K> {
    /// Applies the rate limit to one line. Returns the number of lines of the kind suppressed since the
    /// last admitted one, or `None` if this line is suppressed too.
    pub(crate) fn admit(&mut self, now: Instant, kind: K, lines_per_s: u32) -> Option<u64> {
        let new_limit = RateLimit { window_start: now, lines: 0, suppressed: 0 };
        let limit = self.0.entry(kind).or_insert(new_limit);
        if now.duration_since(limit.window_start) >= RATE_WINDOW {
            limit.window_start = now;
            limit.lines = 0;
        }
        if limit.lines >= lines_per_s {
            limit.suppressed += 1;
            return None;
        }
        limit.lines += 1;
        Some(std::mem::take(&mut limit.suppressed))
    }
}

#[cfg(test)]
mod tests;
