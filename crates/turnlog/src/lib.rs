//! Records on disk that survive crashes and losses of power.
//!
//! A [`RecordLog`] appends batches of records to segment files and syncs each batch, so that all
//! callers that wait at the same time share one sync. Records are never changed. They are removed a
//! segment at a time, once none of its records is needed any more.
//!
//! Each record is framed by a marker, its length and a checksum. What the last sync covered is
//! intact after a loss of power; writes after it may be missing or torn. A log that is opened again
//! therefore drops an unreadable end of a segment, since no caller was told that it is stored. Any
//! other unreadable record is damage, and [`Opened::damaged`] counts it: the caller must fetch
//! elsewhere what it lost.

mod frame;
mod log;
mod segment;

pub use {
    log::{AppendError, Opened, RecordLog},
    segment::{Location, ReadError, RecordReader, SegmentId},
};

/// Maximum size of a record.
pub const RECORD_BYTES_MAX: usize = 16 * 1024 * 1024;
