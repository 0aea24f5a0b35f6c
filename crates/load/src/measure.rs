//! What a run measures.

use {
    crate::{plan::Program, workload::Workload},
    hdrhistogram::Histogram,
};

/// Latencies above this are cut, in milliseconds.
const MAX_LATENCY_MS: u64 = 24 * 3_600_000;
/// Length of one interval of the time line.
const INTERVAL_S: u64 = 30;

/// One group of programs: a class or a team.
#[derive(Clone, Debug)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Programs that came.
    pub programs: u64,
    /// Programs that ended within the target.
    pub attained: u64,
    /// Programs whose caller gave up.
    pub given_up: u64,
    /// Latency of the whole program in milliseconds, without those whose caller gave up.
    pub latency_ms: Histogram<u64>,
}

/// One interval of a run.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Interval {
    /// Programs that ended.
    pub ended: u64,
    /// Of these, within the target.
    pub attained: u64,
    /// Programs whose caller gave up.
    pub given_up: u64,
    /// Sum of latencies over targets.
    pub stretch: f64,
}

/// All measures of a run.
#[derive(Clone, Debug)]
pub struct Measurements {
    /// All programs.
    pub all: Group,
    /// By class.
    pub classes: Vec<Group>,
    /// By team.
    pub teams: Vec<Group>,
    /// Prompt tokens that engines prefilled.
    pub prefilled_tokens: u64,
    /// Of these, tokens that a perfect cache would have held.
    pub wasted_tokens: u64,
    /// Refusals of first calls.
    pub refused_first: u64,
    /// Refusals of later calls.
    pub refused_later: u64,
    /// Programs that hadn't ended when the run did.
    pub unended: u64,
    /// Over time, by the end of a program.
    pub intervals: Vec<Interval>,
    /// Target by class, with the time from which each holds.
    targets: Vec<Vec<(u64, f64)>>,
}

impl Group {
    fn new(name: &str) -> Self {
        let latency_ms = Histogram::new_with_bounds(1, MAX_LATENCY_MS, 3);
        let latency_ms = latency_ms.expect("the bounds are valid");
        Self { name: name.into(), programs: 0, attained: 0, given_up: 0, latency_ms }
    }

    /// Share of the programs that ended within the target.
    pub fn attainment(&self) -> f64 {
        self.attained as f64 / self.programs.max(1) as f64
    }

    /// A quantile of latency.
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
    /// Nothing measured yet.
    pub fn new(workload: &Workload) -> Self {
        Self {
            all: Group::new("all"),
            classes: workload.classes.iter().map(|class| Group::new(&class.name)).collect(),
            teams: workload.teams.iter().map(|team| Group::new(&team.name)).collect(),
            prefilled_tokens: 0,
            wasted_tokens: 0,
            refused_first: 0,
            refused_later: 0,
            unended: 0,
            intervals: Vec::new(),
            targets: workload.classes.iter().map(|class| vec![(0, class.target_s)]).collect(),
        }
    }

    /// A class's target changes. It holds for programs that come from then on.
    pub fn set_target(&mut self, class: usize, now_us: u64, target_s: f64) {
        self.targets[class].push((now_us, target_s));
    }

    /// A program ended.
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

    /// A program hadn't ended when the run did.
    pub fn record_unended(&mut self, program: &Program, latency_us: u64) {
        self.unended += 1;
        for group in self.groups(program) {
            group.record_ended(latency_us, false);
        }
    }

    /// A caller gave up before its program began.
    pub fn record_given_up(&mut self, program: &Program, now_us: u64) {
        for group in self.groups(program) {
            group.record_given_up();
        }
        self.interval(now_us).given_up += 1;
    }

    /// A call was refused.
    pub fn record_refused(&mut self, is_first: bool) {
        *if is_first { &mut self.refused_first } else { &mut self.refused_later } += 1;
    }

    /// An engine prefilled a prompt.
    pub fn record_prefilled(&mut self, tokens: u64, wasted_tokens: u64) {
        self.prefilled_tokens += tokens;
        self.wasted_tokens += wasted_tokens;
    }

    /// Length of an interval.
    pub fn interval_s() -> u64 {
        INTERVAL_S
    }

    /// The least attainment of a team over the mean of all, leaving out one team.
    pub fn worst_team(&self, excluded: Option<&str>) -> f64 {
        let teams = self.teams.iter().filter(|team| Some(team.name.as_str()) != excluded);
        let attainments: Vec<f64> = teams.map(Group::attainment).collect();
        let mean = attainments.iter().sum::<f64>() / attainments.len().max(1) as f64;
        let worst = attainments.iter().copied().fold(f64::INFINITY, f64::min);
        if mean > 0.0 { worst / mean } else { 0.0 }
    }

    fn target_s(&self, program: &Program) -> f64 {
        let targets = self.targets[program.class].iter();
        let in_force = targets.rev().find(|(from_us, _)| *from_us <= program.arrives_us);
        in_force.map_or(f64::INFINITY, |(_, target_s)| *target_s)
    }

    fn groups(&mut self, program: &Program) -> [&mut Group; 3] {
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
