//! Stores this host's outage notes on its disk. See `trefoilring_core::budget` for their purpose.

use {
    crate::{files, ledger},
    smol::lock::Mutex,
    std::{
        borrow::Cow,
        cell::{Cell, RefCell},
        collections::BTreeMap,
        fs, io,
        path::{Path, PathBuf},
        rc::Rc,
        sync::{self, Arc},
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

impl NotesFile {
    fn notes_of(&self, partition: usize) -> Cow<'_, OutageNotes> {
        let notes = self.ledgers.get(&ledger::ledger_name(partition));
        notes.map(Cow::Borrowed).unwrap_or_default()
    }

    fn notes_of_mut(&mut self, partition: usize) -> &mut OutageNotes {
        self.ledgers.entry(ledger::ledger_name(partition)).or_default()
    }
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

/// Changes of the notes that one write makes durable.
#[derive(Default)]
struct Batch {
    /// Whether the write succeeded; `None` until it has ended.
    is_durable: Cell<Option<bool>>,
}

/// The outage notes of this host. Without a data folder, none are stored.
///
/// A write includes all changes that were made while the one before it was running. The ledgers are often
/// taken over together, and with one write for each a slow disk would exceed the timeouts of the owners.
pub(crate) struct OutageNoteStore {
    host: String,
    folder: Option<PathBuf>,
    /// The notes as stored on disk. Replaced at the end of each write.
    durable: Arc<sync::Mutex<NotesFile>>,
    /// The notes with all changes, including those that are not durable yet.
    latest: RefCell<NotesFile>,
    /// Collects the changes that no write has included yet.
    batch: RefCell<Rc<Batch>>,
    /// Held until a write has ended. A write goes on if the request that started it times out: on a slow
    /// disk each of them may.
    write_lock: Arc<Mutex<()>>,
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
        Ok(Self {
            host: host.into(),
            folder,
            durable: Arc::new(sync::Mutex::new(file.clone())),
            latest: RefCell::new(file),
            batch: RefCell::default(),
            write_lock: Arc::default(),
        })
    }

    /// Returns the identity of this host's notes; `None` if it stores none.
    pub(crate) fn note_host(&self) -> Option<NoteHost> {
        self.folder.as_ref()?;
        Some(NoteHost { host: self.host.clone(), notes_id: self.durable().notes_id })
    }

    /// Stores a durable note that records up to the given position may be incomplete.
    pub(crate) async fn store_note(
        &self,
        partition: usize,
        position: LedgerPosition,
    ) -> NoteOutcome {
        if self.durable().notes_of(partition).covers(position) {
            return NoteOutcome::AlreadyStored;
        }
        let is_noted = self.latest.borrow_mut().notes_of_mut(partition).note(position);
        match is_noted && self.make_durable(partition).await {
            true => NoteOutcome::Written,
            false => NoteOutcome::NotStored,
        }
    }

    /// Fences the epochs of a ledger before `epoch`: no notes are stored for them any more. Returns
    /// `None` if that could not be made durable.
    pub(crate) async fn fence(&self, partition: usize, epoch: Epoch) -> Option<FenceReply> {
        let note_host = self.note_host()?;
        let (noted, fenced_before) = {
            let mut latest = self.latest.borrow_mut();
            let notes = latest.notes_of_mut(partition);
            (notes.fence(epoch), notes.fenced_before())
        };
        self.make_durable(partition).await.then_some(FenceReply { note_host, noted, fenced_before })
    }

    /// Waits until the latest notes of a ledger are durable. Returns false if they could not be written;
    /// all changes that are not durable are dropped then.
    async fn make_durable(&self, partition: usize) -> bool {
        let Some(folder) = self.folder.clone() else { return false };
        if self.is_durable(partition) {
            return true;
        }
        let batch = self.batch.borrow().clone();
        let guard = self.write_lock.lock_arc().await;
        if let Some(is_durable) = batch.is_durable.get() {
            return is_durable;
        }
        // The request that started the last write may have timed out during it.
        if self.is_durable(partition) {
            return true;
        }
        let file = self.latest.borrow().clone();
        let included = self.batch.take();
        let durable = self.durable.clone();
        let (result_sender, result) = smol::channel::bounded(1);
        let writing = smol::unblock(move || {
            let written = write(&folder, &file);
            if written.is_ok() {
                *lock(&durable) = file;
            }
            // Fails if the request has timed out, which releases the lock as well.
            result_sender.try_send((written, guard)).ok();
        });
        writing.detach();
        let Ok((written, _guard)) = result.recv().await else { return false };
        if let Err(error) = &written {
            log::error!("failed to write {FILE_NAME}: {error}");
            *self.latest.borrow_mut() = self.durable().clone();
            // Its changes may depend on those that were dropped.
            self.batch.take().is_durable.set(Some(false));
        }
        batch.is_durable.set(Some(written.is_ok()));
        included.is_durable.set(Some(written.is_ok()));
        written.is_ok()
    }

    fn is_durable(&self, partition: usize) -> bool {
        self.durable().notes_of(partition) == self.latest.borrow().notes_of(partition)
    }

    fn durable(&self) -> sync::MutexGuard<'_, NotesFile> {
        lock(&self.durable)
    }
}

fn lock(notes: &sync::Mutex<NotesFile>) -> sync::MutexGuard<'_, NotesFile> {
    notes.lock().unwrap_or_else(sync::PoisonError::into_inner)
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
