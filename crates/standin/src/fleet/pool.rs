//! A service of several workers that restart after a crash, each time with a new id and address.

use {
    super::{
        StoreStandin,
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
        let pool = Arc::new(Pool { store, options, next_id, state });
        let (mut end_senders, mut supervisors) = (Vec::new(), Vec::new());
        pool.lock().faults = vec![options.fault; options.size];
        pool.lock().last_started.resize_with(options.size, || None);
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

    /// Lets a worker leave as planned, if it runs: it marks its entry as draining, or removes it
    /// without notice, serves for [`DRAIN_TIME`] and ends. Then it is replaced.
    pub fn release(&self, index: usize, gives_notice: bool) {
        self.end(index, End::Release { gives_notice });
    }

    fn end(&self, index: usize, end: End) {
        // Fails if an end of this worker is pending.
        let _ = self.end_senders[index].try_send(end);
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
        let worker = WorkerStandin::start(&id).await?;
        worker.set_fault(self.lock().faults[index]);
        self.store.put("servers", &id, worker.entry());
        let mut state = self.lock();
        state.logs.push(worker.run_log());
        state.last_started[index] = Some(worker.run_log());
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
                match gives_notice {
                    true => self.store.put("servers", &id, worker.draining_entry()),
                    false => self.store.remove("servers", &id),
                }
                Timer::after(DRAIN_TIME).await;
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
