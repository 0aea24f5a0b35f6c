//! Random faults of the store and of store machines, with programs that use up their budgets.
use {
    crate::{
        Verdict,
        site::{Client, HostOptions, Record, Site, all},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    smol::{LocalExecutor, Timer},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_standin::fleet::{
        PoolOptions, StoreFault, StoreStandin, WorkerFault, WorkerPool,
        client::{self, EVENT_TOKENS, TurnHead},
    },
};
const KEY: &str = "key-of-the-review";
const G: usize = 3;
const S: usize = 3;
const DEADLINE: Duration = Duration::from_secs(3);
pub fn env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

pub async fn run(executor: &Rc<LocalExecutor<'static>>, record: &Record, _t: bool) -> Verdict {
    let seed = env("SEED", 1);
    let (freeze, kill, wipe, nodes, lost) =
        (env("FREEZE", 1), env("KILL", 1), env("WIPE", 0), env("NODES", 1), env("LOST", 1));
    let (herd, gateways) = (env("HERD", 0), env("GATEWAYS", 0));
    let length = Duration::from_secs(env("LENGTH", 60));
    let store = StoreStandin::start().await.expect("a port");
    store.put("config", "main", client::configuration(KEY));
    let options = PoolOptions {
        size: 6,
        fault: WorkerFault::None,
        restart_delay: Duration::from_millis(500),
        versions: &["v1"],
    };
    let _pool = WorkerPool::start(&store, options).await.expect("ports");
    let mut views = Vec::new();
    for _ in 0..G + S {
        views.push(store.open_address().await.expect("a port"));
    }
    let hosts = (0..G + S).map(|n| HostOptions {
        store: views[n].address,
        serves_callers: n < G,
        domain: ["a", "b", "c"][n % 3],
    });
    let site = Site::start(hosts.collect()).await;
    let client = Client::new(executor);
    let end = Instant::now() + length;
    let over: RefCell<Vec<String>> = RefCell::default();
    let sent = Cell::new(0u64);
    let done = Cell::new(0u64);
    let max = Cell::new(0u64);
    let programs = (0..24usize).map(async |worker| {
        let mut random = SmallRng::seed_from_u64(seed * 1000 + worker as u64);
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let id = format!("p-{worker}-{number}");
            let budget = [180u64, 300, 600][random.random_range(0..3)];
            let (mut tokens, mut spent) = (0, 0);
            let pause_ms = random.random_range(20..700);
            let stop = Instant::now() + Duration::from_secs(25);
            while spent < 5 && Instant::now() < end.min(stop) {
                let n = sent.replace(sent.get() + 1);
                let rid = format!("r-{n}");
                let turn = TurnHead { program: &id, token_budget: budget, turn_tokens: 60 };
                let request =
                    client::request("/turns/x", &rid, KEY, DEADLINE, Some(&turn), "prompt");
                let gateway = random.random_range(0..G);
                let answer = client.send(site.callers_address(gateway), request, DEADLINE).await;
                let ok = answer.status.is_some_and(|s| s.is_success());
                let events = if ok {
                    String::from_utf8_lossy(&answer.body).matches("\n\n").count() as u64
                } else {
                    0
                };
                tokens += events * EVENT_TOKENS;
                record.line(&format!(
                    "{id} {rid} g{gateway} {:?} {tokens}/{budget}",
                    answer.status.map(|s| s.as_u16())
                ));
                if answer.status.is_some_and(|s| s.as_u16() == 402) {
                    spent += 1;
                    Timer::after(Duration::from_millis(random.random_range(200..2500))).await;
                } else if answer.is_success() {
                    Timer::after(Duration::from_millis(random.random_range(10..=pause_ms))).await;
                } else {
                    Timer::after(answer.retry_after().unwrap_or(Duration::from_millis(150))).await;
                }
            }
            done.set(done.get() + 1);
            max.set(max.get().max((tokens).saturating_sub(budget)));
            if tokens > budget + 60 {
                record.say(&format!("OVER {id}: {tokens} of {budget}"));
                over.borrow_mut().push(id);
            }
        }
    });
    let store_faults = async {
        let mut random = SmallRng::seed_from_u64(seed * 7 + 1);
        while Instant::now() < end {
            Timer::after(Duration::from_millis(random.random_range(300..4000))).await;
            let fault = match random.random_range(0..6) {
                0 | 1 => StoreFault::Busy,
                2 | 3 => StoreFault::ClosesConnections,
                4 if lost == 1 => StoreFault::DropsResponses,
                _ => StoreFault::RejectsWrites,
            };
            let some = nodes == 1 && random.random_bool(0.4);
            let hit: Vec<usize> = (0..G + S).filter(|_| !some || random.random_bool(0.4)).collect();
            record.line(&format!("store {fault:?} for {hit:?}"));
            hit.iter().for_each(|n| views[*n].set_fault(fault));
            Timer::after(Duration::from_millis(random.random_range(300..4500))).await;
            record.line("store back");
            views.iter().for_each(|v| v.set_fault(StoreFault::None));
        }
    };
    let host_faults = async {
        let mut random = SmallRng::seed_from_u64(seed * 13 + 5);
        while Instant::now() < end {
            Timer::after(Duration::from_millis(random.random_range(300..3500))).await;
            let host = G + random.random_range(0..S);
            match random.random_range(0..4) {
                0 if freeze == 1 => {
                    record.line(&format!("freeze {host}"));
                    site.signal(host, "STOP");
                    Timer::after(Duration::from_millis(random.random_range(300..3200))).await;
                    record.line(&format!("wake {host}"));
                    site.signal(host, "CONT");
                }
                1 if kill == 1 => {
                    let w = wipe == 1 && random.random_bool(0.5);
                    record.line(&format!("kill {host} wipe {w}"));
                    site.kill(host);
                    Timer::after(Duration::from_millis(random.random_range(100..2500))).await;
                    record.line(&format!("start {host}"));
                    site.restart(host, w);
                    if w {
                        Timer::after(Duration::from_secs(4)).await;
                    }
                }
                2 if herd == 1 => {
                    record.line("kill all store machines");
                    (G..G + S).for_each(|host| site.kill(host));
                    Timer::after(Duration::from_millis(random.random_range(300..5000))).await;
                    record.line("start all store machines");
                    (G..G + S).for_each(|host| site.restart(host, false));
                }
                3 if gateways == 1 => {
                    let host = random.random_range(0..G);
                    record.line(&format!("freeze {host}"));
                    site.signal(host, "STOP");
                    Timer::after(Duration::from_millis(random.random_range(300..3200))).await;
                    record.line(&format!("wake {host}"));
                    site.signal(host, "CONT");
                }
                _ => {}
            }
        }
    };
    let faults = async {
        smol::future::zip(store_faults, host_faults).await;
    };
    smol::future::zip(all(programs), faults).await;
    site.check_processes();
    record.say(&format!(
        "seed {seed}: programs {}, turns {}, over {}, most over the budget {}",
        done.get(),
        sent.get(),
        over.borrow().len(),
        max.get()
    ));
    if over.borrow().is_empty() { Verdict::Held } else { Verdict::Broken }
}
