//! This host's notes of outages of the store, kept on its disk: `trefoilring_core::budget` says why.

use {
    crate::ledger,
    smol::lock::Mutex,
    std::{
        cell::RefCell,
        collections::BTreeMap,
        fs::{self, File},
        io::{self, Write},
        path::{Path, PathBuf},
    },
    trefoilring_core::budget::{LedgerPosition, OutageNote, OutageNotes},
    trefoilring_observe::log::wall_us,
};

const FILE: &str = "outage-notes.json";
/// What the file holds. Times are wall clocks in milliseconds since 1970.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
struct Notes {
    /// Since when no note was lost.
    since_ms: u64,
    /// The last note by ledger.
    last: BTreeMap<String, OutageNote>,
}

/// Whether something is noted so that it lasts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoteOutcome {
    Written,
    AlreadyStored,
    NotStored,
}

/// The notes of one host, if it has a disk.
pub(crate) struct OutageNoteStore {
    folder: Option<PathBuf>,
    /// As on the disk.
    notes: RefCell<Notes>,
    write_lock: Mutex<()>,
}

impl OutageNoteStore {
    /// Reads the notes in a folder, or begins them. `is_first_start` says that there can't be any yet.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be read or written.
    pub(crate) fn open(folder: Option<PathBuf>, is_first_start: bool) -> io::Result<Self> {
        let notes = match &folder {
            Some(folder) => read_or_create(folder, is_first_start)?,
            None => Notes::default(),
        };
        Ok(Self { folder, notes: RefCell::new(notes), write_lock: Mutex::default() })
    }

    /// Returns the notes of a ledger.
    pub(crate) fn notes_of(&self, partition: usize) -> OutageNotes {
        let notes = self.notes.borrow();
        match self.folder {
            None => OutageNotes::NotTaken,
            Some(_) => OutageNotes::Taken {
                since_ms: notes.since_ms,
                last: notes.last.get(&ledger::ledger_name(partition)).cloned(),
            },
        }
    }

    /// Notes that charges may go beyond a write of a ledger.
    pub(crate) async fn record(&self, partition: usize, position: &LedgerPosition) -> NoteOutcome {
        let Some(folder) = self.folder.clone() else { return NoteOutcome::NotStored };
        let _guard = self.write_lock.lock().await;
        let covers_position = |last: &OutageNote| {
            last.position.writer == position.writer && last.position.sequence >= position.sequence
        };
        let mut notes = self.notes.borrow().clone();
        if notes.last.get(&ledger::ledger_name(partition)).is_some_and(covers_position) {
            return NoteOutcome::AlreadyStored;
        }
        let note = OutageNote { noted_at_ms: wall_us() / 1000, position: position.clone() };
        notes.last.insert(ledger::ledger_name(partition), note);
        let new_notes = notes.clone();
        match smol::unblock(move || write(&folder, &new_notes)).await {
            Ok(()) => {
                *self.notes.borrow_mut() = notes;
                NoteOutcome::Written
            }
            Err(error) => {
                log::error!("{FILE} can't be written: {error}");
                NoteOutcome::NotStored
            }
        }
    }
}

fn read_or_create(folder: &Path, is_first_start: bool) -> io::Result<Notes> {
    let path = folder.join(FILE);
    match fs::read(&path) {
        Ok(bytes) => match serde_json::from_slice(&bytes) {
            Ok(notes) => return Ok(notes),
            Err(error) => {
                log::error!("{}: begun anew, as it can't be read: {error}", path.display())
            }
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => {}
        Err(error) => return Err(error),
    }
    let since_ms = if is_first_start { 0 } else { wall_us() / 1000 };
    let notes = Notes { since_ms, ..Notes::default() };
    write(folder, &notes)?;
    Ok(notes)
}

/// Replaces the file as a whole, so that a loss of power leaves the old one or the new one.
fn write(folder: &Path, notes: &Notes) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let new_path = folder.join(format!("{FILE}.new"));
    let mut file = File::create(&new_path)?;
    file.write_all(&serde_json::to_vec(notes)?)?;
    file.sync_all()?;
    fs::rename(&new_path, folder.join(FILE))?;
    File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests;
