//! Callers and homes: programs that ask for turns, wait, pause and end.

use {
    super::{Answer, Event, Sim},
    std::time::Duration,
    trefoilring_core::{
        message::Usage,
        sched::{Outcome, SlotGrant, SlotRelease, SlotRequest},
        verdict::Refusal,
    },
};

/// How often a caller tries to begin a program before it gives up.
const MAX_FIRST_TRIES: u32 = 4;
/// How long a home waits for a slot.
const PATIENCE: Duration = Duration::from_secs(120);
/// Time until a refused turn is sent again where the refusal names none.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

impl Sim<'_> {
    /// A program asks for a slot for its next turn.
    pub(super) fn ask(&mut self, index: usize) {
        if self.wholes[self.nodes[index].root].is_over {
            return;
        }
        let request = self.request(index);
        self.nodes[index].attempts += 1;
        let commands = self.policy.request(self.now(), request, index as u64);
        self.obey(commands);
    }

    /// A program got a slot: its turn goes to the engine.
    pub(super) fn granted(&mut self, index: usize, grant: &SlotGrant) {
        let worker = self.by_id[&grant.upstream];
        self.nodes[index].ticket = Some(grant.ticket);
        let at_us = self.now_us + self.network_us();
        self.at(at_us, Event::Submit { worker, node: index, ticket: grant.ticket });
    }

    /// A program was refused: it comes back when it was told to, or gives up.
    pub(super) fn refused(&mut self, index: usize, refusal: &Refusal) {
        let root = self.nodes[index].root;
        let is_first = self.wholes[root].calls_done == 0;
        self.nodes[index].refusals += 1;
        self.measures.refused(is_first);
        if is_first && self.nodes[index].refusals >= MAX_FIRST_TRIES {
            return self.give_up(root);
        }
        let after = refusal.retry_after.unwrap_or(DEFAULT_RETRY);
        self.at(self.now_us + after.as_micros() as u64, Event::Turn(index));
    }

    /// A home learns how a turn went.
    pub(super) fn answer(&mut self, index: usize, answer: Answer) {
        let Some(ticket) = self.nodes[index].ticket.take() else {
            return;
        };
        let outcome = match &answer {
            Answer::Broken => Outcome::Broken,
            Answer::Done { cached_tokens, came_us, first_us } => {
                let (prompt_tokens, completion_tokens) = self.turn_tokens(index);
                let cached_tokens = *cached_tokens;
                self.count_prefill(index, cached_tokens);
                Outcome::Done {
                    first_byte: Duration::from_micros(first_us - came_us),
                    total: Duration::from_micros(self.now_us - came_us),
                    usage: Some(Usage { prompt_tokens, cached_tokens, completion_tokens }),
                }
            }
        };
        let service = self.workload.pool.service.as_str().into();
        let release = SlotRelease { service, ticket, outcome };
        let commands = self.policy.release(self.now(), release);
        self.obey(commands);
        match answer {
            Answer::Broken => self.at(self.now_us + 50_000, Event::Turn(index)),
            Answer::Done { .. } => self.end_turn(index),
        }
    }

    /// Counts measured programs that haven't ended when the run does.
    pub(super) fn count_unended(&mut self, end_us: u64) {
        for index in 0..self.plan.programs.len() {
            let program = &self.plan.programs[index];
            let is_root = program.parent.is_none();
            if is_root && !self.wholes[index].is_over && self.is_measured(index) {
                let latency_us = end_us.saturating_sub(program.arrives_us);
                self.measures.unended(program, latency_us);
            }
        }
    }

    fn request(&self, index: usize) -> SlotRequest {
        let node = &self.nodes[index];
        let program = &self.plan.programs[index];
        let class = &self.workload.classes[program.class];
        let (prompt_tokens, _) = self.turn_tokens(index);
        let begun_us = self.plan.programs[node.root].arrives_us;
        SlotRequest {
            request: format!("{}/{}", node.id, node.turn).into(),
            home: "home".into(),
            service: self.workload.pool.service.as_str().into(),
            model: None,
            program: node.id.clone(),
            class: class.name.as_str().into(),
            team: self.workload.teams[program.team].name.as_str().into(),
            program_age: Duration::from_micros(self.now_us - begun_us),
            target: Duration::from_secs_f64(class.target_s),
            calls_done: self.wholes[node.root].calls_done,
            prompt_tokens,
            // Callers set a generous limit and don't know the length.
            completion_tokens: class.output_tokens.max as u64,
            last_upstream: node.last_upstream.clone(),
            fingerprint: (index as u64) << 16 | node.turn as u64,
            is_repeatable: true,
            max_wait: PATIENCE,
        }
    }

    /// Tokens of the whole prompt and of the answer of the present turn.
    pub(super) fn turn_tokens(&self, index: usize) -> (u64, u64) {
        let node = &self.nodes[index];
        let turn = &self.plan.programs[index].turns[node.turn];
        (node.history_tokens + turn.new_tokens, turn.output_tokens)
    }

    fn count_prefill(&mut self, index: usize, cached_tokens: u64) {
        let node = &self.nodes[index];
        let (prompt_tokens, _) = self.turn_tokens(index);
        // A perfect cache holds the whole history but computes the new part.
        let wasted = node.history_tokens.saturating_sub(cached_tokens);
        if self.is_measured(node.root) {
            self.measures.prefilled(prompt_tokens - cached_tokens, wasted);
        }
    }

    fn end_turn(&mut self, index: usize) {
        let (prompt_tokens, output_tokens) = self.turn_tokens(index);
        let node = &mut self.nodes[index];
        node.history_tokens = prompt_tokens + output_tokens;
        let turn = &self.plan.programs[index].turns[node.turn];
        node.turn += 1;
        node.attempts = 0;
        node.children = turn.children.len();
        self.wholes[node.root].calls_done += 1;
        let children = turn.children.clone();
        if children.is_empty() {
            return self.pause(index, turn.pause_us);
        }
        for child in children {
            self.at(self.now_us, Event::Turn(child));
        }
    }

    fn pause(&mut self, index: usize, pause_us: u64) {
        if self.nodes[index].turn < self.plan.programs[index].turns.len() {
            self.at(self.now_us + pause_us, Event::Turn(index));
        } else {
            self.end_program(index);
        }
    }

    fn end_program(&mut self, index: usize) {
        let id = self.nodes[index].id.clone();
        let commands = self.policy.program_ended(self.now(), &id);
        self.obey(commands);
        let program = &self.plan.programs[index];
        let Some(parent) = program.parent else {
            let latency_us = self.now_us + self.network_us() - program.arrives_us;
            self.wholes[index].is_over = true;
            if self.is_measured(index) {
                self.open -= 1;
                self.measures.ended(program, self.now_us, latency_us);
            }
            return;
        };
        self.nodes[parent].children -= 1;
        if self.nodes[parent].children == 0 {
            let last = self.nodes[parent].turn - 1;
            let pause_us = self.plan.programs[parent].turns[last].pause_us;
            self.pause(parent, pause_us);
        }
    }

    fn give_up(&mut self, root: usize) {
        self.wholes[root].is_over = true;
        if self.is_measured(root) {
            self.open -= 1;
            self.measures.given_up(&self.plan.programs[root], self.now_us);
        }
    }
}
