//! State changes of a running call: sent, failed, ended.

use {
    super::{Homes, Pending, not_home, pending::refuse_ended_call, send_reply},
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
    pub(crate) fn mark_sent(
        &mut self,
        program: &ProgramId,
        permit: Permit,
        upstream: UpstreamId,
        reply: Reply<Result<Sent, Refusal>>,
    ) {
        match permit {
            Permit::Now(ready) => {
                let Some(owned) = self.journal_mut(program) else {
                    return send_reply(&reply, Err(not_home()));
                };
                let sent = owned.programs.mark_sent(ready, upstream);
                send_reply(&reply, Ok(sent));
            }
            Permit::AfterIntent(intent) => {
                let records = vec![intent.record().clone()];
                self.append(program, records, Pending::Intent(intent, upstream, reply));
            }
        }
    }

    /// Ends a call that will not be sent, before its intent is recorded.
    pub(crate) fn cancel_before_send(&mut self, program: &ProgramId, permit: Permit) {
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

    /// Ends a call that did not run, after it became ready to send.
    pub(crate) fn end_not_run(&mut self, program: &ProgramId, ready: ReadyToSend) {
        let Some(owned) = self.journal_mut(program) else { return };
        let action = owned.programs.end_not_run(ready);
        self.finish_call(program, action);
    }

    /// Allows a call to be sent again if it certainly did not run or is repeatable. Returns the
    /// `Sent` as an error if the call must not be repeated, and `None` if this host does not own
    /// the journal.
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
    pub(crate) fn end_failed_call(&mut self, program: &ProgramId, sent: Sent, verdict: Verdict) {
        let Some(owned) = self.journal_mut(program) else { return };
        let action = match verdict {
            Verdict::NotRun => owned.programs.end_refused(sent),
            Verdict::MayHaveRun | Verdict::Ran => owned.programs.end_unknown(sent),
        };
        self.finish_call(program, action);
    }

    fn finish_call(&mut self, program: &ProgramId, action: EndAction) {
        match action {
            EndAction::Append(ended_call) => {
                let records = vec![ended_call.record().clone()];
                self.append(program, records, Pending::CallEndNoReply(ended_call));
            }
            EndAction::NothingToRecord => self.retry_waiting(program),
        }
    }

    /// Records the end of a turn. The reply is sent when the record is durable.
    pub(crate) fn end_turn(
        &mut self,
        program: &ProgramId,
        sent: Sent,
        turn_result: (Message, Usage, UpstreamId),
        result: journal::StepResult,
        reply: Reply<Result<(), Refusal>>,
    ) {
        let Some(owned) = self.journal_mut(program) else { return refuse_ended_call(&reply) };
        let (message, usage, upstream) = turn_result;
        let ended_call = owned.programs.end_turn(sent, message, usage, upstream, result);
        let records = vec![ended_call.record().clone()];
        self.append(program, records, Pending::CallEnd(ended_call, reply));
    }

    /// Records the end of a service call. The reply is sent when the record is durable.
    pub(crate) fn end_service_call(
        &mut self,
        program: &ProgramId,
        sent: Sent,
        result: journal::StepResult,
        reply: Reply<Result<(), Refusal>>,
    ) {
        let Some(owned) = self.journal_mut(program) else { return refuse_ended_call(&reply) };
        let ended_call = owned.programs.end_service_call(sent, result);
        let records = vec![ended_call.record().clone()];
        self.append(program, records, Pending::CallEnd(ended_call, reply));
    }
}
