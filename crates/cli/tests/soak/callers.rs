//! Callers that send requests one after the other and record what they get.

use {
    super::site::{GATEWAYS, KEY, Site, VERSIONS},
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
    trefoilring_standin::fleet::client::{self, EVENT_TOKENS, TurnHead},
};

/// Tokens that all turns of a program may get.
pub const TOKEN_BUDGET: u64 = 600;
/// Maximum of the tokens of one turn.
pub const TURN_TOKENS: u64 = 60;
/// Id of the last event of a complete stream.
const LAST_EVENT: u64 = 6;
/// Number of times that a caller takes up a stream again.
const TAKE_UPS_MAX: usize = 3;
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

/// A stream that broke off.
#[derive(Clone, Debug)]
pub struct BrokenStream {
    /// The request that brought its first event.
    begun_as: String,
    /// Id of the last event that came.
    last_event: u64,
    /// Version of the worker that made its events.
    version: String,
}

/// One request and what its caller got.
#[derive(Debug)]
pub struct Record {
    pub request_id: String,
    pub kind: Kind,
    pub program: Option<String>,
    /// The stream that the request takes up again.
    continues: Option<BrokenStream>,
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
            self.check_events(&body);
        } else if status.is_success() && self.is_complete {
            let headers = self.answer.as_ref().map(|(_, headers)| headers);
            let worker = headers.and_then(client::signing_worker).unwrap_or_default();
            assert_eq!(body, format!("served by {worker}"), "{self:?}");
        }
    }

    fn check_events(&self, body: &str) {
        let events = events(body);
        let before = self.continues.as_ref().map_or(0, |stream| stream.last_event);
        let expected = before + 1..=before + events.len() as u64;
        assert!(events.iter().map(|(id, _)| *id).eq(expected), "pieces out of order: {self:?}");
        let last = events.last().map_or(before, |(id, _)| *id);
        // A worker without an end may have sent more events than the one that the stream goes on at.
        let expected_last = LAST_EVENT.max(before);
        assert!(!self.is_complete || last == expected_last, "ended early: {self:?}");
        let begun_at = self.continues.as_ref().map(|stream| stream.version.as_str());
        let version = begun_at.or(events.first().map(|(_, version)| *version));
        let is_same = events.iter().all(|(_, other)| Some(*other) == version);
        assert!(is_same, "the stream went on at another version than {version:?}: {self:?}");
    }

    /// Returns the stream, if it broke off after an event.
    pub fn broken_stream(&self) -> Option<BrokenStream> {
        let is_broken = self.kind == Kind::Stream
            && !self.is_complete
            && self.status().is_some_and(|status| status.is_success());
        let body = String::from_utf8_lossy(&self.body);
        let events = events(&body);
        match (events.last(), &self.continues) {
            _ if !is_broken => None,
            (Some((id, _)), Some(stream)) => {
                Some(BrokenStream { last_event: *id, ..stream.clone() })
            }
            (None, stream) => stream.clone(),
            (Some((id, version)), None) => Some(BrokenStream {
                begun_as: self.request_id.clone(),
                last_event: *id,
                version: (*version).into(),
            }),
        }
    }

    /// Returns whether the request takes up a stream again.
    pub fn is_take_up(&self) -> bool {
        self.continues.is_some()
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

/// Returns the id and the version of each complete event. A worker that names no version has the
/// first one.
fn events(body: &str) -> Vec<(u64, &str)> {
    let ends = body.rfind("\n\n").map_or(0, |end| end + 2);
    let events = body[..ends].split_terminator("\n\n").map(|event| {
        let (id, data) = event
            .strip_prefix("id: ")
            .and_then(|event| event.split_once('\n'))
            .unwrap_or_else(|| panic!("no event: {event:?}"));
        let version = data.rsplit_once(" of ").map_or(VERSIONS[0], |(_, version)| version);
        (id.parse().expect("a number"), version)
    });
    events.collect()
}

/// A caller that uses all hosts.
pub struct Caller {
    connections: ConnectionPool,
    site: Rc<Site>,
    random: SmallRng,
    name: String,
    sent: u64,
    turns: u64,
    /// Number of events after which the caller loses the connection of a new stream, if it does.
    loses_stream_after: Option<usize>,
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
            loses_stream_after: None,
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
            let lost_after = self.random.random_range(1..LAST_EVENT as usize);
            self.loses_stream_after = self.random.random_bool(0.3).then_some(lost_after);
            let mut record = self.send(host, kind, &content).await;
            self.loses_stream_after = None;
            for _ in 0..TAKE_UPS_MAX {
                let Some(stream) = record.broken_stream() else { break };
                let host = self.random.random_range(0..GATEWAYS);
                let (program, kind) = (record.program.clone(), record.kind);
                let next =
                    self.send_as(host, kind, program, TOKEN_BUDGET, &content, Some(stream)).await;
                records.borrow_mut().push(std::mem::replace(&mut record, next));
            }
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
        self.send_as(host, kind, program, TOKEN_BUDGET, content, None).await
    }

    /// Sends one turn of a program and records what comes.
    pub async fn send_turn(&mut self, host: usize, program: &str, token_budget: u64) -> Record {
        self.send_as(host, Kind::Stream, Some(program.into()), token_budget, "prompt", None).await
    }

    async fn send_as(
        &mut self,
        host: usize,
        kind: Kind,
        program: Option<String>,
        token_budget: u64,
        content: &str,
        continues: Option<BrokenStream>,
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
        let mut request = client::request(path, &request_id, KEY, DEADLINE, turn.as_ref(), content);
        if let Some(stream) = &continues {
            let begun_as = stream.begun_as.parse().expect("a valid header");
            request.headers_mut().insert("resumes", begun_as);
            request.headers_mut().insert("last-event-id", stream.last_event.into());
        }
        let mut record = Record {
            request_id,
            kind,
            program,
            continues,
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
        let head_status = head.status;
        record.answer = Some((head_status, head.headers));
        loop {
            match body.frame().await {
                None => break,
                Some(Err(_)) => return,
                Some(Ok(frame)) => {
                    record.body.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
                    let received = String::from_utf8_lossy(&record.body).matches("\n\n").count();
                    let is_stream = record.kind == Kind::Stream && head_status.is_success();
                    if is_stream && self.loses_stream_after.is_some_and(|after| received >= after) {
                        return;
                    }
                }
            }
        }
        record.is_complete = true;
        self.connections.release(sent.connection);
    }
}
