//! The policies that can be compared, by name.

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

/// Calls that the naive policy sends to an upstream at once.
const NAIVE_LIMIT: usize = 32;

/// Names of all policies. Apart from the first two, each is trefoilring with one thing changed.
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
    /// The dispatcher.
    Dispatcher {
        /// The state machine.
        dispatcher: Box<Dispatcher>,
        /// Whether engines are told when a program has ended.
        releases_memory: bool,
    },
    /// The naive policy.
    Naive(Naive),
}

impl Policy {
    /// Makes a policy by name, or `None` if there is none of this name.
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
        let releases_memory = name != "no-release";
        let dispatcher = Box::new(Dispatcher::new(options));
        Some(Self::Dispatcher { dispatcher, releases_memory })
    }

    /// Puts a catalog in force.
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

    /// A request asks for a slot.
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

    /// A slot is given back.
    pub fn release(&mut self, now: Instant, release: SlotRelease) -> Vec<Command> {
        match self {
            Self::Dispatcher { dispatcher, .. } => dispatcher.release(now, release),
            Self::Naive(naive) => naive.release(now, &release),
        }
    }

    /// An upstream reported its load.
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

    /// An engine's cache changed.
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

    /// A program has ended.
    pub fn program_ended(&mut self, now: Instant, program: &ProgramId) -> Vec<Command> {
        match self {
            Self::Dispatcher { dispatcher, releases_memory: true } => {
                dispatcher.program_ended(now, program)
            }
            Self::Dispatcher { .. } | Self::Naive(_) => Vec::new(),
        }
    }

    /// Time passes.
    pub fn tick(&mut self, now: Instant) -> Vec<Command> {
        match self {
            Self::Dispatcher { dispatcher, .. } => dispatcher.tick(now),
            Self::Naive(_) => Vec::new(),
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        match self {
            Self::Dispatcher { dispatcher, .. } => dispatcher.waiting(),
            Self::Naive(naive) => naive.waiting(),
        }
    }
}
