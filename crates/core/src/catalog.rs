//! Validated declarations of classes, teams, keys and services at one version.
//!
//! The `config` crate parses and validates. The types here are the input of every scheduling
//! decision. Durations are stored as milliseconds where a value crosses the wire, and exposed as
//! [`Duration`].

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
    /// Version of these declarations. Invariant: greater than that of every catalog accepted
    /// before.
    pub version: ConfigVersion,
    /// Classes of work, by class id.
    pub classes: BTreeMap<ClassId, Class>,
    /// Teams by team id.
    pub teams: BTreeMap<TeamId, Team>,
    /// Keys by the lower-case hexadecimal BLAKE3 hash of the secret.
    pub keys: BTreeMap<KeyHash, Key>,
    /// Services by service id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Hosts that shut down gracefully, each in one incarnation: after a restart, the host accepts
    /// work again. Set by operators' requests, not by declarations.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub draining: BTreeMap<HostId, Incarnation>,
}

impl Catalog {
    /// Returns the ids of all valid keys, each with its team. A key id is valid while at least one
    /// of its hashes is not withdrawn.
    pub fn working_keys(&self) -> BTreeSet<(KeyId, TeamId)> {
        let works = |key: &&Key| !key.is_withdrawn && self.teams.contains_key(&key.team);
        self.keys.values().filter(works).map(|key| (key.id.clone(), key.team.clone())).collect()
    }
}

/// Lower-case hexadecimal BLAKE3 hash of a key's secret.
pub type KeyHash = String;

/// A class of work, with the latency target and budget of its programs.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Class {
    /// Target latency of a complete program, in milliseconds. Invariant: above zero.
    pub target_ms: u64,
    /// Budget of a program that requests none, and the maximum that a program may request.
    pub budget: Budget,
}

impl Class {
    /// Returns the target latency of a complete program.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }
}

/// Limits on what a program and its children may use together.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Budget {
    /// Number of model turns.
    pub turns: u32,
    /// Prompt tokens that were not yet in the history, plus generated tokens.
    pub tokens: u64,
    /// Wall time from creation, in milliseconds.
    pub wall_ms: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { turns: 200, tokens: 230_000, wall_ms: 3_600_000 }
    }
}

/// A team of callers and its allowance, counted over all hosts.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Team {
    /// Sustained requests per second. Invariant: finite and above zero.
    pub rate_per_s: f64,
    /// Requests that may arrive together. Invariant: at least one.
    pub burst_requests: u32,
    /// Classes that the team may use; empty allows all.
    #[serde(default)]
    pub classes: Vec<ClassId>,
}

/// A key, without its secret.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Key {
    /// Id of the key. Not a secret.
    pub id: KeyId,
    /// Team for which requests with this key run.
    pub team: TeamId,
    /// Whether the key is withdrawn. A withdrawn key stays listed so that its hash is not reused.
    #[serde(default)]
    pub is_withdrawn: bool,
}

/// The kind of upstreams that serve a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines, with turns, KV cache and load reports.
    Engine,
    /// Tool services.
    Tool,
    /// Other services, which are neither engines nor tools.
    Plain,
}

/// A service: a group of interchangeable upstreams. Their addresses come from the host list.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Service {
    /// Kind of the service's upstreams.
    pub kind: ServiceKind,
    /// Model names that an engine service serves; empty otherwise.
    #[serde(default)]
    pub models: Vec<String>,
    /// Calls that may be repeated. All other calls run at most once.
    #[serde(default)]
    pub repeatable: Vec<RoutePattern>,
    /// Routes that need no key.
    #[serde(default)]
    pub open: Vec<RoutePattern>,
    /// Whether the upstreams reject a request whose fencing number is outdated.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Maximum duration of a call, in milliseconds.
    pub deadline_ms: u64,
}

impl Service {
    /// Returns the maximum duration of a call.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns whether a call may safely be sent twice. Undeclared routes may not.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable.iter().any(|route| route.matches(method, path))
    }

    /// Returns whether callers may use a route without a key.
    pub fn is_open(&self, method: &str, path: &str) -> bool {
        self.open.iter().any(|route| route.matches(method, path))
    }
}

/// A method and a path prefix. The prefix matches only complete path segments.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RoutePattern {
    /// Upper-case HTTP method, or `*`.
    pub method: String,
    /// Path prefix without the leading slash; empty matches every path.
    pub prefix: String,
}

impl RoutePattern {
    /// Returns whether the pattern matches a call. A path with `.` or `..` segments never matches.
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
