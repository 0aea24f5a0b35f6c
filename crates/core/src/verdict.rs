//! Whether a request may have run, and the refusals that carry the answer.
//!
//! A refusal is the only way in which a request fails, from the innermost state machine to the
//! caller. Its verdict is a promise: [`Verdict::NotRun`] may be given only where nothing has been
//! sent to an upstream and nothing will be.

use {derive_more::Display, std::time::Duration};

/// Whether the effect of a request may have happened.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Nothing was sent and nothing will be: the caller may send the request again.
    #[display("not_run")]
    NotRun,
    /// The request was sent, or may yet be by a paused host; its end is unknown.
    #[display("may_have_run")]
    MayHaveRun,
    /// The request ran to its end; the answer could not be delivered.
    #[display("ran")]
    Ran,
}

/// Why a request was refused. Stable names for callers, metrics and the time line.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed or contradicts itself.
    #[display("bad_request")]
    BadRequest,
    /// No valid key came with the request.
    #[display("unauthorized")]
    Unauthorized,
    /// The key's team may not do this.
    #[display("forbidden")]
    Forbidden,
    /// No such program, service or route.
    #[display("not_found")]
    NotFound,
    /// The step key was used before with another request body.
    #[display("step_conflict")]
    StepConflict,
    /// The team is over its rate and burst.
    #[display("over_allowance")]
    OverAllowance,
    /// The program's budget of turns, tokens or wall time is spent.
    #[display("budget_spent")]
    BudgetSpent,
    /// The program has ended.
    #[display("program_ended")]
    ProgramEnded,
    /// New programs are shed to keep those under way near their target.
    #[display("overloaded")]
    Overloaded,
    /// No live upstream serves this.
    #[display("no_upstream")]
    NoUpstream,
    /// The content is suspected of crashing each upstream that runs it.
    #[display("quarantined")]
    Quarantined,
    /// The upstream failed.
    #[display("upstream_failed")]
    UpstreamFailed,
    /// The upstream did not answer within the deadline.
    #[display("timeout")]
    Timeout,
    /// The host that owns the state can't be reached or is being replaced.
    #[display("home_unavailable")]
    HomeUnavailable,
    /// The state can't be made durable at present.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// The host is stopping.
    #[display("draining")]
    Draining,
    /// The body is larger than the settings allow.
    #[display("too_large")]
    TooLarge,
    /// The caller sent its request too slowly.
    #[display("slow_request")]
    SlowRequest,
    /// Too many open connections or waiting requests.
    #[display("too_many")]
    TooMany,
    /// An invariant failed; see the logs.
    #[display("internal")]
    Internal,
}

/// A request's failure: the verdict, the reason, and when to come back.
#[derive(Clone, Debug, Display, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[display("{reason} ({verdict}): {detail}")]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The reason, stable for programs.
    pub reason: Reason,
    /// One sentence for people. Never contains a secret.
    pub detail: String,
    /// When to come back, where waiting helps.
    pub retry_after: Option<Duration>,
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// A refusal of a request of which nothing was sent.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::NotRun, reason, detail: detail.into(), retry_after: None }
    }

    /// A refusal of a request that may have run.
    pub fn may_have_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason, detail: detail.into(), retry_after: None }
    }

    /// Adds when to come back.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
