//! Runs model turns: attempts, deduplication of streamed text, and the record of the result.

use {
    super::{
        HomeCall, PreparedCall,
        attempt::{Attempt, PriorAttempts, may_retry},
        send_result,
    },
    crate::{
        control::{Control, Reply},
        upstream::{AnswerSender, StreamDedup, TurnEnd, event_stream_head, run_turn, step_result},
    },
    std::sync::Arc,
    trefoilring_clients::ChatRequest,
    trefoilring_core::{
        call::{Chunk, Turn, Work},
        event::Kind,
        ids::UpstreamId,
        journal::StepResult,
        message::Message,
        program::{Permit, Sent},
        verdict::{Reason, Refusal},
    },
};

impl HomeCall {
    pub(super) async fn run_turn(
        &self,
        turn: &Turn,
        request: ChatRequest,
        prepared: &PreparedCall,
        mut permit: Permit,
        out: &AnswerSender,
    ) -> Result<(), Refusal> {
        let mut dedup = turn.is_streamed.then(StreamDedup::default);
        let mut prior = PriorAttempts::default();
        for attempt in 1.. {
            let send =
                async |address| run_turn(address, request.clone(), out, dedup.as_mut()).await;
            match self.attempt(prepared, permit, send).await {
                Attempt::Done(end, sent, upstream) => {
                    return self.end_turn(end, sent, upstream, dedup.as_ref(), out).await;
                }
                Attempt::Retry(ready, refusal) => {
                    prior.record_failure(&refusal);
                    let can_continue = dedup.as_mut().is_none_or(StreamDedup::restart);
                    if !may_retry(attempt, &refusal, prepared) || !can_continue {
                        self.return_permit(Permit::Now(ready));
                        return Err(prior.combined_refusal(refusal));
                    }
                    self.record_retry(&refusal);
                    permit = Permit::Now(ready);
                }
                Attempt::Failed(refusal) => return Err(prior.combined_refusal(refusal)),
            }
        }
        Err(Refusal::not_run(Reason::Internal, "no attempt was made"))
    }

    pub(super) fn chat_request(
        &self,
        turn: &Turn,
        messages: &[Arc<Message>],
        max_completion_tokens: u64,
        prepared: &PreparedCall,
    ) -> ChatRequest {
        let mut options = turn.options.clone();
        options.remove("max_completion_tokens");
        options.insert("max_tokens".into(), max_completion_tokens.into());
        ChatRequest {
            program: self.call.program.clone(),
            model: turn.model.clone(),
            messages: messages.iter().map(|message| Message::clone(message)).collect(),
            options,
            resume_id: Some(self.call.request.to_string()),
            fencing_epoch: prepared.fencing_epoch(),
            deadline: prepared.deadline,
        }
    }

    /// Records the end of a turn, then sends the rest of the answer to the caller.
    async fn end_turn(
        &self,
        end: TurnEnd,
        sent: Sent,
        upstream: UpstreamId,
        dedup: Option<&StreamDedup>,
        out: &AnswerSender,
    ) -> Result<(), Refusal> {
        let headers = vec![("content-type".to_string(), "application/json".to_string())];
        let body = end.completion.to_string().into_bytes();
        let result = step_result(200, headers, body);
        let (program, recorded) = (self.call.program.clone(), result.clone());
        let turn_result = (end.message, end.usage, upstream);
        let job = move |control: &mut Control, reply: Reply<_>| {
            control.homes.end_turn(&program, sent, turn_result, recorded, reply);
        };
        self.shared.control.request(job).await??;
        self.record_event(Kind::CallRecorded, |fields| fields);
        match dedup {
            None => send_result(out, &result).await,
            Some(dedup) => {
                if !dedup.is_started() {
                    let _ = out.send(Ok(event_stream_head())).await;
                }
                for json in end.held {
                    let _ = out.send(Ok(Chunk::Event(json))).await;
                }
            }
        }
        Ok(())
    }

    /// Sends the recorded answer of a finished step, as a stream if the repeated request asks for
    /// one.
    pub(super) async fn replay(&self, out: &AnswerSender, result: &StepResult) {
        let is_streamed = matches!(&self.call.work, Work::Turn(turn) if turn.is_streamed);
        let event = is_streamed.then(|| replayed_event(&result.text)).flatten();
        match event {
            None => send_result(out, result).await,
            Some(event) => {
                let _ = out.send(Ok(event_stream_head())).await;
                let _ = out.send(Ok(Chunk::Event(event))).await;
            }
        }
    }
}

/// Returns one event with the complete answer, for a repeated streamed turn.
fn replayed_event(completion: &str) -> Option<String> {
    let mut value: serde_json::Value = serde_json::from_str(completion).ok()?;
    value["object"] = "chat.completion.chunk".into();
    for choice in value["choices"].as_array_mut()? {
        let message = choice["message"].take();
        choice["delta"] = message;
        choice.as_object_mut()?.remove("message");
    }
    Some(value.to_string())
}
