//! Client of one agent program that tolerates faults: it retries each step with the same
//! idempotency key through the next host until the outcome is determined.

use {
    super::{SECRET, Site, TEST_TIMEOUT},
    http_types::Method,
    serde_json::{Value, json},
    smol::{Timer, future::FutureExt},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    trefoilring_core::message::Message,
    trefoilring_site::{CallerClient, Reply},
    trefoilring_standin::engine::text,
};

/// Number of tokens of each response.
pub const ANSWER_TOKENS: u64 = 12;
/// Time that a caller waits for a response before it tries another host.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between rounds and before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Returns the addresses on which the running hosts listen for callers.
pub type EntryAddresses = Arc<dyn Fn() -> Vec<SocketAddr> + Send + Sync>;
/// Returns whether the service has executed a step, given its idempotency key.
pub type HasRun = Arc<dyn Fn(&str) -> bool + Send + Sync>;

/// Outcome of a step that must not be repeated, as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedOutcome {
    /// The step ran and the caller received the response.
    Done,
    /// The step may have run.
    Unknown,
}

/// Client of one program.
pub struct Agent {
    caller: CallerClient,
    entry_addresses: EntryAddresses,
    has_run: HasRun,
    next_entry: usize,
    pub program: String,
    /// Expected history.
    pub expected_history: Vec<Message>,
    /// Idempotency keys of the bookings, with their reported outcomes.
    pub bookings: Vec<(String, ReportedOutcome)>,
    /// Refusals with the verdict `may_have_run` or `ran`: the step's outcome is unknown, or the
    /// step ran but its result is lost.
    pub lost_results: Vec<String>,
}

impl Agent {
    /// Creates a program.
    pub async fn create(site: &Site, number: usize) -> Self {
        let mut agent = Self::new(site, number);
        let step = format!("create-{number}");
        let body = json!({ "class": "quick" });
        let reply = agent.send_until_resolved("/v1/programs", &step, &[], &body).await;
        let reply = reply.expect("creating a program has no external effect");
        agent.program = reply.text("id").to_owned();
        assert!(!agent.program.is_empty(), "{reply:?}");
        agent
    }

    fn new(site: &Site, number: usize) -> Self {
        Self {
            caller: CallerClient::new(SECRET),
            entry_addresses: site.entry_addresses(),
            has_run: site.has_run(),
            next_entry: number,
            program: String::new(),
            expected_history: Vec::new(),
            bookings: Vec::new(),
            lost_results: Vec::new(),
        }
    }

    /// Alternates turns and bookings until `is_fault_over` is set, for at least `min_rounds`
    /// rounds.
    pub async fn run(&mut self, min_rounds: usize, is_fault_over: &AtomicBool) {
        let mut round = 0;
        while round < min_rounds || !is_fault_over.load(Ordering::SeqCst) {
            self.turn(round).await;
            self.book(round).await;
            round += 1;
            Timer::after(RETRY_DELAY).await;
        }
    }

    /// Runs a turn and checks that the engine received the complete history.
    pub async fn turn(&mut self, round: usize) {
        let prompt = format!("{} asks for the {round}th time", self.program);
        let body = json!({
            "model": "m",
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": ANSWER_TOKENS,
        });
        let program = self.program.clone();
        let headers = [("Trefoil-Program", &*program)];
        let step = format!("turn-{round}");
        let reply = self.send_until_resolved("/v1/chat/completions", &step, &headers, &body).await;
        let reply = reply.expect("a turn is repeatable");
        self.expect_turn(&prompt, reply.completion(), ANSWER_TOKENS);
    }

    /// Sends one turn once. Does not check the response.
    pub async fn try_turn(&mut self, step: &str, prompt: &str) -> Option<Reply> {
        let body = json!({ "model": "m", "messages": [{ "role": "user", "content": prompt }] });
        let program = self.program.clone();
        let headers = [("Trefoil-Program", &*program), ("Idempotency-Key", step)];
        self.send(Method::Post, "/v1/chat/completions", &headers, Some(&body)).await
    }

    /// Appends a turn to the expected history. Checks the stand-in's answer, which is a function of
    /// all messages.
    pub fn expect_turn(&mut self, prompt: &str, answer: &str, tokens: u64) {
        self.expected_history.push(Message::text("user", prompt));
        assert_eq!(
            answer,
            text::answer(&self.expected_history, tokens),
            "{}: history",
            self.program
        );
        self.expected_history.push(Message::text("assistant", answer));
    }

    /// Makes a booking, which must be made at most once.
    async fn book(&mut self, round: usize) {
        let path = format!("/v1/programs/{}/calls/desk/bookings", self.program);
        let (step, body) = (format!("book-{round}"), json!({ "crew": round }));
        let reported = match self.send_until_resolved(&path, &step, &[], &body).await {
            Some(_) => ReportedOutcome::Done,
            None => ReportedOutcome::Unknown,
        };
        self.bookings.push((format!("{}/{step}", self.program), reported));
    }

    /// Reads the history through any host and checks it.
    pub async fn check_history(&mut self) {
        let path = format!("/v1/programs/{}/history", self.program);
        let deadline = Instant::now() + TEST_TIMEOUT;
        let reply = loop {
            match self.send(Method::Get, &path, &[], None).await {
                Some(reply) if reply.is_success() => break reply,
                other => assert!(Instant::now() < deadline, "{path}: {other:?}"),
            }
            Timer::after(RETRY_DELAY).await;
        };
        assert_eq!(reply.json["messages"], json!(self.expected_history), "{}", self.program);
    }

    /// Sends a step until it succeeds. Returns `None` after `MIN_UNKNOWN_VERDICTS` verdicts
    /// `may_have_run`; the program's home then can't determine the outcome.
    async fn send_until_resolved(
        &mut self,
        path: &str,
        step: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Option<Reply> {
        /// Number of `may_have_run` verdicts, through different hosts, after which the outcome
        /// counts as unknown.
        const MIN_UNKNOWN_VERDICTS: u32 = 6;
        let headers = [headers, &[("Idempotency-Key", step)]].concat();
        let (deadline, mut unknown_verdicts) = (Instant::now() + TEST_TIMEOUT, 0);
        loop {
            let reply = self.send(Method::Post, path, &headers, Some(body)).await;
            match &reply {
                Some(reply) if reply.is_success() => return Some(reply.clone()),
                Some(reply) => match reply.text("verdict") {
                    "not_run" => self.check_not_run(step, reply),
                    "may_have_run" => {
                        unknown_verdicts += 1;
                        self.lost_results.push(format!("{}/{step}: {}", self.program, reply.json));
                    }
                    "ran" => {
                        self.lost_results.push(format!("{}/{step}: {}", self.program, reply.json))
                    }
                    _ => panic!("{path} {step}: {reply:?}"),
                },
                None => (),
            }
            if unknown_verdicts == MIN_UNKNOWN_VERDICTS {
                return None;
            }
            let detail = reply.map(|reply| reply.json);
            assert!(Instant::now() < deadline, "{path} {step}: {detail:?}");
            Timer::after(RETRY_DELAY).await;
        }
    }

    /// Checks a refusal with the verdict `not_run`: the service has not executed the step for any
    /// request.
    fn check_not_run(&self, step: &str, reply: &Reply) {
        let key = format!("{}/{step}", self.program);
        assert!(
            !(self.has_run)(&key),
            "{key}: verdict not_run, but the step has run: {}",
            reply.json
        );
    }

    /// Sends a request through the next host. Returns `None` without a complete response.
    async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Option<Reply> {
        let addresses = (self.entry_addresses)();
        let entry = addresses[self.next_entry % addresses.len()];
        self.next_entry += 1;
        let response = async { self.caller.send(entry, method, path, headers, body).await.ok() };
        let timeout = async {
            Timer::after(RESPONSE_TIMEOUT).await;
            None
        };
        response.or(timeout).await
    }
}

/// Checks the reported outcomes of bookings against the executions that the service counted.
pub fn check_bookings(site: &Site, agents: &[Agent]) {
    let runs = site.tool.runs();
    assert_eq!(runs.duplicates(), Vec::<&str>::new());
    let (mut reported_done, mut reported_unknown) = (0, 0);
    for (key, reported) in agents.iter().flat_map(|agent| &agent.bookings) {
        let count = runs.by_key.get(key).copied().unwrap_or_default();
        if *reported == ReportedOutcome::Done {
            assert_eq!(count, 1, "{key} was reported done");
            reported_done += 1;
        } else {
            reported_unknown += 1;
        }
    }
    let lost_results: usize = agents.iter().map(|agent| agent.lost_results.len()).sum();
    println!(
        "bookings: {reported_done} done, {reported_unknown} unknown; lost results: {lost_results}"
    );
    assert!(reported_done > 0, "no booking was made");
    assert_eq!(runs.without_key, 0);
}
