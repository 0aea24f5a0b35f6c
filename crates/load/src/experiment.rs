//! One experiment: a workload, an arrival rate, a scenario and a seed, run with a policy.

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

/// Boundaries of the phases of a run, in virtual time.
#[derive(Clone, Copy, Debug)]
pub struct RunPhases {
    /// End of the warm-up. Programs that arrive earlier are not measured, because caches are
    /// filling and the dispatcher's limits are adapting.
    pub warm_up_s: f64,
    /// End of arrivals.
    pub arrivals_s: f64,
    /// End of the run. Programs that have not ended by then are recorded with this end time and
    /// count as having missed their target.
    pub end_s: f64,
}

impl Default for RunPhases {
    fn default() -> Self {
        Self { warm_up_s: 300.0, arrivals_s: 1_500.0, end_s: 7_200.0 }
    }
}

/// The parameters of a run, apart from the policy.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Pool, engines, classes and teams.
    pub workload: Workload,
    /// Name of the scenario, or `steady` for none.
    pub scenario: String,
    /// Arrival rate as a fraction of the pool's capacity.
    pub load: f64,
    /// Seed of the programs, the policy and the simulation.
    pub seed: u64,
    /// Warm-up, arrival and end times.
    pub phases: RunPhases,
}

impl Experiment {
    /// Runs a policy. Returns `None` if no policy has this name.
    pub fn run(&self, policy: &str) -> Result<Option<Measurements>, Report<WorkloadError>> {
        let changes = self.workload.scenario(&self.scenario)?;
        let service = &self.workload.pool.service;
        let Some(policy) = Policy::new(policy, service, self.seed) else {
            return Ok(None);
        };
        let rate = self.programs_per_s();
        let plan = Plan::draw(&self.workload, self.seed, rate, self.phases.arrivals_s, &changes);
        let settings = RunSettings { seed: self.seed, phases: self.phases };
        let sim = Sim::new(&self.workload, &plan, &changes, policy, settings);
        Ok(Some(sim.run()))
    }

    /// Returns the arrival rate of programs over all teams.
    pub fn programs_per_s(&self) -> f64 {
        Plan::capacity(&self.workload).programs_per_s * self.load
    }

    /// Returns the number of measured programs that met their target, per second of measured
    /// arrivals.
    pub fn goodput_per_s(&self, measurements: &Measurements) -> f64 {
        measurements.all.attained as f64 / (self.phases.arrivals_s - self.phases.warm_up_s)
    }

    /// Returns the team whose rate the scenario raises, if any.
    pub fn noisy_team(&self) -> Option<String> {
        let changes = self.workload.scenario(&self.scenario).ok()?;
        changes.into_iter().find_map(|change| change.noisy_team)
    }
}
