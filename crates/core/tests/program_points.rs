//! Tests crashes at every point between the arrival of a call and its answer.

mod program_calls;

use {
    program_calls::{Clock, call, create, result, tool, turn, usage},
    trefoilring_core::{
        call::Work,
        catalog::Budget,
        journal::Record,
        message::Message,
        program::{BeginDecision, EndAction, Permit, Programs, Settings},
        verdict::{Reason, Verdict},
    },
};

/// The point at which the home crashes. The journal keeps the records that are durable by then.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CrashPoint {
    /// Before `begin`.
    Received,
    /// After `begin`.
    Begun,
    /// Before the intent is durable.
    IntentLost,
    /// After the intent is durable.
    IntentDurable,
    /// Before the call is marked as sent.
    ReadyToSend,
    /// After the call is marked as sent, before the upstream runs it.
    SentBeforeRun,
    /// The upstream ran the call. Its answer has not arrived.
    RanAnswerLost,
    /// The answer has arrived. Its record has not been created.
    RanAnswerReceived,
    /// Before the record of the result is durable.
    EndRecordLost,
    /// After the record of the result is durable.
    EndRecordDurable,
    /// The upstream refused the call. Before the record of that is durable.
    RefusedRecordLost,
    /// The upstream refused the call. After the record of that is durable.
    RefusedRecordDurable,
    /// The call was not sent because the lease was lost. After the record of that is durable.
    LeaseLostRecordDurable,
    /// The outcome of the call is unknown. Before the record of that is durable.
    UnknownRecordLost,
    /// The outcome of the call is unknown. After the record of that is durable.
    UnknownRecordDurable,
    /// No crash.
    None,
}

/// The state of the step after recovery at the next host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RecoveredState {
    /// There is no record, so the step may run.
    NoRecord,
    /// The step may have run.
    MayHaveRun,
    /// The result is recorded.
    Result,
}

/// The columns are: crash point, recovered state of a non-repeatable step, recovered state of a
/// repeatable step, and how often the upstream ran the step.
const CRASH_POINTS: [(CrashPoint, RecoveredState, RecoveredState, u32); 16] = [
    (CrashPoint::Received, RecoveredState::NoRecord, RecoveredState::NoRecord, 0),
    (CrashPoint::Begun, RecoveredState::NoRecord, RecoveredState::NoRecord, 0),
    (CrashPoint::IntentLost, RecoveredState::NoRecord, RecoveredState::NoRecord, 0),
    (CrashPoint::IntentDurable, RecoveredState::MayHaveRun, RecoveredState::NoRecord, 0),
    (CrashPoint::ReadyToSend, RecoveredState::MayHaveRun, RecoveredState::NoRecord, 0),
    (CrashPoint::SentBeforeRun, RecoveredState::MayHaveRun, RecoveredState::NoRecord, 0),
    (CrashPoint::RanAnswerLost, RecoveredState::MayHaveRun, RecoveredState::NoRecord, 1),
    (CrashPoint::RanAnswerReceived, RecoveredState::MayHaveRun, RecoveredState::NoRecord, 1),
    (CrashPoint::EndRecordLost, RecoveredState::MayHaveRun, RecoveredState::NoRecord, 1),
    (CrashPoint::EndRecordDurable, RecoveredState::Result, RecoveredState::Result, 1),
    (CrashPoint::RefusedRecordLost, RecoveredState::MayHaveRun, RecoveredState::NoRecord, 0),
    (CrashPoint::RefusedRecordDurable, RecoveredState::NoRecord, RecoveredState::NoRecord, 0),
    (CrashPoint::LeaseLostRecordDurable, RecoveredState::NoRecord, RecoveredState::NoRecord, 0),
    (CrashPoint::UnknownRecordLost, RecoveredState::MayHaveRun, RecoveredState::NoRecord, 1),
    (CrashPoint::UnknownRecordDurable, RecoveredState::MayHaveRun, RecoveredState::NoRecord, 1),
    (CrashPoint::None, RecoveredState::Result, RecoveredState::Result, 1),
];

struct Home {
    journal: Vec<Record>,
    clock: Clock,
    runs: u32,
}

/// The caller's view of one attempt. `None` if the home crashed.
type Reply = Option<Result<String, (Verdict, Reason)>>;

impl Home {
    fn new() -> Self {
        let clock = Clock::new();
        let mut programs = Programs::new(Settings::default());
        let record = create(&mut programs, clock.0, "p", None, Budget::default())
            .expect("the program is created");
        Self { journal: vec![record], clock, runs: 0 }
    }

    /// Rebuilds the programs from the durable records.
    fn recover(&self) -> Programs {
        Programs::recover(Settings::default(), self.clock.0, &self.journal)
    }

    /// Runs the call at a new home that crashes at `crash_at`.
    fn attempt(&mut self, work: &Work, is_repeatable: bool, crash_at: CrashPoint) -> Reply {
        let now = self.clock.0;
        let mut programs = self.recover();
        if crash_at == CrashPoint::Received {
            return None;
        }
        let request = format!("r{}", self.journal.len());
        let call = call("p", "s", &request, work.clone());
        // The request hash only has to be the same in all attempts.
        let run = match programs.begin(now, &call, 7, is_repeatable) {
            BeginDecision::Run(run) => run,
            BeginDecision::Replay(result) => return Some(Ok(result.text)),
            BeginDecision::Refuse(refusal) => return Some(Err((refusal.verdict, refusal.reason))),
            other => panic!("{other:?}"),
        };
        if crash_at == CrashPoint::Begun {
            return None;
        }
        let ready = match run.permit {
            Permit::Now(ready) => ready,
            Permit::AfterIntent(_) if crash_at == CrashPoint::IntentLost => return None,
            Permit::AfterIntent(intent) => {
                self.journal.push(intent.record().clone());
                if crash_at == CrashPoint::IntentDurable {
                    return None;
                }
                programs.intent_durable(now, intent)
            }
        };
        if matches!(
            crash_at,
            CrashPoint::IntentLost | CrashPoint::IntentDurable | CrashPoint::ReadyToSend
        ) {
            return None;
        }
        if crash_at == CrashPoint::LeaseLostRecordDurable {
            let action = programs.end_not_run(ready);
            return self.append_and_crash(action);
        }
        let sent = programs.mark_sent(ready, "u".into());
        match crash_at {
            CrashPoint::SentBeforeRun => return None,
            CrashPoint::RefusedRecordLost => return None,
            CrashPoint::RefusedRecordDurable => {
                let action = programs.end_refused(sent);
                return self.append_and_crash(action);
            }
            _ => self.runs += 1,
        }
        if crash_at == CrashPoint::UnknownRecordDurable {
            let action = programs.end_unknown(sent);
            return self.append_and_crash(action);
        }
        if matches!(
            crash_at,
            CrashPoint::RanAnswerLost
                | CrashPoint::RanAnswerReceived
                | CrashPoint::UnknownRecordLost
        ) {
            return None;
        }
        let answer = result("done");
        let ended_call = match &call.work {
            Work::Turn(_) => {
                let message = Message::text("assistant", "done");
                programs.end_turn(sent, message, usage(10, 5), "u".into(), answer)
            }
            Work::Service(_) => programs.end_service_call(sent, answer),
        };
        if crash_at == CrashPoint::EndRecordLost {
            return None;
        }
        self.journal.push(ended_call.record().clone());
        if crash_at == CrashPoint::EndRecordDurable {
            return None;
        }
        programs.call_end_durable(now, ended_call);
        Some(Ok("done".into()))
    }

    /// Appends the record, if any, and returns `None` for a crash.
    fn append_and_crash(&mut self, action: EndAction) -> Reply {
        if let EndAction::Append(ended_call) = action {
            self.journal.push(ended_call.record().clone());
        }
        None
    }
}

fn expected_state(
    row: &(CrashPoint, RecoveredState, RecoveredState, u32),
    is_repeatable: bool,
) -> RecoveredState {
    if is_repeatable { row.2 } else { row.1 }
}

/// Injects crashes one after the other, then resends the call without a crash, and checks the
/// verdict and the number of runs.
fn check(
    work: &Work,
    is_repeatable: bool,
    rows: &[&(CrashPoint, RecoveredState, RecoveredState, u32)],
) {
    let mut home = Home::new();
    let mut state = RecoveredState::NoRecord;
    let mut runs = 0;
    for row in rows {
        let reply = home.attempt(work, is_repeatable, row.0);
        // Once a record exists, a later attempt no longer reaches its crash point.
        if state == RecoveredState::NoRecord {
            state = expected_state(row, is_repeatable);
            runs += row.3;
            assert!(reply.is_none() || row.0 == CrashPoint::None);
        }
    }
    let points: Vec<CrashPoint> = rows.iter().map(|row| row.0).collect();
    let expected = match state {
        RecoveredState::MayHaveRun => Err((Verdict::MayHaveRun, Reason::UpstreamFailed)),
        RecoveredState::NoRecord | RecoveredState::Result => Ok("done".to_owned()),
    };
    runs += u32::from(state == RecoveredState::NoRecord);
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
