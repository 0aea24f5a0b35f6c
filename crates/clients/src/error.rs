//! Failures of calls, with what they say about the effect.

use {
    derive_more::{Display, Error},
    std::time::Duration,
    trefoilring_core::verdict::{Reason, Refusal, Verdict},
};

/// How a call failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ErrorKind {
    /// No connection could be made.
    #[display("connect")]
    Connect,
    /// The upstream refused the call before running it (429 or 503).
    #[display("busy")]
    Busy,
    /// The connection broke before the answer was whole.
    #[display("broken")]
    Broken,
    /// No whole answer came within the deadline.
    #[display("timeout")]
    TimedOut,
    /// The upstream answered with an error status.
    #[display("status {_0}")]
    Status(u16),
    /// The answer does not follow the protocol.
    #[display("malformed")]
    Malformed,
    /// The answer is larger than the bound.
    #[display("too large")]
    TooLarge,
    /// The request can't be expressed in HTTP; nothing was sent.
    #[display("invalid request")]
    Invalid,
}

/// A failed call.
///
/// Invariant: the verdict is [`Verdict::NotRun`] only if no byte of the request was written, or if
/// the upstream said with a status that it ran nothing.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{kind} ({verdict}): {detail}")]
pub struct CallError {
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// How it failed.
    pub kind: ErrorKind,
    /// One sentence for people. Holds no header and no body of the request.
    pub detail: String,
    /// When the upstream wants to be asked again, if it said so.
    pub retry_after: Option<Duration>,
}

impl CallError {
    /// A failure of a call of which nothing ran.
    pub fn not_run(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::NotRun, kind, detail: detail.into(), retry_after: None }
    }

    /// A failure of a call that may have run.
    pub fn may_have_run(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::MayHaveRun, kind, detail: detail.into(), retry_after: None }
    }

    /// Returns whether the upstream may have died from the call, rather than refused it.
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
