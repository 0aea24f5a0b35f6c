//! Validated declarations of classes, teams, keys and services at one version.
//!
//! The `config` crate parses and validates the files. The types here are the input of every
//! scheduling decision. Serialized durations are integers in milliseconds, and methods return them
//! as [`Duration`].

#[cfg(test)]
mod tests;

use {
    crate::ids::{ClassId, ConfigVersion, HostId, Incarnation, KeyId, ServiceId, TeamId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// All declarations of one version, and the hosts that are draining.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Catalog {
    /// Version of these declarations. Invariant: greater than that of every catalog accepted
    /// before.
    pub version: ConfigVersion,
    /// Classes of work that programs may use.
    pub classes: BTreeMap<ClassId, Class>,
    /// Teams that may call, with their allowances.
    pub teams: BTreeMap<TeamId, Team>,
    /// Keys by the lower-case hexadecimal BLAKE3 hash of the secret.
    pub keys: BTreeMap<KeyHash, Key>,
    /// Services that programs may call.
    pub services: BTreeMap<ServiceId, Service>,
    /// Draining hosts, with the incarnation that drains. A restarted host has a new incarnation and
    /// accepts work. Operators request this at run time; it is not declared.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub draining: BTreeMap<HostId, Incarnation>,
}

impl Catalog {
    /// Returns the ids of all valid keys, each with its team. Several hashes may share a key id;
    /// the id is valid if at least one of them is not withdrawn.
    pub fn valid_keys(&self) -> BTreeSet<(KeyId, TeamId)> {
        let is_valid = |key: &&Key| !key.is_withdrawn && self.teams.contains_key(&key.team);
        self.keys.values().filter(is_valid).map(|key| (key.id.clone(), key.team.clone())).collect()
    }
}

/// The form in which a catalog stores the secret of a key: a BLAKE3 hash in lower-case hexadecimal.
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

/// Resource limits shared by a program and its children.
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

/// A team of callers. Its allowance applies to all hosts together.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Team {
    /// Sustained requests per second. Invariant: finite and above zero.
    pub rate_per_s: f64,
    /// Burst size, in requests. Invariant: at least one.
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
    /// Team whose allowance is charged.
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
    /// Services that are neither engines nor tools.
    Plain,
}

/// A service: a group of interchangeable upstreams. Their addresses come from the host list.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Service {
    /// Whether its upstreams are model engines, tools or plain services.
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
    /// Whether the upstreams reject a request whose fencing epoch is outdated.
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

    /// Returns whether a call may safely be sent twice. Calls that match no declared route are not
    /// repeatable.
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
        let method_matches = self.method == "*" || self.method == method;
        method_matches && !has_dots && self.matches_prefix(path)
    }

    fn matches_prefix(&self, path: &str) -> bool {
        let rest = path.strip_prefix(self.prefix.trim_matches('/'));
        rest.is_some_and(|rest| self.prefix.is_empty() || rest.is_empty() || rest.starts_with('/'))
    }
}
