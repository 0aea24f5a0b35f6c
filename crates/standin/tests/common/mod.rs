//! Helpers shared by the contract tests.

#![allow(dead_code)] // Each test file uses some of them.

use {
    smol::Timer,
    std::time::{Duration, Instant},
    trefoilring_standin::{Control, Faults, HangPhase, Outage},
};

/// Overall timeout, far longer than any operation takes. Only a hang exceeds it.
pub const TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of calls that get no response because of a fault.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Polls until a condition holds.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{what} never came");
        Timer::after(Duration::from_millis(2)).await;
    }
}

/// Sets faults. If `down` is `Refused`, waits until the listener is closed.
pub async fn set_faults(control: &Control, faults: Faults) {
    let is_refused = faults.down == Outage::Refused;
    control.set(faults);
    wait_until("the end of the listener", || !is_refused || !control.is_listening()).await;
}

pub fn deadline() -> Instant {
    Instant::now() + TIMEOUT
}

/// A fault and its expected effect on a call.
pub struct FaultCase {
    pub name: &'static str,
    pub faults: Faults,
    /// The verdict that the client returns, or `done`.
    pub verdict: &'static str,
    /// Whether the call takes effect.
    pub has_effect: bool,
}

/// Returns the faults that all stand-ins share, with their outcomes for calls that have an effect.
pub fn fault_cases() -> Vec<FaultCase> {
    let case = |name, verdict, has_effect, change: &dyn Fn(&mut Faults)| {
        let mut faults = Faults::default();
        change(&mut faults);
        FaultCase { name, faults, verdict, has_effect }
    };
    vec![
        case("none", "done", true, &|_| ()),
        case("slow", "done", true, &|faults| faults.latency_ms = 20),
        case("unavailable", "not_run", false, &|faults| faults.down = Outage::Unavailable),
        case("refused", "not_run", false, &|faults| faults.down = Outage::Refused),
        case("closed", "may_have_run", false, &|faults| faults.down = Outage::Closed),
        case("answer lost", "may_have_run", true, &|faults| faults.lose_answer_every = 1),
        case("hang before", "may_have_run", false, &|faults| faults.hang = HangPhase::Before),
        case("hang after", "may_have_run", true, &|faults| faults.hang = HangPhase::After),
    ]
}

impl FaultCase {
    /// Returns the timeout of the call: short if a hang leaves it without a response.
    pub fn timeout(&self) -> Duration {
        if self.faults.hang == HangPhase::None { TIMEOUT } else { SHORT_TIMEOUT }
    }
}
