//! Interface to the site-specific HTTP headers.
//!
//! An adapter implements [`Dialect`] and maps the headers to these types. The gateway itself reads
//! only standard HTTP headers.

use {
    http::{HeaderMap, Response, request, response},
    std::time::Duration,
    trefoilring_core::{
        placement::{LoadReport, PromptPart},
        verdict::Refusal,
    },
};

/// Metadata in the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallMetadata {
    /// Id of the request; each retry by the caller has a new one. Invariant: not empty.
    pub request_id: String,
    /// Secret key that identifies the team.
    pub key: Option<String>,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// The program that the request belongs to.
    pub program: Option<ProgramMetadata>,
    /// Parameters of a turn; `None` if the request is not for a model.
    pub generation: Option<GenerationMetadata>,
    /// Id of the request whose turn this one continues, if the hosts keep the turns. Names no turn
    /// that exists if it is empty.
    pub previous_turn: Option<String>,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The object that the request concerns. Requests on the same object are faster at an upstream that
    /// handled it lately.
    pub object: Option<String>,
    /// Id of the request that brought the first event of the stream, if the caller takes it up again.
    pub resumed_request: Option<String>,
}

/// Program metadata in the head of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProgramMetadata {
    /// Id of the program. Also serves as the session id if `session` is `None`.
    pub id: String,
    /// Session within the program: a chain of turns, each continuing the last.
    pub session: Option<String>,
    /// Time left until the program should end.
    pub finish_in: Option<Duration>,
    /// Maximum number of tokens that all turns of the program may generate together.
    pub token_budget: Option<u64>,
}

/// Parameters of a turn.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GenerationMetadata {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of generated tokens.
    pub output_tokens_max: u64,
    /// Parts of the prompt in order.
    pub prompt: Vec<PromptPart>,
}

/// Values that the adapter adds to the caller's head when it is forwarded to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Forwarding<'a> {
    /// Time left until the caller's timeout or the route's, whichever is first.
    pub time_left: Duration,
    /// The team whose key the request carries.
    pub team: Option<&'a str>,
    /// Id of the intended upstream: another process at its address must not run the request.
    pub upstream: &'a str,
    /// Id of the last event that the caller has, if a stream is resumed.
    pub last_event: Option<u64>,
}

/// Metadata in the head of an upstream's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerMetadata {
    /// Whether the answer names the request that was sent.
    pub matches_request: bool,
    /// Whether the answer names another request: it is a late answer to an earlier one.
    pub names_other_request: bool,
    /// Whether the upstream reports that the request did not run and will not.
    pub did_not_run: bool,
    /// Whether a process other than the intended upstream has answered.
    pub is_misdirected: bool,
    /// Whether the answer carries the upstream's signature.
    pub is_signed: bool,
    /// The load that the upstream reports.
    pub load: Option<LoadReport>,
    /// Whether the upstream says that it is about to stop.
    pub is_leaving: bool,
    /// Requests a second that the upstream takes from all hosts together, if it names a limit.
    pub rate_limit_per_s: Option<f64>,
    /// How much longer the upstream is cold, if it says that it is.
    pub cold_left: Option<Duration>,
}

/// Reads and writes the heads of the callers' and upstreams' protocol.
pub trait Dialect {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the head is incomplete or contradictory.
    fn read_call(&self, head: &request::Parts) -> Result<CallMetadata, Refusal>;

    /// Changes the caller's headers into those for an upstream. The gateway has already removed
    /// the headers that concern only one connection.
    fn rewrite_headers(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>);

    /// Reads the head of an upstream's answer to the request with this id.
    fn read_answer(&self, request_id: &str, head: &response::Parts) -> AnswerMetadata;

    /// Creates the answer that refuses a request. `request_id` is empty if it is not known.
    fn refuse(&self, request_id: &str, refusal: &Refusal) -> Response<String>;
}
