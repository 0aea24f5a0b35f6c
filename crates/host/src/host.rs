//! Starts and stops one host.
//!
//! The types enforce the life cycle: a [`Host`] is running, and [`Host::drain`] consumes it and
//! returns once it has stopped. A stopped host can't be used.

use {
    crate::{
        backend::EntryBackend,
        control::{self, ControlHandle},
        observe::{
            events::{EventFields, EventLog},
            metrics::Metrics,
        },
        peer_server::PeerServer,
        peers::Peers,
        relay::Relays,
        running_calls::RunningCalls,
        shared::{Lease, Shared},
        withdrawals::Withdrawals,
    },
    async_compat::Compat,
    derive_more::{Display, Error},
    error_stack::{Report, ResultExt},
    smol::{Executor, net::TcpListener, stream::StreamExt},
    std::{
        net::SocketAddr,
        sync::{
            Arc, RwLock,
            atomic::{AtomicBool, Ordering},
        },
        thread::JoinHandle,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tarpc::server::Channel,
    trefoilring_clients::{HostList, ObjectApi},
    trefoilring_config::settings::Settings,
    trefoilring_core::{catalog::Catalog, event::Kind, ids::Member},
    trefoilring_edge::{Edge, EdgeOptions, StopReceiver, StopSender, stop_signal},
    trefoilring_proto::{FrameMemory, Peer},
};

/// Timeout for a call to the Object API.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the handover of journals after the running requests have ended, as a multiple of the
/// lease duration.
const HANDOVER_LEASES: u32 = 6;
/// Maximum number of connections that peers have to this host. Each of them has one.
const MAX_PEER_CONNECTIONS: usize = 1024;
/// Time that entry hosts have to fetch the last chunks of calls that ran here.
const RELAY_DRAIN_TIMEOUT: Duration = Duration::from_secs(15);
/// Polling interval while waiting for a drain request or for a drain to finish.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Error that prevents a host from starting.
#[derive(Debug, Display, Error)]
pub enum HostError {
    /// Listening on an address failed.
    #[display("can't listen on {address} (--{flag})")]
    Listen {
        /// Flag that configures the address, without dashes.
        flag: &'static str,
        /// Address that was configured.
        address: SocketAddr,
    },
    /// The event log can't be opened for appending.
    #[display("can't open the event log (--event-log)")]
    EventLog,
    /// A traffic or control thread can't be started.
    #[display("can't start a thread")]
    Thread,
}

/// A running host.
pub struct Host {
    shared: Arc<Shared>,
    callers_address: SocketAddr,
    peers_address: SocketAddr,
    stop_callers: StopSender,
    stop_threads: StopSender,
    threads: Vec<JoinHandle<()>>,
    callers_done: smol::Task<()>,
}

impl Host {
    /// Starts a host. The host listens when this returns, and serves once it has a lease.
    pub fn start(mut settings: Settings) -> Result<Self, Report<HostError>> {
        let callers_listener = listen("listen", settings.listen)?;
        let peers_listener = listen("peer-listen", settings.peer_listen)?;
        let callers_address = local_address(&callers_listener, settings.listen);
        let peers_address = local_address(&peers_listener, settings.peer_listen);
        if settings.advertise.port() == 0 {
            settings.advertise.set_port(peers_address.port());
        }
        let metrics = Metrics::default();
        let events =
            EventLog::open(settings.host.clone(), settings.event_log.as_deref(), metrics.clone())
                .change_context(HostError::EventLog)?;
        let (control, jobs) = ControlHandle::new();
        let shared = Arc::new(make_shared(settings, control, metrics, events));
        let (stop_threads, threads_stopped) = stop_signal();
        let threads = spawn_threads(&shared, &threads_stopped, jobs)?;
        shared.spawn(accept_peers(shared.clone(), peers_listener, threads_stopped));
        let (stop_callers, callers_stopped) = stop_signal();
        let options = edge_options(&shared.settings);
        let edge = Edge::new(options, EntryBackend::new(shared.clone()), shared.executor.clone());
        let serve = async move { edge.listen(callers_listener, callers_stopped).await };
        let callers_done = shared.executor.spawn(serve);
        shared.events.record(Kind::HostStarted, EventFields::default());
        Ok(Self {
            shared,
            callers_address,
            peers_address,
            stop_callers,
            stop_threads,
            threads,
            callers_done,
        })
    }

    /// Returns the address on which callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Returns the address on which other hosts connect.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers_address
    }

    /// Returns the event log of this host.
    pub fn events(&self) -> &EventLog {
        &self.shared.events
    }

    /// Returns the metrics of this host.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Returns whether the host has a lease and accepts callers.
    pub fn is_ready(&self) -> bool {
        use trefoilring_edge::Backend;
        EntryBackend::new(self.shared.clone()).readiness().is_ready
    }

    /// Returns the version of the configuration in force on this host; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.shared.catalog().version
    }

    /// Completes when an operator has requested a drain.
    pub async fn drain_requested(&self) {
        while !self.shared.is_drain_requested.load(Ordering::Acquire) {
            smol::Timer::after(DRAIN_POLL).await;
        }
    }

    /// Drains the host: refuses new callers, lets running requests and calls end, hands its
    /// journals over, and leaves the roster.
    pub async fn drain(self) {
        self.shared.is_draining.store(true, Ordering::Release);
        self.shared.events.record(Kind::HostDraining, EventFields::default());
        self.stop_callers.stop();
        let deadline = Instant::now() + self.shared.settings.drain_timeout;
        let calls_ended = async {
            self.callers_done.await;
            while !self.shared.running_calls.close_if_none() {
                smol::Timer::after(DRAIN_POLL).await;
            }
        };
        let timeout = async {
            smol::Timer::at(deadline).await;
            log::warn!("requests still running after --drain-timeout-ms; continuing the drain");
        };
        smol::future::or(calls_ended, timeout).await;
        // From now on the ends of calls could not be recorded. Other hosts send them to the
        // successor.
        self.shared.running_calls.close();
        // Journals are handed over once no request runs. The reply comes when all of them are in
        // the store.
        let handed_over = self.shared.control.request(|control, reply| control.hand_over(reply));
        let timeout = async {
            smol::Timer::after(self.shared.settings.lease * HANDOVER_LEASES).await;
            log::warn!(
                "handover timed out; successors take the journals over once this host has left"
            );
            Ok(())
        };
        if let Err(refusal) = smol::future::or(handed_over, timeout).await {
            log::warn!("handover failed: {refusal}");
        }
        self.shared.events.record(Kind::HostStopped, EventFields::default());
        // Entry hosts still fetch the last chunks of calls that ran here.
        let relay_deadline = Instant::now() + RELAY_DRAIN_TIMEOUT;
        while !self.shared.relays.is_empty() && Instant::now() < relay_deadline {
            smol::Timer::after(DRAIN_POLL).await;
        }
        self.stop_threads.stop();
        smol::unblock(move || self.threads.into_iter().for_each(join)).await;
    }

    /// Stops immediately without handing anything over, like a killed process.
    pub fn abort(self) {
        self.stop_threads.stop();
        self.threads.into_iter().for_each(join);
    }
}

fn join(thread: JoinHandle<()>) {
    if thread.join().is_err() {
        log::error!("a thread panicked");
    }
}

fn listen(flag: &'static str, address: SocketAddr) -> Result<TcpListener, Report<HostError>> {
    trefoilring_net::listen(address).change_context(HostError::Listen { flag, address })
}

fn local_address(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}

fn make_shared(
    settings: Settings,
    control: ControlHandle,
    metrics: Metrics,
    events: EventLog,
) -> Shared {
    let incarnation =
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let executor = Arc::new(Executor::new());
    Shared {
        member: Member { host: settings.host.clone(), incarnation },
        peers: Peers::new(executor.clone()),
        executor,
        control,
        relays: Relays::default(),
        withdrawals: Withdrawals::default(),
        events,
        metrics,
        objects: ObjectApi::new(settings.object_api, STORE_TIMEOUT),
        host_list: HostList::new(settings.host_list),
        lease: Lease::new(Instant::now()),
        is_draining: AtomicBool::new(false),
        is_drain_requested: AtomicBool::new(false),
        has_fresh_keys: AtomicBool::new(false),
        running_calls: RunningCalls::default(),
        catalog: RwLock::new(Arc::new(Catalog::default())),
        valid_keys: RwLock::default(),
        settings,
    }
}

fn spawn_threads(
    shared: &Arc<Shared>,
    stop: &StopReceiver,
    jobs: smol::channel::Receiver<control::Job>,
) -> Result<Vec<JoinHandle<()>>, Report<HostError>> {
    let mut threads = Vec::new();
    for number in 0..shared.settings.traffic_threads {
        let (executor, stop) = (shared.executor.clone(), stop.clone());
        let run = move || smol::block_on(executor.run(stop.wait()));
        threads.push(spawn(format!("traffic-{number}"), run)?);
    }
    let (shared, stop) = (shared.clone(), stop.clone());
    threads.push(spawn("control".into(), move || control::run(shared, jobs, &stop))?);
    Ok(threads)
}

fn spawn(
    name: String,
    run: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, Report<HostError>> {
    std::thread::Builder::new().name(name).spawn(run).change_context(HostError::Thread)
}

fn edge_options(settings: &Settings) -> EdgeOptions {
    let limits = &settings.callers;
    EdgeOptions::default()
        .max_body_bytes(limits.max_body_bytes)
        .max_bodies_bytes(limits.max_bodies_bytes)
        .max_headers(limits.max_headers)
        .max_head_bytes(limits.max_head_bytes)
        .max_connections(limits.max_connections)
        .head_timeout(limits.head_timeout)
        .body_timeout(limits.body_timeout)
        .idle_timeout(limits.idle_timeout)
        .write_timeout(limits.write_timeout)
        .serve_metrics(limits.are_metrics_public)
}

async fn accept_peers(shared: Arc<Shared>, listener: TcpListener, stop: StopReceiver) {
    let memory = Arc::new(FrameMemory::new(shared.settings.callers.max_bodies_bytes));
    let accept = async {
        let mut incoming = listener.incoming();
        while let Some(stream) = incoming.next().await {
            match stream {
                // The memory is referenced once here and once by each connection.
                Ok(_) if Arc::strong_count(&memory) > MAX_PEER_CONNECTIONS => {
                    log::warn!("refused a connection of a peer: there are {MAX_PEER_CONNECTIONS}");
                }
                Ok(stream) => shared.spawn(serve_peer(shared.clone(), stream, memory.clone())),
                Err(error) => log::warn!("failed to accept a peer connection: {error}"),
            }
        }
    };
    smol::future::or(accept, stop.wait()).await;
}

async fn serve_peer(shared: Arc<Shared>, stream: smol::net::TcpStream, memory: Arc<FrameMemory>) {
    let channel = trefoilring_proto::accept(stream, memory);
    let mut requests = std::pin::pin!(channel.execute(PeerServer::new(shared.clone()).serve()));
    while let Some(response) = Compat::new(requests.next()).await {
        shared.spawn(Compat::new(response));
    }
}
