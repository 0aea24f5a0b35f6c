//! Routes by host name and path, and the teams that may use them.
//!
//! A [`RoutingTable`] is one version of the operators' configuration for requests that name no
//! program of ours: the path selects a route, the route a service. It is immutable; a new version
//! replaces it as a whole, so that one request never sees two versions.

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

/// Names a route.
pub type RouteId = Arc<str>;

/// What may be repeated, and how an answer comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with events.
    Stream {
        /// Whether a broken stream may go on at another upstream after the last event seen.
        is_resumable: bool,
        /// The longest pause between events for which an answer is on time.
        pause_max: Option<Duration>,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true, .. })
    }

    /// Returns whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route may use, with its share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its share against the route's other targets. Zero takes it out.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub id: RouteId,
    /// Host name, lower case, without a port.
    pub host: String,
    /// Path prefix. Invariant: begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a caller is kept waiting.
    pub timeout: Duration,
    /// The latency that earns full credit.
    pub objective: Duration,
    /// Rank among routes, zero before all others.
    pub rank: u8,
    /// Where requests go. Invariant: not empty.
    pub targets: Vec<Target>,
    /// Upstreams that may run one request of a caller, where bounded. Invariant: above zero.
    pub upstreams_max: Option<u32>,
    /// Whether requests need no key.
    pub is_open: bool,
    /// How long a program may pause and come back.
    pub program_idle: Option<Duration>,
}

impl Route {
    /// Picks a target by a number that is uniform over all values, in proportion to the weights.
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

/// A team of callers and its allowance over all hosts together.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRules {
    /// The team.
    pub id: TeamId,
    /// Rank of its requests, before that of the route where given.
    pub rank: Option<u8>,
    /// Sustained requests a second; `None` is no limit.
    pub rate_per_s: Option<f64>,
    /// Requests that may come at once beyond the rate.
    pub burst_requests: f64,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes_max: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes_max: usize,
    /// The longest time from a head's first byte to its last.
    pub head_timeout: Duration,
    /// The longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Bounds in force until a configuration is known: 16 KiB, 4 MiB, 3 s and 15 s.
    fn default() -> Self {
        Self {
            head_bytes_max: 16 * 1024,
            body_bytes_max: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What is known of a service beyond its upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRules {
    /// Connections that one upstream accepts from all hosts together.
    pub connections_max: Option<u32>,
    /// The model engines' shape, for services that run models.
    pub engine: Option<EngineRules>,
}

/// What model engines of a service can do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineRules {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that the cache and running requests share.
    pub cache_tokens: u64,
    /// Tokens that one stream event stands for.
    pub event_tokens: u64,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// The version. Invariant: greater than that of every table in force before.
    pub version: ConfigVersion,
    /// Routes by host name. Invariant: longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by id.
    pub services: BTreeMap<ServiceId, ServiceRules>,
    /// Bounds for callers.
    pub limits: CallerLimits,
    /// Teams by id; `None` when requests need no key.
    pub teams: Option<BTreeMap<TeamId, Arc<TeamRules>>>,
    keys: HashMap<String, TeamId>,
}

impl RoutingTable {
    /// Makes a table. Teams come with their keys.
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

    /// Returns the route of a request: among those of its host, the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the team that holds a key.
    pub fn team_of(&self, key: &str) -> Option<&Arc<TeamRules>> {
        self.teams.as_ref()?.get(self.keys.get(key)?)
    }

    /// Returns how many routes there are.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
