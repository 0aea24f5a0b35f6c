//! Reads bodies and answers within the memory of the host.

use {
    crate::memory::{DropSignal, HostMemory, Reservation},
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error},
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    std::{rc::Rc, time::Duration},
    trefoilring_core::{
        ids::TeamId,
        memory::{Class, Phase},
    },
};

/// Maximum size of an answer.
pub(crate) const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Size up to which an answer is not counted. Most answers are smaller.
const UNCOUNTED_BYTES: usize = 16 * 1024;
/// Memory that is reserved for a body without a declared size before its first byte. Most are smaller.
const BODY_BYTES_FIRST: usize = 4 * 1024;

/// Why a request's body could not be read to its end.
#[derive(Debug, Display)]
pub(crate) enum BodyError {
    /// The body is larger than its limit.
    #[display("the body is too large")]
    TooLarge,
    /// The connection failed, or the body's framing is invalid.
    #[display("the body can't be read: {_0}")]
    Connection(hyper::Error),
    /// There is no room for the body.
    #[display("the host holds as many bodies as it has memory for")]
    NoMemory {
        /// When there is likely to be room.
        retry_after: Duration,
    },
    /// The body came too slowly while others waited for its memory.
    #[display("the body comes too slowly while others wait for its memory")]
    Dropped,
}

/// Reads a request's body to its end. Its memory is reserved before it is read: all of it where the size
/// is declared, so that a body that is begun can end.
pub(crate) async fn read_body(
    memory: &Rc<HostMemory>,
    team: Option<&TeamId>,
    mut body: impl Body<Data = Bytes, Error = hyper::Error> + Unpin,
    bytes_max: usize,
) -> Result<(Bytes, Option<Reservation>), BodyError> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let declared = body.size_hint().exact();
    let declared = declared.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if declared.is_some_and(|bytes| bytes > bytes_max) {
        return Err(BodyError::TooLarge);
    }
    let signal = Rc::new(DropSignal::default());
    let mut reserved = declared.unwrap_or(BODY_BYTES_FIRST.min(bytes_max));
    let reservation = memory
        .wait_for_body(team, reserved, &signal)
        .await
        .map_err(|denied| BodyError::NoMemory { retry_after: denied.retry_after })?;
    // Others may wait for memory while this one is read, so progress counts from here.
    reservation.set_phase(Phase::Moving);
    let mut bytes = BytesMut::with_capacity(reserved);
    let read = async {
        while let Some(frame) = body.frame().await {
            // Trailers concern only the connection to the caller.
            let Ok(data) = frame.map_err(BodyError::Connection)?.into_data() else { continue };
            let size = bytes.len() + data.len();
            if size > bytes_max {
                return Err(BodyError::TooLarge);
            }
            if size > reserved {
                reserved = (2 * size).min(bytes_max);
                reservation
                    .wait_to_grow(reserved)
                    .await
                    .map_err(|denied| BodyError::NoMemory { retry_after: denied.retry_after })?;
                bytes.reserve(reserved - bytes.len());
            }
            reservation.record_progress(data.len());
            // Copied, because a frame holds the connection's buffer that it is a part of.
            bytes.extend_from_slice(&data);
        }
        Ok(())
    };
    let dropped = async {
        signal.wait().await;
        Err(BodyError::Dropped)
    };
    smol::future::or(read, dropped).await?;
    reservation.set_phase(Phase::Working);
    Ok((bytes.freeze(), Some(reservation)))
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
    /// Other requests occupy the memory.
    #[display("the memory for answers is used up")]
    NoMemory,
}

/// Reads an answer to its end.
pub(crate) async fn read_whole(
    mut body: Incoming,
    memory: &Rc<HostMemory>,
) -> Result<(Bytes, Option<Reservation>), AnswerError> {
    let declared = body.size_hint().exact().unwrap_or(0);
    let declared = usize::try_from(declared).unwrap_or(usize::MAX);
    if declared > ANSWER_BYTES_MAX {
        return Err(AnswerError::TooLarge);
    }
    let mut held = HeldAnswer::new(memory);
    held.grow_to(declared)?;
    let mut bytes = BytesMut::with_capacity(declared);
    while let Some(frame) = body.frame().await {
        // Trailers concern only the connection to the upstream.
        let Ok(data) = frame.map_err(AnswerError::Connection)?.into_data() else { continue };
        let size = bytes.len() + data.len();
        if size > ANSWER_BYTES_MAX {
            return Err(AnswerError::TooLarge);
        }
        if size > bytes.capacity() {
            // The buffer doubles when it grows.
            held.grow_to(2 * size)?;
            bytes.reserve(2 * size - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok((bytes.freeze(), held.reservation))
}

/// Memory of what an upstream has sent and the caller has not got yet.
pub(super) struct HeldAnswer {
    memory: Rc<HostMemory>,
    /// `None` while no more than [`UNCOUNTED_BYTES`] are held.
    reservation: Option<Reservation>,
    reserved_bytes: usize,
}

impl HeldAnswer {
    pub(super) fn new(memory: &Rc<HostMemory>) -> Self {
        Self { memory: memory.clone(), reservation: None, reserved_bytes: UNCOUNTED_BYTES }
    }

    /// Reserves memory for `bytes` in total, unless it is reserved already.
    ///
    /// # Errors
    ///
    /// Fails if there is no room at the moment.
    pub(super) fn grow_to(&mut self, bytes: usize) -> Result<(), AnswerError> {
        if bytes <= self.reserved_bytes {
            return Ok(());
        }
        match &self.reservation {
            Some(reservation) => {
                reservation.resize(Class::Answer, bytes).map_err(|_| AnswerError::NoMemory)?
            }
            None => {
                let signal = Rc::new(DropSignal::default());
                let reserved = self.memory.reserve(Class::Answer, None, bytes, &signal);
                let reservation = reserved.map_err(|_| AnswerError::NoMemory)?;
                reservation.set_phase(Phase::Working);
                self.reservation = Some(reservation);
            }
        }
        self.reserved_bytes = bytes;
        Ok(())
    }
}
