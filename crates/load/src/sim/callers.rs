//! Callers and homes: programs request turns, wait for them, pause between them and end.

use {
    super::{Event, Response, Sim},
    std::time::Duration,
    trefoilring_core::{
        message::Usage,
        sched::{Outcome, SlotGrant, SlotRelease, SlotRequest},
        verdict::Refusal,
    },
};

/// Number of refusals of a program's first call after which its caller gives up.
const MAX_FIRST_CALL_REFUSALS: u32 = 4;
/// Maximum time that a home waits for a slot.
const MAX_SLOT_WAIT: Duration = Duration::from_secs(120);
/// Retry delay after a refusal without `retry_after`.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Sim<'_> {
    /// Requests a slot for the program's next turn.
    pub(super) fn request_slot(&mut self, index: usize) {
        if self.root_states[self.program_states[index].root].is_finished {
            return;
        }
        let request = self.build_slot_request(index);
        self.program_states[index].attempts += 1;
        let commands = self.policy.request(self.now(), request, index as u64);
        self.execute(commands);
    }

    /// Handles a granted slot: sends the turn to the engine.
    pub(super) fn on_granted(&mut self, index: usize, grant: &SlotGrant) {
        let worker = self.index_by_upstream_id[&grant.upstream];
        self.program_states[index].ticket = Some(grant.ticket);
        let at_us = self.now_us + self.network_us();
        self.schedule_at(
            at_us,
            Event::Submit { worker, program_index: index, ticket: grant.ticket },
        );
    }

    /// Handles a refusal: retries after the requested delay, or gives up.
    pub(super) fn on_refused(&mut self, index: usize, refusal: &Refusal) {
        let root = self.program_states[index].root;
        let is_first = self.root_states[root].calls_done == 0;
        self.program_states[index].refusals += 1;
        self.measurements.record_refused(is_first);
        if is_first && self.program_states[index].refusals >= MAX_FIRST_CALL_REFUSALS {
            return self.give_up(root);
        }
        let retry_delay = refusal.retry_after.unwrap_or(DEFAULT_RETRY_DELAY);
        self.schedule_at(self.now_us + retry_delay.as_micros() as u64, Event::NextTurn(index));
    }

    /// Handles the response to a turn at the home: releases the slot, and retries the turn if its
    /// worker was lost.
    pub(super) fn on_response(&mut self, index: usize, response: Response) {
        let Some(ticket) = self.program_states[index].ticket.take() else {
            return;
        };
        let outcome = match &response {
            Response::Broken => Outcome::Broken,
            Response::Done { cached_tokens, arrived_us, first_token_us } => {
                let (prompt_tokens, completion_tokens) = self.current_turn_tokens(index);
                let cached_tokens = *cached_tokens;
                self.record_turn_prefill(index, cached_tokens);
                Outcome::Done {
                    first_byte: Duration::from_micros(first_token_us - arrived_us),
                    total: Duration::from_micros(self.now_us - arrived_us),
                    usage: Some(Usage { prompt_tokens, cached_tokens, completion_tokens }),
                }
            }
        };
        let service = self.workload.pool.service.as_str().into();
        let release = SlotRelease { service, ticket, outcome };
        let commands = self.policy.release(self.now(), release);
        self.execute(commands);
        match response {
            // Retries after 50 ms.
            Response::Broken => self.schedule_at(self.now_us + 50_000, Event::NextTurn(index)),
            Response::Done { .. } => self.finish_turn(index),
        }
    }

    /// Records the measured programs that are still in progress at the end of the run.
    pub(super) fn record_unended_programs(&mut self, end_us: u64) {
        for index in 0..self.plan.programs.len() {
            let program = &self.plan.programs[index];
            let is_root = program.parent.is_none();
            if is_root && !self.root_states[index].is_finished && self.is_measured(index) {
                let latency_us = end_us.saturating_sub(program.arrival_us);
                self.measurements.record_unended(program, latency_us);
            }
        }
    }

    fn build_slot_request(&self, index: usize) -> SlotRequest {
        let state = &self.program_states[index];
        let program = &self.plan.programs[index];
        let class = &self.workload.classes[program.class];
        let (prompt_tokens, _) = self.current_turn_tokens(index);
        let created_us = self.plan.programs[state.root].arrival_us;
        SlotRequest {
            request: format!("{}/{}", state.id, state.turn).into(),
            // All programs of the simulation have the same home.
            home: "home".into(),
            service: self.workload.pool.service.as_str().into(),
            model: None,
            program: state.id.clone(),
            class: class.name.as_str().into(),
            team: self.workload.teams[program.team].name.as_str().into(),
            program_age: Duration::from_micros(self.now_us - created_us),
            target: Duration::from_secs_f64(class.target_s),
            calls_done: self.root_states[state.root].calls_done,
            prompt_tokens,
            // Callers can't predict the output length and set a limit well above it.
            completion_tokens: class.output_tokens.max as u64,
            last_upstream: state.last_upstream.clone(),
            // Unique per turn: a program has fewer than 2^16 turns.
            fingerprint: (index as u64) << 16 | state.turn as u64,
            is_repeatable: true,
            max_wait: MAX_SLOT_WAIT,
        }
    }

    /// Returns the tokens of the current turn's complete prompt and of its output.
    pub(super) fn current_turn_tokens(&self, index: usize) -> (u64, u64) {
        let state = &self.program_states[index];
        let turn = &self.plan.programs[index].turns[state.turn];
        (state.history_tokens + turn.new_tokens, turn.output_tokens)
    }

    fn record_turn_prefill(&mut self, index: usize, cached_tokens: u64) {
        let state = &self.program_states[index];
        let (prompt_tokens, _) = self.current_turn_tokens(index);
        // With a perfect cache, only the new tokens would need prefill.
        let wasted = state.history_tokens.saturating_sub(cached_tokens);
        if self.is_measured(state.root) {
            self.measurements.record_prefilled(prompt_tokens - cached_tokens, wasted);
        }
    }

    fn finish_turn(&mut self, index: usize) {
        let (prompt_tokens, output_tokens) = self.current_turn_tokens(index);
        let state = &mut self.program_states[index];
        state.history_tokens = prompt_tokens + output_tokens;
        let turn = &self.plan.programs[index].turns[state.turn];
        state.turn += 1;
        state.attempts = 0;
        state.running_children = turn.children.len();
        self.root_states[state.root].calls_done += 1;
        let children = turn.children.clone();
        if children.is_empty() {
            return self.schedule_next_turn_or_finish(index, turn.pause_us);
        }
        for child in children {
            self.schedule_at(self.now_us, Event::NextTurn(child));
        }
    }

    /// Schedules the next turn after the pause, or finishes a program after its last turn.
    fn schedule_next_turn_or_finish(&mut self, index: usize, pause_us: u64) {
        if self.program_states[index].turn < self.plan.programs[index].turns.len() {
            self.schedule_at(self.now_us + pause_us, Event::NextTurn(index));
        } else {
            self.finish_program(index);
        }
    }

    fn finish_program(&mut self, index: usize) {
        let id = self.program_states[index].id.clone();
        let commands = self.policy.program_ended(self.now(), &id);
        self.execute(commands);
        let program = &self.plan.programs[index];
        let Some(parent) = program.parent else {
            let latency_us = self.now_us + self.network_us() - program.arrival_us;
            self.root_states[index].is_finished = true;
            if self.is_measured(index) {
                self.unfinished_measured_programs -= 1;
                self.measurements.record_ended(program, self.now_us, latency_us);
            }
            return;
        };
        self.program_states[parent].running_children -= 1;
        if self.program_states[parent].running_children == 0 {
            let parent_turn = self.program_states[parent].turn - 1;
            let pause_us = self.plan.programs[parent].turns[parent_turn].pause_us;
            self.schedule_next_turn_or_finish(parent, pause_us);
        }
    }

    fn give_up(&mut self, root: usize) {
        self.root_states[root].is_finished = true;
        if self.is_measured(root) {
            self.unfinished_measured_programs -= 1;
            self.measurements.record_given_up(&self.plan.programs[root], self.now_us);
        }
    }
}
