//! Bodies of the answers to callers.

use {
    crate::{callers::OpenRequest, memory::Reservation},
    bytes::Bytes,
    derive_more::{Display, Error},
    futures_lite::stream::Stream,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
    trefoilring_core::memory::Phase,
};

/// Maximum size of a frame. What a slow caller has not read stays in the body, whose memory is
/// reserved.
const FRAME_BYTES_MAX: usize = 64 * 1024;

/// The answer ended too early. The caller's connection is closed, so that the caller does not take
/// the received part for the complete answer.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer broke off")]
pub(crate) struct AnswerTruncated;

/// Content of an answer.
pub(crate) enum AnswerBody {
    /// The complete body.
    Complete {
        /// What the connection has not taken yet.
        bytes: Bytes,
        /// Memory of the body.
        reservation: Option<Reservation>,
    },
    /// A stream of events, relayed as they arrive.
    Events(Pin<Box<dyn Stream<Item = Result<Bytes, AnswerTruncated>>>>),
}

/// The body of an answer. Counts the request as open for the lifetime of the body.
pub(crate) struct TrackedAnswerBody {
    body: AnswerBody,
    _open: OpenRequest,
}

impl TrackedAnswerBody {
    pub(crate) fn new(body: AnswerBody, open: OpenRequest) -> Self {
        if let AnswerBody::Complete { reservation: Some(reservation), .. } = &body {
            // From now on the answer is held for the caller, who may be slow.
            reservation.set_signal(open.connection.signal());
            reservation.set_phase(Phase::Moving);
        }
        Self { body, _open: open }
    }
}

impl Body for TrackedAnswerBody {
    type Data = Bytes;
    type Error = AnswerTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerTruncated>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        Self::Complete { bytes, reservation: None }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerTruncated>>> {
        match &mut *self {
            Self::Complete { bytes, .. } if bytes.is_empty() => Poll::Ready(None),
            Self::Complete { bytes, reservation } => {
                let size = bytes.len().min(FRAME_BYTES_MAX);
                if let Some(reservation) = reservation {
                    reservation.record_progress(size);
                }
                let frame = match size < bytes.len() {
                    true => bytes.split_to(size),
                    // A slice would keep the whole answer in memory until the caller has read it, after the
                    // reservation has ended with this body.
                    false => Bytes::copy_from_slice(&std::mem::take(bytes)),
                };
                Poll::Ready(Some(Ok(Frame::data(frame))))
            }
            Self::Events(events) => {
                events.as_mut().poll_next(cx).map(|next| next.map(|next| next.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete { bytes, .. } if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete { bytes, .. } => SizeHint::with_exact(bytes.len() as u64),
            Self::Events(_) => SizeHint::default(),
        }
    }
}
