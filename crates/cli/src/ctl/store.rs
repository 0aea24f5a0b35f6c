//! Reads the configuration from the Object API and changes it by one conditional update.

use {
    super::error::CtlError,
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

/// Timeout of one call of the Object API.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of tries of an idempotent call.
const MAX_TRIES: usize = 5;
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Number of keys in one page of a listing.
const PAGE_KEYS: usize = 1000;
/// Key prefix of the archived copies of replaced manifests. The version follows the prefix.
const HISTORY_PREFIX: &str = "config/history/";

/// Client of the store for the commands of operators.
#[derive(Debug)]
pub(super) struct Store {
    api: ObjectApi,
}

/// The configuration in force at the time of the read.
#[derive(Clone, Debug)]
pub(super) struct CurrentConfig {
    /// Object version of the manifest; zero if there is none.
    pub object_version: u64,
    /// The manifest; `None` before the first configuration.
    pub manifest: Option<Manifest>,
    /// Content of the manifest's shards; empty and with version 0 if there is no manifest.
    pub catalog: Catalog,
}

impl CurrentConfig {
    fn versioned_manifest(&self) -> Option<(u64, &Manifest)> {
        self.manifest.as_ref().map(|manifest| (self.object_version, manifest))
    }
}

/// Outcome of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum SubmitOutcome {
    /// The change was accepted with this version.
    Accepted(ConfigVersion),
    /// Another change was accepted first.
    Conflict {
        /// The version in force.
        version: ConfigVersion,
        /// Id of the change that created the version.
        change: String,
    },
}

impl Store {
    pub fn new(address: SocketAddr) -> Self {
        Self { api: ObjectApi::new(address, CALL_TIMEOUT) }
    }

    /// Reads the configuration. Fails if a shard is missing, which can happen if the configuration
    /// is replaced during the read.
    pub async fn current_config(&self) -> Result<CurrentConfig, CtlError> {
        let (object_version, manifest) = self.manifest().await?;
        let catalog = match &manifest {
            Some(manifest) => self.catalog(manifest).await?,
            None => Catalog::default(),
        };
        Ok(CurrentConfig { object_version, manifest, catalog })
    }

    /// Reads the manifest and its object version.
    pub async fn manifest(&self) -> Result<(u64, Option<Manifest>), CtlError> {
        match self.get(MANIFEST_KEY).await? {
            Some((version, bytes)) => Ok((version, Some(parse_manifest(&bytes)?))),
            None => Ok((0, None)),
        }
    }

    /// Reads the shards of a manifest and assembles the catalog.
    pub async fn catalog(&self, manifest: &Manifest) -> Result<Catalog, CtlError> {
        let mut shards = Vec::with_capacity(manifest.shards.len());
        for shard in &manifest.shards {
            let Some((_, bytes)) = self.get(&shard_key(&shard.hash)).await? else {
                let detail = format!("shard {} of version {}", shard.hash, manifest.version);
                return Err(CtlError::Failed(format!("{detail} is not in the store")));
            };
            shards.push(Shard { hash: shard.hash.clone(), bytes });
        }
        assemble(manifest, &shards).map_err(|error| CtlError::Failed(error.to_string()))
    }

    /// Reads the archived manifest of a replaced version.
    pub async fn past_manifest(&self, version: ConfigVersion) -> Result<Manifest, CtlError> {
        match self.get(&history_key(version)).await? {
            Some((_, bytes)) => parse_manifest(&bytes),
            None => Err(CtlError::Failed(format!("version {version} is not in the history"))),
        }
    }

    /// Reads the rosters of all failure domains.
    pub async fn rosters(&self) -> Result<Vec<Roster>, CtlError> {
        let mut rosters = Vec::new();
        for key in self.list_keys(ROSTER_PREFIX).await? {
            let Some((_, bytes)) = self.get(&key).await? else { continue };
            let roster = serde_json::from_slice(&bytes)
                .map_err(|error| CtlError::Failed(format!("{key} can't be read: {error}")))?;
            rosters.push(roster);
        }
        Ok(rosters)
    }

    /// Lists all keys under a prefix.
    pub async fn list_keys(&self, prefix: &str) -> Result<Vec<String>, CtlError> {
        let mut keys: Vec<String> = Vec::new();
        loop {
            let after = keys.last().cloned().unwrap_or_default();
            let page = self.api.list(prefix, &after, PAGE_KEYS).await?;
            if page.is_empty() {
                return Ok(keys);
            }
            keys.extend(page.into_iter().map(|object| object.key));
        }
    }

    /// Reads an object and its version.
    pub async fn get(&self, key: &str) -> Result<Option<(u64, Vec<u8>)>, CtlError> {
        let mut tries = 1;
        loop {
            match self.api.get(key).await {
                Ok(object) => return Ok(object.map(|object| (object.version, object.value))),
                Err(error) if tries == MAX_TRIES => return Err(error.into()),
                Err(_) => tries += 1,
            }
            Timer::after(RETRY_DELAY).await;
        }
    }

    /// Replaces the configuration `current` with `new`, unless another change has replaced
    /// `current`. The change is accepted at most once, even if responses are lost.
    pub async fn apply(
        &self,
        current: &CurrentConfig,
        new: &Catalog,
        change: &str,
    ) -> Result<SubmitOutcome, CtlError> {
        let plan = plan_apply(current.versioned_manifest(), new, change)
            .map_err(|error| CtlError::Failed(error.to_string()))?;
        if let Some(manifest) = &current.manifest {
            self.archive_manifest(manifest).await?;
        }
        for shard in &plan.new_shards {
            self.create(&shard_key(&shard.hash), &shard.bytes).await?;
        }
        self.replace_manifest(&plan).await
    }

    /// Archives a manifest before it is replaced, so that `rollback` can restore its content.
    async fn archive_manifest(&self, manifest: &Manifest) -> Result<(), CtlError> {
        let bytes =
            encode_manifest(manifest).map_err(|error| CtlError::Failed(error.to_string()))?;
        self.create(&history_key(manifest.version), &bytes).await
    }

    /// Creates an object whose key determines its content. Succeeds if the object already
    /// exists.
    async fn create(&self, key: &str, bytes: &[u8]) -> Result<(), CtlError> {
        let mut tries = 1;
        loop {
            match self.api.put(key, 0, bytes.to_vec()).await {
                Ok(_) | Err(WriteError::Conflict { .. }) => return Ok(()),
                Err(WriteError::Unknown(_)) if self.get(key).await?.is_some() => return Ok(()),
                Err(error) if tries == MAX_TRIES => return Err(CtlError::Store(error.to_string())),
                Err(_) => tries += 1,
            }
            Timer::after(RETRY_DELAY).await;
        }
    }

    /// Writes the manifest. After a lost response, reads the manifest back to find the outcome. The
    /// condition on the object version makes it safe to write the same plan again.
    async fn replace_manifest(&self, plan: &ApplyPlan) -> Result<SubmitOutcome, CtlError> {
        let mut may_have_applied = false;
        let mut cause = String::new();
        for _ in 0..MAX_TRIES {
            match self.api.put(MANIFEST_KEY, plan.if_version, plan.bytes.clone()).await {
                Ok(_) => return Ok(SubmitOutcome::Accepted(plan.manifest.version)),
                Err(error) => {
                    may_have_applied |= matches!(error, WriteError::Unknown(_));
                    cause = error.to_string();
                }
            }
            match self.resolve(plan).await {
                Ok(Some(applied)) => return Ok(applied),
                Ok(None) => Timer::after(RETRY_DELAY).await,
                Err(err) if may_have_applied => return Err(unknown_result(plan, &err.to_string())),
                Err(error) => return Err(error),
            };
        }
        Err(match may_have_applied {
            true => unknown_result(plan, &cause),
            false => CtlError::Store(cause),
        })
    }

    /// Reads the outcome of a plan; `None` if the plan has not been accepted so far.
    async fn resolve(&self, plan: &ApplyPlan) -> Result<Option<SubmitOutcome>, CtlError> {
        let (object_version, manifest) = self.manifest().await?;
        let stored = manifest.as_ref().map(|manifest| (object_version, manifest));
        match resolve_apply(plan, stored) {
            ApplyOutcome::Accepted(version) => Ok(Some(SubmitOutcome::Accepted(version))),
            ApplyOutcome::NotAccepted => Ok(None),
            ApplyOutcome::Conflict { version, change } => {
                Ok(Some(SubmitOutcome::Conflict { version, change }))
            }
            ApplyOutcome::Unknown { version } => {
                let cause = format!(
                    "version {version} is in force, and its list of earlier changes does \
                                     not reach back to this change"
                );
                Err(unknown_result(plan, &cause))
            }
        }
    }
}

/// Returns the error for a plan whose outcome is unknown.
fn unknown_result(plan: &ApplyPlan, cause: &str) -> CtlError {
    CtlError::Unknown { change: plan.manifest.change.clone(), cause: cause.to_owned() }
}

fn parse_manifest(bytes: &[u8]) -> Result<Manifest, CtlError> {
    decode_manifest(bytes).map_err(|error| CtlError::Failed(error.to_string()))
}

/// Returns the key of an archived manifest. Keys sort by version.
fn history_key(version: ConfigVersion) -> String {
    format!("{HISTORY_PREFIX}{version:012}")
}
