//! A log collector that does not read the standard error of a gateway for 50 s.

use {
    review_stand_3::*,
    serde_json::{Value, json},
    std::{
        env,
        io::Read,
        path::Path,
        process::ExitCode,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    trefoilring_standin::fleet::{StoreStandin, WorkerFault, WorkerStandin},
};

/// Interval of the workers' heartbeats.
const BEAT: Duration = Duration::from_millis(1200);
/// Entries of another writer that name no worker to use.
const ODD_ENTRIES: usize = 16;
/// Time limit of the route, in milliseconds.
const TIMEOUT_MS: u64 = 1200;
/// How long requests are sent.
const TRAFFIC: Duration = Duration::from_secs(50);
const KEY: &str = "key-of-the-shop";

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{"name": "look", "host": ROUTES_HOST, "prefix": "/look/", "type": "idempotent",
                    "timeout_ms": TIMEOUT_MS, "goal_ms": 80, "priority": 2, "service": "work",
                    "public": false, "retained": false, "retain_s": 60.0}],
        "services": [{"name": "work", "health_path": "/healthz", "max_conns": 110}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "shop", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}],
    })
}

fn main() -> ExitCode {
    let has_trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = Arc::new(Record::create(Path::new(&env::var("RECORD").expect("run.sh sets it"))));
    let folder = TemporaryFolder::create("review-3-log-pipe");
    let (store, workers) = smol::block_on(async {
        let store = StoreStandin::start().await.expect("a port");
        let mut workers = Vec::new();
        for number in 0..3 {
            let worker = WorkerStandin::start(&format!("i-{number}")).await.expect("a port");
            worker.set_fault(WorkerFault::Slow(Duration::from_millis(13)));
            workers.push(worker);
        }
        (store, workers)
    });
    store.put("config", "main", configuration());
    let register = |beat: u64| {
        for (number, worker) in workers.iter().enumerate() {
            let entry = worker_entry("work", worker.address, "ankara-a", "ready", beat);
            store.put("servers", &format!("i-{number}"), entry);
        }
    };
    register(1);
    let zones = ["ankara-a", "ankara-b", "konya-c"];
    let machine = |name: String, zone: &str, is_edge| Machine {
        name,
        zone: zone.into(),
        is_edge,
        memory_mb: 260,
        losses_max: 1,
        drain_ms: 2000,
        store: store.address,
        is_first_start: true,
        seeds: Vec::new(),
    };
    let mut daemons: Vec<Daemon> = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let name = format!("store-{number}");
        daemons.push(Daemon::new(&folder.0, machine(name, zone, false)));
    }
    let mut gateway = Daemon::new(&folder.0, machine("edge-0".into(), zones[0], true));
    gateway.has_error_pipe = true;
    daemons.iter_mut().for_each(Daemon::start);
    gateway.start();
    let Some(mut errors) = gateway.take_errors() else { cannot_run(&record, "no pipe") };
    let log_bytes = Arc::new(AtomicUsize::new(0));
    let is_reading = Arc::new(AtomicBool::new(true));
    let (read, reading) = (log_bytes.clone(), is_reading.clone());
    // Keeps its end of the pipe open when it does not read.
    thread::spawn(move || {
        let mut block = [0; 4096];
        loop {
            if !reading.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            match errors.read(&mut block) {
                Ok(count) if count > 0 => read.fetch_add(count, Ordering::SeqCst),
                _ => return,
            };
        }
    });
    gateway.wait_until_ready(&record);
    record.line("edge-0 is ready");

    // Six clients, each with a request every half second.
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicUsize; 3]> = Arc::default();
    let front = gateway.front();
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (is_over, counts, record) = (is_over.clone(), counts.clone(), record.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("{client:02x}{number:06x}");
                    let sent_at = Instant::now();
                    // Half a second beyond the route's time limit.
                    let timeout = Duration::from_millis(TIMEOUT_MS + 500);
                    let headers = headers(&id, KEY, TIMEOUT_MS);
                    let answer = send(front, "GET", "/look/stock", &headers, b"", timeout);
                    let took = sent_at.elapsed();
                    counts[0].fetch_add(1, Ordering::SeqCst);
                    if took >= Duration::from_millis(TIMEOUT_MS) {
                        counts[1].fetch_add(1, Ordering::SeqCst);
                    }
                    if !answer.is_whole && took >= Duration::from_millis(TIMEOUT_MS) {
                        counts[2].fetch_add(1, Ordering::SeqCst);
                        record.line(format!("request {id}: no answer after {took:.3?}"));
                    } else if number % 20 == 1 || answer.status != 200 {
                        let status = answer.status;
                        record.line(format!("request {id}: status {status} after {took:.3?}"));
                    }
                    thread::sleep(Duration::from_millis(500));
                }
            })
        })
        .collect();

    if has_trouble {
        is_reading.store(false, Ordering::SeqCst);
        record.line("the log collector does not read the standard error of edge-0 from now on");
    }
    let began = Instant::now();
    let mut beat = 1;
    while began.elapsed() < TRAFFIC {
        beat += 1;
        register(beat);
        for number in 0..ODD_ENTRIES {
            // An entry of another writer: fields are missing.
            let entry = json!({"service": "work", "state": "ready", "seq": beat});
            store.put("servers", &format!("w-{number}"), entry);
        }
        thread::sleep(BEAT);
    }
    let ready = gateway.is_ready();
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let [all, late, unanswered] = [0, 1, 2].map(|index| counts[index].load(Ordering::SeqCst));
    record.line(format!("edge-0 is ready at the end: {ready}; it runs: {}", gateway.is_running()));
    record.line(format!(
        "{all} requests; {late} had no answer at the route's timeout_ms, {unanswered} of these had \
         none half a second later"
    ));
    record.line(format!(
        "{} requests were run",
        workers.iter().map(|w| w.runs().len()).sum::<usize>()
    ));
    let log_bytes = log_bytes.load(Ordering::SeqCst);
    record.line(format!("the collector has read {log_bytes} bytes of edge-0"));
    // CONFIG: of the requests that are still unanswered at timeout_ms, more than half have no answer
    // half a second later; eight or more of them, and over a quarter.
    if unanswered >= 8 && unanswered * 2 > late {
        record.line("CONFIG is broken");
        return ExitCode::from(1);
    }
    record.line("CONFIG holds");
    ExitCode::SUCCESS
}
