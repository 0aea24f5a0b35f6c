use super::*;

const MILLISECOND: Duration = Duration::from_millis(1);

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
