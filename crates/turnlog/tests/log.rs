//! Logs that are opened again after crashes, losses of power and damage to their files.

use {
    proptest::prelude::*,
    std::{
        fs,
        path::PathBuf,
        sync::atomic::{AtomicU64, Ordering},
    },
    trefoilring_turnlog::{AppendError, Location, Opened, ReadError, RecordLog},
};

const BYTES_MAX: u64 = 64 * 1024 * 1024;

/// A folder that is removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        Self(std::env::temp_dir().join(format!("turnlog-{}-{number}", std::process::id())))
    }

    fn open(&self) -> (Opened, Vec<(Location, Vec<u8>)>) {
        let mut records = Vec::new();
        let opened = RecordLog::open(&self.0, BYTES_MAX, |location, record| {
            records.push((location, record.to_vec()));
        });
        (opened.expect("a writable folder"), records)
    }

    fn contents(&self) -> Vec<Vec<u8>> {
        self.open().1.into_iter().map(|(_, record)| record).collect()
    }

    /// Returns the paths of the segments, the oldest first.
    fn segments(&self) -> Vec<PathBuf> {
        let entries = fs::read_dir(&self.0).expect("the folder exists");
        let mut paths: Vec<_> = entries.map(|entry| entry.expect("an entry").path()).collect();
        paths.sort();
        paths
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn records(texts: &[&str]) -> Vec<Vec<u8>> {
    texts.iter().map(|text| text.as_bytes().to_vec()).collect()
}

#[test]
fn records_are_read_back_by_location_and_after_reopening() {
    let folder = Folder::new();
    let (Opened { mut log, .. }, _) = folder.open();
    let first = log.append(&records(&["one", "", "three"])).expect("stored");
    let second = log.append(&records(&["four"])).expect("stored");
    let reader = log.reader();
    assert_eq!(reader.read(first[2]).expect("readable"), b"three");
    assert_eq!(reader.read(second[0]).expect("readable"), b"four");
    drop(log);
    let (opened, read) = folder.open();
    assert_eq!((opened.damaged, opened.torn_bytes), (0, 0));
    let locations: Vec<Location> = read.iter().map(|(location, _)| *location).collect();
    assert_eq!(locations, [first, second].concat());
    let contents: Vec<Vec<u8>> = read.into_iter().map(|(_, record)| record).collect();
    assert_eq!(contents, records(&["one", "", "three", "four"]));
}

#[test]
fn torn_end_is_dropped_and_later_records_go_to_a_new_segment() {
    let folder = Folder::new();
    let (Opened { mut log, .. }, _) = folder.open();
    log.append(&records(&["stored"])).expect("stored");
    log.append(&records(&["torn off"])).expect("stored");
    drop(log);
    let path = &folder.segments()[0];
    let bytes = fs::read(path).expect("readable");
    fs::write(path, &bytes[..bytes.len() - 3]).expect("writable");
    let (Opened { mut log, damaged, torn_bytes }, _) = folder.open();
    assert_eq!((damaged, torn_bytes), (0, 12 + 5));
    log.append(&records(&["after"])).expect("stored");
    drop(log);
    assert_eq!(folder.contents(), records(&["stored", "after"]));
}

#[test]
fn damage_before_the_end_is_counted_and_the_records_after_it_are_read() {
    let folder = Folder::new();
    let (Opened { mut log, .. }, _) = folder.open();
    let locations = log.append(&records(&["first", "second", "third"])).expect("stored");
    let path = &folder.segments()[0];
    let mut bytes = fs::read(path).expect("readable");
    let position = bytes.windows(6).position(|bytes| bytes == b"second").expect("in the segment");
    bytes[position] ^= 1;
    fs::write(path, &bytes).expect("writable");
    assert!(matches!(log.reader().read(locations[1]), Err(ReadError::Damaged)));
    assert_eq!(log.reader().read(locations[2]).expect("readable"), b"third");
    let (opened, read) = folder.open();
    assert_eq!(opened.damaged, 1);
    let contents: Vec<Vec<u8>> = read.into_iter().map(|(_, record)| record).collect();
    assert_eq!(contents, records(&["first", "third"]));
}

#[test]
fn damaged_length_does_not_hide_the_records_after_it() {
    let folder = Folder::new();
    let (Opened { mut log, .. }, _) = folder.open();
    log.append(&records(&["first", "second"])).expect("stored");
    drop(log);
    let path = &folder.segments()[0];
    let mut bytes = fs::read(path).expect("readable");
    // The highest byte of the first record's length.
    bytes[7] = 0xff;
    fs::write(path, &bytes).expect("writable");
    let (opened, read) = folder.open();
    assert_eq!(opened.damaged, 1);
    assert_eq!(read.len(), 1);
    assert_eq!(read[0].1, b"second");
}

#[test]
fn full_log_rejects_records_and_keeps_the_others() {
    let folder = Folder::new();
    let mut log = RecordLog::open(&folder.0, 100, |_, _| {}).expect("a writable folder").log;
    let stored = log.append(&records(&["kept"])).expect("stored");
    let error = log.append(&[vec![0; 90]]).expect_err("over the maximum");
    assert!(matches!(error, AppendError::Full { bytes_max: 100 }), "{error}");
    assert_eq!(log.reader().read(stored[0]).expect("readable"), b"kept");
    log.append(&records(&["small"])).expect("there is room for it");
    drop(log);
    assert_eq!(folder.contents(), records(&["kept", "small"]));
}

#[test]
fn segments_without_needed_records_are_removed() {
    let folder = Folder::new();
    let (Opened { mut log, .. }, _) = folder.open();
    let large = vec![7; 5 * 1024 * 1024];
    let locations: Vec<Location> =
        (0..4).map(|_| log.append(std::slice::from_ref(&large)).expect("stored")[0]).collect();
    let (first, last) = (locations[0].segment, locations[3].segment);
    assert!(first < last, "large records need several segments");
    let before = log.bytes();
    let freed = log.remove_segments(|segment| segment != first).expect("removable");
    assert_eq!(log.bytes(), before - freed);
    assert!(matches!(log.reader().read(locations[0]), Err(ReadError::Io(_))));
    assert_eq!(log.reader().read(locations[3]).expect("readable"), large);
}

#[test]
fn failed_write_does_not_stop_the_log() {
    let folder = Folder::new();
    let (Opened { mut log, .. }, _) = folder.open();
    fs::remove_dir_all(&folder.0).expect("the log created the folder");
    let error = log.append(&records(&["lost"])).expect_err("the folder is gone");
    assert!(matches!(error, AppendError::Io(_)), "{error}");
    fs::create_dir_all(&folder.0).expect("writable");
    log.append(&records(&["stored"])).expect("stored");
    assert_eq!(folder.contents(), records(&["stored"]));
}

proptest! {
    /// Whatever happens to the bytes after those that were synced, all synced records are read, and
    /// no others than those written.
    #[test]
    fn synced_records_survive_any_end(
        synced in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..60), 0..8),
        unsynced in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..60), 1..4),
        cut in 0.0..1.0_f64,
        garbage in prop::collection::vec(any::<u8>(), 0..20),
    ) {
        let folder = Folder::new();
        let (Opened { mut log, .. }, _) = folder.open();
        if !synced.is_empty() {
            log.append(&synced).expect("stored");
        }
        let synced_bytes = log.bytes() as usize;
        log.append(&unsynced).expect("stored");
        drop(log);
        let path = &folder.segments()[0];
        let mut bytes = fs::read(path).expect("readable");
        let lost = ((bytes.len() - synced_bytes) as f64 * cut) as usize;
        bytes.truncate(bytes.len() - lost);
        bytes.extend(garbage);
        fs::write(path, &bytes).expect("writable");
        let read = folder.contents();
        let written = [synced.clone(), unsynced].concat();
        prop_assert!(read.len() >= synced.len());
        prop_assert!(written.starts_with(&read), "other records than those written");
    }

    /// No single changed byte yields a record that was not written.
    #[test]
    fn changed_byte_yields_no_other_record(
        written in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..60), 1..8),
        position in 0.0..1.0_f64,
        change in 1..=255_u8,
    ) {
        let folder = Folder::new();
        let (Opened { mut log, .. }, _) = folder.open();
        log.append(&written).expect("stored");
        drop(log);
        let path = &folder.segments()[0];
        let mut bytes = fs::read(path).expect("readable");
        let position = (bytes.len() as f64 * position) as usize;
        bytes[position] ^= change;
        fs::write(path, &bytes).expect("writable");
        let read = folder.contents();
        prop_assert_eq!(read.len(), written.len() - 1);
        prop_assert!(read.iter().all(|record| written.contains(record)));
    }
}
