use super::*;

const TARGET: Duration = Duration::from_millis(1000);
/// Turns of a program, each with a call of a tool.
const TURNS: u64 = 4;

fn new_program(id: &str, priority: u8, time_left: Duration) -> NewProgram<'_> {
    NewProgram { id, priority, time_left: Some(time_left) }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A host that has learned what programs need: half of their target without queues.
fn host() -> (Admission, Instant) {
    let (start, mut host) = (Instant::now(), Admission::default());
    for number in 0..60 {
        let began = start + TARGET * number;
        let id = format!("before-{number}");
        host.check(began, &new_program(&id, 0, TARGET), |_| Some(Duration::ZERO), 0.5)
            .expect("no queues");
        run(&mut host, began, Duration::ZERO);
    }
    (host, start + TARGET * 60)
}

/// Has a program under way make all its requests, with a delay at the tools.
fn run(host: &mut Admission, began: Instant, tools_delay: Duration) {
    for number in 0..2 * TURNS {
        request(host, began + ms(number / 2 * 125), number, tools_delay);
    }
}

fn request(host: &mut Admission, now: Instant, number: u64, tools_delay: Duration) {
    let (service, took) = [("models", ms(100)), ("tools", ms(25))][number as usize % 2];
    let delay_of = tools(tools_delay);
    host.observe(now, &service.into(), delay_of);
    let delay = delay_of(&service.into()).unwrap_or_default();
    host.record_answer(now, took + delay, Some(delay));
}

fn tools(delay: Duration) -> impl Fn(&ServiceId) -> Option<Duration> + Copy {
    move |service| match &**service {
        "models" => Some(Duration::ZERO),
        "tools" => Some(delay),
        _ => None,
    }
}

/// Returns how many of 20 new programs begin at the same time.
fn begun(host: &mut Admission, now: Instant, priority: u8, tools_delay: Duration) -> usize {
    let ids = (0..20).map(|number| format!("new-{number}-{now:?}"));
    let begins = |id: &String| {
        host.check(now, &new_program(id, priority, TARGET), tools(tools_delay), 0.5).is_ok()
    };
    ids.filter(begins).count()
}

/// Guards against refusals at usual load, and by a service whose queues programs seldom meet or that
/// takes little of their time.
#[test]
fn programs_begin_while_queues_take_little_of_their_slack() {
    let (mut host, now) = host();
    assert_eq!(begun(&mut host, now, 0, ms(40)), 20, "160 of 500 ms");
    assert!(begun(&mut host, now, 0, ms(70)) < 5, "280 of 500 ms");
    // A program with four times the target has four times the requests, and as much slack for each.
    let (mut host, now) = self::host();
    let large = new_program("large", 0, TARGET * 4);
    assert!(host.check(now, &large, tools(ms(40)), 0.5).is_ok());
}

#[test]
fn programs_begin_where_no_delay_is_known() {
    let (mut host, now) = host();
    for number in 0..50 {
        let id = format!("new-{number}");
        assert!(host.check(now, &new_program(&id, 0, TARGET), |_| None, 0.5).is_ok());
    }
    let (mut host, now) = (Admission::default(), Instant::now());
    assert_eq!(begun(&mut host, now, 0, ms(900)), 20, "no program has made a request");
}

/// Offers programs of three priorities ten times as often as programs end, for 20 s in which the
/// services carry 20 a second, and the tools' queue holds what is under way. Returns how many of each
/// priority begin, and how many are under way at the end.
fn offer_too_many() -> ([usize; 3], usize) {
    let (mut host, start) = host();
    let mut under_way = begun(&mut host, start, 0, Duration::ZERO);
    let mut begun_by_priority = [0; 3];
    for number in 0..20 * 20 * 2 * TURNS {
        let now = start + ms(number * 50) / (2 * TURNS as u32);
        let queued = ms(under_way as u64 * 50).saturating_sub(TARGET / 2);
        let tools_delay = queued / TURNS as u32;
        if under_way > 0 {
            request(&mut host, now, number, tools_delay);
            under_way -= usize::from((number + 1).is_multiple_of(2 * TURNS));
        }
        for priority in [2, 1, 0] {
            let id = format!("new-{number}-{priority}");
            let program = new_program(&id, priority, TARGET);
            let begins = host.check(now, &program, tools(tools_delay), 0.5).is_ok();
            begun_by_priority[usize::from(priority)] += usize::from(begins);
            under_way += usize::from(begins);
        }
    }
    (begun_by_priority, under_way)
}

/// Guards against a number of new programs that follows the offer instead of what the services carry.
#[test]
fn under_pressure_about_one_program_begins_for_each_that_ends() {
    let (begun, under_way) = offer_too_many();
    let begun: usize = begun.iter().sum();
    assert!((340..460).contains(&begun), "{begun} begun, 400 can end");
    assert!((10..20).contains(&under_way), "idle below 10, late above 20: {under_way}");
    let (mut host, now) = host();
    host.record_answer(now, ms(100), None);
    assert_eq!(super::tests::begun(&mut host, now, 0, ms(200)), 0, "all would be late");
}

/// Guards against a host that refuses everything for good by a wrong view.
#[test]
fn one_program_begins_now_and_then_at_any_pressure() {
    for (answers_come, expected) in [(false, 16), (true, 2)] {
        let (mut host, start) = host();
        host.check(start, &new_program("last", 0, TARGET), tools(ms(0)), 0.5).expect("no queues");
        let mut begun_count = 0;
        for second in 1..=16 {
            let now = start + ms(1000) * second;
            if answers_come {
                host.record_answer(now, ms(100), None);
            }
            begun_count += begun(&mut host, now, 0, ms(900));
        }
        assert_eq!(begun_count, expected, "answers come: {answers_come}");
    }
}

/// Guards against programs that begin although they can't end in time any more, in the place of others.
#[test]
fn a_refused_program_that_has_lost_its_slack_yields_to_others() {
    let (mut host, now) = host();
    while host.check(now, &new_program("p", 0, TARGET), tools(ms(65)), 0.5).is_ok() {}
    host.credits = CREDITS_MAX;
    let later = now + ms(400);
    let again = host.check(later, &new_program("p", 0, TARGET - ms(400)), tools(ms(65)), 0.5);
    assert!(again.is_err(), "100 ms are left for queues, 350 ms are needed");
    let first = new_program("q", 0, TARGET);
    assert!(host.check(later, &first, tools(ms(65)), 0.5).is_ok());
    // A program that is late from the start still begins while the services have room.
    let (mut host, now) = self::host();
    assert!(host.check(now, &new_program("late", 0, ms(10)), tools(ms(0)), 0.5).is_ok());
}

/// Guards against starvation of less urgent programs, and against urgent ones that wait for them.
#[test]
fn more_urgent_programs_begin_first_and_none_is_starved() {
    let ([urgent, usual, low], _) = offer_too_many();
    assert!(urgent > 2 * (usual + low), "{urgent} {usual} {low}");
    assert!(usual >= urgent / 40 && low >= urgent / 40, "{urgent} {usual} {low}");
}

/// Guards against full service that does not return after an overload.
#[test]
fn the_limit_ends_soon_after_the_queues() {
    let (mut host, now) = host();
    begun(&mut host, now, 0, ms(200));
    assert!(host.limited_at.is_some());
    for after in [0, 1000, 2100] {
        run(&mut host, now + ms(after), Duration::ZERO);
    }
    assert_eq!(begun(&mut host, now + ms(3000), 0, Duration::ZERO), 20);
    // A host that loses sight of the delays does not take that for their end.
    let (mut host, now) = self::host();
    begun(&mut host, now, 0, ms(200));
    host.credits = 0.0;
    host.began_at = Some(now);
    let later = now + PROBE_INTERVAL / 2;
    let program = new_program("unknown", 0, TARGET);
    assert!(host.check(later, &program, |_| None, 0.5).is_err());
    assert!(host.check(now + LIMIT_TIME_UNKNOWN, &program, |_| None, 0.5).is_ok());
}

/// Guards against callers that come again together, or when they have no time left.
#[test]
fn retry_after_follows_the_work_ahead_and_spreads_callers() {
    let refusal = |time_left: Duration, refused: usize, jitter: f64| {
        let (mut host, now) = host();
        begun(&mut host, now, 0, ms(200));
        for number in 0..refused {
            let id = format!("refused-{number}");
            host.check(now, &new_program(&id, 0, TARGET), tools(ms(200)), 0.5)
                .expect_err("limited");
        }
        host.check(now, &new_program("p", 0, time_left), tools(ms(200)), jitter)
            .expect_err("limited")
    };
    let few = refusal(TARGET * 9, 0, 1.0);
    assert_eq!(few.service.as_deref(), Some("tools"));
    assert_eq!(few.delay, ms(200));
    assert!(few.retry_after >= RETRY_AFTER_MIN && few.retry_after <= RETRY_AFTER_MAX);
    assert!(refusal(TARGET * 9, 0, 0.0).retry_after * 2 <= few.retry_after);
    assert!(refusal(TARGET * 9, 100, 1.0).retry_after >= few.retry_after);
    assert!(refusal(TARGET, 100, 1.0).retry_after <= TARGET / 3);
}

/// Guards against needs that are too low while many programs have only begun.
#[test]
fn needs_hold_in_a_burst() {
    let (mut host, now) = host();
    let before = host.needs.requests_per_program().expect("learned");
    for number in 0..20 {
        let id = format!("burst-{number}");
        let program = new_program(&id, 0, TARGET);
        host.check(now, &program, tools(Duration::ZERO), 0.5).expect("no queues");
        host.observe(now, &"models".into(), tools(Duration::ZERO));
    }
    let during = host.needs.requests_per_program().expect("learned");
    assert!(during >= before && before >= 0.9 * 2.0 * TURNS as f64, "{before} {during}");
    let share = host.needs.unqueued_share().expect("learned");
    assert!((0.4..0.6).contains(&share), "{share}");
}

/// Guards against values of callers that end the process or make every program wait.
#[test]
fn extreme_targets_are_bounded() {
    for time_left in [Duration::ZERO, Duration::MAX, Duration::from_nanos(1)] {
        let (mut host, mut now) = (Admission::default(), Instant::now());
        for number in 0..20 {
            let id = format!("program-{number}");
            let program = new_program(&id, 255, time_left);
            assert!(host.check(now, &program, tools(ms(0)), 0.5).is_ok(), "{time_left:?}");
            run(&mut host, now, ms(0));
            now += TARGET_MAX;
        }
        for number in 0..20 {
            let id = format!("queued-{number}");
            let refused = host.check(now, &new_program(&id, 255, time_left), tools(ms(900)), 0.0);
            let bounds = RETRY_AFTER_MIN / 4..=RETRY_AFTER_MAX;
            assert!(refused.is_ok() || bounds.contains(&refused.expect_err("refused").retry_after));
        }
    }
}

/// Guards against one program with a far target that keeps those after it from counting, so that what a
/// program needs seems to grow, and makes the mean target so long that queues seem short.
#[test]
fn one_far_target_does_not_change_what_programs_need() {
    let pressure_after = |far: Option<Duration>| {
        let (mut host, mut now) = (Admission::default(), Instant::now());
        if let Some(far) = far {
            let admitted = host.check(now, &new_program("far", 0, far), tools(ms(0)), 0.5);
            assert!(admitted.is_ok());
        }
        for number in 0..120 {
            let id = format!("program-{number}");
            let program = new_program(&id, 0, Duration::from_secs(3));
            assert!(host.check(now, &program, tools(ms(0)), 0.5).is_ok(), "{id}");
            run(&mut host, now, ms(0));
            now += Duration::from_secs(1);
        }
        let queues = host.queues(tools(ms(100))).expect("the tools are used");
        host.pressure(&queues, Some(Duration::from_secs(3)), None)
    };
    let usual = pressure_after(None);
    for far in [Duration::from_secs(60), Duration::from_secs(3600), Duration::MAX] {
        let pressure = pressure_after(Some(far));
        assert!((0.8..1.25).contains(&(pressure / usual)), "{far:?}: {pressure}, usually {usual}");
    }
}
