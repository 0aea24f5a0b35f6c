//! Creates, describes and ends programs, and removes ended programs after their retention.

use {
    super::{
        Homes, InfoReply, Pending, current_moment, not_home, pending::store_unavailable, send_reply,
    },
    crate::{control::journals::JournalState, observe::events::EventFields},
    std::time::{Duration, Instant},
    trefoilring_core::{
        call::{Caller, CreateProgram, ProgramInfo, ProgramQuery},
        event::Kind,
        ids::{JournalId, ProgramId, journal_of, program_id},
        journal::{self, Record},
        message::Message,
        program::CreateDecision,
        verdict::{Reason, Refusal, Verdict},
    },
};

/// Interval for ending programs that have exceeded a limit and removing ended programs.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

impl Homes {
    /// Creates a program. A child is stored in its parent's journal.
    pub(crate) fn create(
        &mut self,
        caller: &Caller,
        request: &CreateProgram,
        journal: Option<JournalId>,
        reply: InfoReply,
    ) {
        let max_budget = match self.shared.catalog().classes.get(&request.class) {
            Some(class) => class.budget,
            // A child takes its class and limits from its parent.
            None if request.parent.is_some() => Default::default(),
            None => {
                let detail = format!("no class {:?}", request.class);
                return send_reply(&reply, Err(Refusal::not_run(Reason::NotFound, detail)));
            }
        };
        let Some(journal) = journal.or_else(|| self.own_journal.clone()) else {
            return send_reply(&reply, Err(not_home()));
        };
        let id = program_id(&journal, &mut self.rng);
        let Some(owned) = self.owned.get_mut(&journal) else {
            return send_reply(&reply, Err(not_home()));
        };
        match owned.programs.create(current_moment(), caller, request, max_budget, id.clone()) {
            CreateDecision::New(record) => {
                self.append(&id, vec![record], Pending::Creation(id.clone(), vec![reply]));
            }
            CreateDecision::Exists(info) => send_reply(&reply, Ok((*info, Vec::new()))),
            CreateDecision::Refuse(refusal) => send_reply(&reply, Err(refusal)),
            CreateDecision::Pending(id) => {
                let pending = owned.pending.values_mut().find_map(|pending| match pending {
                    Pending::Creation(other, replies) if *other == id => Some(replies),
                    _ => None,
                });
                match pending {
                    Some(replies) => replies.push(reply),
                    None => send_reply(&reply, Err(store_unavailable(Verdict::NotRun))),
                }
            }
        }
    }

    /// Replies to a query about a program, or ends the program.
    pub(crate) fn query(
        &mut self,
        caller: &Caller,
        program: &ProgramId,
        query: &ProgramQuery,
        reply: InfoReply,
    ) {
        let Some(owned) = self.journal_mut(program) else {
            return send_reply(&reply, Err(not_home()));
        };
        if *query != ProgramQuery::End {
            return send_reply(&reply, describe(owned, program, caller, query));
        }
        match owned.programs.end(program, caller) {
            Err(refusal) => send_reply(&reply, Err(refusal)),
            Ok(records) if records.is_empty() => {
                send_reply(&reply, describe(owned, program, caller, query));
            }
            Ok(records) => {
                let waiter = Some((program.clone(), caller.clone(), reply));
                self.append(program, records.clone(), Pending::ProgramEnds(records, waiter));
            }
        }
    }

    /// Returns those of the given programs that have ended or are unknown. Omits programs of
    /// journals that this host does not own.
    pub(crate) fn ended(&self, programs: Vec<ProgramId>) -> Vec<ProgramId> {
        let is_ended = |program: &ProgramId| {
            let owned = journal_of(program).and_then(|journal| self.owned.get(&journal));
            owned.is_some_and(|owned| !owned.programs.is_live_or_pending(program))
        };
        programs.into_iter().filter(is_ended).collect()
    }

    /// Ends programs that have exceeded a limit or were abandoned, and removes ended programs after
    /// their retention.
    pub(crate) fn sweep(&mut self, now: Instant) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let journals: Vec<JournalId> = self.owned.keys().cloned().collect();
        for journal in journals {
            let Some(owned) = self.owned.get_mut(&journal) else { continue };
            let due = owned.programs.tick(current_moment());
            for program in due.removed {
                self.on_journal_event(&journal, journal::Event::Released { program });
            }
            if let Some(first) = due.ends.first() {
                let program = first.program().clone();
                self.append(&program, due.ends.clone(), Pending::ProgramEnds(due.ends, None));
            }
        }
    }

    /// Returns when [`Homes::sweep`] is due.
    pub(crate) fn next_sweep(&self) -> Instant {
        self.next_sweep
    }

    /// Returns the number of programs that have not ended, over all journals.
    pub(crate) fn live_programs(&self) -> usize {
        self.owned.values().map(|owned| owned.programs.live_count()).sum()
    }

    /// Returns an estimate of the memory used by all programs, in bytes.
    pub(crate) fn estimated_bytes(&self) -> usize {
        self.owned.values().map(|owned| owned.programs.estimated_bytes()).sum()
    }

    pub(super) fn log_program_end(&self, record: &Record) {
        if let Record::Ended { program, why } = record {
            let fields = EventFields::for_program(program).with("why", why.as_str());
            self.shared.events.record(Kind::ProgramEnded, fields);
        }
    }
}

pub(super) fn describe(
    owned: &JournalState,
    program: &ProgramId,
    caller: &Caller,
    query: &ProgramQuery,
) -> Result<(ProgramInfo, Vec<Message>), Refusal> {
    let info = owned.programs.info(current_moment(), program, caller)?;
    let history = match query {
        ProgramQuery::History => {
            let history = owned.programs.history(program, caller)?;
            history.iter().map(|message| Message::clone(message)).collect()
        }
        ProgramQuery::Info | ProgramQuery::End => Vec::new(),
    };
    Ok((info, history))
}
