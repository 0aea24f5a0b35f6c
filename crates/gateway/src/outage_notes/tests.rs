use {
    super::*,
    smol::{block_on, future},
    std::{
        thread,
        time::{Duration, Instant},
    },
    trefoilring_core::budget::FIRST_EPOCH,
};

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

/// Guards against first owners without note hosts on slow disks, which granted nothing in an outage.
#[test]
fn fence_for_the_first_owner_waits_for_no_disk() {
    let folder = folder("first-fence");
    let notes = open(&folder);
    let _running_write = block_on(notes.write_lock.lock_arc());
    let reply = block_on(future::poll_once(notes.fence(0, FIRST_EPOCH))).flatten();
    assert_eq!(reply.map(|reply| reply.noted), Some(None));
    assert_eq!(block_on(future::poll_once(notes.fence(0, FIRST_EPOCH + 1))), None);
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against a fence that never becomes durable on a slow disk, where each request times out before
/// its write has ended.
#[test]
fn fence_becomes_durable_although_each_request_times_out() {
    let folder = folder("fence-times-out");
    let notes = open(&folder);
    let deadline = Instant::now() + Duration::from_secs(20);
    let reply = loop {
        if let Some(reply) = block_on(future::poll_once(notes.fence(0, 3))) {
            break reply;
        }
        assert!(Instant::now() < deadline, "the fence is not durable");
        thread::sleep(Duration::from_millis(10));
    };
    assert_eq!(reply.unwrap().fenced_before, 3);
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against one write for each ledger, which took longer than successors wait for a slow disk.
#[test]
fn changes_during_a_write_share_the_next_one() {
    let folder = folder("notes-share-a-write");
    let notes = open(&folder);
    let running_write = block_on(notes.write_lock.lock_arc());
    let mut fences: Vec<_> = (0..4).map(|ledger| Box::pin(notes.fence(ledger, 3))).collect();
    for fence in &mut fences {
        assert_eq!(block_on(future::poll_once(fence.as_mut())), None);
    }
    drop(running_write);
    assert!(block_on(fences.remove(0)).is_some());
    for fence in fences {
        assert!(block_on(future::poll_once(fence)).flatten().is_some());
    }
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
