use {
    super::*,
    smol::future::{block_on, or, poll_once},
    std::{cell::Cell, pin::pin},
};

#[test]
fn withdrawal_between_two_waits_ends_the_second() {
    let (withdrawals, key) = (Withdrawals::default(), KeyId::from("key"));
    let is_valid = Cell::new(true);
    block_on(async {
        assert_eq!(poll_once(withdrawals.wait(&key, || is_valid.get())).await, None);
        is_valid.set(false);
        withdrawals.withdraw(&key);
        assert_eq!(poll_once(withdrawals.wait(&key, || is_valid.get())).await, Some(()));
    });
}

#[test]
fn withdrawal_ends_all_waits_for_its_key() {
    let (withdrawals, key, other) =
        (Withdrawals::default(), KeyId::from("key"), KeyId::from("other"));
    block_on(async {
        let mut first = pin!(withdrawals.wait(&key, || true));
        let mut second = pin!(withdrawals.wait(&key, || true));
        let mut unrelated = pin!(withdrawals.wait(&other, || true));
        assert_eq!(poll_once(&mut first).await, None);
        assert_eq!(poll_once(&mut second).await, None);
        assert_eq!(poll_once(&mut unrelated).await, None);
        withdrawals.withdraw(&key);
        or(first, second).await;
        assert_eq!(poll_once(&mut unrelated).await, None);
    });
}
