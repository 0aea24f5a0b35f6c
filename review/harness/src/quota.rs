//! Random kills and freezes of gateways, with a team that asks for far more than its quota.

use {
    crate::{
        Verdict,
        fuzz::env,
        site::{Client, HostOptions, Record, Site, all},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    smol::{LocalExecutor, Timer},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_standin::fleet::{
        PoolOptions, StoreFault, StoreStandin, WorkerFault, WorkerPool, client,
    },
};

const KEY: &str = "key-of-the-review";
const GATEWAYS: usize = 5;
const WINDOW: Duration = Duration::from_secs(5);

pub async fn run(executor: &Rc<LocalExecutor<'static>>, record: &Record, _: bool) -> Verdict {
    let seed = env("SEED", 1);
    let (rate, burst) = (env("RATE", 20) as f64, env("BURST", 20) as f64);
    let store = StoreStandin::start().await.expect("a port");
    let mut configuration = client::configuration(KEY);
    configuration["tenants"][0]["rate_per_s"] = rate.into();
    configuration["tenants"][0]["burst"] = burst.into();
    store.put("config", "main", configuration);
    let options = PoolOptions {
        size: 6,
        fault: WorkerFault::None,
        restart_delay: Duration::from_millis(500),
        versions: &[],
    };
    let pool = WorkerPool::start(&store, options).await.expect("ports");
    let hosts = (0..GATEWAYS).map(|number| HostOptions {
        store: store.address,
        serves_callers: true,
        domain: ["a", "b", "c"][number % 3],
    });
    let site = Site::start(hosts.collect()).await;
    let client = Client::new(executor);
    let end = Instant::now() + Duration::from_secs(env("LENGTH", 45));
    let sent_at: RefCell<HashMap<String, Instant>> = RefCell::default();
    let next = Cell::new(0u64);
    let callers = (0..40usize).map(async |caller| {
        let mut random = SmallRng::seed_from_u64(seed * 100 + caller as u64);
        while Instant::now() < end {
            let id = format!("q-{}", next.replace(next.get() + 1));
            let request = client::request("/do/x", &id, KEY, Duration::from_secs(2), None, &id);
            sent_at.borrow_mut().insert(id, Instant::now());
            let gateway = random.random_range(0..GATEWAYS);
            let address = site.callers_address(gateway);
            client.send(address, request, Duration::from_secs(2)).await;
            Timer::after(Duration::from_millis(random.random_range(20..150))).await;
        }
    });
    let faults = async {
        let mut random = SmallRng::seed_from_u64(seed);
        while Instant::now() < end {
            Timer::after(Duration::from_millis(random.random_range(200..2000))).await;
            let host = random.random_range(0..GATEWAYS);
            match random.random_range(0..3) {
                0 => {
                    site.signal(host, "STOP");
                    Timer::after(Duration::from_millis(random.random_range(300..3200))).await;
                    site.signal(host, "CONT");
                }
                1 => {
                    site.kill(host);
                    Timer::after(Duration::from_millis(random.random_range(100..1500))).await;
                    site.restart(host, false);
                }
                _ => {
                    store.set_fault(StoreFault::Busy);
                    Timer::after(Duration::from_millis(random.random_range(300..4500))).await;
                    store.set_fault(StoreFault::None);
                }
            }
        }
    };
    smol::future::zip(all(callers), faults).await;
    let sent_at = sent_at.into_inner();
    let mut runs: Vec<(Instant, Instant)> = pool
        .runs()
        .iter()
        .filter_map(|run| Some((*sent_at.get(&run.request_id)?, run.started_at)))
        .collect();
    runs.sort_by_key(|(_, started)| *started);
    let allowed = (rate * WINDOW.as_secs_f64() + burst) * 1.1 + 20.0;
    let most = runs
        .iter()
        .map(|(first_sent, _)| {
            let in_window = |(sent, started): &&(Instant, Instant)| {
                sent >= first_sent && *started <= *first_sent + WINDOW
            };
            runs.iter().filter(in_window).count()
        })
        .max()
        .unwrap_or_default();
    record.say(&format!(
        "seed {seed}: {} sent, {} run, {most} in a window of 5 s, at most {allowed}",
        sent_at.len(),
        runs.len()
    ));
    match most as f64 > allowed {
        false => Verdict::Held,
        true => Verdict::Broken,
    }
}
