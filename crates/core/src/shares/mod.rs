//! Splits a team's allowance evenly between the hosts that hold it.
//!
//! Load pattern: a team's callers connect to a few hosts, so its requests arrive unevenly across
//! hosts. Each host that holds a share of the allowance fills a token bucket with an even share of
//! the rate and burst. A host with insufficient tokens borrows from other holders. A lender removes
//! the tokens from its own bucket before it sends them. The sum over all hosts therefore stays
//! within the allowance even when hosts are partitioned from the network, killed or restarted, and
//! no host depends on a single limiter. A restarted host starts with an empty bucket, because its
//! previous incarnation may have used all tokens.

mod holders;

#[cfg(test)]
mod tests;

pub use holders::AllowanceHosts;

use {
    crate::{ids::TeamId, routing::TeamRules},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Minimum capacity of a bucket, so that a host without a share can borrow enough for a few
/// requests that arrive together. Borrowed tokens come on top of the tokens that the holders have
/// refilled since they lent them, so this also bounds by how much the grants of all hosts can
/// exceed the burst.
const BUCKET_CAPACITY_MIN: f64 = 2.0;
/// Time constant of the moving average of a team's demand at this host, in seconds.
const DEMAND_TIME_CONSTANT_S: f64 = 1.0;
/// A lender keeps the tokens that its own demand uses in this time.
const LENDER_RESERVE_TIME: Duration = Duration::from_millis(300);
/// A borrower requests the tokens that its demand uses in this time. Much longer than the two round
/// trips and the processing that borrowing takes.
const BORROW_TIME: Duration = Duration::from_millis(900);
/// A request that opens a program is granted only if the bucket still holds the tokens that active
/// programs use in this time.
const ACTIVE_PROGRAM_RESERVE_TIME: Duration = Duration::from_millis(500);
/// Maximum reserve for active programs, as a fraction of the bucket's capacity.
const RESERVE_FRACTION_MAX: f64 = 0.75;
/// A host borrows when its bucket holds fewer tokens than its demand uses in this time.
const LOW_WATERMARK_TIME: Duration = Duration::from_millis(250);

/// Result of a request for one token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TakeResult {
    /// The request has a token.
    Granted,
    /// The bucket has too few tokens after the reserve for active programs is deducted.
    InsufficientTokens {
        /// Time until the bucket has refilled enough tokens from the host's own share.
        next_token: Duration,
    },
}

/// A team's requests that wait for tokens at this host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitingRequests {
    /// Number of waiting requests of active programs.
    pub active_program_count: usize,
    /// Whether a request that opens a program is waiting.
    pub opens_program: bool,
}

/// This host's shares of all teams' allowances.
#[derive(Debug, Default)]
pub struct Shares {
    hosts: AllowanceHosts,
    buckets: HashMap<TeamId, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    rate_per_s: f64,
    /// Upper bound of `tokens`.
    capacity: f64,
    tokens: f64,
    refilled_at: Instant,
    /// Moving average of the requests granted per second, which stands for the team's demand. Most
    /// of them belong to active programs. Counting refused requests would make a host keep tokens
    /// that other hosts could use.
    demand_per_s: f64,
}

impl Shares {
    /// Sets the hosts that share the allowances. Tokens up to `now` are refilled at the previous
    /// shares.
    pub fn set_hosts(&mut self, now: Instant, hosts: AllowanceHosts, rules: &AllowanceRules) {
        self.buckets.values_mut().for_each(|bucket| bucket.refill(now));
        self.hosts = hosts;
        self.set_rules(now, rules);
    }

    /// Applies the teams' allowances. Caps the tokens of buckets whose burst was lowered, and drops
    /// the buckets of teams that were removed or have no limit.
    pub fn set_rules(&mut self, now: Instant, rules: &AllowanceRules) {
        self.buckets
            .retain(|team, _| rules.get(team).is_some_and(|rules| rules.rate_per_s.is_some()));
        for (team, rules) in rules {
            let Some(rate_per_s) = rules.rate_per_s else { continue };
            let share = self.hosts.own_share(team, rules.burst_requests);
            let capacity = (rules.burst_requests * share).max(BUCKET_CAPACITY_MIN);
            let bucket = self.buckets.entry(team.clone()).or_insert_with(|| Bucket::empty(now));
            bucket.refill(now);
            bucket.rate_per_s = rate_per_s * share;
            bucket.capacity = capacity;
            bucket.tokens = bucket.tokens.min(capacity);
        }
    }

    /// Takes a token for a request. Always grants the request of a team without a limit.
    ///
    /// A program needs tokens until it ends, and refusing it midway wastes the tokens it has used.
    /// A request that opens a program is therefore granted only if enough tokens remain for active
    /// programs.
    pub fn take(&mut self, now: Instant, team: &str, opens_program: bool) -> TakeResult {
        let Some(bucket) = self.buckets.get_mut(team) else { return TakeResult::Granted };
        bucket.refill(now);
        let reserve = if opens_program { bucket.active_program_reserve() } else { 0.0 };
        if bucket.tokens >= 1.0 + reserve {
            bucket.tokens -= 1.0;
            bucket.demand_per_s += 1.0 / DEMAND_TIME_CONSTANT_S;
            return TakeResult::Granted;
        }
        TakeResult::InsufficientTokens { next_token: bucket.time_until(1.0 + reserve) }
    }

    /// Returns the time until this host's share has refilled enough tokens for a request with
    /// `waiting` requests ahead of it.
    pub fn time_until_refilled(&mut self, now: Instant, team: &str, waiting: usize) -> Duration {
        let Some(bucket) = self.buckets.get_mut(team) else { return Duration::ZERO };
        bucket.refill(now);
        bucket.time_until(1.0 + waiting as f64)
    }

    /// Puts back the token of a request that did not run.
    pub fn return_token(&mut self, now: Instant, team: &str) {
        self.receive(now, team, 1.0);
    }

    /// Returns how many tokens to borrow, or `None` if the bucket holds enough. A host with little
    /// demand borrows only for its waiting requests, because idle tokens at one host reduce what
    /// the other hosts can use.
    pub fn tokens_to_borrow(
        &mut self,
        now: Instant,
        team: &str,
        waiting: WaitingRequests,
    ) -> Option<f64> {
        let bucket = self.buckets.get_mut(team)?;
        bucket.refill(now);
        let needed = bucket.tokens_needed(waiting);
        let watermark = (bucket.demand_per_s * LOW_WATERMARK_TIME.as_secs_f64()).max(needed);
        let target_level = (bucket.demand_per_s * BORROW_TIME.as_secs_f64()).max(needed);
        let shortfall = target_level.min(bucket.capacity) - bucket.tokens;
        (bucket.tokens < watermark.min(bucket.capacity) && shortfall > 0.0).then_some(shortfall)
    }

    /// Removes up to `requested` tokens from the bucket for another host, and returns how many.
    /// Keeps the tokens that this host needs soon.
    pub fn lend(&mut self, now: Instant, team: &str, requested: f64) -> f64 {
        let Some(bucket) = self.buckets.get_mut(team) else { return 0.0 };
        bucket.refill(now);
        let spare = bucket.tokens - bucket.demand_per_s * LENDER_RESERVE_TIME.as_secs_f64();
        // A negative request lends nothing. `f64::min` ignores NaN, so a NaN request lends all
        // spare tokens.
        let lent = requested.min(spare).max(0.0);
        bucket.tokens -= lent;
        lent
    }

    /// Adds borrowed or returned tokens. Tokens above the bucket's capacity are discarded.
    pub fn receive(&mut self, now: Instant, team: &str, tokens: f64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.refill(now);
            bucket.tokens = (bucket.tokens + tokens).min(bucket.capacity);
        }
    }

    /// Formats the state of a team's bucket at this host, for logs and refusals.
    pub fn describe(&self, team: &str) -> String {
        match self.buckets.get(team) {
            Some(Bucket { rate_per_s, capacity, tokens, demand_per_s, .. }) => format!(
                "{tokens:.2} of {capacity:.2} tokens, {rate_per_s:.2}/s, demand {demand_per_s:.2}/s"
            ),
            None => "no limit".into(),
        }
    }

    /// Returns the hosts that share the allowances.
    pub fn hosts(&self) -> &AllowanceHosts {
        &self.hosts
    }
}

/// Rules of all teams that have an allowance, by team id.
pub type AllowanceRules = BTreeMap<TeamId, Arc<TeamRules>>;

impl Bucket {
    fn empty(now: Instant) -> Self {
        Self { rate_per_s: 0.0, capacity: 0.0, tokens: 0.0, refilled_at: now, demand_per_s: 0.0 }
    }

    /// Returns the time until the bucket holds `tokens`, if none are taken in the meantime.
    fn time_until(&self, tokens: f64) -> Duration {
        let shortfall = tokens - self.tokens;
        if shortfall <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(shortfall / self.rate_per_s).unwrap_or(Duration::MAX)
    }

    /// Returns how many tokens the waiting requests need.
    fn tokens_needed(&self, waiting: WaitingRequests) -> f64 {
        let needed_to_open =
            if waiting.opens_program { 1.0 + self.active_program_reserve() } else { 0.0 };
        needed_to_open.max(waiting.active_program_count as f64)
    }

    /// Returns how many tokens are reserved for active programs.
    fn active_program_reserve(&self) -> f64 {
        // A full bucket must be able to grant a request that opens a program.
        let demand = self.demand_per_s * ACTIVE_PROGRAM_RESERVE_TIME.as_secs_f64();
        demand.min(self.capacity * RESERVE_FRACTION_MAX).min(self.capacity - 1.0)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + self.rate_per_s * elapsed_s).min(self.capacity);
        self.demand_per_s *= (-elapsed_s / DEMAND_TIME_CONSTANT_S).exp();
    }
}
