//! Splits a team's allowance evenly between the hosts that callers connect to.
//!
//! Load pattern: a team's callers connect to a few hosts, so its requests arrive at some hosts and
//! not at others. Each holder fills a token bucket with its even share of the rate and burst. A
//! host with insufficient tokens borrows from other hosts. A lender removes the tokens from its own
//! bucket before it sends them. The sum over all hosts therefore stays within the allowance even
//! when hosts are cut off, killed or restarted, and no host depends on a single limiter. A
//! restarted host starts with an empty bucket, because its previous incarnation may have used all
//! tokens.

mod holders;

#[cfg(test)]
mod tests;

pub use holders::Holders;

use {
    crate::{ids::TeamId, routing::TeamRules},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Bucket capacity of a host without a share of an allowance, which bounds what it borrows: a few
/// requests that arrive together. Borrowed tokens add to the tokens that the holders have refilled
/// since they lent them.
const BORROWED_TOKENS_MAX: f64 = 2.0;
/// Time constant of the moving average of a team's demand at this host.
const DEMAND_WINDOW_S: f64 = 1.0;
/// A lender keeps the tokens that its own demand uses in this time.
const LENDER_RESERVE: Duration = Duration::from_millis(300);
/// A borrower requests the tokens that its demand uses in this time. It covers two round trips
/// between hosts and some work many times over.
const BORROW_DEMAND: Duration = Duration::from_millis(900);
/// A new program leaves the tokens that active programs use in this time.
const ACTIVE_PROGRAM_RESERVE: Duration = Duration::from_millis(500);
/// Upper bound of the reserve for active programs, as a fraction of the bucket's capacity.
const RESERVE_SHARE_MAX: f64 = 0.75;
/// A host borrows when its bucket holds fewer tokens than its demand uses in this time.
const LOW_WATERMARK: Duration = Duration::from_millis(250);

/// Result of a request for one token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TakeResult {
    /// The request has a token.
    Granted,
    /// No token is available.
    InsufficientTokens {
        /// Time until the bucket has refilled enough tokens from the host's own share.
        next_token: Duration,
    },
}

/// A team's requests that wait for tokens at this host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitingRequests {
    /// Number of waiting requests that belong to active programs.
    pub of_active_programs: usize,
    /// Whether a request that opens a program is waiting.
    pub opens_program: bool,
}

/// This host's shares of all teams' allowances.
#[derive(Debug, Default)]
pub struct Shares {
    holders: Holders,
    buckets: HashMap<TeamId, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    rate_per_s: f64,
    /// Upper bound of `tokens`.
    capacity: f64,
    tokens: f64,
    refilled_at: Instant,
    /// Moving average of granted requests per second, most of them from active programs. Refused
    /// requests do not count: they would make a host keep tokens that other hosts could use.
    demand_per_s: f64,
}

impl Shares {
    /// Sets the holders of allowances. First refills the buckets up to `now` at the previous
    /// shares.
    pub fn set_holders(&mut self, now: Instant, holders: Holders, rules: &AllowanceRules) {
        self.buckets.values_mut().for_each(|bucket| bucket.refill(now));
        self.holders = holders;
        self.set_rules(now, rules);
    }

    /// Applies the teams' allowances. Clips buckets to lower bursts and drops the buckets of teams
    /// that were removed or have no limit.
    pub fn set_rules(&mut self, now: Instant, rules: &AllowanceRules) {
        self.buckets
            .retain(|team, _| rules.get(team).is_some_and(|rules| rules.rate_per_s.is_some()));
        for (team, rules) in rules {
            let Some(rate_per_s) = rules.rate_per_s else { continue };
            let share = self.holders.own_share(team, rules.burst_requests);
            let capacity = (rules.burst_requests * share).max(BORROWED_TOKENS_MAX);
            let bucket = self.buckets.entry(team.clone()).or_insert_with(|| Bucket::empty(now));
            bucket.refill(now);
            bucket.rate_per_s = rate_per_s * share;
            bucket.capacity = capacity;
            bucket.tokens = bucket.tokens.min(capacity);
        }
    }

    /// Takes a token for a request. Always grants one for a team without a limit.
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
            bucket.demand_per_s += 1.0 / DEMAND_WINDOW_S;
            return TakeResult::Granted;
        }
        TakeResult::InsufficientTokens { next_token: bucket.time_until(1.0 + reserve) }
    }

    /// Returns the time until the host's own share provides a token for a request that has
    /// `waiting` requests ahead of it.
    pub fn time_to_own_token(&mut self, now: Instant, team: &str, waiting: usize) -> Duration {
        let Some(bucket) = self.buckets.get_mut(team) else { return Duration::ZERO };
        bucket.refill(now);
        bucket.time_until(1.0 + waiting as f64)
    }

    /// Returns the token of a request that did not run.
    pub fn return_token(&mut self, now: Instant, team: &str) {
        self.receive(now, team, 1.0);
    }

    /// Returns how many tokens to borrow, or `None` if the bucket holds enough. A host with little
    /// demand borrows only for its waiting requests, because tokens left unused at one of many
    /// hosts are missing at others.
    pub fn tokens_to_borrow(
        &mut self,
        now: Instant,
        team: &str,
        waiting: WaitingRequests,
    ) -> Option<f64> {
        let bucket = self.buckets.get_mut(team)?;
        bucket.refill(now);
        let needed = bucket.tokens_needed(waiting);
        let watermark = (bucket.demand_per_s * LOW_WATERMARK.as_secs_f64()).max(needed);
        let wanted = (bucket.demand_per_s * BORROW_DEMAND.as_secs_f64()).max(needed);
        let missing = wanted.min(bucket.capacity) - bucket.tokens;
        (bucket.tokens < watermark.min(bucket.capacity) && missing > 0.0).then_some(missing)
    }

    /// Removes up to `wanted` tokens from the bucket for another host, and returns how many. Keeps
    /// the tokens that this host needs soon.
    pub fn lend(&mut self, now: Instant, team: &str, wanted: f64) -> f64 {
        let Some(bucket) = self.buckets.get_mut(team) else { return 0.0 };
        bucket.refill(now);
        let spare = bucket.tokens - bucket.demand_per_s * LENDER_RESERVE.as_secs_f64();
        // NaN and negative amounts get nothing.
        let lent = wanted.min(spare).max(0.0);
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

    /// Returns the hosts that hold allowances.
    pub fn holders(&self) -> &Holders {
        &self.holders
    }
}

/// Rules of all teams, by team id.
pub type AllowanceRules = BTreeMap<TeamId, Arc<TeamRules>>;

impl Bucket {
    fn empty(now: Instant) -> Self {
        Self { rate_per_s: 0.0, capacity: 0.0, tokens: 0.0, refilled_at: now, demand_per_s: 0.0 }
    }

    /// Returns the time until the bucket holds `tokens`, if none are taken in the meantime.
    fn time_until(&self, tokens: f64) -> Duration {
        let missing = tokens - self.tokens;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate_per_s).unwrap_or(Duration::MAX)
    }

    /// Returns how many tokens the waiting requests need.
    fn tokens_needed(&self, waiting: WaitingRequests) -> f64 {
        let needed_to_open =
            if waiting.opens_program { 1.0 + self.active_program_reserve() } else { 0.0 };
        needed_to_open.max(waiting.of_active_programs as f64)
    }

    /// Returns how many tokens are reserved for active programs.
    fn active_program_reserve(&self) -> f64 {
        let demand = self.demand_per_s * ACTIVE_PROGRAM_RESERVE.as_secs_f64();
        demand.min(self.capacity * RESERVE_SHARE_MAX).min(self.capacity - 1.0)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + self.rate_per_s * elapsed_s).min(self.capacity);
        self.demand_per_s *= (-elapsed_s / DEMAND_WINDOW_S).exp();
    }
}
