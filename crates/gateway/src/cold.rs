//! Cold upstreams: what entries and other hosts say of them. The rules are in
//! `trefoilring_core::placement` (cold.rs).

use {
    crate::{gateway::Gateway, store::Revision},
    serde_json::json,
    std::time::{Duration, Instant},
    trefoilring_core::placement::{ColdEntry, LendOutcome, UpstreamRecord},
    trefoilring_observe::decisions::LineRate,
};

/// Applies an upstream's entry.
pub(crate) fn on_entry(gateway: &Gateway, upstream: &str, entry: ColdEntry) {
    let now = Instant::now();
    let mut placement = gateway.placement.borrow_mut();
    if placement.record_cold_entry(now, upstream, entry) {
        gateway.decisions.log(
            LineRate::Failure,
            "upstream_cold",
            json!({
                "upstream": upstream,
                "cold_left_ms": placement.cold_left(now, upstream).as_millis() as u64,
                "entry_ms": entry.left.as_millis() as u64,
                "is_new": entry.is_news,
                "revision": entry.revision,
            }),
        );
    }
}

/// Lends a token of a cold upstream's rate to another host, unless requests of this host wait for the
/// upstream's service.
pub(crate) fn lend(
    gateway: &Gateway,
    upstream: &str,
    left: Duration,
    revision: Revision,
) -> LendOutcome {
    let mut placement = gateway.placement.borrow_mut();
    let Some(service) = placement.service_of(upstream) else { return LendOutcome::NoToken };
    if gateway.wait_queues.borrow().has_waiting(&service) {
        return LendOutcome::NoToken;
    }
    placement.lend_cold_token(Instant::now(), upstream, left, revision)
}

/// Returns the upstreams with the time that they are still cold, for another host.
pub(crate) fn records(gateway: &Gateway) -> Vec<UpstreamRecord> {
    let (now, placement) = (Instant::now(), gateway.placement.borrow());
    let with_cold_time = |record: &UpstreamRecord| {
        let left = placement.cold_left(now, &record.id);
        UpstreamRecord { cold_left: Some(left).filter(|left| !left.is_zero()), ..record.clone() }
    };
    placement.records().map(with_cold_time).collect()
}
