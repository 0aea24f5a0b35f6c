//! The states of a call as types, so that none can be skipped.

use crate::{
    ids::{ProgramId, RequestId, StepKey},
    journal::Record,
    message::Message,
};

/// What all states of one call carry. Not cloneable: a call is in one state.
#[derive(Debug)]
pub(super) struct Ticket {
    pub program: ProgramId,
    pub step: StepKey,
    pub request: RequestId,
    pub request_hash: u64,
    /// Whether an intent is recorded, so that an end must be.
    pub has_intent: bool,
    /// Whether it is a model turn.
    pub is_turn: bool,
    /// The new messages of a turn.
    pub messages: Vec<Message>,
}

/// What must come before the call is sent.
#[derive(Debug)]
pub enum Permit {
    /// Nothing: the call may be repeated.
    Now(Cleared),
    /// The intent must be durable first.
    AfterIntent(Intent),
}

/// A call that may not be repeated, before its intent is durable.
#[derive(Debug)]
#[must_use = "append the record, or withdraw the intent"]
pub struct Intent {
    pub(super) ticket: Box<Ticket>,
    pub(super) record: Box<Record>,
}

impl Intent {
    /// The record to append.
    pub fn record(&self) -> &Record {
        &self.record
    }
}

/// A call that may be sent.
#[derive(Debug)]
#[must_use = "send the call, or record that it was not"]
pub struct Cleared {
    pub(super) ticket: Box<Ticket>,
}

/// A call that was sent.
#[derive(Debug)]
#[must_use = "record how the call ended"]
pub struct Sent {
    pub(super) ticket: Box<Ticket>,
}

/// A call that ended, before its end is durable.
#[derive(Debug)]
#[must_use = "append the record, or free the program"]
pub struct Ending {
    pub(super) ticket: Box<Ticket>,
    pub(super) record: Box<Record>,
}

impl Ending {
    /// The record to append.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// The request that began the call.
    pub fn request(&self) -> &RequestId {
        &self.ticket.request
    }
}
