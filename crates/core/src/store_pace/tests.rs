use {
    super::*,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::collections::BTreeSet,
};

/// Counts the watches that return while one entry is added every 50 ms for `duration`.
fn count_watches_during_start(mut watch_delay: WatchDelay, duration: Duration) -> usize {
    let start = Instant::now();
    let (mut now, mut watches) = (start, 0);
    while now < start + duration {
        watches += 1;
        now += watch_delay.after_changes(now) + Duration::from_millis(50);
    }
    watches
}

#[test]
fn start_of_a_large_site_ends_few_watches() {
    let duration = Duration::from_secs(8);
    assert!(count_watches_during_start(WatchDelay::for_upstreams(), duration) <= 12);
    assert!(count_watches_during_start(WatchDelay::for_hosts(), duration) <= 4);
}

#[test]
fn single_change_after_a_quiet_period_uses_the_shortest_delay() {
    let start = Instant::now();
    let mut watch_delay = WatchDelay::for_upstreams();
    for second in [0, 10, 20, 30] {
        let pause = watch_delay.after_changes(start + Duration::from_secs(second));
        assert_eq!(pause, UPSTREAM_CHANGES_DELAY_MIN);
    }
}

#[test]
fn leaving_upstream_is_seen_in_time_during_many_changes() {
    let mut watch_delay = WatchDelay::for_upstreams();
    let mut now = Instant::now();
    for _ in 0..100 {
        let pause = watch_delay.after_changes(now);
        assert!(pause <= Duration::from_secs(1), "half of the time within which work must stop");
        now += pause;
    }
}

#[test]
fn configuration_changes_are_never_delayed() {
    let mut watch_delay = WatchDelay::none();
    let now = Instant::now();
    assert_eq!(watch_delay.after_changes(now), Duration::ZERO);
    assert_eq!(watch_delay.after_changes(now), Duration::ZERO);
}

const SEED: u64 = 20_261_204;
/// Number of collections that one host watches.
const COLLECTIONS: usize = 3;
/// Response time of the store.
const CALL_LATENCY: Duration = Duration::from_millis(4);
/// Window in which calls are counted.
const SECOND: Duration = Duration::from_secs(1);
/// Upstreams register again within this time after an outage.
const REREGISTRATION: Duration = Duration::from_secs(2);

/// One collection watched by one host.
struct Follower {
    collection: usize,
    backoff: Backoff,
    watch_delay: WatchDelay,
    /// Whether the next call is a waiting watch, because the last call succeeded.
    is_watching: bool,
}

/// Returns the calls of all hosts, as times since the start.
fn calls(hosts: usize, outage: std::ops::Range<Duration>, end: Duration) -> Vec<Duration> {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut followers: Vec<Follower> = (0..hosts * COLLECTIONS)
        .map(|number| {
            let collection = number % COLLECTIONS;
            let watch_delay = match collection {
                0 => WatchDelay::none(),
                1 => WatchDelay::for_upstreams(),
                _ => WatchDelay::for_hosts(),
            };
            Follower { collection, backoff: Backoff::default(), watch_delay, is_watching: false }
        })
        .collect();
    let mut due: BTreeSet<(Duration, usize)> =
        (0..followers.len()).map(|number| (Duration::ZERO, number)).collect();
    let mut calls = Vec::new();
    while let Some((at, number)) = due.pop_first()
        && at < end
    {
        calls.push(at);
        let follower = &mut followers[number];
        if outage.contains(&at) {
            follower.is_watching = false;
            due.insert((at + CALL_LATENCY + follower.backoff.after_failure(rng.random()), number));
            continue;
        }
        follower.backoff = Backoff::default();
        if !std::mem::replace(&mut follower.is_watching, true) {
            // A list call, or the short watch after a failure.
            due.insert((at + CALL_LATENCY, number));
            continue;
        }
        // Returning entries, one every 50 ms, end the watches of upstreams and hosts.
        let returns = outage.end..outage.end + REREGISTRATION;
        let next = match follower.collection {
            0 => None,
            _ if returns.contains(&at) => {
                let ends = at + Duration::from_millis(50);
                Some(ends + follower.watch_delay.after_changes(start + ends))
            }
            _ => None,
        };
        // Waiting watches end when the outage starts.
        let next = next.or((at < outage.start).then_some(outage.start));
        if let Some(next) = next {
            due.insert((next, number));
        }
    }
    calls
}

/// Returns the maximum number of calls per host in any second of `time`.
fn peak(calls: &[Duration], time: std::ops::Range<Duration>, hosts: usize) -> f64 {
    let inside: Vec<Duration> = calls.iter().copied().filter(|at| time.contains(at)).collect();
    let in_second = |from: &Duration| {
        inside.iter().skip_while(|at| *at < from).take_while(|at| **at < *from + SECOND).count()
    };
    let most = inside.iter().step_by(inside.len() / 200 + 1).map(in_second).max();
    most.unwrap_or(0) as f64 / hosts as f64
}

#[test]
fn store_recovery_causes_no_request_storm_at_any_size() {
    let begins = Duration::from_secs(10);
    let mut peaks = Vec::new();
    for hosts in [9, 65, 350] {
        // Replaying an hour with many hosts is slow, and pauses reach their maximum within seconds.
        let long_s = if hosts < 350 { 3600 } else { 600 };
        for duration in [10, long_s] {
            let ends = begins + Duration::from_secs(duration);
            let calls = calls(hosts, begins..ends, ends + Duration::from_secs(10));
            // Measures after pauses have grown: before that, only the first calls are closer
            // together.
            let steady = peak(&calls, ends - 5 * SECOND..ends, hosts);
            let after = peak(&calls, ends..ends + 10 * SECOND, hosts);
            assert!(after <= 2.0 * steady, "{hosts} hosts, {duration} s: {after} after {steady}");
            assert!(after * hosts as f64 <= 6000.0, "the limit of the store of a large site");
            peaks.push(after);
        }
    }
    let (least, most) = peaks
        .iter()
        .fold((f64::MAX, 0.0_f64), |(least, most), &peak| (least.min(peak), most.max(peak)));
    assert!(most <= 1.3 * least, "each host makes {least} to {most} calls, regardless of size");
}

#[test]
fn simultaneous_start_needs_two_calls_per_collection() {
    for hosts in [9, 65, 350] {
        let never = Duration::from_secs(60)..Duration::from_secs(60);
        let calls = calls(hosts, never, Duration::from_secs(5));
        assert_eq!(calls.len(), 2 * COLLECTIONS * hosts);
    }
}
