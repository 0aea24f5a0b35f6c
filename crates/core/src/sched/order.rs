//! The order of waiting requests.
//!
//! Every order is a time: when the request arrived, moved by an offset that its kind of order gives.
//! The offset lies within `±max_rank_offset`, so a request is overtaken only by those that come at most
//! `2 * max_rank_offset` after it, and none starves.

use {
    super::Order,
    std::time::{Duration, Instant},
};

/// Slack at which half of the possible offset is used.
const SLACK_SCALE_S: f64 = 30.0;
/// Attained service at which half of the possible offset is used, in weighted tokens.
const ATTAINED_SCALE_TOKENS: f64 = 50_000.0;
/// A program counts as still feasible until it is projected to miss its target by this fraction.
const LATE_TOLERANCE: f64 = 0.25;

/// What an order may look at.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankInput {
    /// Time since the whole program began.
    pub(super) age: Duration,
    /// The class's target.
    pub(super) target: Duration,
    /// Time that the program still needs without waiting.
    pub(super) remaining: Duration,
    /// Weighted tokens that the program was served.
    pub(super) attained_tokens: u64,
}

impl RankInput {
    fn slack_s(&self) -> f64 {
        self.target.as_secs_f64() - self.age.as_secs_f64() - self.remaining.as_secs_f64()
    }

    fn is_feasible(&self) -> bool {
        self.slack_s() > -LATE_TOLERANCE * self.target.as_secs_f64()
    }
}

/// Time since `origin` by which requests are ordered; the least goes first.
pub(super) fn rank(
    order: Order,
    max_rank_offset: Duration,
    origin: Instant,
    arrived: Instant,
    input: &RankInput,
) -> i64 {
    let fraction = match order {
        Order::Fcfs => 0.0,
        Order::Slack => squash(input.slack_s() / SLACK_SCALE_S),
        Order::FeasibleSlack if input.is_feasible() => squash(input.slack_s() / SLACK_SCALE_S),
        Order::FeasibleSlack => 1.0,
        Order::LeastAttained => {
            squash(input.attained_tokens as f64 / ATTAINED_SCALE_TOKENS) * 2.0 - 1.0
        }
        Order::OldestProgram => -squash(input.age.as_secs_f64() / SLACK_SCALE_S),
    };
    let arrived_us = arrived.duration_since(origin).as_micros() as i64;
    arrived_us + (fraction * max_rank_offset.as_micros() as f64) as i64
}

/// Maps all numbers onto -1 to 1, keeping their order.
fn squash(value: f64) -> f64 {
    value / (value.abs() + 1.0)
}
