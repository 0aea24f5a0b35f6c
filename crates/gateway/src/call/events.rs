//! Splits a stream into complete events.

use {
    bytes::{Bytes, BytesMut},
    memchr::memmem,
};

/// Maximum size of the buffered bytes, and so of an event.
pub(crate) const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// Buffers the bytes of an event stream and splits them into events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    bytes: BytesMut,
    /// Number of bytes at the start that were searched for the end of an event.
    searched: usize,
    /// Whether the head of another answer has followed the events.
    is_foreign: bool,
}

/// One event as received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Event {
    /// Bytes of the event, including the empty line at its end.
    pub(crate) bytes: Bytes,
    /// Id of the event, if it has a numeric one.
    pub(crate) id: Option<u64>,
}

impl EventSplitter {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if more than [`EVENT_BYTES_MAX`] bytes would be buffered.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        if self.bytes.len() + bytes.len() > EVENT_BYTES_MAX {
            return Err(TooLarge);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the next complete event, if there is one.
    pub(crate) fn next(&mut self) -> Option<Event> {
        // The terminator may start in the bytes that were searched before.
        let from = self.searched.saturating_sub(3);
        let rest = &self.bytes[from..];
        let ends = [memmem::find(rest, b"\n\n").map(|at| at + 2), find_crlf_terminator(rest)];
        let Some(end) = ends.into_iter().flatten().min() else {
            self.searched = self.bytes.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.bytes.split_to(from + end).freeze();
        if is_answer_head(&bytes) {
            self.bytes.clear();
            self.is_foreign = true;
            return None;
        }
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether the buffer holds part of an event.
    pub(crate) fn is_mid_event(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Returns the number of bytes in the buffer.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the events were followed by the head of another answer. A stream without a
    /// length has no other mark of its end, so it has broken off.
    pub(crate) fn is_foreign(&self) -> bool {
        self.is_foreign
    }

    /// Discards an incomplete event, to begin with another stream.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}

/// An event is larger than [`EVENT_BYTES_MAX`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TooLarge;

fn find_crlf_terminator(bytes: &[u8]) -> Option<usize> {
    memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4)
}

/// Returns whether what looks like an event is, or ends with, the head of an answer. No field of an
/// event begins like its first line.
fn is_answer_head(bytes: &[u8]) -> bool {
    bytes.split(|&byte| byte == b'\n').any(|line| line.starts_with(b"HTTP/1."))
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}

#[cfg(test)]
mod tests;
