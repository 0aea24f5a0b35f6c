//! Buffers whole answers within the memory of the host.

use {
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{cell::Cell, rc::Rc},
};

/// Maximum size of an answer.
pub(crate) const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Part of the host's memory for large answers.
const MEMORY_FRACTION: u64 = 4;
/// Size up to which an answer is not counted. Most answers are smaller.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Memory for the large answers of all requests.
pub(crate) struct AnswerMemory {
    bytes_max: usize,
    bytes_left: Cell<usize>,
}

impl AnswerMemory {
    /// Creates the answer memory of a host with this much memory.
    pub(crate) fn new(host_memory_bytes: u64) -> Rc<Self> {
        let bytes_max = usize::try_from(host_memory_bytes / MEMORY_FRACTION).unwrap_or(usize::MAX);
        Rc::new(Self { bytes_max, bytes_left: Cell::new(bytes_max) })
    }

    /// Returns the bytes that the large answers occupy.
    pub(crate) fn used_bytes(&self) -> usize {
        self.bytes_max - self.bytes_left.get()
    }
}

/// Memory that an answer occupies until it is dropped.
pub(crate) struct Reservation {
    memory: Rc<AnswerMemory>,
    bytes: usize,
}

impl Reservation {
    fn grow_to(&mut self, bytes: usize) -> Result<(), AnswerError> {
        let more = bytes.saturating_sub(self.bytes);
        let left = self.memory.bytes_left.get().checked_sub(more).ok_or(AnswerError::NoMemory)?;
        self.memory.bytes_left.set(left);
        self.bytes += more;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.bytes_left.set(self.memory.bytes_left.get() + self.bytes);
    }
}

/// Why an answer could not be read to its end.
#[derive(Debug, Display, Error)]
pub(crate) enum AnswerError {
    /// The connection failed, or the bytes are not a valid answer.
    #[display("{_0}")]
    Connection(hyper::Error),
    /// The answer is larger than [`ANSWER_BYTES_MAX`].
    #[display("the answer has more than {ANSWER_BYTES_MAX} bytes")]
    TooLarge,
    /// The large answers of other requests occupy the memory.
    #[display("the memory for large answers is used up")]
    NoMemory,
}

/// Reads an answer to its end.
pub(crate) async fn read_whole(
    mut body: Incoming,
    memory: &Rc<AnswerMemory>,
) -> Result<(Bytes, Reservation), AnswerError> {
    let mut bytes = BytesMut::new();
    let mut reservation = Reservation { memory: memory.clone(), bytes: 0 };
    while let Some(frame) = body.frame().await {
        // Trailers concern only the connection to the upstream.
        let Ok(data) = frame.map_err(AnswerError::Connection)?.into_data() else { continue };
        let size = bytes.len() + data.len();
        if size > ANSWER_BYTES_MAX {
            return Err(AnswerError::TooLarge);
        }
        if size > UNCOUNTED_BYTES {
            // The buffer doubles when it grows.
            reservation.grow_to(2 * size)?;
        }
        bytes.extend_from_slice(&data);
    }
    Ok((bytes.freeze(), reservation))
}
