//! Spaces writes in time, and lets a few come at once after a pause.
//!
//! Method: the generic cell rate algorithm, ITU-T I.371. The store's rate is kept over a second or
//! so, while a journal with little to write never waits.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

/// The pace of one kind of write.
#[derive(Debug, Default)]
pub(super) struct Pace {
    /// When the next write would come if all were evenly spaced.
    even_at: Option<Instant>,
}

impl Pace {
    /// When the next write may come, if up to `burst` may come ahead of the even spacing.
    pub(super) fn next_at(&self, now: Instant, spacing: Duration, burst: u32) -> Instant {
        let Some(even_at) = self.even_at else { return now };
        let ahead = even_at.checked_sub(spacing * burst).unwrap_or(now);
        ahead.max(now)
    }

    /// Takes in a write.
    pub(super) fn wrote(&mut self, now: Instant, spacing: Duration) {
        let even_at = self.even_at.map_or(now, |at| at.max(now));
        self.even_at = Some(even_at + spacing);
    }
}
