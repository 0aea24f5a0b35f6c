use {super::*, crate::ids::HostId, proptest::prelude::*};

fn rules(rate_per_s: f64, burst_requests: f64) -> AllowanceRules {
    let team =
        TeamRules { id: "t".into(), priority: None, rate_per_s: Some(rate_per_s), burst_requests };
    [("t".into(), Arc::new(team))].into()
}

/// Returns the view of the host with index `own_index`.
fn allowance_hosts(host_count: usize, own_index: usize, usable_fraction: f64) -> AllowanceHosts {
    let name = |index: usize| format!("host-{index}").into();
    AllowanceHosts::new(
        name(own_index),
        (0..host_count).filter(|index| *index != own_index).map(name),
        usable_fraction,
    )
}

fn new_shares(now: Instant, hosts: AllowanceHosts, rules: &AllowanceRules) -> Shares {
    let mut shares = Shares::default();
    shares.set_hosts(now, hosts, rules);
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
    let mut shares = new_shares(now, allowance_hosts(4, 0, 1.0), &rules(40.0, 40.0));
    assert_eq!(count_grants(&mut shares, now), 0);
    assert_eq!(count_grants(&mut shares, now + Duration::from_millis(500)), 5);
    assert_eq!(count_grants(&mut shares, now + Duration::from_secs(60)), 10);
}

#[test]
fn requests_of_unlimited_teams_are_always_granted() {
    let now = Instant::now();
    let mut shares = new_shares(now, allowance_hosts(4, 0, 1.0), &rules(40.0, 40.0));
    assert_eq!(shares.take(now, "unlimited", true), TakeResult::Granted);
}

#[test]
fn refused_take_returns_the_time_until_the_next_refill() {
    let now = Instant::now();
    let mut shares = new_shares(now, allowance_hosts(2, 0, 1.0), &rules(20.0, 20.0));
    let TakeResult::InsufficientTokens { next_token } = shares.take(now, "t", false) else {
        panic!("expected InsufficientTokens")
    };
    assert_eq!(next_token, Duration::from_millis(100));
    assert_eq!(count_grants(&mut shares, now + next_token), 1);
    let mut no_share = new_shares(now, allowance_hosts(2, 0, 0.0), &rules(20.0, 20.0));
    assert_eq!(
        no_share.take(now, "t", false),
        TakeResult::InsufficientTokens { next_token: Duration::MAX }
    );
}

#[test]
fn time_until_refilled_grows_with_the_queue_position() {
    let now = Instant::now();
    let mut shares = new_shares(now, allowance_hosts(2, 0, 1.0), &rules(20.0, 20.0));
    assert_eq!(shares.time_until_refilled(now, "t", 0), Duration::from_millis(100));
    assert_eq!(shares.time_until_refilled(now, "t", 4), Duration::from_millis(500));
    let later = now + Duration::from_millis(300);
    assert_eq!(shares.time_until_refilled(later, "t", 0), Duration::ZERO);
    assert_eq!(shares.time_until_refilled(later, "t", 3), Duration::from_millis(100));
    assert_eq!(shares.time_until_refilled(later, "unlimited", 100), Duration::ZERO);
    let mut no_share = new_shares(now, allowance_hosts(2, 0, 0.0), &rules(20.0, 20.0));
    assert_eq!(no_share.time_until_refilled(now, "t", 0), Duration::MAX);
    no_share.receive(now, "t", 2.0);
    assert_eq!(
        no_share.time_until_refilled(now, "t", 1),
        Duration::ZERO,
        "borrowed tokens are available"
    );
}

#[test]
fn lender_reserves_tokens_for_its_own_demand() {
    let now = Instant::now();
    let mut shares = new_shares(now, allowance_hosts(1, 0, 1.0), &rules(10.0, 10.0));
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
    let mut shares = new_shares(now, allowance_hosts(1, 0, 1.0), &rules(10.0, 10.0));
    let later = now + Duration::from_secs(60);
    assert_eq!(
        shares.take(later, "t", true),
        TakeResult::Granted,
        "nothing is reserved without active programs"
    );
    for _ in 0..5 {
        assert_eq!(shares.take(later, "t", false), TakeResult::Granted);
    }
    // Four tokens are left. At six requests per second, three of them are reserved for the next 500
    // ms of active programs.
    assert_eq!(shares.take(later, "t", true), TakeResult::Granted);
    assert!(matches!(shares.take(later, "t", true), TakeResult::InsufficientTokens { .. }));
    assert_eq!(shares.take(later, "t", false), TakeResult::Granted);
}

#[test]
fn lowering_the_burst_caps_the_bucket() {
    let now = Instant::now();
    let mut shares = new_shares(now, allowance_hosts(1, 0, 1.0), &rules(100.0, 100.0));
    let later = now + Duration::from_secs(60);
    shares.set_rules(later, &rules(5.0, 5.0));
    assert_eq!(count_grants(&mut shares, later), 5);
}

#[test]
fn all_hosts_select_the_same_few_holders_for_a_small_burst() {
    let seen_by: Vec<Vec<String>> = (0..65)
        .map(|own| {
            let hosts = allowance_hosts(65, own, 1.0);
            hosts.holders_of("t", 8.0).iter().map(|host| host.to_string()).collect()
        })
        .collect();
    assert_eq!(seen_by[0].len(), 4);
    assert!(seen_by.iter().all(|seen| *seen == seen_by[0]));
    let shares_total: f64 =
        (0..65).map(|own| allowance_hosts(65, own, 1.0).own_share("t", 8.0)).sum();
    assert!((shares_total - 1.0).abs() < 1e-9, "the shares add up to 1: {shares_total}");
    assert_eq!(allowance_hosts(65, 0, 1.0).holders_of("t", 1.0).len(), 1);
    assert_eq!(allowance_hosts(7, 0, 1.0).holders_of("t", 1000.0).len(), 7);
    assert_eq!(allowance_hosts(7, 0, 1.0).holders_of("t", f64::NAN).len(), 1);
}

#[test]
fn host_without_a_share_uses_borrowed_tokens() {
    let now = Instant::now();
    let rules = rules(8.0, 8.0);
    let name = |index: usize| HostId::from(format!("host-{index}"));
    let hosts = allowance_hosts(65, 0, 1.0);
    let holders: Vec<HostId> = hosts.holders_of("t", 8.0).into_iter().cloned().collect();
    let outsider =
        (0..65).find(|index| !holders.contains(&name(*index))).expect("61 hosts hold no share");
    let mut shares = new_shares(now, allowance_hosts(65, outsider, 1.0), &rules);
    let later = now + Duration::from_secs(60);
    assert!(matches!(shares.take(later, "t", false), TakeResult::InsufficientTokens { .. }));
    let one = WaitingRequests { active_program_count: 1, opens_program: false };
    assert_eq!(
        shares.tokens_to_borrow(later, "t", one),
        Some(1.0),
        "borrows no more than the waiting requests need"
    );
    assert_eq!(shares.tokens_to_borrow(later, "t", WaitingRequests::default()), None);
    let many = WaitingRequests { active_program_count: 20, opens_program: false };
    assert_eq!(shares.tokens_to_borrow(later, "t", many), Some(BUCKET_CAPACITY_MIN));
    shares.receive(later, "t", 100.0);
    assert_eq!(count_grants(&mut shares, later), BUCKET_CAPACITY_MIN as usize);
}

/// An event in a random run of several hosts: requests arrive at one host, a host borrows and the
/// reply with the lent tokens may be lost, a host restarts.
#[derive(Clone, Copy, Debug)]
enum Action {
    Requests { host: usize, count: u8 },
    Borrow { host: usize, from: usize, is_lost: bool },
    Restart { host: usize },
    Wait { ms: u64 },
}

const HOSTS: usize = 5;

fn action() -> impl Strategy<Value = Action> {
    let host = || 0..HOSTS;
    prop_oneof![
        4 => (host(), 1..20_u8).prop_map(|(host, count)| Action::Requests { host, count }),
        4 => (host(), host(), any::<bool>())
            .prop_map(|(host, from, is_lost)| Action::Borrow { host, from, is_lost }),
        1 => host().prop_map(|host| Action::Restart { host }),
        4 => (1..400_u64).prop_map(|ms| Action::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn sum_over_hosts_stays_within_the_allowance(
        actions in proptest::collection::vec(action(), 1..200),
        rate in 1.0..200.0_f64,
    ) {
        let rules = rules(rate, rate);
        let start = Instant::now();
        let mut now = start;
        let mut hosts: Vec<Shares> =
            (0..HOSTS).map(|index| new_shares(now, allowance_hosts(HOSTS, index, 1.0), &rules)).collect();
        let mut granted: Vec<Instant> = Vec::new();
        for action in actions {
            match action {
                Action::Requests { host, count } => {
                    for _ in 0..count {
                        if hosts[host].take(now, "t", false) == TakeResult::Granted {
                            granted.push(now);
                        }
                    }
                }
                Action::Borrow { host, from, is_lost } => {
                    let waiting = WaitingRequests { active_program_count: 3, opens_program: true };
                    let requested = hosts[host].tokens_to_borrow(now, "t", waiting);
                    let Some(requested) = requested else { continue };
                    let lent = hosts[from].lend(now, "t", requested);
                    if !is_lost && host != from {
                        hosts[host].receive(now, "t", lent);
                    }
                }
                Action::Restart { host } => {
                    hosts[host] = super::tests::new_shares(now, allowance_hosts(HOSTS, host, 1.0), &rules);
                }
                Action::Wait { ms } => now += Duration::from_millis(ms),
            }
        }
        // In any five seconds, the grants are at most the refill, the burst and the tokens borrowed
        // before.
        let window = Duration::from_secs(5);
        let allowed = rate * 5.0 + rate + BUCKET_CAPACITY_MIN * HOSTS as f64;
        for (first, &from) in granted.iter().enumerate() {
            let in_window = granted[first..].iter().take_while(|at| **at <= from + window).count();
            prop_assert!(
                in_window as f64 <= allowed + 1e-6,
                "{in_window} tokens granted within five seconds, at most {allowed} allowed"
            );
        }
    }
}
