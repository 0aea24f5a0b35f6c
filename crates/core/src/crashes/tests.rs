use {
    super::*,
    proptest::prelude::*,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
};

const CULPRIT: ContentHash = 1;
/// Time that an upstream needs to start a request and crash.
const WORK: Duration = Duration::from_millis(2);
const NONE: [ContentHash; 0] = [];

/// A log with a virtual clock.
struct Harness {
    log: CrashLog,
    start: Instant,
    now_ms: u64,
    upstream_count: usize,
    next_upstream: u64,
}

impl Harness {
    fn new() -> Self {
        let log = CrashLog::default();
        Self { log, start: Instant::now(), now_ms: 0, upstream_count: 6, next_upstream: 0 }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn advance(&mut self, time: Duration) {
        self.now_ms += time.as_millis() as u64;
    }

    /// Lets a new upstream crash that runs these contents, each sent `WORK` ago. Returns the newly
    /// blamed ones.
    fn crash(&mut self, contents: &[ContentHash]) -> Vec<ContentHash> {
        self.crash_after(WORK, contents)
    }

    fn crash_after(&mut self, in_flight: Duration, contents: &[ContentHash]) -> Vec<ContentHash> {
        let now = self.now();
        let attempts = contents
            .iter()
            .map(|&content| CrashedAttempt { content, sent_at: now - in_flight, broke_at: now })
            .collect();
        self.report(attempts)
    }

    fn report(&mut self, attempts: Vec<CrashedAttempt>) -> Vec<ContentHash> {
        self.next_upstream += 1;
        let crash = UpstreamCrash {
            service: "work".into(),
            upstream: format!("w-{}", self.next_upstream).as_str().into(),
            upstream_count: self.upstream_count,
            attempts,
        };
        let now = self.now();
        self.log.record(now, &crash);
        let contents = crash.attempts.iter().map(|attempt| attempt.content);
        contents.filter(|&content| self.log.judge(now, content)).collect()
    }

    fn is_blamed(&self, content: ContentHash) -> bool {
        self.log.blamed_for(self.now(), content).is_some()
    }
}

#[test]
fn third_crash_in_sequence_is_blamed_until_it_ages_out() {
    let mut harness = Harness::new();
    for crash in 1..=3 {
        harness.advance(Duration::from_millis(200));
        let newly_blamed = harness.crash(&[CULPRIT]);
        assert_eq!(!newly_blamed.is_empty(), crash == 3, "after crash {crash}");
    }
    assert_eq!(harness.log.blamed_for(harness.now(), CULPRIT), Some(BLAME_DURATION));
    harness.advance(BLAME_DURATION - Duration::from_millis(1));
    assert!(harness.is_blamed(CULPRIT));
    harness.advance(Duration::from_millis(1));
    assert!(!harness.is_blamed(CULPRIT));
    harness.log.expire(harness.now());
    assert!(harness.log.is_empty());
}

/// Guards against content that runs on because slow hosts have it in flight for most of the time: the
/// times of a run of `path::crashes` beside a load of 28 on 7 cores, in which a seventh upstream crashed.
#[test]
fn sixth_crash_in_sequence_is_blamed_although_the_content_was_long_in_flight() {
    let mut harness = Harness::new();
    let crashes = [(2137, 15), (2147, 3), (2278, 24), (2296, 6), (2588, 140), (2807, 113)];
    for (index, (broke_ms, in_flight_ms)) in crashes.into_iter().enumerate() {
        harness.now_ms = broke_ms;
        let blamed = harness.crash_after(Duration::from_millis(in_flight_ms), &[CULPRIT]);
        assert_eq!(!blamed.is_empty(), index == 5, "after crash {}", index + 1);
    }
}

/// Guards against the blame of content that is sent to the only upstream of a service, which crashes
/// again and again, and of content beside whose crashes there are others.
#[test]
fn content_at_an_upstream_that_crashes_without_it_as_well_is_not_blamed_for_a_long_time_in_flight()
{
    for (upstream_count, has_others) in [(1, false), (2, false), (6, true)] {
        let mut harness = Harness { upstream_count, ..Harness::new() };
        for _ in 0..8 {
            harness.advance(Duration::from_millis(150));
            assert_eq!(harness.crash_after(Duration::from_millis(140), &[CULPRIT]), NONE);
            if has_others {
                harness.crash(&[]);
                harness.crash(&[7]);
                harness.log.clear(7);
            }
        }
    }
}

#[test]
fn evidence_ages_out() {
    let mut harness = Harness::new();
    for _ in 0..10 {
        assert_eq!(harness.crash(&[CULPRIT]), NONE);
        harness.advance(EVIDENCE_TTL / 2);
    }
}

#[test]
fn complete_answer_clears_the_content() {
    let mut harness = Harness::new();
    for _ in 0..5 {
        for _ in 0..2 {
            harness.advance(Duration::from_millis(200));
            assert_eq!(harness.crash(&[CULPRIT]), NONE);
        }
        assert!(harness.log.clear(CULPRIT));
        assert!(!harness.log.clear(CULPRIT));
    }
}

#[test]
fn complete_answer_of_an_attempt_in_flight_ends_the_blame() {
    let mut harness = Harness::new();
    for _ in 0..3 {
        harness.advance(Duration::from_millis(200));
        harness.crash(&[CULPRIT]);
    }
    assert!(harness.is_blamed(CULPRIT));
    assert!(harness.log.clear(CULPRIT));
    assert!(!harness.is_blamed(CULPRIT));
}

#[test]
fn upstreams_that_crash_together_count_once() {
    let mut harness = Harness::new();
    for _ in 0..2 {
        harness.advance(Duration::from_secs(1));
        for _ in 0..6 {
            assert_eq!(harness.crash_after(Duration::from_millis(20), &[7, 8, 9]), NONE);
            harness.advance(Duration::from_millis(2));
        }
    }
    assert_eq!(harness.log.crash_count(7), 2);
}

#[test]
fn reports_of_several_hosts_are_one_crash_in_any_order() {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let report = |upstream: &str, content, sent_ms, broke_ms| UpstreamCrash {
        service: "work".into(),
        upstream: upstream.into(),
        upstream_count: 6,
        attempts: vec![CrashedAttempt {
            content,
            sent_at: start + ms(sent_ms),
            broke_at: start + ms(broke_ms),
        }],
    };
    let mut log = CrashLog::default();
    log.record(start + ms(500), &report("w-3", CULPRIT, 428, 430));
    log.record(start + ms(510), &report("w-1", CULPRIT, 28, 30));
    log.record(start + ms(515), &report("w-1", 5, 10, 33));
    log.record(start + ms(520), &report("w-2", CULPRIT, 228, 230));
    assert_eq!((log.crash_count(CULPRIT), log.crash_count(5), log.crashes.len()), (3, 1, 3));
    assert!(log.judge(start + ms(520), CULPRIT));
    assert!(!log.judge(start + ms(520), 5));
}

#[test]
fn restarted_upstream_with_the_same_id_is_another_crash() {
    let mut harness = Harness::new();
    for _ in 0..3 {
        harness.advance(Duration::from_secs(2));
        harness.next_upstream = 0;
        harness.crash(&[CULPRIT]);
    }
    assert!(harness.is_blamed(CULPRIT));
}

#[test]
fn content_beside_the_culprit_is_not_blamed() {
    let mut harness = Harness::new();
    for _ in 0..3 {
        harness.advance(Duration::from_millis(200));
        // Either of the two may be the culprit.
        assert_eq!(harness.crash(&[CULPRIT, 5]), NONE);
    }
    harness.advance(Duration::from_millis(200));
    assert_eq!(harness.crash(&[CULPRIT]), [CULPRIT]);
    assert!(!harness.is_blamed(5));
}

#[test]
fn content_that_runs_alone_is_blamed_earlier() {
    for (in_flight, pause) in [(2, 1000), (2000, 1000), (2000, 0)] {
        let (in_flight, pause) = (Duration::from_millis(in_flight), Duration::from_millis(pause));
        let mut harness = Harness::new();
        for crash in 1..=2 {
            harness.advance(pause + in_flight);
            harness.crash_after(in_flight, &[CULPRIT]);
            let is_blamed = harness.log.judge_alone(harness.now(), CULPRIT);
            assert_eq!(is_blamed, crash == 2, "{in_flight:?}, {pause:?}, crash {crash}");
        }
    }
}

#[test]
fn slow_content_that_runs_alone_is_not_blamed_while_others_crash() {
    let mut harness = Harness::new();
    for other in 10..15 {
        harness.advance(Duration::from_millis(500));
        harness.crash(&[other]);
        harness.advance(Duration::from_secs(2));
        harness.crash_after(Duration::from_secs(2), &[CULPRIT]);
        assert!(!harness.log.judge_alone(harness.now(), CULPRIT));
    }
}

#[test]
fn two_culprits_are_both_blamed() {
    let mut harness = Harness::new();
    for _ in 0..3 {
        for culprit in [CULPRIT, 2] {
            harness.advance(Duration::from_millis(100));
            harness.crash(&[culprit, 100 + culprit]);
        }
    }
    harness.advance(Duration::from_millis(100));
    harness.crash(&[CULPRIT]);
    harness.advance(Duration::from_millis(100));
    harness.crash(&[2]);
    assert!(harness.is_blamed(CULPRIT) && harness.is_blamed(2));
    assert!(!harness.is_blamed(101) && !harness.is_blamed(102));
}

#[test]
fn two_culprits_that_always_run_together_are_blamed_in_the_end() {
    let mut harness = Harness::new();
    for crash in 1..=SHARED_CRASHES_MAX {
        harness.advance(Duration::from_millis(200));
        assert_eq!(harness.crash(&[CULPRIT, 2]).is_empty(), crash < SHARED_CRASHES_MAX);
    }
}

#[test]
fn blame_of_another_host_is_adopted_once() {
    let mut harness = Harness::new();
    let rest = Duration::from_secs(30);
    assert!(harness.log.adopt_blame(harness.now(), CULPRIT, rest));
    assert!(!harness.log.adopt_blame(harness.now(), CULPRIT, rest));
    assert_eq!(harness.log.blamed(harness.now()), [(CULPRIT, rest)]);
    harness.advance(rest);
    assert!(!harness.is_blamed(CULPRIT));
}

#[test]
fn memory_is_bounded() {
    let mut harness = Harness::new();
    for round in 0..40 {
        harness.advance(Duration::from_millis(20));
        let contents: Vec<ContentHash> = (0..200).map(|number| round * 200 + number).collect();
        harness.crash(&contents);
        harness.log.adopt_blame(harness.now(), u64::MAX - round, BLAME_DURATION);
    }
    for _ in 0..100 {
        harness.advance(WORK);
        harness.crash(&[CULPRIT]);
    }
    for number in 0..BLAMED_MAX as u64 {
        harness.log.adopt_blame(harness.now(), u64::MAX / 2 + number, BLAME_DURATION);
    }
    let log = &harness.log;
    assert!(log.suspects.len() <= SUSPECTS_MAX && log.blamed.len() <= BLAMED_MAX);
    assert!(log.suspects[&CULPRIT].len() <= ATTEMPTS_PER_SUSPECT_MAX);
    assert!(log.crashes.len() <= CRASHES_IN_MEMORY_MAX);
}

#[test]
fn hash_separates_the_parts() {
    assert_eq!(hash_content(&[b"ab", b"c"]), hash_content(&[b"ab", b"c"]));
    assert_ne!(hash_content(&[b"ab", b"c"]), hash_content(&[b"a", b"bc"]));
}

/// How upstreams that crash in series treat the requests that they run.
#[derive(Clone, Copy, Debug)]
struct Series {
    /// Mean time between the crashes of one upstream.
    mean_time_between_crashes_s: f64,
    /// Time for one request.
    work_ms: u64,
}

/// Sends requests to upstreams that crash at random, each up to nine times in a row, and returns
/// the number of blamed ones.
fn blamed_in_series(seed: u64, series: Series, requests: u64) -> usize {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut harness = Harness::new();
    let crash_chance = series.work_ms as f64 / 1000.0 / series.mean_time_between_crashes_s;
    let mut blamed = 0;
    for content in 1000..1000 + requests {
        harness.advance(Duration::from_millis(random.random_range(1..20)));
        // All other requests that were in flight at the upstreams that crashed meanwhile.
        let crashes_meanwhile = 0.01 * 6.0 / series.mean_time_between_crashes_s;
        if random.random_bool(crashes_meanwhile.min(1.0)) {
            harness.crash(&[content + 1_000_000_000]);
        }
        for _ in 0..9 {
            if harness.is_blamed(content) || !random.random_bool(crash_chance.min(1.0)) {
                break;
            }
            let now = harness.now();
            let exposure = Duration::from_millis(random.random_range(0..=series.work_ms));
            let broke_at = now + exposure;
            harness.advance(exposure);
            let attempt = CrashedAttempt { content, sent_at: now, broke_at };
            blamed += harness.report(vec![attempt]).len();
        }
    }
    blamed
}

#[test]
fn upstreams_that_crash_in_series_blame_no_content() {
    for (mean_time_between_crashes_s, work_ms) in [(1.0, 20), (1.0, 100), (2.0, 300), (10.0, 1000)]
    {
        let series = Series { mean_time_between_crashes_s, work_ms };
        let blamed: usize = (0..4).map(|seed| blamed_in_series(seed, series, 5_000)).sum();
        assert_eq!(blamed, 0, "{series:?}");
    }
}

#[test]
fn culprit_is_blamed_in_time_while_upstreams_crash_in_series() {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut harness = Harness::new();
        let mut crashes = 0;
        while !harness.is_blamed(CULPRIT) {
            for _ in 0..random.random_range(0..4) {
                harness.advance(Duration::from_millis(random.random_range(20..300)));
                harness.crash(&[random.random_range(1000..2000)]);
            }
            harness.advance(Duration::from_millis(100));
            harness.crash(&[CULPRIT, random.random_range(2000..3000)]);
            crashes += 1;
        }
        assert!(crashes <= SHARED_CRASHES_MAX, "{crashes} crashes");
    }
}

proptest! {
    #[test]
    fn content_with_fewer_crashes_is_never_blamed_before_the_culprit(
        beside in proptest::collection::vec(proptest::collection::vec(2u64..10, 0..4), 1..12),
    ) {
        let mut harness = Harness::new();
        for others in beside {
            harness.advance(Duration::from_millis(200));
            let mut contents = others;
            contents.sort_unstable();
            contents.dedup();
            contents.push(CULPRIT);
            let newly_blamed = harness.crash(&contents);
            if !harness.is_blamed(CULPRIT) {
                prop_assert_eq!(newly_blamed, Vec::<ContentHash>::new());
            } else {
                break;
            }
        }
    }
}

/// Passes a log on to a process that starts `down_for` after the former one ended.
fn restart(harness: &mut Harness, down_for: Duration) {
    let record = harness.log.to_record(harness.now());
    let json = serde_json::to_vec(&record).expect("serializable");
    let record: CrashLogRecord = serde_json::from_slice(&json).expect("the same");
    harness.advance(down_for);
    harness.log = CrashLog::from_record(harness.now(), record, Some(down_for));
}

/// Guards against content that crashes upstreams again after each loss of all processes: what was known
/// of it was in memory alone.
#[test]
fn content_is_blamed_over_restarts() {
    let mut harness = Harness::new();
    let mut crashes = 0;
    while !harness.is_blamed(CULPRIT) {
        harness.advance(Duration::from_millis(700));
        harness.crash(&[CULPRIT]);
        crashes += 1;
        restart(&mut harness, Duration::from_secs(1));
        assert!(crashes <= 3, "each restart begins anew");
    }
    for _ in 0..20 {
        restart(&mut harness, Duration::from_secs(1));
        assert!(harness.is_blamed(CULPRIT));
    }
}

#[test]
fn record_of_a_log_expires_with_what_it_says() {
    let blaming = || {
        let mut harness = Harness::new();
        for _ in 0..3 {
            harness.advance(Duration::from_millis(200));
            harness.crash(&[CULPRIT]);
        }
        assert!(harness.is_blamed(CULPRIT));
        harness
    };
    let mut harness = blaming();
    restart(&mut harness, EVIDENCE_TTL);
    assert_eq!(harness.log.crash_count(CULPRIT), 0);
    let left = harness.log.blamed_for(harness.now(), CULPRIT).expect("blame lasts longer");
    assert_eq!(left.as_secs(), (BLAME_DURATION - EVIDENCE_TTL).as_secs());
    // The clock may have stepped, but not by hours.
    let mut harness = blaming();
    restart(&mut harness, 2 * BLAME_DURATION);
    assert!(harness.is_blamed(CULPRIT));
    let mut harness = blaming();
    restart(&mut harness, Duration::from_secs(3600));
    assert!(harness.log.is_empty());
    // The clock has gone back.
    let harness = blaming();
    let record = harness.log.to_record(harness.now());
    let log = CrashLog::from_record(harness.now(), record, None);
    assert_eq!(log.crash_count(CULPRIT), harness.log.crash_count(CULPRIT));
    assert!(log.blamed_for(harness.now(), CULPRIT).is_some());
}

/// Guards against sound content that is refused since a host that was away has not heard that it was
/// cleared.
#[test]
fn cleared_content_is_not_blamed_by_the_word_of_others() {
    let mut harness = Harness::new();
    for _ in 0..3 {
        harness.advance(Duration::from_millis(200));
        harness.crash(&[CULPRIT]);
    }
    let mut other = Harness { log: harness.log.clone(), ..harness };
    harness.advance(Duration::from_secs(2));
    harness.log.clear(CULPRIT);
    harness.log.record_cleared(harness.now(), CULPRIT);
    // The other host restarts without having heard of it.
    restart(&mut other, Duration::from_secs(30));
    harness.advance(Duration::from_secs(28));
    restart(&mut harness, Duration::ZERO);
    for (content, rest) in other.log.blamed(other.now()) {
        assert!(!harness.log.adopt_blame(harness.now(), content, rest));
    }
    assert!(!harness.is_blamed(CULPRIT));
    // It crashes upstreams after all.
    assert!(harness.log.adopt_blame(harness.now(), CULPRIT, BLAME_DURATION));
}
