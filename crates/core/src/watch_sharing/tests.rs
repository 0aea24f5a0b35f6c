use {
    super::*,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::collections::BTreeSet,
};

/// An object's name and value; no value stands for a removal.
type TestChange = (String, Option<u64>);

impl ObjectChange for TestChange {
    fn name(&self) -> &str {
        &self.0
    }

    fn is_removal(&self) -> bool {
        self.1.is_none()
    }
}

fn put(name: &str, value: u64) -> (TestChange, usize) {
    ((name.to_string(), Some(value)), 10)
}

fn removal(name: &str) -> (TestChange, usize) {
    ((name.to_string(), None), 10)
}

fn plain(changes: &[(TestChange, usize)]) -> Vec<TestChange> {
    changes.iter().map(|(change, _)| change.clone()).collect()
}

#[test]
fn log_returns_the_changes_after_a_revision() {
    let mut log = ChangeLog::new(10, vec![put("a", 1)], 1000);
    let (first, second) = ([put("b", 2)], [removal("a"), put("b", 3)]);
    log.push(12, first.to_vec());
    log.push(15, second.to_vec());
    log.push(19, Vec::new());
    let both: Vec<_> = plain(&first).into_iter().chain(plain(&second)).collect();
    for (after, expected) in [
        (Some(10), ChangesAfter::Changes(both, 19)),
        (Some(12), ChangesAfter::Changes(plain(&second), 19)),
        // The beginning of a batch may be known already.
        (Some(13), ChangesAfter::Changes(plain(&second), 19)),
        (Some(19), ChangesAfter::Changes(Vec::new(), 19)),
        // The follower has read the store later than the reader.
        (Some(23), ChangesAfter::Changes(Vec::new(), 23)),
        (Some(9), ChangesAfter::State(plain(&[put("b", 3)]), 19)),
        (None, ChangesAfter::State(plain(&[put("b", 3)]), 19)),
    ] {
        assert_eq!(log.after(after), expected, "after {after:?}");
    }
}

#[test]
fn log_keeps_and_passes_on_no_more_than_its_bound() {
    let mut log = ChangeLog::new(1, Vec::new(), 30);
    for number in 2..100 {
        log.push(number, vec![put("a", number)]);
    }
    assert_eq!(log.after(Some(50)), ChangesAfter::State(plain(&[put("a", 99)]), 99));
    assert_eq!(log.after(Some(98)), ChangesAfter::Changes(plain(&[put("a", 99)]), 99));
    for number in 100..104 {
        log.push(number, vec![put(&format!("object-{number}"), 1)]);
    }
    assert_eq!(log.after(Some(50)), ChangesAfter::ReadStore);
    let ChangesAfter::Changes(changes, 103) = log.after(Some(101)) else { panic!("changes") };
    assert_eq!(changes.len(), 2);
}

#[test]
fn followers_with_any_gaps_reach_the_state_of_the_store() {
    for seed in 0..300 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let mut store: BTreeSet<(String, u64)> = BTreeSet::new();
        let mut log = ChangeLog::new(0, Vec::new(), 120);
        let (mut follower, mut known) = (BTreeSet::new(), None);
        for revision in 1..200 {
            let name = format!("object-{}", rng.random_range(0..6));
            store.retain(|(other, _)| *other != name);
            let value = rng.random_bool(0.7).then_some(revision);
            store.extend(value.map(|value| (name.clone(), value)));
            log.push(revision, vec![((name, value), 10)]);
            if rng.random_bool(0.8) {
                continue;
            }
            let (changes, at) = match log.after(known) {
                ChangesAfter::Changes(changes, at) => (changes, at),
                ChangesAfter::State(objects, at) => {
                    follower.clear();
                    (objects, at)
                }
                ChangesAfter::ReadStore => panic!("seed {seed}: six objects fit"),
            };
            for (name, value) in changes {
                follower.retain(|(other, _)| *other != name);
                follower.extend(value.map(|value| (name, value)));
            }
            assert_eq!((&follower, at), (&store, revision), "seed {seed}");
            known = Some(at);
        }
    }
}

fn candidates(without_callers: usize, with_callers: usize) -> Vec<ReaderCandidate> {
    let candidate = |number: usize| ReaderCandidate {
        host: format!("host-{number}").as_str().into(),
        serves_callers: number >= without_callers,
    };
    (0..without_callers + with_callers).map(candidate).collect()
}

#[test]
fn hosts_without_callers_read_for_domains_with_enough_hosts() {
    assert!(rank_readers("a", &candidates(3, 3)).is_empty());
    let hosts = candidates(2, 50);
    let ranked = rank_readers("a", &hosts);
    let is_without_callers = |host: &&HostId| ["host-0", "host-1"].contains(&&***host);
    assert_eq!(ranked.len(), CANDIDATES);
    assert!(ranked[..2].iter().all(is_without_callers), "{ranked:?}");
    let mut reversed = hosts.clone();
    reversed.reverse();
    assert_eq!(rank_readers("a", &reversed), ranked);
}

/// A model of one failure domain in steps of ten milliseconds.
struct Model {
    /// Time of each change of the store.
    changes: Vec<Instant>,
    hosts: Vec<ModelHost>,
    store_calls: usize,
}

#[derive(Default)]
struct ModelHost {
    following: Following,
    /// Number of changes that the host knows.
    known: usize,
    /// When the reader's answer comes, and from which host.
    asked: Option<(Instant, usize)>,
    /// Time until which the host does not run.
    frozen_until: Option<Instant>,
    is_cut_from_store: bool,
    followed_at: Option<Instant>,
    last_answer: Option<Instant>,
    /// Hosts that have not answered, with the time until which they are suspect.
    suspects: Vec<(usize, Instant)>,
    /// When a direct watch ends without changes.
    watch_ends: Option<Instant>,
}

const STEP: Duration = Duration::from_millis(10);
const LONG_WATCH: Duration = Duration::from_secs(18);
const PING_PAUSE: Duration = Duration::from_millis(400);

impl Model {
    fn step(&mut self, now: Instant, ranked: &[HostId], index_of: impl Fn(&HostId) -> usize) {
        let written = self.changes.iter().filter(|at| **at <= now).count();
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if host.frozen_until.is_some_and(|until| until > now) {
                continue;
            }
            host.suspects.retain(|(_, until)| *until > now);
            if let Some((due, reader)) = host.asked {
                self.wait_for_reader(now, index, due, reader);
                continue;
            }
            let is_followed = host.followed_at.is_some_and(|at| now - at < FOLLOWED_FOR);
            let name = format!("host-{index}");
            let suspects: Vec<usize> = host.suspects.iter().map(|(other, _)| *other).collect();
            let in_reach = |other: &HostId| !suspects.contains(&index_of(other));
            match host.following.source(now, &name, ranked, is_followed, in_reach) {
                Source::Reader(reader) => {
                    host.watch_ends = None;
                    let reader = index_of(&reader);
                    host.asked = Some((now + FOLLOW_WAIT, reader));
                    self.hosts[reader].followed_at = Some(now);
                }
                Source::Store { .. } => {
                    let wait = if is_followed { READER_WATCH_WAIT } else { LONG_WATCH };
                    let ends = match host.watch_ends {
                        Some(ends) => ends.min(now + wait),
                        None => {
                            self.store_calls += 1;
                            now + wait
                        }
                    };
                    host.watch_ends = Some(ends);
                    if !host.is_cut_from_store && (host.known < written || now >= ends) {
                        host.known = written;
                        host.last_answer = Some(now);
                        host.watch_ends = None;
                    }
                }
            }
        }
    }

    /// Takes the reader's answer, or gives up waiting for it.
    fn wait_for_reader(&mut self, now: Instant, index: usize, due: Instant, reader: usize) {
        let other = &self.hosts[reader];
        let is_running = other.frozen_until.is_none_or(|until| until <= now);
        let is_reading = other.asked.is_none() && is_in_contact(now, other.last_answer);
        let (known, is_answering) = (other.known, is_running && is_reading);
        let frozen_until = other.frozen_until;
        let is_refusing = is_running && !is_reading && other.last_answer.is_some();
        let host = &mut self.hosts[index];
        if is_answering && (known > host.known || now >= due) {
            host.known = host.known.max(known);
            host.following.on_answer();
            host.asked = None;
        } else if is_refusing || now >= due + FOLLOW_MARGIN {
            host.following.on_failure(now, 0.5);
            if let Some(until) = frozen_until.filter(|_| !is_running) {
                // Until it answers a ping.
                host.suspects.push((reader, until + PING_PAUSE));
            }
            host.asked = None;
        }
    }
}

/// Plays a domain of hosts. `trouble` is called at each step. Returns the calls of the store, and how
/// long after a change the last of the hosts that `trouble` leaves alone knew it, at most.
fn play(hosts: usize, mut trouble: impl FnMut(Duration, &mut Model, usize)) -> (usize, Duration) {
    let start = Instant::now();
    let candidates = candidates(3, hosts - 3);
    let ranked: Vec<HostId> = rank_readers("a", &candidates).into_iter().cloned().collect();
    let index_of = |host: &HostId| {
        candidates.iter().position(|candidate| candidate.host == *host).expect("a known host")
    };
    let changes = (1..60).map(|number| start + Duration::from_millis(997 * number)).collect();
    let states = (0..hosts).map(|_| ModelHost::default()).collect();
    let mut model = Model { changes, hosts: states, store_calls: 0 };
    let mut latest = Duration::ZERO;
    let mut now = start;
    while now < start + Duration::from_secs(60) {
        now += STEP;
        trouble(now - start, &mut model, index_of(&ranked[0]));
        model.step(now, &ranked, index_of);
        let calm = |host: &&ModelHost| !host.is_cut_from_store && host.frozen_until.is_none();
        for host in model.hosts[3..].iter().filter(calm) {
            if let Some(change) = model.changes.get(host.known).filter(|change| **change <= now) {
                latest = latest.max(now - *change);
            }
        }
    }
    (model.store_calls, latest)
}

#[test]
fn calls_of_the_store_do_not_grow_with_the_hosts_of_a_domain() {
    let calls: Vec<usize> = [10, 52, 100].map(|hosts| play(hosts, |_, _, _| {}).0).into();
    // Every host calls the store at its start. A reader calls it about twice a second.
    assert!(calls[2] - calls[0] <= 5 * 90, "{calls:?}");
    assert!(calls[1] <= 160 + 5 * 52, "{calls:?}");
}

#[test]
fn changes_are_known_in_time_whatever_happens_to_the_reader() {
    let bound = CONTACT_VALIDITY + STEP;
    let (_, latest) = play(52, |_, _, _| {});
    assert!(latest <= 2 * STEP, "without trouble: {latest:?}");
    let seconds = |time: Duration| time.as_secs_f64();
    // The reader is cut off from the store, frozen, or stopped for good, in the middle of the day.
    let (_, latest) = play(52, |time, model, reader| {
        model.hosts[reader].is_cut_from_store = (20.0..35.0).contains(&seconds(time));
    });
    assert!(latest <= bound, "reader cut off: {latest:?}");
    for length_s in [1, 3, 60] {
        let mut until = None;
        let (_, latest) = play(52, |time, model, reader| {
            if seconds(time) >= 20.0 && until.is_none() {
                until = Some(Instant::now());
                let now = model.changes[0] - Duration::from_millis(997) + time;
                model.hosts[reader].frozen_until = Some(now + Duration::from_secs(length_s));
            }
        });
        assert!(latest <= bound, "reader frozen for {length_s} s: {latest:?}");
    }
}

#[test]
fn loss_of_a_reader_costs_each_follower_a_few_calls() {
    let (calm, _) = play(52, |_, _, _| {});
    let mut is_frozen = false;
    let (calls, _) = play(52, |time, model, reader| {
        if time >= Duration::from_secs(20) && !is_frozen {
            is_frozen = true;
            let now = model.changes[0] - Duration::from_millis(997) + time;
            model.hosts[reader].frozen_until = Some(now + Duration::from_secs(60));
        }
    });
    assert!(calls <= calm + 6 * 52, "{calls} calls, {calm} without a loss");
}

#[test]
fn pauses_between_attempts_grow_up_to_their_maximum() {
    let start = Instant::now();
    let mut following = Following::default();
    let ranked: Vec<HostId> = vec!["host-1".into()];
    let mut now = start;
    let mut pauses = Vec::new();
    for _ in 0..7 {
        following.on_failure(now, 1.0);
        let source = following.source(now, "host-2", &ranked, false, |_| true);
        let Source::Store { until: Some(until) } = source else { panic!("{source:?}") };
        pauses.push((until - now).as_secs());
        now = until;
        assert_eq!(
            following.source(now, "host-2", &ranked, false, |_| true),
            Source::Reader("host-1".into())
        );
    }
    assert_eq!(pauses, [1, 2, 4, 8, 16, 16, 16]);
    following.on_answer();
    following.on_failure(now, 1.0);
    assert_eq!(
        following.source(now, "host-2", &ranked, false, |_| true),
        Source::Store { until: Some(now + DIRECT_MIN) }
    );
}

#[test]
fn host_that_is_followed_or_is_the_first_in_reach_reads_the_store() {
    let (now, following) = (Instant::now(), Following::default());
    let ranked: Vec<HostId> = vec!["host-1".into(), "host-2".into()];
    let store = Source::Store { until: None };
    assert_eq!(following.source(now, "host-1", &ranked, false, |_| true), store);
    assert_eq!(following.source(now, "host-2", &ranked, false, |_| false), store);
    assert_eq!(following.source(now, "host-3", &ranked, true, |_| true), store);
    assert_eq!(following.source(now, "host-3", &ranked, false, |_| false), store);
    assert_eq!(following.source(now, "host-3", &[], false, |_| true), store);
    let second = following.source(now, "host-3", &ranked, false, |host| **host == *"host-2");
    assert_eq!(second, Source::Reader("host-2".into()));
}
