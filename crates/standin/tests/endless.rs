//! The clients of the product's own interface end answers without end, and let others run meanwhile.

use {
    smol::{LocalExecutor, Timer},
    std::{
        cell::Cell,
        future::Future,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    trefoilring_clients::{
        ChatRequest, Engine, HostList, ObjectApi, ServiceClient, ServiceRequest,
    },
    trefoilring_standin::fleet::{ENDLESS_PARTS, EndlessStandin, Pace},
};

/// Deadline of the clients.
const DEADLINE: Duration = Duration::from_millis(300);
/// Maximum number of bytes that a server may send before other tasks run. The buffers of a socket
/// hold a few megabytes.
const TURN_BYTES_MAX: usize = 12 * 1024 * 1024;
/// Timeout of each wait. It is far above any expected wait.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Calls a server for each part of an answer without end. Beside each call another task runs on the
/// same thread.
fn check<F: Future<Output = ()>>(call: impl Fn(SocketAddr) -> F) {
    let executor = LocalExecutor::new();
    smol::block_on(executor.run(async {
        let endless = EndlessStandin::start(None).await.expect("a port");
        for pace in [Pace::Fast, Pace::Dripped] {
            for part in ENDLESS_PARTS {
                endless.set_trouble(Some((part, pace)));
                let began = Instant::now();
                let written = Cell::new(endless.bytes_written());
                let check_turn = || {
                    let before = written.replace(endless.bytes_written());
                    let in_turn = written.get() - before;
                    assert!(in_turn <= TURN_BYTES_MAX, "{part:?}, {pace:?}: {in_turn} bytes");
                };
                let beside = async {
                    loop {
                        check_turn();
                        smol::future::yield_now().await;
                    }
                };
                smol::future::or(call(endless.address), beside).await;
                check_turn();
                assert!(began.elapsed() < TIMEOUT, "{part:?}, {pace:?}");
                while endless.answers_open() > 0 {
                    assert!(began.elapsed() < TIMEOUT, "{part:?}, {pace:?}: still open");
                    Timer::after(Duration::from_millis(1)).await;
                }
            }
        }
    }));
}

#[test]
fn service_call_ends() {
    check(async |address| {
        let request = ServiceRequest {
            method: "POST".into(),
            path: "book".into(),
            headers: Vec::new(),
            body: Vec::new(),
            idempotency_key: None,
            fencing_epoch: None,
            deadline: Instant::now() + DEADLINE,
        };
        drop(ServiceClient::new(address).call(request).await);
    });
}

#[test]
fn turn_ends() {
    check(async |address| {
        let request = ChatRequest {
            program: "j.p".into(),
            model: "m".into(),
            messages: Vec::new(),
            options: serde_json::Map::new(),
            resume_id: None,
            fencing_epoch: None,
            deadline: Instant::now() + DEADLINE,
        };
        if let Ok(mut stream) = Engine::new(address).chat(request).await {
            while let Some(Ok(_)) = stream.next().await {}
        }
    });
}

#[test]
fn reading_the_object_api_ends() {
    check(async |address| drop(ObjectApi::new(address, DEADLINE).get("key").await));
}

#[test]
fn reading_the_host_list_ends() {
    check(async |address| drop(HostList::new(address).upstreams().await));
}
