//! How a home asks for a team's tokens: one half, then the other, then a bounded wait.

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

/// The wait before an unreachable half is asked again.
const UNREACHABLE_WAIT: Duration = Duration::from_millis(100);
/// The least wait before a half is asked again.
const WAIT_MIN: Duration = Duration::from_millis(1);

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
    /// Ask the limiter of this half.
    Ask(u8),
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
            deadline: now + wait_max,
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
    deadline: Instant,
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
        let is_granted = |half: &u8| {
            self.answers[usize::from(*half)] == Some(HalfAnswer::Answered(Taken::Granted))
        };
        (0..HALVES).find(is_granted)
    }

    /// Takes in an answer.
    pub fn answered(&mut self, half: u8, answer: HalfAnswer) {
        if let Some(slot) = self.answers.get_mut(usize::from(half)) {
            *slot = Some(answer);
        }
    }

    /// Returns what to do next. Refuses at once when no wait within the bound can help.
    pub fn next(&mut self, now: Instant) -> Step {
        if self.granted_by().is_some() {
            return Step::Granted;
        }
        if let Some(until) = self.waits_until {
            if now < until {
                return Step::Wait(until);
            }
            self.waits_until = None;
            self.answers = [None, None];
        }
        let open = self.halves().find(|half| self.answers[usize::from(*half)].is_none());
        match open {
            Some(half) => Step::Ask(half),
            None => self.wait_or_refuse(now),
        }
    }

    /// The halves that have tokens, in the order of asking.
    fn halves(&self) -> impl Iterator<Item = u8> + use<> {
        let other = self.is_split.then_some(1 - self.first);
        [self.first].into_iter().chain(other)
    }

    fn wait_or_refuse(&mut self, now: Instant) -> Step {
        let wait = |half: &u8| match &self.answers[usize::from(*half)] {
            Some(HalfAnswer::Answered(Taken::RetryAfter(wait))) => *wait,
            _ => UNREACHABLE_WAIT,
        };
        // The half that has tokens first is asked first after the wait.
        let (first, wait) = self
            .halves()
            .map(|half| (half, wait(&half)))
            .min_by_key(|(_, wait)| *wait)
            .unwrap_or((self.first, UNREACHABLE_WAIT));
        self.first = first;
        self.retry_after = self.known_wait();
        let until = now.checked_add(wait.max(WAIT_MIN));
        match until.filter(|until| *until <= self.deadline) {
            Some(until) => {
                self.waits_until = Some(until);
                Step::Wait(until)
            }
            None => Step::Refuse(self.refusal()),
        }
    }

    /// Returns the shortest wait that a limiter named.
    fn known_wait(&self) -> Option<Duration> {
        self.answers
            .iter()
            .filter_map(|answer| match answer {
                Some(HalfAnswer::Answered(Taken::RetryAfter(wait))) => Some(*wait),
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
