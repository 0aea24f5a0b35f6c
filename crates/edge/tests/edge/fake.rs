//! A fake backend that records its requests and returns answers supplied by the test, and a raw
//! HTTP client.

use {
    smol::{
        Executor,
        channel::{Receiver, Sender, unbounded},
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    std::{
        future::Future,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
    trefoilring_core::{
        call::{Call, Caller, Chunk, CreateProgram, ProgramInfo, ProgramQuery, ServiceCall},
        catalog::Budget,
        ids::{ClassId, ProgramId},
        message::Message,
        verdict::{Reason, Refusal},
    },
    trefoilring_edge::{Answer, Backend, Edge, EdgeOptions, Readiness, Stopper, stop_signal},
};

pub const SECRET: &str = "demo-secret-of-a-test-0001";
pub const PROGRAM: &str = "fake-1.0123456789abcdef";

/// The sending half of an answer, through which a test supplies the chunks.
pub type AnswerSender = Sender<Result<Chunk, Refusal>>;

/// A request that the backend received.
#[derive(Debug)]
pub enum BackendRequest {
    Create(CreateProgram),
    Query(ProgramId, ProgramQuery),
    Call(Box<Call>, AnswerSender),
    Open(ServiceCall, AnswerSender),
}

#[derive(Clone)]
pub struct FakeBackend {
    backend_requests: Sender<BackendRequest>,
    /// Closed when the key is withdrawn.
    withdrawal: Receiver<()>,
    /// If set, the next creation of a program is refused with it.
    pub refusal: Arc<Mutex<Option<Refusal>>>,
}

impl Backend for FakeBackend {
    fn authenticate(&self, secret: &str) -> Result<Caller, Refusal> {
        match secret {
            SECRET => Ok(Caller { team: "team-a".into(), key: "key-a".into() }),
            _ => Err(Refusal::not_run(Reason::Unauthorized, "the key is not known")),
        }
    }

    fn default_class(&self, _caller: &Caller) -> Result<ClassId, Refusal> {
        Ok("counter".into())
    }

    fn class_budget(&self, class: &ClassId) -> Option<Budget> {
        (&**class == "counter").then_some(Budget { turns: 9, tokens: 900, wall_ms: 9000 })
    }

    async fn key_withdrawn(&self, _caller: &Caller) {
        let _ = self.withdrawal.recv().await;
    }

    fn is_open_route(&self, service: &str, method: &str, path: &str) -> bool {
        service == "shop" && method == "GET" && path.starts_with("hours")
    }

    async fn create(&self, caller: Caller, request: CreateProgram) -> Result<ProgramInfo, Refusal> {
        if let Some(refusal) = self.refusal.lock().unwrap().take() {
            return Err(refusal);
        }
        let info = info(&caller, request.parent.clone());
        self.backend_requests.try_send(BackendRequest::Create(request)).unwrap();
        Ok(info)
    }

    async fn query(
        &self,
        caller: Caller,
        program: ProgramId,
        query: ProgramQuery,
    ) -> Result<(ProgramInfo, Vec<Message>), Refusal> {
        self.backend_requests.try_send(BackendRequest::Query(program, query)).unwrap();
        Ok((info(&caller, None), vec![Message::text("user", "hello")]))
    }

    async fn call(&self, call: Call) -> Result<Answer, Refusal> {
        let (sender, answer) = unbounded();
        self.backend_requests.try_send(BackendRequest::Call(Box::new(call), sender)).unwrap();
        Ok(answer)
    }

    async fn open_call(&self, call: ServiceCall) -> Result<Answer, Refusal> {
        let (sender, answer) = unbounded();
        self.backend_requests.try_send(BackendRequest::Open(call, sender)).unwrap();
        Ok(answer)
    }

    fn readiness(&self) -> Readiness {
        Readiness { is_ready: false, detail: "no roster yet".into() }
    }

    fn metrics(&self) -> String {
        "trefoilring.requests:1|c\n".into()
    }
}

fn info(caller: &Caller, parent: Option<ProgramId>) -> ProgramInfo {
    ProgramInfo {
        program: PROGRAM.into(),
        parent,
        class: "counter".into(),
        team: caller.team.clone(),
        ended: None,
        budget: Budget { turns: 3, tokens: 1000, wall_ms: 60_000 },
        turns: 1,
        tokens: 12,
        age: Duration::from_millis(250),
        history_messages: 1,
    }
}

/// A running interface with a fake backend.
pub struct Server {
    pub address: SocketAddr,
    pub backend_requests: Receiver<BackendRequest>,
    pub fake: FakeBackend,
    pub stopper: Stopper,
    /// Receives a value when the interface has stopped.
    pub stopped: Receiver<()>,
    /// Drop or close it to withdraw the key.
    pub withdraw: Sender<()>,
}

/// Starts an interface with these options and runs a test against it.
pub fn with_server<F: Future<Output = ()>>(options: EdgeOptions, test: impl FnOnce(Server) -> F) {
    let executor = Arc::new(Executor::new());
    let (alive, ended) = unbounded::<()>();
    let thread = {
        let executor = Arc::clone(&executor);
        thread::spawn(move || smol::block_on(executor.run(async { ended.recv().await })))
    };
    smol::block_on(async {
        let server = start(options, executor).await;
        test(server).await;
    });
    drop(alive);
    // The thread ends when `alive` is dropped; it returns the error of the closed channel.
    assert!(thread.join().unwrap().is_err());
}

async fn start(options: EdgeOptions, executor: Arc<Executor<'static>>) -> Server {
    let (request_sender, backend_requests) = unbounded();
    let (withdraw, withdrawal) = unbounded();
    let refusal = Arc::new(Mutex::new(None));
    let fake = FakeBackend { backend_requests: request_sender, withdrawal, refusal };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stopper, stop) = stop_signal();
    let edge = Edge::new(options, fake.clone(), Arc::clone(&executor));
    let (done, stopped) = unbounded();
    executor
        .spawn(async move {
            edge.listen(listener, stop).await;
            done.try_send(()).unwrap();
        })
        .detach();
    Server { address, backend_requests, fake, stopper, stopped, withdraw }
}

impl Server {
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Sends raw bytes on a new connection and returns everything received until it closes.
    pub async fn exchange(&self, request: &[u8]) -> String {
        let mut stream = self.connect().await;
        stream.write_all(request).await.unwrap();
        read_all(&mut stream).await
    }

    /// Waits for the next backend request, which must be a call.
    pub async fn next_call(&self) -> (Call, AnswerSender) {
        match self.backend_requests.recv().await.unwrap() {
            BackendRequest::Call(call, sender) => (*call, sender),
            other => panic!("{other:?} is no call"),
        }
    }
}

/// Reads until the connection closes.
pub async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset after the answer counts as a close.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8(bytes).unwrap()
}

/// Reads until the received text ends with `end`.
pub async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(end.as_bytes()) {
        let mut byte = [0];
        let count = stream.read(&mut byte).await.unwrap();
        assert!(count > 0, "closed after {:?}", String::from_utf8_lossy(&bytes));
        bytes.push(byte[0]);
    }
    String::from_utf8(bytes).unwrap()
}

/// Builds a request with a valid key, a body and `Connection: close`.
pub fn request(line: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let text = format!(
        "{line} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer {SECRET}\r\nConnection: close\r\n\
         Content-Length: {length}\r\n{headers}\r\n{body}"
    );
    text.into_bytes()
}

/// Returns status line, headers and body of an answer, without the headers whose values differ
/// between runs, and without `Content-Length`.
pub fn summary(answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let is_stable = |line: &&str| {
        let name = line.split(':').next().unwrap().to_ascii_lowercase();
        !["date", "trefoil-request", "trefoil-step", "content-length"].contains(&name.as_str())
    };
    let head: Vec<_> = head.lines().filter(is_stable).collect();
    format!("{}\n\n{body}", head.join("\n"))
}

pub fn head(status: u16, content_type: &str) -> Result<Chunk, Refusal> {
    let headers = vec![
        ("content-type".to_owned(), content_type.to_owned()),
        ("connection".to_owned(), "x-secret-hop".to_owned()),
        ("x-injected".to_owned(), "a\r\nset-cookie: b".to_owned()),
    ];
    Ok(Chunk::Head { status, headers })
}

pub fn event(json: &str) -> Result<Chunk, Refusal> {
    Ok(Chunk::Event(json.to_owned()))
}
