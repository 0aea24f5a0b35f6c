//! Buckets, halves and the caller's side, against naive versions.

use {
    super::{
        Allowance, Attempt, Bucket, HalfAnswer, Handover, Hints, Level, Limiter, Step, Taken,
        WAIT_MAX,
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

/// Two halves, though the burst is small: a small burst is used up often.
const HALVES_OF_TEAM: [Allowance; 2] = [
    Allowance { rate_nanotokens_per_s: 1_666_666_667, burst_tokens: 4 },
    Allowance { rate_nanotokens_per_s: 1_666_666_666, burst_tokens: 3 },
];

/// A half's allowance in another version of the configuration: less in both.
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

/// Decides each take by replaying all grants before it, in whole nanoseconds and signed integers.
struct Replay {
    allowance: Allowance,
    /// Time, tokens, and whether it was within the allowance.
    grants: Vec<(i128, i128, bool)>,
}

const TOKEN: i128 = 1_000_000_000_000_000_000;

impl Replay {
    /// Returns the level at a time after all grants, or after those within the allowance. The
    /// bucket begins at the lowest level, or at zero.
    fn level(&self, at: i128, of_all: bool) -> i128 {
        let burst = i128::from(self.allowance.burst_tokens) * TOKEN;
        let rate = i128::from(self.allowance.rate_nanotokens_per_s);
        let mut level = if of_all { -rate * WAIT_MAX.as_nanos() as i128 } else { 0 };
        let mut last = 0;
        for (then, taken, is_within) in self.grants.iter().copied().chain([(at, 0, true)]) {
            level = (level + (then - last) * rate).min(burst);
            level -= if of_all || is_within { taken } else { 0 };
            last = then;
        }
        level
    }

    /// Looks for the first time by bisection.
    fn take(&mut self, at: Duration, count: u32, wait_max: Duration) -> Option<Duration> {
        let (at, wanted) = (at.as_nanos() as i128, i128::from(count) * TOKEN);
        let lowest =
            -i128::from(self.allowance.rate_nanotokens_per_s) * WAIT_MAX.as_nanos() as i128;
        let is_within = self.level(at, false) >= wanted;
        let rest = self.level(at, true) - wanted;
        let room = if is_within { 0 } else { self.level(at, false) };
        let is_due = |wait: i128| self.level(at + wait, true) >= wanted;
        if rest < lowest + room || !is_due(wait_max.as_nanos() as i128) {
            return None;
        }
        let (mut low, mut high) = (-1, wait_max.as_nanos() as i128);
        while high - low > 1 {
            let middle = (low + high) / 2;
            if is_due(middle) { high = middle } else { low = middle }
        }
        self.grants.push((at, wanted, is_within));
        Some(Duration::from_nanos(high as u64))
    }
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn bucket_decides_as_a_replay_does(
        rate in 1_u64..50_000_000_000,
        burst in 1_u32..20,
        takes in proptest::collection::vec((0_u64..2_000_000_000, 1_u32..4, 0_u64..3_000), 1..60),
    ) {
        let allowance = Allowance { rate_nanotokens_per_s: rate, burst_tokens: burst };
        let start = Instant::now();
        let mut bucket = Bucket::empty(start, allowance);
        let mut replay = Replay { allowance, grants: Vec::new() };
        let mut at = Duration::ZERO;
        let mut last = start;
        for (nanos, count, wait_max) in takes {
            at += Duration::from_nanos(nanos);
            let taken = bucket.take(start + at, count, millis(wait_max));
            let expected = replay.take(at, count, millis(wait_max)).filter(|_| count <= burst);
            prop_assert_eq!(taken.ok(), expected);
            if let Ok(wait) = taken {
                prop_assert!(start + at + wait >= last, "out of order");
                last = start + at + wait;
            }
        }
    }

    /// With waits of the full length, a request that a bucket without promises has tokens for is
    /// always granted, whatever waits.
    #[test]
    fn request_within_the_allowance_is_granted(
        takes in proptest::collection::vec((0_u64..400, 1_u32..4), 1..200),
    ) {
        let mut now = Instant::now();
        let mut whole = Bucket::with_level(now, TEAM_ALLOWANCE, Level::MAX);
        let mut bucket = whole.clone();
        for (pause, count) in takes {
            now += millis(pause);
            let is_within = whole.take(now, count, Duration::ZERO).is_ok();
            prop_assert!(bucket.take(now, count, WAIT_MAX).is_ok() || !is_within);
        }
    }

    #[test]
    fn halves_add_up(rate in 0_u64..u64::MAX - 1, burst in 1_u32..u32::MAX - 1) {
        let whole = Allowance { rate_nanotokens_per_s: rate, burst_tokens: burst };
        let [first, second] = [whole.half(0), whole.half(1)];
        prop_assert_eq!(first.burst_tokens + second.burst_tokens, burst);
        prop_assert_eq!(first.rate_nanotokens_per_s + second.rate_nanotokens_per_s, rate);
    }
}

/// A step of a random history of both halves of one team.
#[derive(Clone, Debug)]
enum Act {
    Pass(u64),
    /// From a half, so many, with a wait of so many milliseconds.
    Take(u8, u32, u64),
    /// The holder of a half is lost. The next one starts when the lease has ended.
    Lose(u8),
    /// A new host comes first for a half and asks the settled one to hand over.
    Join(u8),
    /// A new host has settled.
    Settle(u8),
    /// The holder of a half drains; what it hands over comes later, or never.
    Drain(u8),
    /// The holder of a half takes in another version of the configuration.
    Change(u8),
    /// Delivers one of the messages under way.
    Deliver(usize),
    /// Loses it.
    Miss(usize),
    Sweep,
}

fn act() -> impl Strategy<Value = Act> {
    let half = || 0_u8..2;
    prop_oneof![
        4 => (1_u64..1_500).prop_map(Act::Pass),
        6 => (half(), 1_u32..4, 0_u64..3_500)
            .prop_map(|(half, count, wait_max)| Act::Take(half, count, wait_max)),
        1 => half().prop_map(Act::Lose),
        1 => half().prop_map(Act::Join),
        1 => half().prop_map(Act::Settle),
        1 => half().prop_map(Act::Drain),
        1 => half().prop_map(Act::Change),
        3 => any::<usize>().prop_map(Act::Deliver),
        1 => any::<usize>().prop_map(Act::Miss),
        1 => Just(Act::Sweep),
    ]
}

/// The holder of a half.
struct Holder {
    limiter: Limiter,
    standing: Standing,
}

/// Both halves of a team, with one bucket beside them that says what the whole team may get.
struct Halves {
    now: Instant,
    team: TeamId,
    holders: [Holder; 2],
    whole: Bucket,
    /// Tokens that are taken, with the time from which they may be used.
    uses: Vec<(Instant, u32)>,
    is_small: [bool; 2],
    sent: Vec<Handover>,
    /// Counts processes, for their names.
    numbers: u64,
    /// A fault: a new holder believes that it has held the half for long.
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
            whole: Bucket::with_level(now, TEAM_ALLOWANCE, Level::MAX),
            sent: Vec::new(),
            numbers: 1,
            uses: Vec::new(),
            is_small: [false; 2],
            starts_full,
        }
    }

    fn replace(&mut self, half: u8, standing: Standing) -> Holder {
        self.numbers += 1;
        let new = Holder { limiter: Limiter::default(), standing };
        std::mem::replace(&mut self.holders[usize::from(half)], new)
    }

    fn acting(&self, former: Option<HostId>) -> Standing {
        let ago = if self.starts_full { Duration::from_secs(600) } else { Duration::ZERO };
        Standing::Acting { since: self.now - ago, ranked_first_since: self.now - ago, former }
    }

    fn act(&mut self, act: &Act) {
        match act {
            Act::Pass(time) => self.now += millis(*time),
            Act::Take(half, count, wait_max) => self.take(*half, *count, *wait_max),
            Act::Lose(half) => {
                let standing = self.acting(None);
                self.replace(*half, standing);
            }
            Act::Join(half) => self.join(*half),
            Act::Settle(half) => {
                let now = self.now;
                let holder = &mut self.holders[usize::from(*half)];
                if let Standing::Settling { since } = holder.standing {
                    holder.standing =
                        Standing::Acting { since: now, ranked_first_since: since, former: None };
                }
            }
            Act::Drain(half) => self.drain(*half),
            Act::Change(half) => self.is_small[usize::from(*half)] ^= true,
            Act::Deliver(index) => {
                if let Some(index) = self.pick(*index) {
                    let sent = self.sent.swap_remove(index);
                    self.deliver(&sent);
                }
            }
            Act::Miss(index) => {
                if let Some(index) = self.pick(*index) {
                    self.sent.swap_remove(index);
                }
            }
            Act::Sweep => {
                let now = self.now;
                self.holders.iter_mut().for_each(|holder| holder.limiter.sweep(now));
            }
        }
    }

    fn pick(&self, index: usize) -> Option<usize> {
        (!self.sent.is_empty()).then(|| index % self.sent.len())
    }

    fn allowance(&self, half: u8) -> Allowance {
        match self.is_small[usize::from(half)] {
            true => SMALL_HALF,
            false => HALVES_OF_TEAM[usize::from(half)],
        }
    }

    fn take(&mut self, half: u8, count: u32, wait_max: u64) {
        let allowance = self.allowance(half);
        let holder = &mut self.holders[usize::from(half)];
        let key = (&self.team, half);
        let wanted = (count, millis(wait_max));
        let taken = holder.limiter.take(self.now, key, wanted, allowance, &holder.standing);
        if let Taken::Granted(wait) = taken {
            self.uses.push((self.now + wait, count));
        }
    }

    /// Returns how many uses, each at the time that it was granted for, are over the allowance.
    fn overshoot(&self) -> usize {
        let mut whole = self.whole.clone();
        let mut uses = self.uses.clone();
        uses.sort();
        let is_over =
            |(at, count): &&(Instant, u32)| whole.take(*at, *count, Duration::ZERO).is_err();
        uses.iter().filter(is_over).count()
    }

    fn join(&mut self, half: u8) {
        let mut old = self.replace(half, Standing::Settling { since: self.now });
        let allowance = self.allowance(half);
        let given = old.limiter.hand_over(
            self.now,
            &"old".into(),
            (&self.team, half),
            allowance,
            &old.standing,
        );
        if let Some(handover) = given {
            self.deliver(&handover);
        }
    }

    fn drain(&mut self, half: u8) {
        let host: HostId = format!("host-{}", self.numbers).into();
        let standing = self.acting(Some(host.clone()));
        let mut old = self.replace(half, standing);
        let allowance = self.allowance(half);
        let key = (&self.team, half);
        let given = old.limiter.hand_over(self.now, &host, key, allowance, &old.standing);
        self.sent.extend(given);
    }

    fn deliver(&mut self, handover: &Handover) {
        let allowance = self.allowance(handover.half);
        let holder = &mut self.holders[usize::from(handover.half)];
        holder.limiter.accept(self.now, handover, allowance, &holder.standing);
    }
}

proptest! {
    #![proptest_config(config(2_000))]

    /// Grants in any window never exceed burst and rate, whatever happens to the holders: a
    /// bucket of the whole team, full at the start, allows every grant.
    #[test]
    fn team_never_gets_more(acts in proptest::collection::vec(act(), 1..120)) {
        let mut halves = Halves::new(false);
        for act in &acts {
            halves.act(act);
        }
        prop_assert_eq!(halves.overshoot(), 0);
    }
}

#[test]
fn holder_that_starts_full_gives_more() {
    let mut halves = Halves::new(true);
    for _ in 0..4 {
        halves.act(&Act::Take(0, 1, 0));
    }
    halves.act(&Act::Lose(0));
    for _ in 0..4 {
        halves.act(&Act::Take(0, 1, 0));
        halves.act(&Act::Take(1, 1, 0));
    }
    assert!(halves.overshoot() > 0);
}

/// What a successor would give if it began at zero, while its former holder's promises stand.
#[test]
fn successor_that_begins_at_zero_gives_more() {
    let start = Instant::now();
    let allowance = Allowance { rate_nanotokens_per_s: 1_000_000_000, burst_tokens: 2 };
    for begins_at_zero in [true, false] {
        let mut former = Bucket::with_level(start, allowance, Level::MAX);
        let mut next = match begins_at_zero {
            true => Bucket::with_level(start, allowance, 0),
            false => Bucket::empty(start, allowance),
        };
        let mut uses = Vec::new();
        for bucket in [&mut former, &mut next] {
            let waits = std::iter::from_fn(|| bucket.take(start, 1, WAIT_MAX).ok());
            uses.extend(waits.map(|wait| start + wait));
        }
        uses.sort();
        let mut whole = Bucket::with_level(start, allowance, Level::MAX);
        let overshoot = uses.iter().filter(|at| whole.take(**at, 1, Duration::ZERO).is_err());
        assert_eq!(overshoot.count() > 0, begins_at_zero);
    }
}

/// The size in decision 0004; a B-tree node adds its unused places, at most as much again.
#[test]
fn memory_of_a_half() {
    let bytes = super::limiter::SLOT_BYTES;
    println!("{bytes} B a half in use, {} kB for all of 32,000 teams", bytes * 2 * 32);
    assert!(bytes <= 160);
}

#[test]
fn paused_holder_starts_anew() {
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
    let again = late + millis(10);
    assert_eq!(take(again, &acting(again)), Taken::AskAgain(Duration::from_secs(1) + WAIT_MAX));
}

#[test]
fn changed_allowance_clips_and_counts_at_the_lower_rate() {
    let start = Instant::now();
    let of = |rate: u64, burst_tokens| Allowance {
        rate_nanotokens_per_s: rate * 1_000_000_000,
        burst_tokens,
    };
    let take_all = |bucket: &mut Bucket, now| {
        (0..99).filter(|_| bucket.take(now, 1, Duration::ZERO).is_ok()).count()
    };
    let mut bucket = Bucket::with_level(start, of(1, 10), Level::MAX);
    bucket.set_allowance(start, of(1, 2));
    assert_eq!(take_all(&mut bucket, start), 2);
    let later = start + Duration::from_secs(9);
    bucket.set_allowance(later, of(2, 50));
    // Two at the old rate and burst; the lowest level has sunk by a second's rate for each of the
    // three seconds of promises.
    assert_eq!(take_all(&mut bucket, later), 0);
    let later = later + Duration::from_secs(1);
    assert_eq!(take_all(&mut bucket, later), 1);
}

/// A row: what the halves answer in turn, and what the caller ends with.
type ClientCase = (&'static [HalfAnswer], u64, Result<Option<u64>, Reason>);

const fn retry(wait: u64) -> HalfAnswer {
    HalfAnswer::Answered(Taken::RetryAfter(Duration::from_millis(wait)))
}

const fn granted(wait: u64) -> HalfAnswer {
    HalfAnswer::Answered(Taken::Granted(Duration::from_millis(wait)))
}

const NEW: HalfAnswer = HalfAnswer::Answered(Taken::AskAgain(Duration::from_millis(900)));
const GONE: HalfAnswer = HalfAnswer::Unreachable;

/// The answers in the order of asking, the longest wait in milliseconds, and the time of use in
/// milliseconds or the refusal's reason.
const CLIENT_CASES: &[ClientCase] = &[
    (&[granted(0)], 0, Ok(Some(0))),
    (&[retry(900), granted(0)], 0, Ok(Some(0))),
    (&[GONE, granted(0)], 0, Ok(Some(0))),
    (&[HalfAnswer::Answered(Taken::NotHere), granted(0)], 0, Ok(Some(0))),
    // The other half has tokens sooner than the first would; otherwise the first is asked again.
    (&[retry(40), granted(30)], 50, Ok(Some(30))),
    (&[retry(40), retry(60), granted(45)], 50, Ok(Some(45))),
    // A wait that can't help isn't begun.
    (&[retry(90), retry(80)], 50, Err(Reason::OverAllowance)),
    (&[retry(30), retry(80), retry(60)], 50, Err(Reason::OverAllowance)),
    // An unreachable half is asked again.
    (&[GONE, GONE, granted(0)], 500, Ok(Some(100))),
    (&[GONE, GONE, granted(70)], 500, Ok(Some(170))),
    (&[NEW, GONE, granted(70)], 500, Ok(Some(170))),
    (&[NEW, retry(900)], 50, Err(Reason::OverAllowance)),
    (&[GONE, GONE], 50, Err(Reason::HomeUnavailable)),
    (&[GONE, retry(900)], 50, Err(Reason::OverAllowance)),
];

fn run_attempt(attempt: &mut Attempt, start: Instant, answers: &[HalfAnswer]) -> (Step, Instant) {
    let mut now = start;
    let mut answers = answers.iter();
    loop {
        match attempt.next(now) {
            Step::Ask(half, _) => {
                let answer = answers.next().expect("no more questions than answers");
                attempt.answered(now, half, answer.clone());
            }
            Step::Wait(until) => now = until,
            end => return (end, now),
        }
    }
}

/// No answer of a half is later than what the one before it could give.
#[test]
fn caller_names_the_wait_that_is_worth_it() {
    let start = Instant::now();
    for (halves, expected) in [(1, vec![(0, 50)]), (2, vec![(0, 0), (1, 40), (0, 50)])] {
        let mut attempt = Hints::default().start(start, &"ayla".into(), 0, halves, 1, millis(50));
        let mut asked = Vec::new();
        while let Step::Ask(half, wait_max) = attempt.next(start) {
            asked.push((half, wait_max.as_millis() as u64));
            attempt.answered(start, half, retry(40));
        }
        assert_eq!(asked, expected);
    }
}

#[test]
fn caller_asks_both_halves_then_waits_for_a_bounded_time() {
    for (answers, wait_max, expected) in CLIENT_CASES {
        let start = Instant::now();
        let hints = Hints::default();
        let mut attempt = hints.start(start, &"ayla".into(), 1, 2, 1, millis(*wait_max));
        let (end, at) = run_attempt(&mut attempt, start, answers);
        let found = match end {
            Step::Granted => Ok(Some((at - start).as_millis() as u64)),
            Step::Refuse(refusal) => Err(refusal.reason),
            other => panic!("{other:?} is no end"),
        };
        assert_eq!(&found, expected, "{answers:?}");
    }
}

#[test]
fn caller_prefers_the_half_that_served_last() {
    let mut hints = Hints::default();
    let team: TeamId = "ayla".into();
    let start = Instant::now();
    let mut attempt = hints.start(start, &team, 1, 2, 1, Duration::ZERO);
    run_attempt(&mut attempt, start, &[retry(900), granted(0)]);
    hints.note(&team, &attempt);
    assert_eq!(
        hints.start(start, &team, 1, 2, 1, Duration::ZERO).next(start),
        Step::Ask(0, Duration::ZERO)
    );
}

#[test]
fn request_larger_than_the_burst_is_refused_without_a_time_to_come_back() {
    let start = Instant::now();
    let mut attempt = Hints::default().start(start, &"ayla".into(), 0, 2, 9, millis(500));
    let never = HalfAnswer::Answered(Taken::RetryAfter(Duration::MAX));
    let (end, _) = run_attempt(&mut attempt, start, &[never.clone(), never]);
    let Step::Refuse(refusal) = end else { panic!("{end:?}") };
    assert_eq!((refusal.reason, refusal.retry_after), (Reason::OverAllowance, None));
}
