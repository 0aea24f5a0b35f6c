//! Real `trefoilring serve` processes under faults: killed, paused and stopped hosts, and a store
//! that is down, slow or loses answers. Whatever happens, each booking is made at most once, and
//! exactly once where its caller was told so; histories are whole; the key stays with the entry.

mod support;

use {
    serde_json::json,
    smol::{Timer, block_on},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    support::{
        SECRET, Site,
        agent::{Agent, check_bookings},
        until,
    },
    trefoilring_site::CallerClient,
    trefoilring_standin::{Faults, Outage},
};

/// Programs that run at once.
const PROGRAMS: usize = 6;
/// Turns and bookings of each program at least.
const ROUNDS: usize = 12;
/// Engines run this many times as fast as in life.
const TIME_SCALE: f64 = 20.0;
/// Engines that one text may crash: the first, and one on which it is tried again.
const MAX_CRASHED: usize = 2;
/// How long a fault lasts: several leases.
const FAULT: Duration = Duration::from_secs(4);

/// Runs programs, brings a fault about once bookings are made, lets the programs go on for as long
/// as it lasts, and checks everything at the end.
fn run(name: &str, fault: impl AsyncFnOnce(&Site)) -> Vec<Agent> {
    block_on(async {
        let site = Arc::new(Site::start(name, TIME_SCALE).await);
        let is_over = Arc::new(AtomicBool::new(false));
        let programs: Vec<_> = (0..PROGRAMS)
            .map(|number| {
                let (site, is_over) = (site.clone(), is_over.clone());
                smol::spawn(async move {
                    let mut agent = Agent::create(&site, number).await;
                    agent.run(ROUNDS, &is_over).await;
                    agent
                })
            })
            .collect();
        until("bookings", || site.tool.runs().total >= PROGRAMS as u64).await;
        fault(&site).await;
        is_over.store(true, Ordering::SeqCst);
        let mut agents = Vec::new();
        for program in programs {
            agents.push(program.await);
        }
        for agent in &mut agents {
            agent.check_history().await;
        }
        check_bookings(&site, &agents);
        site.check_secret();
        agents
    })
}

/// Holds store faults for a while, then lifts them.
async fn store_fault(site: &Site, change: impl FnOnce(&mut Faults)) {
    site.objects.control().change(change);
    Timer::after(FAULT).await;
    site.objects.control().set(Faults::default());
}

#[test]
fn a_quiet_run() {
    let agents = run("quiet", async |_| ());
    assert!(agents.iter().all(|agent| agent.cut.is_empty()));
}

#[test]
fn a_host_is_killed_and_comes_back() {
    run("killed", async |site| {
        site.kill("a");
        Timer::after(FAULT).await;
        site.start_host("host-a", "a");
    });
}

#[test]
fn a_host_is_paused_past_its_lease() {
    run("paused", async |site| {
        site.signal("a", "STOP");
        Timer::after(FAULT).await;
        site.signal("a", "CONT");
    });
}

#[test]
fn two_hosts_are_paused_in_turn() {
    run("paused-twice", async |site| {
        for domain in ["a", "b", "a"] {
            site.signal(domain, "STOP");
            Timer::after(FAULT).await;
            site.signal(domain, "CONT");
        }
    });
}

#[test]
fn a_host_is_stopped_gracefully() {
    let agents = run("stopped", async |site| {
        site.signal("a", "TERM");
        assert_eq!(site.ended("a").await, Some(0));
    });
    let cut: Vec<_> = agents.iter().flat_map(|agent| &agent.cut).collect();
    assert!(cut.is_empty(), "{cut:#?}");
}

#[test]
fn all_hosts_are_replaced_in_turn() {
    let agents = run("replaced", async |site| {
        for domain in ["a", "b", "c"] {
            site.signal(domain, "TERM");
            assert_eq!(site.ended(domain).await, Some(0));
            site.start_host(&format!("host-{domain}"), domain);
            site.ready().await;
        }
    });
    let cut: Vec<_> = agents.iter().flat_map(|agent| &agent.cut).collect();
    assert!(cut.is_empty(), "{cut:#?}");
}

#[test]
fn a_turn_that_crashes_engines_is_stopped() {
    const POISON: &str = "a text that crashes engines";
    run("poison", async |site| {
        for engine in &site.engines {
            engine.control().change(|faults| faults.crash_on = POISON.into());
        }
        // The caller sends it again and again, each time as a step of its own.
        let mut agent = Agent::create(site, 100).await;
        for number in 0..8 {
            let refused = agent.try_turn(&format!("poison-{number}"), POISON).await;
            assert!(refused.is_none_or(|reply| !reply.is_success()));
        }
        let dead = site.engines.iter().filter(|engine| engine.control().is_stopped()).count();
        assert!(dead <= MAX_CRASHED, "{dead} engines crashed");
    });
}

#[test]
fn the_store_loses_answers() {
    run("store-loses", async |site| {
        store_fault(site, |faults| faults.lose_answer_every = 3).await;
    });
}

#[test]
fn the_store_is_slow() {
    run("store-slow", async |site| {
        store_fault(site, |faults| faults.latency_ms = 300).await;
    });
}

#[test]
fn the_store_is_down() {
    run("store-down", async |site| {
        store_fault(site, |faults| faults.down = Outage::Refused).await;
    });
}

#[test]
fn a_host_dies_while_the_store_is_down() {
    run("store-down-killed", async |site| {
        site.objects.control().change(|faults| faults.down = Outage::Unavailable);
        Timer::after(FAULT / 2).await;
        site.kill("b");
        Timer::after(FAULT).await;
        site.objects.control().set(Faults::default());
        site.start_host("host-b", "b");
    });
}

#[test]
fn a_host_dies_while_the_store_loses_answers() {
    run("store-loses-killed", async |site| {
        site.objects.control().change(|faults| faults.lose_answer_every = 3);
        site.kill("c");
        Timer::after(FAULT).await;
        site.objects.control().set(Faults::default());
        site.start_host("host-c", "c");
    });
}

#[test]
fn a_planned_stop_cuts_no_stream() {
    const STREAMS: usize = 12;
    const TOKENS: u64 = 400;
    block_on(async {
        let site = Arc::new(Site::start("streams", 2.0).await);
        let hosts = site.addresses();
        let streams: Vec<_> = (0..STREAMS)
            .map(|number| {
                let (site, entry) = (site.clone(), hosts[number % hosts.len()]);
                smol::spawn(async move {
                    let mut agent = Agent::create(&site, number).await;
                    let said = format!("stream {number}");
                    let body = json!({
                        "model": "m",
                        "messages": [{ "role": "user", "content": said }],
                        "max_tokens": TOKENS,
                        "stream": true,
                    });
                    let program = agent.program.clone();
                    let headers = [("Trefoil-Program", &*program), ("Idempotency-Key", "s")];
                    let caller = CallerClient::new(SECRET);
                    let path = "/v1/chat/completions";
                    let stream = caller.stream(entry, path, &headers, &body).await.unwrap();
                    assert!(stream.is_complete, "{program}: {stream:?}");
                    agent.expect_turn(&said, &stream.text(), TOKENS);
                    agent
                })
            })
            .collect();
        let running = || site.engines.iter().map(|engine| engine.load().running).sum::<u64>();
        // Some run and some may wait for a slot; none of them may be cut.
        until("streams", || site.calls_received() == STREAMS as u64 && running() > 2).await;
        site.signal("a", "TERM");
        let mut agents = Vec::new();
        for stream in streams {
            agents.push(stream.await);
        }
        assert_eq!(site.ended("a").await, Some(0));
        for agent in &mut agents {
            agent.check_history().await;
        }
        let cancelled: u64 = site.engines.iter().map(|engine| engine.stats().cancelled).sum();
        assert_eq!(cancelled, 0);
        site.check_secret();
    });
}
