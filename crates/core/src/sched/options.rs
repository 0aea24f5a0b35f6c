//! Settings of a dispatcher.

use {crate::ids::ServiceId, std::time::Duration};

/// In which order waiting requests get slots. Every order bounds overtaking by
/// [`DispatcherOptions::max_rank_offset`], so that none starves a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Order {
    /// Least slack of the whole program first.
    #[default]
    Slack,
    /// Least slack first among the programs that can still meet their target, then the others.
    FeasibleSlack,
    /// Least attained service of the whole program first.
    LeastAttained,
    /// Oldest program first.
    OldestProgram,
    /// First come, first served.
    Fcfs,
}

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Placement {
    /// Least expected delay: wait, prefill of what isn't cached, and distance.
    #[default]
    LeastDelay,
    /// Always the upstream that holds the most of the prefix, however long its queue.
    Sticky,
    /// The least loaded upstream, whatever it holds.
    LeastLoaded,
    /// One after the other.
    RoundRobin,
}

/// How many requests an upstream gets at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitPolicy {
    /// Learned from load reports and latency.
    Learned,
    /// Always the same.
    Fixed(u32),
}

/// Settings of a dispatcher. Made by [`DispatcherOptions::new`] and changed by its methods.
#[derive(Clone, Debug)]
pub struct DispatcherOptions {
    pub(super) service: ServiceId,
    pub(super) order: Order,
    pub(super) placement: Placement,
    pub(super) limit: LimitPolicy,
    pub(super) max_rank_offset: Duration,
    pub(super) fairness_window_tokens: u64,
    pub(super) is_fair: bool,
    pub(super) is_shedding: bool,
    pub(super) seed: u64,
}

impl DispatcherOptions {
    /// Settings for the pool of one service.
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            order: Order::default(),
            placement: Placement::default(),
            limit: LimitPolicy::Learned,
            max_rank_offset: Duration::from_secs(60),
            fairness_window_tokens: 400_000,
            is_fair: true,
            is_shedding: true,
            seed: 0,
        }
    }

    /// Sets the order of waiting requests.
    pub fn order(mut self, order: Order) -> Self {
        self.order = order;
        self
    }

    /// Sets how upstreams are chosen.
    pub fn placement(mut self, placement: Placement) -> Self {
        self.placement = placement;
        self
    }

    /// Sets how many requests an upstream gets at once.
    pub fn limit(mut self, limit: LimitPolicy) -> Self {
        self.limit = limit;
        self
    }

    /// Sets the most by which a later request may max_rank_offset an earlier one.
    pub fn max_rank_offset(mut self, max_rank_offset: Duration) -> Self {
        self.max_rank_offset = max_rank_offset;
        self
    }

    /// Sets by how many weighted tokens a waiting team may run ahead of another one.
    pub fn fairness_window_tokens(mut self, tokens: u64) -> Self {
        self.fairness_window_tokens = tokens;
        self
    }

    /// Sets whether teams share by token-weighted fair queueing.
    pub fn fair(mut self, is_fair: bool) -> Self {
        self.is_fair = is_fair;
        self
    }

    /// Sets whether new programs are shed under overload.
    pub fn shedding(mut self, is_shedding: bool) -> Self {
        self.is_shedding = is_shedding;
        self
    }

    /// Sets the seed of jitter and ticket numbers; should differ between lives of a host.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
