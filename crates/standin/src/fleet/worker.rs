//! Stand-in for a worker. It responds with a complete body or a stream of events, and records the
//! requests it has run.

use {
    super::{Body, Handler, Server, full_body, loopback, serve},
    bytes::Bytes,
    futures_lite::{StreamExt, stream},
    http::{HeaderMap, Request, Response, StatusCode},
    http_body_util::{BodyExt, StreamBody},
    hyper::body::Frame,
    serde_json::{Value, json},
    smol::{
        Timer,
        channel::{Receiver, Sender},
    },
    std::{
        collections::HashSet,
        io,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
        time::{Duration, Instant},
    },
};

/// Service of all workers.
pub const SERVICE: &str = "work";

/// Software version of a worker that is started without one.
const DEFAULT_VERSION: &str = "v1";

/// Number of events in a complete stream.
const STREAM_EVENTS: u64 = 6;

/// Pause between the events of a worker that has a version, so that faults can strike in between.
const EVENT_INTERVAL: Duration = Duration::from_millis(8);

/// Time between a stream's last bytes and the connection reset.
const CUT_DELAY: Duration = Duration::from_millis(30);

/// A fault of a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerFault {
    /// No fault.
    #[default]
    None,
    /// Refuses all requests without running them.
    RefusesAll,
    /// Refuses this many requests and accepts later ones.
    RefusesNext(usize),
    /// Runs requests and closes their connections without a response.
    DropsResponses,
    /// Responds with the id of another request.
    WrongRequestId,
    /// Omits the header `Trefoilring-Server-Stamp`.
    OmitsStamp,
    /// Cuts the next stream in the middle of the event that follows the one with this id. Later
    /// streams are complete.
    CutsOnceAfter(u64),
    /// Like [`Self::CutsOnceAfter`], and the resumed stream starts again from the first event.
    CutsOnceAndReplays(u64),
    /// Resumes streams from the first event.
    ReplaysFromStart,
    /// Cuts each stream that begins here in the middle of the event that follows the one with this
    /// id, and refuses to resume it. Streams that began elsewhere are resumed and complete.
    CutsOwnAfter(u64),
    /// Responds with status 500.
    InternalError,
    /// Takes this long for each request.
    Slow(Duration),
    /// Crashes as soon as it starts a request whose path or body contains this text. Takes the
    /// given time for other requests. The owner of the stand-in carries the crash out by dropping
    /// it, see [`WorkerStandin::crashed`].
    CrashesOn(&'static str, Duration),
}

/// A request that a worker has started to run.
#[derive(Clone, Debug)]
pub struct RecordedRequest {
    /// The id from the header `Trefoilring-Request-Id`.
    pub request_id: String,
    /// All headers.
    pub headers: HeaderMap,
    /// Method, path and query.
    pub request_line: String,
    /// The complete body.
    pub body: Bytes,
    /// When the worker started to run the request.
    pub started_at: Instant,
}

/// A worker on loopback.
pub struct WorkerStandin {
    /// Listening address.
    pub address: SocketAddr,
    worker: Arc<Worker>,
    crashes: Receiver<()>,
    server: Server,
}

struct Worker {
    id: String,
    version: String,
    /// Whether the events of streams name the version.
    marks_events: bool,
    state: Mutex<State>,
    crash_sender: Sender<()>,
}

#[derive(Default)]
struct State {
    fault: WorkerFault,
    runs: Vec<RecordedRequest>,
    /// Number of requests refused because of `RefusesAll` or `RefusesNext`.
    refusals: usize,
    /// Number of requests that ran to completion.
    finished: usize,
    /// Number of requests that were aborted while they ran.
    aborted: usize,
    /// Requests a second that the worker names as its limit.
    rate_limit: Option<f64>,
    /// Value of the header in which the worker says that it leaves, if it does.
    leaving: Option<&'static str>,
    /// When each request arrived, whether it was run or not.
    arrivals: Vec<Instant>,
    /// Ids of the requests whose streams began here and were cut by [`WorkerFault::CutsOwnAfter`].
    cut_streams: HashSet<String>,
}

impl State {
    /// Returns whether to refuse the next request. If so, counts the refusal.
    fn take_refusal(&mut self) -> bool {
        match &mut self.fault {
            WorkerFault::RefusesAll => {}
            WorkerFault::RefusesNext(requests) if *requests > 0 => *requests -= 1,
            _ => return false,
        }
        self.refusals += 1;
        true
    }
}

impl WorkerStandin {
    /// Starts a worker.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(id: &str) -> io::Result<Self> {
        Self::start_at(loopback::address().into(), id, None).await
    }

    /// Starts a worker whose software has a version. The events of its streams name the version, see
    /// [`event_versions`].
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start_version(id: &str, version: &str) -> io::Result<Self> {
        Self::start_at(loopback::address().into(), id, Some(version)).await
    }

    /// Starts a worker at a loopback address. The events of its streams name the version if there is one.
    pub(super) async fn start_at(
        address: IpAddr,
        id: &str,
        version: Option<&str>,
    ) -> io::Result<Self> {
        let (crash_sender, crashes) = smol::channel::bounded(1);
        let marks_events = version.is_some();
        let version = version.unwrap_or(DEFAULT_VERSION);
        let (id, version, state) = (id.into(), version.into(), Mutex::default());
        let worker = Arc::new(Worker { id, version, marks_events, state, crash_sender });
        let server = serve(address, worker.clone()).await?;
        Ok(Self { address: server.address, worker, crashes, server })
    }

    /// Returns the entry under which the worker registers in the store.
    pub fn entry(&self) -> Value {
        self.entry_with("ready")
    }

    /// Returns the entry of the worker once it is about to stop.
    pub fn draining_entry(&self) -> Value {
        self.entry_with("draining")
    }

    fn entry_with(&self, state: &str) -> Value {
        let mut entry = entry(self.address, state);
        entry["version"] = self.worker.version.as_str().into();
        entry
    }

    /// Waits until a request crashes the worker ([`WorkerFault::CrashesOn`]). The owner must then
    /// drop the stand-in, which closes its listener and all connections.
    pub async fn crashed(&self) {
        // The sender lives as long as the worker, so the channel is not closed.
        let _ = self.crashes.recv().await;
    }

    /// Returns a handle to the requests that the worker has started to run, which outlives it.
    pub(super) fn run_log(&self) -> RunLog {
        RunLog(self.worker.clone())
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: WorkerFault) {
        self.worker.lock().fault = fault;
    }

    /// Returns the requests that the worker has started to run, in order.
    pub fn runs(&self) -> Vec<RecordedRequest> {
        self.worker.lock().runs.clone()
    }

    /// Sets the limit that the worker names in its answers, in requests a second. It does not
    /// enforce the limit.
    pub fn set_rate_limit(&self, limit_per_s: Option<f64>) {
        self.worker.lock().rate_limit = limit_per_s;
    }

    /// Lets the worker say in all its answers that it leaves, with this value of the header. It goes on
    /// serving.
    pub fn set_leaving(&self, value: Option<&'static str>) {
        self.worker.lock().leaving = value;
    }

    /// Returns when each request arrived, in order.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.worker.lock().arrivals.clone()
    }

    /// Returns the number of connections that the worker has accepted.
    pub fn connections_accepted(&self) -> usize {
        self.server.accepted.load(Ordering::SeqCst)
    }

    /// Returns the number of requests refused because of `RefusesAll` or `RefusesNext`.
    pub fn refusals(&self) -> usize {
        self.worker.lock().refusals
    }

    /// Returns how many requests ran to completion, and how many were aborted.
    pub fn finished_and_aborted(&self) -> (usize, usize) {
        let state = self.worker.lock();
        (state.finished, state.aborted)
    }

    /// Returns the body of a complete stream.
    pub fn complete_stream() -> String {
        (1..=STREAM_EVENTS).map(event).collect()
    }
}

/// Returns the entry of a worker of [`SERVICE`] in the store.
pub fn entry(address: SocketAddr, state: &str) -> Value {
    json!({"service": SERVICE, "addr": address, "zone": "a", "version": DEFAULT_VERSION, "slots": 4,
           "state": state, "cold_left_ms": 0, "seq": 1})
}

/// The requests that a worker has started to run.
pub(super) struct RunLog(Arc<Worker>);

impl RunLog {
    pub(super) fn runs(&self) -> Vec<RecordedRequest> {
        self.0.lock().runs.clone()
    }

    pub(super) fn set_fault(&self, fault: WorkerFault) {
        self.0.lock().fault = fault;
    }

    pub(super) fn set_rate_limit(&self, limit_per_s: Option<f64>) {
        self.0.lock().rate_limit = limit_per_s;
    }
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn marked_event(id: u64, version: &str) -> String {
    format!("id: {id}\ndata: piece {id} of {version}\n\n")
}

/// Returns the id of each event of a stream, with the version of the worker that made it.
pub fn event_versions(stream: &str) -> Vec<(u64, &str)> {
    let events = stream.split_terminator("\n\n").filter_map(|event| {
        let (id, data) = event.strip_prefix("id: ")?.split_once('\n')?;
        Some((id.parse().ok()?, data.rsplit_once(" of ")?.1))
    });
    events.collect()
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl Worker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn response_builder(&self, request_id: &str, status: StatusCode) -> http::response::Builder {
        let response = Response::builder()
            .status(status)
            .header("Trefoilring-Request-Id", request_id)
            // Running requests, waiting requests and slots.
            .header("Trefoilring-Server-Load", "1,0,4");
        let state = self.lock();
        let response = match state.rate_limit {
            Some(limit_per_s) => response.header("Server-Limit", limit_per_s.to_string()),
            None => response,
        };
        match state.leaving {
            Some(value) => response.header("Server-Leaving", value),
            None => response,
        }
    }
}

/// Counts a request as finished, or as aborted if dropped before [`Self::finish`].
struct RunGuard<'a> {
    worker: &'a Worker,
    is_finished: bool,
}

impl RunGuard<'_> {
    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.worker.lock();
        match self.is_finished {
            true => state.finished += 1,
            false => state.aborted += 1,
        }
    }
}

impl Handler for Worker {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Option<Response<Body>> {
        self.lock().arrivals.push(Instant::now());
        let (head, body) = request.into_parts();
        let id = header(&head.headers, "trefoilring-request-id").unwrap_or_default().to_string();
        let expected = header(&head.headers, "trefoilring-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return self
                .response_builder(&id, StatusCode::MISDIRECTED_REQUEST)
                .body(full_body(""))
                .ok();
        }
        let fault = self.lock().fault;
        if self.lock().take_refusal() {
            let response = self.response_builder(&id, StatusCode::SERVICE_UNAVAILABLE);
            return response.header("Trefoilring-Not-Executed", "1").body(full_body("")).ok();
        }
        if self.lock().cut_streams.contains(&id)
            || header(&head.headers, "resumes")
                .is_some_and(|begun| self.lock().cut_streams.contains(begun))
        {
            let response = self.response_builder(&id, StatusCode::SERVICE_UNAVAILABLE);
            return response.header("Trefoilring-Not-Executed", "1").body(full_body("")).ok();
        }
        let request_line = format!("{} {}", head.method, head.uri);
        let last_event_id: Option<u64> = header(&head.headers, "last-event-id")
            .and_then(|last_event_id| last_event_id.parse().ok());
        // A request with this header, a forecast of its tokens, counts as a turn, whose response is
        // a stream.
        let is_stream = head.headers.contains_key("trefoilring-token-usage");
        let crashes_worker = matches!(fault, WorkerFault::CrashesOn(text, _)
            if request_line.contains(text) || String::from_utf8_lossy(&body).contains(text));
        self.lock().runs.push(RecordedRequest {
            request_id: id.clone(),
            headers: head.headers,
            request_line,
            body: body.clone(),
            started_at: Instant::now(),
        });
        let mut response = self.response_builder(&id, StatusCode::OK);
        let guard = RunGuard { worker: &self, is_finished: false };
        match fault {
            WorkerFault::DropsResponses => return None,
            WorkerFault::WrongRequestId => {
                response = self.response_builder("another", StatusCode::OK)
            }
            WorkerFault::InternalError => {
                response = self.response_builder(&id, StatusCode::INTERNAL_SERVER_ERROR);
            }
            WorkerFault::CrashesOn(..) if crashes_worker => {
                // A second crashing request before the stand-in is dropped changes nothing.
                let _ = self.crash_sender.try_send(());
                std::future::pending::<()>().await;
            }
            WorkerFault::Slow(time) | WorkerFault::CrashesOn(_, time) => {
                Timer::after(time).await;
            }
            _ => {}
        }
        guard.finish();
        if fault != WorkerFault::OmitsStamp {
            response = response.header("Trefoilring-Server-Stamp", format!("stamp-{}", self.id));
        }
        if !is_stream {
            return response.body(full_body(format!("served by {}", self.id))).ok();
        }
        let cut_after = match fault {
            WorkerFault::CutsOnceAfter(event) => {
                self.lock().fault = WorkerFault::None;
                Some(event)
            }
            WorkerFault::CutsOnceAndReplays(event) => {
                self.lock().fault = WorkerFault::ReplaysFromStart;
                Some(event)
            }
            WorkerFault::CutsOwnAfter(event) if last_event_id.is_none() => {
                self.lock().cut_streams.insert(id.clone());
                Some(event)
            }
            _ => None,
        };
        let last_event_id = last_event_id.filter(|_| fault != WorkerFault::ReplaysFromStart);
        let response = response.header("Content-Type", "text/event-stream");
        response.body(self.events(last_event_id.unwrap_or(0), cut_after)).ok()
    }
}

impl Worker {
    /// Returns the events after `after`. With `cut_after`, the stream ends with an error in the
    /// middle of the event after that one.
    fn events(&self, after: u64, cut_after: Option<u64>) -> Body {
        let is_paced = self.marks_events;
        let version = self.marks_events.then(|| self.version.clone());
        let event = move |id| version.as_ref().map_or_else(|| event(id), |v| marked_event(id, v));
        let next = move |id: u64| {
            let event = event(id);
            let pause = (is_paced && id > after + 1).then_some(EVENT_INTERVAL);
            async move {
                if let Some(pause) = pause {
                    Timer::after(pause).await;
                }
                let text = match cut_after {
                    Some(cut) if id > cut + 1 => return None,
                    // The first bytes of the event, without its end.
                    Some(cut) if id == cut + 1 => event[..8].to_string(),
                    _ if id > STREAM_EVENTS => return None,
                    _ => event,
                };
                Some((Ok(Frame::data(Bytes::from(text))), id + 1))
            }
        };
        let sent = stream::unfold(after + 1, next);
        let broken = stream::iter(cut_after).then(|_| async {
            // Leaves time for the previous frames to be sent.
            Timer::after(CUT_DELAY).await;
            Err(io::Error::from(io::ErrorKind::ConnectionReset))
        });
        BodyExt::boxed(StreamBody::new(sent.chain(broken)))
    }
}
