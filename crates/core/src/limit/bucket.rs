//! A token bucket in integer arithmetic. Nothing is rounded, so the level does not drift.

use {
    crate::{catalog::Team, membership::HALVES},
    std::time::{Duration, Instant},
};

/// An amount of tokens, in units of 10^-18 token. A rate in units of 10^-9 token per second adds a
/// whole number of these units each nanosecond.
pub type Tokens = u128;

/// A bucket level, in units of 10^-18 token. It is negative while granted tokens have not been
/// refilled yet.
pub type Level = i128;

/// The longest time between a grant and the time at which its tokens may be used.
pub const WAIT_MAX: Duration = Duration::from_secs(3);

/// Units in one token.
const TOKEN: Tokens = 1_000_000_000_000_000_000;
/// The smallest burst that is split, in tokens. A smaller burst goes to the first half alone: of
/// two small buckets, one often lacks tokens that the other still has.
const SPLIT_BURST_MIN: u32 = 100;
/// Rate units (10^-9 token per second) in a rate of one token per second.
const NANOTOKENS_PER_TOKEN: f64 = 1e9;

/// The rate and burst of a team, or of one half of a team's allowance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Allowance {
    /// Sustained rate, in units of 10^-9 token per second.
    pub rate_nanotokens_per_s: u64,
    /// The most tokens that can be taken at once.
    pub burst_tokens: u32,
}

impl From<&Team> for Allowance {
    /// Rounds the rate down to a multiple of 10^-9 token per second, never up.
    fn from(team: &Team) -> Self {
        // A float-to-integer cast saturates, and maps NaN to zero.
        let rate_nanotokens_per_s = (team.rate_per_s * NANOTOKENS_PER_TOKEN).floor() as u64;
        Self { rate_nanotokens_per_s, burst_tokens: team.burst_requests }
    }
}

impl Allowance {
    /// Returns the number of halves that have tokens: one if the burst is too small to be split.
    pub fn half_count(self) -> u8 {
        if self.burst_tokens < SPLIT_BURST_MIN { 1 } else { HALVES }
    }

    /// Returns one half of the allowance. The halves add up to the allowance. If the burst is not
    /// split, the first half has all of it.
    pub fn half(self, half: u8) -> Self {
        if self.half_count() == 1 {
            let zero = Self { rate_nanotokens_per_s: 0, burst_tokens: 0 };
            return if half == 0 { self } else { zero };
        }
        let remainder = u64::from(half == 0);
        Self {
            rate_nanotokens_per_s: (self.rate_nanotokens_per_s + remainder) / u64::from(HALVES),
            burst_tokens: (self.burst_tokens + u32::from(half == 0)) / u32::from(HALVES),
        }
    }

    /// Returns the capacity of a bucket, in units of 10^-18 token.
    pub fn burst(self) -> Tokens {
        Tokens::from(self.burst_tokens) * TOKEN
    }

    /// Returns the tokens that are added in `elapsed`.
    fn refill(self, elapsed: Duration) -> Tokens {
        elapsed.as_nanos() * Tokens::from(self.rate_nanotokens_per_s)
    }

    /// Returns how far `level` is above the lowest level.
    fn headroom_at(self, level: Level) -> Tokens {
        to_tokens(level.saturating_add(to_level(self.refill(WAIT_MAX))))
    }

    /// Returns the time in which `missing` is added, rounded up.
    fn wait_for(self, missing: Tokens) -> Duration {
        if missing == 0 {
            return Duration::ZERO;
        }
        if self.rate_nanotokens_per_s == 0 {
            return Duration::MAX;
        }
        let nanos = missing.div_ceil(Tokens::from(self.rate_nanotokens_per_s));
        u64::try_from(nanos).map_or(Duration::MAX, Duration::from_nanos)
    }
}

/// The token bucket of one half. It also grants tokens for a later time.
///
/// The tokens of a deferred grant are refilled by the time that it is for. Until then the level is
/// negative, by at most what [`WAIT_MAX`] adds. Grants are in order: none is for an earlier time
/// than the grant before it.
///
/// A request is *conforming* if a bucket without deferred grants has its tokens at once. An excess
/// request is granted only if every conforming request can still be granted, so that it never takes
/// the place of one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Bucket {
    allowance: Allowance,
    /// The level above the lowest one. Invariant: at most the burst plus what [`WAIT_MAX`] adds.
    headroom: Tokens,
    /// The level of a bucket that counts only conforming requests. Invariant: at most the burst,
    /// and at most `headroom`.
    conforming_level: Tokens,
    updated_at: Instant,
}

impl Bucket {
    /// Creates a bucket at its lowest level, because a former holder may have granted all tokens
    /// that are added in the next [`WAIT_MAX`].
    pub fn at_lowest(updated_at: Instant, allowance: Allowance) -> Self {
        Self { allowance, headroom: 0, conforming_level: 0, updated_at }
    }

    /// Creates a bucket with the given level, capped at its burst. A level below the lowest one is
    /// raised to it: only a higher former rate allows such a level, and its grants are due within
    /// [`WAIT_MAX`] as well.
    pub fn with_level(at: Instant, allowance: Allowance, level: Level) -> Self {
        let mut bucket = Self::at_lowest(at, allowance);
        bucket.headroom = allowance.headroom_at(level).min(bucket.max_headroom());
        bucket.conforming_level = to_tokens(level).min(allowance.burst());
        bucket
    }

    /// Returns the time up to which the bucket is refilled.
    pub fn updated_at(&self) -> Instant {
        self.updated_at
    }

    /// Returns whether the bucket is as full as one that was never used.
    pub fn is_full(&self, now: Instant) -> bool {
        self.after_refill(now).headroom == self.max_headroom()
    }

    /// Takes `count` tokens. On success returns the time after which they may be used, at most
    /// `wait_max` and [`WAIT_MAX`]. Otherwise returns the time after which the tokens may be
    /// available at once; [`Duration::MAX`] means never.
    pub fn take(
        &mut self,
        now: Instant,
        count: u32,
        wait_max: Duration,
    ) -> Result<Duration, Duration> {
        self.advance(now);
        let requested = Tokens::from(count) * TOKEN;
        if requested > self.allowance.burst() {
            return Err(Duration::MAX);
        }
        let needed = requested + self.allowance.refill(WAIT_MAX);
        let wait = self.allowance.wait_for(needed.saturating_sub(self.headroom));
        let is_conforming = requested <= self.conforming_level;
        let remaining = self.headroom.checked_sub(requested);
        let remaining =
            remaining.filter(|remaining| is_conforming || *remaining >= self.conforming_level);
        match remaining.filter(|_| wait <= wait_max) {
            Some(remaining) => {
                self.headroom = remaining;
                self.conforming_level -= if is_conforming { requested } else { 0 };
                Ok(wait)
            }
            None => Err(wait),
        }
    }

    /// Changes the rate and the burst. Time before the change counts at the lower of the two rates,
    /// and the level is capped at the new burst. A higher rate lowers the lowest level, and the
    /// level by the same amount; a lower rate leaves the level unchanged.
    pub fn set_allowance(&mut self, now: Instant, allowance: Allowance) {
        if allowance == self.allowance {
            return;
        }
        let old_depth = self.allowance.refill(WAIT_MAX);
        let is_slower = allowance.rate_nanotokens_per_s < self.allowance.rate_nanotokens_per_s;
        if is_slower {
            self.allowance.rate_nanotokens_per_s = allowance.rate_nanotokens_per_s;
        }
        let burst = self.allowance.burst();
        let elapsed = now.saturating_duration_since(self.updated_at);
        let refill = self.allowance.refill(elapsed);
        self.updated_at = self.updated_at.max(now);
        let headroom = (self.headroom + refill).min(burst + old_depth);
        self.conforming_level = (self.conforming_level + refill).min(burst);
        self.allowance = allowance;
        let headroom_drop = old_depth.saturating_sub(allowance.refill(WAIT_MAX));
        self.headroom = headroom.saturating_sub(headroom_drop).min(self.max_headroom());
        self.conforming_level = self.conforming_level.min(allowance.burst()).min(self.headroom);
    }

    /// Returns whether nothing was taken since `since`, when the bucket was at its lowest level.
    /// Once the bucket is full again, earlier takes can't be detected.
    pub fn is_unused_since(&self, now: Instant, since: Instant) -> bool {
        let refilled = self.allowance.refill(now.saturating_duration_since(since));
        self.after_refill(now).headroom == refilled.min(self.max_headroom())
    }

    /// Takes all tokens down to the lowest level, and returns the level before that.
    pub fn take_remaining(&mut self, now: Instant) -> Level {
        self.advance(now);
        let level = to_level(self.headroom) - to_level(self.allowance.refill(WAIT_MAX));
        (self.headroom, self.conforming_level) = (0, 0);
        level
    }

    fn max_headroom(&self) -> Tokens {
        self.allowance.burst() + self.allowance.refill(WAIT_MAX)
    }

    /// Returns the bucket at `now`, provided that nothing is taken until then.
    fn after_refill(&self, now: Instant) -> Self {
        let refill = self.allowance.refill(now.saturating_duration_since(self.updated_at));
        Self {
            allowance: self.allowance,
            headroom: (self.headroom + refill).min(self.max_headroom()),
            conforming_level: (self.conforming_level + refill).min(self.allowance.burst()),
            updated_at: self.updated_at.max(now),
        }
    }

    fn advance(&mut self, now: Instant) {
        *self = self.after_refill(now);
    }
}

/// Converts an amount to a level, saturating at [`Level::MAX`].
fn to_level(tokens: Tokens) -> Level {
    Level::try_from(tokens).unwrap_or(Level::MAX)
}

/// Returns the level as an amount of tokens, or zero if the level is negative.
fn to_tokens(level: Level) -> Tokens {
    Tokens::try_from(level).unwrap_or(0)
}
