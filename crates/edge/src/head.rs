//! Parses and validates the head of a request: method, target, headers and body framing.
//!
//! The head is validated before the HTTP library parses it. The library panics on header values
//! outside ASCII, resolves `..` in paths before they can be rejected, and uses the last of several
//! `Content-Length` headers.

use {
    crate::{options::MAX_HEADERS, problem::Problem},
    http_types::{Method, StatusCode},
    std::str::FromStr,
    trefoilring_core::verdict::Reason,
};

/// Byte sequence that ends a head.
pub(crate) const HEAD_TERMINATOR: &[u8] = b"\r\n\r\n";

/// An unparsed head, up to and including the empty line, and the limit to apply to it.
pub(crate) struct RawHead<'a> {
    pub bytes: &'a [u8],
    pub max_headers: usize,
}

/// A validated head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Head {
    pub method: Method,
    /// Path and query as sent. Invariant: visible ASCII, starts with `/`, contains no `#`.
    pub target: String,
    /// Headers as sent. Invariant: names are tokens, values are printable ASCII.
    pub headers: Vec<(String, String)>,
    pub framing: Framing,
}

/// How the end of the body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    None,
    Length(u64),
    Chunked,
}

impl Head {
    /// Returns all values of a header. The name is compared without regard to case.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let headers = self.headers.iter();
        headers.filter(move |(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn values_as_bytes<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.values(name).map(str::as_bytes)
    }

    /// Returns the value of a header, or an error if the header occurs more than once.
    pub fn single<'a>(&'a self, name: &'a str) -> Result<Option<&'a str>, Problem> {
        let mut values = self.values(name);
        let first = values.next();
        match values.next() {
            None => Ok(first),
            Some(_) => Err(Problem::bad_request(format!("the header {name} came more than once"))),
        }
    }

    /// Returns whether the caller requested that the connection closes after the answer.
    pub fn requests_close(&self) -> bool {
        let mut tokens = self.values("connection").flat_map(|value| value.split(','));
        tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
    }

    /// Returns whether the caller waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.values("expect").any(|value| value.eq_ignore_ascii_case("100-continue"))
    }

    /// Returns a minimal head with only the framing header, from which the HTTP library decodes the
    /// body.
    pub fn body_head(&self) -> String {
        let framing = match self.framing {
            Framing::None => String::new(),
            Framing::Length(bytes) => format!("content-length: {bytes}\r\n"),
            Framing::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
        };
        format!("POST / HTTP/1.1\r\nhost: caller\r\n{framing}\r\n")
    }
}

impl TryFrom<RawHead<'_>> for Head {
    type Error = Problem;

    fn try_from(raw: RawHead<'_>) -> Result<Self, Problem> {
        let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut slots);
        match request.parse(raw.bytes) {
            Ok(status) if status.is_complete() => {}
            Ok(_) => return Err(Problem::bad_request("the head ends too early")),
            Err(httparse::Error::TooManyHeaders) => return Err(too_many_headers(raw.max_headers)),
            Err(error) => return Err(Problem::bad_request(format!("malformed head: {error}"))),
        }
        if request.headers.len() > raw.max_headers {
            return Err(too_many_headers(raw.max_headers));
        }
        if request.version != Some(1) {
            let problem = Problem::bad_request("only HTTP/1.1 is served");
            return Err(problem.with_status(StatusCode::HttpVersionNotSupported));
        }
        let headers = request.headers.iter().map(parse_header).collect::<Result<Vec<_>, _>>()?;
        let mut head = Self {
            method: parse_method(request.method.unwrap_or_default())?,
            target: parse_target(request.path.unwrap_or_default())?,
            headers,
            framing: Framing::None,
        };
        head.framing = parse_framing(&head)?;
        require_host(&head)?;
        Ok(head)
    }
}

fn too_many_headers(max_headers: usize) -> Problem {
    let detail = format!("more than {max_headers} headers");
    Problem::not_run(Reason::TooLarge, detail).with_status(StatusCode::RequestHeaderFieldsTooLarge)
}

fn parse_header(raw: &httparse::Header<'_>) -> Result<(String, String), Problem> {
    let is_printable = |byte: &u8| *byte == b'\t' || (b' '..=b'~').contains(byte);
    let value =
        str::from_utf8(raw.value).ok().filter(|value| value.bytes().all(|b| is_printable(&b)));
    match value {
        Some(value) => Ok((raw.name.to_owned(), value.trim().to_owned())),
        None => {
            let detail = format!("the header {} has bytes outside printable ASCII", raw.name);
            Err(Problem::bad_request(detail))
        }
    }
}

fn parse_method(raw: &str) -> Result<Method, Problem> {
    Method::from_str(raw)
        .map_err(|_| Problem::bad_request("unknown method").with_status(StatusCode::NotImplemented))
}

/// Validates a request target. Reduces the absolute form to path and query.
fn parse_target(raw: &str) -> Result<String, Problem> {
    let rest = raw.strip_prefix("http://").or_else(|| raw.strip_prefix("https://"));
    let target = match rest {
        Some(rest) => rest.find('/').map_or("/", |slash| &rest[slash..]),
        None => raw,
    };
    let is_visible = target.bytes().all(|byte| (b'!'..=b'~').contains(&byte) && byte != b'#');
    if target.starts_with('/') && is_visible {
        return Ok(target.to_owned());
    }
    Err(Problem::bad_request("the target has to be a path of visible ASCII without a fragment"))
}

fn parse_framing(head: &Head) -> Result<Framing, Problem> {
    let length = head.single("content-length")?;
    let encoding = head.single("transfer-encoding")?;
    match (length, encoding) {
        (None, None) => Ok(Framing::None),
        (Some(length), None) => parse_content_length(length),
        (None, Some(encoding)) if encoding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (None, Some(_)) => {
            let problem = Problem::bad_request("the only transfer encoding taken is chunked");
            Err(problem.with_status(StatusCode::NotImplemented))
        }
        (Some(_), Some(_)) => {
            Err(Problem::bad_request("Content-Length and Transfer-Encoding exclude each other"))
        }
    }
}

fn parse_content_length(value: &str) -> Result<Framing, Problem> {
    let is_digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    match value.parse() {
        Ok(bytes) if is_digits => Ok(Framing::Length(bytes)),
        _ => Err(Problem::bad_request("Content-Length has to be a whole number")),
    }
}

fn require_host(head: &Head) -> Result<(), Problem> {
    match head.single("host")? {
        Some(_) => Ok(()),
        None => Err(Problem::bad_request("the header Host is missing")),
    }
}
