//! The stages of a call as types, so that no stage can be skipped.

use crate::{
    ids::{ProgramId, RequestId, StepKey},
    journal::Record,
    message::Message,
};

/// Data common to all stages of a call. Not `Clone`, because a call is in one stage at a time.
#[derive(Debug)]
pub(super) struct CallContext {
    pub program: ProgramId,
    pub step: StepKey,
    pub request: RequestId,
    pub request_hash: u64,
    /// Whether an intent is recorded. If so, the end must be recorded too.
    pub has_intent: bool,
    /// Whether the call is a model turn.
    pub is_turn: bool,
    /// The new messages of a turn.
    pub messages: Vec<Message>,
}

/// Whether a call may be sent now or only after its intent is durable.
#[derive(Debug)]
pub enum Permit {
    /// The call may be sent at once, because it is repeatable.
    Now(ReadyToSend),
    /// The intent must be durable first.
    AfterIntent(Intent),
}

/// A non-repeatable call whose intent must be appended before it is sent.
#[derive(Debug)]
#[must_use = "append the record, or withdraw the intent"]
pub struct Intent {
    pub(super) context: Box<CallContext>,
    pub(super) record: Box<Record>,
}

impl Intent {
    /// Returns the record to append.
    pub fn record(&self) -> &Record {
        &self.record
    }
}

/// A call that may be sent.
#[derive(Debug)]
#[must_use = "send the call, or record that it was not"]
pub struct ReadyToSend {
    pub(super) context: Box<CallContext>,
}

/// A call that was sent.
#[derive(Debug)]
#[must_use = "record how the call ended"]
pub struct Sent {
    pub(super) context: Box<CallContext>,
}

/// An ended call whose end is not durable yet.
#[derive(Debug)]
#[must_use = "append the record, or free the program"]
pub struct EndedCall {
    pub(super) context: Box<CallContext>,
    pub(super) record: Box<Record>,
}

impl EndedCall {
    /// Returns the record to append.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the request that started the call.
    pub fn request(&self) -> &RequestId {
        &self.context.request
    }
}
