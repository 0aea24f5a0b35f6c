//! The demo's site, its programs and its checks.

use {
    super::agent::{Agent, AgentError},
    serde_json::json,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    trefoilring_config::declarations::{Declarations, RawDeclarations},
    trefoilring_core::catalog::Catalog,
    trefoilring_site::{CallerClient, HostSpec, Site, SiteOptions, UpstreamSpec},
};

/// File name and content of the declarations of the two example users, kaalachakra and isiyol, and
/// of the demo's tool services.
const DECLARATIONS: [(&str, &str); 3] = [
    ("examples/kaalachakra.toml", include_str!("../../../../examples/kaalachakra.toml")),
    ("examples/isiyol.toml", include_str!("../../../../examples/isiyol.toml")),
    ("tools.toml", include_str!("tools.toml")),
];
const DOMAINS: [&str; 3] = ["demo-a", "demo-b", "demo-c"];
/// Name of each upstream, its service and the index of its domain in [`DOMAINS`].
const UPSTREAMS: [(&str, &str, usize); 7] = [
    ("appraiser-llm-1", "appraiser-llm", 0),
    ("agent-models-1", "agent-models", 1),
    ("agent-models-2", "agent-models", 2),
    ("valuation-tools-1", "valuation-tools", 0),
    ("layout-tools-1", "layout-tools", 1),
    ("dealer-desk-1", "dealer-desk", 2),
    ("ops-app-1", "ops-app", 0),
];
/// Factor by which the stand-in engines run faster than real engines.
const TIME_SCALE: f64 = 4.0;
/// Pause between turns that simulates a tool call. The engine may evict the program's prefix from
/// its cache during the pause.
const TOOL_PAUSE: Duration = Duration::from_millis(150);
/// Maximum time for the site to become ready, and for engines to release memory.
const TIMEOUT: Duration = Duration::from_secs(60);

/// One row of the demo's table. The field names are part of the JSON output.
#[derive(Clone, Debug, serde::Serialize)]
pub(super) struct ProgramRow {
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

/// Result of the demo.
#[derive(Clone, Debug, serde::Serialize)]
pub(super) struct Outcome {
    pub(super) programs: Vec<ProgramRow>,
    /// Summary of the checks, in one sentence.
    pub(super) checked: String,
    /// Checks that failed. The name is part of the JSON output.
    pub(super) faults: Vec<String>,
}

/// Runs the demo's programs. Returns the site without stopping it.
pub(super) async fn run() -> Result<(Outcome, Site), Box<dyn std::error::Error>> {
    let catalog = catalog()?;
    let site = Site::start(options(catalog.clone()), TIMEOUT);
    let site = site.await.map_err(|report| format!("{report:?}"))?;
    let agents = run_programs(&site.addresses()).await?;
    let mut faults: Vec<String> =
        agents.iter().flat_map(|(_, agent)| agent.failed_checks.iter().cloned()).collect();
    let runs = effect_runs(&site);
    let rows: Vec<ProgramRow> = agents
        .iter()
        .map(|(user, agent)| program_row(&site, &catalog, user, agent, &runs))
        .collect();
    for row in &rows {
        if row.effects_run_once != row.effects {
            faults.push(format!("{}: an effect was not executed exactly once", row.program));
        }
    }
    let released = site.wait_until(TIMEOUT, "engine memory released", |site| {
        site.engines.values().all(|engine| engine.programs().is_empty())
    });
    if released.await.is_err() {
        faults.push("engines still hold memory for programs that ended".into());
    }
    let checked = format!(
        "checked: {} programs through {} hosts; complete histories, uncut streams, {} effects \
         each executed once although sent twice, release of engine memory",
        rows.len(),
        site.hosts().len(),
        rows.iter().map(|row| row.effects).sum::<usize>(),
    );
    Ok((Outcome { programs: rows, checked, faults }, site))
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
        let declared = declarations.into_catalog(0);
        all.classes.extend(declared.classes);
        all.teams.extend(declared.teams);
        all.keys.extend(declared.keys);
        all.services.extend(declared.services);
    }
    Ok(all)
}

fn options(catalog: Catalog) -> SiteOptions {
    let host = |domain: &str| HostSpec {
        host: domain.replace("demo", "host").into(),
        domain: domain.into(),
    };
    let upstream = |(upstream, service, domain_index): (&str, &str, usize)| UpstreamSpec {
        upstream: upstream.into(),
        service: service.into(),
        domain: DOMAINS[domain_index].into(),
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

/// Runs all programs concurrently.
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

/// Runs an appraisal of a watch at the counter. A sub-agent checks the papers; the agent then takes
/// a deposit.
async fn appraisal(
    caller: CallerClient,
    hosts: Vec<SocketAddr>,
    first_host_index: usize,
) -> Result<Agents, AgentError> {
    let class_and_model = ("counter", "appraiser-7b");
    let mut agent = Agent::create(caller, class_and_model, &hosts, first_host_index, None).await?;
    agent.run_turn("A steel diver from the sixties with papers; what is it worth?").await?;
    agent.call_repeatable("valuation-tools", "comparables?reference=5513").await?;
    smol::Timer::after(TOOL_PAUSE).await;
    let mut papers = agent.create_child().await?;
    papers.run_turn("Check the papers and the serial number.").await?;
    papers.call_repeatable("dealer-desk", "provenance/5513").await?;
    papers.run_turn("Summarise what the papers show.").await?;
    papers.finish().await?;
    agent.stream_turn("The papers are in order. Make an offer to the customer.").await?;
    agent.call_with_effect("dealer-desk", "deposits", &json!({ "amount_inr": 25_000 })).await?;
    agent.run_turn("The deposit is taken. Write the receipt.").await?;
    agent.finish().await?;
    Ok(vec![("kaalachakra", agent), ("kaalachakra", papers)])
}

/// Runs the planning of a heating-mat installation. A sub-agent calculates the price; the agent
/// then reserves cable and books a crew.
async fn installation(
    caller: CallerClient,
    hosts: Vec<SocketAddr>,
    first_host_index: usize,
) -> Result<Agents, AgentError> {
    let class_and_model = ("foreman", "planner-8b");
    let mut agent = Agent::create(caller, class_and_model, &hosts, first_host_index, None).await?;
    agent.run_turn("Plan heating mats for a driveway of 4 by 11 metres on a cold slab.").await?;
    agent.call_repeatable("layout-tools", "layouts?width_m=4&length_m=11").await?;
    smol::Timer::after(TOOL_PAUSE).await;
    let mut prices = agent.create_child().await?;
    prices.run_turn("Price the mats, the cable and two days of a crew.").await?;
    prices.call_repeatable("ops-app", "prices").await?;
    prices.finish().await?;
    agent.stream_turn("Schedule the installation before the frost.").await?;
    agent.call_with_effect("ops-app", "reservations", &json!({ "cable_m": 210 })).await?;
    agent.call_with_effect("ops-app", "bookings", &json!({ "crew": 3, "days": 2 })).await?;
    agent.run_turn("Write the confirmation for the customer.").await?;
    agent.finish().await?;
    Ok(vec![("isiyol", agent), ("isiyol", prices)])
}

/// Returns the number of executions of each call that must not be repeated, by idempotency key.
fn effect_runs(site: &Site) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for tool in site.tools.values() {
        for (key, count) in tool.runs().by_key {
            *runs.entry(key).or_default() += count;
        }
    }
    runs
}

fn program_row(
    site: &Site,
    catalog: &Catalog,
    user: &'static str,
    agent: &Agent,
    runs: &BTreeMap<String, u64>,
) -> ProgramRow {
    let target_ms = catalog.classes.get(&*agent.class).map_or(0, |class| class.target_ms);
    let latency_ms = agent.latency().as_millis();
    let names: BTreeMap<SocketAddr, String> = site
        .hosts()
        .iter()
        .map(|(name, host)| (host.callers_address(), name.to_string()))
        .collect();
    // A program's id starts with the name of the host that created it.
    let is_home = |name: &&String| agent.program.starts_with(&***name);
    let home = names.values().find(is_home).cloned().unwrap_or_default();
    let entries = agent.entry_hosts.iter().filter_map(|entry| names.get(entry).cloned());
    let ran_once = |key: &&String| runs.get(*key) == Some(&1);
    ProgramRow {
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
        // False if any check failed, not only the check of the history.
        has_whole_history: agent.failed_checks.is_empty(),
        effects: agent.effects.len(),
        effects_run_once: agent.effects.iter().filter(ran_once).count(),
    }
}
