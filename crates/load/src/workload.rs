//! Workload files: pool, engine model, classes, teams and scenarios.

use {
    error_stack::{Report, ResultExt, ensure},
    std::path::Path,
};

const KAALACHAKRA: &str = include_str!("../workloads/kaalachakra.toml");
const ISIYOL: &str = include_str!("../workloads/isiyol.toml");

/// A workload file can't be read or is invalid.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("workload {name}: {problem}")]
pub struct WorkloadError {
    /// Name or path of the workload, or name of the scenario.
    pub name: String,
    /// Reason for the failure.
    pub problem: String,
}

/// A validated workload.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// The pool of engines.
    pub pool: Pool,
    /// Parameters of the engine model.
    pub engine: EngineSettings,
    /// Classes of programs. Invariant: their shares sum to one.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSettings>,
    /// Teams. Invariant: their shares sum to one.
    #[serde(rename = "team")]
    pub teams: Vec<TeamSettings>,
    /// Scenarios other than `steady`.
    #[serde(default, rename = "scenario")]
    pub scenarios: Vec<Scenario>,
}

/// The upstreams of one service.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the service.
    pub service: String,
    /// Number of workers, each one upstream.
    pub workers: usize,
    /// Failure domains, which are assigned to workers round-robin.
    pub domains: Vec<String>,
    /// Network latency, one way: from home to engine, from engine to home, and from home to caller
    /// at the end of a program.
    pub network_ms: f64,
}

/// Parameters of an engine with continuous batching and a prefix cache.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Fixed time of a step.
    pub step_base_us: f64,
    /// Step time per decoding sequence.
    pub step_sequence_us: f64,
    /// Step time per KV cache token of the decoding sequences.
    pub step_kv_token_ns: f64,
    /// Step time per prefilled token.
    pub prefill_token_us: f64,
    /// Maximum number of tokens prefilled in one step (the prefill chunk).
    pub chunk_tokens: u64,
    /// Maximum number of sequences in the batch.
    pub max_batch: usize,
    /// KV cache capacity in tokens, shared by running sequences and idle prefixes.
    pub kv_capacity_tokens: u64,
    /// Interval between load reports.
    pub report_interval_ms: u64,
    /// Age of a load report when it reaches the policy.
    pub report_lag_ms: u64,
    /// Age of a cache event when it reaches the policy.
    pub event_lag_ms: u64,
    /// Probability that a cache event is lost.
    pub event_loss: f64,
}

/// A class of programs.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// Name of the class.
    pub name: String,
    /// Fraction of all programs.
    pub share: f64,
    /// Target latency of a complete program.
    pub target_s: f64,
    /// Number of turns of a program.
    pub turns: LogNormal,
    /// Prompt tokens of the first turn.
    pub first_tokens: LogNormal,
    /// New prompt tokens of each later turn.
    pub turn_tokens: LogNormal,
    /// Generated tokens of a turn.
    pub output_tokens: LogNormal,
    /// Duration of the tool call after a turn, in which the program pauses.
    pub pause_s: LogNormal,
    /// Children that its programs may start.
    pub children: Option<Children>,
}

/// Children that a turn may start. The parent continues when all of them have ended.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Children {
    /// Probability that a turn starts children.
    pub probability: f64,
    /// Number of children that such a turn starts.
    pub count: usize,
    /// Number of turns of each child.
    pub turns: LogNormal,
}

/// A log-normal distribution, clamped to a maximum.
#[derive(Clone, Copy, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogNormal {
    /// Median of the distribution.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Upper bound; larger values are clamped to it.
    pub max: f64,
}

/// A team and its share of the load.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSettings {
    /// Name of the team.
    pub name: String,
    /// Fraction of all programs, and of the total rate allowance.
    pub share: f64,
}

/// A named scenario.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// The changes that the scenario applies.
    #[serde(rename = "lines")]
    pub changes: Vec<ScenarioChange>,
}

/// One change that a scenario applies for a limited time.
#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioChange {
    /// Start of the change.
    pub at_s: f64,
    /// Duration of the change. Not used for targets: a new target applies until another change
    /// replaces it.
    pub for_s: f64,
    /// Team whose arrival rate changes.
    pub noisy_team: Option<String>,
    /// Multiplier of the arrival rate of `noisy_team`.
    pub factor: Option<f64>,
    /// Multiplier of the arrival rate of all teams.
    pub load_factor: Option<f64>,
    /// Indices of workers that crash at the start of the change and are restored at its end.
    #[serde(default)]
    pub lose_workers: Vec<usize>,
    /// Class whose target changes.
    pub class: Option<String>,
    /// New target of `class`.
    pub target_s: Option<f64>,
}

impl Workload {
    /// Loads a built-in workload by name, or a workload file by path.
    pub fn load(name: &str) -> Result<Self, Report<WorkloadError>> {
        let error = |problem: &str| WorkloadError { name: name.into(), problem: problem.into() };
        let text = match name {
            "kaalachakra" => KAALACHAKRA.to_owned(),
            "isiyol" => ISIYOL.to_owned(),
            path => std::fs::read_to_string(Path::new(path))
                .change_context_lazy(|| error("file can't be read"))?,
        };
        Self::parse(name, &text)
    }

    /// Parses and validates a workload.
    pub fn parse(name: &str, text: &str) -> Result<Self, Report<WorkloadError>> {
        let error = |problem: &str| WorkloadError { name: name.into(), problem: problem.into() };
        let workload: Self = toml::from_str(text).change_context_lazy(|| error("is not valid"))?;
        let is_one = |sum: f64| (sum - 1.0).abs() < 1e-6;
        let classes = workload.classes.iter().map(|class| class.share).sum();
        ensure!(is_one(classes), error("the shares of the classes must sum to 1"));
        let teams = workload.teams.iter().map(|team| team.share).sum();
        ensure!(is_one(teams), error("the shares of the teams must sum to 1"));
        let is_pool_valid = workload.pool.workers > 0 && !workload.pool.domains.is_empty();
        ensure!(is_pool_valid, error("the pool needs workers and at least one domain"));
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

    /// Returns the changes of a scenario. `steady` has none.
    pub fn scenario(&self, name: &str) -> Result<Vec<ScenarioChange>, Report<WorkloadError>> {
        if name == "steady" {
            return Ok(Vec::new());
        }
        let found = self.scenarios.iter().find(|scenario| scenario.name == name);
        let unknown_scenario =
            || WorkloadError { name: name.into(), problem: "no such scenario".into() };
        found
            .map(|scenario| scenario.changes.clone())
            .ok_or_else(|| Report::new(unknown_scenario()))
    }

    fn check_scenarios(&self) -> Result<(), String> {
        for change in self.scenarios.iter().flat_map(|scenario| &scenario.changes) {
            let is_class = |name: &String| self.classes.iter().any(|class| class.name == *name);
            if let Some(name) = change.class.as_ref().filter(|name| !is_class(name)) {
                return Err(format!("a scenario names the class {name}, which is not declared"));
            }
            let is_team = |name: &String| self.teams.iter().any(|team| team.name == *name);
            if let Some(name) = change.noisy_team.as_ref().filter(|name| !is_team(name)) {
                return Err(format!("a scenario names the team {name}, which is not declared"));
            }
            if change.lose_workers.iter().any(|&worker| worker >= self.pool.workers) {
                return Err("a scenario loses a worker that there isn't".into());
            }
        }
        Ok(())
    }
}
