//! Property tests of the parsers, with generated input and a fixed seed.

use {
    crate::{
        body,
        head::{Head, RawHead},
        path,
        route::Route,
    },
    percent_encoding::percent_decode_str,
    proptest::{
        prelude::{Strategy, any, prop},
        prop_assert, prop_assert_eq, proptest,
        test_runner::{Config, RngSeed},
    },
};

const SEED: u64 = 0x7265_666f_696c;

fn config() -> Config {
    Config {
        cases: 2000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Generates nearly valid heads: fragments of request lines and headers mixed with invalid ones.
fn nearly_valid_heads() -> impl Strategy<Value = Vec<u8>> {
    let part = prop::sample::select(vec![
        "GET ",
        "POST ",
        "/v1/programs/",
        "/v1/chat/completions",
        " HTTP/1.1\r\n",
        "Host: t\r\n",
        "Content-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Connection: close\r\n",
        "%2e%2e",
        "..",
        "/",
        "\r\n\r\n",
        "\0",
        "é",
        ":",
        " ",
        "http://t",
        "#",
        "?",
    ]);
    prop::collection::vec(part, 0..16).prop_map(|parts| parts.concat().into_bytes())
}

/// Generates nearly valid JSON bodies.
fn nearly_valid_bodies() -> impl Strategy<Value = Vec<u8>> {
    let part = prop::sample::select(vec![
        "{",
        "}",
        "[",
        "]",
        ",",
        ":",
        "\"model\"",
        "\"messages\"",
        "\"role\"",
        "\"user\"",
        "1",
        "null",
        "true",
        "\"budget\"",
        "\"turns\"",
        "\"class\"",
        "-",
        "1e999",
        "\"\\ud800\"",
    ]);
    prop::collection::vec(part, 0..20).prop_map(|parts| parts.concat().into_bytes())
}

fn check_head(bytes: &[u8]) {
    let Ok(head) = Head::try_from(RawHead { bytes, max_headers: 8 }) else { return };
    assert!(head.target.starts_with('/') && head.headers.len() <= 8);
    assert!(head.target.is_ascii() && !head.target.contains(['\r', '\n', ' ']));
    let _ = Route::try_from(head.target.as_str());
    let _ = body::parse_step_key(&head);
}

fn json_head() -> Head {
    let bytes = b"POST / HTTP/1.1\r\nHost: t\r\n\r\n";
    Head::try_from(RawHead { bytes, max_headers: 8 }).unwrap()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_bytes_make_the_parsers_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        check_head(&bytes);
        let _ = body::parse_turn(&json_head(), &bytes);
        let _ = body::parse_program(&json_head(), &bytes);
    }

    #[test]
    fn no_head_makes_the_parser_panic(bytes in nearly_valid_heads()) {
        check_head(&bytes);
    }

    #[test]
    fn no_body_makes_the_parsers_panic(bytes in nearly_valid_bodies()) {
        let _ = body::parse_turn(&json_head(), &bytes);
        let _ = body::parse_program(&json_head(), &bytes);
    }

    #[test]
    fn accepted_paths_are_canonical_without_dot_segments(raw in "[a-b./%\\\\0-2eEfF~ -]{0,24}") {
        let Ok(path) = path::canonical(&raw, None) else { return Ok(()) };
        prop_assert_eq!(path::canonical(&path, None), Ok(path.clone()));
        for segment in path.split('/') {
            let bytes: Vec<u8> = percent_decode_str(segment).collect();
            let is_dots = bytes == b"." || bytes == b"..";
            prop_assert!(!is_dots && !bytes.contains(&b'/') && !bytes.contains(&b'\\'));
        }
        prop_assert!(path.bytes().all(|byte| byte.is_ascii_graphic()));
    }
}
