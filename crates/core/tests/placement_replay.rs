//! Replays turns of programs at engines in virtual time, placed by hosts that don't talk to each other.
//!
//! An engine runs its requests in one batch and reads prompts in chunks, which hold up the batch. It
//! caches parts of prompts and forgets the least recently used ones. Each turn brings one of 16 shared
//! parts, of uneven popularity, and its session's own tokens.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashSet, VecDeque},
        time::{Duration, Instant},
    },
    trefoilring_core::placement::{
        Choice, LoadReport, Outcome, Placement, PlacementRequest, PromptPart, UpstreamKey,
        UpstreamRecord,
    },
};

/// Acceptance bar: p95 of the turn time, as a multiple of that with an oracle.
const P95_RATIO_MAX: f64 = 1.15;
/// Acceptance bar: tokens of shared parts that are read again, as a share of all that are read.
const READ_AGAIN_MAX: f64 = 0.1;
/// Speeds of the engines, in turn for each domain.
const EQUAL: [f64; 1] = [1.0];
const UNEQUAL: [f64; 5] = [0.55, 0.8, 1.0, 1.15, 1.3];
const SLOTS: usize = 12;
const CACHE_TOKENS: u64 = 282_674;
const READ_TOKENS_PER_MS: f64 = 147.0;
const CHUNK_TOKENS: u64 = 1024;
/// Tokens that a step of the replay makes for each running request.
const STEP_TOKENS: u64 = 4;
const SHARED_PARTS: u64 = 16;
const SHARED_TOKENS: u64 = 12_600;
const POPULARITY_POWER: f64 = 0.7;
const OUTPUT_TOKENS: u64 = 160;
/// How often a turn comes to another host than the one before.
const OTHER_HOST_SHARE: f64 = 0.41;
const DOMAINS: usize = 3;
/// Delay of one way within a domain and to another one.
const NEAR_DELAY: Duration = Duration::from_micros(300);
const FAR_DELAY: Duration = Duration::from_micros(2300);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// Any upstream.
    Naive,
    /// The product.
    Placement,
    /// Knows all queues, caches and speeds.
    Oracle,
}

#[derive(Clone, Debug)]
struct Settings {
    policy: Policy,
    hosts: usize,
    speeds: Vec<f64>,
    programs_per_s: f64,
    seconds: f64,
    /// Whether the turns are retained, so that each names the engine of the one before.
    is_retained: bool,
    /// Share of the reports that are lost.
    lost_reports: f64,
    seed: u64,
}

#[derive(Debug, Default)]
struct Figures {
    turn_p95_ms: f64,
    /// Share of the programs that take more than 1.7 times as long as on idle engines.
    late: f64,
    /// Tokens of shared parts that were read before, as a share of all that are read.
    read_again: f64,
}

struct Engine {
    speed: f64,
    slowdown: f64,
    running: Vec<Running>,
    queue: VecDeque<usize>,
    /// Cached parts, the least recently used first: shared parts, and sessions with their length.
    cache: Vec<(Part, u64)>,
    is_stepping: bool,
    /// Duration of the present step.
    step: Duration,
    domain: usize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Part {
    Shared(u64),
    Session(usize),
}

struct Running {
    program: usize,
    unread: u64,
    output_left: u64,
    has_answered: bool,
}

struct Program {
    part: u64,
    turns_left: usize,
    own_tokens: u64,
    host: usize,
    engine: Option<usize>,
    begun: Instant,
    turn_begun: Instant,
    ideal: Duration,
    key: Option<UpstreamKey>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Begin,
    Turn(usize),
    Arrive(usize, usize),
    Step(usize),
    Report { program: usize, engine: usize, running: u32, waiting: u32, percent: u32 },
    End(usize),
}

struct Replay {
    settings: Settings,
    rng: StdRng,
    now: Instant,
    start: Instant,
    sequence: u64,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    engines: Vec<Engine>,
    hosts: Vec<Placement>,
    programs: Vec<Program>,
    turns_ms: Vec<f64>,
    late: usize,
    done: usize,
    read_tokens: u64,
    read_again: u64,
    seen_parts: HashSet<u64>,
}

impl Replay {
    fn new(settings: Settings) -> Self {
        let start = Instant::now();
        let engines: Vec<Engine> = settings
            .speeds
            .iter()
            .enumerate()
            .map(|(number, speed)| Engine {
                speed: *speed,
                slowdown: 1.0,
                running: Vec::new(),
                queue: VecDeque::new(),
                cache: Vec::new(),
                is_stepping: false,
                step: Duration::ZERO,
                domain: number % DOMAINS,
            })
            .collect();
        let hosts = (0..settings.hosts)
            .map(|host| {
                let mut placement =
                    Placement::new(format!("zone-{}", host % DOMAINS).as_str().into());
                for (number, engine) in engines.iter().enumerate() {
                    placement.upsert(UpstreamRecord {
                        id: id(number).as_str().into(),
                        service: "llm".into(),
                        address: ([127, 0, 0, 1], 9000).into(),
                        domain: format!("zone-{}", engine.domain).as_str().into(),
                        version: "v1".into(),
                        slots: SLOTS as u32,
                        is_leaving: false,
                        incarnation: None,
                        cold_left: None,
                    });
                }
                placement
            })
            .collect();
        Self {
            rng: StdRng::seed_from_u64(settings.seed),
            now: start,
            start,
            sequence: 0,
            events: BinaryHeap::new(),
            engines,
            hosts,
            programs: Vec::new(),
            turns_ms: Vec::new(),
            late: 0,
            done: 0,
            read_tokens: 0,
            read_again: 0,
            seen_parts: HashSet::new(),
            settings,
        }
    }

    fn at(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn run(mut self) -> Figures {
        let end = self.start + Duration::from_secs_f64(self.settings.seconds);
        self.at(Duration::ZERO, Event::Begin);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.turns_ms.sort_by(f64::total_cmp);
        let count = self.turns_ms.len();
        Figures {
            turn_p95_ms: self.turns_ms[count * 95 / 100],
            late: self.late as f64 / self.done as f64,
            read_again: self.read_again as f64 / self.read_tokens as f64,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Begin => self.begin(),
            Event::Turn(program) => self.place(program),
            Event::Arrive(engine, program) => {
                self.engines[engine].queue.push_back(program);
                self.start_step(engine);
            }
            Event::Step(engine) => self.end_step(engine),
            Event::Report { program, engine, running, waiting, percent } => {
                let report = LoadReport {
                    running,
                    waiting,
                    slots: SLOTS as u32,
                    slowdown: Some(f64::from(percent) / 100.0),
                };
                let host = &mut self.hosts[self.programs[program].host];
                if let Some((key, _)) = host.find(&id(engine)) {
                    host.record_load(self.now, key, report);
                }
            }
            Event::End(program) => self.end_turn(program),
        }
    }

    fn begin(&mut self) {
        let weights: Vec<f64> =
            (0..SHARED_PARTS).map(|part| ((part + 1) as f64).powf(-POPULARITY_POWER)).collect();
        let mut point = self.rng.random_range(0.0..weights.iter().sum::<f64>());
        let part = weights.iter().position(|weight| {
            point -= weight;
            point < 0.0
        });
        let turns = if self.rng.random_bool(0.5) { 4 } else { 11 };
        self.programs.push(Program {
            part: part.unwrap_or_default() as u64,
            turns_left: turns,
            own_tokens: 0,
            host: self.rng.random_range(0..self.settings.hosts),
            engine: None,
            begun: self.now,
            turn_begun: self.now,
            ideal: Duration::ZERO,
            key: None,
        });
        self.place(self.programs.len() - 1);
        let gap_s = -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln();
        self.at(Duration::from_secs_f64(gap_s / self.settings.programs_per_s), Event::Begin);
    }

    fn place(&mut self, number: usize) {
        let new_tokens = self.rng.random_range(840..1680);
        let program = &mut self.programs[number];
        program.own_tokens += new_tokens;
        program.turn_begun = self.now;
        program.ideal += Duration::from_secs_f64(
            (new_tokens as f64 / READ_TOKENS_PER_MS + OUTPUT_TOKENS as f64 * 1.27) / 1000.0,
        );
        if program.engine.is_some() && self.rng.random_bool(OTHER_HOST_SHARE) {
            program.host = self.rng.random_range(0..self.settings.hosts);
        }
        let engine = self.choose(number);
        let program = &mut self.programs[number];
        program.engine = Some(engine);
        let delay = match program.host % DOMAINS == self.engines[engine].domain {
            true => NEAR_DELAY,
            false => FAR_DELAY,
        };
        self.at(delay, Event::Arrive(engine, number));
    }

    fn choose(&mut self, number: usize) -> usize {
        let program = &mut self.programs[number];
        match self.settings.policy {
            Policy::Naive => self.rng.random_range(0..self.engines.len()),
            Policy::Oracle => {
                let cost = |engine: &Engine| {
                    let (unread, _) = engine.unread(number, program);
                    let work_ms: f64 = engine
                        .running
                        .iter()
                        .map(|one| one.unread as f64 / READ_TOKENS_PER_MS)
                        .sum();
                    let requests = engine.running.len() + engine.queue.len() + 1;
                    let over = (requests as f64 / SLOTS as f64 - 1.0).max(0.0);
                    let own_ms = OUTPUT_TOKENS as f64 * (1.27 + 0.04 * requests as f64);
                    let read_ms = unread as f64 / READ_TOKENS_PER_MS;
                    (own_ms * (1.0 + over)
                        + work_ms
                        + read_ms * (1.0 + engine.running.len() as f64))
                        * engine.slowdown
                        / engine.speed
                };
                let costs: Vec<f64> = self.engines.iter().map(cost).collect();
                (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b])).expect("an engine")
            }
            Policy::Placement => {
                let session = format!("session-{number}");
                let prompt = [
                    PromptPart { id: program.part, tokens: SHARED_TOKENS },
                    PromptPart { id: 1_000_000 + number as u64, tokens: program.own_tokens },
                ];
                let previous = program.engine.filter(|_| self.settings.is_retained).map(id);
                let request = PlacementRequest {
                    service: "llm",
                    session: Some(&session),
                    prompt: &prompt,
                    previous_upstream: previous.as_deref(),
                    is_retained: self.settings.is_retained,
                    ..PlacementRequest::default()
                };
                let host = &mut self.hosts[program.host];
                let Choice::Use(key) = host.choose(self.now, &request) else {
                    panic!("all engines accept work")
                };
                host.record_sent(self.now, key);
                program.key = Some(key);
                let id = &host.record(key).expect("a known upstream").id;
                id.rsplit('-').next().and_then(|number| number.parse().ok()).expect("a number")
            }
        }
    }

    fn start_step(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        if engine.is_stepping {
            return;
        }
        while engine.running.len() < SLOTS
            && let Some(program) = engine.queue.pop_front()
        {
            let (unread, unread_shared) = engine.unread(program, &self.programs[program]);
            let part = self.programs[program].part;
            engine.use_cache(program, &self.programs[program]);
            self.read_tokens += unread;
            if unread_shared > 0 && !self.seen_parts.insert(part) {
                self.read_again += unread_shared;
            }
            let output_left = OUTPUT_TOKENS;
            engine.running.push(Running { program, unread, output_left, has_answered: false });
        }
        if engine.running.is_empty() {
            return;
        }
        let mut chunk = CHUNK_TOKENS;
        let mut step_ms = 0.0;
        let mut decoding = 0;
        for running in &mut engine.running {
            let read = running.unread.min(chunk);
            chunk -= read;
            running.unread -= read;
            step_ms += read as f64 / READ_TOKENS_PER_MS;
            if running.unread == 0 {
                decoding += 1;
                running.output_left = running.output_left.saturating_sub(STEP_TOKENS);
            }
        }
        step_ms += STEP_TOKENS as f64 * (1.27 + 0.04 * f64::from(decoding));
        step_ms *= engine.slowdown / engine.speed;
        let duration = Duration::from_secs_f64(step_ms / 1000.0);
        engine.is_stepping = true;
        engine.step = duration;
        self.at(duration, Event::Step(number));
    }

    fn end_step(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        engine.is_stepping = false;
        let (running, waiting) = (engine.running.len() as u32, engine.queue.len() as u32);
        let percent = (engine.slowdown / engine.speed * 100.0) as u32;
        let step = engine.step;
        let mut answered = Vec::new();
        let mut continued = Vec::new();
        let mut ended = Vec::new();
        engine.running.retain_mut(|one| {
            if one.unread == 0 && one.has_answered {
                continued.push(one.program);
            } else if one.unread == 0 {
                one.has_answered = true;
                answered.push(one.program);
            }
            if one.output_left == 0 {
                ended.push(one.program);
            }
            one.output_left > 0
        });
        let domain = engine.domain;
        let delay = |program: &Program| match program.host % DOMAINS == domain {
            true => NEAR_DELAY,
            false => FAR_DELAY,
        };
        for program in answered {
            if !self.rng.random_bool(self.settings.lost_reports) {
                let report = Event::Report { program, engine: number, running, waiting, percent };
                self.at(delay(&self.programs[program]), report);
            }
        }
        for program in continued {
            let program = &self.programs[program];
            if let Some(key) = program.key {
                self.hosts[program.host].record_pause(self.now, key, step);
            }
        }
        for program in ended {
            self.at(delay(&self.programs[program]), Event::End(program));
        }
        self.start_step(number);
    }

    fn end_turn(&mut self, number: usize) {
        let program = &mut self.programs[number];
        let took = self.now - program.turn_begun;
        if let Some(key) = program.key {
            let host = &mut self.hosts[program.host];
            host.record_duration(self.now, key, took);
            host.record_end(self.now, key, Outcome::Done);
        }
        self.turns_ms.push(took.as_secs_f64() * 1000.0);
        program.turns_left -= 1;
        if program.turns_left == 0 {
            self.done += 1;
            if self.now - program.begun > program.ideal.mul_f64(1.7) {
                self.late += 1;
            }
            return;
        }
        let pause = Duration::from_millis(self.rng.random_range(5..30));
        // The pause does not count as the engines' time.
        self.programs[number].ideal += pause;
        self.at(pause, Event::Turn(number));
    }
}

impl Engine {
    /// Returns the tokens that a program's turn must read here, and how many of them are shared.
    fn unread(&self, number: usize, program: &Program) -> (u64, u64) {
        let cached = |wanted: Part| {
            self.cache.iter().find(|(part, _)| *part == wanted).map_or(0, |(_, tokens)| *tokens)
        };
        match cached(Part::Shared(program.part)) {
            0 => (SHARED_TOKENS + program.own_tokens, SHARED_TOKENS),
            _ => (program.own_tokens - cached(Part::Session(number)).min(program.own_tokens), 0),
        }
    }

    fn use_cache(&mut self, number: usize, program: &Program) {
        let used = [Part::Session(number), Part::Shared(program.part)];
        self.cache.retain(|(part, _)| !used.contains(part));
        self.cache.push((used[0], program.own_tokens + OUTPUT_TOKENS));
        self.cache.push((used[1], SHARED_TOKENS));
        while self.cache.iter().map(|(_, tokens)| tokens).sum::<u64>() > CACHE_TOKENS {
            self.cache.remove(0);
        }
    }
}

fn id(engine: usize) -> String {
    format!("engine-{engine}")
}

fn speeds(count: usize, pattern: &[f64]) -> Vec<f64> {
    (0..count).map(|number| pattern[number / DOMAINS % pattern.len()]).collect()
}

fn settings(policy: Policy, hosts: usize, pattern: &[f64]) -> Settings {
    Settings {
        policy,
        hosts,
        speeds: speeds(56, pattern),
        programs_per_s: 85.0,
        seconds: 30.0,
        is_retained: true,
        lost_reports: 0.1,
        seed: 7,
    }
}

/// Runs a replay with several seeds. Returns the mean of the figures.
fn replay(policy: Policy, hosts: usize, speeds: &[f64]) -> Figures {
    const SEEDS: [u64; 3] = [7, 8, 9];
    let runs =
        SEEDS.map(|seed| Replay::new(Settings { seed, ..settings(policy, hosts, speeds) }).run());
    let mean =
        |figure: fn(&Figures) -> f64| runs.iter().map(figure).sum::<f64>() / SEEDS.len() as f64;
    Figures {
        turn_p95_ms: mean(|run| run.turn_p95_ms),
        late: mean(|run| run.late),
        read_again: mean(|run| run.read_again),
    }
}

fn assert_p95_is_near_the_oracles(hosts: usize, speeds: &[f64]) {
    let (placed, oracle) =
        (replay(Policy::Placement, hosts, speeds), replay(Policy::Oracle, hosts, speeds));
    let ratio = placed.turn_p95_ms / oracle.turn_p95_ms;
    assert!(ratio <= P95_RATIO_MAX, "{ratio:.3} with {hosts} hosts: {placed:?}, {oracle:?}");
}

#[test]
fn turns_at_equal_engines_take_little_longer_than_with_an_oracle() {
    for hosts in [9, 76] {
        assert_p95_is_near_the_oracles(hosts, &EQUAL);
    }
}

/// Guards against an upstream that counts as idle because its host has not heard from it lately.
#[test]
fn turns_of_many_hosts_take_little_longer_than_with_an_oracle() {
    assert_p95_is_near_the_oracles(259, &EQUAL);
}

/// Guards against shared parts that every engine reads, also while the hosts of a part's turns have
/// seen few of them.
#[test]
fn shared_parts_are_seldom_read_again() {
    for hosts in [9, 76, 259] {
        let placed = replay(Policy::Placement, hosts, &EQUAL);
        assert!(placed.read_again <= READ_AGAIN_MAX, "{hosts} hosts: {placed:?}");
    }
    let naive = replay(Policy::Naive, 76, &EQUAL);
    assert!(naive.read_again > 2.0 * READ_AGAIN_MAX, "the replay has parts to read: {naive:?}");
}

#[test]
#[ignore = "prints the table of docs/decisions/0031-placement-by-cost.md"]
fn table() {
    for (name, speeds) in [("equal", &EQUAL[..]), ("unequal", &UNEQUAL[..])] {
        for hosts in [9, 76, 259] {
            for policy in [Policy::Naive, Policy::Placement, Policy::Oracle] {
                println!("{name} {hosts} hosts {policy:?}: {:?}", replay(policy, hosts, speeds));
            }
        }
    }
}
