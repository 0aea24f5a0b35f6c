//! Cost of the dispatcher of a pool.

use {
    super::{
        CapacityError,
        cluster::host_name,
        config::sample_catalog,
        design_size,
        figure::{Figures, memory_of_large_item, memory_per_item},
        home::program_id,
        limiter::team_id,
        wire,
    },
    error_stack::Report,
    std::time::{Duration, Instant},
    trefoilring_core::{
        catalog::Catalog,
        ids::UpstreamId,
        message::Usage,
        sched::{
            Command, Dispatcher, DispatcherOptions, LoadReport, Outcome, SlotGrant, SlotRelease,
            SlotRequest, Ticket, UpstreamView,
        },
    },
    trefoilring_proto::{PeerRequest, PeerResponse},
};

/// Sizes of the pools that are measured with an empty queue, in upstreams.
pub const POOL_SIZES: [usize; 5] = [3, 9, 18, 60, 600];
/// Queue lengths that are measured with a pool of the design size.
const QUEUE_LENGTHS: [usize; 3] = [20, 200, 2_000];
/// Number of programs in the memory measurement.
const PROGRAMS: usize = 100_000;
/// Number of programs that the calls of the other measurements cycle through: those of one pool at
/// the design size.
const CYCLED_PROGRAMS: usize = 1_485;

/// Drives a dispatcher and keeps the tickets of its calls in flight.
struct DispatcherDriver {
    dispatcher: Dispatcher,
    now: Instant,
    next_request: usize,
    tickets: std::collections::VecDeque<Ticket>,
}

/// Measures dispatchers with a catalog of the design size.
pub fn measure(figures: &mut Figures, catalog: &Catalog) -> Result<(), Report<CapacityError>> {
    let pool_size = design_size::WORKERS_PER_POOL.round() as usize;
    for upstreams in POOL_SIZES {
        let mut driver = DispatcherDriver::new(upstreams, catalog);
        driver.run_until_busy(upstreams * 2);
        let description = format!("request, grant and release: {upstreams} upstreams, empty queue");
        figures.measure_cpu_time(format!("dispatch.cycle.{upstreams}"), &description, || {
            driver.run_cycles(100)
        })?;
    }
    for queued in QUEUE_LENGTHS {
        let mut driver = DispatcherDriver::new(pool_size, catalog);
        driver.run_until_waiting(queued)?;
        let description =
            format!("request, grant and release: {pool_size} upstreams, {queued} queued");
        figures.measure_cpu_time(format!("dispatch.cycle.queue.{queued}"), &description, || {
            driver.run_cycles(100)
        })?;
    }
    measure_reports(figures, catalog, pool_size)?;
    measure_messages(figures)
}

/// Measures the memory of a pool's dispatcher, including the weights of all teams.
pub fn memory() -> Result<f64, Report<CapacityError>> {
    let catalog = sample_catalog(design_size::TEAMS);
    memory_of_large_item(|| {
        Ok(DispatcherDriver::new(design_size::WORKERS_PER_POOL.round() as usize, &catalog))
    })
}

/// Measures the memory of one program in the cache map.
pub fn program_memory() -> Result<f64, Report<CapacityError>> {
    let mut driver = DispatcherDriver::new(
        design_size::WORKERS_PER_POOL.round() as usize,
        &sample_catalog(design_size::TEAMS),
    );
    // Each cycle is of another program, which the dispatcher adds to its cache map.
    memory_per_item(PROGRAMS, || {
        for _ in 0..PROGRAMS {
            driver.run_cycle(PROGRAMS)?;
        }
        Ok(())
    })
}

fn measure_reports(
    figures: &mut Figures,
    catalog: &Catalog,
    pool_size: usize,
) -> Result<(), Report<CapacityError>> {
    let mut driver = DispatcherDriver::new(pool_size, catalog);
    driver.run_until_busy(pool_size * 2);
    figures.measure_cpu_time("dispatch.report", "apply a load report", || {
        for number in 0..100 {
            driver.now += Duration::from_millis(1);
            driver.apply_load_report(number % pool_size);
        }
        Ok(100)
    })?;
    figures.measure_cpu_time("dispatch.tick", "tick of a dispatcher", || {
        for _ in 0..100 {
            driver.now += Duration::from_millis(100);
            driver.dispatcher.tick(driver.now);
        }
        Ok(100)
    })?;
    figures.measure_cpu_time(
        "dispatch.catalog",
        "apply a catalog of 32,000 teams at a dispatcher",
        || {
            driver.dispatcher.set_catalog(catalog);
            Ok(1)
        },
    )
}

fn measure_messages(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    let grant = SlotGrant {
        ticket: 4_000_000_000_000_000_000,
        upstream: upstream_id(1),
        address: "10.30.0.1:8000".into(),
        waited: Duration::from_millis(3),
    };
    let release =
        SlotRelease { service: "model-01".into(), ticket: grant.ticket, outcome: done_outcome() };
    let acquire = wire::request_bytes(PeerRequest::AcquireSlot { request: slot_request(0, 0) })?
        + wire::response_bytes(PeerResponse::AcquireSlot(Ok(grant)))?;
    let release = wire::request_bytes(PeerRequest::ReleaseSlot { release })?
        + wire::response_bytes(PeerResponse::ReleaseSlot(()))?;
    figures.add_constant(
        "dispatch.acquire.bytes",
        "B",
        "request for a slot and its grant",
        acquire,
    );
    figures.add_constant(
        "dispatch.release.bytes",
        "B",
        "release of a slot and its response",
        release,
    );
    Ok(())
}

impl DispatcherDriver {
    fn new(upstreams: usize, catalog: &Catalog) -> Self {
        let now = Instant::now();
        // Disable load shedding, so that the queue can reach the requested length.
        let options = DispatcherOptions::new("model-01".into()).seed(1).shedding(false);
        let mut dispatcher = Dispatcher::new(options);
        dispatcher.set_catalog(catalog);
        let view = |number: usize| UpstreamView {
            upstream: upstream_id(number),
            address: format!("10.30.{}.{}:8000", number / 250, number % 250 + 1),
            domain: format!("domain-{:02}", number % design_size::DOMAINS).into(),
            is_leaving: false,
            models: vec!["model-01".into()],
        };
        dispatcher.set_upstreams(now, (0..upstreams).map(view).collect());
        let mut driver = Self { dispatcher, now, next_request: 0, tickets: Default::default() };
        for number in 0..upstreams {
            driver.apply_load_report(number);
        }
        driver
    }

    fn apply_load_report(&mut self, number: usize) {
        let report = LoadReport {
            running: 2,
            waiting: 0,
            kv_used_tokens: 100_000,
            kv_capacity_tokens: 2_000_000,
            age: Duration::from_millis(100),
        };
        let commands = self.dispatcher.load_report(self.now, &upstream_id(number), report);
        self.record_grants(commands);
    }

    /// Sends requests until `calls` calls are in flight or no more are granted.
    fn run_until_busy(&mut self, calls: usize) {
        while self.tickets.len() < calls {
            let before = self.tickets.len();
            self.request_slot(CYCLED_PROGRAMS);
            if self.tickets.len() == before {
                break;
            }
        }
    }

    /// Sends requests until `waiting` requests are queued.
    fn run_until_waiting(&mut self, waiting: usize) -> Result<(), Report<CapacityError>> {
        const MAX_REQUESTS: usize = 100_000;
        for _ in 0..MAX_REQUESTS {
            if self.dispatcher.waiting() >= waiting {
                return Ok(());
            }
            self.request_slot(CYCLED_PROGRAMS);
        }
        Err(Report::new(CapacityError)
            .attach(format!("the queue did not reach {waiting} requests")))
    }

    fn run_cycles(&mut self, count: u64) -> Result<u64, Report<CapacityError>> {
        for _ in 0..count {
            self.run_cycle(CYCLED_PROGRAMS)?;
        }
        Ok(count)
    }

    /// Sends a new request and then releases the slot of the oldest call.
    fn run_cycle(&mut self, programs: usize) -> Result<(), Report<CapacityError>> {
        self.request_slot(programs);
        let ticket = self.tickets.pop_front();
        let ticket =
            ticket.ok_or_else(|| Report::new(CapacityError).attach("no call in flight"))?;
        let release = SlotRelease { service: "model-01".into(), ticket, outcome: done_outcome() };
        let commands = self.dispatcher.release(self.now, release);
        self.record_grants(commands);
        Ok(())
    }

    fn request_slot(&mut self, programs: usize) {
        self.now += Duration::from_micros(100);
        let number = self.next_request;
        self.next_request += 1;
        let request = slot_request(number % programs, number);
        let commands = self.dispatcher.request(self.now, request, number as u64);
        self.record_grants(commands);
    }

    fn record_grants(&mut self, commands: Vec<Command>) {
        self.tickets.extend(commands.into_iter().filter_map(|command| match command {
            Command::Grant { grant, .. } => Some(grant.ticket),
            _ => None,
        }));
    }
}

fn upstream_id(number: usize) -> UpstreamId {
    format!("worker-{number:03}").into()
}

fn slot_request(number: usize, request: usize) -> SlotRequest {
    SlotRequest {
        request: format!("{request:016x}").into(),
        home: host_name(number % design_size::HOSTS as usize),
        service: "model-01".into(),
        model: Some("model-01".into()),
        program: program_id(number),
        class: "interactive".into(),
        team: team_id(number % design_size::TEAMS),
        program_age: Duration::from_secs(100),
        target: Duration::from_secs(60),
        calls_done: 10,
        prompt_tokens: 20_000,
        completion_tokens: design_size::TOKENS_PER_REQUEST as u64,
        last_upstream: None,
        fingerprint: request as u64,
        is_repeatable: true,
        max_wait: Duration::from_secs(120),
    }
}

fn done_outcome() -> Outcome {
    let usage = Usage {
        prompt_tokens: 20_000,
        cached_tokens: 19_000,
        completion_tokens: design_size::TOKENS_PER_REQUEST as u64,
    };
    let first_byte = Duration::from_millis(300);
    Outcome::Done { first_byte, total: Duration::from_secs(3), usage: Some(usage) }
}
