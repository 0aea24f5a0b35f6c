//! Replays crowds at an account in virtual time.

use {
    super::*,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
};

const MB: usize = 1024 * 1024;

fn account(now: Instant) -> Account {
    let mut account = Account::new(32 * MB, 100);
    // A holder that works is never dropped.
    let key = account.reserve(now, Class::Body, None, 1024).expect("it is empty");
    account.set_phase(now, key, Phase::Working);
    account
}

/// Guards against a crowd that holds all memory with bodies that never end, and against dropping a
/// caller that makes progress.
#[test]
fn crowd_that_stops_short_makes_room_for_callers_that_go_on() {
    let mut now = Instant::now();
    let mut account = account(now);
    let mut crowd: Vec<HolderKey> = Vec::new();
    while let Ok(key) = account.reserve(now, Class::Body, None, 2 * MB) {
        crowd.push(key);
    }
    assert_eq!(crowd.len(), 7);
    let (steady, stopped) = (crowd[0], &crowd[1..]);
    for _ in 0..12 {
        now += Duration::from_millis(250);
        account.record_progress(now, steady, 64 * 1024);
    }
    let denied = account.reserve(now, Class::Body, None, 2 * MB).expect_err("it is full");
    assert_eq!(denied.victims.len(), 1);
    assert!(stopped.contains(&denied.victims[0]));
    for victim in denied.victims {
        account.mark_victim(victim);
        account.release(now, victim);
    }
    account.reserve(now, Class::Body, None, 2 * MB).expect("there is room");
}

/// Guards against small requests and answers without room beside large bodies, and against one team
/// that takes all.
#[test]
fn small_requests_answers_and_other_teams_find_room() {
    let now = Instant::now();
    let mut account = account(now);
    while account.reserve(now, Class::Body, Some("one".into()), MB).is_ok() {}
    account.reserve(now, Class::Body, Some("two".into()), MB).expect("the other team has a share");
    while account.reserve(now, Class::Body, None, MB).is_ok() {}
    account.reserve(now, Class::Answer, None, MB).expect("answers have a higher level");
    while account.reserve(now, Class::Answer, None, MB).is_ok() {}
    while account.reserve(now, Class::Body, None, MEDIUM_BYTES).is_ok() {}
    account.reserve(now, Class::Body, None, SMALL_BYTES).expect("small requests find room");
}

/// Guards against the refusal of the largest request on an idle host.
#[test]
fn large_body_that_is_alone_fits() {
    let now = Instant::now();
    let mut account = account(now);
    let key = account.reserve(now, Class::Body, Some("one".into()), 23 * MB).expect("it is alone");
    let denied = account.reserve(now, Class::Body, None, MB).expect_err("it is full");
    assert!(denied.victims.is_empty() && denied.retry_after >= RETRY_AFTER_MIN);
    account.release(now, key);
    account.reserve(now, Class::Body, None, MB).expect("there is room");
}

/// Guards against a body that is dropped because it waits for memory itself.
#[test]
fn body_that_waits_to_grow_does_not_make_room_for_itself() {
    let now = Instant::now();
    let mut account = account(now);
    let grown = account.reserve(now, Class::Body, None, MB).expect("there is room");
    while account.reserve(now, Class::Body, None, MB).is_ok() {}
    let later = now + 2 * STALL_MAX;
    let denied = account.resize(later, grown, 2 * MB).expect_err("it is full");
    assert!(!denied.victims.is_empty() && !denied.victims.contains(&grown));
}

/// Guards against connections without a byte and half-sent heads that keep others out.
#[test]
fn idle_connections_make_room_for_new_ones() {
    let start = Instant::now();
    let mut account = account(start);
    let busy = account.reserve(start, Class::Connection, None, 4096).expect("it is empty");
    account.set_phase(start, busy, Phase::Working);
    let first = account.reserve(start, Class::Connection, None, 4096).expect("there is room");
    let mut now = start + Duration::from_millis(10);
    while account.reserve(now, Class::Connection, None, 4096).is_ok() {
        now += Duration::from_millis(10);
    }
    assert_eq!(account.connections, 100);
    let denied = account.reserve(now, Class::Connection, None, 4096).expect_err("it is full");
    assert_eq!(denied.victims, [first]);
}

/// Guards against a burst of ordinary requests whose connections are closed although there is memory.
#[test]
fn connections_that_are_answered_use_what_bodies_leave() {
    let now = Instant::now();
    let mut account = Account::new(32 * MB, 10_000);
    let mut count = 0;
    while let Ok(key) = account.reserve(now, Class::Connection, None, 32 * 1024) {
        account.set_phase(now, key, Phase::Working);
        count += 1;
    }
    assert_eq!(count, (8 + 21) * 32);
    account.reserve(now, Class::Body, None, SMALL_BYTES).expect("small requests find room");
    account.reserve(now, Class::Body, None, MB).expect("so does a large one that is alone");
    account.reserve(now, Class::Body, None, MB).expect_err("others do not");
}

/// Guards against sums that drift from the holders over any order of operations.
#[test]
fn released_account_is_empty() {
    let mut random = SmallRng::seed_from_u64(7);
    let mut now = Instant::now();
    let mut account = Account::new(32 * MB, 100);
    let mut keys = Vec::new();
    for _ in 0..20_000 {
        now += Duration::from_millis(random.random_range(0..200));
        let class = [Class::Connection, Class::Body, Class::Answer][random.random_range(0..3)];
        let owner =
            random.random_bool(0.5).then(|| ["one", "two"][random.random_range(0..2)].into());
        let bytes = 1 << random.random_range(8..23);
        match account.reserve(now, class, owner, bytes) {
            Ok(key) => keys.push(key),
            Err(denied) => denied.victims.into_iter().for_each(|key| account.release(now, key)),
        }
        let used = account.bytes + account.connection_overflow();
        assert!(used <= account.bytes_max);
        assert!(account.answer_bytes <= account.bytes_max / 2);
        let key = keys[random.random_range(0..keys.len())];
        match random.random_range(0..4) {
            0 => account.release(now, key),
            1 => drop(account.resize(now, key, bytes / 2)),
            2 => account.record_progress(now, key, bytes),
            _ => account.set_phase(now, key, Phase::Working),
        }
    }
    keys.into_iter().for_each(|key| account.release(now, key));
    assert_eq!((account.bytes, account.large_bytes, account.connection_bytes), (0, 0, 0));
    assert!(account.by_owner.is_empty() && account.connections == 0);
}
