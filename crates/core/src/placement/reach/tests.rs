use super::*;

fn upstream(number: u16) -> SocketAddr {
    ([10, 0, 0, 1], 9000 + number).into()
}

#[test]
fn host_is_stranded_after_connections_to_several_upstreams_failed_and_none_succeeded() {
    let now = Instant::now();
    let mut reach = UpstreamReach::default();
    for _ in 0..10 {
        assert_eq!(reach.record_failed(now, upstream(1), 12), ReachChange::None);
    }
    assert_eq!(reach.record_failed(now, upstream(2), 12), ReachChange::None);
    assert_eq!(reach.record_failed(now, upstream(3), 12), ReachChange::Suspect);
    assert!(reach.has_failed(upstream(3)) && !reach.has_failed(upstream(4)));
    assert_eq!(reach.record_connected(now), None, "the three have crashed");
    for number in 1..=5 {
        assert_ne!(reach.record_failed(now, upstream(number), 12), ReachChange::Stranded);
    }
    assert_eq!(reach.record_failed(now, upstream(6), 12), ReachChange::Stranded);
    assert_eq!(reach.record_failed(now, upstream(7), 12), ReachChange::None, "it is known");
    let later = now + Duration::from_secs(7);
    assert_eq!(reach.stranded_since(), Some(now));
    assert_eq!(reach.record_connected(later), Some(Duration::from_secs(7)));
    assert_eq!(reach.stranded_since(), None);
}

#[test]
fn failures_that_are_far_apart_do_not_strand_a_host() {
    let mut now = Instant::now();
    let mut reach = UpstreamReach::default();
    for number in 0..20 {
        assert_eq!(reach.record_failed(now, upstream(number), 12), ReachChange::None);
        now += FAILURE_WINDOW / 2;
    }
}

#[test]
fn few_upstreams_must_all_fail() {
    let now = Instant::now();
    let mut reach = UpstreamReach::default();
    assert_eq!(reach.record_failed(now, upstream(1), 2), ReachChange::None);
    assert_eq!(reach.record_failed(now, upstream(2), 2), ReachChange::Stranded);
    let mut reach = UpstreamReach::default();
    for number in 1..=3 {
        assert_ne!(reach.record_failed(now, upstream(number), 4), ReachChange::Stranded);
    }
    assert_eq!(reach.record_failed(now, upstream(4), 4), ReachChange::Stranded);
}
