//! Tests of buckets, limiters and token requests against naive models.

use {
    super::{
        Action, Allowance, Bucket, Handover, Level, Limiter, LimiterResult, MAX_DEFERRAL,
        PreferredHalves, Taken, TokenRequest,
    },
    crate::{
        ids::{HostId, TeamId},
        membership::Standing,
        verdict::Reason,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::{Duration, Instant},
};

const SEED: u64 = 20_261_203;
const TEAM_ALLOWANCE: Allowance =
    Allowance { rate_nanotokens_per_s: 3_333_333_333, burst_tokens: 7 };

/// Both halves of a team. The burst is small so that the tests often exhaust it.
const HALVES_OF_TEAM: [Allowance; 2] = [
    Allowance { rate_nanotokens_per_s: 1_666_666_667, burst_tokens: 4 },
    Allowance { rate_nanotokens_per_s: 1_666_666_666, burst_tokens: 3 },
];

/// The allowance of a half in another version of the configuration, with a lower rate and burst.
const SMALL_HALF: Allowance = Allowance { rate_nanotokens_per_s: 600_000_000, burst_tokens: 2 };

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A model that computes the result of each `take` call by replaying all grants before it, in whole
/// nanoseconds and signed integers.
struct Replay {
    allowance: Allowance,
    /// Time, tokens, and whether the request was conforming.
    grants: Vec<(i128, i128, bool)>,
}

const UNITS_PER_TOKEN: i128 = 1_000_000_000_000_000_000;

impl Replay {
    /// Returns the level at `at`. `include_excess` selects all grants, starting at the lowest
    /// level; otherwise only conforming grants count, starting at zero.
    fn level(&self, at: i128, include_excess: bool) -> i128 {
        let burst = i128::from(self.allowance.burst_tokens) * UNITS_PER_TOKEN;
        let rate = i128::from(self.allowance.rate_nanotokens_per_s);
        let mut level = if include_excess { -rate * MAX_DEFERRAL.as_nanos() as i128 } else { 0 };
        let mut last = 0;
        for (granted_at, taken, is_conforming) in self.grants.iter().copied().chain([(at, 0, true)])
        {
            level = (level + (granted_at - last) * rate).min(burst);
            level -= if include_excess || is_conforming { taken } else { 0 };
            last = granted_at;
        }
        level
    }

    /// Grants the tokens and returns the wait until they are usable, or `None` if it exceeds
    /// `wait_max` or the grant is not allowed. The wait is found by bisection.
    fn take(&mut self, at: Duration, count: u32, wait_max: Duration) -> Option<Duration> {
        let (at, requested) = (at.as_nanos() as i128, i128::from(count) * UNITS_PER_TOKEN);
        let lowest =
            -i128::from(self.allowance.rate_nanotokens_per_s) * MAX_DEFERRAL.as_nanos() as i128;
        let is_conforming = self.level(at, false) >= requested;
        let remaining = self.level(at, true) - requested;
        let reserved_for_conforming = if is_conforming { 0 } else { self.level(at, false) };
        let is_available = |wait: i128| self.level(at + wait, true) >= requested;
        if remaining < lowest + reserved_for_conforming
            || !is_available(wait_max.as_nanos() as i128)
        {
            return None;
        }
        let (mut low, mut high) = (-1, wait_max.as_nanos() as i128);
        while high - low > 1 {
            let middle = (low + high) / 2;
            if is_available(middle) { high = middle } else { low = middle }
        }
        self.grants.push((at, requested, is_conforming));
        Some(Duration::from_nanos(high as u64))
    }
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn bucket_matches_replay(
        rate in 1_u64..50_000_000_000,
        burst in 1_u32..20,
        takes in proptest::collection::vec((0_u64..2_000_000_000, 1_u32..4, 0_u64..3_000), 1..60),
    ) {
        let allowance = Allowance { rate_nanotokens_per_s: rate, burst_tokens: burst };
        let start = Instant::now();
        let mut bucket = Bucket::at_lowest(start, allowance);
        let mut replay = Replay { allowance, grants: Vec::new() };
        let mut at = Duration::ZERO;
        let mut last = start;
        for (nanos, count, wait_max) in takes {
            at += Duration::from_nanos(nanos);
            let taken = bucket.take(start + at, count, millis(wait_max));
            let expected = replay.take(at, count, millis(wait_max)).filter(|_| count <= burst);
            prop_assert_eq!(taken.ok(), expected);
            if let Ok(wait) = taken {
                prop_assert!(start + at + wait >= last, "the grants are out of order");
                last = start + at + wait;
            }
        }
    }

    /// With the full wait allowed, a request is always granted if a bucket without deferred grants
    /// would grant it immediately, regardless of deferred grants to other requests.
    #[test]
    fn conforming_request_is_granted(
        takes in proptest::collection::vec((0_u64..400, 1_u32..4), 1..200),
    ) {
        let mut now = Instant::now();
        let mut undeferred_bucket = Bucket::with_level(now, TEAM_ALLOWANCE, Level::MAX);
        let mut bucket = undeferred_bucket.clone();
        for (pause, count) in takes {
            now += millis(pause);
            let is_conforming = undeferred_bucket.take(now, count, Duration::ZERO).is_ok();
            prop_assert!(bucket.take(now, count, MAX_DEFERRAL).is_ok() || !is_conforming);
        }
    }

    #[test]
    fn halves_add_up(rate in 0_u64..u64::MAX - 1, burst in 1_u32..u32::MAX - 1) {
        let total = Allowance { rate_nanotokens_per_s: rate, burst_tokens: burst };
        let [first, second] = [total.half(0), total.half(1)];
        prop_assert_eq!(first.burst_tokens + second.burst_tokens, burst);
        prop_assert_eq!(first.rate_nanotokens_per_s + second.rate_nanotokens_per_s, rate);
    }
}

/// An operation in a random history of both halves of one team.
#[derive(Clone, Debug)]
enum Op {
    Advance(u64),
    /// Takes a number of tokens from a half, with a wait of at most this many milliseconds.
    Take(u8, u32, u64),
    /// The holder of a half fails. The next one starts when the lease has expired.
    LoseHolder(u8),
    /// A new host becomes the preferred holder of a half, and requests a handover from the acting
    /// holder.
    Join(u8),
    /// A new host becomes the acting holder.
    Settle(u8),
    /// The holder of a half drains. Its handover arrives later or never.
    Drain(u8),
    /// The holder of a half applies another version of the configuration.
    ChangeAllowance(u8),
    /// Delivers a message in flight.
    Deliver(usize),
    /// Drops a message in flight.
    DropMessage(usize),
    Sweep,
}

fn op() -> impl Strategy<Value = Op> {
    let half = || 0_u8..2;
    prop_oneof![
        4 => (1_u64..1_500).prop_map(Op::Advance),
        6 => (half(), 1_u32..4, 0_u64..3_500)
            .prop_map(|(half, count, wait_max)| Op::Take(half, count, wait_max)),
        1 => half().prop_map(Op::LoseHolder),
        1 => half().prop_map(Op::Join),
        1 => half().prop_map(Op::Settle),
        1 => half().prop_map(Op::Drain),
        1 => half().prop_map(Op::ChangeAllowance),
        3 => any::<usize>().prop_map(Op::Deliver),
        1 => any::<usize>().prop_map(Op::DropMessage),
        1 => Just(Op::Sweep),
    ]
}

struct Holder {
    limiter: Limiter,
    standing: Standing,
}

/// Both halves of a team, and one bucket that bounds the grants of the whole team.
struct Halves {
    now: Instant,
    team: TeamId,
    holders: [Holder; 2],
    team_bucket: Bucket,
    /// Granted tokens, with the time from which they may be used.
    grants: Vec<(Instant, u32)>,
    uses_small_allowance: [bool; 2],
    in_flight: Vec<Handover>,
    /// The number of holders so far, used in host names.
    holder_count: u64,
    /// An injected fault: a new holder claims to have held its half for 600 s.
    starts_full: bool,
}

impl Halves {
    fn new(starts_full: bool) -> Self {
        let start = Instant::now();
        let now = start + Duration::from_secs(3_600);
        let holder = || Holder {
            limiter: Limiter::default(),
            standing: Standing::Acting { since: start, ranked_first_since: start, former: None },
        };
        Self {
            now,
            team: "ayla".into(),
            holders: [holder(), holder()],
            team_bucket: Bucket::with_level(now, TEAM_ALLOWANCE, Level::MAX),
            in_flight: Vec::new(),
            holder_count: 1,
            grants: Vec::new(),
            uses_small_allowance: [false; 2],
            starts_full,
        }
    }

    fn replace(&mut self, half: u8, standing: Standing) -> Holder {
        self.holder_count += 1;
        let new = Holder { limiter: Limiter::default(), standing };
        std::mem::replace(&mut self.holders[usize::from(half)], new)
    }

    fn acting(&self, former: Option<HostId>) -> Standing {
        let ago = if self.starts_full { Duration::from_secs(600) } else { Duration::ZERO };
        Standing::Acting { since: self.now - ago, ranked_first_since: self.now - ago, former }
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::Advance(time) => self.now += millis(*time),
            Op::Take(half, count, wait_max) => self.take(*half, *count, *wait_max),
            Op::LoseHolder(half) => {
                let standing = self.acting(None);
                self.replace(*half, standing);
            }
            Op::Join(half) => self.join(*half),
            Op::Settle(half) => {
                let now = self.now;
                let holder = &mut self.holders[usize::from(*half)];
                if let Standing::Settling { since } = holder.standing {
                    holder.standing =
                        Standing::Acting { since: now, ranked_first_since: since, former: None };
                }
            }
            Op::Drain(half) => self.drain(*half),
            Op::ChangeAllowance(half) => self.uses_small_allowance[usize::from(*half)] ^= true,
            Op::Deliver(index) => {
                if let Some(index) = self.message_index(*index) {
                    let sent = self.in_flight.swap_remove(index);
                    self.deliver(&sent);
                }
            }
            Op::DropMessage(index) => {
                if let Some(index) = self.message_index(*index) {
                    self.in_flight.swap_remove(index);
                }
            }
            Op::Sweep => {
                let now = self.now;
                self.holders.iter_mut().for_each(|holder| holder.limiter.sweep(now));
            }
        }
    }

    fn message_index(&self, index: usize) -> Option<usize> {
        (!self.in_flight.is_empty()).then(|| index % self.in_flight.len())
    }

    fn allowance(&self, half: u8) -> Allowance {
        match self.uses_small_allowance[usize::from(half)] {
            true => SMALL_HALF,
            false => HALVES_OF_TEAM[usize::from(half)],
        }
    }

    fn take(&mut self, half: u8, count: u32, wait_max: u64) {
        let allowance = self.allowance(half);
        let holder = &mut self.holders[usize::from(half)];
        let key = (&self.team, half);
        let requested = (count, millis(wait_max));
        let taken = holder.limiter.take(self.now, key, requested, allowance, &holder.standing);
        if let Taken::Granted(wait) = taken {
            self.grants.push((self.now + wait, count));
        }
    }

    /// Returns the number of grants that exceed the allowance, each counted at the time from which
    /// it may be used.
    fn overshoot(&self) -> usize {
        let mut team_bucket = self.team_bucket.clone();
        let mut grants = self.grants.clone();
        grants.sort();
        let is_over =
            |(at, count): &&(Instant, u32)| team_bucket.take(*at, *count, Duration::ZERO).is_err();
        grants.iter().filter(is_over).count()
    }

    fn join(&mut self, half: u8) {
        let mut old = self.replace(half, Standing::Settling { since: self.now });
        let allowance = self.allowance(half);
        let result = old.limiter.hand_over(
            self.now,
            &"old".into(),
            (&self.team, half),
            allowance,
            &old.standing,
        );
        if let Some(handover) = result {
            self.deliver(&handover);
        }
    }

    fn drain(&mut self, half: u8) {
        let host: HostId = format!("host-{}", self.holder_count).into();
        let standing = self.acting(Some(host.clone()));
        let mut old = self.replace(half, standing);
        let allowance = self.allowance(half);
        let key = (&self.team, half);
        let result = old.limiter.hand_over(self.now, &host, key, allowance, &old.standing);
        self.in_flight.extend(result);
    }

    fn deliver(&mut self, handover: &Handover) {
        let allowance = self.allowance(handover.half);
        let holder = &mut self.holders[usize::from(handover.half)];
        holder.limiter.accept(self.now, handover, allowance, &holder.standing);
    }
}

proptest! {
    #![proptest_config(config(2_000))]

    /// Whatever happens to the holders, the grants fit into a single bucket of the team's allowance
    /// that starts full.
    #[test]
    fn grants_never_exceed_team_allowance(ops in proptest::collection::vec(op(), 1..120)) {
        let mut halves = Halves::new(false);
        for op in &ops {
            halves.apply(op);
        }
        prop_assert_eq!(halves.overshoot(), 0);
    }
}

#[test]
fn holder_starting_full_exceeds_allowance() {
    let mut halves = Halves::new(true);
    for _ in 0..4 {
        halves.apply(&Op::Take(0, 1, 0));
    }
    halves.apply(&Op::LoseHolder(0));
    for _ in 0..4 {
        halves.apply(&Op::Take(0, 1, 0));
        halves.apply(&Op::Take(1, 1, 0));
    }
    assert!(halves.overshoot() > 0);
}

/// Guards against a next holder that starts at level zero while deferred grants of the former
/// holder are outstanding: the two together exceed the allowance.
#[test]
fn next_holder_must_start_at_lowest_level() {
    let start = Instant::now();
    let allowance = Allowance { rate_nanotokens_per_s: 1_000_000_000, burst_tokens: 2 };
    for starts_at_zero in [true, false] {
        let mut former = Bucket::with_level(start, allowance, Level::MAX);
        let mut next = match starts_at_zero {
            true => Bucket::with_level(start, allowance, 0),
            false => Bucket::at_lowest(start, allowance),
        };
        let mut grants = Vec::new();
        for bucket in [&mut former, &mut next] {
            let waits = std::iter::from_fn(|| bucket.take(start, 1, MAX_DEFERRAL).ok());
            grants.extend(waits.map(|wait| start + wait));
        }
        grants.sort();
        let mut team_bucket = Bucket::with_level(start, allowance, Level::MAX);
        let overshoot =
            grants.iter().filter(|at| team_bucket.take(**at, 1, Duration::ZERO).is_err());
        assert_eq!(overshoot.count() > 0, starts_at_zero);
    }
}

/// Checks the size that decision 0004 states. The B-tree's unused capacity can at most double this.
#[test]
fn memory_per_half() {
    let bytes = super::limiter::HELD_BUCKET_BYTES;
    println!("{bytes} B per active half, {} kB for all of 32,000 teams", bytes * 2 * 32);
    assert!(bytes <= 160);
}

#[test]
fn holder_starts_over_after_losing_role() {
    let team: TeamId = "ayla".into();
    let start = Instant::now();
    let allowance = Allowance { rate_nanotokens_per_s: 1_000_000_000, burst_tokens: 4 };
    let mut limiter = Limiter::default();
    let acting = |since| Standing::Acting { since, ranked_first_since: since, former: None };
    let late = start + Duration::from_secs(60);
    let mut take = |now, standing: &Standing| {
        limiter.take(now, (&team, 0), (1, Duration::ZERO), allowance, standing)
    };
    assert_eq!(take(late, &acting(start)), Taken::Granted(Duration::ZERO));
    assert_eq!(take(late, &Standing::Unleased), Taken::NotHere);
    assert_eq!(take(late, &Standing::NotFirst(None)), Taken::NotHere);
    assert_eq!(take(late, &Standing::Settling { since: start }), Taken::NotHere);
    let restarted = late + millis(10);
    assert_eq!(
        take(restarted, &acting(restarted)),
        Taken::AskAgain(Duration::from_secs(1) + MAX_DEFERRAL)
    );
}

#[test]
fn set_allowance_caps_level_and_refills_at_lower_rate() {
    let start = Instant::now();
    let allowance = |rate: u64, burst_tokens| Allowance {
        rate_nanotokens_per_s: rate * 1_000_000_000,
        burst_tokens,
    };
    let take_all = |bucket: &mut Bucket, now| {
        (0..99).filter(|_| bucket.take(now, 1, Duration::ZERO).is_ok()).count()
    };
    let mut bucket = Bucket::with_level(start, allowance(1, 10), Level::MAX);
    bucket.set_allowance(start, allowance(1, 2));
    assert_eq!(take_all(&mut bucket, start), 2);
    let later = start + Duration::from_secs(9);
    bucket.set_allowance(later, allowance(2, 50));
    // Nine seconds at the old rate and burst leave two tokens. The new rate lowers the level by
    // three tokens, one for each second of `MAX_DEFERRAL`.
    assert_eq!(take_all(&mut bucket, later), 0);
    let later = later + Duration::from_secs(1);
    assert_eq!(take_all(&mut bucket, later), 1);
}

/// The results of the halves in order, the maximum wait in milliseconds, and the delay until the
/// tokens may be used in milliseconds or the reason of the refusal.
type ClientCase = (&'static [LimiterResult], u64, Result<Option<u64>, Reason>);

const fn retry(wait: u64) -> LimiterResult {
    LimiterResult::Replied(Taken::RetryAfter(Duration::from_millis(wait)))
}

const fn granted(wait: u64) -> LimiterResult {
    LimiterResult::Replied(Taken::Granted(Duration::from_millis(wait)))
}

const ASK_AGAIN_900: LimiterResult =
    LimiterResult::Replied(Taken::AskAgain(Duration::from_millis(900)));
const UNREACHABLE: LimiterResult = LimiterResult::Unreachable;

const CLIENT_CASES: &[ClientCase] = &[
    (&[granted(0)], 0, Ok(Some(0))),
    (&[retry(900), granted(0)], 0, Ok(Some(0))),
    (&[UNREACHABLE, granted(0)], 0, Ok(Some(0))),
    (&[LimiterResult::Replied(Taken::NotHere), granted(0)], 0, Ok(Some(0))),
    // The other half can grant sooner than the preferred half reported. Otherwise the preferred
    // half is queried again.
    (&[retry(40), granted(30)], 50, Ok(Some(30))),
    (&[retry(40), retry(60), granted(45)], 50, Ok(Some(45))),
    // A request is refused immediately if no half can grant within the wait.
    (&[retry(90), retry(80)], 50, Err(Reason::OverAllowance)),
    (&[retry(30), retry(80), retry(60)], 50, Err(Reason::OverAllowance)),
    // An unreachable half is queried again.
    (&[UNREACHABLE, UNREACHABLE, granted(0)], 500, Ok(Some(100))),
    (&[UNREACHABLE, UNREACHABLE, granted(70)], 500, Ok(Some(170))),
    (&[ASK_AGAIN_900, UNREACHABLE, granted(70)], 500, Ok(Some(170))),
    (&[ASK_AGAIN_900, retry(900)], 50, Err(Reason::OverAllowance)),
    (&[UNREACHABLE, UNREACHABLE], 50, Err(Reason::HomeUnavailable)),
    (&[UNREACHABLE, retry(900)], 50, Err(Reason::OverAllowance)),
];

fn run_request(
    request: &mut TokenRequest,
    start: Instant,
    results: &[LimiterResult],
) -> (Action, Instant) {
    let mut now = start;
    let mut results = results.iter();
    loop {
        match request.next(now) {
            Action::Request(half, _) => {
                let result = results.next().expect("no more requests than results");
                request.on_result(now, half, result.clone());
            }
            Action::Wait(until) => now = until,
            end => return (end, now),
        }
    }
}

/// The request to the other half is limited to the wait that the preferred half reported, so that
/// its tokens are not available later than those of the preferred half.
#[test]
fn second_query_is_limited_to_first_reported_wait() {
    let start = Instant::now();
    for (halves, expected) in [(1, vec![(0, 50)]), (2, vec![(0, 0), (1, 40), (0, 50)])] {
        let mut request = PreferredHalves::default().start_request(
            start,
            &"ayla".into(),
            0,
            halves,
            1,
            millis(50),
        );
        let mut queried = Vec::new();
        while let Action::Request(half, wait_max) = request.next(start) {
            queried.push((half, wait_max.as_millis() as u64));
            request.on_result(start, half, retry(40));
        }
        assert_eq!(queried, expected);
    }
}

#[test]
fn request_queries_both_halves_then_waits_for_a_bounded_time() {
    for (results, wait_max, expected) in CLIENT_CASES {
        let start = Instant::now();
        let preferred = PreferredHalves::default();
        let mut request =
            preferred.start_request(start, &"ayla".into(), 1, 2, 1, millis(*wait_max));
        let (end, at) = run_request(&mut request, start, results);
        let found = match end {
            Action::Granted => Ok(Some((at - start).as_millis() as u64)),
            Action::Refuse(refusal) => Err(refusal.reason),
            other => panic!("unexpected action: {other:?}"),
        };
        assert_eq!(&found, expected, "{results:?}");
    }
}

#[test]
fn request_prefers_the_half_that_granted_last() {
    let mut preferred = PreferredHalves::default();
    let team: TeamId = "ayla".into();
    let start = Instant::now();
    let mut request = preferred.start_request(start, &team, 1, 2, 1, Duration::ZERO);
    run_request(&mut request, start, &[retry(900), granted(0)]);
    preferred.record_outcome(&team, &request);
    assert_eq!(
        preferred.start_request(start, &team, 1, 2, 1, Duration::ZERO).next(start),
        Action::Request(0, Duration::ZERO)
    );
}

#[test]
fn request_larger_than_the_burst_is_refused_without_retry_after() {
    let start = Instant::now();
    let mut request =
        PreferredHalves::default().start_request(start, &"ayla".into(), 0, 2, 9, millis(500));
    let never = LimiterResult::Replied(Taken::RetryAfter(Duration::MAX));
    let (end, _) = run_request(&mut request, start, &[never.clone(), never]);
    let Action::Refuse(refusal) = end else { panic!("{end:?}") };
    assert_eq!((refusal.reason, refusal.retry_after), (Reason::OverAllowance, None));
}
