//! Estimates how much work a program of a class still needs, from the requests seen so far.
//!
//! The length of a program is not known in advance. For each class, the number of programs that
//! reached each call is counted. The expected number of remaining calls at call k is the sum, over
//! call k and all later calls, of the fraction of the programs that reached call k which also
//! reached that call. Counts are halved regularly, so that the estimate follows a change of the
//! workload. This needs no event for the end of a program, and a new dispatcher starts from empty
//! counts.

use {
    crate::ids::ClassId,
    std::{collections::BTreeMap, time::Duration},
};

/// All calls beyond this number are counted together.
const MAX_CALLS: usize = 256;
/// Number of first calls at which all counts are halved.
const HALVING_THRESHOLD: f64 = 2_000.0;
/// Minimum number of programs that must have reached a call before its count is used.
const MIN_SAMPLES: f64 = 5.0;
/// Weight of one sample in a smoothed value.
const SMOOTHING_WEIGHT: f64 = 0.05;
/// Service time of a call until one has been measured.
const DEFAULT_SERVICE_S: f64 = 2.0;
/// Completion tokens of a turn until one has been measured.
const DEFAULT_COMPLETION_TOKENS: f64 = 200.0;
/// Longer pauses are ignored: the program may have been abandoned and resumed later.
const MAX_PAUSE: Duration = Duration::from_secs(600);

#[derive(Clone, Debug)]
struct ClassEstimate {
    /// Number of requests, indexed by how many calls their program had completed before.
    reached: Vec<f64>,
    service_s: f64,
    pause_s: f64,
    completion_tokens: f64,
}

impl Default for ClassEstimate {
    fn default() -> Self {
        Self {
            reached: vec![0.0; MAX_CALLS],
            service_s: DEFAULT_SERVICE_S,
            pause_s: 0.0,
            completion_tokens: DEFAULT_COMPLETION_TOKENS,
        }
    }
}

impl ClassEstimate {
    fn record_request(&mut self, calls_done: u32) {
        let index = (calls_done as usize).min(MAX_CALLS - 1);
        self.reached[index] += 1.0;
        if self.reached[0] > HALVING_THRESHOLD {
            self.reached.iter_mut().for_each(|count| *count /= 2.0);
        }
    }

    /// Returns the expected number of remaining calls, including the current one.
    ///
    /// If too few programs reached this call, expects as many calls as were already made: the
    /// longer a program of a heavy-tailed class has run, the longer it is likely to run.
    fn remaining_calls(&self, calls_done: u32) -> f64 {
        let index = calls_done as usize;
        match self.reached.get(index) {
            Some(&count) if count >= MIN_SAMPLES => {
                self.reached[index..].iter().sum::<f64>() / count
            }
            _ => f64::from(calls_done.max(1)),
        }
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Estimates {
    classes: BTreeMap<ClassId, ClassEstimate>,
}

impl Estimates {
    /// Counts a request of a program that has completed `calls_done` calls.
    pub(super) fn record_request(&mut self, class: &ClassId, calls_done: u32) {
        self.estimate_mut(class).record_request(calls_done);
    }

    /// Records the duration of a call at its upstream and its completion tokens.
    pub(super) fn record_service(
        &mut self,
        class: &ClassId,
        total: Duration,
        completion_tokens: u64,
    ) {
        let estimate = self.estimate_mut(class);
        estimate.service_s += SMOOTHING_WEIGHT * (total.as_secs_f64() - estimate.service_s);
        estimate.completion_tokens +=
            SMOOTHING_WEIGHT * (completion_tokens as f64 - estimate.completion_tokens);
    }

    /// Records the pause of a program between two calls.
    pub(super) fn record_pause(&mut self, class: &ClassId, pause: Duration) {
        if pause <= MAX_PAUSE {
            let estimate = self.estimate_mut(class);
            estimate.pause_s += SMOOTHING_WEIGHT * (pause.as_secs_f64() - estimate.pause_s);
        }
    }

    /// Returns the time that a program still needs, including the current call but no queueing.
    pub(super) fn remaining(&self, class: &ClassId, calls_done: u32) -> Duration {
        let Some(estimate) = self.classes.get(class) else {
            return Duration::from_secs_f64(DEFAULT_SERVICE_S);
        };
        let calls = estimate.remaining_calls(calls_done);
        let pauses = (calls - 1.0).max(0.0);
        Duration::from_secs_f64(calls * estimate.service_s + pauses * estimate.pause_s)
    }

    /// Returns the expected number of completion tokens of a turn.
    pub(super) fn completion_tokens(&self, class: &ClassId) -> u64 {
        self.classes
            .get(class)
            .map_or(DEFAULT_COMPLETION_TOKENS, |estimate| estimate.completion_tokens) as u64
    }

    fn estimate_mut(&mut self, class: &ClassId) -> &mut ClassEstimate {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.clone(), ClassEstimate::default());
        }
        self.classes.get_mut(class).expect("inserted above")
    }
}
