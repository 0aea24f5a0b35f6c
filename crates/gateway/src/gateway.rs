//! One gateway: its state, its tasks, and its life from start to planned stop.

use {
    crate::{
        allowance::Borrowings,
        call::Refunds,
        dialect::Dialect,
        front,
        http::ConnectionPool,
        ledger::{PARTITION_COUNT, Partition},
        outage_notes::OutageNoteStore,
        peers, roster,
        settings::GatewaySettings,
        status,
        store::{Directory, Store, StoredObject},
        time::within,
        watch,
    },
    event_listener::Event,
    serde_json::json,
    slab::Slab,
    smol::{LocalExecutor, Timer, channel::Receiver},
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, HashSet},
        io,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::Incarnation,
        placement::{Placement, WaitQueues},
        roster::Roster,
        routing::RoutingTable,
        shares::Shares,
    },
    trefoilring_observe::{
        decisions::{Decisions, Weight},
        log::wall_us,
        metrics::Metrics,
    },
};

/// How long a stopping host goes on to answer on open connections: the platform needs two misses of
/// its question, one a second, to send new ones elsewhere.
const LAME_DUCK_DURATION: Duration = Duration::from_millis(2500);
/// Time kept at the end of a planned stop, before the platform kills the process.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// How long a connection attempt may take: callers give up on one after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// How long one to another host may take: a lost packet is sent again after a second, and requests
/// wait.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How often idle connections are looked through.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// What translates between the gateway and the site that it runs at.
#[derive(Clone)]
pub struct Adapter {
    /// Heads of requests and answers.
    pub dialect: Rc<dyn Dialect>,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// What others write to the store.
    pub directory: Rc<dyn Directory>,
}

/// What a process is told from outside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Command {
    /// Stop gracefully.
    Stop,
    /// Read the settings again.
    Reload,
}

/// Reads the settings again.
pub type ReadSettings = Box<dyn Fn() -> Result<GatewaySettings, String>>;

/// Where a gateway listens, once ports that were left to the kernel are known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BoundAddresses {
    /// For callers, if it serves them.
    pub callers: Option<SocketAddr>,
    /// For the question whether it is ready.
    pub ready: Option<SocketAddr>,
    /// For other hosts.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Where the process is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// Takes requests; ready once it knows a configuration and upstreams.
    Serving,
    /// Says that it isn't ready, and goes on serving.
    LameDuck,
    /// Closes each connection after the answer under way.
    Closing,
}

/// One gateway. All of it stays on one thread.
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) adapter: Adapter,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) connections: Rc<ConnectionPool>,
    pub(crate) peer_connections: ConnectionPool,
    pub(crate) table: RefCell<Option<Rc<RoutingTable>>>,
    pub(crate) placement: RefCell<Placement>,
    /// Requests that wait for a place at a service whose upstreams are all full.
    pub(crate) full_services: RefCell<WaitQueues<Rc<Event>>>,
    pub(crate) roster: RefCell<Roster>,
    pub(crate) shares: RefCell<Shares>,
    pub(crate) borrowings: RefCell<Borrowings>,
    pub(crate) ledgers: RefCell<[Partition; PARTITION_COUNT]>,
    pub(crate) outage_notes: OutageNoteStore,
    pub(crate) refunds: RefCell<Refunds>,
    /// Hosts that did not answer and have not since.
    pub(crate) suspects: RefCell<HashSet<SocketAddr>>,
    /// Hosts that others did not reach either, each until when they are left out.
    pub(crate) lost: RefCell<HashMap<SocketAddr, Instant>>,
    /// The configuration in force, as it lies in the store.
    pub(crate) configuration: RefCell<Option<StoredObject>>,
    /// Peer addresses of some hosts, of use while no other is known.
    pub(crate) seeds: RefCell<Vec<SocketAddr>>,
    /// Which of this host's starts this is.
    pub(crate) incarnation: Incarnation,
    pub(crate) callers: RefCell<Slab<Rc<front::CallerConnection>>>,
    pub(crate) metrics: Metrics,
    pub(crate) decisions: Decisions,
    /// Where this gateway listens; `None` until all is bound.
    pub(crate) bound: Cell<Option<BoundAddresses>>,
    /// Whether all upstreams were listed once.
    pub(crate) has_upstreams: Cell<bool>,
    /// Tells tasks that pause after a failure of the store that it answers again.
    pub(crate) store_recovered: Event,
    pub(crate) stage: Cell<Stage>,
    /// Tells the listener for callers that no more connections are taken.
    pub(crate) closing: Event,
    /// Whether callers' connections are taken.
    pub(crate) is_accepting: Cell<bool>,
    /// Requests of callers that have no final answer yet.
    pub(crate) requests_open: Cell<usize>,
}

impl Gateway {
    /// Runs a gateway until it is told to stop, and then stops it gracefully. `adapter` makes the
    /// adapter on the gateway's connections, `read_settings` reads changed settings, and `on_bound`
    /// is told where the gateway listens.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or the data folder can't be used.
    pub fn run(
        settings: GatewaySettings,
        adapter: impl FnOnce(Rc<ConnectionPool>) -> Adapter,
        decisions: Decisions,
        read_settings: ReadSettings,
        commands: Receiver<Command>,
        on_bound: impl FnOnce(BoundAddresses),
    ) -> io::Result<()> {
        let executor = Rc::new(LocalExecutor::new());
        let connections = Rc::new(ConnectionPool::new(executor.clone(), CONNECT_TIMEOUT));
        let gateway = Rc::new(Self {
            adapter: adapter(connections.clone()),
            connections,
            peer_connections: ConnectionPool::new(executor.clone(), PEER_CONNECT_TIMEOUT),
            table: RefCell::default(),
            placement: RefCell::new(Placement::new(settings.domain.clone())),
            full_services: RefCell::default(),
            roster: RefCell::new(Roster::new(
                Instant::now(),
                settings.host.clone(),
                settings.callers_listen.is_some(),
            )),
            shares: RefCell::default(),
            borrowings: RefCell::default(),
            ledgers: RefCell::default(),
            outage_notes: OutageNoteStore::open(
                settings.data_folder.clone(),
                settings.is_first_start,
            )?,
            refunds: RefCell::default(),
            suspects: RefCell::default(),
            lost: RefCell::default(),
            configuration: RefCell::default(),
            seeds: RefCell::new(settings.seeds.clone()),
            incarnation: wall_us() / 1000,
            callers: RefCell::default(),
            metrics: Metrics::default(),
            decisions,
            closing: Event::new(),
            store_recovered: Event::new(),
            is_accepting: Cell::new(false),
            bound: Cell::new(None),
            has_upstreams: Cell::new(false),
            stage: Cell::new(Stage::Serving),
            requests_open: Cell::new(0),
            settings,
            executor: executor.clone(),
        });
        smol::block_on(executor.run(gateway.serve(read_settings, commands, on_bound)))
    }

    /// Pauses after a failure of the store, until another task has reached it or the time is over.
    pub(crate) async fn wait_for_store(&self, pause: Duration) {
        within(Instant::now() + pause, self.store_recovered.listen()).await;
    }

    async fn serve(
        self: &Rc<Self>,
        read_settings: ReadSettings,
        commands: Receiver<Command>,
        on_bound: impl FnOnce(BoundAddresses),
    ) -> io::Result<()> {
        let callers = front::start(self).await?;
        let peers = peers::start(self).await?;
        let (ready, metrics) = status::start(self).await?;
        let bound = BoundAddresses { callers, ready, peers, metrics };
        self.bound.set(Some(bound));
        on_bound(bound);
        roster::start(self);
        watch::start(self);
        self.spawn(self.clone().sweep());
        self.decisions.note(
            Weight::Rare,
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
                // Nobody can ask for anything: go on.
                Err(_) => std::future::pending::<()>().await,
            }
        }
        self.stop().await;
        Ok(())
    }

    /// Takes in changed settings. Only the seeds can change while the process runs.
    fn reload(&self, read_settings: &ReadSettings) {
        let settings = match read_settings() {
            Ok(settings) => settings,
            Err(error) => {
                log::error!("the settings stay as they are: {error}");
                self.decisions.note(Weight::Rare, "reload", json!({"error": error}));
                return;
            }
        };
        let running = &self.settings;
        let can_change = GatewaySettings {
            seeds: settings.seeds.clone(),
            // Says something of this start only.
            is_first_start: settings.is_first_start,
            ..running.clone()
        };
        let needs_restart = settings != can_change;
        self.decisions.note(
            Weight::Rare,
            "reload",
            json!({"seeds": settings.seeds, "needs_restart": needs_restart}),
        );
        if needs_restart {
            log::warn!("settings other than the seeds have changed: they hold from the next start");
        }
        *self.seeds.borrow_mut() = settings.seeds;
    }

    async fn stop(&self) {
        let began = Instant::now();
        let open = self.requests_open.get();
        self.decisions.note(Weight::Rare, "stop", json!({"requests_open": open}));
        self.stage.set(Stage::LameDuck);
        Timer::after(LAME_DUCK_DURATION).await;
        self.stage.set(Stage::Closing);
        // Lets the listener go first: a connection that came after the last one has ended would be
        // cut with its request.
        self.closing.notify(usize::MAX);
        while self.is_accepting.get() {
            Timer::after(Duration::from_millis(1)).await;
        }
        self.close_idle_callers();
        let end = began + self.settings.stop_grace.saturating_sub(STOP_MARGIN);
        while Instant::now() < end && !self.callers.borrow().is_empty() {
            Timer::after(Duration::from_millis(50)).await;
        }
        let left = self.callers.borrow().len();
        self.decisions.note(Weight::Rare, "stopped", json!({"connections_cut": left}));
        self.decisions.close();
        // Lets the writer thread finish the last batch.
        Timer::after(Duration::from_millis(20)).await;
    }

    fn close_idle_callers(&self) {
        for (_, connection) in self.callers.borrow().iter() {
            connection.close();
        }
    }

    /// Closes connections that are idle or slow for too long, and forgets unused ones to upstreams.
    async fn sweep(self: Rc<Self>) {
        loop {
            Timer::after(SWEEP_INTERVAL).await;
            let limits = self.table.borrow().as_ref().map(|table| table.limits).unwrap_or_default();
            let now = Instant::now();
            for (_, connection) in self.callers.borrow().iter() {
                connection.sweep(now, &limits);
            }
            self.connections.close_expired();
            self.peer_connections.close_expired();
        }
    }

    /// Runs a task beside the others.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Returns whether new connections are welcome.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage.get() == Stage::Serving
            && self.has_upstreams.get()
            && self.table.borrow().is_some()
    }
}
