use {
    super::*,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::collections::VecDeque,
};

const SEED: u64 = 20_261_204;
const HOSTS: usize = 9;
/// Requests that the one upstream runs at once, and that wait in its queue at most.
const SLOTS: usize = 4;
const QUEUE: usize = 16;
/// Time of one request's work: the upstream does a hundred a second.
const WORK: Duration = Duration::from_millis(40);
const TIME_LEFT: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(1);

#[derive(Default)]
struct Played {
    served: usize,
    /// Time that each refused request was held.
    refused_after: Vec<Duration>,
    offers: usize,
    /// Requests whose callers came back once and were refused again.
    refused_twice: usize,
}

impl Played {
    fn requests(&self) -> usize {
        self.served + self.refused_after.len()
    }
}

/// One request on its way to the upstream.
struct Asking {
    number: usize,
    host: usize,
    arrived: Instant,
    wait: Option<FullWait>,
    again_at: Instant,
    is_back: bool,
}

/// What refused callers are told, given how long the oldest request has waited.
type RetryAfter = fn(Duration) -> Duration;

/// Plays requests of programs under way against one upstream that several hosts share. `rate` gives the
/// arrivals a second at a time; without `waits`, a refusal of the upstream is the request's. Refused callers
/// come back once if they are told when.
fn play(
    length: Duration,
    rate: impl Fn(Duration) -> f64,
    waits: bool,
    retry_after: Option<RetryAfter>,
) -> Played {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut hosts: Vec<FullServices<usize>> = (0..HOSTS).map(|_| Default::default()).collect();
    let service = ServiceId::from("tools");
    let (mut played, mut due, mut begun) = (Played::default(), 0.0, 0);
    let (mut waiting, mut away): (Vec<Asking>, Vec<Asking>) = Default::default();
    let (mut running, mut queued): (Vec<(Instant, usize)>, VecDeque<usize>) = Default::default();
    let steps = length.as_millis() as u32 + 2_000;
    for step in 0..steps {
        let at = STEP * step;
        let now = start + at;
        for (_, host) in running.extract_if(.., |(ends, _)| *ends <= now) {
            // A host that sees one of its requests end lets the first that waits ask again.
            let first = hosts[host].first(&service).copied();
            if let Some(asking) = waiting.iter_mut().find(|asking| Some(asking.number) == first) {
                asking.again_at = now;
            }
        }
        while running.len() < SLOTS
            && let Some(host) = queued.pop_front()
        {
            running.push((now + WORK, host));
        }
        let mut asks: Vec<Asking> =
            waiting.extract_if(.., |asking| asking.again_at <= now).collect();
        for asking in &asks {
            let wait = asking.wait.expect("those that wait have begun to");
            hosts[asking.host].leave(&service, &wait);
        }
        due += if at < length { rate(at) * STEP.as_secs_f64() } else { 0.0 };
        while due >= 1.0 {
            due -= 1.0;
            begun += 1;
            let host = rng.random_range(0..HOSTS);
            let (wait, again_at, is_back) = (None, now, false);
            asks.push(Asking { number: begun, host, arrived: now, wait, again_at, is_back });
        }
        asks.extend(away.extract_if(.., |asking| asking.again_at <= now));
        for mut asking in asks {
            let services = &mut hosts[asking.host];
            let is_first = asking.wait.is_none();
            let is_behind = waits && is_first && services.is_waited_for(&service);
            played.offers += usize::from(!is_behind);
            if !is_behind && queued.len() < QUEUE {
                queued.push_back(asking.host);
                played.served += 1;
                continue;
            }
            let begin = || services.begin(now, asking.arrived + TIME_LEFT, true);
            let mut wait = asking.wait.unwrap_or_else(begin);
            let may_wait = waits && (!is_first || services.may_wait(now, &service, &wait));
            match wait.next(now, rng.random()).filter(|_| may_wait) {
                Some(again_at) => {
                    services.join(&service, &wait, asking.number);
                    (asking.wait, asking.again_at) = (Some(wait), again_at);
                    waiting.push(asking);
                }
                None => {
                    played.refused_after.push(now - asking.arrived);
                    played.refused_twice += usize::from(asking.is_back);
                    if let (Some(retry_after), false) = (retry_after, asking.is_back) {
                        let again_at = now + retry_after(services.oldest_wait(now, &service));
                        let host = rng.random_range(0..HOSTS);
                        let (arrived, wait, is_back) = (again_at, None, true);
                        away.push(Asking { host, arrived, wait, again_at, is_back, ..asking });
                    }
                }
            }
        }
    }
    assert!(waiting.is_empty() && hosts.iter().all(|host| host.lines.is_empty()));
    played
}

/// A second at 1.4 times what the upstream does, and one at 0.4.
fn bursts(at: Duration) -> f64 {
    if at.as_secs().is_multiple_of(2) { 140.0 } else { 40.0 }
}

#[test]
fn bursts_that_fill_the_last_upstream_are_served() {
    let length = Duration::from_secs(20);
    let at_once = play(length, bursts, false, None);
    let refused_at_once = at_once.refused_after.len();
    assert!(refused_at_once * 20 > at_once.requests(), "the pattern fills the upstream");
    let refused = play(length, bursts, true, None).refused_after.len();
    assert!(refused * 10 <= refused_at_once, "{refused} refused, {refused_at_once} at once");
}

#[test]
fn lasting_overload_is_refused_early_and_keeps_the_upstream_busy() {
    let length = Duration::from_secs(20);
    let played = play(length, |_| 200.0, true, None);
    let capacity = 100 * length.as_secs() as usize;
    assert!(played.served * 100 >= capacity * 98, "{} served", played.served);
    let mut held = played.refused_after.clone();
    held.sort();
    let median = held[held.len() / 2];
    assert!(median < wait::UNDER_WAY_MAX / 5, "half are held {median:?}");
    assert!(held[held.len() - 1] <= wait::UNDER_WAY_MAX);
    assert!(played.offers <= 4 * played.requests(), "{} offers", played.offers);
}

#[test]
fn callers_that_come_back_after_the_oldest_wait_are_seldom_refused_again() {
    // Fills the line, which then empties for longer than it has filled.
    let rate = |at: Duration| if at.as_millis() % 3_000 < 1_000 { 180.0 } else { 20.0 };
    let length = Duration::from_secs(30);
    let soon = play(length, rate, true, Some(|_| Duration::from_millis(150)));
    let later = play(length, rate, true, Some(|oldest| oldest.max(Duration::from_millis(150))));
    assert!(soon.refused_twice > 0, "the pattern refuses callers that come back too soon");
    let (soon, later) = (soon.refused_twice, later.refused_twice);
    assert!(later * 2 <= soon, "{later} refused twice, {soon} if they come back soon");
}

#[test]
fn service_that_takes_nothing_is_found_out() {
    let start = Instant::now();
    let service = ServiceId::from("tools");
    let mut services = FullServices::default();
    let mut waits = Vec::new();
    for number in 0..20 {
        let wait = services.begin(start, start + TIME_LEFT, true);
        assert!(services.may_wait(start, &service, &wait));
        services.join(&service, &wait, number);
        waits.push(wait);
    }
    let later = start + Duration::from_millis(410);
    let late = services.begin(later, later + TIME_LEFT, true);
    assert_eq!(services.oldest_wait(later, &service), later - start);
    assert!(!services.may_wait(later, &service, &late));
    for (number, wait) in waits.iter().enumerate() {
        assert_eq!(services.first(&service), Some(&number), "the oldest comes first");
        services.leave(&service, wait);
    }
    assert!(services.may_wait(later, &service, &late) && !services.is_waited_for(&service));
}

#[test]
fn wait_is_bounded_by_the_time_left_and_by_what_a_refusal_costs() {
    let now = Instant::now();
    let gives_up_in = |time_left, is_under_way| {
        let mut wait = FullServices::<()>::default().begin(now, now + time_left, is_under_way);
        let mut at = now;
        while let Some(next) = wait.next(at, 0.5) {
            assert!(next > at);
            at = next;
        }
        at - now
    };
    assert_eq!(gives_up_in(TIME_LEFT, true), wait::UNDER_WAY_MAX);
    assert_eq!(gives_up_in(TIME_LEFT, false), WAIT_MAX);
    assert_eq!(gives_up_in(Duration::from_millis(200), true), Duration::from_millis(60));
    assert_eq!(gives_up_in(Duration::ZERO, true), Duration::ZERO);
}
