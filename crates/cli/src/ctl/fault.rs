//! Failures of `trefoilctl` and their exit codes.

use {
    derive_more::Display,
    std::{io, process::ExitCode},
    trefoilring_clients::ReadError,
    trefoilring_config::declarations::DeclarationsError,
};

/// The exit codes, as the help shows them.
pub(super) const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed; the message says why
  2  the command line or the declarations are not accepted
  3  another change came first; nothing was changed
  4  the Object API does not answer; nothing was changed
  5  the Object API does not answer; the change may or may not have been accepted
  6  not confirmed; nothing was changed
  7  accepted, but not known to be in force, or a host not known to be drained, in time
  8  diff: there are differences";

/// Why a command did not do what it was asked.
#[derive(Debug, Display)]
pub(super) enum CtlError {
    /// The command line is not accepted.
    #[display("{_0}")]
    Usage(String),
    /// The declarations are not accepted.
    #[display("{_0}")]
    Declarations(DeclarationsError),
    /// A file can't be read or written.
    #[display("{name}: {error}")]
    File {
        /// The file as it was named.
        name: String,
        /// What the system says.
        error: io::Error,
    },
    /// Something that was named does not exist, or the store holds what can't be read.
    #[display("{_0}")]
    Failed(String),
    /// The store can't be read, or refused a write.
    #[display("the Object API does not answer: {_0}; nothing was changed")]
    Store(String),
    /// The outcome of a change can't be found out.
    #[display("it is not known whether the change {change} was accepted: {cause}")]
    Unknown {
        /// Names the change, to look for later.
        change: String,
        /// What happened.
        cause: String,
    },
    /// Another change came first.
    #[display("{_0}")]
    Conflict(String),
    /// The operator did not say yes.
    #[display("not confirmed; nothing was changed (--yes confirms)")]
    NotConfirmed,
    /// The host has not left the roster.
    #[display("the drain of {host} was accepted, but after {waited_ms} ms it has not ended")]
    NotDrained {
        /// The host.
        host: String,
        /// How long the command waited.
        waited_ms: u128,
    },
    /// Not every host has the version in force.
    #[display("version {version} was accepted, but after {waited_ms} ms these hosts are not known to have it: {}", hosts.join(", "))]
    NotInForce {
        /// The version.
        version: u64,
        /// How long the command waited.
        waited_ms: u128,
        /// The hosts without it.
        hosts: Vec<String>,
    },
}

impl CtlError {
    /// The exit code, as [`EXIT_CODES`] lists it.
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
