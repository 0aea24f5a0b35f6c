use super::*;

fn upstream(number: u16) -> SocketAddr {
    ([10, 0, 0, 1], 9000 + number).into()
}

#[test]
fn host_is_stranded_after_connections_to_several_upstreams_failed_and_none_succeeded() {
    let now = Instant::now();
    let mut reach = UpstreamReach::default();
    for _ in 0..10 {
        assert!(!reach.record_failed(now, upstream(1), 12), "one upstream has crashed");
    }
    assert!(!reach.record_failed(now, upstream(2), 12));
    assert_eq!(reach.record_connected(now), None);
    assert!(!reach.record_failed(now, upstream(3), 12), "another upstream is in reach");
    assert!(!reach.record_failed(now, upstream(1), 12));
    assert!(reach.record_failed(now, upstream(2), 12));
    assert!(!reach.record_failed(now, upstream(4), 12), "it was stranded before");
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
        assert!(!reach.record_failed(now, upstream(number), 12));
        now += FAILURE_WINDOW / 2;
    }
}

#[test]
fn few_upstreams_must_all_fail() {
    let now = Instant::now();
    let mut reach = UpstreamReach::default();
    assert!(!reach.record_failed(now, upstream(1), 2));
    assert!(reach.record_failed(now, upstream(2), 2));
}
