//! Cuts a stream into whole events.

use {
    bytes::{Bytes, BytesMut},
    memchr::memmem,
};

/// The largest event.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// Bytes of a stream of events that have not been passed on.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    bytes: BytesMut,
    /// Bytes that have been searched for the end of an event.
    searched: usize,
}

/// One event, as it came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Event {
    /// Its bytes, with the empty line that ends it.
    pub(crate) bytes: Bytes,
    /// Its id, where it has one.
    pub(crate) id: Option<u64>,
}

impl EventSplitter {
    /// Takes in bytes.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        if self.bytes.len() + bytes.len() > EVENT_BYTES_MAX {
            return Err(TooLarge);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the next whole event.
    pub(crate) fn next(&mut self) -> Option<Event> {
        // The end may begin in what was searched before.
        let from = self.searched.saturating_sub(3);
        let rest = &self.bytes[from..];
        let ends = [memmem::find(rest, b"\n\n").map(|at| at + 2), find_crlf(rest)];
        let Some(end) = ends.into_iter().flatten().min() else {
            self.searched = self.bytes.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.bytes.split_to(from + end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether an event has begun and not ended.
    pub(crate) fn is_mid_event(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Forgets an event that has begun.
    pub(crate) fn clear(&mut self) {
        self.bytes.clear();
        self.searched = 0;
    }
}

/// An event is larger than the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TooLarge;

fn find_crlf(bytes: &[u8]) -> Option<usize> {
    memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4)
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}

#[cfg(test)]
mod tests;
