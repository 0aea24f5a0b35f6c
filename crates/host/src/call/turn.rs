//! Model turns.

use {
    super::{
        HomeCall, Prepared,
        attempt::{Attempt, Earlier, may_retry},
        send_result,
    },
    crate::{
        control::{Control, Reply},
        upstream::{Out, TextGate, TurnEnd, event_stream_head, run_turn, step_result},
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
        job: &Prepared,
        mut permit: Permit,
        out: &Out,
    ) -> Result<(), Refusal> {
        let mut gate = turn.is_streamed.then(TextGate::default);
        let mut earlier = Earlier::default();
        for attempt in 1.. {
            let send = async |address| run_turn(address, request.clone(), out, gate.as_mut()).await;
            match self.attempt(job, permit, send).await {
                Attempt::Done(end, sent, upstream) => {
                    return self.end_turn(end, sent, upstream, gate.as_ref(), out).await;
                }
                Attempt::Again(cleared, refusal) => {
                    earlier.note(&refusal);
                    let can_go_on = gate.as_mut().is_none_or(TextGate::rewind);
                    if !may_retry(attempt, &refusal, job) || !can_go_on {
                        self.give_back(Permit::Now(cleared));
                        return Err(earlier.bound(refusal));
                    }
                    self.note_retry(&refusal);
                    permit = Permit::Now(cleared);
                }
                Attempt::Failed(refusal) => return Err(earlier.bound(refusal)),
            }
        }
        Err(Refusal::not_run(Reason::Internal, "no attempt was made"))
    }

    pub(super) fn chat_request(
        &self,
        turn: &Turn,
        messages: &[Arc<Message>],
        completion_tokens: u64,
        job: &Prepared,
    ) -> ChatRequest {
        let mut options = turn.options.clone();
        options.remove("max_completion_tokens");
        options.insert("max_tokens".into(), completion_tokens.into());
        ChatRequest {
            program: self.call.program.clone(),
            model: turn.model.clone(),
            messages: messages.iter().map(|message| Message::clone(message)).collect(),
            options,
            resume_id: Some(self.call.request.to_string()),
            fencing_epoch: job.fencing_epoch(),
            deadline: job.deadline,
        }
    }

    /// Records the end of a turn, then gives the caller the rest of the answer.
    async fn end_turn(
        &self,
        end: TurnEnd,
        sent: Sent,
        upstream: UpstreamId,
        gate: Option<&TextGate>,
        out: &Out,
    ) -> Result<(), Refusal> {
        let headers = vec![("content-type".to_string(), "application/json".to_string())];
        let body = end.completion.to_string().into_bytes();
        let result = step_result(200, headers, body);
        let (program, recorded) = (self.call.program.clone(), result.clone());
        let answer = (end.message, end.usage, upstream);
        let job = move |control: &mut Control, reply: Reply<_>| {
            control.homes.turn_ended(&program, sent, answer, recorded, reply);
        };
        self.shared.control.ask(job).await??;
        self.note(Kind::CallRecorded, |about| about);
        match gate {
            None => send_result(out, &result).await,
            Some(gate) => {
                if !gate.is_started() {
                    let _ = out.send(Ok(event_stream_head())).await;
                }
                for json in end.held {
                    let _ = out.send(Ok(Chunk::Event(json))).await;
                }
            }
        }
        Ok(())
    }

    /// Gives the recorded answer of a finished step, in the form that is asked for now.
    pub(super) async fn replay(&self, out: &Out, result: &StepResult) {
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

/// One event with the whole answer, for a repeat of a streamed turn.
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
