//! Order of waiting requests.
//!
//! A request's rank is its time of arrival plus an offset that depends on [`QueueOrder`]. The
//! offset is within `±max_rank_offset`. A request is therefore overtaken only by requests that
//! arrive at most `2 * max_rank_offset` after it, and none starves.

use {
    super::QueueOrder,
    std::time::{Duration, Instant},
};

/// Slack or age, in seconds, at which half of the maximum offset is applied.
const OFFSET_SCALE_S: f64 = 30.0;
/// Attained service in weighted tokens at which the offset is zero, the middle of its range.
const ATTAINED_SCALE_TOKENS: f64 = 50_000.0;
/// A program counts as feasible until it is projected to exceed its target by this fraction.
const FEASIBLE_OVERRUN_FRACTION: f64 = 0.25;

/// Properties of a program that determine the rank of its requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankInput {
    /// Time since the root program was created.
    pub(super) age: Duration,
    /// Target of the program's class.
    pub(super) target: Duration,
    /// Time that the program still needs, without queueing.
    pub(super) remaining: Duration,
    /// Weighted tokens served to the program so far.
    pub(super) attained_tokens: u64,
}

impl RankInput {
    fn slack_s(&self) -> f64 {
        self.target.as_secs_f64() - self.age.as_secs_f64() - self.remaining.as_secs_f64()
    }

    fn is_feasible(&self) -> bool {
        self.slack_s() > -FEASIBLE_OVERRUN_FRACTION * self.target.as_secs_f64()
    }
}

/// Returns the rank in microseconds since `origin`; the lowest is served first.
pub(super) fn rank(
    order: QueueOrder,
    max_rank_offset: Duration,
    origin: Instant,
    arrived: Instant,
    input: &RankInput,
) -> i64 {
    let fraction = match order {
        QueueOrder::Fcfs => 0.0,
        QueueOrder::Slack => softsign(input.slack_s() / OFFSET_SCALE_S),
        QueueOrder::FeasibleSlack if input.is_feasible() => {
            softsign(input.slack_s() / OFFSET_SCALE_S)
        }
        QueueOrder::FeasibleSlack => 1.0,
        QueueOrder::LeastAttained => {
            softsign(input.attained_tokens as f64 / ATTAINED_SCALE_TOKENS) * 2.0 - 1.0
        }
        QueueOrder::OldestProgram => -softsign(input.age.as_secs_f64() / OFFSET_SCALE_S),
    };
    let arrived_us = arrived.duration_since(origin).as_micros() as i64;
    arrived_us + (fraction * max_rank_offset.as_micros() as f64) as i64
}

/// Maps any number to a value between -1 and 1 and preserves the order (the softsign function).
fn softsign(value: f64) -> f64 {
    value / (value.abs() + 1.0)
}
