//! A model of the link over which chains come, in virtual time.

use super::*;

const STEP: Duration = Duration::from_millis(1);
const ROUND_TRIP_STEPS: u64 = 2;
/// Steps without a byte after which a reply is given up.
const SILENCE_STEPS: u64 = 300;
/// Size of a question and of a reply that sends no turns.
const HEAD_BYTES: f64 = 200.0;
const MBIT_BYTES_PER_STEP: f64 = 125.0;

/// A link that all replies share evenly, and the hosts behind it.
struct Scenario {
    chain_bytes: usize,
    hosts: usize,
    /// Number of hosts that are preferred, the first ones.
    preferred: usize,
    /// Hosts that do not hold the chain.
    without_chain: &'static [usize],
    mbit_per_s: f64,
    /// Steps in which the link carries nothing.
    outage: std::ops::Range<u64>,
    /// Number of steps from each step in which the link carries parts to the next one.
    interval: u64,
    /// Hosts that are lost, with the steps from which on they are silent.
    lost: Vec<(usize, u64)>,
    /// Other replies that share the link for good.
    others_on_link: usize,
    assumes_source: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            chain_bytes: 750_000,
            hosts: 10,
            preferred: 3,
            without_chain: &[],
            mbit_per_s: 30.0,
            outage: 0..0,
            interval: 1,
            lost: Vec::new(),
            others_on_link: 0,
            assumes_source: true,
        }
    }
}

struct Reply {
    host: usize,
    /// Bytes of the chain that it brings; `None` if it only tells whether the host has it.
    part: Option<usize>,
    bytes_left: f64,
    /// Step from which on its bytes come.
    begins: u64,
    asked: u64,
    heard: u64,
}

#[derive(Debug)]
struct Outcome {
    steps: u64,
    is_complete: bool,
    received: usize,
    /// All bytes that the link has carried.
    carried: f64,
    sources: usize,
}

impl Scenario {
    fn limit_steps(&self) -> f64 {
        self.chain_bytes as f64 / (self.mbit_per_s * MBIT_BYTES_PER_STEP)
    }

    fn is_lost(&self, host: usize, step: u64) -> bool {
        self.lost.iter().any(|(lost, from)| *lost == host && step >= *from)
    }

    fn run(&self, steps_max: u64) -> Outcome {
        let start = Instant::now();
        let at = |step: u64| start + STEP * step as u32;
        let name = |host: usize| HostId::from(host.to_string());
        let number = |host: &HostId| host.parse::<usize>().expect("a number");
        let hosts: Vec<HostId> = (0..self.hosts).map(name).collect();
        let (preferred, others) = hosts.split_at(self.preferred);
        let mut search = ChainSearch::new(start, preferred.to_vec(), others.to_vec());
        if self.assumes_source {
            search.assume_source(start);
        }
        let mut rate = TransferRate::default();
        let (mut questions, mut part): (Vec<Reply>, Option<Reply>) = (Vec::new(), None);
        let mut outcome =
            Outcome { steps: 0, is_complete: false, received: 0, carried: 0.0, sources: 0 };
        let new_reply = |host: usize, part: Option<usize>, step: u64| Reply {
            host,
            part,
            bytes_left: HEAD_BYTES + part.unwrap_or(0) as f64,
            begins: step + ROUND_TRIP_STEPS,
            asked: step,
            heard: step,
        };
        for step in 0..steps_max {
            outcome.steps = step;
            let now = at(step);
            if let Some(part) = &part {
                search.on_heard(at(part.heard));
            }
            for host in search.poll(now) {
                questions.push(new_reply(number(&host), None, step));
            }
            if search.is_over() {
                return outcome;
            }
            let source = search.source().map(number);
            if part.as_ref().map(|part| part.host) != source {
                outcome.sources += usize::from(source.is_some());
                let bytes = rate.part_bytes().min(self.chain_bytes - outcome.received);
                part = source.map(|host| new_reply(host, Some(bytes), step));
            }
            // The link.
            let is_up = !self.outage.contains(&step);
            let can_send = |reply: &&mut Reply| {
                let is_due = reply.part.is_none() || step.is_multiple_of(self.interval);
                is_up && is_due && step >= reply.begins && !self.is_lost(reply.host, step)
            };
            let mut sending: Vec<&mut Reply> =
                questions.iter_mut().chain(part.as_mut()).filter(can_send).collect();
            let share = self.mbit_per_s * MBIT_BYTES_PER_STEP * self.interval as f64
                / (sending.len() + self.others_on_link).max(1) as f64;
            for reply in &mut sending {
                let bytes = share.min(reply.bytes_left);
                reply.bytes_left -= bytes;
                reply.heard = step;
                outcome.carried += bytes;
            }
            // What has come or is given up.
            questions.retain(|reply| {
                let host = name(reply.host);
                if reply.bytes_left <= 0.0 {
                    match self.without_chain.contains(&reply.host) {
                        true => search.on_failed(now, &host, ABSENT),
                        false => search.on_holds(now, &host),
                    }
                    return false;
                }
                if step - reply.heard >= SILENCE_STEPS {
                    search.on_failed(now, &host, HolderReply::Unknown);
                    return false;
                }
                true
            });
            let is_silent = part.as_ref().is_some_and(|part| step - part.heard >= SILENCE_STEPS);
            if let Some(ended) = part.take_if(|part| is_silent || part.bytes_left <= 0.0) {
                let (host, bytes) = (name(ended.host), ended.part.expect("a part"));
                search.on_heard(at(ended.heard));
                if is_silent {
                    search.on_failed(now, &host, HolderReply::Unknown);
                } else if self.without_chain.contains(&ended.host) {
                    search.on_failed(now, &host, ABSENT);
                } else {
                    rate.on_transfer(bytes, STEP * (step - ended.asked) as u32);
                    outcome.received += bytes;
                    if outcome.received == self.chain_bytes {
                        outcome.is_complete = true;
                        return outcome;
                    }
                    let bytes = rate.part_bytes().min(self.chain_bytes - outcome.received);
                    part = Some(new_reply(ended.host, Some(bytes), step));
                }
            }
        }
        outcome
    }
}

const ABSENT: HolderReply = HolderReply::Absent { is_complete: true };
const FOREVER: u64 = 60_000;

/// Guards against chains that are refused, or sent several times, because their transfer takes longer
/// than some fixed time.
#[test]
fn chain_comes_once_over_links_of_any_rate() {
    for mbit_per_s in [5.0, 30.0, 200.0] {
        for chain_bytes in [20_000, 750_000, 2_000_000, 8_000_000] {
            for assumes_source in [true, false] {
                let scenario =
                    Scenario { mbit_per_s, chain_bytes, assumes_source, ..Scenario::default() };
                let outcome = scenario.run(FOREVER);
                let what = format!("{mbit_per_s} Mbit/s, {chain_bytes} bytes: {outcome:?}");
                assert!(outcome.is_complete, "{what}");
                assert!(outcome.steps as f64 <= 1.3 * scenario.limit_steps() + 50.0, "{what}");
                assert!(outcome.carried <= 1.1 * chain_bytes as f64 + 1000.0, "{what}");
            }
        }
    }
}

#[test]
fn chain_comes_once_over_a_link_that_others_share() {
    let scenario = Scenario { others_on_link: 3, ..Scenario::default() };
    let outcome = scenario.run(FOREVER);
    assert!(outcome.is_complete, "{outcome:?}");
    assert!(outcome.steps as f64 <= 4.0 * (1.3 * scenario.limit_steps()) + 50.0, "{outcome:?}");
    assert!(outcome.carried <= 1.1 * scenario.chain_bytes as f64, "{outcome:?}");
}

/// The loss of a source costs the time until another holder has replied, and no part twice but the one
/// that was on its way.
#[test]
fn another_holder_goes_on_where_a_lost_one_stopped() {
    for lost_at in [0, 1, 20, 100, 150, 199] {
        let scenario = Scenario { lost: vec![(0, lost_at)], ..Scenario::default() };
        let outcome = scenario.run(FOREVER);
        assert!(outcome.is_complete, "lost at {lost_at}: {outcome:?}");
        assert_eq!(outcome.sources, 2, "lost at {lost_at}: {outcome:?}");
        let limit = 1.3 * scenario.limit_steps() + 50.0 + 100.0;
        assert!(outcome.steps as f64 <= limit, "lost at {lost_at}: {outcome:?}");
        let carried_max = 1.1 * scenario.chain_bytes as f64 + 187_500.0;
        assert!(outcome.carried <= carried_max, "lost at {lost_at}: {outcome:?}");
    }
}

#[test]
fn chain_comes_although_most_holders_are_lost() {
    let scenario = Scenario { lost: vec![(0, 30), (1, 0)], ..Scenario::default() };
    let outcome = scenario.run(FOREVER);
    assert!(outcome.is_complete, "{outcome:?}");
    assert!(outcome.steps as f64 <= 1.3 * scenario.limit_steps() + 250.0, "{outcome:?}");
}

/// A link that carries nothing for a while tells nothing about the source.
#[test]
fn short_outage_of_the_link_repeats_no_more_than_one_part() {
    for outage in [10..60, 100..150, 100..350] {
        let scenario = Scenario { outage: outage.clone(), ..Scenario::default() };
        let outcome = scenario.run(FOREVER);
        assert!(outcome.is_complete, "{outage:?}: {outcome:?}");
        let carried_max = 1.1 * scenario.chain_bytes as f64 + 187_500.0;
        assert!(outcome.carried <= carried_max, "{outage:?}: {outcome:?}");
        let steps_max = 1.3 * scenario.limit_steps() + 50.0 + (outage.end - outage.start) as f64;
        assert!(outcome.steps as f64 <= steps_max + 50.0, "{outage:?}: {outcome:?}");
    }
}

/// Guards against holders that take turns as the source of a chain because the bytes of each come at
/// longer intervals than a source may be silent.
#[test]
fn chain_comes_over_a_link_that_sends_at_long_intervals() {
    for interval in [50, 70, 100, 150] {
        let scenario = Scenario { interval, ..Scenario::default() };
        let outcome = scenario.run(FOREVER);
        assert!(outcome.is_complete && outcome.sources <= 4, "{interval} ms: {outcome:?}");
    }
}

#[test]
fn search_ends_once_all_hosts_are_silent() {
    let lost = (0..5).map(|host| (host, 0)).collect();
    let scenario = Scenario { hosts: 5, lost, ..Scenario::default() };
    let outcome = scenario.run(FOREVER);
    assert!(!outcome.is_complete && outcome.steps < 1_500, "{outcome:?}");
}

#[test]
fn chain_is_found_at_a_host_that_is_not_preferred() {
    let scenario = Scenario { without_chain: &[0, 1, 2, 3, 5], ..Scenario::default() };
    let outcome = scenario.run(FOREVER);
    assert!(outcome.is_complete, "{outcome:?}");
    assert!(outcome.steps as f64 <= 1.3 * scenario.limit_steps() + 50.0, "{outcome:?}");
}

#[test]
fn search_without_a_holder_has_the_reply_of_each_host() {
    let now = Instant::now();
    let hosts = |numbers: &[u32]| numbers.iter().map(|one| one.to_string().into()).collect();
    let mut search = ChainSearch::new(now, hosts(&[0, 1]), hosts(&[2, 3]));
    for step in 0..10 {
        for host in search.poll(now + STEP * step) {
            search.on_failed(now + STEP * step, &host, ABSENT);
        }
    }
    assert!(search.is_over());
    let replies = search.into_replies();
    assert_eq!(replies.len(), 4);
    assert!(replies.values().all(HolderReply::rules_turn_out));
}
