//! Stores this host's outage notes on its disk. See `trefoilring_core::budget` for their purpose.

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

const FILE_NAME: &str = "outage-notes.json";
/// Content of the file. Times are wall clock times in milliseconds since 1970.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
struct NotesFile {
    /// Time from which the notes are complete; zero if no note was ever lost.
    since_ms: u64,
    /// The latest note of each ledger, by ledger name.
    last: BTreeMap<String, OutageNote>,
}

/// Outcome of storing a note.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoteOutcome {
    /// This call wrote the note to disk.
    Written,
    /// An earlier note already covers the write.
    AlreadyStored,
    /// No data folder is configured, or the write to disk failed.
    NotStored,
}

/// The outage notes of this host. Without a data folder, none are stored.
pub(crate) struct OutageNoteStore {
    folder: Option<PathBuf>,
    /// The notes as stored on disk.
    notes: RefCell<NotesFile>,
    write_lock: Mutex<()>,
}

impl OutageNoteStore {
    /// Reads the notes from a folder, or creates them. `is_first_start` is true if this host has
    /// never run, so missing notes were not lost.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be read or written.
    pub(crate) fn open(folder: Option<PathBuf>, is_first_start: bool) -> io::Result<Self> {
        let notes = match &folder {
            Some(folder) => read_or_create(folder, is_first_start)?,
            None => NotesFile::default(),
        };
        Ok(Self { folder, notes: RefCell::new(notes), write_lock: Mutex::default() })
    }

    /// Returns this host's notes for a ledger.
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

    /// Stores a durable note that charges may be missing from records up to the given position.
    pub(crate) async fn store_note(
        &self,
        partition: usize,
        position: &LedgerPosition,
    ) -> NoteOutcome {
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
                log::error!("failed to write {FILE_NAME}: {error}");
                NoteOutcome::NotStored
            }
        }
    }
}

fn read_or_create(folder: &Path, is_first_start: bool) -> io::Result<NotesFile> {
    let path = folder.join(FILE_NAME);
    match fs::read(&path) {
        Ok(bytes) => match serde_json::from_slice(&bytes) {
            Ok(notes) => return Ok(notes),
            Err(error) => {
                log::error!(
                    "{}: discarding outage notes that can't be decoded: {error}",
                    path.display()
                )
            }
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => {}
        Err(error) => return Err(error),
    }
    let since_ms = if is_first_start { 0 } else { wall_us() / 1000 };
    let notes = NotesFile { since_ms, ..NotesFile::default() };
    write(folder, &notes)?;
    Ok(notes)
}

/// Replaces the file atomically, so that after a power loss it has either the old or the new
/// content.
fn write(folder: &Path, notes: &NotesFile) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let new_path = folder.join(format!("{FILE_NAME}.new"));
    let mut file = File::create(&new_path)?;
    file.write_all(&serde_json::to_vec(notes)?)?;
    file.sync_all()?;
    fs::rename(&new_path, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests;
