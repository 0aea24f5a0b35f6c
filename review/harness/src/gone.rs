//! One of three workers goes dark, and the clients of calls that must not be repeated leave.

use {
    crate::{
        Verdict,
        site::{Client, HostOptions, Record, Site, all},
        workers::Workers,
    },
    smol::{LocalExecutor, Timer},
    std::{
        cell::RefCell,
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_standin::fleet::{LinkFault, StoreStandin, WorkerFault, client},
};

const KEY: &str = "key-of-the-review";
const GATEWAYS: usize = 3;
const WORKERS: usize = 3;
/// Requests that come at each gateway within [`SPREAD`].
const REQUESTS: usize = 12;
const SPREAD: Duration = Duration::from_millis(90);
/// Half of the objective of the route, after which clients leave.
const PATIENCE: Duration = Duration::from_millis(125);
const DEADLINE: Duration = Duration::from_secs(2);
/// A request that reaches a worker later than this after its client has left counts.
const LATE: Duration = Duration::from_millis(500);
/// "More than a few requests".
const LATE_MAX: usize = 5;
const WORK: Duration = Duration::from_millis(40);

pub async fn run(
    executor: &Rc<LocalExecutor<'static>>,
    record: &Record,
    has_trouble: bool,
) -> Verdict {
    let store = Rc::new(StoreStandin::start().await.expect("a port"));
    store.put("config", "main", client::configuration(KEY));
    let down = Duration::from_secs(60);
    let pool = Workers::start(executor, &store, WORKERS, WorkerFault::Slow(WORK), down).await;
    let view = store.open_view(pool.proxied.clone()).await.expect("a port");
    let hosts = (0..GATEWAYS).map(|number| HostOptions {
        store: view.address,
        serves_callers: true,
        domain: ["a", "b", "c"][number % 3],
    });
    let site = Site::start(hosts.collect()).await;
    let client = Client::new(executor);
    let left_at: RefCell<HashMap<String, Instant>> = RefCell::default();
    if has_trouble {
        record.line("worker 0 goes dark");
        pool.set_link_fault_of(0, LinkFault::Unreachable);
        Timer::after(Duration::from_millis(50)).await;
    }
    let requests = (0..REQUESTS * GATEWAYS).map(async |number| {
        let id = format!("d-{number}");
        let gateway = number % GATEWAYS;
        Timer::after(SPREAD.mul_f64(number as f64 / (REQUESTS * GATEWAYS) as f64)).await;
        let request = client::request("/do/x", &id, KEY, DEADLINE, None, &id);
        let answer = client.send(site.callers_address(gateway), request, PATIENCE).await;
        record.line(&format!("{id} at gateway {gateway}: {:?}", answer.status));
        if answer.status.is_none() {
            record.line(&format!("{id}: its client leaves"));
            left_at.borrow_mut().insert(id, Instant::now());
        }
    });
    all(requests).await;
    Timer::after(DEADLINE + Duration::from_secs(1)).await;
    site.check_processes();

    let left_at = left_at.into_inner();
    let mut late = 0;
    for run in pool.runs() {
        let Some(left) = left_at.get(&run.request_id) else { continue };
        let after = run.started_at.saturating_duration_since(*left);
        record.line(&format!(
            "a worker ran {} at {:.3}, {after:?} after its client had left",
            run.request_id,
            record.at(run.started_at)
        ));
        late += usize::from(after > LATE);
    }
    record.say(&format!("clients that left: {}", left_at.len()));
    record.say(&format!("requests that reached a worker over {LATE:?} later: {late}"));
    match late > LATE_MAX {
        false => Verdict::Held,
        true => Verdict::Broken,
    }
}
