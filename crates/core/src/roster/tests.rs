use super::*;

fn record(incarnation: Incarnation) -> HostRecord {
    HostRecord {
        address: ([127, 0, 0, 1], 7000).into(),
        domain: "a".into(),
        incarnation,
        serves_callers: true,
        has_joined: true,
        turn_store: None,
        away: None,
        shares_watches: false,
    }
}

#[test]
fn record_through_a_host_of_the_former_build_keeps_the_turn_store() {
    let mut roster = Roster::new(Instant::now(), "me".into(), true);
    let turn_store = Some(TurnStoreRecord { disk: 7, is_leaving: false });
    roster.upsert(&"one".into(), HostRecord { turn_store, ..record(1) });
    roster.upsert(&"one".into(), record(1));
    assert_eq!(roster.turn_stores().count(), 1);
    roster.upsert(&"one".into(), record(2));
    assert_eq!(roster.turn_stores().count(), 0, "it was started again with the former build");
}

#[test]
fn records_of_former_and_later_builds_are_read() {
    let former = r#"{"address":"10.1.0.11:7781","domain":"suva","incarnation":7,
                     "serves_callers":true,"has_joined":false}"#;
    let former: HostRecord = serde_json::from_str(former).expect("the former form");
    assert_eq!((former.turn_store, former.away), (None, None));
    let later = r#"{"address":"10.1.0.11:7781","domain":"suva","incarnation":7,
                    "serves_callers":true,"has_joined":false,"later":{"field":1},
                    "turn_store":{"disk":3,"is_leaving":true,"later":2}}"#;
    let later: HostRecord = serde_json::from_str(later).expect("a form with more fields");
    assert_eq!(later.turn_store, Some(TurnStoreRecord { disk: 3, is_leaving: true }));
}

/// Returns this host's fraction of an allowance that is split over all hosts.
fn share(roster: &Roster, now: Instant) -> f64 {
    let allowance_hosts = roster.allowance_hosts(now);
    allowance_hosts.usable_fraction() / allowance_hosts.host_count() as f64
}

fn add_own_record(roster: &mut Roster, has_joined: bool) {
    roster.upsert(&"me".into(), HostRecord { has_joined, ..record(1) });
}

fn roster(now: Instant, peers: &[&str]) -> Roster {
    let mut roster = Roster::new(now, "me".into(), true);
    for other in peers {
        roster.upsert(&HostId::from(*other), record(1));
    }
    roster
}

#[test]
fn new_host_has_no_share_until_all_peers_have_acknowledged_it() {
    let now = Instant::now();
    let mut roster = roster(now, &["one", "two"]);
    assert!(!roster.try_join(now), "not listed yet");
    add_own_record(&mut roster, false);
    assert_eq!(roster.unacknowledged_peers().len(), 2);
    roster.record_acknowledgement(&"one".into());
    assert!(!roster.try_join(now));
    assert_eq!(share(&roster, now), 0.0);
    roster.record_acknowledgement(&"two".into());
    assert!(roster.try_join(now));
    assert!((share(&roster, now) - 1.0 / 3.0).abs() < 1e-9);
}

#[test]
fn unreachable_peer_delays_joining_while_its_view_is_valid() {
    let now = Instant::now();
    let mut roster = roster(now, &["cut-off"]);
    add_own_record(&mut roster, false);
    assert!(!roster.try_join(now + VIEW_VALIDITY));
    assert!(roster.try_join(now + JOIN_WAIT_MAX));
    assert!(JOIN_WAIT_MAX > VIEW_VALIDITY);
}

#[test]
fn stale_view_halves_the_share() {
    let now = Instant::now();
    let mut cut_off = roster(now, &["one"]);
    add_own_record(&mut cut_off, true);
    assert_eq!(share(&cut_off, now), 0.5);
    assert_eq!(share(&cut_off, now + VIEW_VALIDITY), 0.25);
    cut_off.record_store_contact(now + VIEW_VALIDITY);
    assert_eq!(share(&cut_off, now + VIEW_VALIDITY), 0.5);
}

#[test]
fn restarted_host_has_its_share_immediately() {
    let now = Instant::now();
    let mut roster = roster(now, &["one"]);
    add_own_record(&mut roster, true);
    assert!(roster.unacknowledged_peers().is_empty());
    assert_eq!(share(&roster, now), 0.5);
}

#[test]
fn hosts_that_serve_no_callers_have_no_share() {
    let now = Instant::now();
    let mut caller_host = roster(now, &["one"]);
    caller_host.upsert(&"ledger".into(), HostRecord { serves_callers: false, ..record(1) });
    add_own_record(&mut caller_host, true);
    assert_eq!(share(&caller_host, now), 0.5);
    assert_eq!(caller_host.lenders().count(), 1);
    assert_eq!(caller_host.peers().count(), 2);
    let mut ledger = Roster::new(now, "ledger".into(), false);
    ledger.upsert(&"ledger".into(), record(1));
    assert_eq!(share(&ledger, now), 0.0);
}

#[test]
fn record_of_an_earlier_incarnation_is_ignored() {
    let now = Instant::now();
    let mut roster = roster(now, &[]);
    assert!(roster.upsert(&"one".into(), record(5)));
    assert!(!roster.upsert(&"one".into(), record(4)));
    assert_eq!(roster.peers().next().map(|(_, record)| record.incarnation), Some(5));
    assert!(!roster.upsert(&"me".into(), record(9)));
    roster.remove("one");
    assert_eq!(roster.peers().count(), 0);
}
