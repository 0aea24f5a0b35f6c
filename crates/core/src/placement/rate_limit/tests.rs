use {
    super::{super::*, *},
    crate::ids::HostId,
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::collections::VecDeque,
};

const SEED: u64 = 20_261_204;
const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(5);
/// Time from a request to its answer's head, and to its end.
const HEAD_AFTER: Duration = Duration::from_millis(25);
const END_AFTER: Duration = Duration::from_millis(250);
/// Longest wait of a request.
const WAIT_MAX: Duration = Duration::from_millis(500);
/// Time for which a host has been told of a limit before its requests count.
const TOLD_FOR: Duration = Duration::from_millis(500);
/// Time after a limit is named, or after hosts change, from which it must hold.
const SETTLE_TIME: Duration = Duration::from_secs(1);
const SLOTS: u32 = 16;

/// Returns the most requests that a window may have: one and a half times what the limit allows,
/// and five.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

fn host_id(number: usize) -> HostId {
    format!("host-{number}").into()
}

fn upstream_id(number: usize) -> UpstreamId {
    format!("upstream-{number}").into()
}

fn new_placement(now: Instant, upstream_count: usize, hosts: AllowanceHosts) -> Placement {
    let mut placement = Placement::new("a".into());
    for number in 0..upstream_count {
        placement.upsert(UpstreamRecord {
            id: upstream_id(number),
            service: "llm".into(),
            address: ([127, 0, 0, 1], 9000 + number as u16).into(),
            domain: "a".into(),
            version: "v1".into(),
            slots: SLOTS,
            is_leaving: false,
            cold_left: None,
            incarnation: None,
        });
    }
    placement.set_limit_hosts(now, hosts);
    placement
}

struct SimulatedHost {
    /// `None` while the host is down.
    placement: Option<Placement>,
    /// Requests a second that arrive from its callers.
    demand_per_s: f64,
    due: f64,
    /// When each waiting request arrived, oldest first.
    waiting: VecDeque<Instant>,
    /// Requests under way: upstream, when sent, and whether its head has come.
    running: Vec<(UpstreamKey, usize, Instant, bool)>,
    next_borrowing_at: Instant,
    /// Since when the host knows of the limit of each upstream.
    told_at: HashMap<usize, Instant>,
}

/// Hosts before upstreams of one service, in virtual time.
struct Cluster {
    rng: StdRng,
    now: Instant,
    hosts: Vec<SimulatedHost>,
    /// Hosts that are listed, whether they run or not.
    listed: Vec<usize>,
    limits_per_s: Vec<Option<f64>>,
    /// When each request arrived, by upstream.
    arrivals: Vec<Vec<Instant>>,
    /// The same for requests of hosts that had been told of a limit for a while.
    told_arrivals: Vec<Vec<Instant>>,
    served: usize,
    refused: usize,
}

impl Cluster {
    /// Creates hosts with the given demands.
    fn new(seed: u64, demands_per_s: &[f64], upstream_count: usize) -> Self {
        let now = Instant::now();
        let listed: Vec<usize> = (0..demands_per_s.len()).collect();
        let hosts = demands_per_s.iter().enumerate().map(|(number, &demand_per_s)| {
            let hosts = view(number, &listed);
            SimulatedHost {
                placement: Some(new_placement(now, upstream_count, hosts)),
                demand_per_s,
                due: 0.0,
                waiting: VecDeque::new(),
                running: Vec::new(),
                next_borrowing_at: now,
                told_at: HashMap::new(),
            }
        });
        Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            hosts: hosts.collect(),
            listed,
            limits_per_s: vec![None; upstream_count],
            arrivals: vec![Vec::new(); upstream_count],
            told_arrivals: vec![Vec::new(); upstream_count],
            served: 0,
            refused: 0,
        }
    }

    fn limit_all(&mut self, upstreams: std::ops::Range<usize>, limit_per_s: Option<f64>) {
        self.limits_per_s[upstreams].fill(limit_per_s);
    }

    /// Kills a host. It loses its limits, and stays listed.
    fn kill(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        host.placement = None;
        host.waiting.clear();
        host.running.clear();
        host.told_at.clear();
    }

    fn restart(&mut self, host: usize) {
        let hosts = view(host, &self.listed);
        let placement = new_placement(self.now, self.limits_per_s.len(), hosts);
        self.hosts[host].placement = Some(placement);
    }

    /// A host joins: all know it before it uses its own share.
    fn join(&mut self, demand_per_s: f64) {
        let number = self.hosts.len();
        self.listed.push(number);
        self.hosts.push(SimulatedHost {
            placement: None,
            demand_per_s,
            due: 0.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            next_borrowing_at: self.now,
            told_at: HashMap::new(),
        });
        for host in 0..number {
            let hosts = view(host, &self.listed);
            if let Some(placement) = &mut self.hosts[host].placement {
                placement.set_limit_hosts(self.now, hosts);
            }
        }
        self.restart(number);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let loads = self.loads();
            for host in 0..self.hosts.len() {
                self.step(host, &loads);
            }
        }
    }

    /// Returns the requests under way at each upstream.
    fn loads(&self) -> Vec<u32> {
        let mut loads = vec![0; self.arrivals.len()];
        let running = self.hosts.iter().flat_map(|host| &host.running);
        running.for_each(|(_, upstream, ..)| loads[*upstream] += 1);
        loads
    }

    fn step(&mut self, number: usize, loads: &[u32]) {
        let now = self.now;
        let host = &mut self.hosts[number];
        let Some(placement) = &mut host.placement else { return };
        for (key, upstream, sent_at, has_head) in &mut host.running {
            if !*has_head && now >= *sent_at + HEAD_AFTER {
                *has_head = true;
                let limit_per_s = self.limits_per_s[*upstream];
                placement.record_limit(now, *key, *sent_at, limit_per_s);
                let running = loads[*upstream];
                placement.record_load(
                    now,
                    *key,
                    LoadReport { running, waiting: 0, slots: SLOTS, slowdown: None },
                );
                match limit_per_s {
                    Some(_) => {
                        host.told_at.entry(*upstream).or_insert(now);
                    }
                    None => {
                        host.told_at.remove(upstream);
                    }
                }
            }
            if now >= *sent_at + END_AFTER {
                placement.record_end(now, *key, Outcome::Done);
                self.served += 1;
            }
        }
        host.running.retain(|(_, _, sent_at, _)| now < *sent_at + END_AFTER);
        host.due += host.demand_per_s * STEP.as_secs_f64() * self.rng.random_range(0.0..2.0);
        while host.due >= 1.0 {
            host.due -= 1.0;
            host.waiting.push_back(now);
        }
        while let Some(&arrived_at) = host.waiting.front() {
            let request = PlacementRequest {
                service: "llm",
                session: None,
                object: None,
                version: None,
                avoided_versions: &[],
                refused_by: &[],
                is_behind_others: false,
                ..PlacementRequest::default()
            };
            match placement.choose(now, &request) {
                Choice::Use(key) => {
                    let id = placement.record(key).expect("it is listed").id.clone();
                    let upstream = (0..self.arrivals.len()).find(|n| upstream_id(*n) == id);
                    let upstream = upstream.expect("it is listed");
                    placement.record_sent(now, key);
                    self.arrivals[upstream].push(now);
                    if host.told_at.get(&upstream).is_some_and(|at| *at + TOLD_FOR <= now) {
                        self.told_arrivals[upstream].push(now);
                    }
                    host.running.push((key, upstream, now, false));
                    host.waiting.pop_front();
                }
                _ if now >= arrived_at + WAIT_MAX => {
                    host.waiting.pop_front();
                    self.refused += 1;
                }
                _ => break,
            }
        }
        if now >= host.next_borrowing_at {
            host.next_borrowing_at = now + 2 * STEP;
            self.borrow(number);
        }
    }

    fn borrow(&mut self, number: usize) {
        let now = self.now;
        let Some(placement) = &mut self.hosts[number].placement else { return };
        let mut upstreams = placement.upstreams_to_borrow_for(now, "llm");
        upstreams.shuffle(&mut self.rng);
        for upstream in upstreams.into_iter().take(3) {
            let Some(placement) = &self.hosts[number].placement else { return };
            let (Some(limit), Some(age)) =
                (placement.limit_per_s(&upstream), placement.limit_age(now, &upstream))
            else {
                continue;
            };
            let mut lenders = placement.limit_lenders(&upstream);
            let first = self.rng.random_range(0..lenders.len().max(1));
            lenders.rotate_left(first);
            for lender in lenders.iter().filter(|lender| **lender != host_id(number)).take(4) {
                let lender = (0..self.hosts.len()).find(|other| host_id(*other) == *lender);
                let Some(lender) = lender.map(|lender| &mut self.hosts[lender]) else { continue };
                let Some(lending) = lender.placement.as_mut().filter(|_| lender.waiting.is_empty())
                else {
                    continue;
                };
                let outcome = lending.lend_limit_token(now, &upstream, limit, age);
                let Some(placement) = &mut self.hosts[number].placement else { return };
                placement.on_limit_token_answer(now, &upstream, outcome);
                if outcome == LendOutcome::Lent {
                    break;
                }
            }
        }
    }

    /// Returns the largest number of requests of a window at an upstream, from `since` on. Those of
    /// hosts that were not told of the limit don't count.
    fn most_in_a_window(&self, upstream: usize, since: Instant) -> usize {
        let counted: Vec<Instant> =
            self.told_arrivals[upstream].iter().copied().filter(|at| *at >= since).collect();
        let mut first = 0;
        let mut most = 0;
        for (last, at) in counted.iter().enumerate() {
            while counted[first] + WINDOW <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// Checks that limits hold from `since` on, and returns the part of them that was used.
    fn used_since(&self, since: Instant) -> f64 {
        let (mut used, mut limit_sum) = (0, 0.0);
        for (upstream, limit_per_s) in self.limits_per_s.iter().enumerate() {
            let Some(limit_per_s) = *limit_per_s else { continue };
            let most = self.most_in_a_window(upstream, since);
            assert!(most <= allowed(limit_per_s), "{most} requests of {limit_per_s} a second");
            used += self.arrivals[upstream].iter().filter(|at| **at >= since).count();
            limit_sum += limit_per_s * (self.now - since).as_secs_f64();
        }
        used as f64 / limit_sum
    }

    fn arrivals_since(&self, upstream: usize, since: Instant) -> usize {
        self.arrivals[upstream].iter().filter(|at| **at >= since).count()
    }
}

/// Returns the view of a host in which all listed hosts serve callers.
fn view(own: usize, listed: &[usize]) -> AllowanceHosts {
    let peers = listed.iter().filter(|host| **host != own).map(|host| host_id(*host));
    AllowanceHosts::new(host_id(own), peers, 1.0)
}

/// Demands of hosts whose callers are spread unevenly, as many requests a second in all.
fn uneven(count: usize, total_per_s: f64) -> Vec<f64> {
    let weight = |host: usize| 1.0 + (host % 4) as f64;
    let sum: f64 = (0..count).map(weight).sum();
    (0..count).map(|host| total_per_s * weight(host) / sum).collect()
}

/// The day of the report: two thirds of the upstreams take half of what they got.
#[test]
fn limits_of_most_upstreams_hold_and_are_used() {
    for (seed, host_count) in [(SEED, 9), (SEED + 1, 3), (SEED + 2, 65)] {
        let mut cluster = Cluster::new(seed, &uneven(host_count, 160.0), 9);
        cluster.run(Duration::from_secs(3));
        cluster.limit_all(0..6, Some(8.2));
        cluster.run(SETTLE_TIME);
        let since = cluster.now;
        cluster.run(Duration::from_secs(12));
        let used = cluster.used_since(since);
        assert!(used >= 0.9, "{used:.2} of the limits used by {host_count} hosts");
        let sound: Vec<usize> = (6..9).map(|sound| cluster.arrivals_since(sound, since)).collect();
        assert!(sound.iter().all(|count| *count > 200), "{sound:?}");
    }
}

#[test]
fn limits_hold_and_are_used_when_all_upstreams_are_limited_in_a_burst() {
    for seed in SEED..SEED + 3 {
        let mut cluster = Cluster::new(seed, &uneven(9, 120.0), 9);
        cluster.limit_all(0..9, Some(8.2));
        cluster.run(Duration::from_secs(2));
        let since = cluster.now;
        cluster.hosts.iter_mut().for_each(|host| host.demand_per_s *= 3.0);
        cluster.run(Duration::from_secs(12));
        let used = cluster.used_since(since);
        assert!(used >= 0.9, "{used:.2} of the limits used");
        assert!(cluster.refused > cluster.served, "what limits don't allow is refused");
    }
}

#[test]
fn limits_that_fall_rise_end_and_return_hold() {
    for seed in SEED..SEED + 3 {
        let mut cluster = Cluster::new(seed, &uneven(9, 240.0), 9);
        for limit_per_s in [20.0, 4.0, 12.0, 1.0, 8.0] {
            cluster.limit_all(0..6, Some(limit_per_s));
            cluster.run(SETTLE_TIME + WINDOW);
            let since = cluster.now;
            cluster.run(Duration::from_secs(8));
            let used = cluster.used_since(since);
            assert!(used >= 0.9, "{used:.2} of {limit_per_s} used");
        }
        cluster.limit_all(0..6, None);
        cluster.run(Duration::from_secs(3));
        let since = cluster.now;
        cluster.run(Duration::from_secs(4));
        let counts: Vec<usize> = (0..6).map(|n| cluster.arrivals_since(n, since)).collect();
        assert!(counts.iter().all(|count| *count > allowed(8.0)), "limits have ended: {counts:?}");
        cluster.limit_all(0..9, Some(8.0));
        cluster.run(SETTLE_TIME);
        let since = cluster.now;
        cluster.run(Duration::from_secs(8));
        let used = cluster.used_since(since);
        assert!(used >= 0.9, "{used:.2} used after the limits returned");
    }
}

#[test]
fn limits_hold_while_hosts_restart_join_and_lose_peers() {
    for seed in SEED..SEED + 3 {
        let mut cluster = Cluster::new(seed, &uneven(9, 160.0), 9);
        cluster.limit_all(0..6, Some(8.2));
        cluster.run(SETTLE_TIME);
        let since = cluster.now;
        for number in 0..6 {
            let host = cluster.rng.random_range(0..9);
            cluster.kill(host);
            cluster.run(Duration::from_millis(1500));
            cluster.restart(host);
            cluster.run(Duration::from_millis(1500));
            if number % 2 == 0 {
                cluster.join(17.0);
            }
        }
        cluster.used_since(since);
        // A lost host keeps its share as long as it is listed.
        cluster.kill(0);
        let since = cluster.now;
        cluster.run(Duration::from_secs(8));
        cluster.used_since(since);
    }
}

#[test]
fn host_that_was_not_told_keeps_to_a_limit_that_a_borrower_names() {
    let now = Instant::now();
    let mut lender = new_placement(now, 1, view(0, &[0, 1]));
    let mut borrower = new_placement(now, 1, view(1, &[0, 1]));
    let key = |placement: &Placement| placement.by_id["upstream-0"];
    let key_of_borrower = key(&borrower);
    borrower.record_limit(now, key_of_borrower, now, Some(4.0));
    let ask = |lender: &mut Placement, borrower: &mut Placement, now| {
        let limit = borrower.limit_per_s("upstream-0").expect("it is limited");
        let age = borrower.limit_age(now, "upstream-0").expect("it is limited");
        let outcome = lender.lend_limit_token(now, "upstream-0", limit, age);
        borrower.on_limit_token_answer(now, "upstream-0", outcome);
        outcome
    };
    assert_eq!(ask(&mut lender, &mut borrower, now), LendOutcome::NoToken);
    assert_eq!(lender.limit_per_s("upstream-0"), Some(4.0));
    let later = now + Duration::from_secs(1);
    assert_eq!(ask(&mut lender, &mut borrower, later), LendOutcome::Lent);
    // The lender learns that the limit has ended, and the borrower from it.
    let key_of_lender = key(&lender);
    lender.record_limit(later, key_of_lender, later, None);
    let sent_ago = Duration::ZERO;
    assert_eq!(ask(&mut lender, &mut borrower, later), LendOutcome::NotLimited { sent_ago });
    assert_eq!(borrower.limit_per_s("upstream-0"), None);
    assert_eq!(lender.limit_per_s("upstream-0"), None);
}

#[test]
fn late_answers_do_not_change_the_limit() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut placement = new_placement(now, 1, view(0, &[0]));
    let key = placement.by_id["upstream-0"];
    placement.record_limit(at(30), key, at(20), Some(4.0));
    placement.record_limit(at(31), key, at(10), Some(9.0));
    placement.record_limit(at(32), key, at(10), None);
    assert_eq!(placement.limit_per_s("upstream-0"), Some(4.0));
    placement.record_limit(at(50), key, at(40), None);
    assert_eq!(placement.limit_per_s("upstream-0"), None);
    placement.record_limit(at(51), key, at(30), Some(4.0));
    assert_eq!(placement.limit_per_s("upstream-0"), None);
}

#[test]
fn requests_that_are_sent_again_count_against_the_limit() {
    let now = Instant::now();
    let mut placement = new_placement(now, 1, view(0, &[0]));
    let key = placement.by_id["upstream-0"];
    assert!(placement.try_send_again(now, key), "there is no limit");
    placement.record_limit(now, key, now, Some(2.0));
    assert!(!placement.try_send_again(now, key), "a new limit starts without tokens");
    let later = now + Duration::from_secs(1);
    for _ in 0..2 {
        assert!(placement.try_send_again(later, key));
    }
    assert!(!placement.try_send_again(later, key));
    let next = placement.next_within_limit(later, key).expect("the host has a share");
    assert!(!placement.try_send_again(next - Duration::from_millis(1), key));
    assert!(placement.try_send_again(next, key));
}

#[test]
fn requests_behind_others_leave_limited_upstreams_to_them() {
    let now = Instant::now();
    let mut placement = new_placement(now, 1, view(0, &[0]));
    let key = placement.by_id["upstream-0"];
    placement.record_limit(now, key, now, Some(2.0));
    let later = now + Duration::from_secs(1);
    let choose = |placement: &mut Placement, is_behind_others| {
        let request = PlacementRequest {
            service: "llm",
            session: None,
            object: None,
            version: None,
            avoided_versions: &[],
            refused_by: &[],
            is_behind_others,
            ..PlacementRequest::default()
        };
        placement.choose(later, &request)
    };
    assert_eq!(choose(&mut placement, true), Choice::AllRefused);
    assert_eq!(choose(&mut placement, false), Choice::Use(key));
}

#[test]
fn borrowed_tokens_expire() {
    let now = Instant::now();
    let hosts: Vec<usize> = (0..9).collect();
    let upstream = "upstream-0";
    let holders = view(0, &hosts);
    let is_holder = |host: &usize| holders.holders_of(upstream, 2.0).contains(&&host_id(*host));
    let other = hosts.iter().find(|host| !is_holder(host)).expect("few hosts hold a low limit");
    let mut placement = new_placement(now, 1, view(*other, &hosts));
    let key = placement.by_id[upstream];
    placement.record_limit(now, key, now, Some(2.0));
    assert_eq!(placement.next_within_limit(now + Duration::from_secs(9), key), None);
    placement.on_limit_token_answer(now, upstream, LendOutcome::Lent);
    assert!(!placement.try_send_again(now + Saving::NAMED_LIMIT.borrowed_ttl, key));
    placement.on_limit_token_answer(now, upstream, LendOutcome::Lent);
    assert!(placement.try_send_again(now, key) && !placement.try_send_again(now, key));
}

/// A restarted upstream is a new one, whose limit is not known.
#[test]
fn limit_ends_with_the_process_that_named_it() {
    let now = Instant::now();
    let mut placement = new_placement(now, 1, view(0, &[0]));
    let key = placement.by_id["upstream-0"];
    placement.record_limit(now, key, now, Some(2.0));
    let record = placement.record(key).expect("it is listed").clone();
    placement.upsert(UpstreamRecord { incarnation: Some(7), ..record });
    assert_eq!(placement.limit_per_s("upstream-0"), None);
}
