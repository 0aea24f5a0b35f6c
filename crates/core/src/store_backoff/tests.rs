use {
    super::*,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::collections::BTreeSet,
};

/// Counts the watches that return within `duration`, if one registration is added every 50 ms.
fn count_returned_watches(mut watch_delay: WatchDelay, duration: Duration) -> usize {
    let start = Instant::now();
    let (mut now, mut watches) = (start, 0);
    while now < start + duration {
        watches += 1;
        now += watch_delay.after_changes(now) + Duration::from_millis(50);
    }
    watches
}

#[test]
fn watches_are_batched_while_many_entries_register() {
    let duration = Duration::from_secs(8);
    assert!(count_returned_watches(WatchDelay::for_upstreams(), duration) <= 12);
    assert!(count_returned_watches(WatchDelay::for_hosts(), duration) <= 4);
}

#[test]
fn single_change_after_a_period_without_changes_uses_the_shortest_delay() {
    let start = Instant::now();
    let mut watch_delay = WatchDelay::for_upstreams();
    for second in [0, 10, 20, 30] {
        let delay = watch_delay.after_changes(start + Duration::from_secs(second));
        assert_eq!(delay, UPSTREAM_CHANGES_DELAY_MIN);
    }
}

#[test]
fn delay_stays_below_one_second_under_continuous_changes() {
    let mut watch_delay = WatchDelay::for_upstreams();
    let mut now = Instant::now();
    for _ in 0..100 {
        let delay = watch_delay.after_changes(now);
        assert!(
            delay <= Duration::from_secs(1),
            "the delay leaves half of the 2 s within which work must stop"
        );
        now += delay;
    }
}

#[test]
fn disabled_delay_is_always_zero() {
    let mut watch_delay = WatchDelay::disabled();
    let now = Instant::now();
    assert_eq!(watch_delay.after_changes(now), Duration::ZERO);
    assert_eq!(watch_delay.after_changes(now), Duration::ZERO);
}

const SEED: u64 = 20_261_204;
/// Number of collections that one host watches: 0 is the configuration, 1 the upstreams, 2 the
/// hosts.
const COLLECTIONS: usize = 3;
/// Response time of the store.
const CALL_LATENCY: Duration = Duration::from_millis(4);
/// Window in which the call rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Upstreams register again within this time after an outage.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);

/// The watch of one collection by one host.
struct Watcher {
    collection: usize,
    backoff: Backoff,
    watch_delay: WatchDelay,
    /// Whether the next call is a long poll, because the last call succeeded.
    is_watching: bool,
}

/// Simulates all hosts and returns the times of their calls since the start.
fn simulate_calls(hosts: usize, outage: std::ops::Range<Duration>, end: Duration) -> Vec<Duration> {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut watchers: Vec<Watcher> = (0..hosts * COLLECTIONS)
        .map(|number| {
            let collection = number % COLLECTIONS;
            let watch_delay = match collection {
                0 => WatchDelay::disabled(),
                1 => WatchDelay::for_upstreams(),
                _ => WatchDelay::for_hosts(),
            };
            Watcher { collection, backoff: Backoff::default(), watch_delay, is_watching: false }
        })
        .collect();
    let mut due: BTreeSet<(Duration, usize)> =
        (0..watchers.len()).map(|number| (Duration::ZERO, number)).collect();
    let mut calls = Vec::new();
    while let Some((at, number)) = due.pop_first()
        && at < end
    {
        calls.push(at);
        let watcher = &mut watchers[number];
        if outage.contains(&at) {
            watcher.is_watching = false;
            due.insert((at + CALL_LATENCY + watcher.backoff.after_failure(rng.random()), number));
            continue;
        }
        watcher.backoff = Backoff::default();
        if !std::mem::replace(&mut watcher.is_watching, true) {
            // This call is a list, or the watch with a short timeout that follows a failure.
            due.insert((at + CALL_LATENCY, number));
            continue;
        }
        // Upstreams and hosts that register again, one every 50 ms, complete the watches.
        let reregistration = outage.end..outage.end + REREGISTRATION_TIME;
        let next = match watcher.collection {
            0 => None,
            _ if reregistration.contains(&at) => {
                let returns_at = at + Duration::from_millis(50);
                Some(returns_at + watcher.watch_delay.after_changes(start + returns_at))
            }
            _ => None,
        };
        // Pending watches end when the outage starts.
        let next = next.or((at < outage.start).then_some(outage.start));
        if let Some(next) = next {
            due.insert((next, number));
        }
    }
    calls
}

/// Returns the maximum calls per second and host within `range`, over up to about 200 windows that
/// start at a call.
fn peak(calls: &[Duration], range: std::ops::Range<Duration>, hosts: usize) -> f64 {
    let inside: Vec<Duration> = calls.iter().copied().filter(|at| range.contains(at)).collect();
    let in_second = |from: &Duration| {
        inside
            .iter()
            .skip_while(|at| *at < from)
            .take_while(|at| **at < *from + RATE_WINDOW)
            .count()
    };
    let highest = inside.iter().step_by(inside.len() / 200 + 1).map(in_second).max();
    highest.unwrap_or(0) as f64 / hosts as f64
}

#[test]
fn store_recovery_causes_no_request_storm_at_any_size() {
    let begins = Duration::from_secs(10);
    let mut peaks = Vec::new();
    for hosts in [9, 65, 350] {
        // Simulating an hour with many hosts is slow, and delays reach their maximum within
        // seconds.
        let long_s = if hosts < 350 { 3600 } else { 600 };
        for duration in [10, long_s] {
            let ends = begins + Duration::from_secs(duration);
            let calls = simulate_calls(hosts, begins..ends, ends + Duration::from_secs(10));
            // Measured once all delays have reached their maximum. Before that, only the first
            // calls are closer together.
            let steady = peak(&calls, ends - 5 * RATE_WINDOW..ends, hosts);
            let after = peak(&calls, ends..ends + 10 * RATE_WINDOW, hosts);
            assert!(after <= 2.0 * steady, "{hosts} hosts, {duration} s: {after} after {steady}");
            assert!(
                after * hosts as f64 <= 6000.0,
                "6000 calls per second, the limit of a large site's store"
            );
            peaks.push(after);
        }
    }
    let (lowest, highest) = peaks.iter().fold((f64::MAX, 0.0_f64), |(lowest, highest), &peak| {
        (lowest.min(peak), highest.max(peak))
    });
    assert!(
        highest <= 1.3 * lowest,
        "peak calls per host and second depend on the size: {lowest} to {highest}"
    );
}

#[test]
fn simultaneous_start_needs_two_calls_per_host_and_collection() {
    for hosts in [9, 65, 350] {
        let never = Duration::from_secs(60)..Duration::from_secs(60);
        let calls = simulate_calls(hosts, never, Duration::from_secs(5));
        assert_eq!(calls.len(), 2 * COLLECTIONS * hosts);
    }
}
