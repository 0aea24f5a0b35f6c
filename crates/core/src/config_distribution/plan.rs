//! Planning a change of the configuration, and determining whether it was accepted.
//!
//! An operator's tool first writes the new shards, which is safe to repeat because shards are
//! immutable and named by their content. It then updates the manifest conditionally. The change is
//! accepted if and only if that update takes effect.

use {
    super::{ConfigError, EARLIER_MAX, Manifest, PastChange, Shard, encode_manifest, split},
    crate::{catalog::Catalog, ids::ConfigVersion},
    error_stack::Report,
    std::collections::{BTreeMap, BTreeSet},
};

/// The writes that apply a change: first the new shards, then the manifest.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplyPlan {
    /// Shards that the current manifest doesn't list. Each must be created if it is absent.
    pub new_shards: Vec<Shard>,
    /// The manifest to write.
    pub manifest: Manifest,
    /// The manifest, encoded for the store.
    pub bytes: Vec<u8>,
    /// Object version that the write of the manifest requires; zero requires that no manifest is
    /// stored.
    pub if_version: u64,
    /// Names of shards that the current manifest lists and the new one doesn't.
    pub unused: Vec<String>,
}

/// Plans a change. `current` is the manifest as read from the store, with its object version. The
/// version of `new` is ignored and replaced by the next one. Versions never decrease, so a rollback
/// is a new version with old content.
pub fn plan_apply(
    current: Option<(u64, &Manifest)>,
    new: &Catalog,
    change: &str,
) -> Result<ApplyPlan, Report<ConfigError>> {
    let current_version = current.map_or(0, |(_, manifest)| manifest.version);
    let catalog = Catalog { version: current_version + 1, ..new.clone() };
    let (mut manifest, shards) = split(&catalog, change)?;
    manifest.earlier = current.map(|(_, manifest)| earlier_changes(manifest)).unwrap_or_default();
    let hashes_of = |manifest: &Manifest| -> BTreeSet<String> {
        manifest.shards.iter().map(|shard| shard.hash.clone()).collect()
    };
    let current_hashes = current.map(|(_, manifest)| hashes_of(manifest)).unwrap_or_default();
    let new_hashes = hashes_of(&manifest);
    Ok(ApplyPlan {
        new_shards: shards
            .into_iter()
            .filter(|shard| !current_hashes.contains(&shard.hash))
            .collect(),
        bytes: encode_manifest(&manifest)?,
        manifest,
        if_version: current.map_or(0, |(version, _)| version),
        unused: current_hashes.difference(&new_hashes).cloned().collect(),
    })
}

/// Returns the list of preceding changes for the manifest that follows `current`.
fn earlier_changes(current: &Manifest) -> Vec<PastChange> {
    let latest = PastChange { version: current.version, change: current.change.clone() };
    let all = std::iter::once(latest).chain(current.earlier.iter().cloned());
    all.take(EARLIER_MAX).collect()
}

/// Whether a planned change was accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The change was accepted with this version.
    Accepted(ConfigVersion),
    /// The change has not been accepted. It can be planned again on the manifest that was read.
    NotAccepted,
    /// Another change was accepted first. The operator must resolve the conflict.
    Conflict {
        /// Version of the stored manifest.
        version: ConfigVersion,
        /// Id of the change that created that version.
        change: String,
    },
    /// So many changes followed that the manifest no longer shows whether this one was accepted.
    Unknown {
        /// Version of the stored manifest.
        version: ConfigVersion,
    },
}

/// Determines the outcome of a change whose write was refused or not answered. `read_back` is the
/// manifest read afterwards, with its object version. An unanswered write may still take effect
/// later, unless the object version has changed. For [`ApplyOutcome::NotAccepted`], the caller
/// should therefore write the same plan again, which is safe because the write is conditional.
pub fn resolve_apply(plan: &ApplyPlan, read_back: Option<(u64, &Manifest)>) -> ApplyOutcome {
    let Some((object_version, found)) = read_back else { return ApplyOutcome::NotAccepted };
    if object_version == plan.if_version {
        return ApplyOutcome::NotAccepted;
    }
    let planned = &plan.manifest;
    let change_of = |version: ConfigVersion| {
        let latest = (found.version, &found.change);
        std::iter::once(latest)
            .chain(found.earlier.iter().map(|past| (past.version, &past.change)))
            .find(|(known, _)| *known == version)
            .map(|(_, change)| change)
    };
    match change_of(planned.version) {
        Some(change) if *change == planned.change => ApplyOutcome::Accepted(planned.version),
        None if found.version > planned.version => ApplyOutcome::Unknown { version: found.version },
        _ => ApplyOutcome::Conflict { version: found.version, change: found.change.clone() },
    }
}

/// An item that differs between the base catalog and at least one of two changes of it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Difference {
    /// `class`, `service`, `team`, `key` or `drain`.
    pub kind: &'static str,
    /// The item's name: for a key, its name and not its hash.
    pub name: String,
    /// The item before both changes, as JSON; `None` if it was absent.
    pub base: Option<String>,
    /// The item in this operator's change, as JSON; `None` if it is absent.
    pub ours: Option<String>,
    /// The item in the other operator's change, as JSON; `None` if it is absent.
    pub theirs: Option<String>,
}

/// Comparison of a rejected change with the change that was accepted before it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangeComparison {
    /// Items that both sides changed, to different values.
    pub conflicts: Vec<Difference>,
    /// Items that only this operator changed.
    pub ours: Vec<Difference>,
    /// Items that only the other operator changed.
    pub theirs: Vec<Difference>,
}

impl ChangeComparison {
    /// Compares two changes of the same base.
    pub fn between(base: &Catalog, ours: &Catalog, theirs: &Catalog) -> Self {
        let mut comparison = Self::default();
        let [base, ours, theirs] = [base, ours, theirs].map(items);
        let names: BTreeSet<_> =
            base.keys().chain(ours.keys()).chain(theirs.keys()).cloned().collect();
        for name in names {
            comparison.add(&name, base.get(&name), ours.get(&name), theirs.get(&name));
        }
        comparison
    }

    fn add(
        &mut self,
        (kind, name, _): &ItemName,
        base: Option<&String>,
        ours: Option<&String>,
        theirs: Option<&String>,
    ) {
        let side = match (ours != base, theirs != base) {
            (true, true) if ours != theirs => &mut self.conflicts,
            (true, false) => &mut self.ours,
            (false, true) => &mut self.theirs,
            _ => return,
        };
        side.push(Difference {
            kind,
            name: name.clone(),
            base: base.cloned(),
            ours: ours.cloned(),
            theirs: theirs.cloned(),
        });
    }
}

/// Kind of an item, its displayed name, and its key in the catalog.
type ItemName = (&'static str, String, String);

fn items(catalog: &Catalog) -> BTreeMap<ItemName, String> {
    let mut all = BTreeMap::new();
    let named = |kind, name: &str, key: &str| (kind, name.to_string(), key.to_string());
    for (name, class) in &catalog.classes {
        all.insert(named("class", name, name), to_json(class));
    }
    for (name, service) in &catalog.services {
        all.insert(named("service", name, name), to_json(service));
    }
    for (name, team) in &catalog.teams {
        all.insert(named("team", name, name), to_json(team));
    }
    for (hash, key) in &catalog.keys {
        all.insert(named("key", &key.id, hash), to_json(key));
    }
    for (host, incarnation) in &catalog.draining {
        all.insert(named("drain", host, host), to_json(incarnation));
    }
    all
}

/// Encodes an item as JSON. Encoding can't fail for the types of a catalog.
fn to_json(item: &impl serde::Serialize) -> String {
    serde_json::to_string(item).unwrap_or_default()
}
