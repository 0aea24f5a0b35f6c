//! Programs whose turns the system keeps.

use crate::{
    client::{self, Answer},
    json::{Value, object},
    random,
    record::Record,
    worker::{EVENTS, event_data},
};
use std::{net::SocketAddr, time::Duration};

const HOST: &str = "review.example";
const KEY: &str = "key-of-the-review";
/// `retain_s` of the route.
pub const RETAIN_S: u64 = 60;
const DEADLINE: Duration = Duration::from_secs(3);

/// A turn of a program on a route whose turns the system keeps.
#[derive(Clone)]
pub struct Turn {
    pub program: String,
    pub id: String,
    pub previous: Option<String>,
    pub input: String,
    /// What the worker must get.
    pub expected: Vec<u8>,
}

impl Turn {
    pub fn new(program: &str, previous: Option<&Turn>, input: &str) -> Self {
        let mut expected = Vec::new();
        if let Some(previous) = previous {
            expected.extend_from_slice(&previous.expected);
            for event in 1..=EVENTS {
                expected.extend(format!("{}\n", event_data(&previous.id, event)).bytes());
            }
        }
        expected.extend(input.bytes());
        Self {
            program: program.into(),
            id: format!("{:016x}", random()),
            previous: previous.map(|previous| previous.id.clone()),
            input: input.into(),
            expected,
        }
    }

    pub fn send(&self, front: SocketAddr, record: &Record, what: &str) -> Answer {
        let mut headers = vec![
            ("Host", HOST.to_string()),
            ("Trefoilring-Request-Id", self.id.clone()),
            ("Authorization", format!("Token {KEY}")),
            ("Trefoilring-Program-Id", self.program.clone()),
            ("Trefoilring-Session-Id", format!("{}-1", self.program)),
            ("Trefoilring-Finish-Ms", "60000".into()),
            ("Trefoilring-Token-Budget", "100000".into()),
            ("Trefoilring-Token-Usage", "400,150".into()),
            ("Trefoilring-Prompt-Prefix", format!("{:08x}:400", random() as u32)),
            ("Trefoilring-Model", "m".into()),
        ];
        if let Some(previous) = &self.previous {
            headers.push(("Trefoilring-Previous-Turn", previous.clone()));
        }
        let answer =
            client::send(front, "POST", "/chat/turn", &headers, self.input.as_bytes(), DEADLINE);
        record.write(format!(
            "{what} turn {} of program {} after {:?} sent to {front}: {}, {} events, complete {}",
            self.id,
            self.program,
            self.previous,
            answer.status,
            answer.events(),
            answer.is_complete,
        ));
        answer
    }
}

/// Returns a configuration with one such route.
pub fn configuration() -> Value {
    let route = object([
        ("name", "chat".into()),
        ("host", HOST.into()),
        ("prefix", "/chat/".into()),
        ("type", "stream".into()),
        ("timeout_ms", 3000.into()),
        ("goal_ms", 250.into()),
        ("priority", 0.into()),
        ("service", "models".into()),
        ("attempts", 1.into()),
        ("retained", Value::Bool(true)),
        ("retain_s", RETAIN_S.into()),
        ("public", Value::Bool(false)),
        ("sticky", Value::Bool(true)),
        ("can_resume", Value::Bool(true)),
        ("gap_target_ms", 400.into()),
    ]);
    let backend = object([
        ("slots", 16.into()),
        ("kv_cap_tokens", 600000.into()),
        ("chunk_tokens", 25.into()),
    ]);
    let service = object([
        ("name", "models".into()),
        ("health_path", "/healthz".into()),
        ("max_conns", 170.into()),
        ("proto", "h1".into()),
        ("tls", Value::Bool(false)),
        ("backend", backend),
    ]);
    let limits = object([
        ("max_header_bytes", 16384.into()),
        ("max_body_bytes", 4194304.into()),
        ("header_timeout_ms", 3000.into()),
        ("idle_timeout_ms", 15000.into()),
    ]);
    let tenant = object([
        ("name", "tenant-1".into()),
        ("api_keys", Value::List(vec![KEY.into()])),
        ("priority", 1.into()),
        ("rate_per_s", 0.into()),
        ("burst", 0.into()),
    ]);
    object([
        ("version", 7.into()),
        ("routes", Value::List(vec![route])),
        ("services", Value::List(vec![service])),
        ("limits", limits),
        ("tenants", Value::List(vec![tenant])),
    ])
}
