use {
    super::*,
    smol::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
    trefoilring_core::verdict::Verdict,
};

const MAX_BODY_BYTES: usize = 100;
/// Much longer than any call takes, so that no call fails by a timeout.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Marks where an answer is split into two packets. The second one is sent 20 ms after the first,
/// when the client has read that one.
const PAUSE: &[u8] = b"<pause>";

/// Starts a server that answers the first bytes of a request with `answer` and closes the
/// connection. If `answer` is `None`, it keeps the connection open and sends nothing.
async fn raw_server(answer: Option<Vec<u8>>) -> (SocketAddr, smol::Task<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = smol::spawn(async move {
        let mut unanswered = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; 4096];
            stream.read(&mut request).await.ok();
            match &answer {
                Some(answer) => write(&mut stream, answer).await,
                None => unanswered.push(stream),
            }
        }
    });
    (address, task)
}

async fn write(stream: &mut TcpStream, answer: &[u8]) {
    let pause = answer.windows(PAUSE.len()).position(|window| window == PAUSE);
    let Some(at) = pause else {
        return stream.write_all(answer).await.unwrap_or_default();
    };
    stream.set_nodelay(true).unwrap();
    stream.write_all(&answer[..at]).await.unwrap();
    Timer::after(Duration::from_millis(20)).await;
    stream.write_all(&answer[at + PAUSE.len()..]).await.unwrap();
    // Keep the connection open until the client closes it, so that only the content of the answer
    // shows its end.
    stream.read(&mut [0]).await.ok();
}

fn get() -> Exchange {
    Exchange::new("GET", "x", MAX_BODY_BYTES)
}

async fn call(answer: Option<&[u8]>, exchange: Exchange, timeout: Duration) -> String {
    let (address, _server) = raw_server(answer.map(<[u8]>::to_vec)).await;
    let deadline = Instant::now() + timeout;
    match Client::new(address).call(exchange, Reuse::Fresh, deadline).await {
        Ok(answer) => {
            let headers: Vec<_> = answer.headers.iter().map(|(name, _)| &**name).collect();
            let body = String::from_utf8_lossy(&answer.body);
            format!("{} [{}] {body}", answer.status, headers.join(" "))
        }
        Err(error) => format!("{} {}", error.verdict, error.kind),
    }
}

#[test]
fn classifies_complete_and_failed_answers() {
    let long_line = format!("HTTP/1.1 200 OK\r\nx: {}", "y".repeat(1 << 20));
    let many_chunks = format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}0\r\n\r\n",
        "1\r\nx\r\n".repeat(101)
    );
    let cases: [(&str, &str); 21] = [
        ("", "may_have_run broken"),
        ("HTTP/1.1 200 OK\r\ncontent-le", "may_have_run broken"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc", "may_have_run broken"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", "200 [content-type] abc"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "200 [content-type] "),
        ("HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\nabc", "may_have_run malformed"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n", "may_have_run broken"),
        ("HTTP/1.1 200 OK\r\n\r\nabc", "may_have_run malformed"),
        ("HTTP/1.1 204 No Content\r\n\r\n", "204 [] "),
        ("HTTP/1.0 200 OK\r\ncontent-length: 3\r\n\r\nabc", "may_have_run malformed"),
        ("HTTP/1.1 100 Continue\r\n\r\n", "may_have_run malformed"),
        ("HTTP/1.1 299 Odd\r\ncontent-length: 0\r\n\r\n", "may_have_run malformed"),
        ("HTTP/1.1 200 OK\r\nx: \u{fc}\r\ncontent-length: 0\r\n\r\n", "may_have_run malformed"),
        (
            "HTTP/1.1 200 OK\r\ndate: now\r\nset-cookie: a\r\nkeep-alive: 5\r\nupgrade: x\r\n\
             content-length: 0\r\n\r\n",
            "200 [content-type date set-cookie] ",
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            "200 [content-type] abc",
        ),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc", "may_have_run broken"),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
            "may_have_run broken",
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r<pause>\n",
            "200 [content-type] abc",
        ),
        (&many_chunks, "may_have_run too large"),
        (&long_line, "may_have_run too large"),
        ("SSH-2.0-x\r\n\r\n", "may_have_run malformed"),
    ];
    smol::block_on(async {
        for (answer, expected) in cases {
            let seen = call(Some(answer.as_bytes()), get(), CALL_TIMEOUT).await;
            let start: String = answer.chars().take(90).collect();
            assert_eq!(with_sorted_names(&seen), expected, "{start:?}");
        }
    });
}

/// Sorts the header names, whose order is unspecified. The library adds a `content-type` if the
/// answer has none.
fn with_sorted_names(seen: &str) -> String {
    let Some((start, rest)) = seen.split_once('[') else { return seen.into() };
    let Some((names, end)) = rest.split_once(']') else { return seen.into() };
    let mut names: Vec<_> = names.split(' ').collect();
    names.sort_unstable();
    format!("{start}[{}]{end}", names.join(" "))
}

#[test]
fn a_request_that_was_not_written_did_not_run() {
    let line_break = get().header("x", "a\r\nAuthorization: b");
    let cases = [
        (line_break, "not_run invalid request"),
        (get().header("x y", "a"), "not_run invalid request"),
        (get().header("", "a"), "not_run invalid request"),
        (get().header("x", "\u{fc}"), "not_run invalid request"),
        (Exchange::new("NOPE", "x", MAX_BODY_BYTES), "not_run invalid request"),
    ];
    smol::block_on(async {
        for (exchange, expected) in cases {
            assert_eq!(
                call(Some(b""), exchange.clone(), CALL_TIMEOUT).await,
                expected,
                "{exchange:?}"
            );
        }
        let (address, server) = raw_server(None).await;
        server.cancel().await;
        let deadline = Instant::now() + CALL_TIMEOUT;
        let error = Client::new(address).call(get(), Reuse::Fresh, deadline).await.unwrap_err();
        assert_eq!((error.verdict, error.kind), (Verdict::NotRun, ErrorKind::Connect));
    });
}

#[test]
fn a_request_has_no_header_added_by_the_library() {
    let written = smol::block_on(async {
        let request = get().body(b"abc".to_vec()).into_request("127.0.0.1:9".parse().unwrap());
        let mut text = String::new();
        let mut encoder = async_h1::client::Encoder::new(request.unwrap());
        encoder.read_to_string(&mut text).await.unwrap();
        text
    });
    let expected = "GET /x HTTP/1.1\r\nhost: 127.0.0.1:9\r\ncontent-length: 3\r\n\r\nabc";
    assert_eq!(written, expected);
}

#[test]
fn a_silent_upstream_may_have_run_the_request() {
    let timeout = Duration::from_millis(50);
    let seen = smol::block_on(call(None, get(), timeout));
    assert_eq!(seen, "may_have_run timeout");
}

#[test]
fn a_connection_that_the_server_closed_is_not_used_again() {
    smol::block_on(async {
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        let (address, _server) = raw_server(Some(answer.to_vec())).await;
        let client = Client::new(address);
        for _ in 0..20 {
            let deadline = Instant::now() + CALL_TIMEOUT;
            let answer = client.call(get(), Reuse::Pooled, deadline).await.unwrap();
            assert_eq!(answer.status, 200);
            let idle = client.pool.lock().unwrap().first().map(|idle| idle.connection.clone());
            while idle.as_ref().is_some_and(Connection::is_idle) {
                Timer::after(Duration::from_millis(1)).await;
            }
        }
    });
}

#[test]
fn no_key_and_no_hop_by_hop_header_is_forwarded() {
    let headers = [
        ("Authorization", "Bearer key"),
        ("proxy-authorization", "key"),
        ("COOKIE", "key"),
        ("Connection", "close, X-Hop"),
        ("x-hop", "1"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "9"),
        ("Host", "elsewhere"),
        ("Content-Type", "application/json"),
        ("X-Kept", "2"),
    ];
    let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
    let kept = forwardable_headers(&headers);
    let names: Vec<_> = kept.iter().map(|(name, _)| &**name).collect();
    assert_eq!(names, ["Content-Type", "X-Kept"]);
}
