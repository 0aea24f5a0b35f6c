use {super::*, std::time::Duration};

const PEER: &str = "host-2";

#[test]
fn peer_that_does_not_reply_is_suspect_until_it_answers() {
    let start = Instant::now();
    let mut reach = PeerReach::default();
    reach.on_reply(start, PEER);
    assert!(reach.on_unanswered(start, PEER));
    assert!(!reach.on_unanswered(start, PEER), "it is pinged already");
    assert!(reach.is_suspect(PEER));
    reach.clear_suspect(PEER);
    assert!(!reach.is_suspect(PEER));
}

/// Guards against hosts with a slow disk that were taken for lost ones, which moved the ledgers.
#[test]
fn peer_that_replies_to_other_requests_is_not_suspect() {
    let start = Instant::now();
    let mut reach = PeerReach::default();
    let after_ms = |ms| start + Duration::from_millis(ms);
    reach.on_reply(after_ms(40), PEER);
    assert!(!reach.on_unanswered(start, PEER));
    assert!(reach.on_unanswered(after_ms(41), PEER), "it has not replied since");
    assert_eq!(reach.suspect_count(), 1);
}
