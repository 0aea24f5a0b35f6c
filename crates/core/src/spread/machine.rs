//! Takes a new configuration in on one host.
//!
//! The manifest comes from the store or from another host, shards likewise. What is in force never
//! goes back: a manifest with a version that isn't higher is ignored. A host that hasn't heard for
//! a few seconds that its manifest is the newest stops accepting keys.

use {
    super::{
        Manifest, Shard, ShardHash, SpreadError, assemble, decode_manifest, manifest::hash_of,
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

/// Times of the machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// How long a host accepts keys after it last heard that its manifest is the newest.
    pub fresh: Duration,
    /// Wait before a failed or unanswered fetch is tried again, at the next source.
    pub retry: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { fresh: Duration::from_secs(5), retry: Duration::from_secs(1) }
    }
}

/// Where to get a shard or the manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardSource {
    /// The store.
    Store,
    /// Another host, which has it in force.
    Host(HostId),
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time went by.
    Tick,
    /// The manifest's object version was this (zero: absent) at some time after `as_of`, from
    /// [`crate::membership::Command::ManifestSeen`].
    ManifestSeen {
        /// Object version.
        version: u64,
        /// Local time.
        as_of: Instant,
    },
    /// The manifest as stored, from the store or from a host that has it.
    Manifest {
        /// Object version of these bytes.
        version: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A shard came.
    Shard(Shard),
    /// A fetch failed.
    FetchFailed,
    /// Hosts that may be asked, nearest first: the delegate, then hosts of the own domain.
    Sources(Vec<HostId>),
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Fetch the manifest, of at least this object version.
    FetchManifest {
        /// Object version.
        version: u64,
        /// Where.
        from: ShardSource,
    },
    /// Fetch a shard.
    FetchShard {
        /// The shard.
        hash: ShardHash,
        /// Where.
        from: ShardSource,
    },
    /// A new catalog is in force.
    InForce {
        /// Its version.
        version: ConfigVersion,
        /// The catalog.
        catalog: Arc<Catalog>,
        /// Keys that no longer hold: end what runs with them.
        withdrawn: Vec<KeyId>,
    },
    /// For logs.
    Note(Note),
}

/// What people want to know.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Note {
    /// A manifest or shard is not valid; the former configuration stays in force.
    #[display("configuration refused: {_0}")]
    Refused(SpreadError),
    /// The store names a version that isn't above the one in force.
    #[display("configuration {found} ignored: {in_force} is in force or was")]
    NotNewer {
        /// The version found.
        found: ConfigVersion,
        /// The version that holds.
        in_force: ConfigVersion,
    },
}

/// Whether keys may be accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The catalog in force was the newest a moment ago.
    Fresh,
    /// It may have been replaced: a key that holds in it may have been withdrawn.
    Stale,
}

/// The configuration of one host.
#[derive(Debug)]
pub struct Spread {
    options: Options,
    catalog: Arc<Catalog>,
    manifest: Option<Manifest>,
    manifest_bytes: Vec<u8>,
    /// Object version of the manifest in force.
    in_force: u64,
    /// Invariant: no catalog of a lower version comes into force here.
    floor: ConfigVersion,
    shards: BTreeMap<ShardHash, Arc<Shard>>,
    /// The newest object version heard of, and when it is known to have held.
    newest: Option<(u64, Instant)>,
    next: Option<Next>,
    sources: Vec<HostId>,
    turn: usize,
    retry_at: Option<Instant>,
}

/// A manifest whose shards are being fetched.
#[derive(Debug)]
struct Next {
    object_version: u64,
    manifest: Manifest,
    bytes: Vec<u8>,
    missing: BTreeSet<ShardHash>,
}

impl Spread {
    /// Makes the machine of a host that starts. `floor` is the highest version that any roster
    /// names, as far as is known; [`Spread::raise_floor`] takes what comes later.
    pub fn new(options: Options, floor: ConfigVersion) -> Self {
        Self {
            options,
            catalog: Arc::default(),
            manifest: None,
            manifest_bytes: Vec::new(),
            in_force: 0,
            floor,
            shards: BTreeMap::new(),
            newest: None,
            next: None,
            sources: Vec::new(),
            turn: 0,
            retry_at: None,
        }
    }

    /// Learns what another host has in force, from the view: nothing older comes into force here.
    pub fn raise_floor(&mut self, version: ConfigVersion) {
        self.floor = self.floor.max(version);
    }

    /// Returns the catalog in force; version zero stands for none.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns the stored manifest in force with its object version, for a host that asks.
    pub fn manifest(&self) -> Option<(u64, &[u8])> {
        self.manifest.as_ref().map(|_| (self.in_force, self.manifest_bytes.as_slice()))
    }

    /// Returns a shard in force, for a host that asks.
    pub fn shard(&self, hash: &str) -> Option<&Arc<Shard>> {
        self.shards.get(hash)
    }

    /// Returns whether keys may be accepted now. Ask at each request.
    pub fn key_freshness(&self, now: Instant) -> Freshness {
        let is_fresh = self.newest.is_some_and(|(version, as_of)| {
            version == self.in_force && now.saturating_duration_since(as_of) < self.options.fresh
        });
        if is_fresh && self.catalog.version > 0 { Freshness::Fresh } else { Freshness::Stale }
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.retry(now, &mut out),
            Event::ManifestSeen { version, as_of } => self.seen(now, version, as_of, &mut out),
            Event::Manifest { version, bytes } => self.manifest_came(now, version, bytes, &mut out),
            Event::Shard(shard) => self.shard_came(now, shard, &mut out),
            Event::FetchFailed => {
                self.turn += 1;
                self.retry_at = self.retry_at.map(|at| at.min(now + self.options.retry));
            }
            Event::Sources(sources) => self.sources = sources,
        }
        out
    }

    fn seen(&mut self, now: Instant, version: u64, as_of: Instant, out: &mut Vec<Command>) {
        let known = self.newest;
        // Two delegates' words may cross: the one that is known to have held later counts.
        if known.is_some_and(|(_, known_as_of)| as_of < known_as_of) {
            return;
        }
        self.newest = Some((version, as_of));
        let is_known = version == self.in_force
            || self.next.as_ref().is_some_and(|next| next.object_version == version)
            || known.is_some_and(|(known, _)| known == version && self.retry_at.is_some());
        if !is_known {
            self.next = None;
            self.fetch(now, out);
        }
    }

    fn retry(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.retry_at.is_some_and(|at| now >= at) {
            self.turn += 1;
            self.fetch(now, out);
        }
    }

    /// Fetches what is missing: the manifest, or shards of the next one.
    fn fetch(&mut self, now: Instant, out: &mut Vec<Command>) {
        let Some((version, _)) = self.newest.filter(|(version, _)| *version != self.in_force)
        else {
            self.retry_at = None;
            return;
        };
        if version == 0 {
            self.retry_at = None;
            return;
        }
        self.retry_at = Some(now + self.options.retry);
        let from = self.source();
        match &self.next {
            None => out.push(Command::FetchManifest { version, from }),
            Some(next) => out.extend(
                next.missing
                    .iter()
                    .map(|hash| Command::FetchShard { hash: hash.clone(), from: from.clone() }),
            ),
        }
    }

    /// Returns whom to ask: the hosts in turn, then the store.
    fn source(&self) -> ShardSource {
        let turn = self.turn % (self.sources.len() + 1);
        self.sources.get(turn).map_or(ShardSource::Store, |host| ShardSource::Host(host.clone()))
    }

    fn manifest_came(
        &mut self,
        now: Instant,
        version: u64,
        bytes: Vec<u8>,
        out: &mut Vec<Command>,
    ) {
        let is_wanted = self.newest.is_none_or(|(newest, _)| newest == version)
            && version != self.in_force
            && self.next.is_none();
        if !is_wanted {
            return;
        }
        let manifest = match decode_manifest(&bytes) {
            Ok(manifest) => manifest,
            Err(report) => return self.refuse(report.current_context(), out),
        };
        if self.manifest.as_ref() == Some(&manifest) {
            self.in_force = version;
            self.retry_at = None;
            return;
        }
        if manifest.version < self.floor || manifest.version <= self.catalog.version {
            let in_force = self.floor.max(self.catalog.version);
            out.push(Command::Note(Note::NotNewer { found: manifest.version, in_force }));
            return;
        }
        let missing = manifest
            .shards
            .iter()
            .map(|shard| shard.hash.clone())
            .filter(|hash| !self.shards.contains_key(hash))
            .collect();
        self.next = Some(Next { object_version: version, manifest, bytes, missing });
        if !self.finish(out) {
            self.fetch(now, out);
        }
    }

    fn shard_came(&mut self, _now: Instant, shard: Shard, out: &mut Vec<Command>) {
        let Some(next) = &mut self.next else { return };
        if !next.missing.contains(&shard.hash) {
            return;
        }
        let found = hash_of(&shard.bytes);
        if found != shard.hash {
            // Another source may have the right bytes: it is fetched again.
            let error = SpreadError::WrongHash { hash: shard.hash, found };
            self.turn += 1;
            return self.refuse(&error, out);
        }
        next.missing.remove(&shard.hash);
        self.shards.insert(shard.hash.clone(), Arc::new(shard));
        self.finish(out);
    }

    /// Brings the next catalog into force if nothing is missing.
    fn finish(&mut self, out: &mut Vec<Command>) -> bool {
        if self.next.as_ref().is_none_or(|next| !next.missing.is_empty()) {
            return false;
        }
        let Some(next) = self.next.take() else { return false };
        let shards = self.shards.values().map(AsRef::as_ref);
        match assemble(&next.manifest, shards) {
            Ok(catalog) => self.put_in_force(next, catalog, out),
            Err(report) => self.refuse(report.current_context(), out),
        }
        true
    }

    fn put_in_force(&mut self, next: Next, catalog: Catalog, out: &mut Vec<Command>) {
        let catalog = Arc::new(catalog);
        let withdrawn = withdrawn_between(&self.catalog, &catalog);
        let named: BTreeSet<&ShardHash> =
            next.manifest.shards.iter().map(|shard| &shard.hash).collect();
        self.shards.retain(|hash, _| named.contains(hash));
        self.catalog = catalog.clone();
        self.floor = self.floor.max(catalog.version);
        self.in_force = next.object_version;
        self.manifest = Some(next.manifest);
        self.manifest_bytes = next.bytes;
        self.retry_at = None;
        out.push(Command::InForce { version: catalog.version, catalog, withdrawn });
    }

    fn refuse(&self, error: &SpreadError, out: &mut Vec<Command>) {
        out.push(Command::Note(Note::Refused(error.clone())));
    }
}
