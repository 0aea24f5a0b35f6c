//! Selects the headers forwarded between callers and upstreams, and keeps a caller's key from being
//! forwarded.

use {crate::problem::Problem, memchr::memmem};

/// Request headers forwarded to a service. All others are dropped.
const SERVICE_REQUEST_HEADERS: [&str; 14] = [
    "accept",
    "accept-language",
    "cache-control",
    "content-encoding",
    "content-language",
    "content-type",
    "if-match",
    "if-modified-since",
    "if-none-match",
    "if-unmodified-since",
    "prefer",
    "range",
    "traceparent",
    "tracestate",
];

/// Answer headers not forwarded to the caller: they are hop-by-hop, or the edge writes its own.
const WITHHELD_REPLY_HEADERS: [&str; 14] = [
    "connection",
    "content-length",
    "date",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authentication-info",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "trailers",
    "transfer-encoding",
    "upgrade",
    "server",
];

/// Minimum length of a secret that is searched for in a request. Shorter secrets could match
/// unrelated content by chance.
const MIN_CHECKED_SECRET_BYTES: usize = 16;

/// Returns the headers to forward to a service.
pub(crate) fn headers_to_service(headers: &[(String, String)]) -> Vec<(String, String)> {
    let is_forwarded =
        |name: &str| SERVICE_REQUEST_HEADERS.iter().any(|known| name.eq_ignore_ascii_case(known));
    headers.iter().filter(|(name, _)| is_forwarded(name)).cloned().collect()
}

/// Returns the headers to forward to a caller. Drops headers with an invalid name or value.
pub(crate) fn headers_to_caller(headers: Vec<(String, String)>) -> Vec<(String, String)> {
    headers.into_iter().filter(|(name, value)| is_forwarded_to_caller(name, value)).collect()
}

fn is_forwarded_to_caller(name: &str, value: &str) -> bool {
    let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.!#$%&'*+^`|~".contains(&byte);
    let is_printable = |byte: u8| byte == b'\t' || (b' '..=b'~').contains(&byte);
    let has_name = !name.is_empty() && name.bytes().all(is_token);
    let is_not_withheld =
        !WITHHELD_REPLY_HEADERS.iter().any(|known| name.eq_ignore_ascii_case(known));
    has_name && is_not_withheld && value.bytes().all(is_printable)
}

/// Rejects a request that contains its caller's key in a part that an upstream would receive.
pub(crate) fn check_no_key(secret: &str, parts: &[&[u8]]) -> Result<(), Problem> {
    if secret.len() < MIN_CHECKED_SECRET_BYTES {
        return Ok(());
    }
    let finder = memmem::Finder::new(secret);
    match parts.iter().any(|part| finder.find(part).is_some()) {
        true => Err(Problem::bad_request(
            "the key has to come in Authorization only, so that no upstream sees it",
        )),
        false => Ok(()),
    }
}
