//! Callers that send requests one after the other and record what they get.

use {
    super::site::{GATEWAYS, KEY, Site},
    bytes::Bytes,
    http::{HeaderMap, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    smol::{LocalExecutor, Timer},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_gateway::http::ConnectionPool,
    trefoilring_standin::fleet::{
        WorkerStandin,
        client::{self, EVENT_TOKENS, TurnHead},
    },
};

/// Tokens that all turns of a program may get.
pub const TOKEN_BUDGET: u64 = 600;
/// Maximum of the tokens of one turn.
pub const TURN_TOKENS: u64 = 60;
/// Time that a caller waits.
const DEADLINE: Duration = Duration::from_secs(2);
/// Number of turns after which a caller begins another program. More than the budget allows.
const TURNS_PER_PROGRAM: u64 = 14;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Idempotent,
    NonIdempotent,
    Stream,
}

impl Kind {
    pub const ALL: [Self; 3] = [Self::Idempotent, Self::NonIdempotent, Self::Stream];
}

/// One request and what its caller got.
#[derive(Debug)]
pub struct Record {
    pub request_id: String,
    pub kind: Kind,
    pub program: Option<String>,
    /// `None` if no head came.
    answer: Option<(StatusCode, HeaderMap)>,
    body: Vec<u8>,
    /// Whether the answer ended as its framing says.
    is_complete: bool,
}

impl Record {
    pub fn is_success(&self) -> bool {
        self.is_complete && self.status().is_some_and(|status| status.is_success())
    }

    fn status(&self) -> Option<StatusCode> {
        self.answer.as_ref().map(|(status, _)| *status)
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.answer.as_ref()?.1.get(name)?.to_str().ok()
    }

    /// Returns whether the status promises that the request has not run and never will.
    pub fn promises_not_run(&self) -> bool {
        self.status().is_some_and(|status| matches!(status.as_u16(), 402 | 408 | 421 | 429 | 503))
    }

    /// Returns whether the caller was told to stay away for longer than any shortage lasts.
    pub fn is_refused_for_content(&self) -> bool {
        let after = self.header("retry-after").and_then(|value| value.parse::<f64>().ok());
        after.is_some_and(|seconds| seconds > 60.0)
    }

    /// Checks that the answer belongs to the request and is what a worker has sent.
    pub fn check_answer(&self) {
        let Some(status) = self.status() else { return };
        let request_id = self.answer.as_ref().and_then(|(_, headers)| client::request_id(headers));
        assert_eq!(request_id, Some(&*self.request_id), "{self:?}");
        let body = String::from_utf8_lossy(&self.body);
        if self.kind == Kind::Stream && status.is_success() {
            let expected = WorkerStandin::complete_stream();
            assert!(expected.starts_with(&*body), "pieces out of order: {self:?}");
            assert!(!self.is_complete || body == expected, "ended early: {self:?}");
        } else if status.is_success() && self.is_complete {
            let headers = self.answer.as_ref().map(|(_, headers)| headers);
            let worker = headers.and_then(client::signing_worker).unwrap_or_default();
            assert_eq!(body, format!("served by {worker}"), "{self:?}");
        }
    }

    /// Returns the tokens that the caller got. The body of an error is no part of a turn.
    pub fn tokens(&self) -> u64 {
        if !self.status().is_some_and(|status| status.is_success()) {
            return 0;
        }
        let events = String::from_utf8_lossy(&self.body).matches("\n\n").count();
        events as u64 * EVENT_TOKENS
    }
}

/// A caller that uses all hosts.
pub struct Caller {
    connections: ConnectionPool,
    site: Rc<Site>,
    random: SmallRng,
    name: String,
    sent: u64,
    turns: u64,
}

impl Caller {
    pub fn new(
        executor: &Rc<LocalExecutor<'static>>,
        site: &Rc<Site>,
        seed: u64,
        number: u64,
    ) -> Self {
        Self {
            connections: ConnectionPool::new(executor.clone(), Duration::from_secs(1)),
            site: site.clone(),
            random: SmallRng::seed_from_u64(seed << 8 | number),
            name: format!("{seed:x}-{number}"),
            sent: 0,
            turns: 0,
        }
    }

    /// Sends requests until the soak is over.
    pub async fn run(mut self, records: Rc<RefCell<Vec<Record>>>, is_over: Rc<Cell<bool>>) {
        while !is_over.get() {
            let kind = Kind::ALL[self.random.random_range(0..Kind::ALL.len())];
            // Some content comes again and again, some only once.
            let content = match self.random.random_bool(0.5) {
                true => format!("content of {}", self.name),
                false => format!("content {} of {}", self.sent, self.name),
            };
            let host = self.random.random_range(0..GATEWAYS);
            let record = self.send(host, kind, &content).await;
            let pause_ms = if record.is_success() { 5 } else { 60 };
            records.borrow_mut().push(record);
            Timer::after(Duration::from_millis(self.random.random_range(0..=pause_ms))).await;
        }
    }

    /// Sends one request and records what comes.
    pub async fn send(&mut self, host: usize, kind: Kind, content: &str) -> Record {
        let mut program = None;
        if kind == Kind::Stream {
            program = Some(format!("{}-{}", self.name, self.turns / TURNS_PER_PROGRAM));
            self.turns += 1;
        }
        self.send_as(host, kind, program, TOKEN_BUDGET, content).await
    }

    /// Sends one turn of a program and records what comes.
    pub async fn send_turn(&mut self, host: usize, program: &str, token_budget: u64) -> Record {
        self.send_as(host, Kind::Stream, Some(program.into()), token_budget, "prompt").await
    }

    async fn send_as(
        &mut self,
        host: usize,
        kind: Kind,
        program: Option<String>,
        token_budget: u64,
        content: &str,
    ) -> Record {
        self.sent += 1;
        let request_id = format!("{}-{}", self.name, self.sent);
        let path = match kind {
            Kind::Idempotent => "/look/x",
            Kind::NonIdempotent => "/do/x",
            Kind::Stream => "/turns/x",
        };
        let turn = program.as_deref().map(|program| TurnHead {
            program,
            token_budget,
            turn_tokens: TURN_TOKENS,
        });
        let request = client::request(path, &request_id, KEY, DEADLINE, turn.as_ref(), content);
        let mut record = Record {
            request_id,
            kind,
            program,
            answer: None,
            body: Vec::new(),
            is_complete: false,
        };
        let exchange = self.exchange(host, request, &mut record);
        // A caller leaves a little after its deadline.
        let left = async {
            Timer::after(DEADLINE + Duration::from_millis(500)).await;
        };
        smol::future::or(exchange, left).await;
        record
    }

    async fn exchange(&self, host: usize, request: Request<Full<Bytes>>, record: &mut Record) {
        let address = self.site.callers_addresses()[host];
        let deadline = Instant::now() + DEADLINE * 2;
        let Ok(sent) = self.connections.send(address, request, deadline).await else { return };
        let (head, mut body) = sent.response.into_parts();
        record.answer = Some((head.status, head.headers));
        loop {
            match body.frame().await {
                None => break,
                Some(Err(_)) => return,
                Some(Ok(frame)) => {
                    record.body.extend_from_slice(frame.data_ref().map_or(&[], |data| data))
                }
            }
        }
        record.is_complete = true;
        self.connections.release(sent.connection);
    }
}
