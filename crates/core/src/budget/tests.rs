use {super::*, proptest::prelude::*};

const IDLE: Duration = Duration::from_secs(60);
const TURN: TokenCount = 580;

fn charge(program: &str, budget: TokenCount) -> Charge {
    Charge {
        program: program.into(),
        budget,
        turn_max: TURN,
        idle_max: IDLE,
        is_first_choice: true,
        others_are_away: true,
    }
}

fn first(now: Instant) -> Ledger {
    Ledger::take_over(now, 0, ("host-1", 1), None, true, IDLE)
}

fn is_granted(ledger: &mut Ledger, now: Instant, charge: &Charge) -> bool {
    matches!(ledger.charge(now, charge), Charged::Granted { .. })
}

fn write(ledger: &mut Ledger, now: Instant, wall_ms: u64) -> LedgerRecord {
    let record = ledger.record(now, wall_ms);
    ledger.written(&record);
    record
}

#[test]
fn budget_holds_with_refunds() {
    let now = Instant::now();
    let mut ledger = first(now);
    let turn = charge("p", 1160);
    assert!(is_granted(&mut ledger, now, &turn));
    write(&mut ledger, now, 0);
    assert!(is_granted(&mut ledger, now, &turn));
    assert_eq!(ledger.charge(now, &turn), Charged::Spent);
    ledger.refund(now, "p", 400);
    assert_eq!(ledger.charge(now, &turn), Charged::Spent);
    ledger.refund(now, "p", 400);
    assert!(is_granted(&mut ledger, now, &turn));
}

#[test]
fn second_turn_waits_for_the_record_and_the_third_does_not() {
    let now = Instant::now();
    let mut ledger = first(now);
    let turn = charge("p", 5300);
    assert!(is_granted(&mut ledger, now, &turn));
    assert!(ledger.needs_write());
    assert_eq!(ledger.charge(now, &turn), Charged::AfterWrite);
    write(&mut ledger, now, 0);
    assert!(is_granted(&mut ledger, now, &turn));
    assert!(is_granted(&mut ledger, now, &turn));
}

#[test]
fn crash_forgets_one_turn_at_most() {
    let now = Instant::now();
    let mut ledger = first(now);
    assert!(is_granted(&mut ledger, now, &charge("p", 2320)));
    let record = write(&mut ledger, now, 1000);
    let mut granted = 1;
    while is_granted(&mut ledger, now, &charge("p", 2320)) {
        granted += 1;
    }
    let mut next = Ledger::take_over(now, 1500, ("host-2", 1), Some(&record), false, IDLE);
    while is_granted(&mut next, now, &charge("p", 2320)) {
        granted += 1;
        write(&mut next, now, 1500);
    }
    assert!(granted * TURN <= 2320 + TURN, "{granted} turns");
}

#[test]
fn outage_grants_half_and_the_successor_leaves_that_out() {
    let now = Instant::now();
    let budget = 10 * TURN;
    let mut ledger = first(now);
    let record = write(&mut ledger, now, 1000);
    ledger.write_failed(now);
    let later = now + OUTAGE_AFTER;
    let mut granted = 0;
    while is_granted(&mut ledger, later, &charge("p", budget)) {
        granted += 1;
    }
    assert_eq!(granted, 5);
    assert!(ledger.is_store_away(later) && !ledger.is_store_away(now));
    let mut next = Ledger::take_over(later, 9000, ("host-2", 1), Some(&record), false, IDLE);
    while is_granted(&mut next, later, &charge("p", budget)) {
        granted += 1;
        write(&mut next, later, 9000);
    }
    assert!(granted * TURN <= budget + TURN, "{granted} turns");
    assert!(granted >= 10, "{granted} turns: the doubt costs no more than was granted");
}

#[test]
fn record_of_another_writer_is_added_to_what_no_record_has() {
    let now = Instant::now();
    let mut ledger = first(now);
    assert!(is_granted(&mut ledger, now, &charge("p", 2320)));
    let other = LedgerRecord {
        writer: "host-2@1".into(),
        charged: [("p".into(), 1160), ("q".into(), 100)].into(),
        ..LedgerRecord::default()
    };
    assert!(!ledger.is_own(&other));
    ledger.merge(now, &other);
    write(&mut ledger, now, 0);
    // 580 of its own and 1160 of the other's are charged.
    assert!(is_granted(&mut ledger, now, &charge("p", 2320)));
    assert_eq!(ledger.charge(now, &charge("p", 2320)), Charged::Spent);
    assert_eq!(ledger.len(), 2);
}

#[test]
fn two_keepers_in_turn_do_not_use_up_a_budget_by_their_margins() {
    let now = Instant::now();
    let budget = 9 * 880;
    let mut one = first(now);
    let mut two = first(now);
    let mut granted = 0;
    let mut stored = None;
    for turn in 0..9 {
        let keeper = if turn % 2 == 0 { &mut one } else { &mut two };
        if let Some(record) = &stored {
            keeper.merge(now, record);
        }
        if is_granted(keeper, now, &charge("p", budget)) {
            granted += 1;
            keeper.refund(now, "p", 400);
        }
        stored = Some(write(keeper, now, 0));
    }
    assert_eq!(granted, 9);
}

#[test]
fn keeper_that_alone_is_cut_off_from_the_store_grants_one_turn_beyond_the_record() {
    let now = Instant::now();
    let budget = 10 * TURN;
    let mut ledger = first(now);
    write(&mut ledger, now, 1000);
    ledger.write_failed(now);
    let later = now + OUTAGE_AFTER;
    let alone = Charge { others_are_away: false, ..charge("p", budget) };
    assert!(is_granted(&mut ledger, later, &alone));
    assert_eq!(ledger.charge(later, &alone), Charged::AfterWrite);
    assert!(is_granted(&mut ledger, later, &charge("p", budget)));
}

#[test]
fn keepers_of_second_choice_grant_only_what_is_recorded() {
    let now = Instant::now();
    let budget = 2 * TURN;
    let turn = Charge { is_first_choice: false, ..charge("p", budget) };
    let mut granted = 0;
    let mut first_choice = first(now);
    assert!(is_granted(&mut first_choice, now, &charge("p", budget)));
    granted += 1;
    let stored = write(&mut first_choice, now, 0);
    for host in ["two", "three", "four"] {
        // They took the ledger over before the program began.
        let mut keeper = Ledger::take_over(now, 0, (host, 1), None, true, IDLE);
        assert_eq!(keeper.charge(now, &turn), Charged::AfterWrite);
        assert!(keeper.needs_write());
        keeper.merge(now, &stored);
        granted += u64::from(is_granted(&mut keeper, now, &turn));
    }
    assert!(granted * TURN <= budget + TURN, "{granted} turns");
}

#[test]
fn program_is_new_until_a_turn_was_kept() {
    let now = Instant::now();
    let mut ledger = first(now);
    let turn = charge("p", 5300);
    assert_eq!(ledger.charge(now, &turn), Charged::Granted { is_new: true });
    ledger.refund(now, "p", TURN);
    assert_eq!(ledger.charge(now, &turn), Charged::Granted { is_new: true });
    write(&mut ledger, now, 0);
    assert_eq!(ledger.charge(now, &turn), Charged::Granted { is_new: false });
}

#[test]
fn numbers_that_no_program_has_do_no_harm() {
    let now = Instant::now();
    let mut ledger = first(now);
    let huge = |budget, turn_max| Charge { turn_max, ..charge("p", budget) };
    assert_eq!(ledger.charge(now, &huge(0, TokenCount::MAX)), Charged::Spent);
    assert!(is_granted(&mut ledger, now, &huge(TokenCount::MAX, TokenCount::MAX)));
    let record = write(&mut ledger, now, 0);
    ledger.merge(now, &record);
    assert!(is_granted(&mut ledger, now, &huge(TokenCount::MAX, 0)));
    assert_eq!(ledger.charge(now, &huge(10, 20)), Charged::Spent);
    ledger.refund(now, "p", TokenCount::MAX);
    assert!(is_granted(&mut ledger, now, &huge(20, 20)));
}

#[test]
fn accounts_are_forgotten_when_their_programs_can_not_come_back() {
    let now = Instant::now();
    let mut ledger = first(now);
    assert!(is_granted(&mut ledger, now, &charge("p", 5300)));
    assert_eq!(ledger.record(now + IDLE, 0).charged.len(), 1);
    assert!(ledger.record(now + IDLE + KEEP_MARGIN + Duration::from_secs(1), 0).charged.is_empty());
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Turn { used: TokenCount },
    Write,
    FailedWrite,
    Wait { wait_ms: u64 },
    Crash { recorded_late: bool },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..=TURN / 29).prop_map(|events| Step::Turn { used: events * 29 }),
        3 => Just(Step::Write),
        2 => Just(Step::FailedWrite),
        2 => (1_u64..5000).prop_map(|wait_ms| Step::Wait { wait_ms }),
        1 => any::<bool>().prop_map(|recorded_late| Step::Crash { recorded_late }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// One crash of the keeper, at any moment and with any writes lost before it, lets a program
    /// have at most one turn over its budget.
    #[test]
    fn one_crash_costs_at_most_one_turn(
        steps in proptest::collection::vec(step(), 1..60),
        turns in 1_u64..14,
    ) {
        let budget = turns * 880;
        let (mut now, mut wall_ms) = (Instant::now(), 1_000_000);
        let mut ledger = first(now);
        let (mut stored, mut pending) = (None, None);
        let (mut used_tokens, mut is_crashed) = (0, false);
        for step in steps {
            match step {
                Step::Turn { used } => {
                    if is_granted(&mut ledger, now, &charge("p", budget)) {
                        used_tokens += used;
                        ledger.refund(now, "p", TURN - used);
                    }
                }
                Step::Write => {
                    let record = ledger.record(now, wall_ms);
                    ledger.written(&record);
                    (stored, pending) = (Some(record), None);
                }
                Step::FailedWrite => {
                    pending = Some(ledger.record(now, wall_ms));
                    ledger.write_failed(now);
                }
                Step::Wait { wait_ms } => {
                    now += Duration::from_millis(wait_ms);
                    wall_ms += wait_ms;
                }
                Step::Crash { recorded_late } if !is_crashed => {
                    is_crashed = true;
                    if recorded_late && pending.is_some() {
                        stored = pending.take();
                    }
                    ledger = Ledger::take_over(
                        now, wall_ms, ("host-2", 1), stored.as_ref(), false, IDLE);
                }
                Step::Crash { .. } => {}
            }
            prop_assert!(used_tokens <= budget + TURN, "{used_tokens} of {budget}");
        }
    }
}
