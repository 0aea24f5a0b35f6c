//! A token bucket in integers: nothing is rounded, so nothing drifts.

use {
    crate::{catalog::Team, membership::HALVES},
    std::time::{Duration, Instant},
};

/// An amount of tokens, in units of 10^-18 token. A rate in 10^-9 token a second adds a whole
/// number of units each nanosecond.
pub type Tokens = u128;

/// Units of one token.
const TOKEN: Tokens = 1_000_000_000_000_000_000;
/// The least burst that is split, in tokens. A smaller one is all at the first half: in two small
/// buckets one is often short while the other has what is missing.
const SPLIT_BURST_MIN: u32 = 100;
/// Rate units (10^-9 token a second) of one token a second.
const RATE_TOKEN: f64 = 1e9;

/// A rate and a burst: of a team, or of one half.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Allowance {
    /// Sustained rate in 10^-9 token a second.
    pub rate_nanotokens_per_s: u64,
    /// The most that may be taken at once, in tokens.
    pub burst_tokens: u32,
}

impl From<&Team> for Allowance {
    /// The rate is rounded down to 10^-9 token a second, never up.
    fn from(team: &Team) -> Self {
        // A float-to-integer cast saturates, and takes "not a number" to zero.
        let rate_nanotokens_per_s = (team.rate_per_s * RATE_TOKEN).floor() as u64;
        Self { rate_nanotokens_per_s, burst_tokens: team.burst_requests }
    }
}

impl Allowance {
    /// Returns how many halves have tokens: one if the burst is too small to be split.
    pub fn halves(self) -> u8 {
        if self.burst_tokens < SPLIT_BURST_MIN { 1 } else { HALVES }
    }

    /// Returns one half. The halves add up to the whole. If the burst isn't split, the first half
    /// has it all.
    pub fn half(self, half: u8) -> Self {
        if self.halves() == 1 {
            let nothing = Self { rate_nanotokens_per_s: 0, burst_tokens: 0 };
            return if half == 0 { self } else { nothing };
        }
        let rest = u64::from(half == 0);
        Self {
            rate_nanotokens_per_s: (self.rate_nanotokens_per_s + rest) / u64::from(HALVES),
            burst_tokens: (self.burst_tokens + u32::from(half == 0)) / u32::from(HALVES),
        }
    }

    /// Returns the most that a bucket holds.
    pub fn burst(self) -> Tokens {
        Tokens::from(self.burst_tokens) * TOKEN
    }

    /// Returns what a time adds.
    fn refill(self, elapsed: Duration) -> Tokens {
        elapsed.as_nanos() * Tokens::from(self.rate_nanotokens_per_s)
    }

    /// Returns the time in which `missing` is added, rounded up.
    fn wait_for(self, missing: Tokens) -> Duration {
        if self.rate_nanotokens_per_s == 0 {
            return Duration::MAX;
        }
        let nanos = missing.div_ceil(Tokens::from(self.rate_nanotokens_per_s));
        u64::try_from(nanos).map_or(Duration::MAX, Duration::from_nanos)
    }
}

/// The tokens of one half at one time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Bucket {
    allowance: Allowance,
    /// Invariant: at most the burst.
    level: Tokens,
    at: Instant,
}

impl Bucket {
    /// Makes a bucket that was empty at a time.
    pub fn empty(at: Instant, allowance: Allowance) -> Self {
        Self { allowance, level: 0, at }
    }

    /// Makes a bucket with a level, at most its burst.
    pub fn with_level(at: Instant, allowance: Allowance, level: Tokens) -> Self {
        Self { allowance, level: level.min(allowance.burst()), at }
    }

    /// Returns when it was last used.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Returns the level at a time that is not before its last use.
    pub fn level(&self, now: Instant) -> Tokens {
        let elapsed = now.saturating_duration_since(self.at);
        (self.level + self.allowance.refill(elapsed)).min(self.allowance.burst())
    }

    /// Returns whether it is as full as an unused one.
    pub fn is_full(&self, now: Instant) -> bool {
        self.level(now) == self.allowance.burst()
    }

    /// Takes whole tokens, or returns after how long there may be enough. [`Duration::MAX`] means
    /// never.
    pub fn take(&mut self, now: Instant, count: u32) -> Result<(), Duration> {
        self.advance(now);
        let wanted = Tokens::from(count) * TOKEN;
        if wanted > self.allowance.burst() {
            return Err(Duration::MAX);
        }
        if wanted > self.level {
            return Err(self.allowance.wait_for(wanted - self.level));
        }
        self.level -= wanted;
        Ok(())
    }

    /// Changes rate and burst. Time before the change counts at the lower of both rates, and the
    /// level is clipped to the new burst.
    pub fn set_allowance(&mut self, now: Instant, allowance: Allowance) {
        if allowance == self.allowance {
            return;
        }
        let is_slower = allowance.rate_nanotokens_per_s < self.allowance.rate_nanotokens_per_s;
        if is_slower {
            self.allowance.rate_nanotokens_per_s = allowance.rate_nanotokens_per_s;
        }
        self.advance(now);
        self.allowance = allowance;
        self.level = self.level.min(self.allowance.burst());
    }

    /// Adds tokens to a bucket that was empty at `since`, as if it had begun with them. What would
    /// have flowed over since is lost.
    pub fn credit(&mut self, now: Instant, since: Instant, tokens: Tokens) {
        self.advance(now);
        let refilled = self.allowance.refill(now.saturating_duration_since(since));
        let added = tokens.min(self.allowance.burst().saturating_sub(refilled));
        self.level = (self.level + added).min(self.allowance.burst());
    }

    /// Removes up to an amount and returns what was removed.
    pub fn remove(&mut self, now: Instant, amount: Tokens) -> Tokens {
        self.advance(now);
        let removed = amount.min(self.level);
        self.level -= removed;
        removed
    }

    fn advance(&mut self, now: Instant) {
        self.level = self.level(now);
        self.at = self.at.max(now);
    }
}
