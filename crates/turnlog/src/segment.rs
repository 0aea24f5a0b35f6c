//! Segment files: their names, and how records are read from them.

use {
    crate::frame,
    derive_more::{Display, Error, From},
    std::{
        fs::{self, File},
        io::{self, Read, Seek, SeekFrom},
        path::{Path, PathBuf},
    },
};

/// Number of a segment. Later segments have higher numbers.
pub type SegmentId = u64;

const PREFIX: &str = "turns-";
const SUFFIX: &str = ".log";

/// Where a record is stored.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Location {
    /// Segment of the record.
    pub segment: SegmentId,
    /// Where the record's frame begins, in bytes.
    offset_bytes: u64,
    /// Size of the frame.
    frame_bytes: usize,
}

impl Location {
    pub(crate) fn new(segment: SegmentId, offset_bytes: u64, frame_bytes: usize) -> Self {
        Self { segment, offset_bytes, frame_bytes }
    }
}

/// Why a record could not be read.
#[derive(Debug, Display, Error, From)]
pub enum ReadError {
    /// The file can't be read.
    #[display("can't read the segment: {_0}")]
    Io(io::Error),
    /// The bytes are not those that were written.
    #[display("the record is damaged")]
    #[from(ignore)]
    Damaged,
}

/// Reads records, also while others are appended.
#[derive(Clone, Debug)]
pub struct RecordReader {
    folder: PathBuf,
}

impl RecordReader {
    pub(crate) fn new(folder: &Path) -> Self {
        Self { folder: folder.into() }
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or the record is damaged.
    pub fn read(&self, location: Location) -> Result<Vec<u8>, ReadError> {
        let mut file = File::open(path(&self.folder, location.segment))?;
        file.seek(SeekFrom::Start(location.offset_bytes))?;
        let mut bytes = vec![0; location.frame_bytes];
        match file.read_exact(&mut bytes) {
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
                return Err(ReadError::Damaged);
            }
            outcome => outcome?,
        }
        let record = frame::read(&bytes, 0).filter(|record| record.end == bytes.len());
        if record.is_none() {
            return Err(ReadError::Damaged);
        }
        bytes.drain(..frame::HEADER_BYTES);
        Ok(bytes)
    }
}

pub(crate) fn path(folder: &Path, segment: SegmentId) -> PathBuf {
    folder.join(format!("{PREFIX}{segment:012}{SUFFIX}"))
}

/// Returns the segments in a folder, the oldest first. Other files are ignored.
pub(crate) fn list(folder: &Path) -> io::Result<Vec<SegmentId>> {
    let mut segments = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX));
        segments.extend(number.and_then(|number| number.parse::<SegmentId>().ok()));
    }
    segments.sort_unstable();
    Ok(segments)
}
