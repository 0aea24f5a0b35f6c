//! The log: appends batches of records and removes segments.

use {
    crate::{
        RECORD_BYTES_MAX, frame,
        segment::{self, Location, RecordReader, SegmentId},
    },
    derive_more::{Display, Error, From},
    std::{
        collections::BTreeMap,
        fs::{self, File},
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

/// Size from which on a segment gets no more batches.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Why a batch was not stored.
#[derive(Debug, Display, Error, From)]
pub enum AppendError {
    /// The log has reached its maximum size.
    #[display("the log has reached its maximum of {bytes_max} bytes")]
    #[from(ignore)]
    Full {
        /// Maximum size of the log.
        bytes_max: u64,
    },
    /// A record is too large.
    #[display("a record has {bytes} bytes, more than {RECORD_BYTES_MAX}")]
    #[from(ignore)]
    TooLarge {
        /// Size of the record.
        bytes: usize,
    },
    /// The batch could not be written or synced. It is unknown what the disk holds of it.
    #[display("{_0}")]
    Io(io::Error),
}

/// A log that was opened.
#[derive(Debug)]
pub struct Opened {
    /// The log.
    pub log: RecordLog,
    /// Number of places at which records were lost that had been stored.
    pub damaged: usize,
    /// Bytes at the ends of segments that were never stored completely, and were dropped.
    pub torn_bytes: u64,
}

/// A log of records in segment files. Used by one process at a time.
#[derive(Debug)]
pub struct RecordLog {
    folder: PathBuf,
    bytes_max: u64,
    /// Size of each segment.
    segments: BTreeMap<SegmentId, u64>,
    /// The segment that gets the next batch, if it is open.
    active: Option<(SegmentId, File)>,
}

impl RecordLog {
    /// Opens the log in a folder, which is created if it does not exist, and passes all records to
    /// `on_record`, the oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be created or its files can't be read.
    pub fn open(
        folder: &Path,
        bytes_max: u64,
        mut on_record: impl FnMut(Location, &[u8]),
    ) -> io::Result<Opened> {
        fs::create_dir_all(folder)?;
        let mut segments = BTreeMap::new();
        let (mut damaged, mut torn_bytes) = (0, 0);
        for segment in segment::list(folder)? {
            let bytes = fs::read(segment::path(folder, segment))?;
            segments.insert(segment, bytes.len() as u64);
            let mut at = 0;
            while at < bytes.len() {
                if let Some(record) = frame::read(&bytes, at) {
                    let location = Location::new(segment, at as u64, record.end - at);
                    at = record.end;
                    on_record(location, &bytes[record]);
                } else if let Some(next) = frame::find_next(&bytes, at) {
                    damaged += 1;
                    log::warn!(
                        "{}: {} unreadable bytes at {at}",
                        segment::path(folder, segment).display(),
                        next - at,
                    );
                    at = next;
                } else {
                    torn_bytes += (bytes.len() - at) as u64;
                    at = bytes.len();
                }
            }
        }
        // A segment with a torn end must not get more records, so each start begins a new one.
        let log = Self { folder: folder.into(), bytes_max, segments, active: None };
        Ok(Opened { log, damaged, torn_bytes })
    }

    /// Appends a batch and syncs it. Returns the location of each record.
    ///
    /// # Errors
    ///
    /// Fails if the batch is not stored for certain. Later batches go to a new segment then.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<Vec<Location>, AppendError> {
        let mut bytes = Vec::new();
        let mut ends = Vec::with_capacity(records.len());
        for record in records {
            if record.len() > RECORD_BYTES_MAX {
                return Err(AppendError::TooLarge { bytes: record.len() });
            }
            frame::write(record, &mut bytes);
            ends.push(bytes.len());
        }
        if self.bytes() + bytes.len() as u64 > self.bytes_max {
            return Err(AppendError::Full { bytes_max: self.bytes_max });
        }
        let (segment, mut file) = match self.active.take() {
            Some(active) => active,
            None => self.create_segment()?,
        };
        let offset_bytes = self.segments.get(&segment).copied().unwrap_or_default();
        // Bytes of a batch that fails stay in the segment, which gets no more batches.
        self.segments.insert(segment, offset_bytes + bytes.len() as u64);
        file.write_all(&bytes)?;
        file.sync_data()?;
        if offset_bytes + (bytes.len() as u64) < SEGMENT_BYTES {
            self.active = Some((segment, file));
        }
        let starts = std::iter::once(0).chain(ends.iter().copied());
        let locations = starts
            .zip(&ends)
            .map(|(start, end)| Location::new(segment, offset_bytes + start as u64, end - start));
        Ok(locations.collect())
    }

    fn create_segment(&mut self) -> io::Result<(SegmentId, File)> {
        let segment = self.segments.keys().next_back().map_or(0, |last| last + 1);
        let path = segment::path(&self.folder, segment);
        let file = File::options().write(true).create_new(true).open(path)?;
        self.segments.insert(segment, 0);
        File::open(&self.folder)?.sync_all()?;
        Ok((segment, file))
    }

    /// Removes the segments that `is_needed` rejects, except the one that gets the next batch.
    /// Returns the number of bytes that were freed.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be removed. It counts as part of the log until it is.
    pub fn remove_segments(&mut self, is_needed: impl Fn(SegmentId) -> bool) -> io::Result<u64> {
        let active = self.active.as_ref().map(|(segment, _)| *segment);
        let unneeded: Vec<SegmentId> = self
            .segments
            .keys()
            .copied()
            .filter(|segment| Some(*segment) != active && !is_needed(*segment))
            .collect();
        let mut freed = 0;
        for segment in unneeded {
            fs::remove_file(segment::path(&self.folder, segment))?;
            freed += self.segments.remove(&segment).unwrap_or_default();
        }
        Ok(freed)
    }

    /// Returns the size of the log.
    pub fn bytes(&self) -> u64 {
        self.segments.values().sum()
    }

    /// Returns a reader of the log's records.
    pub fn reader(&self) -> RecordReader {
        RecordReader::new(&self.folder)
    }
}
