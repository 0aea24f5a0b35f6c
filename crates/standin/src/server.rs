//! Serves one stand-in over HTTP/1.1 and applies the faults that all have in common.

mod connection;

use {
    crate::{
        faults::{Down, Faults},
        request::{Received, json_response, text_response},
        signal::Signal,
    },
    connection::Connections,
    http_types::Response,
    smol::{
        Task, Timer,
        future::FutureExt,
        net::{TcpListener, TcpStream},
    },
    std::{
        collections::BTreeSet,
        future::Future,
        io,
        net::{Ipv4Addr, SocketAddr},
        ops::Deref,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Exit code of a stand-in process that a request crashed.
const CRASH_EXIT_CODE: i32 = 70;
/// Distinct headers that are remembered.
const MAX_SEEN_HEADERS: usize = 100_000;
/// Wait before the address is bound again while another still holds it.
const REBIND_WAIT: Duration = Duration::from_millis(20);

/// Where and how a stand-in serves.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Where it listens; port 0 takes one from the kernel.
    pub address: SocketAddr,
    /// Faults at the start.
    pub faults: Faults,
    /// Whether a crash ends the process, rather than only this stand-in.
    pub exits_on_crash: bool,
}

impl Default for ServerOptions {
    fn default() -> Self {
        let address = (Ipv4Addr::LOCALHOST, 0).into();
        Self { address, faults: Faults::default(), exits_on_crash: false }
    }
}

/// What differs between stand-ins.
pub(crate) trait Service: Send + Sync + 'static {
    /// The largest body of a request.
    fn max_body_bytes(&self) -> usize;

    /// Serves a request of the interface. The faults are those when the request came.
    fn handle(&self, request: Received, faults: &Faults) -> impl Future<Output = Response> + Send;

    /// Serves a request under `/standin/` beyond the common ones; `None` if it is not known.
    fn control(&self, request: &Received) -> Option<Response>;

    /// The stand-in died: what it held is gone.
    fn crashed(&self) {}
}

/// A stand-in that serves. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Running<S> {
    service: Arc<S>,
    control: Control,
    _accepting: Task<()>,
}

impl<S> Running<S> {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.control.address()
    }

    /// The fault switches.
    pub fn control(&self) -> &Control {
        &self.control
    }
}

impl<S> Deref for Running<S> {
    type Target = S;

    fn deref(&self) -> &S {
        &self.service
    }
}

impl<S> Drop for Running<S> {
    fn drop(&mut self) {
        self.control.kill();
    }
}

/// The fault switches of a running stand-in. Clones switch the same one.
#[derive(Clone, Debug)]
pub struct Control {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    exits_on_crash: bool,
    faults: Mutex<Faults>,
    changed: Signal,
    is_dead: AtomicBool,
    is_listening: AtomicBool,
    /// Requests other than GET that were counted for `lose_answer_every`.
    changes_answered: AtomicU64,
    planted_seen: AtomicU64,
    headers_seen: Mutex<BTreeSet<(String, String)>>,
    connections: Connections,
}

impl Control {
    /// Where the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// The present faults.
    pub fn faults(&self) -> Faults {
        self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: Faults) {
        let is_refused = faults.down == Down::Refused;
        *self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
        self.shared.changed.notify();
        if is_refused {
            self.shared.connections.close_all();
        }
    }

    /// Changes some of the faults.
    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.faults();
        change(&mut faults);
        self.set(faults);
    }

    /// Ends the stand-in at once, as a crash does: connections break, new ones are refused.
    pub fn kill(&self) {
        self.shared.is_dead.store(true, Ordering::SeqCst);
        self.shared.changed.notify();
        self.shared.connections.close_all();
    }

    /// Whether it was killed or a request crashed it.
    pub fn is_dead(&self) -> bool {
        self.shared.is_dead.load(Ordering::SeqCst)
    }

    /// Whether connections are taken. A switch to [`Down::Refused`] is in force once this is false.
    pub fn is_listening(&self) -> bool {
        self.shared.is_listening.load(Ordering::SeqCst)
    }

    /// Distinct headers of all requests so far, with lower-case names.
    pub fn headers_seen(&self) -> BTreeSet<(String, String)> {
        self.shared.headers_seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Requests so far that contained the planted text.
    pub fn planted_seen(&self) -> u64 {
        self.shared.planted_seen.load(Ordering::Relaxed)
    }

    fn remember(&self, request: &Received, planted: &str) {
        if !planted.is_empty() && request.contains(planted) {
            self.shared.planted_seen.fetch_add(1, Ordering::Relaxed);
        }
        let mut seen = self.shared.headers_seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.len() < MAX_SEEN_HEADERS {
            seen.extend(request.headers.iter().cloned());
        }
    }

    /// Completes when a condition on the faults holds.
    async fn until(&self, condition: impl Fn(&Faults) -> bool) {
        loop {
            let changed = self.shared.changed.listen();
            if condition(&self.faults()) {
                return;
            }
            changed.recv().await.ok();
        }
    }

    async fn until_dead_or(&self, condition: impl Fn(&Faults) -> bool) {
        self.until(|faults| self.is_dead() || condition(faults)).await;
    }

    fn crash(&self) {
        if self.shared.exits_on_crash {
            std::process::exit(CRASH_EXIT_CODE);
        }
        self.kill();
    }

    /// Counts a change and returns whether its answer is to be lost.
    fn loses_answer(&self, method: &str, every: u32) -> bool {
        if method == "GET" || every == 0 {
            return false;
        }
        let count = self.shared.changes_answered.fetch_add(1, Ordering::Relaxed) + 1;
        count.is_multiple_of(every.into())
    }

    /// Serves what all stand-ins have under `/standin/`.
    fn common(&self, request: &Received) -> Option<Response> {
        match (&*request.method, request.path()) {
            ("GET", "/standin/faults") => Some(json_response(&self.faults())),
            ("POST", "/standin/faults") => Some(self.patch(&request.body)),
            ("GET", "/standin/headers") => Some(json_response(&serde_json::json!({
                "headers": self.headers_seen(),
                "planted_seen": self.planted_seen(),
            }))),
            _ => None,
        }
    }

    fn patch(&self, body: &[u8]) -> Response {
        match self.faults().patched(body) {
            Err(error) => text_response(400, error),
            Ok(faults) => {
                let response = json_response(&faults);
                if faults.down == Down::Refused {
                    // The answer to this very request leaves first.
                    let (control, grace) = (self.clone(), REBIND_WAIT);
                    smol::spawn(async move {
                        Timer::after(grace).await;
                        control.set(faults);
                    })
                    .detach();
                } else {
                    self.set(faults);
                }
                response
            }
        }
    }
}

/// Starts to serve.
pub(crate) fn start<S: Service>(service: S, options: ServerOptions) -> io::Result<Running<S>> {
    let listener = trefoilring_net::listen(options.address)?;
    let address = listener.local_addr()?;
    let control = Control {
        shared: Arc::new(Shared {
            address,
            exits_on_crash: options.exits_on_crash,
            faults: Mutex::new(options.faults),
            changed: Signal::default(),
            is_dead: AtomicBool::new(false),
            is_listening: AtomicBool::new(true),
            changes_answered: AtomicU64::new(0),
            planted_seen: AtomicU64::new(0),
            headers_seen: Mutex::default(),
            connections: Connections::default(),
        }),
    };
    let service = Arc::new(service);
    let accepting = smol::spawn(accept(listener, service.clone(), control.clone()));
    Ok(Running { service, control, _accepting: accepting })
}

/// Accepts until the stand-in dies; closes the listener while connections are to be refused.
async fn accept<S: Service>(listener: TcpListener, service: Arc<S>, control: Control) {
    let mut listener = Some(listener);
    while !control.is_dead() {
        if control.faults().down == Down::Refused {
            listener = None;
            control.shared.is_listening.store(false, Ordering::SeqCst);
            refuse(&control).await;
            continue;
        }
        let Some(bound) = &listener else {
            listener = rebind(control.address()).await;
            control.shared.is_listening.store(listener.is_some(), Ordering::SeqCst);
            continue;
        };
        let stopped = async {
            control.until_dead_or(|faults| faults.down == Down::Refused).await;
            None
        };
        if let Some(stream) = async { bound.accept().await.ok() }.or(stopped).await {
            serve(stream.0, service.clone(), control.clone());
        }
    }
    drop(listener);
    control.shared.is_listening.store(false, Ordering::SeqCst);
    service.crashed();
}

async fn refuse(control: &Control) {
    let refuse_ms = control.faults().refuse_ms;
    let lifted = control.until_dead_or(|faults| faults.down != Down::Refused);
    if refuse_ms == 0 {
        return lifted.await;
    }
    let timer = async {
        Timer::after(Duration::from_millis(refuse_ms)).await;
        control.change(|faults| (faults.down, faults.refuse_ms) = (Down::None, 0));
    };
    lifted.or(timer).await;
}

async fn rebind(address: SocketAddr) -> Option<TcpListener> {
    let bound = trefoilring_net::listen(address);
    if bound.is_err() {
        Timer::after(REBIND_WAIT).await;
    }
    bound.ok()
}

fn serve<S: Service>(stream: TcpStream, service: Arc<S>, control: Control) {
    // Without this each chunk of a stream waits for the acknowledgement of the one before.
    stream.set_nodelay(true).ok();
    let guard = control.shared.connections.add(stream.clone());
    smol::spawn(async move {
        connection::serve(stream, service, control).await;
        drop(guard);
    })
    .detach();
}
