//! Ends of calls.

use {
    super::{Cleared, Ending, Intent, Moment, Programs, Release, Sent, stage::CallContext},
    crate::{
        ids::UpstreamId,
        journal::{Record, StepResult},
        message::{Message, Usage},
    },
};

/// What to do after a call that ended without a result.
#[derive(Debug)]
pub enum Finish {
    /// Append the record. The program's next call waits until it is durable.
    Append(Ending),
    /// Append nothing, because the call is repeatable. The next call may start.
    NothingToRecord,
}

impl Programs {
    /// Records that an intent is durable. Check the lease after this, immediately before sending.
    pub fn intent_durable(&mut self, now: Moment, intent: Intent) -> Cleared {
        self.apply(now, &intent.record);
        Cleared { context: intent.context }
    }

    /// Records that the journal rejected an intent. The call did not run, and the next call may
    /// start.
    pub fn withdraw(&mut self, intent: Intent) {
        self.clear_running(&intent.context);
    }

    /// Records that a call is sent to an upstream. Call this immediately after the lease check,
    /// with nothing in between.
    pub fn send(&mut self, cleared: Cleared, upstream: UpstreamId) -> Sent {
        let context = cleared.context;
        if let Some(program) = self.programs.get_mut(&context.program)
            && context.is_turn
        {
            program.cache_upstreams.insert(upstream);
        }
        Sent { context }
    }

    /// Creates the record of a turn's end. `answer` is the engine's message.
    pub fn turn_ended(
        &self,
        sent: Sent,
        answer: Message,
        usage: Usage,
        upstream: UpstreamId,
        result: StepResult,
    ) -> Ending {
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
        Ending { context, record: Box::new(record) }
    }

    /// Creates the record of the end of a call to a tool or plain service.
    pub fn call_ended(&self, sent: Sent, result: StepResult) -> Ending {
        let context = sent.context;
        let record = Record::CallEnded {
            program: context.program.clone(),
            step: context.step.clone(),
            request_hash: context.request_hash,
            result,
        };
        Ending { context, record: Box::new(record) }
    }

    /// Allows a call to be sent again after an upstream refused it before running anything.
    pub fn retry_refused(&self, sent: Sent) -> Cleared {
        Cleared { context: sent.context }
    }

    /// Allows a repeatable call to be sent again. Returns any other call unchanged as an error.
    pub fn retry_repeatable(&self, sent: Sent) -> Result<Cleared, Sent> {
        match sent.context.has_intent {
            true => Err(sent),
            false => Ok(Cleared { context: sent.context }),
        }
    }

    /// Records that a call was not sent. It may run again under the same key once that is durable.
    pub fn not_run(&mut self, cleared: Cleared) -> Finish {
        self.end_not_run(cleared.context)
    }

    /// Records that the upstream refused a call before running anything, or that no connection was
    /// made. Only for refusals that are free of effects according to the upstream's interface.
    pub fn refused(&mut self, sent: Sent) -> Finish {
        self.end_not_run(sent.context)
    }

    /// Records that the outcome of a call is unknown. A repeatable call may start again; any other
    /// is answered `may_have_run` permanently.
    pub fn unknown(&mut self, sent: Sent) -> Finish {
        let (program, step) = (sent.context.program.clone(), sent.context.step.clone());
        self.end_with(sent.context, Record::Unknown { program, step })
    }

    fn end_not_run(&mut self, context: Box<CallContext>) -> Finish {
        let (program, step) = (context.program.clone(), context.step.clone());
        self.end_with(context, Record::NotRun { program, step })
    }

    fn end_with(&mut self, context: Box<CallContext>, record: Record) -> Finish {
        if context.has_intent {
            return Finish::Append(Ending { context, record: Box::new(record) });
        }
        self.clear_running(&context);
        Finish::NothingToRecord
    }

    /// Records that the end of a call is durable. The next call may start. If the program has ended
    /// in the meantime, returns the engines that may hold cached data for it.
    pub fn call_end_durable(&mut self, now: Moment, ending: Ending) -> Option<Release> {
        self.apply(now, &ending.record);
        self.clear_running(&ending.context);
        self.take_release(&ending.context.program)
    }

    /// Records that the journal rejected the end of a call. The durable records decide: a step with
    /// an intent is answered `may_have_run` permanently, any other may start again.
    pub fn call_end_failed(&mut self, ending: Ending) {
        self.clear_running(&ending.context);
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
