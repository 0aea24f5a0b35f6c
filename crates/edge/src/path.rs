//! Paths of service calls: percent-decoding, refusal of tricks, one canonical form.
//!
//! A service's declaration says by path which calls may be repeated and which are open. An
//! upstream that decodes a path must not arrive at another one than the declaration was compared
//! with, so that every path is brought into one form first.

use {
    crate::problem::Problem,
    percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, percent_encode},
};

/// Bytes that are encoded in a segment: all but those that RFC 3986 allows there.
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

/// Brings path and query into the form that is passed on, without a leading slash.
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

/// Refuses a percent sign without two hexadecimal digits after it.
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
