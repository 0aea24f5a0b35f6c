use super::*;

#[test]
fn moves_to_another_upstream_after_four_broken_attempts_and_gives_up_after_two_upstreams() {
    use RetryDecision::{GiveUp, OtherUpstream, SameUpstream};
    let mut breaks = BrokenAttempts::default();
    let decisions: Vec<RetryDecision> = (0..8).map(|_| breaks.on_break()).collect();
    assert_eq!(
        decisions,
        [
            SameUpstream,
            SameUpstream,
            SameUpstream,
            OtherUpstream,
            SameUpstream,
            SameUpstream,
            SameUpstream,
            GiveUp
        ]
    );
}
