//! Measures the time of one admission, placement and release for a large site and for one a tenth
//! of its size.
//!
//! `cargo bench -p trefoilring-core --bench sched_decision` prints medians and 99th percentiles.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        catalog::{Catalog, Team},
        message::Usage,
        placement::{Choice, LoadReport, Placement, PlacementRequest, PromptPart, UpstreamRecord},
        sched::{
            Command, Dispatcher, DispatcherOptions, LimitPolicy, Outcome, SlotRelease, SlotRequest,
            Ticket, UpstreamView,
        },
    },
};

/// Requests measured for each size.
const MEASURED: usize = 50_000;
/// Slots of each upstream.
const SLOTS: u32 = 16;
const SEED: u64 = 1;

struct Size {
    programs: usize,
    upstreams: usize,
    teams: usize,
}

fn main() {
    let full = Size { programs: 49_000, upstreams: 600, teams: 32_000 };
    let tenth = Size { programs: 4_900, upstreams: 60, teams: 3_200 };
    println!("seed {SEED}; {MEASURED} requests per row; times in nanoseconds");
    measure_placement(full.upstreams, full.programs);
    measure_placement(tenth.upstreams, tenth.programs);
    for calls_per_slot in [0.8, 1.1] {
        let small = measure(&tenth, calls_per_slot);
        let large = measure(&full, calls_per_slot);
        println!(
            "calls per slot {calls_per_slot}: median {small} ns at a tenth of the size, \
             {large} ns at full size, growth {:.2}",
            large as f64 / small as f64
        );
    }
}

/// Measures choices of [`Placement`] at one service of `upstreams` with `programs` sessions. Prints the median and the 99th percentile.
fn measure_placement(upstreams: usize, programs: usize) {
    const SHARED_PARTS: u64 = 16;
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut placement = Placement::new("zone-0".into());
    let mut now = Instant::now();
    for number in 0..upstreams {
        placement.upsert(UpstreamRecord {
            id: format!("engine-{number}").as_str().into(),
            service: "llm".into(),
            address: ([127, 0, 0, 1], 9000).into(),
            domain: format!("zone-{}", number % 11).as_str().into(),
            version: "v1".into(),
            slots: SLOTS,
            is_leaving: false,
            incarnation: None,
            cold_left: None,
        });
    }
    let sessions: Vec<String> = (0..programs).map(|number| format!("session-{number}")).collect();
    let mut times = Vec::with_capacity(MEASURED);
    for _ in 0..MEASURED {
        now += Duration::from_micros(250);
        let number = rng.random_range(0..programs);
        let prompt = [
            PromptPart { id: number as u64 % SHARED_PARTS, tokens: 12_600 },
            PromptPart { id: 1000 + number as u64, tokens: 1200 },
        ];
        let request = PlacementRequest {
            service: "llm",
            session: Some(&sessions[number]),
            prompt: &prompt,
            ..PlacementRequest::default()
        };
        let begun = Instant::now();
        let choice = placement.choose(now, &request);
        times.push(begun.elapsed().as_nanos());
        let Choice::Use(key) = choice else { panic!("all upstreams accept work") };
        let running = rng.random_range(0..SLOTS);
        let report = LoadReport { running, waiting: 0, slots: SLOTS, slowdown: Some(1.0) };
        placement.record_load(now, key, report);
    }
    times.sort_unstable();
    println!(
        "placement, {upstreams} upstreams: median {} ns, p99 {} ns",
        times[MEASURED / 2],
        times[MEASURED * 99 / 100]
    );
}

/// Fills a dispatcher with programs, then measures request and release together. `calls_per_slot`
/// counts running and waiting calls. Returns the median in nanoseconds.
fn measure(size: &Size, calls_per_slot: f64) -> u128 {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut dispatcher = dispatcher(size);
    let mut now = Instant::now();
    dispatcher.set_upstreams(now, (0..size.upstreams).map(view).collect());
    let requests: Vec<SlotRequest> =
        (0..size.programs).map(|program| request(size, program)).collect();
    let max_outstanding = (size.upstreams as f64 * f64::from(SLOTS) * calls_per_slot) as usize;
    let mut running: VecDeque<Ticket> = VecDeque::new();
    let mut outstanding = 0;
    let mut times = Vec::with_capacity(MEASURED);
    for round in 0..size.programs + MEASURED {
        now += Duration::from_micros(100);
        let program = match round {
            index if index < size.programs => index,
            _ => rng.random_range(0..size.programs),
        };
        let request = requests[program].clone();
        let began = Instant::now();
        let commands = dispatcher.request(now, request, round as u64);
        let mut elapsed = began.elapsed();
        outstanding += 1;
        apply_commands(commands, &mut running, &mut outstanding);
        if outstanding > max_outstanding
            && let Some(ticket) = running.pop_front()
        {
            outstanding -= 1;
            let release = release(ticket);
            let began = Instant::now();
            let commands = dispatcher.release(now, release);
            elapsed += began.elapsed();
            apply_commands(commands, &mut running, &mut outstanding);
        }
        if round >= size.programs {
            times.push(elapsed.as_nanos());
        }
    }
    times.sort_unstable();
    let (median, p99) = (times[MEASURED / 2], times[MEASURED * 99 / 100]);
    println!(
        "  {} programs, {} upstreams, {} teams: request and release, median {median}, p99 {p99}",
        size.programs, size.upstreams, size.teams
    );
    median
}

fn apply_commands(commands: Vec<Command>, running: &mut VecDeque<Ticket>, outstanding: &mut usize) {
    for command in commands {
        match command {
            Command::Grant { grant, .. } => running.push_back(grant.ticket),
            Command::Refuse { .. } => *outstanding -= 1,
            _ => (),
        }
    }
}

fn dispatcher(size: &Size) -> Dispatcher {
    let options = DispatcherOptions::new("agent-models".into())
        .limit(LimitPolicy::Fixed(SLOTS))
        .shedding(false)
        .seed(SEED);
    let mut dispatcher = Dispatcher::new(options);
    let team = || Team { rate_per_s: 10.0, burst_requests: 100, classes: Vec::new() };
    let teams = (0..size.teams).map(|index| (format!("team-{index}").into(), team()));
    dispatcher.set_catalog(&Catalog { teams: teams.collect(), ..Default::default() });
    dispatcher
}

fn view(index: usize) -> UpstreamView {
    UpstreamView {
        upstream: format!("worker-{index}").into(),
        address: format!("127.0.0.1:{}", 10_000 + index),
        domain: ["ankara-a", "ankara-b", "konya-c"][index % 3].into(),
        is_leaving: false,
        models: Vec::new(),
    }
}

fn request(size: &Size, program: usize) -> SlotRequest {
    SlotRequest {
        request: format!("r-{program}").into(),
        home: "host".into(),
        service: "agent-models".into(),
        model: Some("large".into()),
        program: format!("journal.{program:016}").into(),
        class: "quote".into(),
        team: format!("team-{}", program % size.teams).into(),
        program_age: Duration::from_secs(10),
        target: Duration::from_secs(300),
        calls_done: (program % 40) as u32,
        prompt_tokens: 10_000 + program as u64 % 20_000,
        completion_tokens: 500,
        last_upstream: None,
        fingerprint: program as u64,
        is_repeatable: true,
        max_wait: Duration::from_secs(600),
    }
}

fn release(ticket: Ticket) -> SlotRelease {
    let usage = Usage { prompt_tokens: 20_000, cached_tokens: 19_000, completion_tokens: 200 };
    let outcome = Outcome::Done {
        first_byte: Duration::from_millis(200),
        total: Duration::from_secs(4),
        usage: Some(usage),
    };
    SlotRelease { service: "agent-models".into(), ticket, outcome }
}
