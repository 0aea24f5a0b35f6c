//! Engines, their load reports and cache events, and the platform's host list, which names the
//! upstreams.

use {
    super::{Event, Response, Sim},
    crate::engine::{CacheChange, SubmittedTurn},
    rand::RngExt,
    std::time::Duration,
    trefoilring_core::{
        ids::{ProgramId, UpstreamId},
        sched::{CacheEvent, LoadReport, Ticket, UpstreamView},
    },
};

/// Lag until the host list shows that a worker is lost or restored.
const HOST_LIST_LAG_US: u64 = 3_000_000;

impl Sim<'_> {
    /// Handles the arrival of a turn at an engine. The turn fails if the worker has crashed.
    pub(super) fn submit(&mut self, worker: usize, program_index: usize, ticket: Ticket) {
        // Ignores a turn whose ticket is no longer current.
        if self.program_states[program_index].ticket != Some(ticket) {
            return;
        }
        if !self.workers[worker].is_alive {
            let at_us = self.now_us + self.network_us();
            return self
                .schedule_at(at_us, Event::Response { program_index, response: Response::Broken });
        }
        self.program_states[program_index].last_upstream = Some(self.workers[worker].id.clone());
        let (prompt_tokens, output_tokens) = self.current_turn_tokens(program_index);
        let arrived_us = self.now_us;
        let turn = SubmittedTurn {
            id: ticket,
            program: program_index,
            prompt_tokens,
            output_tokens,
            arrived_us,
        };
        self.workers[worker].engine.submit(turn);
        if !self.workers[worker].engine.is_stepping {
            self.begin_step(worker);
        }
    }

    /// Ends an engine's step and sends the responses of completed turns.
    pub(super) fn end_step(&mut self, worker: usize, incarnation: u32) {
        if self.workers[worker].incarnation != incarnation {
            return;
        }
        let completed_turns = self.workers[worker].engine.end_step(self.now_us);
        for completed_turn in completed_turns {
            let response = Response::Done {
                cached_tokens: completed_turn.cached_tokens,
                arrived_us: completed_turn.turn.arrived_us,
                first_token_us: completed_turn.first_token_us,
            };
            let at_us = self.now_us + self.network_us();
            self.schedule_at(
                at_us,
                Event::Response { program_index: completed_turn.turn.program, response },
            );
        }
        self.begin_step(worker);
        let changes = self.workers[worker].engine.take_changes();
        self.send_cache_events(worker, changes);
    }

    /// Samples an engine's load. The report arrives at the policy after `report_lag_ms`.
    pub(super) fn sample_load(&mut self, worker: usize) {
        let engine = &self.workload.engine;
        let lag = Duration::from_millis(engine.report_lag_ms);
        self.schedule_at(
            self.now_us + engine.report_interval_ms * 1_000,
            Event::SampleLoad(worker),
        );
        if !self.workers[worker].is_alive {
            return;
        }
        let (running, waiting, kv_used_tokens) = self.workers[worker].engine.load();
        let kv_capacity_tokens = engine.kv_capacity_tokens;
        let report = LoadReport { running, waiting, kv_used_tokens, kv_capacity_tokens, age: lag };
        self.schedule_at(
            self.now_us + lag.as_micros() as u64,
            Event::LoadReported { worker, report },
        );
    }

    /// Handles the arrival of a cache event at the policy.
    pub(super) fn on_cache_event(
        &mut self,
        worker: usize,
        sequence: u64,
        program: usize,
        tokens: u64,
    ) {
        let id = self.workers[worker].id.clone();
        let program = self.program_states[program].id.clone();
        let event = CacheEvent { sequence, program, tokens };
        let commands = self.policy.cache_event(self.now(), &id, event);
        self.execute(commands);
    }

    /// Evicts a program's prefix at the policy's request.
    pub(super) fn evict_prefix(&mut self, upstream: &UpstreamId, program: &ProgramId) {
        let worker = self.index_by_upstream_id[upstream];
        self.workers[worker].engine.evict(self.index_by_program_id[program]);
    }

    /// Crashes a worker: its running turns, queue and cache are lost.
    pub(super) fn crash_worker(&mut self, worker: usize) {
        self.workers[worker].is_alive = false;
        self.workers[worker].incarnation += 1;
        for turn in self.workers[worker].engine.crash() {
            let at_us = self.now_us + self.network_us();
            self.schedule_at(
                at_us,
                Event::Response { program_index: turn.program, response: Response::Broken },
            );
        }
        self.schedule_at(self.now_us + HOST_LIST_LAG_US, Event::SendHostList);
    }

    /// Restores a crashed worker, with an empty cache.
    pub(super) fn restore_worker(&mut self, worker: usize) {
        self.workers[worker].is_alive = true;
        self.schedule_at(self.now_us + HOST_LIST_LAG_US, Event::SendHostList);
    }

    /// Sends the live workers to the policy as the host list.
    pub(super) fn send_host_list(&mut self) {
        let domains = &self.workload.pool.domains;
        let live = self.workers.iter().enumerate().filter(|(_, worker)| worker.is_alive);
        let views = live.map(|(index, worker)| UpstreamView {
            upstream: worker.id.clone(),
            // Unique, but never connected to.
            address: format!("127.0.0.1:{}", 10_000 + index),
            domain: domains[index % domains.len()].as_str().into(),
            is_leaving: false,
            models: Vec::new(),
        });
        let commands = self.policy.set_upstreams(self.now(), views.collect());
        self.execute(commands);
    }

    fn begin_step(&mut self, worker: usize) {
        let incarnation = self.workers[worker].incarnation;
        if let Some(duration_us) = self.workers[worker].engine.begin_step() {
            self.schedule_at(self.now_us + duration_us, Event::StepEnd { worker, incarnation });
        }
    }

    fn send_cache_events(&mut self, worker: usize, changes: Vec<CacheChange>) {
        let lag_us = self.workload.engine.event_lag_ms * 1_000;
        for CacheChange { program, tokens } in changes {
            self.workers[worker].last_cache_sequence += 1;
            let sequence = self.workers[worker].last_cache_sequence;
            if self.rng.random::<f64>() >= self.workload.engine.event_loss {
                let event = Event::CacheEventReceived { worker, sequence, program, tokens };
                self.schedule_at(self.now_us + lag_us, event);
            }
        }
    }
}
