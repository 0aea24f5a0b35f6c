//! Latency that the path through the hosts adds to a direct call to the engine.
//!
//! Each sample sends a turn directly to a stand-in engine and then the same turn through a host, so
//! that other load on the machine affects both alike. The engine runs much faster than in
//! production, so that its processing time is small.

use {
    crate::measurement_site::{self, SECRET, START_TIMEOUT},
    derive_more::{Display, Error},
    error_stack::{Report, ResultExt},
    hdrhistogram::Histogram,
    http_types::Method,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    trefoilring_site::{CallerClient, Site},
};

/// Speed of the stand-in engines relative to production.
const TIME_SCALE: f64 = 1000.0;
/// Interval between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// Turns of one program before the next one is created.
const TURNS_PER_PROGRAM: usize = 20;
/// Pause between two pairs of turns. It keeps the load below 100 turns a second, well within the
/// hosts' limit on store writes. Without it, the result would be dominated by the rate limit on
/// journal writes.
const PAIR_INTERVAL: Duration = Duration::from_millis(10);
/// Samples discarded at the start, while connections are opened and code is paged in.
const WARM_UP_SAMPLES: usize = 50;

/// Reason why the latency measurement failed.
#[derive(Debug, Display, Error)]
pub enum LatencyError {
    /// The site did not start.
    #[display("the site did not start")]
    Site,
    /// A request got no response or was refused.
    #[display("a request failed")]
    Request,
}

/// Distribution of turn times, in microseconds.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Longest turn time.
    pub max_us: u64,
}

/// Result of the measurement.
#[derive(Clone, Debug, serde::Serialize)]
pub struct PathLatency {
    /// Number of pairs of turns.
    pub samples: usize,
    /// Number of hosts.
    pub hosts: usize,
    /// Turns sent directly to the engine.
    pub direct: Percentiles,
    /// Turns sent through a host.
    pub through: Percentiles,
    /// Difference within each pair, which is the time added by the path through the host. Negative
    /// differences count as zero.
    pub added: Percentiles,
}

/// Measures `samples` pairs of turns on a site of `hosts` hosts, which are distributed over at most
/// three failure domains.
pub async fn measure(hosts: usize, samples: usize) -> Result<PathLatency, Report<LatencyError>> {
    let options = measurement_site::options(hosts, HEARTBEAT, TIME_SCALE);
    let site = Site::start(options.change_context(LatencyError::Site)?, START_TIMEOUT);
    let site = site.await.change_context(LatencyError::Site)?;
    let engine = site.engines.values().next().ok_or_else(|| Report::new(LatencyError::Site))?;
    let (engine, host_addresses) = (engine.address(), site.addresses());
    let caller = CallerClient::new(SECRET);
    let mut direct = histogram()?;
    let mut through = histogram()?;
    let mut added = histogram()?;
    let mut program = String::new();
    for sample in 0..samples + WARM_UP_SAMPLES {
        smol::Timer::after(PAIR_INTERVAL).await;
        let host_address = host_addresses[sample % host_addresses.len()];
        if sample % TURNS_PER_PROGRAM == 0 {
            program = create_program(&caller, host_address).await?;
        }
        let direct_time = run_turn(&caller, engine, None).await?;
        let relayed_time = run_turn(&caller, host_address, Some(&program)).await?;
        if sample >= WARM_UP_SAMPLES {
            record_time(&mut direct, direct_time);
            record_time(&mut through, relayed_time);
            record_time(&mut added, relayed_time.saturating_sub(direct_time));
        }
    }
    site.stop().await;
    Ok(PathLatency {
        samples,
        hosts,
        direct: percentiles(&direct),
        through: percentiles(&through),
        added: percentiles(&added),
    })
}

async fn create_program(
    caller: &CallerClient,
    host_address: SocketAddr,
) -> Result<String, Report<LatencyError>> {
    let body = json!({ "class": "c" });
    let reply = caller.send(host_address, Method::Post, "/v1/programs", &[], Some(&body)).await;
    let reply = reply.change_context(LatencyError::Request)?;
    Ok(reply.text("id").to_string())
}

/// Makes one turn and returns its duration.
async fn run_turn(
    caller: &CallerClient,
    address: SocketAddr,
    program: Option<&str>,
) -> Result<Duration, Report<LatencyError>> {
    let body: Value = json!({
        "model": "m",
        "messages": [{ "role": "user", "content": "hello" }],
        "max_tokens": 4,
    });
    let headers: Vec<(&str, &str)> =
        program.map(|program| ("Trefoil-Program", program)).into_iter().collect();
    let started = Instant::now();
    let path = "/v1/chat/completions";
    let reply = caller.send(address, Method::Post, path, &headers, Some(&body)).await;
    let reply = reply.change_context(LatencyError::Request)?;
    if !reply.is_success() {
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        return Err(Report::new(LatencyError::Request).attach(body));
    }
    Ok(started.elapsed())
}

/// Upper bound of the histograms, in microseconds; slower turns are clamped to it.
const MAX_TURN_US: u64 = 60_000_000;

fn histogram() -> Result<Histogram<u64>, Report<LatencyError>> {
    Histogram::new_with_bounds(1, MAX_TURN_US, 3).change_context(LatencyError::Request)
}

fn record_time(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    Percentiles {
        p50_us: histogram.value_at_quantile(0.50),
        p99_us: histogram.value_at_quantile(0.99),
        max_us: histogram.max(),
    }
}
