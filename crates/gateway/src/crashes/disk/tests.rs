use {super::*, trefoilring_core::crashes::hash_content};

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("trefoilring-crashes-{}-{name}", std::process::id()))
}

fn blaming(now: Instant, content: u64) -> CrashLog {
    let mut log = CrashLog::default();
    log.adopt_blame(now, content, Duration::from_secs(500));
    log
}

#[test]
fn log_is_read_as_it_was_written() {
    let (folder, now) = (folder("written"), Instant::now());
    let content = hash_content(&[b"crashing"]);
    assert!(read(&folder).is_empty(), "there is no file");
    let crashes = blaming(now, content).to_record(now);
    write(&folder, &CrashesFile { written_at_ms: wall_us() / 1000, crashes }).expect("writable");
    assert!(read(&folder).blamed_for(Instant::now(), content).is_some());
    fs::remove_dir_all(&folder).expect("it was created");
}

#[test]
fn unreadable_file_is_left_out() {
    let folder = folder("unreadable");
    files::replace(&folder, FILE_NAME, b"{\"written_at_ms\": 1, \"crashes\": {").expect("writable");
    assert!(read(&folder).is_empty());
    fs::remove_dir_all(&folder).expect("it was created");
}
