//! Settings of a dispatcher.

use {crate::ids::ServiceId, std::time::Duration};

/// Order in which waiting requests get slots. [`DispatcherOptions::max_rank_offset`] bounds
/// overtaking in every order, so no request starves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueOrder {
    /// Least slack of the root program first.
    #[default]
    Slack,
    /// Least slack first among the programs that can still meet their target, then the others.
    FeasibleSlack,
    /// Least attained service of the program first.
    LeastAttained,
    /// Oldest program first.
    OldestProgram,
    /// First come, first served.
    Fcfs,
}

/// How an upstream is chosen for a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Placement {
    /// Lowest expected delay: queueing, prefill of uncached tokens, load, cache evictions and
    /// failure domain.
    #[default]
    LeastDelay,
    /// The upstream that caches the largest part of the prefix, regardless of its queue.
    Sticky,
    /// The least loaded upstream, regardless of its cache.
    LeastLoaded,
    /// Each usable upstream in turn.
    RoundRobin,
}

/// Maximum number of concurrent requests at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitPolicy {
    /// Adapted to load reports and latency.
    Adaptive,
    /// A constant.
    Fixed(u32),
}

/// Settings of a dispatcher. Create them with [`DispatcherOptions::new`] and change them with the
/// other methods.
#[derive(Clone, Debug)]
pub struct DispatcherOptions {
    pub(super) service: ServiceId,
    pub(super) queue_order: QueueOrder,
    pub(super) placement: Placement,
    pub(super) limit: LimitPolicy,
    pub(super) max_rank_offset: Duration,
    pub(super) fairness_window_tokens: u64,
    pub(super) is_fair: bool,
    pub(super) is_shedding: bool,
    pub(super) seed: u64,
}

impl DispatcherOptions {
    /// Creates default settings for the pool of one service.
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            queue_order: QueueOrder::default(),
            placement: Placement::default(),
            limit: LimitPolicy::Adaptive,
            max_rank_offset: Duration::from_secs(60),
            fairness_window_tokens: 400_000,
            is_fair: true,
            is_shedding: true,
            seed: 0,
        }
    }

    /// Sets the order of waiting requests.
    pub fn queue_order(mut self, queue_order: QueueOrder) -> Self {
        self.queue_order = queue_order;
        self
    }

    /// Sets how upstreams are chosen.
    pub fn placement(mut self, placement: Placement) -> Self {
        self.placement = placement;
        self
    }

    /// Sets the maximum number of concurrent requests at an upstream.
    pub fn limit(mut self, limit: LimitPolicy) -> Self {
        self.limit = limit;
        self
    }

    /// Sets by how much the order may advance or delay a request. A request is overtaken only by
    /// requests that arrive at most twice this time after it.
    pub fn max_rank_offset(mut self, max_rank_offset: Duration) -> Self {
        self.max_rank_offset = max_rank_offset;
        self
    }

    /// Sets the maximum lead of one waiting team over another, in weighted tokens.
    pub fn fairness_window_tokens(mut self, tokens: u64) -> Self {
        self.fairness_window_tokens = tokens;
        self
    }

    /// Sets whether teams share the pool by token-weighted fair queueing.
    pub fn fair(mut self, is_fair: bool) -> Self {
        self.is_fair = is_fair;
        self
    }

    /// Sets whether new programs are shed under overload.
    pub fn shedding(mut self, is_shedding: bool) -> Self {
        self.is_shedding = is_shedding;
        self
    }

    /// Sets the seed of jitter and ticket numbers. It should differ between incarnations of a host.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
