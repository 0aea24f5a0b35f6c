//! The request rate that an upstream names as its limit, as far as this host may use it.
//!
//! Load pattern: an upstream in need names how many requests a second it takes from all hosts
//! together, while many hosts send to it without coordination. The limit is split evenly between
//! the hosts, as a team's allowance is, so the sum stays within it whichever hosts are cut off,
//! killed or restarted. A low limit is held by few hosts, and the others borrow single tokens from
//! them. A host that is told of a limit starts without tokens.

use {
    crate::shares::AllowanceHosts,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// What the hosts may save up of a limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Saving {
    /// Time over which the hosts may save up the limit together. More requests than the limit allows
    /// for any span exceed it by at most this.
    pub(super) time: Duration,
    /// How long a borrowed token may be used. Together with `time` it bounds the burst that saved
    /// tokens allow.
    pub(super) borrowed_ttl: Duration,
}

impl Saving {
    /// For the limits that upstreams name.
    pub(super) const NAMED_LIMIT: Self =
        Self { time: Duration::from_secs(1), borrowed_ttl: Duration::from_secs(1) };
}

/// Minimum tokens that a host with a share may save up. With less, a low limit is lost while its
/// token waits for a request.
const CAPACITY_MIN: f64 = 2.0;
/// Rate below which a limit is not kept. Without any request hosts would not learn that a limit has
/// ended.
const LIMIT_MIN_PER_S: f64 = 0.25;
/// Time after which a host that was told of a limit asks for a token to learn whether it still
/// applies.
const CONFIRM_AFTER: Duration = Duration::from_secs(1);

/// Answer of a host that is asked for a token of an upstream's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LendOutcome {
    /// The host lends a token.
    Lent,
    /// The host has no token to spare.
    NoToken,
    /// The upstream has answered the host without a limit, after it last named one to the borrower.
    NotLimited {
        /// Time since the request for that answer was sent.
        sent_ago: Duration,
    },
}

/// The limit of one upstream at this host.
#[derive(Debug)]
pub(super) struct RateLimit {
    /// Requests a second from all hosts together.
    limit_per_s: f64,
    saving: Saving,
    /// When the request was sent whose answer named the limit last.
    named_at: Instant,
    /// Part of the limit that this host may use, from 0 to 1.
    share: f64,
    tokens: f64,
    refilled_at: Instant,
    /// Until when each borrowed token may be used, earliest first.
    borrowed_until: VecDeque<Instant>,
}

impl RateLimit {
    pub(super) fn new(
        now: Instant,
        named_at: Instant,
        upstream: &str,
        limit_per_s: f64,
        hosts: &AllowanceHosts,
        saving: Saving,
    ) -> Self {
        let mut limit = Self {
            limit_per_s,
            saving,
            named_at,
            share: 0.0,
            tokens: 0.0,
            refilled_at: now,
            borrowed_until: VecDeque::new(),
        };
        limit.set_limit(now, upstream, limit_per_s, hosts);
        limit
    }

    /// Applies an answer that names a limit. Ignores answers to requests that were sent before the
    /// one that named the present limit.
    pub(super) fn on_named(
        &mut self,
        now: Instant,
        sent_at: Instant,
        upstream: &str,
        limit_per_s: f64,
        hosts: &AllowanceHosts,
    ) {
        if sent_at < self.named_at {
            return;
        }
        self.named_at = sent_at;
        if limit_per_s != self.limit_per_s {
            self.set_limit(now, upstream, limit_per_s, hosts);
        }
    }

    /// Returns when the request was sent whose answer named the limit last.
    pub(super) fn named_at(&self) -> Instant {
        self.named_at
    }

    /// Applies a changed limit or changed hosts. Tokens up to `now` are refilled at the former rate.
    pub(super) fn set_limit(
        &mut self,
        now: Instant,
        upstream: &str,
        limit_per_s: f64,
        hosts: &AllowanceHosts,
    ) {
        self.refill(now);
        self.limit_per_s = limit_per_s.max(LIMIT_MIN_PER_S);
        self.share = hosts.own_share(upstream, self.burst_tokens());
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns the requests a second that the upstream takes from all hosts together.
    pub(super) fn limit_per_s(&self) -> f64 {
        self.limit_per_s
    }

    /// Returns the tokens that all hosts together may save up.
    pub(super) fn burst_tokens(&self) -> f64 {
        self.limit_per_s * self.saving.time.as_secs_f64()
    }

    fn capacity(&self) -> f64 {
        match self.share > 0.0 {
            true => (self.burst_tokens() * self.share).max(CAPACITY_MIN),
            false => 0.0,
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let refilled = self.tokens + self.limit_per_s * self.share * elapsed_s;
        self.tokens = refilled.min(self.capacity());
    }

    /// Returns whether a request may be sent to the upstream.
    pub(super) fn has_token(&self, now: Instant) -> bool {
        self.next_token_at(now).is_some_and(|at| at <= now)
    }

    /// Returns when this host's next request may be sent, or `None` if it has to borrow a token.
    pub(super) fn next_token_at(&self, now: Instant) -> Option<Instant> {
        match self.borrowed_until.iter().any(|until| *until > now) {
            true => Some(now),
            false => self.next_own_token_at(),
        }
    }

    fn next_own_token_at(&self) -> Option<Instant> {
        let rate_per_s = self.limit_per_s * self.share;
        if rate_per_s <= 0.0 {
            return None;
        }
        let missing_s = (1.0 - self.tokens).max(0.0) / rate_per_s;
        self.refilled_at.checked_add(Duration::try_from_secs_f64(missing_s).ok()?)
    }

    /// Takes the token of a request that is sent now. Returns false if there is none.
    pub(super) fn take(&mut self, now: Instant) -> bool {
        while self.borrowed_until.front().is_some_and(|until| *until <= now) {
            self.borrowed_until.pop_front();
        }
        if self.borrowed_until.pop_front().is_some() {
            return true;
        }
        let has_token = self.has_own_token(now);
        if has_token {
            self.take_own(now);
        }
        has_token
    }

    /// Returns whether the host's own share allows another request now.
    pub(super) fn has_own_token(&self, now: Instant) -> bool {
        self.next_own_token_at().is_some_and(|at| at <= now)
    }

    /// Takes a token of the host's own share, for itself or another host.
    pub(super) fn take_own(&mut self, now: Instant) {
        self.refill(now);
        // The time of the next token is rounded.
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Adds a token that another host has lent.
    pub(super) fn receive(&mut self, now: Instant) {
        self.borrowed_until.push_back(now + self.saving.borrowed_ttl);
    }

    /// Returns whether the limit was not named for so long that it may have ended.
    pub(super) fn needs_confirmation(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.named_at) >= CONFIRM_AFTER
    }
}

#[cfg(test)]
mod tests;
