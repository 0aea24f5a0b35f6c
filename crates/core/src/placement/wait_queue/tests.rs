use {
    super::*,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::collections::VecDeque,
};

const SEED: u64 = 20_261_204;
const HOSTS: usize = 9;
/// Maximum number of requests that the upstream runs concurrently, and in its queue.
const SLOTS: usize = 4;
const QUEUE: usize = 16;
/// Service time of one request: with four slots, the upstream completes a hundred per second.
const SERVICE_TIME: Duration = Duration::from_millis(40);
const TIME_TO_DEADLINE: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(1);

#[derive(Default)]
struct SimulationResult {
    accepted: usize,
    /// How long each refused request was held.
    refused_after: Vec<Duration>,
    attempts: usize,
    /// Number of requests that were refused, retried once by the caller, and refused again.
    refused_twice: usize,
    /// Requests of programs that are about to end.
    about_to_end: usize,
    about_to_end_refused: usize,
}

impl SimulationResult {
    fn requests(&self) -> usize {
        self.accepted + self.refused_after.len()
    }
}

/// A request that is waiting or ready for an attempt.
struct SimulatedRequest {
    number: usize,
    urgency: Urgency,
    host: usize,
    arrived: Instant,
    wait: Option<QueueWait>,
    retry_at: Instant,
    is_retry: bool,
}

/// Returns the retry delay for refused callers, given the wait of the oldest request.
type RetryAfter = fn(Duration) -> Duration;

/// Simulates requests of active programs sent to one upstream that several hosts share. `rate`
/// returns the arrivals per second at a given time. If `queues_requests` is false, requests that
/// the upstream refuses are not queued. If `retry_after` is set, refused callers retry once.
fn simulate(
    length: Duration,
    rate: impl Fn(Duration) -> f64,
    queues_requests: bool,
    retry_after: Option<RetryAfter>,
) -> SimulationResult {
    let urgency_of = |_| Urgency::ActiveProgram;
    simulate_urgencies(length, rate, queues_requests, retry_after, urgency_of)
}

/// As [`simulate`], with an urgency for each request by its number.
fn simulate_urgencies(
    length: Duration,
    rate: impl Fn(Duration) -> f64,
    queues_requests: bool,
    retry_after: Option<RetryAfter>,
    urgency_of: impl Fn(usize) -> Urgency,
) -> SimulationResult {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut hosts: Vec<WaitQueues<usize>> = (0..HOSTS).map(|_| Default::default()).collect();
    let service = ServiceId::from("tools");
    let (mut result, mut pending_arrivals, mut request_count) =
        (SimulationResult::default(), 0.0, 0);
    let (mut waiting, mut retrying): (Vec<SimulatedRequest>, Vec<SimulatedRequest>) =
        Default::default();
    let (mut running, mut queued): (Vec<(Instant, usize)>, VecDeque<usize>) = Default::default();
    let ticks = length.as_millis() as u32 + 2_000;
    for tick in 0..ticks {
        let at = TICK * tick;
        let now = start + at;
        for (_, host) in running.extract_if(.., |(ends, _)| *ends <= now) {
            // When a request ends, its host wakes its oldest waiting request.
            let first = hosts[host].front_waker(&service).copied();
            if let Some(request) = waiting.iter_mut().find(|request| Some(request.number) == first)
            {
                request.retry_at = now;
            }
        }
        while running.len() < SLOTS
            && let Some(host) = queued.pop_front()
        {
            running.push((now + SERVICE_TIME, host));
        }
        let mut ready: Vec<SimulatedRequest> =
            waiting.extract_if(.., |request| request.retry_at <= now).collect();
        for request in &ready {
            let wait = request.wait.expect("queued requests have started to wait");
            hosts[request.host].dequeue(&service, &wait);
        }
        pending_arrivals += if at < length { rate(at) * TICK.as_secs_f64() } else { 0.0 };
        while pending_arrivals >= 1.0 {
            pending_arrivals -= 1.0;
            request_count += 1;
            let host = rng.random_range(0..HOSTS);
            let (wait, retry_at, is_retry) = (None, now, false);
            let urgency = urgency_of(request_count);
            result.about_to_end += usize::from(urgency == Urgency::AboutToEnd);
            ready.push(SimulatedRequest {
                number: request_count,
                urgency,
                host,
                arrived: now,
                wait,
                retry_at,
                is_retry,
            });
        }
        ready.extend(retrying.extract_if(.., |request| request.retry_at <= now));
        for mut request in ready {
            let queues = &mut hosts[request.host];
            let is_first = request.wait.is_none();
            let must_queue = queues_requests
                && is_first
                && queues.is_behind_others(now, &service, request.urgency, None);
            result.attempts += usize::from(!must_queue);
            if !must_queue && queued.len() < QUEUE {
                queued.push_back(request.host);
                result.accepted += 1;
                continue;
            }
            let begin =
                || queues.begin_wait(now, request.arrived + TIME_TO_DEADLINE, request.urgency);
            let mut wait = request.wait.unwrap_or_else(begin);
            let is_admitted = queues_requests && (!is_first || queues.admits(&service, &wait));
            match wait.next_attempt(now, rng.random()).filter(|_| is_admitted) {
                Some(retry_at) => {
                    queues.enqueue(&service, &wait, request.number);
                    (request.wait, request.retry_at) = (Some(wait), retry_at);
                    waiting.push(request);
                }
                None => {
                    result.refused_after.push(now - request.arrived);
                    result.about_to_end_refused +=
                        usize::from(request.urgency == Urgency::AboutToEnd);
                    result.refused_twice += usize::from(request.is_retry);
                    if let (Some(retry_after), false) = (retry_after, request.is_retry) {
                        let retry_at = now + retry_after(queues.oldest_wait(now, &service));
                        let host = rng.random_range(0..HOSTS);
                        let (arrived, wait, is_retry) = (retry_at, None, true);
                        retrying.push(SimulatedRequest {
                            host,
                            arrived,
                            wait,
                            retry_at,
                            is_retry,
                            ..request
                        });
                    }
                }
            }
        }
    }
    assert!(waiting.is_empty() && hosts.iter().all(|host| host.queues.is_empty()));
    result
}

/// Alternates between 1.4 times and 0.4 times the upstream's capacity, one second each.
fn bursty_rate(at: Duration) -> f64 {
    if at.as_secs().is_multiple_of(2) { 140.0 } else { 40.0 }
}

#[test]
fn queueing_reduces_refusals_during_bursts() {
    let length = Duration::from_secs(20);
    let without_queue = simulate(length, bursty_rate, false, None);
    let refused_without_queue = without_queue.refused_after.len();
    assert!(
        refused_without_queue * 20 > without_queue.requests(),
        "the test needs refusals without a queue"
    );
    let refused = simulate(length, bursty_rate, true, None).refused_after.len();
    assert!(
        refused * 10 <= refused_without_queue,
        "{refused} refused, {refused_without_queue} without a queue"
    );
}

#[test]
fn sustained_overload_refuses_early_and_keeps_the_upstream_busy() {
    let length = Duration::from_secs(20);
    let result = simulate(length, |_| 200.0, true, None);
    let capacity = 100 * length.as_secs() as usize;
    assert!(result.accepted * 100 >= capacity * 98, "{} accepted", result.accepted);
    let mut held = result.refused_after.clone();
    held.sort();
    let median = held[held.len() / 2];
    assert!(median < wait::ACTIVE_PROGRAM_WAIT_MAX / 5, "the median wait is {median:?}");
    assert!(held[held.len() - 1] <= wait::ACTIVE_PROGRAM_WAIT_MAX);
    assert!(result.attempts <= 4 * result.requests(), "{} attempts", result.attempts);
}

#[test]
fn callers_that_retry_after_the_oldest_wait_are_rarely_refused_again() {
    // The queue fills for one second and has two seconds to drain.
    let rate = |at: Duration| if at.as_millis() % 3_000 < 1_000 { 180.0 } else { 20.0 };
    let length = Duration::from_secs(30);
    let with_fixed_delay = simulate(length, rate, true, Some(|_| Duration::from_millis(150)));
    let with_oldest_wait =
        simulate(length, rate, true, Some(|oldest| oldest.max(Duration::from_millis(150))));
    assert!(
        with_fixed_delay.refused_twice > 0,
        "the test needs repeated refusals with a fixed delay"
    );
    let (with_fixed_delay, with_oldest_wait) =
        (with_fixed_delay.refused_twice, with_oldest_wait.refused_twice);
    assert!(
        with_oldest_wait * 2 <= with_fixed_delay,
        "{with_oldest_wait} refused twice, {with_fixed_delay} with a fixed delay"
    );
}

#[test]
fn requests_are_not_queued_behind_a_stalled_queue() {
    let start = Instant::now();
    let service = ServiceId::from("tools");
    let mut queues = WaitQueues::default();
    let mut waits = Vec::new();
    for number in 0..20 {
        let wait = queues.begin_wait(start, start + TIME_TO_DEADLINE, Urgency::ActiveProgram);
        assert!(queues.admits(&service, &wait));
        queues.enqueue(&service, &wait, number);
        waits.push(wait);
    }
    let later = start + Duration::from_millis(410);
    let new_wait = queues.begin_wait(later, later + TIME_TO_DEADLINE, Urgency::ActiveProgram);
    assert_eq!(queues.oldest_wait(later, &service), later - start);
    assert!(!queues.admits(&service, &new_wait));
    for (number, wait) in waits.iter().enumerate() {
        assert_eq!(queues.front_waker(&service), Some(&number), "the oldest request is first");
        queues.dequeue(&service, wait);
    }
    assert!(queues.admits(&service, &new_wait) && !queues.has_waiting(&service));
}

#[test]
fn wait_is_bounded_by_the_maximum_and_a_fraction_of_the_time_left() {
    let now = Instant::now();
    let total_wait = |time_left, urgency| {
        let mut wait = WaitQueues::<()>::default().begin_wait(now, now + time_left, urgency);
        let mut at = now;
        while let Some(next) = wait.next_attempt(at, 0.5) {
            assert!(next > at);
            at = next;
        }
        at - now
    };
    assert_eq!(total_wait(TIME_TO_DEADLINE, Urgency::ActiveProgram), wait::ACTIVE_PROGRAM_WAIT_MAX);
    assert_eq!(total_wait(TIME_TO_DEADLINE, Urgency::NoProgram), DEFAULT_WAIT_MAX);
    assert_eq!(
        total_wait(Duration::from_millis(200), Urgency::ActiveProgram),
        Duration::from_millis(60)
    );
    assert_eq!(total_wait(Duration::ZERO, Urgency::ActiveProgram), Duration::ZERO);
}

/// Guards against programs that miss their targets by one call behind calls that have time.
#[test]
fn programs_about_to_end_are_first_and_first_turns_last() {
    let start = Instant::now();
    let service = ServiceId::from("tools");
    let deadline = start + TIME_TO_DEADLINE;
    let about_to_end = Urgency::of_active_program(Some(Duration::from_millis(200)));
    let order = [Urgency::FirstTurn, Urgency::NoProgram, Urgency::ActiveProgram, about_to_end];
    let mut queues = WaitQueues::default();
    let mut waits = Vec::new();
    for urgency in order {
        // A request with a head start does not wait for those behind it.
        let is_behind = queues.is_behind_others(start, &service, urgency, None);
        assert_eq!(is_behind, urgency == Urgency::ActiveProgram, "{urgency:?}");
        let wait = queues.begin_wait(start, deadline, urgency);
        queues.enqueue(&service, &wait, urgency);
        waits.push((urgency, wait));
    }
    let mut served = Vec::new();
    while let Some(&urgency) = queues.front_waker(&service) {
        let (_, wait) = waits.iter().find(|(other, _)| *other == urgency).expect("queued");
        queues.dequeue(&service, wait);
        served.push(urgency);
    }
    use Urgency::{AboutToEnd, ActiveProgram, FirstTurn, NoProgram};
    assert_eq!(served, [AboutToEnd, NoProgram, ActiveProgram, FirstTurn]);
    let unknown = Urgency::of_active_program(None);
    assert_eq!((about_to_end, unknown), (AboutToEnd, ActiveProgram));
}

/// Guards against programs that are refused shortly before their ends because others fill the queue.
/// Some are still refused: hosts compete for freed slots without regard to what waits at others.
#[test]
fn overload_refuses_half_as_many_programs_about_to_end_as_without_an_order() {
    let length = Duration::from_secs(20);
    let about_to_end = |number: usize| match number.is_multiple_of(5) {
        true => Urgency::AboutToEnd,
        false => Urgency::ActiveProgram,
    };
    let without_order = simulate(length, |_| 200.0, true, None);
    let result = simulate_urgencies(length, |_| 200.0, true, None, about_to_end);
    let refused = result.about_to_end_refused as f64 / result.about_to_end as f64;
    let refused_without_order =
        without_order.refused_after.len() as f64 / without_order.requests() as f64;
    assert!(refused * 2.0 <= refused_without_order, "{refused}, {refused_without_order} without");
    let capacity = 100 * length.as_secs() as usize;
    assert!(result.accepted * 100 >= capacity * 98, "{} accepted", result.accepted);
}

/// Guards against first turns and calls with time that are held for their whole wait, because others
/// come all the time.
#[test]
fn head_starts_are_shorter_than_waits() {
    let start = Instant::now();
    let service = ServiceId::from("tools");
    for (patient, urgent) in [
        (Urgency::FirstTurn, Urgency::ActiveProgram),
        (Urgency::ActiveProgram, Urgency::AboutToEnd),
    ] {
        let mut queues = WaitQueues::default();
        let deadline = start + TIME_TO_DEADLINE;
        let wait = queues.begin_wait(start, deadline, patient);
        queues.enqueue(&service, &wait, patient);
        let now = wait.expires_at - Duration::from_millis(40);
        let later = queues.begin_wait(now, deadline, urgent);
        queues.enqueue(&service, &later, urgent);
        assert_eq!(queues.front_waker(&service), Some(&patient), "{patient:?}");
    }
}

/// Guards against requests that are refused at once behind a single one with a head start.
#[test]
fn head_start_alone_refuses_no_request() {
    let start = Instant::now();
    let service = ServiceId::from("tools");
    for patient in [Urgency::ActiveProgram, Urgency::NoProgram, Urgency::FirstTurn] {
        let mut queues = WaitQueues::default();
        let deadline = start + TIME_TO_DEADLINE;
        let first = queues.begin_wait(start, deadline, Urgency::AboutToEnd);
        queues.enqueue(&service, &first, ());
        let soon = queues.begin_wait(start + Duration::from_millis(20), deadline, patient);
        assert!(queues.admits(&service, &soon), "{patient:?}");
        let late = queues.begin_wait(start + Duration::from_millis(490), deadline, patient);
        assert!(!queues.admits(&service, &late), "{patient:?}: the queue is long");
    }
}
