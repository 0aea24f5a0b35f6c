//! Keeps the crash log on this host's disk, so that it outlives the loss of all processes.

use {
    crate::{files, gateway::Gateway},
    event_listener::Event,
    std::{
        cell::Cell,
        fs, io,
        path::{Path, PathBuf},
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::crashes::{CrashLog, CrashLogRecord},
    trefoilring_observe::log::wall_us,
};

const FILE_NAME: &str = "crashes.json";

/// Content of the file.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
struct CrashesFile {
    /// Wall clock time of the write, in milliseconds since 1970.
    written_at_ms: u64,
    crashes: CrashLogRecord,
}

/// The file with this host's crash log. Without a data folder there is none.
#[derive(Default)]
pub(crate) struct CrashLogFile {
    folder: Option<PathBuf>,
    /// Number of the changes that were to be saved.
    changes: Cell<u64>,
    /// Number of the changes that the last write included, or failed to.
    written: Cell<u64>,
    is_writing: Cell<bool>,
    has_written: Event,
}

impl CrashLogFile {
    /// Reads the log from the data folder. A file that can't be read costs itself alone.
    pub(crate) fn open(folder: Option<PathBuf>) -> (Self, CrashLog) {
        let log = folder.as_deref().map(read).unwrap_or_default();
        (Self { folder, ..Self::default() }, log)
    }
}

/// Saves the crash log, and returns once its present state is on disk or could not be written. Returns
/// at once at a host without a disk.
pub(super) async fn save(gateway: &Rc<Gateway>) {
    save_later(gateway);
    let file = &gateway.crash_log_file;
    let change = file.changes.get();
    while file.written.get() < change {
        file.has_written.listen().await;
    }
}

/// Saves the crash log without waiting for that.
pub(super) fn save_later(gateway: &Rc<Gateway>) {
    let file = &gateway.crash_log_file;
    let Some(folder) = &file.folder else { return };
    file.changes.set(file.changes.get() + 1);
    if !file.is_writing.replace(true) {
        gateway.spawn(write_changes(gateway.clone(), folder.clone()));
    }
}

/// Writes the log until all changes are written. Those that come meanwhile share the next write.
async fn write_changes(gateway: Rc<Gateway>, folder: PathBuf) {
    let file = &gateway.crash_log_file;
    while file.written.get() < file.changes.get() {
        let change = file.changes.get();
        let crashes = gateway.crash_watch.borrow().log.to_record(Instant::now());
        let content = CrashesFile { written_at_ms: wall_us() / 1000, crashes };
        let folder = folder.clone();
        if let Err(error) = smol::unblock(move || write(&folder, &content)).await {
            gateway.metrics.count("crash_log_write_failures", 1);
            log::error!("failed to write {FILE_NAME}; trying again with the next change: {error}");
        }
        file.written.set(change);
        file.has_written.notify(usize::MAX);
    }
    file.is_writing.set(false);
}

fn write(folder: &Path, content: &CrashesFile) -> io::Result<()> {
    files::replace(folder, FILE_NAME, &serde_json::to_vec(content)?)
}

fn read(folder: &Path) -> CrashLog {
    let path = folder.join(FILE_NAME);
    let content = match fs::read(&path) {
        Ok(bytes) => serde_json::from_slice::<CrashesFile>(&bytes),
        Err(error) if error.kind() == io::ErrorKind::NotFound => return CrashLog::default(),
        Err(error) => Err(serde_json::Error::io(error)),
    };
    match content {
        Ok(CrashesFile { written_at_ms, crashes }) => {
            let down_for = (wall_us() / 1000).checked_sub(written_at_ms);
            CrashLog::from_record(Instant::now(), crashes, down_for.map(Duration::from_millis))
        }
        Err(error) => {
            log::error!("{}: beginning without the crashes that it had: {error}", path.display());
            CrashLog::default()
        }
    }
}

#[cfg(test)]
mod tests;
