//! Admission of arriving calls.

use {
    super::{
        Intent, Moment, Permit, Programs, ReadyToSend,
        budget::{Charge, budget_spent},
        stage::CallContext,
        state::{Program, RunningCall, StepState, WaitingCall},
    },
    crate::{
        call::{Call, Turn, Work},
        ids::{ClassId, ProgramId, RequestId, StepKey, TeamId, UpstreamId},
        journal::{Record, StepResult},
        message::Message,
        verdict::{Reason, Refusal},
    },
    std::{sync::Arc, time::Duration},
};

/// Request options that limit the tokens that a turn generates.
const COMPLETION_OPTIONS: [&str; 2] = ["max_completion_tokens", "max_tokens"];

/// The decision on an arriving call.
#[derive(Debug)]
pub enum BeginDecision {
    /// Run the call.
    Run(Box<Run>),
    /// The step has ended: answer with its recorded result.
    Replay(StepResult),
    /// The same step is running or waiting for another request: wait for its end.
    Join,
    /// Other calls of the program come first. Call [`Programs::begin`] again when
    /// [`Programs::next`] returns this request, or cancel it with [`Programs::cancel_waiting`].
    Wait,
    /// Refuse the call.
    Refuse(Refusal),
}

/// The data needed to run a call.
#[derive(Debug)]
pub struct Run {
    /// The permit to send the call, at once or after its intent is durable.
    pub permit: Permit,
    /// For a turn, the complete history and the new messages. Empty for other calls.
    pub messages: Vec<Arc<Message>>,
    /// Estimated tokens of the complete prompt. Zero for calls that are not turns.
    pub prompt_tokens: u64,
    /// Tokens that a turn may generate. Zero for other calls. Pass this to the engine as its token
    /// limit; otherwise the turn may exceed the budget.
    pub completion_tokens: u64,
    /// The program's class.
    pub class: ClassId,
    /// The team that owns the program.
    pub team: TeamId,
    /// Time since the root program was created.
    pub program_age: Duration,
    /// Wall time left in the budget. The call must be cancelled when this time has passed.
    pub wall_left: Duration,
    /// The number of ended calls of the program and its ancestors. Load shedding may refuse the
    /// first call of a new program; including the ancestors' calls exempts the first call of a
    /// child.
    pub calls_done: u32,
    /// The engine that ran the last turn.
    pub last_upstream: Option<UpstreamId>,
}

/// The waiting call that may start next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NextCall {
    /// The step that the call executes.
    pub step: StepKey,
    /// The waiting request.
    pub request: RequestId,
}

impl Programs {
    /// Decides on an arriving call. `request_hash` is the hash of its content. `is_repeatable` is
    /// whether the call may be sent more than once. Turns are always repeatable.
    pub fn begin(
        &mut self,
        now: Moment,
        call: &Call,
        request_hash: u64,
        is_repeatable: bool,
    ) -> BeginDecision {
        let Some(program) = self.team_program(&call.program, &call.caller.team) else {
            return BeginDecision::Refuse(unknown_program(is_repeatable));
        };
        if let Some(begin) = decide_from_records(program, &call.step, request_hash) {
            self.cancel_waiting(&call.program, &call.request);
            return begin;
        }
        if let Some(begin) = decide_from_active_calls(program, call, request_hash) {
            return begin;
        }
        if let Some(begin) = self.wait_or_refuse(now, call, request_hash) {
            return begin;
        }
        self.start(now, call, request_hash, is_repeatable)
    }

    /// Returns the first waiting call, if none is running. Call this after every end of a call,
    /// every refusal and every [`Programs::cancel_waiting`].
    pub fn next(&self, program: &ProgramId) -> Option<NextCall> {
        let state = self.programs.get(program)?;
        if state.running.is_some() {
            return None;
        }
        let queued = state.waiting.front()?;
        Some(NextCall { step: queued.step.clone(), request: queued.request.clone() })
    }

    /// Returns whether a request is waiting in a program's queue, or another request for `step` is
    /// running or waiting.
    pub fn is_waiting_or_joined(
        &self,
        program: &ProgramId,
        request: &RequestId,
        step: &StepKey,
    ) -> bool {
        let Some(state) = self.programs.get(program) else { return false };
        let is_running = state.running.as_ref().is_some_and(|running| running.step == *step);
        let is_queued = |queued: &WaitingCall| queued.request == *request || queued.step == *step;
        is_running || state.waiting.iter().any(is_queued)
    }

    /// Removes a waiting call from the queue. Call this when its caller has disconnected and no
    /// other request has joined it.
    pub fn cancel_waiting(&mut self, program: &ProgramId, request: &RequestId) {
        if let Some(state) = self.programs.get_mut(program) {
            state.waiting.retain(|queued| queued.request != *request);
        }
    }

    /// Queues a call behind others, or refuses it. Returns `None`, and removes the call from the
    /// queue, if it may start now.
    fn wait_or_refuse(
        &mut self,
        now: Moment,
        call: &Call,
        request_hash: u64,
    ) -> Option<BeginDecision> {
        let max_waiting = self.settings.max_waiting;
        let program = self.programs.get_mut(&call.program)?;
        let is_queued = program.waiting.iter().any(|queued| queued.request == call.request);
        if program.ended().is_some() || program.is_ending {
            program.waiting.retain(|queued| queued.request != call.request);
            let detail = "the program has ended and takes no new calls";
            return Some(BeginDecision::Refuse(Refusal::not_run(Reason::ProgramEnded, detail)));
        }
        program.last_active = now.at;
        let is_first = program.waiting.front().is_none_or(|first| first.request == call.request);
        if program.running.is_none() && is_first {
            program.waiting.retain(|queued| queued.request != call.request);
            return None;
        }
        if !is_queued && program.waiting.len() >= max_waiting {
            let detail = format!("{max_waiting} calls of the program wait already");
            return Some(BeginDecision::Refuse(Refusal::not_run(Reason::TooMany, detail)));
        }
        if !is_queued {
            let (step, request) = (call.step.clone(), call.request.clone());
            program.waiting.push_back(WaitingCall { step, request, request_hash });
        }
        Some(BeginDecision::Wait)
    }

    /// Reserves the budget of a turn and marks the call as running.
    fn start(
        &mut self,
        now: Moment,
        call: &Call,
        request_hash: u64,
        is_repeatable: bool,
    ) -> BeginDecision {
        let wall_left = self.wall_left(now, &call.program);
        if wall_left.is_zero() {
            return BeginDecision::Refuse(budget_spent("wall time"));
        }
        let mut reserved = Charge::default();
        let mut completion_tokens = 0;
        if let Work::Turn(turn) = &call.work {
            let requested = requested_completion_tokens(turn, self.settings.completion_tokens);
            let new_tokens = estimated_new_tokens(turn);
            match self.reserve_turn(&call.program, new_tokens, requested) {
                Ok(charge) => reserved = charge,
                Err(refusal) => return BeginDecision::Refuse(refusal),
            }
            completion_tokens = reserved.tokens - new_tokens;
        }
        let ids = self.with_ancestors(&call.program);
        let states = ids.iter().filter_map(|id| self.programs.get(id));
        let calls_done = states.map(Program::calls_done).sum();
        let Some(program) = self.programs.get_mut(&call.program) else {
            return BeginDecision::Refuse(unknown_program(is_repeatable));
        };
        program.running = Some(RunningCall { step: call.step.clone(), request_hash, reserved });
        let permit = make_permit(call, request_hash, is_repeatable);
        let run = make_run(program, now, call, permit, (wall_left, completion_tokens, calls_done));
        BeginDecision::Run(Box::new(run))
    }
}

/// The refusal for a call to an unknown program. The program may have been removed after the step
/// ran, so only a repeatable call is reported as not run.
fn unknown_program(is_repeatable: bool) -> Refusal {
    let detail = "no such program; a program that ended is forgotten after a while";
    match is_repeatable {
        true => Refusal::not_run(Reason::NotFound, detail),
        false => Refusal::may_have_run(Reason::NotFound, detail),
    }
}

fn step_conflict() -> Refusal {
    Refusal::not_run(Reason::StepConflict, "the step key was used before with another request")
}

/// Returns the decision that follows from the step's record, or `None` if it has none.
fn decide_from_records(
    program: &Program,
    key: &StepKey,
    request_hash: u64,
) -> Option<BeginDecision> {
    let step = program.step(key)?;
    if step.request_hash() != request_hash {
        return Some(BeginDecision::Refuse(step_conflict()));
    }
    if program.running.as_ref().is_some_and(|running| running.step == *key) {
        return Some(BeginDecision::Join);
    }
    Some(match step {
        StepState::Done { result, .. } => BeginDecision::Replay(result.clone()),
        StepState::Intended { .. } | StepState::Unknown { .. } => {
            let detail = "the step was about to be sent, and its end is not known";
            BeginDecision::Refuse(Refusal::may_have_run(Reason::UpstreamFailed, detail))
        }
    })
}

/// Returns the decision that follows from the running and waiting calls, or `None` if no other
/// request has this step.
fn decide_from_active_calls(
    program: &Program,
    call: &Call,
    request_hash: u64,
) -> Option<BeginDecision> {
    let running = program.running.iter().map(|running| (&running.step, running.request_hash, None));
    let waiting = program.waiting.iter();
    let waiting = waiting.map(|queued| (&queued.step, queued.request_hash, Some(&queued.request)));
    let (_, hash, request) = running.chain(waiting).find(|(step, ..)| **step == call.step)?;
    if hash != request_hash {
        return Some(BeginDecision::Refuse(step_conflict()));
    }
    (request != Some(&call.request)).then_some(BeginDecision::Join)
}

fn make_permit(call: &Call, request_hash: u64, is_repeatable: bool) -> Permit {
    let (service, messages) = match &call.work {
        Work::Turn(turn) => (None, turn.messages.clone()),
        Work::Service(service) => (Some(service.service.clone()), Vec::new()),
    };
    let is_turn = service.is_none();
    let intent_service = service.filter(|_| !is_repeatable);
    let context = CallContext {
        program: call.program.clone(),
        step: call.step.clone(),
        request: call.request.clone(),
        request_hash,
        has_intent: intent_service.is_some(),
        is_turn,
        messages,
    };
    let context = Box::new(context);
    let Some(service) = intent_service else { return Permit::Now(ReadyToSend { context }) };
    let record = Record::Intended {
        program: call.program.clone(),
        step: call.step.clone(),
        request_hash,
        service,
    };
    Permit::AfterIntent(Intent { context, record: Box::new(record) })
}

fn make_run(
    program: &Program,
    now: Moment,
    call: &Call,
    permit: Permit,
    (wall_left, completion_tokens, calls_done): (Duration, u64, u32),
) -> Run {
    let mut messages = Vec::new();
    let mut prompt_tokens = 0;
    if let Work::Turn(turn) = &call.work {
        messages.extend(program.history().iter().cloned());
        messages.extend(turn.messages.iter().cloned().map(Arc::new));
        prompt_tokens = program.context_tokens() + estimated_new_tokens(turn);
    }
    let age_ms = now.wall_ms.saturating_sub(program.root_created_ms);
    Run {
        permit,
        messages,
        prompt_tokens,
        completion_tokens,
        class: program.class().clone(),
        team: program.team().clone(),
        program_age: Duration::from_millis(age_ms),
        wall_left,
        calls_done,
        last_upstream: program.last_upstream().cloned(),
    }
}

fn estimated_new_tokens(turn: &Turn) -> u64 {
    turn.messages.iter().map(Message::estimated_tokens).sum()
}

/// Returns the turn's limit on generated tokens, or `default` if it sets none; at least one.
fn requested_completion_tokens(turn: &Turn, default: u64) -> u64 {
    let limits = COMPLETION_OPTIONS.iter().filter_map(|name| turn.options.get(*name)?.as_u64());
    limits.min().unwrap_or(default).max(1)
}
