use super::*;

const LONG: Duration = Duration::from_secs(60);
const MS: Duration = Duration::from_millis(1);

#[test]
fn request_of_an_unknown_kind_is_taken_only_if_it_is_given_up_in_time() {
    let durations = UsualDurations::default();
    let now = Instant::now();
    let stop_at = now + 5000 * MS;
    assert!(durations.ends_before(now, stop_at, "book", stop_at));
    assert!(!durations.ends_before(now, stop_at, "book", stop_at + MS));
    assert!(!durations.ends_before(stop_at + MS, stop_at, "book", stop_at + 2 * MS));
}

#[test]
fn request_is_taken_while_its_kind_usually_ends_in_time() {
    let mut durations = UsualDurations::default();
    durations.record("book", 1000 * MS);
    let now = Instant::now();
    let ends_within = |left: Duration| durations.ends_before(now, now + left, "book", now + LONG);
    assert!(ends_within(2000 * MS));
    assert!(!ends_within(1999 * MS));
    assert!(!durations.ends_before(now, now + 2000 * MS, "other", now + LONG));
}

/// Guards against an estimate that follows the mean: a kind that takes long now and then would be taken
/// and cut off.
#[test]
fn long_requests_count_more_than_short_ones() {
    let mut durations = UsualDurations::default();
    let now = Instant::now();
    durations.record("book", 5000 * MS);
    for _ in 0..10 {
        durations.record("book", 10 * MS);
    }
    assert!(!durations.ends_before(now, now + 7000 * MS, "book", now + LONG));
    for _ in 0..300 {
        durations.record("book", 10 * MS);
    }
    assert!(durations.ends_before(now, now + 500 * MS, "book", now + LONG));
}

#[test]
fn number_of_routes_is_bounded() {
    let mut durations = UsualDurations::default();
    for number in 0..2 * ROUTES_MAX {
        durations.record(&number.to_string(), MS);
    }
    assert_eq!(durations.by_route.len(), ROUTES_MAX);
}
