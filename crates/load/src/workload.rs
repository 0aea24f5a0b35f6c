//! Workload files: pools, engines, classes, teams and scenarios.

use {
    error_stack::{Report, ResultExt, ensure},
    std::path::Path,
};

/// The committed workload of Kaalachakra.
const KAALACHAKRA: &str = include_str!("../workloads/kaalachakra.toml");
/// The committed workload of Isıyol.
const ISIYOL: &str = include_str!("../workloads/isiyol.toml");

/// A workload file can't be used.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("workload {name}: {problem}")]
pub struct WorkloadError {
    /// The name or path that was given.
    pub name: String,
    /// What is wrong.
    pub problem: String,
}

/// A checked workload.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// The engines.
    pub pool: Pool,
    /// What the engines cost.
    pub engine: EngineSettings,
    /// Classes. Invariant: shares sum up to one.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSettings>,
    /// Teams. Invariant: shares sum up to one.
    #[serde(rename = "team")]
    pub teams: Vec<TeamSettings>,
    /// Named scenarios.
    #[serde(default, rename = "scenario")]
    pub scenarios: Vec<Scenario>,
}

/// The upstreams of one service.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The service.
    pub service: String,
    /// Upstreams.
    pub workers: usize,
    /// Failure domains, over which the workers are spread in turn.
    pub domains: Vec<String>,
    /// Time from caller to engine, one way.
    pub network_ms: f64,
}

/// An engine that batches continuously and caches prefixes.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Time of each step whatever is in it.
    pub step_base_us: f64,
    /// Time a step for each sequence that decodes.
    pub step_sequence_us: f64,
    /// Time a step for each cached token of the sequences that decode.
    pub step_kv_token_ns: f64,
    /// Time for each prefilled token.
    pub prefill_token_us: f64,
    /// The most tokens prefilled in one step.
    pub chunk_tokens: u64,
    /// The most sequences at once.
    pub max_batch: usize,
    /// Tokens in cache memory, of running sequences and idle prefixes.
    pub kv_capacity_tokens: u64,
    /// Time between load reports.
    pub report_interval_ms: u64,
    /// Age of a load report on arrival.
    pub report_lag_ms: u64,
    /// Age of a cache event on arrival.
    pub event_lag_ms: u64,
    /// Share of cache events that are lost.
    pub event_loss: f64,
}

/// A class of programs.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// Share of all programs.
    pub share: f64,
    /// Target for the whole program.
    pub target_s: f64,
    /// Turns of a program.
    pub turns: LogNormal,
    /// Tokens of the first prompt.
    pub first_tokens: LogNormal,
    /// New prompt tokens of each further turn.
    pub turn_tokens: LogNormal,
    /// Generated tokens of a turn.
    pub output_tokens: LogNormal,
    /// Time of the tool call after a turn.
    pub pause_s: LogNormal,
    /// Sub-agents.
    pub children: Option<Children>,
}

/// Sub-agents that a turn may start; the program goes on when all have ended.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Children {
    /// Probability for each turn.
    pub probability: f64,
    /// How many at once.
    pub count: usize,
    /// Turns of each.
    pub turns: LogNormal,
}

/// A log-normal distribution, cut off at a maximum.
#[derive(Clone, Copy, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogNormal {
    /// Half of all values are below.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// No value is above.
    pub max: f64,
}

/// A team.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSettings {
    /// Its name.
    pub name: String,
    /// Share of all programs, and of what it is allowed.
    pub share: f64,
}

/// A named scenario.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What happens.
    pub lines: Vec<ScenarioLine>,
}

/// One thing that happens, for a time.
#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioLine {
    /// When it begins.
    pub at_s: f64,
    /// How long it lasts.
    pub for_s: f64,
    /// The team that sends more.
    pub noisy_team: Option<String>,
    /// How many times its rate the team sends.
    pub factor: Option<f64>,
    /// How many times their rate all teams send.
    pub load_factor: Option<f64>,
    /// Workers that are lost.
    #[serde(default)]
    pub lose_workers: Vec<usize>,
    /// The class whose target changes.
    pub class: Option<String>,
    /// The new target.
    pub target_s: Option<f64>,
}

impl Workload {
    /// Loads a committed workload by name, or a file by path.
    pub fn load(name: &str) -> Result<Self, Report<WorkloadError>> {
        let error = |problem: &str| WorkloadError { name: name.into(), problem: problem.into() };
        let text = match name {
            "kaalachakra" => KAALACHAKRA.to_owned(),
            "isiyol" => ISIYOL.to_owned(),
            path => std::fs::read_to_string(Path::new(path))
                .change_context_lazy(|| error("can't be read"))?,
        };
        Self::parse(name, &text)
    }

    /// Parses and checks a workload.
    pub fn parse(name: &str, text: &str) -> Result<Self, Report<WorkloadError>> {
        let error = |problem: &str| WorkloadError { name: name.into(), problem: problem.into() };
        let workload: Self = toml::from_str(text).change_context_lazy(|| error("is not valid"))?;
        let is_one = |sum: f64| (sum - 1.0).abs() < 1e-6;
        let classes = workload.classes.iter().map(|class| class.share).sum();
        ensure!(is_one(classes), error("the shares of the classes must sum up to 1"));
        let teams = workload.teams.iter().map(|team| team.share).sum();
        ensure!(is_one(teams), error("the shares of the teams must sum up to 1"));
        let has_pool = workload.pool.workers > 0 && !workload.pool.domains.is_empty();
        ensure!(has_pool, error("the pool needs workers and domains"));
        let engine = &workload.engine;
        let is_engine_valid =
            engine.chunk_tokens > 0 && engine.max_batch > 0 && engine.report_interval_ms > 0;
        ensure!(
            is_engine_valid,
            error("chunk_tokens, max_batch and report_interval_ms must be above 0")
        );
        workload.check_scenarios().map_err(|problem| error(&problem))?;
        Ok(workload)
    }

    /// Finds a scenario; an empty one for `steady`.
    pub fn scenario(&self, name: &str) -> Result<Vec<ScenarioLine>, Report<WorkloadError>> {
        if name == "steady" {
            return Ok(Vec::new());
        }
        let found = self.scenarios.iter().find(|scenario| scenario.name == name);
        let missing = || WorkloadError { name: name.into(), problem: "no such scenario".into() };
        found.map(|scenario| scenario.lines.clone()).ok_or_else(|| Report::new(missing()))
    }

    fn check_scenarios(&self) -> Result<(), String> {
        for line in self.scenarios.iter().flat_map(|scenario| &scenario.lines) {
            let is_class = |name: &String| self.classes.iter().any(|class| class.name == *name);
            if let Some(name) = line.class.as_ref().filter(|name| !is_class(name)) {
                return Err(format!("a scenario names the class {name}, which there isn't"));
            }
            let is_team = |name: &String| self.teams.iter().any(|team| team.name == *name);
            if let Some(name) = line.noisy_team.as_ref().filter(|name| !is_team(name)) {
                return Err(format!("a scenario names the team {name}, which there isn't"));
            }
            if line.lose_workers.iter().any(|&worker| worker >= self.pool.workers) {
                return Err("a scenario loses a worker that there isn't".into());
            }
        }
        Ok(())
    }
}
