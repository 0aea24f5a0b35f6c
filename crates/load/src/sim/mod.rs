//! Discrete-event simulation of one pool in virtual time: programs, a policy and engines.
//!
//! The simulation has models of the upstreams and no hosts; the network is a constant delay. It
//! measures scheduling decisions: the policy gets the input of a dispatcher, with load reports
//! delayed, and cache events delayed and lost, as configured in the workload.

mod callers;
mod upstreams;

use {
    crate::{
        engine::Engine,
        experiment::RunPhases,
        measure::Measurements,
        plan::Plan,
        policy::Policy,
        workload::{ScenarioChange, Workload},
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        time::{Duration, Instant},
    },
    trefoilring_core::{
        catalog::{Budget, Catalog, Class, Team},
        ids::{ClassId, ProgramId, UpstreamId},
        sched::{Command, LoadReport, Ticket},
    },
};

/// Allowed requests per second of a team with the mean share. Only the ratios between teams matter.
const MEAN_RATE_PER_S: f64 = 10.0;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Seed that selects which cache events are lost. The plan is drawn from the same seed.
    pub seed: u64,
    /// Warm-up, arrival and end times.
    pub phases: RunPhases,
}

/// A scheduled event. Workers, programs and classes are given by their index.
#[derive(Clone, Debug, PartialEq)]
enum Event {
    /// A program or a child requests a slot for its next turn.
    NextTurn(usize),
    /// A turn reaches an engine.
    Submit { worker: usize, program_index: usize, ticket: Ticket },
    /// An engine's step ends. Ignored if the worker has crashed since the step began.
    StepEnd { worker: usize, incarnation: u32 },
    /// The response to a turn reaches its home.
    Response { program_index: usize, response: Response },
    /// An engine's load is sampled for a report.
    SampleLoad(usize),
    /// A load report reaches the policy.
    LoadReported { worker: usize, report: LoadReport },
    /// A cache event reaches the policy.
    CacheEventReceived { worker: usize, sequence: u64, program: usize, tokens: u64 },
    /// The policy's requested wake-up time is reached.
    Wake,
    /// A worker crashes.
    WorkerLost(usize),
    /// A crashed worker returns with an empty cache.
    WorkerRestored(usize),
    /// The policy receives the host list.
    SendHostList,
    /// A class's target changes.
    TargetChanged { class: usize, target_s: f64 },
}

/// The result of a turn, as its home receives it. `Broken` means that the worker was lost.
#[derive(Clone, Debug, PartialEq)]
enum Response {
    Done { cached_tokens: u64, arrived_us: u64, first_token_us: u64 },
    Broken,
}

/// A worker: one engine and its connection to the policy.
#[derive(Debug)]
struct Worker {
    id: UpstreamId,
    engine: Engine,
    is_alive: bool,
    /// Number of crashes so far; distinguishes steps that began before a crash from later ones.
    incarnation: u32,
    last_cache_sequence: u64,
}

/// Progress of a program or a child.
#[derive(Clone, Debug)]
struct ProgramState {
    id: ProgramId,
    /// Index of the top-level program, which is the parent of a child.
    root: usize,
    /// Completed turns, which is the index of the current one.
    turn: usize,
    history_tokens: u64,
    last_upstream: Option<UpstreamId>,
    /// Children in progress. The next turn is scheduled when the last one ends.
    running_children: usize,
    /// The ticket of the turn in flight.
    ticket: Option<Ticket>,
    attempts: u32,
    refusals: u32,
}

/// State shared by a program and its children.
#[derive(Clone, Debug, Default)]
struct RootState {
    calls_done: u32,
    is_finished: bool,
}

/// One simulation run.
pub struct Sim<'a> {
    workload: &'a Workload,
    plan: &'a Plan,
    settings: RunSettings,
    policy: Policy,
    catalog: Catalog,
    /// Instant that stands for virtual time zero.
    start: Instant,
    now_us: u64,
    /// Scheduled events: time in microseconds, sequence number (for a stable order) and index into
    /// `event_payloads`.
    event_queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    /// Events by index; `None` once handled.
    event_payloads: Vec<Option<Event>>,
    last_event_sequence: u64,
    workers: Vec<Worker>,
    index_by_upstream_id: BTreeMap<UpstreamId, usize>,
    program_states: Vec<ProgramState>,
    index_by_program_id: BTreeMap<ProgramId, usize>,
    root_states: Vec<RootState>,
    /// Number of measured programs that have not ended.
    unfinished_measured_programs: usize,
    next_wake_us: Option<u64>,
    rng: StdRng,
    measurements: Measurements,
}

impl<'a> Sim<'a> {
    /// Sets up a run and schedules its initial events.
    pub fn new(
        workload: &'a Workload,
        plan: &'a Plan,
        changes: &[ScenarioChange],
        policy: Policy,
        settings: RunSettings,
    ) -> Self {
        let workers: Vec<Worker> =
            (0..workload.pool.workers).map(|i| new_worker(workload, i)).collect();
        let index_by_upstream_id =
            workers.iter().enumerate().map(|(i, worker)| (worker.id.clone(), i)).collect();
        let program_states: Vec<ProgramState> = new_program_states(plan);
        let index_by_program_id =
            program_states.iter().enumerate().map(|(i, state)| (state.id.clone(), i)).collect();
        let seed = settings.seed;
        let mut sim = Self {
            workload,
            plan,
            settings,
            policy,
            catalog: build_catalog(workload),
            start: Instant::now(),
            now_us: 0,
            event_queue: BinaryHeap::new(),
            event_payloads: Vec::new(),
            last_event_sequence: 0,
            workers,
            index_by_upstream_id,
            root_states: vec![RootState::default(); program_states.len()],
            program_states,
            index_by_program_id,
            unfinished_measured_programs: 0,
            next_wake_us: None,
            // The generator differs from those of the plan, which use the same seed.
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            measurements: Measurements::new(workload),
        };
        sim.schedule_initial_events(changes);
        sim
    }

    /// Runs until all measured programs have ended and arrivals are over, or until `end_s`.
    pub fn run(mut self) -> Measurements {
        self.policy.set_catalog(&self.catalog);
        self.send_host_list();
        let end_us = (self.settings.phases.end_s * 1e6) as u64;
        let last_arrival_us = (self.settings.phases.arrivals_s * 1e6) as u64;
        while let Some(Reverse((at_us, _, payload))) = self.event_queue.pop() {
            if at_us > end_us || (self.unfinished_measured_programs == 0 && at_us > last_arrival_us)
            {
                break;
            }
            self.now_us = at_us;
            if let Some(event) = self.event_payloads[payload].take() {
                self.handle(event);
            }
        }
        self.record_unended_programs(end_us);
        self.measurements
    }

    fn schedule_initial_events(&mut self, changes: &[ScenarioChange]) {
        for index in 0..self.plan.programs.len() {
            let program = &self.plan.programs[index];
            if program.parent.is_none() {
                self.unfinished_measured_programs += usize::from(self.is_measured(index));
                self.schedule_at(program.arrival_us, Event::NextTurn(index));
            }
        }
        for worker in 0..self.workers.len() {
            // Staggers the workers' load reports by 97 ms, so that they don't arrive at the same
            // time.
            self.schedule_at(worker as u64 * 97_000, Event::SampleLoad(worker));
        }
        for change in changes {
            let (start_us, end_us) =
                ((change.at_s * 1e6) as u64, ((change.at_s + change.for_s) * 1e6) as u64);
            for &worker in &change.lose_workers {
                self.schedule_at(start_us, Event::WorkerLost(worker));
                self.schedule_at(end_us, Event::WorkerRestored(worker));
            }
            let class =
                self.workload.classes.iter().position(|c| Some(&c.name) == change.class.as_ref());
            if let Some((class, target_s)) = class.zip(change.target_s) {
                self.schedule_at(start_us, Event::TargetChanged { class, target_s });
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NextTurn(program) => self.request_slot(program),
            Event::Submit { worker, program_index, ticket } => {
                self.submit(worker, program_index, ticket)
            }
            Event::StepEnd { worker, incarnation } => self.end_step(worker, incarnation),
            Event::Response { program_index, response } => {
                self.on_response(program_index, response)
            }
            Event::SampleLoad(worker) => self.sample_load(worker),
            Event::LoadReported { worker, report } => {
                let id = self.workers[worker].id.clone();
                let commands = self.policy.load_report(self.now(), &id, report);
                self.execute(commands);
            }
            Event::CacheEventReceived { worker, sequence, program, tokens } => {
                self.on_cache_event(worker, sequence, program, tokens);
            }
            Event::Wake => self.wake(),
            Event::WorkerLost(worker) => self.crash_worker(worker),
            Event::WorkerRestored(worker) => self.restore_worker(worker),
            Event::SendHostList => self.send_host_list(),
            Event::TargetChanged { class, target_s } => self.change_target(class, target_s),
        }
    }

    /// Executes the policy's commands.
    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Grant { waiter, grant } => self.on_granted(waiter as usize, &grant),
                Command::Refuse { waiter, refusal } => self.on_refused(waiter as usize, &refusal),
                Command::Release { upstream, program } => self.evict_prefix(&upstream, &program),
                Command::WakeAt(at) => {
                    let at_us = at.saturating_duration_since(self.start).as_micros() as u64;
                    self.next_wake_us = Some(at_us);
                    self.schedule_at(at_us, Event::Wake);
                }
                Command::LogEvent(_) => (),
            }
        }
    }

    fn wake(&mut self) {
        // A later `WakeAt` may have replaced this wake-up.
        if self.next_wake_us.is_some_and(|at_us| at_us <= self.now_us) {
            self.next_wake_us = None;
            let commands = self.policy.tick(self.now());
            self.execute(commands);
        }
    }

    fn change_target(&mut self, class: usize, target_s: f64) {
        self.measurements.set_target(class, self.now_us, target_s);
        let id: ClassId = self.workload.classes[class].name.as_str().into();
        if let Some(class) = self.catalog.classes.get_mut(&id) {
            class.target_ms = (target_s * 1e3) as u64;
        }
        self.catalog.version += 1;
        self.policy.set_catalog(&self.catalog);
    }

    fn schedule_at(&mut self, at_us: u64, event: Event) {
        self.event_payloads.push(Some(event));
        let payload = self.event_payloads.len() - 1;
        self.last_event_sequence += 1;
        self.event_queue.push(Reverse((at_us.max(self.now_us), self.last_event_sequence, payload)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    fn network_us(&self) -> u64 {
        (self.workload.pool.network_ms * 1e3) as u64
    }

    /// Returns whether a top-level program arrives after the warm-up.
    fn is_measured(&self, root: usize) -> bool {
        self.plan.programs[root].arrival_us as f64 / 1e6 >= self.settings.phases.warm_up_s
    }
}

fn new_worker(workload: &Workload, index: usize) -> Worker {
    Worker {
        id: format!("worker-{index}").into(),
        engine: Engine::new(workload.engine.clone()),
        is_alive: true,
        incarnation: 0,
        last_cache_sequence: 0,
    }
}

fn new_program_states(plan: &Plan) -> Vec<ProgramState> {
    let state = |(index, program): (usize, &crate::plan::Program)| ProgramState {
        id: format!("load.{index:016}").into(),
        root: program.parent.unwrap_or(index),
        turn: 0,
        history_tokens: 0,
        last_upstream: None,
        running_children: 0,
        ticket: None,
        attempts: 0,
        refusals: 0,
    };
    plan.programs.iter().enumerate().map(state).collect()
}

fn build_catalog(workload: &Workload) -> Catalog {
    let class =
        |target_s: f64| Class { target_ms: (target_s * 1e3) as u64, budget: Budget::default() };
    let classes = workload.classes.iter().map(|c| (c.name.as_str().into(), class(c.target_s)));
    let mean = 1.0 / workload.teams.len() as f64;
    let team = |share: f64| Team {
        rate_per_s: MEAN_RATE_PER_S * share / mean,
        burst_requests: 100,
        classes: Vec::new(),
    };
    let teams = workload.teams.iter().map(|t| (t.name.as_str().into(), team(t.share)));
    Catalog { version: 1, classes: classes.collect(), teams: teams.collect(), ..Default::default() }
}
