//! How a home asks for a team's tokens: one half, then the other, with a bounded wait.

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

/// The wait before a half that is unreachable or has just begun is asked again.
const UNREACHABLE_WAIT: Duration = Duration::from_millis(100);

/// What came of asking a half.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HalfAnswer {
    /// Its limiter answered.
    Answered(Taken),
    /// It could not be reached, or its answer was lost; tokens may be spent.
    Unreachable,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Ask the limiter of this half for tokens that may be used after at most this time.
    Ask(u8, Duration),
    /// Wait until this time, then ask for the next step.
    Wait(Instant),
    /// The tokens are taken.
    Granted,
    /// No tokens in time. Nothing has been sent to an upstream.
    Refuse(Refusal),
}

/// Which half served each team last. Costs one entry a team that calls here.
#[derive(Debug, Default)]
pub struct Hints {
    last_good: BTreeMap<TeamId, u8>,
}

impl Hints {
    /// Starts to get tokens. `near` is the half to prefer when nothing is known; `halves` is how many
    /// have tokens ([`super::Allowance::halves`]).
    pub fn start(
        &self,
        now: Instant,
        team: &TeamId,
        near: u8,
        halves: u8,
        count: u32,
        wait_max: Duration,
    ) -> Attempt {
        let first = self.last_good.get(team).copied().unwrap_or(near).min(halves.min(HALVES) - 1);
        Attempt {
            count,
            first,
            is_split: halves > 1,
            answers: [None, None],
            wait_max,
            deadline: now + wait_max,
            is_last_try: halves < 2,
            granted: None,
            waits_until: None,
            retry_after: None,
        }
    }

    /// Remembers which half served a team, or forgets a team whose half was short.
    pub fn note(&mut self, team: &TeamId, attempt: &Attempt) {
        match attempt.granted_by() {
            Some(half) => {
                self.last_good.insert(team.clone(), half);
            }
            None => {
                self.last_good.remove(team);
            }
        }
    }
}

/// One request's way to its tokens.
#[derive(Clone, Debug)]
pub struct Attempt {
    count: u32,
    first: u8,
    is_split: bool,
    answers: [Option<HalfAnswer>; HALVES as usize],
    wait_max: Duration,
    deadline: Instant,
    /// Whether the first half is asked with the whole wait: after the other was asked too.
    is_last_try: bool,
    granted: Option<(u8, Instant)>,
    waits_until: Option<Instant>,
    retry_after: Option<Duration>,
}

impl Attempt {
    /// Returns the number of tokens wanted.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the half that granted.
    pub fn granted_by(&self) -> Option<u8> {
        self.granted.map(|(half, _)| half)
    }

    /// Takes in an answer.
    pub fn answered(&mut self, now: Instant, half: u8, answer: HalfAnswer) {
        if let HalfAnswer::Answered(Taken::Granted(wait)) = &answer {
            self.granted = Some((half, now + *wait));
        }
        if let Some(slot) = self.answers.get_mut(usize::from(half)) {
            *slot = Some(answer);
        }
    }

    /// Returns what to do next. Refuses at once when no wait within the bound can help.
    ///
    /// The first half is asked for tokens at once, the other one for tokens no later than the
    /// first would have them, and then the first for tokens within the whole wait.
    pub fn next(&mut self, now: Instant) -> Step {
        if let Some((_, until)) = self.granted {
            return if now < until { Step::Wait(until) } else { Step::Granted };
        }
        if let Some(until) = self.waits_until {
            if now < until {
                return Step::Wait(until);
            }
            self.waits_until = None;
            self.answers = [None, None];
            self.is_last_try = !self.is_split;
        }
        let open = self.halves().find(|half| self.answers[usize::from(*half)].is_none());
        match open {
            Some(half) => Step::Ask(half, self.wait_for(half)),
            None if !self.is_last_try && self.first_wait().is_some() => {
                self.is_last_try = true;
                Step::Ask(self.first, self.wait_max)
            }
            None => self.wait_or_refuse(now),
        }
    }

    fn wait_for(&self, half: u8) -> Duration {
        match half == self.first {
            true if self.is_last_try => self.wait_max,
            true => Duration::ZERO,
            false => self.first_wait().map_or(self.wait_max, |wait| wait.min(self.wait_max)),
        }
    }

    /// The wait that the first half named, if it is one that may help.
    fn first_wait(&self) -> Option<Duration> {
        match &self.answers[usize::from(self.first)] {
            Some(HalfAnswer::Answered(Taken::RetryAfter(wait))) => {
                Some(*wait).filter(|wait| *wait <= self.wait_max)
            }
            _ => None,
        }
    }

    /// The halves that have tokens, in the order of asking.
    fn halves(&self) -> impl Iterator<Item = u8> + use<> {
        let other = self.is_split.then_some(1 - self.first);
        [self.first].into_iter().chain(other)
    }

    /// Asks again when a half could not be asked or had just begun, and otherwise refuses.
    fn wait_or_refuse(&mut self, now: Instant) -> Step {
        self.retry_after = self.known_wait();
        let is_answered = |half: u8| {
            let answer = &self.answers[usize::from(half)];
            matches!(answer, Some(HalfAnswer::Answered(Taken::RetryAfter(_))))
        };
        let until = now + UNREACHABLE_WAIT;
        if self.halves().all(is_answered) || until > self.deadline {
            return Step::Refuse(self.refusal());
        }
        self.waits_until = Some(until);
        Step::Wait(until)
    }

    /// Returns the shortest wait that a limiter named.
    fn known_wait(&self) -> Option<Duration> {
        self.answers
            .iter()
            .filter_map(|answer| match answer {
                Some(HalfAnswer::Answered(Taken::RetryAfter(wait) | Taken::AskAgain(wait))) => {
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
                    .retry_after(UNREACHABLE_WAIT)
            }
        }
    }
}
