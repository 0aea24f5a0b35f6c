//! Errors of `trefoilctl` and their exit codes.

use {
    derive_more::Display,
    std::{io, process::ExitCode},
    trefoilring_clients::ReadError,
    trefoilring_config::declarations::DeclarationsError,
};

/// Description of the exit codes for the help text.
pub(super) const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed; the message states the reason
  2  the command line or the declarations are not accepted
  3  conflict with another change; nothing was changed
  4  a request to the Object API failed; nothing was changed
  5  a request to the Object API failed; the change may or may not have been accepted
  6  not confirmed; nothing was changed
  7  accepted, but not in force on every host, or not drained, before the wait timed out
  8  diff: there are differences";

/// Reason why a command failed.
#[derive(Debug, Display)]
pub(super) enum CtlError {
    /// The command line is invalid.
    #[display("{_0}")]
    Usage(String),
    /// The declarations are invalid.
    #[display("{_0}")]
    Declarations(DeclarationsError),
    /// A file can't be read or written.
    #[display("{name}: {error}")]
    File {
        /// File name as given by the user, or the name of a standard stream.
        name: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// Any other failure. The message states the reason.
    #[display("{_0}")]
    Failed(String),
    /// A read from the store or a write to it failed. Nothing was changed.
    #[display("request to the Object API failed: {_0}; nothing was changed")]
    Store(String),
    /// The outcome of a change is unknown.
    #[display("unknown whether the change {change} was accepted: {cause}")]
    Unknown {
        /// Id of the change, by which the operator can look for it later.
        change: String,
        /// Reason why the outcome is unknown.
        cause: String,
    },
    /// Another change was accepted first.
    #[display("{_0}")]
    Conflict(String),
    /// The operator did not confirm.
    #[display("not confirmed; nothing was changed (use --yes to confirm)")]
    NotConfirmed,
    /// The host has not left its roster before the wait timed out.
    #[display(
        "the drain of {host} was accepted, but {host} is still in its roster after {waited_ms} ms"
    )]
    NotDrained {
        /// Name of the host.
        host: String,
        /// Time that the command waited.
        waited_ms: u128,
    },
    /// Some hosts have not reported the version in force before the wait timed out.
    #[display(
        "version {version} was accepted, but these hosts have not reported it in force \
         after {waited_ms} ms: {}",
        hosts.join(", ")
    )]
    NotInForce {
        /// The accepted version.
        version: u64,
        /// Time that the command waited.
        waited_ms: u128,
        /// The hosts that have not reported it.
        hosts: Vec<String>,
    },
}

impl CtlError {
    /// Returns the exit code, as listed in [`EXIT_CODES`].
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::File { .. } | Self::Failed(_) => 1,
            Self::Usage(_) | Self::Declarations(_) => 2,
            Self::Conflict(_) => 3,
            Self::Store(_) => 4,
            Self::Unknown { .. } => 5,
            Self::NotConfirmed => 6,
            Self::NotInForce { .. } | Self::NotDrained { .. } => 7,
        })
    }
}

impl From<DeclarationsError> for CtlError {
    fn from(error: DeclarationsError) -> Self {
        Self::Declarations(error)
    }
}

impl From<ReadError> for CtlError {
    fn from(error: ReadError) -> Self {
        Self::Store(error.to_string())
    }
}
