//! A service of several workers that restart after a crash, each time with a new id and address.

use {
    super::{
        LinkFault, LinkProxy, ReplacedAddresses, StoreStandin,
        worker::{RecordedRequest, RunLog, WorkerFault, WorkerStandin},
    },
    smol::{
        Task, Timer,
        channel::{Receiver, Sender},
    },
    std::{
        io,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Time for which a worker serves after it has left the list, or announced that it leaves.
pub const DRAIN_TIME: Duration = Duration::from_millis(2500);

/// Behaviour of the workers of a [`WorkerPool`].
#[derive(Clone, Copy, Debug)]
pub struct PoolOptions {
    /// Number of workers that run at the same time.
    pub size: usize,
    /// Fault of each worker.
    pub fault: WorkerFault,
    /// Time between the crash of a worker and the start of its successor. The crashed worker's
    /// entry stays in the store for as long.
    pub restart_delay: Duration,
    /// Software versions of the workers, by their place in the pool. A released worker is replaced by
    /// one of the next version. If there are none, the events of streams name no version.
    pub versions: &'static [&'static str],
}

/// Workers that register in a store, and restart when they crash or are killed.
pub struct WorkerPool {
    pool: Arc<Pool>,
    end_senders: Vec<Sender<End>>,
    _supervisors: Vec<Task<()>>,
}

/// How a worker ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// It is killed.
    Kill,
    /// It leaves as planned. Without notice its entry is removed instead of marked.
    Release { gives_notice: bool },
}

struct Pool {
    store: StoreStandin,
    options: PoolOptions,
    next_id: AtomicU64,
    state: Mutex<State>,
    /// Leads hosts that use this view of the store through [`State::proxies`].
    proxied: ReplacedAddresses,
}

#[derive(Default)]
struct State {
    /// One entry for each worker that was ever started.
    logs: Vec<RunLog>,
    crashed_at: Vec<Instant>,
    running: usize,
    /// Faults of the workers by their place in the pool.
    faults: Vec<WorkerFault>,
    /// The last worker that was started in each place.
    last_started: Vec<Option<RunLog>>,
    /// Number of releases by the worker's place in the pool.
    releases: Vec<usize>,
    /// The proxy before the last worker that was started in each place.
    proxies: Vec<Option<LinkProxy>>,
    link_fault: LinkFault,
}

impl WorkerPool {
    /// Starts the workers and registers them.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(store: &StoreStandin, options: PoolOptions) -> io::Result<Self> {
        let store = store.open_address().await?;
        let (next_id, state) = (AtomicU64::new(1), Mutex::default());
        let proxied = ReplacedAddresses::default();
        let pool = Arc::new(Pool { store, options, next_id, state, proxied });
        let (mut end_senders, mut supervisors) = (Vec::new(), Vec::new());
        pool.lock().faults = vec![options.fault; options.size];
        pool.lock().last_started.resize_with(options.size, || None);
        pool.lock().proxies.resize_with(options.size, || None);
        pool.lock().releases.resize(options.size, 0);
        for index in 0..options.size {
            let (end_sender, ends) = smol::channel::bounded(1);
            let first = pool.start_worker(index).await?;
            supervisors.push(smol::spawn(pool.clone().supervise(index, first, ends)));
            end_senders.push(end_sender);
        }
        Ok(Self { pool, end_senders, _supervisors: supervisors })
    }

    /// Kills one of the workers, if it runs. It restarts like a crashed one.
    pub fn kill(&self, index: usize) {
        self.end(index, End::Kill);
    }

    /// Lets a worker leave as planned, if it runs: it says so in its answers, marks its entry as
    /// draining, or removes it without notice, serves for [`DRAIN_TIME`] and ends. Then it is replaced.
    pub fn release(&self, index: usize, gives_notice: bool) {
        self.end(index, End::Release { gives_notice });
    }

    fn end(&self, index: usize, end: End) {
        // Fails if an end of this worker is pending.
        let _ = self.end_senders[index].try_send(end);
    }

    /// Returns the addresses of proxies before the workers, for a view of the store.
    pub fn proxied_addresses(&self) -> ReplacedAddresses {
        self.pool.proxied.clone()
    }

    /// Sets the fault of all proxies before workers.
    pub fn set_link_fault(&self, fault: LinkFault) {
        let mut state = self.pool.lock();
        state.link_fault = fault;
        state.proxies.iter().flatten().for_each(|proxy| proxy.set_fault(fault));
    }

    /// Closes all connections through proxies.
    pub fn reset_links(&self) {
        self.pool.lock().proxies.iter().flatten().for_each(LinkProxy::reset);
    }

    /// Sets the limit that a worker names in its answers, in requests a second.
    pub fn set_rate_limit(&self, index: usize, limit_per_s: Option<f64>) {
        if let Some(worker) = &self.pool.lock().last_started[index] {
            worker.set_rate_limit(limit_per_s);
        }
    }

    /// Sets the fault of a worker and its successors.
    pub fn set_fault(&self, index: usize, fault: WorkerFault) {
        let mut state = self.pool.lock();
        state.faults[index] = fault;
        if let Some(worker) = &state.last_started[index] {
            worker.set_fault(fault);
        }
    }

    /// Returns the requests that any worker has started to run, oldest first.
    pub fn runs(&self) -> Vec<RecordedRequest> {
        let mut runs: Vec<_> = self.pool.lock().logs.iter().flat_map(RunLog::runs).collect();
        runs.sort_by_key(|run| run.started_at);
        runs
    }

    /// Returns whether all workers run.
    pub fn is_complete(&self) -> bool {
        self.pool.lock().running == self.pool.options.size
    }

    /// Returns when workers have crashed or were killed, oldest first.
    pub fn crashed_at(&self) -> Vec<Instant> {
        self.pool.lock().crashed_at.clone()
    }
}

impl Pool {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn start_worker(&self, index: usize) -> io::Result<(String, WorkerStandin)> {
        let id = format!("w-{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let versions = self.options.versions;
        let version = match versions.len() {
            0 => None,
            count => Some(versions[(index + self.lock().releases[index]) % count]),
        };
        let worker = WorkerStandin::start_at(self.store.address.ip(), &id, version).await?;
        let proxy = LinkProxy::start(worker.address).await?;
        proxy.set_fault(self.lock().link_fault);
        {
            let mut proxied = self.proxied.lock().unwrap_or_else(PoisonError::into_inner);
            // The addresses of earlier workers may be used again.
            proxied.retain(|(from, _)| *from != worker.address);
            proxied.push((worker.address, proxy.address));
        }
        worker.set_fault(self.lock().faults[index]);
        self.store.put("servers", &id, worker.entry());
        let mut state = self.lock();
        state.logs.push(worker.run_log());
        state.last_started[index] = Some(worker.run_log());
        state.proxies[index] = Some(proxy);
        state.running += 1;
        Ok((id, worker))
    }

    fn record_end(&self, end: End) {
        let mut state = self.lock();
        if end == End::Kill {
            state.crashed_at.push(Instant::now());
        }
        state.running -= 1;
    }

    async fn supervise(
        self: Arc<Self>,
        index: usize,
        first: (String, WorkerStandin),
        ends: Receiver<End>,
    ) {
        let (mut id, mut worker) = first;
        loop {
            let crashed = async {
                worker.crashed().await;
                End::Kill
            };
            let ended = async {
                // The sender lives as long as the pool.
                ends.recv().await.unwrap_or(End::Kill)
            };
            let end = smol::future::or(crashed, ended).await;
            if let End::Release { gives_notice } = end {
                worker.set_leaving(Some("1"));
                match gives_notice {
                    true => self.store.put("servers", &id, worker.draining_entry()),
                    false => self.store.remove("servers", &id),
                }
                Timer::after(DRAIN_TIME).await;
                self.lock().releases[index] += 1;
            }
            drop(worker);
            self.record_end(end);
            Timer::after(self.options.restart_delay).await;
            // The worker was down, so there was nothing to kill.
            let _ = ends.try_recv();
            self.store.remove("servers", &id);
            match self.start_worker(index).await {
                Ok(started) => (id, worker) = started,
                Err(error) => {
                    log::error!("failed to restart worker {id}: {error}");
                    return;
                }
            }
        }
    }
}
