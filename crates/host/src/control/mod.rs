//! The control thread, which owns the state machines and runs one job at a time.
//!
//! Traffic threads submit jobs as closures over [`Control`]. Each job calls one method and may
//! store a [`Reply`] to be sent later. Jobs never block: commands of the state machines that need
//! the network become tasks on the traffic threads.

pub(crate) mod allowance;
pub(crate) mod config;
pub(crate) mod dispatch;
pub(crate) mod home;
pub(crate) mod journals;
mod members;
mod retire;
mod sweeper;

use {
    crate::shared::Shared,
    allowance::Allowances,
    config::ConfigState,
    dispatch::Dispatchers,
    home::Homes,
    journals::Journals,
    smol::channel::{Receiver, Sender},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    sweeper::Sweeper,
    trefoilring_core::{
        journal::Backup,
        membership::{Identity, Membership, Options},
        verdict::{Reason, Refusal},
    },
    trefoilring_edge::StopReceiver,
};

/// A closure to run on the control thread.
pub(crate) type Job = Box<dyn FnOnce(&mut Control) + Send>;
/// Channel for a reply that may be sent later. Dropping it refuses the request.
pub(crate) type Reply<T> = Sender<T>;

/// Maximum number of jobs run before the timers are checked again.
const MAX_JOBS_PER_ITERATION: usize = 64;
/// Maximum sleep of the control thread.
const MAX_SLEEP: Duration = Duration::from_secs(1);
/// Memory limit for copies of other hosts' journals while the store is unavailable, in bytes.
const BACKUP_BYTES: usize = 64 << 20;
/// Number of membership ticks per heartbeat interval. The membership timers require at least this
/// resolution.
const TICKS_PER_HEARTBEAT: u32 = 10;

/// Submits jobs to the control thread.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    jobs: Sender<Job>,
}

impl ControlHandle {
    /// Creates the handle and the queue that the control thread reads.
    pub(crate) fn new() -> (Self, Receiver<Job>) {
        let (jobs, queue) = smol::channel::unbounded();
        (Self { jobs }, queue)
    }

    /// Runs a job without waiting for it.
    pub(crate) fn submit(&self, job: impl FnOnce(&mut Control) + Send + 'static) {
        // The queue is closed once the host has stopped. The job can be dropped then.
        let _ = self.jobs.try_send(Box::new(job));
    }

    /// Runs a job and waits for the reply that it or a later job sends.
    pub(crate) async fn request<T: Send + 'static>(
        &self,
        job: impl FnOnce(&mut Control, Reply<T>) + Send + 'static,
    ) -> Result<T, Refusal> {
        let (reply, answer) = smol::channel::bounded(1);
        self.submit(move |control| job(control, reply));
        answer.recv().await.map_err(|_| {
            Refusal::may_have_run(Reason::HomeUnavailable, "the host stopped before it answered")
        })
    }
}

/// The state machines of one host and the data needed to run them.
pub(crate) struct Control {
    pub(crate) shared: Arc<Shared>,
    pub(crate) membership: Membership,
    pub(crate) dispatchers: Dispatchers,
    pub(crate) homes: Homes,
    pub(crate) backup: Backup,
    journals: Journals,
    allowances: Allowances,
    config: ConfigState,
    sweeper: Sweeper,
    known_peers: Vec<SocketAddr>,
    /// Start of the current uninterrupted lease; `None` without a lease.
    leased_since: Option<Instant>,
    next_member_tick: Instant,
    next_gauges: Instant,
    /// Set when this host is leaving. The reply is sent once the roster shows that it has left.
    leave_reply: Option<Reply<()>>,
}

/// Runs the control thread until it is stopped.
pub(crate) fn run(shared: Arc<Shared>, jobs: Receiver<Job>, stop: &StopReceiver) {
    let mut control = Control::new(shared, Instant::now());
    smol::block_on(async {
        while !stop.is_stopped() {
            let sleep = control.next_wake().saturating_duration_since(Instant::now());
            let job = smol::future::or(async { jobs.recv().await.ok() }, async {
                smol::future::or(wait(sleep), stop.wait()).await;
                None
            });
            if let Some(job) = job.await {
                job(&mut control);
            }
            for _ in 0..MAX_JOBS_PER_ITERATION {
                let Ok(job) = jobs.try_recv() else { break };
                job(&mut control);
            }
            control.tick(Instant::now());
        }
    });
}

async fn wait(sleep: Duration) {
    if !sleep.is_zero() {
        smol::Timer::after(sleep.min(MAX_SLEEP)).await;
    }
}

impl Control {
    fn new(shared: Arc<Shared>, now: Instant) -> Self {
        let identity = Identity {
            member: shared.member.clone(),
            address: shared.settings.advertise.to_string(),
            domain: shared.settings.domain.clone(),
        };
        let mut options = Options::from_heartbeat(shared.settings.heartbeat);
        options.lease = shared.settings.lease;
        options.margin = shared.settings.lease / 4;
        Self {
            membership: Membership::new(now, identity, options),
            dispatchers: Dispatchers::new(shared.clone()),
            homes: Homes::new(shared.clone(), now),
            backup: Backup::new(shared.member.clone(), BACKUP_BYTES),
            journals: Journals::default(),
            allowances: Allowances::new(now),
            config: ConfigState::new(&shared, now),
            sweeper: Sweeper::new(now),
            known_peers: Vec::new(),
            leased_since: None,
            next_member_tick: now,
            next_gauges: now,
            leave_reply: None,
            shared,
        }
    }

    /// Returns when the next timer is due.
    fn next_wake(&self) -> Instant {
        let timers = [
            Some(self.next_member_tick),
            Some(self.homes.next_sweep()),
            self.homes.next_wake(),
            self.journals.next_wake(),
            self.dispatchers.next_wake(),
            Some(self.sweeper.next_wake()),
        ];
        timers.into_iter().flatten().min().unwrap_or(self.next_member_tick)
    }

    fn tick(&mut self, now: Instant) {
        if now >= self.next_member_tick {
            self.next_member_tick = now + self.shared.settings.heartbeat / TICKS_PER_HEARTBEAT;
            self.tick_members(now);
            self.tick_config();
            self.allowances.sweep(now);
            self.shared.relays.sweep(now);
        }
        self.tick_journals(now);
        self.dispatchers.tick(now);
        self.tick_sweeper(now);
        self.release_ended_programs();
        self.set_gauges(now);
    }

    fn set_gauges(&mut self, now: Instant) {
        if now < self.next_gauges {
            return;
        }
        self.next_gauges = now + self.shared.settings.metrics_interval;
        let metrics = &self.shared.metrics;
        metrics.gauge("programs.live", self.homes.live_programs() as u64);
        metrics.gauge("programs.estimated_bytes", self.homes.estimated_bytes() as u64);
        metrics.gauge("dispatch.waiting", self.dispatchers.waiting() as u64);
        metrics.gauge("backup.held_bytes", self.backup.held_bytes() as u64);
        metrics.gauge("members.live", self.membership.live_hosts().count() as u64);
        metrics.gauge("limiter.buckets", self.allowances.len() as u64);
        let counts = self.shared.objects.counts();
        metrics.gauge("store.reads", counts.reads);
        metrics.gauge("store.writes", counts.writes);
        metrics.gauge("store.watches", counts.watches);
    }
}
