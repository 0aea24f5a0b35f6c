use super::*;

const MS: Duration = Duration::from_millis(1);

fn after_outage(length: Duration) -> (StoreOutage, Instant) {
    let start = Instant::now();
    let mut outage = StoreOutage::default();
    assert!(outage.record_failure(start));
    assert!(!outage.record_failure(start + MS));
    assert!(outage.is_ongoing());
    assert_eq!(outage.record_success(start + length), Some(length));
    assert!(!outage.is_ongoing());
    (outage, start + length)
}

#[test]
fn upstream_delisted_without_an_outage_is_removed() {
    assert_eq!(StoreOutage::default().classify_delisted(Instant::now(), 1, 12), Delisted::Removed);
}

#[test]
fn short_interruption_lets_nothing_lapse() {
    let (outage, end) = after_outage(400 * MS);
    assert_eq!(outage.classify_delisted(end, 1, 12), Delisted::Removed);
}

#[test]
fn delisted_upstreams_get_a_grace_period_after_an_outage() {
    let (outage, end) = after_outage(Duration::from_secs(4));
    assert_eq!(outage.classify_delisted(end, 1, 12), Delisted::MayReturn(RETURN_GRACE));
    assert_eq!(outage.classify_delisted(end + RETURN_GRACE, 1, 12), Delisted::Removed);
}

#[test]
fn mass_delisting_grace_is_shorter_than_the_time_to_leave() {
    let outage = StoreOutage::default();
    assert_eq!(
        outage.classify_delisted(Instant::now(), 5, 12),
        Delisted::MayReturn(MASS_DELISTING_GRACE)
    );
    assert_eq!(outage.classify_delisted(Instant::now(), 4, 12), Delisted::Removed);
    assert!(MASS_DELISTING_GRACE < Duration::from_secs(2));
}
