//! The programs of one journal: call order, history, budget, steps and termination.
//!
//! The state is a pure function of the journal's durable records, plus the running and waiting
//! calls. A record is applied only once it is durable. A turn therefore never sees a history that
//! may be lost, and the next call of a program starts only when the end of the previous one is
//! durable. `docs/decisions/0003-steps.md` discusses the cost and the alternatives.
//!
//! A call passes through these stages. A value of each stage is only created from one of the
//! previous stage:
//!
//! ```text
//! begin ─▶ Permit::AfterIntent(Intent) ─append, durable─▶ ReadyToSend ─mark_sent─▶ Sent ─▶ EndedCall ─append, durable─▶ done
//!      └─▶ Permit::Now(ReadyToSend)                                                     └▶ EndAction::NothingToRecord
//! ```
//!
//! How the code that performs the I/O (the driver) runs one call:
//!
//! ```
//! use trefoilring_core::{
//!     call::Call,
//!     program::{BeginDecision, EndAction, EndedCall, Moment, Permit, Programs, ReadyToSend},
//!     journal::{Record, StepResult},
//!     verdict::Refusal,
//! };
//!
//! /// Returns once the records are durable.
//! fn append(records: &[Record]) -> Result<(), Refusal> { Ok(()) }
//! fn lease_holds() -> bool { true }
//! /// `Err(true)` means that the upstream refused the call before running anything.
//! fn upstream(call: &Call) -> Result<StepResult, bool> { Err(false) }
//!
//! fn run(programs: &mut Programs, now: Moment, call: &Call, hash: u64) -> Result<StepResult, Refusal> {
//!     let run = match programs.begin(now, call, hash, false) {
//!         BeginDecision::Replay(result) => return Ok(result),
//!         BeginDecision::Refuse(refusal) => return Err(refusal),
//!         // `Join` waits for the end of the same step, `Wait` until `next` returns this request.
//!         BeginDecision::Join | BeginDecision::Wait => unimplemented_in_this_example(),
//!         BeginDecision::Run(run) => run,
//!     };
//!     // Take a token and a slot before appending the intent.
//!     let ready: ReadyToSend = match run.permit {
//!         Permit::Now(ready) => ready,
//!         Permit::AfterIntent(intent) => {
//!             // On an error, call `programs.withdraw(intent)`.
//!             append(&[intent.record().clone()])?;
//!             programs.intent_durable(now, intent)
//!         }
//!     };
//!     // Check the lease last.
//!     let action = if lease_holds() {
//!         let sent = programs.mark_sent(ready, "upstream-1".into());
//!         match upstream(call) {
//!             Ok(result) => EndAction::Append(programs.end_service_call(sent, result)),
//!             Err(true) => programs.end_refused(sent),
//!             Err(false) => programs.end_unknown(sent),
//!         }
//!     } else {
//!         programs.end_not_run(ready)
//!     };
//!     if let EndAction::Append(ended) = action {
//!         append(&[ended.record().clone()])?;
//!         programs.call_end_durable(now, ended);
//!     }
//!     // Then answer the joined requests, and call `begin` for the request that `next` returns.
//!     let _next = programs.next(&call.program);
//!     # Err(trefoilring_core::verdict::Refusal::may_have_run(trefoilring_core::verdict::Reason::Internal, ""))
//! }
//! # fn unimplemented_in_this_example() -> ! { std::process::exit(1) }
//! ```

mod begin;
mod budget;
mod create;
mod finish;
mod lifetime;
mod stage;
mod state;

pub use {
    begin::{BeginDecision, NextCall, Run},
    create::CreateDecision,
    finish::EndAction,
    lifetime::{DueActions, END_REASON_ABANDONED, END_REASON_BUDGET, END_REASON_DONE, Release},
    stage::{EndedCall, Intent, Permit, ReadyToSend, Sent},
};

use {
    crate::{
        call::{Caller, ProgramInfo},
        ids::{ProgramId, StepKey, TeamId},
        journal::Record,
        message::Message,
        verdict::{Reason, Refusal},
    },
    create::PendingCreation,
    state::Program,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The current time on the monotonic and the wall clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Moment {
    /// Monotonic clock, for idle times.
    pub at: Instant,
    /// Wall clock in milliseconds since 1970, for times stored in records.
    pub wall_ms: u64,
}

/// Limits and timeouts of programs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// A program that receives no call for this long is ended.
    pub idle_timeout: Duration,
    /// How long the results of an ended program's steps are kept for repeated requests.
    pub ended_retention: Duration,
    /// Tokens that a turn may generate if its options set no limit.
    pub completion_tokens: u64,
    /// The most calls of one program that may wait.
    pub max_waiting: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            idle_timeout: Duration::from_secs(1800),
            ended_retention: Duration::from_secs(600),
            completion_tokens: 1024,
            max_waiting: 64,
        }
    }
}

/// Identifies a creation: the team, the parent if any, and the caller's step key.
type CreationKey = (TeamId, Option<ProgramId>, StepKey);

/// All programs of one journal.
#[derive(Debug)]
pub struct Programs {
    settings: Settings,
    programs: BTreeMap<ProgramId, Program>,
    creations: BTreeMap<CreationKey, ProgramId>,
    /// Creations whose records are not durable yet.
    pending: BTreeMap<ProgramId, PendingCreation>,
}

impl Programs {
    /// Creates an empty set of programs.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            programs: BTreeMap::new(),
            creations: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Rebuilds all programs from the records of a journal, in order.
    pub fn recover<'a>(
        settings: Settings,
        now: Moment,
        records: impl IntoIterator<Item = &'a Record>,
    ) -> Self {
        let mut programs = Self::new(settings);
        for record in records {
            programs.apply(now, record);
        }
        programs
    }

    /// Applies a durable record, during recovery or through the methods of [`Programs`] that apply
    /// durable records. Returns whether the record changed anything: records of unknown programs
    /// and duplicate records of an end do not.
    pub fn apply(&mut self, now: Moment, record: &Record) -> bool {
        if let Record::Created { .. } = record {
            return self.apply_created(now, record);
        }
        let Some(program) = self.programs.get_mut(record.program()) else { return false };
        let Some(charge) = program.apply(now, record) else { return false };
        self.charge(record.program(), charge);
        true
    }

    /// Returns a program's state if `caller` belongs to its team.
    pub fn info(
        &self,
        now: Moment,
        program: &ProgramId,
        caller: &Caller,
    ) -> Result<ProgramInfo, Refusal> {
        let state = self.team_program(program, &caller.team).ok_or_else(not_found)?;
        Ok(state.info(program, now))
    }

    /// Returns a program's complete history if `caller` belongs to its team.
    pub fn history(
        &self,
        program: &ProgramId,
        caller: &Caller,
    ) -> Result<Vec<Arc<Message>>, Refusal> {
        let state = self.team_program(program, &caller.team).ok_or_else(not_found)?;
        Ok(state.history().to_vec())
    }

    /// Returns the ids of all programs, including ended ones, in order.
    pub fn ids(&self) -> impl Iterator<Item = &ProgramId> {
        self.programs.keys()
    }

    /// Returns the number of programs that have not ended.
    pub fn live_count(&self) -> usize {
        self.programs.values().filter(|program| program.ended().is_none()).count()
    }

    /// Returns the number of steps whose start or end is recorded.
    pub fn step_count(&self) -> usize {
        self.programs.values().map(Program::step_count).sum()
    }

    /// Returns an estimate of the memory that all programs use, in bytes.
    pub fn estimated_bytes(&self) -> usize {
        self.programs.values().map(Program::estimated_bytes).sum()
    }

    /// Returns a program if it belongs to `team`. Other teams get the same answer as for an unknown
    /// program.
    fn team_program(&self, program: &ProgramId, team: &TeamId) -> Option<&Program> {
        self.programs.get(program).filter(|state| state.team() == team)
    }

    /// Returns the program, its parent and so on up to the root.
    fn with_ancestors(&self, program: &ProgramId) -> Vec<ProgramId> {
        let mut ids = Vec::new();
        let mut next = Some(program.clone());
        while let Some(id) = next {
            next = self.programs.get(&id).and_then(|state| state.parent().cloned());
            ids.push(id);
        }
        ids
    }
}

/// The refusal for a program that never existed, was removed, or belongs to another team.
fn not_found() -> Refusal {
    Refusal::not_run(Reason::NotFound, "no such program")
}
