//! Operations that wait for their records to become durable, and how they complete or fail.

use {
    super::{Homes, InfoReply, current_moment, not_home, programs::describe, send_reply},
    crate::{
        control::{Reply, journals::JournalState},
        observe::events::EventFields,
    },
    std::time::{Duration, Instant},
    trefoilring_core::{
        call::{Caller, ProgramQuery},
        event::Kind,
        ids::{JournalId, ProgramId, UpstreamId, journal_of},
        journal::{AppendError, Record, Token},
        program::{EndedCall, Intent, Sent},
        verdict::{Reason, Refusal, Verdict},
    },
};

/// Retry-After of refusals while the store is unavailable.
const STORE_RETRY: Duration = Duration::from_secs(2);

/// An operation that waits for its records to become durable.
pub(in crate::control) enum Pending {
    Intent(Intent, UpstreamId, Reply<Result<Sent, Refusal>>),
    CallEnd(EndedCall, Reply<Result<(), Refusal>>),
    Creation(ProgramId, Vec<InfoReply>),
    ProgramEnds(Vec<Record>, Option<(ProgramId, Caller, InfoReply)>),
    /// The end of a call for which no reply is expected.
    CallEndNoReply(EndedCall),
}

impl Homes {
    pub(super) fn append(&mut self, program: &ProgramId, records: Vec<Record>, pending: Pending) {
        let token = self.next_token;
        self.next_token += 1;
        let Some(journal) = journal_of(program) else { return };
        let Some(owned) = self.owned.get_mut(&journal) else {
            return self.refuse(&journal, pending, &not_home());
        };
        match owned.journal.append(Instant::now(), records, token) {
            Ok(commands) => {
                owned.pending.insert(token, pending);
                self.execute_journal_commands(&journal, commands);
            }
            Err(error) => self.refuse(&journal, pending, &append_refusal(error)),
        }
    }

    /// Ends an operation whose records the journal rejected. None of them becomes durable.
    fn refuse(&mut self, journal: &JournalId, pending: Pending, refusal: &Refusal) {
        let Some(owned) = self.owned.get_mut(journal) else {
            return refuse_pending(pending, refusal);
        };
        let programs = &mut owned.programs;
        let program = match pending {
            Pending::Intent(intent, _, reply) => {
                let program = intent.record().program().clone();
                programs.withdraw(intent);
                send_reply(&reply, Err(refusal.clone()));
                program
            }
            Pending::CallEnd(ended_call, reply) => {
                let program = ended_call.record().program().clone();
                programs.call_end_failed(ended_call);
                let ran = Refusal { verdict: Verdict::Ran, ..refusal.clone() };
                send_reply(&reply, Err(ran));
                program
            }
            Pending::CallEndNoReply(ended_call) => {
                let program = ended_call.record().program().clone();
                programs.call_end_failed(ended_call);
                program
            }
            Pending::Creation(program, replies) => {
                programs.creation_failed(&program);
                replies.iter().for_each(|reply| send_reply(reply, Err(refusal.clone())));
                program
            }
            Pending::ProgramEnds(records, waiter) => {
                programs.program_ends_failed(&records);
                let Some((program, _, reply)) = waiter else { return };
                send_reply(&reply, Err(refusal.clone()));
                program
            }
        };
        self.retry_waiting(&program);
    }

    /// Completes the operation whose records have become durable.
    pub(in crate::control) fn on_durable(&mut self, journal: &JournalId, token: Token) {
        let Some(owned) = self.owned.get_mut(journal) else { return };
        let Some(pending) = owned.pending.remove(&token) else { return };
        let now = current_moment();
        match pending {
            Pending::Intent(intent, upstream, reply) => {
                let program = intent.record().program().clone();
                let ready = owned.programs.intent_durable(now, intent);
                let sent = owned.programs.mark_sent(ready, upstream);
                // A caller that was already refused with "store unavailable" no longer waits. The
                // call is then not sent, and that is recorded, so that the step may be run again.
                if let Err(error) = reply.try_send(Ok(sent))
                    && let Ok(sent) = error.into_inner()
                {
                    self.end_failed_call(&program, sent, Verdict::NotRun);
                }
            }
            Pending::CallEnd(ended_call, reply) => {
                self.on_call_end_durable(journal, ended_call);
                send_reply(&reply, Ok(()));
            }
            Pending::CallEndNoReply(ended_call) => self.on_call_end_durable(journal, ended_call),
            Pending::Creation(program, replies) => {
                let info = owned.programs.creation_durable(now, &program);
                let result = info.ok_or_else(not_home).map(|info| (info, Vec::new()));
                self.shared.events.record(Kind::ProgramCreated, EventFields::for_program(&program));
                replies.iter().for_each(|reply| send_reply(reply, result.clone()));
            }
            Pending::ProgramEnds(records, waiter) => {
                let releases = owned.programs.program_ends_durable(now, &records);
                self.pending_releases.extend(releases);
                for record in &records {
                    self.log_program_end(record);
                }
                if let Some((program, caller, reply)) = waiter
                    && let Some(owned) = self.owned.get(journal)
                {
                    let result = describe(owned, &program, &caller, &ProgramQuery::Info);
                    send_reply(&reply, result);
                }
                records.iter().for_each(|record| self.retry_waiting(record.program()));
            }
        }
    }

    fn on_call_end_durable(&mut self, journal: &JournalId, ended_call: EndedCall) {
        let Some(owned) = self.owned.get_mut(journal) else { return };
        let program = ended_call.record().program().clone();
        let release = owned.programs.call_end_durable(current_moment(), ended_call);
        self.pending_releases.extend(release);
        self.retry_waiting(&program);
    }

    /// Refuses the waiting requests with "store unavailable". The records may still become durable,
    /// so the operation stays pending.
    pub(in crate::control) fn on_late(&mut self, journal: &JournalId, token: Token) {
        let Some(owned) = self.owned.get_mut(journal) else { return };
        match owned.pending.get_mut(&token) {
            // If the intent becomes durable later, the call is recorded as not run.
            Some(Pending::Intent(.., reply)) => {
                refuse_and_close(reply, store_unavailable(Verdict::NotRun));
            }
            Some(Pending::CallEnd(_, reply)) => {
                refuse_and_close(reply, store_unavailable(Verdict::Ran));
            }
            Some(Pending::Creation(_, replies)) => {
                for reply in replies.drain(..) {
                    send_reply(&reply, Err(store_unavailable(Verdict::MayHaveRun)));
                }
            }
            Some(Pending::ProgramEnds(_, waiter)) => {
                if let Some((.., reply)) = waiter.take() {
                    send_reply(&reply, Err(store_unavailable(Verdict::MayHaveRun)));
                }
            }
            Some(Pending::CallEndNoReply(_)) | None => (),
        }
    }

    /// Ends the operation whose records are lost, or may be lost, because another host owns the
    /// journal.
    pub(in crate::control) fn on_lost(&mut self, journal: &JournalId, token: Token) {
        let Some(owned) = self.owned.get_mut(journal) else { return };
        if let Some(pending) = owned.pending.remove(&token) {
            refuse_pending(pending, &not_home());
        }
    }
}

/// Refuses all operations and calls that wait in a journal that this host no longer owns.
pub(in crate::control) fn refuse_all(owned: JournalState) {
    for waiting in owned.waiting.into_values().flatten() {
        send_reply(&waiting.reply, Err(not_home()));
    }
    owned.pending.into_values().for_each(|pending| refuse_pending(pending, &not_home()));
}

fn refuse_pending(pending: Pending, refusal: &Refusal) {
    match pending {
        Pending::Intent(.., reply) => send_reply(&reply, Err(refusal.clone())),
        Pending::CallEnd(_, reply) => {
            // The call ran, but whether its end was recorded is unknown. Another home may report
            // that the outcome is unknown.
            send_reply(&reply, Err(Refusal { verdict: Verdict::MayHaveRun, ..refusal.clone() }));
        }
        Pending::CallEndNoReply(_) => (),
        Pending::Creation(_, replies) => {
            replies.iter().for_each(|reply| send_reply(reply, Err(refusal.clone())));
        }
        Pending::ProgramEnds(_, waiter) => {
            if let Some((.., reply)) = waiter {
                send_reply(&reply, Err(refusal.clone()));
            }
        }
    }
}

/// Replies and closes the channel, so that a later reply is returned to its sender.
fn refuse_and_close<T>(reply: &Reply<Result<T, Refusal>>, refusal: Refusal) {
    send_reply(reply, Err(refusal));
    reply.close();
}

/// Refuses a call that has run, but whose end this host can no longer record.
pub(super) fn refuse_ended_call(reply: &Reply<Result<(), Refusal>>) {
    send_reply(reply, Err(Refusal { verdict: Verdict::MayHaveRun, ..not_home() }));
}

pub(super) fn store_unavailable(verdict: Verdict) -> Refusal {
    let detail = "the state can't be made durable at present";
    let retry_after = Some(STORE_RETRY);
    Refusal { verdict, reason: Reason::StoreUnavailable, detail: detail.into(), retry_after }
}

fn append_refusal(error: AppendError) -> Refusal {
    match error {
        AppendError::TooLarge { .. } => Refusal::not_run(Reason::TooLarge, error.to_string()),
        AppendError::Full => store_unavailable(Verdict::NotRun),
        AppendError::Closing | AppendError::Fenced => not_home(),
    }
}
