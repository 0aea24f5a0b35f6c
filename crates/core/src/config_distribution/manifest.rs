//! Encoding of a catalog as a manifest and shards.

use {
    crate::{
        catalog::{Catalog, Class, Key, KeyHash, Service, Team},
        ids::{ClassId, ConfigVersion, HostId, Incarnation, KeyId, ServiceId, TeamId},
    },
    derive_more::{Display, Error},
    error_stack::{Report, ensure},
    std::collections::{BTreeMap, BTreeSet},
};

/// Store key of the manifest.
pub const MANIFEST_KEY: &str = crate::membership::MANIFEST_KEY;
/// Prefix of the shards' store keys; the hash follows.
pub const SHARD_PREFIX: &str = "config/shard/";
/// Size limit of one value in the store, in bytes. Applies to shards and to the manifest.
pub const SHARD_BYTES_MAX: usize = 1 << 20;
/// Maximum number of shards for the teams, and likewise for the keys. With more shards, a change of
/// one team or key transfers a smaller shard, but each shard adds a line to the manifest. Must not
/// exceed 256, since `divide` uses one byte of the hash.
const SHARDS_PER_KIND_MAX: usize = 256;
/// Average number of teams or keys per shard above which the number of shards doubles.
const ITEMS_PER_SHARD: usize = 128;

/// BLAKE3 hash of a shard's bytes, truncated to 128 bits, in lower-case hexadecimal.
pub type ShardHash = String;

/// Length of a [`ShardHash`] in characters.
const HASH_CHARS: usize = 32;

/// The items of a catalog that one shard holds. Invariant: shards of one catalog don't overlap.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
struct ShardContent {
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    classes: BTreeMap<ClassId, Class>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    services: BTreeMap<ServiceId, Service>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    teams: BTreeMap<TeamId, Team>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    keys: BTreeMap<KeyHash, Key>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    draining: BTreeMap<HostId, Incarnation>,
}

/// A shard: some items of a catalog, named by the hash of their encoding.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Shard {
    /// Hash of `bytes`, which names the shard.
    pub hash: ShardHash,
    /// Items of a catalog, encoded as JSON.
    pub bytes: Vec<u8>,
}

/// Reference to a shard in a manifest.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ShardRef {
    /// Hash that names the shard.
    pub hash: ShardHash,
    /// Length of the shard in bytes.
    pub bytes: u32,
}

/// The manifest, which lists the shards of a configuration.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Manifest {
    /// Version of the configuration. Invariant: greater than that of the replaced manifest.
    pub version: ConfigVersion,
    /// Id of the change that created this version. With it, the operator's tool can find its own
    /// change when the answer to the write was lost.
    pub change: String,
    /// The preceding changes, the latest first, at most [`EARLIER_MAX`].
    #[serde(default)]
    pub earlier: Vec<PastChange>,
    /// The shards, in an order that depends only on the catalog.
    pub shards: Vec<ShardRef>,
}

/// A change that was accepted.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct PastChange {
    /// Version that the change created.
    pub version: ConfigVersion,
    /// Id of the change.
    pub change: String,
}

/// Maximum number of preceding changes that a manifest lists. An operator's tool that got no answer
/// to its write must read the manifest back before more changes than this follow.
pub const EARLIER_MAX: usize = 16;

/// Reason why a configuration is refused.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// The manifest is not valid.
    #[display("the manifest can't be read: {detail}")]
    BadManifest {
        /// Description of the error.
        detail: String,
    },
    /// A shard that the manifest lists is missing.
    #[display("shard {hash} is missing")]
    MissingShard {
        /// Name of the shard.
        hash: ShardHash,
    },
    /// The hash of a shard's bytes is not the one that names the shard.
    #[display("shard {hash} has content with the hash {found}")]
    WrongHash {
        /// Name of the shard.
        hash: ShardHash,
        /// Hash of its bytes.
        found: ShardHash,
    },
    /// A shard's bytes can't be decoded.
    #[display("shard {hash} can't be read: {detail}")]
    BadShard {
        /// Name of the shard.
        hash: ShardHash,
        /// Description of the error.
        detail: String,
    },
    /// Two shards contain the same item.
    #[display("{item} is in two shards")]
    DuplicateItem {
        /// Kind and name of the item.
        item: String,
    },
    /// A shard or the manifest exceeds the size limit of the store.
    #[display("a shard needs {bytes} bytes; at most {SHARD_BYTES_MAX} are accepted")]
    TooLarge {
        /// Length of the encoded value.
        bytes: usize,
    },
    /// A key names a team that isn't declared.
    #[display("key {key} names the team {team}, which is not declared")]
    UnknownTeam {
        /// Id of the key.
        key: KeyId,
        /// Id of the undeclared team.
        team: TeamId,
    },
}

/// Returns the store key of a shard.
pub fn shard_key(hash: &str) -> String {
    format!("{SHARD_PREFIX}{hash}")
}

/// Splits a catalog into shards and a manifest that lists them. The result is deterministic, and
/// changing one item of a catalog changes only one shard.
pub fn split(
    catalog: &Catalog,
    change: &str,
) -> Result<(Manifest, Vec<Shard>), Report<ConfigError>> {
    let mut contents = vec![ShardContent {
        classes: catalog.classes.clone(),
        services: catalog.services.clone(),
        draining: catalog.draining.clone(),
        ..ShardContent::default()
    }];
    contents.extend(
        divide(&catalog.teams)
            .into_iter()
            .map(|teams| ShardContent { teams, ..ShardContent::default() }),
    );
    contents.extend(
        divide(&catalog.keys)
            .into_iter()
            .map(|keys| ShardContent { keys, ..ShardContent::default() }),
    );
    let shards = contents.iter().map(encode_shard).collect::<Result<Vec<_>, _>>()?;
    let refs = shards
        .iter()
        .map(|shard| ShardRef {
            hash: shard.hash.clone(),
            bytes: u32::try_from(shard.bytes.len()).unwrap_or(u32::MAX),
        })
        .collect();
    let manifest = Manifest {
        version: catalog.version,
        change: change.into(),
        earlier: Vec::new(),
        shards: refs,
    };
    Ok((manifest, shards))
}

/// Assembles a catalog from the shards that its manifest lists. Checks the hash and content of each
/// shard, and that each key that is not withdrawn names a declared team.
pub fn assemble<'a>(
    manifest: &Manifest,
    shards: impl IntoIterator<Item = &'a Shard>,
) -> Result<Catalog, Report<ConfigError>> {
    let by_hash: BTreeMap<&str, &Shard> =
        shards.into_iter().map(|shard| (shard.hash.as_str(), shard)).collect();
    let mut catalog = Catalog { version: manifest.version, ..Catalog::default() };
    for shard_ref in &manifest.shards {
        let shard = by_hash
            .get(shard_ref.hash.as_str())
            .ok_or_else(|| ConfigError::MissingShard { hash: shard_ref.hash.clone() })?;
        merge(&mut catalog, decode_shard(shard)?)?;
    }
    check_teams(&catalog)?;
    Ok(catalog)
}

/// Encodes a manifest for the store. Fails if it exceeds [`SHARD_BYTES_MAX`].
pub fn encode_manifest(manifest: &Manifest) -> Result<Vec<u8>, Report<ConfigError>> {
    encode_checked(manifest)
}

/// Decodes a stored manifest and checks that its version is not zero.
pub fn decode_manifest(bytes: &[u8]) -> Result<Manifest, Report<ConfigError>> {
    let bad = |detail: String| Report::new(ConfigError::BadManifest { detail });
    let manifest: Manifest =
        serde_json::from_slice(bytes).map_err(|error| bad(error.to_string()))?;
    if manifest.version == 0 {
        return Err(bad("version 0 stands for no configuration".into()));
    }
    Ok(manifest)
}

/// Returns the ids of keys that are valid in the old catalog but not in the new one, because they
/// were withdrawn, removed or moved to another team. An id is left out if another hash with the
/// same id is still valid for its team.
pub fn withdrawn_between(old: &Catalog, new: &Catalog) -> Vec<KeyId> {
    let is_valid = |catalog: &Catalog, hash: &KeyHash, key: &Key| {
        !key.is_withdrawn
            && catalog.keys.get(hash).is_some_and(|k| k == key)
            && catalog.teams.contains_key(&key.team)
    };
    let still_valid: BTreeSet<(&KeyId, &TeamId)> = new
        .keys
        .iter()
        .filter(|(hash, key)| is_valid(new, hash, key))
        .map(|(_, key)| (&key.id, &key.team))
        .collect();
    let withdrawn: BTreeSet<&KeyId> = old
        .keys
        .iter()
        .filter(|(hash, key)| {
            is_valid(old, hash, key) && !still_valid.contains(&(&key.id, &key.team))
        })
        .map(|(_, key)| &key.id)
        .collect();
    withdrawn.into_iter().cloned().collect()
}

/// Divides items by the hash of their names. The number of divisions is a power of two that grows
/// with the number of items, so adding one item rarely moves others.
fn divide<K: Clone + Ord + AsRef<str>, V: Clone>(items: &BTreeMap<K, V>) -> Vec<BTreeMap<K, V>> {
    let count =
        items.len().div_ceil(ITEMS_PER_SHARD).next_power_of_two().clamp(1, SHARDS_PER_KIND_MAX);
    let mut divisions = vec![BTreeMap::new(); count];
    for (name, item) in items {
        let first = blake3::hash(name.as_ref().as_bytes()).as_bytes()[0];
        divisions[usize::from(first) % count].insert(name.clone(), item.clone());
    }
    divisions.retain(|division| !division.is_empty());
    divisions
}

fn encode_shard(content: &ShardContent) -> Result<Shard, Report<ConfigError>> {
    let bytes = encode_checked(content)?;
    Ok(Shard { hash: hash_of(&bytes), bytes })
}

fn encode_checked(value: &impl serde::Serialize) -> Result<Vec<u8>, Report<ConfigError>> {
    let bytes = serde_json::to_vec(value)
        .map_err(|error| ConfigError::BadManifest { detail: error.to_string() })?;
    ensure!(bytes.len() <= SHARD_BYTES_MAX, ConfigError::TooLarge { bytes: bytes.len() });
    Ok(bytes)
}

pub(super) fn hash_of(bytes: &[u8]) -> ShardHash {
    let mut hash = blake3::hash(bytes).to_hex().to_string();
    hash.truncate(HASH_CHARS);
    hash
}

fn decode_shard(shard: &Shard) -> Result<ShardContent, Report<ConfigError>> {
    let found = hash_of(&shard.bytes);
    ensure!(found == shard.hash, ConfigError::WrongHash { hash: shard.hash.clone(), found });
    serde_json::from_slice(&shard.bytes).map_err(|error| {
        Report::new(ConfigError::BadShard { hash: shard.hash.clone(), detail: error.to_string() })
    })
}

fn merge(catalog: &mut Catalog, content: ShardContent) -> Result<(), Report<ConfigError>> {
    merge_items(&mut catalog.classes, content.classes, "class")?;
    merge_items(&mut catalog.services, content.services, "service")?;
    merge_items(&mut catalog.teams, content.teams, "team")?;
    merge_items(&mut catalog.keys, content.keys, "key")?;
    merge_items(&mut catalog.draining, content.draining, "drain")
}

fn merge_items<K: Ord + AsRef<str>, V>(
    all: &mut BTreeMap<K, V>,
    items: BTreeMap<K, V>,
    kind: &str,
) -> Result<(), Report<ConfigError>> {
    for (name, item) in items {
        if all.contains_key(&name) {
            let item = format!("{kind} {}", name.as_ref());
            return Err(Report::new(ConfigError::DuplicateItem { item }));
        }
        all.insert(name, item);
    }
    Ok(())
}

fn check_teams(catalog: &Catalog) -> Result<(), Report<ConfigError>> {
    let unknown = catalog
        .keys
        .values()
        .find(|key| !key.is_withdrawn && !catalog.teams.contains_key(&key.team));
    match unknown {
        Some(key) => Err(Report::new(ConfigError::UnknownTeam {
            key: key.id.clone(),
            team: key.team.clone(),
        })),
        None => Ok(()),
    }
}
