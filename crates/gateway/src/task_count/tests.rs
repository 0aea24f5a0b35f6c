use super::*;

/// Guards against a count that stays raised when its task is dropped: a host would never be promoted
/// again, or write its ledgers ten times as often.
#[test]
fn task_that_is_dropped_at_a_wait_is_not_counted() {
    let count = TaskCount::default();
    let task = async |is_endless: bool| {
        let _guard = count.enter();
        if is_endless {
            std::future::pending::<()>().await;
        }
    };
    smol::block_on(async {
        let mut endless = Box::pin(task(true));
        assert!(smol::future::poll_once(endless.as_mut()).await.is_none());
        assert!(!count.is_zero());
        task(false).await;
        assert!(!count.is_zero());
        drop(endless);
        assert!(count.is_zero());
    });
}
