//! A key that is planted in every place a caller may put it, searched for in all that a host
//! writes and sends: logs at their finest level, events, the store, errors, upstream requests.

use {
    std::{
        fs::{self, File},
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpStream},
        path::{Path, PathBuf},
        process::{Child, ChildStdout, Command, Stdio},
        thread,
    },
    trefoilring_clients::UpstreamRecord,
    trefoilring_standin::{
        Faults, RunningStandin, ServerOptions,
        engine::{self, EngineStandin},
        hosts::{self, HostListStandin},
        objects::{self, ObjectsStandin},
        tool::{self, ToolStandin},
    },
};

/// Declared in the example for trials, with its hash.
const SECRET: &str = "demo-kaalachakra-malabar-till-1";
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/kaalachakra.toml");

/// The platform, each part of which counts requests that hold the key.
struct Platform {
    objects: RunningStandin<ObjectsStandin>,
    host_list: RunningStandin<HostListStandin>,
    engine: RunningStandin<EngineStandin>,
    tool: RunningStandin<ToolStandin>,
}

fn server() -> ServerOptions {
    let faults = Faults { planted: SECRET.into(), ..Faults::default() };
    ServerOptions { faults, ..ServerOptions::default() }
}

fn upstream(name: &str, service: &str, address: SocketAddr, models: &[&str]) -> UpstreamRecord {
    UpstreamRecord {
        upstream: name.into(),
        service: service.into(),
        address,
        domain: "kochi-a".into(),
        is_leaving: false,
        models: models.iter().map(|model| (*model).to_owned()).collect(),
    }
}

impl Platform {
    fn start() -> Self {
        let engine = engine::Options { server: server(), time_scale: 10.0, ..Default::default() };
        let engine = engine::start(engine).unwrap();
        let tool = tool::start(tool::Options { server: server(), ..Default::default() }).unwrap();
        let upstreams = vec![
            upstream("engine-1", "appraiser-llm", engine.address(), &["appraiser-7b"]),
            upstream("desk-1", "dealer-desk", tool.address(), &[]),
        ];
        let host_list = hosts::start(hosts::Options { server: server(), upstreams }).unwrap();
        let objects = objects::Options { server: server(), ..Default::default() };
        Self { objects: objects::start(objects).unwrap(), host_list, engine, tool }
    }

    fn planted_seen(&self) -> [u64; 4] {
        [
            self.objects.control().planted_seen(),
            self.host_list.control().planted_seen(),
            self.engine.control().planted_seen(),
            self.tool.control().planted_seen(),
        ]
    }
}

/// A running `trefoilring serve`. Killed if the test ends early.
struct Host {
    process: Child,
    stdout: BufReader<ChildStdout>,
    callers: String,
    folder: PathBuf,
}

impl Drop for Host {
    fn drop(&mut self) {
        // It has ended by itself if all went well.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Host {
    fn start(platform: &Platform) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("planted-key");
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let mut process = Command::new(env!("CARGO_BIN_EXE_trefoilring"))
            .args(["serve", "--host", "kochi-a-1", "--domain", "kochi-a", "--log-level", "trace"])
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--object-api", &platform.objects.address().to_string()])
            .args(["--host-list", &platform.host_list.address().to_string()])
            .arg("--event-log")
            .arg(folder.join("events.jsonl"))
            .stderr(File::create(folder.join("log.jsonl")).unwrap())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stdout = BufReader::new(process.stdout.take().unwrap());
        let mut line = String::new();
        stdout.read_line(&mut line).unwrap();
        let callers = line.split(' ').nth(1).unwrap().to_owned();
        Self { process, stdout, callers, folder }
    }

    /// Sends a request with the key and returns the whole answer.
    fn ask(&self, line: &str, headers: &str, body: &str) -> String {
        let mut stream = self.begin(line, headers, body);
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    fn begin(&self, line: &str, headers: &str, body: &str) -> TcpStream {
        let mut stream = TcpStream::connect(&self.callers).unwrap();
        let length = body.len();
        let request = format!(
            "{line} HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {SECRET}\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
        );
        stream.write_all(request.as_bytes()).unwrap();
        stream
    }

    /// Stops as planned and returns all that was written.
    fn stop(mut self, platform: &Platform) -> Vec<(String, String)> {
        ctl(platform, &["drain", "kochi-a-1", "--yes"]);
        assert!(self.process.wait().unwrap().success());
        let mut rest = String::new();
        self.stdout.read_to_string(&mut rest).unwrap();
        let file = |name: &str| (name.into(), fs::read_to_string(self.folder.join(name)).unwrap());
        vec![("stdout".into(), rest), file("log.jsonl"), file("events.jsonl")]
    }
}

/// Runs `trefoilctl` and returns what it printed.
fn ctl(platform: &Platform, arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_trefoilctl"))
        .args(arguments)
        .env("TREFOILRING_OBJECT_API", platform.objects.address().to_string())
        .stdin(Stdio::null())
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].map(|text| String::from_utf8(text).unwrap()).concat();
    assert!(output.status.success(), "{arguments:?}: {text}");
    text
}

#[test]
fn a_callers_key_is_written_and_sent_nowhere() {
    let platform = Platform::start();
    let host = Host::start(&platform);
    let mut printed = ctl(&platform, &["apply", EXAMPLE, "--wait", "--wait-ms", "60000"]);
    while !host.ask("GET /readyz", "", "").starts_with("HTTP/1.1 200") {
        thread::yield_now();
    }

    let created = host.ask("POST /v1/programs", "", r#"{"class":"counter"}"#);
    assert!(created.starts_with("HTTP/1.1 201"), "{created}");
    let id = created.split("\"id\":\"").nth(1).unwrap().split('"').next().unwrap().to_owned();
    let program = format!("Trefoil-Program: {id}\r\n");
    let chat = "POST /v1/chat/completions";
    let turn =
        r#"{"model":"appraiser-7b","max_tokens":4,"messages":[{"role":"user","content":"x"}]}"#;
    let carriers = format!(
        "Cookie: key={SECRET}\r\nX-Api-Key: {SECRET}\r\nProxy-Authorization: {SECRET}\r\n\
         User-Agent: {SECRET}\r\nReferer: http://{SECRET}/\r\n"
    );
    let call = format!("/v1/programs/{id}/calls/dealer-desk");
    // These run, with the key in headers that stay here.
    let mut answers = vec![
        host.ask(chat, &format!("{program}{carriers}"), turn),
        host.ask(&format!("POST {call}/deposits"), &carriers, "{}"),
        host.ask(&format!("GET {call}/prices"), &carriers, ""),
    ];
    for answer in &answers {
        assert!(answer.starts_with("HTTP/1.1 20"), "{answer}");
    }
    // These are refused, since an upstream, or the history, would get the key.
    let refused = [
        host.ask(chat, &program, &turn.replace("\"x\"", &format!("\"{SECRET}\""))),
        host.ask(&format!("GET {call}/prices?key={SECRET}"), "", ""),
        host.ask(&format!("GET {call}/prices/{SECRET}"), "", ""),
        host.ask(&format!("GET {call}/prices"), &format!("Prefer: {SECRET}\r\n"), ""),
        host.ask(&format!("POST {call}/deposits"), &format!("Idempotency-Key: {SECRET}\r\n"), "{}"),
        host.ask(chat, &format!("Trefoil-Class: {SECRET}\r\n"), turn),
        host.ask(chat, &format!("Trefoil-Program: {SECRET}.0123456789abcdef\r\n"), turn),
        host.ask(&format!("GET /v1/programs/{SECRET}.0123456789abcdef"), "", ""),
        host.ask(chat, &program, &format!("{{\"model\":\"{SECRET}\"")),
        host.ask(&format!("GET /{SECRET}"), "", ""),
    ];
    for answer in &refused {
        assert!(answer.starts_with("HTTP/1.1 4"), "{answer}");
    }
    answers.extend(refused);

    // A stream that outlasts the withdrawal of its key.
    let long = turn.replace(":4,", ":6000,").replace("{\"model\"", "{\"stream\":true,\"model\"");
    let mut stream = host.begin(chat, &program, &long);
    let mut first = String::new();
    while !first.contains("data: ") {
        let mut byte = [0];
        let count = stream.read(&mut byte).unwrap();
        assert!(count > 0, "closed after {first}");
        first.push(byte[0].into());
    }
    printed.push_str(&ctl(&platform, &["key", "withdraw", "malabar-till-1", "--yes", "--wait"]));
    let mut rest = String::new();
    stream.read_to_string(&mut rest).unwrap();
    assert!(rest.contains("the key was withdrawn while the request was running"), "{rest}");
    assert!(!rest.contains("[DONE]"), "{rest}");
    let after = host.ask("POST /v1/programs", "", "");
    assert!(after.starts_with("HTTP/1.1 401"), "{after}");
    answers.extend([rest, after]);

    let mut written = host.stop(&platform);
    written.push(("trefoilctl".into(), printed));
    written.extend(answers.into_iter().map(|answer| ("an answer".into(), answer)));
    for key in platform.objects.keys("") {
        let value = platform.objects.peek(&key).unwrap().1;
        written.push((key, String::from_utf8(value).unwrap()));
    }
    for (place, text) in written {
        assert!(!text.contains(SECRET), "{place} has the key");
    }
    assert_eq!(platform.planted_seen(), [0; 4]);
}
