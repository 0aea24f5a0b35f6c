use super::*;

/// Watches that end while one entry comes every 50 ms for `lasts`.
fn watches_during_a_start(collection: Collection, lasts: Duration) -> usize {
    let start = Instant::now();
    let (mut gathering, mut now, mut watches) = (Gathering::new(collection), start, 0);
    while now < start + lasts {
        watches += 1;
        now += gathering.after_changes(now) + Duration::from_millis(50);
    }
    watches
}

#[test]
fn start_of_a_large_site_ends_few_watches() {
    let lasts = Duration::from_secs(8);
    assert!(watches_during_a_start(Collection::Upstreams, lasts) <= 12);
    assert!(watches_during_a_start(Collection::Hosts, lasts) <= 4);
}

#[test]
fn single_change_after_a_quiet_time_is_followed_at_the_shortest_pause() {
    let start = Instant::now();
    let mut gathering = Gathering::new(Collection::Upstreams);
    for second in [0, 10, 20, 30] {
        let pause = gathering.after_changes(start + Duration::from_secs(second));
        assert_eq!(pause, UPSTREAMS_GATHERED_MIN);
    }
}

#[test]
fn leaving_upstream_is_known_in_time_however_many_changes_come() {
    let mut gathering = Gathering::new(Collection::Upstreams);
    let mut now = Instant::now();
    for _ in 0..100 {
        let pause = gathering.after_changes(now);
        assert!(pause <= Duration::from_secs(1), "half of the time that it has");
        now += pause;
    }
}

#[test]
fn configurations_are_never_held_up() {
    let mut gathering = Gathering::new(Collection::Configuration);
    let now = Instant::now();
    assert_eq!(gathering.after_changes(now), Duration::ZERO);
    assert_eq!(gathering.after_changes(now), Duration::ZERO);
}
