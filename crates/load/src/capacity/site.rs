//! Cost of complete hosts: idle, and relaying turns and tokens through a site.

use {
    super::{
        CapacityError,
        figure::{FigureKind, Figures, resident_bytes, seconds_since, threads_cpu},
        wire,
    },
    crate::measurement_site::{self, SECRET, START_TIMEOUT, host_spec},
    error_stack::{Report, ResultExt},
    http_types::Method,
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    trefoilring_core::call::Chunk,
    trefoilring_host::Host,
    trefoilring_proto::{ChunkBatch, PeerRequest, PeerResponse},
    trefoilring_site::{CallerClient, Site, SiteOptions},
};

/// Interval between heartbeats.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Speed of the stand-in engines relative to production.
const TIME_SCALE: f64 = 1.0;
/// Number of hosts at the start and at the end of the measurement.
const HOSTS: [usize; 2] = [3, 30];
/// Total time without requests over which idle hosts are measured.
const IDLE: Duration = Duration::from_secs(6);
/// Time allowed for a started site to become idle.
const SETTLE: Duration = Duration::from_secs(5);
/// Time allowed for a single host to become idle before its memory is measured.
const SINGLE_HOST_IDLE_WAIT: Duration = Duration::from_secs(2);
/// Number of concurrent streams.
const STREAMS: usize = 32;
/// Tokens of a long answer and of a short answer. The difference of the two runs gives the cost of
/// a token.
const TOKENS: [usize; 2] = [164, 4];
/// Turns per program in the two runs whose difference gives the cost of a turn.
const TURNS: [usize; 2] = [1, 11];
/// Number of repetitions.
const SAMPLES: usize = 3;

/// Processor time of the control and the traffic threads in microseconds, and the number of
/// streamed events. For idle hosts, the processor time is per host and second; for a run of turns,
/// it is the total of all hosts.
#[derive(Clone, Copy, Debug)]
struct CpuCost {
    control: f64,
    traffic: f64,
    events: f64,
}

/// Measures the memory of this process with one idle host and stand-ins of the platform.
pub fn memory() -> Result<f64, Report<CapacityError>> {
    smol::block_on(async {
        let site = Site::start(options(1)?, START_TIMEOUT).await.change_context(CapacityError)?;
        smol::Timer::after(SINGLE_HOST_IDLE_WAIT).await;
        let bytes = resident_bytes();
        drop(site);
        bytes
    })
}

/// Measures idle hosts, turns and tokens, and the memory and threads of further hosts.
pub fn measure(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    smol::block_on(async {
        let mut site =
            Site::start(options(HOSTS[0])?, START_TIMEOUT).await.change_context(CapacityError)?;
        smol::Timer::after(SETTLE).await;
        let idle = measure_idle(figures, HOSTS[0]).await?;
        measure_turns(figures, &site, idle).await?;
        start_remaining_hosts(figures, &mut site).await?;
        smol::Timer::after(SETTLE).await;
        self::measure_idle(figures, HOSTS[1]).await?;
        drop(site);
        Ok(())
    })
}

/// Starts the remaining hosts and measures the memory and threads of each.
async fn start_remaining_hosts(
    figures: &mut Figures,
    site: &mut Site,
) -> Result<(), Report<CapacityError>> {
    let count = (HOSTS[1] - HOSTS[0]) as f64;
    let (_, threads) = threads_cpu(|_| true)?;
    let bytes = resident_bytes()?;
    for number in HOSTS[0]..HOSTS[1] {
        site.start_host(&host_spec(number)).change_context(CapacityError)?;
    }
    let is_ready = |site: &Site| site.hosts().values().all(Host::is_ready);
    let waited = site.wait_until(START_TIMEOUT, "all hosts ready", is_ready).await;
    waited.change_context(CapacityError)?;
    let bytes = (resident_bytes()? - bytes) / count;
    let description = "resident memory of each additional host, with 30 hosts in one process";
    figures.add(FigureKind::Memory, "process.memory", "B", description, vec![bytes]);
    let (_, threads_after) = threads_cpu(|_| true)?;
    let description = "threads of each additional host, with one traffic thread";
    let threads = ((threads_after - threads) as f64 / count).round();
    figures.add_constant("process.threads", "", description, threads);
    Ok(())
}

/// Measures the processor time per second of one host without requests.
async fn measure_idle(
    figures: &mut Figures,
    hosts: usize,
) -> Result<CpuCost, Report<CapacityError>> {
    let mut samples = [Vec::new(), Vec::new()];
    for _ in 0..SAMPLES {
        let (start, before) = (Instant::now(), host_cpu()?);
        smol::Timer::after(IDLE / SAMPLES as u32).await;
        let (after, wall_s) = (host_cpu()?, seconds_since(start));
        for (samples, index) in samples.iter_mut().zip(0..) {
            samples.push((after[index] - before[index]) / wall_s / hosts as f64 * 1e6);
        }
    }
    let [control, traffic] = samples;
    let mut add = |name: &str, samples| {
        let description =
            format!("processor time per second of the {name} thread of one idle host, of {hosts}");
        figures.add(
            FigureKind::Time,
            format!("process.{name}.{hosts}"),
            "us",
            description,
            samples,
        );
    };
    add("control", control);
    add("traffic", traffic);
    let get = |name| figures.get(&format!("process.{name}.{hosts}"));
    Ok(CpuCost { control: get("control")?, traffic: get("traffic")?, events: 0.0 })
}

/// Returns the processor time of the hosts' control threads and of their traffic threads so far, in
/// seconds.
fn host_cpu() -> Result<[f64; 2], Report<CapacityError>> {
    let (control, _) = threads_cpu(|name| name == "control")?;
    let (traffic, _) = threads_cpu(|name| name.starts_with("traffic-"))?;
    Ok([control.as_secs_f64(), traffic.as_secs_f64()])
}

/// Measures turns that are sent to their program's home, and turns that are sent to another host,
/// which relays them.
async fn measure_turns(
    figures: &mut Figures,
    site: &Site,
    idle: CpuCost,
) -> Result<(), Report<CapacityError>> {
    let addresses = site.addresses();
    let paths = [("here", addresses[0]), ("relayed", addresses[1])];
    for (path, entry) in paths {
        let mut per_turn = [Vec::new(), Vec::new()];
        let mut per_token = Vec::new();
        for _ in 0..SAMPLES {
            let short = run_streams(addresses[0], entry, TOKENS[1], TURNS[0], idle).await?;
            let long = run_streams(addresses[0], entry, TOKENS[0], TURNS[0], idle).await?;
            let many = run_streams(addresses[0], entry, TOKENS[1], TURNS[1], idle).await?;
            per_token.push((long.traffic - short.traffic) / (long.events - short.events));
            let turns = ((TURNS[1] - TURNS[0]) * STREAMS) as f64;
            per_turn[0].push((many.control - short.control) / turns);
            per_turn[1].push((many.traffic - short.traffic) / turns);
        }
        let [control, traffic] = per_turn;
        let description =
            format!("control threads of all hosts, one more turn of 4 tokens, {path}");
        figures.add(FigureKind::Path, format!("turn.control.{path}"), "us", description, control);
        let description =
            format!("traffic threads of all hosts, one more turn of 4 tokens, {path}");
        figures.add(FigureKind::Path, format!("turn.traffic.{path}"), "us", description, traffic);
        let description = format!("traffic threads of all hosts, one token of a stream, {path}");
        figures.add(
            FigureKind::Time,
            format!("token.traffic.{path}"),
            "us",
            description,
            per_token,
        );
    }
    measure_token_bytes(figures)
}

/// Counts the bytes of a token that the home sends to the entry host in a batch of one chunk.
fn measure_token_bytes(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    let event = json!({
        "id": "chatcmpl-00000000000000000001",
        "object": "chat.completion.chunk",
        "created": 1_796_000_000,
        "model": "model-01",
        "choices": [{ "index": 0, "delta": { "content": "word" }, "finish_reason": null }],
    });
    let chunks = vec![Chunk::Event(event.to_string())];
    let batch = ChunkBatch { first: 100, chunks, end: None };
    let bytes = wire::request_bytes(PeerRequest::NextChunks { handle: 1_000, after: 100 })?
        + wire::response_bytes(PeerResponse::NextChunks(Ok(batch)))?;
    figures.add_constant(
        "token.bytes",
        "B",
        "one token from the home to the entry host, in a batch of one chunk",
        bytes,
    );
    Ok(())
}

/// Runs `STREAMS` programs concurrently, each with `turns` streamed turns. Returns the processor
/// time of all hosts in excess of their idle use, in microseconds.
async fn run_streams(
    home: SocketAddr,
    entry: SocketAddr,
    tokens: usize,
    turns: usize,
    idle: CpuCost,
) -> Result<CpuCost, Report<CapacityError>> {
    let (start, before) = (Instant::now(), host_cpu()?);
    let streams: Vec<_> =
        (0..STREAMS).map(|_| smol::spawn(run_stream(home, entry, tokens, turns))).collect();
    let mut events = 0.0;
    for stream in streams {
        events += stream.await?;
    }
    let (after, wall_s) = (host_cpu()?, seconds_since(start));
    let above_idle = |index: usize, idle_us: f64| {
        (after[index] - before[index]) * 1e6 - idle_us * HOSTS[0] as f64 * wall_s
    };
    Ok(CpuCost {
        control: above_idle(0, idle.control),
        traffic: above_idle(1, idle.traffic),
        events,
    })
}

async fn run_stream(
    home: SocketAddr,
    entry: SocketAddr,
    tokens: usize,
    turns: usize,
) -> Result<f64, Report<CapacityError>> {
    let caller = CallerClient::new(SECRET);
    let class = json!({ "class": "c" });
    let created = caller.send(home, Method::Post, "/v1/programs", &[], Some(&class)).await;
    let created = created.change_context(CapacityError)?;
    let body = json!({
        "model": "m",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": "hello" }],
    });
    let headers = [("Trefoil-Program", created.text("id"))];
    let mut events = 0;
    for _ in 0..turns {
        let reply = caller.stream(entry, "/v1/chat/completions", &headers, &body).await;
        let reply = reply.change_context(CapacityError)?;
        if !reply.is_complete {
            let last = reply.events.last().cloned().unwrap_or_default();
            return Err(Report::new(CapacityError)
                .attach(format!("a stream ended early; its last event: {last}")));
        }
        events += reply.events.len();
    }
    Ok(events as f64)
}

/// Returns the options of a site with the timings of this module.
fn options(hosts: usize) -> Result<SiteOptions, Report<CapacityError>> {
    measurement_site::options(hosts, HEARTBEAT, TIME_SCALE).change_context(CapacityError)
}
