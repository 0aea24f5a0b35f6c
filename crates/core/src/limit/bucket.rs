//! A token bucket in integer arithmetic. Nothing is rounded, so the level does not drift.

use {
    crate::{catalog::Team, membership::HALVES},
    std::time::{Duration, Instant},
};

/// An amount of tokens, in units of 10^-18 token. A rate in units of 10^-9 token per second adds a
/// whole number of these units each nanosecond.
pub type TokenUnits = u128;

/// A bucket level, in units of 10^-18 token. It is negative while granted tokens have not been
/// refilled yet.
pub type Level = i128;

/// The longest deferral of a grant: the longest time between a grant and the time from which its
/// tokens may be used.
pub const MAX_DEFERRAL: Duration = Duration::from_secs(3);

/// Units of 10^-18 token per token.
const UNITS_PER_TOKEN: TokenUnits = 1_000_000_000_000_000_000;
/// The smallest burst that is split, in tokens. A smaller burst goes to half 0 alone: of two small
/// buckets, one often lacks tokens that the other still has.
const MIN_SPLIT_BURST_TOKENS: u32 = 100;
/// Units of 10^-9 token per token.
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
    /// Returns the number of halves with a non-zero allowance: one if the burst is too small to be
    /// split.
    pub fn half_count(self) -> u8 {
        if self.burst_tokens < MIN_SPLIT_BURST_TOKENS { 1 } else { HALVES }
    }

    /// Returns the allowance of the half with this index. The halves add up to the allowance. If
    /// the burst is not split, half 0 has all of it.
    pub fn half(self, index: u8) -> Self {
        if self.half_count() == 1 {
            let zero = Self { rate_nanotokens_per_s: 0, burst_tokens: 0 };
            return if index == 0 { self } else { zero };
        }
        let remainder = u64::from(index == 0);
        Self {
            rate_nanotokens_per_s: (self.rate_nanotokens_per_s + remainder) / u64::from(HALVES),
            burst_tokens: (self.burst_tokens + u32::from(index == 0)) / u32::from(HALVES),
        }
    }

    /// Returns the capacity of a bucket, in units of 10^-18 token.
    pub fn burst(self) -> TokenUnits {
        TokenUnits::from(self.burst_tokens) * UNITS_PER_TOKEN
    }

    /// Returns the units that are refilled in `elapsed`.
    fn refill_amount(self, elapsed: Duration) -> TokenUnits {
        elapsed.as_nanos() * TokenUnits::from(self.rate_nanotokens_per_s)
    }

    /// Returns how far `level` is above the lowest level.
    fn available_at(self, level: Level) -> TokenUnits {
        to_tokens(level.saturating_add(to_level(self.refill_amount(MAX_DEFERRAL))))
    }

    /// Returns the time needed to refill `missing` units, rounded up to a nanosecond.
    fn wait_for(self, missing: TokenUnits) -> Duration {
        if missing == 0 {
            return Duration::ZERO;
        }
        if self.rate_nanotokens_per_s == 0 {
            return Duration::MAX;
        }
        let nanos = missing.div_ceil(TokenUnits::from(self.rate_nanotokens_per_s));
        u64::try_from(nanos).map_or(Duration::MAX, Duration::from_nanos)
    }
}

/// The token bucket of one half. Grants may be deferred: the tokens may be used only after a delay.
///
/// A deferred grant becomes usable once its tokens have been refilled. Until then the level is
/// negative, down to minus the refill of [`MAX_DEFERRAL`], which is the lowest level. Grants are in
/// order: a grant never becomes usable before an earlier grant.
///
/// A request is *conforming* if a bucket that never defers grants could serve it immediately. A
/// non-conforming (excess) request is granted only if every conforming request can still be
/// granted, so that excess requests never displace conforming ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Bucket {
    allowance: Allowance,
    /// The units that can still be granted, immediately or deferred: the level minus the lowest
    /// level. Invariant: at most the burst plus the refill of [`MAX_DEFERRAL`].
    available: TokenUnits,
    /// The level of a bucket that counts only conforming requests. Invariant: at most the burst,
    /// and at most `available`.
    conforming_level: TokenUnits,
    updated_at: Instant,
}

impl Bucket {
    /// Creates a bucket at its lowest level. A former holder may have granted all tokens that are
    /// refilled within the next [`MAX_DEFERRAL`].
    pub fn at_lowest(updated_at: Instant, allowance: Allowance) -> Self {
        Self { allowance, available: 0, conforming_level: 0, updated_at }
    }

    /// Creates a bucket with the given level, capped at its burst. A level below the lowest one is
    /// raised to it: such a level can only come from a higher previous rate, and the grants made at
    /// that rate become usable within [`MAX_DEFERRAL`] too.
    pub fn with_level(at: Instant, allowance: Allowance, level: Level) -> Self {
        let mut bucket = Self::at_lowest(at, allowance);
        bucket.available = allowance.available_at(level).min(bucket.max_available());
        bucket.conforming_level = to_tokens(level).min(allowance.burst());
        bucket
    }

    /// Returns the time up to which the bucket is refilled.
    pub fn updated_at(&self) -> Instant {
        self.updated_at
    }

    /// Returns whether the bucket is at capacity.
    pub fn is_full(&self, now: Instant) -> bool {
        self.after_refill(now).available == self.max_available()
    }

    /// Takes `count` tokens. On success returns the delay until they may be used, at most the
    /// smaller of `wait_max` and [`MAX_DEFERRAL`]. Otherwise returns the delay after which a
    /// request may succeed without a wait; [`Duration::MAX`] means never.
    pub fn take(
        &mut self,
        now: Instant,
        count: u32,
        wait_max: Duration,
    ) -> Result<Duration, Duration> {
        self.advance(now);
        let requested = TokenUnits::from(count) * UNITS_PER_TOKEN;
        if requested > self.allowance.burst() {
            return Err(Duration::MAX);
        }
        let needed = requested + self.allowance.refill_amount(MAX_DEFERRAL);
        let wait = self.allowance.wait_for(needed.saturating_sub(self.available));
        let is_conforming = requested <= self.conforming_level;
        let remaining = self.available.checked_sub(requested);
        let remaining =
            remaining.filter(|remaining| is_conforming || *remaining >= self.conforming_level);
        match remaining.filter(|_| wait <= wait_max) {
            Some(remaining) => {
                self.available = remaining;
                self.conforming_level -= if is_conforming { requested } else { 0 };
                Ok(wait)
            }
            None => Err(wait),
        }
    }

    /// Changes the rate and the burst. The time since the last update is refilled at the lower of
    /// the old and the new rate, and the level is capped at the new burst. A higher rate lowers
    /// both the lowest level and the current level by the same amount, so that the change adds no
    /// available tokens. A lower rate leaves the current level unchanged.
    pub fn set_allowance(&mut self, now: Instant, allowance: Allowance) {
        if allowance == self.allowance {
            return;
        }
        let old_max_debt = self.allowance.refill_amount(MAX_DEFERRAL);
        let is_slower = allowance.rate_nanotokens_per_s < self.allowance.rate_nanotokens_per_s;
        if is_slower {
            self.allowance.rate_nanotokens_per_s = allowance.rate_nanotokens_per_s;
        }
        let burst = self.allowance.burst();
        let elapsed = now.saturating_duration_since(self.updated_at);
        let refill = self.allowance.refill_amount(elapsed);
        self.updated_at = self.updated_at.max(now);
        let available = (self.available + refill).min(burst + old_max_debt);
        self.conforming_level = (self.conforming_level + refill).min(burst);
        self.allowance = allowance;
        let reduction = old_max_debt.saturating_sub(allowance.refill_amount(MAX_DEFERRAL));
        self.available = available.saturating_sub(reduction).min(self.max_available());
        self.conforming_level = self.conforming_level.min(allowance.burst()).min(self.available);
    }

    /// Returns whether nothing was taken since `since`. Requires that the bucket was at its lowest
    /// level at `since`. Once the bucket is full again, earlier takes can't be detected.
    pub fn is_unused_since(&self, now: Instant, since: Instant) -> bool {
        let refilled = self.allowance.refill_amount(now.saturating_duration_since(since));
        self.after_refill(now).available == refilled.min(self.max_available())
    }

    /// Drains the bucket to its lowest level and returns the previous level.
    pub fn take_remaining(&mut self, now: Instant) -> Level {
        self.advance(now);
        let level = to_level(self.available) - to_level(self.allowance.refill_amount(MAX_DEFERRAL));
        (self.available, self.conforming_level) = (0, 0);
        level
    }

    fn max_available(&self) -> TokenUnits {
        self.allowance.burst() + self.allowance.refill_amount(MAX_DEFERRAL)
    }

    /// Returns the bucket at `now`, provided that nothing is taken until then.
    fn after_refill(&self, now: Instant) -> Self {
        let refill = self.allowance.refill_amount(now.saturating_duration_since(self.updated_at));
        Self {
            allowance: self.allowance,
            available: (self.available + refill).min(self.max_available()),
            conforming_level: (self.conforming_level + refill).min(self.allowance.burst()),
            updated_at: self.updated_at.max(now),
        }
    }

    fn advance(&mut self, now: Instant) {
        *self = self.after_refill(now);
    }
}

/// Converts an amount to a level, saturating at [`Level::MAX`].
fn to_level(tokens: TokenUnits) -> Level {
    Level::try_from(tokens).unwrap_or(Level::MAX)
}

/// Returns the level as an amount of tokens, or zero if the level is negative.
fn to_tokens(level: Level) -> TokenUnits {
    TokenUnits::try_from(level).unwrap_or(0)
}
