//! Refusals, and whether a refused request may have run.
//!
//! All layers report a failed request as a [`Refusal`], including failures after the request was
//! sent. Callers rely on the verdict: [`Verdict::NotRun`] is allowed only if nothing has been sent
//! to an upstream and nothing will be.

use {derive_more::Display, std::time::Duration};

/// Whether a failed request may have taken effect.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Nothing was sent and nothing will be: the caller may send the request again.
    #[display("not_run")]
    NotRun,
    /// The request was sent, or a suspended host may still send it; the outcome is unknown.
    #[display("may_have_run")]
    MayHaveRun,
    /// The request ran to completion, but the answer could not be delivered.
    #[display("ran")]
    Ran,
}

/// Why a request was refused. The names are stable: callers, metrics and the event timeline use
/// them.
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
    /// The request is malformed or has conflicting fields.
    #[display("bad_request")]
    BadRequest,
    /// The request came without a valid key.
    #[display("unauthorized")]
    Unauthorized,
    /// The key's team is not allowed to do this.
    #[display("forbidden")]
    Forbidden,
    /// The program, service or route does not exist.
    #[display("not_found")]
    NotFound,
    /// The step key was used before with another request body.
    #[display("step_conflict")]
    StepConflict,
    /// The team has exceeded its rate and burst limits.
    #[display("over_allowance")]
    OverAllowance,
    /// The program's budget of turns, tokens or wall time is exhausted.
    #[display("budget_spent")]
    BudgetSpent,
    /// The program has ended.
    #[display("program_ended")]
    ProgramEnded,
    /// New programs are refused so that active ones stay near their targets.
    #[display("overloaded")]
    Overloaded,
    /// The service has no live upstream.
    #[display("no_upstream")]
    NoUpstream,
    /// The content is suspected of crashing every upstream that runs it.
    #[display("quarantined")]
    Quarantined,
    /// The upstream failed.
    #[display("upstream_failed")]
    UpstreamFailed,
    /// The upstream did not answer within the deadline.
    #[display("timeout")]
    Timeout,
    /// The program's home, which owns its state, can't be reached or is being replaced.
    #[display("home_unavailable")]
    HomeUnavailable,
    /// The state can't be made durable, because the store is unavailable.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// The host is shutting down.
    #[display("draining")]
    Draining,
    /// The caller has disconnected before the request was sent.
    #[display("caller_gone")]
    CallerGone,
    /// The body exceeds the configured limit.
    #[display("too_large")]
    TooLarge,
    /// The caller sent its request too slowly.
    #[display("slow_request")]
    SlowRequest,
    /// Too many open connections or waiting requests.
    #[display("too_many")]
    TooMany,
    /// An invariant was violated; the logs have details.
    #[display("internal")]
    Internal,
}

/// The failure of a request: verdict, reason, and when to retry.
#[derive(Clone, Debug, Display, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[display("{reason} ({verdict}): {detail}")]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The machine-readable reason. Stable across versions.
    pub reason: Reason,
    /// One sentence for human readers. Never contains a secret.
    pub detail: String,
    /// Delay before a retry; `None` if waiting does not help.
    pub retry_after: Option<Duration>,
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Creates a refusal of a request that was not sent and will not be.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::NotRun, reason, detail: detail.into(), retry_after: None }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason, detail: detail.into(), retry_after: None }
    }

    /// Sets the delay before a retry.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
