use {
    super::Pace,
    std::time::{Duration, Instant},
};

const SPACING: Duration = Duration::from_millis(10);

/// Writes as early as allowed, `count` times, and returns when each came after the start.
fn writes(pace: &mut Pace, start: Instant, burst: u32, count: usize) -> Vec<u128> {
    let mut now = start;
    let mut write = || {
        now = pace.next_at(now, SPACING, burst);
        pace.wrote(now, SPACING);
        now.duration_since(start).as_millis()
    };
    (0..count).map(|_| write()).collect()
}

#[test]
fn without_burst_writes_are_evenly_spaced() {
    let start = Instant::now();
    assert_eq!(writes(&mut Pace::default(), start, 0, 4), [0, 10, 20, 30]);
}

#[test]
fn a_burst_comes_at_once_and_then_the_spacing_holds() {
    let start = Instant::now();
    assert_eq!(writes(&mut Pace::default(), start, 3, 7), [0, 0, 0, 0, 10, 20, 30]);
}

#[test]
fn in_any_window_no_more_come_than_the_rate_and_the_burst() {
    let (start, burst) = (Instant::now(), 5);
    let times = writes(&mut Pace::default(), start, burst, 200);
    for (first, from) in times.iter().enumerate() {
        for (count, until) in times[first..].iter().enumerate() {
            let evenly = (until - from) / SPACING.as_millis();
            assert!(count as u128 <= evenly + u128::from(burst), "{from} to {until}");
        }
    }
}

#[test]
fn a_pause_gives_the_burst_back() {
    let start = Instant::now();
    let mut pace = Pace::default();
    writes(&mut pace, start, 2, 10);
    let later = start + Duration::from_secs(1);
    assert_eq!(writes(&mut pace, later, 2, 4), [0, 0, 0, 10]);
}
