use super::*;

#[test]
fn sending_ends_if_the_only_blame_was_cleared_meanwhile() {
    let mut announcements =
        Announcements { blamed: vec![1], is_sending: true, ..Announcements::default() };
    assert!(announcements.take(|_| None).is_empty());
    assert!(!announcements.is_sending);
    announcements.blamed.push(2);
    announcements.is_sending = true;
    assert_eq!(announcements.take(|_| Some(Duration::from_secs(1))).len(), 1);
    assert!(announcements.is_sending);
}
