use {super::*, trefoilring_core::turns::TurnHead};

fn decode(text: &str) -> Result<PeerRequest, DecodeError> {
    decode_request(MessageFormat::Json, text.as_bytes())
}

#[test]
fn unknown_kinds_are_not_malformed_in_message_pack() {
    let later = BTreeMap::from([("later", BTreeMap::from([("field", 1)]))]);
    let body = rmp_serde::to_vec_named(&later).expect("serializable");
    match decode_request(MessageFormat::MessagePack, &body) {
        Err(DecodeError::Unsupported { kind, .. }) => assert_eq!(kind, "later"),
        other => panic!("{other:?}"),
    }
    let truncated = decode_request(MessageFormat::MessagePack, &body[..body.len() - 1]);
    assert!(matches!(truncated, Err(DecodeError::Malformed(_))));
}

#[test]
fn bytes_of_turns_are_sent_without_growing() {
    let request = PeerRequest::StoreTurns {
        turns: vec![RetainedTurn {
            head: TurnHead {
                id: "r1".into(),
                team: "malabar".into(),
                previous: None,
                tree: "p".into(),
                retention: Duration::from_secs(60),
                upstream: None,
            },
            input: vec![0xff; 10_000].into(),
            output: vec![0; 1000].into(),
        }],
    };
    let body = request.format().encode(&request).expect("serializable");
    assert!(body.len() < 11_200, "{} bytes", body.len());
    let read = decode_request(MessageFormat::MessagePack, &body).expect("the same format");
    match read {
        PeerRequest::StoreTurns { turns } => assert_eq!(turns[0].input.len(), 10_000),
        other => panic!("{other:?}"),
    }
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
