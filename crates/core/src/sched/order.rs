//! The order of waiting requests.
//!
//! Every order is a time: when the request came, moved by an offset that its kind of order gives.
//! The offset lies within `±overtake`, so a request is overtaken only by those that come at most
//! `2 * overtake` after it, and none starves.

use {
    super::Order,
    std::time::{Duration, Instant},
};

/// Slack at which half of the possible offset is used.
const SLACK_SCALE_S: f64 = 30.0;
/// Attained service at which half of the possible offset is used, in weighted tokens.
const ATTAINED_SCALE_TOKENS: f64 = 50_000.0;
/// A program counts as still feasible until it is projected to miss its target by this share.
const LATE_TOLERANCE: f64 = 0.25;

/// What an order may look at.
#[derive(Clone, Copy, Debug)]
pub(super) struct Standing {
    /// Time since the whole program began.
    pub(super) age: Duration,
    /// The class's target.
    pub(super) target: Duration,
    /// Time that the program still needs without waiting.
    pub(super) remaining: Duration,
    /// Weighted tokens that the program was served.
    pub(super) attained_tokens: u64,
}

impl Standing {
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
    overtake: Duration,
    origin: Instant,
    came: Instant,
    standing: &Standing,
) -> i64 {
    let share = match order {
        Order::Fcfs => 0.0,
        Order::Slack => squash(standing.slack_s() / SLACK_SCALE_S),
        Order::FeasibleSlack if standing.is_feasible() => {
            squash(standing.slack_s() / SLACK_SCALE_S)
        }
        Order::FeasibleSlack => 1.0,
        Order::LeastAttained => {
            squash(standing.attained_tokens as f64 / ATTAINED_SCALE_TOKENS) * 2.0 - 1.0
        }
        Order::OldestProgram => -squash(standing.age.as_secs_f64() / SLACK_SCALE_S),
    };
    let came_us = came.duration_since(origin).as_micros() as i64;
    came_us + (share * overtake.as_micros() as f64) as i64
}

/// Maps all numbers onto -1 to 1, keeping their order.
fn squash(value: f64) -> f64 {
    value / (value.abs() + 1.0)
}
