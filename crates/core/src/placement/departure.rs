//! Decides how long an upstream that is about to stop may still get the streams that can go on nowhere
//! else.
//!
//! An upstream goes on serving for a while after it has reported to the platform's store that it is
//! about to stop, but may get no request later than that. A host learns of the report late, and often
//! from an answer before it sees the report. So it counts from the latest time at which the upstream
//! had certainly not reported yet, and from the first answer that said so, whichever is earlier.
//!
//! Some upstreams never report: their entry is removed, and they serve for as long. Such an upstream
//! is kept without an entry for that time.

use {
    super::{Placement, UpstreamKey, UpstreamRecord, upstream::Upstream},
    crate::ids::UpstreamId,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// How long upstreams serve after their report, unless the settings say otherwise.
pub(super) const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time before the end of that in which a request gets to the upstream.
const TRAVEL_TIME: Duration = Duration::from_millis(250);

/// An upstream's entry that is missing. What was known when it was first missed holds: a later listing
/// without the entry says nothing of when it was removed.
#[derive(Clone, Copy, Debug)]
struct MissingEntry {
    /// The entry was there until this time. `None` if nothing is known of that.
    listed_until: Option<Instant>,
}

/// When an upstream has begun to leave.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Departure {
    /// The upstream had not reported before this time. `None` if nothing is known of that.
    unreported_until: Option<Instant>,
    /// When an answer, or another host, first said that it leaves.
    said_at: Option<Instant>,
    /// `None` if the entry is there, or was never seen.
    missing: Option<MissingEntry>,
    /// Whether the upstream is no longer in use since its entry is gone. Invariant: it leaves, and its
    /// record says so.
    pub(super) is_delisted: bool,
}

impl Departure {
    fn on_report(&mut self, unreported_until: Option<Instant>) {
        self.unreported_until = self.unreported_until.max(unreported_until);
    }

    /// Records that the entry is there, which says that the upstream does not leave.
    pub(super) fn on_listed(&mut self) {
        self.missing = None;
        self.is_delisted = false;
    }

    /// Returns until when the upstream may get a request. `None` if nothing is known of that.
    fn ends_at(&self, drain_time: Duration) -> Option<Instant> {
        let unreported_until = self.unreported_until?;
        let since = self.said_at.map_or(unreported_until, |said_at| said_at.min(unreported_until));
        Some(since + drain_time.saturating_sub(TRAVEL_TIME))
    }

    fn is_over(&self, now: Instant, drain_time: Duration) -> bool {
        self.ends_at(drain_time).is_none_or(|ends_at| ends_at <= now)
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

    /// Records that an upstream's entry is missing, which was there until `listed_until`.
    pub fn record_missing(&mut self, id: &str, listed_until: Option<Instant>) {
        if let Some(key) = self.by_id.get(id) {
            let departure = &mut self.upstreams[*key].departure;
            departure.missing.get_or_insert(MissingEntry { listed_until });
        }
    }

    /// Takes an upstream out of use whose entry is gone. It is kept for as long as it may get streams
    /// that can go on nowhere else. Returns whether it was in use.
    pub fn delist(&mut self, now: Instant, id: &str) -> bool {
        let Some(key) = self.by_id.get(id) else { return false };
        let upstream = &mut self.upstreams[*key];
        if upstream.departure.is_delisted {
            return false;
        }
        if !upstream.is_leaving() {
            upstream.departure.unreported_until =
                upstream.departure.missing.and_then(|missing| missing.listed_until);
        }
        upstream.record.is_leaving = true;
        upstream.departure.is_delisted = true;
        self.remove_departed(now);
        true
    }

    /// Returns whether a stream of a version may go on at an upstream of the service.
    pub fn can_continue(&self, now: Instant, service: &str, version: &str) -> bool {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let mut upstreams = keys.iter().map(|key| &self.upstreams[*key]);
        upstreams.any(|upstream| {
            *upstream.record.version == *version
                && (!upstream.is_excluded() || upstream.serves_out(now, self.drain_time))
        })
    }

    /// Returns the upstreams of a service that leave and may still get a request, with how much longer.
    pub fn departing(&self, now: Instant, service: &str) -> Vec<(UpstreamRecord, Duration)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let upstreams = keys.iter().map(|key| &self.upstreams[*key]);
        let departing = upstreams.filter(|upstream| upstream.serves_out(now, self.drain_time));
        let with_time = departing.filter_map(|upstream| {
            let ends_at = upstream.departure.ends_at(self.drain_time)?;
            Some((upstream.record.clone(), ends_at.saturating_duration_since(now)))
        });
        with_time.collect()
    }

    /// Records an upstream that leaves, and that another host may send requests until `ends_at`. This host
    /// may know less of it: it has started later, or has not seen the entry for long. Returns whether the
    /// upstream is new.
    pub fn adopt_departing(
        &mut self,
        now: Instant,
        record: UpstreamRecord,
        ends_at: Instant,
    ) -> bool {
        let ends_at = ends_at.min(now + self.drain_time.saturating_sub(TRAVEL_TIME));
        let unreported_until = (ends_at + TRAVEL_TIME).checked_sub(self.drain_time);
        if let Some(key) = self.by_id.get(&record.id) {
            let known = &mut self.upstreams[*key];
            if known.is_leaving() && known.record.is_same_process(&record) {
                known.departure.on_report(unreported_until);
            }
            return false;
        }
        if ends_at <= now || self.records().any(|other| other.address == record.address) {
            return false;
        }
        self.upsert(UpstreamRecord { is_leaving: true, ..record.clone() });
        self.record_departure(&record.id, unreported_until);
        if let Some(key) = self.by_id.get(&record.id) {
            self.upstreams[*key].departure.is_delisted = true;
        }
        true
    }

    /// Returns when the next upstream without an entry no longer gets any request.
    pub fn next_departure(&self) -> Option<Instant> {
        let delisted = self.upstreams.values().filter(|upstream| upstream.departure.is_delisted);
        delisted.filter_map(|upstream| upstream.departure.ends_at(self.drain_time)).min()
    }

    /// Removes the upstreams without an entry that no longer get any request.
    pub fn remove_departed(&mut self, now: Instant) {
        let drain_time = self.drain_time;
        self.remove_delisted(|upstream| upstream.departure.is_over(now, drain_time));
    }

    /// Removes the upstreams without an entry whose address another process has now.
    pub(super) fn remove_replaced(&mut self, address: SocketAddr) {
        self.remove_delisted(|upstream| upstream.record.address == address);
    }

    fn remove_delisted(&mut self, condition: impl Fn(&Upstream) -> bool) {
        let delisted = self.upstreams.values().filter(|upstream| upstream.departure.is_delisted);
        let removed = delisted.filter(|upstream| condition(upstream));
        let removed: Vec<UpstreamId> = removed.map(|one| one.record.id.clone()).collect();
        removed.iter().for_each(|id| {
            self.remove(id);
        });
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
