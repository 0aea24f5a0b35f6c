//! Runs the dispatchers of the pools assigned to this host and keeps their waiting requests.

use {
    crate::{
        control::{Control, Reply},
        observe::events::EventFields,
        shared::Shared,
    },
    slab::Slab,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    trefoilring_clients::{CacheEvents, Engine, Load, UpstreamRecord},
    trefoilring_core::{
        ids::{DomainId, HostId, ProgramId, ServiceId, UpstreamId},
        sched::{
            CacheEvent, Command, Dispatcher, DispatcherOptions, LoadReport, LogEvent, Outcome,
            SlotGrant, SlotRelease, SlotRequest, Ticket, UpstreamView, WaiterId,
        },
        verdict::Refusal,
    },
};

/// Interval for polling the load and cache events of an engine.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// All pools for which this host is the dispatcher.
pub(crate) struct Dispatchers {
    shared: Arc<Shared>,
    pools: BTreeMap<ServiceId, Pool>,
    records: Vec<UpstreamRecord>,
    hosts: BTreeMap<HostId, DomainId>,
}

struct Pool {
    dispatcher: Dispatcher,
    waiters: Slab<Reply<Result<SlotGrant, Refusal>>>,
    wake_at: Option<Instant>,
    next_poll: Instant,
    /// Position up to which the cache events of each engine have been read.
    cache_positions: BTreeMap<UpstreamId, u64>,
}

impl Dispatchers {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, pools: BTreeMap::new(), records: Vec::new(), hosts: BTreeMap::new() }
    }

    /// Applies a new host list. The list lags, so an upstream that is missing from it may still
    /// answer.
    pub(crate) fn set_upstreams(&mut self, now: Instant, records: Vec<UpstreamRecord>) {
        self.records = records;
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        for service in services {
            let upstream_views = self.upstream_views(&service);
            self.update_pool(&service, |pool| pool.dispatcher.set_upstreams(now, upstream_views));
        }
    }

    /// Sets the failure domains of the live hosts.
    pub(crate) fn set_hosts(&mut self, hosts: BTreeMap<HostId, DomainId>) {
        for pool in self.pools.values_mut() {
            pool.dispatcher.set_hosts(hosts.clone());
        }
        self.hosts = hosts;
    }

    /// Applies new declarations to all pools.
    pub(crate) fn set_catalog(&mut self) {
        let catalog = self.shared.catalog();
        for pool in self.pools.values_mut() {
            pool.dispatcher.set_catalog(&catalog);
        }
    }

    /// Queues a request. The reply carries the grant or the refusal.
    pub(crate) fn request(
        &mut self,
        now: Instant,
        request: SlotRequest,
        reply: Reply<Result<SlotGrant, Refusal>>,
    ) {
        let service = request.service.clone();
        self.ensure_pool(now, &service);
        self.update_pool(&service, |pool| {
            let waiter = pool.waiters.insert(reply) as WaiterId;
            pool.dispatcher.request(now, request, waiter)
        });
    }

    /// Releases a slot.
    pub(crate) fn release(&mut self, now: Instant, release: SlotRelease) {
        let service = release.service.clone();
        self.update_pool(&service, |pool| pool.dispatcher.release(now, release));
    }

    /// Removes a program from all pools.
    pub(crate) fn on_program_ended(&mut self, now: Instant, program: &ProgramId) {
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        for service in services {
            self.update_pool(&service, |pool| pool.dispatcher.program_ended(now, program));
        }
    }

    /// Drops the waiting requests of a lost home.
    pub(crate) fn on_home_lost(&mut self, now: Instant, home: &HostId) {
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        for service in services {
            self.update_pool(&service, |pool| pool.dispatcher.home_lost(now, home));
        }
    }

    /// Drops pools that now have a dispatcher on another host. Their waiting requests are retried
    /// there.
    pub(crate) fn retain(&mut self, is_local: impl Fn(&ServiceId) -> bool) {
        self.pools.retain(|service, _| is_local(service));
    }

    /// Runs the timers that are due and polls engines.
    pub(crate) fn tick(&mut self, now: Instant) {
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        for service in services {
            if self.pools[&service].wake_at.is_some_and(|wake| wake <= now) {
                // The dispatcher sets a new time only if it needs one. The old time is cleared so
                // that it does not stay due.
                self.update_pool(&service, |pool| {
                    pool.wake_at = None;
                    pool.dispatcher.tick(now)
                });
            }
            if self.pools[&service].next_poll <= now {
                self.poll(now, &service);
            }
        }
    }

    /// Returns when [`Dispatchers::tick`] is due.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        let wakes =
            self.pools.values().flat_map(|pool| pool.wake_at.into_iter().chain([pool.next_poll]));
        wakes.min()
    }

    /// Returns the number of waiting requests over all pools.
    pub(crate) fn waiting(&self) -> usize {
        self.pools.values().map(|pool| pool.dispatcher.waiting()).sum()
    }

    fn ensure_pool(&mut self, now: Instant, service: &ServiceId) {
        if self.pools.contains_key(service) {
            return;
        }
        let options = DispatcherOptions::new(service.clone()).seed(self.shared.member.incarnation);
        let mut dispatcher = Dispatcher::new(options);
        dispatcher.set_catalog(&self.shared.catalog());
        dispatcher.set_hosts(self.hosts.clone());
        let pool = Pool {
            dispatcher,
            waiters: Slab::new(),
            wake_at: None,
            next_poll: now,
            cache_positions: BTreeMap::new(),
        };
        self.pools.insert(service.clone(), pool);
        let upstream_views = self.upstream_views(service);
        self.update_pool(service, |pool| pool.dispatcher.set_upstreams(now, upstream_views));
    }

    fn upstream_views(&self, service: &ServiceId) -> Vec<UpstreamView> {
        self.records
            .iter()
            .filter(|record| record.service == *service)
            .map(to_upstream_view)
            .collect()
    }

    /// Applies `update` to the pool of a service and runs the commands that follow. Releases the
    /// slots of grants that could not be delivered.
    fn update_pool(&mut self, service: &ServiceId, update: impl FnOnce(&mut Pool) -> Vec<Command>) {
        let Some(pool) = self.pools.get_mut(service) else { return };
        let mut commands = update(pool);
        while !commands.is_empty() {
            let mut undelivered = Vec::new();
            for command in commands {
                undelivered.extend(run_command(&self.shared, &self.records, pool, command));
            }
            let release =
                |ticket| SlotRelease { service: service.clone(), ticket, outcome: Outcome::Unused };
            let releases = undelivered.into_iter().map(release);
            let now = Instant::now();
            commands = releases.flat_map(|r| pool.dispatcher.release(now, r)).collect();
        }
    }

    /// Polls the pool's engines for load and cache events. Only the dispatcher's host polls, so
    /// each engine is polled by one host.
    fn poll(&mut self, now: Instant, service: &ServiceId) {
        let Some(pool) = self.pools.get_mut(service) else { return };
        pool.next_poll = now + POLL_INTERVAL;
        let catalog = self.shared.catalog();
        let kind = catalog.services.get(service).map(|service| service.kind);
        if kind != Some(trefoilring_core::catalog::ServiceKind::Engine) {
            return;
        }
        for record in self.records.iter().filter(|record| record.service == *service) {
            let since = pool.cache_positions.get(&record.upstream).copied().unwrap_or_default();
            let task = poll_engine(self.shared.clone(), record.clone(), since);
            self.shared.spawn(task);
        }
    }

    /// Applies the load and cache events that an engine reported.
    fn on_polled(
        &mut self,
        now: Instant,
        record: &UpstreamRecord,
        load: Option<Load>,
        events: Option<CacheEvents>,
    ) {
        let upstream = &record.upstream;
        if let Some(load) = load {
            self.update_pool(&record.service, |pool| {
                pool.dispatcher.load_report(now, upstream, to_report(&load))
            });
        }
        let Some(events) = events else { return };
        self.update_pool(&record.service, |pool| {
            pool.cache_positions.insert(upstream.clone(), events.next);
            let to_commands = |event: trefoilring_clients::CacheEvent| {
                pool.dispatcher.cache_event(now, upstream, to_cache_event(event))
            };
            events.events.into_iter().flat_map(to_commands).collect()
        });
    }
}

/// Runs a command. Returns the ticket of a grant that could not be delivered because the requester
/// no longer waits.
fn run_command(
    shared: &Arc<Shared>,
    records: &[UpstreamRecord],
    pool: &mut Pool,
    command: Command,
) -> Option<Ticket> {
    match command {
        Command::Grant { waiter, grant } => {
            let ticket = grant.ticket;
            return (!reply_to_waiter(pool, waiter, Ok(grant))).then_some(ticket);
        }
        Command::Refuse { waiter, refusal } => {
            reply_to_waiter(pool, waiter, Err(refusal));
        }
        Command::Release { upstream, program } => {
            let record = records.iter().find(|record| record.upstream == upstream);
            if let Some(record) = record {
                release_memory(shared, record.upstream.clone(), record.address, program);
            }
        }
        Command::LogEvent(log_event) => record_log_event(shared, log_event),
        Command::WakeAt(at) => pool.wake_at = Some(at),
    }
    None
}

/// Replies to a waiting request. Returns whether its home was still waiting.
fn reply_to_waiter(pool: &mut Pool, waiter: WaiterId, result: Result<SlotGrant, Refusal>) -> bool {
    let reply = pool.waiters.try_remove(waiter as usize);
    reply.is_some_and(|reply| reply.try_send(result).is_ok())
}

/// Releases an engine's memory for a program in the background. If a release is lost, the memory
/// sweep repeats it.
pub(crate) fn release_memory(
    shared: &Arc<Shared>,
    upstream: UpstreamId,
    address: SocketAddr,
    program: ProgramId,
) {
    let task_shared = shared.clone();
    shared.spawn(async move {
        match Engine::new(address).release(&program).await {
            Ok(()) => {
                let fields = EventFields::for_program(&program).upstream(&upstream);
                task_shared.events.record(trefoilring_core::event::Kind::MemoryReleased, fields);
            }
            Err(error) => {
                log::debug!("failed to release memory of {program} at {upstream}: {error}")
            }
        }
    });
}

fn record_log_event(shared: &Shared, log_event: LogEvent) {
    let fields = EventFields {
        program: log_event.program,
        request: log_event.request,
        team: log_event.team,
        upstream: log_event.upstream,
        details: log_event.details,
        ..EventFields::default()
    };
    shared.events.record(log_event.kind, fields);
}

async fn poll_engine(shared: Arc<Shared>, record: UpstreamRecord, since: u64) {
    let engine = Engine::new(record.address).with_timeout(POLL_INTERVAL);
    let load = engine.load().await.ok();
    let events = engine.cache_events(since).await.ok();
    let job = move |control: &mut Control| {
        control.dispatchers.on_polled(Instant::now(), &record, load, events);
    };
    shared.control.submit(job);
}

fn to_upstream_view(record: &UpstreamRecord) -> UpstreamView {
    UpstreamView {
        upstream: record.upstream.clone(),
        address: record.address.to_string(),
        domain: record.domain.clone(),
        is_leaving: record.is_leaving,
        models: record.models.clone(),
    }
}

fn to_report(load: &Load) -> LoadReport {
    LoadReport {
        running: u32::try_from(load.running).unwrap_or(u32::MAX),
        waiting: u32::try_from(load.waiting).unwrap_or(u32::MAX),
        kv_used_tokens: load.kv_used_tokens,
        kv_capacity_tokens: load.kv_capacity_tokens,
        age: Duration::from_millis(load.age_ms),
    }
}

fn to_cache_event(event: trefoilring_clients::CacheEvent) -> CacheEvent {
    CacheEvent { sequence: event.sequence, program: event.program, tokens: event.tokens }
}
