//! Small files that survive losses of power.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::Path,
};

/// Replaces a file atomically, so that after a power loss it has either the old or the new content.
///
/// # Errors
///
/// Fails if the folder can't be created or written.
pub(crate) fn replace(folder: &Path, name: &str, content: &[u8]) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let new_path = folder.join(format!("{name}.new"));
    let mut file = File::create(&new_path)?;
    file.write_all(content)?;
    file.sync_all()?;
    fs::rename(&new_path, folder.join(name))?;
    File::open(folder)?.sync_all()
}
