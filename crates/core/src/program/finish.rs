//! What is done when a call ends.

use {
    super::{Cleared, Ending, Intent, Moment, Programs, Release, Sent, stage::Ticket},
    crate::{
        ids::UpstreamId,
        journal::{Record, StepResult},
        message::{Message, Usage},
    },
};

/// How a call that did not end well is left.
#[derive(Debug)]
pub enum Finish {
    /// Append the record; the program's next call waits until it is durable.
    Append(Ending),
    /// Nothing is to be recorded: the call may be repeated. The next call may begin.
    Free,
}

impl Programs {
    /// Takes in that an intent is durable. The lease is checked after this, right before sending.
    pub fn intent_durable(&mut self, now: Moment, intent: Intent) -> Cleared {
        self.apply(now, &intent.record);
        Cleared { ticket: intent.ticket }
    }

    /// Takes in that an intent will never be durable, since the journal did not take it. The call
    /// did not run; the next call may begin.
    pub fn withdraw(&mut self, intent: Intent) {
        self.free(&intent.ticket);
    }

    /// Notes that a call goes to an upstream. Call this in the same step as the lease check.
    pub fn send(&mut self, cleared: Cleared, upstream: UpstreamId) -> Sent {
        let ticket = cleared.ticket;
        if let Some(program) = self.programs.get_mut(&ticket.program)
            && ticket.is_turn
        {
            program.holders.insert(upstream);
        }
        Sent { ticket }
    }

    /// Makes the record of a turn's end; `answer` is the engine's message.
    pub fn turn_ended(
        &self,
        sent: Sent,
        answer: Message,
        usage: Usage,
        upstream: UpstreamId,
        result: StepResult,
    ) -> Ending {
        let mut ticket = sent.ticket;
        let mut messages = std::mem::take(&mut ticket.messages);
        messages.push(answer);
        let record = Record::TurnEnded {
            program: ticket.program.clone(),
            step: ticket.step.clone(),
            request_hash: ticket.request_hash,
            messages,
            usage,
            upstream,
            result,
        };
        Ending { ticket, record: Box::new(record) }
    }

    /// Makes the record of the end of a call to a tool or plain service.
    pub fn call_ended(&self, sent: Sent, result: StepResult) -> Ending {
        let ticket = sent.ticket;
        let record = Record::CallEnded {
            program: ticket.program.clone(),
            step: ticket.step.clone(),
            request_hash: ticket.request_hash,
            result,
        };
        Ending { ticket, record: Box::new(record) }
    }

    /// Lets a call be sent again that an upstream refused before it ran anything.
    pub fn retry_refused(&self, sent: Sent) -> Cleared {
        Cleared { ticket: sent.ticket }
    }

    /// Lets a call be sent again that may be repeated. Returns any other as it was.
    pub fn retry_repeatable(&self, sent: Sent) -> Result<Cleared, Sent> {
        match sent.ticket.has_intent {
            true => Err(sent),
            false => Ok(Cleared { ticket: sent.ticket }),
        }
    }

    /// Takes in that a call was not sent after all. It may be run again under the same key, once
    /// that is durable.
    pub fn not_run(&mut self, cleared: Cleared) -> Finish {
        self.end_not_run(cleared.ticket)
    }

    /// Takes in that the upstream refused a call before it ran anything, or that no connection was
    /// made. Only for refusals that the upstream's interface promises to be without effect.
    pub fn refused(&mut self, sent: Sent) -> Finish {
        self.end_not_run(sent.ticket)
    }

    /// Takes in that it can't be known how a call ended. One that may be repeated may begin again;
    /// any other is answered `may_have_run` for ever.
    pub fn unknown(&mut self, sent: Sent) -> Finish {
        let (program, step) = (sent.ticket.program.clone(), sent.ticket.step.clone());
        self.end_with(sent.ticket, Record::Unknown { program, step })
    }

    fn end_not_run(&mut self, ticket: Box<Ticket>) -> Finish {
        let (program, step) = (ticket.program.clone(), ticket.step.clone());
        self.end_with(ticket, Record::NotRun { program, step })
    }

    fn end_with(&mut self, ticket: Box<Ticket>, record: Record) -> Finish {
        if ticket.has_intent {
            return Finish::Append(Ending { ticket, record: Box::new(record) });
        }
        self.free(&ticket);
        Finish::Free
    }

    /// Takes in that an end is durable. The next call may begin. If the program has ended
    /// meanwhile, returns the engines that hold memory for it.
    pub fn ending_durable(&mut self, now: Moment, ending: Ending) -> Option<Release> {
        self.apply(now, &ending.record);
        self.free(&ending.ticket);
        self.release_of(&ending.ticket.program)
    }

    /// Takes in that an end can't be recorded, since the journal did not take it. What is durable
    /// decides: a step with an intent is answered `may_have_run` for ever, any other may begin
    /// again.
    pub fn unrecorded(&mut self, ending: Ending) {
        self.free(&ending.ticket);
    }

    /// Ends the running of a call.
    fn free(&mut self, ticket: &Ticket) {
        let Some(program) = self.programs.get_mut(&ticket.program) else { return };
        let Some(running) = program.running.take_if(|running| running.step == ticket.step) else {
            return;
        };
        self.free_reservation(&ticket.program, running.reserved);
    }
}
