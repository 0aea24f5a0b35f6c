//! Recording how calls end.

use {
    super::{EndedCall, Intent, Moment, Programs, ReadyToSend, Release, Sent, stage::CallContext},
    crate::{
        ids::UpstreamId,
        journal::{Record, StepResult},
        message::{Message, Usage},
    },
};

/// The action required when a call ends without a result.
#[derive(Debug)]
pub enum EndAction {
    /// Append the record. The program's next call waits until it is durable.
    Append(EndedCall),
    /// Append nothing, because the call is repeatable. The next call may start.
    NothingToRecord,
}

impl Programs {
    /// Applies an intent that has become durable. Check the lease after this, immediately before
    /// sending.
    pub fn intent_durable(&mut self, now: Moment, intent: Intent) -> ReadyToSend {
        self.apply(now, &intent.record);
        ReadyToSend { context: intent.context }
    }

    /// Discards an intent that the journal rejected. The call did not run, and the next call may
    /// start.
    pub fn withdraw(&mut self, intent: Intent) {
        self.clear_running(&intent.context);
    }

    /// Marks a call as sent to an upstream. Call this immediately after the lease check, with
    /// nothing in between.
    pub fn mark_sent(&mut self, ready: ReadyToSend, upstream: UpstreamId) -> Sent {
        let context = ready.context;
        if let Some(program) = self.programs.get_mut(&context.program)
            && context.is_turn
        {
            program.cache_upstreams.insert(upstream);
        }
        Sent { context }
    }

    /// Ends a turn. Creates the record of its end, with `answer` as the engine's message.
    pub fn end_turn(
        &self,
        sent: Sent,
        answer: Message,
        usage: Usage,
        upstream: UpstreamId,
        result: StepResult,
    ) -> EndedCall {
        let mut context = sent.context;
        let mut messages = std::mem::take(&mut context.messages);
        messages.push(answer);
        let record = Record::TurnEnded {
            program: context.program.clone(),
            step: context.step.clone(),
            request_hash: context.request_hash,
            messages,
            usage,
            upstream,
            result,
        };
        EndedCall { context, record: Box::new(record) }
    }

    /// Ends a call to a tool or plain service. Creates the record of its end.
    pub fn end_service_call(&self, sent: Sent, result: StepResult) -> EndedCall {
        let context = sent.context;
        let record = Record::CallEnded {
            program: context.program.clone(),
            step: context.step.clone(),
            request_hash: context.request_hash,
            result,
        };
        EndedCall { context, record: Box::new(record) }
    }

    /// Allows a call to be sent again after an upstream refused it before running anything.
    pub fn retry_refused(&self, sent: Sent) -> ReadyToSend {
        ReadyToSend { context: sent.context }
    }

    /// Allows a repeatable call to be sent again. Returns any other call unchanged as an error.
    pub fn retry_repeatable(&self, sent: Sent) -> Result<ReadyToSend, Sent> {
        match sent.context.has_intent {
            true => Err(sent),
            false => Ok(ReadyToSend { context: sent.context }),
        }
    }

    /// Ends a call that was not sent. The step may be started with the same key once the record, if
    /// any, is durable.
    pub fn end_not_run(&mut self, ready: ReadyToSend) -> EndAction {
        self.end_without_run(ready.context)
    }

    /// Ends a call that the upstream refused before running anything, or for which no connection
    /// was made. Use this only if the upstream's API guarantees that the refused call had no
    /// effect.
    pub fn end_refused(&mut self, sent: Sent) -> EndAction {
        self.end_without_run(sent.context)
    }

    /// Ends a call whose outcome is unknown. A repeatable call may start again. Every later request
    /// for a step that is not repeatable is refused with `may_have_run`.
    pub fn end_unknown(&mut self, sent: Sent) -> EndAction {
        let (program, step) = (sent.context.program.clone(), sent.context.step.clone());
        self.end_without_result(sent.context, Record::Unknown { program, step })
    }

    fn end_without_run(&mut self, context: Box<CallContext>) -> EndAction {
        let (program, step) = (context.program.clone(), context.step.clone());
        self.end_without_result(context, Record::NotRun { program, step })
    }

    fn end_without_result(&mut self, context: Box<CallContext>, record: Record) -> EndAction {
        if context.has_intent {
            return EndAction::Append(EndedCall { context, record: Box::new(record) });
        }
        self.clear_running(&context);
        EndAction::NothingToRecord
    }

    /// Applies the end of a call that has become durable. The next call may start. If the program
    /// has ended in the meantime, returns the engines that may hold cached data for it.
    pub fn call_end_durable(&mut self, now: Moment, ended: EndedCall) -> Option<Release> {
        self.apply(now, &ended.record);
        self.clear_running(&ended.context);
        self.take_release(&ended.context.program)
    }

    /// Discards the end of a call that the journal rejected. The step's state follows from its
    /// durable records: every later request for a step with an intent is refused with
    /// `may_have_run`, and any other step may start again.
    pub fn call_end_failed(&mut self, ended: EndedCall) {
        self.clear_running(&ended.context);
    }

    /// Marks the call as no longer running, and releases its reservation.
    fn clear_running(&mut self, context: &CallContext) {
        let Some(program) = self.programs.get_mut(&context.program) else { return };
        let Some(running) = program.running.take_if(|running| running.step == context.step) else {
            return;
        };
        self.release_reservation(&context.program, running.reserved);
    }
}
