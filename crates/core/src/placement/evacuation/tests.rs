use {
    super::{
        super::{Choice, LoadReport, Outcome, PlacementRequest, UpstreamRecord, tests::record},
        *,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::collections::{HashMap, VecDeque},
};

const SEED: u64 = 20_261_206;
const HOSTS: usize = 65;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const UPSTREAMS_PER_DOMAIN: usize = 14;
const SLOTS: u32 = 8;
const STEP: Duration = Duration::from_millis(5);
const SERVICE_TIME: Duration = Duration::from_millis(200);
/// Requests a second: 55% of what all domains can take, and 83% of what two of them can.
const DEMAND_PER_S: f64 = 924.0;
/// Longest time until a host learns of a change: the bound of the platform's settings.
const LEARN_TIME_MAX: Duration = Duration::from_secs(5);

fn domains(names: &[&str]) -> BTreeSet<DomainId> {
    names.iter().map(|name| DomainId::from(*name)).collect()
}

/// Hosts before the upstreams of three domains, in virtual time.
struct Replay {
    rng: StdRng,
    began: Instant,
    now: Instant,
    hosts: Vec<Placement>,
    /// Running requests: end, host and upstream.
    running: VecDeque<(Instant, usize, String)>,
    running_at: HashMap<String, u32>,
    /// When a host learns of the evacuated domains.
    news: Vec<(Instant, usize, BTreeSet<DomainId>)>,
    /// Second and upstream of each request that was sent, with its session.
    sent: Vec<(Duration, String, usize)>,
    refused: usize,
    due: f64,
}

impl Replay {
    fn start() -> Self {
        let now = Instant::now();
        let hosts = (0..HOSTS).map(|number| {
            let mut placement = Placement::new(DOMAINS[number % DOMAINS.len()].into());
            for domain in DOMAINS {
                for upstream in 0..UPSTREAMS_PER_DOMAIN {
                    let id = format!("{domain}-{upstream}");
                    placement.upsert(UpstreamRecord { slots: SLOTS, ..record(&id, domain) });
                }
            }
            placement.set_evacuated_domains(now, 1, &BTreeSet::new());
            placement
        });
        Self {
            rng: StdRng::seed_from_u64(SEED),
            began: now,
            now,
            hosts: hosts.collect(),
            running: VecDeque::new(),
            running_at: HashMap::new(),
            news: Vec::new(),
            sent: Vec::new(),
            refused: 0,
            due: 0.0,
        }
    }

    /// Tells each host of the evacuated domains at a random time within the bound.
    fn announce(&mut self, names: &[&str]) {
        for host in 0..HOSTS {
            let at = self.now + LEARN_TIME_MAX.mul_f64(self.rng.random());
            self.news.push((at, host, domains(names)));
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            for (_, host, evacuated) in self.news.extract_if(.., |(at, ..)| *at <= now) {
                self.hosts[host].set_evacuated_domains(now, 1, &evacuated);
            }
            while self.running.front().is_some_and(|(at, ..)| *at <= now) {
                self.end_request();
            }
            self.due += DEMAND_PER_S * STEP.as_secs_f64();
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.send_request();
            }
        }
    }

    fn end_request(&mut self) {
        let Some((_, host, id)) = self.running.pop_front() else { return };
        let running = self.running_at.get_mut(&id).expect("the request runs there");
        *running -= 1;
        let load = LoadReport { running: *running, waiting: 0, slots: SLOTS, slowdown: None };
        let placement = &mut self.hosts[host];
        let (key, _) = placement.find(&id).expect("no upstream is removed");
        placement.record_load(self.now, key, load);
        placement.record_end(self.now, key, Outcome::Done);
    }

    fn send_request(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        // Sessions stay with their hosts.
        let session = self.rng.random_range(0..200) * HOSTS + host;
        let request = PlacementRequest {
            service: "llm",
            session: Some(&format!("session-{session}")),
            object: None,
            version: None,
            avoided_versions: &[],
            refused_by: &[],
            is_behind_others: false,
            ..PlacementRequest::default()
        };
        let placement = &mut self.hosts[host];
        let Choice::Use(key) = placement.choose(self.now, &request) else {
            self.refused += 1;
            return;
        };
        placement.record_sent(self.now, key);
        let id = placement.record(key).expect("it was chosen").id.to_string();
        *self.running_at.entry(id.clone()).or_default() += 1;
        self.running.push_back((self.now + SERVICE_TIME, host, id.clone()));
        self.sent.push((self.now - self.began, id, session));
    }

    /// Returns the requests that were sent to a domain from `from` on, for `duration`, as a fraction
    /// of all.
    fn share(&self, domain: &str, from: Duration, duration: Duration) -> f64 {
        let is_in = |at: &Duration| (from..from + duration).contains(at);
        let all = self.sent.iter().filter(|(at, ..)| is_in(at));
        let (mut count, mut total) = (0.0, 0.0);
        for (_, upstream, _) in all {
            total += 1.0;
            count += f64::from(upstream.starts_with(domain));
        }
        count / total
    }
}

const SECOND: Duration = Duration::from_secs(1);

/// Guards against requests to an evacuated domain, a remaining domain that gets too much, and a rush of
/// requests to a domain that returns.
#[test]
fn domain_is_evacuated_and_returns_at_many_hosts() {
    let mut replay = Replay::start();
    replay.run(5 * SECOND);
    replay.announce(&["a"]);
    replay.run(5 * SECOND);
    let evacuated_from = replay.now - replay.began;
    replay.run(5 * SECOND);
    assert_eq!(replay.share("a", evacuated_from, 5 * SECOND), 0.0);
    let of_b = replay.share("b", evacuated_from, 5 * SECOND);
    assert!((0.45..0.55).contains(&of_b), "{of_b}");
    assert_eq!(replay.refused, 0);
    let last_upstream = |replay: &Replay| -> HashMap<usize, String> {
        replay.sent.iter().map(|(_, upstream, session)| (*session, upstream.clone())).collect()
    };
    let before = last_upstream(&replay);
    replay.announce(&[]);
    let returned_from = replay.now - replay.began;
    replay.run(20 * SECOND);
    let shares: Vec<f64> =
        (0..20).map(|second| replay.share("a", returned_from + second * SECOND, SECOND)).collect();
    // A rise by a tenth of all requests in a second is what the ramp allows if all hosts learn of
    // the return at the same time.
    for pair in shares.windows(2) {
        assert!(pair[1] - pair[0] <= 0.1, "{shares:.2?}");
    }
    assert!(shares.iter().all(|share| *share <= 1.0 / 3.0 + 0.1), "{shares:.2?}");
    assert!(shares[0] <= 0.1, "{shares:.2?}");
    let after = last_upstream(&replay);
    let moved = before.iter().filter(|(session, upstream)| after[*session] != **upstream).count();
    println!("shares {shares:.2?}, {moved} of {} sessions moved", before.len());
    assert!(moved * 2 < before.len(), "{moved} of {} sessions moved", before.len());
}

#[test]
fn host_that_knows_no_evacuations_yet_uses_no_upstream() {
    let now = Instant::now();
    let mut placement = Placement::new("a".into());
    placement.await_evacuated_domains();
    placement.upsert(record("one", "a"));
    let key = placement.by_id["one"];
    assert!(placement.is_excluded(key));
    assert_eq!(placement.usable_addresses(), vec![]);
    placement.set_evacuated_domains(now, 1, &domains(&["b", "nowhere"]));
    assert!(!placement.is_excluded(key));
    assert_eq!(placement.upstreams[key].return_load(now), 0.0, "it was not evacuated");
    // An upstream that registers during the evacuation of its domain, or moves there.
    placement.upsert(record("two", "b"));
    assert!(placement.is_excluded(placement.by_id["two"]));
    placement.upsert(record("one", "b"));
    assert!(placement.is_excluded(key));
}

#[test]
fn ejected_upstreams_of_evacuated_domains_are_not_used_instead() {
    let now = Instant::now();
    let mut placement = Placement::new("a".into());
    placement.upsert(record("one", "a"));
    placement.upsert(record("two", "b"));
    placement.set_evacuated_domains(now, 1, &domains(&["a"]));
    let two = placement.by_id["two"];
    placement.record_end(now, two, Outcome::Misdirected);
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
    assert_eq!(placement.choose(now, &request), Choice::Use(two));
    placement.set_evacuated_domains(now, 1, &domains(&["a", "b"]));
    assert_eq!(placement.choose(now, &request), Choice::NoUpstream);
    assert_eq!(placement.service_load(now, "llm").0, 0);
}

/// Guards against late answers and other hosts' older states, which would end an evacuation.
#[test]
fn states_and_changes_that_are_not_newer_are_ignored() {
    let mut evacuations = Evacuations::default();
    let begun = |name: &str| EvacuationChange::Begun(name.into());
    let ended = |name: &str| EvacuationChange::Ended(name.into());
    assert!(!evacuations.on_changes(9, [begun("a")]), "no state is known yet");
    assert!(evacuations.on_state(10, domains(&[])), "the first state is news");
    assert!(evacuations.on_state(20, domains(&["a"])));
    assert!(!evacuations.on_state(15, domains(&[])));
    assert!(!evacuations.on_changes(20, [ended("a")]));
    assert!(!evacuations.on_changes(21, [ended("a"), begun("a")]), "written again");
    assert_eq!(evacuations.known(), Some((21, &domains(&["a"]))));
    assert!(evacuations.on_changes(22, [begun("b"), ended("a")]));
    assert_eq!(evacuations.known(), Some((22, &domains(&["b"]))));
}

/// Guards against programs that are admitted in the time until the remaining upstreams report the work
/// of the evacuated ones.
#[test]
fn queue_delay_counts_the_work_of_evacuated_domains_at_once() {
    let now = Instant::now();
    let mut placement = Placement::new("a".into());
    for domain in DOMAINS {
        placement.upsert(record(domain, domain));
        let key = placement.by_id[domain];
        placement.record_sent(now, key);
        placement.record_load(
            now,
            key,
            LoadReport { running: 4, waiting: 0, slots: 4, slowdown: None },
        );
        placement.record_duration(now, key, SECOND);
    }
    assert_eq!(placement.queue_delay(now, "llm"), Some(Duration::ZERO));
    placement.set_evacuated_domains(now, 1, &domains(&["a"]));
    // The work of three full upstreams at two: half of a queue each.
    assert_eq!(placement.queue_delay(now, "llm"), Some(SECOND / 2));
    let later = now + Duration::from_millis(1400);
    let delay = placement.queue_delay(later, "llm").expect("the reports are fresh");
    assert!(delay < SECOND / 4, "the reports tell by then: {delay:?}");
    placement.set_evacuated_domains(now, 2, &domains(&["a", "b", "c"]));
    assert_eq!(placement.queue_delay(now, "llm"), None);
}

/// Guards against requests that a host sends after it was suspended over an evacuation.
#[test]
fn suspended_host_waits_until_the_evacuations_were_read_anew() {
    let began = Instant::now();
    let at = |ms: u64| began + Duration::from_millis(ms);
    let mut guard = PauseGuard::default();
    assert_eq!(guard.tick(at(0)), (None, false));
    assert_eq!(guard.tick(at(1900)), (None, false), "a busy process");
    let until = Some(at(6500));
    assert_eq!(guard.tick(at(5000)), (until, true));
    assert_eq!(guard.tick(at(5100)), (until, false));
    assert!(!guard.on_read(at(1900)), "the call is from before the suspension");
    assert_eq!(guard.tick(at(5200)), (until, false));
    assert!(guard.on_read(at(5100)));
    assert_eq!(guard.tick(at(5300)), (None, false));
    // The store is away: the last known evacuations are in force.
    assert_eq!(guard.tick(at(9000)), (Some(at(10_500)), true));
    assert_eq!(guard.tick(at(10_500)), (None, false));
    assert!(!guard.is_unconfirmed() && !guard.on_read(at(10_600)));
}
