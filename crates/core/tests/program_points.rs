//! Every point of failure between the receipt of a call and its reply.

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

/// Where the home dies. The journal keeps what is durable by then.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Point {
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
    /// Nothing fails.
    None,
}

/// What the next host knows of the step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Known {
    /// Nothing: the step may run.
    Nothing,
    /// It may have run.
    MayHaveRun,
    /// Its result.
    Result,
}

/// A row: the point, what is known of a step that may not be repeated, of one that may, and how
/// often the upstream ran it.
const POINTS: [(Point, Known, Known, u32); 16] = [
    (Point::Received, Known::Nothing, Known::Nothing, 0),
    (Point::Begun, Known::Nothing, Known::Nothing, 0),
    (Point::IntentLost, Known::Nothing, Known::Nothing, 0),
    (Point::IntentDurable, Known::MayHaveRun, Known::Nothing, 0),
    (Point::Cleared, Known::MayHaveRun, Known::Nothing, 0),
    (Point::SentNotRun, Known::MayHaveRun, Known::Nothing, 0),
    (Point::RanAnswerLost, Known::MayHaveRun, Known::Nothing, 1),
    (Point::RanAnswerReceived, Known::MayHaveRun, Known::Nothing, 1),
    (Point::EndLost, Known::MayHaveRun, Known::Nothing, 1),
    (Point::EndDurable, Known::Result, Known::Result, 1),
    (Point::RefusedNotRunLost, Known::MayHaveRun, Known::Nothing, 0),
    (Point::RefusedNotRunDurable, Known::Nothing, Known::Nothing, 0),
    (Point::LeaseLostNotRunDurable, Known::Nothing, Known::Nothing, 0),
    (Point::EndUnknownLost, Known::MayHaveRun, Known::Nothing, 1),
    (Point::EndUnknownDurable, Known::MayHaveRun, Known::Nothing, 1),
    (Point::None, Known::Result, Known::Result, 1),
];

struct Home {
    log: Vec<Record>,
    clock: Clock,
    runs: u32,
}

/// What a caller sees of one attempt; `None` if the home died.
type Reply = Option<Result<String, (Verdict, Reason)>>;

impl Home {
    fn new() -> Self {
        let clock = Clock::new();
        let mut programs = Programs::new(Settings::default());
        let record = create(&mut programs, clock.0, "p", None, Budget::default()).expect("made");
        Self { log: vec![record], clock, runs: 0 }
    }

    /// A home that knows just what is durable.
    fn recover(&self) -> Programs {
        Programs::recover(Settings::default(), self.clock.0, &self.log)
    }

    /// Runs the call at a new home that dies at a point.
    fn attempt(&mut self, work: &Work, is_repeatable: bool, dies: Point) -> Reply {
        let now = self.clock.0;
        let mut programs = self.recover();
        if dies == Point::Received {
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
        if dies == Point::Begun {
            return None;
        }
        let cleared = match run.permit {
            Permit::Now(cleared) => cleared,
            Permit::AfterIntent(_) if dies == Point::IntentLost => return None,
            Permit::AfterIntent(intent) => {
                self.log.push(intent.record().clone());
                if dies == Point::IntentDurable {
                    return None;
                }
                programs.intent_durable(now, intent)
            }
        };
        if matches!(dies, Point::IntentLost | Point::IntentDurable | Point::Cleared) {
            return None;
        }
        if dies == Point::LeaseLostNotRunDurable {
            let finish = programs.not_run(cleared);
            return self.die_with(finish);
        }
        let sent = programs.send(cleared, "u".into());
        match dies {
            Point::SentNotRun => return None,
            Point::RefusedNotRunLost => return None,
            Point::RefusedNotRunDurable => {
                let finish = programs.refused(sent);
                return self.die_with(finish);
            }
            _ => self.runs += 1,
        }
        if dies == Point::EndUnknownDurable {
            let finish = programs.unknown(sent);
            return self.die_with(finish);
        }
        if matches!(dies, Point::RanAnswerLost | Point::RanAnswerReceived | Point::EndUnknownLost) {
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
        if dies == Point::EndLost {
            return None;
        }
        self.log.push(ending.record().clone());
        if dies == Point::EndDurable {
            return None;
        }
        programs.ending_durable(now, ending);
        Some(Ok("done".into()))
    }

    /// Makes a finish durable, then the home dies.
    fn die_with(&mut self, finish: Finish) -> Reply {
        if let Finish::Append(ending) = finish {
            self.log.push(ending.record().clone());
        }
        None
    }
}

fn known(row: &(Point, Known, Known, u32), is_repeatable: bool) -> Known {
    if is_repeatable { row.2 } else { row.1 }
}

/// Applies failures one after the other, resends without one, and checks verdict and effects.
fn check(work: &Work, is_repeatable: bool, rows: &[&(Point, Known, Known, u32)]) {
    let mut home = Home::new();
    let mut state = Known::Nothing;
    let mut runs = 0;
    for row in rows {
        let reply = home.attempt(work, is_repeatable, row.0);
        if state == Known::Nothing {
            state = known(row, is_repeatable);
            runs += row.3;
            assert!(reply.is_none() || row.0 == Point::None);
        }
    }
    let points: Vec<Point> = rows.iter().map(|row| row.0).collect();
    let expected = match state {
        Known::MayHaveRun => Err((Verdict::MayHaveRun, Reason::UpstreamFailed)),
        Known::Nothing | Known::Result => Ok("done".to_owned()),
    };
    runs += u32::from(state == Known::Nothing);
    for _ in 0..2 {
        let reply = home.attempt(work, is_repeatable, Point::None);
        assert_eq!(reply, Some(expected.clone()), "{points:?}");
    }
    assert_eq!(home.runs, runs, "{points:?}");
    assert!(is_repeatable || home.runs <= 1, "{points:?}");
}

#[test]
fn each_point_of_failure_has_its_verdict() {
    let kinds = [(tool(), false), (tool(), true), (turn("hello", 10), true)];
    for (work, is_repeatable) in &kinds {
        for first in &POINTS {
            check(work, *is_repeatable, &[first]);
            for second in &POINTS {
                check(work, *is_repeatable, &[first, second]);
            }
        }
    }
}
