//! Tests the dispatcher with tables of cases and against a plain queue.

mod sched_harness;

use {
    sched_harness::{Harness, LIMIT, SERVICE, done, done_after, options, request, view},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
    trefoilring_core::{
        catalog::{Catalog, Class},
        sched::{
            AdoptedSlot, Command, DispatcherOptions, LoadReport, Outcome, QueueOrder, SlotRequest,
        },
        verdict::Reason,
    },
};

/// Fills all slots of the first upstream, so that further requests wait.
fn fill(harness: &mut Harness) {
    for waiter in 100..100 + u64::from(LIMIT) {
        harness.submit(waiter, request(waiter));
    }
}

#[test]
fn fcfs_agrees_with_a_plain_queue() {
    let mut harness = Harness::new(options().queue_order(QueueOrder::Fcfs).fair(false), 1);
    let mut naive = VecDeque::new();
    for waiter in 0..200 {
        harness.now += Duration::from_millis(1);
        harness.submit(waiter, request(waiter));
        naive.push_back(waiter);
    }
    assert_eq!(harness.drain(), Vec::from(naive));
}

#[test]
fn each_order_ranks_by_its_criterion() {
    let (young, old, overdue) = ((1, 1), (50, 40), (500, 40));
    // Order, age in seconds and calls done of two waiting programs, and the index of the one served
    // first.
    let cases = [
        (QueueOrder::Fcfs, young, old, 0),
        (QueueOrder::Slack, young, old, 1),
        (QueueOrder::Slack, young, overdue, 1),
        (QueueOrder::FeasibleSlack, young, (45, 5), 1),
        (QueueOrder::FeasibleSlack, young, overdue, 0),
        (QueueOrder::OldestProgram, young, old, 1),
    ];
    for (order, first, second, expected) in cases {
        let mut harness = Harness::new(options().queue_order(order), 1);
        fill(&mut harness);
        for (waiter, (age_s, calls_done)) in [(0, first), (1, second)] {
            let program_age = Duration::from_secs(age_s);
            harness.submit(waiter, SlotRequest { program_age, calls_done, ..request(waiter) });
        }
        assert_eq!(harness.drain()[LIMIT as usize], expected, "{order:?} {first:?} {second:?}");
    }
}

#[test]
fn a_changed_target_reorders_waiting_requests() {
    let mut harness = Harness::new(options().queue_order(QueueOrder::Slack), 1);
    fill(&mut harness);
    harness.submit(0, SlotRequest { class: "a".into(), ..request(0) });
    harness.submit(1, SlotRequest { class: "b".into(), ..request(1) });
    let class = |target_ms| Class { target_ms, budget: Default::default() };
    let classes = BTreeMap::from([("a".into(), class(90_000)), ("b".into(), class(5_000))]);
    harness.dispatcher.set_catalog(&Catalog { classes, ..Default::default() });
    assert_eq!(harness.drain()[LIMIT as usize..], [1, 0]);
}

#[test]
fn a_program_is_placed_where_its_prefix_is_cached() {
    let mut harness = Harness::new(options(), 3);
    let long = SlotRequest { prompt_tokens: 50_000, ..request(7) };
    harness.submit(0, long.clone());
    let (_, first) = harness.next_grant();
    harness.release(first.ticket, done_after(Duration::from_secs(12), 50_000));
    harness.submit(1, SlotRequest { calls_done: 2, prompt_tokens: 50_500, ..long });
    assert_eq!(harness.next_grant().1.upstream, first.upstream);
}

#[test]
fn short_requests_are_not_queued_for_a_cached_prefix() {
    let mut harness = Harness::new(options(), 3);
    for waiter in 0..u64::from(3 * LIMIT) {
        let last_upstream = Some("up-0".into());
        harness.submit(waiter, SlotRequest { last_upstream, prompt_tokens: 10, ..request(waiter) });
    }
    assert_eq!(harness.granted.len(), 3 * LIMIT as usize);
}

#[test]
fn the_cache_of_an_ended_program_is_released_at_its_upstream() {
    let mut harness = Harness::new(options(), 3);
    harness.submit(0, request(0));
    let (_, grant) = harness.next_grant();
    harness.release(grant.ticket, done());
    let program = request(0).program;
    let commands = harness.dispatcher.program_ended(harness.now, &program);
    assert!(commands.contains(&Command::Release { upstream: grant.upstream, program }));
}

#[test]
fn a_request_without_upstream_is_refused_at_once() {
    let mut harness = Harness::new(options(), 0);
    harness.submit(0, request(0));
    assert_eq!(harness.refused[&0].reason, Reason::NoUpstream);
    harness.set_upstreams(vec![view(0, true)]);
    harness.submit(1, request(1));
    assert_eq!(
        harness.refused[&1].reason,
        Reason::NoUpstream,
        "a leaving upstream got a new request"
    );
}

#[test]
fn waiting_requests_are_refused_when_the_last_upstream_leaves() {
    let mut harness = Harness::new(options(), 1);
    fill(&mut harness);
    harness.submit(0, request(0));
    harness.set_upstreams(vec![view(0, true)]);
    assert!(harness.refused.is_empty());
    harness.advance(Duration::from_millis(250));
    assert_eq!(harness.refused[&0].reason, Reason::NoUpstream);
}

#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once() {
    let mut harness = Harness::new(options(), 1);
    for waiter in 0..100 {
        harness.submit(waiter, SlotRequest { max_wait: Duration::from_secs(5), ..request(waiter) });
    }
    assert!(!harness.refused.is_empty(), "no request was refused");
    assert!(harness.dispatcher.waiting() > 0, "no request is waiting");
    assert!(harness.refused.values().all(|refusal| refusal.reason == Reason::Overloaded));
}

#[test]
fn waiting_teams_are_served_within_the_fairness_bound() {
    const WINDOW: u64 = 20_000;
    let cost: i64 = 256 + 1_000 + 8 * 100;
    let mut harness = Harness::new(options().fairness_window_tokens(WINDOW), 1);
    // One team sends five times as many requests, with less slack.
    for waiter in 0..600 {
        let (team, age_s) = if waiter % 6 == 0 { ("quiet", 0) } else { ("noisy", 50) };
        let program_age = Duration::from_secs(age_s);
        harness.submit(waiter, SlotRequest { team: team.into(), program_age, ..request(waiter) });
    }
    let (mut noisy, mut quiet) = (0i64, 0i64);
    for waiter in harness.drain() {
        *if waiter % 6 == 0 { &mut quiet } else { &mut noisy } += cost;
        if quiet == 100 * cost {
            break;
        }
        // Running calls are charged an estimate until release, so the bound also includes twice the
        // cost of LIMIT + 2 calls.
        let bound = WINDOW as i64 + (i64::from(LIMIT) + 2) * 2 * cost;
        assert!((noisy - quiet).abs() <= bound, "noisy {noisy} quiet {quiet}");
    }
    assert_eq!(quiet, 100 * cost);
}

#[test]
fn overload_sheds_new_programs_only() {
    let mut harness = Harness::new(options().shedding(true), 2);
    for waiter in 0..400 {
        harness.advance(Duration::from_millis(100));
        let calls_done = u32::from(waiter % 2 != 0);
        harness.submit(waiter, SlotRequest { calls_done, ..request(waiter) });
    }
    assert!(harness.dispatcher.counts().shed > 50);
    assert!(harness.refused.keys().all(|waiter| waiter % 2 == 0));
    assert!(harness.refused.values().all(|refusal| refusal.reason == Reason::Overloaded));
}

#[test]
fn a_reported_engine_queue_lowers_the_limit() {
    let mut harness = Harness::new(DispatcherOptions::new(SERVICE.into()), 1);
    let slots = |harness: &Harness| {
        harness
            .dispatcher
            .slots_in_use_and_limit(&"up-0".into())
            .expect("the upstream is registered")
            .1
    };
    let before = slots(&harness);
    harness.advance(Duration::from_secs(60));
    let report = LoadReport {
        running: 4,
        waiting: 4,
        kv_used_tokens: 0,
        kv_capacity_tokens: 100_000,
        age: Duration::from_secs(1),
    };
    let commands = harness.dispatcher.load_report(harness.now, &"up-0".into(), report);
    harness.apply(commands);
    assert!(slots(&harness) < before);
}

#[test]
fn adopted_slots_count_until_they_are_released() {
    let mut harness = Harness::new(options(), 1);
    for ticket in 0..u64::from(LIMIT) {
        let slot = AdoptedSlot {
            ticket,
            upstream: "up-0".into(),
            age: Duration::from_secs(1),
            request: request(ticket),
        };
        let commands = harness.dispatcher.adopt(harness.now, slot);
        harness.apply(commands);
    }
    harness.submit(50, request(50));
    assert!(harness.granted.is_empty());
    harness.release(0, done());
    assert_eq!(harness.next_grant().0, 50);
}

#[test]
fn the_same_content_stays_at_one_upstream_until_it_has_completed() {
    let mut harness = Harness::new(options(), 3);
    let mut count_upstreams_used = |first: u64| {
        for waiter in first..first + 8 {
            harness.submit(
                waiter,
                SlotRequest { fingerprint: 7, prompt_tokens: 0, ..request(waiter) },
            );
        }
        let mut used = BTreeSet::new();
        while let Some((_, grant)) = harness.granted.pop_front() {
            used.insert(grant.upstream);
            harness.release(grant.ticket, done());
        }
        used.len()
    };
    assert_eq!(count_upstreams_used(0), 1);
    assert_eq!(count_upstreams_used(100), 3);
}

/// One caller repeats a request that crashes every upstream that runs it. Other callers resend
/// their requests that ran on the same upstreams and failed with it.
#[test]
fn a_request_that_crashes_upstreams_reaches_at_most_two() {
    const POISON: u64 = u64::MAX;
    for seed in 0..20 {
        println!("seed {seed}");
        let mut harness = Harness::new(options().seed(seed), 9);
        let mut crashed_upstreams = BTreeSet::new();
        let mut submitted: BTreeMap<u64, u64> = BTreeMap::new();
        let mut next = 0;
        let mut send = |harness: &mut Harness, submitted: &mut BTreeMap<u64, u64>, fingerprint| {
            submitted.insert(next, fingerprint);
            harness.submit(next, SlotRequest { fingerprint, ..request(next) });
            next += 1;
        };
        for round in 0..400u64 {
            harness.advance(Duration::from_millis(500));
            if !submitted.values().any(|&fingerprint| fingerprint == POISON) {
                send(&mut harness, &mut submitted, POISON);
            }
            for number in 0..u64::from(round < 200) * 8 {
                send(&mut harness, &mut submitted, round * 8 + number);
            }
            for waiter in std::mem::take(&mut harness.refused).into_keys() {
                let fingerprint =
                    submitted.remove(&waiter).expect("the refused request was submitted");
                if fingerprint != POISON {
                    send(&mut harness, &mut submitted, fingerprint);
                }
            }
            let running: Vec<_> = harness.granted.drain(..).collect();
            let crashed: BTreeSet<_> = running
                .iter()
                .filter(|(waiter, _)| submitted[waiter] == POISON)
                .map(|(_, grant)| grant.upstream.clone())
                .collect();
            for (waiter, grant) in running {
                let fingerprint =
                    submitted.remove(&waiter).expect("the granted request was submitted");
                let did_crash = crashed.contains(&grant.upstream);
                harness.release(grant.ticket, if did_crash { Outcome::Broken } else { done() });
                if did_crash && fingerprint != POISON {
                    send(&mut harness, &mut submitted, fingerprint);
                }
            }
            crashed_upstreams.extend(crashed);
        }
        assert_eq!(crashed_upstreams.len(), 2, "crashed {crashed_upstreams:?}");
        let unserved_others =
            submitted.values().filter(|&&fingerprint| fingerprint != POISON).count();
        assert_eq!(unserved_others, 0, "other requests were left unserved");
    }
}
