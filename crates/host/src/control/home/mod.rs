//! The journals that this host owns, with their programs and queued calls.

mod pending;
mod programs;
mod steps;

pub(super) use pending::{Pending, refuse_all};

use {
    crate::{
        control::{Reply, journals::JournalState},
        observe::events::EventFields,
        shared::Shared,
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Instant},
    trefoilring_core::{
        call::{Call, ProgramInfo},
        event::Kind,
        ids::{Epoch, JournalId, ProgramId, journal_of},
        journal::{self, Token},
        message::Message,
        program::{BeginDecision, Moment, Release, Run},
        verdict::{Reason, Refusal},
    },
};

/// Location of the home of a program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Home {
    /// The home is this host.
    Local,
    /// The home is the host at this address.
    Remote(SocketAddr),
}

/// Result of beginning a call.
pub(crate) enum BeginOutcome {
    /// The call may run, under this epoch of the journal.
    Run(Box<Run>, Epoch),
    /// The step has already ended, with this recorded result.
    Replay(journal::StepResult),
}

/// Channel for the result of beginning a call.
pub(crate) type BeginReply = Reply<Result<BeginOutcome, Refusal>>;
/// Channel for the reply to a request about a program.
pub(crate) type InfoReply = Reply<Result<(ProgramInfo, Vec<Message>), Refusal>>;

/// A call queued behind an earlier call of its program, or joined to the call that runs the same
/// step.
pub(super) struct WaitingCall {
    call: Call,
    request_hash: u64,
    is_repeatable: bool,
    reply: BeginReply,
}

/// The journals of one host.
pub(crate) struct Homes {
    pub(super) shared: Arc<Shared>,
    pub(super) owned: BTreeMap<JournalId, JournalState>,
    /// The journal for new programs.
    pub(super) own_journal: Option<JournalId>,
    next_token: Token,
    next_sweep: Instant,
    rng: rand::rngs::StdRng,
    /// Ended programs whose engine memory is to be released.
    pub(super) pending_releases: Vec<Release>,
}

/// Returns the current time on the monotonic and the wall clock.
pub(crate) fn current_moment() -> Moment {
    Moment { at: Instant::now(), wall_ms: crate::observe::log::wall_us() / 1000 }
}

impl Homes {
    pub(crate) fn new(shared: Arc<Shared>, now: Instant) -> Self {
        let rng = rand::make_rng();
        Self {
            shared,
            owned: BTreeMap::new(),
            own_journal: None,
            next_token: 0,
            next_sweep: now,
            rng,
            pending_releases: Vec::new(),
        }
    }

    /// Queues a call in its program's order. The reply is sent when the call may run or its result
    /// is known.
    pub(crate) fn begin(
        &mut self,
        call: Call,
        request_hash: u64,
        is_repeatable: bool,
        reply: BeginReply,
    ) {
        let waiting = WaitingCall { call, request_hash, is_repeatable, reply };
        match self.journal_mut(&waiting.call.program) {
            Some(_) => self.try_begin(waiting),
            None => send_reply(&waiting.reply, Err(not_home())),
        }
    }

    fn try_begin(&mut self, waiting: WaitingCall) {
        let program = waiting.call.program.clone();
        let Some(owned) = self.journal_mut(&program) else {
            return send_reply(&waiting.reply, Err(not_home()));
        };
        let epoch = owned.journal.epoch();
        let begin = owned.programs.begin(
            current_moment(),
            &waiting.call,
            waiting.request_hash,
            waiting.is_repeatable,
        );
        match begin {
            BeginDecision::Run(run) => {
                send_reply(&waiting.reply, Ok(BeginOutcome::Run(run, epoch)))
            }
            BeginDecision::Replay(result) => {
                self.record_event(Kind::CallReplayed, &waiting.call);
                send_reply(&waiting.reply, Ok(BeginOutcome::Replay(result)));
            }
            BeginDecision::Refuse(refusal) => {
                send_reply(&waiting.reply, Err(refusal));
                // A refused call may have been the one that other calls wait for.
                self.retry_waiting(&program);
            }
            BeginDecision::Join => {
                self.record_event(Kind::CallJoined, &waiting.call);
                self.add_waiting(program, waiting);
            }
            BeginDecision::Wait => self.add_waiting(program, waiting),
        }
    }

    fn add_waiting(&mut self, program: ProgramId, waiting: WaitingCall) {
        if let Some(owned) = self.journal_mut(&program) {
            owned.waiting.entry(program).or_default().push(waiting);
        }
    }

    /// Retries the waiting calls that may now be able to begin after the program's state has
    /// changed: the next call in order, and calls that joined a step that is no longer in progress.
    fn retry_waiting(&mut self, program: &ProgramId) {
        let Some(owned) = self.journal_mut(program) else { return };
        let next = owned.programs.next(program).map(|next| next.request);
        let Some(all) = owned.waiting.remove(program) else { return };
        let programs = &owned.programs;
        let (kept, woken): (Vec<WaitingCall>, Vec<WaitingCall>) =
            all.into_iter().partition(|waiting| {
                let call = &waiting.call;
                next.as_ref() != Some(&call.request)
                    && programs.is_waiting_or_joined(program, &call.request, &call.step)
            });
        if !kept.is_empty() {
            owned.waiting.insert(program.clone(), kept);
        }
        woken.into_iter().for_each(|waiting| self.try_begin(waiting));
    }

    pub(super) fn journal_mut(&mut self, program: &ProgramId) -> Option<&mut JournalState> {
        self.owned.get_mut(&journal_of(program)?)
    }

    fn record_event(&self, kind: Kind, call: &Call) {
        self.shared.events.record(kind, EventFields::for_call(call));
    }
}

/// Sends a reply. It is dropped if the receiver no longer waits.
pub(super) fn send_reply<T>(reply: &Reply<T>, value: T) {
    let _ = reply.try_send(value);
}

/// Returns the refusal for a program whose home is not this host. Nothing was run. Also used if no
/// dispatcher or limiter can be found, so that the caller retries as it does for a home.
pub(crate) fn not_home() -> Refusal {
    Refusal::not_run(Reason::HomeUnavailable, "this host is not the home of the program")
}
