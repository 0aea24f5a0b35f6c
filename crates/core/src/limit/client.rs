//! Client that requests a team's tokens from the limiter of one half, then of the other, with a
//! bounded wait.

use {
    super::Taken,
    crate::{
        ids::TeamId,
        membership::HALVES,
        verdict::{Reason, Refusal},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The wait before another request to a half that is unreachable or whose holder started recently.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The result of a request to the limiter of a half.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LimiterResult {
    /// The limiter replied.
    Replied(Taken),
    /// The limiter could not be reached, or its reply was lost. Tokens may have been taken.
    Unreachable,
}

/// The next action for a token request.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Request tokens from the limiter of this half, usable within this delay.
    Request(u8, Duration),
    /// Wait until this time, then call [`TokenRequest::next`] again.
    Wait(Instant),
    /// The tokens are taken and may be used now.
    Granted,
    /// The tokens could not be obtained within the wait. Nothing has been sent to an upstream.
    Refuse(Refusal),
}

/// The half that last granted tokens, for each team. Holds one entry for each team that sends
/// requests to this host.
#[derive(Debug, Default)]
pub struct PreferredHalves {
    last_granted: BTreeMap<TeamId, u8>,
}

impl PreferredHalves {
    /// Starts a request for `count` tokens. `default_half` is the half to query first if no half is
    /// stored for the team; `half_count` is the number of halves with a non-zero allowance
    /// ([`super::Allowance::half_count`]).
    pub fn start_request(
        &self,
        now: Instant,
        team: &TeamId,
        default_half: u8,
        half_count: u8,
        count: u32,
        wait_max: Duration,
    ) -> TokenRequest {
        let preferred = self
            .last_granted
            .get(team)
            .copied()
            .unwrap_or(default_half)
            .min(half_count.min(HALVES) - 1);
        TokenRequest {
            count,
            preferred,
            is_split: half_count > 1,
            results: [None, None],
            wait_max,
            deadline: now + wait_max,
            uses_full_wait: half_count < 2,
            granted: None,
            paused_until: None,
            retry_after: None,
        }
    }

    /// Stores which half granted the request, or removes the team's entry if none did.
    pub fn record_outcome(&mut self, team: &TeamId, request: &TokenRequest) {
        match request.granted_by() {
            Some(half) => {
                self.last_granted.insert(team.clone(), half);
            }
            None => {
                self.last_granted.remove(team);
            }
        }
    }
}

/// The state of one request for tokens.
#[derive(Clone, Debug)]
pub struct TokenRequest {
    count: u32,
    preferred: u8,
    is_split: bool,
    results: [Option<LimiterResult>; HALVES as usize],
    wait_max: Duration,
    deadline: Instant,
    /// Whether the next request to the preferred half uses `wait_max` as its wait limit. Set after
    /// the other half was queried too, or if the allowance is not split.
    uses_full_wait: bool,
    granted: Option<(u8, Instant)>,
    paused_until: Option<Instant>,
    retry_after: Option<Duration>,
}

impl TokenRequest {
    /// Returns the number of tokens that each [`Action::Request`] takes.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the half that granted the tokens.
    pub fn granted_by(&self) -> Option<u8> {
        self.granted.map(|(half, _)| half)
    }

    /// Applies the result of an [`Action::Request`].
    pub fn on_result(&mut self, now: Instant, half: u8, result: LimiterResult) {
        if let LimiterResult::Replied(Taken::Granted(wait)) = &result {
            self.granted = Some((half, now + *wait));
        }
        if let Some(entry) = self.results.get_mut(usize::from(half)) {
            *entry = Some(result);
        }
    }

    /// Returns the next action. Refuses immediately if no tokens can be available within
    /// `wait_max`.
    ///
    /// The first request goes to the preferred half, for tokens without a wait. The second goes to
    /// the other half, with the wait reported by the preferred half as its limit. The third goes to
    /// the preferred half again, with `wait_max` as its limit.
    pub fn next(&mut self, now: Instant) -> Action {
        if let Some((_, until)) = self.granted {
            return if now < until { Action::Wait(until) } else { Action::Granted };
        }
        if let Some(until) = self.paused_until {
            if now < until {
                return Action::Wait(until);
            }
            self.paused_until = None;
            self.results = [None, None];
            self.uses_full_wait = !self.is_split;
        }
        let pending = self.query_order().find(|half| self.results[usize::from(*half)].is_none());
        match pending {
            Some(half) => Action::Request(half, self.wait_limit(half)),
            None if !self.uses_full_wait && self.preferred_half_wait().is_some() => {
                self.uses_full_wait = true;
                Action::Request(self.preferred, self.wait_max)
            }
            None => self.retry_or_refuse(now),
        }
    }

    fn wait_limit(&self, half: u8) -> Duration {
        match half == self.preferred {
            true if self.uses_full_wait => self.wait_max,
            true => Duration::ZERO,
            false => {
                self.preferred_half_wait().map_or(self.wait_max, |wait| wait.min(self.wait_max))
            }
        }
    }

    /// Returns the wait that the preferred half reported, if it is at most `wait_max`.
    fn preferred_half_wait(&self) -> Option<Duration> {
        match &self.results[usize::from(self.preferred)] {
            Some(LimiterResult::Replied(Taken::RetryAfter(wait))) => {
                Some(*wait).filter(|wait| *wait <= self.wait_max)
            }
            _ => None,
        }
    }

    /// Returns the halves with a non-zero allowance, in the order in which they are queried.
    fn query_order(&self) -> impl Iterator<Item = u8> + use<> {
        let other = self.is_split.then_some(1 - self.preferred);
        [self.preferred].into_iter().chain(other)
    }

    /// Queries the halves again after [`RETRY_INTERVAL`] if one was unreachable or its holder
    /// started recently. Otherwise refuses.
    fn retry_or_refuse(&mut self, now: Instant) -> Action {
        self.retry_after = self.shortest_reported_wait();
        let replied_retry_after = |half: u8| {
            let result = &self.results[usize::from(half)];
            matches!(result, Some(LimiterResult::Replied(Taken::RetryAfter(_))))
        };
        let until = now + RETRY_INTERVAL;
        if self.query_order().all(replied_retry_after) || until > self.deadline {
            return Action::Refuse(self.refusal());
        }
        self.paused_until = Some(until);
        Action::Wait(until)
    }

    /// Returns the shortest wait that a limiter reported.
    fn shortest_reported_wait(&self) -> Option<Duration> {
        self.results
            .iter()
            .filter_map(|result| match result {
                Some(LimiterResult::Replied(Taken::RetryAfter(wait) | Taken::AskAgain(wait))) => {
                    Some(*wait)
                }
                _ => None,
            })
            .min()
    }

    fn refusal(&self) -> Refusal {
        match self.retry_after {
            Some(Duration::MAX) => Refusal::not_run(
                Reason::OverAllowance,
                "the request needs more tokens than a bucket of the team holds",
            ),
            Some(wait) => {
                Refusal::not_run(Reason::OverAllowance, "the team is over its rate and burst")
                    .retry_after(wait)
            }
            None => {
                Refusal::not_run(Reason::HomeUnavailable, "no limiter of the team can be reached")
                    .retry_after(RETRY_INTERVAL)
            }
        }
    }
}
