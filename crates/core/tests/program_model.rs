//! Tests programs against a model that stores the journal and scans it for each query.

mod program_calls;

use {
    program_calls::{Clock, call, caller, create, result, tool, turn, usage},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed, TestRunner},
    },
    std::{collections::BTreeMap, time::Duration},
    trefoilring_core::{
        call::{Call, Work},
        catalog::Budget,
        journal::Record,
        message::Message,
        program::{
            BeginDecision, EndAction, EndedCall, Intent, Moment, Permit, Programs, ReadyToSend,
            Sent, Settings,
        },
    },
};

const SEED: u64 = 20_261_204;
const BUDGET: Budget = Budget { turns: 12, tokens: 400, wall_ms: 30_000 };
/// The estimated tokens of the message "abcd", which each turn adds.
const NEW_TOKENS: u64 = 1;

fn settings() -> Settings {
    let unlimited = Duration::from_secs(1 << 30);
    Settings {
        idle_timeout: unlimited,
        ended_retention: unlimited,
        completion_tokens: 8,
        max_waiting: 2,
    }
}

#[derive(Clone)]
struct ModelCall {
    program: String,
    step: String,
    request: String,
    hash: u64,
    reserved_tokens: u64,
    is_turn: bool,
}

/// The model: the journal, and the running and waiting calls.
#[derive(Default)]
struct Model {
    journal: Vec<Record>,
    running: Vec<ModelCall>,
    waiting: Vec<ModelCall>,
}

impl Model {
    fn with_ancestors(&self, program: &str) -> Vec<String> {
        let parent = self.journal.iter().find_map(|record| match record {
            Record::Created { program: id, parent, .. } if &**id == program => parent.clone(),
            _ => None,
        });
        let ancestors = parent.map_or(vec![], |parent| self.with_ancestors(&parent));
        [vec![program.to_owned()], ancestors].concat()
    }

    fn turns(&self, program: &str) -> Vec<(u64, u64, usize)> {
        let turns = self.journal.iter().filter_map(|record| match record {
            Record::TurnEnded { program: id, usage, messages, .. } if &**id == program => {
                Some((usage.prompt_tokens, usage.completion_tokens, messages.len()))
            }
            _ => None,
        });
        turns.collect()
    }

    fn ids(&self) -> Vec<String> {
        let created = self.journal.iter().filter(|record| matches!(record, Record::Created { .. }));
        created.map(|record| record.program().to_string()).collect()
    }

    /// Returns the turns and tokens that a program and its descendants have spent.
    fn spent(&self, program: &str) -> (u32, u64) {
        let descendants =
            self.ids().into_iter().filter(|id| self.with_ancestors(id).contains(&program.into()));
        let mut total = (0, 0);
        for id in descendants {
            let mut context = 0;
            for (prompt, completion, _) in self.turns(&id) {
                total.0 += 1;
                total.1 += prompt.saturating_sub(context) + completion;
                context = prompt + completion;
            }
        }
        total
    }

    fn reserved(&self, program: &str) -> (u32, u64) {
        let is_descendant =
            |call: &&ModelCall| self.with_ancestors(&call.program).contains(&program.into());
        let turns = self.running.iter().filter(|call| call.is_turn).filter(is_descendant);
        turns.fold((0, 0), |(turns, tokens), call| (turns + 1, tokens + call.reserved_tokens))
    }

    fn has_ended(&self, program: &str) -> bool {
        let is_end = |record: &Record| matches!(record, Record::Ended { .. });
        self.journal.iter().any(|record| is_end(record) && &**record.program() == program)
    }

    /// Returns the recorded state of a step: the hash of its request, and the answer if it has
    /// ended.
    fn step(&self, program: &str, key: &str) -> Option<(u64, Option<String>)> {
        let mut state = None;
        for record in self.journal.iter().filter(|record| &**record.program() == program) {
            match record {
                Record::Intended { step, request_hash, .. } if &**step == key => {
                    state = Some((*request_hash, None));
                }
                Record::NotRun { step, .. } if &**step == key => state = None,
                Record::TurnEnded { step, request_hash, result, .. }
                | Record::CallEnded { step, request_hash, result, .. }
                    if &**step == key =>
                {
                    state = Some((*request_hash, Some(result.text.clone())));
                }
                _ => {}
            }
        }
        state
    }

    fn begin(&mut self, age: Duration, call: &Call, hash: u64) -> String {
        let (program, step) = (call.program.to_string(), call.step.to_string());
        let is_same_program = |other: &&ModelCall| other.program == program;
        let running = self.running.iter().find(is_same_program).cloned();
        if let Some((recorded, answer)) = self.step(&program, &step) {
            if recorded != hash {
                return "refused step_conflict".into();
            }
            let is_running = running.is_some_and(|running| running.step == step);
            let answer = answer.map_or("refused upstream_failed".into(), |a| format!("replay {a}"));
            return if is_running { "join".into() } else { answer };
        }
        let waiting: Vec<ModelCall> =
            self.waiting.iter().filter(is_same_program).cloned().collect();
        let duplicate = running.iter().chain(&waiting).find(|other| other.step == step);
        if duplicate.is_some_and(|other| other.hash != hash) {
            return "refused step_conflict".into();
        }
        let request = call.request.to_string();
        let is_already_waiting =
            waiting.iter().any(|other| other.step == step && other.request == request);
        if duplicate.is_some() && !is_already_waiting {
            return "join".into();
        }
        if self.has_ended(&program) {
            self.waiting.retain(|other| other.request != request);
            return "refused program_ended".into();
        }
        let mut entry = ModelCall {
            program: program.clone(),
            step,
            request: request.clone(),
            hash,
            reserved_tokens: 0,
            is_turn: matches!(call.work, Work::Turn(_)),
        };
        if running.is_some() || waiting.first().is_some_and(|first| first.request != request) {
            if !is_already_waiting && waiting.len() >= settings().max_waiting {
                return "refused too_many".into();
            }
            if !is_already_waiting {
                self.waiting.push(entry);
            }
            return "wait".into();
        }
        self.waiting.retain(|other| other.request != request);
        if age >= Duration::from_millis(BUDGET.wall_ms) {
            return "refused budget_spent".into();
        }
        if entry.is_turn {
            let left = self.with_ancestors(&program).into_iter().map(|id| {
                let (spent, reserved) = (self.spent(&id), self.reserved(&id));
                let turns = BUDGET.turns.saturating_sub(spent.0 + reserved.0);
                (turns, BUDGET.tokens.saturating_sub(spent.1 + reserved.1))
            });
            let left: Vec<(u32, u64)> = left.collect();
            let turns = left.iter().map(|left| left.0).min().unwrap_or(0);
            let tokens = left.iter().map(|left| left.1).min().unwrap_or(0);
            if turns == 0 || tokens <= NEW_TOKENS {
                return "refused budget_spent".into();
            }
            // `Harness::begin` creates turns with a limit of 20 generated tokens.
            entry.reserved_tokens = tokens.min(NEW_TOKENS + 20);
        }
        let history: usize = self.turns(&program).iter().map(|turn| turn.2).sum();
        let completion = entry.reserved_tokens.saturating_sub(NEW_TOKENS);
        let messages = if entry.is_turn { history + 1 } else { 0 };
        self.running.push(entry);
        format!("run messages {messages} completion {completion}")
    }

    fn next(&self, program: &str) -> Option<String> {
        let is_running = self.running.iter().any(|call| call.program == program);
        let first = self.waiting.iter().find(|call| call.program == program)?;
        (!is_running).then(|| first.request.clone())
    }
}

/// The stage of a running call.
enum Stage {
    Intent(Intent),
    ReadyToSend(ReadyToSend),
    /// The flag is whether the call is a turn.
    Sent(Sent, bool),
    Ended(EndedCall),
}

struct Harness {
    clock: Clock,
    start: Moment,
    model: Model,
    programs: Programs,
    stages: BTreeMap<String, Stage>,
    requests: u32,
    outcome_counts: BTreeMap<String, u32>,
}

impl Harness {
    fn new() -> Self {
        let clock = Clock::new();
        let mut programs = Programs::new(settings());
        let mut model = Model::default();
        for (id, parent) in [("p", None), ("c", Some("p")), ("g", Some("c")), ("q", None)] {
            model.journal.push(
                create(&mut programs, clock.0, id, parent, BUDGET).expect("the program is created"),
            );
        }
        let (stages, outcome_counts) = (BTreeMap::new(), BTreeMap::new());
        Self { clock, start: clock.0, model, programs, stages, requests: 0, outcome_counts }
    }

    fn begin(&mut self, program: &str, step: &str, request: String, random: usize) {
        // The step determines the kind of call, so that a repeat is the same request.
        let number: usize = step[1..].parse().expect("a number");
        let (work, is_repeatable) = match number % 3 {
            0 => (turn("abcd", 20), true),
            1 => (tool(), true),
            _ => (tool(), false),
        };
        let hash = u64::from(random.is_multiple_of(16));
        let call = call(program, step, &request, work);
        let age = self.clock.0.at - self.start.at;
        let expected = self.model.begin(age, &call, hash);
        let begin = self.programs.begin(self.clock.0, &call, hash, is_repeatable);
        let actual = match begin {
            BeginDecision::Run(run) => {
                let text = format!(
                    "run messages {} completion {}",
                    run.messages.len(),
                    run.completion_tokens
                );
                let stage = match run.permit {
                    Permit::Now(ready) => Stage::ReadyToSend(ready),
                    Permit::AfterIntent(intent) => Stage::Intent(intent),
                };
                assert_eq!(matches!(stage, Stage::Intent(_)), !is_repeatable);
                self.stages.insert(program.into(), stage);
                text
            }
            BeginDecision::Replay(result) => format!("replay {}", result.text),
            BeginDecision::Join => "join".into(),
            BeginDecision::Wait => "wait".into(),
            BeginDecision::Refuse(refusal) => format!("refused {}", refusal.reason),
        };
        assert_eq!(actual, expected, "{program} {step} {request}");
        let kind = actual.split(' ').next().unwrap_or_default().to_owned();
        *self.outcome_counts.entry(kind).or_default() += 1;
    }

    /// Advances a running call by one stage.
    fn advance(&mut self, program: &str, random: usize) {
        let Some(stage) = self.stages.remove(program) else { return };
        let now = self.clock.0;
        let next = match stage {
            Stage::Intent(intent) if random.is_multiple_of(8) => {
                self.programs.withdraw(intent);
                None
            }
            Stage::Intent(intent) => {
                self.model.journal.push(intent.record().clone());
                Some(Stage::ReadyToSend(self.programs.intent_durable(now, intent)))
            }
            Stage::ReadyToSend(ready) if random.is_multiple_of(8) => {
                stage_after(self.programs.end_not_run(ready))
            }
            Stage::ReadyToSend(ready) => {
                let is_turn = self.model.running.iter().any(|c| c.program == program && c.is_turn);
                Some(Stage::Sent(self.programs.mark_sent(ready, "u".into()), is_turn))
            }
            Stage::Sent(sent, _) if random.is_multiple_of(8) => {
                stage_after(self.programs.end_refused(sent))
            }
            Stage::Sent(sent, _) if random % 8 == 1 => stage_after(self.programs.end_unknown(sent)),
            Stage::Sent(sent, true) => {
                let (prompt, completion) = ((random % 40) as u64, (random % 15) as u64);
                let message = Message::text("assistant", "a");
                let answer = result(&format!("a{random}"));
                let usage = usage(prompt, completion);
                let end = self.programs.end_turn(sent, message, usage, "u".into(), answer);
                Some(Stage::Ended(end))
            }
            Stage::Sent(sent, false) => {
                let answer = result(&format!("b{random}"));
                Some(Stage::Ended(self.programs.end_service_call(sent, answer)))
            }
            Stage::Ended(end) if random.is_multiple_of(8) => {
                self.programs.call_end_failed(end);
                None
            }
            Stage::Ended(end) => {
                self.model.journal.push(end.record().clone());
                self.programs.call_end_durable(now, end);
                None
            }
        };
        match next {
            Some(stage) => drop(self.stages.insert(program.into(), stage)),
            None => self.model.running.retain(|call| call.program != program),
        }
    }

    /// Simulates a takeover by another host: everything that is not in the journal is lost.
    fn take_over(&mut self) {
        self.programs = Programs::new(settings());
        for record in &self.model.journal {
            assert!(self.programs.apply(self.clock.0, record), "{record:?}");
        }
        self.stages.clear();
        self.model.running.clear();
        self.model.waiting.clear();
    }

    fn end(&mut self, program: &str) {
        let ends = self.programs.end(&program.into(), &caller("t")).expect("the program exists");
        self.programs.program_ends_durable(self.clock.0, &ends);
        self.model.journal.extend(ends);
        let ids = self.model.ids();
        for id in ids.iter().filter(|id| self.model.with_ancestors(id).contains(&program.into())) {
            assert!(self.model.has_ended(id), "{id} ends with {program}");
        }
    }

    fn compare(&self) {
        for id in self.model.ids() {
            let program = (*id).into();
            let info = self
                .programs
                .info(self.clock.0, &program, &caller("t"))
                .expect("the program exists");
            assert_eq!((info.turns, info.tokens), self.model.spent(&id), "{id}");
            assert_eq!(info.ended.is_some(), self.model.has_ended(&id), "{id}");
            let history: usize = self.model.turns(&id).iter().map(|turn| turn.2).sum();
            assert_eq!(info.history_messages, history, "{id}");
            let next = self.programs.next(&program).map(|next| next.request.to_string());
            assert_eq!(next, self.model.next(&id), "{id}");
        }
    }

    fn apply(&mut self, choice: u32) {
        let random = (choice >> 8) as usize;
        let program = ["p", "c", "g", "q"][random % 4];
        match choice % 64 {
            // Begins a new request, often for a step that was used before.
            0..20 => {
                self.requests += 1;
                let step = format!("s{}", random / 4 % 24);
                self.begin(program, &step, format!("r{}", self.requests), random / 128);
            }
            // Begins the waiting call that is next in order.
            20..30 => {
                if let Some(next) = self.programs.next(&program.into()) {
                    let waiting_call =
                        self.model.waiting.iter().find(|call| call.request == *next.request);
                    let random =
                        if waiting_call.is_some_and(|call| call.hash == 1) { 0 } else { 1 };
                    self.begin(program, &next.step, next.request.to_string(), random);
                }
            }
            30..60 => self.advance(program, random / 4),
            60 => self.clock.advance(Duration::from_millis(500)),
            61 => self.take_over(),
            62 if random.is_multiple_of(32) => self.end(program),
            63 => self.cancel_last_waiting(program),
            _ => {}
        }
        self.compare();
    }

    fn cancel_last_waiting(&mut self, program: &str) {
        let Some(last) = self.model.waiting.iter().rposition(|call| call.program == program) else {
            return;
        };
        let call = self.model.waiting.remove(last);
        self.programs.cancel_waiting(&program.into(), &call.request.as_str().into());
    }
}

fn stage_after(action: EndAction) -> Option<Stage> {
    match action {
        EndAction::Append(ended_call) => Some(Stage::Ended(ended_call)),
        EndAction::NothingToRecord => None,
    }
}

#[test]
fn programs_match_the_model() {
    println!("seed {SEED}");
    let config = Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let outcome_counts = std::cell::RefCell::new(BTreeMap::<String, u32>::new());
    let choices = proptest::collection::vec(any::<u32>(), 300);
    let outcome = TestRunner::new(config).run(&choices, |choices| {
        let mut harness = Harness::new();
        choices.into_iter().for_each(|choice| harness.apply(choice));
        for (kind, count) in harness.outcome_counts {
            *outcome_counts.borrow_mut().entry(kind).or_default() += count;
        }
        Ok(())
    });
    println!("{outcome_counts:?}");
    outcome.unwrap_or_else(|error| panic!("{error}"));
    // Each kind of decision must occur often, or the comparison covers too little.
    for kind in ["run", "replay", "join", "wait", "refused"] {
        assert!(
            outcome_counts.borrow().get(kind).is_some_and(|count| *count > 200),
            "{kind}: {outcome_counts:?}"
        );
    }
}
