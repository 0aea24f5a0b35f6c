use super::*;

fn record(incarnation: Incarnation) -> HostRecord {
    HostRecord {
        address: ([127, 0, 0, 1], 7000).into(),
        domain: "a".into(),
        incarnation,
        serves_callers: true,
        has_joined: true,
    }
}

/// This host's part of an allowance that all hosts hold.
fn part(roster: &Roster, now: Instant) -> f64 {
    let holders = roster.holders(now);
    holders.trusted() / holders.hosts() as f64
}

fn listed(roster: &mut Roster, has_joined: bool) {
    roster.upsert(&"me".into(), HostRecord { has_joined, ..record(1) });
}

fn roster(now: Instant, others: &[&str]) -> Roster {
    let mut roster = Roster::new(now, "me".into(), true);
    for other in others {
        roster.upsert(&HostId::from(*other), record(1));
    }
    roster
}

#[test]
fn new_host_has_no_part_until_all_others_know_of_it() {
    let now = Instant::now();
    let mut roster = roster(now, &["one", "two"]);
    assert!(!roster.join(now), "not listed yet");
    listed(&mut roster, false);
    assert_eq!(roster.to_greet().len(), 2);
    roster.greeted(&"one".into());
    assert!(!roster.join(now));
    assert_eq!(part(&roster, now), 0.0);
    roster.greeted(&"two".into());
    assert!(roster.join(now));
    assert!((part(&roster, now) - 1.0 / 3.0).abs() < 1e-9);
}

#[test]
fn host_that_can_not_be_reached_is_waited_for_as_long_as_it_trusts_its_view() {
    let now = Instant::now();
    let mut roster = roster(now, &["cut-off"]);
    listed(&mut roster, false);
    assert!(!roster.join(now + VIEW_TRUSTED));
    assert!(roster.join(now + JOIN_WAIT_MAX));
    assert!(JOIN_WAIT_MAX > VIEW_TRUSTED);
}

#[test]
fn view_without_word_from_the_store_leaves_room_for_new_hosts() {
    let now = Instant::now();
    let mut cut_off = roster(now, &["one"]);
    listed(&mut cut_off, true);
    assert_eq!(part(&cut_off, now), 0.5);
    assert_eq!(part(&cut_off, now + VIEW_TRUSTED), 0.25);
    cut_off.heard_from_store(now + VIEW_TRUSTED);
    assert_eq!(part(&cut_off, now + VIEW_TRUSTED), 0.5);
}

#[test]
fn restarted_host_has_its_part_at_once() {
    let now = Instant::now();
    let mut roster = roster(now, &["one"]);
    listed(&mut roster, true);
    assert!(roster.to_greet().is_empty());
    assert_eq!(part(&roster, now), 0.5);
}

#[test]
fn hosts_without_callers_have_no_part() {
    let now = Instant::now();
    let mut mine = roster(now, &["one"]);
    mine.upsert(&"ledger".into(), HostRecord { serves_callers: false, ..record(1) });
    listed(&mut mine, true);
    assert_eq!(part(&mine, now), 0.5);
    assert_eq!(mine.lenders().count(), 1);
    assert_eq!(mine.others().count(), 2);
    let mut ledger = Roster::new(now, "ledger".into(), false);
    ledger.upsert(&"ledger".into(), record(1));
    assert_eq!(part(&ledger, now), 0.0);
}

#[test]
fn record_of_an_earlier_life_changes_nothing() {
    let now = Instant::now();
    let mut roster = roster(now, &[]);
    assert!(roster.upsert(&"one".into(), record(5)));
    assert!(!roster.upsert(&"one".into(), record(4)));
    assert_eq!(roster.others().next().map(|(_, record)| record.incarnation), Some(5));
    assert!(!roster.upsert(&"me".into(), record(9)));
    roster.remove("one");
    assert_eq!(roster.others().count(), 0);
}
