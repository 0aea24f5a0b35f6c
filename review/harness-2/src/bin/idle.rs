//! A kept turn in a calm hour: one of its store machines is replaced for good, and half a minute later
//! another one loses its disk. See `claim.txt`.

use review_2::{
    has_trouble,
    http::Request,
    random,
    record::Record,
    site::{Options, Site, give_up, size_of},
    turns::{RETAIN_S, Turn, configuration},
    worker::{Runs, Worker},
};
use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const STORES: usize = 9;
/// A successor comes this long after its predecessor has gone (`replace_core`, x).
const SUCCESSOR_AFTER: Duration = Duration::from_secs(2);
/// From the start of the successor to the next loss. `catch_up_s` is 4 s.
const BETWEEN: Duration = Duration::from_secs(25);
/// A machine that loses its disk is back after this time (`after_ack_wipe`, for_s).
const BACK_AFTER: Duration = Duration::from_secs(2);
/// From its start until the program goes on: more than `catch_up_s` and `contact_ms` together.
const CALM: Duration = Duration::from_secs(8);
const TRIES: usize = 6;

/// First turns of new programs beside each try.
const NEW_AT_ONCE: usize = 5;
const NEW: usize = NEW_AT_ONCE * TRIES;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| give_up("name the case's folder"));
    let record = Record::create(Path::new(&folder));
    let mut site = Site::new(Options { losses_max: 1 });
    let zones = ["zone-a", "zone-b", "zone-c"];
    let edges: Vec<usize> =
        (0..3).map(|n| site.add(&format!("edge-{n}"), zones[n], true)).collect();
    let stores: Vec<usize> =
        (0..STORES).map(|n| site.add(&format!("store-{n}"), zones[n % 3], false)).collect();
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

    let empty: Vec<u64> = stores.iter().map(|store| size_of(&site.data_folder(*store))).collect();
    let first = Turn::new(&format!("{:012x}", random() >> 16), None, "first input");
    if !first.send(fronts[0], &record, "first").is_success() {
        give_up("the first turn is not served before the disruption");
    }
    let answered_at = Instant::now();
    thread::sleep(Duration::from_millis(500));
    // The platform strikes the store machines that write most.
    let mut written: Vec<(u64, usize)> = stores
        .iter()
        .map(|store| {
            (size_of(&site.data_folder(*store)) - empty[stores_index(&stores, *store)], *store)
        })
        .collect();
    written.sort_by_key(|(bytes, _)| std::cmp::Reverse(*bytes));
    record.say(format!(
        "written: {:?}",
        written.iter().map(|(bytes, at)| (&*site.machines[*at].name, *bytes)).collect::<Vec<_>>()
    ));
    let (gone, wiped) = (written[0].1, written[1].1);
    if has_trouble() {
        record.say(format!("{} is gone for good, with its disk", site.machines[gone].name));
        site.kill(gone);
        site.wipe(gone);
        thread::sleep(SUCCESSOR_AFTER);
        let zone = site.machines[gone].zone.clone();
        let successor = site.add(&format!("store-{STORES}"), &zone, false);
        site.start(successor, false);
        record.say("its successor starts, at another address");
        thread::sleep(BETWEEN);
        record.say(format!("{} loses its disk", site.machines[wiped].name));
        site.kill(wiped);
        site.wipe(wiped);
        thread::sleep(BACK_AFTER);
        site.start(wiped, false);
        record.say("it is back with an empty disk");
    } else {
        thread::sleep(SUCCESSOR_AFTER + BETWEEN + BACK_AFTER);
    }
    thread::sleep(CALM);

    let next = Turn::new(&first.program, Some(&first), "second input");
    let (mut status, mut is_served, mut new_served) = (0, false, 0);
    for number in 0..TRIES {
        let front = fronts[1 + number % 2];
        if !is_served && !matches!(status, 404 | 410) {
            let turn = Turn { id: format!("{:016x}", random()), ..next.clone() };
            status = turn.send(front, &record, "second").status;
            let runs = runs.lock().unwrap();
            is_served = runs.iter().any(|run| run.id == turn.id && run.body == turn.expected);
        }
        for _ in 0..NEW_AT_ONCE {
            let program = format!("{:012x}", random() >> 16);
            let fresh = Turn::new(&program, None, "input of a new program");
            new_served += usize::from(fresh.send(front, &record, "new").is_success());
        }
        thread::sleep(Duration::from_millis(400));
    }
    let ended = site.ended();
    if !ended.is_empty() {
        record.say(format!("processes have ended by themselves: {ended:?}"));
    }
    for run in runs.lock().unwrap().iter() {
        record.write(format!(
            "ran {} at {}: {}, {} bytes",
            run.id,
            run.worker,
            run.target,
            run.body.len()
        ));
    }
    drop(workers);
    drop(site);
    record.say(format!(
        "the second turn {} in {TRIES} tries or until a 404, the last status was {status}; {new_served} of \
         {NEW} first turns of new programs were served; the turn was {:.0} s old, retain_s is {RETAIN_S}",
        if is_served { "reached a worker" } else { "reached no worker" },
        answered_at.elapsed().as_secs_f64()
    ));
    if new_served * 10 < NEW * 9 {
        give_up("first turns are not served either");
    }
    record.say(if is_served { "LOST holds" } else { "LOST is broken" });
    std::process::exit(i32::from(!is_served));
}

fn stores_index(stores: &[usize], store: usize) -> usize {
    stores.iter().position(|one| *one == store).unwrap_or(0)
}
