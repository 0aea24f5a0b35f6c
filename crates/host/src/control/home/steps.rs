//! State changes of a running call: sent, failed, ended.

use {
    super::{Homes, Pending, answer, not_home, pending::answer_not_home},
    crate::control::Reply,
    trefoilring_core::{
        ids::{ProgramId, UpstreamId},
        journal,
        message::{Message, Usage},
        program::{EndAction, Permit, ReadyToSend, Sent},
        verdict::{Refusal, Verdict},
    },
};

impl Homes {
    /// Marks a call as sent to an upstream: immediately, or once its intent is durable. The caller
    /// of this function checks the lease once more and then sends the call.
    pub(crate) fn send(
        &mut self,
        program: &ProgramId,
        permit: Permit,
        upstream: UpstreamId,
        reply: Reply<Result<Sent, Refusal>>,
    ) {
        match permit {
            Permit::Now(ready) => {
                let Some(owned) = self.journal_mut(program) else {
                    return answer(&reply, Err(not_home()));
                };
                let sent = owned.programs.mark_sent(ready, upstream);
                answer(&reply, Ok(sent));
            }
            Permit::AfterIntent(intent) => {
                let records = vec![intent.record().clone()];
                self.append(program, records, Pending::Intent(intent, upstream, reply));
            }
        }
    }

    /// Ends a call that will not be sent, before its intent is recorded.
    pub(crate) fn withdraw(&mut self, program: &ProgramId, permit: Permit) {
        match permit {
            Permit::Now(ready) => self.end_not_run(program, ready),
            Permit::AfterIntent(intent) => {
                if let Some(owned) = self.journal_mut(program) {
                    owned.programs.withdraw(intent);
                }
                self.retry_waiting(program);
            }
        }
    }

    /// Ends a call that did not run, after it was cleared for sending.
    pub(crate) fn end_not_run(&mut self, program: &ProgramId, ready: ReadyToSend) {
        let Some(owned) = self.journal_mut(program) else { return };
        let action = owned.programs.end_not_run(ready);
        self.finish_call(program, action);
    }

    /// Allows a call to be sent again if it certainly did not run or is repeatable. Returns `None`
    /// if this host does not own the journal.
    pub(crate) fn retry(
        &mut self,
        program: &ProgramId,
        sent: Sent,
        verdict: Verdict,
    ) -> Option<Result<ReadyToSend, Sent>> {
        let owned = self.journal_mut(program)?;
        Some(match verdict {
            Verdict::NotRun => Ok(owned.programs.retry_refused(sent)),
            Verdict::MayHaveRun | Verdict::Ran => owned.programs.retry_repeatable(sent),
        })
    }

    /// Records that a call failed for good.
    pub(crate) fn end_failed(&mut self, program: &ProgramId, sent: Sent, verdict: Verdict) {
        let Some(owned) = self.journal_mut(program) else { return };
        let action = match verdict {
            Verdict::NotRun => owned.programs.end_refused(sent),
            Verdict::MayHaveRun | Verdict::Ran => owned.programs.end_unknown(sent),
        };
        self.finish_call(program, action);
    }

    fn finish_call(&mut self, program: &ProgramId, action: EndAction) {
        match action {
            EndAction::Append(ending) => {
                let records = vec![ending.record().clone()];
                self.append(program, records, Pending::CallEndNoReply(ending));
            }
            EndAction::NothingToRecord => self.retry_waiting(program),
        }
    }

    /// Records the end of a turn. The reply is sent when the record is durable.
    pub(crate) fn turn_ended(
        &mut self,
        program: &ProgramId,
        sent: Sent,
        turn_result: (Message, Usage, UpstreamId),
        result: journal::StepResult,
        reply: Reply<Result<(), Refusal>>,
    ) {
        let Some(owned) = self.journal_mut(program) else { return answer_not_home(&reply) };
        let (message, usage, upstream) = turn_result;
        let ending = owned.programs.end_turn(sent, message, usage, upstream, result);
        let records = vec![ending.record().clone()];
        self.append(program, records, Pending::CallEnd(ending, reply));
    }

    /// Records the end of a service call. The reply is sent when the record is durable.
    pub(crate) fn call_ended(
        &mut self,
        program: &ProgramId,
        sent: Sent,
        result: journal::StepResult,
        reply: Reply<Result<(), Refusal>>,
    ) {
        let Some(owned) = self.journal_mut(program) else { return answer_not_home(&reply) };
        let ending = owned.programs.end_service_call(sent, result);
        let records = vec![ending.record().clone()];
        self.append(program, records, Pending::CallEnd(ending, reply));
    }
}
