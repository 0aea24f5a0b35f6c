//! Fetches the configuration from peers or the store, validates it and puts it in force.

use {
    crate::{
        control::{Control, Reply, home::send_reply},
        observe::events::EventFields,
        shared::Shared,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, PoisonError, atomic::Ordering},
        time::{Duration, Instant},
    },
    trefoilring_core::{
        catalog::Catalog,
        config_distribution::{
            Command, ConfigFetcher, Event, FetchSource, Freshness, MANIFEST_KEY, Options, Shard,
            shard_key,
        },
        event::Kind,
        ids::{HostId, KeyId},
    },
    trefoilring_proto::{ConfigPart, PeerClient},
};

/// Number of heartbeat intervals without confirmation of the manifest's version after which keys
/// are no longer accepted.
const FRESH_HEARTBEATS: u32 = 5;
/// Timeout for a fetch from another host.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of hosts queried for shards before the store. At present there is at most one,
/// the delegate.
const MAX_SOURCES: usize = 3;

/// The fetcher of the configuration and the hosts it fetches from.
pub(super) struct ConfigState {
    fetcher: ConfigFetcher,
    sources: Vec<HostId>,
}

impl ConfigState {
    pub(super) fn new(shared: &Shared, _now: Instant) -> Self {
        let heartbeat = shared.settings.heartbeat;
        let options =
            Options { freshness_timeout: heartbeat * FRESH_HEARTBEATS, retry_interval: heartbeat };
        Self { fetcher: ConfigFetcher::new(options, 0), sources: Vec::new() }
    }
}

impl Control {
    pub(super) fn tick_config(&mut self) {
        self.set_sources();
        self.on_config_event(Event::Tick);
    }

    /// Makes the delegate the source of fetches, because it is the first to learn of a change. The
    /// store is the fallback.
    fn set_sources(&mut self) {
        let me = &self.shared.member.host;
        let sources: Vec<HostId> =
            self.membership.delegate().filter(|host| *host != me).cloned().into_iter().collect();
        if sources != self.config.sources {
            self.config.sources.clone_from(&sources);
            self.on_config_event(Event::Sources(sources.into_iter().take(MAX_SOURCES).collect()));
        }
    }

    /// Handles a manifest version that was read from the store at `as_of`.
    pub(super) fn on_manifest_seen(&mut self, version: u64, as_of: Instant) {
        self.on_config_event(Event::ManifestSeen { object_version: version, as_of });
    }

    /// Rejects any configuration older than what another host has in force, so that an outdated
    /// store or peer can't restore withdrawn keys.
    pub(super) fn raise_min_config_version(&mut self) {
        let versions = self.membership.hosts().map(|entry| entry.config);
        if let Some(highest) = versions.max() {
            self.config.fetcher.raise_min_version(highest);
        }
    }

    fn on_config_event(&mut self, event: Event) {
        for command in self.config.fetcher.handle(Instant::now(), event) {
            match command {
                Command::FetchManifest { object_version: version, from } => {
                    self.fetch_manifest(version, from)
                }
                Command::FetchShard { hash, from } => self.fetch_shard(hash, from),
                Command::PutInForce { version, catalog, withdrawn } => {
                    self.put_in_force(version, catalog, &withdrawn);
                }
                Command::Log(log_event) => log::warn!("{log_event}"),
            }
        }
        // Checked after every event: a new version allows keys to be accepted again at once.
        let is_fresh = self.config.fetcher.key_freshness(Instant::now()) == Freshness::Fresh;
        self.shared.has_fresh_keys.store(is_fresh, Ordering::Release);
    }

    fn put_in_force(&mut self, version: u64, catalog: Arc<Catalog>, withdrawn: &[KeyId]) {
        let me = &self.shared.member;
        if catalog.draining.get(&me.host) == Some(&me.incarnation) {
            self.shared.is_drain_requested.store(true, Ordering::Release);
        }
        let keys = Arc::new(catalog.valid_keys());
        *self.shared.valid_keys.write().unwrap_or_else(PoisonError::into_inner) = keys;
        *self.shared.catalog.write().unwrap_or_else(PoisonError::into_inner) = catalog;
        self.membership.set_config(version);
        self.dispatchers.set_catalog();
        for key in withdrawn {
            self.shared.withdrawals.withdraw(key);
            let fields = EventFields::default().with("key", &**key);
            self.shared.events.record(Kind::KeyWithdrawn, fields);
        }
        let fields = EventFields::default().with("version", version);
        self.shared.events.record(Kind::ConfigInForce, fields);
        self.shared.metrics.gauge("config.version", version);
    }

    fn source_address(&self, source: &FetchSource) -> Option<SocketAddr> {
        match source {
            FetchSource::Store => None,
            FetchSource::Host(host) => self.membership.host(host)?.address.parse().ok(),
        }
    }

    fn fetch_manifest(&self, version: u64, from: FetchSource) {
        let (shared, address) = (self.shared.clone(), self.source_address(&from));
        self.shared.spawn(async move {
            let found = match address {
                Some(address) => manifest_from_peer(&shared, address).await,
                None => manifest_from_store(&shared).await,
            };
            let event = match found {
                Some((found, bytes)) if found >= version => {
                    Event::Manifest { object_version: found, bytes }
                }
                _ => Event::FetchFailed,
            };
            shared.control.submit(move |control| control.on_config_event(event));
        });
    }

    fn fetch_shard(&self, hash: String, from: FetchSource) {
        let (shared, address) = (self.shared.clone(), self.source_address(&from));
        self.shared.spawn(async move {
            let bytes = match address {
                Some(address) => shard_from_peer(&shared, address, hash.clone()).await,
                None => shard_from_store(&shared, &hash).await,
            };
            let event = match bytes {
                Some(bytes) => Event::Shard(Shard { hash, bytes }),
                None => Event::FetchFailed,
            };
            shared.control.submit(move |control| control.on_config_event(event));
        });
    }

    /// Replies to another host with a part of the configuration in force here.
    pub(crate) fn config_part(&self, part: &ConfigPart, reply: &Reply<Option<(u64, Vec<u8>)>>) {
        let fetcher = &self.config.fetcher;
        let found = match part {
            ConfigPart::Manifest => {
                fetcher.manifest().map(|(version, bytes)| (version, bytes.to_vec()))
            }
            // A shard has no version; the receiver checks its hash.
            ConfigPart::Shard(hash) => fetcher.shard(hash).map(|shard| (0, shard.bytes.clone())),
        };
        send_reply(reply, found);
    }
}

async fn manifest_from_store(shared: &Shared) -> Option<(u64, Vec<u8>)> {
    let object = shared.objects.get(MANIFEST_KEY).await.ok()??;
    Some((object.version, object.value))
}

async fn shard_from_store(shared: &Shared, hash: &str) -> Option<Vec<u8>> {
    let object = shared.objects.get(&shard_key(hash)).await.ok()??;
    Some(object.value)
}

async fn manifest_from_peer(shared: &Shared, address: SocketAddr) -> Option<(u64, Vec<u8>)> {
    part_from_peer(shared, address, ConfigPart::Manifest).await
}

async fn shard_from_peer(shared: &Shared, address: SocketAddr, hash: String) -> Option<Vec<u8>> {
    Some(part_from_peer(shared, address, ConfigPart::Shard(hash)).await?.1)
}

async fn part_from_peer(
    shared: &Shared,
    address: SocketAddr,
    part: ConfigPart,
) -> Option<(u64, Vec<u8>)> {
    let link = shared.peers.link(address);
    let send = |client: PeerClient, context| async move { client.config_part(context, part).await };
    link.call(FETCH_TIMEOUT, send).await.ok()?
}
