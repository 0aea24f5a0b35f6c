use {super::*, smol::block_on};

/// Returns the path of a temporary folder that does not exist.
fn folder(test: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("trefoilring-{}-{test}", std::process::id()));
    fs::remove_dir_all(&folder).ok();
    folder
}

fn position(sequence: u64) -> LedgerPosition {
    LedgerPosition { writer: "host-1@1".into(), sequence }
}

#[test]
fn notes_persist_across_restarts() {
    let folder = folder("notes-outlast");
    let first = OutageNoteStore::open(Some(folder.clone()), true).unwrap();
    assert_eq!(first.notes_of(0), OutageNotes::Taken { since_ms: 0, last: None });
    assert_eq!(block_on(first.store_note(0, &position(7))), NoteOutcome::Written);
    let stored = first.notes_of(0);
    let OutageNotes::Taken { since_ms: 0, last: Some(note) } = &stored else {
        panic!("{stored:?}")
    };
    assert_eq!(note.position, position(7));
    assert_eq!(block_on(first.store_note(0, &position(6))), NoteOutcome::AlreadyStored);
    assert_eq!(first.notes_of(0), stored, "a note covers earlier writes too");
    drop(first);
    let second = OutageNoteStore::open(Some(folder.clone()), false).unwrap();
    assert_eq!(second.notes_of(0), stored);
    assert_eq!(second.notes_of(1), OutageNotes::Taken { since_ms: 0, last: None });
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn missing_or_corrupt_notes_start_empty() {
    let folder = folder("notes-lost");
    for is_corrupt in [false, true] {
        if is_corrupt {
            fs::write(folder.join(FILE_NAME), b"{\"since_ms\": 0").unwrap();
        }
        let before_ms = wall_us() / 1000;
        let notes = OutageNoteStore::open(Some(folder.clone()), false).unwrap();
        let OutageNotes::Taken { since_ms, last: None } = notes.notes_of(0) else {
            panic!("{:?}", notes.notes_of(0))
        };
        assert!(since_ms >= before_ms, "earlier notes may be missing");
    }
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn host_without_a_disk_stores_no_notes() {
    let notes = OutageNoteStore::open(None, true).unwrap();
    assert_eq!(block_on(notes.store_note(0, &position(7))), NoteOutcome::NotStored);
    assert_eq!(notes.notes_of(0), OutageNotes::NotTaken);
}

#[test]
fn open_and_store_note_fail_if_the_folder_is_not_writable() {
    let folder = folder("notes-refused");
    fs::write(&folder, b"a file").unwrap();
    assert!(OutageNoteStore::open(Some(folder.clone()), true).is_err());
    fs::remove_file(&folder).unwrap();
    let notes = OutageNoteStore::open(Some(folder.clone()), true).unwrap();
    fs::remove_dir_all(&folder).unwrap();
    fs::write(&folder, b"a file").unwrap();
    assert_eq!(block_on(notes.store_note(0, &position(7))), NoteOutcome::NotStored);
    assert_eq!(notes.notes_of(0), OutageNotes::Taken { since_ms: 0, last: None });
    fs::remove_file(&folder).unwrap();
}
