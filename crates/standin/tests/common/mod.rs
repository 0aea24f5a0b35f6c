//! Helpers of the contract tests.

#![allow(dead_code)] // Each test file uses some of them.

use {
    smol::Timer,
    std::time::{Duration, Instant},
    trefoilring_standin::{Control, Down, Faults, Hang},
};

/// Far longer than anything takes: only a fault that never ends comes to it.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// For calls that a fault leaves without an answer.
pub const SHORT: Duration = Duration::from_millis(200);

/// Polls until a condition holds.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < deadline, "{what} never came");
        Timer::after(Duration::from_millis(2)).await;
    }
}

/// Switches faults and waits until a refusal of connections is in force.
pub async fn switch(control: &Control, faults: Faults) {
    let is_refused = faults.down == Down::Refused;
    control.set(faults);
    until("the end of the listener", || !is_refused || !control.is_listening()).await;
}

pub fn deadline() -> Instant {
    Instant::now() + PATIENCE
}

/// What a caller sees of a call under a fault, and whether the call took effect.
pub struct FaultCase {
    pub name: &'static str,
    pub faults: Faults,
    pub verdict: &'static str,
    pub has_effect: bool,
}

/// The faults that every stand-in has, for calls that change something.
pub fn fault_cases() -> Vec<FaultCase> {
    let case = |name, verdict, has_effect, change: &dyn Fn(&mut Faults)| {
        let mut faults = Faults::default();
        change(&mut faults);
        FaultCase { name, faults, verdict, has_effect }
    };
    vec![
        case("none", "done", true, &|_| ()),
        case("slow", "done", true, &|faults| faults.latency_ms = 20),
        case("unavailable", "not_run", false, &|faults| faults.down = Down::Unavailable),
        case("refused", "not_run", false, &|faults| faults.down = Down::Refused),
        case("closed", "may_have_run", false, &|faults| faults.down = Down::Closed),
        case("answer lost", "may_have_run", true, &|faults| faults.lose_answer_every = 1),
        case("hang before", "may_have_run", false, &|faults| faults.hang = Hang::Before),
        case("hang after", "may_have_run", true, &|faults| faults.hang = Hang::After),
    ]
}

impl FaultCase {
    /// How long a call may take: short where no answer will come.
    pub fn patience(&self) -> Duration {
        if self.faults.hang == Hang::None { PATIENCE } else { SHORT }
    }
}
