//! What the platform's clients and operators send, and how clients read responses.

use {
    super::SERVICE,
    bytes::Bytes,
    http::{HeaderMap, Request},
    http_body_util::Full,
    serde_json::{Value, json},
    std::time::Duration,
};

/// Path of the platform's readiness checks.
pub const READY_PATH: &str = "/trefoilring/readyz";
/// Host name of all routes of [`configuration`].
const ROUTES_HOST: &str = "soak.example";
/// Tokens of one event under [`configuration`].
pub const EVENT_TOKENS: u64 = 10;

/// The program that a turn belongs to.
#[derive(Clone, Debug)]
pub struct TurnHead<'a> {
    /// Id of the program, and of its only session.
    pub program: &'a str,
    /// Maximum number of tokens of all turns of the program.
    pub token_budget: u64,
    /// Maximum number of tokens of this turn.
    pub turn_tokens: u64,
}

/// Creates a request with a body.
///
/// # Panics
///
/// Panics if the path or a value can't be part of a request.
pub fn request(
    path: &str,
    request_id: &str,
    key: &str,
    deadline: Duration,
    turn: Option<&TurnHead<'_>>,
    body: &str,
) -> Request<Full<Bytes>> {
    let mut request = Request::post(path)
        .header("Host", ROUTES_HOST)
        .header("Trefoilring-Request-Id", request_id)
        .header("Trefoilring-Deadline-Ms", deadline.as_millis().to_string())
        .header("Authorization", format!("Token {key}"));
    if let Some(turn) = turn {
        request = request
            .header("Trefoilring-Program-Id", turn.program)
            .header("Trefoilring-Session-Id", turn.program)
            .header("Trefoilring-Token-Budget", turn.token_budget.to_string())
            .header("Trefoilring-Token-Usage", format!("1460,{}", turn.turn_tokens))
            .header("Trefoilring-Prompt-Prefix", "5c1e07a2:800,91bd3f06:660");
    }
    request.body(Full::from(body.to_string())).expect("the path and the values are valid")
}

/// Returns the id of the request that a response belongs to.
pub fn request_id(headers: &HeaderMap) -> Option<&str> {
    headers.get("trefoilring-request-id")?.to_str().ok()
}

/// Returns the id of the worker that signed a response.
pub fn signing_worker(headers: &HeaderMap) -> Option<&str> {
    headers.get("trefoilring-server-stamp")?.to_str().ok()?.strip_prefix("stamp-")
}

/// Returns a configuration with one route for each kind of request, to the service of
/// [`WorkerStandin`](super::WorkerStandin): resumable streams under `/turns/`, idempotent ones
/// under `/look/`, others under `/do/`.
pub fn configuration(key: &str) -> Value {
    let route = |name: &str, kind: &str| {
        json!({"name": name, "host": ROUTES_HOST, "prefix": format!("/{name}/"), "type": kind,
               "timeout_ms": 3000, "goal_ms": 250, "priority": 0, "service": SERVICE,
               "public": false, "can_resume": kind == "stream", "retain_s": 60.0})
    };
    json!({
        "version": 1,
        "routes": [route("turns", "stream"), route("look", "idempotent"),
                   route("do", "non_idempotent")],
        "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 100,
                      "backend": {"slots": 4, "kv_cap_tokens": 1000,
                                  "chunk_tokens": EVENT_TOKENS}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "team", "api_keys": [key], "rate_per_s": 0, "burst": 0}],
    })
}
