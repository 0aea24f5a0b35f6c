use super::*;

const MS: Duration = Duration::from_millis(1);

fn after_outage(length: Duration) -> (StoreOutage, Instant) {
    let start = Instant::now();
    let mut outage = StoreOutage::default();
    assert!(outage.began(start));
    assert!(!outage.began(start + MS));
    assert!(outage.is_on());
    assert_eq!(outage.ended(start + length), Some(length));
    assert!(!outage.is_on());
    (outage, start + length)
}

#[test]
fn upstream_that_is_delisted_in_calm_times_is_gone() {
    assert_eq!(StoreOutage::default().delisted(Instant::now(), 1, 12), Delisted::Gone);
}

#[test]
fn watch_that_was_cut_lets_nothing_lapse() {
    let (outage, end) = after_outage(400 * MS);
    assert_eq!(outage.delisted(end, 1, 12), Delisted::Gone);
}

#[test]
fn lapsed_upstreams_get_time_after_an_outage() {
    let (outage, end) = after_outage(Duration::from_secs(4));
    assert_eq!(outage.delisted(end, 1, 12), Delisted::Awaited(RETURN_GRACE));
    assert_eq!(outage.delisted(end + RETURN_GRACE, 1, 12), Delisted::Gone);
}

#[test]
fn many_at_once_are_awaited_within_the_time_that_leaving_ones_have() {
    let outage = StoreOutage::default();
    assert_eq!(outage.delisted(Instant::now(), 5, 12), Delisted::Awaited(MASS_GRACE));
    assert_eq!(outage.delisted(Instant::now(), 4, 12), Delisted::Gone);
    assert!(MASS_GRACE < Duration::from_secs(2));
}
