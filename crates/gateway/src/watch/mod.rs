//! Watches the store for changes of the configuration, the upstreams and the hosts.

mod sharing;

pub(crate) use sharing::{Watches, news_for_follower};

use {
    crate::{
        allowance, evacuations,
        gateway::Gateway,
        peers::{self, PeerReply, PeerRequest},
        registrations, roster,
        store::{Change, Collection, Freshness, Listing, Revision, StoreError, StoredObject},
        stream_origins, turns,
    },
    rand::{RngExt, seq::IndexedRandom},
    serde_json::json,
    smol::Timer,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{ConfigVersion, UpstreamId},
        registrations::{StoreOutage, UpstreamEntry},
        store_backoff::{Backoff, WatchDelay},
        watch_sharing::READER_WATCH_WAIT,
    },
    trefoilring_observe::decisions::LineRate,
};

/// Maximum wait of one watch request for collections whose changes may be learned late. Long, because
/// the store counts each request. Keep-alive probes detect a dead connection in the meantime.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(25);
/// Maximum wait of a watch of the configuration or of the upstreams. The store may lose a watch
/// without closing its connection, and a host must act on all that the store says 3 s after that.
const CURRENT_WATCH_WAIT_MAX: Duration = Duration::from_millis(1800);
/// Maximum wait of a watch as a fraction of the store's history. After a longer wait the history
/// may have expired, and the collection would have to be listed again.
const WATCH_WAIT_FRACTION: f64 = 0.9;
/// Wait of a watch whose answer is needed even if nothing has changed, such as one that tests whether
/// the store is available again after a failure.
const PROBE_WATCH_WAIT: Duration = Duration::from_millis(20);
/// Time from which on a watch counts as pending: its answer is a change that was made meanwhile.
const PENDING_WATCH_MIN: Duration = Duration::from_millis(400);
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
    if collection == Collection::Hosts && gateway.settings.callers_listen.is_some() {
        watches.until_registered().await;
    }
    let mut delay = match collection {
        Collection::Hosts if turns::own_record(&gateway).is_some() => {
            WatchDelay::for_hosts_with_copies()
        }
        Collection::Hosts => WatchDelay::for_hosts(),
        Collection::Upstreams => WatchDelay::for_upstreams(),
        Collection::Configuration
        | Collection::Ledgers
        | Collection::Retirements
        | Collection::Evacuations => WatchDelay::disabled(),
    };
    loop {
        watches.until_reading(collection).await;
        let is_listed = collection != Collection::Hosts || gateway.roster.borrow().is_listed();
        if is_listed && watches.has_delayed_first_watch(collection).await {
            continue;
        }
        let sent_at = Instant::now();
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
                if collection == Collection::Evacuations {
                    gateway.evacuations.on_read(sent_at);
                }
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
                let is_first = outage.record_failure(Instant::now(), sent_at);
                watched.outage.set(outage);
                if registrations::on_store_failure(&gateway, sent_at) {
                    // The store may have lost the other watches too.
                    watches.interrupt();
                }
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
    registrations::on_store_success(gateway);
    let change_age = gateway.watches.of(collection).age().unwrap_or_default();
    apply_listing(gateway, collection, &objects, revision, change_age);
    gateway.watches.on_listed(collection, objects, revision);
    Ok(())
}

/// Applies all objects of a collection.
fn apply_listing(
    gateway: &Rc<Gateway>,
    collection: Collection,
    objects: &[StoredObject],
    revision: Revision,
    change_age: Duration,
) {
    match collection {
        // Read for others.
        Collection::Configuration | Collection::Upstreams | Collection::Evacuations
            if !gateway.watches.of(collection).is_own() => {}
        Collection::Configuration => {
            objects.iter().for_each(|object| apply_configuration(gateway, object))
        }
        Collection::Upstreams => registrations::on_listing(gateway, objects, change_age),
        Collection::Hosts => {
            roster::apply_host_list(gateway, objects);
            roster::record_store_contact(gateway);
        }
        Collection::Retirements => {
            objects.iter().for_each(|object| turns::on_retirement(gateway, object));
        }
        Collection::Evacuations => evacuations::on_listing(gateway, revision, objects),
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
    let longest = match collection {
        Collection::Configuration | Collection::Upstreams | Collection::Evacuations => {
            CURRENT_WATCH_WAIT_MAX
        }
        Collection::Hosts | Collection::Ledgers | Collection::Retirements => WATCH_WAIT_MAX,
    };
    let longest = longest.min(gateway.settings.store_history.mul_f64(WATCH_WAIT_FRACTION));
    let is_failing = outage.is_ongoing() || gateway.registrations.borrow().is_store_failing();
    let wait = match is_failing {
        // A long watch without changes does not show whether the store is available. After a failure
        // a short one shows whether the store is available again.
        true => PROBE_WATCH_WAIT,
        false if watches.of(collection).is_behind_reader() => PROBE_WATCH_WAIT,
        false if collection == Collection::Evacuations && gateway.evacuations.is_unconfirmed() => {
            PROBE_WATCH_WAIT
        }
        false if collection == Collection::Configuration && watches.is_followed() => {
            READER_WATCH_WAIT
        }
        false => longest,
    };
    let freshness = freshness(gateway, collection, &outage);
    let (sent_at, age_before) = (Instant::now(), watches.of(collection).age());
    let result = gateway.adapter.store.watch(collection, after, wait, freshness).await?;
    registrations::on_store_success(gateway);
    let has_changes = !result.changes.is_empty();
    // The store answers a pending watch as soon as there is a change. Changes that were there before
    // it was sent may be as old as the answer before.
    let change_age = match sent_at.elapsed() < PENDING_WATCH_MIN {
        true => age_before.unwrap_or_default() + sent_at.elapsed(),
        false => Duration::ZERO,
    };
    apply_changes(gateway, collection, result.changes.clone(), result.revision, change_age);
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
    revision: Revision,
    change_age: Duration,
) {
    let is_own = gateway.watches.of(collection).is_own();
    if !is_own && collection != Collection::Hosts {
        // Read for others.
        return;
    }
    if collection == Collection::Evacuations {
        evacuations::on_changes(gateway, revision, &changes);
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
                registrations::on_object(gateway, &object, Some(change_age));
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
            (Collection::Ledgers | Collection::Evacuations, _)
            | (Collection::Retirements, Change::Removed(_)) => {}
        }
    }
    registrations::on_delisted(gateway, &delisted, change_age);
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
    gateway.placement.borrow_mut().set_cold_rules(Instant::now(), &table.services);
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
                    let entry = UpstreamEntry { record, heartbeat: None };
                    registrations::on_entry(gateway, entry, json!("peer"), None);
                }
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
        // `evacuations` asks several hosts on its own schedule.
        Collection::Ledgers | Collection::Retirements | Collection::Evacuations => {}
    }
}
