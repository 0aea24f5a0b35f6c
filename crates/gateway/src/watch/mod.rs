//! Watches the store for changes of the configuration, the upstreams and the hosts.

mod sharing;

pub(crate) use sharing::{Watches, news_for_follower};

use {
    crate::{
        allowance,
        gateway::Gateway,
        peers::{self, PeerReply, PeerRequest},
        roster,
        store::{Change, Collection, Freshness, Listing, Revision, StoreError, StoredObject},
        stream_origins, turns,
    },
    rand::{RngExt, seq::IndexedRandom},
    serde_json::json,
    smol::Timer,
    std::{
        collections::HashSet,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{ConfigVersion, UpstreamId},
        placement::{DelistingAction, StoreOutage},
        store_backoff::{Backoff, WatchDelay},
        watch_sharing::READER_WATCH_WAIT,
    },
    trefoilring_observe::decisions::LineRate,
};

/// Maximum wait of one watch request. Long, because the store counts each request. Keep-alive
/// probes detect a dead connection in the meantime.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(25);
/// Maximum wait of a watch as a fraction of the store's history. After a longer wait the history
/// may have expired, and the collection would have to be listed again.
const WATCH_WAIT_FRACTION: f64 = 0.9;
/// Wait of a watch whose answer is needed even if nothing has changed, such as one that tests whether
/// the store is available again after a failure.
const PROBE_WATCH_WAIT: Duration = Duration::from_millis(20);
/// Maximum pause before a collection is listed again because its history has expired.
const RELIST_PAUSE_MAX: Duration = Duration::from_millis(100);
/// Timeout of a request to another host.
const PEER_QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Starts watching the store. Does nothing at hosts that don't serve callers, because they need
/// none of the watched collections.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    if gateway.settings.callers_listen.is_none() {
        return;
    }
    sharing::start(gateway);
}

/// Starts watching a collection that this host needs for itself.
pub(crate) fn start_own_collection(gateway: &Rc<Gateway>, collection: Collection) {
    gateway.watches.set_own(collection);
    start_collection(gateway, collection);
}

/// Starts watching a collection, if that has not been done.
fn start_collection(gateway: &Rc<Gateway>, collection: Collection) {
    if !gateway.watches.of(collection).is_started.replace(true) {
        gateway.spawn(watch_collection(gateway.clone(), collection));
    }
}

async fn watch_collection(gateway: Rc<Gateway>, collection: Collection) {
    let watches = &gateway.watches;
    let watched = watches.of(collection);
    let mut backoff = Backoff::default();
    let mut delay = match collection {
        Collection::Hosts => WatchDelay::for_hosts(),
        Collection::Upstreams => WatchDelay::for_upstreams(),
        Collection::Configuration | Collection::Ledgers | Collection::Retirements => {
            WatchDelay::disabled()
        }
    };
    loop {
        watches.until_reading(collection).await;
        let outcome = match watched.revision.get() {
            None => watches.unless_interrupted(collection, list(&gateway, collection)).await,
            Some(after) => {
                let watch = watch(&gateway, collection, after, &mut delay);
                watches.unless_interrupted(collection, watch).await
            }
        };
        let Some(outcome) = outcome else { continue };
        match outcome {
            Ok(()) => {
                on_store_answer(&gateway, collection);
                backoff = Backoff::default();
            }
            Err(error) if error == StoreError::HistoryExpired => {
                log_store_event(
                    &gateway,
                    collection,
                    "listed again",
                    &Duration::ZERO,
                    Some(&error),
                );
                watched.revision.set(None);
                if collection == Collection::Upstreams {
                    stream_origins::restart_watch(&gateway);
                }
                // Spreads the requests, because the history expires for all hosts at the same time.
                Timer::after(RELIST_PAUSE_MAX.mul_f64(rand::rng().random_range(0.0..1.0))).await;
            }
            Err(error) => {
                let mut outage = watched.outage.get();
                let is_first = outage.record_failure(Instant::now());
                watched.outage.set(outage);
                watches.on_store_failure();
                if is_first {
                    log_store_event(&gateway, collection, "lost", &Duration::ZERO, Some(&error));
                }
                if watched.is_own() || !sharing::SHARED.contains(&collection) {
                    query_peer(&gateway, collection).await;
                }
                Timer::after(backoff.after_failure(rand::rng().random())).await;
            }
        }
    }
}

/// Records that the store has answered, this host or its reader.
fn on_store_answer(gateway: &Gateway, collection: Collection) {
    let watched = gateway.watches.of(collection);
    let mut outage = watched.outage.get();
    let ended = outage.record_success(Instant::now());
    watched.outage.set(outage);
    if let Some(outage_duration) = ended {
        log_store_event(gateway, collection, "regained", &outage_duration, None);
        gateway.store_recovered.notify(usize::MAX);
    }
}

fn log_store_event(
    gateway: &Gateway,
    collection: Collection,
    event: &str,
    outage_duration: &Duration,
    error: Option<&StoreError>,
) {
    gateway.decisions.log(
        LineRate::Rare,
        "store",
        json!({
            "collection": collection.to_string(),
            "what": event,
            "after_ms": outage_duration.as_millis() as u64,
            "error": error.map(ToString::to_string),
        }),
    );
}

async fn list(gateway: &Rc<Gateway>, collection: Collection) -> Result<(), StoreError> {
    let Listing { objects, revision } = gateway.adapter.store.list(collection).await?;
    let outage = gateway.watches.of(collection).outage.get();
    apply_listing(gateway, collection, &objects, &outage);
    gateway.watches.on_listed(collection, objects, revision);
    Ok(())
}

/// Applies all objects of a collection.
fn apply_listing(
    gateway: &Rc<Gateway>,
    collection: Collection,
    objects: &[StoredObject],
    outage: &StoreOutage,
) {
    match collection {
        // Read for others.
        Collection::Configuration | Collection::Upstreams
            if !gateway.watches.of(collection).is_own() => {}
        Collection::Configuration => {
            objects.iter().for_each(|object| apply_configuration(gateway, object))
        }
        Collection::Upstreams => replace_upstreams(gateway, objects, outage),
        Collection::Hosts => {
            roster::apply_host_list(gateway, objects);
            roster::record_store_contact(gateway);
        }
        Collection::Retirements => {
            objects.iter().for_each(|object| turns::on_retirement(gateway, object));
        }
        Collection::Ledgers => {}
    }
}

async fn watch(
    gateway: &Rc<Gateway>,
    collection: Collection,
    after: Revision,
    delay: &mut WatchDelay,
) -> Result<(), StoreError> {
    let watches = &gateway.watches;
    let outage = watches.of(collection).outage.get();
    let longest = gateway.settings.store_history.mul_f64(WATCH_WAIT_FRACTION).min(WATCH_WAIT_MAX);
    let wait = match outage.is_ongoing() {
        // A long watch without changes does not show whether the store is available. After a failure
        // a short one shows whether the store is available again.
        true => PROBE_WATCH_WAIT,
        false if watches.of(collection).is_behind_reader() => PROBE_WATCH_WAIT,
        false if collection == Collection::Configuration && watches.is_followed() => {
            READER_WATCH_WAIT
        }
        false => longest,
    };
    let freshness = freshness(gateway, collection, &outage);
    let result = gateway.adapter.store.watch(collection, after, wait, freshness).await?;
    let has_changes = !result.changes.is_empty();
    apply_changes(gateway, collection, result.changes.clone(), &outage);
    watches.on_changes(collection, result.changes, result.revision);
    if collection == Collection::Hosts {
        roster::record_store_contact(gateway);
    }
    if has_changes {
        Timer::after(delay.after_changes(Instant::now())).await;
    }
    Ok(())
}

/// Applies changes in the order in which they were made.
fn apply_changes(
    gateway: &Rc<Gateway>,
    collection: Collection,
    changes: Vec<Change>,
    outage: &StoreOutage,
) {
    let is_own = gateway.watches.of(collection).is_own();
    if !is_own && collection != Collection::Hosts {
        // Read for others.
        return;
    }
    let mut delisted = Vec::new();
    for change in changes {
        match (collection, change) {
            (Collection::Configuration, Change::Put(object)) => {
                apply_configuration(gateway, &object)
            }
            (Collection::Upstreams, Change::Put(object)) => {
                // It may have been removed and have registered again since the last read.
                delisted.retain(|id: &UpstreamId| **id != *object.name);
                upsert_upstream(gateway, &object);
            }
            (Collection::Upstreams, Change::Removed(name)) => {
                delisted.push(UpstreamId::from(name));
            }
            (Collection::Hosts, Change::Put(object)) => roster::apply_host_record(gateway, &object),
            (Collection::Hosts, Change::Removed(name)) => roster::on_removed(gateway, &name),
            (Collection::Configuration, Change::Removed(name)) => {
                log::warn!("configuration {name} was removed; keeping the current configuration");
            }
            (Collection::Retirements, Change::Put(object)) => {
                turns::on_retirement(gateway, &object)
            }
            (Collection::Ledgers, _) | (Collection::Retirements, Change::Removed(_)) => {}
        }
    }
    on_delisted(gateway, delisted, outage);
}

/// Returns how old the changes of a collection may be. A host with callers needs no early news of
/// other hosts: they announce themselves to it before they use their shares of the allowances. After
/// a failure only a current answer shows that the store is available again.
fn freshness(gateway: &Gateway, collection: Collection, outage: &StoreOutage) -> Freshness {
    let serves_callers = gateway.settings.callers_listen.is_some();
    let is_behind_reader = gateway.watches.of(collection).is_behind_reader();
    match collection {
        Collection::Hosts if serves_callers && !outage.is_ongoing() && !is_behind_reader => {
            Freshness::Stale
        }
        Collection::Retirements if !outage.is_ongoing() => Freshness::Stale,
        _ => Freshness::Current,
    }
}

/// Applies a configuration if it is newer than the one in force.
fn apply_configuration(gateway: &Rc<Gateway>, object: &StoredObject) {
    let table = match gateway.adapter.object_parser.parse_routing(&object.content) {
        Ok(table) => table,
        Err(error) => {
            log::warn!(
                "failed to parse configuration {}; keeping the current configuration: {error}",
                object.name
            );
            gateway.metrics.count("configuration_unreadable", 1);
            return;
        }
    };
    let before = gateway.routing_table.borrow().as_ref().map(|table| table.version);
    if before.is_some_and(|before| before >= table.version) {
        return;
    }
    gateway.decisions.log(
        LineRate::Rare,
        "configuration",
        json!({
            "version": table.version,
            "before": before,
            "revision": object.revision,
            "routes": table.route_count(),
            "teams": table.teams.as_ref().map(std::collections::BTreeMap::len),
        }),
    );
    let former = gateway.routing_table.borrow().clone();
    let has_moved_routes = former.is_some_and(|former| table.has_moved_routes(&former));
    *gateway.routing_table.borrow_mut() = Some(Rc::new(table));
    *gateway.configuration.borrow_mut() = Some(object.clone());
    if has_moved_routes {
        stream_origins::restart_watch(gateway);
    }
    allowance::apply_rules(gateway);
}

/// Returns the configuration in force if it is newer than the given version.
pub(crate) fn newer_configuration(
    gateway: &Gateway,
    newer_than: Option<ConfigVersion>,
) -> Option<StoredObject> {
    let version = gateway.routing_table.borrow().as_ref()?.version;
    let is_newer = newer_than.is_none_or(|before| version > before);
    is_newer.then(|| gateway.configuration.borrow().clone()).flatten()
}

/// Requests a collection from another host while the store is unavailable.
async fn query_peer(gateway: &Rc<Gateway>, collection: Collection) {
    let peers: Vec<SocketAddr> = roster::peers_or_seeds(gateway)
        .into_iter()
        .filter(|address| !peers::is_suspect(gateway, *address))
        .collect();
    let Some(address) = peers.choose(&mut rand::rng()).copied() else { return };
    let deadline = Instant::now() + PEER_QUERY_TIMEOUT;
    match collection {
        Collection::Configuration => {
            let newer_than = gateway.routing_table.borrow().as_ref().map(|table| table.version);
            let request = PeerRequest::Configuration { newer_than };
            let reply = peers::send_request(gateway, address, &request, deadline).await;
            if let Some(PeerReply::Configuration { object: Some(object) }) = reply {
                apply_configuration(gateway, &object);
            }
        }
        Collection::Upstreams if !gateway.has_received_upstreams.get() => {
            let reply =
                peers::send_request(gateway, address, &PeerRequest::Upstreams, deadline).await;
            if let Some(PeerReply::Upstreams { records }) = reply
                && !records.is_empty()
            {
                for record in records {
                    gateway.placement.borrow_mut().upsert(record);
                }
                stream_origins::refresh_versions(gateway);
                gateway.has_received_upstreams.set(true);
            }
        }
        Collection::Upstreams => {
            // Another host may see versions that are new in the store.
            let reply =
                peers::send_request(gateway, address, &PeerRequest::Versions, deadline).await;
            if let Some(PeerReply::Versions { versions }) = reply {
                stream_origins::on_versions(gateway, &versions);
            }
        }
        Collection::Hosts => {
            let reply = peers::send_request(gateway, address, &PeerRequest::Hosts, deadline).await;
            if let Some(PeerReply::Hosts { hosts }) = reply {
                roster::on_peer_hosts(gateway, hosts);
            }
        }
        Collection::Ledgers | Collection::Retirements => {}
    }
}

fn upsert_upstream(gateway: &Rc<Gateway>, object: &StoredObject) {
    match gateway.adapter.object_parser.parse_upstream(&object.name, &object.content) {
        Ok(record) => {
            let (is_leaving, service) = (record.is_leaving, record.service.clone());
            let mut crash_watch = gateway.crash_watch.borrow_mut();
            if is_leaving {
                crash_watch.record_departure(Instant::now(), &record.id);
            } else {
                crash_watch.record_arrival(&record.id);
            }
            drop(crash_watch);
            let version = record.version.clone();
            let has_changed = gateway.placement.borrow_mut().upsert(record);
            if has_changed {
                stream_origins::refresh_versions(gateway);
                gateway.decisions.log(
                    LineRate::Failure,
                    "upstream",
                    json!({
                        "upstream": object.name,
                        "service": service,
                        "version": version,
                        "what": if is_leaving { "leaving" } else { "listed" },
                        "revision": object.revision,
                    }),
                );
            }
        }
        Err(error) => {
            // An upstream without a valid record can't be used.
            log::warn!(
                "failed to parse the record of upstream {}; removing the upstream: {error}",
                object.name
            );
            gateway.metrics.count("upstream_unreadable", 1);
            remove_upstream(gateway, &object.name, "unreadable");
        }
    }
}

fn remove_upstream(gateway: &Rc<Gateway>, name: &str, reason: &str) {
    let is_removed = gateway.placement.borrow_mut().remove(name);
    if is_removed {
        stream_origins::refresh_versions(gateway);
        gateway.crash_watch.borrow_mut().record_departure(Instant::now(), &name.into());
        gateway.decisions.log(
            LineRate::Failure,
            "upstream",
            json!({"upstream": name, "what": reason}),
        );
    }
}

/// Replaces the known upstreams with a complete listing.
fn replace_upstreams(gateway: &Rc<Gateway>, objects: &[StoredObject], outage: &StoreOutage) {
    let listed: HashSet<&str> = objects.iter().map(|object| object.name.as_str()).collect();
    let known: Vec<UpstreamId> = gateway.placement.borrow().ids().cloned().collect();
    let missing = known.into_iter().filter(|id| !listed.contains(&**id)).collect();
    objects.iter().for_each(|object| upsert_upstream(gateway, object));
    gateway.has_received_upstreams.set(true);
    on_delisted(gateway, missing, outage);
}

/// Removes upstreams that are no longer listed. After a long outage of the store or a mass
/// delisting, waits first, because the upstreams may register again.
fn on_delisted(gateway: &Rc<Gateway>, delisted: Vec<UpstreamId>, outage: &StoreOutage) {
    if delisted.is_empty() {
        return;
    }
    let known = gateway.placement.borrow().ids().count();
    match outage.classify_delisted(Instant::now(), delisted.len(), known) {
        DelistingAction::Remove => {
            delisted.iter().for_each(|id| remove_upstream(gateway, id, "delisted"))
        }
        DelistingAction::Wait(grace) => {
            for id in &delisted {
                gateway.decisions.log(
                    LineRate::Failure,
                    "upstream",
                    json!({
                        "upstream": id,
                        "what": "missing",
                        "grace_ms": grace.as_millis() as u64,
                        "is_outage_ongoing": outage.is_ongoing(),
                    }),
                );
            }
            gateway.metrics.count("upstreams_missed", delisted.len() as i64);
            gateway.spawn(remove_after_grace(gateway.clone(), delisted, grace));
        }
    }
}

async fn remove_after_grace(gateway: Rc<Gateway>, missing: Vec<UpstreamId>, grace: Duration) {
    Timer::after(grace).await;
    let objects = match gateway.adapter.store.list(Collection::Upstreams).await {
        Ok(Listing { objects, .. }) => objects,
        Err(error) => {
            // The store is unavailable again. The next listing removes the upstreams if they are
            // still missing.
            for id in &missing {
                gateway.decisions.log(
                    LineRate::Failure,
                    "upstream",
                    json!({
                        "upstream": id,
                        "what": "still used",
                        "error": error.to_string(),
                    }),
                );
            }
            return;
        }
    };
    let listed: HashSet<&str> = objects.iter().map(|object| object.name.as_str()).collect();
    for id in missing.iter().filter(|id| !listed.contains(&***id)) {
        remove_upstream(&gateway, id, "did not return");
    }
}
