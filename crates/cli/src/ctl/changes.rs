//! Differences between two configurations.

use {
    super::{error::CtlError, store::CurrentConfig},
    std::fmt,
    trefoilring_core::{
        catalog::Catalog,
        config_distribution::{ChangeComparison, Difference},
    },
};

/// One added, changed or removed item.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub(super) struct Change {
    /// `class`, `service`, `team`, `key` or `drain`.
    pub kind: &'static str,
    pub name: String,
    /// The item as JSON before the change; `None` if it was added.
    pub before: Option<String>,
    /// The item as JSON after the change; `None` if it was removed.
    pub after: Option<String>,
}

/// All added, changed and removed items.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub(super) struct Changes {
    /// The items, sorted by kind and name.
    pub changes: Vec<Change>,
}

impl Changes {
    pub fn between(before: &Catalog, after: &Catalog) -> Self {
        // Passes `before` as the other side too, so that all differences are in `ours`.
        let changes = ChangeComparison::between(before, after, before).ours;
        Self { changes: changes.into_iter().map(Change::from).collect() }
    }

    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the number of removals of items and withdrawals of keys.
    pub fn destructive_count(&self) -> usize {
        self.changes.iter().filter(|change| change.is_destructive()).count()
    }
}

impl Change {
    fn is_destructive(&self) -> bool {
        let is_withdrawn = |item: &Option<String>| {
            item.as_ref().is_some_and(|item| item.contains("\"is_withdrawn\":true"))
        };
        let existed = self.before.is_some();
        let was_just_withdrawn = is_withdrawn(&self.after) && !is_withdrawn(&self.before);
        existed && (self.after.is_none() || self.kind == "key" && was_just_withdrawn)
    }
}

impl From<Difference> for Change {
    fn from(difference: Difference) -> Self {
        let Difference { kind, name, base, ours, .. } = difference;
        Self { kind, name, before: base, after: ours }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { kind, name, before, after } = self;
        match (before, after) {
            (None, Some(after)) => write!(f, "+ {kind} {name}: {after}"),
            (Some(before), None) => write!(f, "- {kind} {name}: {before}"),
            (Some(before), Some(after)) => write!(f, "~ {kind} {name}: {before} -> {after}"),
            (None, None) => write!(f, "  {kind} {name}"),
        }
    }
}

impl fmt::Display for Changes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(f, "no differences");
        }
        self.changes.iter().try_for_each(|change| writeln!(f, "{change}"))
    }
}

/// Returns the error for a change that lost a race: which change was accepted first, and what each
/// side changed.
pub(super) fn conflict_error(
    base: &CurrentConfig,
    ours: &Catalog,
    theirs: &CurrentConfig,
    change: &str,
) -> CtlError {
    let version = theirs.catalog.version;
    let comparison = ChangeComparison::between(&base.catalog, ours, &theirs.catalog);
    let mut text = format!(
        "the change {change} came first, as version {version}; your change was not applied"
    );
    for (title, side) in [
        ("changed by both", &comparison.conflicts),
        ("changed by you only", &comparison.ours),
        ("changed by the other only", &comparison.theirs),
    ] {
        for difference in side {
            let json_or_absent =
                |item: &Option<String>| item.clone().unwrap_or_else(|| "absent".into());
            let Difference { kind, name, base, ours, theirs } = difference;
            text.push_str(&format!(
                "\n{title}: {kind} {name}\n  before: {}\n  yours:  {}\n  theirs: {}",
                json_or_absent(base),
                json_or_absent(ours),
                json_or_absent(theirs)
            ));
        }
    }
    CtlError::Conflict(text)
}
