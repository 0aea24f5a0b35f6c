//! A request that crashes the workers that run it comes at hosts that are cut off from all workers.

use {
    crate::{
        Verdict,
        site::{Client, HostOptions, Record, Site},
        workers::Workers,
    },
    smol::{LocalExecutor, Timer},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_standin::fleet::{LinkFault, StoreStandin, WorkerFault, client},
};

const KEY: &str = "key-of-the-review";
/// Text in the body of the request that crashes workers.
const CRASHING: &str = "crashing";
/// Hosts with callers: those of the first zone are cut off from all workers.
const CUT_OFF: usize = 2;
const GATEWAYS: usize = 5;
const WORKERS: usize = 9;
/// How long a worker that has crashed is down.
const DOWN: Duration = Duration::from_secs(2);
/// How long the machines of the zone are cut off.
const CUT: Duration = Duration::from_secs(9);
/// From the start of the cut to the first request.
const FIRST_AFTER: Duration = Duration::from_millis(1500);
/// From the answer to a request until its client sends it again.
const PAUSE: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(2);
/// `contact_ms` of the deployment.
const CONTACT: Duration = Duration::from_secs(3);
/// Crashes after which, and retries by which, the rule counts.
const CRASHES: usize = 3;
const RETRIES_MAX: usize = 3;

pub async fn run(
    executor: &Rc<LocalExecutor<'static>>,
    record: &Record,
    has_trouble: bool,
) -> Verdict {
    let store = Rc::new(StoreStandin::start().await.expect("a port"));
    store.put("config", "main", client::configuration(KEY));
    let fault = WorkerFault::CrashesOn(CRASHING, Duration::from_millis(10));
    let pool = Workers::start(executor, &store, WORKERS, fault, DOWN).await;
    let view = store.open_view(pool.proxied.clone()).await.expect("a port");
    let hosts = (0..GATEWAYS).map(|number| HostOptions {
        store: if number < CUT_OFF { view.address } else { store.address },
        serves_callers: true,
        domain: if number < CUT_OFF { "a" } else { ["b", "c"][number % 2] },
    });
    let site = Site::start(hosts.collect()).await;
    let client = Client::new(executor);
    let path = "/do/x";

    // Usual work at all hosts, until the end.
    let mut sent = 0;
    for number in 0..GATEWAYS * 4 {
        let request = client::request(path, &format!("u-{number}"), KEY, DEADLINE, None, "work");
        client.send(site.callers_address(number % GATEWAYS), request, DEADLINE).await;
    }

    let began = Instant::now();
    if has_trouble {
        record.line("the machines of zone a are cut off from all workers");
        pool.set_link_fault(LinkFault::NoListener);
        pool.reset_links();
    }
    let usual = async {
        let mut number = 0;
        loop {
            let id = format!("v-{number}");
            let request = client::request("/look/x", &id, KEY, DEADLINE, None, "work");
            let gateway = number % GATEWAYS;
            let answer = client.send(site.callers_address(gateway), request, DEADLINE).await;
            record.line(&format!("usual {id} at gateway {gateway}: {:?}", answer.status));
            number += 1;
            Timer::after(Duration::from_millis(60)).await;
        }
    };
    let crashing = async {
        Timer::at(began + FIRST_AFTER).await;
        while began.elapsed() < CUT {
            let id = format!("c-{sent}");
            let gateway = sent % CUT_OFF;
            sent += 1;
            let request = client::request(path, &id, KEY, DEADLINE, None, CRASHING);
            let answer = client.send(site.callers_address(gateway), request, DEADLINE).await;
            record.line(&format!(
                "crashing {id} at gateway {gateway}: {:?}, retry after {:?}",
                answer.status.map(|status| status.as_u16()),
                answer.retry_after(),
            ));
            Timer::after(PAUSE).await;
        }
    };
    smol::future::or(crashing, usual).await;
    pool.set_link_fault(LinkFault::None);
    site.check_processes();

    let runs: Vec<Instant> = pool
        .runs()
        .into_iter()
        .filter(|run| String::from_utf8_lossy(&run.body).contains(CRASHING))
        .map(|run| {
            let at = record.at(run.started_at);
            record.line(&format!("a worker ran {} at {at:.3}", run.request_id));
            run.started_at
        })
        .collect();
    for at in pool.crashed_at() {
        record.line(&format!("a worker crashed at {:.3}", record.at(at)));
    }
    let late = match pool.crashed_at().get(CRASHES - 1) {
        Some(third) => runs.iter().filter(|at| **at > *third + CONTACT).count(),
        None => 0,
    };
    record.say(&format!("sent {sent} times, run {} times", runs.len()));
    record.say(&format!(
        "runs later than {CONTACT:?} after the third crash: {late}, at most {RETRIES_MAX}"
    ));
    match late > RETRIES_MAX {
        false => Verdict::Held,
        true => Verdict::Broken,
    }
}
