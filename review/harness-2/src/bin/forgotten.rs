//! A request that crashes workers, while all processes are killed at once in series. See `claim.txt`.

use review_2::{
    client, has_trouble,
    json::{Value, object},
    random,
    record::Record,
    site::{Options, Site, give_up},
    worker::{CRASHING, CrashingWorker, Runs},
};
use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const HOST: &str = "review.example";
const KEY: &str = "key-of-the-review";
const WORKERS: usize = 6;
const KILLS: usize = 2;
/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(3000);
/// How long the processes are down (`herd_kill`, for_s).
const DOWN: Duration = Duration::from_millis(900);
const WORKER_BACK_AFTER: Duration = Duration::from_secs(2);
const SENDS: usize = 6;
const BETWEEN_SENDS: Duration = Duration::from_millis(700);
/// Most retries later than `contact_ms` after the third crash.
const RETRIES_MAX: usize = 3;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| give_up("name the case's folder"));
    let record = Record::create(Path::new(&folder));
    let mut site = Site::new(Options { losses_max: 1 });
    let zones = ["zone-a", "zone-b", "zone-c"];
    let edges: Vec<usize> =
        (0..3).map(|n| site.add(&format!("edge-{n}"), zones[n], true)).collect();
    let stores: Vec<usize> =
        (0..3).map(|n| site.add(&format!("store-{n}"), zones[n], false)).collect();
    site.store.put("config", "main", configuration());
    let (runs, crashes) = (Runs::default(), Arc::new(Mutex::new(Vec::new())));
    for n in 0..WORKERS {
        let (ip, zone) = (site.stand_in_ip(), zones[n % 3]);
        let (runs, crashes) = (runs.clone(), crashes.clone());
        CrashingWorker::start(&site.store, &ip, "app", zone, runs, crashes, WORKER_BACK_AFTER)
            .unwrap_or_else(|error| give_up(&format!("no worker: {error}")));
    }
    let machines: Vec<usize> = edges.iter().chain(&stores).copied().collect();
    machines.iter().for_each(|machine| site.start(*machine, true));
    site.wait_until_ready(&record);
    let fronts: Vec<SocketAddr> = edges.iter().map(|edge| site.front(*edge)).collect();

    for round in 0..=KILLS {
        if round > 0 && has_trouble() {
            record.say("all processes are killed, and started again within a second");
            machines.iter().for_each(|machine| site.kill(*machine));
            thread::sleep(DOWN);
            machines.iter().for_each(|machine| site.start(*machine, false));
        }
        // The machines are in touch again.
        thread::sleep(CONTACT + Duration::from_millis(1500));
        for number in 0..SENDS {
            let front = fronts[(round + number) % fronts.len()];
            send(front, CRASHING, &record);
            // Other work goes on beside it.
            send(fronts[random() as usize % fronts.len()], b"sound", &record);
            thread::sleep(BETWEEN_SENDS);
        }
        let count = runs.lock().unwrap().iter().filter(|run| run.body == CRASHING).count();
        record.say(format!("round {round}: the request has run {count} times so far"));
    }
    let ended = site.ended();
    if !ended.is_empty() {
        record.say(format!("processes have ended by themselves: {ended:?}"));
    }
    let runs = runs.lock().unwrap().clone();
    for run in &runs {
        let what = if run.body == CRASHING { ", and crashes it" } else { "" };
        record.write(format!("ran {} at {}: {}{what}", run.id, run.worker, run.target));
    }
    drop(site);
    let crashing: Vec<Instant> =
        runs.iter().filter(|run| run.body == CRASHING).map(|run| run.at).collect();
    let late = match crashes.lock().unwrap().get(2) {
        Some(third) => crashing.iter().filter(|at| **at > *third + CONTACT).count(),
        None => 0,
    };
    record.say(format!(
        "BUDGET: the request ran {} times, {late} times later than contact_ms after it had crashed \
         the third worker; {RETRIES_MAX} are allowed",
        crashing.len()
    ));
    std::process::exit(i32::from(late > RETRIES_MAX));
}

fn send(front: SocketAddr, body: &[u8], record: &Record) {
    let request = format!("{:016x}", random());
    let headers = [
        ("Host", HOST.to_string()),
        ("Trefoilring-Request-Id", request.clone()),
        ("Authorization", format!("Token {KEY}")),
    ];
    let wait = Duration::from_millis(1200);
    let answer = client::send(front, "POST", "/lookup/item", &headers, body, wait);
    let what = if body == CRASHING { "crashing" } else { "sound" };
    record.write(format!("{what} request {request} sent to {front}: {}", answer.status));
}

fn configuration() -> Value {
    let route = object([
        ("name", "lookup".into()),
        ("host", HOST.into()),
        ("prefix", "/lookup/".into()),
        ("type", "idempotent".into()),
        ("timeout_ms", 1200.into()),
        ("goal_ms", 80.into()),
        ("priority", 2.into()),
        ("service", "app".into()),
        ("attempts", 1.into()),
        ("retained", Value::Bool(false)),
        ("public", Value::Bool(false)),
        ("sticky", Value::Bool(false)),
    ]);
    let service = object([
        ("name", "app".into()),
        ("health_path", "/healthz".into()),
        ("max_conns", 100.into()),
        ("proto", "h1".into()),
        ("tls", Value::Bool(false)),
    ]);
    let limits = object([
        ("max_header_bytes", 16384.into()),
        ("max_body_bytes", 4194304.into()),
        ("header_timeout_ms", 3000.into()),
        ("idle_timeout_ms", 15000.into()),
    ]);
    let tenant = object([
        ("name", "tenant-1".into()),
        ("api_keys", Value::List(vec![KEY.into()])),
        ("priority", 1.into()),
        ("rate_per_s", 0.into()),
        ("burst", 0.into()),
    ]);
    object([
        ("version", 7.into()),
        ("routes", Value::List(vec![route])),
        ("services", Value::List(vec![service])),
        ("limits", limits),
        ("tenants", Value::List(vec![tenant])),
    ])
}
