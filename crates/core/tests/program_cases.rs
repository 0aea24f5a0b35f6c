//! Unit tests of budgets, call order, creation and termination of programs.

mod program_calls;

use {
    program_calls::{Clock, call, caller, create, create_request, result, tool, turn, usage},
    std::time::Duration,
    trefoilring_core::{
        catalog::Budget,
        journal::Record,
        message::Message,
        program::{
            BeginDecision, CreateDecision, EndAction, Moment, Permit, Programs, ReadyToSend, Run,
            Settings,
        },
        verdict::{Reason, Refusal, Verdict},
    },
};

const SMALL: Budget = Budget { turns: 10, tokens: 100, wall_ms: 60_000 };

fn programs(budget: Budget) -> (Programs, Clock) {
    let clock = Clock::new();
    let mut programs = Programs::new(Settings::default());
    create(&mut programs, clock.0, "p", None, budget).expect("the program is created");
    (programs, clock)
}

fn run(begin: BeginDecision) -> Run {
    match begin {
        BeginDecision::Run(run) => *run,
        other => panic!("the call does not run: {other:?}"),
    }
}

fn ready(permit: Permit) -> ReadyToSend {
    match permit {
        Permit::Now(ready) => ready,
        Permit::AfterIntent(intent) => panic!("the call needs an intent: {intent:?}"),
    }
}

fn refusal(begin: BeginDecision) -> (Verdict, Reason) {
    match begin {
        BeginDecision::Refuse(refusal) => (refusal.verdict, refusal.reason),
        other => panic!("the call was not refused: {other:?}"),
    }
}

/// Runs a turn until its end is durable.
fn run_turn(programs: &mut Programs, now: Moment, program: &str, step: &str, tokens: (u64, u64)) {
    let run = run(programs.begin(now, &call(program, step, step, turn("hi", 10)), 1, true));
    let sent = programs.mark_sent(ready(run.permit), "u".into());
    let answer = Message::text("assistant", step);
    let usage = usage(tokens.0, tokens.1);
    let ended_call = programs.end_turn(sent, answer, usage, "u".into(), result(step));
    programs.call_end_durable(now, ended_call);
}

#[test]
fn concurrent_children_do_not_overspend() {
    let (mut programs, clock) = programs(SMALL);
    for child in ["c1", "c2", "c3"] {
        create(&mut programs, clock.0, child, Some("p"), SMALL).expect("the program is created");
    }
    let mut begin = |program, max_tokens| {
        programs.begin(clock.0, &call(program, "s", program, turn("abcd", max_tokens)), 1, true)
    };
    assert_eq!(run(begin("c1", 59)).completion_tokens, 59);
    assert_eq!(run(begin("c2", 500)).completion_tokens, 39, "the rest of the budget");
    let refused = refusal(begin("c3", 1));
    assert_eq!(refused, (Verdict::NotRun, Reason::BudgetSpent));
}

#[test]
fn calls_done_of_a_child_counts_calls_of_its_parent() {
    let (mut programs, clock) = programs(SMALL);
    let first = run(programs.begin(clock.0, &call("p", "s", "r", turn("hi", 10)), 1, true));
    assert_eq!(first.calls_done, 0);
    assert!(matches!(programs.end_not_run(ready(first.permit)), EndAction::NothingToRecord));
    run_turn(&mut programs, clock.0, "p", "s1", (10, 5));
    create(&mut programs, clock.0, "c", Some("p"), SMALL).expect("the program is created");
    let child = run(programs.begin(clock.0, &call("c", "s", "rc", turn("hi", 10)), 1, true));
    assert_eq!(child.calls_done, 1);
}

#[test]
fn reservation_is_released_when_its_turn_ends() {
    let (mut programs, clock) = programs(SMALL);
    let work = || turn("abcd", 99);
    let first = run(programs.begin(clock.0, &call("p", "s", "r1", work()), 1, true));
    let sent = programs.mark_sent(ready(first.permit), "u".into());
    assert!(matches!(programs.end_unknown(sent), EndAction::NothingToRecord));
    run_turn(&mut programs, clock.0, "p", "s2", (30, 20));
    let info = programs.info(clock.0, &"p".into(), &caller("t")).expect("the program exists");
    assert_eq!((info.turns, info.tokens, info.history_messages), (1, 50, 2));
    let next = run(programs.begin(clock.0, &call("p", "s3", "r3", work()), 1, true));
    assert_eq!((next.completion_tokens, next.prompt_tokens), (49, 51));
    assert_eq!(next.messages.len(), 3, "the history and the new message");
}

#[test]
fn calls_of_a_program_run_in_the_order_received() {
    let (mut programs, clock) = programs(Budget::default());
    let begin = |programs: &mut Programs, step: &str, request: &str, hash| {
        programs.begin(clock.0, &call("p", step, request, tool()), hash, true)
    };
    let first = run(begin(&mut programs, "s1", "r1", 1));
    assert!(matches!(begin(&mut programs, "s2", "r2", 1), BeginDecision::Wait));
    assert!(matches!(begin(&mut programs, "s3", "r3", 1), BeginDecision::Wait));
    assert!(
        matches!(begin(&mut programs, "s3", "r3", 1), BeginDecision::Wait),
        "a repeated call waits again"
    );
    assert!(matches!(begin(&mut programs, "s1", "r4", 1), BeginDecision::Join), "s1 is running");
    assert!(matches!(begin(&mut programs, "s2", "r5", 1), BeginDecision::Join), "s2 is waiting");
    for step in ["s1", "s2"] {
        let refused = refusal(begin(&mut programs, step, "r6", 2));
        assert_eq!(refused, (Verdict::NotRun, Reason::StepConflict));
    }
    assert_eq!(programs.next(&"p".into()), None, "a call is running");
    let sent = programs.mark_sent(ready(first.permit), "u".into());
    let ended_call = programs.end_service_call(sent, result("one"));
    assert_eq!(programs.next(&"p".into()), None, "the end of s1 is not durable");
    programs.call_end_durable(clock.0, ended_call);
    programs.cancel_waiting(&"p".into(), &"r2".into());
    let next = programs.next(&"p".into()).expect("a call waits");
    assert_eq!((&*next.step, &*next.request), ("s3", "r3"));
    assert!(matches!(begin(&mut programs, "s4", "r7", 1), BeginDecision::Wait), "s3 comes first");
    run(begin(&mut programs, "s3", "r3", 1));
    assert!(matches!(begin(&mut programs, "s1", "r8", 1), BeginDecision::Replay(_)));
}

#[test]
fn programs_of_other_teams_are_reported_as_missing() {
    let (mut programs, clock) = programs(Budget::default());
    for (program, team) in [("p", "other"), ("q", "t")] {
        for (is_repeatable, verdict) in [(true, Verdict::NotRun), (false, Verdict::MayHaveRun)] {
            let mut call = call(program, "s", "r", tool());
            call.caller = caller(team);
            let refused = refusal(programs.begin(clock.0, &call, 1, is_repeatable));
            assert_eq!(refused, (verdict, Reason::NotFound));
        }
        let missing = programs
            .info(clock.0, &program.into(), &caller(team))
            .expect_err("the program is not visible to this caller");
        assert_eq!(missing, Refusal::not_run(Reason::NotFound, "no such program"));
        assert!(programs.history(&program.into(), &caller(team)).is_err());
        assert!(programs.end(&program.into(), &caller(team)).is_err());
    }
}

#[test]
fn creation_is_idempotent() {
    let (mut programs, clock) = programs(SMALL);
    let create_with_step = |programs: &mut Programs, step: &str, budget, id: &str| {
        let request = create_request(None, Some(step), budget);
        programs.create(clock.0, &caller("t"), &request, SMALL, id.into())
    };
    let CreateDecision::New(record) = create_with_step(&mut programs, "k", None, "q") else {
        panic!("program \"k\" was not created as new")
    };
    assert!(
        matches!(create_with_step(&mut programs, "k", None, "q2"), CreateDecision::Pending(id) if &*id == "q")
    );
    programs.creation_durable(clock.0, &"q".into());
    assert!(
        matches!(create_with_step(&mut programs, "k", None, "q3"), CreateDecision::Exists(info) if &*info.program == "q")
    );
    let other = Budget { turns: 3, ..SMALL };
    let conflict = create_with_step(&mut programs, "k", Some(other), "q4");
    assert!(matches!(conflict, CreateDecision::Refuse(r) if r.reason == Reason::StepConflict));
    let large = Budget { turns: 11, ..SMALL };
    let refused = create_with_step(&mut programs, "l", Some(large), "q5");
    assert!(
        matches!(refused, CreateDecision::Refuse(r) if r.detail == "budget.turns is 11, accepted is 1 to 10")
    );
    let CreateDecision::New(_) = create_with_step(&mut programs, "m", None, "q6") else {
        panic!("program \"m\" was not created as new")
    };
    programs.creation_failed(&"q6".into());
    assert!(matches!(create_with_step(&mut programs, "m", None, "q7"), CreateDecision::New(_)));
    let mut recovered = Programs::new(Settings::default());
    assert!(recovered.apply(clock.0, &record));
    assert!(
        matches!(create_with_step(&mut recovered, "k", None, "q8"), CreateDecision::Exists(_)),
        "after a takeover"
    );
}

#[test]
fn ended_programs_release_caches_and_are_removed_with_their_root() {
    let (mut programs, mut clock) = programs(Budget::default());
    create(&mut programs, clock.0, "c", Some("p"), Budget::default())
        .expect("the program is created");
    run_turn(&mut programs, clock.0, "p", "s", (10, 5));
    let running = run(programs.begin(clock.0, &call("c", "s", "r", turn("x", 1)), 1, true));
    let sent = programs.mark_sent(ready(running.permit), "v".into());
    let ends = programs.end(&"p".into(), &caller("t")).expect("the program ends");
    let ended: Vec<&str> = ends.iter().map(|record| &**record.program()).collect();
    assert_eq!(ended, ["c", "p"], "children end before their parent");
    assert_eq!(programs.end(&"p".into(), &caller("t")), Ok(vec![]), "a repeated end has no effect");
    let refused = refusal(programs.begin(clock.0, &call("p", "s9", "r", tool()), 1, true));
    assert_eq!(refused, (Verdict::NotRun, Reason::ProgramEnded));
    let released = programs.program_ends_durable(clock.0, &ends);
    let released: Vec<_> = released.iter().map(|r| (&*r.program, &*r.upstreams[0])).collect();
    assert_eq!(released, [("p", "u")], "the child's call is still running");
    let answer = Message::text("assistant", "late");
    let ended_call = programs.end_turn(sent, answer, usage(1, 1), "v".into(), result("late"));
    let late = programs.call_end_durable(clock.0, ended_call).expect("cached data to release");
    assert_eq!((&*late.program, &*late.upstreams[0]), ("c", "v"));
    assert!(matches!(
        programs.begin(clock.0, &call("c", "s", "r", turn("x", 1)), 1, true),
        BeginDecision::Replay(_)
    ));
    clock.advance(Settings::default().ended_retention);
    assert_eq!(
        programs.tick(clock.0).removed.len(),
        0,
        "the child's records are kept until the root is removed"
    );
    let removed = programs.tick(clock.0).removed;
    assert_eq!(removed.iter().map(|id| &**id).collect::<Vec<_>>(), ["c", "p"]);
    assert_eq!((programs.ids().count(), programs.estimated_bytes()), (0, 0));
}

#[test]
fn idle_and_wall_time_exceeded_programs_are_ended() {
    let (mut programs, mut clock) = programs(Budget::default());
    create(&mut programs, clock.0, "c", Some("p"), Budget::default())
        .expect("the program is created");
    create(&mut programs, clock.0, "w", None, SMALL).expect("the program is created");
    let end_reasons = |programs: &mut Programs, now| -> Vec<String> {
        let due = programs.tick(now);
        programs.program_ends_durable(now, &due.ends);
        let why = |record: &Record| match record {
            Record::Ended { program, why } => format!("{program} {why}"),
            other => panic!("the record is not an end: {other:?}"),
        };
        due.ends.iter().map(why).collect()
    };
    let running = run(programs.begin(clock.0, &call("w", "s", "r", tool()), 1, true));
    clock.advance(Duration::from_millis(SMALL.wall_ms - 1));
    assert_eq!(end_reasons(&mut programs, clock.0), Vec::<String>::new());
    assert_eq!(running.wall_left, Duration::from_millis(SMALL.wall_ms));
    clock.advance(Duration::from_millis(1));
    assert_eq!(end_reasons(&mut programs, clock.0), ["w budget"], "also while a call runs");
    clock.advance(Settings::default().idle_timeout);
    assert_eq!(
        end_reasons(&mut programs, clock.0),
        ["c abandoned"],
        "children end before their parent"
    );
    assert_eq!(end_reasons(&mut programs, clock.0), ["p abandoned"]);
    assert_eq!(programs.live_count(), 0);
}
