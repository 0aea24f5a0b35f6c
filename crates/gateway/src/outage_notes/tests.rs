use {super::*, smol::block_on};

/// Returns the path of a temporary folder that does not exist.
fn folder(test: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("trefoilring-{}-{test}", std::process::id()));
    fs::remove_dir_all(&folder).ok();
    folder
}

fn open(folder: &Path) -> OutageNoteStore {
    OutageNoteStore::open("host-1", Some(folder.into())).unwrap()
}

fn position(epoch: Epoch, sequence: u64) -> LedgerPosition {
    LedgerPosition { epoch, sequence }
}

fn noted(store: &OutageNoteStore, partition: usize) -> Option<LedgerPosition> {
    block_on(store.fence(partition, 0)).unwrap().noted
}

#[test]
fn notes_persist_across_restarts() {
    let folder = folder("notes-outlast");
    let first = open(&folder);
    assert_eq!(noted(&first, 0), None);
    assert_eq!(block_on(first.store_note(0, position(1, 7))), NoteOutcome::Written);
    assert_eq!(noted(&first, 0), Some(position(1, 7)));
    assert_eq!(block_on(first.store_note(0, position(1, 6))), NoteOutcome::AlreadyStored);
    assert_eq!(noted(&first, 0), Some(position(1, 7)), "a note covers earlier writes too");
    let note_host = first.note_host();
    drop(first);
    let second = open(&folder);
    assert_eq!(noted(&second, 0), Some(position(1, 7)));
    assert_eq!(noted(&second, 1), None);
    assert_eq!(second.note_host(), note_host);
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn fence_persists_across_restarts() {
    let folder = folder("fence-outlasts");
    let first = open(&folder);
    assert_eq!(block_on(first.store_note(0, position(1, 7))), NoteOutcome::Written);
    let reply = block_on(first.fence(0, 3)).unwrap();
    assert_eq!(reply.noted, Some(position(1, 7)));
    drop(first);
    let second = open(&folder);
    for fenced in [position(1, 8), position(2, 1)] {
        assert_eq!(block_on(second.store_note(0, fenced)), NoteOutcome::NotStored, "{fenced:?}");
    }
    assert_eq!(block_on(second.store_note(0, position(3, 1))), NoteOutcome::Written);
    assert_eq!(block_on(second.store_note(1, position(1, 1))), NoteOutcome::Written);
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against a successor that takes lost notes for the answer that nothing was noted.
#[test]
fn missing_or_corrupt_notes_get_another_id() {
    let folder = folder("notes-lost");
    let first = open(&folder);
    assert_eq!(block_on(first.store_note(0, position(1, 7))), NoteOutcome::Written);
    let mut known_ids = vec![first.note_host().unwrap().notes_id];
    drop(first);
    for is_corrupt in [false, true] {
        match is_corrupt {
            true => fs::write(folder.join(FILE_NAME), b"{\"notes_id\": 0").unwrap(),
            false => fs::remove_dir_all(&folder).unwrap(),
        }
        let notes = open(&folder);
        assert_eq!(noted(&notes, 0), None);
        let NoteHost { host, notes_id } = notes.note_host().unwrap();
        assert_eq!(host, "host-1");
        assert!(!known_ids.contains(&notes_id));
        known_ids.push(notes_id);
    }
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn host_without_a_disk_stores_no_notes() {
    let notes = OutageNoteStore::open("host-1", None).unwrap();
    assert_eq!(block_on(notes.store_note(0, position(1, 7))), NoteOutcome::NotStored);
    assert_eq!(block_on(notes.fence(0, 2)), None);
    assert_eq!(notes.note_host(), None);
}

#[test]
fn open_note_and_fence_fail_if_the_folder_is_not_writable() {
    let folder = folder("notes-refused");
    fs::write(&folder, b"a file").unwrap();
    assert!(OutageNoteStore::open("host-1", Some(folder.clone())).is_err());
    fs::remove_file(&folder).unwrap();
    let notes = open(&folder);
    fs::remove_dir_all(&folder).unwrap();
    fs::write(&folder, b"a file").unwrap();
    assert_eq!(block_on(notes.store_note(0, position(1, 7))), NoteOutcome::NotStored);
    assert_eq!(block_on(notes.fence(0, 2)), None);
    assert_eq!(noted(&notes, 0), None);
    fs::remove_file(&folder).unwrap();
}
