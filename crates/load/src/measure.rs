//! Measurements of a run.

use {
    crate::{plan::Program, workload::Workload},
    hdrhistogram::Histogram,
};

/// Upper bound of recorded latencies: 24 h, in milliseconds.
const MAX_LATENCY_MS: u64 = 24 * 3_600_000;
/// Length of one interval of the time series.
const INTERVAL_S: u64 = 30;

/// Measurements of a group of programs: all, one class or one team.
#[derive(Clone, Debug)]
pub struct GroupMeasurements {
    /// Name of the class or team, or `all`.
    pub name: String,
    /// Number of programs, including those whose caller gave up.
    pub programs: u64,
    /// Programs that ended within their target.
    pub attained: u64,
    /// Programs whose caller gave up after refusals of the first call.
    pub given_up: u64,
    /// Latency of programs in milliseconds. Includes those still in progress at the end of the run,
    /// but not those whose caller gave up.
    pub latency_ms: Histogram<u64>,
}

/// Measurements of one interval of a run.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Interval {
    /// Programs that ended in the interval.
    pub ended: u64,
    /// Ended programs that met their target.
    pub attained: u64,
    /// Programs whose caller gave up in the interval.
    pub given_up: u64,
    /// Sum over the ended programs of the ratio of latency to target.
    pub stretch: f64,
}

/// All measurements of a run.
#[derive(Clone, Debug)]
pub struct Measurements {
    /// Measurements of all programs.
    pub all: GroupMeasurements,
    /// Measurements by class.
    pub classes: Vec<GroupMeasurements>,
    /// Measurements by team.
    pub teams: Vec<GroupMeasurements>,
    /// Prompt tokens that engines prefilled.
    pub prefilled_tokens: u64,
    /// Prefilled tokens that a perfect cache would have held, and that were prefilled again.
    pub wasted_tokens: u64,
    /// Refusals of the first call of a program.
    pub refused_first: u64,
    /// Refusals of later calls.
    pub refused_later: u64,
    /// Programs still in progress at the end of the run.
    pub unended: u64,
    /// Time series. Programs are counted in the interval in which they end.
    pub intervals: Vec<Interval>,
    /// Targets by class: (start in microseconds, target in seconds), in order of start.
    targets: Vec<Vec<(u64, f64)>>,
}

impl GroupMeasurements {
    fn new(name: &str) -> Self {
        let latency_ms = Histogram::new_with_bounds(1, MAX_LATENCY_MS, 3);
        let latency_ms = latency_ms.expect("the bounds are valid");
        Self { name: name.into(), programs: 0, attained: 0, given_up: 0, latency_ms }
    }

    /// Returns the fraction of programs that ended within their target.
    pub fn attainment(&self) -> f64 {
        self.attained as f64 / self.programs.max(1) as f64
    }

    /// Returns a quantile of the latency.
    pub fn latency_s(&self, quantile: f64) -> f64 {
        self.latency_ms.value_at_quantile(quantile) as f64 / 1e3
    }

    fn record_ended(&mut self, latency_us: u64, is_within_target: bool) {
        self.programs += 1;
        self.attained += u64::from(is_within_target);
        self.latency_ms.saturating_record((latency_us / 1_000).max(1));
    }

    fn record_given_up(&mut self) {
        self.programs += 1;
        self.given_up += 1;
    }
}

impl Measurements {
    /// Creates empty measurements with a group for each class and team.
    pub fn new(workload: &Workload) -> Self {
        Self {
            all: GroupMeasurements::new("all"),
            classes: workload
                .classes
                .iter()
                .map(|class| GroupMeasurements::new(&class.name))
                .collect(),
            teams: workload.teams.iter().map(|team| GroupMeasurements::new(&team.name)).collect(),
            prefilled_tokens: 0,
            wasted_tokens: 0,
            refused_first: 0,
            refused_later: 0,
            unended: 0,
            intervals: Vec::new(),
            targets: workload.classes.iter().map(|class| vec![(0, class.target_s)]).collect(),
        }
    }

    /// Changes a class's target. The new target applies to programs that arrive from `now_us` on.
    pub fn set_target(&mut self, class: usize, now_us: u64, target_s: f64) {
        self.targets[class].push((now_us, target_s));
    }

    /// Records a program that ended.
    pub fn record_ended(&mut self, program: &Program, now_us: u64, latency_us: u64) {
        let stretch = latency_us as f64 / 1e6 / self.target_s(program);
        let is_within_target = stretch <= 1.0;
        for group in self.groups(program) {
            group.record_ended(latency_us, is_within_target);
        }
        let interval = self.interval(now_us);
        interval.ended += 1;
        interval.attained += u64::from(is_within_target);
        interval.stretch += stretch;
    }

    /// Records a program that is still in progress at the end of the run. It counts as having
    /// missed its target.
    pub fn record_unended(&mut self, program: &Program, latency_us: u64) {
        self.unended += 1;
        for group in self.groups(program) {
            group.record_ended(latency_us, false);
        }
    }

    /// Records a caller that gave up after refusals of its program's first call.
    pub fn record_given_up(&mut self, program: &Program, now_us: u64) {
        for group in self.groups(program) {
            group.record_given_up();
        }
        self.interval(now_us).given_up += 1;
    }

    /// Records a refused call.
    pub fn record_refused(&mut self, is_first: bool) {
        *if is_first { &mut self.refused_first } else { &mut self.refused_later } += 1;
    }

    /// Records the prefill of a prompt.
    pub fn record_prefilled(&mut self, tokens: u64, wasted_tokens: u64) {
        self.prefilled_tokens += tokens;
        self.wasted_tokens += wasted_tokens;
    }

    /// Returns the length of an interval in seconds.
    pub fn interval_s() -> u64 {
        INTERVAL_S
    }

    /// Returns the ratio of the lowest team attainment to the mean over teams, without the excluded
    /// team.
    pub fn worst_team_ratio(&self, excluded: Option<&str>) -> f64 {
        let teams = self.teams.iter().filter(|team| Some(team.name.as_str()) != excluded);
        let attainments: Vec<f64> = teams.map(GroupMeasurements::attainment).collect();
        let mean = attainments.iter().sum::<f64>() / attainments.len().max(1) as f64;
        let worst = attainments.iter().copied().fold(f64::INFINITY, f64::min);
        if mean > 0.0 { worst / mean } else { 0.0 }
    }

    fn target_s(&self, program: &Program) -> f64 {
        let targets = self.targets[program.class].iter();
        let applicable = targets.rev().find(|(from_us, _)| *from_us <= program.arrival_us);
        applicable.map_or(f64::INFINITY, |(_, target_s)| *target_s)
    }

    fn groups(&mut self, program: &Program) -> [&mut GroupMeasurements; 3] {
        let class = &mut self.classes[program.class];
        let team = &mut self.teams[program.team];
        [&mut self.all, class, team]
    }

    fn interval(&mut self, now_us: u64) -> &mut Interval {
        let index = (now_us / 1_000_000 / INTERVAL_S) as usize;
        if self.intervals.len() <= index {
            self.intervals.resize_with(index + 1, Interval::default);
        }
        &mut self.intervals[index]
    }
}
