//! A turn that engines refuse is the caller's error and must not affect other callers.

#[allow(dead_code, reason = "this file uses a part of what the tests share")]
mod support;

use {
    serde_json::json,
    support::{TEST_TIMEOUT, caller, create, options, post, turn, turn_body},
    trefoilring_site::Site,
};

#[test]
fn a_refused_turn_is_reported_and_not_attributed_to_an_engine() {
    smol::block_on(async {
        let site = Site::start(options(), TEST_TIMEOUT).await.unwrap();
        let caller = caller();
        let host = site.addresses()[0];
        let program = create(&caller, host).await;
        let headers = [("Trefoil-Program", &*program)];
        // More than an engine generates in one turn, but less than the remaining budget.
        let mut refused = turn_body("hello");
        refused["max_tokens"] = json!(19_000);
        for number in 0..4 {
            let reply = post(&caller, host, "/v1/chat/completions", &headers, &refused).await;
            assert_eq!(reply.status, 400, "{number}: {reply:?}");
            assert_eq!(reply.text("reason"), "bad_request", "{number}: {reply:?}");
            assert_eq!(reply.text("verdict"), "not_run", "{number}: {reply:?}");
        }
        let reply = turn(&caller, host, &program, "good", "hello").await;
        assert!(reply.is_success(), "{reply:?}");
        let metrics: String = site.hosts().values().map(|host| host.metrics().text()).collect();
        assert!(!metrics.contains("event.quarantined"), "{metrics}");
        assert!(!metrics.contains("event.call_retried"), "{metrics}");
        site.stop().await;
    });
}

#[test]
fn a_turn_that_crashed_engines_is_reported_as_may_have_run() {
    smol::block_on(async {
        let site = Site::start(options(), TEST_TIMEOUT).await.unwrap();
        let caller = caller();
        let host = site.addresses()[0];
        let program = create(&caller, host).await;
        for engine in site.engines.values() {
            engine.control().change(|faults| faults.crash_on = "poison".into());
        }
        let reply = turn(&caller, host, &program, "bad", "poison").await;
        assert!(!reply.is_success(), "{reply:?}");
        assert_eq!(reply.text("verdict"), "may_have_run", "{reply:?}");
        site.stop().await;
    });
}
