//! Summaries of one or more runs, printed as text or JSON.

use {
    crate::{
        experiment::Experiment,
        measure::{GroupMeasurements, Measurements},
    },
    std::fmt::{self, Display},
};

/// Summary of a group of programs.
#[derive(Clone, Debug, serde::Serialize)]
pub struct GroupSummary {
    /// Name of the class or team, or `all`.
    pub name: String,
    /// Number of programs, including those whose caller gave up.
    pub programs: u64,
    /// Fraction of programs within their target.
    pub attainment: f64,
    /// Programs whose caller gave up.
    pub given_up: u64,
    /// Median latency.
    pub p50_s: f64,
    /// 95th percentile of latency.
    pub p95_s: f64,
    /// 99th percentile of latency.
    pub p99_s: f64,
}

/// Summary of one run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Summary {
    /// Name of the policy.
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// Arrival rate as a fraction of the pool's capacity.
    pub load: f64,
    /// Name of the scenario.
    pub scenario: String,
    /// Summary of all programs.
    pub all: GroupSummary,
    /// Summaries by class.
    pub classes: Vec<GroupSummary>,
    /// Summaries by team.
    pub teams: Vec<GroupSummary>,
    /// Prompt tokens that engines prefilled.
    pub prefilled_tokens: u64,
    /// Prefilled tokens that a perfect cache would have held, and that were prefilled again.
    pub wasted_tokens: u64,
    /// Ratio of the lowest team attainment to the mean over teams, without the noisy team.
    pub worst_team: f64,
    /// Refusals of the first call of a program.
    pub refused_first: u64,
    /// Refusals of later calls.
    pub refused_later: u64,
    /// Programs still in progress at the end of the run.
    pub unended: u64,
    /// Measured programs that met their target, per second of measured arrivals.
    pub goodput_per_s: f64,
}

impl Summary {
    /// Summarizes a run.
    pub fn new(experiment: &Experiment, policy: &str, measurements: &Measurements) -> Self {
        let noisy = experiment.noisy_team();
        Self {
            policy: policy.into(),
            seed: experiment.seed,
            load: experiment.load,
            scenario: experiment.scenario.clone(),
            all: GroupSummary::new(&measurements.all),
            classes: measurements.classes.iter().map(GroupSummary::new).collect(),
            teams: measurements.teams.iter().map(GroupSummary::new).collect(),
            prefilled_tokens: measurements.prefilled_tokens,
            wasted_tokens: measurements.wasted_tokens,
            worst_team: measurements.worst_team_ratio(noisy.as_deref()),
            refused_first: measurements.refused_first,
            refused_later: measurements.refused_later,
            unended: measurements.unended,
            goodput_per_s: experiment.goodput_per_s(measurements),
        }
    }

    /// Returns the ratios of this run's values to a baseline's.
    pub fn ratios(&self, baseline: &Self) -> Ratios {
        let ratio = |value: f64, baseline_value: f64| {
            if baseline_value > 0.0 { value / baseline_value } else { f64::NAN }
        };
        Ratios {
            p50: ratio(self.all.p50_s, baseline.all.p50_s),
            p95: ratio(self.all.p95_s, baseline.all.p95_s),
            p99: ratio(self.all.p99_s, baseline.all.p99_s),
            wasted_tokens: ratio(self.wasted_tokens as f64, baseline.wasted_tokens as f64),
            goodput: ratio(self.goodput_per_s, baseline.goodput_per_s),
        }
    }
}

/// Ratios of one run's values to those of a baseline.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Ratios {
    /// Ratio of the median latency.
    pub p50: f64,
    /// Ratio of the 95th percentile of latency.
    pub p95: f64,
    /// Ratio of the 99th percentile of latency.
    pub p99: f64,
    /// Ratio of wasted prefill tokens.
    pub wasted_tokens: f64,
    /// Ratio of goodput.
    pub goodput: f64,
}

impl Display for Ratios {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "ratio to naive: p50 {:.2}, p95 {:.2}, p99 {:.2}, wasted prefill {:.3}, goodput {:.2}",
            self.p50, self.p95, self.p99, self.wasted_tokens, self.goodput
        )
    }
}

impl GroupSummary {
    fn new(group: &GroupMeasurements) -> Self {
        Self {
            name: group.name.clone(),
            programs: group.programs,
            attainment: group.attainment(),
            given_up: group.given_up,
            p50_s: group.latency_s(0.5),
            p95_s: group.latency_s(0.95),
            p99_s: group.latency_s(0.99),
        }
    }
}

impl Display for GroupSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<12} {:>6} programs, within target {:>5.1} %, p50 {:>7.1} s, p95 {:>7.1} s, \
             p99 {:>7.1} s, given up {}",
            self.name,
            self.programs,
            self.attainment * 100.0,
            self.p50_s,
            self.p95_s,
            self.p99_s,
            self.given_up
        )
    }
}

impl Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { policy, seed, load, scenario, .. } = self;
        writeln!(f, "{policy}, seed {seed}, load {load}, scenario {scenario}")?;
        writeln!(f, "  {}", self.all)?;
        for class in &self.classes {
            writeln!(f, "  class {class}")?;
        }
        for team in &self.teams {
            writeln!(f, "  team  {team}")?;
        }
        let millions = |tokens: u64| tokens as f64 / 1e6;
        writeln!(
            f,
            "  wasted prefill {:.1} of {:.1} million tokens; worst team {:.3} of the mean",
            millions(self.wasted_tokens),
            millions(self.prefilled_tokens),
            self.worst_team
        )?;
        write!(
            f,
            "  refused first calls {}, later calls {}; unended {}; goodput {:.3} programs/s",
            self.refused_first, self.refused_later, self.unended, self.goodput_per_s
        )
    }
}

/// Median and worst value over several seeds.
#[derive(Clone, Debug, serde::Serialize)]
pub struct SeedStatistics {
    /// Name of the value.
    pub name: String,
    /// Median over the seeds.
    pub median: f64,
    /// Lowest value if higher is better, otherwise the highest.
    pub worst: f64,
}

impl SeedStatistics {
    /// Computes the statistics of one value from its value per seed.
    pub fn new(name: &str, mut values: Vec<f64>, is_higher_better: bool) -> Self {
        values.sort_by(f64::total_cmp);
        let median = values.get(values.len() / 2).copied().unwrap_or(f64::NAN);
        let worst = if is_higher_better { values.first() } else { values.last() };
        Self { name: name.into(), median, worst: worst.copied().unwrap_or(f64::NAN) }
    }
}

impl Display for SeedStatistics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<28} median {:>9.3}  worst {:>9.3}", self.name, self.median, self.worst)
    }
}
