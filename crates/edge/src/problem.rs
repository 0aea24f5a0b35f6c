//! Converts refusals to HTTP replies: problem+json (RFC 9457) with a verdict.

use {
    http_types::StatusCode,
    std::time::Duration,
    trefoilring_core::verdict::{Reason, Refusal, Verdict},
};

/// Media type of a problem, as defined by RFC 9457.
pub(crate) const PROBLEM_JSON: &str = "application/problem+json";

/// A refusal and the HTTP status of its reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Problem {
    pub refusal: Refusal,
    pub status: StatusCode,
    /// Value of the `Allow` header, set for 405.
    pub allow: Option<&'static str>,
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let status = match (refusal.reason, refusal.retry_after) {
            // The key may be valid: this host can't check it at present.
            (Reason::Unauthorized, Some(_)) => StatusCode::ServiceUnavailable,
            (reason, _) => status_of(reason),
        };
        Self { refusal, status, allow: None }
    }
}

impl Problem {
    /// Creates a problem for a request that was refused before anything was sent to an upstream.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Refusal::not_run(reason, detail).into()
    }

    /// Creates a problem for a malformed request.
    pub fn bad_request(detail: impl Into<String>) -> Self {
        Self::not_run(Reason::BadRequest, detail)
    }

    /// Overrides the status that follows from the reason.
    pub fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }

    /// Creates a problem for a method that the route does not support.
    pub fn method_not_allowed(allow: &'static str) -> Self {
        let detail = format!("this route takes {allow}");
        let problem = Self::bad_request(detail).with_status(StatusCode::MethodNotAllowed);
        Self { allow: Some(allow), ..problem }
    }

    /// Serializes the problem as JSON.
    pub fn to_json(&self) -> String {
        let body = ProblemJson {
            kind: format!("urn:trefoilring:problem:{}", self.refusal.reason),
            title: title_of(self.refusal.reason),
            status: self.status.into(),
            detail: &self.refusal.detail,
            verdict: self.refusal.verdict,
            reason: self.refusal.reason,
            retry_after_ms: self.refusal.retry_after.map(|after| after.as_millis()),
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Returns the headers of the reply, except its media type.
    pub fn headers(&self) -> Vec<(String, String)> {
        let mut headers = vec![("X-Should-Retry".into(), self.should_retry().to_string())];
        if let Some(after) = self.refusal.retry_after {
            headers.push(("Retry-After".into(), ceil_seconds(after).to_string()));
        }
        if let Some(allow) = self.allow {
            headers.push(("Allow".into(), allow.into()));
        }
        if self.status == StatusCode::Unauthorized {
            headers.push(("WWW-Authenticate".into(), "Bearer".into()));
        }
        headers
    }

    /// Returns whether a retry of the same request may succeed and can't repeat an effect. Sent as
    /// `X-Should-Retry`. Without it, chat clients that retry by status alone would repeat a turn
    /// whose outcome is unknown.
    fn should_retry(&self) -> bool {
        let is_transient = matches!(
            self.refusal.reason,
            Reason::OverAllowance
                | Reason::Overloaded
                | Reason::NoUpstream
                | Reason::HomeUnavailable
                | Reason::StoreUnavailable
                | Reason::Draining
                | Reason::TooMany
                | Reason::SlowRequest
                | Reason::UpstreamFailed
                | Reason::Timeout
        );
        let is_key_unconfirmed = self.refusal.reason == Reason::Unauthorized
            && self.status == StatusCode::ServiceUnavailable;
        (is_transient || is_key_unconfirmed) && self.refusal.verdict == Verdict::NotRun
    }
}

#[derive(serde::Serialize)]
struct ProblemJson<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    verdict: Verdict,
    reason: Reason,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

/// Rounds up to seconds, so that a caller that honors `Retry-After` doesn't retry too early.
fn ceil_seconds(after: Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}

/// Returns the default status of a reason. Common chat clients automatically retry 408, 409, 429
/// and 5xx, so reasons for which a retry can't succeed have another status. The exception is
/// `Internal`, which is reported as 500.
fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest => StatusCode::BadRequest,
        Reason::Unauthorized => StatusCode::Unauthorized,
        Reason::Forbidden | Reason::BudgetSpent => StatusCode::Forbidden,
        Reason::NotFound => StatusCode::NotFound,
        Reason::ProgramEnded => StatusCode::Gone,
        Reason::StepConflict | Reason::Quarantined => StatusCode::UnprocessableEntity,
        Reason::OverAllowance => StatusCode::TooManyRequests,
        Reason::UpstreamFailed => StatusCode::BadGateway,
        Reason::Timeout => StatusCode::GatewayTimeout,
        Reason::TooLarge => StatusCode::PayloadTooLarge,
        Reason::SlowRequest => StatusCode::RequestTimeout,
        Reason::Internal => StatusCode::InternalServerError,
        Reason::Overloaded
        | Reason::NoUpstream
        | Reason::HomeUnavailable
        | Reason::StoreUnavailable
        | Reason::Draining
        | Reason::CallerGone
        | Reason::TooMany => StatusCode::ServiceUnavailable,
    }
}

fn title_of(reason: Reason) -> &'static str {
    match reason {
        Reason::BadRequest => "The request is malformed",
        Reason::Unauthorized => "No valid key",
        Reason::Forbidden => "Not allowed for this team",
        Reason::NotFound => "Not found",
        Reason::StepConflict => "The step was used for another request",
        Reason::OverAllowance => "Over the team's allowance",
        Reason::BudgetSpent => "The program's budget is spent",
        Reason::ProgramEnded => "The program has ended",
        Reason::Overloaded => "Overloaded",
        Reason::NoUpstream => "No live upstream",
        Reason::Quarantined => "The content is quarantined",
        Reason::UpstreamFailed => "The upstream failed",
        Reason::Timeout => "The upstream did not answer in time",
        Reason::HomeUnavailable => "The program's home is unavailable",
        Reason::StoreUnavailable => "The store is unavailable",
        Reason::Draining => "The host is stopping",
        Reason::CallerGone => "The caller has disconnected",
        Reason::TooLarge => "The request is too large",
        Reason::SlowRequest => "The request came too slowly",
        Reason::TooMany => "Too many connections or requests",
        Reason::Internal => "Internal error",
    }
}
