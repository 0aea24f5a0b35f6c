use super::*;

#[test]
fn lines_over_the_rate_of_their_kind_are_counted() {
    const LINES_PER_S: u32 = 40;
    let mut rates = RateLimits::default();
    let now = Instant::now();
    for _ in 0..LINES_PER_S {
        assert_eq!(rates.admit(now, "call", LINES_PER_S), Some(0));
    }
    for _ in 0..7 {
        assert_eq!(rates.admit(now, "call", LINES_PER_S), None);
    }
    assert_eq!(rates.admit(now, "refusal", 200), Some(0), "each kind has its own limit");
    assert_eq!(rates.admit(now + RATE_WINDOW, "call", LINES_PER_S), Some(7));
    assert_eq!(rates.admit(now + RATE_WINDOW, "call", LINES_PER_S), Some(0));
}
