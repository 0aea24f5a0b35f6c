//! A token bucket in integers: nothing is rounded, so nothing drifts.

use {
    crate::{catalog::Team, membership::HALVES},
    std::time::{Duration, Instant},
};

/// An amount of tokens, in units of 10^-18 token. A rate in 10^-9 token a second adds a whole
/// number of units each nanosecond.
pub type Tokens = u128;

/// A level in the same units; below zero when tokens are promised for later.
pub type Level = i128;

/// The longest time for which tokens are promised ahead.
pub const WAIT_MAX: Duration = Duration::from_secs(3);

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

    /// Returns how far a level is above the lowest one.
    fn above_lowest(self, level: Level) -> Tokens {
        to_tokens(level.saturating_add(signed(self.refill(WAIT_MAX))))
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

/// The tokens of one half at one time, with a queue of promises.
///
/// A take may be granted for a later time: its tokens come from what will have been added by then,
/// so the level goes below zero, by at most what [`WAIT_MAX`] adds. Grants are in order: each is for
/// a time not before that of the one before it.
///
/// A request is *within* the allowance if a bucket without promises has its tokens at once. One that
/// is over it is granted only while every request within it still can be, so that it never takes the
/// place of one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Bucket {
    allowance: Allowance,
    /// The level above the lowest one. Invariant: at most the burst and what [`WAIT_MAX`] adds.
    ahead: Tokens,
    /// The level of a bucket without promises. Invariant: at most the burst, and at most `ahead`.
    within: Tokens,
    at: Instant,
}

impl Bucket {
    /// Makes a bucket at its lowest level: a former holder may have promised all that is added in
    /// the next [`WAIT_MAX`].
    pub fn empty(at: Instant, allowance: Allowance) -> Self {
        Self { allowance, ahead: 0, within: 0, at }
    }

    /// Makes a bucket with a level, at most its burst. Below the lowest level, which only a higher
    /// rate before allowed, the promises end within [`WAIT_MAX`] all the same.
    pub fn with_level(at: Instant, allowance: Allowance, level: Level) -> Self {
        let mut bucket = Self::empty(at, allowance);
        bucket.ahead = allowance.above_lowest(level).min(bucket.cap());
        bucket.within = to_tokens(level).min(allowance.burst());
        bucket
    }

    /// Returns when it was last used.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Returns whether it is as full as an unused one.
    pub fn is_full(&self, now: Instant) -> bool {
        self.at_time(now).ahead == self.cap()
    }

    /// Takes whole tokens and returns after how long they may be used, at most `wait_max` and
    /// [`WAIT_MAX`]. Otherwise returns after how long they may be there without a wait;
    /// [`Duration::MAX`] means never.
    pub fn take(
        &mut self,
        now: Instant,
        count: u32,
        wait_max: Duration,
    ) -> Result<Duration, Duration> {
        self.advance(now);
        let wanted = Tokens::from(count) * TOKEN;
        if wanted > self.allowance.burst() {
            return Err(Duration::MAX);
        }
        let due = wanted + self.allowance.refill(WAIT_MAX);
        let wait = self.allowance.wait_for(due.saturating_sub(self.ahead));
        let is_within = wanted <= self.within;
        let rest = self.ahead.checked_sub(wanted);
        let rest = rest.filter(|rest| is_within || *rest >= self.within);
        match rest.filter(|_| wait <= wait_max) {
            Some(rest) => {
                self.ahead = rest;
                self.within -= if is_within { wanted } else { 0 };
                Ok(wait)
            }
            None => Err(wait),
        }
    }

    /// Changes rate and burst. Time before the change counts at the lower of both rates, and the
    /// level is clipped to the new burst. With a higher rate the lowest level is lower, and the level
    /// sinks with it; with a lower rate the level stays.
    pub fn set_allowance(&mut self, now: Instant, allowance: Allowance) {
        if allowance == self.allowance {
            return;
        }
        let former = self.allowance.refill(WAIT_MAX);
        let is_slower = allowance.rate_nanotokens_per_s < self.allowance.rate_nanotokens_per_s;
        if is_slower {
            self.allowance.rate_nanotokens_per_s = allowance.rate_nanotokens_per_s;
        }
        let burst = self.allowance.burst();
        let elapsed = now.saturating_duration_since(self.at);
        let refill = self.allowance.refill(elapsed);
        self.at = self.at.max(now);
        let ahead = (self.ahead + refill).min(burst + former);
        self.within = (self.within + refill).min(burst);
        self.allowance = allowance;
        let sunk = former.saturating_sub(allowance.refill(WAIT_MAX));
        self.ahead = ahead.saturating_sub(sunk).min(self.cap());
        self.within = self.within.min(allowance.burst()).min(self.ahead);
    }

    /// Returns whether nothing was taken from a bucket that was at its lowest level at a time, as far
    /// as it can still be seen.
    pub fn is_untouched(&self, now: Instant, since: Instant) -> bool {
        let refilled = self.allowance.refill(now.saturating_duration_since(since));
        self.at_time(now).ahead == refilled.min(self.cap())
    }

    /// Takes all, with the promises, and returns the level.
    pub fn give_up(&mut self, now: Instant) -> Level {
        self.advance(now);
        let level = signed(self.ahead) - signed(self.allowance.refill(WAIT_MAX));
        (self.ahead, self.within) = (0, 0);
        level
    }

    fn cap(&self) -> Tokens {
        self.allowance.burst() + self.allowance.refill(WAIT_MAX)
    }

    /// The bucket at a time, as far as nothing is taken until then.
    fn at_time(&self, now: Instant) -> Self {
        let refill = self.allowance.refill(now.saturating_duration_since(self.at));
        Self {
            allowance: self.allowance,
            ahead: (self.ahead + refill).min(self.cap()),
            within: (self.within + refill).min(self.allowance.burst()),
            at: self.at.max(now),
        }
    }

    fn advance(&mut self, now: Instant) {
        *self = self.at_time(now);
    }
}

/// A level as whole tokens are counted, saturating.
fn signed(tokens: Tokens) -> Level {
    Level::try_from(tokens).unwrap_or(Level::MAX)
}

/// What a level has above zero.
fn to_tokens(level: Level) -> Tokens {
    Tokens::try_from(level).unwrap_or(0)
}
