//! A catalog as a manifest and shards.

use {
    crate::{
        catalog::{Catalog, Class, Key, KeyHash, Service, Team},
        ids::{ClassId, ConfigVersion, HostId, Incarnation, KeyId, ServiceId, TeamId},
    },
    derive_more::{Display, Error},
    error_stack::{Report, ensure},
    std::collections::{BTreeMap, BTreeSet},
};

/// Key of the manifest in the store.
pub const MANIFEST_KEY: &str = crate::membership::MANIFEST_KEY;
/// Prefix of the shards' keys in the store; the hash follows.
pub const SHARD_PREFIX: &str = "config/shard/";
/// The most that the store holds in one value, in bytes.
pub const SHARD_BYTES_MAX: usize = 1 << 20;
/// Shards into which teams, and keys, are divided at most. A change of one team or key costs a
/// shard of this fraction; each shard costs a line of the manifest.
const DIVISIONS_MAX: usize = 256;
/// Teams or keys that a shard holds before the number of shards doubles.
const ITEMS_PER_SHARD: usize = 128;

/// Lower-case hexadecimal BLAKE3 hash of a shard's bytes, of which 128 bits are kept.
pub type ShardHash = String;

/// Characters of a [`ShardHash`].
const HASH_CHARS: usize = 32;

/// A part of a catalog. Invariant: parts of one catalog don't overlap.
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

/// A shard: bytes named by their hash.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Shard {
    /// The name.
    pub hash: ShardHash,
    /// A part of a catalog in JSON.
    pub bytes: Vec<u8>,
}

/// A shard as the manifest names it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ShardRef {
    /// The name.
    pub hash: ShardHash,
    /// Its length.
    pub bytes: u32,
}

/// The manifest: which shards make up the configuration in force.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Manifest {
    /// The version. Invariant: greater than that of the manifest that it replaced.
    pub version: ConfigVersion,
    /// Names the change that made it, so that its author knows it again after a lost answer.
    pub change: String,
    /// The changes before it, the latest first, at most [`EARLIER_MAX`].
    #[serde(default)]
    pub earlier: Vec<PastChange>,
    /// The shards, in a fixed order.
    pub shards: Vec<ShardRef>,
}

/// A change that was accepted.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct PastChange {
    /// The version that it made.
    pub version: ConfigVersion,
    /// The change.
    pub change: String,
}

/// Changes that a manifest remembers. An operator's program that gets no answer has to ask before
/// as many others were accepted.
pub const EARLIER_MAX: usize = 16;

/// Why a configuration can't be taken in.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// The stored manifest is not valid.
    #[display("the manifest can't be read: {detail}")]
    BadManifest {
        /// What is wrong.
        detail: String,
    },
    /// A shard that the manifest names is missing.
    #[display("shard {hash} is missing")]
    MissingShard {
        /// The shard.
        hash: ShardHash,
    },
    /// A shard's bytes don't have the hash that names it.
    #[display("shard {hash} has content with the hash {found}")]
    WrongHash {
        /// The name.
        hash: ShardHash,
        /// The hash of the content.
        found: ShardHash,
    },
    /// A shard's content is not a part of a catalog.
    #[display("shard {hash} can't be read: {detail}")]
    BadShard {
        /// The shard.
        hash: ShardHash,
        /// What is wrong.
        detail: String,
    },
    /// Two shards hold the same item.
    #[display("{item} is in two shards")]
    DuplicateItem {
        /// The item.
        item: String,
    },
    /// A shard would be larger than the store holds.
    #[display("a shard needs {bytes} bytes; at most {SHARD_BYTES_MAX} are accepted")]
    TooLarge {
        /// Its length.
        bytes: usize,
    },
    /// A key names a team that isn't declared.
    #[display("key {key} names the team {team}, which is not declared")]
    UnknownTeam {
        /// The key.
        key: KeyId,
        /// The team.
        team: TeamId,
    },
}

/// Returns a shard's key in the store.
pub fn shard_key(hash: &str) -> String {
    format!("{SHARD_PREFIX}{hash}")
}

/// Splits a catalog. The same catalog always gives the same shards, and a catalog with one item
/// changed gives all but one of the same.
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

/// Puts a catalog together from the shards that its manifest names, and checks all of it.
pub fn assemble<'a>(
    manifest: &Manifest,
    shards: impl IntoIterator<Item = &'a Shard>,
) -> Result<Catalog, Report<ConfigError>> {
    let by_hash: BTreeMap<&str, &Shard> =
        shards.into_iter().map(|shard| (shard.hash.as_str(), shard)).collect();
    let mut catalog = Catalog { version: manifest.version, ..Catalog::default() };
    for named in &manifest.shards {
        let shard = by_hash
            .get(named.hash.as_str())
            .ok_or_else(|| ConfigError::MissingShard { hash: named.hash.clone() })?;
        merge(&mut catalog, decode_shard(shard)?)?;
    }
    check_teams(&catalog)?;
    Ok(catalog)
}

/// Encodes a manifest for the store. Fails if it is larger than the store holds.
pub fn encode_manifest(manifest: &Manifest) -> Result<Vec<u8>, Report<ConfigError>> {
    encode_checked(manifest)
}

/// Reads a stored manifest.
pub fn decode_manifest(bytes: &[u8]) -> Result<Manifest, Report<ConfigError>> {
    let bad = |detail: String| Report::new(ConfigError::BadManifest { detail });
    let manifest: Manifest =
        serde_json::from_slice(bytes).map_err(|error| bad(error.to_string()))?;
    if manifest.version == 0 {
        return Err(bad("version 0 stands for no configuration".into()));
    }
    Ok(manifest)
}

/// Returns the names of keys that work in the old catalog and not in the new one: withdrawn, gone
/// or moved to another team. A name stays out if another hash of it still works for its team.
pub fn withdrawn_between(old: &Catalog, new: &Catalog) -> Vec<KeyId> {
    let is_working = |catalog: &Catalog, hash: &KeyHash, key: &Key| {
        !key.is_withdrawn
            && catalog.keys.get(hash).is_some_and(|k| k == key)
            && catalog.teams.contains_key(&key.team)
    };
    let still_working: BTreeSet<(&KeyId, &TeamId)> = new
        .keys
        .iter()
        .filter(|(hash, key)| is_working(new, hash, key))
        .map(|(_, key)| (&key.id, &key.team))
        .collect();
    let withdrawn: BTreeSet<&KeyId> = old
        .keys
        .iter()
        .filter(|(hash, key)| {
            is_working(old, hash, key) && !still_working.contains(&(&key.id, &key.team))
        })
        .map(|(_, key)| &key.id)
        .collect();
    withdrawn.into_iter().cloned().collect()
}

/// Divides items by the hash of their names. The number of shards is a power of two that follows
/// the number of items, so that a single addition seldom moves other items.
fn divide<K: Clone + Ord + AsRef<str>, V: Clone>(items: &BTreeMap<K, V>) -> Vec<BTreeMap<K, V>> {
    let count = items.len().div_ceil(ITEMS_PER_SHARD).next_power_of_two().clamp(1, DIVISIONS_MAX);
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
