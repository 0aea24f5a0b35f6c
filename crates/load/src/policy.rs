//! The scheduling policies that can be compared, by name.

use {
    crate::naive::Naive,
    std::time::Instant,
    trefoilring_core::{
        catalog::Catalog,
        ids::{ProgramId, UpstreamId},
        sched::{
            CacheEvent, Command, Dispatcher, DispatcherOptions, LimitPolicy, LoadReport, Placement,
            QueueOrder, SlotRelease, SlotRequest, UpstreamView, WaiterId,
        },
    },
};

/// Concurrent calls that the naive policy sends to an upstream.
const NAIVE_LIMIT: usize = 32;

/// Names of all policies. All but `naive` are `trefoilring` with at most one option changed.
pub const POLICIES: &[&str] = &[
    "trefoilring",
    "naive",
    "feasible-slack",
    "las",
    "oldest",
    "fcfs",
    "sticky",
    "least-loaded",
    "round-robin",
    "fixed-16",
    "fixed-32",
    "fixed-64",
    "unfair",
    "no-shed",
    "no-release",
];

/// A policy under test.
#[derive(Debug)]
pub enum Policy {
    /// The production dispatcher, with the options selected by the policy's name.
    Dispatcher {
        /// The dispatcher's state machine.
        dispatcher: Box<Dispatcher>,
        /// Whether the dispatcher is notified of ended programs, so that it releases their KV cache
        /// at engines.
        notifies_program_end: bool,
    },
    /// Round-robin with FIFO queues and a static limit.
    Naive(Naive),
}

impl Policy {
    /// Creates a policy by name. Returns `None` if no policy has this name.
    pub fn new(name: &str, service: &str, seed: u64) -> Option<Self> {
        let options = DispatcherOptions::new(service.into()).seed(seed);
        let options = match name {
            "naive" => return Some(Self::Naive(Naive::new(NAIVE_LIMIT))),
            "trefoilring" | "no-release" => options,
            "feasible-slack" => options.queue_order(QueueOrder::FeasibleSlack),
            "las" => options.queue_order(QueueOrder::LeastAttained),
            "oldest" => options.queue_order(QueueOrder::OldestProgram),
            "fcfs" => options.queue_order(QueueOrder::Fcfs),
            "sticky" => options.placement(Placement::Sticky),
            "least-loaded" => options.placement(Placement::LeastLoaded),
            "round-robin" => options.placement(Placement::RoundRobin),
            "fixed-16" => options.limit(LimitPolicy::Fixed(16)),
            "fixed-32" => options.limit(LimitPolicy::Fixed(32)),
            "fixed-64" => options.limit(LimitPolicy::Fixed(64)),
            "unfair" => options.fair(false),
            "no-shed" => options.shedding(false),
            _ => return None,
        };
        let notifies_program_end = name != "no-release";
        let dispatcher = Box::new(Dispatcher::new(options));
        Some(Self::Dispatcher { dispatcher, notifies_program_end })
    }

    /// Applies a catalog. The naive policy ignores it.
    pub fn set_catalog(&mut self, catalog: &Catalog) {
        if let Self::Dispatcher { dispatcher, .. } = self {
            dispatcher.set_catalog(catalog);
        }
    }

    /// Replaces the list of upstreams.
    pub fn set_upstreams(&mut self, now: Instant, views: Vec<UpstreamView>) -> Vec<Command> {
        match self {
            Self::Dispatcher { dispatcher, .. } => dispatcher.set_upstreams(now, views),
            Self::Naive(naive) => naive.set_upstreams(now, views),
        }
    }

    /// Requests a slot.
    pub fn request(
        &mut self,
        now: Instant,
        request: SlotRequest,
        waiter: WaiterId,
    ) -> Vec<Command> {
        match self {
            Self::Dispatcher { dispatcher, .. } => dispatcher.request(now, request, waiter),
            Self::Naive(naive) => naive.request(now, waiter),
        }
    }

    /// Releases a slot.
    pub fn release(&mut self, now: Instant, release: SlotRelease) -> Vec<Command> {
        match self {
            Self::Dispatcher { dispatcher, .. } => dispatcher.release(now, release),
            Self::Naive(naive) => naive.release(now, &release),
        }
    }

    /// Applies an upstream's load report. The naive policy ignores it.
    pub fn load_report(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        report: LoadReport,
    ) -> Vec<Command> {
        match self {
            Self::Dispatcher { dispatcher, .. } => dispatcher.load_report(now, upstream, report),
            Self::Naive(_) => Vec::new(),
        }
    }

    /// Applies a cache event of an engine. The naive policy ignores it.
    pub fn cache_event(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        event: CacheEvent,
    ) -> Vec<Command> {
        match self {
            Self::Dispatcher { dispatcher, .. } => dispatcher.cache_event(now, upstream, event),
            Self::Naive(_) => Vec::new(),
        }
    }

    /// Records that a program has ended. `no-release` and the naive policy ignore it.
    pub fn program_ended(&mut self, now: Instant, program: &ProgramId) -> Vec<Command> {
        match self {
            Self::Dispatcher { dispatcher, notifies_program_end: true } => {
                dispatcher.program_ended(now, program)
            }
            Self::Dispatcher { .. } | Self::Naive(_) => Vec::new(),
        }
    }

    /// Advances the policy to the given time. The naive policy ignores it.
    pub fn tick(&mut self, now: Instant) -> Vec<Command> {
        match self {
            Self::Dispatcher { dispatcher, .. } => dispatcher.tick(now),
            Self::Naive(_) => Vec::new(),
        }
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        match self {
            Self::Dispatcher { dispatcher, .. } => dispatcher.waiting(),
            Self::Naive(naive) => naive.waiting(),
        }
    }
}
