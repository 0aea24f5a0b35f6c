//! The site used by the latency and capacity measurements: one engine, and one team whose rate
//! limit is too high to be reached.

use {
    std::time::Duration,
    trefoilring_config::{
        declarations::{Declarations, DeclarationsError, RawDeclarations},
        secret::hash_secret,
    },
    trefoilring_site::{HostSpec, SiteOptions, UpstreamSpec},
};

/// Secret of the team's API key.
pub(crate) const SECRET: &str = "measurement";
/// Maximum time for a site to become ready.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of failure domains that the hosts are distributed over.
const DOMAINS: usize = 3;
const DECLARATIONS: &str = r#"
[classes.c]
target = "30s"
budget = { turns = 1000, tokens = 10000000, wall = "1h" }
[teams.t]
rate_per_s = 100000
burst_requests = 100000
[services.llm]
kind = "engine"
models = ["m"]
deadline = "60s"
"#;

/// Builds the options of a site with `hosts` hosts.
pub(crate) fn options(
    hosts: usize,
    heartbeat: Duration,
    time_scale: f64,
) -> Result<SiteOptions, DeclarationsError> {
    let hash = hash_secret(SECRET);
    let text = format!("{DECLARATIONS}[keys.k]\nteam = \"t\"\nhash = \"{hash}\"\n");
    let declarations = RawDeclarations { file: "measurement", text: &text };
    let upstream =
        UpstreamSpec { upstream: "llm-1".into(), service: "llm".into(), domain: "domain-0".into() };
    Ok(SiteOptions {
        hosts: (0..hosts).map(host_spec).collect(),
        upstreams: vec![upstream],
        catalog: Declarations::try_from(declarations)?.into_catalog(0),
        heartbeat,
        time_scale,
        traffic_threads: 1,
        kv_capacity_tokens: None,
    })
}

/// Returns the name and failure domain of a host.
pub(crate) fn host_spec(number: usize) -> HostSpec {
    HostSpec {
        host: format!("host-{number}").into(),
        domain: format!("domain-{}", number % DOMAINS).into(),
    }
}
