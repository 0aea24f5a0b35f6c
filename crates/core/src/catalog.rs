//! Checked declarations: classes, teams, keys and services, as in force at one version.
//!
//! The `config` crate parses and checks; the types here are what every decision reads. Durations
//! are stored as milliseconds where a value crosses the wire, and exposed as [`Duration`].

#[cfg(test)]
mod tests;

use {
    crate::ids::{ClassId, ConfigVersion, HostId, Incarnation, KeyId, ServiceId, TeamId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// All declarations of one version.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Catalog {
    /// The version in force. Invariant: greater than that of every catalog accepted before.
    pub version: ConfigVersion,
    /// Classes of work by id.
    pub classes: BTreeMap<ClassId, Class>,
    /// Teams by id.
    pub teams: BTreeMap<TeamId, Team>,
    /// Keys by the lower-case hexadecimal BLAKE3 hash of the secret.
    pub keys: BTreeMap<KeyHash, Key>,
    /// Services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Hosts that are to stop gracefully, each in one incarnation: a host that was started again
    /// takes work. Not declared, but asked for by operators.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub draining: BTreeMap<HostId, Incarnation>,
}

impl Catalog {
    /// Names of the keys that work, each with its team. A name works while one of its hashes does.
    pub fn working_keys(&self) -> BTreeSet<(KeyId, TeamId)> {
        let works = |key: &&Key| !key.is_withdrawn && self.teams.contains_key(&key.team);
        self.keys.values().filter(works).map(|key| (key.id.clone(), key.team.clone())).collect()
    }
}

/// Lower-case hexadecimal BLAKE3 hash of a key's secret.
pub type KeyHash = String;

/// A class of work.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Class {
    /// Target for the latency of a whole program, in milliseconds. Invariant: above zero.
    pub target_ms: u64,
    /// Budget of a program that asks for none, and the most that it may ask for.
    pub budget: Budget,
}

impl Class {
    /// Target for the latency of a whole program.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }
}

/// What a program and its children may spend together.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Budget {
    /// Model turns.
    pub turns: u32,
    /// Prompt tokens that were not in the history before, plus generated tokens.
    pub tokens: u64,
    /// Wall time from creation, in milliseconds.
    pub wall_ms: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { turns: 200, tokens: 230_000, wall_ms: 3_600_000 }
    }
}

/// A team of callers and its allowance, counted over all hosts together.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Team {
    /// Sustained requests a second. Invariant: finite and above zero.
    pub rate_per_s: f64,
    /// Requests that may come at once. Invariant: at least one.
    pub burst_requests: u32,
    /// Classes that the team may use; empty for all.
    #[serde(default)]
    pub classes: Vec<ClassId>,
}

/// A key, without its secret.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Key {
    /// The key's name for operators.
    pub id: KeyId,
    /// The team for which requests with this key run.
    pub team: TeamId,
    /// Whether the key was withdrawn. A withdrawn key stays listed so that the hash is not reused.
    #[serde(default)]
    pub is_withdrawn: bool,
}

/// What kind of upstream serves a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines: turns, KV cache, load reports.
    Engine,
    /// Tool services.
    Tool,
    /// Plain services beside the engines.
    Plain,
}

/// A service: a group of upstreams that do the same. Its addresses come from the host list.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Service {
    /// What serves it.
    pub kind: ServiceKind,
    /// Model names that an engine service serves; empty otherwise.
    #[serde(default)]
    pub models: Vec<String>,
    /// Calls that may be repeated. All others run at most once.
    #[serde(default)]
    pub repeatable: Vec<RoutePattern>,
    /// Routes that need no key.
    #[serde(default)]
    pub open: Vec<RoutePattern>,
    /// Whether its upstreams refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The longest a call may take, in milliseconds.
    pub deadline_ms: u64,
}

impl Service {
    /// The longest a call may take.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns whether a call may be sent twice without harm. Unknown routes may not.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable.iter().any(|route| route.matches(method, path))
    }

    /// Returns whether a route is open to callers without a key.
    pub fn is_open(&self, method: &str, path: &str) -> bool {
        self.open.iter().any(|route| route.matches(method, path))
    }
}

/// A method and a path prefix. The prefix ends at a path segment.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RoutePattern {
    /// Upper-case HTTP method, or `*`.
    pub method: String,
    /// Path prefix without the leading slash; empty matches every path.
    pub prefix: String,
}

impl RoutePattern {
    /// Returns whether the route covers a call. A path with `.` or `..` segments is never covered.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or_default().trim_start_matches('/');
        let has_dots = path.split('/').any(|segment| matches!(segment, "." | ".."));
        let has_method = self.method == "*" || self.method == method;
        has_method && !has_dots && self.covers(path)
    }

    fn covers(&self, path: &str) -> bool {
        let rest = path.strip_prefix(self.prefix.trim_matches('/'));
        rest.is_some_and(|rest| self.prefix.is_empty() || rest.is_empty() || rest.starts_with('/'))
    }
}
