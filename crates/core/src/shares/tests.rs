use {super::*, crate::ids::HostId, proptest::prelude::*};

fn rules(rate_per_s: f64, burst_requests: f64) -> AllowanceRules {
    let team =
        TeamRules { id: "t".into(), rank: None, rate_per_s: Some(rate_per_s), burst_requests };
    [("t".into(), Arc::new(team))].into()
}

/// Returns the holders as host number `own` of `hosts` sees them.
fn holders_seen_by(hosts: usize, own: usize, usable_fraction: f64) -> Holders {
    let name = |at: usize| format!("host-{at}").into();
    Holders::new(name(own), (0..hosts).filter(|at| *at != own).map(name), usable_fraction)
}

fn new_shares(now: Instant, holders: Holders, rules: &AllowanceRules) -> Shares {
    let mut shares = Shares::default();
    shares.set_holders(now, holders, rules);
    shares
}

fn count_grants(shares: &mut Shares, now: Instant) -> usize {
    std::iter::repeat_with(|| shares.take(now, "t", false))
        .take_while(|take| *take == TakeResult::Granted)
        .take(10_000)
        .count()
}

#[test]
fn host_starts_empty_and_refills_at_its_share() {
    let now = Instant::now();
    let mut shares = new_shares(now, holders_seen_by(4, 0, 1.0), &rules(40.0, 40.0));
    assert_eq!(count_grants(&mut shares, now), 0);
    assert_eq!(count_grants(&mut shares, now + Duration::from_millis(500)), 5);
    assert_eq!(count_grants(&mut shares, now + Duration::from_secs(60)), 10);
}

#[test]
fn teams_without_limit_always_have_a_token() {
    let now = Instant::now();
    let mut shares = new_shares(now, holders_seen_by(4, 0, 1.0), &rules(40.0, 40.0));
    assert_eq!(shares.take(now, "unlimited", true), TakeResult::Granted);
}

#[test]
fn insufficient_tokens_report_when_the_own_share_has_one() {
    let now = Instant::now();
    let mut shares = new_shares(now, holders_seen_by(2, 0, 1.0), &rules(20.0, 20.0));
    let TakeResult::InsufficientTokens { next_token } = shares.take(now, "t", false) else {
        panic!("an empty bucket has no token")
    };
    assert_eq!(next_token, Duration::from_millis(100));
    assert_eq!(count_grants(&mut shares, now + next_token), 1);
    let mut without = new_shares(now, holders_seen_by(2, 0, 0.0), &rules(20.0, 20.0));
    assert_eq!(
        without.take(now, "t", false),
        TakeResult::InsufficientTokens { next_token: Duration::MAX }
    );
}

#[test]
fn waiting_requests_get_the_time_of_their_own_token() {
    let now = Instant::now();
    let mut shares = new_shares(now, holders_seen_by(2, 0, 1.0), &rules(20.0, 20.0));
    assert_eq!(shares.time_to_own_token(now, "t", 0), Duration::from_millis(100));
    assert_eq!(shares.time_to_own_token(now, "t", 4), Duration::from_millis(500));
    let later = now + Duration::from_millis(300);
    assert_eq!(shares.time_to_own_token(later, "t", 0), Duration::ZERO);
    assert_eq!(shares.time_to_own_token(later, "t", 3), Duration::from_millis(100));
    assert_eq!(shares.time_to_own_token(later, "unlimited", 100), Duration::ZERO);
    let mut without = new_shares(now, holders_seen_by(2, 0, 0.0), &rules(20.0, 20.0));
    assert_eq!(without.time_to_own_token(now, "t", 0), Duration::MAX);
    without.receive(now, "t", 2.0);
    assert_eq!(
        without.time_to_own_token(now, "t", 1),
        Duration::ZERO,
        "borrowed tokens are available"
    );
}

#[test]
fn lender_keeps_its_own_demand() {
    let now = Instant::now();
    let mut shares = new_shares(now, holders_seen_by(1, 0, 1.0), &rules(10.0, 10.0));
    let later = now + Duration::from_secs(60);
    for _ in 0..5 {
        assert_eq!(shares.take(later, "t", false), TakeResult::Granted);
    }
    // Five tokens are left. At five requests per second, the lender keeps 1.5 of them.
    assert_eq!(shares.lend(later, "t", 100.0), 3.5);
    assert_eq!(shares.lend(later, "t", 100.0), 0.0);
    assert_eq!(shares.lend(later, "t", f64::NAN).max(0.0), 0.0);
    assert_eq!(shares.lend(later, "t", -5.0), 0.0);
}

#[test]
fn new_programs_leave_tokens_for_active_programs() {
    let now = Instant::now();
    let mut shares = new_shares(now, holders_seen_by(1, 0, 1.0), &rules(10.0, 10.0));
    let later = now + Duration::from_secs(60);
    assert_eq!(shares.take(later, "t", true), TakeResult::Granted, "no active program has demand");
    for _ in 0..5 {
        assert_eq!(shares.take(later, "t", false), TakeResult::Granted);
    }
    // Four tokens are left. At six requests per second, active programs need three of them soon.
    assert_eq!(shares.take(later, "t", true), TakeResult::Granted);
    assert!(matches!(shares.take(later, "t", true), TakeResult::InsufficientTokens { .. }));
    assert_eq!(shares.take(later, "t", false), TakeResult::Granted);
}

#[test]
fn lower_limit_clips_saved_tokens() {
    let now = Instant::now();
    let mut shares = new_shares(now, holders_seen_by(1, 0, 1.0), &rules(100.0, 100.0));
    let later = now + Duration::from_secs(60);
    shares.set_rules(later, &rules(5.0, 5.0));
    assert_eq!(count_grants(&mut shares, later), 5);
}

#[test]
fn small_bursts_are_held_by_few_hosts_that_all_agree_on() {
    let seen_by: Vec<Vec<String>> = (0..65)
        .map(|own| {
            let holders = holders_seen_by(65, own, 1.0);
            holders.for_team("t", 8.0).iter().map(|host| host.to_string()).collect()
        })
        .collect();
    assert_eq!(seen_by[0].len(), 4);
    assert!(seen_by.iter().all(|seen| *seen == seen_by[0]));
    let shares_total: f64 =
        (0..65).map(|own| holders_seen_by(65, own, 1.0).own_share("t", 8.0)).sum();
    assert!((shares_total - 1.0).abs() < 1e-9, "the shares add up to 1: {shares_total}");
    assert_eq!(holders_seen_by(65, 0, 1.0).for_team("t", 1.0).len(), 1);
    assert_eq!(holders_seen_by(7, 0, 1.0).for_team("t", 1000.0).len(), 7);
    assert_eq!(holders_seen_by(7, 0, 1.0).for_team("t", f64::NAN).len(), 1);
}

#[test]
fn host_without_a_share_uses_borrowed_tokens() {
    let now = Instant::now();
    let rules = rules(8.0, 8.0);
    let name = |at: usize| HostId::from(format!("host-{at}"));
    let holders = holders_seen_by(65, 0, 1.0);
    let holds: Vec<HostId> = holders.for_team("t", 8.0).into_iter().cloned().collect();
    let without = (0..65).find(|at| !holds.contains(&name(*at))).expect("61 hosts hold no share");
    let mut shares = new_shares(now, holders_seen_by(65, without, 1.0), &rules);
    let later = now + Duration::from_secs(60);
    assert!(matches!(shares.take(later, "t", false), TakeResult::InsufficientTokens { .. }));
    let one = WaitingRequests { of_active_programs: 1, opens_program: false };
    assert_eq!(
        shares.tokens_to_borrow(later, "t", one),
        Some(1.0),
        "borrows no more than the waiting requests need"
    );
    assert_eq!(shares.tokens_to_borrow(later, "t", WaitingRequests::default()), None);
    let many = WaitingRequests { of_active_programs: 20, opens_program: false };
    assert_eq!(shares.tokens_to_borrow(later, "t", many), Some(BORROWED_TOKENS_MAX));
    shares.receive(later, "t", 100.0);
    assert_eq!(count_grants(&mut shares, later), BORROWED_TOKENS_MAX as usize);
}

/// A step of a random run of several hosts: requests arrive at one host, hosts borrow tokens, lent
/// tokens get lost, hosts restart.
#[derive(Clone, Copy, Debug)]
enum Step {
    Requests { host: usize, count: u8 },
    Borrow { host: usize, from: usize, is_lost: bool },
    Restart { host: usize },
    Wait { ms: u64 },
}

const HOSTS: usize = 5;

fn step() -> impl Strategy<Value = Step> {
    let host = || 0..HOSTS;
    prop_oneof![
        4 => (host(), 1..20_u8).prop_map(|(host, count)| Step::Requests { host, count }),
        4 => (host(), host(), any::<bool>())
            .prop_map(|(host, from, is_lost)| Step::Borrow { host, from, is_lost }),
        1 => host().prop_map(|host| Step::Restart { host }),
        4 => (1..400_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn sum_over_hosts_stays_within_the_allowance(
        steps in proptest::collection::vec(step(), 1..200),
        rate in 1.0..200.0_f64,
    ) {
        let rules = rules(rate, rate);
        let start = Instant::now();
        let mut now = start;
        let mut hosts: Vec<Shares> =
            (0..HOSTS).map(|at| new_shares(now, holders_seen_by(HOSTS, at, 1.0), &rules)).collect();
        let mut granted: Vec<Instant> = Vec::new();
        for step in steps {
            match step {
                Step::Requests { host, count } => {
                    for _ in 0..count {
                        if hosts[host].take(now, "t", false) == TakeResult::Granted {
                            granted.push(now);
                        }
                    }
                }
                Step::Borrow { host, from, is_lost } => {
                    let waiting = WaitingRequests { of_active_programs: 3, opens_program: true };
                    let wanted = hosts[host].tokens_to_borrow(now, "t", waiting);
                    let Some(wanted) = wanted else { continue };
                    let lent = hosts[from].lend(now, "t", wanted);
                    if !is_lost && host != from {
                        hosts[host].receive(now, "t", lent);
                    }
                }
                Step::Restart { host } => {
                    hosts[host] = super::tests::new_shares(now, holders_seen_by(HOSTS, host, 1.0), &rules);
                }
                Step::Wait { ms } => now += Duration::from_millis(ms),
            }
        }
        // Bounds any window of five seconds: rate, burst, and tokens borrowed before the window.
        let window = Duration::from_secs(5);
        let allowed = rate * 5.0 + rate + BORROWED_TOKENS_MAX * HOSTS as f64;
        for (first, &from) in granted.iter().enumerate() {
            let in_window = granted[first..].iter().take_while(|at| **at <= from + window).count();
            prop_assert!(in_window as f64 <= allowed + 1e-6, "{in_window} of {allowed}");
        }
    }
}
