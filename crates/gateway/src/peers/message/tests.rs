use super::*;

fn decode(text: &str) -> Result<PeerRequest, DecodeError> {
    decode_request(text.as_bytes())
}

#[test]
fn unknown_fields_of_a_later_build_are_ignored() {
    let request = decode(r#"{"lend":{"team":"malabar","tokens":2.5,"since":"later"}}"#);
    assert!(matches!(request, Ok(PeerRequest::Lend { tokens, .. }) if tokens == 2.5));
}

#[test]
fn unknown_kinds_are_not_malformed() {
    for (text, expected) in [
        (r#""later""#, "later"),
        (r#"{"later":{"field":1}}"#, "later"),
        (r#"{"lend":{"team":"malabar"}}"#, "lend"),
    ] {
        match decode(text) {
            Err(DecodeError::Unsupported { kind, .. }) => assert_eq!(kind, expected),
            other => panic!("{text}: {other:?}"),
        }
    }
}

#[test]
fn bytes_that_are_no_request_are_malformed() {
    for text in ["", "{", r#"{"lend":"#, "[]", "{}", r#"{"a":1,"b":2}"#, "3", "\u{0}"] {
        assert!(matches!(decode(text), Err(DecodeError::Malformed(_))), "{text:?}");
    }
}
