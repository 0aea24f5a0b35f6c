//! A small site and request helpers for end-to-end tests.

use {
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    trefoilring_config::declarations::{Declarations, RawDeclarations},
    trefoilring_core::catalog::Catalog,
    trefoilring_site::{CallerClient, HostSpec, Reply, SiteOptions, UpstreamSpec},
};

/// Overall timeout, far longer than any operation takes. Not a performance check.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The secret of the key of team `north`.
pub const NORTH_SECRET: &str = "north-secret";

const DECLARATIONS: &str = r#"
[classes.quick]
target = "30s"
budget = { turns = 20, tokens = 20000, wall = "10m" }

[teams.north]
rate_per_s = 200
burst_requests = 400

[teams.south]
rate_per_s = 200
burst_requests = 400

[services.llm]
kind = "engine"
models = ["m"]
deadline = "30s"

[services.desk]
kind = "tool"
repeatable = ["GET /prices"]
open = ["GET /hours"]
deadline = "10s"
"#;

/// Returns the declarations of the test site, with a key for each team.
pub fn catalog() -> Catalog {
    let key = |team: &str| {
        let hash = key_hash(&format!("{team}-secret"));
        format!("\n[keys.{team}-1]\nteam = \"{team}\"\nhash = \"{hash}\"\n")
    };
    let text = format!("{DECLARATIONS}{}{}", key("north"), key("south"));
    let raw = RawDeclarations { file: "test", text: &text };
    Declarations::try_from(raw).unwrap().into_catalog(0)
}

fn key_hash(secret: &str) -> String {
    trefoilring_config::secret::hash_secret(secret)
}

/// Returns a site with three hosts in three failure domains, two engines and two tool upstreams.
pub fn options() -> SiteOptions {
    let domains = ["a", "b", "c"];
    let host =
        |domain: &str| HostSpec { host: format!("host-{domain}").into(), domain: domain.into() };
    let upstream = |name: &str, service: &str, domain: &str| UpstreamSpec {
        upstream: name.into(),
        service: service.into(),
        domain: domain.into(),
    };
    SiteOptions {
        hosts: domains.into_iter().map(host).collect(),
        upstreams: vec![
            upstream("llm-1", "llm", "a"),
            upstream("llm-2", "llm", "b"),
            upstream("desk-1", "desk", "a"),
            upstream("desk-2", "desk", "c"),
        ],
        catalog: catalog(),
        heartbeat: Duration::from_millis(100),
        time_scale: 20.0,
        traffic_threads: 1,
        kv_capacity_tokens: None,
    }
}

/// Returns a caller with the key of team `north`.
pub fn caller() -> CallerClient {
    CallerClient::new(NORTH_SECRET)
}

/// Creates a program and returns its id.
pub async fn create(caller: &CallerClient, host: SocketAddr) -> String {
    let body = json!({ "class": "quick" });
    let reply = post(caller, host, "/v1/programs", &[], &body).await;
    assert!(reply.is_success(), "{reply:?}");
    reply.text("id").to_string()
}

/// Sends a request with a JSON body.
pub async fn post(
    caller: &CallerClient,
    host: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Reply {
    let method = http_types::Method::Post;
    caller.send(host, method, path, headers, Some(body)).await.unwrap()
}

/// Sends a turn with one message.
pub async fn turn(
    caller: &CallerClient,
    host: SocketAddr,
    program: &str,
    step: &str,
    text: &str,
) -> Reply {
    let body = turn_body(text);
    let headers = [("Trefoil-Program", program), ("Idempotency-Key", step)];
    post(caller, host, "/v1/chat/completions", &headers, &body).await
}

/// Returns the body of a turn with one message.
pub fn turn_body(text: &str) -> Value {
    json!({
        "model": "m",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": 16,
    })
}

/// Requests a program's history and returns its messages.
pub async fn history(caller: &CallerClient, host: SocketAddr, program: &str) -> Vec<Value> {
    let path = format!("/v1/programs/{program}/history");
    let reply = caller.send(host, http_types::Method::Get, &path, &[], None).await.unwrap();
    assert!(reply.is_success(), "{reply:?}");
    reply.json["messages"].as_array().cloned().unwrap_or_default()
}
