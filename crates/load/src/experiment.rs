//! One measurement: a workload, a load, a scenario, a seed and a policy.

use {
    crate::{
        measure::Measurements,
        plan::Plan,
        policy::Policy,
        sim::{RunSettings, Sim},
        workload::{Workload, WorkloadError},
    },
    error_stack::Report,
};

/// How long a run is, in virtual time.
#[derive(Clone, Copy, Debug)]
pub struct RunLength {
    /// Arrivals before this aren't measured: caches fill and limits are learned.
    pub warm_up_s: f64,
    /// Arrivals end after this.
    pub arrivals_s: f64,
    /// Programs that haven't ended by then count as if they ended then.
    pub end_s: f64,
}

impl Default for RunLength {
    fn default() -> Self {
        Self { warm_up_s: 300.0, arrivals_s: 1_500.0, end_s: 7_200.0 }
    }
}

/// What to measure.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// The workload.
    pub workload: Workload,
    /// The name of the scenario; `steady` for none.
    pub scenario: String,
    /// Arrivals over the pool's capacity.
    pub load: f64,
    /// Seed of the programs.
    pub seed: u64,
    /// How long the run is.
    pub length: RunLength,
}

impl Experiment {
    /// Runs a policy. Returns `None` if there is none of this name.
    pub fn run(&self, policy: &str) -> Result<Option<Measurements>, Report<WorkloadError>> {
        let lines = self.workload.scenario(&self.scenario)?;
        let service = &self.workload.pool.service;
        let Some(policy) = Policy::new(policy, service, self.seed) else {
            return Ok(None);
        };
        let rate = self.programs_per_s();
        let plan = Plan::draw(&self.workload, self.seed, rate, self.length.arrivals_s, &lines);
        let settings = RunSettings { seed: self.seed, length: self.length };
        let sim = Sim::new(&self.workload, &plan, &lines, policy, settings);
        Ok(Some(sim.run()))
    }

    /// Programs a second that come on the whole.
    pub fn programs_per_s(&self) -> f64 {
        Plan::capacity(&self.workload).programs_per_s * self.load
    }

    /// Programs within their target, for each second of measured arrivals.
    pub fn goodput_per_s(&self, measurements: &Measurements) -> f64 {
        measurements.all.attained as f64 / (self.length.arrivals_s - self.length.warm_up_s)
    }

    /// The team that the scenario makes noisy.
    pub fn noisy_team(&self) -> Option<String> {
        let lines = self.workload.scenario(&self.scenario).ok()?;
        lines.into_iter().find_map(|line| line.noisy_team)
    }
}
