//! Selects services by host name and path, and teams by key.
//!
//! A [`RoutingTable`] is one version of the operators' configuration for requests that name no
//! program. The host name and path select a route, and the route selects a service. The table is
//! immutable. A new version replaces the complete table, so all decisions for a request use the
//! same version.

#[cfg(test)]
mod tests;

use {
    crate::ids::{ConfigVersion, ServiceId, TeamId},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// How long a program may be idle and still resume, if its route sets no time.
const PROGRAM_IDLE_MAX_DEFAULT: Duration = Duration::from_secs(60);

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
        /// Maximum time between events of a stream that counts as on time.
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

/// A service of a route, with its weight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
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
    /// Rules for repeating requests and streaming answers.
    pub kind: RouteKind,
    /// Maximum time until a caller gets an answer.
    pub timeout: Duration,
    /// Latency objective. Slower answers count as late.
    pub objective: Duration,
    /// Priority among routes; zero is the highest.
    pub priority: u8,
    /// Services that receive the requests. Invariant: not empty.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of upstreams that may run one request of a caller; `None` means unlimited.
    /// Invariant: above zero.
    pub upstreams_max: Option<u32>,
    /// Whether requests are accepted without a key.
    pub is_open: bool,
    /// Maximum time between two requests of a program; `None` uses a default.
    pub program_idle_max: Option<Duration>,
    /// Whether requests carry only their new input, and the hosts keep the turns before it.
    pub retains_turns: bool,
    /// Whether upstreams are faster with requests on an object that they handled lately.
    pub has_affinity: bool,
}

impl Route {
    /// Returns how long a turn is kept after the last one that continues it.
    pub fn retention(&self) -> Duration {
        self.program_idle_max.unwrap_or(PROGRAM_IDLE_MAX_DEFAULT)
    }

    /// Returns the services that the route leads to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let targets = self.targets.iter().filter(|target| target.weight > 0);
        targets.map(|target| &target.service)
    }

    /// Selects a target in proportion to the weights. `random` must be uniformly distributed over
    /// all values of `u64`.
    pub fn target(&self, random: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut remaining = random.checked_rem(total)?;
        self.targets.iter().find_map(|target| {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(&target.service);
            }
            remaining -= weight;
            None
        })
    }
}

/// A team of callers. Its allowance applies to all hosts together.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRules {
    /// Id from the configuration.
    pub id: TeamId,
    /// Priority of the team's requests. Overrides the route's priority if set.
    pub priority: Option<u8>,
    /// Sustained requests per second; `None` means unlimited.
    pub rate_per_s: Option<f64>,
    /// Burst size, in requests.
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
    /// Limits in force until a configuration is loaded.
    fn default() -> Self {
        Self {
            head_bytes_max: 16 * 1024,
            body_bytes_max: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Rules of a service other than its upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRules {
    /// Maximum connections to one upstream, over all hosts.
    pub connections_max: Option<u32>,
    /// Rules of the model engines; `None` for services that run no models.
    pub engine: Option<EngineRules>,
    /// How long an upstream is cold after its start.
    pub cold_start: Duration,
    /// Requests a second that a cold upstream takes from all hosts together. Zero if it is as fast as a
    /// warm one.
    pub cold_per_s: f64,
}

/// Properties of the model engines of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineRules {
    /// Maximum number of requests that an engine runs in one batch.
    pub slots: u32,
    /// Number of tokens that the cache and running requests share.
    pub cache_tokens: u64,
    /// Number of tokens per stream event.
    pub event_tokens: u64,
}

/// One version of the routing configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// Version of this table. Invariant: greater than the version of every earlier table.
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
    /// Creates a table. `teams` lists each team with its keys, as callers send them.
    pub fn new(
        version: ConfigVersion,
        routes: impl IntoIterator<Item = Route>,
        services: BTreeMap<ServiceId, ServiceRules>,
        limits: CallerLimits,
        teams: Option<Vec<(TeamRules, Vec<String>)>>,
    ) -> Self {
        let mut by_host_name: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host_name.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host_name.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = HashMap::new();
        let teams = teams.map(|teams| {
            let teams_by_id = teams.into_iter().map(|(team, team_keys)| {
                keys.extend(team_keys.into_iter().map(|key| (key, team.id.clone())));
                (team.id.clone(), Arc::new(team))
            });
            teams_by_id.collect()
        });
        Self { version, routes: by_host_name, services, limits, teams, keys }
    }

    /// Returns the route with the longest matching prefix among the routes for the host name.
    /// `host` may include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the team that a key belongs to.
    pub fn team_of(&self, key: &str) -> Option<&Arc<TeamRules>> {
        self.teams.as_ref()?.get(self.keys.get(key)?)
    }

    /// Returns whether a route of this table leads to other services than in another table.
    pub fn has_moved_routes(&self, other: &Self) -> bool {
        let routes = self.routes.values().flatten();
        routes.into_iter().any(|route| {
            let others = other.routes.get(&route.host).into_iter().flatten();
            let same = others.into_iter().find(|other| other.prefix == route.prefix);
            same.is_some_and(|other| {
                let services = |route: &Route| route.services().cloned().collect::<BTreeSet<_>>();
                services(route) != services(other)
            })
        })
    }

    /// Returns the longest time for which a route keeps turns, if one does.
    pub fn longest_retention(&self) -> Option<Duration> {
        let retaining = self.routes.values().flatten().filter(|route| route.retains_turns);
        retaining.map(|route| route.retention()).max()
    }

    /// Returns the longest time for which programs may be idle and still resume, on any route.
    pub fn longest_idle_max(&self) -> Duration {
        self.routes.values().flatten().map(|route| route.retention()).max().unwrap_or_default()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
