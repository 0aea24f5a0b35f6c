//! Token budgets of programs on two routes with different `retain_s`, around a kill of all store
//! processes. See `claim.txt`.

use review_2::{
    client::{self, Answer},
    has_trouble,
    http::Request,
    json::{Value, object},
    random,
    record::Record,
    site::{Options, Site, give_up},
    worker::{EVENTS, Runs, Worker},
};
use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const HOST: &str = "review.example";
const KEY: &str = "key-of-the-review";
/// Tokens of each event (`chunk_tokens`).
const EVENT_TOKENS: u64 = 25;
/// Most tokens of one turn.
const TURN_TOKENS: u64 = EVENTS * EVENT_TOKENS;
/// `Trefoilring-Token-Budget` of the long programs: four turns.
const BUDGET: u64 = 4 * TURN_TOKENS;
const LONG_RETAIN_S: u64 = 60;
const SHORT_RETAIN_S: u64 = 3;
const LONG_PROGRAMS: usize = 16;
const DEADLINE: Duration = Duration::from_secs(3);
/// How long the long programs are stopped. Within their `retain_s`.
const STOPPED: Duration = Duration::from_secs(24);

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| give_up("name the case's folder"));
    let record = Arc::new(Record::create(Path::new(&folder)));
    let mut site = Site::new(Options { losses_max: 1 });
    let zones = ["zone-a", "zone-b", "zone-c"];
    let edges: Vec<usize> =
        (0..3).map(|n| site.add(&format!("edge-{n}"), zones[n], true)).collect();
    let stores: Vec<usize> =
        (0..3).map(|n| site.add(&format!("store-{n}"), zones[n], false)).collect();
    site.store.put("config", "main", configuration());
    let runs = Runs::default();
    let workers: Vec<Worker> = (0..3)
        .map(|n| {
            let id = format!("i-{:08x}", random() as u32);
            let (ip, never) = (site.stand_in_ip(), Arc::new(|_: &Request| false));
            Worker::start(&site.store, &ip, "models", zones[n], &id, runs.clone(), never)
                .unwrap_or_else(|error| give_up(&format!("no worker: {error}")))
        })
        .collect();
    edges.iter().chain(&stores).for_each(|machine| site.start(*machine, true));
    site.wait_until_ready(&record);
    let fronts: Vec<SocketAddr> = edges.iter().map(|edge| site.front(*edge)).collect();

    // Part 1: the long programs use their budgets up.
    let mut programs: Vec<Program> = (0..LONG_PROGRAMS).map(|_| Program::new("long")).collect();
    for program in &mut programs {
        program.run_until_refused(&fronts, &record, 8);
    }
    let first: Vec<u64> = programs.iter().map(|program| program.tokens).collect();
    record.say(format!("tokens of the long programs at first: {first:?}"));
    let stopped_at = Instant::now();

    // Short programs go on all the while.
    let is_over = Arc::new(AtomicBool::new(false));
    let short = {
        let (fronts, record, is_over) = (fronts.clone(), record.clone(), is_over.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                Program::new("short").run_until_refused(&fronts, &record, 2);
                thread::sleep(Duration::from_millis(150));
            }
        })
    };
    thread::sleep(Duration::from_secs(2));
    if has_trouble() {
        record.say("all store processes are killed, and started again within a second");
        stores.iter().for_each(|store| site.kill(*store));
        thread::sleep(Duration::from_millis(600));
        stores.iter().for_each(|store| site.start(*store, false));
    }
    thread::sleep(STOPPED.saturating_sub(stopped_at.elapsed()));

    // Part 2: the long programs return within their `retain_s`.
    record.say(format!(
        "the long programs return after {:.1} s; their route's retain_s is {LONG_RETAIN_S}",
        stopped_at.elapsed().as_secs_f64()
    ));
    for program in &mut programs {
        program.run_until_refused(&fronts, &record, 8);
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = short.join();
    let ended = site.ended();
    if !ended.is_empty() {
        record.say(format!("processes have ended by themselves: {ended:?}"));
    }
    for run in runs.lock().unwrap().iter() {
        record.write(format!("ran {} at {}: {}", run.id, run.worker, run.target));
    }
    drop(workers);
    let total: Vec<u64> = programs.iter().map(|program| program.tokens).collect();
    record.say(format!("tokens of the long programs in all: {total:?}"));
    let most = BUDGET + TURN_TOKENS;
    let broken = programs.iter().filter(|program| program.tokens > most).count();
    if first.iter().any(|tokens| *tokens < TURN_TOKENS) {
        give_up("a program got no turn at all before the disruption");
    }
    record.say(format!(
        "BUDGET: {broken} of {LONG_PROGRAMS} programs got more than {BUDGET} + {TURN_TOKENS} tokens"
    ));
    drop(site);
    std::process::exit(i32::from(broken > 0));
}

struct Program {
    id: String,
    route: &'static str,
    turns: usize,
    tokens: u64,
}

impl Program {
    fn new(route: &'static str) -> Self {
        Self { id: format!("{:012x}", random() >> 16), route, turns: 0, tokens: 0 }
    }

    /// Sends turns until one is refused for good, or as many as `most`.
    fn run_until_refused(&mut self, fronts: &[SocketAddr], record: &Record, most: usize) {
        for _ in 0..most {
            let answer = self.turn(fronts, record);
            if answer.status == 402 {
                return;
            }
        }
    }

    /// Sends one turn, up to three times.
    fn turn(&mut self, fronts: &[SocketAddr], record: &Record) -> Answer {
        let mut answer = Answer::default();
        for _ in 0..3 {
            let front = fronts[random() as usize % fronts.len()];
            let request = format!("{:016x}", random());
            self.turns += 1;
            let headers = [
                ("Host", HOST.to_string()),
                ("Trefoilring-Request-Id", request.clone()),
                ("Authorization", format!("Token {KEY}")),
                ("Trefoilring-Program-Id", self.id.clone()),
                ("Trefoilring-Session-Id", format!("{}-1", self.id)),
                ("Trefoilring-Finish-Ms", "50000".into()),
                ("Trefoilring-Token-Budget", BUDGET.to_string()),
                ("Trefoilring-Token-Usage", format!("400,{TURN_TOKENS}")),
                ("Trefoilring-Prompt-Prefix", format!("{:08x}:400", random() as u32)),
                ("Trefoilring-Model", "m".into()),
            ];
            let target = format!("/{}/turn", self.route);
            answer = client::send(front, "POST", &target, &headers, b"prompt", DEADLINE);
            self.tokens += answer.events() * EVENT_TOKENS;
            record.write(format!(
                "{} program {} sent {request} to {front}: {}, {} events, {} tokens so far",
                self.route,
                self.id,
                answer.status,
                answer.events(),
                self.tokens,
            ));
            if answer.is_success() || answer.status == 402 {
                break;
            }
            thread::sleep(answer.retry_after().max(Duration::from_millis(200)));
        }
        answer
    }
}

fn configuration() -> Value {
    let route = |name: &str, retain_s: u64| {
        object([
            ("name", name.into()),
            ("host", HOST.into()),
            ("prefix", format!("/{name}/").as_str().into()),
            ("type", "stream".into()),
            ("timeout_ms", 3000.into()),
            ("goal_ms", 250.into()),
            ("priority", 0.into()),
            ("service", "models".into()),
            ("attempts", 1.into()),
            ("retained", Value::Bool(false)),
            ("retain_s", retain_s.into()),
            ("public", Value::Bool(false)),
            ("sticky", Value::Bool(true)),
            ("can_resume", Value::Bool(true)),
            ("gap_target_ms", 250.into()),
        ])
    };
    let backend = object([
        ("slots", 16.into()),
        ("kv_cap_tokens", 600000.into()),
        ("chunk_tokens", EVENT_TOKENS.into()),
    ]);
    let service = object([
        ("name", "models".into()),
        ("health_path", "/healthz".into()),
        ("max_conns", 170.into()),
        ("proto", "h1".into()),
        ("tls", Value::Bool(false)),
        ("backend", backend),
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
    let routes = vec![route("long", LONG_RETAIN_S), route("short", SHORT_RETAIN_S)];
    object([
        ("version", 7.into()),
        ("routes", Value::List(routes)),
        ("services", Value::List(vec![service])),
        ("limits", limits),
        ("tenants", Value::List(vec![tenant])),
    ])
}
