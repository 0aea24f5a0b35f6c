//! First turns of programs that the stored record does not list.

use super::*;

/// Stores as many records as an owner needs before it grants first turns without a write.
fn ledger_with_first_turns(now: Instant) -> (Ledger, LedgerRecord) {
    let mut ledger = stable_ledger(now);
    let record = write(&mut ledger, now);
    assert!(record.first_turns);
    (ledger, record)
}

/// Guards against a write for each program that begins.
#[test]
fn first_turns_of_many_programs_need_no_write_and_share_the_next_one() {
    let (now, mut turns) = (Instant::now(), Turns::default());
    let (mut ledger, _) = ledger_with_first_turns(now);
    let names: Vec<String> = (0..50).map(|number| format!("program-{number}")).collect();
    for name in &names {
        let first = turns.charge(name, 5 * TURN);
        assert_eq!(ledger.charge(now, &first), ChargeOutcome::Granted { is_new: true });
    }
    let second = turns.charge(&names[0], 5 * TURN);
    assert_eq!(ledger.charge(now, &second), ChargeOutcome::WriteRequired, "only one is covered");
    assert!(ledger.needs_write());
    write(&mut ledger, now);
    assert!(is_granted(&ledger.charge(now, &second)));
    for name in &names[1..] {
        assert!(is_granted(&ledger.charge(now, &turns.charge(name, 5 * TURN))));
    }
}

/// Guards against an owner that grants first turns for as long as it does not notice that it was
/// replaced: its successor counts them for a limited time.
#[test]
fn first_turn_waits_for_a_write_when_the_last_one_is_too_old() {
    let (now, mut turns) = (Instant::now(), Turns::default());
    let (mut ledger, _) = ledger_with_first_turns(now);
    let record = build(&mut ledger, now + FIRST_TURNS_VALIDITY / 2);
    // The time counts from the begin of the write.
    ledger.on_write_succeeded(now + FIRST_TURNS_VALIDITY, &record);
    let last = now + FIRST_TURNS_VALIDITY * 3 / 2 - Duration::from_millis(1);
    assert!(is_granted(&ledger.charge(last, &turns.charge("in time", 5 * TURN))));
    let late = last + Duration::from_millis(1);
    let charge = turns.charge("late", 5 * TURN);
    assert_eq!(ledger.charge(late, &charge), ChargeOutcome::WriteRequired);
    let failed = build(&mut ledger, late);
    ledger.on_write_failed(late, &failed, true);
    assert_eq!(ledger.charge(late, &charge), ChargeOutcome::WriteRequired);
}

/// Guards against first turns of several lost owners, which together exceed the budget by more than one
/// turn.
#[test]
fn budget_holds_when_owners_that_granted_first_turns_are_lost_in_series() {
    let (mut now, mut turns) = (Instant::now(), Turns::default());
    let budget = 4 * TURN;
    let (mut owner, mut record) = ledger_with_first_turns(now);
    let mut granted = turns.charge_all(&mut owner, now, budget);
    assert_eq!(granted, 1);
    for host in ["host-2@1", "host-3@1", "host-4@1"] {
        // The owner is lost before it writes the record again.
        owner = take_over(now, host, Some(&record));
        for _ in 0..=WRITES_BEFORE_RESERVATIONS {
            record = write(&mut owner, now);
        }
        assert!(!record.first_turns && record.lost_first_turns_for_ms > 0);
        let charged = turns.charge_all(&mut owner, now, budget);
        assert_eq!(charged, 0, "a former owner may have granted the first turn");
        now += Duration::from_secs(5);
    }
    granted += turns.charge_until_refused(&mut owner, now, budget).0;
    assert_eq!(granted, 5, "the budget and one turn");
    let later = now + IDLE + RETENTION_MARGIN;
    assert!(write(&mut owner, later).first_turns, "no program that began then can resume");
}

/// Guards against the loss of two owners that adds up although one of them has recorded the doubt.
#[test]
fn first_turn_that_may_be_lost_stays_counted_in_the_records_of_successors() {
    let (now, mut turns) = (Instant::now(), Turns::default());
    let budget = 4 * TURN;
    let (mut owner, record) = ledger_with_first_turns(now);
    let mut granted = turns.charge_all(&mut owner, now, budget);
    let mut owner = take_over(now, "host-2@1", Some(&record));
    owner.charge(now, &turns.charge("p", budget));
    for _ in 0..=WRITES_BEFORE_RESERVATIONS {
        write(&mut owner, now);
    }
    let record = write(&mut owner, now);
    let text = serde_json::to_string(&record).expect("it has a JSON form");
    let record: LedgerRecord = serde_json::from_str(&text).expect("a record");
    assert!(record.accounts["p"].lost_first_turn);
    granted += turns.charge_all(&mut owner, now, budget);
    let mut owner = take_over(now, "host-3@1", Some(&record));
    granted += turns.charge_until_refused(&mut owner, now, budget).0;
    assert!(granted <= 5, "{granted} turns were granted");
}

#[test]
fn released_ledger_leaves_no_first_turns_to_count() {
    let (now, mut turns) = (Instant::now(), Turns::default());
    let (mut ledger, _) = ledger_with_first_turns(now);
    assert!(ledger.begin_release());
    let charge = turns.charge("p", 5 * TURN);
    assert_eq!(ledger.charge(now, &charge), ChargeOutcome::WriteRequired);
    let record = write(&mut ledger, now);
    assert!(!record.first_turns);
    let successor = take_over(now, "host-2@1", Some(&record));
    assert!(!successor.has_lost_first_turns(now));
}

/// A new epoch begins with records that let no first turns be granted.
#[test]
fn first_turns_of_a_new_epoch_wait_for_its_records() {
    let (now, mut turns) = (Instant::now(), Turns::default());
    let (mut ledger, _) = ledger_with_first_turns(now);
    assert!(ledger.renew(note_hosts()));
    let charge = turns.charge("p", 5 * TURN);
    assert_eq!(ledger.charge(now, &charge), ChargeOutcome::WriteRequired);
}
