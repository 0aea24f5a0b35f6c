//! Stand-in for the platform's Object API.

mod store;

use {
    crate::{
        change_notifier::ChangeNotifier,
        faults::Faults,
        request::{
            ErrorResponse, ReceivedRequest, empty_response, error_response, json_response,
            text_response,
        },
        server::{RequestHandler, RunningStandin, ServerOptions, start as serve},
    },
    http_types::{Body, Response},
    smol::{Timer, future::FutureExt},
    std::{
        io,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    store::{ChangeOutcome, Store},
};

/// Maximum size of a value.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Maximum number of keys in one list response.
const MAX_LISTED: u64 = 10_000;
/// Maximum wait of a watch.
const MAX_WATCH_MS: u64 = 60_000;

/// Settings of the Object API stand-in.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Address and initial faults.
    pub server: ServerOptions,
    /// Maximum reads per second; further reads get 429. 0 for no limit.
    pub reads_per_s: u32,
    /// Maximum writes per second; further writes get 429. 0 for no limit.
    pub writes_per_s: u32,
}

/// Counters since the start. A call over the rate limit also counts as a read or write.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Counts {
    /// Gets and lists.
    pub reads: u64,
    /// Puts and deletes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Watches that are waiting at present.
    pub waiting: u64,
    /// Puts and deletes refused because the object's version differed from `If-Version`.
    pub conflicts: u64,
    /// Calls refused by the rate limit.
    pub limited: u64,
    /// Objects stored at present.
    pub objects: u64,
    /// Total size of all values at present.
    pub bytes: u64,
}

/// An Object API stand-in.
#[derive(Debug)]
pub struct ObjectsStandin {
    state: Mutex<State>,
    changed: ChangeNotifier,
}

#[derive(Debug)]
struct State {
    store: Store,
    counts: Counts,
    reads: RateLimit,
    writes: RateLimit,
}

/// A token bucket with a burst of one second's calls.
#[derive(Debug)]
struct RateLimit {
    per_s: u32,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    fn new(per_s: u32) -> Self {
        Self { per_s, tokens: per_s.into(), refilled_at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        if self.per_s == 0 {
            return true;
        }
        let now = Instant::now();
        let rate = f64::from(self.per_s);
        self.tokens = (self.tokens + (now - self.refilled_at).as_secs_f64() * rate).min(rate);
        self.refilled_at = now;
        let has_token = self.tokens >= 1.0;
        self.tokens -= if has_token { 1.0 } else { 0.0 };
        has_token
    }
}

/// Starts an empty store and its HTTP server.
pub fn start(options: Options) -> io::Result<RunningStandin<ObjectsStandin>> {
    let state = State {
        store: Store::default(),
        counts: Counts::default(),
        reads: RateLimit::new(options.reads_per_s),
        writes: RateLimit::new(options.writes_per_s),
    };
    let service = ObjectsStandin { state: Mutex::new(state), changed: ChangeNotifier::default() };
    serve(service, options.server)
}

impl ObjectsStandin {
    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        let state = self.state();
        let (objects, bytes) = state.store.size();
        Counts { objects, bytes, ..state.counts }
    }

    /// Returns an object's version and value, without counting this as a call.
    pub fn peek(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        self.state().store.get(key).map(|object| (object.version, object.value.to_vec()))
    }

    /// Returns the keys that start with a prefix, without counting this as a call.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let entries = self.state().store.list(prefix, "", usize::MAX);
        entries.into_iter().map(|entry| entry.key).collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self, request: &ReceivedRequest) -> Result<Response, ErrorResponse> {
        let mut state = self.state();
        state.counts.reads += 1;
        if !state.reads.take() {
            return Err(rate_limited_response(&mut state).into());
        }
        match request.path().strip_prefix("/v1/objects/") {
            Some(_) => read_object(&state.store, &parse_key(request)?),
            None => list(&state.store, request),
        }
    }

    fn write(&self, request: ReceivedRequest) -> Result<Response, ErrorResponse> {
        let key = parse_key(&request)?;
        let if_version = request
            .header_number("if-version")?
            .ok_or_else(|| error_response(400, "If-Version is missing"))?;
        let mut state = self.state();
        state.counts.writes += 1;
        if !state.writes.take() {
            return Err(rate_limited_response(&mut state).into());
        }
        let (is_put, change) = match &*request.method {
            "PUT" => (true, state.store.put(&key, if_version, request.body)),
            _ => (false, state.store.delete(&key, if_version)),
        };
        match change {
            ChangeOutcome::Applied { version } => {
                self.changed.notify();
                let response = empty_response(if is_put { 200 } else { 204 });
                Ok(with_version(response, version))
            }
            ChangeOutcome::Absent if !is_put => Ok(empty_response(404)),
            ChangeOutcome::Absent => Ok(conflict_response(&mut state, 0)),
            ChangeOutcome::Conflict { current } => Ok(conflict_response(&mut state, current)),
        }
    }

    async fn watch(&self, request: &ReceivedRequest) -> Result<Response, ErrorResponse> {
        let since = request.query_number("since", 0)?;
        let wait = Duration::from_millis(request.query_number("wait_ms", 0)?.min(MAX_WATCH_MS));
        let prefix = request.query_param("prefix").unwrap_or_default();
        self.state().counts.watches += 1;
        self.state().counts.waiting += 1;
        let _waiting = WaitingWatch(self);
        let expired = async {
            Timer::after(wait).await;
        };
        let disconnected = request.connection.closed();
        self.wait_for_change(&prefix, since).or(expired).or(disconnected).await;
        let state = self.state();
        let (revision, changes) = (state.store.revision(), state.store.changes(&prefix, since));
        Ok(json_response(&trefoilring_clients::WatchReply { revision, changes }))
    }

    async fn wait_for_change(&self, prefix: &str, since: u64) {
        loop {
            let changed = self.changed.listen();
            if self.state().store.has_changes_since(prefix, since) {
                return;
            }
            changed.recv().await.ok();
        }
    }
}

/// Counts a watch as waiting until dropped.
struct WaitingWatch<'a>(&'a ObjectsStandin);

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.state().counts.waiting -= 1;
    }
}

impl RequestHandler for ObjectsStandin {
    fn max_body_bytes(&self) -> usize {
        MAX_VALUE_BYTES
    }

    async fn handle(&self, request: ReceivedRequest, _: &Faults) -> Response {
        let result = match (&*request.method, request.path()) {
            ("GET", "/v1/watch") => self.watch(&request).await,
            ("GET", "/v1/list") => self.read(&request),
            ("GET", path) if path.starts_with("/v1/objects/") => self.read(&request),
            ("PUT" | "DELETE", path) if path.starts_with("/v1/objects/") => self.write(request),
            _ => Err(error_response(404, "no such call")),
        };
        result.unwrap_or_else(ErrorResponse::into)
    }

    fn handle_control(&self, request: &ReceivedRequest) -> Option<Response> {
        let is_counts = request.method == "GET" && request.path() == "/standin/counts";
        is_counts.then(|| json_response(&self.counts()))
    }
}

fn read_object(store: &Store, key: &str) -> Result<Response, ErrorResponse> {
    let object = store.get(key).ok_or_else(|| empty_response(404))?;
    let mut response = empty_response(200);
    response.set_body(Body::from_bytes(object.value.to_vec()));
    Ok(with_version(response, object.version))
}

fn list(store: &Store, request: &ReceivedRequest) -> Result<Response, ErrorResponse> {
    let limit = request.query_number("limit", MAX_LISTED)?.min(MAX_LISTED);
    let (prefix, after) = (request.query_param("prefix"), request.query_param("after"));
    let keys = store.list(
        &prefix.unwrap_or_default(),
        &after.unwrap_or_default(),
        usize::try_from(limit).unwrap_or(usize::MAX),
    );
    Ok(json_response(&serde_json::json!({ "keys": keys })))
}

/// Returns the decoded object key of a request's path.
fn parse_key(request: &ReceivedRequest) -> Result<String, ErrorResponse> {
    let encoded = request.path().strip_prefix("/v1/objects/").unwrap_or_default();
    let invalid = || error_response(400, format!("{encoded:?} is not an object key"));
    let key = percent_decode(encoded).ok_or_else(invalid)?;
    if key.is_empty() { Err(invalid()) } else { Ok(key) }
}

/// Decodes percent encoding. Returns `None` if it is malformed.
fn percent_decode(text: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digit = |byte: Option<u8>| char::from(byte?).to_digit(16);
        let (high, low) = (digit(bytes.next())?, digit(bytes.next())?);
        decoded.push(u8::try_from(high * 16 + low).ok()?);
    }
    String::from_utf8(decoded).ok()
}

fn with_version(mut response: Response, version: u64) -> Response {
    response.insert_header("object-version", version.to_string());
    response
}

fn conflict_response(state: &mut State, current: u64) -> Response {
    state.counts.conflicts += 1;
    with_version(empty_response(409), current)
}

fn rate_limited_response(state: &mut State) -> Response {
    state.counts.limited += 1;
    let mut response = text_response(429, "over the rate");
    response.insert_header("retry-after", "1");
    response
}
