use {super::*, crate::call::events::EventSplitter, std::time::Duration};

fn output(stream: &[u8], read_size: usize) -> Vec<u8> {
    let (mut splitter, mut output) = (EventSplitter::default(), BytesMut::new());
    for read in stream.chunks(read_size) {
        splitter.push(read).expect("a small event");
        while let Some(event) = splitter.next() {
            append_output(&event.bytes, &mut output);
        }
    }
    output.to_vec()
}

fn turn(id: &str, input: &str, output: &str, previous: Option<Rc<CachedTurn>>) -> Rc<CachedTurn> {
    let head = TurnHead {
        id: id.into(),
        team: "malabar".into(),
        previous: previous.as_ref().map(|turn| turn.turn.head.id.clone()),
        tree: "p".into(),
        retention: Duration::from_secs(60),
        upstream: None,
    };
    let turn = RetainedTurn {
        head,
        input: Bytes::copy_from_slice(input.as_bytes()),
        output: Bytes::copy_from_slice(output.as_bytes()),
    };
    Rc::new(CachedTurn { turn, previous })
}

#[test]
fn output_is_the_data_of_each_event_with_a_line_feed() {
    let stream = b"id: 1\ndata: one\n\nid: 2\ndata:two\n\nid: 3\ndata:  three \n\n";
    for read_size in 1..stream.len() {
        assert_eq!(output(stream, read_size), b"one\ntwo\n three \n");
    }
}

#[test]
fn lines_other_than_data_are_not_output() {
    let stream = b"trefoilring-weight-versions: 2\nid: 1\nevent: x\ndata: one\n\n: comment\n\n";
    assert_eq!(output(stream, 7), b"one\n");
}

#[test]
fn several_lines_of_data_are_joined_by_line_feeds() {
    assert_eq!(output(b"data: a\ndata: b\ndata\ndata:\n\n", 3), b"a\nb\n\n\n");
    assert_eq!(output(b"id: 1\r\ndata: a\r\ndata: b\r\n\r\n", 4), b"a\nb\n");
}

#[test]
fn output_keeps_bytes_that_are_not_text() {
    assert_eq!(output(b"data: \xff\0\n\n", 2), b"\xff\0\n");
}

#[test]
fn prompt_has_the_oldest_turn_first() {
    let first = turn("t1", "in 1", "out 1\n", None);
    let second = turn("t2", "in 2", "out 2\n", Some(first.clone()));
    let branch = turn("u2", "in 2b", "", Some(first));
    let input = Bytes::from_static(b"in 3");
    assert_eq!(&prompt(&second, &input).expect("small")[..], b"in 1out 1\nin 2out 2\nin 3");
    assert_eq!(&prompt(&branch, &input).expect("small")[..], b"in 1out 1\nin 2bin 3");
}
