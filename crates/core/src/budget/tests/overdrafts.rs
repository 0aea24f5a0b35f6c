//! Overdrafts that owners lost in series may have granted.

use super::*;

const BUDGET: TokenCount = 10 * TURN;

/// Takes a ledger over from owners that are lost one after the other, each after an overdraft that its
/// record lacks. Returns the last record.
fn lose_owners(now: Instant, count: usize) -> LedgerRecord {
    let mut record = LedgerRecord::default();
    for number in 0..count {
        let mut owner = take_over_with(now, &format!("host-{number}@1"), Some(&record), true);
        record = write(&mut owner, now);
    }
    record
}

/// Lets the store be away for an owner, with outage notes at all note hosts. Returns the time.
fn begin_outage(owner: &mut Ledger, now: Instant) -> Instant {
    let failed = build(owner, now);
    owner.on_write_failed(now, &failed, false);
    let position = owner.propose_outage_position().expect("there are note hosts");
    assert!(owner.on_outage_noted(position, &note_hosts()));
    now + STORE_UNAVAILABLE_AFTER
}

/// Guards against losses in series that refuse the turns of all programs: each owner counted another half
/// of every budget, for 70 s.
#[test]
fn overdrafts_of_owners_lost_in_series_weigh_once() {
    let (now, mut turns) = (Instant::now(), Turns::default());
    for losses in 1..5 {
        let record = lose_owners(now, losses);
        assert_eq!(record.lost_overdrafts, 1, "{losses} losses");
        let mut owner = take_over_with(now, "last@1", Some(&record), false);
        let refused = (6, ChargeOutcome::PossiblySpent);
        assert_eq!(turns.charge_until_refused(&mut owner, now, BUDGET), refused, "{losses} losses");
    }
}

/// What makes it enough to count one: the overdraft of the first owner is not granted again.
#[test]
fn overdraft_is_not_granted_where_a_former_owner_may_have_granted_one() {
    let (now, mut turns) = (Instant::now(), Turns::default());
    for (losses, granted) in [(0, 5), (1, 0), (2, 0)] {
        let record = lose_owners(now, losses);
        let mut owner = take_over_with(now, "last@1", Some(&record), false);
        write(&mut owner, now);
        let in_outage = begin_outage(&mut owner, now);
        assert_eq!(turns.charge_all(&mut owner, in_outage, BUDGET), granted, "{losses} losses");
    }
}

/// The account of a program in the record carries the overdraft, also when the time for programs without
/// an account is over.
#[test]
fn overdraft_is_not_granted_again_to_a_program_in_the_record() {
    let (now, mut turns) = (Instant::now(), Turns::default());
    let mut first = new_ledger(now);
    write(&mut first, now);
    turns.charge_until_refused(&mut first, now, 2 * TURN);
    let record = write(&mut first, now);
    let mut second = take_over_with(now, "host-2@1", Some(&record), true);
    let record = write(&mut second, now);
    assert_eq!(record.accounts["p"].lost_overdrafts, 1);
    let mut third = take_over_with(now, "host-3@1", Some(&record), true);
    let record = write(&mut third, now);
    assert_eq!(record.accounts["p"].lost_overdrafts, 1);
    let in_outage = begin_outage(&mut third, now);
    assert_eq!(turns.charge_all(&mut third, in_outage, BUDGET), 0);
}

/// Owners of builds before the field granted one overdraft each.
#[test]
fn overdrafts_of_former_builds_add_up() {
    let now = Instant::now();
    let record = LedgerRecord { grants_overdraft_once: false, ..lose_owners(now, 1) };
    let mut owner = take_over_with(now, "last@1", Some(&record), true);
    assert_eq!(write(&mut owner, now).lost_overdrafts, 2);
}
