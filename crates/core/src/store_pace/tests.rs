use {
    super::*,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::collections::BTreeSet,
};

/// Watches that end while one entry comes every 50 ms for `lasts`.
fn watches_during_a_start(mut gathering: Gathering, lasts: Duration) -> usize {
    let start = Instant::now();
    let (mut now, mut watches) = (start, 0);
    while now < start + lasts {
        watches += 1;
        now += gathering.after_changes(now) + Duration::from_millis(50);
    }
    watches
}

#[test]
fn start_of_a_large_site_ends_few_watches() {
    let lasts = Duration::from_secs(8);
    assert!(watches_during_a_start(Gathering::of_upstreams(), lasts) <= 12);
    assert!(watches_during_a_start(Gathering::of_hosts(), lasts) <= 4);
}

#[test]
fn single_change_after_a_quiet_time_is_followed_at_the_shortest_pause() {
    let start = Instant::now();
    let mut gathering = Gathering::of_upstreams();
    for second in [0, 10, 20, 30] {
        let pause = gathering.after_changes(start + Duration::from_secs(second));
        assert_eq!(pause, UPSTREAMS_GATHERED_MIN);
    }
}

#[test]
fn leaving_upstream_is_known_in_time_however_many_changes_come() {
    let mut gathering = Gathering::of_upstreams();
    let mut now = Instant::now();
    for _ in 0..100 {
        let pause = gathering.after_changes(now);
        assert!(pause <= Duration::from_secs(1), "half of the time that it has");
        now += pause;
    }
}

#[test]
fn configurations_are_never_held_up() {
    let mut gathering = Gathering::none();
    let now = Instant::now();
    assert_eq!(gathering.after_changes(now), Duration::ZERO);
    assert_eq!(gathering.after_changes(now), Duration::ZERO);
}

const SEED: u64 = 20_261_204;
/// What one host follows.
const COLLECTIONS: usize = 3;
/// How long the store takes for an answer.
const CALL: Duration = Duration::from_millis(4);
/// Time over which calls are counted.
const SECOND: Duration = Duration::from_secs(1);
/// Entries of upstreams come back within this time after an outage.
const RETURN: Duration = Duration::from_secs(2);

/// One collection that one host follows.
struct Follower {
    collection: usize,
    backoff: Backoff,
    gathering: Gathering,
    /// Whether its next call is a watch that waits, as the last one has succeeded.
    is_watching: bool,
}

/// Calls of all hosts by the time since the start.
fn calls(hosts: usize, outage: std::ops::Range<Duration>, end: Duration) -> Vec<Duration> {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut followers: Vec<Follower> = (0..hosts * COLLECTIONS)
        .map(|number| {
            let collection = number % COLLECTIONS;
            let gathering = match collection {
                0 => Gathering::none(),
                1 => Gathering::of_upstreams(),
                _ => Gathering::of_hosts(),
            };
            Follower { collection, backoff: Backoff::default(), gathering, is_watching: false }
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
            due.insert((at + CALL + follower.backoff.after_failure(rng.random()), number));
            continue;
        }
        follower.backoff = Backoff::default();
        if !std::mem::replace(&mut follower.is_watching, true) {
            // A list, or the short watch after a failure.
            due.insert((at + CALL, number));
            continue;
        }
        // Entries that come back, one each 50 ms, end the watches of upstreams and hosts.
        let returns = outage.end..outage.end + RETURN;
        let next = match follower.collection {
            0 => None,
            _ if returns.contains(&at) => {
                let ends = at + Duration::from_millis(50);
                Some(ends + follower.gathering.after_changes(start + ends))
            }
            _ => None,
        };
        // Watches that wait end with the outage's begin.
        let next = next.or((at < outage.start).then_some(outage.start));
        if let Some(next) = next {
            due.insert((next, number));
        }
    }
    calls
}

/// The most calls in a second of a time, per host.
fn peak(calls: &[Duration], time: std::ops::Range<Duration>, hosts: usize) -> f64 {
    let inside: Vec<Duration> = calls.iter().copied().filter(|at| time.contains(at)).collect();
    let in_second = |from: &Duration| {
        inside.iter().skip_while(|at| *at < from).take_while(|at| **at < *from + SECOND).count()
    };
    let most = inside.iter().step_by(inside.len() / 200 + 1).map(in_second).max();
    most.unwrap_or(0) as f64 / hosts as f64
}

#[test]
fn return_of_the_store_is_no_storm_at_any_size_and_after_any_outage() {
    let begins = Duration::from_secs(10);
    let mut peaks = Vec::new();
    for hosts in [9, 65, 350] {
        // An hour takes long to replay with many hosts; pauses stop to grow within seconds.
        let long_s = if hosts < 350 { 3600 } else { 600 };
        for lasts in [10, long_s] {
            let ends = begins + Duration::from_secs(lasts);
            let calls = calls(hosts, begins..ends, ends + Duration::from_secs(10));
            // Once pauses have grown, before that only the first calls are closer together.
            let steady = peak(&calls, ends - 5 * SECOND..ends, hosts);
            let after = peak(&calls, ends..ends + 10 * SECOND, hosts);
            assert!(after <= 2.0 * steady, "{hosts} hosts, {lasts} s: {after} after {steady}");
            assert!(after * hosts as f64 <= 6000.0, "what the store of a grown site takes");
            peaks.push(after);
        }
    }
    let (least, most) = peaks
        .iter()
        .fold((f64::MAX, 0.0_f64), |(least, most), &peak| (least.min(peak), most.max(peak)));
    assert!(most <= 1.3 * least, "a host makes {least} to {most} calls, whatever the size");
}

#[test]
fn all_hosts_that_start_at_once_need_two_calls_a_collection() {
    for hosts in [9, 65, 350] {
        let never = Duration::from_secs(60)..Duration::from_secs(60);
        let calls = calls(hosts, never, Duration::from_secs(5));
        assert_eq!(calls.len(), 2 * COLLECTIONS * hosts);
    }
}
