use {super::*, crate::ids::HostId, proptest::prelude::*};

fn rules(rate_per_s: f64, burst_requests: f64) -> Rules {
    let team =
        TeamRules { id: "t".into(), rank: None, rate_per_s: Some(rate_per_s), burst_requests };
    [("t".into(), Arc::new(team))].into()
}

/// One of some hosts.
fn one_of(hosts: usize, own: usize, trusted: f64) -> Holders {
    let name = |at: usize| format!("host-{at}").into();
    Holders::new(name(own), (0..hosts).filter(|at| *at != own).map(name), trusted)
}

fn host(now: Instant, holders: Holders, rules: &Rules) -> Shares {
    let mut shares = Shares::default();
    shares.set_holders(now, holders, rules);
    shares
}

fn takes(shares: &mut Shares, now: Instant) -> usize {
    std::iter::repeat_with(|| shares.take(now, "t", false))
        .take_while(|take| *take == Take::Granted)
        .take(10_000)
        .count()
}

#[test]
fn host_begins_empty_and_fills_at_its_share() {
    let now = Instant::now();
    let mut shares = host(now, one_of(4, 0, 1.0), &rules(40.0, 40.0));
    assert_eq!(takes(&mut shares, now), 0);
    assert_eq!(takes(&mut shares, now + Duration::from_millis(500)), 5);
    assert_eq!(takes(&mut shares, now + Duration::from_secs(60)), 10);
}

#[test]
fn teams_without_limit_always_have_a_token() {
    let now = Instant::now();
    let mut shares = host(now, one_of(4, 0, 1.0), &rules(40.0, 40.0));
    assert_eq!(shares.take(now, "unlimited", true), Take::Granted);
}

#[test]
fn short_host_is_told_when_its_own_share_has_a_token() {
    let now = Instant::now();
    let mut shares = host(now, one_of(2, 0, 1.0), &rules(20.0, 20.0));
    let Take::Short { next_token } = shares.take(now, "t", false) else {
        panic!("empty buckets are short")
    };
    assert_eq!(next_token, Duration::from_millis(100));
    assert_eq!(takes(&mut shares, now + next_token), 1);
    let mut without = host(now, one_of(2, 0, 0.0), &rules(20.0, 20.0));
    assert_eq!(without.take(now, "t", false), Take::Short { next_token: Duration::MAX });
}

#[test]
fn those_who_wait_are_told_their_turn() {
    let now = Instant::now();
    let mut shares = host(now, one_of(2, 0, 1.0), &rules(20.0, 20.0));
    assert_eq!(shares.own_token_in(now, "t", 0), Duration::from_millis(100));
    assert_eq!(shares.own_token_in(now, "t", 4), Duration::from_millis(500));
    let later = now + Duration::from_millis(300);
    assert_eq!(shares.own_token_in(later, "t", 0), Duration::ZERO);
    assert_eq!(shares.own_token_in(later, "t", 3), Duration::from_millis(100));
    assert_eq!(shares.own_token_in(later, "unlimited", 100), Duration::ZERO);
    let mut without = host(now, one_of(2, 0, 0.0), &rules(20.0, 20.0));
    assert_eq!(without.own_token_in(now, "t", 0), Duration::MAX);
    without.receive(now, "t", 2.0);
    assert_eq!(without.own_token_in(now, "t", 1), Duration::ZERO, "borrowed tokens are there");
}

#[test]
fn lender_keeps_what_it_needs_itself() {
    let now = Instant::now();
    let mut shares = host(now, one_of(1, 0, 1.0), &rules(10.0, 10.0));
    let later = now + Duration::from_secs(60);
    for _ in 0..5 {
        assert_eq!(shares.take(later, "t", false), Take::Granted);
    }
    // Five tokens are left, and five requests a second need one and a half of them soon.
    assert_eq!(shares.lend(later, "t", 100.0), 3.5);
    assert_eq!(shares.lend(later, "t", 100.0), 0.0);
    assert_eq!(shares.lend(later, "t", f64::NAN).max(0.0), 0.0);
    assert_eq!(shares.lend(later, "t", -5.0), 0.0);
}

#[test]
fn new_programs_leave_what_those_under_way_need() {
    let now = Instant::now();
    let mut shares = host(now, one_of(1, 0, 1.0), &rules(10.0, 10.0));
    let later = now + Duration::from_secs(60);
    assert_eq!(shares.take(later, "t", true), Take::Granted, "nobody else is there");
    for _ in 0..5 {
        assert_eq!(shares.take(later, "t", false), Take::Granted);
    }
    // Four tokens are left, and six requests a second need three of them soon.
    assert_eq!(shares.take(later, "t", true), Take::Granted);
    assert!(matches!(shares.take(later, "t", true), Take::Short { .. }));
    assert_eq!(shares.take(later, "t", false), Take::Granted);
}

#[test]
fn lower_limit_clips_what_was_saved() {
    let now = Instant::now();
    let mut shares = host(now, one_of(1, 0, 1.0), &rules(100.0, 100.0));
    let later = now + Duration::from_secs(60);
    shares.set_rules(later, &rules(5.0, 5.0));
    assert_eq!(takes(&mut shares, later), 5);
}

#[test]
fn small_bursts_are_held_by_few_hosts_that_all_agree_on() {
    let seen_by: Vec<Vec<String>> = (0..65)
        .map(|own| {
            let holders = one_of(65, own, 1.0);
            holders.of("t", 8.0).iter().map(|host| host.to_string()).collect()
        })
        .collect();
    assert_eq!(seen_by[0].len(), 4);
    assert!(seen_by.iter().all(|seen| *seen == seen_by[0]));
    let parts: f64 = (0..65).map(|own| one_of(65, own, 1.0).own_part("t", 8.0)).sum();
    assert!((parts - 1.0).abs() < 1e-9, "the parts add up to the whole: {parts}");
    assert_eq!(one_of(65, 0, 1.0).of("t", 1.0).len(), 1);
    assert_eq!(one_of(7, 0, 1.0).of("t", 1000.0).len(), 7);
    assert_eq!(one_of(7, 0, 1.0).of("t", f64::NAN).len(), 1);
}

#[test]
fn host_without_a_part_lives_on_borrowed_tokens() {
    let now = Instant::now();
    let rules = rules(8.0, 8.0);
    let name = |at: usize| HostId::from(format!("host-{at}"));
    let holders = one_of(65, 0, 1.0);
    let holds: Vec<HostId> = holders.of("t", 8.0).into_iter().cloned().collect();
    let without = (0..65).find(|at| !holds.contains(&name(*at))).expect("61 hosts hold nothing");
    let mut shares = host(now, one_of(65, without, 1.0), &rules);
    let later = now + Duration::from_secs(60);
    assert!(matches!(shares.take(later, "t", false), Take::Short { .. }));
    let one = Waiting { under_way: 1, opens_program: false };
    assert_eq!(shares.shortage(later, "t", one), Some(1.0), "no more than is waited for");
    assert_eq!(shares.shortage(later, "t", Waiting::default()), None);
    let many = Waiting { under_way: 20, opens_program: false };
    assert_eq!(shares.shortage(later, "t", many), Some(BORROWED_TOKENS_MAX));
    shares.receive(later, "t", 100.0);
    assert_eq!(takes(&mut shares, later), BORROWED_TOKENS_MAX as usize);
}

/// A day of several hosts: requests come to one of them, tokens are lent, lent tokens get lost,
/// hosts restart.
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
            (0..HOSTS).map(|at| host(now, one_of(HOSTS, at, 1.0), &rules)).collect();
        let mut granted: Vec<Instant> = Vec::new();
        for step in steps {
            match step {
                Step::Requests { host, count } => {
                    for _ in 0..count {
                        if hosts[host].take(now, "t", false) == Take::Granted {
                            granted.push(now);
                        }
                    }
                }
                Step::Borrow { host, from, is_lost } => {
                    let waiting = Waiting { under_way: 3, opens_program: true };
                    let wanted = hosts[host].shortage(now, "t", waiting);
                    let Some(wanted) = wanted else { continue };
                    let lent = hosts[from].lend(now, "t", wanted);
                    if !is_lost && host != from {
                        hosts[host].receive(now, "t", lent);
                    }
                }
                Step::Restart { host } => {
                    hosts[host] = super::tests::host(now, one_of(HOSTS, host, 1.0), &rules);
                }
                Step::Wait { ms } => now += Duration::from_millis(ms),
            }
        }
        // Any window of five seconds, with what was borrowed before it on top of the burst.
        let window = Duration::from_secs(5);
        let allowed = rate * 5.0 + rate + BORROWED_TOKENS_MAX * HOSTS as f64;
        for (first, &from) in granted.iter().enumerate() {
            let in_window = granted[first..].iter().take_while(|at| **at <= from + window).count();
            prop_assert!(in_window as f64 <= allowed + 1e-6, "{in_window} of {allowed}");
        }
    }
}
