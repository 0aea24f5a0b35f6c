//! Engines and what is heard of them.

use {
    super::{Answer, Event, Sim},
    crate::engine::{CacheChange, Job},
    rand::RngExt,
    std::time::Duration,
    trefoilring_core::{
        ids::{ProgramId, UpstreamId},
        sched::{CacheEvent, LoadReport, Ticket, UpstreamView},
    },
};

/// Time until the host list shows that a worker is gone or back.
const LIST_LAG_US: u64 = 3_000_000;

impl Sim<'_> {
    /// A turn reaches an engine.
    pub(super) fn submit(&mut self, worker: usize, node: usize, ticket: Ticket) {
        if self.nodes[node].ticket != Some(ticket) {
            return;
        }
        if !self.workers[worker].is_alive {
            let at_us = self.now_us + self.network_us();
            return self.at(at_us, Event::Answer { node, outcome: Answer::Broken });
        }
        self.nodes[node].last_upstream = Some(self.workers[worker].id.clone());
        let (prompt_tokens, output_tokens) = self.turn_tokens(node);
        let came_us = self.now_us;
        let job = Job { id: ticket, program: node, prompt_tokens, output_tokens, came_us };
        self.workers[worker].engine.submit(job);
        if !self.workers[worker].engine.is_stepping {
            self.begin_step(worker);
        }
    }

    /// The step of an engine ends.
    pub(super) fn end_step(&mut self, worker: usize, life: u32) {
        if self.workers[worker].life != life {
            return;
        }
        let ended = self.workers[worker].engine.end_step(self.now_us);
        for turn in ended {
            let outcome = Answer::Done {
                cached_tokens: turn.cached_tokens,
                came_us: turn.job.came_us,
                first_us: turn.first_us,
            };
            let at_us = self.now_us + self.network_us();
            self.at(at_us, Event::Answer { node: turn.job.program, outcome });
        }
        self.begin_step(worker);
        let changes = self.workers[worker].engine.take_changes();
        self.send_changes(worker, changes);
    }

    /// An engine takes its load, which arrives later.
    pub(super) fn take_report(&mut self, worker: usize) {
        let engine = &self.workload.engine;
        let lag = Duration::from_millis(engine.report_lag_ms);
        self.at(self.now_us + engine.report_interval_ms * 1_000, Event::TakeReport(worker));
        if !self.workers[worker].is_alive {
            return;
        }
        let (running, waiting, kv_used_tokens) = self.workers[worker].engine.load();
        let kv_capacity_tokens = engine.kv_capacity_tokens;
        let report = LoadReport { running, waiting, kv_used_tokens, kv_capacity_tokens, age: lag };
        self.at(self.now_us + lag.as_micros() as u64, Event::Report { worker, report });
    }

    /// A cache event arrives at the policy.
    pub(super) fn cache_arrives(
        &mut self,
        worker: usize,
        sequence: u64,
        program: usize,
        tokens: u64,
    ) {
        let id = self.workers[worker].id.clone();
        let program = self.nodes[program].id.clone();
        let event = CacheEvent { sequence, program, tokens };
        let commands = self.policy.cache_event(self.now(), &id, event);
        self.obey(commands);
    }

    /// The policy frees the memory of a program.
    pub(super) fn release_memory(&mut self, upstream: &UpstreamId, program: &ProgramId) {
        let worker = self.by_id[upstream];
        self.workers[worker].engine.release(self.by_program[program]);
    }

    /// A worker dies with all that it runs and holds.
    pub(super) fn lose(&mut self, worker: usize) {
        self.workers[worker].is_alive = false;
        self.workers[worker].life += 1;
        for job in self.workers[worker].engine.crash() {
            let at_us = self.now_us + self.network_us();
            self.at(at_us, Event::Answer { node: job.program, outcome: Answer::Broken });
        }
        self.at(self.now_us + LIST_LAG_US, Event::List);
    }

    /// A worker comes back.
    pub(super) fn return_worker(&mut self, worker: usize) {
        self.workers[worker].is_alive = true;
        self.at(self.now_us + LIST_LAG_US, Event::List);
    }

    /// The policy reads the host list.
    pub(super) fn read_list(&mut self) {
        let domains = &self.workload.pool.domains;
        let alive = self.workers.iter().enumerate().filter(|(_, worker)| worker.is_alive);
        let views = alive.map(|(index, worker)| UpstreamView {
            upstream: worker.id.clone(),
            address: format!("127.0.0.1:{}", 10_000 + index),
            domain: domains[index % domains.len()].as_str().into(),
            is_leaving: false,
            models: Vec::new(),
        });
        let commands = self.policy.set_upstreams(self.now(), views.collect());
        self.obey(commands);
    }

    fn begin_step(&mut self, worker: usize) {
        let life = self.workers[worker].life;
        if let Some(length_us) = self.workers[worker].engine.begin_step() {
            self.at(self.now_us + length_us, Event::StepEnd { worker, life });
        }
    }

    fn send_changes(&mut self, worker: usize, changes: Vec<CacheChange>) {
        let lag_us = self.workload.engine.event_lag_ms * 1_000;
        for CacheChange { program, tokens } in changes {
            self.workers[worker].next_sequence += 1;
            let sequence = self.workers[worker].next_sequence;
            if self.rng.random::<f64>() >= self.workload.engine.event_loss {
                let event = Event::Cache { worker, sequence, program, tokens };
                self.at(self.now_us + lag_us, event);
            }
        }
    }
}
