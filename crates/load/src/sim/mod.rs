//! One pool in virtual time: programs, a policy and engines, without hosts or network.
//!
//! This is a fake at the upstream interface, not a cluster. It measures decisions: the policy sees
//! what a dispatcher sees, with load reports and cache events as late and as gappy.

mod callers;
mod upstreams;

use {
    crate::{
        engine::Engine,
        experiment::RunLength,
        measure::Measures,
        plan::Plan,
        policy::Policy,
        workload::{ScenarioLine, Workload},
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

/// Rate of a team with the mean share; only the relation between teams counts.
const MEAN_RATE_PER_S: f64 = 10.0;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Seed of the programs and of what goes wrong.
    pub seed: u64,
    /// How long the run is.
    pub length: RunLength,
}

/// What happens next.
#[derive(Clone, Debug, PartialEq)]
enum Event {
    /// A program or a sub-agent asks for its next turn.
    Turn(usize),
    /// A turn reaches an engine.
    Submit { worker: usize, node: usize, ticket: Ticket },
    /// The step of an engine ends. A crash in between makes it void.
    StepEnd { worker: usize, life: u32 },
    /// A home learns how a turn went.
    Answer { node: usize, outcome: Answer },
    /// An engine takes its load.
    TakeReport(usize),
    /// A load report arrives.
    Report { worker: usize, report: LoadReport },
    /// A cache event arrives.
    Cache { worker: usize, sequence: u64, program: usize, tokens: u64 },
    /// The policy wants to be woken.
    Wake,
    /// A worker dies.
    Lose(usize),
    /// A worker comes back with empty memory.
    Return(usize),
    /// The host list is read.
    List,
    /// A class gets another target.
    Target { class: usize, target_s: f64 },
}

/// How a turn went.
#[derive(Clone, Debug, PartialEq)]
enum Answer {
    Done { cached_tokens: u64, came_us: u64, first_us: u64 },
    Broken,
}

/// One worker.
#[derive(Debug)]
struct Worker {
    id: UpstreamId,
    engine: Engine,
    is_alive: bool,
    /// Counts crashes.
    life: u32,
    next_sequence: u64,
}

/// Where a program or a sub-agent is.
#[derive(Clone, Debug)]
struct Node {
    id: ProgramId,
    root: usize,
    /// Turns done.
    turn: usize,
    history_tokens: u64,
    last_upstream: Option<UpstreamId>,
    /// Sub-agents that still run.
    children: usize,
    /// The turn that runs: ticket, worker, and whether its answer is still due.
    ticket: Option<Ticket>,
    attempts: u32,
    refusals: u32,
}

/// What a program and its sub-agents share, by the program's index.
#[derive(Clone, Debug, Default)]
struct Whole {
    calls_done: u32,
    is_over: bool,
}

/// A run.
pub struct Sim<'a> {
    workload: &'a Workload,
    plan: &'a Plan,
    settings: RunSettings,
    policy: Policy,
    catalog: Catalog,
    origin: Instant,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    bodies: Vec<Option<Event>>,
    next_event: u64,
    workers: Vec<Worker>,
    by_id: BTreeMap<UpstreamId, usize>,
    nodes: Vec<Node>,
    by_program: BTreeMap<ProgramId, usize>,
    wholes: Vec<Whole>,
    /// Measured programs that haven't ended.
    open: usize,
    wake_us: Option<u64>,
    rng: StdRng,
    measures: Measures,
}

impl<'a> Sim<'a> {
    /// Prepares a run.
    pub fn new(
        workload: &'a Workload,
        plan: &'a Plan,
        lines: &[ScenarioLine],
        policy: Policy,
        settings: RunSettings,
    ) -> Self {
        let workers: Vec<Worker> =
            (0..workload.pool.workers).map(|i| worker(workload, i)).collect();
        let by_id = workers.iter().enumerate().map(|(i, worker)| (worker.id.clone(), i)).collect();
        let nodes: Vec<Node> = nodes(plan);
        let by_program = nodes.iter().enumerate().map(|(i, node)| (node.id.clone(), i)).collect();
        let seed = settings.seed;
        let mut sim = Self {
            workload,
            plan,
            settings,
            policy,
            catalog: catalog(workload),
            origin: Instant::now(),
            now_us: 0,
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            next_event: 0,
            workers,
            by_id,
            wholes: vec![Whole::default(); nodes.len()],
            nodes,
            by_program,
            open: 0,
            wake_us: None,
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            measures: Measures::new(workload),
        };
        sim.schedule(lines);
        sim
    }

    /// Runs until all measured programs have ended, or to the end of the run.
    pub fn run(mut self) -> Measures {
        self.policy.set_catalog(&self.catalog);
        self.read_list();
        let end_us = (self.settings.length.end_s * 1e6) as u64;
        let last_arrival_us = (self.settings.length.arrivals_s * 1e6) as u64;
        while let Some(Reverse((at_us, _, body))) = self.events.pop() {
            if at_us > end_us || (self.open == 0 && at_us > last_arrival_us) {
                break;
            }
            self.now_us = at_us;
            if let Some(event) = self.bodies[body].take() {
                self.handle(event);
            }
        }
        self.count_unended(end_us);
        self.measures
    }

    fn schedule(&mut self, lines: &[ScenarioLine]) {
        for index in 0..self.plan.programs.len() {
            let program = &self.plan.programs[index];
            if program.parent.is_none() {
                self.open += usize::from(self.is_measured(index));
                self.at(program.arrives_us, Event::Turn(index));
            }
        }
        for worker in 0..self.workers.len() {
            // Reports of different workers don't come at the same moment.
            self.at(worker as u64 * 97_000, Event::TakeReport(worker));
        }
        for line in lines {
            let (begin_us, end_us) =
                ((line.at_s * 1e6) as u64, ((line.at_s + line.for_s) * 1e6) as u64);
            for &worker in &line.lose_workers {
                self.at(begin_us, Event::Lose(worker));
                self.at(end_us, Event::Return(worker));
            }
            let class =
                self.workload.classes.iter().position(|c| Some(&c.name) == line.class.as_ref());
            if let Some((class, target_s)) = class.zip(line.target_s) {
                self.at(begin_us, Event::Target { class, target_s });
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Turn(node) => self.ask(node),
            Event::Submit { worker, node, ticket } => self.submit(worker, node, ticket),
            Event::StepEnd { worker, life } => self.end_step(worker, life),
            Event::Answer { node, outcome } => self.answer(node, outcome),
            Event::TakeReport(worker) => self.take_report(worker),
            Event::Report { worker, report } => {
                let id = self.workers[worker].id.clone();
                let commands = self.policy.load_report(self.now(), &id, report);
                self.obey(commands);
            }
            Event::Cache { worker, sequence, program, tokens } => {
                self.cache_arrives(worker, sequence, program, tokens);
            }
            Event::Wake => self.wake(),
            Event::Lose(worker) => self.lose(worker),
            Event::Return(worker) => self.return_worker(worker),
            Event::List => self.read_list(),
            Event::Target { class, target_s } => self.change_target(class, target_s),
        }
    }

    /// Carries out what the policy orders.
    fn obey(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Grant { waiter, grant } => self.granted(waiter as usize, &grant),
                Command::Refuse { waiter, refusal } => self.refused(waiter as usize, &refusal),
                Command::Release { upstream, program } => self.release_memory(&upstream, &program),
                Command::WakeAt(at) => {
                    let at_us = at.saturating_duration_since(self.origin).as_micros() as u64;
                    self.wake_us = Some(at_us);
                    self.at(at_us, Event::Wake);
                }
                Command::LogEvent(_) => (),
            }
        }
    }

    fn wake(&mut self) {
        // A later order to wake replaced this one.
        if self.wake_us.is_some_and(|at_us| at_us <= self.now_us) {
            self.wake_us = None;
            let commands = self.policy.tick(self.now());
            self.obey(commands);
        }
    }

    fn change_target(&mut self, class: usize, target_s: f64) {
        self.measures.set_target(class, self.now_us, target_s);
        let id: ClassId = self.workload.classes[class].name.as_str().into();
        if let Some(class) = self.catalog.classes.get_mut(&id) {
            class.target_ms = (target_s * 1e3) as u64;
        }
        self.catalog.version += 1;
        self.policy.set_catalog(&self.catalog);
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.bodies.push(Some(event));
        let body = self.bodies.len() - 1;
        self.next_event += 1;
        self.events.push(Reverse((at_us.max(self.now_us), self.next_event, body)));
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_micros(self.now_us)
    }

    fn network_us(&self) -> u64 {
        (self.workload.pool.network_ms * 1e3) as u64
    }

    fn is_measured(&self, root: usize) -> bool {
        self.plan.programs[root].arrives_us as f64 / 1e6 >= self.settings.length.warm_up_s
    }
}

fn worker(workload: &Workload, index: usize) -> Worker {
    Worker {
        id: format!("worker-{index}").into(),
        engine: Engine::new(workload.engine.clone()),
        is_alive: true,
        life: 0,
        next_sequence: 0,
    }
}

fn nodes(plan: &Plan) -> Vec<Node> {
    let node = |(index, program): (usize, &crate::plan::Program)| Node {
        id: format!("load.{index:016}").into(),
        root: program.parent.unwrap_or(index),
        turn: 0,
        history_tokens: 0,
        last_upstream: None,
        children: 0,
        ticket: None,
        attempts: 0,
        refusals: 0,
    };
    plan.programs.iter().enumerate().map(node).collect()
}

fn catalog(workload: &Workload) -> Catalog {
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
