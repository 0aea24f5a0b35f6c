//! The durable log of a home's programs: one owner at a time, without a lock service.
//!
//! [`Takeover`] makes a host the owner, [`Journal`] makes records durable, [`Backup`] holds copies
//! for other hosts while the store is down, and [`recover`] reads what is in a journal. The
//! argument why no acknowledged record is lost and no two owners write is in
//! `docs/decisions/0002-journal.md`.
//!
//! A driver runs the calls and feeds the answers back:
//!
//! ```
//! use trefoilring_core::journal::{Command, Event, Journal};
//! use std::time::Instant;
//!
//! /// Runs one store call or RPC without blocking and sends the answer, an `Event`, later.
//! trait Calls {
//!     fn start(&mut self, command: Command);
//!     fn call_ended(&mut self, token: u64, command: &Command);
//!     fn wake_at(&mut self, at: Instant);
//! }
//!
//! fn drive(journal: &mut Journal, calls: &mut impl Calls, now: Instant, event: Event) {
//!     for command in journal.handle(now, event) {
//!         match &command {
//!             // Each is answered by exactly one event, also when it fails.
//!             Command::Write(_)
//!             | Command::Read { .. }
//!             | Command::Delete { .. }
//!             | Command::Copy { .. }
//!             | Command::Discard { .. } => calls.start(command),
//!             // Durable: apply the records, check the lease, then act. Late: answer
//!             // `store_unavailable` and keep the token. Lost, Dropped: answer and forget it.
//!             Command::Durable { tokens, .. }
//!             | Command::Late { tokens }
//!             | Command::Lost { tokens }
//!             | Command::Dropped { tokens } => {
//!                 tokens.iter().for_each(|token| calls.call_ended(*token, &command));
//!             }
//!             // The programs of this journal belong to another host now.
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
