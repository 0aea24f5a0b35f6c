//! Routes by host name and path, and the teams that may use them.
//!
//! A [`RoutingTable`] is one version of the operators' configuration for requests that name no
//! program: the path selects a route, and the route a service. It is immutable. A new version
//! replaces the complete table, so a request never sees two versions.

#[cfg(test)]
mod tests;

use {
    crate::ids::{ConfigVersion, ServiceId, TeamId},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Identifies a route.
pub type RouteId = Arc<str>;

/// Whether requests of a route may be repeated, and whether answers are streamed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Answers are streams of events.
    Stream {
        /// Whether a broken stream may resume at another upstream after the last event received.
        is_resumable: bool,
        /// Longest pause between events for an answer to count as on time.
        pause_max: Option<Duration>,
    },
}

impl RouteKind {
    /// Returns whether a request may be sent again if it may already have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true, .. })
    }

    /// Returns whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service to which a route sends a weighted share of its requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Weight relative to the route's other targets. Zero disables the target.
    pub weight: u32,
}

/// Rules for requests with a given host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Id from the configuration.
    pub id: RouteId,
    /// Host name in lower case, without a port.
    pub host: String,
    /// Path prefix. Invariant: starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated, and whether answers are streamed.
    pub kind: RouteKind,
    /// Maximum time until a caller gets an answer.
    pub timeout: Duration,
    /// Latency up to which an answer earns full credit.
    pub objective: Duration,
    /// Priority among routes; zero is the highest.
    pub rank: u8,
    /// Services that receive the requests. Invariant: not empty.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that may run one request of a caller; `None` is no bound.
    /// Invariant: above zero.
    pub upstreams_max: Option<u32>,
    /// Whether requests need no key.
    pub is_open: bool,
    /// How long a program may be idle before its next request.
    pub program_idle: Option<Duration>,
}

impl Route {
    /// Selects a target in proportion to the weights. `draw` is uniformly distributed over all
    /// values of `u64`.
    pub fn target(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut rest = draw.checked_rem(total)?;
        self.targets.iter().find_map(|target| {
            let weight = u64::from(target.weight);
            if rest < weight {
                return Some(&target.service);
            }
            rest -= weight;
            None
        })
    }
}

/// A team of callers and its allowance, counted over all hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRules {
    /// Id from the configuration.
    pub id: TeamId,
    /// Priority of the team's requests. Overrides the route's rank if set.
    pub rank: Option<u8>,
    /// Sustained requests per second; `None` is no limit.
    pub rate_per_s: Option<f64>,
    /// Requests above the rate that may arrive together.
    pub burst_requests: f64,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes_max: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes_max: usize,
    /// Maximum time from the first to the last byte of a request's head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits in force until a configuration is loaded: 16 KiB, 4 MiB, 3 s and 15 s.
    fn default() -> Self {
        Self {
            head_bytes_max: 16 * 1024,
            body_bytes_max: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Settings of a service other than its upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRules {
    /// Maximum connections to one upstream, over all hosts.
    pub connections_max: Option<u32>,
    /// Capacity of the model engines; `None` for services that run no models.
    pub engine: Option<EngineRules>,
}

/// Capacity of the model engines of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineRules {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Number of tokens that the cache and running requests share.
    pub cache_tokens: u64,
    /// Number of tokens per stream event.
    pub event_tokens: u64,
}

/// One version of the routing configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// Version of this table. Invariant: greater than the version of every table in force before.
    pub version: ConfigVersion,
    /// Routes by host name. Invariant: sorted by prefix length, longest first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Settings of the services, by service id.
    pub services: BTreeMap<ServiceId, ServiceRules>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// Teams by id; `None` when requests need no key.
    pub teams: Option<BTreeMap<TeamId, Arc<TeamRules>>>,
    keys: HashMap<String, TeamId>,
}

impl RoutingTable {
    /// Creates a table. `teams` holds each team with its keys.
    pub fn new(
        version: ConfigVersion,
        routes: impl IntoIterator<Item = Route>,
        services: BTreeMap<ServiceId, ServiceRules>,
        limits: CallerLimits,
        teams: Option<Vec<(TeamRules, Vec<String>)>>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = HashMap::new();
        let teams = teams.map(|teams| {
            let with_keys = teams.into_iter().map(|(team, team_keys)| {
                keys.extend(team_keys.into_iter().map(|key| (key, team.id.clone())));
                (team.id.clone(), Arc::new(team))
            });
            with_keys.collect()
        });
        Self { version, routes: by_host, services, limits, teams, keys }
    }

    /// Returns the route with the longest matching prefix among the routes of the host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the team that owns a key.
    pub fn team_of(&self, key: &str) -> Option<&Arc<TeamRules>> {
        self.teams.as_ref()?.get(self.keys.get(key)?)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
