//! Applies the registrations of upstreams: entries of the store, removals, and the time in which
//! upstreams may return. `trefoilring_core::registrations` decides.

use {
    crate::{
        cold,
        gateway::Gateway,
        store::{Collection, StoredObject},
        stream_origins,
        time::within,
    },
    serde_json::{Value, json},
    std::{
        collections::HashSet,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::UpstreamId,
        placement::{ColdEntry, UpstreamRecord},
        registrations::{Delisting, EntryDecision, UpstreamEntry},
    },
    trefoilring_observe::decisions::LineRate,
};

/// Maximum number of upstreams that leave which are taken over from one reply of another host.
const DEPARTING_MAX: usize = 64;

/// Starts the removal of upstreams that do not return.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    gateway.spawn(remove_overdue(gateway.clone()));
}

async fn remove_overdue(gateway: Rc<Gateway>) {
    loop {
        let changed = gateway.registrations_changed.listen();
        let next_removal = gateway.registrations.borrow().next_removal(Instant::now());
        let next_departure = gateway.placement.borrow().next_departure();
        match next_removal.into_iter().chain(next_departure).min() {
            Some(at) => {
                within(at, changed).await;
            }
            None => changed.await,
        }
        let overdue = gateway.registrations.borrow_mut().take_overdue(Instant::now());
        overdue.iter().for_each(|id| delist(&gateway, id, json!({"what": "did not return"})));
        gateway.placement.borrow_mut().remove_departed(Instant::now());
    }
}

/// Records that a call of the store failed which was sent at `sent_at`. Returns whether it is the first
/// failure of an outage.
pub(crate) fn on_store_failure(gateway: &Gateway, sent_at: Instant) -> bool {
    gateway.registrations.borrow_mut().record_store_failure(Instant::now(), sent_at)
}

/// Records that the store has answered.
pub(crate) fn on_store_success(gateway: &Gateway) {
    gateway.registrations.borrow_mut().record_store_success(Instant::now());
    gateway.registrations_changed.notify(usize::MAX);
}

/// Applies an upstream's object in the store, which was written at most `change_age` ago if that is
/// known.
pub(crate) fn on_object(
    gateway: &Rc<Gateway>,
    object: &StoredObject,
    change_age: Option<Duration>,
) {
    match gateway.adapter.object_parser.parse_upstream(&object.name, &object.content) {
        Ok(entry) => on_entry(gateway, entry, json!(object.revision), change_age),
        Err(error) => {
            // An upstream without a valid entry can't be used.
            log::warn!(
                "failed to parse the entry of upstream {}; not using the upstream: {error}",
                object.name
            );
            gateway.metrics.count("upstream_unreadable", 1);
            gateway.registrations.borrow_mut().on_unreadable(Instant::now(), &object.name);
            remove(gateway, &object.name, json!({"what": "unreadable"}));
        }
    }
}

/// Applies an upstream's entry. `source` is its revision in the store, or where else it comes from.
pub(crate) fn on_entry(
    gateway: &Rc<Gateway>,
    entry: UpstreamEntry,
    source: Value,
    change_age: Option<Duration>,
) {
    let (id, heartbeat) = (entry.record.id.clone(), entry.heartbeat);
    let decision = gateway.registrations.borrow_mut().on_entry(Instant::now(), entry);
    let record = match decision {
        EntryDecision::Apply(record) => record,
        EntryDecision::Outdated => {
            gateway.metrics.count("upstream_entries_outdated", 1);
            gateway.decisions.log(
                LineRate::Failure,
                "upstream",
                json!({
                    "upstream": id,
                    "what": "outdated",
                    "heartbeat": heartbeat,
                    "revision": source,
                }),
            );
            return;
        }
    };
    let mut crash_watch = gateway.crash_watch.borrow_mut();
    match record.is_leaving {
        true => crash_watch.record_departure(Instant::now(), &record.id),
        false => crash_watch.record_arrival(&record.id),
    }
    drop(crash_watch);
    let line = json!({
        "upstream": id,
        "service": record.service,
        "version": record.version,
        "what": if record.is_leaving { "leaving" } else { "listed" },
        "heartbeat": heartbeat,
        "revision": source.clone(),
    });
    let cold_entry = ColdEntry {
        left: record.cold_left.unwrap_or_default(),
        revision: source.as_u64(),
        is_news: gateway.has_received_upstreams.get(),
    };
    let now = Instant::now();
    let is_changed = {
        let mut placement = gateway.placement.borrow_mut();
        let begins_to_leave = record.is_leaving
            && placement.find(&id).is_some_and(|(_, known)| {
                known.incarnation == record.incarnation && !known.is_leaving
            });
        let is_changed = placement.upsert(record);
        if begins_to_leave {
            placement.record_departure(&id, change_age.and_then(|age| now.checked_sub(age)));
        }
        is_changed
    };
    cold::on_entry(gateway, &id, cold_entry);
    if is_changed {
        stream_origins::refresh_versions(gateway);
        gateway.decisions.log(LineRate::Failure, "upstream", line);
    }
}

/// Applies a complete listing.
pub(crate) fn on_listing(gateway: &Rc<Gateway>, objects: &[StoredObject], change_age: Duration) {
    let listed: HashSet<&str> = objects.iter().map(|object| object.name.as_str()).collect();
    let unlisted = gateway.registrations.borrow().unlisted(&listed);
    // Before the first answer of the store nothing is known of the age.
    let known_age = gateway.watches.of(Collection::Upstreams).age().map(|_| change_age);
    objects.iter().for_each(|object| on_object(gateway, object, known_age));
    gateway.has_received_upstreams.set(true);
    on_delisted(gateway, &unlisted, change_age);
}

/// Applies removals from the store, since which at most `change_age` has passed.
pub(crate) fn on_delisted(gateway: &Rc<Gateway>, ids: &[UpstreamId], change_age: Duration) {
    if ids.is_empty() {
        return;
    }
    let now = Instant::now();
    // Before the first answer of the store nothing is known of the age.
    let known_age = gateway.watches.of(Collection::Upstreams).age().map(|_| change_age);
    let listed_until = known_age.and_then(|age| now.checked_sub(age));
    for id in ids {
        gateway.placement.borrow_mut().record_missing(id, listed_until);
    }
    let delisting = gateway.registrations.borrow_mut().on_delisted(now, ids, change_age);
    let Delisting { removed, missing } = delisting;
    removed.iter().for_each(|id| delist(gateway, id, json!({"what": "delisted"})));
    for (id, until) in &missing {
        gateway.decisions.log(
            LineRate::Failure,
            "upstream",
            json!({
                "upstream": id,
                "what": "missing",
                "grace_ms": until.saturating_duration_since(now).as_millis() as u64,
                "change_age_ms": change_age.as_millis() as u64,
            }),
        );
    }
    if !missing.is_empty() {
        gateway.metrics.count("upstreams_missed", missing.len() as i64);
        gateway.registrations_changed.notify(usize::MAX);
    }
}

/// Records the upstreams that leave and that another host may send requests, each for this much longer
/// since `asked_at`.
pub(crate) fn on_departing(
    gateway: &Rc<Gateway>,
    departing: Vec<(UpstreamRecord, Duration)>,
    asked_at: Instant,
) {
    let now = Instant::now();
    for (record, left) in departing.into_iter().take(DEPARTING_MAX) {
        let Some(ends_at) = asked_at.checked_add(left) else { continue };
        let line = json!({
            "upstream": record.id,
            "service": record.service,
            "version": record.version,
            "what": "departing",
            "left_ms": left.as_millis() as u64,
        });
        if gateway.placement.borrow_mut().adopt_departing(now, record, ends_at) {
            gateway.decisions.log(LineRate::Failure, "upstream", line);
            gateway.registrations_changed.notify(usize::MAX);
        }
    }
}

/// Takes an upstream out of use whose entry names no upstream.
fn remove(gateway: &Rc<Gateway>, id: &str, line: Value) {
    if gateway.placement.borrow_mut().remove(id) {
        on_out_of_use(gateway, id, line);
    }
}

/// Takes an upstream out of use whose entry is gone. It still gets streams of its version that can go
/// on nowhere else, while it serves.
fn delist(gateway: &Rc<Gateway>, id: &str, line: Value) {
    if gateway.placement.borrow_mut().delist(Instant::now(), id) {
        on_out_of_use(gateway, id, line);
        gateway.registrations_changed.notify(usize::MAX);
    }
}

fn on_out_of_use(gateway: &Rc<Gateway>, id: &str, mut line: Value) {
    stream_origins::refresh_versions(gateway);
    gateway.crash_watch.borrow_mut().record_departure(Instant::now(), &id.into());
    line["upstream"] = id.into();
    gateway.decisions.log(LineRate::Failure, "upstream", line);
}
