//! What the gateway needs to know of heads, in its own words.
//!
//! Which header says what is the business of an adapter, which implements [`Dialect`]. The gateway
//! never looks at a header by name, except for those of HTTP itself.

use {
    http::{HeaderMap, Response, request, response},
    std::time::Duration,
    trefoilring_core::{placement::LoadReport, verdict::Refusal},
};

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// The id of this attempt of the caller. Invariant: not empty.
    pub request_id: String,
    /// The secret that names the team.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// The program that it belongs to.
    pub program: Option<ProgramHead>,
    /// What it asks of a model.
    pub generation: Option<GenerationHead>,
    /// The last event that the caller has, when it goes on with a stream.
    pub last_event: Option<u64>,
}

/// What a request says of its program.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProgramHead {
    /// The program's id.
    pub id: String,
    /// The line of turns within the program.
    pub session: Option<String>,
    /// Time left until the program should have ended.
    pub finish_in: Option<Duration>,
    /// Tokens that all turns of the program may generate.
    pub token_budget: Option<u64>,
}

/// What a request asks of a model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GenerationHead {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens that it generates.
    pub output_tokens_max: u64,
    /// Parts of the prompt in order, each with its tokens.
    pub prompt: Vec<PromptPart>,
}

/// A part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// The part's id.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// What is said to an upstream beside the caller's own head.
#[derive(Clone, Copy, Debug)]
pub struct Forwarding<'a> {
    /// Time left, of the caller's and of the route's.
    pub time_left: Duration,
    /// The team whose key came with the request.
    pub team: Option<&'a str>,
    /// The upstream that is meant: another process at the address must not run it.
    pub upstream: &'a str,
    /// The last event passed on, when a stream goes on.
    pub last_event: Option<u64>,
}

/// What an upstream's answer says of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
    /// Whether it belongs to the request that was sent, and not to an earlier one.
    pub is_for_request: bool,
    /// Whether it says that the request did not run and will not.
    pub is_not_run: bool,
    /// Whether another process than the one meant has answered.
    pub is_misdirected: bool,
    /// Whether the upstream vouches for it.
    pub is_signed: bool,
    /// The load that it reports.
    pub load: Option<LoadReport>,
}

/// Reads and writes the heads of the callers' and upstreams' protocol.
pub trait Dialect {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Refuses a head that contradicts itself.
    fn read_call(&self, head: &request::Parts) -> Result<CallHead, Refusal>;

    /// Makes the head for an upstream from the caller's. Headers that concern one connection are
    /// gone from it already.
    fn forward(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>);

    /// Reads the head of an upstream's answer to `request`.
    fn read_answer(&self, request_id: &str, head: &response::Parts) -> AnswerHead;

    /// Makes the answer that refuses a request. `request` is empty when it is not known.
    fn refuse(&self, request_id: &str, refusal: &Refusal) -> Response<String>;
}
