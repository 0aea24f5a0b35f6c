//! Spaces writes evenly and allows a burst after a pause.
//!
//! Uses the generic cell rate algorithm (ITU-T I.371). Writes stay within the store's rate when
//! averaged over `spacing * burst`, which is about a second with the host's settings. A journal
//! with few writes never waits.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

/// Paces one kind of write.
#[derive(Debug, Default)]
pub(super) struct Pacer {
    /// Theoretical arrival time of the next write: when it would start if all writes were evenly
    /// spaced.
    arrival_at: Option<Instant>,
}

impl Pacer {
    /// Returns when the next write may start. Up to `burst` writes may start ahead of the even
    /// spacing.
    pub(super) fn next_at(&self, now: Instant, spacing: Duration, burst: u32) -> Instant {
        let Some(arrival_at) = self.arrival_at else { return now };
        let earliest = arrival_at.checked_sub(spacing * burst).unwrap_or(now);
        earliest.max(now)
    }

    /// Applies a write that starts now.
    pub(super) fn on_write(&mut self, now: Instant, spacing: Duration) {
        let arrival_at = self.arrival_at.map_or(now, |at| at.max(now));
        self.arrival_at = Some(arrival_at + spacing);
    }
}
