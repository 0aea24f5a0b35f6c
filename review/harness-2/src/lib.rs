//! Stand-ins of the platform's store, of workers and of clients, for the cases of `review/6` to
//! `review/10`. They follow the users' page PROTOCOL and use the standard library alone.

pub mod client;
pub mod http;
pub mod json;
pub mod record;
pub mod site;
pub mod store;
pub mod turns;
pub mod worker;

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns a number that differs between runs.
pub fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

/// Returns the time of day in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Returns whether the disruption of a case is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
