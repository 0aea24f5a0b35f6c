//! Stores this host's outage notes on its disk. See `trefoilring_core::budget` for their purpose.

use {
    crate::{files, ledger},
    smol::lock::Mutex,
    std::{
        cell::RefCell,
        collections::BTreeMap,
        fs, io,
        path::{Path, PathBuf},
    },
    trefoilring_core::{
        budget::{FenceReply, LedgerPosition, NoteHost, OutageNotes},
        ids::Epoch,
    },
};

const FILE_NAME: &str = "outage-notes.json";

/// Content of the file.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
struct NotesFile {
    /// Drawn at random when the file is created, so that notes that were lost are not taken for
    /// empty ones.
    notes_id: u64,
    /// The notes by ledger name.
    ledgers: BTreeMap<String, OutageNotes>,
}

/// Outcome of storing a note.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoteOutcome {
    /// This call wrote the note to disk.
    Written,
    /// An earlier note already covers the write.
    AlreadyStored,
    /// No data folder is configured, the epoch is fenced, or the write to disk failed.
    NotStored,
}

/// The outage notes of this host. Without a data folder, none are stored.
pub(crate) struct OutageNoteStore {
    host: String,
    folder: Option<PathBuf>,
    /// The notes as stored on disk.
    file: RefCell<NotesFile>,
    write_lock: Mutex<()>,
}

impl OutageNoteStore {
    /// Reads the notes from a folder, or creates them.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be read or written.
    pub(crate) fn open(host: &str, folder: Option<PathBuf>) -> io::Result<Self> {
        let file = match &folder {
            Some(folder) => read_or_create(folder)?,
            None => NotesFile::default(),
        };
        let file = RefCell::new(file);
        Ok(Self { host: host.into(), folder, file, write_lock: Mutex::default() })
    }

    /// Returns the identity of this host's notes; `None` if it stores none.
    pub(crate) fn note_host(&self) -> Option<NoteHost> {
        self.folder.as_ref()?;
        Some(NoteHost { host: self.host.clone(), notes_id: self.file.borrow().notes_id })
    }

    /// Stores a durable note that records up to the given position may be incomplete.
    pub(crate) async fn store_note(
        &self,
        partition: usize,
        position: LedgerPosition,
    ) -> NoteOutcome {
        let _guard = self.write_lock.lock().await;
        let mut notes = self.notes_of(partition);
        if notes.covers(position) {
            return NoteOutcome::AlreadyStored;
        }
        match notes.note(position) && self.replace(partition, notes).await {
            true => NoteOutcome::Written,
            false => NoteOutcome::NotStored,
        }
    }

    /// Fences the epochs of a ledger before `epoch`: no notes are stored for them any more. Returns
    /// `None` if that could not be made durable.
    pub(crate) async fn fence(&self, partition: usize, epoch: Epoch) -> Option<FenceReply> {
        let note_host = self.note_host()?;
        let _guard = self.write_lock.lock().await;
        let mut notes = self.notes_of(partition);
        let noted = notes.fence(epoch);
        let fenced_before = notes.fenced_before();
        let is_durable = notes == self.notes_of(partition) || self.replace(partition, notes).await;
        is_durable.then_some(FenceReply { note_host, noted, fenced_before })
    }

    fn notes_of(&self, partition: usize) -> OutageNotes {
        let file = self.file.borrow();
        file.ledgers.get(&ledger::ledger_name(partition)).cloned().unwrap_or_default()
    }

    /// Replaces the notes of a ledger. Returns whether they are durable.
    async fn replace(&self, partition: usize, notes: OutageNotes) -> bool {
        let Some(folder) = self.folder.clone() else { return false };
        let mut file = self.file.borrow().clone();
        file.ledgers.insert(ledger::ledger_name(partition), notes);
        let new_file = file.clone();
        match smol::unblock(move || write(&folder, &new_file)).await {
            Ok(()) => {
                *self.file.borrow_mut() = file;
                true
            }
            Err(error) => {
                log::error!("failed to write {FILE_NAME}: {error}");
                false
            }
        }
    }
}

fn read_or_create(folder: &Path) -> io::Result<NotesFile> {
    let path = folder.join(FILE_NAME);
    match fs::read(&path) {
        Ok(bytes) => match serde_json::from_slice(&bytes) {
            Ok(file) => return Ok(file),
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
    let file = NotesFile { notes_id: rand::random(), ..NotesFile::default() };
    write(folder, &file)?;
    Ok(file)
}

fn write(folder: &Path, notes: &NotesFile) -> io::Result<()> {
    files::replace(folder, FILE_NAME, &serde_json::to_vec(notes)?)
}

#[cfg(test)]
mod tests;
