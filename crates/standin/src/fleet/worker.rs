//! Stand-in for a worker. It responds with a complete body or a stream of events, and records the
//! requests it has run.

use {
    super::{Body, Handler, full_body, serve},
    bytes::Bytes,
    futures_lite::{StreamExt, stream},
    http::{HeaderMap, Request, Response, StatusCode},
    http_body_util::{BodyExt, StreamBody},
    hyper::body::Frame,
    smol::{Task, Timer},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Number of events in a complete stream.
const STREAM_EVENTS: u64 = 6;

/// Time between a stream's last bytes and the connection reset.
const CUT_DELAY: Duration = Duration::from_millis(30);

/// A fault of a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerFault {
    /// No fault.
    #[default]
    None,
    /// Refuses all requests without running them.
    Full,
    /// Refuses this many requests and accepts later ones.
    FullFor(usize),
    /// Runs requests and closes their connections without a response.
    LosesAnswers,
    /// Responds with the id of another request.
    WrongRequestId,
    /// Responds without its signature.
    Unsigned,
    /// Cuts the next stream in the middle of the event after this one. Later streams are complete.
    CutsOnceAfter(u64),
    /// Like [`Self::CutsOnceAfter`], and the resumed stream starts again from the first event.
    CutsOnceAndReplays(u64),
    /// Resumes streams from the first event.
    ReplaysFromStart,
    /// Responds with status 500.
    Errors,
    /// Takes this long for each request.
    Slow(Duration),
}

/// A request that a worker has started to run.
#[derive(Clone, Debug)]
pub struct RecordedRequest {
    /// The id from the header `Trefoilring-Request-Id`.
    pub request: String,
    /// All headers.
    pub headers: HeaderMap,
    /// Method, path and query.
    pub target: String,
    /// The complete body.
    pub body: Bytes,
}

/// A worker on loopback.
pub struct WorkerStandIn {
    /// Listening address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _task: Task<()>,
}

struct Shared {
    id: String,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    fault: WorkerFault,
    runs: Vec<RecordedRequest>,
    /// Number of requests refused because of a `Full` or `FullFor` fault.
    refusals: usize,
    /// Number of requests that ran to completion.
    finished: usize,
    /// Number of requests that were aborted while they ran.
    aborted: usize,
}

impl State {
    /// Returns whether the worker is full. If so, counts the refusal.
    fn refuses(&mut self) -> bool {
        match &mut self.fault {
            WorkerFault::Full => {}
            WorkerFault::FullFor(requests) if *requests > 0 => *requests -= 1,
            _ => return false,
        }
        self.refusals += 1;
        true
    }
}

impl WorkerStandIn {
    /// Starts a worker.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(id: &str) -> io::Result<Self> {
        let shared = Arc::new(Shared { id: id.into(), state: Mutex::default() });
        let (address, task) = serve(shared.clone()).await?;
        Ok(Self { address, shared, _task: task })
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: WorkerFault) {
        self.shared.lock().fault = fault;
    }

    /// Returns the requests that the worker has started to run, in order.
    pub fn runs(&self) -> Vec<RecordedRequest> {
        self.shared.lock().runs.clone()
    }

    /// Returns the number of requests refused because the worker was full.
    pub fn refusals(&self) -> usize {
        self.shared.lock().refusals
    }

    /// Returns how many requests ran to completion, and how many were aborted before.
    pub fn finished_and_aborted(&self) -> (usize, usize) {
        let state = self.shared.lock();
        (state.finished, state.aborted)
    }

    /// Returns the body of a complete stream.
    pub fn complete_stream() -> String {
        (1..=STREAM_EVENTS).map(event).collect()
    }
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn head(&self, request: &str, status: StatusCode) -> http::response::Builder {
        Response::builder()
            .status(status)
            .header("Trefoilring-Request-Id", request)
            .header("Trefoilring-Server-Load", "1,0,4")
    }
}

/// Counts a request as finished, or as aborted if dropped before [`Self::finish`].
struct RunGuard<'a> {
    shared: &'a Shared,
    is_finished: bool,
}

impl RunGuard<'_> {
    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        match self.is_finished {
            true => state.finished += 1,
            false => state.aborted += 1,
        }
    }
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Option<Response<Body>> {
        let (head, body) = request.into_parts();
        let id = header(&head.headers, "trefoilring-request-id").unwrap_or_default().to_string();
        let expected = header(&head.headers, "trefoilring-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return self.head(&id, StatusCode::MISDIRECTED_REQUEST).body(full_body("")).ok();
        }
        let fault = self.lock().fault;
        if self.lock().refuses() {
            let answer = self.head(&id, StatusCode::SERVICE_UNAVAILABLE);
            return answer.header("Trefoilring-Not-Executed", "1").body(full_body("")).ok();
        }
        let target = format!("{} {}", head.method, head.uri);
        let last = header(&head.headers, "last-event-id").and_then(|last| last.parse().ok());
        let is_stream = head.headers.contains_key("trefoilring-token-usage");
        self.lock().runs.push(RecordedRequest {
            request: id.clone(),
            headers: head.headers,
            target,
            body: body.clone(),
        });
        let mut answer = self.head(&id, StatusCode::OK);
        let guard = RunGuard { shared: &self, is_finished: false };
        match fault {
            WorkerFault::LosesAnswers => return None,
            WorkerFault::WrongRequestId => answer = self.head("another", StatusCode::OK),
            WorkerFault::Errors => {
                answer = self.head(&id, StatusCode::INTERNAL_SERVER_ERROR);
            }
            WorkerFault::Slow(time) => {
                Timer::after(time).await;
            }
            _ => {}
        }
        guard.finish();
        if fault != WorkerFault::Unsigned {
            answer = answer.header("Trefoilring-Server-Stamp", format!("stamp-{}", self.id));
        }
        if !is_stream {
            return answer.body(full_body(format!("served by {}", self.id))).ok();
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
            _ => None,
        };
        let last = last.filter(|_| fault != WorkerFault::ReplaysFromStart);
        let answer = answer.header("Content-Type", "text/event-stream");
        answer.body(events(last.unwrap_or(0), cut_after)).ok()
    }
}

/// Returns the events after `after`. With `cut_after`, the stream ends with an error in the middle
/// of the event after that one.
fn events(after: u64, cut_after: Option<u64>) -> Body {
    let next = move |id: u64| async move {
        let frame = match cut_after {
            Some(cut) if id > cut + 1 => return None,
            Some(cut) if id == cut + 1 => Ok(event(id)[..8].to_string()),
            _ if id > STREAM_EVENTS => return None,
            _ => Ok(event(id)),
        };
        Some((frame.map(|text| Frame::data(Bytes::from(text))), id + 1))
    };
    let sent = stream::unfold(after + 1, next);
    let broken = stream::iter(cut_after).then(|_| async {
        // Leaves time for the previous frames to be sent.
        Timer::after(CUT_DELAY).await;
        Err(io::Error::from(io::ErrorKind::ConnectionReset))
    });
    let all = sent.chain(broken);
    BodyExt::boxed(StreamBody::new(all))
}
