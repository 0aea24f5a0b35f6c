//! Estimates how fast turns pass between hosts, and with it how many bytes to request at once and how
//! long a transfer should take.

use std::time::Duration;

/// Time that the transfer of a part should take. Long beside the round trip between two failure domains,
/// and short beside the time after which a silent host is given up: with a few transfers side by side,
/// each part waits for those of the others.
const PART_DURATION: Duration = Duration::from_millis(50);
const PART_BYTES_MIN: usize = 16 * 1024;
/// Maximum size of a part, which is also that of replies to hosts that name no size.
pub const PART_BYTES_MAX: usize = 1024 * 1024;
const PART_BYTES_INITIAL: usize = 64 * 1024;
/// Maximum factor by which one transfer changes the estimate.
const CHANGE_MAX: f64 = 2.0;

/// The rate of one transfer beside those that usually share the link with it.
#[derive(Clone, Copy, Debug)]
pub struct TransferRate {
    bytes_per_s: f64,
}

impl Default for TransferRate {
    fn default() -> Self {
        Self { bytes_per_s: PART_BYTES_INITIAL as f64 / PART_DURATION.as_secs_f64() }
    }
}

impl TransferRate {
    /// Returns the number of bytes to request at once.
    pub fn part_bytes(&self) -> usize {
        let bytes = self.bytes_per_s * PART_DURATION.as_secs_f64();
        (bytes as usize).clamp(PART_BYTES_MIN, PART_BYTES_MAX)
    }

    /// Returns how long a transfer should take.
    pub fn duration_of(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s)
    }

    /// Records how long a transfer took, from the request to the reply. Most of the time of a small one
    /// is the way and the other host's work, so that it can only raise the estimate.
    pub fn on_transfer(&mut self, bytes: usize, took: Duration) {
        let measured = bytes as f64 / took.as_secs_f64().max(f64::EPSILON);
        if bytes < self.part_bytes() / 2 && measured < self.bytes_per_s {
            return;
        }
        let known = self.bytes_per_s;
        self.bytes_per_s = measured.clamp(known / CHANGE_MAX, known * CHANGE_MAX);
    }
}
