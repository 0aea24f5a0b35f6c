//! Follows the store: the configuration in force, and the upstreams.

use {
    crate::{
        allowance,
        gateway::Gateway,
        peers::{self, Question, Reply},
        roster,
        store::{Change, Collection, Listing, Revision, StoreError, StoredObject},
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
    },
    trefoilring_observe::decisions::LineRate,
};

/// The longest that one watch waits. Each is a call that is counted; probes of the connection notice
/// when it has gone silent.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(25);
/// Part of the store's history that one watch waits: one that waits longer ends without it, and everything
/// has to be listed again.
const WATCH_WAIT_SHARE: f64 = 0.9;
/// How long the first watch after a failure waits.
const WATCH_WAIT_PROBE: Duration = Duration::from_millis(20);
/// The longest pause before a collection is listed again because its history is gone.
const RELIST_PAUSE_MAX: Duration = Duration::from_millis(100);
/// How long another host may take to answer.
const CONSULT_TIMEOUT: Duration = Duration::from_millis(400);

/// Starts following, if this host serves callers: others need to know nothing of what is followed.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    if gateway.settings.callers_listen.is_none() {
        return;
    }
    for collection in [Collection::Configuration, Collection::Upstreams, Collection::Hosts] {
        gateway.spawn(follow(gateway.clone(), collection));
    }
}

async fn follow(gateway: Rc<Gateway>, collection: Collection) {
    let mut revision: Option<Revision> = None;
    let mut backoff = Backoff::default();
    let mut outage = StoreOutage::default();
    let mut gathering = match collection {
        Collection::Hosts => WatchDelay::for_hosts(),
        Collection::Upstreams => WatchDelay::for_upstreams(),
        Collection::Configuration | Collection::Ledgers => WatchDelay::disabled(),
    };
    loop {
        let outcome = match revision {
            None => list(&gateway, collection, &outage).await,
            Some(after) => watch(&gateway, collection, after, &outage, &mut gathering).await,
        };
        match outcome {
            Ok(reached) => {
                if let Some(length) = outage.record_success(Instant::now()) {
                    note_store(&gateway, collection, "regained", &length, None);
                    gateway.store_answers.notify(usize::MAX);
                }
                revision = Some(reached);
                backoff = Backoff::default();
            }
            Err(error) if error == StoreError::HistoryGone => {
                note_store(&gateway, collection, "listed again", &Duration::ZERO, Some(&error));
                revision = None;
                // All hosts hear of it at once.
                Timer::after(RELIST_PAUSE_MAX.mul_f64(rand::rng().random_range(0.0..1.0))).await;
            }
            Err(error) => {
                if outage.record_failure(Instant::now()) {
                    note_store(&gateway, collection, "lost", &Duration::ZERO, Some(&error));
                }
                consult_peer(&gateway, collection).await;
                Timer::after(backoff.after_failure(rand::rng().random())).await;
            }
        }
    }
}

fn note_store(
    gateway: &Gateway,
    collection: Collection,
    what: &str,
    after: &Duration,
    error: Option<&StoreError>,
) {
    gateway.decisions.log(
        LineRate::Rare,
        "store",
        json!({
            "collection": collection.to_string(),
            "what": what,
            "after_ms": after.as_millis() as u64,
            "error": error.map(ToString::to_string),
        }),
    );
}

async fn list(
    gateway: &Rc<Gateway>,
    collection: Collection,
    outage: &StoreOutage,
) -> Result<Revision, StoreError> {
    let Listing { objects, revision } = gateway.adapter.store.list(collection).await?;
    match collection {
        Collection::Configuration => objects.iter().for_each(|object| configure(gateway, object)),
        Collection::Upstreams => {
            replace_upstreams(gateway, &objects, outage);
        }
        Collection::Hosts => {
            objects.iter().for_each(|object| roster::listed(gateway, object));
            roster::heard_from_store(gateway);
        }
        Collection::Ledgers => {}
    }
    Ok(revision)
}

async fn watch(
    gateway: &Rc<Gateway>,
    collection: Collection,
    after: Revision,
    outage: &StoreOutage,
    gathering: &mut WatchDelay,
) -> Result<Revision, StoreError> {
    // A watch that waits says nothing: after a failure a short one tells whether the store is back.
    let wait = match outage.is_ongoing() {
        true => WATCH_WAIT_PROBE,
        false => gateway.settings.store_history.mul_f64(WATCH_WAIT_SHARE).min(WATCH_WAIT_MAX),
    };
    let watched = gateway.adapter.store.watch(collection, after, wait).await?;
    let is_busy = !watched.changes.is_empty();
    let mut delisted = Vec::new();
    for change in watched.changes {
        match (collection, change) {
            (Collection::Configuration, Change::Put(object)) => configure(gateway, &object),
            (Collection::Upstreams, Change::Put(object)) => upsert(gateway, &object),
            (Collection::Upstreams, Change::Removed(name)) => {
                delisted.push(UpstreamId::from(name));
            }
            (Collection::Hosts, Change::Put(object)) => roster::listed(gateway, &object),
            (Collection::Hosts, Change::Removed(name)) => roster::removed(gateway, &name),
            (Collection::Configuration, Change::Removed(name)) => {
                log::warn!("configuration {name} was removed; the one in force stays");
            }
            (Collection::Ledgers, _) => {}
        }
    }
    delist(gateway, delisted, outage);
    if collection == Collection::Hosts {
        roster::heard_from_store(gateway);
    }
    if is_busy {
        Timer::after(gathering.after_changes(Instant::now())).await;
    }
    Ok(watched.revision)
}

/// Takes a configuration in, if it is newer than the one in force.
fn configure(gateway: &Gateway, object: &StoredObject) {
    let table = match gateway.adapter.directory.routing(&object.content) {
        Ok(table) => table,
        Err(error) => {
            log::warn!("configuration {}: {error}", object.name);
            gateway.metrics.count("configuration_unreadable", 1);
            return;
        }
    };
    let before = gateway.table.borrow().as_ref().map(|table| table.version);
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
    *gateway.table.borrow_mut() = Some(Rc::new(table));
    *gateway.configuration.borrow_mut() = Some(object.clone());
    allowance::reconfigure(gateway);
}

/// Returns the configuration in force if it is newer than a version.
pub(crate) fn newer_configuration(
    gateway: &Gateway,
    newer_than: Option<ConfigVersion>,
) -> Option<StoredObject> {
    let version = gateway.table.borrow().as_ref()?.version;
    let is_newer = newer_than.is_none_or(|before| version > before);
    is_newer.then(|| gateway.configuration.borrow().clone()).flatten()
}

/// Asks another host for what the store does not say at present.
async fn consult_peer(gateway: &Rc<Gateway>, collection: Collection) {
    let peers: Vec<SocketAddr> = roster::some_peers(gateway)
        .into_iter()
        .filter(|address| !peers::is_suspect(gateway, *address))
        .collect();
    let Some(address) = peers.choose(&mut rand::rng()).copied() else { return };
    let deadline = Instant::now() + CONSULT_TIMEOUT;
    match collection {
        Collection::Configuration => {
            let newer_than = gateway.table.borrow().as_ref().map(|table| table.version);
            let question = Question::Configuration { newer_than };
            let reply = peers::ask(gateway, address, &question, deadline).await;
            if let Some(Reply::Configuration { object: Some(object) }) = reply {
                configure(gateway, &object);
            }
        }
        Collection::Upstreams if !gateway.has_upstreams.get() => {
            let reply = peers::ask(gateway, address, &Question::Upstreams, deadline).await;
            if let Some(Reply::Upstreams { records }) = reply
                && !records.is_empty()
            {
                let mut placement = gateway.placement.borrow_mut();
                for record in records {
                    placement.upsert(record);
                }
                gateway.has_upstreams.set(true);
            }
        }
        Collection::Hosts => {
            let reply = peers::ask(gateway, address, &Question::Hosts, deadline).await;
            if let Some(Reply::Hosts { hosts }) = reply {
                roster::told_by_peer(gateway, hosts);
            }
        }
        Collection::Upstreams | Collection::Ledgers => {}
    }
}

fn upsert(gateway: &Gateway, object: &StoredObject) {
    match gateway.adapter.directory.upstream(&object.name, &object.content) {
        Ok(record) => {
            let (is_leaving, service) = (record.is_leaving, record.service.clone());
            if gateway.placement.borrow_mut().upsert(record) {
                gateway.decisions.log(
                    LineRate::Failure,
                    "upstream",
                    json!({
                        "upstream": object.name,
                        "service": service,
                        "what": if is_leaving { "leaving" } else { "listed" },
                        "revision": object.revision,
                    }),
                );
            }
        }
        Err(error) => {
            // Whoever wrote it, it names no upstream to use.
            log::warn!("upstream {}: {error}", object.name);
            gateway.metrics.count("upstream_unreadable", 1);
            remove(gateway, &object.name, "unreadable");
        }
    }
}

fn remove(gateway: &Gateway, name: &str, what: &str) {
    if gateway.placement.borrow_mut().remove(name) {
        gateway.decisions.log(
            LineRate::Failure,
            "upstream",
            json!({"upstream": name, "what": what}),
        );
    }
}

/// Takes in all upstreams.
fn replace_upstreams(gateway: &Rc<Gateway>, objects: &[StoredObject], outage: &StoreOutage) {
    let listed: HashSet<&str> = objects.iter().map(|object| object.name.as_str()).collect();
    let known: Vec<UpstreamId> = gateway.placement.borrow().ids().cloned().collect();
    let missing = known.into_iter().filter(|id| !listed.contains(&**id)).collect();
    objects.iter().for_each(|object| upsert(gateway, object));
    gateway.has_upstreams.set(true);
    delist(gateway, missing, outage);
}

/// Removes upstreams that are no longer listed, unless they may come back.
fn delist(gateway: &Rc<Gateway>, delisted: Vec<UpstreamId>, outage: &StoreOutage) {
    if delisted.is_empty() {
        return;
    }
    let known = gateway.placement.borrow().ids().count();
    match outage.classify_delisted(Instant::now(), delisted.len(), known) {
        DelistingAction::Remove => delisted.iter().for_each(|id| remove(gateway, id, "delisted")),
        DelistingAction::Wait(grace) => {
            gateway.spawn(remove_later(gateway.clone(), delisted, grace));
        }
    }
}

async fn remove_later(gateway: Rc<Gateway>, missing: Vec<UpstreamId>, grace: Duration) {
    Timer::after(grace).await;
    let Ok(Listing { objects, .. }) = gateway.adapter.store.list(Collection::Upstreams).await
    else {
        // The store is away again: what follows its return decides.
        return;
    };
    let listed: HashSet<&str> = objects.iter().map(|object| object.name.as_str()).collect();
    for id in missing.iter().filter(|id| !listed.contains(&***id)) {
        remove(&gateway, id, "did not return");
    }
}
