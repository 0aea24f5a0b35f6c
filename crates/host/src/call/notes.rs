//! What a call writes to the time line.

use {
    super::HomeCall,
    crate::observe::events::About,
    trefoilring_core::{event::Kind, ids::UpstreamId, sched::Outcome, verdict::Refusal},
};

impl HomeCall {
    pub(super) fn note(&self, kind: Kind, more: impl FnOnce(About) -> About) {
        self.shared.events.note(kind, more(About::call(&self.call)));
    }

    pub(super) fn note_refused(&self, refusal: &Refusal) {
        let reason = refusal.reason;
        self.shared.metrics.count(&format!("refused.{reason}"), 1);
        self.note(Kind::CallRefused, |about| {
            about
                .with("reason", reason.to_string())
                .with("verdict", refusal.verdict.to_string())
                .with("detail", refusal.detail.as_str())
        });
    }

    pub(super) fn note_retry(&self, refusal: &Refusal) {
        self.note(Kind::CallRetried, |about| about.with("reason", refusal.reason.to_string()));
    }

    pub(super) fn note_outcome(&self, upstream: &UpstreamId, outcome: &Outcome) {
        self.note(Kind::CallEnded, |about| {
            let about = about.upstream(upstream);
            match outcome {
                Outcome::Done { first_byte, total, usage } => {
                    let about = about
                        .with("first_byte_ms", first_byte.as_millis() as u64)
                        .with("total_ms", total.as_millis() as u64);
                    match usage {
                        None => about,
                        Some(usage) => about
                            .with("prompt_tokens", usage.prompt_tokens)
                            .with("cached_tokens", usage.cached_tokens)
                            .with("completion_tokens", usage.completion_tokens),
                    }
                }
                other => about.with("outcome", format!("{other:?}").to_lowercase()),
            }
        });
    }
}
