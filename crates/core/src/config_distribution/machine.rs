//! The state machine that fetches a new configuration on one host and puts it in force.
//!
//! The manifest and the shards are fetched from the store or from another host. The version in
//! force never decreases: a manifest whose version isn't higher is ignored. A host stops accepting
//! keys if no report has confirmed for a few seconds that its manifest is the newest.

use {
    super::{
        ConfigError, Manifest, Shard, ShardHash, assemble, decode_manifest, manifest::hash_of,
        withdrawn_between,
    },
    crate::{
        catalog::Catalog,
        ids::{ConfigVersion, HostId, KeyId},
    },
    derive_more::Display,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Intervals and time-outs of the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Time for which a host accepts keys after its manifest was last confirmed to be the newest.
    pub freshness_timeout: Duration,
    /// Time after which a failed or unanswered fetch is retried from the next source.
    pub retry_interval: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { freshness_timeout: Duration::from_secs(5), retry_interval: Duration::from_secs(1) }
    }
}

/// Source from which a shard or the manifest is fetched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FetchSource {
    /// The object store.
    Store,
    /// Another host that may have the configuration in force.
    Host(HostId),
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The manifest had this object version at some time after `as_of`, as reported by
    /// [`crate::membership::Command::ManifestSeen`].
    ManifestSeen {
        /// Object version of the manifest; zero if it was absent.
        object_version: u64,
        /// Local time before the version was read.
        as_of: Instant,
    },
    /// The stored manifest was fetched, from the store or from a host.
    Manifest {
        /// Object version of the manifest.
        object_version: u64,
        /// The manifest, encoded as in the store.
        bytes: Vec<u8>,
    },
    /// A shard was fetched.
    Shard(Shard),
    /// A fetch failed.
    FetchFailed,
    /// The hosts to fetch from have changed. They are listed nearest first: the delegate, then
    /// hosts of the same domain.
    Sources(Vec<HostId>),
}

/// Output of the state machine, for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Fetch the manifest.
    FetchManifest {
        /// Object version to fetch.
        object_version: u64,
        /// Source to fetch from.
        from: FetchSource,
    },
    /// Fetch a shard.
    FetchShard {
        /// Name of the shard.
        hash: ShardHash,
        /// Source to fetch from.
        from: FetchSource,
    },
    /// Use the new catalog from now on.
    PutInForce {
        /// Version of the catalog.
        version: ConfigVersion,
        /// The new catalog.
        catalog: Arc<Catalog>,
        /// Keys that are no longer valid. The caller ends the requests that use them.
        withdrawn: Vec<KeyId>,
    },
    /// Write a log entry.
    Log(LogEvent),
}

/// A problem that is reported for the log only.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum LogEvent {
    /// A manifest or shard is not valid. The former configuration stays in force.
    #[display("configuration refused: {_0}")]
    Refused(ConfigError),
    /// A fetched manifest has a version that isn't higher than the one in force.
    #[display("configuration {found} ignored: {in_force} is in force or was")]
    NotNewer {
        /// Version of the fetched manifest.
        found: ConfigVersion,
        /// The highest version known to be or to have been in force, on this host or another.
        in_force: ConfigVersion,
    },
}

/// Whether the catalog in force is recent enough to accept keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The catalog in force was the newest within [`Options::freshness_timeout`].
    Fresh,
    /// The catalog in force may have been replaced, so a key that is valid in it may have been
    /// withdrawn.
    Stale,
}

/// The configuration in force on one host, and the progress of fetching a newer one.
#[derive(Debug)]
pub struct ConfigFetcher {
    options: Options,
    catalog: Arc<Catalog>,
    manifest: Option<Manifest>,
    manifest_bytes: Vec<u8>,
    /// Object version of the manifest in force; zero if there is none.
    current_object_version: u64,
    /// Invariant: no catalog with a lower version is put in force on this host.
    min_version: ConfigVersion,
    shards: BTreeMap<ShardHash, Arc<Shard>>,
    /// The most recently reported object version of the manifest, and a time before it was read.
    newest: Option<(u64, Instant)>,
    pending: Option<PendingManifest>,
    sources: Vec<HostId>,
    source_index: usize,
    retry_at: Option<Instant>,
}

/// A manifest whose shards are being fetched.
#[derive(Debug)]
struct PendingManifest {
    object_version: u64,
    manifest: Manifest,
    bytes: Vec<u8>,
    missing: BTreeSet<ShardHash>,
}

impl ConfigFetcher {
    /// Creates the state machine of a host that starts. `min_version` is the highest configuration
    /// version that is known from the rosters. Call [`ConfigFetcher::raise_min_version`] when a
    /// higher version is seen.
    pub fn new(options: Options, min_version: ConfigVersion) -> Self {
        Self {
            options,
            catalog: Arc::default(),
            manifest: None,
            manifest_bytes: Vec::new(),
            current_object_version: 0,
            min_version,
            shards: BTreeMap::new(),
            newest: None,
            pending: None,
            sources: Vec::new(),
            source_index: 0,
            retry_at: None,
        }
    }

    /// Records a version that another host has in force according to the view. No older version is
    /// put in force on this host.
    pub fn raise_min_version(&mut self, version: ConfigVersion) {
        self.min_version = self.min_version.max(version);
    }

    /// Returns the catalog in force. Its version is zero if there is none.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns the manifest in force, encoded, with its object version, to serve it to other hosts.
    pub fn manifest(&self) -> Option<(u64, &[u8])> {
        self.manifest
            .as_ref()
            .map(|_| (self.current_object_version, self.manifest_bytes.as_slice()))
    }

    /// Returns a shard, to serve it to other hosts.
    pub fn shard(&self, hash: &str) -> Option<&Arc<Shard>> {
        self.shards.get(hash)
    }

    /// Returns whether keys may be accepted now. Check this for each request.
    pub fn key_freshness(&self, now: Instant) -> Freshness {
        let is_fresh = self.newest.is_some_and(|(version, as_of)| {
            version == self.current_object_version
                && now.saturating_duration_since(as_of) < self.options.freshness_timeout
        });
        if is_fresh && self.catalog.version > 0 { Freshness::Fresh } else { Freshness::Stale }
    }

    /// Applies an event and returns the commands that follow from it.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::Tick => self.retry(now, &mut commands),
            Event::ManifestSeen { object_version, as_of } => {
                self.manifest_seen(now, object_version, as_of, &mut commands)
            }
            Event::Manifest { object_version, bytes } => {
                self.manifest_received(now, object_version, bytes, &mut commands)
            }
            Event::Shard(shard) => self.shard_received(now, shard, &mut commands),
            Event::FetchFailed => {
                self.source_index += 1;
                self.retry_at = self.retry_at.map(|at| at.min(now + self.options.retry_interval));
            }
            Event::Sources(sources) => self.sources = sources,
        }
        commands
    }

    fn manifest_seen(
        &mut self,
        now: Instant,
        object_version: u64,
        as_of: Instant,
        commands: &mut Vec<Command>,
    ) {
        let reported = self.newest;
        // Reports from two delegates may arrive out of order; the one with the later time counts.
        if reported.is_some_and(|(_, reported_as_of)| as_of < reported_as_of) {
            return;
        }
        self.newest = Some((object_version, as_of));
        // The version is in force, its shards are being fetched, or its manifest is being fetched.
        let needs_no_fetch = object_version == self.current_object_version
            || self
                .pending
                .as_ref()
                .is_some_and(|pending| pending.object_version == object_version)
            || reported
                .is_some_and(|(former, _)| former == object_version && self.retry_at.is_some());
        if !needs_no_fetch {
            self.pending = None;
            self.fetch(now, commands);
        }
    }

    fn retry(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if self.retry_at.is_some_and(|at| now >= at) {
            self.source_index += 1;
            self.fetch(now, commands);
        }
    }

    /// Requests what is missing: the manifest, or the missing shards of the pending one.
    fn fetch(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let Some((object_version, _)) = self
            .newest
            .filter(|(object_version, _)| *object_version != self.current_object_version)
        else {
            self.retry_at = None;
            return;
        };
        if object_version == 0 {
            self.retry_at = None;
            return;
        }
        self.retry_at = Some(now + self.options.retry_interval);
        let from = self.source();
        match &self.pending {
            None => commands.push(Command::FetchManifest { object_version, from }),
            Some(pending) => commands.extend(
                pending
                    .missing
                    .iter()
                    .map(|hash| Command::FetchShard { hash: hash.clone(), from: from.clone() }),
            ),
        }
    }

    /// Returns the current source to fetch from. The sources are tried in order: every host, then
    /// the store.
    fn source(&self) -> FetchSource {
        let source_index = self.source_index % (self.sources.len() + 1);
        self.sources
            .get(source_index)
            .map_or(FetchSource::Store, |host| FetchSource::Host(host.clone()))
    }

    fn manifest_received(
        &mut self,
        now: Instant,
        object_version: u64,
        bytes: Vec<u8>,
        commands: &mut Vec<Command>,
    ) {
        let is_expected = self.newest.is_none_or(|(newest, _)| newest == object_version)
            && object_version != self.current_object_version
            && self.pending.is_none();
        if !is_expected {
            return;
        }
        let manifest = match decode_manifest(&bytes) {
            Ok(manifest) => manifest,
            Err(report) => return self.log_refusal(report.current_context(), commands),
        };
        if self.manifest.as_ref() == Some(&manifest) {
            self.current_object_version = object_version;
            self.retry_at = None;
            return;
        }
        if manifest.version < self.min_version || manifest.version <= self.catalog.version {
            let in_force = self.min_version.max(self.catalog.version);
            commands.push(Command::Log(LogEvent::NotNewer { found: manifest.version, in_force }));
            return;
        }
        let missing = manifest
            .shards
            .iter()
            .map(|shard| shard.hash.clone())
            .filter(|hash| !self.shards.contains_key(hash))
            .collect();
        self.pending = Some(PendingManifest { object_version, manifest, bytes, missing });
        if !self.try_put_in_force(commands) {
            self.fetch(now, commands);
        }
    }

    fn shard_received(&mut self, _now: Instant, shard: Shard, commands: &mut Vec<Command>) {
        let Some(pending) = &mut self.pending else { return };
        if !pending.missing.contains(&shard.hash) {
            return;
        }
        let found = hash_of(&shard.bytes);
        if found != shard.hash {
            // Another source may have the right bytes, so the shard stays missing and is fetched
            // again.
            let error = ConfigError::WrongHash { hash: shard.hash, found };
            self.source_index += 1;
            return self.log_refusal(&error, commands);
        }
        pending.missing.remove(&shard.hash);
        self.shards.insert(shard.hash.clone(), Arc::new(shard));
        self.try_put_in_force(commands);
    }

    /// Puts the pending configuration in force if no shard is missing. Returns whether all shards
    /// were present, even if the configuration was then refused.
    fn try_put_in_force(&mut self, commands: &mut Vec<Command>) -> bool {
        if self.pending.as_ref().is_none_or(|pending| !pending.missing.is_empty()) {
            return false;
        }
        let Some(pending) = self.pending.take() else { return false };
        let shards = self.shards.values().map(AsRef::as_ref);
        match assemble(&pending.manifest, shards) {
            Ok(catalog) => self.put_in_force(pending, catalog, commands),
            Err(report) => self.log_refusal(report.current_context(), commands),
        }
        true
    }

    fn put_in_force(
        &mut self,
        pending: PendingManifest,
        catalog: Catalog,
        commands: &mut Vec<Command>,
    ) {
        let catalog = Arc::new(catalog);
        let withdrawn = withdrawn_between(&self.catalog, &catalog);
        let listed: BTreeSet<&ShardHash> =
            pending.manifest.shards.iter().map(|shard| &shard.hash).collect();
        self.shards.retain(|hash, _| listed.contains(hash));
        self.catalog = catalog.clone();
        self.min_version = self.min_version.max(catalog.version);
        self.current_object_version = pending.object_version;
        self.manifest = Some(pending.manifest);
        self.manifest_bytes = pending.bytes;
        self.retry_at = None;
        commands.push(Command::PutInForce { version: catalog.version, catalog, withdrawn });
    }

    fn log_refusal(&self, error: &ConfigError, commands: &mut Vec<Command>) {
        commands.push(Command::Log(LogEvent::Refused(error.clone())));
    }
}
