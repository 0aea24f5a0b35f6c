//! Small files that survive losses of power.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::Path,
};

/// Creates a folder if it does not exist, so that it survives a power loss.
///
/// # Errors
///
/// Fails if the folder can't be created or its parent can't be synced.
pub(crate) fn create_folder(folder: &Path) -> io::Result<()> {
    if folder.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(folder)?;
    match folder.parent() {
        Some(parent) => File::open(parent)?.sync_all(),
        None => Ok(()),
    }
}

/// Replaces a file atomically, so that after a power loss it has either the old or the new content.
///
/// # Errors
///
/// Fails if the folder can't be created or written.
pub(crate) fn replace(folder: &Path, name: &str, content: &[u8]) -> io::Result<()> {
    create_folder(folder)?;
    let new_path = folder.join(format!("{name}.new"));
    let mut file = File::create(&new_path)?;
    file.write_all(content)?;
    file.sync_all()?;
    fs::rename(&new_path, folder.join(name))?;
    File::open(folder)?.sync_all()
}
