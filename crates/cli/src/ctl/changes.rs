//! What differs between two configurations.

use {
    super::{fault::CtlError, store::Current},
    std::fmt,
    trefoilring_core::{
        catalog::Catalog,
        config_distribution::{ChangeComparison, Difference},
    },
};

/// One item that a change touches.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub(super) struct Change {
    /// `class`, `service`, `team`, `key` or `drain`.
    pub kind: &'static str,
    /// The item's name.
    pub name: String,
    /// The item as JSON before the change, if it was there.
    pub before: Option<String>,
    /// The item as JSON after the change, if it is still there.
    pub after: Option<String>,
}

/// All items that a change touches.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub(super) struct Changes {
    /// The items, by kind and name.
    pub changes: Vec<Change>,
}

impl Changes {
    pub fn between(before: &Catalog, after: &Catalog) -> Self {
        let changes = ChangeComparison::between(before, after, before).ours;
        Self { changes: changes.into_iter().map(Change::from).collect() }
    }

    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Items that stop working: removed, or keys withdrawn.
    pub fn losses(&self) -> usize {
        self.changes.iter().filter(|change| change.is_loss()).count()
    }
}

impl Change {
    fn is_loss(&self) -> bool {
        let is_withdrawn = |item: &Option<String>| {
            item.as_ref().is_some_and(|item| item.contains("\"is_withdrawn\":true"))
        };
        let was_there = self.before.is_some();
        let is_withdrawal = is_withdrawn(&self.after) && !is_withdrawn(&self.before);
        was_there && (self.after.is_none() || self.kind == "key" && is_withdrawal)
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

/// Tells whose change won a race, and what each side changed.
pub(super) fn lost_race(
    base: &Current,
    ours: &Catalog,
    theirs: &Current,
    change: &str,
) -> CtlError {
    let version = theirs.catalog.version;
    let conflict = ChangeComparison::between(&base.catalog, ours, &theirs.catalog);
    let mut text =
        format!("the change {change} came first, as version {version}; yours is not applied");
    for (title, side) in [
        ("changed by both", &conflict.conflicts),
        ("changed by you only", &conflict.ours),
        ("changed by the other only", &conflict.theirs),
    ] {
        for difference in side {
            let shown = |item: &Option<String>| item.clone().unwrap_or_else(|| "absent".into());
            let Difference { kind, name, base, ours, theirs } = difference;
            text.push_str(&format!(
                "\n{title}: {kind} {name}\n  before: {}\n  yours:  {}\n  theirs: {}",
                shown(base),
                shown(ours),
                shown(theirs)
            ));
        }
    }
    CtlError::Conflict(text)
}
