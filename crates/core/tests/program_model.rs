//! Tests programs against a model that keeps the log and reads all of it for each query.

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
            Begin, Cleared, Ending, Finish, Intent, Moment, Permit, Programs, Sent, Settings,
        },
    },
};

const SEED: u64 = 20_261_204;
const BUDGET: Budget = Budget { turns: 12, tokens: 400, wall_ms: 30_000 };
const NEW_TOKENS: u64 = 1;

fn settings() -> Settings {
    let never = Duration::from_secs(1 << 30);
    Settings { idle_timeout: never, ended_retention: never, completion_tokens: 8, max_waiting: 2 }
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

/// The model: the log, and the running and waiting calls.
#[derive(Default)]
struct Model {
    log: Vec<Record>,
    running: Vec<ModelCall>,
    waiting: Vec<ModelCall>,
}

impl Model {
    fn chain(&self, program: &str) -> Vec<String> {
        let parent = self.log.iter().find_map(|record| match record {
            Record::Created { program: id, parent, .. } if &**id == program => parent.clone(),
            _ => None,
        });
        let ancestors = parent.map_or(vec![], |parent| self.chain(&parent));
        [vec![program.to_owned()], ancestors].concat()
    }

    fn turns(&self, program: &str) -> Vec<(u64, u64, usize)> {
        let turns = self.log.iter().filter_map(|record| match record {
            Record::TurnEnded { program: id, usage, messages, .. } if &**id == program => {
                Some((usage.prompt_tokens, usage.completion_tokens, messages.len()))
            }
            _ => None,
        });
        turns.collect()
    }

    fn ids(&self) -> Vec<String> {
        let created = self.log.iter().filter(|record| matches!(record, Record::Created { .. }));
        created.map(|record| record.program().to_string()).collect()
    }

    /// Returns the turns and tokens that a program and its descendants have spent.
    fn spent(&self, program: &str) -> (u32, u64) {
        let descendants =
            self.ids().into_iter().filter(|id| self.chain(id).contains(&program.into()));
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
        let descendants = |call: &&ModelCall| self.chain(&call.program).contains(&program.into());
        let turns = self.running.iter().filter(|call| call.is_turn).filter(descendants);
        turns.fold((0, 0), |(turns, tokens), call| (turns + 1, tokens + call.reserved_tokens))
    }

    fn ended(&self, program: &str) -> bool {
        let is_end = |record: &Record| matches!(record, Record::Ended { .. });
        self.log.iter().any(|record| is_end(record) && &**record.program() == program)
    }

    /// Returns the recorded state of a step: the hash of its request, and the answer if it has
    /// ended.
    fn step(&self, program: &str, key: &str) -> Option<(u64, Option<String>)> {
        let mut state = None;
        for record in self.log.iter().filter(|record| &**record.program() == program) {
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
            let runs = running.is_some_and(|running| running.step == step);
            let answer = answer.map_or("refused upstream_failed".into(), |a| format!("replay {a}"));
            return if runs { "join".into() } else { answer };
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
        if self.ended(&program) {
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
            let left = self.chain(&program).into_iter().map(|id| {
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
            entry.reserved_tokens = tokens.min(NEW_TOKENS + 20);
        }
        let history: usize = self.turns(&program).iter().map(|turn| turn.2).sum();
        let completion = entry.reserved_tokens.saturating_sub(NEW_TOKENS);
        let messages = if entry.is_turn { history + 1 } else { 0 };
        self.running.push(entry);
        format!("run messages {messages} completion {completion}")
    }

    fn next(&self, program: &str) -> Option<String> {
        let runs = self.running.iter().any(|call| call.program == program);
        let first = self.waiting.iter().find(|call| call.program == program)?;
        (!runs).then(|| first.request.clone())
    }
}

/// The stage of a running call.
enum Stage {
    Intent(Intent),
    Cleared(Cleared),
    Sent(Sent, bool),
    Ending(Ending),
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
            model.log.push(create(&mut programs, clock.0, id, parent, BUDGET).expect("created"));
        }
        let (stages, outcome_counts) = (BTreeMap::new(), BTreeMap::new());
        Self { clock, start: clock.0, model, programs, stages, requests: 0, outcome_counts }
    }

    fn begin(&mut self, program: &str, step: &str, request: String, arg: usize) {
        // The step determines the kind of call, so that a repeat is the same request.
        let number: usize = step[1..].parse().expect("a number");
        let (work, is_repeatable) = match number % 3 {
            0 => (turn("abcd", 20), true),
            1 => (tool(), true),
            _ => (tool(), false),
        };
        let hash = u64::from(arg.is_multiple_of(16));
        let call = call(program, step, &request, work);
        let age = self.clock.0.at - self.start.at;
        let expected = self.model.begin(age, &call, hash);
        let begin = self.programs.begin(self.clock.0, &call, hash, is_repeatable);
        let actual = match begin {
            Begin::Run(run) => {
                let text = format!(
                    "run messages {} completion {}",
                    run.messages.len(),
                    run.completion_tokens
                );
                let stage = match run.permit {
                    Permit::Now(cleared) => Stage::Cleared(cleared),
                    Permit::AfterIntent(intent) => Stage::Intent(intent),
                };
                assert_eq!(matches!(stage, Stage::Intent(_)), !is_repeatable);
                self.stages.insert(program.into(), stage);
                text
            }
            Begin::Replay(result) => format!("replay {}", result.text),
            Begin::Join => "join".into(),
            Begin::Wait => "wait".into(),
            Begin::Refuse(refusal) => format!("refused {}", refusal.reason),
        };
        assert_eq!(actual, expected, "{program} {step} {request}");
        let kind = actual.split(' ').next().unwrap_or_default().to_owned();
        *self.outcome_counts.entry(kind).or_default() += 1;
    }

    /// Advances a running call by one stage.
    fn advance(&mut self, program: &str, arg: usize) {
        let Some(stage) = self.stages.remove(program) else { return };
        let now = self.clock.0;
        let next = match stage {
            Stage::Intent(intent) if arg.is_multiple_of(8) => {
                self.programs.withdraw(intent);
                None
            }
            Stage::Intent(intent) => {
                self.model.log.push(intent.record().clone());
                Some(Stage::Cleared(self.programs.intent_durable(now, intent)))
            }
            Stage::Cleared(cleared) if arg.is_multiple_of(8) => {
                ending(self.programs.not_run(cleared))
            }
            Stage::Cleared(cleared) => {
                let is_turn = self.model.running.iter().any(|c| c.program == program && c.is_turn);
                Some(Stage::Sent(self.programs.send(cleared, "u".into()), is_turn))
            }
            Stage::Sent(sent, _) if arg.is_multiple_of(8) => ending(self.programs.refused(sent)),
            Stage::Sent(sent, _) if arg % 8 == 1 => ending(self.programs.unknown(sent)),
            Stage::Sent(sent, true) => {
                let (prompt, completion) = ((arg % 40) as u64, (arg % 15) as u64);
                let message = Message::text("assistant", "a");
                let text = result(&format!("a{arg}"));
                let usage = usage(prompt, completion);
                let end = self.programs.turn_ended(sent, message, usage, "u".into(), text);
                Some(Stage::Ending(end))
            }
            Stage::Sent(sent, false) => {
                let text = result(&format!("b{arg}"));
                Some(Stage::Ending(self.programs.call_ended(sent, text)))
            }
            Stage::Ending(end) if arg.is_multiple_of(8) => {
                self.programs.call_end_failed(end);
                None
            }
            Stage::Ending(end) => {
                self.model.log.push(end.record().clone());
                self.programs.call_end_durable(now, end);
                None
            }
        };
        match next {
            Some(stage) => drop(self.stages.insert(program.into(), stage)),
            None => self.model.running.retain(|call| call.program != program),
        }
    }

    /// Simulates a takeover by another host: everything that is not in the log is lost.
    fn take_over(&mut self) {
        self.programs = Programs::new(settings());
        for record in &self.model.log {
            assert!(self.programs.apply(self.clock.0, record), "{record:?}");
        }
        self.stages.clear();
        self.model.running.clear();
        self.model.waiting.clear();
    }

    fn end(&mut self, program: &str) {
        let ends = self.programs.end(&program.into(), &caller("t")).expect("exists");
        self.programs.program_ends_durable(self.clock.0, &ends);
        self.model.log.extend(ends);
        let ids = self.model.ids();
        for id in ids.iter().filter(|id| self.model.chain(id).contains(&program.into())) {
            assert!(self.model.ended(id), "{id} ends with {program}");
        }
    }

    fn compare(&self) {
        for id in self.model.ids() {
            let program = (*id).into();
            let info = self.programs.info(self.clock.0, &program, &caller("t")).expect("exists");
            assert_eq!((info.turns, info.tokens), self.model.spent(&id), "{id}");
            assert_eq!(info.ended.is_some(), self.model.ended(&id), "{id}");
            let history: usize = self.model.turns(&id).iter().map(|turn| turn.2).sum();
            assert_eq!(info.history_messages, history, "{id}");
            let next = self.programs.next(&program).map(|next| next.request.to_string());
            assert_eq!(next, self.model.next(&id), "{id}");
        }
    }

    fn apply(&mut self, choice: u32) {
        let arg = (choice >> 8) as usize;
        let program = ["p", "c", "g", "q"][arg % 4];
        match choice % 64 {
            0..20 => {
                self.requests += 1;
                let step = format!("s{}", arg / 4 % 24);
                self.begin(program, &step, format!("r{}", self.requests), arg / 128);
            }
            20..30 => {
                if let Some(next) = self.programs.next(&program.into()) {
                    let hash = self.model.waiting.iter().find(|call| call.request == *next.request);
                    let arg = if hash.is_some_and(|call| call.hash == 1) { 0 } else { 1 };
                    self.begin(program, &next.step, next.request.to_string(), arg);
                }
            }
            30..60 => self.advance(program, arg / 4),
            60 => self.clock.advance(Duration::from_millis(500)),
            61 => self.take_over(),
            62 if arg.is_multiple_of(32) => self.end(program),
            63 => self.leave(program),
            _ => {}
        }
        self.compare();
    }

    fn leave(&mut self, program: &str) {
        let Some(last) = self.model.waiting.iter().rposition(|call| call.program == program) else {
            return;
        };
        let call = self.model.waiting.remove(last);
        self.programs.cancel_waiting(&program.into(), &call.request.as_str().into());
    }
}

fn ending(finish: Finish) -> Option<Stage> {
    match finish {
        Finish::Append(ending) => Some(Stage::Ending(ending)),
        Finish::NothingToRecord => None,
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
    let seen = std::cell::RefCell::new(BTreeMap::<String, u32>::new());
    let orders = proptest::collection::vec(any::<u32>(), 300);
    let outcome = TestRunner::new(config).run(&orders, |choices| {
        let mut harness = Harness::new();
        choices.into_iter().for_each(|choice| harness.apply(choice));
        for (kind, count) in harness.outcome_counts {
            *seen.borrow_mut().entry(kind).or_default() += count;
        }
        Ok(())
    });
    println!("{seen:?}");
    outcome.unwrap_or_else(|error| panic!("{error}"));
    for kind in ["run", "replay", "join", "wait", "refused"] {
        assert!(seen.borrow().get(kind).is_some_and(|count| *count > 200), "{kind}: {seen:?}");
    }
}
