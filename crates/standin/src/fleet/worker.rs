//! A worker: answers whole or as a stream of events, and says what it has run.

use {
    super::{Answer, Body, full, serve},
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

/// Events of a whole stream.
const EVENTS: u64 = 6;

/// Time between a stream's last bytes and its break.
const CUT_DELAY: Duration = Duration::from_millis(30);

/// What is wrong with a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerFault {
    /// Nothing.
    #[default]
    None,
    /// It refuses all requests, without running them.
    Full,
    /// It refuses this many requests, and takes those that come after.
    FullFor(usize),
    /// It runs requests and closes the connection without an answer.
    LosesAnswers,
    /// It answers with the id of another request.
    AnswersLate,
    /// It answers without its signature.
    Unsigned,
    /// Its next stream breaks off in the middle of the event after this one; later ones are whole.
    CutsOnceAfter(u64),
    /// The same, and the stream that goes on begins with the first event again.
    CutsOnceAndRepeats(u64),
    /// It goes on with a stream from its first event.
    Repeats,
    /// It answers with an error of its own.
    Errors,
    /// It takes this long for each request.
    Slow(Duration),
}

/// A request that a worker has run.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The client's id.
    pub request: String,
    /// All headers.
    pub headers: HeaderMap,
    /// Method, path and query.
    pub target: String,
    /// The body.
    pub body: Bytes,
}

/// A worker on loopback.
pub struct WorkerStandIn {
    /// Where it listens.
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
    runs: Vec<Arrival>,
    /// Requests that it refused as full.
    refusals: usize,
    /// Requests that it has run to their ends.
    finished: usize,
    /// Requests that were broken off while it ran them.
    broken_off: usize,
}

impl State {
    /// Returns whether it is full, and counts the refusal.
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

    /// Switches a fault on or off.
    pub fn set_fault(&self, fault: WorkerFault) {
        self.shared.lock().fault = fault;
    }

    /// Requests that it has run, in order.
    pub fn runs(&self) -> Vec<Arrival> {
        self.shared.lock().runs.clone()
    }

    /// How many requests it has refused since it was full.
    pub fn refusals(&self) -> usize {
        self.shared.lock().refusals
    }

    /// How many requests it has run to their ends, and how many were broken off before.
    pub fn ended(&self) -> (usize, usize) {
        let state = self.shared.lock();
        (state.finished, state.broken_off)
    }

    /// The body of a whole stream.
    pub fn whole_stream() -> String {
        (1..=EVENTS).map(event).collect()
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

/// A request that is being run. It was broken off if it is dropped before it is finished.
struct Running<'a> {
    shared: &'a Shared,
    is_finished: bool,
}

impl Running<'_> {
    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        match self.is_finished {
            true => state.finished += 1,
            false => state.broken_off += 1,
        }
    }
}

impl Answer for Shared {
    async fn answer(self: Arc<Self>, request: Request<Bytes>) -> Option<Response<Body>> {
        let (head, body) = request.into_parts();
        let id = header(&head.headers, "trefoilring-request-id").unwrap_or_default().to_string();
        let expected = header(&head.headers, "trefoilring-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return self.head(&id, StatusCode::MISDIRECTED_REQUEST).body(full("")).ok();
        }
        let fault = self.lock().fault;
        if self.lock().refuses() {
            let answer = self.head(&id, StatusCode::SERVICE_UNAVAILABLE);
            return answer.header("Trefoilring-Not-Executed", "1").body(full("")).ok();
        }
        let target = format!("{} {}", head.method, head.uri);
        let last = header(&head.headers, "last-event-id").and_then(|last| last.parse().ok());
        let is_stream = head.headers.contains_key("trefoilring-token-usage");
        self.lock().runs.push(Arrival {
            request: id.clone(),
            headers: head.headers,
            target,
            body: body.clone(),
        });
        let mut answer = self.head(&id, StatusCode::OK);
        let running = Running { shared: &self, is_finished: false };
        match fault {
            WorkerFault::LosesAnswers => return None,
            WorkerFault::AnswersLate => answer = self.head("another", StatusCode::OK),
            WorkerFault::Errors => {
                answer = self.head(&id, StatusCode::INTERNAL_SERVER_ERROR);
            }
            WorkerFault::Slow(time) => {
                Timer::after(time).await;
            }
            _ => {}
        }
        running.finish();
        if fault != WorkerFault::Unsigned {
            answer = answer.header("Trefoilring-Server-Stamp", format!("stamp-{}", self.id));
        }
        if !is_stream {
            return answer.body(full(format!("served by {}", self.id))).ok();
        }
        let cut_after = match fault {
            WorkerFault::CutsOnceAfter(event) => {
                self.lock().fault = WorkerFault::None;
                Some(event)
            }
            WorkerFault::CutsOnceAndRepeats(event) => {
                self.lock().fault = WorkerFault::Repeats;
                Some(event)
            }
            _ => None,
        };
        let last = last.filter(|_| fault != WorkerFault::Repeats);
        let answer = answer.header("Content-Type", "text/event-stream");
        answer.body(events(last.unwrap_or(0), cut_after)).ok()
    }
}

/// The events after one, whole or cut in the middle of the event after another.
fn events(after: u64, cut_after: Option<u64>) -> Body {
    let next = move |id: u64| async move {
        let frame = match cut_after {
            Some(cut) if id > cut + 1 => return None,
            Some(cut) if id == cut + 1 => Ok(event(id)[..8].to_string()),
            _ if id > EVENTS => return None,
            _ => Ok(event(id)),
        };
        Some((frame.map(|text| Frame::data(Bytes::from(text))), id + 1))
    };
    let sent = stream::unfold(after + 1, next);
    let broken = stream::iter(cut_after).then(|_| async {
        // What was sent before has gone out.
        Timer::after(CUT_DELAY).await;
        Err(io::Error::from(io::ErrorKind::ConnectionReset))
    });
    let all = sent.chain(broken);
    BodyExt::boxed(StreamBody::new(all))
}
