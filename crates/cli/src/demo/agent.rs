//! Client that runs one agent program and records its requests and responses.

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

/// Maximum number of tokens that a turn generates.
const MAX_OUTPUT_TOKENS: u64 = 24;

/// Reason why an agent could not continue.
#[derive(Debug, Display, Error, From)]
pub(super) enum AgentError {
    /// The request failed without a response.
    #[display("{_0}")]
    Caller(CallerError),
    /// The response's status is not 2xx.
    #[display("{request}: status {status}: {detail}")]
    #[from(ignore)]
    Refused {
        /// Method and path of the request.
        request: String,
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        detail: String,
    },
}

/// Client of one program.
pub(super) struct Agent {
    caller: CallerClient,
    model: String,
    hosts: Vec<SocketAddr>,
    next_host_index: usize,
    /// Program id.
    pub program: String,
    /// Class of the program.
    pub class: String,
    /// Expected history: role and content of each message.
    pub expected_history: Vec<(String, String)>,
    /// Number of completed turns.
    pub turns: u32,
    /// Number of prompt tokens, cached ones included.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that the engines served from their caches.
    pub cached_tokens: u64,
    /// Hosts to which the agent sent requests.
    pub entry_hosts: BTreeSet<SocketAddr>,
    /// Calls that must not be repeated, as `program/step`.
    pub effects: Vec<String>,
    /// Checks that failed.
    pub failed_checks: Vec<String>,
    started: Instant,
    latency: Duration,
    steps: u32,
}

impl Agent {
    /// Creates a program. With `parent`, creates it as a child of that program.
    pub(super) async fn create(
        caller: CallerClient,
        (class, model): (&str, &str),
        hosts: &[SocketAddr],
        first_host_index: usize,
        parent: Option<&str>,
    ) -> Result<Self, AgentError> {
        let mut agent = Self {
            caller,
            model: model.into(),
            hosts: hosts.to_vec(),
            next_host_index: first_host_index,
            program: String::new(),
            class: class.into(),
            expected_history: Vec::new(),
            turns: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            entry_hosts: BTreeSet::new(),
            effects: Vec::new(),
            failed_checks: Vec::new(),
            started: Instant::now(),
            latency: Duration::ZERO,
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

    /// Creates a child program for a sub-agent.
    pub(super) async fn create_child(&mut self) -> Result<Self, AgentError> {
        let first_host_index = self.next_host_index + 1;
        let class_and_model = (&*self.class.clone(), &*self.model.clone());
        Self::create(
            self.caller.clone(),
            class_and_model,
            &self.hosts,
            first_host_index,
            Some(&self.program),
        )
        .await
    }

    /// Runs a turn without streaming.
    pub(super) async fn run_turn(&mut self, text: &str) -> Result<String, AgentError> {
        let step = self.next_step("turn");
        let body = self.turn_body(text);
        let program = self.program.clone();
        let headers = [("Trefoil-Program", &*program), ("Idempotency-Key", &*step)];
        let reply = self.post("/v1/chat/completions", &headers, &body).await?;
        let answer = reply.completion().to_string();
        self.add_usage(&reply.json["usage"]);
        self.record_turn(text, &answer);
        Ok(answer)
    }

    /// Runs a turn with a streamed response.
    pub(super) async fn stream_turn(&mut self, text: &str) -> Result<String, AgentError> {
        let step = self.next_step("turn");
        let mut body = self.turn_body(text);
        body["stream"] = json!(true);
        let (host, program) = (self.choose_entry_host(), self.program.clone());
        let headers = [("Trefoil-Program", &*program), ("Idempotency-Key", &*step)];
        let reply = self.caller.stream(host, "/v1/chat/completions", &headers, &body).await?;
        if !reply.is_complete {
            self.failed_checks.push(format!("{program}: the stream of {step} was cut short"));
        }
        let usage = reply.events.iter().rev().find_map(|event| {
            let event: Value = serde_json::from_str(event).ok()?;
            event.get("usage").filter(|usage| usage.is_object()).cloned()
        });
        self.add_usage(&usage.unwrap_or_default());
        let answer = reply.text();
        self.record_turn(text, &answer);
        Ok(answer)
    }

    /// Makes a call that may be repeated.
    pub(super) async fn call_repeatable(
        &mut self,
        service: &str,
        path: &str,
    ) -> Result<(), AgentError> {
        let step = self.next_step("look-up");
        let path = format!("/v1/programs/{}/calls/{service}/{path}", self.program);
        self.send(Method::Get, &path, &[("Idempotency-Key", &*step)], None).await?;
        Ok(())
    }

    /// Makes a call that must run exactly once. Sends the request again through another host, as a
    /// caller does after losing the response, and checks that both responses are equal.
    pub(super) async fn call_with_effect(
        &mut self,
        service: &str,
        path: &str,
        body: &Value,
    ) -> Result<(), AgentError> {
        let step = self.next_step("effect");
        self.effects.push(format!("{}/{step}", self.program));
        let path = format!("/v1/programs/{}/calls/{service}/{path}", self.program);
        let headers = [("Idempotency-Key", &*step)];
        let first = self.post(&path, &headers, body).await?;
        let repeated = self.post(&path, &headers, body).await?;
        if first.body != repeated.body {
            self.failed_checks
                .push(format!("{}: {step} got two different responses", self.program));
        }
        Ok(())
    }

    /// Checks the history through another host, then ends the program.
    pub(super) async fn finish(&mut self) -> Result<(), AgentError> {
        self.latency = self.started.elapsed();
        let path = format!("/v1/programs/{}/history", self.program);
        let reply = self.send(Method::Get, &path, &[], None).await?;
        let messages = reply.json["messages"].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
        let found: Vec<(String, String)> =
            messages.iter().map(|m| (text(&m["role"]), text(&m["content"]))).collect();
        if found != self.expected_history {
            self.failed_checks.push(format!(
                "{}: the history differs from the messages of the turns",
                self.program
            ));
        }
        let path = format!("/v1/programs/{}", self.program);
        self.send(Method::Delete, &path, &[], None).await?;
        Ok(())
    }

    /// Returns the time from the program's creation to its last response.
    pub(super) fn latency(&self) -> Duration {
        self.latency
    }

    fn turn_body(&self, text: &str) -> Value {
        json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": text }],
            "max_tokens": MAX_OUTPUT_TOKENS,
        })
    }

    fn record_turn(&mut self, text: &str, answer: &str) {
        self.turns += 1;
        self.expected_history.push(("user".into(), text.into()));
        self.expected_history.push(("assistant".into(), answer.into()));
    }

    fn add_usage(&mut self, usage: &Value) {
        let tokens_at = |pointer: &str| usage.pointer(pointer).and_then(Value::as_u64).unwrap_or(0);
        self.prompt_tokens += tokens_at("/prompt_tokens");
        self.cached_tokens += tokens_at("/prompt_tokens_details/cached_tokens");
    }

    fn next_step(&mut self, prefix: &str) -> String {
        self.steps += 1;
        format!("{prefix}-{}", self.steps)
    }

    /// Chooses the entry host of the next request by round robin, like a load balancer.
    fn choose_entry_host(&mut self) -> SocketAddr {
        let host = self.hosts[self.next_host_index % self.hosts.len()];
        self.next_host_index += 1;
        self.entry_hosts.insert(host);
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
        let host = self.choose_entry_host();
        let reply = self.caller.send(host, method, path, headers, body).await?;
        if reply.is_success() {
            return Ok(reply);
        }
        Err(AgentError::Refused {
            request: format!("{method} {path}"),
            status: reply.status,
            detail: String::from_utf8_lossy(&reply.body).into_owned(),
        })
    }
}
