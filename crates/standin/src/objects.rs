//! Stand-in for the platform's Object API.

mod store;

use {
    crate::{
        faults::Faults,
        request::{Received, Refused, empty_response, json_response, refused, text_response},
        server::{Running, ServerOptions, Service, start as serve},
        signal::Signal,
    },
    http_types::{Body, Response},
    smol::{Timer, future::FutureExt},
    std::{
        io,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    store::{Change, Store},
};

/// The largest value.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// The most keys that one list answers.
const MAX_LISTED: u64 = 10_000;
/// The longest wait of a watch.
const MAX_WATCH_MS: u64 = 60_000;

/// How the stand-in behaves.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Where and how it serves.
    pub server: ServerOptions,
    /// Reads a second before 429; 0 for no limit.
    pub reads_per_s: u32,
    /// Writes a second before 429; 0 for no limit.
    pub writes_per_s: u32,
}

/// Calls so far. A call that was refused by the rate limit counts in its kind too.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Counts {
    /// Gets and lists.
    pub reads: u64,
    /// Puts and deletes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Puts and deletes that met another version.
    pub conflicts: u64,
    /// Calls over the rate limit.
    pub limited: u64,
    /// Objects at present.
    pub objects: u64,
    /// Bytes of all values at present.
    pub bytes: u64,
}

/// The stand-in.
#[derive(Debug)]
pub struct Objects {
    state: Mutex<State>,
    changed: Signal,
}

#[derive(Debug)]
struct State {
    store: Store,
    counts: Counts,
    reads: Limit,
    writes: Limit,
}

/// A bucket that holds one second's calls.
#[derive(Debug)]
struct Limit {
    per_s: u32,
    tokens: f64,
    at: Instant,
}

impl Limit {
    fn new(per_s: u32) -> Self {
        Self { per_s, tokens: per_s.into(), at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        if self.per_s == 0 {
            return true;
        }
        let now = Instant::now();
        let rate = f64::from(self.per_s);
        self.tokens = (self.tokens + (now - self.at).as_secs_f64() * rate).min(rate);
        self.at = now;
        let has_token = self.tokens >= 1.0;
        self.tokens -= if has_token { 1.0 } else { 0.0 };
        has_token
    }
}

/// Starts the stand-in.
pub fn start(options: Options) -> io::Result<Running<Objects>> {
    let state = State {
        store: Store::default(),
        counts: Counts::default(),
        reads: Limit::new(options.reads_per_s),
        writes: Limit::new(options.writes_per_s),
    };
    let service = Objects { state: Mutex::new(state), changed: Signal::default() };
    serve(service, options.server)
}

impl Objects {
    /// Calls so far.
    pub fn counts(&self) -> Counts {
        let state = self.state();
        let (objects, bytes) = state.store.size();
        Counts { objects, bytes, ..state.counts }
    }

    /// Reads an object without counting a call.
    pub fn peek(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        self.state().store.get(key).map(|object| (object.version, object.value.to_vec()))
    }

    /// Lists the keys under a prefix without counting a call.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let listed = self.state().store.list(prefix, "", usize::MAX);
        listed.into_iter().map(|listed| listed.key).collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self, request: &Received) -> Result<Response, Refused> {
        let mut state = self.state();
        state.counts.reads += 1;
        if !state.reads.take() {
            return Err(limited(&mut state).into());
        }
        match request.path().strip_prefix("/v1/objects/") {
            Some(_) => read_object(&state.store, &key_of(request)?),
            None => list(&state.store, request),
        }
    }

    fn write(&self, request: Received) -> Result<Response, Refused> {
        let key = key_of(&request)?;
        let if_version = request
            .number_header("if-version")?
            .ok_or_else(|| refused(400, "If-Version is missing"))?;
        let mut state = self.state();
        state.counts.writes += 1;
        if !state.writes.take() {
            return Err(limited(&mut state).into());
        }
        let (is_put, change) = match &*request.method {
            "PUT" => (true, state.store.put(&key, if_version, request.body)),
            _ => (false, state.store.delete(&key, if_version)),
        };
        match change {
            Change::Applied { version } => {
                self.changed.notify();
                let response = empty_response(if is_put { 200 } else { 204 });
                Ok(with_version(response, version))
            }
            Change::Absent if !is_put => Ok(empty_response(404)),
            Change::Absent => Ok(conflict(&mut state, 0)),
            Change::Conflict { present } => Ok(conflict(&mut state, present)),
        }
    }

    async fn watch(&self, request: &Received) -> Result<Response, Refused> {
        let since = request.number("since", 0)?;
        let wait = Duration::from_millis(request.number("wait_ms", 0)?.min(MAX_WATCH_MS));
        let prefix = request.query("prefix").unwrap_or_default();
        self.state().counts.watches += 1;
        self.state().counts.waiting += 1;
        let _waiting = Waiting(self);
        let expired = async {
            Timer::after(wait).await;
        };
        let gone = request.peer.closed();
        self.until_newer(&prefix, since).or(expired).or(gone).await;
        let state = self.state();
        let (revision, changes) = (state.store.revision(), state.store.changes(&prefix, since));
        Ok(json_response(&trefoilring_clients::WatchReply { revision, changes }))
    }

    async fn until_newer(&self, prefix: &str, since: u64) {
        loop {
            let changed = self.changed.listen();
            if self.state().store.is_newer(prefix, since) {
                return;
            }
            changed.recv().await.ok();
        }
    }
}

/// Counts a watch as waiting until it is dropped.
struct Waiting<'a>(&'a Objects);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.state().counts.waiting -= 1;
    }
}

impl Service for Objects {
    fn max_body_bytes(&self) -> usize {
        MAX_VALUE_BYTES
    }

    async fn handle(&self, request: Received, _: &Faults) -> Response {
        let answered = match (&*request.method, request.path()) {
            ("GET", "/v1/watch") => self.watch(&request).await,
            ("GET", "/v1/list") => self.read(&request),
            ("GET", path) if path.starts_with("/v1/objects/") => self.read(&request),
            ("PUT" | "DELETE", path) if path.starts_with("/v1/objects/") => self.write(request),
            _ => Err(refused(404, "no such call")),
        };
        answered.unwrap_or_else(Refused::into)
    }

    fn control(&self, request: &Received) -> Option<Response> {
        let is_counts = request.method == "GET" && request.path() == "/standin/counts";
        is_counts.then(|| json_response(&self.counts()))
    }
}

fn read_object(store: &Store, key: &str) -> Result<Response, Refused> {
    let object = store.get(key).ok_or_else(|| empty_response(404))?;
    let mut response = empty_response(200);
    response.set_body(Body::from_bytes(object.value.to_vec()));
    Ok(with_version(response, object.version))
}

fn list(store: &Store, request: &Received) -> Result<Response, Refused> {
    let limit = request.number("limit", MAX_LISTED)?.min(MAX_LISTED);
    let (prefix, after) = (request.query("prefix"), request.query("after"));
    let keys = store.list(
        &prefix.unwrap_or_default(),
        &after.unwrap_or_default(),
        usize::try_from(limit).unwrap_or(usize::MAX),
    );
    Ok(json_response(&serde_json::json!({ "keys": keys })))
}

/// Returns the decoded key that a path names.
fn key_of(request: &Received) -> Result<String, Refused> {
    let encoded = request.path().strip_prefix("/v1/objects/").unwrap_or_default();
    let bad = || refused(400, format!("{encoded:?} is not an object key"));
    let key = decode(encoded).ok_or_else(bad)?;
    if key.is_empty() { Err(bad()) } else { Ok(key) }
}

/// Decodes percent encoding; `None` where it is malformed.
fn decode(text: &str) -> Option<String> {
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

fn conflict(state: &mut State, present: u64) -> Response {
    state.counts.conflicts += 1;
    with_version(empty_response(409), present)
}

fn limited(state: &mut State) -> Response {
    state.counts.limited += 1;
    let mut response = text_response(429, "over the rate");
    response.insert_header("retry-after", "1");
    response
}
