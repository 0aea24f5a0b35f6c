//! End-to-end tests of requests from callers through three hosts to engines and tools.

mod support;

use {
    serde_json::json,
    support::{TEST_TIMEOUT, caller, create, history, options, post, turn, turn_body},
    trefoilring_site::Site,
};

#[test]
fn turns_and_calls_go_through_any_host() {
    smol::block_on(async {
        let site = Site::start(options(), TEST_TIMEOUT).await.unwrap();
        let caller = caller();
        let hosts = site.addresses();
        let program = create(&caller, hosts[0]).await;
        for (number, host) in hosts.iter().enumerate() {
            let reply = turn(&caller, *host, &program, &format!("t{number}"), "hello").await;
            assert!(reply.is_success(), "{reply:?}");
            assert!(!reply.completion().is_empty());
        }
        let messages = history(&caller, hosts[2], &program).await;
        assert_eq!(messages.len(), 6);

        let path = format!("/v1/programs/{program}/calls/desk/deposits");
        let step = [("Idempotency-Key", "deposit")];
        let first = post(&caller, hosts[1], &path, &step, &json!({ "amount": 5 })).await;
        assert!(first.is_success(), "{first:?}");
        let again = post(&caller, hosts[2], &path, &step, &json!({ "amount": 5 })).await;
        assert_eq!(again.body, first.body);
        let runs: u64 = site.tools.values().map(|tool| tool.runs().total).sum();
        assert_eq!(runs, 1);
        site.stop().await;
    });
}

#[test]
fn streams_arrive_complete_from_a_home_on_another_host() {
    smol::block_on(async {
        let site = Site::start(options(), TEST_TIMEOUT).await.unwrap();
        let caller = caller();
        let hosts = site.addresses();
        let program = create(&caller, hosts[0]).await;
        let mut body = turn_body("stream please");
        body["stream"] = json!(true);
        let headers = [("Trefoil-Program", &*program), ("Idempotency-Key", "s1")];
        let stream = caller.stream(hosts[1], "/v1/chat/completions", &headers, &body).await;
        let stream = stream.unwrap();
        assert!(stream.is_complete, "{stream:?}");
        let messages = history(&caller, hosts[2], &program).await;
        assert_eq!(messages[1]["content"], json!(stream.text()));
        site.stop().await;
    });
}
