use {
    super::Pacer,
    std::time::{Duration, Instant},
};

const SPACING: Duration = Duration::from_millis(10);

/// Makes `count` writes, each as early as allowed. Returns their times in milliseconds after
/// `start`.
fn writes(pacer: &mut Pacer, start: Instant, burst: u32, count: usize) -> Vec<u128> {
    let mut now = start;
    let mut write = || {
        now = pacer.next_at(now, SPACING, burst);
        pacer.on_write(now, SPACING);
        now.duration_since(start).as_millis()
    };
    (0..count).map(|_| write()).collect()
}

#[test]
fn without_a_burst_writes_are_evenly_spaced() {
    let start = Instant::now();
    assert_eq!(writes(&mut Pacer::default(), start, 0, 4), [0, 10, 20, 30]);
}

#[test]
fn a_burst_is_immediate_and_later_writes_are_spaced() {
    let start = Instant::now();
    assert_eq!(writes(&mut Pacer::default(), start, 3, 7), [0, 0, 0, 0, 10, 20, 30]);
}

#[test]
fn no_window_exceeds_the_rate_plus_the_burst() {
    let (start, burst) = (Instant::now(), 5);
    let times = writes(&mut Pacer::default(), start, burst, 200);
    for (first, from) in times.iter().enumerate() {
        for (count, until) in times[first..].iter().enumerate() {
            let even_count = (until - from) / SPACING.as_millis();
            assert!(count as u128 <= even_count + u128::from(burst), "{from} to {until}");
        }
    }
}

#[test]
fn a_pause_restores_the_burst() {
    let start = Instant::now();
    let mut pacer = Pacer::default();
    writes(&mut pacer, start, 2, 10);
    let later = start + Duration::from_secs(1);
    assert_eq!(writes(&mut pacer, later, 2, 4), [0, 0, 0, 10]);
}
