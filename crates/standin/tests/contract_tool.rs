//! Contract tests of tool and plain services: the client against the stand-in over a socket.

mod common;

use {
    common::{deadline, fault_cases, set_faults, wait_until},
    smol::block_on,
    std::time::Instant,
    trefoilring_clients::{ServiceClient, ServiceRequest},
    trefoilring_standin::{
        HangPhase, Outage,
        tool::{Options, RunResponse, fingerprint, start},
    },
};

const SECRET: &str = "planted-7f3a";

fn booking(key: &str, deadline: Instant) -> ServiceRequest {
    ServiceRequest {
        method: "POST".into(),
        path: "v1/bookings?crew=7".into(),
        headers: Vec::new(),
        body: b"{\"slot\":1}".to_vec(),
        idempotency_key: Some(key.into()),
        fencing_epoch: None,
        deadline,
    }
}

#[test]
fn counts_runs_by_key_and_by_content() {
    let tool = start(Options::default()).unwrap();
    let client = ServiceClient::new(tool.address());
    let expected_fingerprint = fingerprint("POST", "/v1/bookings?crew=7", b"{\"slot\":1}");
    block_on(async {
        for (key, run) in [("j.a/1", 1), ("j.a/2", 2), ("j.a/1", 3)] {
            let reply = client.call(booking(key, deadline())).await.unwrap();
            assert_eq!(reply.status, 201);
            let answer: RunResponse = serde_json::from_slice(&reply.body).unwrap();
            let expected = RunResponse {
                run,
                key: Some(key.to_owned()),
                fingerprint: expected_fingerprint.clone(),
            };
            assert_eq!(answer, expected);
        }
    });
    let runs = tool.runs();
    assert_eq!(
        (runs.total, runs.count_of(&expected_fingerprint), runs.duplicates()),
        (3, 3, vec!["j.a/1"])
    );
}

#[test]
fn credentials_of_a_caller_are_not_forwarded() {
    let tool = start(Options::default()).unwrap();
    tool.control().change(|faults| faults.planted = SECRET.into());
    let headers = [
        ("Authorization", format!("Bearer {SECRET}")),
        ("Proxy-Authorization", SECRET.into()),
        ("Cookie", format!("key={SECRET}")),
        ("Connection", "x-secret".into()),
        ("X-Secret", SECRET.into()),
        ("Idempotency-Key", "of-another-program".into()),
        ("Fencing-Epoch", "99".into()),
        ("X-Kept", "kept".into()),
    ];
    let headers = headers.map(|(name, value)| (name.to_owned(), value)).to_vec();
    let request = ServiceRequest { headers, ..booking("j.a/1", deadline()) };
    block_on(ServiceClient::new(tool.address()).call(request)).unwrap();
    let seen = tool.control().headers_seen();
    let mut names: Vec<_> = seen.iter().map(|(name, _)| &**name).collect();
    names.sort_unstable();
    // The stand-in's HTTP library adds a content type to requests without one.
    let expected = ["content-length", "content-type", "host", "idempotency-key", "x-kept"];
    assert_eq!(names, expected);
    assert_eq!(tool.control().planted_seen(), 0);
    assert_eq!(tool.runs().by_key.into_keys().collect::<Vec<_>>(), ["j.a/1"]);
    // Verifies that a forwarded secret would be detected.
    let body = format!("{{\"text\":\"{SECRET}\"}}").into_bytes();
    let request = ServiceRequest { body, ..booking("j.a/2", deadline()) };
    block_on(ServiceClient::new(tool.address()).call(request)).unwrap();
    assert_eq!(tool.control().planted_seen(), 1);
}

#[test]
fn the_verdict_matches_the_effect_under_each_fault() {
    for case in fault_cases() {
        let tool = start(Options::default()).unwrap();
        let client = ServiceClient::new(tool.address());
        block_on(set_faults(tool.control(), case.faults.clone()));
        let call = client.call(booking("j.a/1", Instant::now() + case.timeout()));
        let verdict = match block_on(call) {
            Ok(_) => "done".to_owned(),
            Err(error) => error.verdict.to_string(),
        };
        let has_effect = tool.runs().total == 1;
        assert_eq!((&*verdict, has_effect), (case.verdict, case.has_effect), "{}", case.name);
    }
}

#[test]
fn checks_or_ignores_old_fencing_numbers() {
    let cases = [
        (true, vec![(Some(5), 201), (Some(4), 409), (None, 409), (Some(5), 201), (Some(6), 201)]),
        (false, vec![(Some(5), 201), (Some(4), 201), (None, 201)]),
    ];
    for (checks_fencing, calls) in cases {
        let tool = start(Options::default()).unwrap();
        tool.control().change(|faults| faults.checks_fencing = checks_fencing);
        let client = ServiceClient::new(tool.address());
        for (number, (fencing_epoch, status)) in calls.into_iter().enumerate() {
            let key = format!("j.a/{number}");
            let request = ServiceRequest { fencing_epoch, ..booking(&key, deadline()) };
            let reply = block_on(client.call(request)).unwrap();
            assert_eq!(reply.status, status, "{checks_fencing} {fencing_epoch:?}");
        }
        // Fencing numbers are separate for each program.
        let request = ServiceRequest { fencing_epoch: Some(1), ..booking("j.b/1", deadline()) };
        assert_eq!(block_on(client.call(request)).unwrap().status, 201);
    }
}

#[test]
fn a_request_that_crashes_the_upstream_may_have_run() {
    let tool = start(Options::default()).unwrap();
    tool.control().change(|faults| faults.crash_on = "poison".into());
    let client = ServiceClient::new(tool.address());
    block_on(async {
        let poison =
            ServiceRequest { body: b"a poison b".to_vec(), ..booking("j.a/1", deadline()) };
        let error = client.call(poison).await.unwrap_err();
        assert_eq!(error.to_string().split(':').next(), Some("broken (may_have_run)"));
        assert!(tool.control().is_stopped());
        wait_until("the end of the listener", || {
            let error = block_on(client.call(booking("j.a/2", deadline()))).unwrap_err();
            error.kind == trefoilring_clients::ErrorKind::Connect
        })
        .await;
    });
    assert_eq!(tool.runs().total, 0);
}

#[test]
fn a_hang_ends_when_it_is_cleared_and_when_the_stand_in_goes_down() {
    for is_cleared in [true, false] {
        let tool = start(Options::default()).unwrap();
        tool.control().change(|faults| faults.hang = HangPhase::After);
        let client = ServiceClient::new(tool.address());
        block_on(async {
            let hanging =
                smol::spawn(async move { client.call(booking("j.a/1", deadline())).await });
            wait_until("the run", || tool.runs().total == 1).await;
            tool.control().change(|faults| match is_cleared {
                true => faults.hang = HangPhase::None,
                false => faults.down = Outage::Closed,
            });
            assert_eq!(hanging.await.is_ok(), is_cleared);
        });
    }
}
