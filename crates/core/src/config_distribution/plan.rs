//! Applying a change: one conditional update, and what to make of its outcome.
//!
//! An operator's program writes the new shards first (they are immutable and named by content, so
//! a repeat is harmless), then the manifest. Only the write of the manifest decides.

use {
    super::{ConfigError, EARLIER_MAX, Manifest, PastChange, Shard, encode_manifest, split},
    crate::{catalog::Catalog, ids::ConfigVersion},
    error_stack::Report,
    std::collections::{BTreeMap, BTreeSet},
};

/// What to write for a change, in this order.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplyPlan {
    /// Shards that the present manifest doesn't name; create each if it is absent.
    pub new_shards: Vec<Shard>,
    /// The manifest to write.
    pub manifest: Manifest,
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// Object version that the manifest must still have; zero for none.
    pub if_version: u64,
    /// Shards that are no longer named once the change is in force.
    pub unused: Vec<String>,
}

/// Plans a change. `current` is the manifest as read, with its object version. The new catalog
/// gets the next version, whatever it said: versions never go back, and a rollback is a new version
/// with old content.
pub fn plan_apply(
    current: Option<(u64, &Manifest)>,
    new: &Catalog,
    change: &str,
) -> Result<ApplyPlan, Report<ConfigError>> {
    let former = current.map_or(0, |(_, manifest)| manifest.version);
    let catalog = Catalog { version: former + 1, ..new.clone() };
    let (mut manifest, shards) = split(&catalog, change)?;
    manifest.earlier = current.map(|(_, manifest)| earlier_changes(manifest)).unwrap_or_default();
    let hashes_of = |manifest: &Manifest| -> BTreeSet<String> {
        manifest.shards.iter().map(|shard| shard.hash.clone()).collect()
    };
    let known = current.map(|(_, manifest)| hashes_of(manifest)).unwrap_or_default();
    let kept = hashes_of(&manifest);
    Ok(ApplyPlan {
        new_shards: shards.into_iter().filter(|shard| !known.contains(&shard.hash)).collect(),
        bytes: encode_manifest(&manifest)?,
        manifest,
        if_version: current.map_or(0, |(version, _)| version),
        unused: known.difference(&kept).cloned().collect(),
    })
}

/// Returns what the manifest after `current` remembers.
fn earlier_changes(current: &Manifest) -> Vec<PastChange> {
    let latest = PastChange { version: current.version, change: current.change.clone() };
    let all = std::iter::once(latest).chain(current.earlier.iter().cloned());
    all.take(EARLIER_MAX).collect()
}

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// It was accepted with this version.
    Accepted(ConfigVersion),
    /// It was not, and may be planned again on the manifest that was read.
    NotAccepted,
    /// Another change came first. The operator decides.
    Conflict {
        /// The version in force.
        version: ConfigVersion,
        /// The change that made it.
        change: String,
    },
    /// So many changes came later that this one can't be told to have been among them.
    Unknown {
        /// The version in force.
        version: ConfigVersion,
    },
}

/// Finds out what became of a change whose write was refused or not answered, from the manifest
/// read back afterwards with its object version. A write without an answer may still take effect
/// later, unless the object version has moved on: for [`ApplyOutcome::NotAccepted`], write the same
/// plan again; the condition makes that safe.
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

/// An item that two catalogs have differently.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Difference {
    /// `class`, `service`, `team`, `key` or `drain`.
    pub kind: &'static str,
    /// The item's name: for a key, its name and not its hash.
    pub name: String,
    /// As it was before both changes; `None` if it was absent.
    pub base: Option<String>,
    /// As this operator wants it.
    pub ours: Option<String>,
    /// As the other operator has made it.
    pub theirs: Option<String>,
}

/// Both sides of a lost race.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Conflict {
    /// Items that both sides changed, to different values.
    pub clashes: Vec<Difference>,
    /// Items that only this operator changed.
    pub ours: Vec<Difference>,
    /// Items that only the other operator changed.
    pub theirs: Vec<Difference>,
}

impl Conflict {
    /// Compares two changes of the same base.
    pub fn between(base: &Catalog, ours: &Catalog, theirs: &Catalog) -> Self {
        let mut conflict = Self::default();
        let [base, ours, theirs] = [base, ours, theirs].map(items);
        let names: BTreeSet<_> =
            base.keys().chain(ours.keys()).chain(theirs.keys()).cloned().collect();
        for name in names {
            conflict.add(&name, base.get(&name), ours.get(&name), theirs.get(&name));
        }
        conflict
    }

    fn add(
        &mut self,
        (kind, name, _): &ItemName,
        base: Option<&String>,
        ours: Option<&String>,
        theirs: Option<&String>,
    ) {
        let side = match (ours != base, theirs != base) {
            (true, true) if ours != theirs => &mut self.clashes,
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

/// Kind, shown name and key in the catalog.
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

/// Shows an item as JSON, which its types always allow.
fn to_json(item: &impl serde::Serialize) -> String {
    serde_json::to_string(item).unwrap_or_default()
}
