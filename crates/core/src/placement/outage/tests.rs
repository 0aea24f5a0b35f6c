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
    assert!(outage.record_failure(start));
    assert!(!outage.record_failure(start + MILLISECOND));
    assert!(outage.is_ongoing());
    assert_eq!(outage.record_success(start + length), Some(length));
    assert!(!outage.is_ongoing());
    (outage, start + length)
}

#[test]
fn upstream_delisted_without_an_outage_is_removed() {
    assert_eq!(
        StoreOutage::default().classify_delisted(Instant::now(), 1, 12),
        DelistingAction::Remove
    );
}

#[test]
fn upstream_delisted_after_a_short_outage_is_removed() {
    let (outage, end) = after_outage(400 * MILLISECOND);
    assert_eq!(outage.classify_delisted(end, 1, 12), DelistingAction::Remove);
}

#[test]
fn delisted_upstreams_get_a_grace_period_after_an_outage() {
    let (outage, end) = after_outage(Duration::from_secs(4));
    assert_eq!(outage.classify_delisted(end, 1, 12), DelistingAction::Wait(RETURN_GRACE));
    assert_eq!(outage.classify_delisted(end + RETURN_GRACE, 1, 12), DelistingAction::Remove);
}

#[test]
fn delisting_of_more_than_a_third_gets_a_shorter_grace_period() {
    let outage = StoreOutage::default();
    assert_eq!(
        outage.classify_delisted(Instant::now(), 5, 12),
        DelistingAction::Wait(MASS_DELISTING_GRACE)
    );
    assert_eq!(outage.classify_delisted(Instant::now(), 4, 12), DelistingAction::Remove);
    assert!(MASS_DELISTING_GRACE < Duration::from_secs(2));
}

#[test]
fn upstream_delisted_at_the_end_of_the_grace_period_is_removed_at_its_end() {
    let (outage, ended) = after_outage(Duration::from_secs(9));
    let late = RETURN_GRACE - Duration::from_millis(100);
    assert_eq!(
        outage.classify_delisted(ended + late, 1, 12),
        DelistingAction::Wait(Duration::from_millis(100))
    );
}

#[test]
fn upstream_removed_in_an_outage_is_not_used_by_a_host_in_touch() {
    for seed in 0..200 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let end = start + Duration::from_millis(rng.random_range(1000..20_000));
        let (mut outage, mut backoff, mut now) = (StoreOutage::default(), Backoff::default(), start);
        while now < end {
            outage.record_failure(now);
            now += backoff.after_failure(rng.random());
        }
        outage.record_success(now);
        let grace = match outage.classify_delisted(now, 1, 9) {
            DelistingAction::Remove => Duration::ZERO,
            DelistingAction::Wait(grace) => grace,
        };
        let used_for = (now + grace).duration_since(end);
        assert!(used_for < IN_TOUCH_AFTER, "seed {seed}: used for {used_for:?} after the outage");
    }
}
