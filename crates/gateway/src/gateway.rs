//! State and tasks of one gateway, from its start to its graceful stop.

use {
    crate::{
        allowance::Borrowings,
        call::Settlements,
        callers,
        crashes::{self, CrashLogFile, CrashWatch},
        dialect::Dialect,
        evacuations::{self, EvacuationWatch},
        http::{ActiveConnection, ConnectionPool},
        inbound::InboundConnection,
        ledger::{self, PARTITION_COUNT, Partition},
        memory::HostMemory,
        outage_notes::OutageNoteStore,
        peers, registrations,
        relay::{self, Relay},
        roster,
        settings::GatewaySettings,
        status,
        store::{ObjectParser, Store, StoredObject},
        stream_origins::OriginNotes,
        time::within,
        turns::{self, Turns},
        upstream_limits::LimitBorrowings,
        watch::{self, Watches},
    },
    event_listener::Event,
    serde_json::json,
    slab::Slab,
    smol::{LocalExecutor, Timer, channel::Receiver},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        io,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        admission::Admission,
        ids::Incarnation,
        peer_reach::PeerReach,
        placement::{Placement, WaitQueues},
        planned_stop::UsualDurations,
        registrations::Registrations,
        roster::Roster,
        routing::{CallerLimits, RoutingTable},
        shares::Shares,
    },
    trefoilring_observe::{
        decisions::{Decisions, LineRate},
        log::wall_us,
        metrics::Metrics,
    },
};

/// How long a stopping host continues to serve new requests while it reports that it is not ready.
/// The platform checks readiness once a second and routes new connections to other hosts after two
/// failed checks.
const LAME_DUCK_DURATION: Duration = Duration::from_millis(2500);
/// Time reserved at the end of a graceful stop, before the platform kills the process.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// How long a stopping host waits until the final answers of the requests that have not ended are
/// sent. Part of [`STOP_MARGIN`].
const FINAL_ANSWERS_MAX: Duration = Duration::from_millis(300);
/// Timeout for connecting to an upstream or the store. Shorter than 1 s, after which callers
/// abandon a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for connecting to another host. Short, because requests wait for the connection and a
/// lost packet is retransmitted only after a second.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Minimum time that an idle connection of another host is kept. Hosts keep theirs for four seconds.
const OTHER_IDLE_TIMEOUT_MIN: Duration = Duration::from_secs(15);
/// Interval at which connections are checked for timeouts.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Connects the gateway to the protocol and the store of its site.
#[derive(Clone)]
pub struct Adapter {
    /// Reads and writes the heads of requests and answers.
    pub dialect: Rc<dyn Dialect>,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Parses the objects that other processes write to the store.
    pub object_parser: Rc<dyn ObjectParser>,
}

/// A command to the running process, such as a signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Command {
    /// Stop gracefully.
    Stop,
    /// Reread the settings.
    Reload,
}

/// Rereads the settings. Returns an error message if they are invalid.
pub type ReadSettings = Box<dyn Fn() -> Result<GatewaySettings, String>>;

/// Addresses that a gateway listens on, with the ports that the kernel assigned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BoundAddresses {
    /// For callers; `None` if the host does not serve callers.
    pub callers: Option<SocketAddr>,
    /// For readiness checks, if configured.
    pub ready: Option<SocketAddr>,
    /// For other hosts.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Stage of the process between its start and its graceful stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// Accepts requests. Ready once the gateway has a configuration and the list of upstreams.
    Serving,
    /// Reports that it is not ready, but continues to serve requests.
    LameDuck,
    /// Closes each connection after the answer that is in progress.
    Closing,
}

/// One gateway. Its state is not shared with other threads.
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) adapter: Adapter,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) connections: Rc<ConnectionPool>,
    pub(crate) peer_connections: ConnectionPool,
    /// Connections over which other hosts pass this host's requests on.
    pub(crate) relay_connections: ConnectionPool,
    pub(crate) relay: Relay,
    pub(crate) routing_table: RefCell<Option<Rc<RoutingTable>>>,
    pub(crate) placement: RefCell<Placement>,
    pub(crate) registrations: RefCell<Registrations>,
    /// Notified when upstreams are missing, or may be removed again.
    pub(crate) registrations_changed: Event,
    /// Requests that wait for capacity, by service. A service has a queue while all its upstreams
    /// are full.
    pub(crate) wait_queues: RefCell<WaitQueues<Rc<Event>>>,
    pub(crate) admission: RefCell<Admission>,
    pub(crate) crash_watch: RefCell<CrashWatch>,
    pub(crate) crash_log_file: CrashLogFile,
    pub(crate) roster: RefCell<Roster>,
    pub(crate) shares: RefCell<Shares>,
    pub(crate) borrowings: RefCell<Borrowings>,
    pub(crate) limit_borrowings: RefCell<LimitBorrowings>,
    pub(crate) ledgers: RefCell<[Partition; PARTITION_COUNT]>,
    pub(crate) outage_notes: OutageNoteStore,
    pub(crate) turns: Turns,
    pub(crate) settlements: RefCell<Settlements>,
    pub(crate) memory: Rc<HostMemory>,
    pub(crate) origin_notes: RefCell<OriginNotes>,
    /// Reach of the other hosts, by peer address.
    pub(crate) peer_reach: RefCell<PeerReach<SocketAddr>>,
    /// Peer addresses of suspect store hosts that another host reaches, with that host's.
    pub(crate) relays: RefCell<HashMap<SocketAddr, SocketAddr>>,
    /// Peer addresses of lost hosts: a relay could not reach them either. The value is the time
    /// from which relays are tried again.
    pub(crate) lost_until: RefCell<HashMap<SocketAddr, Instant>>,
    /// The stored object of the configuration in force.
    pub(crate) configuration: RefCell<Option<StoredObject>>,
    /// Configured peer addresses, used while the store can't be reached and the roster has no other
    /// host.
    pub(crate) seeds: RefCell<Vec<SocketAddr>>,
    /// Start time of this process in milliseconds since the Unix epoch.
    pub(crate) incarnation: Incarnation,
    pub(crate) callers: RefCell<Slab<Rc<InboundConnection>>>,
    /// Connections of other hosts, and those for readiness and metrics.
    pub(crate) other_connections: RefCell<Slab<Rc<InboundConnection>>>,
    pub(crate) metrics: Metrics,
    pub(crate) decisions: Decisions,
    /// Addresses that this gateway listens on; `None` until all are bound.
    pub(crate) bound: Cell<Option<BoundAddresses>>,
    pub(crate) watches: Watches,
    pub(crate) evacuations: EvacuationWatch,
    /// Whether the list of upstreams has been received at least once.
    pub(crate) has_received_upstreams: Cell<bool>,
    /// Whether this host has asked others for the contents that they blame for crashes, or has
    /// waited long enough.
    pub(crate) has_synced_blame: Cell<bool>,
    /// Notified when the store answers again after a failure; wakes the tasks that wait to retry.
    pub(crate) store_recovered: Event,
    pub(crate) stage: Cell<Stage>,
    /// When requests that have not ended get their final answers; `None` unless this host stops.
    pub(crate) stop_at: Cell<Option<Instant>>,
    /// Notified at that time.
    pub(crate) stop_reached: Event,
    pub(crate) usual_durations: RefCell<UsualDurations>,
    /// Notified when the listener for callers must stop accepting connections.
    pub(crate) stop_accepting: Event,
    /// Whether the listener for callers accepts connections.
    pub(crate) is_accepting: Cell<bool>,
    /// Number of callers' requests whose answer is not complete.
    pub(crate) requests_open: Cell<usize>,
}

impl Gateway {
    /// Runs a gateway until it receives [`Command::Stop`], then stops it gracefully.
    /// `create_adapter` creates the adapter on top of the gateway's connection pool.
    /// `read_settings` is called on [`Command::Reload`]. `on_bound` is called with the addresses
    /// that the gateway listens on.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the data folder can't be used.
    pub fn run(
        settings: GatewaySettings,
        create_adapter: impl FnOnce(Rc<ConnectionPool>) -> Adapter,
        decisions: Decisions,
        read_settings: ReadSettings,
        commands: Receiver<Command>,
        on_bound: impl FnOnce(BoundAddresses),
    ) -> io::Result<()> {
        let executor = Rc::new(LocalExecutor::new());
        let memory = HostMemory::new(settings.memory_bytes_max, decisions.clone());
        let create_pool =
            |timeout, options| ConnectionPool::new(executor.clone(), timeout).with_options(options);
        let options = memory.sockets().connect();
        let connections = Rc::new(create_pool(CONNECT_TIMEOUT, options));
        let (crash_log_file, crash_log) = CrashLogFile::open(settings.data_folder.clone());
        let gateway = Rc::new(Self {
            adapter: create_adapter(connections.clone()),
            connections,
            peer_connections: create_pool(
                PEER_CONNECT_TIMEOUT,
                memory.sockets().connect_to_peers(),
            ),
            relay_connections: create_pool(PEER_CONNECT_TIMEOUT, options),
            relay: Relay::default(),
            routing_table: RefCell::default(),
            placement: RefCell::new(create_placement(&settings)),
            registrations: RefCell::default(),
            registrations_changed: Event::new(),
            wait_queues: RefCell::default(),
            admission: RefCell::default(),
            crash_watch: RefCell::new(CrashWatch::new(crash_log)),
            crash_log_file,
            roster: RefCell::new(Roster::new(
                Instant::now(),
                settings.host.clone(),
                settings.callers_listen.is_some(),
            )),
            shares: RefCell::default(),
            borrowings: RefCell::default(),
            limit_borrowings: RefCell::default(),
            ledgers: RefCell::default(),
            outage_notes: OutageNoteStore::open(&settings.host, settings.data_folder.clone())?,
            turns: Turns::open(&settings)?,
            settlements: RefCell::default(),
            memory,
            origin_notes: RefCell::default(),
            peer_reach: RefCell::default(),
            relays: RefCell::default(),
            lost_until: RefCell::default(),
            configuration: RefCell::default(),
            seeds: RefCell::new(settings.seeds.clone()),
            incarnation: wall_us() / 1000,
            callers: RefCell::default(),
            other_connections: RefCell::default(),
            metrics: Metrics::default(),
            decisions,
            stop_accepting: Event::new(),
            store_recovered: Event::new(),
            is_accepting: Cell::new(false),
            bound: Cell::new(None),
            watches: Watches::default(),
            evacuations: EvacuationWatch::new(settings.evacuation_time_max.is_some()),
            has_received_upstreams: Cell::new(false),
            has_synced_blame: Cell::new(false),
            stage: Cell::new(Stage::Serving),
            stop_at: Cell::new(None),
            stop_reached: Event::new(),
            usual_durations: RefCell::default(),
            requests_open: Cell::new(0),
            settings,
            executor: executor.clone(),
        });
        smol::block_on(executor.run(gateway.serve(read_settings, commands, on_bound)))
    }

    /// Called after a failure of the store. Waits until another task reaches the store, for at most
    /// `pause`.
    pub(crate) async fn wait_for_store(&self, pause: Duration) {
        within(Instant::now() + pause, self.store_recovered.listen()).await;
    }

    async fn serve(
        self: &Rc<Self>,
        read_settings: ReadSettings,
        commands: Receiver<Command>,
        on_bound: impl FnOnce(BoundAddresses),
    ) -> io::Result<()> {
        let callers = callers::start(self).await?;
        let peers = peers::start(self).await?;
        let (ready, metrics) = status::start(self).await?;
        let bound = BoundAddresses { callers, ready, peers, metrics };
        self.bound.set(Some(bound));
        on_bound(bound);
        roster::start(self);
        registrations::start(self);
        evacuations::start(self);
        watch::start(self);
        crashes::start(self);
        relay::start(self);
        turns::start(self);
        self.spawn(self.clone().close_stale_connections());
        self.decisions.log(
            LineRate::Rare,
            "start",
            json!({
                "version": env!("CARGO_PKG_VERSION"),
                "domain": self.settings.domain,
                "callers": callers,
                "peers": peers,
            }),
        );
        loop {
            match commands.recv().await {
                Ok(Command::Stop) => break,
                Ok(Command::Reload) => self.reload(&read_settings),
                // The command channel is closed: keep serving without commands.
                Err(_) => std::future::pending::<()>().await,
            }
        }
        self.stop().await;
        Ok(())
    }

    /// Applies changed settings. Only the seeds can change while the process runs.
    fn reload(&self, read_settings: &ReadSettings) {
        let settings = match read_settings() {
            Ok(settings) => settings,
            Err(error) => {
                log::error!("failed to reload the settings; keeping the current settings: {error}");
                self.decisions.log(LineRate::Rare, "reload", json!({"error": error}));
                return;
            }
        };
        let running = &self.settings;
        let running_with_reloadable = GatewaySettings {
            seeds: settings.seeds.clone(),
            // `is_first_start` applies only to the current start, so a change needs no restart.
            is_first_start: settings.is_first_start,
            ..running.clone()
        };
        let needs_restart = settings != running_with_reloadable;
        self.decisions.log(
            LineRate::Rare,
            "reload",
            json!({"seeds": settings.seeds, "needs_restart": needs_restart}),
        );
        if needs_restart {
            log::warn!(
                "settings other than the seeds have changed; they take effect after a restart"
            );
        }
        *self.seeds.borrow_mut() = settings.seeds;
    }

    async fn stop(self: &Rc<Self>) {
        let began = Instant::now();
        let open = self.requests_open.get();
        self.decisions.log(LineRate::Rare, "stop", json!({"requests_open": open}));
        let grace = self.settings.stop_grace.saturating_sub(STOP_MARGIN);
        let stop_at = began + grace;
        self.stop_at.set(Some(stop_at));
        self.stage.set(Stage::LameDuck);
        ledger::release_all(self);
        Timer::after(LAME_DUCK_DURATION.min(grace / 2)).await;
        self.stage.set(Stage::Closing);
        // Close the listener first. Otherwise a connection that is accepted after the last check is
        // dropped with its request when the process exits.
        self.stop_accepting.notify(usize::MAX);
        while self.is_accepting.get() {
            Timer::after(Duration::from_millis(1)).await;
        }
        self.close_idle_callers();
        self.wait_for_callers(stop_at).await;
        self.stop_reached.notify(usize::MAX);
        self.wait_for_callers(stop_at + FINAL_ANSWERS_MAX).await;
        let remaining = self.callers.borrow().len();
        self.decisions.log(LineRate::Rare, "stopped", json!({"connections_cut": remaining}));
        self.decisions.close();
        // Gives the writer thread time to write the last batch.
        Timer::after(Duration::from_millis(20)).await;
    }

    /// Waits until all connections of callers are closed, at most until a deadline.
    async fn wait_for_callers(&self, deadline: Instant) {
        while Instant::now() < deadline && !self.callers.borrow().is_empty() {
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// Waits until this host, if it stops, gives requests that have not ended their final answers.
    pub(crate) async fn wait_until_stop(&self) {
        loop {
            let stop_reached = self.stop_reached.listen();
            if self.stop_at.get().is_some_and(|stop_at| stop_at <= Instant::now()) {
                return;
            }
            stop_reached.await;
        }
    }

    fn close_idle_callers(&self) {
        for (_, connection) in self.callers.borrow().iter() {
            connection.close();
        }
    }

    /// Closes connections to this host that have been idle or slow for too long, and expired idle
    /// connections to upstreams, the store and other hosts.
    async fn close_stale_connections(self: Rc<Self>) {
        loop {
            Timer::after(CONNECTION_CHECK_INTERVAL).await;
            let limits =
                self.routing_table.borrow().as_ref().map(|table| table.limits).unwrap_or_default();
            let now = Instant::now();
            for (_, connection) in self.callers.borrow().iter() {
                connection.close_if_timed_out(now, &limits);
            }
            // Other hosts close their idle connections first, so that none is lost under a request.
            let idle_timeout = limits.idle_timeout.max(OTHER_IDLE_TIMEOUT_MIN);
            let limits = CallerLimits { idle_timeout, ..limits };
            for (_, connection) in self.other_connections.borrow().iter() {
                connection.close_if_timed_out(now, &limits);
            }
            self.connections.close_expired();
            self.peer_connections.close_expired();
            self.relay_connections.close_expired();
        }
    }

    /// Runs a task concurrently with the others.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Returns a connection to an upstream to the pool, unless this host keeps its share already.
    pub(crate) fn release_connection(&self, service: &str, connection: ActiveConnection) {
        self.connections.release_up_to(connection, self.idle_connections_max(service));
    }

    /// Returns how many idle connections to an upstream of the service this host may keep. All hosts
    /// together keep at most half of those that the upstream accepts, so that new ones are possible
    /// from any host.
    pub(crate) fn idle_connections_max(&self, service: &str) -> usize {
        let table = self.routing_table.borrow();
        let rules = table.as_ref().and_then(|table| table.services.get(service));
        let hosts = self.roster.borrow().lenders().count() + 1;
        rules.and_then(|rules| rules.connections_max).map_or(usize::MAX, |max| {
            (usize::try_from(max).unwrap_or(usize::MAX) / (2 * hosts)).max(1)
        })
    }

    /// Returns whether the platform should send new connections to this host.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage.get() == Stage::Serving
            && self.has_received_upstreams.get()
            && self.has_synced_blame.get()
            && self.evacuations.is_known()
            && self.routing_table.borrow().is_some()
    }
}

fn create_placement(settings: &GatewaySettings) -> Placement {
    let mut placement = Placement::new(settings.domain.clone());
    if let Some(drain_time) = settings.drain_time {
        placement.set_drain_time(drain_time);
    }
    placement
}
