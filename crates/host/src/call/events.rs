//! Events of a call in the event log.

use {
    super::HomeCall,
    crate::observe::events::EventFields,
    trefoilring_core::{event::Kind, ids::UpstreamId, sched::Outcome, verdict::Refusal},
};

impl HomeCall {
    pub(super) fn record_event(
        &self,
        kind: Kind,
        add_fields: impl FnOnce(EventFields) -> EventFields,
    ) {
        self.shared.events.record(kind, add_fields(EventFields::for_call(&self.call)));
    }

    pub(super) fn record_refusal(&self, refusal: &Refusal) {
        let reason = refusal.reason;
        self.shared.metrics.count(&format!("refused.{reason}"), 1);
        self.record_event(Kind::CallRefused, |fields| {
            fields
                .with("reason", reason.to_string())
                .with("verdict", refusal.verdict.to_string())
                .with("detail", refusal.detail.as_str())
        });
    }

    pub(super) fn record_retry(&self, refusal: &Refusal) {
        self.record_event(Kind::CallRetried, |fields| {
            fields.with("reason", refusal.reason.to_string())
        });
    }

    pub(super) fn record_outcome(&self, upstream: &UpstreamId, outcome: &Outcome) {
        self.record_event(Kind::CallEnded, |fields| {
            let fields = fields.upstream(upstream);
            match outcome {
                Outcome::Done { first_byte, total, usage } => {
                    let fields = fields
                        .with("first_byte_ms", first_byte.as_millis() as u64)
                        .with("total_ms", total.as_millis() as u64);
                    match usage {
                        None => fields,
                        Some(usage) => fields
                            .with("prompt_tokens", usage.prompt_tokens)
                            .with("cached_tokens", usage.cached_tokens)
                            .with("completion_tokens", usage.completion_tokens),
                    }
                }
                other => fields.with("outcome", format!("{other:?}").to_lowercase()),
            }
        });
    }
}
