//! A team's allowance, split evenly between the hosts that callers connect to.
//!
//! Load pattern: a team's callers sit at a few hosts, so its requests come to some hosts and not to
//! others. Each holder fills a bucket with its even share of the rate and burst. A host that runs short
//! borrows tokens from others, which take them out of their own buckets first. The sum over all hosts
//! thus stays within the allowance whoever is cut off, killed or restarted, and no host waits for a
//! single limiter. A restarted host begins with an empty bucket: the one before may have used it up.

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

/// What a host that holds no part of an allowance borrows at most: what some requests need at once.
/// Borrowed tokens come on top of what the holders have filled again meanwhile.
const BORROWED_TOKENS_MAX: f64 = 2.0;
/// Time over which a team's demand at this host is averaged.
const DEMAND_WINDOW_S: f64 = 1.0;
/// Demand that a lender keeps for itself.
const RESERVE: Duration = Duration::from_millis(300);
/// Demand that a borrower asks for: two round trips and some work, many times over.
const BORROW: Duration = Duration::from_millis(900);
/// Demand that is kept for programs under way before a new one is begun.
const KEPT_FOR_PROGRAMS: Duration = Duration::from_millis(500);
/// The most of a bucket that is kept so.
const KEPT_SHARE_MAX: f64 = 0.75;
/// Demand under which a bucket is short.
const LOW_WATER: Duration = Duration::from_millis(250);

/// Whether a request has a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Take {
    /// It has one.
    Granted,
    /// There is none. The host's own share has one after this time.
    Short {
        /// Time until the next token.
        next_token: Duration,
    },
}

/// Requests of a team that wait for tokens at this host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Waiting {
    /// Those of programs under way.
    pub under_way: usize,
    /// Whether one waits that opens a program.
    pub opens_program: bool,
}

/// This host's part of all teams' allowances.
#[derive(Debug, Default)]
pub struct Shares {
    holders: Holders,
    buckets: HashMap<TeamId, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    rate_per_s: f64,
    /// Invariant: `tokens` is at most this.
    capacity: f64,
    tokens: f64,
    at: Instant,
    /// Requests a second that were granted lately: those of programs under way, mostly. Refused ones
    /// would make a host keep what others could use.
    demand_per_s: f64,
}

impl Shares {
    /// Sets who holds allowances. What was filled before counts at the former parts.
    pub fn set_holders(&mut self, now: Instant, holders: Holders, rules: &Rules) {
        self.buckets.values_mut().for_each(|bucket| bucket.fill(now));
        self.holders = holders;
        self.set_rules(now, rules);
    }

    /// Takes in teams' allowances. Buckets are clipped to lower ones; teams that are gone or have no
    /// limit are forgotten.
    pub fn set_rules(&mut self, now: Instant, rules: &Rules) {
        self.buckets
            .retain(|team, _| rules.get(team).is_some_and(|rules| rules.rate_per_s.is_some()));
        for (team, rules) in rules {
            let Some(rate_per_s) = rules.rate_per_s else { continue };
            let part = self.holders.own_part(team, rules.burst_requests);
            let capacity = (rules.burst_requests * part).max(BORROWED_TOKENS_MAX);
            let bucket = self.buckets.entry(team.clone()).or_insert_with(|| Bucket::empty(now));
            bucket.fill(now);
            bucket.rate_per_s = rate_per_s * part;
            bucket.capacity = capacity;
            bucket.tokens = bucket.tokens.min(capacity);
        }
    }

    /// Takes a token for a request. Teams without a limit always have one.
    ///
    /// A program that is begun needs tokens until its end, and one that is refused midway has used
    /// them for nothing: a request that opens one leaves what those under way need soon.
    pub fn take(&mut self, now: Instant, team: &str, opens_program: bool) -> Take {
        let Some(bucket) = self.buckets.get_mut(team) else { return Take::Granted };
        bucket.fill(now);
        let left = if opens_program { bucket.kept_for_programs() } else { 0.0 };
        if bucket.tokens >= 1.0 + left {
            bucket.tokens -= 1.0;
            bucket.demand_per_s += 1.0 / DEMAND_WINDOW_S;
            return Take::Granted;
        }
        Take::Short { next_token: bucket.time_until(1.0 + left) }
    }

    /// Returns when a request has a token of the host's own share, if so many wait before it.
    pub fn own_token_in(&mut self, now: Instant, team: &str, waiting: usize) -> Duration {
        let Some(bucket) = self.buckets.get_mut(team) else { return Duration::ZERO };
        bucket.fill(now);
        bucket.time_until(1.0 + waiting as f64)
    }

    /// Gives back the token of a request that did not run.
    pub fn give_back(&mut self, now: Instant, team: &str) {
        self.receive(now, team, 1.0);
    }

    /// Returns how many tokens to borrow, if the team's bucket is short. A host where little is asked
    /// borrows no more than is waited for: what lies unused at one of many hosts is missing at others.
    pub fn shortage(&mut self, now: Instant, team: &str, waiting: Waiting) -> Option<f64> {
        let bucket = self.buckets.get_mut(team)?;
        bucket.fill(now);
        let needed = bucket.needed_for(waiting);
        let low = (bucket.demand_per_s * LOW_WATER.as_secs_f64()).max(needed);
        let wanted = (bucket.demand_per_s * BORROW.as_secs_f64()).max(needed);
        let missing = wanted.min(bucket.capacity) - bucket.tokens;
        (bucket.tokens < low.min(bucket.capacity) && missing > 0.0).then_some(missing)
    }

    /// Gives tokens away, as many as are wanted and not soon needed here.
    pub fn lend(&mut self, now: Instant, team: &str, wanted: f64) -> f64 {
        let Some(bucket) = self.buckets.get_mut(team) else { return 0.0 };
        bucket.fill(now);
        let spare = bucket.tokens - bucket.demand_per_s * RESERVE.as_secs_f64();
        // NaN and negative wishes get nothing.
        let lent = wanted.min(spare).max(0.0);
        bucket.tokens -= lent;
        lent
    }

    /// Takes in borrowed tokens. What the bucket does not hold is lost.
    pub fn receive(&mut self, now: Instant, team: &str, tokens: f64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.fill(now);
            bucket.tokens = (bucket.tokens + tokens).min(bucket.capacity);
        }
    }

    /// Says how a team stands at this host, for logs.
    pub fn describe(&self, team: &str) -> String {
        match self.buckets.get(team) {
            Some(Bucket { rate_per_s, capacity, tokens, demand_per_s, .. }) => format!(
                "{tokens:.2} of {capacity:.2} tokens, {rate_per_s:.2}/s, demand {demand_per_s:.2}/s"
            ),
            None => "no limit".into(),
        }
    }

    /// Who holds allowances.
    pub fn holders(&self) -> &Holders {
        &self.holders
    }
}

/// Allowances by team.
pub type Rules = BTreeMap<TeamId, Arc<TeamRules>>;

impl Bucket {
    fn empty(now: Instant) -> Self {
        Self { rate_per_s: 0.0, capacity: 0.0, tokens: 0.0, at: now, demand_per_s: 0.0 }
    }

    /// Returns when the bucket has filled so many tokens, if none are taken meanwhile.
    fn time_until(&self, tokens: f64) -> Duration {
        let missing = tokens - self.tokens;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate_per_s).unwrap_or(Duration::MAX)
    }

    /// Tokens that let those who wait go on.
    fn needed_for(&self, waiting: Waiting) -> f64 {
        let to_open = if waiting.opens_program { 1.0 + self.kept_for_programs() } else { 0.0 };
        to_open.max(waiting.under_way as f64)
    }

    /// Tokens kept for programs under way.
    fn kept_for_programs(&self) -> f64 {
        let demand = self.demand_per_s * KEPT_FOR_PROGRAMS.as_secs_f64();
        demand.min(self.capacity * KEPT_SHARE_MAX).min(self.capacity - 1.0)
    }

    fn fill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.tokens = (self.tokens + self.rate_per_s * elapsed_s).min(self.capacity);
        self.demand_per_s *= (-elapsed_s / DEMAND_WINDOW_S).exp();
    }
}
