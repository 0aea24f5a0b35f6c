//! Stand-in for tool and plain services. Counts the requests it ran, to detect duplicates.

use {
    crate::{
        faults::Faults,
        request::{ErrorResponse, ReceivedRequest, error_response, json_response},
        server::{RequestHandler, RunningStandin, ServerOptions, start as serve},
    },
    http_types::{Response, StatusCode},
    smol::Timer,
    std::{
        collections::BTreeMap,
        io,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Body size limit.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Settings of the tool stand-in.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Address and initial faults.
    pub server: ServerOptions,
    /// Time between a run's effect and its response.
    pub run_time: Duration,
}

/// Counters of runs since the start.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Runs {
    /// All runs.
    pub total: u64,
    /// Runs without `Idempotency-Key`.
    pub without_key: u64,
    /// Runs by `Idempotency-Key`.
    pub by_key: BTreeMap<String, u64>,
    /// Runs by [`fingerprint`] of method, path and body.
    pub by_fingerprint: BTreeMap<String, u64>,
    /// Requests refused because the epoch in `Fencing-Epoch` was missing or below the highest
    /// received.
    pub fenced: u64,
}

impl Runs {
    /// Returns the keys that ran more than once.
    pub fn duplicates(&self) -> Vec<&str> {
        let more = self.by_key.iter().filter(|(_, count)| **count > 1);
        more.map(|(key, _)| &**key).collect()
    }

    /// Returns how often requests with a [`fingerprint`] ran.
    pub fn count_of(&self, fingerprint: &str) -> u64 {
        self.by_fingerprint.get(fingerprint).copied().unwrap_or_default()
    }
}

/// A tool stand-in.
#[derive(Debug)]
pub struct ToolStandin {
    state: Mutex<State>,
    run_time: Duration,
}

#[derive(Debug, Default)]
struct State {
    runs: Runs,
    /// The highest epoch received, by the part of the idempotency key before the first slash.
    epochs: BTreeMap<String, u64>,
}

/// The response to a run.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RunResponse {
    /// Number of this run, counted from 1.
    pub run: u64,
    /// The `Idempotency-Key` of the request.
    pub key: Option<String>,
    /// The [`fingerprint`] of the request.
    pub fingerprint: String,
}

/// Returns a hash that identifies a request by its content: lower-case hexadecimal BLAKE3 of
/// method, path with query and without leading slashes, and body, each terminated by a zero byte.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.trim_start_matches('/').as_bytes(), body] {
        hasher.update(part).update(&[0]);
    }
    hasher.finalize().to_hex().to_string()
}

/// Starts the tool and its HTTP server.
pub fn start(options: Options) -> io::Result<RunningStandin<ToolStandin>> {
    let service = ToolStandin { state: Mutex::default(), run_time: options.run_time };
    serve(service, options.server)
}

impl ToolStandin {
    /// Returns the counters of runs.
    pub fn runs(&self) -> Runs {
        self.state().runs.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request as run. This is the effect that the stand-in emulates.
    fn run(
        &self,
        request: &ReceivedRequest,
        checks_fencing: bool,
    ) -> Result<RunResponse, ErrorResponse> {
        let epoch = request.header_number("fencing-epoch")?;
        let key = request.header("idempotency-key").map(str::to_owned);
        let mut state = self.state();
        if checks_fencing && !state.accept_epoch(key.as_deref().unwrap_or_default(), epoch) {
            state.runs.fenced += 1;
            return Err(error_response(409, "old fencing number"));
        }
        let path = match request.url.query() {
            Some(query) => format!("{}?{query}", request.path()),
            None => request.path().to_owned(),
        };
        let fingerprint = fingerprint(&request.method, &path, &request.body);
        state.runs.record(key.as_deref(), &fingerprint);
        Ok(RunResponse { run: state.runs.total, key, fingerprint })
    }
}

impl State {
    /// Records an epoch and returns whether it is current: at least the highest so far. A missing
    /// epoch is never current.
    fn accept_epoch(&mut self, key: &str, epoch: Option<u64>) -> bool {
        let Some(epoch) = epoch else { return false };
        let scope = key.split('/').next().unwrap_or_default();
        let highest = self.epochs.entry(scope.into()).or_default();
        let is_current = epoch >= *highest;
        *highest = epoch.max(*highest);
        is_current
    }
}

impl Runs {
    fn record(&mut self, key: Option<&str>, fingerprint: &str) {
        self.total += 1;
        match key {
            Some(key) => *self.by_key.entry(key.into()).or_default() += 1,
            None => self.without_key += 1,
        }
        *self.by_fingerprint.entry(fingerprint.into()).or_default() += 1;
    }
}

impl RequestHandler for ToolStandin {
    fn max_body_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }

    async fn handle(&self, request: ReceivedRequest, faults: &Faults) -> Response {
        let run_response = match self.run(&request, faults.checks_fencing) {
            Ok(run_response) => run_response,
            Err(refused) => return refused.into(),
        };
        if !self.run_time.is_zero() {
            Timer::after(self.run_time).await;
        }
        let mut response = json_response(&run_response);
        if request.method == "POST" {
            response.set_status(StatusCode::Created);
        }
        response
    }

    fn handle_control(&self, request: &ReceivedRequest) -> Option<Response> {
        let is_runs = request.method == "GET" && request.path() == "/standin/runs";
        is_runs.then(|| json_response(&self.runs()))
    }
}
