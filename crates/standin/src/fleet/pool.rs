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
    kill_senders: Vec<Sender<()>>,
    _supervisors: Vec<Task<()>>,
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
        let (mut kill_senders, mut supervisors) = (Vec::new(), Vec::new());
        for _ in 0..options.size {
            let (kill_sender, kills) = smol::channel::bounded(1);
            let first = pool.start_worker().await?;
            supervisors.push(smol::spawn(pool.clone().supervise(first, kills)));
            kill_senders.push(kill_sender);
        }
        Ok(Self { pool, kill_senders, _supervisors: supervisors })
    }

    /// Kills one of the workers, if it runs. It restarts like a crashed one.
    pub fn kill(&self, index: usize) {
        // Fails if a kill of this worker is pending.
        let _ = self.kill_senders[index].try_send(());
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

    async fn start_worker(&self) -> io::Result<(String, WorkerStandin)> {
        let id = format!("w-{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let worker = WorkerStandin::start(&id).await?;
        worker.set_fault(self.options.fault);
        self.store.put("servers", &id, worker.entry());
        let mut state = self.lock();
        state.logs.push(worker.run_log());
        state.running += 1;
        Ok((id, worker))
    }

    fn record_crash(&self) {
        let mut state = self.lock();
        state.crashed_at.push(Instant::now());
        state.running -= 1;
    }

    async fn supervise(self: Arc<Self>, first: (String, WorkerStandin), kills: Receiver<()>) {
        let (mut id, mut worker) = first;
        loop {
            let killed = async {
                // The sender lives as long as the pool.
                let _ = kills.recv().await;
            };
            smol::future::or(worker.crashed(), killed).await;
            drop(worker);
            self.record_crash();
            Timer::after(self.options.restart_delay).await;
            // The worker was down, so there was nothing to kill.
            let _ = kills.try_recv();
            self.store.remove("servers", &id);
            match self.start_worker().await {
                Ok(started) => (id, worker) = started,
                Err(error) => {
                    log::error!("failed to restart worker {id}: {error}");
                    return;
                }
            }
        }
    }
}
