//! Notices that this process was suspended, and may have missed an evacuation.
//!
//! Load pattern: a machine freezes for seconds, and what its callers sent meanwhile is processed
//! before the store's answers are read. Requests then wait until the evacuations were read anew, but
//! not for long: in an outage of the store the last known ones stay in force.

use std::time::{Duration, Instant};

/// Longest time between two ticks of a process that was not suspended. A host that was suspended for
/// less learns of an evacuation in time: the bound for all hosts is some seconds longer.
const TICK_GAP_MAX: Duration = Duration::from_secs(2);
/// Longest wait for an answer of the store, its reader, or another host. Longer than a watch that
/// fails.
const CONFIRM_TIME_MAX: Duration = Duration::from_millis(1500);

/// Whether the evacuations must be read anew before requests are sent.
#[derive(Debug, Default)]
pub struct PauseGuard {
    ticked_at: Option<Instant>,
    unconfirmed_since: Option<Instant>,
}

impl PauseGuard {
    /// Returns until when requests wait for the evacuations to be read anew, if they do, and whether
    /// that is new. Called at least every second, and before each request is sent.
    pub fn tick(&mut self, now: Instant) -> (Option<Instant>, bool) {
        let ticked_at = self.ticked_at.replace(now).unwrap_or(now);
        let was_suspended = now.saturating_duration_since(ticked_at) > TICK_GAP_MAX;
        if was_suspended {
            self.unconfirmed_since = Some(now);
        }
        let until = self.unconfirmed_since.map(|since| since + CONFIRM_TIME_MAX);
        let until = until.filter(|until| now < *until);
        if until.is_none() {
            self.unconfirmed_since = None;
        }
        (until, was_suspended)
    }

    /// Returns whether the evacuations must be read anew.
    pub fn is_unconfirmed(&self) -> bool {
        self.unconfirmed_since.is_some()
    }

    /// Records that the evacuations were read, by a call that was sent at `asked_at`. An answer to an
    /// earlier call may be from before the suspension. Returns whether requests need not wait any more.
    pub fn on_read(&mut self, asked_at: Instant) -> bool {
        self.unconfirmed_since.take_if(|since| asked_at >= *since).is_some()
    }
}
