use {
    super::*,
    smol::io::AsyncRead,
    std::{
        pin::{Pin, pin},
        task::{Context, Poll, Waker},
    },
};

/// Reads all events. If reading fails, the last item is the error's text.
fn read(body: &[u8]) -> Vec<String> {
    let mut reader = EventReader::new(Body::from_bytes(body.to_vec()));
    smol::block_on(async {
        let mut events = Vec::new();
        loop {
            match reader.next().await {
                Ok(Some(event)) => events.push(event),
                Ok(None) => return events,
                Err(error) => {
                    events.push(error.to_string());
                    return events;
                }
            }
        }
    })
}

#[test]
fn reads_events_by_the_rules_of_the_format() {
    let cases: [(&str, &[&str]); 8] = [
        ("data: a\n\ndata: b\n\n", &["a", "b"]),
        ("data: a\r\n\r\n", &["a"]),
        ("data:a\n\ndata:  b\n\n", &["a", " b"]),
        ("data: a\ndata: b\n\n", &["a\nb"]),
        (": keep alive\n\nevent: x\nid: 1\ndata: a\n\n", &["a"]),
        ("\n\n\ndata: a\n\n", &["a"]),
        ("data: a\n\ndata: cut", &["a"]),
        ("data: a\n\ndata: cut\n", &["a"]),
    ];
    for (body, events) in cases {
        assert_eq!(read(body.as_bytes()), events, "{body:?}");
    }
}

/// A reader that returns one byte at every second poll.
struct SlowReader {
    bytes: Vec<u8>,
    is_ready: bool,
}

impl AsyncRead for SlowReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        self.is_ready = !self.is_ready;
        match self.is_ready {
            false => Poll::Pending,
            true if self.bytes.is_empty() => Poll::Ready(Ok(0)),
            true => {
                buffer[0] = self.bytes.remove(0);
                Poll::Ready(Ok(1))
            }
        }
    }
}

#[test]
fn a_dropped_next_future_loses_no_data() {
    let bytes = b"data: first\ndata: line\n\ndata: second\n\n".to_vec();
    let body = Body::from_reader(BufReader::new(SlowReader { bytes, is_ready: false }), None);
    let mut reader = EventReader::new(body);
    let mut context = Context::from_waker(Waker::noop());
    let mut events = Vec::new();
    loop {
        // Each future is dropped after one poll.
        match pin!(reader.next()).poll(&mut context) {
            Poll::Pending => (),
            Poll::Ready(Ok(Some(event))) => events.push(event),
            Poll::Ready(end) => break assert!(end.unwrap().is_none()),
        }
    }
    assert_eq!(events, ["first\nline", "second"]);
}

#[test]
fn rejects_oversized_events_and_invalid_utf8() {
    let too_long = "an event is larger than 1048576 bytes";
    let long_line = [b"data: ".as_slice(), &[b'x'; MAX_EVENT_BYTES]].concat();
    assert_eq!(read(&long_line), [too_long]);
    let many_lines = b"data: 0123456789\n".repeat(MAX_EVENT_BYTES / 16 + 1);
    assert_eq!(read(&many_lines), [too_long]);
    assert_eq!(read(b"data: \xff\n\n"), ["an event is not UTF-8"]);
}
