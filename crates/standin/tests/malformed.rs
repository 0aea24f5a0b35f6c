//! Malformed and oversized requests are refused without effect, and the stand-in continues to
//! serve.

use {
    smol::block_on,
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpStream},
        time::Duration,
    },
    trefoilring_clients::ObjectApi,
    trefoilring_standin::{engine, objects, tool},
};

/// Sends bytes, shuts down the sending side, and returns the status of the response, or 0 if there
/// is none.
fn status(address: SocketAddr, request: &[u8]) -> u16 {
    let mut stream = TcpStream::connect(address).unwrap();
    // The stand-in may close the connection before it has read all bytes.
    stream.write_all(request).ok();
    stream.shutdown(Shutdown::Write).ok();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok();
    let text = String::from_utf8_lossy(&answer);
    text.split(' ').nth(1).map_or(0, |status| status.parse().unwrap())
}

fn request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

#[test]
fn malformed_requests_do_not_change_objects() {
    let objects = objects::start(objects::Options::default()).unwrap();
    let put = |headers: &str, body: &str| request("PUT", "/v1/objects/k", headers, body);
    let version = "if-version: 0\r\n";
    let cases: Vec<(&str, Vec<u8>, u16)> = vec![
        ("nothing", Vec::new(), 0),
        ("garbage", b"\x00\xff\r\n\r\n".to_vec(), 0),
        ("no host", b"PUT /v1/objects/k HTTP/1.1\r\nif-version: 0\r\n\r\n".to_vec(), 0),
        ("old protocol", b"PUT /v1/objects/k HTTP/1.0\r\nif-version: 0\r\n\r\n".to_vec(), 0),
        ("unknown method", request("NOPE", "/v1/objects/k", version, ""), 0),
        ("other method", request("POST", "/v1/objects/k", version, "v"), 404),
        ("two lengths", put("if-version: 0\r\ntransfer-encoding: chunked\r\n", "v"), 0),
        ("not ASCII", put("if-version: 0\r\nx: \u{fc}\r\n", "v"), 0),
        ("long head", put(&format!("{version}x: {}\r\n", "y".repeat(9000)), "v"), 0),
        ("no version", put("", "v"), 400),
        ("odd version", put("if-version: one\r\n", "v"), 400),
        ("negative version", put("if-version: -1\r\n", "v"), 400),
        ("no key", request("PUT", "/v1/objects/", version, "v"), 400),
        ("key that is no text", request("PUT", "/v1/objects/%FF", version, "v"), 400),
        ("cut escape", request("PUT", "/v1/objects/%2", version, "v"), 400),
        ("too large", put(version, &"v".repeat(1024 * 1024 + 1)), 413),
        (
            "cut body",
            b"PUT /v1/objects/k HTTP/1.1\r\nhost: x\r\nif-version: 0\r\ncontent-length: 9\r\n\r\nv"
                .to_vec(),
            400,
        ),
        (
            "cut chunks",
            b"PUT /v1/objects/k HTTP/1.1\r\nhost: x\r\nif-version: 0\r\n\
              transfer-encoding: chunked\r\n\r\n5\r\nv"
                .to_vec(),
            400,
        ),
        ("odd limit", request("GET", "/v1/list?limit=x", "", ""), 400),
        ("odd wait", request("GET", "/v1/watch?wait_ms=-1", "", ""), 400),
        ("unknown switch", request("POST", "/standin/nothing", "", "{}"), 404),
    ];
    for (name, bytes, expected) in cases {
        assert_eq!(status(objects.address(), &bytes), expected, "{name}");
        assert_eq!(objects.keys(""), Vec::<String>::new(), "{name}");
    }
    let client = ObjectApi::new(objects.address(), Duration::from_secs(60));
    assert!(block_on(client.put("k", 0, b"v".to_vec())).is_ok());
}

#[test]
fn the_engine_refuses_malformed_turns() {
    let engine = engine::start(engine::Options::default()).unwrap();
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let message = r#"[{"role":"user","content":"x"}]"#;
    let cases = [
        ("nothing", String::new()),
        ("no JSON", "{".into()),
        ("no model", format!(r#"{{"messages":{message}}}"#)),
        ("no messages", r#"{"model":"m"}"#.into()),
        ("no message", r#"{"model":"m","messages":[]}"#.into()),
        ("odd message", r#"{"model":"m","messages":["x"]}"#.into()),
        ("no tokens", format!(r#"{{"model":"m","messages":{message},"max_tokens":0}}"#)),
        ("negative tokens", format!(r#"{{"model":"m","messages":{message},"max_tokens":-1}}"#)),
        ("many tokens", format!(r#"{{"model":"m","messages":{message},"max_tokens":16385}}"#)),
        ("deep", format!(r#"{{"model":"m","messages":{deep}}}"#)),
    ];
    for (name, body) in cases {
        let bytes = request("POST", "/v1/chat/completions", "", &body);
        assert_eq!(status(engine.address(), &bytes), 400, "{name}");
    }
    let paths = ["/v1/cache/release", "/v1/cache/export", "/v1/cache/import", "/v1/models"];
    for path in paths {
        assert_eq!(status(engine.address(), &request("POST", path, "", "{}")), 400, "{path}");
    }
    let block = r#"{"blocks":[{"hash":"zz","tokens":1}]}"#;
    let import = request("POST", "/v1/cache/import?program=j.a", "", block);
    assert_eq!(status(engine.address(), &import), 400);
    let stats = engine.stats();
    assert_eq!((stats.steps, engine.programs()), (0, Vec::new()));
}

#[test]
fn a_tool_does_not_count_a_truncated_request() {
    let tool = tool::start(tool::Options::default()).unwrap();
    let mut cut = request("POST", "/book", "", "0123456789");
    cut.truncate(cut.len() - 1);
    assert_eq!(status(tool.address(), &cut), 400);
    let odd = request("POST", "/book", "fencing-epoch: x\r\n", "0123456789");
    assert_eq!(status(tool.address(), &odd), 400);
    assert_eq!(tool.runs().total, 0);
    assert_eq!(status(tool.address(), &request("POST", "/book", "", "0123456789")), 201);
    assert_eq!(tool.runs().total, 1);
}
