//! A crowd of callers whose bodies stop short of their end.

use {
    crate::fake::{SECRET, read_all, request, with_server},
    smol::io::AsyncWriteExt,
    std::time::Duration,
    trefoilring_edge::EdgeOptions,
};

const BODY_BYTES: usize = 512 * 1024;
const CROWD: usize = 12;

/// Guards against bodies that together exceed their limit, and against a crowd that keeps out others.
/// Those of the crowd are refused as not run.
#[test]
fn bodies_that_stop_short_make_room_for_others() {
    let options = EdgeOptions::default()
        .max_body_bytes(BODY_BYTES)
        .max_bodies_bytes(2 * BODY_BYTES)
        .body_timeout(Duration::from_secs(3));
    with_server(options, async |server| {
        let mut crowd = Vec::new();
        for _ in 0..CROWD {
            let mut stream = server.connect().await;
            let head = format!(
                "POST /v1/programs HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {SECRET}\r\n\
                 Content-Length: {BODY_BYTES}\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&[b' '; 1024]).await.unwrap();
            crowd.push(smol::spawn(async move { read_all(&mut stream).await }));
        }
        let small = request("POST /v1/programs", "", "");
        assert!(server.exchange(&small).await.starts_with("HTTP/1.1 201"));
        let mut is_served = false;
        while !is_served {
            let whole = request("POST /v1/programs", "", &" ".repeat(BODY_BYTES));
            let answer = server.exchange(&whole).await;
            is_served = answer.starts_with("HTTP/1.1 201");
            let is_refused = answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after");
            assert!(is_served || is_refused, "{answer}");
        }
        for member in crowd {
            let answer = member.await;
            let is_refused =
                ["HTTP/1.1 408", "HTTP/1.1 503"].iter().any(|status| answer.starts_with(status));
            assert!(is_refused && answer.contains("\"not_run\""), "{answer}");
        }
    });
}
