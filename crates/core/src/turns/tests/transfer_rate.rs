use super::*;

const MBIT_BYTES_PER_S: f64 = 125_000.0;

/// Records parts that take their time on a link, with a round trip each.
fn after_parts(mbit_per_s: f64, count: usize) -> TransferRate {
    let mut rate = TransferRate::default();
    for _ in 0..count {
        let bytes = rate.part_bytes();
        let seconds = bytes as f64 / (mbit_per_s * MBIT_BYTES_PER_S) + 0.002;
        rate.on_transfer(bytes, Duration::from_secs_f64(seconds));
    }
    rate
}

#[test]
fn parts_take_about_as_long_on_all_links() {
    for mbit_per_s in [5.0, 30.0, 100.0] {
        let part_bytes = after_parts(mbit_per_s, 10).part_bytes();
        let seconds = part_bytes as f64 / (mbit_per_s * MBIT_BYTES_PER_S);
        assert!((0.04..0.06).contains(&seconds), "{mbit_per_s} Mbit/s: {part_bytes} bytes");
    }
    assert_eq!(after_parts(1000.0, 10).part_bytes(), PART_BYTES_MAX);
}

#[test]
fn small_transfers_do_not_lower_the_rate() {
    let mut rate = after_parts(200.0, 10);
    let before = rate.part_bytes();
    for _ in 0..10 {
        rate.on_transfer(2_000, Duration::from_millis(10));
    }
    assert_eq!(rate.part_bytes(), before);
}

#[test]
fn transfer_without_duration_changes_the_rate_by_a_bounded_factor() {
    let mut rate = TransferRate::default();
    let before = rate.part_bytes();
    rate.on_transfer(before, Duration::ZERO);
    assert_eq!(rate.part_bytes(), 2 * before);
}
