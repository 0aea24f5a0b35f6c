//! Stand-in for tool and plain services: it counts what it ran, so that a duplicate shows.

use {
    crate::{
        faults::Faults,
        request::{Received, Refused, json_response, refused},
        server::{Running, ServerOptions, Service, start as serve},
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

/// The largest body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// How the stand-in behaves.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Where and how it serves.
    pub server: ServerOptions,
    /// Time that a run takes after its effect.
    pub run_time: Duration,
}

/// What ran so far.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Runs {
    /// All runs.
    pub total: u64,
    /// Runs without `Idempotency-Key`.
    pub without_key: u64,
    /// Runs by `Idempotency-Key`.
    pub by_key: BTreeMap<String, u64>,
    /// Runs by fingerprint of method, path and body.
    pub by_fingerprint: BTreeMap<String, u64>,
    /// Requests refused for an old fencing number.
    pub fenced: u64,
}

impl Runs {
    /// Keys that ran more than once.
    pub fn duplicates(&self) -> Vec<&str> {
        let more = self.by_key.iter().filter(|(_, count)| **count > 1);
        more.map(|(key, _)| &**key).collect()
    }

    /// How often requests with a fingerprint ran; see [`fingerprint`].
    pub fn of(&self, fingerprint: &str) -> u64 {
        self.by_fingerprint.get(fingerprint).copied().unwrap_or_default()
    }
}

/// The stand-in.
#[derive(Debug)]
pub struct Tool {
    state: Mutex<State>,
    run_time: Duration,
}

#[derive(Debug, Default)]
struct State {
    runs: Runs,
    /// The highest epoch seen, by the part of the key before the first slash.
    epochs: BTreeMap<String, u64>,
}

/// The answer to a run.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RunAnswer {
    /// Counts runs of this stand-in.
    pub run: u64,
    /// The key that came.
    pub key: Option<String>,
    /// The fingerprint.
    pub fingerprint: String,
}

/// Returns what names a request by its content: lower-case hexadecimal BLAKE3 of method, path with
/// query and without the leading slash, and body, each ended by a zero byte.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.trim_start_matches('/').as_bytes(), body] {
        hasher.update(part).update(&[0]);
    }
    hasher.finalize().to_hex().to_string()
}

/// Starts the stand-in.
pub fn start(options: Options) -> io::Result<Running<Tool>> {
    let service = Tool { state: Mutex::default(), run_time: options.run_time };
    serve(service, options.server)
}

impl Tool {
    /// What ran so far.
    pub fn runs(&self) -> Runs {
        self.state().runs.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a request at once: this is the effect.
    fn run(&self, request: &Received, checks_fencing: bool) -> Result<RunAnswer, Refused> {
        let epoch = request.number_header("fencing-epoch")?;
        let key = request.header("idempotency-key").map(str::to_owned);
        let mut state = self.state();
        if checks_fencing && !state.admits(key.as_deref().unwrap_or_default(), epoch) {
            state.runs.fenced += 1;
            return Err(refused(409, "old fencing number"));
        }
        let path = match request.url.query() {
            Some(query) => format!("{}?{query}", request.path()),
            None => request.path().to_owned(),
        };
        let fingerprint = fingerprint(&request.method, &path, &request.body);
        state.runs.record(key.as_deref(), &fingerprint);
        Ok(RunAnswer { run: state.runs.total, key, fingerprint })
    }
}

impl State {
    /// Takes the epoch in and returns whether it is not an old one. A service that checks refuses a
    /// call without an epoch too.
    fn admits(&mut self, key: &str, epoch: Option<u64>) -> bool {
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

impl Service for Tool {
    fn max_body_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }

    async fn handle(&self, request: Received, faults: &Faults) -> Response {
        let answer = match self.run(&request, faults.checks_fencing) {
            Ok(answer) => answer,
            Err(refused) => return refused.into(),
        };
        if !self.run_time.is_zero() {
            Timer::after(self.run_time).await;
        }
        let mut response = json_response(&answer);
        if request.method == "POST" {
            response.set_status(StatusCode::Created);
        }
        response
    }

    fn control(&self, request: &Received) -> Option<Response> {
        let is_runs = request.method == "GET" && request.path() == "/standin/runs";
        is_runs.then(|| json_response(&self.runs()))
    }
}
