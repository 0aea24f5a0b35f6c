//! The programs of one journal: call order, history, budget, steps and ends.
//!
//! The state is a pure function of the journal's durable records, plus the running and waiting
//! calls. A record is applied only once it is durable. A turn therefore never sees a history that
//! may be lost, and the next call of a program starts only when the end of the previous one is
//! durable. `docs/decisions/0003-steps.md` has the cost and the alternatives.
//!
//! A call goes through these states; each type can only be made from the previous one:
//!
//! ```text
//! begin ─▶ Permit::AfterIntent(Intent) ─append, durable─▶ Cleared ─send─▶ Sent ─▶ Ending ─append, durable─▶ done
//!      └─▶ Permit::Now(Cleared)                                                 └▶ Finish::NothingToRecord
//! ```
//!
//! How a driver runs one call:
//!
//! ```
//! use trefoilring_core::{
//!     call::Call,
//!     program::{Begin, Cleared, Ending, Finish, Moment, Permit, Programs},
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
//!         Begin::Replay(result) => return Ok(result),
//!         Begin::Refuse(refusal) => return Err(refusal),
//!         // `Join` waits for the end of the same step, `Wait` until `next` returns this request.
//!         Begin::Join | Begin::Wait => unimplemented_in_this_example(),
//!         Begin::Run(run) => run,
//!     };
//!     let cleared: Cleared = match run.permit {
//!         Permit::Now(cleared) => cleared,
//!         Permit::AfterIntent(intent) => {
//!             // On an error, call `programs.withdraw(intent)`.
//!             append(&[intent.record().clone()])?;
//!             programs.intent_durable(now, intent)
//!         }
//!     };
//!     // Take a token and a slot before appending the intent. Check the lease last.
//!     let finish = if lease_holds() {
//!         let sent = programs.send(cleared, "upstream-1".into());
//!         match upstream(call) {
//!             Ok(result) => Finish::Append(programs.call_ended(sent, result)),
//!             Err(true) => programs.refused(sent),
//!             Err(false) => programs.unknown(sent),
//!         }
//!     } else {
//!         programs.not_run(cleared)
//!     };
//!     if let Finish::Append(ending) = finish {
//!         append(&[ending.record().clone()])?;
//!         programs.call_end_durable(now, ending);
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
    begin::{Begin, NextCall, Run},
    create::Create,
    finish::Finish,
    lifetime::{DueActions, END_REASON_ABANDONED, END_REASON_BUDGET, END_REASON_DONE, Release},
    stage::{Cleared, Ending, Intent, Permit, Sent},
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

/// The present time on both clocks.
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
    /// How long an ended program still answers repeats of its steps.
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

    /// Applies a durable record, during recovery or for another part of the driver. Returns whether
    /// the record changed anything: records of unknown programs and repeated ends do not.
    pub fn apply(&mut self, now: Moment, record: &Record) -> bool {
        if let Record::Created { .. } = record {
            return self.apply_created(now, record);
        }
        let Some(program) = self.programs.get_mut(record.program()) else { return false };
        let Some(charge) = program.apply(now, record) else { return false };
        self.charge(record.program(), charge);
        true
    }

    /// Returns the state of a program to its team.
    pub fn info(
        &self,
        now: Moment,
        program: &ProgramId,
        caller: &Caller,
    ) -> Result<ProgramInfo, Refusal> {
        let state = self.team_program(program, &caller.team).ok_or_else(not_found)?;
        Ok(state.info(program, now))
    }

    /// Returns a program's complete history to its team.
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
    fn chain(&self, program: &ProgramId) -> Vec<ProgramId> {
        let mut chain = Vec::new();
        let mut next = Some(program.clone());
        while let Some(id) = next {
            next = self.programs.get(&id).and_then(|state| state.parent().cloned());
            chain.push(id);
        }
        chain
    }
}

/// The refusal for a program that never existed, was removed, or belongs to another team.
fn not_found() -> Refusal {
    Refusal::not_run(Reason::NotFound, "no such program")
}
