use {
    super::*,
    crate::store_backoff::Backoff,
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

const MILLISECOND: Duration = Duration::from_millis(1);
/// Time after an outage of the store from which a host must act on all that the store says.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);

fn after_outage(length: Duration) -> (StoreOutage, Instant) {
    let start = Instant::now();
    let mut outage = StoreOutage::default();
    assert!(outage.record_failure(start, start));
    // Failures are seen until shortly before the end.
    assert!(!outage.record_failure(start + length, start + length - MILLISECOND));
    assert!(outage.is_ongoing());
    assert_eq!(outage.record_success(start + length), Some(length));
    assert!(!outage.is_ongoing());
    (outage, start + length)
}

/// Returns for how long upstreams may return that are delisted now, of 12 that are known.
fn grace(outage: &StoreOutage, now: Instant, count: usize) -> Duration {
    outage.return_deadline(now, Duration::ZERO, count, 12).duration_since(now)
}

#[test]
fn upstream_delisted_without_an_outage_is_removed() {
    assert_eq!(grace(&StoreOutage::default(), Instant::now(), 1), Duration::ZERO);
}

#[test]
fn upstream_delisted_after_a_short_outage_is_removed() {
    let (outage, end) = after_outage(400 * MILLISECOND);
    assert_eq!(grace(&outage, end, 1), Duration::ZERO);
}

#[test]
fn delisted_upstreams_get_a_grace_period_after_an_outage() {
    let (outage, end) = after_outage(Duration::from_secs(4));
    // Upstreams register again within two seconds.
    assert!(grace(&outage, end, 1) >= Duration::from_secs(2));
    assert_eq!(grace(&outage, end + RETURN_GRACE, 1), Duration::ZERO);
}

#[test]
fn delisting_of_more_than_a_third_gets_a_shorter_grace_period() {
    let outage = StoreOutage::default();
    assert_eq!(grace(&outage, Instant::now(), 5), MASS_DELISTING_GRACE);
    assert_eq!(grace(&outage, Instant::now(), 4), Duration::ZERO);
    assert!(MASS_DELISTING_GRACE < Duration::from_secs(2));
}

#[test]
fn mass_delisting_that_is_read_late_gets_no_request_two_seconds_after_it() {
    let (outage, now) = (StoreOutage::default(), Instant::now());
    for age_ms in [0, 200, 800, 1500, 1900, 4000] {
        let age = Duration::from_millis(age_ms);
        let grace = outage.return_deadline(now, age, 5, 12).duration_since(now);
        assert!(grace.is_zero() || grace + age < Duration::from_secs(2), "{age:?}: {grace:?}");
    }
}

#[test]
fn upstream_delisted_at_the_end_of_the_grace_period_is_removed_at_its_end() {
    let (outage, ended) = after_outage(Duration::from_secs(9));
    let late = RETURN_GRACE - Duration::from_millis(100);
    assert_eq!(grace(&outage, ended + late, 1), Duration::from_millis(100));
}

#[test]
fn upstream_removed_in_an_outage_is_not_used_by_a_host_in_touch() {
    for seed in 0..200 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let end = start + Duration::from_millis(rng.random_range(1000..20_000));
        let (mut outage, mut backoff, mut now) =
            (StoreOutage::default(), Backoff::default(), start);
        while now < end {
            outage.record_failure(now, now);
            now += backoff.after_failure(rng.random());
        }
        outage.record_success(now);
        let grace = outage.return_deadline(now, Duration::ZERO, 1, 9).duration_since(now);
        let used_for = (now + grace).duration_since(end);
        assert!(used_for < IN_TOUCH_AFTER, "seed {seed}: used for {used_for:?} after the outage");
    }
}
