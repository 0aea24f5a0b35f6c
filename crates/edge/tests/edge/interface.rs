//! Tests of the valid requests of callers and the resulting requests to the backend.

use {
    crate::fake::{
        BackendRequest, PROGRAM, SECRET, event, head, read_all, read_until, request, summary,
        with_server,
    },
    expect_test::expect,
    smol::io::AsyncWriteExt,
    std::time::Duration,
    trefoilring_core::{
        call::{Chunk, ProgramQuery, Work},
        verdict::{Reason, Refusal},
    },
    trefoilring_edge::EdgeOptions,
};

const CHAT: &str = "POST /v1/chat/completions";
const TURN: &str =
    r#"{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true,"temperature":0.5}"#;

#[test]
fn programs_are_created_queried_and_ended() {
    with_server(EdgeOptions::default(), async |server| {
        let step = "Idempotency-Key: make-1\r\nContent-Type: application/json\r\n";
        let body = r#"{"class":"counter","budget":{"turns":5}}"#;
        let answer = server.exchange(&request("POST /v1/programs", step, body)).await;
        expect![[r#"
            HTTP/1.1 201 Created
            connection: close
            content-type: application/json
            location: /v1/programs/fake-1.0123456789abcdef

            {"id":"fake-1.0123456789abcdef","class":"counter","team":"team-a","ended":null,"budget":{"turns":3,"tokens":1000,"wall_ms":60000},"spent":{"turns":1,"tokens":12},"age_ms":250,"history_messages":1}"#]]
        .assert_eq(&summary(&answer));
        expect![[r#"Create(CreateProgram { class: "counter", budget: Some(Budget { turns: 5, tokens: 900, wall_ms: 9000 }), parent: None, step: Some("make-1") })"#]]
            .assert_eq(&format!("{:?}", server.backend_requests.recv().await.unwrap()));

        // A child has its parent's class, so the parent is queried first.
        let children = format!("POST /v1/programs/{PROGRAM}/children");
        server.exchange(&request(&children, "", "")).await;
        let Ok(BackendRequest::Query(parent, ProgramQuery::Info)) =
            server.backend_requests.recv().await
        else {
            panic!("no query")
        };
        assert_eq!(&*parent, PROGRAM);
        let Ok(BackendRequest::Create(child)) = server.backend_requests.recv().await else {
            panic!("no creation")
        };
        assert_eq!((child.parent.as_deref(), &*child.class), (Some(PROGRAM), "counter"));

        let history = format!("GET /v1/programs/{PROGRAM}/history");
        let answer = server.exchange(&request(&history, "", "")).await;
        assert!(answer.ends_with(r#"{"messages":[{"role":"user","content":"hello"}]}"#));
        assert!(matches!(
            server.backend_requests.recv().await,
            Ok(BackendRequest::Query(_, ProgramQuery::History))
        ));

        let end = format!("DELETE /v1/programs/{PROGRAM}");
        server.exchange(&request(&end, "", "")).await;
        assert!(matches!(
            server.backend_requests.recv().await,
            Ok(BackendRequest::Query(_, ProgramQuery::End))
        ));
    });
}

#[test]
fn open_routes_need_no_key() {
    with_server(EdgeOptions::default(), async |server| {
        let get =
            |path: &str| format!("GET {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n");
        let mut answers = String::new();
        for path in ["/healthz", "/readyz", "/metrics", "/v1/open/shop/prices"] {
            let answer = server.exchange(get(path).as_bytes()).await;
            answers.push_str(&summary(&answer));
            answers.push_str("\n\n");
        }
        expect![[r#"
            HTTP/1.1 200 OK
            connection: close
            content-type: text/plain; charset=utf-8

            ok


            HTTP/1.1 503 Service Unavailable
            connection: close
            content-type: application/json

            {"is_ready":false,"detail":"no roster yet"}

            HTTP/1.1 200 OK
            connection: close
            content-type: text/plain; charset=utf-8

            trefoilring.requests:1|c


            HTTP/1.1 401 Unauthorized
            connection: close
            content-type: application/problem+json
            www-authenticate: Bearer
            x-should-retry: false

            {"type":"urn:trefoilring:problem:unauthorized","title":"No valid key","status":401,"detail":"this route needs a key: Authorization: Bearer KEY","verdict":"not_run","reason":"unauthorized"}

        "#]]
        .assert_eq(&answers);

        let mut stream = server.connect().await;
        stream.write_all(get("/v1/open/shop/hours?day=2").as_bytes()).await.unwrap();
        let Ok(BackendRequest::Open(call, sender)) = server.backend_requests.recv().await else {
            panic!("no call")
        };
        assert_eq!(call.path, "hours?day=2");
        sender.try_send(head(200, "text/plain")).unwrap();
        sender.try_send(Ok(Chunk::Body(b"9 to 5".to_vec()))).unwrap();
        drop(sender);
        expect![[r#"
            HTTP/1.1 200 OK
            connection: close
            content-type: text/plain

            9 to 5"#]]
        .assert_eq(&summary(&read_all(&mut stream).await));
    });
}

#[test]
fn events_are_forwarded_one_by_one() {
    with_server(EdgeOptions::default(), async |server| {
        let mut stream = server.connect().await;
        let program = format!("Trefoil-Program: {PROGRAM}\r\nIdempotency-Key: step-7\r\n");
        stream.write_all(&request(CHAT, &program, TURN)).await.unwrap();
        let (call, sender) = server.next_call().await;
        assert_eq!((&*call.program, &*call.step), (PROGRAM, "step-7"));
        let Work::Turn(turn) = call.work else { panic!("no turn") };
        assert!(turn.is_streamed);
        assert_eq!(serde_json::to_string(&turn.options).unwrap(), r#"{"temperature":0.5}"#);

        sender.try_send(head(200, "text/event-stream")).unwrap();
        let start = read_until(&mut stream, "\r\n\r\n").await;
        assert!(start.contains("content-type: text/event-stream\r\n"), "{start}");
        assert!(start.contains("trefoil-step: step-7\r\n"), "{start}");
        // Each event is read before the next one is sent, so a delayed event fails the test.
        for n in 0..3 {
            sender.try_send(event(&format!("{{\"n\":{n}}}"))).unwrap();
            let part = read_until(&mut stream, "\n\n\r\n").await;
            assert_eq!(part, format!("F\r\ndata: {{\"n\":{n}}}\n\n\r\n"));
        }
        drop(sender);
        assert_eq!(read_all(&mut stream).await, "E\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
    });
}

#[test]
fn a_failed_stream_ends_with_an_error_event_and_no_done() {
    with_server(EdgeOptions::default(), async |server| {
        let mut stream = server.connect().await;
        let program = format!("Trefoil-Program: {PROGRAM}\r\n");
        stream.write_all(&request(CHAT, &program, TURN)).await.unwrap();
        let (_, sender) = server.next_call().await;
        sender.try_send(head(200, "text/event-stream")).unwrap();
        sender.try_send(event("{}")).unwrap();
        let refusal = Refusal::may_have_run(Reason::UpstreamFailed, "the engine is gone");
        sender.try_send(Err(refusal.retry_after(Duration::from_millis(1500)))).unwrap();
        let answer = read_all(&mut stream).await;
        let data: Vec<_> = answer.lines().filter(|line| line.starts_with("data: ")).collect();
        expect![[r#"
            data: {}
            data: {"error":{"type":"urn:trefoilring:problem:upstream_failed","title":"The upstream failed","status":502,"detail":"the engine is gone","verdict":"may_have_run","reason":"upstream_failed","retry_after_ms":1500}}"#]]
        .assert_eq(&data.join("\n"));
    });
}

#[test]
fn a_failure_after_the_head_is_never_reported_as_not_run() {
    with_server(EdgeOptions::default(), async |server| {
        for is_streamed in [true, false] {
            let mut stream = server.connect().await;
            let program = format!("Trefoil-Program: {PROGRAM}\r\n");
            let body = TURN.replace("true", &is_streamed.to_string());
            stream.write_all(&request(CHAT, &program, &body)).await.unwrap();
            let (_, sender) = server.next_call().await;
            sender.try_send(head(200, "application/json")).unwrap();
            sender.try_send(Err(Refusal::not_run(Reason::HomeUnavailable, "gone"))).unwrap();
            let answer = read_all(&mut stream).await;
            let expected = r#""verdict":"may_have_run","reason":"home_unavailable""#;
            assert!(answer.contains(expected), "{answer}");
        }
    });
}

#[test]
fn a_withdrawn_key_ends_streaming_and_waiting_requests() {
    with_server(EdgeOptions::default(), async |server| {
        let program = format!("Trefoil-Program: {PROGRAM}\r\n");
        let mut streaming = server.connect().await;
        streaming.write_all(&request(CHAT, &program, TURN)).await.unwrap();
        let (_, sender) = server.next_call().await;
        sender.try_send(head(200, "text/event-stream")).unwrap();
        read_until(&mut streaming, "\r\n\r\n").await;
        let mut waiting = server.connect().await;
        waiting.write_all(&request(CHAT, &program, TURN)).await.unwrap();
        let (_, waiting_sender) = server.next_call().await;

        server.withdraw.close();
        let streamed = read_all(&mut streaming).await;
        assert!(streamed.contains(r#""verdict":"may_have_run","reason":"unauthorized""#));
        assert!(!streamed.contains("[DONE]"));
        let refused = read_all(&mut waiting).await;
        assert!(refused.starts_with("HTTP/1.1 401 Unauthorized\r\n"), "{refused}");
        assert!(refused.contains(r#""verdict":"may_have_run""#), "{refused}");
        assert!(sender.is_closed() && waiting_sender.is_closed());
    });
}

#[test]
fn a_request_without_a_program_gets_an_implicit_one() {
    with_server(EdgeOptions::default(), async |server| {
        let mut stream = server.connect().await;
        let body = TURN.replace("true", "false");
        let class = "Trefoil-Class: night\r\n";
        stream.write_all(&request(CHAT, class, &body)).await.unwrap();
        let Ok(BackendRequest::Create(created)) = server.backend_requests.recv().await else {
            panic!("no creation")
        };
        assert_eq!(&*created.class, "night");
        let (call, sender) = server.next_call().await;
        assert_eq!(&*call.program, PROGRAM);
        sender.try_send(head(200, "application/json")).unwrap();
        sender.try_send(Ok(Chunk::Body(b"{\"choices\":".to_vec()))).unwrap();
        sender.try_send(Ok(Chunk::Body(b"[]}".to_vec()))).unwrap();
        drop(sender);
        let answer = read_all(&mut stream).await;
        assert!(answer.ends_with("\r\n\r\n{\"choices\":[]}"), "{answer}");
        assert!(matches!(
            server.backend_requests.recv().await,
            Ok(BackendRequest::Query(_, ProgramQuery::End))
        ));

        // The implicit program also ends when the caller disconnects before the answer.
        let mut stream = server.connect().await;
        stream.write_all(&request(CHAT, "", TURN)).await.unwrap();
        let Ok(BackendRequest::Create(created)) = server.backend_requests.recv().await else {
            panic!("no creation")
        };
        assert_eq!(&*created.class, "counter");
        let (_, sender) = server.next_call().await;
        drop(stream);
        assert!(matches!(
            server.backend_requests.recv().await,
            Ok(BackendRequest::Query(_, ProgramQuery::End))
        ));
        assert!(sender.is_closed());
    });
}

#[test]
fn services_receive_allowed_headers_and_never_the_key() {
    with_server(EdgeOptions::default(), async |server| {
        let call = format!("PUT /v1/programs/{PROGRAM}/calls/dealer-desk/book%69ngs/a%20b?x=%2F");
        let headers = "Content-Type: text/csv\r\nCookie: c=1\r\nX-Api-Key: k\r\nTE: trailers\r\n\
                       Proxy-Authorization: p\r\nTraceparent: 00-1\r\n";
        let mut stream = server.connect().await;
        stream.write_all(&request(&call, headers, "a,b")).await.unwrap();
        let (call, sender) = server.next_call().await;
        let Work::Service(call) = call.work else { panic!("no service call") };
        expect![[r#"ServiceCall { service: "dealer-desk", method: "PUT", path: "bookings/a%20b?x=%2F", headers: [("Content-Type", "text/csv"), ("Traceparent", "00-1")], body: [97, 44, 98] }"#]]
            .assert_eq(&format!("{call:?}"));
        sender.try_send(head(299, "text/plain")).unwrap();
        drop(sender);
        expect![[r#"
            HTTP/1.1 200 OK
            connection: close
            content-type: text/plain
            trefoil-program: fake-1.0123456789abcdef
            trefoil-upstream-status: 299

        "#]]
        .assert_eq(&summary(&read_all(&mut stream).await));

        let target = format!("GET /v1/programs/{PROGRAM}/calls/dealer-desk/x");
        let leaks = [
            request(&format!("{target}?key={SECRET}"), "", ""),
            request(&target, "", SECRET),
            request(&target, &format!("Prefer: {SECRET}\r\n"), ""),
        ];
        for leak in leaks {
            let answer = server.exchange(&leak).await;
            assert!(answer.contains("so that no upstream sees it"), "{answer}");
        }
        assert!(server.backend_requests.is_empty());
    });
}

#[test]
fn a_large_body_is_forwarded_and_truncated_on_failure() {
    with_server(EdgeOptions::default(), async |server| {
        let target = format!("GET /v1/programs/{PROGRAM}/calls/dealer-desk/catalog");
        for fails in [false, true] {
            let mut stream = server.connect().await;
            stream.write_all(&request(&target, "", "")).await.unwrap();
            let (_, sender) = server.next_call().await;
            sender.try_send(head(200, "text/plain")).unwrap();
            for _ in 0..3 {
                sender.try_send(Ok(Chunk::Body(vec![b'x'; 600_000]))).unwrap();
            }
            if fails {
                let refusal = Refusal::may_have_run(Reason::UpstreamFailed, "cut");
                sender.try_send(Err(refusal)).unwrap();
            }
            drop(sender);
            let answer = read_all(&mut stream).await;
            assert!(answer.matches('x').count() >= 1_800_000);
            assert_eq!(answer.ends_with("\r\n0\r\n\r\n"), !fails);
        }
    });
}

#[test]
fn a_stop_lets_running_requests_finish() {
    with_server(EdgeOptions::default(), async |server| {
        let mut idle = server.connect().await;
        idle.write_all(b"GET /healthz HTTP/1.1\r\nHost: t\r\n\r\n").await.unwrap();
        read_until(&mut idle, "ok\n").await;
        let mut running = server.connect().await;
        let keep_alive = String::from_utf8(request(CHAT, "Trefoil-Class: c\r\n", TURN)).unwrap();
        let keep_alive = keep_alive.replace("Connection: close\r\n", "");
        running.write_all(keep_alive.as_bytes()).await.unwrap();
        server.backend_requests.recv().await.unwrap();
        let (_, sender) = server.next_call().await;

        server.stopper.stop();
        assert_eq!(read_all(&mut idle).await, "");
        assert!(server.stopped.is_empty());
        sender.try_send(head(200, "text/event-stream")).unwrap();
        sender.try_send(event("{}")).unwrap();
        drop(sender);
        let answer = read_all(&mut running).await;
        assert!(answer.contains("\r\nconnection: close\r\n"), "{answer}");
        assert!(answer.ends_with("data: [DONE]\n\n\r\n0\r\n\r\n"), "{answer}");
        server.stopped.recv().await.unwrap();
    });
}

/// A caller that connected just before the stop can't know that the host is stopping; its request
/// must not be lost.
#[test]
fn a_stop_answers_the_first_request_of_a_new_connection() {
    with_server(EdgeOptions::default(), async |server| {
        let mut accepted = server.connect().await;
        let mut in_backlog = server.connect().await;
        server.stopper.stop();
        for stream in [&mut accepted, &mut in_backlog] {
            stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: t\r\n\r\n").await.unwrap();
            let answer = read_all(stream).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            assert!(answer.contains("\r\nconnection: close\r\n"), "{answer}");
        }
        server.stopped.recv().await.unwrap();
    });
}

#[test]
fn one_connection_carries_many_requests() {
    with_server(EdgeOptions::default(), async |server| {
        let mut stream = server.connect().await;
        // The second request is pipelined with the first. The third sends a chunked body after
        // `100 Continue`.
        let create = request("POST /v1/programs", "", r#"{"class":"a"}"#);
        let create = String::from_utf8(create).unwrap().replace("Connection: close\r\n", "");
        let chunked = create
            .replace("Content-Length: 13", "Expect: 100-continue\r\nTransfer-Encoding: chunked")
            .replace(r#"{"class":"a"}"#, "");
        let together = format!("{create}{create}{chunked}");
        stream.write_all(together.as_bytes()).await.unwrap();
        for _ in 0..2 {
            let answer = read_until(&mut stream, "\"history_messages\":1}").await;
            assert!(answer.starts_with("HTTP/1.1 201 Created\r\n"), "{answer}");
        }
        assert_eq!(read_until(&mut stream, "\r\n\r\n").await, "HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(b"5\r\n{\"cla\r\n8\r\nss\":\"b\"}\r\n0\r\n\r\n").await.unwrap();
        let answer = read_all(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 201 Created\r\n"), "{answer}");
        let classes: Vec<_> = std::iter::from_fn(|| match server.backend_requests.try_recv() {
            Ok(BackendRequest::Create(created)) => Some(created.class.to_string()),
            _ => None,
        })
        .collect();
        assert_eq!(classes, ["a", "a", "b"]);
    });
}

#[test]
fn a_connection_above_the_limit_is_refused_with_an_answer() {
    with_server(EdgeOptions::default().max_connections(1), async |server| {
        let mut first = server.connect().await;
        first.write_all(b"GET /healthz HTTP/1.1\r\nHost: t\r\n\r\n").await.unwrap();
        read_until(&mut first, "ok\n").await;
        let refused = read_all(&mut server.connect().await).await;
        assert!(refused.starts_with("HTTP/1.1 503 Service Unavailable\r\n"), "{refused}");
        assert!(refused.contains("\r\nretry-after: 1\r\n"), "{refused}");
        assert!(refused.contains(r#""verdict":"not_run","reason":"too_many""#), "{refused}");
    });
}
