//! Two workers of a software version leave without a report, and a gateway is killed under their streams.

use {
    review_stand_3::*,
    serde_json::{Value, json},
    std::{
        env,
        net::SocketAddr,
        path::Path,
        process::ExitCode,
        sync::{Arc, atomic::Ordering},
        thread,
        time::Duration,
    },
    trefoilring_standin::fleet::StoreStandin,
};

const KEY: &str = "key-of-the-ward";
const ZONES: [&str; 3] = ["hcm-a", "hcm-b", "hcm-c"];
const EVENTS: usize = 9;
/// Streams at the gateway that is killed.
const STREAMS: usize = 60;
/// New streams at the other gateways.
const NEW_STREAMS: usize = 24;
/// Version of the two workers that leave.
const LEAVING_VERSION: &str = "1.1";
/// Pause between the two workers that leave.
const GAP: Duration = Duration::from_millis(720);

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{"name": "draft", "host": ROUTES_HOST, "prefix": "/draft/", "type": "stream",
                    "timeout_ms": 3000, "goal_ms": 250, "priority": 0, "service": "plan-llm",
                    "attempts": 2, "public": false, "sticky": true, "can_resume": true,
                    "retained": false, "retain_s": 60.0, "gap_target_ms": 400}],
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
    let has_release = has_trouble && env::var("RELEASE").map_or(true, |release| release != "0");
    let record = Arc::new(Record::create(Path::new(&env::var("RECORD").expect("run.sh sets it"))));
    let folder = TemporaryFolder::create("review-3-take-up");
    let store = smol::block_on(StoreStandin::start()).expect("a port");
    store.put("config", "main", configuration());
    let work = Work {
        time: Duration::from_millis(40),
        events: Some(EVENTS),
        pause: Duration::from_millis(280),
        answer_bytes: 0,
    };
    let register = |worker: &Worker, zone: &str, version: &str| {
        let mut entry = worker_entry("plan-llm", worker.address, zone, "ready", 1);
        entry["version"] = version.into();
        store.put("servers", &worker.id, entry);
    };
    // One worker each of four versions, and two of another one: only of its streams the rule speaks.
    let workers: Vec<Worker> =
        (0..6).map(|number| Worker::start(&format!("i-{number}"), work.clone())).collect();
    let versions = ["1.0", "1.2", "1.4", "1.6", LEAVING_VERSION, LEAVING_VERSION];
    for ((number, worker), version) in workers.iter().enumerate().zip(versions) {
        register(worker, ZONES[number % 3], version);
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

    // Each client sends a turn. If its stream breaks, it takes it up at another gateway, and once more
    // there if it is refused. Counted are the streams of the version that two workers go on serving.
    let clients: Vec<_> = (0..STREAMS)
        .map(|client| {
            let (record, fronts) = (record.clone(), fronts.clone());
            thread::spawn(move || {
                let (id, program) = (format!("a{client:03}"), format!("p{client:03}"));
                let first = send_turn(fronts[0], &id, &program, None);
                let ids = event_ids(&first);
                let (status, is_whole) = (first.status, first.is_whole);
                let stamp = first.header("trefoilring-server-stamp").unwrap_or_default();
                let is_of_leaving = stamp.starts_with("i-4.") || stamp.starts_with("i-5.");
                record.line(format!(
                    "{id}: status {status}, by {stamp}, events {ids:?}, whole: {is_whole}"
                ));
                let last = ids.last().copied().filter(|_| !is_whole)?;
                let mut goes_on = false;
                for number in 1..=2 {
                    let take_up = format!("{id}-{number}");
                    let front = fronts[1 + (client + number) % 2];
                    let answer = send_turn(front, &take_up, &program, Some((last, &id)));
                    let (status, rest) = (answer.status, event_ids(&answer));
                    record.line(format!(
                        "{take_up} takes {id} up after event {last}: status {status}, events {rest:?}"
                    ));
                    goes_on = status == 200 && rest.first() == Some(&(last + 1));
                    if goes_on {
                        break;
                    }
                    thread::sleep(Duration::from_millis(200));
                }
                Some((is_of_leaving, goes_on))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(600));
    let successors: Vec<Worker> =
        (6..8).map(|number| Worker::start(&format!("i-{number}"), work.clone())).collect();
    if has_release {
        for (number, successor) in successors.iter().enumerate() {
            register(successor, ZONES[number], "1.3");
            let leaving = &workers[4 + number];
            leaving.is_leaving.store(true, Ordering::SeqCst);
            store.remove("servers", &leaving.id);
            record.line(format!("{} has left the store, and goes on serving", leaving.id));
            if number == 0 {
                thread::sleep(GAP);
            }
        }
    } else {
        thread::sleep(GAP);
    }
    thread::sleep(Duration::from_millis(300));
    if has_trouble {
        record.line("edge-0 is killed");
        daemons[0].kill();
    }
    // New streams at the other gateways, meanwhile and after.
    let new: Vec<_> = (0..NEW_STREAMS)
        .map(|client| {
            let front = fronts[1 + client % 2];
            thread::sleep(Duration::from_millis(20));
            thread::spawn(move || {
                let (id, program) = (format!("n{client:03}"), format!("q{client:03}"));
                let answer = send_turn(front, &id, &program, None);
                answer.status == 200 && !event_ids(&answer).is_empty()
            })
        })
        .collect();
    let outcomes: Vec<(bool, bool)> =
        clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    let of = |is_of_leaving: bool| -> Vec<bool> {
        let chosen = outcomes.iter().filter(|(leaving, _)| *leaving == is_of_leaving);
        chosen.map(|(_, goes_on)| *goes_on).collect()
    };
    let (taken_up, others) = (of(true), of(false));
    let begun: Vec<bool> = new.into_iter().filter_map(|client| client.join().ok()).collect();
    let share = |outcomes: &[bool]| {
        outcomes.iter().filter(|outcome| **outcome).count() as f64 / outcomes.len().max(1) as f64
    };
    let (go_on, begin) = (share(&taken_up), share(&begun));
    record.line(format!(
        "of other versions {} streams were taken up, share that goes on {:.2}",
        others.len(),
        share(&others)
    ));
    record.line(format!(
        "of version {LEAVING_VERSION} {} streams were taken up, share that goes on {go_on:.2}; {} new streams, share that begins \
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
