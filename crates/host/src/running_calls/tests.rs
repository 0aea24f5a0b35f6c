use {
    super::*,
    std::{sync::atomic::AtomicBool, thread},
};

#[test]
fn no_call_begins_after_none_was_seen() {
    let calls = RunningCalls::default();
    assert!(calls.begin());
    assert!(!calls.close_if_none());
    assert!(calls.begin(), "calls begin until none runs");
    calls.end();
    calls.end();
    assert!(calls.close_if_none());
    assert!(!calls.begin());
    assert!(calls.close_if_none());
}

#[test]
fn running_calls_end_after_a_forced_close() {
    let calls = RunningCalls::default();
    assert!(calls.begin());
    calls.close();
    assert!(!calls.begin());
    assert!(!calls.close_if_none());
    calls.end();
    assert!(calls.close_if_none());
}

#[test]
fn concurrent_calls_never_run_once_it_is_closed() {
    for _ in 0..200 {
        let (calls, is_closed) = (RunningCalls::default(), AtomicBool::new(false));
        thread::scope(|scope| {
            for _ in 0..3 {
                scope.spawn(|| {
                    while calls.begin() {
                        assert!(!is_closed.load(Ordering::SeqCst));
                        calls.end();
                    }
                });
            }
            while !calls.close_if_none() {
                thread::yield_now();
            }
            is_closed.store(true, Ordering::SeqCst);
        });
    }
}
