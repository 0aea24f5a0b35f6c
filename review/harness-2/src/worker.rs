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
        atomic::{AtomicBool, AtomicU64, Ordering},
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

/// What a worker is, beside its service.
#[derive(Clone)]
pub struct Software {
    /// Version of its software.
    pub version: String,
    /// Events of its streams, and the pause before each.
    pub events: u64,
    pub pause: Duration,
    pub slots: u64,
}

impl Default for Software {
    fn default() -> Self {
        Self { version: "1".into(), events: EVENTS, pause: Duration::from_millis(4), slots: 16 }
    }
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    _server: Server,
    is_over: Arc<AtomicBool>,
    is_leaving: Arc<AtomicBool>,
    /// Writes its entry.
    register: Arc<dyn Fn() + Send + Sync>,
}

/// Called with a request that a worker has begun to run. Returns whether its connection ends without
/// an answer.
pub type Spoils = Arc<dyn Fn(&Request) -> bool + Send + Sync>;

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
        Self::start_with(store, ip, service, zone, id, runs, spoils, Software::default())
    }

    /// Starts a worker with software of its own.
    #[allow(clippy::too_many_arguments)]
    pub fn start_with(
        store: &Store,
        ip: &str,
        service: &str,
        zone: &str,
        id: &str,
        runs: Runs,
        spoils: Spoils,
        software: Software,
    ) -> io::Result<Self> {
        let id = id.to_string();
        let own = id.clone();
        let is_leaving = Arc::new(AtomicBool::new(false));
        let (leaving, of_server) = (is_leaving.clone(), software.clone());
        let server = Server::start(&format!("{ip}:0"), move |request| {
            let is_leaving = leaving.load(Ordering::SeqCst);
            let response = run(&own, &of_server, &runs, &spoils, request);
            if is_leaving { response.with("Server-Leaving", 1) } else { response }
        })?;
        let address = server.address;
        let is_over = Arc::new(AtomicBool::new(false));
        let (over, store, born) = (is_over.clone(), store.clone(), unix_ms());
        let (service, zone, name) = (service.to_string(), zone.to_string(), id.clone());
        let (leaving, seq) = (is_leaving.clone(), AtomicU64::new(0));
        let register: Arc<dyn Fn() + Send + Sync> = Arc::new(move || {
            let state = if leaving.load(Ordering::SeqCst) { "draining" } else { "ready" };
            let entry = object([
                ("service", service.as_str().into()),
                ("addr", address.to_string().as_str().into()),
                ("zone", zone.as_str().into()),
                ("version", software.version.as_str().into()),
                ("slots", software.slots.into()),
                ("state", state.into()),
                ("cold_left_ms", 0.into()),
                ("seq", (seq.fetch_add(1, Ordering::SeqCst) + 1).into()),
                ("born", born.into()),
            ]);
            store.put("servers", &name, entry);
        });
        register();
        let beat = register.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(BEAT);
                if over.load(Ordering::SeqCst) {
                    return;
                }
                beat();
            }
        });
        Ok(Self { id, address, _server: server, is_over, is_leaving, register })
    }

    /// Says, in the store and in all answers from now on, that the worker leaves. It goes on serving.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        (self.register)();
    }
}

/// A worker that crashes when it begins to run a request whose body is [`CRASHING`], and is back, as
/// another incarnation, some time later. Ends with the process.
pub struct CrashingWorker;

/// Body of requests that crash workers.
pub const CRASHING: &[u8] = b"a body that crashes workers";

impl CrashingWorker {
    /// Starts the worker. Crashes are added to `crashes`.
    pub fn start(
        store: &Store,
        ip: &str,
        service: &str,
        zone: &str,
        runs: Runs,
        crashes: Arc<Mutex<Vec<Instant>>>,
        back_after: Duration,
    ) -> io::Result<()> {
        let (sender, receiver) = std::sync::mpsc::channel::<()>();
        let sender = Mutex::new(sender);
        let spoils: Spoils = Arc::new(move |request| {
            if request.body != CRASHING {
                return false;
            }
            let _ = sender.lock().unwrap().send(());
            // The connection ends with the worker.
            thread::sleep(Duration::from_millis(300));
            true
        });
        let (store, ip) = (store.clone(), ip.to_string());
        let (service, zone) = (service.to_string(), zone.to_string());
        let next = move || {
            let id = format!("i-{:08x}", crate::random() as u32);
            Worker::start(&store, &ip, &service, &zone, &id, runs.clone(), spoils.clone())
                .map(|worker| (worker, store.clone()))
        };
        let mut present = next()?;
        thread::spawn(move || {
            while receiver.recv().is_ok() {
                crashes.lock().unwrap().push(Instant::now());
                let (worker, store) = present;
                let id = worker.id.clone();
                drop(worker);
                thread::sleep(back_after);
                while receiver.try_recv().is_ok() {}
                store.remove("servers", &id);
                match next() {
                    Ok(started) => present = started,
                    Err(_) => return,
                }
            }
        });
        Ok(())
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

fn run(own: &str, software: &Software, runs: &Runs, spoils: &Spoils, request: Request) -> Response {
    if request.target == "/healthz" {
        return Response::new(200, "")
            .with("Trefoilring-Instance-Id", own)
            .with("Trefoilring-Server-Load", format!("0,0,{}", software.slots));
    }
    let text = |name: &str| header(&request.headers, name).map(str::to_string);
    let Some(id) = text("trefoilring-request-id") else {
        return Response::new(400, "").with("Trefoilring-Not-Executed", 1);
    };
    let answer = |status| {
        Response::new(status, "")
            .with("Trefoilring-Request-Id", &id)
            .with("Trefoilring-Server-Load", format!("1,0,{}", software.slots))
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
    if spoils(&request) {
        thread::sleep(Duration::from_millis(5));
        return Response { status: 0, headers: Vec::new(), body: Body::Reset };
    }
    let mut response = answer(200).with("Trefoilring-Server-Stamp", format!("{own}.{id}"));
    if text("trefoilring-token-usage").is_none() {
        response.body = Body::Whole(format!("done {id}").into_bytes());
        return response;
    }
    let after: u64 = text("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let chunks = (after + 1..=software.events).map(|event| {
        let text = format!("id: {event}\ndata: {}\n\n", event_data(&id, event));
        (software.pause, text.into_bytes())
    });
    response.body = Body::Chunks(chunks.collect());
    response.with("Content-Type", "text/event-stream").with("Trefoilring-Weight-Versions", 1)
}
