//! Kept turns while two store machines are replaced for good, one after the other. See `claim.txt`.

use review_2::{
    has_trouble,
    http::Request,
    random,
    record::Record,
    site::{Options, Site, give_up},
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

const PROGRAMS: usize = 40;
/// A successor comes this long after its predecessor has gone (`replace_core`, x).
const SUCCESSOR_AFTER: Duration = Duration::from_secs(2);
/// Pause between the two replacements. A machine that is removed stops counting as lost `catch_up_s`
/// (4 s) after its successor starts, so 6 s after it has gone.
const BETWEEN: Duration = Duration::from_secs(11);
/// Time from the start of the last successor until the programs go on. More than `catch_up_s` and
/// `contact_ms` (4 s and 3 s) together.
const CALM: Duration = Duration::from_secs(8);
/// Tries of a turn: a first one and one retry in each of three sendings.
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

    // The first turn of each program, in one zone.
    let mut programs = Vec::new();
    for _ in 0..PROGRAMS {
        let program = format!("{:012x}", random() >> 16);
        let first = Turn::new(&program, None, "first input");
        let is_kept = (0..3).any(|_| first.send(fronts[0], &record, "first").is_success());
        if !is_kept {
            give_up("a first turn is not served before the disruption");
        }
        programs.push((program, first, Instant::now()));
    }
    if has_trouble() {
        for (number, lost) in [0, 1].into_iter().enumerate() {
            if number > 0 {
                thread::sleep(BETWEEN - SUCCESSOR_AFTER);
            }
            record.say(format!("store-{lost} is gone for good, with its disk"));
            site.kill(stores[lost]);
            site.wipe(stores[lost]);
            thread::sleep(SUCCESSOR_AFTER);
            let successor = site.add(&format!("store-{}", 3 + number), zones[lost], false);
            site.start(successor, false);
            record.say(format!("its successor store-{} starts, at another address", 3 + number));
        }
    } else {
        thread::sleep(BETWEEN + SUCCESSOR_AFTER);
    }
    thread::sleep(CALM);

    // The second turns come through another zone. New programs begin beside them.
    let (mut lost, mut denied, mut wrong, mut new_served) = (0, 0, 0, 0);
    let next: Vec<Turn> = programs
        .iter()
        .map(|(program, first, _)| Turn::new(program, Some(first), "second input"))
        .collect();
    let mut is_served = vec![false; PROGRAMS];
    let mut is_denied = vec![false; PROGRAMS];
    for number in 0..TRIES {
        for (index, turn) in next.iter().enumerate() {
            if is_served[index] || is_denied[index] {
                continue;
            }
            let turn = Turn { id: format!("{:016x}", random()), ..turn.clone() };
            let answer = turn.send(fronts[1 + number % 2], &record, "second");
            is_denied[index] = matches!(answer.status, 404 | 410);
            let runs = runs.lock().unwrap();
            if let Some(run) = runs.iter().find(|run| run.id == turn.id) {
                is_served[index] = true;
                wrong += usize::from(run.body != turn.expected);
            }
        }
        for _ in 0..NEW_AT_ONCE {
            let program = format!("{:012x}", random() >> 16);
            let fresh = Turn::new(&program, None, "first input of a new program");
            let answer = fresh.send(fronts[1 + number % 2], &record, "new");
            new_served += usize::from(answer.is_success());
        }
        thread::sleep(Duration::from_millis(400));
    }
    let oldest = programs.iter().map(|(.., answered_at)| answered_at.elapsed()).max();
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
    for index in 0..PROGRAMS {
        denied += usize::from(is_denied[index]);
        lost += usize::from(!is_served[index] && !is_denied[index]);
    }
    record.say(format!(
        "of {PROGRAMS} second turns, {denied} were answered 404 or 410, {lost} reached no worker in \
         {TRIES} tries, {wrong} ran with another body; {new_served} of {NEW} first turns of new \
         programs were served; the oldest turn was {:.0} s old, retain_s is {RETAIN_S}",
        oldest.unwrap_or_default().as_secs_f64()
    ));
    drop(site);
    if new_served * 10 < NEW * 9 {
        give_up("first turns are not served either");
    }
    let is_broken = denied + lost + wrong > 0;
    record.say(if is_broken { "LOST is broken" } else { "LOST holds" });
    std::process::exit(i32::from(is_broken));
}
