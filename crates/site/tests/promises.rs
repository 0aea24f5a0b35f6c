//! End-to-end tests of guarantees that involve hosts, engines and tools together.

mod support;

use {
    http_types::Method,
    serde_json::json,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    support::{
        NORTH_SECRET, TEST_TIMEOUT, caller, create, history, options, post, turn, turn_body,
    },
    trefoilring_site::{CallerClient, Site, deploy},
    trefoilring_standin::hosts::UpstreamState,
};

/// Number of concurrent requests in the burst test: more than the burst plus the tokens added while
/// requests wait.
const BURST_REQUESTS: u32 = 120;
/// Rate of the team in the burst test.
const RATE_PER_S: f64 = 10.0;

#[test]
fn calls_of_one_program_run_in_the_order_received() {
    smol::block_on(async {
        let site = Site::start(options(), TEST_TIMEOUT).await.unwrap();
        let (caller, hosts) = (caller(), site.addresses());
        let program = create(&caller, hosts[0]).await;
        for number in 0..9 {
            let host = hosts[number % hosts.len()];
            let (step, text) = (format!("t{number}"), format!("message {number}"));
            let reply = turn(&caller, host, &program, &step, &text).await;
            assert!(reply.is_success(), "{reply:?}");
        }
        let messages = history(&caller, hosts[1], &program).await;
        let sent: Vec<&str> = messages
            .iter()
            .filter(|message| message["role"] == "user")
            .filter_map(|message| message["content"].as_str())
            .collect();
        let expected: Vec<String> = (0..9).map(|number| format!("message {number}")).collect();
        assert_eq!(sent, expected);
        site.stop().await;
    });
}

#[test]
fn a_program_is_hidden_from_other_teams_and_upstreams_receive_no_key() {
    smol::block_on(async {
        let site = Site::start(options(), TEST_TIMEOUT).await.unwrap();
        let (north, hosts) = (caller(), site.addresses());
        let south = CallerClient::new("south-secret");
        let nobody = CallerClient::new("no-such-key");
        let program = create(&north, hosts[0]).await;
        let path = format!("/v1/programs/{program}");
        for (caller, status) in [(&north, 200), (&south, 404), (&nobody, 401)] {
            let reply = caller.send(hosts[1], Method::Get, &path, &[], None).await.unwrap();
            assert_eq!(reply.status, status, "{reply:?}");
        }
        turn(&north, hosts[1], &program, "t", "hello").await;
        let call = format!("/v1/programs/{program}/calls/desk/deposits");
        post(&north, hosts[2], &call, &[], &json!({})).await;
        let engines = site.engines.values().map(|engine| engine.control().headers_seen());
        let tools = site.tools.values().map(|tool| tool.control().headers_seen());
        let seen: BTreeSet<(String, String)> = engines.chain(tools).flatten().collect();
        assert!(!seen.is_empty());
        assert!(
            !seen
                .iter()
                .any(|(name, value)| value.contains(NORTH_SECRET) || name == "authorization")
        );
        site.stop().await;
    });
}

#[test]
fn a_withdrawn_key_ends_open_streams_and_is_refused() {
    smol::block_on(async {
        // Slow engines, so that the stream is still in flight when the key is withdrawn.
        let site = Site::start(options().with_time_scale(0.2), TEST_TIMEOUT).await.unwrap();
        let (caller, hosts) = (caller(), site.addresses());
        let program = create(&caller, hosts[0]).await;
        let mut body = turn_body("a long story");
        body["stream"] = json!(true);
        body["max_tokens"] = json!(2000);
        let streaming = {
            let (caller, host) = (caller.clone(), hosts[1]);
            smol::spawn(async move {
                let headers = [("Trefoil-Program", &*program)];
                caller.stream(host, "/v1/chat/completions", &headers, &body).await.unwrap()
            })
        };
        site.wait_until(TEST_TIMEOUT, "a stream at an engine", |site| {
            site.engines.values().any(|engine| engine.load().running > 0)
        })
        .await
        .unwrap();
        let mut catalog = support::catalog();
        catalog.keys.values_mut().filter(|key| &*key.team == "north").for_each(|key| {
            key.is_withdrawn = true;
        });
        let version = deploy(&site.object_api(), &catalog, "withdraw").await.unwrap();
        let stream = streaming.await;
        assert!(!stream.is_complete, "the stream was not cut when its key was withdrawn");
        site.wait_until(TEST_TIMEOUT, "the version in force everywhere", |site| {
            site.hosts().values().all(|host| host.config_version() >= version)
        })
        .await
        .unwrap();
        for host in hosts {
            let body = json!({ "class": "quick" });
            let reply = post(&caller, host, "/v1/programs", &[], &body).await;
            // 401, or 503 from a host that can't confirm its keys at that moment.
            assert!(!reply.is_success(), "{reply:?}");
            assert_eq!(reply.text("reason"), "unauthorized");
        }
    });
}

#[test]
fn the_burst_limit_of_a_team_holds_across_hosts() {
    smol::block_on(async {
        let mut options = options();
        let team = options.catalog.teams.get_mut("south").unwrap();
        team.rate_per_s = RATE_PER_S;
        team.burst_requests = 10;
        let site = Site::start(options, TEST_TIMEOUT).await.unwrap();
        let (south, hosts) = (CallerClient::new("south-secret"), site.addresses());
        let started = Instant::now();
        let mut tasks = Vec::new();
        for number in 0..BURST_REQUESTS as usize {
            let (south, host) = (south.clone(), hosts[number % hosts.len()]);
            tasks.push(smol::spawn(async move {
                let body = json!({ "class": "quick" });
                let created = post(&south, host, "/v1/programs", &[], &body).await;
                if !created.is_success() {
                    return vec![created];
                }
                let program = created.text("id").to_string();
                let turn = turn(&south, host, &program, "t", "hello").await;
                vec![created, turn]
            }));
        }
        let mut granted = 0;
        let mut refused = 0;
        for task in tasks {
            for reply in task.await {
                match reply.status {
                    200..300 => granted += 1,
                    429 => {
                        refused += 1;
                        assert_eq!(reply.text("verdict"), "not_run");
                        assert_eq!(reply.text("reason"), "over_allowance");
                    }
                    _ => panic!("{reply:?}"),
                }
            }
        }
        // A limiter that has just become active has no tokens yet. The full burst is therefore not
        // certain to be granted, only what the rate adds while requests wait.
        let max_granted = 10.0 + RATE_PER_S * started.elapsed().as_secs_f64();
        assert!(granted > 0 && refused > 0, "{granted} granted, {refused} refused");
        assert!(f64::from(granted) <= max_granted, "{granted} granted, at most {max_granted}");
        site.stop().await;
    });
}

#[test]
fn a_leaving_upstream_gets_no_new_work() {
    smol::block_on(async {
        let site = Site::start(options(), TEST_TIMEOUT).await.unwrap();
        let (caller, hosts) = (caller(), site.addresses());
        let program = create(&caller, hosts[0]).await;
        turn(&caller, hosts[0], &program, "t0", "hello").await;
        assert!(site.host_list.set_state("llm-1", UpstreamState::Leaving));
        site.wait_until(TEST_TIMEOUT, "the leaving upstream noticed", |site| {
            let has_recorded_leaving = |host: &trefoilring_host::Host| {
                let events = host.events().recent();
                events
                    .iter()
                    .any(|event| event.kind == trefoilring_core::event::Kind::UpstreamLeaving)
            };
            site.hosts().values().any(has_recorded_leaving)
        })
        .await
        .unwrap();
        let before = site.engines["llm-1"].stats();
        for number in 0..12 {
            let program = create(&caller, hosts[number % 3]).await;
            let reply = turn(&caller, hosts[number % 3], &program, "t", "hello again").await;
            assert!(reply.is_success(), "{reply:?}");
        }
        assert_eq!(site.engines["llm-1"].stats(), before);
        site.stop().await;
    });
}

#[test]
fn memory_is_released_for_programs_whose_home_was_lost() {
    smol::block_on(async {
        let mut site = Site::start(options(), TEST_TIMEOUT).await.unwrap();
        let (caller, hosts) = (caller(), site.addresses());
        let program = create(&caller, hosts[0]).await;
        turn(&caller, hosts[0], &program, "t0", "hello").await;
        let held = site.engines.values().flat_map(|engine| engine.programs()).count();
        assert!(held > 0, "no engine holds memory for the program");
        // A program id starts with the name of its home, such as `host-a`.
        let home = program.split('-').take(2).collect::<Vec<_>>().join("-");
        site.remove_host(&home).expect("the home of the program is running").abort();
        let entry = site.addresses()[0];
        // The successor has the complete history, and the caller ends the program there.
        assert_eq!(history(&caller, entry, &program).await.len(), 2);
        let path = format!("/v1/programs/{program}");
        let reply = caller.send(entry, Method::Delete, &path, &[], None).await.unwrap();
        assert!(reply.is_success(), "{reply:?}");
        site.wait_until(TEST_TIMEOUT, "memory released", |site| {
            site.engines.values().all(|engine| engine.programs().is_empty())
        })
        .await
        .unwrap();
        site.stop().await;
    });
}

#[test]
fn the_journal_of_a_lost_host_is_deleted_once_it_is_no_longer_needed() {
    smol::block_on(async {
        let mut site = Site::start(options(), TEST_TIMEOUT).await.unwrap();
        let journals = |site: &Site| site.objects.keys("journal/host-a-");
        site.wait_until(TEST_TIMEOUT, "the journal opened", |site| !journals(site).is_empty())
            .await
            .unwrap();
        site.remove_host("host-a").expect("host-a is running").abort();
        site.wait_until(TEST_TIMEOUT, "the journal deleted", |site| journals(site).is_empty())
            .await
            .unwrap();
        assert!(!site.objects.keys("journal/host-b-").is_empty());
        site.stop().await;
    });
}

#[test]
fn turns_and_effects_continue_while_the_store_is_unavailable() {
    smol::block_on(async {
        let site = Site::start(options(), TEST_TIMEOUT).await.unwrap();
        let (caller, hosts) = (caller(), site.addresses());
        let program = create(&caller, hosts[0]).await;
        turn(&caller, hosts[0], &program, "t0", "before").await;
        site.objects.control().change(|faults| {
            faults.down = trefoilring_standin::Outage::Unavailable;
        });
        let reply = turn(&caller, hosts[1], &program, "t1", "while it is down").await;
        assert!(reply.is_success(), "{reply:?}");
        let path = format!("/v1/programs/{program}/calls/desk/deposits");
        let step = [("Idempotency-Key", "deposit")];
        let first = post(&caller, hosts[1], &path, &step, &json!({ "amount": 5 })).await;
        assert!(first.is_success(), "{first:?}");
        let by_backups =
            |host: &trefoilring_host::Host| host.metrics().get("journal.durable_by_backups") > 0;
        assert!(site.hosts().values().any(by_backups));
        // Waits longer than the lease of 400 ms. Without the store, the view is frozen and the
        // leases stay valid.
        smol::Timer::after(Duration::from_millis(1500)).await;
        let reply = turn(&caller, hosts[2], &program, "t2", "still down").await;
        assert!(reply.is_success(), "{reply:?}");
        site.objects.control().change(|faults| {
            faults.down = trefoilring_standin::Outage::None;
        });
        let again = post(&caller, hosts[2], &path, &step, &json!({ "amount": 5 })).await;
        assert_eq!(again.body, first.body);
        assert_eq!(history(&caller, hosts[0], &program).await.len(), 6);
        let runs: u64 = site.tools.values().map(|tool| tool.runs().total).sum();
        assert_eq!(runs, 1);
        site.stop().await;
    });
}
