//! Errors of calls, with a verdict on whether the call may have had an effect.

use {
    derive_more::{Display, Error},
    std::time::Duration,
    trefoilring_core::verdict::{Reason, Refusal, Verdict},
};

/// The kind of failure of a call.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ErrorKind {
    /// No connection could be made.
    #[display("connect")]
    Connect,
    /// The upstream refused the call before running it (429 or 503).
    #[display("busy")]
    Busy,
    /// The connection failed before the answer was complete.
    #[display("broken")]
    Broken,
    /// No complete answer was received before the deadline.
    #[display("timeout")]
    TimedOut,
    /// The upstream answered with an error status.
    #[display("status {_0}")]
    Status(u16),
    /// The answer violates the protocol.
    #[display("malformed")]
    Malformed,
    /// The answer exceeds the size limit.
    #[display("too large")]
    TooLarge,
    /// The request can't be sent as valid HTTP or within the size limits; nothing was sent.
    #[display("invalid request")]
    Invalid,
}

/// A failed call.
///
/// Invariant: the verdict is [`Verdict::NotRun`] only if no byte of the request was written, or if
/// the status of the answer means that the upstream did not run the call.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{kind} ({verdict}): {detail}")]
pub struct CallError {
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// The kind of failure.
    pub kind: ErrorKind,
    /// A human-readable description. Contains no headers and no body of the request.
    pub detail: String,
    /// The delay that the upstream requested with `Retry-After`, if any.
    pub retry_after: Option<Duration>,
}

impl CallError {
    /// Creates the error of a call that did not run.
    pub fn not_run(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::NotRun, kind, detail: detail.into(), retry_after: None }
    }

    /// Creates the error of a call that may have run.
    pub fn may_have_run(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::MayHaveRun, kind, detail: detail.into(), retry_after: None }
    }

    /// Returns whether the connection failed. The call may then have crashed the upstream, which
    /// can't be the case if the upstream refused it.
    pub fn is_connection_failure(&self) -> bool {
        matches!(self.kind, ErrorKind::Connect | ErrorKind::Broken)
    }
}

impl From<CallError> for Refusal {
    fn from(error: CallError) -> Self {
        let reason = match error.kind {
            ErrorKind::TimedOut => Reason::Timeout,
            ErrorKind::Invalid | ErrorKind::Status(400 | 413 | 422) => Reason::BadRequest,
            _ => Reason::UpstreamFailed,
        };
        let detail = format!("upstream: {}: {}", error.kind, error.detail);
        Refusal { verdict: error.verdict, reason, detail, retry_after: error.retry_after }
    }
}
