//! Determines which headers are forwarded between callers and upstreams.

use crate::error::{CallError, ErrorKind};

/// Headers that are never forwarded: those with the caller's credentials and hop-by-hop headers.
/// `Content-Length` and `Host` are generated for each request.
const FORBIDDEN: [&str; 15] = [
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "http2-settings",
];

/// Returns whether a header is never forwarded, in either direction.
pub fn is_forbidden_header(name: &str) -> bool {
    FORBIDDEN.iter().any(|forbidden| name.eq_ignore_ascii_case(forbidden))
}

/// Returns the headers that may be forwarded. Also drops headers that are listed in `Connection`.
pub(crate) fn forwardable_headers(headers: &[(String, String)]) -> Vec<(String, String)> {
    let is_connection = |name: &str| name.eq_ignore_ascii_case("connection");
    let named: Vec<&str> = headers
        .iter()
        .filter(|(name, _)| is_connection(name))
        .flat_map(|(_, value)| value.split(','))
        .map(str::trim)
        .collect();
    let is_named = |name: &str| named.iter().any(|other| other.eq_ignore_ascii_case(name));
    let is_forwardable = |name: &str| !is_forbidden_header(name) && !is_named(name);
    headers.iter().filter(|(name, _)| is_forwardable(name)).cloned().collect()
}

/// Rejects a header that would break the framing of the request, or that the library can't
/// represent.
pub(crate) fn check_header(name: &str, value: &str) -> Result<(), CallError> {
    let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    if name.is_empty() || !name.bytes().all(is_token) {
        let detail = format!("{:?} is not a header name", name.escape_default().to_string());
        return Err(CallError::not_run(ErrorKind::Invalid, detail));
    }
    if !value.bytes().all(is_header_value_byte) {
        let detail =
            format!("the value of header {name} has other than printable ASCII characters");
        return Err(CallError::not_run(ErrorKind::Invalid, detail));
    }
    Ok(())
}

/// Returns whether a byte is allowed in a header value.
pub(crate) fn is_header_value_byte(byte: u8) -> bool {
    byte == b'\t' || (b' '..=b'~').contains(&byte)
}
