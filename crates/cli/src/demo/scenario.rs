//! The demo's site, its programs, and what is checked.

use {
    super::agent::{Agent, AgentError},
    serde_json::json,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    trefoilring_config::declarations::{Declarations, RawDeclarations},
    trefoilring_core::catalog::Catalog,
    trefoilring_site::{CallerClient, HostSpec, Site, SiteOptions, UpstreamSpec},
};

/// The declarations of both users, and the demo's tool services.
const DECLARATIONS: [(&str, &str); 3] = [
    ("examples/kaalachakra.toml", include_str!("../../../../examples/kaalachakra.toml")),
    ("examples/isiyol.toml", include_str!("../../../../examples/isiyol.toml")),
    ("tools.toml", include_str!("tools.toml")),
];
const DOMAINS: [&str; 3] = ["demo-a", "demo-b", "demo-c"];
/// Upstream, service and place in [`DOMAINS`].
const UPSTREAMS: [(&str, &str, usize); 7] = [
    ("appraiser-llm-1", "appraiser-llm", 0),
    ("agent-models-1", "agent-models", 1),
    ("agent-models-2", "agent-models", 2),
    ("valuation-tools-1", "valuation-tools", 0),
    ("layout-tools-1", "layout-tools", 1),
    ("dealer-desk-1", "dealer-desk", 2),
    ("ops-app-1", "ops-app", 0),
];
/// Engines run this many times as fast as in life.
const TIME_SCALE: f64 = 4.0;
/// A tool pause, in which the engine may lose the program's prefix.
const PAUSE: Duration = Duration::from_millis(150);
/// How long the site may take to be ready, and memory to be released.
const TIMEOUT: Duration = Duration::from_secs(60);

/// One line of the demo's table.
#[derive(Clone, Debug, serde::Serialize)]
pub(super) struct ProgramLine {
    pub(super) program: String,
    pub(super) user: &'static str,
    pub(super) class: String,
    pub(super) turns: u32,
    pub(super) latency_ms: u128,
    pub(super) target_ms: u64,
    pub(super) is_within_target: bool,
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
    pub(super) home: String,
    pub(super) entries: Vec<String>,
    pub(super) has_whole_history: bool,
    pub(super) effects: usize,
    pub(super) effects_run_once: usize,
}

/// What the demo came to.
#[derive(Clone, Debug, serde::Serialize)]
pub(super) struct Outcome {
    pub(super) programs: Vec<ProgramLine>,
    /// What was checked, in one sentence.
    pub(super) checked: String,
    /// What did not hold.
    pub(super) faults: Vec<String>,
}

/// Runs the demo's programs. The site still runs when this returns.
pub(super) async fn run() -> Result<(Outcome, Site), Box<dyn std::error::Error>> {
    let catalog = catalog()?;
    let site = Site::start(options(catalog.clone()), TIMEOUT);
    let site = site.await.map_err(|report| format!("{report:?}"))?;
    let agents = run_programs(&site.addresses()).await?;
    let mut faults: Vec<String> =
        agents.iter().flat_map(|(_, agent)| agent.faults.iter().cloned()).collect();
    let runs = effect_runs(&site);
    let lines: Vec<ProgramLine> =
        agents.iter().map(|(user, agent)| line(&site, &catalog, user, agent, &runs)).collect();
    for line in &lines {
        if line.effects_run_once != line.effects {
            faults.push(format!("{}: an effect did not happen exactly once", line.program));
        }
    }
    let released = site.wait_until(TIMEOUT, "engine memory released", |site| {
        site.engines.values().all(|engine| engine.programs().is_empty())
    });
    if released.await.is_err() {
        faults.push("engines still hold memory for programs that ended".into());
    }
    let checked = format!(
        "checked: {} programs through {} hosts; every history whole, every stream uncut, {} \
         effects each run once although sent twice, engine memory released",
        lines.len(),
        site.hosts().len(),
        lines.iter().map(|line| line.effects).sum::<usize>(),
    );
    Ok((Outcome { programs: lines, checked, faults }, site))
}

/// Waits for Ctrl-C or SIGTERM.
pub(super) fn wait_for_interrupt() -> std::io::Result<()> {
    let signals = [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM];
    signal_hook::iterator::Signals::new(signals)?.forever().next();
    Ok(())
}

fn catalog() -> Result<Catalog, Box<dyn std::error::Error>> {
    let mut all = Catalog::default();
    for (file, text) in DECLARATIONS {
        let declarations = Declarations::try_from(RawDeclarations { file, text })?;
        let part = declarations.into_catalog(0);
        all.classes.extend(part.classes);
        all.teams.extend(part.teams);
        all.keys.extend(part.keys);
        all.services.extend(part.services);
    }
    Ok(all)
}

fn options(catalog: Catalog) -> SiteOptions {
    let host = |domain: &str| HostSpec {
        host: domain.replace("demo", "host").into(),
        domain: domain.into(),
    };
    let upstream = |(upstream, service, place): (&str, &str, usize)| UpstreamSpec {
        upstream: upstream.into(),
        service: service.into(),
        domain: DOMAINS[place].into(),
    };
    SiteOptions {
        hosts: DOMAINS.into_iter().map(host).collect(),
        upstreams: UPSTREAMS.into_iter().map(upstream).collect(),
        catalog,
        heartbeat: Duration::from_millis(100),
        time_scale: TIME_SCALE,
        traffic_threads: 1,
        kv_capacity_tokens: None,
    }
}

type Agents = Vec<(&'static str, Agent)>;

/// Runs all programs side by side.
async fn run_programs(hosts: &[SocketAddr]) -> Result<Agents, AgentError> {
    let malabar = CallerClient::new("demo-kaalachakra-malabar-till-1");
    let travancore = CallerClient::new("demo-kaalachakra-travancore-till-1");
    let bozkir = CallerClient::new("demo-isiyol-bozkir-ustabasi-1");
    let cankaya = CallerClient::new("demo-isiyol-cankaya-ustabasi-1");
    let tasks = [
        smol::spawn(appraisal(malabar, hosts.to_vec(), 0)),
        smol::spawn(appraisal(travancore, hosts.to_vec(), 1)),
        smol::spawn(installation(bozkir, hosts.to_vec(), 2)),
        smol::spawn(installation(cankaya, hosts.to_vec(), 0)),
    ];
    let mut agents = Vec::new();
    for task in tasks {
        agents.extend(task.await?);
    }
    Ok(agents)
}

/// A watch is appraised at the counter, its papers are checked by a sub-agent, and a deposit is
/// taken.
async fn appraisal(
    caller: CallerClient,
    hosts: Vec<SocketAddr>,
    first_host: usize,
) -> Result<Agents, AgentError> {
    let kind = ("counter", "appraiser-7b");
    let mut agent = Agent::create(caller, kind, &hosts, first_host, None).await?;
    agent.turn("A steel diver from the sixties with papers; what is it worth?").await?;
    agent.look_up("valuation-tools", "comparables?reference=5513").await?;
    smol::Timer::after(PAUSE).await;
    let mut papers = agent.child().await?;
    papers.turn("Check the papers and the serial number.").await?;
    papers.look_up("dealer-desk", "provenance/5513").await?;
    papers.turn("Summarise what the papers show.").await?;
    papers.finish().await?;
    agent.stream("The papers are in order. Make an offer to the customer.").await?;
    agent.effect("dealer-desk", "deposits", &json!({ "amount_inr": 25_000 })).await?;
    agent.turn("The deposit is taken. Write the receipt.").await?;
    agent.finish().await?;
    Ok(vec![("kaalachakra", agent), ("kaalachakra", papers)])
}

/// A heating mat is laid out, cable stock is reserved, and a crew is booked.
async fn installation(
    caller: CallerClient,
    hosts: Vec<SocketAddr>,
    first_host: usize,
) -> Result<Agents, AgentError> {
    let kind = ("foreman", "planner-8b");
    let mut agent = Agent::create(caller, kind, &hosts, first_host, None).await?;
    agent.turn("Plan heating mats for a driveway of 4 by 11 metres on a cold slab.").await?;
    agent.look_up("layout-tools", "layouts?width_m=4&length_m=11").await?;
    smol::Timer::after(PAUSE).await;
    let mut prices = agent.child().await?;
    prices.turn("Price the mats, the cable and two days of a crew.").await?;
    prices.look_up("ops-app", "prices").await?;
    prices.finish().await?;
    agent.stream("Schedule the installation before the frost.").await?;
    agent.effect("ops-app", "reservations", &json!({ "cable_m": 210 })).await?;
    agent.effect("ops-app", "bookings", &json!({ "crew": 3, "days": 2 })).await?;
    agent.turn("Write the confirmation for the customer.").await?;
    agent.finish().await?;
    Ok(vec![("isiyol", agent), ("isiyol", prices)])
}

/// How often each call that may not be repeated ran, by its idempotency key.
fn effect_runs(site: &Site) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for tool in site.tools.values() {
        for (key, count) in tool.runs().by_key {
            *runs.entry(key).or_default() += count;
        }
    }
    runs
}

fn line(
    site: &Site,
    catalog: &Catalog,
    user: &'static str,
    agent: &Agent,
    runs: &BTreeMap<String, u64>,
) -> ProgramLine {
    let target_ms = catalog.classes.get(&*agent.class).map_or(0, |class| class.target_ms);
    let latency_ms = agent.finished_after().as_millis();
    let names: BTreeMap<SocketAddr, String> = site
        .hosts()
        .iter()
        .map(|(name, host)| (host.callers_address(), name.to_string()))
        .collect();
    let is_home = |name: &&String| agent.program.starts_with(&***name);
    let home = names.values().find(is_home).cloned().unwrap_or_default();
    let entries = agent.entries.iter().filter_map(|entry| names.get(entry).cloned());
    let ran_once = |key: &&String| runs.get(*key) == Some(&1);
    ProgramLine {
        program: agent.program.clone(),
        user,
        class: agent.class.clone(),
        turns: agent.turns,
        latency_ms,
        target_ms,
        is_within_target: latency_ms <= u128::from(target_ms),
        prompt_tokens: agent.prompt_tokens,
        cached_tokens: agent.cached_tokens,
        home,
        entries: entries.collect(),
        has_whole_history: agent.faults.is_empty(),
        effects: agent.effects.len(),
        effects_run_once: agent.effects.iter().filter(ran_once).count(),
    }
}
