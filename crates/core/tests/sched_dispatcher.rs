//! The dispatcher against tables of cases and against a plain queue.

mod sched_bench;

use {
    sched_bench::{Bench, LIMIT, SERVICE, done, done_after, options, request, view},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
    trefoilring_core::{
        catalog::{Catalog, Class},
        sched::{AdoptedSlot, Command, DispatcherOptions, LoadReport, Order, Outcome, SlotRequest},
        verdict::Reason,
    },
};

/// Fills the first upstream, so that what comes next waits.
fn fill(bench: &mut Bench) {
    for waiter in 100..100 + u64::from(LIMIT) {
        bench.ask(waiter, request(waiter));
    }
}

#[test]
fn fcfs_agrees_with_a_plain_queue() {
    let mut bench = Bench::new(options().order(Order::Fcfs).fair(false), 1);
    let mut naive = VecDeque::new();
    for waiter in 0..200 {
        bench.now += Duration::from_millis(1);
        bench.ask(waiter, request(waiter));
        naive.push_back(waiter);
    }
    assert_eq!(bench.drain(), Vec::from(naive));
}

#[test]
fn orders_differ_as_their_names_say() {
    let (young, old, late) = ((1, 1), (50, 40), (500, 40));
    // Age in seconds and calls done of two programs that wait together, and which goes first.
    let cases = [
        (Order::Fcfs, young, old, 0),
        (Order::Slack, young, old, 1),
        (Order::Slack, young, late, 1),
        (Order::FeasibleSlack, young, (45, 5), 1),
        (Order::FeasibleSlack, young, late, 0),
        (Order::OldestProgram, young, old, 1),
    ];
    for (order, first, second, expected) in cases {
        let mut bench = Bench::new(options().order(order), 1);
        fill(&mut bench);
        for (waiter, (age_s, calls_done)) in [(0, first), (1, second)] {
            let program_age = Duration::from_secs(age_s);
            bench.ask(waiter, SlotRequest { program_age, calls_done, ..request(waiter) });
        }
        assert_eq!(bench.drain()[LIMIT as usize], expected, "{order:?} {first:?} {second:?}");
    }
}

#[test]
fn a_changed_target_reorders_what_waits() {
    let mut bench = Bench::new(options().order(Order::Slack), 1);
    fill(&mut bench);
    bench.ask(0, SlotRequest { class: "a".into(), ..request(0) });
    bench.ask(1, SlotRequest { class: "b".into(), ..request(1) });
    let class = |target_ms| Class { target_ms, budget: Default::default() };
    let classes = BTreeMap::from([("a".into(), class(90_000)), ("b".into(), class(5_000))]);
    bench.dispatcher.set_catalog(&Catalog { classes, ..Default::default() });
    assert_eq!(bench.drain()[LIMIT as usize..], [1, 0]);
}

#[test]
fn a_program_returns_to_its_prefix() {
    let mut bench = Bench::new(options(), 3);
    let long = SlotRequest { prompt_tokens: 50_000, ..request(7) };
    bench.ask(0, long.clone());
    let (_, first) = bench.next_grant();
    bench.end(first.ticket, done_after(Duration::from_secs(12), 50_000));
    bench.ask(1, SlotRequest { calls_done: 2, prompt_tokens: 50_500, ..long });
    assert_eq!(bench.next_grant().1.upstream, first.upstream);
}

#[test]
fn short_requests_do_not_wait_for_their_prefix() {
    let mut bench = Bench::new(options(), 3);
    for waiter in 0..u64::from(3 * LIMIT) {
        let last_upstream = Some("up-0".into());
        bench.ask(waiter, SlotRequest { last_upstream, prompt_tokens: 10, ..request(waiter) });
    }
    assert_eq!(bench.granted.len(), 3 * LIMIT as usize);
}

#[test]
fn an_ended_program_is_released_where_it_was_cached() {
    let mut bench = Bench::new(options(), 3);
    bench.ask(0, request(0));
    let (_, grant) = bench.next_grant();
    bench.end(grant.ticket, done());
    let program = request(0).program;
    let commands = bench.dispatcher.program_ended(bench.now, &program);
    assert!(commands.contains(&Command::Release { upstream: grant.upstream, program }));
}

#[test]
fn a_request_without_upstream_is_refused_at_once() {
    let mut bench = Bench::new(options(), 0);
    bench.ask(0, request(0));
    assert_eq!(bench.refused[&0].reason, Reason::NoUpstream);
    bench.list(vec![view(0, true)]);
    bench.ask(1, request(1));
    assert_eq!(bench.refused[&1].reason, Reason::NoUpstream, "a leaving upstream serves nobody");
}

#[test]
fn what_waits_is_refused_at_once_when_the_last_upstream_goes() {
    let mut bench = Bench::new(options(), 1);
    fill(&mut bench);
    bench.ask(0, request(0));
    bench.list(vec![view(0, true)]);
    assert!(bench.refused.is_empty());
    bench.pass(Duration::from_millis(250));
    assert_eq!(bench.refused[&0].reason, Reason::NoUpstream);
}

#[test]
fn a_request_that_can_not_be_served_in_time_is_refused_at_once() {
    let mut bench = Bench::new(options(), 1);
    for waiter in 0..100 {
        bench.ask(waiter, SlotRequest { patience: Duration::from_secs(5), ..request(waiter) });
    }
    assert!(!bench.refused.is_empty(), "some are refused");
    assert!(bench.dispatcher.waiting() > 0, "others wait");
    assert!(bench.refused.values().all(|refusal| refusal.reason == Reason::Overloaded));
}

#[test]
fn teams_that_wait_are_served_within_the_stated_bound() {
    const WINDOW: u64 = 20_000;
    let cost: i64 = 256 + 1_000 + 8 * 100;
    let mut bench = Bench::new(options().fairness_window_tokens(WINDOW), 1);
    // One team asks five times as often, with less slack.
    for waiter in 0..600 {
        let (team, age_s) = if waiter % 6 == 0 { ("quiet", 0) } else { ("noisy", 50) };
        let program_age = Duration::from_secs(age_s);
        bench.ask(waiter, SlotRequest { team: team.into(), program_age, ..request(waiter) });
    }
    let (mut noisy, mut quiet) = (0i64, 0i64);
    for waiter in bench.drain() {
        *if waiter % 6 == 0 { &mut quiet } else { &mut noisy } += cost;
        if quiet == 100 * cost {
            break;
        }
        // Estimates are charged first and corrected later, for all that run.
        let bound = WINDOW as i64 + (i64::from(LIMIT) + 2) * 2 * cost;
        assert!((noisy - quiet).abs() <= bound, "noisy {noisy} quiet {quiet}");
    }
    assert_eq!(quiet, 100 * cost);
}

#[test]
fn overload_sheds_new_programs_only() {
    let mut bench = Bench::new(options().shedding(true), 2);
    for waiter in 0..400 {
        bench.pass(Duration::from_millis(100));
        let calls_done = u32::from(waiter % 2 != 0);
        bench.ask(waiter, SlotRequest { calls_done, ..request(waiter) });
    }
    assert!(bench.dispatcher.counts().shed > 50);
    assert!(bench.refused.keys().all(|waiter| waiter % 2 == 0));
    assert!(bench.refused.values().all(|refusal| refusal.reason == Reason::Overloaded));
}

#[test]
fn an_engine_that_queues_gets_less() {
    let mut bench = Bench::new(DispatcherOptions::new(SERVICE.into()), 1);
    let slots = |bench: &Bench| bench.dispatcher.slots(&"up-0".into()).expect("listed").1;
    let before = slots(&bench);
    bench.pass(Duration::from_secs(60));
    let report = LoadReport {
        running: 4,
        waiting: 4,
        kv_used_tokens: 0,
        kv_capacity_tokens: 100_000,
        age: Duration::from_secs(1),
    };
    let commands = bench.dispatcher.load_report(bench.now, &"up-0".into(), report);
    bench.take(commands);
    assert!(slots(&bench) < before);
}

#[test]
fn adopted_slots_count_until_they_are_released() {
    let mut bench = Bench::new(options(), 1);
    for ticket in 0..u64::from(LIMIT) {
        let slot = AdoptedSlot {
            ticket,
            upstream: "up-0".into(),
            age: Duration::from_secs(1),
            request: request(ticket),
        };
        let commands = bench.dispatcher.adopt(bench.now, slot);
        bench.take(commands);
    }
    bench.ask(50, request(50));
    assert!(bench.granted.is_empty());
    bench.end(0, done());
    assert_eq!(bench.next_grant().0, 50);
}

#[test]
fn the_same_content_stays_at_one_upstream_until_it_is_known_to_be_harmless() {
    let mut bench = Bench::new(options(), 3);
    let mut spread = |first: u64| {
        for waiter in first..first + 8 {
            bench.ask(waiter, SlotRequest { fingerprint: 7, prompt_tokens: 0, ..request(waiter) });
        }
        let mut used = BTreeSet::new();
        while let Some((_, grant)) = bench.granted.pop_front() {
            used.insert(grant.upstream);
            bench.end(grant.ticket, done());
        }
        used.len()
    };
    assert_eq!(spread(0), 1);
    assert_eq!(spread(100), 3);
}

/// A caller that sends one request again and again, which breaks each upstream that runs it,
/// among others that send again what broke beside it.
#[test]
fn a_request_that_breaks_upstreams_meets_at_most_two() {
    const POISON: u64 = u64::MAX;
    for seed in 0..20 {
        println!("seed {seed}");
        let mut bench = Bench::new(options().seed(seed), 9);
        let mut broken = BTreeSet::new();
        let mut asked: BTreeMap<u64, u64> = BTreeMap::new();
        let mut next = 0;
        let mut send = |bench: &mut Bench, asked: &mut BTreeMap<u64, u64>, fingerprint| {
            asked.insert(next, fingerprint);
            bench.ask(next, SlotRequest { fingerprint, ..request(next) });
            next += 1;
        };
        for round in 0..400u64 {
            bench.pass(Duration::from_millis(500));
            if !asked.values().any(|&fingerprint| fingerprint == POISON) {
                send(&mut bench, &mut asked, POISON);
            }
            for number in 0..u64::from(round < 200) * 8 {
                send(&mut bench, &mut asked, round * 8 + number);
            }
            for waiter in std::mem::take(&mut bench.refused).into_keys() {
                let fingerprint = asked.remove(&waiter).expect("was asked");
                if fingerprint != POISON {
                    send(&mut bench, &mut asked, fingerprint);
                }
            }
            let running: Vec<_> = bench.granted.drain(..).collect();
            let hit: BTreeSet<_> = running
                .iter()
                .filter(|(waiter, _)| asked[waiter] == POISON)
                .map(|(_, grant)| grant.upstream.clone())
                .collect();
            for (waiter, grant) in running {
                let fingerprint = asked.remove(&waiter).expect("was asked");
                let is_broken = hit.contains(&grant.upstream);
                bench.end(grant.ticket, if is_broken { Outcome::Broken } else { done() });
                if is_broken && fingerprint != POISON {
                    send(&mut bench, &mut asked, fingerprint);
                }
            }
            broken.extend(hit);
        }
        assert_eq!(broken.len(), 2, "broke {broken:?}");
        let innocent = asked.values().filter(|&&fingerprint| fingerprint != POISON).count();
        assert_eq!(innocent, 0, "all the others were served in the end");
    }
}
