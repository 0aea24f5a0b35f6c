//! Serves one stand-in over HTTP/1.1 and applies the faults that all stand-ins share.

mod connection;

use {
    crate::{
        change_notifier::ChangeNotifier,
        faults::{Faults, Outage},
        request::{ReceivedRequest, json_response, text_response},
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

/// Exit code of a stand-in process after a request crashed it.
const CRASH_EXIT_CODE: i32 = 70;
/// Maximum number of distinct headers that are recorded.
const MAX_SEEN_HEADERS: usize = 100_000;
/// Time before the next attempt to bind an address that is still in use. Also the delay before
/// [`Outage::Refused`] closes all connections, so that the response to the request that set it is
/// sent first.
const REBIND_WAIT: Duration = Duration::from_millis(20);

/// Settings of a stand-in's HTTP server.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Listening address. With port 0 the kernel assigns a port.
    pub address: SocketAddr,
    /// Faults in force at the start.
    pub faults: Faults,
    /// Whether a crash ends the process rather than only this stand-in.
    pub exits_on_crash: bool,
}

impl Default for ServerOptions {
    fn default() -> Self {
        let address = (Ipv4Addr::LOCALHOST, 0).into();
        Self { address, faults: Faults::default(), exits_on_crash: false }
    }
}

/// The behaviour that differs between stand-ins.
pub(crate) trait RequestHandler: Send + Sync + 'static {
    /// Returns the size limit of request bodies.
    fn max_body_bytes(&self) -> usize;

    /// Handles a request to the emulated API. `faults` were in force when the request arrived.
    fn handle(
        &self,
        request: ReceivedRequest,
        faults: &Faults,
    ) -> impl Future<Output = Response> + Send;

    /// Handles a request to a `/standin/` endpoint that is specific to this stand-in. Returns
    /// `None` for an unknown endpoint.
    fn handle_control(&self, request: &ReceivedRequest) -> Option<Response>;

    /// Called once the stand-in has stopped after a crash or [`Control::kill`]. Discards its state.
    fn on_stop(&self) {}
}

/// A running stand-in. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct RunningStandin<S> {
    handler: Arc<S>,
    control: Control,
    _accepting: Task<()>,
}

impl<S> RunningStandin<S> {
    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns the handle for fault injection.
    pub fn control(&self) -> &Control {
        &self.control
    }
}

impl<S> Deref for RunningStandin<S> {
    type Target = S;

    fn deref(&self) -> &S {
        &self.handler
    }
}

impl<S> Drop for RunningStandin<S> {
    fn drop(&mut self) {
        self.control.kill();
    }
}

/// Injects faults into a running stand-in. Clones control the same stand-in.
#[derive(Clone, Debug)]
pub struct Control {
    state: Arc<ServerState>,
}

#[derive(Debug)]
struct ServerState {
    address: SocketAddr,
    exits_on_crash: bool,
    faults: Mutex<Faults>,
    changed: ChangeNotifier,
    is_stopped: AtomicBool,
    is_listening: AtomicBool,
    /// Number of requests other than GET, counted for the fault `lose_answer_every`.
    mutation_count: AtomicU64,
    planted_seen: AtomicU64,
    headers_seen: Mutex<BTreeSet<(String, String)>>,
    connections: Connections,
}

impl Control {
    /// Returns the stand-in's listening address.
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    /// Returns the current faults.
    pub fn faults(&self) -> Faults {
        self.state.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: Faults) {
        let refuses_connections = faults.down == Outage::Refused;
        *self.state.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
        self.state.changed.notify();
        if refuses_connections {
            self.state.connections.close_all();
        }
    }

    /// Changes some of the faults.
    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.faults();
        change(&mut faults);
        self.set(faults);
    }

    /// Stops the stand-in at once, like a crash: closes its connections and refuses new ones.
    pub fn kill(&self) {
        self.state.is_stopped.store(true, Ordering::SeqCst);
        self.state.changed.notify();
        self.state.connections.close_all();
    }

    /// Returns whether the stand-in was killed or a request crashed it.
    pub fn is_stopped(&self) -> bool {
        self.state.is_stopped.load(Ordering::SeqCst)
    }

    /// Returns whether connections are accepted. After [`Outage::Refused`] is set, returns true
    /// until the listener is closed.
    pub fn is_listening(&self) -> bool {
        self.state.is_listening.load(Ordering::SeqCst)
    }

    /// Returns the distinct headers of all requests so far, with lower-case names.
    pub fn headers_seen(&self) -> BTreeSet<(String, String)> {
        self.state.headers_seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of requests so far that contained the text [`Faults::planted`].
    pub fn planted_seen(&self) -> u64 {
        self.state.planted_seen.load(Ordering::Relaxed)
    }

    fn record_request(&self, request: &ReceivedRequest, planted: &str) {
        if !planted.is_empty() && request.contains(planted) {
            self.state.planted_seen.fetch_add(1, Ordering::Relaxed);
        }
        let mut seen = self.state.headers_seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.len() < MAX_SEEN_HEADERS {
            seen.extend(request.headers.iter().cloned());
        }
    }

    /// Waits until a condition on the faults holds.
    async fn wait_until(&self, condition: impl Fn(&Faults) -> bool) {
        loop {
            let changed = self.state.changed.listen();
            if condition(&self.faults()) {
                return;
            }
            changed.recv().await.ok();
        }
    }

    async fn wait_until_stopped_or(&self, condition: impl Fn(&Faults) -> bool) {
        self.wait_until(|faults| self.is_stopped() || condition(faults)).await;
    }

    fn crash(&self) {
        if self.state.exits_on_crash {
            std::process::exit(CRASH_EXIT_CODE);
        }
        self.kill();
    }

    /// Counts a request other than GET. Returns whether to drop its response, which is the case
    /// for every `drop_interval`-th one; 0 drops none.
    fn should_drop_response(&self, method: &str, drop_interval: u32) -> bool {
        if method == "GET" || drop_interval == 0 {
            return false;
        }
        let count = self.state.mutation_count.fetch_add(1, Ordering::Relaxed) + 1;
        count.is_multiple_of(drop_interval.into())
    }

    /// Handles the requests under `/standin/` that all stand-ins share.
    fn handle_common(&self, request: &ReceivedRequest) -> Option<Response> {
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
        match self.faults().with_patch(body) {
            Err(error) => text_response(400, error),
            Ok(faults) => {
                let response = json_response(&faults);
                if faults.down == Outage::Refused {
                    // Sends the response to this request before connections are closed.
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

/// Binds the address and starts to accept connections.
pub(crate) fn start<S: RequestHandler>(
    handler: S,
    options: ServerOptions,
) -> io::Result<RunningStandin<S>> {
    let listener = trefoilring_net::listen(options.address)?;
    let address = listener.local_addr()?;
    let control = Control {
        state: Arc::new(ServerState {
            address,
            exits_on_crash: options.exits_on_crash,
            faults: Mutex::new(options.faults),
            changed: ChangeNotifier::default(),
            is_stopped: AtomicBool::new(false),
            is_listening: AtomicBool::new(true),
            mutation_count: AtomicU64::new(0),
            planted_seen: AtomicU64::new(0),
            headers_seen: Mutex::default(),
            connections: Connections::default(),
        }),
    };
    let handler = Arc::new(handler);
    let accepting = smol::spawn(accept(listener, handler.clone(), control.clone()));
    Ok(RunningStandin { handler, control, _accepting: accepting })
}

/// Accepts connections until the stand-in stops. Keeps the listener closed while the fault `down`
/// is [`Outage::Refused`].
async fn accept<S: RequestHandler>(listener: TcpListener, handler: Arc<S>, control: Control) {
    let mut listener = Some(listener);
    while !control.is_stopped() {
        if control.faults().down == Outage::Refused {
            listener = None;
            control.state.is_listening.store(false, Ordering::SeqCst);
            refuse_connections(&control).await;
            continue;
        }
        let Some(bound) = &listener else {
            listener = rebind(control.address()).await;
            control.state.is_listening.store(listener.is_some(), Ordering::SeqCst);
            continue;
        };
        let stopped = async {
            control.wait_until_stopped_or(|faults| faults.down == Outage::Refused).await;
            None
        };
        if let Some(stream) = async { bound.accept().await.ok() }.or(stopped).await {
            serve(stream.0, handler.clone(), control.clone());
        }
    }
    drop(listener);
    control.state.is_listening.store(false, Ordering::SeqCst);
    handler.on_stop();
}

async fn refuse_connections(control: &Control) {
    let refuse_ms = control.faults().refuse_ms;
    let cleared = control.wait_until_stopped_or(|faults| faults.down != Outage::Refused);
    if refuse_ms == 0 {
        return cleared.await;
    }
    let timer = async {
        Timer::after(Duration::from_millis(refuse_ms)).await;
        control.change(|faults| (faults.down, faults.refuse_ms) = (Outage::None, 0));
    };
    cleared.or(timer).await;
}

async fn rebind(address: SocketAddr) -> Option<TcpListener> {
    let bound = trefoilring_net::listen(address);
    if bound.is_err() {
        Timer::after(REBIND_WAIT).await;
    }
    bound.ok()
}

fn serve<S: RequestHandler>(stream: TcpStream, handler: Arc<S>, control: Control) {
    // With Nagle's algorithm each chunk of a stream would wait for the acknowledgement of the
    // previous one.
    stream.set_nodelay(true).ok();
    let guard = control.state.connections.add(stream.clone());
    smol::spawn(async move {
        connection::serve(stream, handler, control).await;
        drop(guard);
    })
    .detach();
}
