//! Decides how long an upstream that is about to stop may still get the streams that can go on nowhere
//! else.
//!
//! An upstream goes on serving for a while after it has reported to the platform's store that it is
//! about to stop, but may get no request later than that. A host learns of the report late, and often
//! from an answer before it sees the report. So it counts from the latest time at which the upstream
//! had certainly not reported yet, and from the first answer that said so, whichever is earlier.

use {
    super::{Placement, UpstreamKey, upstream::Upstream},
    std::time::{Duration, Instant},
};

/// How long upstreams serve after their report, unless the settings say otherwise.
pub(super) const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time before the end of that in which a request gets to the upstream.
const TRAVEL_TIME: Duration = Duration::from_millis(250);

/// When an upstream has begun to leave.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Departure {
    /// The upstream had not reported before this time. `None` if nothing is known of that.
    unreported_until: Option<Instant>,
    /// When an answer, or another host, first said that it leaves.
    said_at: Option<Instant>,
}

impl Departure {
    fn on_report(&mut self, unreported_until: Option<Instant>) {
        self.unreported_until = self.unreported_until.max(unreported_until);
    }

    fn is_over(&self, now: Instant, drain_time: Duration) -> bool {
        let Some(unreported_until) = self.unreported_until else { return true };
        let since = self.said_at.map_or(unreported_until, |said_at| said_at.min(unreported_until));
        now.saturating_duration_since(since) + TRAVEL_TIME >= drain_time
    }
}

impl Placement {
    /// Sets how long upstreams serve after they have reported that they are about to stop.
    pub fn set_drain_time(&mut self, drain_time: Duration) {
        self.drain_time = drain_time;
    }

    /// Records that an upstream's entry has begun to say that it is about to stop. It had not said so
    /// before `unreported_until`.
    pub fn record_departure(&mut self, id: &str, unreported_until: Option<Instant>) {
        if let Some(key) = self.by_id.get(id) {
            self.upstreams[*key].departure.on_report(unreported_until);
        }
    }

    /// Records that an upstream has said in an answer that it is about to stop. This holds until it
    /// starts again, which gives it another key. Its entry did not say so before
    /// `unreported_until`. Returns whether it is new.
    pub fn record_leaving(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        unreported_until: Option<Instant>,
    ) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else { return false };
        if upstream.says_leaving() {
            return false;
        }
        if !upstream.record.is_leaving {
            upstream.departure.on_report(unreported_until);
        }
        upstream.departure.said_at = Some(now);
        true
    }

    /// Returns whether an upstream gets no new requests but may still get a stream that can go on
    /// nowhere else.
    pub fn serves_out(&self, now: Instant, key: UpstreamKey) -> bool {
        self.upstreams.get(key).is_some_and(|upstream| upstream.serves_out(now, self.drain_time))
    }
}

impl Upstream {
    /// Returns whether the process has said in an answer that it is about to stop.
    pub(super) fn says_leaving(&self) -> bool {
        self.departure.said_at.is_some()
    }

    /// Returns whether the upstream leaves, but still serves for long enough to get a request.
    pub(super) fn serves_out(&self, now: Instant, drain_time: Duration) -> bool {
        self.is_leaving() && !self.is_evacuated && !self.departure.is_over(now, drain_time)
    }
}
