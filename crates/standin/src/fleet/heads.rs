//! Heads of requests and answers as text, for tests that write them to a socket themselves.

/// Returns the head of a caller's request, without its framing headers and its last empty line.
pub fn request_head(
    method: &str,
    path: &str,
    host: &str,
    request_id: &str,
    timeout_ms: u64,
    key: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nTrefoilring-Request-Id: {request_id}\r\n\
         Trefoilring-Deadline-Ms: {timeout_ms}\r\nAuthorization: Token {key}\r\n"
    )
}

/// Returns the headers that make a request a turn of a program of one session.
pub fn turn_headers(
    program: &str,
    token_budget: u64,
    prompt_tokens: u64,
    output_tokens_max: u64,
) -> String {
    format!(
        "Trefoilring-Program-Id: {program}\r\nTrefoilring-Session-Id: {program}\r\n\
         Trefoilring-Token-Budget: {token_budget}\r\n\
         Trefoilring-Token-Usage: {prompt_tokens},{output_tokens_max}\r\n"
    )
}

/// Returns the head of a worker's answer to this request, without its framing headers and its last empty
/// line.
pub fn answer_head(request: &[u8], signature: &str) -> String {
    let request = String::from_utf8_lossy(request);
    let id = request.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("trefoilring-request-id").then(|| value.trim())
    });
    format!(
        "HTTP/1.1 200 OK\r\nTrefoilring-Request-Id: {}\r\n\
         Trefoilring-Server-Stamp: {signature}\r\n",
        id.unwrap_or_default()
    )
}
