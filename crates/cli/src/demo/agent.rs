//! An agent program as a caller runs it, with a record of what it sent and got.

use {
    derive_more::{Display, Error, From},
    http_types::Method,
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    trefoilring_site::{CallerClient, CallerError, Reply},
};

/// Tokens that a turn may generate.
const MAX_TOKENS: u64 = 24;

/// Why an agent could not go on.
#[derive(Debug, Display, Error, From)]
pub(super) enum AgentError {
    /// No answer came.
    #[display("{_0}")]
    Caller(CallerError),
    /// The answer was a refusal.
    #[display("{what}: status {status}: {detail}")]
    #[from(ignore)]
    Refused {
        /// What was asked.
        what: String,
        /// HTTP status.
        status: u16,
        /// The refusal.
        detail: String,
    },
}

/// One program from its caller's side.
pub(super) struct Agent {
    caller: CallerClient,
    model: String,
    hosts: Vec<SocketAddr>,
    next_host: usize,
    /// The program's id.
    pub program: String,
    /// Its class.
    pub class: String,
    /// What the history must be.
    pub expected: Vec<(String, String)>,
    /// Turns taken.
    pub turns: u32,
    /// Prompt tokens, and how many of them were cached.
    pub prompt_tokens: u64,
    /// Prompt tokens that an engine had in its cache.
    pub cached_tokens: u64,
    /// Entry hosts that were used.
    pub entries: BTreeSet<SocketAddr>,
    /// Calls that may not be repeated, by step.
    pub effects: Vec<String>,
    /// What did not hold.
    pub faults: Vec<String>,
    started: Instant,
    finished_after: Duration,
    steps: u32,
}

impl Agent {
    /// Creates a program, as a child of `parent` if there is one.
    pub(super) async fn create(
        caller: CallerClient,
        (class, model): (&str, &str),
        hosts: &[SocketAddr],
        first_host: usize,
        parent: Option<&str>,
    ) -> Result<Self, AgentError> {
        let mut agent = Self {
            caller,
            model: model.into(),
            hosts: hosts.to_vec(),
            next_host: first_host,
            program: String::new(),
            class: class.into(),
            expected: Vec::new(),
            turns: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            entries: BTreeSet::new(),
            effects: Vec::new(),
            faults: Vec::new(),
            started: Instant::now(),
            finished_after: Duration::ZERO,
            steps: 0,
        };
        let (path, body) = match parent {
            Some(parent) => (format!("/v1/programs/{parent}/children"), json!({})),
            None => ("/v1/programs".to_string(), json!({ "class": class })),
        };
        let reply = agent.post(&path, &[], &body).await?;
        agent.program = reply.text("id").to_string();
        Ok(agent)
    }

    /// A sub-agent of this program.
    pub(super) async fn child(&mut self) -> Result<Self, AgentError> {
        let first_host = self.next_host + 1;
        let kind = (&*self.class.clone(), &*self.model.clone());
        Self::create(self.caller.clone(), kind, &self.hosts, first_host, Some(&self.program)).await
    }

    /// Takes a turn without a stream.
    pub(super) async fn turn(&mut self, text: &str) -> Result<String, AgentError> {
        let step = self.step("turn");
        let body = self.turn_body(text);
        let program = self.program.clone();
        let headers = [("Trefoil-Program", &*program), ("Idempotency-Key", &*step)];
        let reply = self.post("/v1/chat/completions", &headers, &body).await?;
        let answer = reply.completion().to_string();
        self.count(&reply.json["usage"]);
        self.took_turn(text, &answer);
        Ok(answer)
    }

    /// Takes a turn with a stream.
    pub(super) async fn stream(&mut self, text: &str) -> Result<String, AgentError> {
        let step = self.step("turn");
        let mut body = self.turn_body(text);
        body["stream"] = json!(true);
        let (host, program) = (self.host(), self.program.clone());
        let headers = [("Trefoil-Program", &*program), ("Idempotency-Key", &*step)];
        let reply = self.caller.stream(host, "/v1/chat/completions", &headers, &body).await?;
        if !reply.is_complete {
            self.faults.push(format!("{program}: the stream of {step} was cut"));
        }
        let usage = reply.events.iter().rev().find_map(|event| {
            let event: Value = serde_json::from_str(event).ok()?;
            event.get("usage").filter(|usage| usage.is_object()).cloned()
        });
        self.count(&usage.unwrap_or_default());
        let answer = reply.text();
        self.took_turn(text, &answer);
        Ok(answer)
    }

    /// Asks a service for something that may be asked twice.
    pub(super) async fn look_up(&mut self, service: &str, path: &str) -> Result<(), AgentError> {
        let step = self.step("look-up");
        let path = format!("/v1/programs/{}/calls/{service}/{path}", self.program);
        self.send(Method::Get, &path, &[("Idempotency-Key", &*step)], None).await?;
        Ok(())
    }

    /// Does something that must happen once, and sends the request again through another host, as
    /// a caller does that lost the answer.
    pub(super) async fn effect(
        &mut self,
        service: &str,
        path: &str,
        body: &Value,
    ) -> Result<(), AgentError> {
        let step = self.step("effect");
        self.effects.push(format!("{}/{step}", self.program));
        let path = format!("/v1/programs/{}/calls/{service}/{path}", self.program);
        let headers = [("Idempotency-Key", &*step)];
        let first = self.post(&path, &headers, body).await?;
        let again = self.post(&path, &headers, body).await?;
        if first.body != again.body {
            self.faults.push(format!("{}: {step} has two answers", self.program));
        }
        Ok(())
    }

    /// Checks the history through another host, then ends the program.
    pub(super) async fn finish(&mut self) -> Result<(), AgentError> {
        self.finished_after = self.started.elapsed();
        let path = format!("/v1/programs/{}/history", self.program);
        let reply = self.send(Method::Get, &path, &[], None).await?;
        let messages = reply.json["messages"].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
        let found: Vec<(String, String)> =
            messages.iter().map(|m| (text(&m["role"]), text(&m["content"]))).collect();
        if found != self.expected {
            self.faults.push(format!("{}: the history is not what was said", self.program));
        }
        let path = format!("/v1/programs/{}", self.program);
        self.send(Method::Delete, &path, &[], None).await?;
        Ok(())
    }

    /// Time from the program's creation to its last answer.
    pub(super) fn finished_after(&self) -> Duration {
        self.finished_after
    }

    fn turn_body(&self, text: &str) -> Value {
        json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": text }],
            "max_tokens": MAX_TOKENS,
        })
    }

    fn took_turn(&mut self, text: &str, answer: &str) {
        self.turns += 1;
        self.expected.push(("user".into(), text.into()));
        self.expected.push(("assistant".into(), answer.into()));
    }

    fn count(&mut self, usage: &Value) {
        let number = |pointer: &str| usage.pointer(pointer).and_then(Value::as_u64).unwrap_or(0);
        self.prompt_tokens += number("/prompt_tokens");
        self.cached_tokens += number("/prompt_tokens_details/cached_tokens");
    }

    fn step(&mut self, what: &str) -> String {
        self.steps += 1;
        format!("{what}-{}", self.steps)
    }

    /// Every request goes through the next host, as through a balancer.
    fn host(&mut self) -> SocketAddr {
        let host = self.hosts[self.next_host % self.hosts.len()];
        self.next_host += 1;
        self.entries.insert(host);
        host
    }

    async fn post(
        &mut self,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Reply, AgentError> {
        self.send(Method::Post, path, headers, Some(body)).await
    }

    async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<Reply, AgentError> {
        let host = self.host();
        let reply = self.caller.send(host, method, path, headers, body).await?;
        if reply.is_success() {
            return Ok(reply);
        }
        Err(AgentError::Refused {
            what: format!("{method} {path}"),
            status: reply.status,
            detail: String::from_utf8_lossy(&reply.body).into_owned(),
        })
    }
}
