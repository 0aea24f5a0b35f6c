//! Workers: they run plain requests and streams, and register themselves in the store.

use crate::{
    http::{Body, Request, Response, Server, header},
    json::object,
    store::Store,
    unix_ms,
};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Events of a stream.
pub const EVENTS: u64 = 6;
const BEAT: Duration = Duration::from_millis(1200);

/// A request that a worker has begun to run.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub worker: String,
    pub id: String,
    pub target: String,
    pub body: Vec<u8>,
    pub headers: Vec<(String, String)>,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    _server: Server,
    is_over: Arc<AtomicBool>,
}

/// Decides whether a worker resets the connection of a request that it has begun to run.
pub type Spoils = Arc<dyn Fn(&str) -> bool + Send + Sync>;

impl Worker {
    /// Starts a worker, which writes to its entry in the store until it is dropped. Its runs are
    /// added to `runs`.
    pub fn start(
        store: &Store,
        ip: &str,
        service: &str,
        zone: &str,
        id: &str,
        runs: Runs,
        spoils: Spoils,
    ) -> io::Result<Self> {
        let id = id.to_string();
        let own = id.clone();
        let server =
            Server::start(&format!("{ip}:0"), move |request| run(&own, &runs, &spoils, request))?;
        let address = server.address;
        let is_over = Arc::new(AtomicBool::new(false));
        let (over, store, born) = (is_over.clone(), store.clone(), unix_ms());
        let (service, zone, name) = (service.to_string(), zone.to_string(), id.clone());
        let entry = move |seq: u64| {
            object([
                ("service", service.as_str().into()),
                ("addr", address.to_string().as_str().into()),
                ("zone", zone.as_str().into()),
                ("version", "1".into()),
                ("slots", 16.into()),
                ("state", "ready".into()),
                ("cold_left_ms", 0.into()),
                ("seq", seq.into()),
                ("born", born.into()),
            ])
        };
        store.put("servers", &name, entry(1));
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(BEAT);
                if over.load(Ordering::SeqCst) {
                    return;
                }
                store.put("servers", &name, entry(seq));
            }
        });
        Ok(Self { id, address, _server: server, is_over })
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
    }
}

/// Returns the data of an event of a request.
pub fn event_data(id: &str, event: u64) -> String {
    format!("piece {event} of {id}")
}

fn run(own: &str, runs: &Runs, spoils: &Spoils, request: Request) -> Response {
    if request.target == "/healthz" {
        return Response::new(200, "")
            .with("Trefoilring-Instance-Id", own)
            .with("Trefoilring-Server-Load", "0,0,16");
    }
    let text = |name: &str| header(&request.headers, name).map(str::to_string);
    let Some(id) = text("trefoilring-request-id") else {
        return Response::new(400, "").with("Trefoilring-Not-Executed", 1);
    };
    let answer = |status| {
        Response::new(status, "")
            .with("Trefoilring-Request-Id", &id)
            .with("Trefoilring-Server-Load", "1,0,16")
    };
    if text("trefoilring-expect-instance").is_some_and(|expected| expected != own) {
        return answer(421).with("Trefoilring-Not-Executed", 1);
    }
    runs.lock().unwrap().push(Run {
        at: Instant::now(),
        worker: own.into(),
        id: id.clone(),
        target: format!("{} {}", request.method, request.target),
        body: request.body.clone(),
        headers: request.headers.clone(),
    });
    if spoils(&id) {
        thread::sleep(Duration::from_millis(5));
        return Response { status: 0, headers: Vec::new(), body: Body::Reset };
    }
    let mut response = answer(200).with("Trefoilring-Server-Stamp", format!("{own}.{id}"));
    if text("trefoilring-token-usage").is_none() {
        response.body = Body::Whole(format!("done {id}").into_bytes());
        return response;
    }
    let after: u64 = text("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let chunks = (after + 1..=EVENTS).map(|event| {
        let text = format!("id: {event}\ndata: {}\n\n", event_data(&id, event));
        (Duration::from_millis(4), text.into_bytes())
    });
    response.body = Body::Chunks(chunks.collect());
    response.with("Content-Type", "text/event-stream").with("Trefoilring-Weight-Versions", 1)
}
