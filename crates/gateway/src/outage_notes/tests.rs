use {super::*, smol::block_on};

/// A folder of its own for each test.
fn folder(test: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("trefoilring-{}-{test}", std::process::id()));
    fs::remove_dir_all(&folder).ok();
    folder
}

fn position(sequence: u64) -> LedgerPosition {
    LedgerPosition { writer: "host-1@1".into(), sequence }
}

#[test]
fn notes_outlast_the_process() {
    let folder = folder("notes-outlast");
    let first = NoteBook::open(Some(folder.clone()), true).unwrap();
    assert_eq!(first.of(0), OutageNotes::Taken { since_ms: 0, last: None });
    assert_eq!(block_on(first.note(0, &position(7))), Noted::Now);
    let noted = first.of(0);
    let OutageNotes::Taken { since_ms: 0, last: Some(note) } = &noted else { panic!("{noted:?}") };
    assert_eq!(note.position, position(7));
    assert_eq!(block_on(first.note(0, &position(6))), Noted::Before);
    assert_eq!(first.of(0), noted, "an earlier write is noted with a later one");
    drop(first);
    let second = NoteBook::open(Some(folder.clone()), false).unwrap();
    assert_eq!(second.of(0), noted);
    assert_eq!(second.of(1), OutageNotes::Taken { since_ms: 0, last: None });
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn lost_or_spoiled_notes_are_begun_anew() {
    let folder = folder("notes-lost");
    for spoiled in [false, true] {
        if spoiled {
            fs::write(folder.join(FILE), b"{\"since_ms\": 0").unwrap();
        }
        let before_ms = wall_us() / 1000;
        let notes = NoteBook::open(Some(folder.clone()), false).unwrap();
        let OutageNotes::Taken { since_ms, last: None } = notes.of(0) else {
            panic!("{:?}", notes.of(0))
        };
        assert!(since_ms >= before_ms, "earlier notes may be missing");
    }
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn host_without_a_disk_takes_none() {
    let notes = NoteBook::open(None, true).unwrap();
    assert_eq!(block_on(notes.note(0, &position(7))), Noted::Not);
    assert_eq!(notes.of(0), OutageNotes::NotTaken);
}

#[test]
fn folder_that_can_not_be_written_is_an_error_and_no_note() {
    let folder = folder("notes-refused");
    fs::write(&folder, b"a file").unwrap();
    assert!(NoteBook::open(Some(folder.clone()), true).is_err());
    fs::remove_file(&folder).unwrap();
    let notes = NoteBook::open(Some(folder.clone()), true).unwrap();
    fs::remove_dir_all(&folder).unwrap();
    fs::write(&folder, b"a file").unwrap();
    assert_eq!(block_on(notes.note(0, &position(7))), Noted::Not);
    assert_eq!(notes.of(0), OutageNotes::Taken { since_ms: 0, last: None });
    fs::remove_file(&folder).unwrap();
}
