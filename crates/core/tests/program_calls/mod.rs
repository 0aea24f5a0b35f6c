//! Builders of calls and results for the tests of programs.
#![allow(dead_code)] // Each test binary uses only some of these.

use {
    std::time::{Duration, Instant},
    trefoilring_core::{
        call::{Call, Caller, CreateProgram, ServiceCall, Turn, Work},
        catalog::Budget,
        ids::ProgramId,
        journal::{Record, StepResult},
        message::{Message, Usage},
        program::{CreateDecision, Moment, Programs},
        verdict::Refusal,
    },
};

/// A test clock with a monotonic and a wall-clock time.
#[derive(Clone, Copy, Debug)]
pub struct Clock(pub Moment);

impl Clock {
    pub fn new() -> Self {
        Self(Moment { at: Instant::now(), wall_ms: 1_000_000 })
    }

    pub fn advance(&mut self, time: Duration) {
        self.0.at += time;
        self.0.wall_ms += time.as_millis() as u64;
    }
}

pub fn caller(team: &str) -> Caller {
    Caller { team: team.into(), key: "key".into() }
}

pub fn turn(text: &str, max_tokens: u64) -> Work {
    let mut options = serde_json::Map::new();
    options.insert("max_tokens".into(), max_tokens.into());
    let messages = vec![Message::text("user", text)];
    Work::Turn(Turn { model: "m".into(), messages, is_streamed: false, options })
}

pub fn tool() -> Work {
    Work::Service(ServiceCall {
        service: "booking".into(),
        method: "POST".into(),
        path: "crews".into(),
        headers: vec![],
        body: vec![],
    })
}

pub fn call(program: &str, step: &str, request: &str, work: Work) -> Call {
    Call {
        request: request.into(),
        program: program.into(),
        caller: caller("t"),
        step: step.into(),
        work,
    }
}

pub fn result(text: &str) -> StepResult {
    StepResult { status: 200, headers: vec![], text: text.into(), bytes: vec![] }
}

pub fn usage(prompt_tokens: u64, completion_tokens: u64) -> Usage {
    Usage { prompt_tokens, cached_tokens: 0, completion_tokens }
}

pub fn create_request(
    parent: Option<&str>,
    step: Option<&str>,
    budget: Option<Budget>,
) -> CreateProgram {
    CreateProgram {
        class: "c".into(),
        budget,
        parent: parent.map(Into::into),
        step: step.map(Into::into),
    }
}

/// Creates a program whose record is durable at once. Returns the record.
pub fn create(
    programs: &mut Programs,
    now: Moment,
    id: &str,
    parent: Option<&str>,
    budget: Budget,
) -> Result<Record, Refusal> {
    let id: ProgramId = id.into();
    let request = create_request(parent, None, Some(budget));
    match programs.create(now, &caller("t"), &request, budget, id.clone()) {
        CreateDecision::New(record) => {
            programs.creation_durable(now, &id).expect("the program was created");
            Ok(record)
        }
        CreateDecision::Refuse(refusal) => Err(refusal),
        other => panic!("the program was not created: {other:?}"),
    }
}
