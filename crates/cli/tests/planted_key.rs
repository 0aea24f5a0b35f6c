//! Guards against leaks of a caller's key. The test plants the key in every place where a caller
//! may put it, and searches all that a host writes and sends: logs at level `trace`, events, the
//! store, error responses and upstream requests. The stand-ins count the requests that contain the
//! planted key.

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

/// Secret of a key whose hash the example declares.
const SECRET: &str = "demo-kaalachakra-malabar-till-1";
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/kaalachakra.toml");

/// Stand-ins of the platform and the upstreams. Each counts the requests that contain the key.
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

/// A running `trefoilring serve`. Dropping it kills the process.
struct Host {
    process: Child,
    stdout: BufReader<ChildStdout>,
    caller_address: String,
    directory: PathBuf,
}

impl Drop for Host {
    fn drop(&mut self) {
        // If the test passes, the process has already exited.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Host {
    fn start(platform: &Platform) -> Self {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("planted-key");
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory).unwrap();
        let mut process = Command::new(env!("CARGO_BIN_EXE_trefoilring"))
            .args(["serve", "--host", "kochi-a-1", "--domain", "kochi-a", "--log-level", "trace"])
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--object-api", &platform.objects.address().to_string()])
            .args(["--host-list", &platform.host_list.address().to_string()])
            .arg("--event-log")
            .arg(directory.join("events.jsonl"))
            .stderr(File::create(directory.join("log.jsonl")).unwrap())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stdout = BufReader::new(process.stdout.take().unwrap());
        let mut line = String::new();
        stdout.read_line(&mut line).unwrap();
        let caller_address = line.split(' ').nth(1).unwrap().to_owned();
        Self { process, stdout, caller_address, directory }
    }

    /// Sends a request with the key and returns the complete response.
    fn request(&self, start_line: &str, headers: &str, body: &str) -> String {
        let mut stream = self.send_request(start_line, headers, body);
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    }

    fn send_request(&self, start_line: &str, headers: &str, body: &str) -> TcpStream {
        let mut stream = TcpStream::connect(&self.caller_address).unwrap();
        let length = body.len();
        let request = format!(
            "{start_line} HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {SECRET}\r\n\
             Connection: close\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\n{headers}\r\n{body}"
        );
        stream.write_all(request.as_bytes()).unwrap();
        stream
    }

    /// Drains the host and returns the content of its standard output, log and event log.
    fn stop(mut self, platform: &Platform) -> Vec<(String, String)> {
        ctl(platform, &["drain", "kochi-a-1", "--yes"]);
        assert!(self.process.wait().unwrap().success());
        let mut rest = String::new();
        self.stdout.read_to_string(&mut rest).unwrap();
        let file =
            |name: &str| (name.into(), fs::read_to_string(self.directory.join(name)).unwrap());
        vec![("stdout".into(), rest), file("log.jsonl"), file("events.jsonl")]
    }
}

/// Runs `trefoilctl` and returns its standard output and standard error.
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
fn a_callers_key_does_not_leak() {
    let platform = Platform::start();
    let host = Host::start(&platform);
    let mut ctl_output = ctl(&platform, &["apply", EXAMPLE, "--wait", "--wait-ms", "60000"]);
    while !host.request("GET /readyz", "", "").starts_with("HTTP/1.1 200") {
        thread::yield_now();
    }

    let created = host.request("POST /v1/programs", "", r#"{"class":"counter"}"#);
    assert!(created.starts_with("HTTP/1.1 201"), "{created}");
    let id = created.split("\"id\":\"").nth(1).unwrap().split('"').next().unwrap().to_owned();
    let program = format!("Trefoil-Program: {id}\r\n");
    let chat = "POST /v1/chat/completions";
    let turn =
        r#"{"model":"appraiser-7b","max_tokens":4,"messages":[{"role":"user","content":"x"}]}"#;
    let headers_with_key = format!(
        "Cookie: key={SECRET}\r\nX-Api-Key: {SECRET}\r\nProxy-Authorization: {SECRET}\r\n\
         User-Agent: {SECRET}\r\nReferer: http://{SECRET}/\r\n"
    );
    let call = format!("/v1/programs/{id}/calls/dealer-desk");
    // These requests succeed. The host does not forward the headers that contain the key.
    let mut responses = vec![
        host.request(chat, &format!("{program}{headers_with_key}"), turn),
        host.request(&format!("POST {call}/deposits"), &headers_with_key, "{}"),
        host.request(&format!("GET {call}/prices"), &headers_with_key, ""),
    ];
    for response in &responses {
        assert!(response.starts_with("HTTP/1.1 20"), "{response}");
    }
    // These requests are refused because the key would reach an upstream or the history.
    let refused = [
        host.request(chat, &program, &turn.replace("\"x\"", &format!("\"{SECRET}\""))),
        host.request(&format!("GET {call}/prices?key={SECRET}"), "", ""),
        host.request(&format!("GET {call}/prices/{SECRET}"), "", ""),
        host.request(&format!("GET {call}/prices"), &format!("Prefer: {SECRET}\r\n"), ""),
        host.request(
            &format!("POST {call}/deposits"),
            &format!("Idempotency-Key: {SECRET}\r\n"),
            "{}",
        ),
        host.request(chat, &format!("Trefoil-Class: {SECRET}\r\n"), turn),
        host.request(chat, &format!("Trefoil-Program: {SECRET}.0123456789abcdef\r\n"), turn),
        host.request(&format!("GET /v1/programs/{SECRET}.0123456789abcdef"), "", ""),
        host.request(chat, &program, &format!("{{\"model\":\"{SECRET}\"")),
        host.request(&format!("GET /{SECRET}"), "", ""),
    ];
    for response in &refused {
        assert!(response.starts_with("HTTP/1.1 4"), "{response}");
    }
    responses.extend(refused);

    // The key is withdrawn during a stream, which ends the stream with an error.
    let long = turn.replace(":4,", ":6000,").replace("{\"model\"", "{\"stream\":true,\"model\"");
    let mut stream = host.send_request(chat, &program, &long);
    let mut first = String::new();
    while !first.contains("data: ") {
        let mut byte = [0];
        let count = stream.read(&mut byte).unwrap();
        assert!(count > 0, "closed after {first}");
        first.push(byte[0].into());
    }
    ctl_output.push_str(&ctl(&platform, &["key", "withdraw", "malabar-till-1", "--yes", "--wait"]));
    let mut rest = String::new();
    stream.read_to_string(&mut rest).unwrap();
    assert!(rest.contains("the key was withdrawn while the request was running"), "{rest}");
    assert!(!rest.contains("[DONE]"), "{rest}");
    let after = host.request("POST /v1/programs", "", "");
    assert!(after.starts_with("HTTP/1.1 401"), "{after}");
    responses.extend([rest, after]);

    let mut outputs = host.stop(&platform);
    outputs.push(("trefoilctl".into(), ctl_output));
    outputs.extend(responses.into_iter().map(|response| ("a response".into(), response)));
    for key in platform.objects.keys("") {
        let value = platform.objects.peek(&key).unwrap().1;
        outputs.push((key, String::from_utf8(value).unwrap()));
    }
    for (source, text) in outputs {
        assert!(!text.contains(SECRET), "{source} contains the key");
    }
    assert_eq!(platform.planted_seen(), [0; 4]);
}
