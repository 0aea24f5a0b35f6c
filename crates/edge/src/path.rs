//! Normalizes the paths of service calls and rejects ambiguous ones.
//!
//! A service's declaration lists by path which calls are repeatable and which are open. An upstream
//! that decodes a path must get the same path that was compared with the declaration, so each path
//! is converted to a canonical form first.

use {
    crate::problem::Problem,
    percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, percent_encode},
};

/// Bytes that are percent-encoded in a segment: all that RFC 3986 does not allow there.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'!')
    .remove(b'$')
    .remove(b'&')
    .remove(b'\'')
    .remove(b'(')
    .remove(b')')
    .remove(b'*')
    .remove(b'+')
    .remove(b',')
    .remove(b';')
    .remove(b'=')
    .remove(b':')
    .remove(b'@');

/// Returns the canonical form of path and query, without a leading slash.
pub(crate) fn canonical(path: &str, query: Option<&str>) -> Result<String, Problem> {
    let last = path.split('/').count() - 1;
    let mut segments = Vec::with_capacity(last + 1);
    for (index, segment) in path.split('/').enumerate() {
        if segment.is_empty() && index != last {
            return Err(refused("an empty segment"));
        }
        segments.push(canonical_segment(segment)?);
    }
    let path = segments.join("/");
    match query {
        Some(query) => Ok(format!("{path}?{}", checked_query(query)?)),
        None => Ok(path),
    }
}

fn canonical_segment(segment: &str) -> Result<String, Problem> {
    check_escapes(segment)?;
    let bytes: Vec<u8> = percent_decode_str(segment).collect();
    if bytes == b"." || bytes == b".." {
        return Err(refused("a dot segment"));
    }
    if bytes.iter().any(|byte| matches!(byte, b'/' | b'\\')) {
        return Err(refused("a slash or backslash within a segment"));
    }
    if bytes.iter().any(u8::is_ascii_control) {
        return Err(refused("a control character"));
    }
    Ok(percent_encode(&bytes, ENCODED).to_string())
}

fn checked_query(query: &str) -> Result<&str, Problem> {
    check_escapes(query)?;
    if percent_decode_str(query).any(|byte| byte.is_ascii_control()) {
        return Err(refused("a control character"));
    }
    Ok(query)
}

/// Rejects a percent sign that is not followed by two hexadecimal digits.
fn check_escapes(text: &str) -> Result<(), Problem> {
    let is_escape =
        |rest: &str| rest.len() >= 2 && rest.as_bytes()[..2].iter().all(u8::is_ascii_hexdigit);
    let mut parts = text.split('%');
    parts.next();
    match parts.all(is_escape) {
        true => Ok(()),
        false => Err(refused("an unfinished percent escape")),
    }
}

fn refused(what: &str) -> Problem {
    Problem::bad_request(format!("the path has {what}"))
}
