//! Tests crashes at every point between the arrival of a call and its answer.

mod program_calls;

use {
    program_calls::{Clock, call, create, result, tool, turn, usage},
    trefoilring_core::{
        call::Work,
        catalog::Budget,
        journal::Record,
        message::Message,
        program::{Begin, Finish, Permit, Programs, Settings},
        verdict::{Reason, Verdict},
    },
};

/// The point at which the home crashes. The journal keeps the records that are durable by then.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CrashPoint {
    Received,
    Begun,
    IntentLost,
    IntentDurable,
    Cleared,
    SentNotRun,
    RanAnswerLost,
    RanAnswerReceived,
    EndLost,
    EndDurable,
    RefusedNotRunLost,
    RefusedNotRunDurable,
    LeaseLostNotRunDurable,
    EndUnknownLost,
    EndUnknownDurable,
    /// No crash.
    None,
}

/// The state of the step after recovery at the next host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StepState {
    /// There is no record, so the step may run.
    NoRecord,
    /// The step may have run.
    MayHaveRun,
    /// The result is recorded.
    Result,
}

/// Each row: the crash point, the state of a non-repeatable step, the state of a repeatable step,
/// and how often the upstream ran it.
const CRASH_POINTS: [(CrashPoint, StepState, StepState, u32); 16] = [
    (CrashPoint::Received, StepState::NoRecord, StepState::NoRecord, 0),
    (CrashPoint::Begun, StepState::NoRecord, StepState::NoRecord, 0),
    (CrashPoint::IntentLost, StepState::NoRecord, StepState::NoRecord, 0),
    (CrashPoint::IntentDurable, StepState::MayHaveRun, StepState::NoRecord, 0),
    (CrashPoint::Cleared, StepState::MayHaveRun, StepState::NoRecord, 0),
    (CrashPoint::SentNotRun, StepState::MayHaveRun, StepState::NoRecord, 0),
    (CrashPoint::RanAnswerLost, StepState::MayHaveRun, StepState::NoRecord, 1),
    (CrashPoint::RanAnswerReceived, StepState::MayHaveRun, StepState::NoRecord, 1),
    (CrashPoint::EndLost, StepState::MayHaveRun, StepState::NoRecord, 1),
    (CrashPoint::EndDurable, StepState::Result, StepState::Result, 1),
    (CrashPoint::RefusedNotRunLost, StepState::MayHaveRun, StepState::NoRecord, 0),
    (CrashPoint::RefusedNotRunDurable, StepState::NoRecord, StepState::NoRecord, 0),
    (CrashPoint::LeaseLostNotRunDurable, StepState::NoRecord, StepState::NoRecord, 0),
    (CrashPoint::EndUnknownLost, StepState::MayHaveRun, StepState::NoRecord, 1),
    (CrashPoint::EndUnknownDurable, StepState::MayHaveRun, StepState::NoRecord, 1),
    (CrashPoint::None, StepState::Result, StepState::Result, 1),
];

struct Home {
    log: Vec<Record>,
    clock: Clock,
    runs: u32,
}

/// The caller's view of one attempt. `None` if the home crashed.
type Reply = Option<Result<String, (Verdict, Reason)>>;

impl Home {
    fn new() -> Self {
        let clock = Clock::new();
        let mut programs = Programs::new(Settings::default());
        let record = create(&mut programs, clock.0, "p", None, Budget::default()).expect("created");
        Self { log: vec![record], clock, runs: 0 }
    }

    /// Returns a home with only the durable state.
    fn recover(&self) -> Programs {
        Programs::recover(Settings::default(), self.clock.0, &self.log)
    }

    /// Runs the call at a new home that crashes at `crash_at`.
    fn attempt(&mut self, work: &Work, is_repeatable: bool, crash_at: CrashPoint) -> Reply {
        let now = self.clock.0;
        let mut programs = self.recover();
        if crash_at == CrashPoint::Received {
            return None;
        }
        let request = format!("r{}", self.log.len());
        let call = call("p", "s", &request, work.clone());
        let run = match programs.begin(now, &call, 7, is_repeatable) {
            Begin::Run(run) => run,
            Begin::Replay(result) => return Some(Ok(result.text)),
            Begin::Refuse(refusal) => return Some(Err((refusal.verdict, refusal.reason))),
            other => panic!("{other:?}"),
        };
        if crash_at == CrashPoint::Begun {
            return None;
        }
        let cleared = match run.permit {
            Permit::Now(cleared) => cleared,
            Permit::AfterIntent(_) if crash_at == CrashPoint::IntentLost => return None,
            Permit::AfterIntent(intent) => {
                self.log.push(intent.record().clone());
                if crash_at == CrashPoint::IntentDurable {
                    return None;
                }
                programs.intent_durable(now, intent)
            }
        };
        if matches!(
            crash_at,
            CrashPoint::IntentLost | CrashPoint::IntentDurable | CrashPoint::Cleared
        ) {
            return None;
        }
        if crash_at == CrashPoint::LeaseLostNotRunDurable {
            let finish = programs.not_run(cleared);
            return self.append_and_crash(finish);
        }
        let sent = programs.send(cleared, "u".into());
        match crash_at {
            CrashPoint::SentNotRun => return None,
            CrashPoint::RefusedNotRunLost => return None,
            CrashPoint::RefusedNotRunDurable => {
                let finish = programs.refused(sent);
                return self.append_and_crash(finish);
            }
            _ => self.runs += 1,
        }
        if crash_at == CrashPoint::EndUnknownDurable {
            let finish = programs.unknown(sent);
            return self.append_and_crash(finish);
        }
        if matches!(
            crash_at,
            CrashPoint::RanAnswerLost | CrashPoint::RanAnswerReceived | CrashPoint::EndUnknownLost
        ) {
            return None;
        }
        let answer = result("done");
        let ending = match &call.work {
            Work::Turn(_) => {
                let message = Message::text("assistant", "done");
                programs.turn_ended(sent, message, usage(10, 5), "u".into(), answer)
            }
            Work::Service(_) => programs.call_ended(sent, answer),
        };
        if crash_at == CrashPoint::EndLost {
            return None;
        }
        self.log.push(ending.record().clone());
        if crash_at == CrashPoint::EndDurable {
            return None;
        }
        programs.call_end_durable(now, ending);
        Some(Ok("done".into()))
    }

    /// Makes the end of the call durable, then crashes the home.
    fn append_and_crash(&mut self, finish: Finish) -> Reply {
        if let Finish::Append(ending) = finish {
            self.log.push(ending.record().clone());
        }
        None
    }
}

fn expected_state(row: &(CrashPoint, StepState, StepState, u32), is_repeatable: bool) -> StepState {
    if is_repeatable { row.2 } else { row.1 }
}

/// Injects crashes one after the other, resends the call without one, and checks the verdict and
/// the number of effects.
fn check(work: &Work, is_repeatable: bool, rows: &[&(CrashPoint, StepState, StepState, u32)]) {
    let mut home = Home::new();
    let mut state = StepState::NoRecord;
    let mut runs = 0;
    for row in rows {
        let reply = home.attempt(work, is_repeatable, row.0);
        if state == StepState::NoRecord {
            state = expected_state(row, is_repeatable);
            runs += row.3;
            assert!(reply.is_none() || row.0 == CrashPoint::None);
        }
    }
    let points: Vec<CrashPoint> = rows.iter().map(|row| row.0).collect();
    let expected = match state {
        StepState::MayHaveRun => Err((Verdict::MayHaveRun, Reason::UpstreamFailed)),
        StepState::NoRecord | StepState::Result => Ok("done".to_owned()),
    };
    runs += u32::from(state == StepState::NoRecord);
    for _ in 0..2 {
        let reply = home.attempt(work, is_repeatable, CrashPoint::None);
        assert_eq!(reply, Some(expected.clone()), "{points:?}");
    }
    assert_eq!(home.runs, runs, "{points:?}");
    assert!(is_repeatable || home.runs <= 1, "{points:?}");
}

#[test]
fn verdict_for_each_crash_point() {
    let kinds = [(tool(), false), (tool(), true), (turn("hello", 10), true)];
    for (work, is_repeatable) in &kinds {
        for first in &CRASH_POINTS {
            check(work, *is_repeatable, &[first]);
            for second in &CRASH_POINTS {
                check(work, *is_repeatable, &[first, second]);
            }
        }
    }
}
