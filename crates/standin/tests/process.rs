//! Stand-ins as separate processes: their address, faults over HTTP, crashes and invalid settings.

mod common;

use {
    common::{TIMEOUT, deadline, wait_until},
    serde_json::{Value, json},
    smol::block_on,
    std::{
        io::{BufRead, BufReader},
        net::SocketAddr,
        process::{Child, Command, Stdio},
    },
    trefoilring_clients::{
        CallError, Engine, ErrorKind, HostList, ObjectApi, ServiceClient, ServiceReply,
        ServiceRequest, WriteError,
    },
};

const BINARY: &str = env!("CARGO_BIN_EXE_trefoil-standin");

/// A stand-in process that is killed when dropped.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn start(arguments: &[&str]) -> Self {
        let mut command = Command::new(BINARY);
        let mut child = command.args(arguments).stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        Self { child, address: line.trim().parse().unwrap() }
    }

    async fn request(
        &self,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<ServiceReply, CallError> {
        let request = ServiceRequest {
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            body: body.into(),
            idempotency_key: None,
            fencing_epoch: None,
            deadline: deadline(),
        };
        ServiceClient::new(self.address).call(request).await
    }

    async fn json(&self, method: &str, path: &str, body: &str) -> Value {
        let reply = self.request(method, path, body).await.unwrap();
        assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
        serde_json::from_slice(&reply.body).unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

#[test]
fn faults_are_injected_over_http() {
    let process = Process::start(&["objects", "--faults", r#"{"lose_answer_every":1}"#]);
    let client = ObjectApi::new(process.address, TIMEOUT);
    block_on(async {
        assert!(matches!(client.put("k", 0, b"v".to_vec()).await, Err(WriteError::Unknown(_))));
        assert_eq!(client.get("k").await.unwrap().unwrap().value, b"v");
        let patch = r#"{"down":"unavailable","lose_answer_every":0}"#;
        let faults = process.json("POST", "standin/faults", patch).await;
        assert_eq!((&faults["down"], &faults["hang"]), (&json!("unavailable"), &json!("none")));
        assert!(matches!(client.put("l", 0, Vec::new()).await, Err(WriteError::NotApplied(_))));
        let patch = r#"{"down":"refused","refuse_ms":50}"#;
        process.json("POST", "standin/faults", patch).await;
        wait_until("the service", || block_on(client.get("k")).is_ok()).await;
        let counts = process.json("GET", "standin/counts", "").await;
        assert_eq!((&counts["writes"], &counts["objects"]), (&json!(1), &json!(1)));
        for (patch, expected) in [
            (r#"{"dwon":"none"}"#, "dwon"),
            (r#"{"hang":"sometimes"}"#, "sometimes"),
            (r#"{"down":"refused"}"#, "refuse_ms"),
            (r#"{"latency_ms":-1}"#, "-1"),
            ("[]", "map"),
            ("", "EOF"),
        ] {
            let reply = process.request("POST", "standin/faults", patch).await.unwrap();
            let text = String::from_utf8_lossy(&reply.body);
            assert!(reply.status == 400 && text.contains(expected), "{patch}: {text}");
        }
    });
}

#[test]
fn a_crash_exits_with_code_70() {
    let mut process = Process::start(&["tool", "--faults", r#"{"crash_on":"poison"}"#]);
    let error = block_on(process.request("POST", "book", "a poison b")).unwrap_err();
    assert_eq!(error.kind, ErrorKind::Broken);
    assert_eq!(process.child.wait().unwrap().code(), Some(70));
}

#[test]
fn settings_are_read_from_flags_and_environment() {
    let hosts = Process::start(&[
        "hosts",
        "--upstream",
        "e1,appraiser-llm,127.0.0.1:9,kochi-a,m,n",
        "--upstream",
        "t1,dealer-desk,127.0.0.1:10,kochi-b",
    ]);
    let upstreams = block_on(HostList::new(hosts.address).upstreams()).unwrap();
    assert_eq!(upstreams[0].models, ["m", "n"]);
    assert_eq!(&*upstreams[1].service, "dealer-desk");
    let engine = Process::start(&["engine", "--kv-tokens", "123", "--max-batch", "2"]);
    let load = block_on(Engine::new(engine.address).load()).unwrap();
    assert_eq!(load.kv_capacity_tokens, 123);
}

#[test]
fn an_invalid_setting_is_reported_with_its_flag_and_the_accepted_values() {
    type Case = (&'static [&'static str], (&'static str, &'static str), &'static [&'static str]);
    let cases: [Case; 8] = [
        (&["engine", "--time-scale", "0"], ("", ""), &["--time-scale", "'0'", "above 0"]),
        (&["engine", "--max-batch", "x"], ("", ""), &["--max-batch", "'x'", "from 1 to 65536"]),
        (&["engine"], ("STANDIN_KV_TOKENS", "0"), &["--kv-tokens", "'0'", "whole number from 1"]),
        (&["objects", "--reads-per-s", "-1"], ("", ""), &["-1"]),
        (&["hosts", "--upstream", "a,b"], ("", ""), &["--upstream", "a,b", "NAME,SERVICE,IP:PORT"]),
        (&["tool", "--faults", "{\"hang\":\"x\"}"], ("", ""), &["--faults", "`none`, `before`"]),
        (&["tool", "--listen", "x"], ("", ""), &["--listen", "'x'", "IP:PORT"]),
        (&["tol"], ("", ""), &["tol"]),
    ];
    for (arguments, (variable, value), expected) in cases {
        let mut command = Command::new(BINARY);
        command.args(arguments);
        if !variable.is_empty() {
            command.env(variable, value);
        }
        let output = command.output().unwrap();
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {text}");
        assert!(expected.iter().all(|part| text.contains(part)), "{arguments:?}: {text}");
    }
}
