//! Formats a catalog as a TOML document. Parsing the document yields the same catalog,
//! except for its version and drain requests.

use {
    super::units::{format_duration, format_route_pattern},
    std::collections::BTreeMap,
    trefoilring_core::catalog::{Budget, Catalog, Class, Key, Service, ServiceKind, Team},
};

#[derive(serde::Serialize)]
struct Document<'a> {
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    classes: BTreeMap<&'a str, ClassTable>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    teams: BTreeMap<&'a str, TeamTable<'a>>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    keys: BTreeMap<&'a str, KeyTable<'a>>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    services: BTreeMap<&'a str, ServiceTable<'a>>,
}

#[derive(serde::Serialize)]
struct ClassTable {
    target: String,
    budget: BudgetTable,
}

#[derive(serde::Serialize)]
struct BudgetTable {
    turns: u32,
    tokens: u64,
    wall: String,
}

#[derive(serde::Serialize)]
struct TeamTable<'a> {
    rate_per_s: f64,
    burst_requests: u32,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    classes: Vec<&'a str>,
}

#[derive(serde::Serialize)]
struct KeyTable<'a> {
    team: &'a str,
    hash: &'a str,
    #[serde(skip_serializing_if = "is_false")]
    withdrawn: bool,
}

#[derive(serde::Serialize)]
struct ServiceTable<'a> {
    kind: ServiceKind,
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    models: &'a [String],
    #[serde(skip_serializing_if = "Vec::is_empty")]
    repeatable: Vec<String>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    open: Vec<String>,
    #[serde(skip_serializing_if = "is_false")]
    checks_fencing: bool,
    deadline: String,
}

fn is_false(value: &bool) -> bool {
    !*value
}

/// Formats a catalog as TOML, with its version in a comment.
pub fn render(catalog: &Catalog) -> Result<String, toml::ser::Error> {
    let document = Document {
        classes: catalog.classes.iter().map(|(id, class)| (&**id, class.into())).collect(),
        teams: catalog.teams.iter().map(|(id, team)| (&**id, team.into())).collect(),
        keys: catalog.keys.iter().map(key_table).collect(),
        services: catalog.services.iter().map(|(id, service)| (&**id, service.into())).collect(),
    };
    let text = toml::to_string(&document)?;
    Ok(format!("# Version {}.\n\n{text}", catalog.version))
}

fn key_table<'a>((hash, key): (&'a String, &'a Key)) -> (&'a str, KeyTable<'a>) {
    (&key.id, KeyTable { team: &key.team, hash, withdrawn: key.is_withdrawn })
}

impl From<&Class> for ClassTable {
    fn from(class: &Class) -> Self {
        Self { target: format_duration(class.target_ms), budget: class.budget.into() }
    }
}

impl From<Budget> for BudgetTable {
    fn from(budget: Budget) -> Self {
        let wall = format_duration(budget.wall_ms);
        Self { turns: budget.turns, tokens: budget.tokens, wall }
    }
}

impl<'a> From<&'a Team> for TeamTable<'a> {
    fn from(team: &'a Team) -> Self {
        Self {
            rate_per_s: team.rate_per_s,
            burst_requests: team.burst_requests,
            classes: team.classes.iter().map(|class| &**class).collect(),
        }
    }
}

impl<'a> From<&'a Service> for ServiceTable<'a> {
    fn from(service: &'a Service) -> Self {
        Self {
            kind: service.kind,
            models: &service.models,
            repeatable: service.repeatable.iter().map(format_route_pattern).collect(),
            open: service.open.iter().map(format_route_pattern).collect(),
            checks_fencing: service.checks_fencing,
            deadline: format_duration(service.deadline_ms),
        }
    }
}
