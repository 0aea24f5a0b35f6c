//! Streams that clients take up again while the workers of their software version leave. See
//! `claim.txt`.

use review_2::{
    client::{self, Answer},
    has_trouble,
    http::{Request, header},
    json::{Value, object},
    random,
    record::Record,
    site::{Options, Site, give_up},
    worker::{Runs, Software, Worker},
};
use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const HOST: &str = "review.example";
const KEY: &str = "key-of-the-review";
/// Software versions of the five workers.
const VERSIONS: [&str; 5] = ["1.0", "1.2", "1.4", "1.1", "1.1"];
/// Version of their successors.
const NEW_VERSION: &str = "1.3";
const EVENTS: u64 = 20;
const PAUSE: Duration = Duration::from_millis(130);
const STREAMS: usize = 180;
const DEADLINE: Duration = Duration::from_secs(3);
/// From the begin of the streams to that of the release.
const RELEASE_AFTER: Duration = Duration::from_millis(400);
/// Between the two workers that are replaced (`release`, gap_s).
const GAP: Duration = Duration::from_millis(800);
/// From the second one's notice until an edge machine is killed. `drain_ms` is 2,000, and the first
/// one's notice is 1,100 ms old then.
const KILL_AFTER: Duration = Duration::from_millis(300);
/// Take-ups that the rule needs.
const TAKE_UPS_MIN: usize = 12;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| give_up("name the case's folder"));
    // For a trial: the kill without the workers that leave.
    let has_release = std::env::var("RELEASE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(Path::new(&folder)));
    let mut site = Site::new(Options { losses_max: 1 });
    let zones = ["zone-a", "zone-b", "zone-c"];
    let edges: Vec<usize> =
        (0..3).map(|n| site.add(&format!("edge-{n}"), zones[n], true)).collect();
    let stores: Vec<usize> =
        (0..3).map(|n| site.add(&format!("store-{n}"), zones[n], false)).collect();
    site.store.put("config", "main", configuration());
    let runs = Runs::default();
    let (ip, store) = (site.stand_in_ip(), site.store.clone());
    let start_worker = {
        let runs = runs.clone();
        move |version: &str, zone: &str| {
            let id = format!("i-{:08x}", random() as u32);
            let version = version.to_string();
            let software = Software { version, events: EVENTS, pause: PAUSE, slots: 64 };
            let never = Arc::new(|_: &Request| false);
            Worker::start_with(&store, &ip, "models", zone, &id, runs.clone(), never, software)
                .unwrap_or_else(|error| give_up(&format!("no worker: {error}")))
        }
    };
    let workers: Vec<Worker> = VERSIONS
        .iter()
        .enumerate()
        .map(|(n, version)| start_worker(version, zones[n % 3]))
        .collect();
    let mut successors = Vec::new();
    edges.iter().chain(&stores).for_each(|machine| site.start(*machine, true));
    site.wait_until_ready(&record);
    // The machines have seen both versions for more than ten seconds.
    thread::sleep(Duration::from_secs(6));
    let fronts: Vec<SocketAddr> = edges.iter().map(|edge| site.front(*edge)).collect();
    let leaving: Vec<String> = workers[3..].iter().map(|worker| worker.id.clone()).collect();

    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (fronts, record) = (fronts.clone(), record.clone());
            thread::spawn(move || stream(&fronts, number % 3, &record))
        })
        .collect();
    thread::sleep(RELEASE_AFTER);
    let mut new = Vec::new();
    if has_trouble() {
        for (number, worker) in workers[3..].iter().enumerate() {
            thread::sleep(if number > 0 { GAP } else { Duration::ZERO });
            if has_release {
                successors.push(start_worker(NEW_VERSION, zones[number]));
                worker.leave();
                record.say(format!("{} of version 1.1 leaves, and goes on serving", worker.id));
            }
        }
        thread::sleep(KILL_AFTER);
        record.say("edge-0 is killed");
        site.kill(edges[0]);
        let began = Instant::now();
        // New streams begin beside those that are taken up.
        for number in 0..30 {
            let (front, record) = (fronts[1 + number % 2], record.clone());
            new.push(thread::spawn(move || begin(front, &record).is_success()));
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(Duration::from_secs(3).saturating_sub(began.elapsed()));
        site.start(edges[0], false);
    }
    let new: Vec<bool> = new.into_iter().map(|one| one.join().unwrap_or(false)).collect();
    let streams: Vec<Stream> = streams.into_iter().filter_map(|one| one.join().ok()).collect();
    let ended = site.ended();
    if !ended.is_empty() {
        record.say(format!("processes have ended by themselves: {ended:?}"));
    }
    for run in runs.lock().unwrap().iter() {
        record.write(format!("ran {} at {}: {}", run.id, run.worker, run.target));
    }
    drop(site);
    drop(successors);
    let taken_up = |is_leaving: bool| {
        let of_kind = streams.iter().filter(|one| one.is_broken);
        let of_kind = of_kind.filter(|one| leaving.contains(&one.begun_at) == is_leaving);
        let (all, goes_on) =
            of_kind.fold((0, 0), |(all, on), one| (all + 1, on + usize::from(one.goes_on)));
        (all, goes_on)
    };
    let ((all, goes_on), (others, others_on)) = (taken_up(true), taken_up(false));
    let began = new.iter().filter(|began| **began).count();
    record.say(format!(
        "of {all} streams of version 1.1, which two workers serve, that were taken up again, {goes_on} \
         went on; of {others} of the versions with one worker, {others_on}; of {} new streams, {began} \
         began",
        new.len()
    ));
    if has_trouble() && (all < TAKE_UPS_MIN || began * 2 < new.len()) {
        give_up("too few streams were taken up or began");
    }
    let is_broken = has_trouble() && goes_on * new.len() * 2 < began * all;
    record.say(if is_broken { "LOST is broken" } else { "LOST holds" });
    std::process::exit(i32::from(is_broken));
}

#[derive(Default)]
struct Stream {
    /// Worker that made the first event.
    begun_at: String,
    is_broken: bool,
    /// Whether it went on after it was taken up.
    goes_on: bool,
}

/// Reads a stream, and takes it up again, at another machine, if its connection breaks.
fn stream(fronts: &[SocketAddr], at: usize, record: &Record) -> Stream {
    let began = Instant::now();
    let first = format!("{:016x}", random());
    let answer = request(fronts[at], &first, None, DEADLINE, record);
    let begun_at = worker_of(&answer);
    let mut stream = Stream { begun_at, ..Stream::default() };
    if answer.is_complete || answer.events() == 0 {
        return stream;
    }
    stream.is_broken = true;
    let last_event = answer.events();
    // A client's try and one retry, each at another machine than the one that was lost.
    for number in 0..2 {
        thread::sleep(Duration::from_millis(50 + random() % 100));
        let left = DEADLINE.saturating_sub(began.elapsed());
        let front = fronts[1 + (at + number) % 2];
        let id = format!("{:016x}", random());
        let answer = request(front, &id, Some((&first, last_event)), left, record);
        if answer.events() > 0 {
            stream.goes_on = true;
            break;
        }
        thread::sleep(answer.retry_after().min(left / 3));
    }
    stream
}

fn begin(front: SocketAddr, record: &Record) -> Answer {
    request(front, &format!("{:016x}", random()), None, DEADLINE, record)
}

fn worker_of(answer: &Answer) -> String {
    let stamp = header(&answer.headers, "trefoilring-server-stamp").unwrap_or_default();
    stamp.split('.').next().unwrap_or_default().to_string()
}

fn request(
    front: SocketAddr,
    id: &str,
    resumes: Option<(&str, u64)>,
    wait: Duration,
    record: &Record,
) -> Answer {
    let mut headers = vec![
        ("Host", HOST.to_string()),
        ("Trefoilring-Request-Id", id.to_string()),
        ("Authorization", format!("Token {KEY}")),
        ("Trefoilring-Token-Usage", "400,600".into()),
        ("Trefoilring-Prompt-Prefix", format!("{:08x}:400", random() as u32)),
        ("Trefoilring-Model", "m".into()),
    ];
    if let Some((begun_as, last_event)) = resumes {
        headers.push(("Resumes", begun_as.to_string()));
        headers.push(("Last-Event-Id", last_event.to_string()));
    }
    let answer = client::send(front, "POST", "/chat/turn", &headers, b"prompt", wait);
    record.write(format!(
        "stream {id} sent to {front}, resumes {resumes:?}: {}, {} events from {}, complete {}",
        answer.status,
        answer.events(),
        worker_of(&answer),
        answer.is_complete,
    ));
    answer
}

fn configuration() -> Value {
    let route = object([
        ("name", "chat".into()),
        ("host", HOST.into()),
        ("prefix", "/chat/".into()),
        ("type", "stream".into()),
        ("timeout_ms", 3000.into()),
        ("goal_ms", 250.into()),
        ("priority", 0.into()),
        ("service", "models".into()),
        ("attempts", 1.into()),
        ("retained", Value::Bool(false)),
        ("retain_s", 60.into()),
        ("public", Value::Bool(false)),
        ("sticky", Value::Bool(true)),
        ("can_resume", Value::Bool(true)),
        ("gap_target_ms", 400.into()),
    ]);
    let backend = object([
        ("slots", 64.into()),
        ("kv_cap_tokens", 600000.into()),
        ("chunk_tokens", 25.into()),
    ]);
    let service = object([
        ("name", "models".into()),
        ("health_path", "/healthz".into()),
        ("max_conns", 300.into()),
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
    object([
        ("version", 7.into()),
        ("routes", Value::List(vec![route])),
        ("services", Value::List(vec![service])),
        ("limits", limits),
        ("tenants", Value::List(vec![tenant])),
    ])
}
