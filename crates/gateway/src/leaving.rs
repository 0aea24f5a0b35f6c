//! Upstreams that say in their answers that they are about to stop. The first host that is told tells
//! the others, which may not see the store.

use {
    crate::{
        gateway::Gateway,
        peers::{self, PeerRequest},
        store::Collection,
    },
    serde_json::json,
    std::{rc::Rc, time::Instant},
    trefoilring_core::{
        ids::{Incarnation, UpstreamId},
        placement::UpstreamKey,
    },
    trefoilring_observe::decisions::LineRate,
};

/// Records an answer in which an upstream says that it is about to stop.
pub(crate) fn on_answer(gateway: &Rc<Gateway>, key: UpstreamKey) {
    let Some((upstream, incarnation)) = record(gateway, key, "answer") else { return };
    peers::announce(gateway, vec![PeerRequest::UpstreamLeaving { upstream, incarnation }]);
}

/// Records that an upstream told another host that it is about to stop. Has no effect if this host
/// knows a later start of the upstream.
pub(crate) fn on_told(
    gateway: &Rc<Gateway>,
    upstream: UpstreamId,
    incarnation: Option<Incarnation>,
) {
    let key = {
        let placement = gateway.placement.borrow();
        let found = placement.find(&upstream);
        found.filter(|(_, record)| record.incarnation == incarnation).map(|(key, _)| key)
    };
    match key {
        Some(key) => {
            record(gateway, key, "peer");
        }
        // The notice may have come before the entry.
        None => {
            let now = Instant::now();
            gateway.registrations.borrow_mut().on_leaving(now, &upstream, incarnation);
        }
    }
}

/// Records that an upstream is about to stop. Returns its id and incarnation if it is new.
fn record(
    gateway: &Gateway,
    key: UpstreamKey,
    told_by: &str,
) -> Option<(UpstreamId, Option<Incarnation>)> {
    let now = Instant::now();
    let entries_age = gateway.watches.of(Collection::Upstreams).age();
    let (id, incarnation) = {
        let mut placement = gateway.placement.borrow_mut();
        let unreported_until = entries_age.and_then(|age| now.checked_sub(age));
        if !placement.record_leaving(now, key, unreported_until) {
            return None;
        }
        let record = placement.record(key)?;
        (record.id.clone(), record.incarnation)
    };
    gateway.registrations.borrow_mut().on_leaving(now, &id, incarnation);
    gateway.crash_watch.borrow_mut().record_departure(now, &id);
    gateway.decisions.log(
        LineRate::Failure,
        "upstream",
        json!({"upstream": id, "what": "says leaving", "told_by": told_by}),
    );
    Some((id, incarnation))
}
