//! The journals that this host owns, with their programs, and the calls that wait for them.

use {
    crate::{
        control::{Reply, journals::Owned},
        observe::events::About,
        shared::Shared,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        call::{Call, Caller, CreateProgram, ProgramInfo, ProgramQuery},
        event::Kind,
        ids::{Epoch, JournalId, ProgramId, UpstreamId, journal_of, program_id},
        journal::{self, AppendError, Record, Token},
        message::{Message, Usage},
        program::{
            Begin, Cleared, Create, Ending, Finish, Intent, Moment, Permit, Release, Run, Sent,
        },
        verdict::{Reason, Refusal, Verdict},
    },
};

/// When to come back after a refusal because of the store.
const STORE_RETRY: Duration = Duration::from_secs(2);
/// Time between two looks at programs that are due to end.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// Where the home of a program is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Home {
    /// On this host.
    Here,
    /// On another host.
    At(SocketAddr),
}

/// What became of a call that asked to begin.
pub(crate) enum Begun {
    /// Run it, as owner under this epoch.
    Run(Box<Run>, Epoch),
    /// It has ended before.
    Replay(journal::StepResult),
}

/// Where the answer to a beginning goes.
pub(crate) type BeginReply = Reply<Result<Begun, Refusal>>;
/// Where the answer to a request about a program goes.
pub(crate) type InfoReply = Reply<Result<(ProgramInfo, Vec<Message>), Refusal>>;

/// A call that waits for its turn or for the end of the same step.
pub(super) struct Waiting {
    call: Call,
    request_hash: u64,
    is_repeatable: bool,
    reply: BeginReply,
}

/// What waits for records to become durable.
pub(super) enum Pending {
    Intent(Intent, UpstreamId, Reply<Result<Sent, Refusal>>),
    Ending(Ending, Reply<Result<(), Refusal>>),
    Creation(ProgramId, Vec<InfoReply>),
    Ends(Vec<Record>, Option<(ProgramId, Caller, InfoReply)>),
    /// A record of which nobody waits to hear.
    Quiet(Ending),
}

/// The journals of one host.
pub(crate) struct Homes {
    pub(super) shared: Arc<Shared>,
    pub(super) owned: BTreeMap<JournalId, Owned>,
    /// The journal for new programs.
    pub(super) own: Option<JournalId>,
    next_token: Token,
    next_sweep: Instant,
    rng: rand::rngs::StdRng,
    /// Programs that ended, whose engines' memory is to be released.
    pub(super) released: Vec<Release>,
}

/// The present time on both clocks.
pub(crate) fn moment() -> Moment {
    Moment { at: Instant::now(), wall_ms: crate::observe::log::wall_us() / 1000 }
}

impl Homes {
    pub(crate) fn new(shared: Arc<Shared>, now: Instant) -> Self {
        let rng = rand::make_rng();
        Self {
            shared,
            owned: BTreeMap::new(),
            own: None,
            next_token: 0,
            next_sweep: now,
            rng,
            released: Vec::new(),
        }
    }

    /// Puts a call into its program's order; the answer comes when it may run or is known.
    pub(crate) fn begin(
        &mut self,
        call: Call,
        request_hash: u64,
        is_repeatable: bool,
        reply: BeginReply,
    ) {
        let waiting = Waiting { call, request_hash, is_repeatable, reply };
        match self.journal_mut(&waiting.call.program) {
            Some(_) => self.begin_waiting(waiting),
            None => answer(&waiting.reply, Err(not_here())),
        }
    }

    fn begin_waiting(&mut self, waiting: Waiting) {
        let program = waiting.call.program.clone();
        let Some(owned) = self.journal_mut(&program) else {
            return answer(&waiting.reply, Err(not_here()));
        };
        let epoch = owned.journal.epoch();
        let begin = owned.programs.begin(
            moment(),
            &waiting.call,
            waiting.request_hash,
            waiting.is_repeatable,
        );
        match begin {
            Begin::Run(run) => answer(&waiting.reply, Ok(Begun::Run(run, epoch))),
            Begin::Replay(result) => {
                self.note(Kind::CallReplayed, &waiting.call);
                answer(&waiting.reply, Ok(Begun::Replay(result)));
            }
            Begin::Refuse(refusal) => {
                answer(&waiting.reply, Err(refusal));
                // A refused call may have been the one that others wait behind.
                self.wake(&program);
            }
            Begin::Join => {
                self.note(Kind::CallJoined, &waiting.call);
                self.wait(program, waiting);
            }
            Begin::Wait => self.wait(program, waiting),
        }
    }

    fn wait(&mut self, program: ProgramId, waiting: Waiting) {
        if let Some(owned) = self.journal_mut(&program) {
            owned.waiting.entry(program).or_default().push(waiting);
        }
    }

    /// Begins what a change of the program lets begin: calls that joined a step that is no longer
    /// under way, and the next in order.
    fn wake(&mut self, program: &ProgramId) {
        let Some(owned) = self.journal_mut(program) else { return };
        let next = owned.programs.next(program).map(|next| next.request);
        let Some(all) = owned.waiting.remove(program) else { return };
        let programs = &owned.programs;
        let (kept, woken): (Vec<Waiting>, Vec<Waiting>) = all.into_iter().partition(|waiting| {
            let call = &waiting.call;
            next.as_ref() != Some(&call.request)
                && programs.must_wait(program, &call.request, &call.step)
        });
        if !kept.is_empty() {
            owned.waiting.insert(program.clone(), kept);
        }
        woken.into_iter().for_each(|waiting| self.begin_waiting(waiting));
    }

    /// Notes that a call goes to an upstream: at once, or when its intent is durable. The caller
    /// of this function checks the lease once more and then sends.
    pub(crate) fn send(
        &mut self,
        program: &ProgramId,
        permit: Permit,
        upstream: UpstreamId,
        reply: Reply<Result<Sent, Refusal>>,
    ) {
        match permit {
            Permit::Now(cleared) => {
                let Some(owned) = self.journal_mut(program) else {
                    return answer(&reply, Err(not_here()));
                };
                let sent = owned.programs.send(cleared, upstream);
                answer(&reply, Ok(sent));
            }
            Permit::AfterIntent(intent) => {
                let records = vec![intent.record().clone()];
                self.append(program, records, Pending::Intent(intent, upstream, reply));
            }
        }
    }

    /// Gives back a call that is not to be sent, before its intent.
    pub(crate) fn withdraw(&mut self, program: &ProgramId, permit: Permit) {
        match permit {
            Permit::Now(cleared) => self.not_run(program, cleared),
            Permit::AfterIntent(intent) => {
                if let Some(owned) = self.journal_mut(program) {
                    owned.programs.withdraw(intent);
                }
                self.wake(program);
            }
        }
    }

    /// Gives back a call that was not sent after all.
    pub(crate) fn not_run(&mut self, program: &ProgramId, cleared: Cleared) {
        let Some(owned) = self.journal_mut(program) else { return };
        let finish = owned.programs.not_run(cleared);
        self.finish(program, finish);
    }

    /// Lets a call be sent again, if it ran for certain not, or may be repeated.
    pub(crate) fn retry(
        &mut self,
        program: &ProgramId,
        sent: Sent,
        verdict: Verdict,
    ) -> Option<Result<Cleared, Sent>> {
        let owned = self.journal_mut(program)?;
        Some(match verdict {
            Verdict::NotRun => Ok(owned.programs.retry_refused(sent)),
            Verdict::MayHaveRun | Verdict::Ran => owned.programs.retry_repeatable(sent),
        })
    }

    /// Takes in a call that failed for good.
    pub(crate) fn failed(&mut self, program: &ProgramId, sent: Sent, verdict: Verdict) {
        let Some(owned) = self.journal_mut(program) else { return };
        let finish = match verdict {
            Verdict::NotRun => owned.programs.refused(sent),
            Verdict::MayHaveRun | Verdict::Ran => owned.programs.unknown(sent),
        };
        self.finish(program, finish);
    }

    fn finish(&mut self, program: &ProgramId, finish: Finish) {
        match finish {
            Finish::Append(ending) => {
                let records = vec![ending.record().clone()];
                self.append(program, records, Pending::Quiet(ending));
            }
            Finish::Free => self.wake(program),
        }
    }

    /// Records the end of a turn; the reply comes when it is durable.
    pub(crate) fn turn_ended(
        &mut self,
        program: &ProgramId,
        sent: Sent,
        answer: (Message, Usage, UpstreamId),
        result: journal::StepResult,
        reply: Reply<Result<(), Refusal>>,
    ) {
        let Some(owned) = self.journal_mut(program) else { return gone(&reply) };
        let (message, usage, upstream) = answer;
        let ending = owned.programs.turn_ended(sent, message, usage, upstream, result);
        let records = vec![ending.record().clone()];
        self.append(program, records, Pending::Ending(ending, reply));
    }

    /// Records the end of a service call; the reply comes when it is durable.
    pub(crate) fn call_ended(
        &mut self,
        program: &ProgramId,
        sent: Sent,
        result: journal::StepResult,
        reply: Reply<Result<(), Refusal>>,
    ) {
        let Some(owned) = self.journal_mut(program) else { return gone(&reply) };
        let ending = owned.programs.call_ended(sent, result);
        let records = vec![ending.record().clone()];
        self.append(program, records, Pending::Ending(ending, reply));
    }

    /// Creates a program; a child lands in its parent's journal.
    pub(crate) fn create(
        &mut self,
        caller: &Caller,
        request: &CreateProgram,
        journal: Option<JournalId>,
        reply: InfoReply,
    ) {
        let most = match self.shared.catalog().classes.get(&request.class) {
            Some(class) => class.budget,
            None if request.parent.is_some() => Default::default(),
            None => {
                let detail = format!("no class {:?}", request.class);
                return answer(&reply, Err(Refusal::not_run(Reason::NotFound, detail)));
            }
        };
        let Some(journal) = journal.or_else(|| self.own.clone()) else {
            return answer(&reply, Err(not_here()));
        };
        let id = program_id(&journal, &mut self.rng);
        let Some(owned) = self.owned.get_mut(&journal) else {
            return answer(&reply, Err(not_here()));
        };
        match owned.programs.create(moment(), caller, request, most, id.clone()) {
            Create::New(record) => {
                self.append(&id, vec![record], Pending::Creation(id.clone(), vec![reply]));
            }
            Create::Exists(info) => answer(&reply, Ok((*info, Vec::new()))),
            Create::Refuse(refusal) => answer(&reply, Err(refusal)),
            Create::Pending(id) => {
                let pending = owned.pending.values_mut().find_map(|pending| match pending {
                    Pending::Creation(other, replies) if *other == id => Some(replies),
                    _ => None,
                });
                match pending {
                    Some(replies) => replies.push(reply),
                    None => answer(&reply, Err(store_unavailable(Verdict::NotRun))),
                }
            }
        }
    }

    /// Answers a question about a program, or ends it.
    pub(crate) fn query(
        &mut self,
        caller: &Caller,
        program: &ProgramId,
        query: &ProgramQuery,
        reply: InfoReply,
    ) {
        let Some(owned) = self.journal_mut(program) else {
            return answer(&reply, Err(not_here()));
        };
        if *query != ProgramQuery::End {
            return answer(&reply, describe(owned, program, caller, query));
        }
        match owned.programs.end(program, caller) {
            Err(refusal) => answer(&reply, Err(refusal)),
            Ok(records) if records.is_empty() => {
                answer(&reply, describe(owned, program, caller, query));
            }
            Ok(records) => {
                let waits = Some((program.clone(), caller.clone(), reply));
                self.append(program, records.clone(), Pending::Ends(records, waits));
            }
        }
    }

    /// Which of these programs are not alive here.
    pub(crate) fn ended(&self, programs: Vec<ProgramId>) -> Vec<ProgramId> {
        let is_ended = |program: &ProgramId| {
            let owned = journal_of(program).and_then(|journal| self.owned.get(&journal));
            owned.is_some_and(|owned| !owned.programs.is_alive(program))
        };
        programs.into_iter().filter(is_ended).collect()
    }

    /// Ends programs that are due, and forgets old ones.
    pub(crate) fn sweep(&mut self, now: Instant) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_EVERY;
        let journals: Vec<JournalId> = self.owned.keys().cloned().collect();
        for journal in journals {
            let Some(owned) = self.owned.get_mut(&journal) else { continue };
            let due = owned.programs.tick(moment());
            for program in due.forgotten {
                self.journal_event(&journal, journal::Event::Released { program });
            }
            if let Some(first) = due.ends.first() {
                let program = first.program().clone();
                self.append(&program, due.ends.clone(), Pending::Ends(due.ends, None));
            }
        }
    }

    /// When [`Homes::sweep`] is due.
    pub(crate) fn next_sweep(&self) -> Instant {
        self.next_sweep
    }

    /// Programs that have not ended, over all journals.
    pub(crate) fn live_programs(&self) -> usize {
        self.owned.values().map(|owned| owned.programs.live_count()).sum()
    }

    /// Estimate of the memory that all programs take, in bytes.
    pub(crate) fn estimated_bytes(&self) -> usize {
        self.owned.values().map(|owned| owned.programs.estimated_bytes()).sum()
    }

    fn append(&mut self, program: &ProgramId, records: Vec<Record>, pending: Pending) {
        let token = self.next_token;
        self.next_token += 1;
        let Some(journal) = journal_of(program) else { return };
        let Some(owned) = self.owned.get_mut(&journal) else {
            return self.refuse(&journal, pending, &not_here());
        };
        match owned.journal.append(Instant::now(), records, token) {
            Ok(commands) => {
                owned.pending.insert(token, pending);
                self.run_journal(&journal, commands);
            }
            Err(error) => self.refuse(&journal, pending, &append_refusal(error)),
        }
    }

    /// Ends what the journal did not take. Nothing of it becomes durable.
    pub(super) fn refuse(&mut self, journal: &JournalId, pending: Pending, refusal: &Refusal) {
        let Some(owned) = self.owned.get_mut(journal) else {
            return tell_refused(pending, refusal);
        };
        let programs = &mut owned.programs;
        let program = match pending {
            Pending::Intent(intent, _, reply) => {
                let program = intent.record().program().clone();
                programs.withdraw(intent);
                answer(&reply, Err(refusal.clone()));
                program
            }
            Pending::Ending(ending, reply) => {
                let program = ending.record().program().clone();
                programs.unrecorded(ending);
                let ran = Refusal { verdict: Verdict::Ran, ..refusal.clone() };
                answer(&reply, Err(ran));
                program
            }
            Pending::Quiet(ending) => {
                let program = ending.record().program().clone();
                programs.unrecorded(ending);
                program
            }
            Pending::Creation(program, replies) => {
                programs.creation_failed(&program);
                replies.iter().for_each(|reply| answer(reply, Err(refusal.clone())));
                program
            }
            Pending::Ends(records, waits) => {
                programs.end_failed(&records);
                let Some((program, _, reply)) = waits else { return };
                answer(&reply, Err(refusal.clone()));
                program
            }
        };
        self.wake(&program);
    }

    /// Takes in that records are durable.
    pub(super) fn durable(&mut self, journal: &JournalId, token: Token) {
        let Some(owned) = self.owned.get_mut(journal) else { return };
        let Some(pending) = owned.pending.remove(&token) else { return };
        let now = moment();
        match pending {
            Pending::Intent(intent, upstream, reply) => {
                let program = intent.record().program().clone();
                let cleared = owned.programs.intent_durable(now, intent);
                let sent = owned.programs.send(cleared, upstream);
                // A caller that was told that the store is unavailable waits no more. Nothing is
                // sent then, and that is recorded, so that the step may be run again.
                if let Err(error) = reply.try_send(Ok(sent))
                    && let Ok(sent) = error.into_inner()
                {
                    self.failed(&program, sent, Verdict::NotRun);
                }
            }
            Pending::Ending(ending, reply) => {
                self.ending_durable(journal, ending);
                answer(&reply, Ok(()));
            }
            Pending::Quiet(ending) => self.ending_durable(journal, ending),
            Pending::Creation(program, replies) => {
                let info = owned.programs.creation_durable(now, &program);
                let result = info.ok_or_else(not_here).map(|info| (info, Vec::new()));
                self.shared.events.note(Kind::ProgramCreated, About::program(&program));
                replies.iter().for_each(|reply| answer(reply, result.clone()));
            }
            Pending::Ends(records, waits) => {
                let releases = owned.programs.end_durable(now, &records);
                self.released.extend(releases);
                for record in &records {
                    self.note_end(record);
                }
                if let Some((program, caller, reply)) = waits
                    && let Some(owned) = self.owned.get(journal)
                {
                    let result = describe(owned, &program, &caller, &ProgramQuery::Info);
                    answer(&reply, result);
                }
                records.iter().for_each(|record| self.wake(record.program()));
            }
        }
    }

    fn ending_durable(&mut self, journal: &JournalId, ending: Ending) {
        let Some(owned) = self.owned.get_mut(journal) else { return };
        let program = ending.record().program().clone();
        let release = owned.programs.ending_durable(moment(), ending);
        self.released.extend(release);
        self.wake(&program);
    }

    fn note_end(&self, record: &Record) {
        if let Record::Ended { program, why } = record {
            let about = About::program(program).with("why", why.as_str());
            self.shared.events.note(Kind::ProgramEnded, about);
        }
    }

    /// Tells those who wait for records that the store is unavailable. The records may yet become
    /// durable, so what waits for them stays.
    pub(super) fn late(&mut self, journal: &JournalId, token: Token) {
        let Some(owned) = self.owned.get_mut(journal) else { return };
        match owned.pending.get_mut(&token) {
            // An intent that becomes durable later is taken back, so this is true.
            Some(Pending::Intent(.., reply)) => {
                refuse_and_close(reply, store_unavailable(Verdict::NotRun));
            }
            Some(Pending::Ending(_, reply)) => {
                refuse_and_close(reply, store_unavailable(Verdict::Ran));
            }
            Some(Pending::Creation(_, replies)) => {
                for reply in replies.drain(..) {
                    answer(&reply, Err(store_unavailable(Verdict::MayHaveRun)));
                }
            }
            Some(Pending::Ends(_, waits)) => {
                if let Some((.., reply)) = waits.take() {
                    answer(&reply, Err(store_unavailable(Verdict::MayHaveRun)));
                }
            }
            Some(Pending::Quiet(_)) | None => (),
        }
    }

    /// Takes in that records are lost, or may be, because another host owns the journal.
    pub(super) fn lost(&mut self, journal: &JournalId, token: Token) {
        let Some(owned) = self.owned.get_mut(journal) else { return };
        if let Some(pending) = owned.pending.remove(&token) {
            tell_refused(pending, &not_here());
        }
    }

    pub(super) fn journal_mut(&mut self, program: &ProgramId) -> Option<&mut Owned> {
        self.owned.get_mut(&journal_of(program)?)
    }

    fn note(&self, kind: Kind, call: &Call) {
        self.shared.events.note(kind, About::call(call));
    }
}

/// Answers all that waited in a journal that this host no longer owns.
pub(super) fn tell_all_gone(owned: Owned) {
    for waiting in owned.waiting.into_values().flatten() {
        answer(&waiting.reply, Err(not_here()));
    }
    owned.pending.into_values().for_each(|pending| tell_refused(pending, &not_here()));
}

fn tell_refused(pending: Pending, refusal: &Refusal) {
    match pending {
        Pending::Intent(.., reply) => answer(&reply, Err(refusal.clone())),
        Pending::Ending(_, reply) => {
            // The call ran; whether that is recorded is not known, so another home may say so.
            answer(&reply, Err(Refusal { verdict: Verdict::MayHaveRun, ..refusal.clone() }));
        }
        Pending::Quiet(_) => (),
        Pending::Creation(_, replies) => {
            replies.iter().for_each(|reply| answer(reply, Err(refusal.clone())));
        }
        Pending::Ends(_, waits) => {
            if let Some((.., reply)) = waits {
                answer(&reply, Err(refusal.clone()));
            }
        }
    }
}

fn describe(
    owned: &Owned,
    program: &ProgramId,
    caller: &Caller,
    query: &ProgramQuery,
) -> Result<(ProgramInfo, Vec<Message>), Refusal> {
    let info = owned.programs.info(moment(), program, caller)?;
    let history = match query {
        ProgramQuery::History => {
            let history = owned.programs.history(program, caller)?;
            history.iter().map(|message| Message::clone(message)).collect()
        }
        ProgramQuery::Info | ProgramQuery::End => Vec::new(),
    };
    Ok((info, history))
}

/// Answers once. The other side may be gone, and that changes nothing here.
pub(super) fn answer<T>(reply: &Reply<T>, value: T) {
    let _ = reply.try_send(value);
}

/// Answers and closes, so that a later answer comes back to the sender.
fn refuse_and_close<T>(reply: &Reply<Result<T, Refusal>>, refusal: Refusal) {
    answer(reply, Err(refusal));
    reply.close();
}

fn gone(reply: &Reply<Result<(), Refusal>>) {
    answer(reply, Err(Refusal { verdict: Verdict::MayHaveRun, ..not_here() }));
}

/// This host is not the home; nothing was done.
pub(crate) fn not_here() -> Refusal {
    Refusal::not_run(Reason::HomeUnavailable, "this host is not the home of the program")
}

fn store_unavailable(verdict: Verdict) -> Refusal {
    let detail = "the state can't be made durable at present";
    let retry_after = Some(STORE_RETRY);
    Refusal { verdict, reason: Reason::StoreUnavailable, detail: detail.into(), retry_after }
}

fn append_refusal(error: AppendError) -> Refusal {
    match error {
        AppendError::TooLarge { .. } => Refusal::not_run(Reason::TooLarge, error.to_string()),
        AppendError::Full => store_unavailable(Verdict::NotRun),
        AppendError::Closing | AppendError::Fenced => not_here(),
    }
}
