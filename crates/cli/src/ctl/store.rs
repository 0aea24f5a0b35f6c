//! The configuration in the Object API: read whole, changed by one conditional update.

use {
    super::fault::CtlError,
    smol::Timer,
    std::{net::SocketAddr, time::Duration},
    trefoilring_clients::{ObjectApi, WriteError},
    trefoilring_core::{
        catalog::Catalog,
        config_distribution::{
            ApplyOutcome, ApplyPlan, MANIFEST_KEY, Manifest, Shard, assemble, decode_manifest,
            encode_manifest, plan_apply, resolve_apply, shard_key,
        },
        ids::ConfigVersion,
        membership::{ROSTER_PREFIX, Roster},
    },
};

/// The longest that one call of the store takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Tries of a call that has no effect, or whose repetition has none.
const TRIES: usize = 5;
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Keys in one page of a list.
const PAGE_KEYS: usize = 1000;
/// Prefix of copies of manifests that were replaced; the version follows.
const HISTORY_PREFIX: &str = "config/history/";

/// The store as operators use it.
#[derive(Debug)]
pub(super) struct Store {
    api: ObjectApi,
}

/// The configuration as read.
#[derive(Clone, Debug)]
pub(super) struct Current {
    /// Version of the manifest's object, zero for none.
    pub object_version: u64,
    /// The manifest, if there is one.
    pub manifest: Option<Manifest>,
    /// What it names; empty and of version 0 without one.
    pub catalog: Catalog,
}

impl Current {
    fn named(&self) -> Option<(u64, &Manifest)> {
        self.manifest.as_ref().map(|manifest| (self.object_version, manifest))
    }
}

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Applied {
    /// Accepted with this version.
    Accepted(ConfigVersion),
    /// Another change came first.
    Conflict {
        /// The version in force.
        version: ConfigVersion,
        /// The change that made it.
        change: String,
    },
}

impl Store {
    pub fn new(address: SocketAddr) -> Self {
        Self { api: ObjectApi::new(address, CALL_TIMEOUT) }
    }

    /// Reads the configuration. Shards that vanish meanwhile mean that it was replaced.
    pub async fn current(&self) -> Result<Current, CtlError> {
        let (object_version, manifest) = self.manifest().await?;
        let catalog = match &manifest {
            Some(manifest) => self.catalog(manifest).await?,
            None => Catalog::default(),
        };
        Ok(Current { object_version, manifest, catalog })
    }

    /// Reads the manifest with its object version.
    pub async fn manifest(&self) -> Result<(u64, Option<Manifest>), CtlError> {
        match self.get(MANIFEST_KEY).await? {
            Some((version, bytes)) => Ok((version, Some(decode(&bytes)?))),
            None => Ok((0, None)),
        }
    }

    /// Reads the content that a manifest names.
    pub async fn catalog(&self, manifest: &Manifest) -> Result<Catalog, CtlError> {
        let mut shards = Vec::with_capacity(manifest.shards.len());
        for named in &manifest.shards {
            let Some((_, bytes)) = self.get(&shard_key(&named.hash)).await? else {
                let detail = format!("shard {} of version {}", named.hash, manifest.version);
                return Err(CtlError::Failed(format!("{detail} is not in the store")));
            };
            shards.push(Shard { hash: named.hash.clone(), bytes });
        }
        assemble(manifest, &shards).map_err(|error| CtlError::Failed(error.to_string()))
    }

    /// Reads the manifest of a version that was replaced.
    pub async fn past(&self, version: ConfigVersion) -> Result<Manifest, CtlError> {
        match self.get(&history_key(version)).await? {
            Some((_, bytes)) => decode(&bytes),
            None => Err(CtlError::Failed(format!("version {version} is not kept"))),
        }
    }

    /// Reads the rosters of all failure domains.
    pub async fn rosters(&self) -> Result<Vec<Roster>, CtlError> {
        let mut rosters = Vec::new();
        for listed in self.keys(ROSTER_PREFIX).await? {
            let Some((_, bytes)) = self.get(&listed).await? else { continue };
            let roster = serde_json::from_slice(&bytes)
                .map_err(|error| CtlError::Failed(format!("{listed} can't be read: {error}")))?;
            rosters.push(roster);
        }
        Ok(rosters)
    }

    /// Lists all keys under a prefix.
    pub async fn keys(&self, prefix: &str) -> Result<Vec<String>, CtlError> {
        let mut keys: Vec<String> = Vec::new();
        loop {
            let after = keys.last().cloned().unwrap_or_default();
            let page = self.api.list(prefix, &after, PAGE_KEYS).await?;
            if page.is_empty() {
                return Ok(keys);
            }
            keys.extend(page.into_iter().map(|listed| listed.key));
        }
    }

    /// Reads an object with its version.
    pub async fn get(&self, key: &str) -> Result<Option<(u64, Vec<u8>)>, CtlError> {
        let mut tries = 1;
        loop {
            match self.api.get(key).await {
                Ok(object) => return Ok(object.map(|object| (object.version, object.value))),
                Err(error) if tries == TRIES => return Err(error.into()),
                Err(_) => tries += 1,
            }
            Timer::after(RETRY_PAUSE).await;
        }
    }

    /// Makes a change on what was read. It is accepted at most once, whatever answers are lost.
    pub async fn apply(
        &self,
        current: &Current,
        new: &Catalog,
        change: &str,
    ) -> Result<Applied, CtlError> {
        let plan = plan_apply(current.named(), new, change)
            .map_err(|error| CtlError::Failed(error.to_string()))?;
        if let Some(manifest) = &current.manifest {
            self.keep(manifest).await?;
        }
        for shard in &plan.new_shards {
            self.create(&shard_key(&shard.hash), &shard.bytes).await?;
        }
        self.replace_manifest(&plan).await
    }

    /// Keeps a manifest that is about to be replaced, so that its content can come back.
    async fn keep(&self, manifest: &Manifest) -> Result<(), CtlError> {
        let bytes =
            encode_manifest(manifest).map_err(|error| CtlError::Failed(error.to_string()))?;
        self.create(&history_key(manifest.version), &bytes).await
    }

    /// Creates an object whose key says what it holds, so that it may be there already.
    async fn create(&self, key: &str, bytes: &[u8]) -> Result<(), CtlError> {
        let mut tries = 1;
        loop {
            match self.api.put(key, 0, bytes.to_vec()).await {
                Ok(_) | Err(WriteError::Conflict { .. }) => return Ok(()),
                Err(WriteError::Unknown(_)) if self.get(key).await?.is_some() => return Ok(()),
                Err(error) if tries == TRIES => return Err(CtlError::Store(error.to_string())),
                Err(_) => tries += 1,
            }
            Timer::after(RETRY_PAUSE).await;
        }
    }

    /// Writes the manifest. A lost answer is resolved by reading back; the condition on the
    /// object's version makes writing the same plan again safe.
    async fn replace_manifest(&self, plan: &ApplyPlan) -> Result<Applied, CtlError> {
        let mut may_have_applied = false;
        let mut cause = String::new();
        for _ in 0..TRIES {
            match self.api.put(MANIFEST_KEY, plan.if_version, plan.bytes.clone()).await {
                Ok(_) => return Ok(Applied::Accepted(plan.manifest.version)),
                Err(error) => {
                    may_have_applied |= matches!(error, WriteError::Unknown(_));
                    cause = error.to_string();
                }
            }
            match self.resolve(plan).await {
                Ok(Some(applied)) => return Ok(applied),
                Ok(None) => Timer::after(RETRY_PAUSE).await,
                Err(error) if may_have_applied => return Err(unknown(plan, &error.to_string())),
                Err(error) => return Err(error),
            };
        }
        Err(match may_have_applied {
            true => unknown(plan, &cause),
            false => CtlError::Store(cause),
        })
    }

    /// Finds out what became of a plan; `None` if it has not been accepted so far.
    async fn resolve(&self, plan: &ApplyPlan) -> Result<Option<Applied>, CtlError> {
        let (object_version, manifest) = self.manifest().await?;
        let found = manifest.as_ref().map(|manifest| (object_version, manifest));
        match resolve_apply(plan, found) {
            ApplyOutcome::Accepted(version) => Ok(Some(Applied::Accepted(version))),
            ApplyOutcome::NotAccepted => Ok(None),
            ApplyOutcome::Conflict { version, change } => {
                Ok(Some(Applied::Conflict { version, change }))
            }
            ApplyOutcome::Unknown { version } => {
                let cause = format!(
                    "version {version} is in force, and its record of changes is \
                                     too short"
                );
                Err(unknown(plan, &cause))
            }
        }
    }
}

fn unknown(plan: &ApplyPlan, cause: &str) -> CtlError {
    CtlError::Unknown { change: plan.manifest.change.clone(), cause: cause.to_owned() }
}

fn decode(bytes: &[u8]) -> Result<Manifest, CtlError> {
    decode_manifest(bytes).map_err(|error| CtlError::Failed(error.to_string()))
}

/// Key of a kept manifest. Keys sort by version.
fn history_key(version: ConfigVersion) -> String {
    format!("{HISTORY_PREFIX}{version:012}")
}
