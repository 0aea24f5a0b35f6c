//! A gateway is killed under streams of a route that keeps turns and lets clients take streams up.

use {
    review_stand_3::*,
    serde_json::{Value, json},
    std::{
        env,
        net::SocketAddr,
        path::Path,
        process::ExitCode,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    trefoilring_standin::fleet::StoreStandin,
};

const KEY: &str = "key-of-the-ward";
const ZONES: [&str; 3] = ["hcm-a", "hcm-b", "hcm-c"];
const EVENTS: usize = 9;
/// Streams at the gateway that is killed.
const STREAMS: usize = 24;

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{"name": "draft", "host": ROUTES_HOST, "prefix": "/draft/", "type": "stream",
                    "timeout_ms": 3000, "goal_ms": 250, "priority": 0, "service": "plan-llm",
                    "attempts": 2, "public": false, "sticky": true, "can_resume": true,
                    "retained": true, "retain_s": 60.0, "gap_target_ms": 400}],
        "services": [{"name": "plan-llm", "health_path": "/healthz", "max_conns": 530,
                      "backend": {"slots": 12, "kv_cap_tokens": 282674, "chunk_tokens": 29}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "ward", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}],
    })
}

/// Returns the ids of the complete events of a stream.
fn event_ids(answer: &Answer) -> Vec<usize> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let complete = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let ids = complete.split("\n\n").filter_map(|event| {
        event.lines().find_map(|line| line.strip_prefix("id:")?.trim().parse().ok())
    });
    ids.collect()
}

/// Sends a turn, or takes its stream up after the event and the request that `after` names.
fn send_turn(front: SocketAddr, id: &str, program: &str, after: Option<(usize, &str)>) -> Answer {
    let mut headers = headers(id, KEY, 3000);
    headers.extend([
        ("Trefoilring-Program-Id", program.to_string()),
        ("Trefoilring-Session-Id", program.to_string()),
        ("Trefoilring-Token-Usage", "1840,580".into()),
    ]);
    if let Some((event, begun_as)) = after {
        headers.push(("Last-Event-Id", event.to_string()));
        headers.push(("Resumes", begun_as.to_string()));
    }
    let body = vec![b'x'; 17_000];
    send(front, "POST", "/draft/x", &headers, &body, Duration::from_millis(3500))
}

fn main() -> ExitCode {
    let has_trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = Arc::new(Record::create(Path::new(&env::var("RECORD").expect("run.sh sets it"))));
    let folder = TemporaryFolder::create("review-3-take-up");
    let store = smol::block_on(StoreStandin::start()).expect("a port");
    store.put("config", "main", configuration());
    let work = Work {
        time: Duration::from_millis(40),
        events: Some(EVENTS),
        pause: Duration::from_millis(120),
        answer_bytes: 0,
    };
    let workers: Vec<Worker> =
        (0..6).map(|number| Worker::start(&format!("i-{number}"), work.clone())).collect();
    for (number, worker) in workers.iter().enumerate() {
        let entry = worker_entry("plan-llm", worker.address, ZONES[number % 3], "ready", 1);
        store.put("servers", &worker.id, entry);
    }
    let machine = |name: String, zone: &str, is_edge| Machine {
        name,
        zone: zone.into(),
        is_edge,
        memory_mb: 130,
        losses_max: 1,
        drain_ms: 3000,
        store: store.address,
        is_first_start: true,
        seeds: Vec::new(),
    };
    let mut daemons: Vec<Daemon> = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        daemons.push(Daemon::new(&folder.0, machine(format!("edge-{number}"), zone, true)));
    }
    for (number, zone) in ZONES.iter().enumerate() {
        daemons.push(Daemon::new(&folder.0, machine(format!("store-{number}"), zone, false)));
    }
    daemons.iter_mut().for_each(Daemon::start);
    daemons[..3].iter_mut().for_each(|edge| edge.wait_until_ready(&record));
    // Traffic starts 14 s after the machines.
    thread::sleep(Duration::from_secs(14));
    let fronts: Vec<SocketAddr> = daemons[..3].iter().map(Daemon::front).collect();

    // Each client sends a turn. If its stream breaks, it takes it up at another gateway, and tries
    // again there while it is refused and has time.
    let clients: Vec<_> = (0..STREAMS)
        .map(|client| {
            let (record, fronts) = (record.clone(), fronts.clone());
            thread::spawn(move || {
                let began = Instant::now();
                let (id, program) = (format!("a{client:03}"), format!("p{client:03}"));
                let first = send_turn(fronts[0], &id, &program, None);
                let ids = event_ids(&first);
                let (status, is_whole) = (first.status, first.is_whole);
                record.line(format!("{id}: status {status}, events {ids:?}, whole: {is_whole}"));
                let last = ids.last().copied().filter(|_| !is_whole)?;
                for number in 1.. {
                    if began.elapsed() > Duration::from_millis(2500) {
                        break;
                    }
                    let take_up = format!("{id}-{number}");
                    let front = fronts[1 + (client + number) % 2];
                    let answer = send_turn(front, &take_up, &program, Some((last, &id)));
                    let (status, rest) = (answer.status, event_ids(&answer));
                    record.line(format!(
                        "{take_up} takes {id} up after event {last}: status {status}, events {rest:?}"
                    ));
                    if status == 200 {
                        return Some(rest.first() == Some(&(last + 1)));
                    }
                    thread::sleep(Duration::from_millis(200));
                }
                Some(false)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(700));
    if has_trouble {
        record.line("edge-0 is killed");
        daemons[0].kill();
    }
    // New streams at the other gateways, meanwhile and after.
    let new: Vec<_> = (0..STREAMS)
        .map(|client| {
            let front = fronts[1 + client % 2];
            thread::sleep(Duration::from_millis(50));
            thread::spawn(move || {
                let (id, program) = (format!("n{client:03}"), format!("q{client:03}"));
                let answer = send_turn(front, &id, &program, None);
                answer.status == 200 && !event_ids(&answer).is_empty()
            })
        })
        .collect();
    let taken_up: Vec<bool> =
        clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    let begun: Vec<bool> = new.into_iter().filter_map(|client| client.join().ok()).collect();
    let share = |outcomes: &[bool]| {
        outcomes.iter().filter(|outcome| **outcome).count() as f64 / outcomes.len().max(1) as f64
    };
    let (go_on, begin) = (share(&taken_up), share(&begun));
    record.line(format!(
        "{} streams were taken up, share that goes on {go_on:.2}; {} new streams, share that begins \
         {begin:.2}",
        taken_up.len(),
        begun.len(),
    ));
    if begun.is_empty() || begin == 0.0 {
        cannot_run(&record, "no new stream begins");
    }
    // LOST: of 12 or more streams that clients take up again, the share that goes on is under half of
    // the share of new streams that begin.
    if taken_up.len() >= 12 && go_on < begin / 2.0 {
        record.line("LOST is broken");
        return ExitCode::from(1);
    }
    record.line("LOST holds");
    ExitCode::SUCCESS
}
