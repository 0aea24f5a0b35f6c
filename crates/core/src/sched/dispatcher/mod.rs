//! Dispatcher of one pool: decides which waiting request gets which slot, and when.
//!
//! A dispatcher holds only soft state. A new one starts empty with low limits. Homes report the
//! slots that they hold through [`Dispatcher::adopt`] and resend their waiting requests. Homes rely
//! on only one guarantee: a refused request was never sent to an upstream.

mod grant;
mod health;
mod intake;
mod memory;
mod place;

use {
    super::{
        AdoptedSlot, CacheEvent, Command, DispatcherOptions, LoadReport, LogEvent, SlotRelease,
        SlotRequest, Ticket, UpstreamView, WaiterId,
        estimate::Estimates,
        fair::{FairShare, TeamIndex},
        programs::Programs,
        retry::RetryBudget,
        shed::Shedding,
        suspects::Suspects,
        upstream::{Upstream, UpstreamKey, WaitKey},
    },
    crate::{
        catalog::Catalog,
        event::Kind,
        ids::{ClassId, DomainId, HostId, ProgramId, UpstreamId},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    slotmap::SlotMap,
    std::{
        cell::Cell,
        collections::{BTreeMap, BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

/// Interval between ticks while requests wait.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// A slot is freed once its call has exceeded the service's deadline by this much: its home must
/// have died without releasing it.
const LEAK_MARGIN: Duration = Duration::from_secs(30);
/// Deadline of a call if the catalog has none for the service.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);
/// Time after the start during which calls reported by an engine but unknown to this dispatcher
/// count as load.
const SETTLING_PERIOD: Duration = Duration::from_secs(30);
/// Interval between two sweeps for expired state.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
/// Prefill rate assumed until one has been measured.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 5_000.0;

#[derive(Clone, Debug)]
struct WaitingRequest {
    waiter: WaiterId,
    request: SlotRequest,
    team: TeamIndex,
    arrived: Instant,
    arrival_seq: u64,
    rank: i64,
    wait_queue: WaitQueue,
}

/// The queue in which a request waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WaitQueue {
    /// Queue of one upstream.
    Upstream(UpstreamKey),
    /// No upstream is available; the request waits until one is.
    Parked,
    /// The request is suspected of crashing upstreams and waits for an upstream to run on alone.
    Suspected,
}

#[derive(Clone, Debug)]
struct Slot {
    upstream: UpstreamKey,
    request: SlotRequest,
    team: TeamIndex,
    granted: Instant,
    /// KV cache tokens that the call is expected to need at the upstream.
    kv_tokens: u64,
    /// Weighted tokens charged to the team when the slot was granted.
    charged_tokens: u64,
    is_alone: bool,
    /// Whether the upstream crashed during this call and the crash is already counted, because
    /// another call was released before.
    is_crash_counted: bool,
}

/// Counters of a dispatcher since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DispatcherCounts {
    /// Slots granted.
    pub granted: u64,
    /// Requests refused for any reason, including shed ones.
    pub refused: u64,
    /// New programs refused under overload.
    pub shed: u64,
    /// Requests moved from the queue of one upstream to another upstream with free slots.
    pub stolen: u64,
    /// Prompt tokens of answered turns that the engine had in its prefix cache.
    pub cached_tokens: u64,
    /// Prompt tokens of answered turns that the engine prefilled.
    pub prefilled_tokens: u64,
}

/// Orders, places and admits the requests for one pool of upstreams, with fairness between teams.
#[derive(Debug)]
pub struct Dispatcher {
    options: DispatcherOptions,
    /// `now` of the first input, from which all ranks are counted.
    first_call_at: Option<Instant>,
    targets: BTreeMap<ClassId, Duration>,
    deadline: Duration,
    hosts: BTreeMap<HostId, DomainId>,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_id: HashMap<UpstreamId, UpstreamKey>,
    /// Upstreams of each failure domain that accept calls, ordered by load.
    accepting_by_load: BTreeMap<DomainId, BTreeSet<(u64, UpstreamKey)>>,
    /// Upstreams with queued requests, ordered by load.
    upstreams_with_queue: BTreeSet<(u64, UpstreamKey)>,
    /// Ejected upstreams, ordered by the end of their ejection.
    ejected: BTreeSet<(Instant, UpstreamKey)>,
    /// Running and queued calls at upstreams that accept calls.
    calls_at_accepting: i64,
    /// Sum of the limits of upstreams that accept calls.
    total_slots: i64,
    slots: HashMap<Ticket, Slot>,
    waiting: SlotMap<WaitKey, WaitingRequest>,
    by_waiter: HashMap<WaiterId, WaitKey>,
    /// Parked requests, ordered by `arrival_seq`.
    parked: BTreeSet<(u64, WaitKey)>,
    /// Waiting suspected requests, ordered by `arrival_seq`.
    suspected: BTreeSet<(u64, WaitKey)>,
    /// First upstream of each running fingerprint, and the number of its running calls.
    running_fingerprints: HashMap<u64, (UpstreamKey, u32)>,
    programs: Programs,
    estimates: Estimates,
    teams: FairShare,
    shedding: Shedding,
    suspects: Suspects,
    retries: RetryBudget,
    prefill_tokens_per_s: f64,
    counts: DispatcherCounts,
    next_arrival_seq: u64,
    next_ticket: Ticket,
    round_robin_index: Cell<usize>,
    last_tick: Option<Instant>,
    last_sweep: Option<Instant>,
    wake_at: Option<Instant>,
    rng: StdRng,
    commands: Vec<Command>,
}

impl Dispatcher {
    /// Creates a dispatcher without upstreams.
    pub fn new(options: DispatcherOptions) -> Self {
        let mut rng = StdRng::seed_from_u64(options.seed);
        // Tickets of two dispatchers must differ, because a home may release a slot at either of
        // them.
        let next_ticket = rng.random::<u64>() >> 1 & !0xffff_ffff;
        Self {
            teams: FairShare::new(options.fairness_window_tokens, options.is_fair),
            options,
            first_call_at: None,
            targets: BTreeMap::new(),
            deadline: DEFAULT_DEADLINE,
            hosts: BTreeMap::new(),
            upstreams: SlotMap::with_key(),
            by_id: HashMap::new(),
            accepting_by_load: BTreeMap::new(),
            upstreams_with_queue: BTreeSet::new(),
            ejected: BTreeSet::new(),
            calls_at_accepting: 0,
            total_slots: 0,
            slots: HashMap::new(),
            waiting: SlotMap::with_key(),
            by_waiter: HashMap::new(),
            parked: BTreeSet::new(),
            suspected: BTreeSet::new(),
            running_fingerprints: HashMap::new(),
            programs: Programs::default(),
            estimates: Estimates::default(),
            shedding: Shedding::default(),
            suspects: Suspects::default(),
            retries: RetryBudget::default(),
            prefill_tokens_per_s: DEFAULT_PREFILL_TOKENS_PER_S,
            counts: DispatcherCounts::default(),
            next_arrival_seq: 0,
            next_ticket,
            round_robin_index: Cell::new(0),
            last_tick: None,
            last_sweep: None,
            wake_at: None,
            rng,
            commands: Vec::new(),
        }
    }

    /// Applies the targets, team weights and deadline from a catalog. Waiting requests are ranked
    /// again, so that a changed target takes effect at once.
    pub fn set_catalog(&mut self, catalog: &Catalog) {
        self.targets =
            catalog.classes.iter().map(|(id, class)| (id.clone(), class.target())).collect();
        self.teams
            .set_weights(catalog.teams.iter().map(|(id, team)| (id.clone(), team.rate_per_s)));
        let service = catalog.services.get(&self.options.service);
        self.deadline = service.map_or(DEFAULT_DEADLINE, |service| service.deadline());
        self.rerank();
    }

    /// Sets the failure domain of each host, so that upstreams in the home's own domain are
    /// preferred.
    pub fn set_hosts(&mut self, hosts: BTreeMap<HostId, DomainId>) {
        self.hosts = hosts;
    }

    /// Replaces the list of upstreams.
    pub fn set_upstreams(&mut self, now: Instant, views: Vec<UpstreamView>) -> Vec<Command> {
        self.begin(now);
        let listed: BTreeSet<UpstreamId> = views.iter().map(|view| view.upstream.clone()).collect();
        for view in views {
            self.update_upstream(view);
        }
        // Marks all removed upstreams before requeueing, so that no request moves to one that is
        // also being removed.
        self.mark_unlisted(&listed);
        self.requeue_from_removed_or_draining(now);
        self.place_parked(now);
        self.grant_slots_at_all(now);
        self.finish(now)
    }

    /// Handles a request for a slot. It is granted or refused now or by a later command.
    pub fn request(
        &mut self,
        now: Instant,
        request: SlotRequest,
        waiter: WaiterId,
    ) -> Vec<Command> {
        self.begin(now);
        self.handle_request(now, request, waiter);
        self.finish(now)
    }

    /// Cancels a waiting request. Unknown waiters are ignored.
    pub fn cancel(&mut self, now: Instant, waiter: WaiterId) -> Vec<Command> {
        self.begin(now);
        if let Some(&key) = self.by_waiter.get(&waiter) {
            self.remove_waiting(key);
        }
        self.finish(now)
    }

    /// Releases a slot. Unknown tickets are ignored.
    pub fn release(&mut self, now: Instant, release: SlotRelease) -> Vec<Command> {
        self.begin(now);
        self.handle_release(now, release);
        self.finish(now)
    }

    /// Records a slot that another dispatcher granted. Known tickets are ignored.
    pub fn adopt(&mut self, now: Instant, adopted: AdoptedSlot) -> Vec<Command> {
        self.begin(now);
        self.adopt_slot(now, adopted);
        self.finish(now)
    }

    /// Applies a load report. Reports for unknown upstreams are ignored.
    pub fn load_report(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        report: LoadReport,
    ) -> Vec<Command> {
        self.begin(now);
        let is_settled =
            self.first_call_at.is_some_and(|at| now.duration_since(at) > SETTLING_PERIOD);
        if let Some(&key) = self.by_id.get(upstream) {
            self.modify_upstream(key, |upstream| upstream.on_report(now, &report, is_settled));
            self.grant_slots_at(now, key);
        }
        self.finish(now)
    }

    /// Applies a change of an engine's cache. Unknown upstreams and outdated events are ignored.
    pub fn cache_event(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        event: CacheEvent,
    ) -> Vec<Command> {
        self.begin(now);
        if let Some(&key) = self.by_id.get(upstream) {
            self.record_cache_event(now, key, &event);
        }
        self.finish(now)
    }

    /// Removes an ended program. The returned commands tell each engine that caches a prefix of the
    /// program to release it from the cache.
    pub fn program_ended(&mut self, now: Instant, program: &ProgramId) -> Vec<Command> {
        self.begin(now);
        self.remove_program(program);
        self.finish(now)
    }

    /// Removes the waiting requests of a lost home. Its slots are freed once their calls exceed the
    /// deadline by [`LEAK_MARGIN`].
    pub fn home_lost(&mut self, now: Instant, home: &HostId) -> Vec<Command> {
        self.begin(now);
        let lost = self.waiting.iter().filter(|(_, waiting)| waiting.request.home == *home);
        let lost: Vec<WaitKey> = lost.map(|(key, _)| key).collect();
        for key in lost {
            self.remove_waiting(key);
        }
        self.finish(now)
    }

    /// Ends ejections, refuses requests that can't be served in time, frees leaked slots and grants
    /// free ones.
    pub fn tick(&mut self, now: Instant) -> Vec<Command> {
        self.begin(now);
        self.last_tick = Some(now);
        self.end_ejections(now);
        self.place_parked(now);
        self.refuse_overdue(now);
        self.free_leaked(now);
        self.sweep(now);
        self.grant_slots_at_all(now);
        self.finish(now)
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> DispatcherCounts {
        self.counts
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the slots in use and the limit of an upstream, or `None` if it is unknown.
    pub fn slots_in_use_and_limit(&self, upstream: &UpstreamId) -> Option<(u32, u32)> {
        let upstream = &self.upstreams[*self.by_id.get(upstream)?];
        Some((upstream.in_flight, upstream.limit.slots()))
    }

    /// Returns the smoothed ratio of running and waiting calls to the sum of the limits.
    pub fn pressure(&self) -> f64 {
        self.shedding.pressure()
    }

    fn begin(&mut self, now: Instant) {
        if self.first_call_at.is_none() {
            self.first_call_at = Some(now);
        }
        self.observe_pressure(now);
    }

    fn finish(&mut self, now: Instant) -> Vec<Command> {
        self.set_wake(now);
        std::mem::take(&mut self.commands)
    }

    fn now_s(&self, now: Instant) -> f64 {
        self.first_call_at
            .map_or(0.0, |first_call_at| now.duration_since(first_call_at).as_secs_f64())
    }

    fn set_wake(&mut self, now: Instant) {
        let ejected = self.ejected.first().map(|&(at, _)| at);
        let next_tick = self.last_tick.map_or(now, |last| (last + TICK_INTERVAL).max(now));
        let has_waiting = !self.waiting.is_empty();
        let wake = if has_waiting { Some(next_tick) } else { ejected };
        if let Some(at) = wake.filter(|_| wake != self.wake_at) {
            self.commands.push(Command::WakeAt(at));
        }
        self.wake_at = wake;
    }

    fn log(&mut self, event: LogEvent) {
        self.commands.push(Command::LogEvent(event));
    }

    fn random_fraction(&mut self) -> f64 {
        self.rng.random()
    }

    fn remove_program(&mut self, program: &ProgramId) {
        for prefix in self.programs.remove(program) {
            self.modify_upstream(prefix.upstream, |upstream| {
                upstream.resident_tokens -= prefix.tokens as i64;
            });
            let Some(upstream) = self.upstreams.get(prefix.upstream) else {
                continue;
            };
            let id = upstream.view.upstream.clone();
            let mut event = LogEvent::new(Kind::MemoryReleased).with_upstream(&id);
            event.program = Some(program.clone());
            self.commands.push(Command::Release { upstream: id, program: program.clone() });
            self.log(event.with_detail("tokens", prefix.tokens));
        }
    }
}
