use super::*;

fn split(chunks: &[&str]) -> (Vec<(String, Option<u64>)>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk.as_bytes()).expect("the events are within the size limit");
        while let Some(event) = splitter.next() {
            events.push((String::from_utf8_lossy(&event.bytes).into_owned(), event.id));
        }
    }
    (events, splitter.is_mid_event())
}

#[test]
fn splits_events_regardless_of_chunk_boundaries() {
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    let expected = split(&[text]);
    assert_eq!(expected.0.len(), 2);
    assert_eq!(expected.0[1], ("id: 2\ndata: b\n\n".into(), Some(2)));
    assert!(expected.1);
    for at in 1..text.len() {
        assert_eq!(split(&[&text[..at], &text[at..]]), expected, "split at {at}");
    }
}

#[test]
fn accepts_lf_and_crlf_terminators() {
    let (events, is_mid_event) = split(&["id:7\r\ndata: a\r\n\r\n", "data: b\n\n"]);
    assert_eq!(events[0].1, Some(7));
    assert_eq!(events[1], ("data: b\n\n".into(), None));
    assert!(!is_mid_event);
}

#[test]
fn rejects_events_above_the_maximum_size() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; EVENT_BYTES_MAX];
    assert_eq!(splitter.push(&chunk), Ok(()));
    assert_eq!(splitter.push(b"x"), Err(TooLarge));
}
