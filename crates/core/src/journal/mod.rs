//! The durable log of a home's programs. A journal has one owner at a time and needs no lock
//! service.
//!
//! [`Takeover`] makes a host the owner, [`Journal`] makes records durable, [`Backup`] holds copies
//! for other hosts while the store is unavailable, and [`recover`] reads a journal from its
//! entries. `docs/decisions/0002-journal.md` argues why no acknowledged record is lost and why no
//! two owners write.
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
//!     fn call_ended(&mut self, token: u64, command: &Command);
//!     fn wake_at(&mut self, at: Instant);
//! }
//!
//! fn drive(journal: &mut Journal, calls: &mut impl Calls, now: Instant, event: Event) {
//!     for command in journal.handle(now, event) {
//!         match &command {
//!             // Each gets exactly one event in reply, also if it fails.
//!             Command::Write(_)
//!             | Command::Read { .. }
//!             | Command::Delete { .. }
//!             | Command::Copy { .. }
//!             | Command::Discard { .. } => calls.start(command),
//!             // Durable: apply the records, check the lease, then act. Late: reply
//!             // `store_unavailable` and keep the token. OutcomeUnknown, Dropped: reply and
//!             // forget the token.
//!             Command::Durable { tokens, .. }
//!             | Command::Late { tokens }
//!             | Command::OutcomeUnknown { tokens }
//!             | Command::Dropped { tokens } => {
//!                 tokens.iter().for_each(|token| calls.call_ended(*token, &command));
//!             }
//!             // This host no longer owns the journal or its programs.
//!             Command::Fenced { .. } | Command::Closed { .. } => calls.start(command),
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
    takeover::{Owned, Takeover, TakeoverCommand, TakeoverEvent},
};
