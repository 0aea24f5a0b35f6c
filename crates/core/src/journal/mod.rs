//! The durable log of a home's programs. A journal has one owner at a time and needs no lock
//! service.
//!
//! [`Takeover`] makes a host the owner, [`Journal`] makes records durable, [`Backup`] holds copies
//! for other hosts while the store is unavailable, and [`recover`] reads a journal from its
//! entries. `docs/decisions/0002-journal.md` explains why no acknowledged record is lost and why
//! two owners never write at the same time.
//!
//! A driver executes the commands and passes the results back as events:
//!
//! ```
//! use trefoilring_core::journal::{Command, Event, Journal};
//! use std::time::Instant;
//!
//! /// Starts a store call or RPC without blocking. Its result, an `Event`, arrives later.
//! trait Calls {
//!     fn start(&mut self, command: Command);
//!     fn on_append_update(&mut self, token: u64, command: &Command);
//!     fn on_stopped(&mut self, command: Command);
//!     fn wake_at(&mut self, at: Instant);
//! }
//!
//! fn drive(journal: &mut Journal, calls: &mut impl Calls, now: Instant, event: Event) {
//!     for command in journal.handle(now, event) {
//!         match &command {
//!             // Report exactly one event for each of these calls except `Discard`, even if the
//!             // call fails.
//!             Command::Write(_)
//!             | Command::Read { .. }
//!             | Command::Delete { .. }
//!             | Command::Copy { .. }
//!             | Command::Discard { .. } => calls.start(command),
//!             // On `Durable`, apply the records and, if the lease is still valid, send the
//!             // call or the response. On `Late`, reply `store_unavailable` and keep the token.
//!             // On `OutcomeUnknown` and `Dropped`, send the caller an error and remove the token.
//!             Command::Durable { tokens, .. }
//!             | Command::Late { tokens }
//!             | Command::OutcomeUnknown { tokens }
//!             | Command::Dropped { tokens } => {
//!                 tokens.iter().for_each(|token| calls.on_append_update(*token, &command));
//!             }
//!             // This host no longer owns the journal or its programs.
//!             Command::Fenced { .. } | Command::Closed { .. } => calls.on_stopped(command),
//!             Command::WakeAt(at) => calls.wake_at(*at),
//!         }
//!     }
//! }
//! ```

mod backup;
mod copies;
mod garbage;
mod owner;
mod port;
mod record;
mod recovery;
mod takeover;

pub use {
    backup::{Backup, ClaimReply, CopyReply},
    owner::Journal,
    port::{AppendError, Command, DurableBy, Event, FailureKind, Settings, Token},
    record::{Entry, Opening, Owner, Record, StepResult},
    recovery::{Recovery, recover},
    takeover::{Takeover, TakeoverCommand, TakeoverEvent, TakeoverResult},
};
