use {
    super::{
        super::{Choice, Outcome, PlacementRequest, UpstreamKey, UpstreamRecord, tests::record},
        *,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::collections::{BTreeSet, VecDeque},
};

const SEED: u64 = 20_261_206;
const HOSTS: usize = 76;
const UPSTREAMS: usize = 4;
const STEP: Duration = Duration::from_millis(5);
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// How long the upstreams of the replay are cold.
const COLD_START: Duration = Duration::from_secs(9);
const SECOND: Duration = Duration::from_secs(1);

/// Returns whether a host reaches no other one.
type IsCut = fn(usize) -> bool;

/// Returns the most requests that a second may have: the platform's `cold_excess` and `cold_slack`.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s + 5.0) as usize
}

fn services(per_s: f64) -> BTreeMap<ServiceId, ServiceRules> {
    let rules =
        ServiceRules { cold_start: COLD_START, cold_per_s: per_s, ..ServiceRules::default() };
    BTreeMap::from([("llm".into(), rules)])
}

fn host_id(number: usize) -> HostId {
    format!("host-{number}").into()
}

fn hosts(own: usize) -> AllowanceHosts {
    let others = (0..HOSTS).filter(|number| *number != own).map(host_id);
    AllowanceHosts::new(host_id(own), others, 1.0)
}

fn request<'a>() -> PlacementRequest<'a> {
    PlacementRequest {
        service: "llm",
        session: None,
        object: None,
        version: None,
        avoided_versions: &[],
        refused_by: &[],
        is_behind_others: false,
        ..PlacementRequest::default()
    }
}

fn entry(left: Duration, revision: u64, is_news: bool) -> ColdEntry {
    ColdEntry { left, revision: Some(revision), is_news }
}

/// A host before the upstreams, some of which are cold.
fn new_host(now: Instant, number: usize, per_s: f64, is_cold: bool) -> Placement {
    let mut placement = Placement::new("a".into());
    placement.set_limit_hosts(now, hosts(number));
    placement.set_cold_rules(now, &services(per_s));
    for upstream in 0..UPSTREAMS {
        let id = format!("cold-{upstream}");
        placement.upsert(UpstreamRecord { slots: 64, ..record(&id, "a") });
        placement.record_cold_entry(now, &id, entry(Duration::ZERO, 1, is_cold));
    }
    placement
}

/// Hosts with more requests than the cold upstreams take, in virtual time. With `restarts` hosts are
/// replaced by new ones.
fn replay(per_s: f64, is_cut: IsCut, restarts: bool) -> Vec<Vec<Instant>> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let began = Instant::now();
    let mut now = began;
    let mut hosts: Vec<Placement> =
        (0..HOSTS).map(|number| new_host(now, number, per_s, true)).collect();
    let mut arrivals = vec![Vec::new(); UPSTREAMS];
    let mut running: VecDeque<(Instant, usize, UpstreamKey)> = VecDeque::new();
    let mut order: Vec<usize> = (0..HOSTS).collect();
    while now < began + COLD_START - SECOND {
        now += STEP;
        while running.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, host, key)) = running.pop_front() else { break };
            hosts[host].record_end(now, key, Outcome::Done);
        }
        if restarts && rng.random_bool(0.04) {
            let number = rng.random_range(0..HOSTS);
            // A host that starts learns from the entries how long the upstreams are cold.
            hosts[number] = new_host(now, number, per_s, true);
            running.retain(|(_, host, _)| *host != number);
        }
        order.shuffle(&mut rng);
        for &host in &order {
            if !rng.random_bool(0.1) {
                continue;
            }
            match hosts[host].choose(now, &request()) {
                Choice::Use(key) => {
                    hosts[host].record_sent(now, key);
                    let id = hosts[host].record(key).expect("it was chosen").id.to_string();
                    let upstream: usize = id["cold-".len()..].parse().expect("a number");
                    arrivals[upstream].push(now);
                    running.push_back((now + SERVICE_TIME, host, key));
                }
                _ if is_cut(host) => {}
                _ => borrow(&mut hosts, host, now, is_cut),
            }
        }
    }
    arrivals
}

fn borrow(hosts: &mut [Placement], host: usize, now: Instant, is_cut: IsCut) {
    let Some(upstream) = hosts[host].cold_upstreams_to_borrow_for(now, "llm").pop() else { return };
    let left = hosts[host].cold_left(now, &upstream);
    for lender in hosts[host].cold_lenders(now, &upstream) {
        let number: usize = lender["host-".len()..].parse().expect("a number");
        if number == host || is_cut(number) {
            continue;
        }
        if hosts[number].lend_cold_token(now, &upstream, left, 1) == LendOutcome::Lent {
            hosts[host].receive_cold_token(now, &upstream);
            return;
        }
    }
}

/// Returns the most requests in any second.
fn busiest_second(arrivals: &[Instant]) -> usize {
    let in_second = |(first, at): (usize, &Instant)| {
        arrivals[first..].iter().take_while(|later| **later < *at + SECOND).count()
    };
    arrivals.iter().enumerate().map(in_second).max().unwrap_or_default()
}

/// Guards against upstreams that crash because each host sends to them as if it were alone.
#[test]
fn all_hosts_together_keep_to_the_rate_of_cold_upstreams() {
    let cuts: [(IsCut, bool, f64); 3] =
        [(|_| false, false, 0.6), (|host| host % 3 == 0, false, 0.0), (|_| false, true, 0.0)];
    for per_s in [1.0, 12.0, 60.0] {
        for (number, (is_cut, restarts, used_min)) in cuts.into_iter().enumerate() {
            let arrivals = replay(per_s, is_cut, restarts);
            let busiest = arrivals.iter().map(|one| busiest_second(one)).max().unwrap_or_default();
            let sent: usize = arrivals.iter().map(Vec::len).sum();
            let time_s = (COLD_START - SECOND).as_secs_f64();
            let used = sent as f64 / (per_s * time_s * UPSTREAMS as f64);
            println!(
                "{per_s}/s, case {number}: busiest second {busiest}, {used:.2} of the rate used"
            );
            assert!(busiest <= allowed(per_s), "{per_s}/s, case {number}: {busiest}");
            assert!(used >= used_min, "{per_s}/s, case {number}: {used:.2} of the rate used");
        }
    }
}

#[test]
fn entries_say_whether_an_upstream_is_cold() {
    let now = Instant::now();
    let mut placement = new_host(now, 0, 10.0, false);
    assert_eq!(placement.cold_count(now), 0, "those that were there when the host started");
    let id = "cold-0";
    assert!(placement.record_cold_entry(now, id, entry(3 * SECOND, 5, true)));
    // Listings repeat entries, and answers may come late.
    let later = now + 2 * SECOND;
    assert!(!placement.record_cold_entry(later, id, entry(3 * SECOND, 5, true)));
    assert!(!placement.record_cold_entry(later, id, entry(Duration::ZERO, 4, true)));
    assert_eq!(placement.cold_left(later, id), SECOND);
    assert_eq!(placement.cold_count(now + 4 * SECOND), 0);
    assert!(placement.record_cold_entry(later, id, entry(Duration::ZERO, 6, true)));
    assert_eq!(placement.cold_count(later), 0);
    // It registers again as another process.
    placement.upsert(UpstreamRecord { incarnation: Some(2), ..record(id, "a") });
    assert!(placement.record_cold_entry(later, id, entry(Duration::ZERO, 7, true)));
    assert_eq!(placement.cold_left(later, id), COLD_START);
    placement.set_cold_rules(later, &services(0.0));
    assert_eq!(placement.cold_count(later), 0, "its service needs no care");
}

/// Guards against a rush to a domain whose upstreams have become cold during its evacuation.
#[test]
fn upstreams_of_a_returned_domain_are_cold_until_a_later_entry() {
    let now = Instant::now();
    let mut placement = new_host(now, 0, 10.0, false);
    placement.set_evacuated_domains(now, 10, &BTreeSet::from(["a".into()]));
    assert_eq!(placement.cold_count(now), 0);
    placement.set_evacuated_domains(now, 20, &BTreeSet::new());
    assert_eq!(placement.cold_count(now), UPSTREAMS);
    assert_eq!(placement.choose(now, &request()), Choice::AllRefused, "no token is saved up");
    assert!(!placement.record_cold_entry(now, "cold-1", entry(Duration::ZERO, 19, true)));
    assert!(placement.record_cold_entry(now, "cold-1", entry(Duration::ZERO, 21, true)));
    let warm = placement.by_id["cold-1"];
    assert_eq!(placement.choose(now, &request()), Choice::Use(warm));
    assert_eq!(placement.cold_count(now + COLD_START), 0);
}

#[test]
fn lender_learns_from_a_borrower_that_an_upstream_is_cold() {
    let now = Instant::now();
    let mut placement = new_host(now, 0, 10.0, false);
    let lend = |placement: &mut Placement, revision| {
        placement.lend_cold_token(now, "cold-2", SECOND, revision)
    };
    assert_eq!(lend(&mut placement, 0), LendOutcome::NoToken);
    assert_eq!(placement.cold_count(now), 0, "it knows a later entry");
    assert_eq!(lend(&mut placement, 1), LendOutcome::NoToken);
    assert_eq!(placement.cold_left(now, "cold-2"), SECOND);
}
