//! Durations in messages and records of other hosts.

use {
    serde::{Deserialize, Deserializer, de::Error},
    std::time::Duration,
};

/// Longest duration that another host may name. Adding it to an `Instant` or to another duration
/// can't overflow, and nothing here is kept for longer.
pub const DURATION_MAX: Duration = Duration::from_secs(30 * 24 * 60 * 60);

/// Deserializes a duration of at most [`DURATION_MAX`].
///
/// # Errors
///
/// Fails if the duration is longer.
pub fn bounded<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let duration = Duration::deserialize(deserializer)?;
    if duration > DURATION_MAX {
        return Err(D::Error::custom(format!("{duration:?} is longer than {DURATION_MAX:?}")));
    }
    Ok(duration)
}
