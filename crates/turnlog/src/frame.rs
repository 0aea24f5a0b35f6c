//! The form of a record in a segment: a marker, the length and the checksum of the record, and its
//! bytes.

use {crate::RECORD_BYTES_MAX, memchr::memmem, std::ops::Range};

/// Marks the beginning of a frame, so that the next one is found after damage.
const MARKER: [u8; 4] = *b"\xf5tr1";
/// Size of what precedes the record: the marker, its length and its checksum.
pub(crate) const HEADER_BYTES: usize = 12;

/// Appends a frame with a record.
pub(crate) fn write(record: &[u8], bytes: &mut Vec<u8>) {
    // Callers check the size against `RECORD_BYTES_MAX`, which fits.
    let length = record.len() as u32;
    bytes.extend_from_slice(&MARKER);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(record).to_le_bytes());
    bytes.extend_from_slice(record);
}

/// Returns the range of the record whose frame begins at `at`, if the frame is intact.
pub(crate) fn read(bytes: &[u8], at: usize) -> Option<Range<usize>> {
    let header = bytes.get(at..at + HEADER_BYTES)?;
    let number = |range: Range<usize>| -> Option<u32> {
        Some(u32::from_le_bytes(header[range].try_into().ok()?))
    };
    let (length, checksum) = (number(4..8)? as usize, number(8..12)?);
    if header[..4] != MARKER || length > RECORD_BYTES_MAX {
        return None;
    }
    let range = at + HEADER_BYTES..at + HEADER_BYTES + length;
    let record = bytes.get(range.clone())?;
    (crc32fast::hash(record) == checksum).then_some(range)
}

/// Returns where the next intact frame after `at` begins.
pub(crate) fn find_next(bytes: &[u8], at: usize) -> Option<usize> {
    let rest = bytes.get(at + 1..)?;
    memmem::find_iter(rest, &MARKER)
        .map(|found| at + 1 + found)
        .find(|&start| read(bytes, start).is_some())
}
