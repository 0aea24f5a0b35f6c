//! An agent program that goes on through faults, as a careful caller does: it sends the same step
//! again through the next host until it knows how the step ended.

use {
    super::{PATIENCE, SECRET, Site},
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

/// Tokens of each answer.
pub const TOKENS: u64 = 12;
/// How long a caller waits for an answer before it tries another host.
const GIVE_UP: Duration = Duration::from_secs(10);
/// Pause between rounds, and before a step is sent again.
const PAUSE: Duration = Duration::from_millis(50);

/// Says where callers reach the hosts that run.
pub type Entries = Arc<dyn Fn() -> Vec<SocketAddr> + Send + Sync>;
/// Says whether a step has had its effect.
pub type HasRun = Arc<dyn Fn(&str) -> bool + Send + Sync>;

/// How a step that may not be repeated ended, as far as its caller was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Told {
    /// It ran, and the answer came.
    Done,
    /// It may have run.
    Unknown,
}

/// One program.
pub struct Agent {
    caller: CallerClient,
    entries: Entries,
    has_run: HasRun,
    next_entry: usize,
    pub program: String,
    /// What the history must be.
    pub expected: Vec<Message>,
    /// Bookings by idempotency key.
    pub bookings: Vec<(String, Told)>,
    /// Answers that left it open how a step ended, or that its result is lost.
    pub cut: Vec<String>,
}

impl Agent {
    /// Creates a program.
    pub async fn create(site: &Site, number: usize) -> Self {
        let mut agent = Self::new(site, number);
        let step = format!("create-{number}");
        let body = json!({ "class": "quick" });
        let reply = agent.persist("/v1/programs", &step, &[], &body).await;
        let reply = reply.expect("a creation is no effect outside");
        agent.program = reply.text("id").to_owned();
        assert!(!agent.program.is_empty(), "{reply:?}");
        agent
    }

    fn new(site: &Site, number: usize) -> Self {
        Self {
            caller: CallerClient::new(SECRET),
            entries: site.entries(),
            has_run: site.has_run(),
            next_entry: number,
            program: String::new(),
            expected: Vec::new(),
            bookings: Vec::new(),
            cut: Vec::new(),
        }
    }

    /// Takes turns and makes bookings by turns until told to stop, for some rounds at least.
    pub async fn run(&mut self, least_rounds: usize, is_over: &AtomicBool) {
        let mut round = 0;
        while round < least_rounds || !is_over.load(Ordering::SeqCst) {
            self.turn(round).await;
            self.book(round).await;
            round += 1;
            Timer::after(PAUSE).await;
        }
    }

    /// Takes a turn and checks that the engine saw the whole history.
    pub async fn turn(&mut self, round: usize) {
        let said = format!("{} asks for the {round}th time", self.program);
        let body = json!({
            "model": "m",
            "messages": [{ "role": "user", "content": said }],
            "max_tokens": TOKENS,
        });
        let program = self.program.clone();
        let headers = [("Trefoil-Program", &*program)];
        let step = format!("turn-{round}");
        let reply = self.persist("/v1/chat/completions", &step, &headers, &body).await;
        let reply = reply.expect("a turn may be run again");
        self.expect_turn(&said, reply.completion(), TOKENS);
    }

    /// Sends one turn once, without expecting anything of it.
    pub async fn try_turn(&mut self, step: &str, said: &str) -> Option<Reply> {
        let body = json!({ "model": "m", "messages": [{ "role": "user", "content": said }] });
        let program = self.program.clone();
        let headers = [("Trefoil-Program", &*program), ("Idempotency-Key", step)];
        self.send(Method::Post, "/v1/chat/completions", &headers, Some(&body)).await
    }

    /// Adds a turn to what the history must be. The stand-in's answer follows from all messages.
    pub fn expect_turn(&mut self, said: &str, answer: &str, tokens: u64) {
        self.expected.push(Message::text("user", said));
        assert_eq!(answer, text::answer(&self.expected, tokens), "{}: history", self.program);
        self.expected.push(Message::text("assistant", answer));
    }

    /// Books something that must be booked once.
    async fn book(&mut self, round: usize) {
        let path = format!("/v1/programs/{}/calls/desk/bookings", self.program);
        let (step, body) = (format!("book-{round}"), json!({ "crew": round }));
        let told = match self.persist(&path, &step, &[], &body).await {
            Some(_) => Told::Done,
            None => Told::Unknown,
        };
        self.bookings.push((format!("{}/{step}", self.program), told));
    }

    /// Reads the history through a host and checks it.
    pub async fn check_history(&mut self) {
        let path = format!("/v1/programs/{}/history", self.program);
        let deadline = Instant::now() + PATIENCE;
        let reply = loop {
            match self.send(Method::Get, &path, &[], None).await {
                Some(reply) if reply.is_success() => break reply,
                other => assert!(Instant::now() < deadline, "{path}: {other:?}"),
            }
            Timer::after(PAUSE).await;
        };
        assert_eq!(reply.json["messages"], json!(self.expected), "{}", self.program);
    }

    /// Sends a step until it succeeds, or `None` once it is certain that nobody can know whether it
    /// ran: the program's home says so.
    async fn persist(
        &mut self,
        path: &str,
        step: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Option<Reply> {
        /// Times that `may_have_run` must come, through different hosts, before it counts.
        const CERTAIN: u32 = 6;
        let headers = [headers, &[("Idempotency-Key", step)]].concat();
        let (deadline, mut unknown) = (Instant::now() + PATIENCE, 0);
        loop {
            let reply = self.send(Method::Post, path, &headers, Some(body)).await;
            match &reply {
                Some(reply) if reply.is_success() => return Some(reply.clone()),
                Some(reply) => match reply.text("verdict") {
                    "not_run" => self.check_not_run(step, reply),
                    "may_have_run" => {
                        unknown += 1;
                        self.cut.push(format!("{}/{step}: {}", self.program, reply.json));
                    }
                    "ran" => self.cut.push(format!("{}/{step}: {}", self.program, reply.json)),
                    _ => panic!("{path} {step}: {reply:?}"),
                },
                None => (),
            }
            if unknown == CERTAIN {
                return None;
            }
            let detail = reply.map(|reply| reply.json);
            assert!(Instant::now() < deadline, "{path} {step}: {detail:?}");
            Timer::after(PAUSE).await;
        }
    }

    /// A refusal that says `not_run` must be true of the step, whichever request ran it.
    fn check_not_run(&self, step: &str, reply: &Reply) {
        let key = format!("{}/{step}", self.program);
        assert!(!(self.has_run)(&key), "{key}: not_run was false: {}", reply.json);
    }

    /// Sends a request through the next host; `None` without a whole answer.
    async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Option<Reply> {
        let entries = (self.entries)();
        let entry = entries[self.next_entry % entries.len()];
        self.next_entry += 1;
        let answer = async { self.caller.send(entry, method, path, headers, body).await.ok() };
        let give_up = async {
            Timer::after(GIVE_UP).await;
            None
        };
        answer.or(give_up).await
    }
}

/// Checks bookings against what the service ran.
pub fn check_bookings(site: &Site, agents: &[Agent]) {
    let runs = site.tool.runs();
    assert_eq!(runs.duplicates(), Vec::<&str>::new());
    let (mut told_done, mut told_unknown) = (0, 0);
    for (key, told) in agents.iter().flat_map(|agent| &agent.bookings) {
        let count = runs.by_key.get(key).copied().unwrap_or_default();
        if *told == Told::Done {
            assert_eq!(count, 1, "{key} was told done");
            told_done += 1;
        } else {
            told_unknown += 1;
        }
    }
    let cut: usize = agents.iter().map(|agent| agent.cut.len()).sum();
    println!("bookings: {told_done} done, {told_unknown} unknown; answers cut: {cut}");
    assert!(told_done > 0, "no booking was made");
    assert_eq!(runs.without_key, 0);
}
