//! What a class's programs still need, learned from the requests that come.
//!
//! Nobody says how long a program will be. Of the programs of a class, the share that reached a
//! further call after the k-th one is counted; the sum of these shares is the number of calls that
//! a program with k calls may expect. Counts are halved now and then, so that a change of the work
//! is followed. No event for a program's end is needed, and a new dispatcher learns anew.

use {
    crate::ids::ClassId,
    std::{collections::BTreeMap, time::Duration},
};

/// Calls beyond this are counted together.
const MAX_CALLS: usize = 256;
/// First calls after which all counts are halved.
const HALVING_THRESHOLD: f64 = 2_000.0;
/// Programs that must have come as far before their count is trusted.
const MIN_SAMPLES: f64 = 5.0;
/// Weight of one sample in a smoothed duration.
const SMOOTHING_WEIGHT: f64 = 0.05;
/// Service time of a call while none has been seen.
const DEFAULT_SERVICE_S: f64 = 2.0;
/// Generated tokens of a turn while none has been seen.
const DEFAULT_COMPLETION_TOKENS: f64 = 200.0;
/// Pauses longer than this are left out: the program may have been given up and taken up again.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// What was learned about one class.
#[derive(Clone, Debug)]
struct ClassEstimate {
    /// Requests seen with so many calls done before.
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

    /// Calls that a program may expect to make, the present one included.
    ///
    /// Where too few programs came as far, as many calls again are expected as were made: the
    /// longer a program of a heavy-tailed class has run, the longer it will run.
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

/// What was learned about all classes.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimates {
    classes: BTreeMap<ClassId, ClassEstimate>,
}

impl Estimates {
    /// Counts a request.
    pub(super) fn record_request(&mut self, class: &ClassId, calls_done: u32) {
        self.estimate_mut(class).record_request(calls_done);
    }

    /// Learns how long a call took at its upstream, and what it generated.
    pub(super) fn record_service(&mut self, class: &ClassId, total: Duration, completion: u64) {
        let estimate = self.estimate_mut(class);
        estimate.service_s += SMOOTHING_WEIGHT * (total.as_secs_f64() - estimate.service_s);
        estimate.completion_tokens +=
            SMOOTHING_WEIGHT * (completion as f64 - estimate.completion_tokens);
    }

    /// Learns how long a program paused between two calls.
    pub(super) fn record_pause(&mut self, class: &ClassId, pause: Duration) {
        if pause <= MAX_PAUSE {
            let estimate = self.estimate_mut(class);
            estimate.pause_s += SMOOTHING_WEIGHT * (pause.as_secs_f64() - estimate.pause_s);
        }
    }

    /// Time that a program still needs, the present call included, without waiting.
    pub(super) fn remaining(&self, class: &ClassId, calls_done: u32) -> Duration {
        let Some(estimate) = self.classes.get(class) else {
            return Duration::from_secs_f64(DEFAULT_SERVICE_S);
        };
        let calls = estimate.remaining_calls(calls_done);
        let pauses = (calls - 1.0).max(0.0);
        Duration::from_secs_f64(calls * estimate.service_s + pauses * estimate.pause_s)
    }

    /// Tokens that a turn of the class will likely generate.
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
