//! Calls as they travel from the entry to the home, and their answers on the way back.

use {
    crate::{
        catalog::Budget,
        ids::{ClassId, KeyId, ProgramId, RequestId, ServiceId, StepKey, TeamId},
        message::Message,
    },
    std::time::Duration,
};

/// Who calls, after the key was checked. The secret is not kept.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Caller {
    /// The team for which the call runs.
    pub team: TeamId,
    /// The key's name, by which a withdrawal finds open streams.
    pub key: KeyId,
}

/// A request for a new program.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CreateProgram {
    /// The class of work; its target holds for the whole program.
    pub class: ClassId,
    /// Less than the class's budget, or `None` for all of it.
    pub budget: Option<Budget>,
    /// The parent, whose budget, class and start a child shares.
    pub parent: Option<ProgramId>,
    /// Names the creation, so that a repeat returns the same program.
    pub step: Option<StepKey>,
}

/// One call of a program.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Call {
    /// Names this request in logs and events.
    pub request: RequestId,
    /// The program.
    pub program: ProgramId,
    /// Who calls.
    pub caller: Caller,
    /// Names the step within the program: from the caller, or made by the entry.
    pub step: StepKey,
    /// What to run.
    pub work: Work,
}

/// What a call runs.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Work {
    /// A model turn.
    Turn(Turn),
    /// A call to a tool or plain service.
    Service(ServiceCall),
}

/// A model turn: only the new messages; the system holds the history.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Turn {
    /// The model asked for.
    pub model: String,
    /// Messages that are new since the last turn.
    pub messages: Vec<Message>,
    /// Whether the caller wants events as they come.
    pub is_streamed: bool,
    /// All other fields of the request (sampling, limits, tools), passed on unread.
    pub options: serde_json::Map<String, serde_json::Value>,
}

/// A call to a tool or plain service.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ServiceCall {
    /// The service.
    pub service: ServiceId,
    /// Upper-case HTTP method.
    pub method: String,
    /// Path and query without the leading slash.
    pub path: String,
    /// Headers to pass on. Invariant: without the caller's key and hop-by-hop headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// A part of an answer.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Chunk {
    /// The start of an answer; comes first and once.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers to pass to the caller.
        headers: Vec<(String, String)>,
    },
    /// One event of a streamed turn: the JSON after `data: `.
    Event(String),
    /// Bytes of the body of any other answer.
    Body(Vec<u8>),
}

/// A program as its caller sees it.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ProgramInfo {
    /// The program.
    pub program: ProgramId,
    /// The parent, for a child.
    pub parent: Option<ProgramId>,
    /// The class.
    pub class: ClassId,
    /// The team.
    pub team: TeamId,
    /// Whether it has ended, and why.
    pub ended: Option<String>,
    /// What it may spend.
    pub budget: Budget,
    /// Turns spent, with children.
    pub turns: u32,
    /// Tokens spent, with children.
    pub tokens: u64,
    /// Time since it was created.
    pub age: Duration,
    /// Messages in its history.
    pub history_messages: usize,
}

/// How an entry reaches the home of a program, and what it asks there.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum ProgramQuery {
    /// Its present state.
    Info,
    /// Its whole history.
    History,
    /// End it, and release what engines hold for it.
    End,
}
