//! Reads the four sections of a document.

use {
    super::{
        fields::{Fields, is_name},
        units,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        ops::RangeInclusive,
        sync::Arc,
    },
    toml::de::DeValue,
    trefoilring_core::catalog::{Budget, Catalog, Class, Key, Service, ServiceKind, Team},
};

const HOUR_MS: u64 = 3_600_000;
/// Accepted range of targets and wall-time budgets.
const WALL_TIME_MS: RangeInclusive<u64> = 1..=7 * 24 * HOUR_MS;
const DEADLINE_MS: RangeInclusive<u64> = 1..=HOUR_MS;
const TURNS: RangeInclusive<u64> = 1..=1_000_000;
const TOKENS: RangeInclusive<u64> = 1..=1_000_000_000_000;
const BURST_REQUESTS: RangeInclusive<u64> = 1..=1_000_000;
const MAX_RATE_PER_S: f64 = 1_000_000.0;
const HASH_CHARS: usize = 64;
/// Maximum number of names listed in a diagnostic.
const MAX_NAMES_LISTED: usize = 12;
const SERVICE_KINDS: [(&str, ServiceKind); 3] =
    [("engine", ServiceKind::Engine), ("tool", ServiceKind::Tool), ("plain", ServiceKind::Plain)];

/// Reads all sections. Leaves out invalid items.
pub(super) fn read_catalog(fields: &mut Fields<'_, '_, '_>) -> Catalog {
    let mut class_names = BTreeSet::new();
    let mut team_names = BTreeSet::new();
    let classes = fields.tables("classes", |name, fields| {
        class_names.insert(name.to_owned());
        Some((Arc::from(name), read_class(fields)?))
    });
    let teams = fields.tables("teams", |name, fields| {
        team_names.insert(name.to_owned());
        Some((Arc::from(name), read_team(fields, &class_names)?))
    });
    let mut seen_hashes = BTreeSet::new();
    let keys =
        fields.tables("keys", |name, fields| read_key(name, fields, &team_names, &mut seen_hashes));
    let mut seen_models = BTreeSet::new();
    let services = fields.tables("services", |name, fields| {
        Some((Arc::from(name), read_service(fields, &mut seen_models)?))
    });
    Catalog {
        version: 0,
        classes: BTreeMap::from_iter(classes),
        teams: BTreeMap::from_iter(teams),
        keys: BTreeMap::from_iter(keys),
        services: BTreeMap::from_iter(services),
        draining: BTreeMap::new(),
    }
}

fn read_class(fields: &mut Fields<'_, '_, '_>) -> Option<Class> {
    let target_ms = duration_field(fields, "target", WALL_TIME_MS, None);
    let budget = fields.table("budget", Budget::default(), read_budget);
    let class = Class { target_ms: target_ms?, budget: budget? };
    if class.budget.wall_ms < class.target_ms {
        fields.reject_conflicting("target", "a duration of at most budget.wall, by default 1h");
        return None;
    }
    Some(class)
}

fn read_budget(fields: &mut Fields<'_, '_, '_>) -> Option<Budget> {
    let default = Budget::default();
    let turns = integer_field(fields, "turns", TURNS, Some(default.turns.into()));
    let tokens = integer_field(fields, "tokens", TOKENS, Some(default.tokens));
    let wall_ms = duration_field(fields, "wall", WALL_TIME_MS, Some(default.wall_ms));
    Some(Budget { turns: u32::try_from(turns?).ok()?, tokens: tokens?, wall_ms: wall_ms? })
}

fn read_team(fields: &mut Fields<'_, '_, '_>, class_names: &BTreeSet<String>) -> Option<Team> {
    let rate_accepted = format!("a number above 0, at most {MAX_RATE_PER_S}");
    let rate_per_s = fields.required("rate_per_s", &rate_accepted, |value| {
        units::parse_number(value).filter(|rate| *rate > 0.0 && *rate <= MAX_RATE_PER_S)
    });
    let burst_requests = integer_field(fields, "burst_requests", BURST_REQUESTS, None);
    let accepted = name_choices("declared classes", class_names);
    let classes = fields.array("classes", &accepted, |value| {
        let name = value.as_str()?;
        class_names.contains(name).then(|| Arc::from(name))
    });
    Some(Team {
        rate_per_s: rate_per_s?,
        burst_requests: u32::try_from(burst_requests?).ok()?,
        classes: classes?,
    })
}

fn read_key(
    name: &str,
    fields: &mut Fields<'_, '_, '_>,
    team_names: &BTreeSet<String>,
    seen_hashes: &mut BTreeSet<String>,
) -> Option<(String, Key)> {
    fields.redact_values();
    let accepted = name_choices("a declared team", team_names);
    let team = fields.required("team", &accepted, |value| {
        let team = value.as_str()?;
        team_names.contains(team).then(|| Arc::from(team))
    });
    let accepted = "the BLAKE3 hash of the secret as 64 lower-case hexadecimal digits, \
                    not that of another key; trefoilctl key hash prints it";
    let hash = fields.required("hash", accepted, |value| {
        let hash = units::parse_string(value).filter(|hash| is_hash(hash))?;
        seen_hashes.insert(hash.clone()).then_some(hash)
    });
    let is_withdrawn = bool_field(fields, "withdrawn");
    let key = Key { id: name.into(), team: team?, is_withdrawn: is_withdrawn? };
    Some((hash?, key))
}

fn read_service(
    fields: &mut Fields<'_, '_, '_>,
    seen_models: &mut BTreeSet<String>,
) -> Option<Service> {
    let kind = fields.required("kind", "engine, tool or plain", |value| {
        let name = value.as_str()?;
        SERVICE_KINDS.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind)
    });
    let accepted = "names of models, each served by one service only";
    let models = fields.array("models", accepted, |value| {
        let model = units::parse_string(value).filter(|model| !model.is_empty())?;
        seen_models.insert(model.clone()).then_some(model)
    });
    let accepted = "a method (or *) and the start of a path, such as \"GET /prices\"";
    let repeatable = fields.array("repeatable", accepted, units::parse_route_pattern);
    let open = fields.array("open", accepted, units::parse_route_pattern);
    let checks_fencing = bool_field(fields, "checks_fencing");
    let deadline_ms = duration_field(fields, "deadline", DEADLINE_MS, None);
    let service = Service {
        kind: kind?,
        models: models?,
        repeatable: repeatable?,
        open: open?,
        checks_fencing: checks_fencing?,
        deadline_ms: deadline_ms?,
    };
    let is_engine = service.kind == ServiceKind::Engine;
    if is_engine == service.models.is_empty() {
        fields
            .reject_conflicting("models", "at least one model for an engine, none for the others");
        return None;
    }
    if is_engine && !service.open.is_empty() {
        fields.reject_conflicting("open", "no open routes for an engine: a turn needs a program");
        return None;
    }
    Some(service)
}

fn integer_field(
    fields: &mut Fields<'_, '_, '_>,
    name: &'static str,
    range: RangeInclusive<u64>,
    default: Option<u64>,
) -> Option<u64> {
    let accepted = format!("a whole number from {} to {}", range.start(), range.end());
    let read =
        |value: &DeValue<'_>| units::parse_integer(value).filter(|count| range.contains(count));
    match default {
        Some(default) => fields.optional(name, default, &accepted, read),
        None => fields.required(name, &accepted, read),
    }
}

fn duration_field(
    fields: &mut Fields<'_, '_, '_>,
    name: &'static str,
    range_ms: RangeInclusive<u64>,
    default_ms: Option<u64>,
) -> Option<u64> {
    let (min, max) =
        (units::format_duration(*range_ms.start()), units::format_duration(*range_ms.end()));
    let accepted = format!("a duration from \"{min}\" to \"{max}\" in ms, s, m or h");
    let read =
        |value: &DeValue<'_>| units::parse_duration_ms(value).filter(|ms| range_ms.contains(ms));
    match default_ms {
        Some(default) => fields.optional(name, default, &accepted, read),
        None => fields.required(name, &accepted, read),
    }
}

fn bool_field(fields: &mut Fields<'_, '_, '_>, name: &'static str) -> Option<bool> {
    fields.optional(name, false, "true or false", DeValue::as_bool)
}

fn is_hash(text: &str) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == HASH_CHARS && text.bytes().all(is_digit)
}

/// Formats the accepted names for a diagnostic. Lists the first [`MAX_NAMES_LISTED`] valid names.
fn name_choices(what: &str, names: &BTreeSet<String>) -> String {
    let valid = names.iter().filter(|name| is_name(name)).map(String::as_str);
    let shown: Vec<_> = valid.take(MAX_NAMES_LISTED).collect();
    let more = if names.len() > shown.len() { ", ..." } else { "" };
    match shown.is_empty() {
        true => format!("{what} (there are none)"),
        false => format!("{what}: {}{more}", shown.join(", ")),
    }
}
