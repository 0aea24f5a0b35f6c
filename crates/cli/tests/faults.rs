//! Runs `trefoilring serve` processes under faults: hosts are killed, paused and stopped, and the
//! store is unavailable, is slow or loses responses.
//!
//! Each test checks that a booking is made at most once, and exactly once if its caller received
//! a success response; that histories are complete; and that the key does not leave the entry host.

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

/// Number of concurrent programs.
const PROGRAMS: usize = 6;
/// Minimum number of turns and of bookings of each program.
const MIN_ROUNDS: usize = 12;
/// Factor by which the stand-in engines run faster than real engines.
const TIME_SCALE: f64 = 20.0;
/// Maximum number of engines that one text may crash: the engine of the first attempt and that of
/// the retry.
const MAX_CRASHED: usize = 2;
/// Duration of a fault: several leases.
const FAULT_DURATION: Duration = Duration::from_secs(4);

/// Runs programs and injects a fault once bookings are made. The programs continue during the
/// fault. Checks histories, bookings and the secret at the end.
fn run_with_fault(name: &str, fault: impl AsyncFnOnce(&Site)) -> Vec<Agent> {
    block_on(async {
        let site = Arc::new(Site::start(name, TIME_SCALE).await);
        let is_fault_over = Arc::new(AtomicBool::new(false));
        let programs: Vec<_> = (0..PROGRAMS)
            .map(|number| {
                let (site, is_fault_over) = (site.clone(), is_fault_over.clone());
                smol::spawn(async move {
                    let mut agent = Agent::create(&site, number).await;
                    agent.run(MIN_ROUNDS, &is_fault_over).await;
                    agent
                })
            })
            .collect();
        until("bookings", || site.tool.runs().total >= PROGRAMS as u64).await;
        fault(&site).await;
        is_fault_over.store(true, Ordering::SeqCst);
        let mut agents = Vec::new();
        for program in programs {
            agents.push(program.await);
        }
        for agent in &mut agents {
            agent.check_history().await;
        }
        check_bookings(&site, &agents);
        site.check_secret_does_not_leak();
        agents
    })
}

/// Injects a store fault for [`FAULT_DURATION`], then removes it.
async fn inject_store_fault(site: &Site, change: impl FnOnce(&mut Faults)) {
    site.objects.control().change(change);
    Timer::after(FAULT_DURATION).await;
    site.objects.control().set(Faults::default());
}

#[test]
fn a_run_without_faults_loses_no_result() {
    let agents = run_with_fault("quiet", async |_| ());
    assert!(agents.iter().all(|agent| agent.lost_results.is_empty()));
}

#[test]
fn a_host_is_killed_and_restarted() {
    run_with_fault("killed", async |site| {
        site.kill("a");
        Timer::after(FAULT_DURATION).await;
        site.start_host("host-a", "a");
    });
}

#[test]
fn a_host_is_paused_past_its_lease() {
    run_with_fault("paused", async |site| {
        site.signal("a", "STOP");
        Timer::after(FAULT_DURATION).await;
        site.signal("a", "CONT");
    });
}

#[test]
fn two_hosts_are_paused_in_turn() {
    run_with_fault("paused-twice", async |site| {
        for domain in ["a", "b", "a"] {
            site.signal(domain, "STOP");
            Timer::after(FAULT_DURATION).await;
            site.signal(domain, "CONT");
        }
    });
}

#[test]
fn a_host_is_stopped_gracefully() {
    let agents = run_with_fault("stopped", async |site| {
        site.signal("a", "TERM");
        assert_eq!(site.wait_for_exit("a").await, Some(0));
    });
    let lost_results: Vec<_> = agents.iter().flat_map(|agent| &agent.lost_results).collect();
    assert!(lost_results.is_empty(), "{lost_results:#?}");
}

#[test]
fn all_hosts_are_replaced_in_turn() {
    let agents = run_with_fault("replaced", async |site| {
        for domain in ["a", "b", "c"] {
            site.signal(domain, "TERM");
            assert_eq!(site.wait_for_exit(domain).await, Some(0));
            site.start_host(&format!("host-{domain}"), domain);
            site.wait_until_ready().await;
        }
    });
    let lost_results: Vec<_> = agents.iter().flat_map(|agent| &agent.lost_results).collect();
    assert!(lost_results.is_empty(), "{lost_results:#?}");
}

#[test]
fn a_turn_that_crashes_engines_is_quarantined() {
    const CRASHING_TEXT: &str = "a text that crashes engines";
    run_with_fault("poison", async |site| {
        for engine in &site.engines {
            engine.control().change(|faults| faults.crash_on = CRASHING_TEXT.into());
        }
        // The caller sends the text repeatedly, each time as a new step.
        let mut agent = Agent::create(site, 100).await;
        for number in 0..8 {
            let outcome = agent.try_turn(&format!("poison-{number}"), CRASHING_TEXT).await;
            assert!(outcome.is_none_or(|reply| !reply.is_success()));
        }
        let crashed = site.engines.iter().filter(|engine| engine.control().is_stopped()).count();
        assert!(crashed <= MAX_CRASHED, "{crashed} engines crashed");
    });
}

#[test]
fn the_store_loses_responses() {
    run_with_fault("store-loses", async |site| {
        inject_store_fault(site, |faults| faults.lose_answer_every = 3).await;
    });
}

#[test]
fn the_store_is_slow() {
    run_with_fault("store-slow", async |site| {
        inject_store_fault(site, |faults| faults.latency_ms = 300).await;
    });
}

#[test]
fn the_store_is_unavailable() {
    run_with_fault("store-down", async |site| {
        inject_store_fault(site, |faults| faults.down = Outage::Refused).await;
    });
}

#[test]
fn a_host_is_killed_while_the_store_is_unavailable() {
    run_with_fault("store-down-killed", async |site| {
        site.objects.control().change(|faults| faults.down = Outage::Unavailable);
        Timer::after(FAULT_DURATION / 2).await;
        site.kill("b");
        Timer::after(FAULT_DURATION).await;
        site.objects.control().set(Faults::default());
        site.start_host("host-b", "b");
    });
}

#[test]
fn a_host_is_killed_while_the_store_loses_responses() {
    run_with_fault("store-loses-killed", async |site| {
        site.objects.control().change(|faults| faults.lose_answer_every = 3);
        site.kill("c");
        Timer::after(FAULT_DURATION).await;
        site.objects.control().set(Faults::default());
        site.start_host("host-c", "c");
    });
}

#[test]
fn a_planned_stop_cuts_no_stream() {
    const STREAMS: usize = 12;
    const TOKENS: u64 = 400;
    block_on(async {
        // The engines are slower than with TIME_SCALE, so that streams still run when the host
        // stops.
        let site = Arc::new(Site::start("streams", 2.0).await);
        let hosts = site.addresses();
        let streams: Vec<_> = (0..STREAMS)
            .map(|number| {
                let (site, entry) = (site.clone(), hosts[number % hosts.len()]);
                smol::spawn(async move {
                    let mut agent = Agent::create(&site, number).await;
                    let prompt = format!("stream {number}");
                    let body = json!({
                        "model": "m",
                        "messages": [{ "role": "user", "content": prompt }],
                        "max_tokens": TOKENS,
                        "stream": true,
                    });
                    let program = agent.program.clone();
                    let headers = [("Trefoil-Program", &*program), ("Idempotency-Key", "s")];
                    let caller = CallerClient::new(SECRET);
                    let path = "/v1/chat/completions";
                    let stream = caller.stream(entry, path, &headers, &body).await.unwrap();
                    assert!(stream.is_complete, "{program}: {stream:?}");
                    agent.expect_turn(&prompt, &stream.text(), TOKENS);
                    agent
                })
            })
            .collect();
        let running = || site.engines.iter().map(|engine| engine.load().running).sum::<u64>();
        // Some streams run and some may wait for a slot. The stop must cut none of them.
        until("streams", || site.calls_received() == STREAMS as u64 && running() > 2).await;
        site.signal("a", "TERM");
        let mut agents = Vec::new();
        for stream in streams {
            agents.push(stream.await);
        }
        assert_eq!(site.wait_for_exit("a").await, Some(0));
        for agent in &mut agents {
            agent.check_history().await;
        }
        let cancelled: u64 = site.engines.iter().map(|engine| engine.stats().cancelled).sum();
        assert_eq!(cancelled, 0);
        site.check_secret_does_not_leak();
    });
}
