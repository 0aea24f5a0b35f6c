//! The programs of one journal: order, history, budget, steps and ends.
//!
//! The state is a pure function of the journal's durable records, plus what runs and waits. A
//! record is applied when it is durable and not before, so a turn never sees a history that may be
//! lost, and the next call of a program starts when the end of the one before is durable. The cost
//! and the options are in `docs/decisions/0003-steps.md`.
//!
//! A call goes through these states; each type can only be made from the one before it:
//!
//! ```text
//! begin ─▶ Permit::AfterIntent(Intent) ─append, durable─▶ Cleared ─send─▶ Sent ─▶ Ending ─append, durable─▶ done
//!      └─▶ Permit::Now(Cleared)                                                 └▶ Finish::Free
//! ```
//!
//! A driver's loop for one call:
//!
//! ```
//! use trefoilring_core::{
//!     call::Call,
//!     program::{Begin, Cleared, Ending, Finish, Moment, Permit, Programs},
//!     journal::{Record, StepResult},
//!     verdict::Refusal,
//! };
//!
//! /// Returns once the journal says that the records are durable.
//! fn append(records: &[Record]) -> Result<(), Refusal> { Ok(()) }
//! fn lease_holds() -> bool { true }
//! /// `Err(true)` means that the upstream refused before it ran anything.
//! fn upstream(call: &Call) -> Result<StepResult, bool> { Err(false) }
//!
//! fn run(programs: &mut Programs, now: Moment, call: &Call, hash: u64) -> Result<StepResult, Refusal> {
//!     let run = match programs.begin(now, call, hash, false) {
//!         Begin::Replay(result) => return Ok(result),
//!         Begin::Refuse(refusal) => return Err(refusal),
//!         // Both wait: for the end of the same step, or until `next` names this request.
//!         Begin::Join | Begin::Wait => unimplemented_in_this_example(),
//!         Begin::Run(run) => run,
//!     };
//!     let cleared: Cleared = match run.permit {
//!         Permit::Now(cleared) => cleared,
//!         Permit::AfterIntent(intent) => {
//!             // On an error the intent goes back by `programs.withdraw(intent)`.
//!             append(&[intent.record().clone()])?;
//!             programs.intent_durable(now, intent)
//!         }
//!     };
//!     // Take a token and a slot before the intent; check the lease last.
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
//!         programs.ending_durable(now, ending);
//!     }
//!     // Then: answer those who joined, and begin again the call that `next` names.
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
    begin::{Begin, Run, Waiter},
    create::Create,
    finish::Finish,
    lifetime::{Due, Release, WHY_ABANDONED, WHY_BUDGET, WHY_DONE},
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
    /// Monotonic, for idle times.
    pub at: Instant,
    /// Wall clock in milliseconds since 1970, for times that are kept in records.
    pub wall_ms: u64,
}

/// Bounds and times of programs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// A program without a call for this long is ended.
    pub idle_after: Duration,
    /// An ended program answers repeats of its steps for this long.
    pub keep_ended: Duration,
    /// Tokens that a turn may generate when it doesn't say.
    pub completion_tokens: u64,
    /// Most calls of one program that wait for their turn.
    pub max_waiting: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            idle_after: Duration::from_secs(1800),
            keep_ended: Duration::from_secs(600),
            completion_tokens: 1024,
            max_waiting: 64,
        }
    }
}

/// Names a creation within a team: the parent, if any, and the caller's key.
type CreationKey = (TeamId, Option<ProgramId>, StepKey);

/// All programs of one journal.
#[derive(Debug)]
pub struct Programs {
    settings: Settings,
    programs: BTreeMap<ProgramId, Program>,
    creations: BTreeMap<CreationKey, ProgramId>,
    /// Creations that aren't durable yet.
    pending: BTreeMap<ProgramId, PendingCreation>,
}

impl Programs {
    /// No programs yet.
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

    /// Applies a durable record, at recovery or for another part of the driver. Returns whether it
    /// changed anything: records of unknown programs and repeats of ends do not.
    pub fn apply(&mut self, now: Moment, record: &Record) -> bool {
        if let Record::Created { .. } = record {
            return self.apply_created(now, record);
        }
        let Some(program) = self.programs.get_mut(record.program()) else { return false };
        let Some(charge) = program.apply(now, record) else { return false };
        self.charge(record.program(), charge);
        true
    }

    /// Describes a program to its team.
    pub fn info(
        &self,
        now: Moment,
        program: &ProgramId,
        caller: &Caller,
    ) -> Result<ProgramInfo, Refusal> {
        let state = self.of_team(program, &caller.team).ok_or_else(not_found)?;
        Ok(state.info(program, now))
    }

    /// Returns a program's whole history to its team.
    pub fn history(
        &self,
        program: &ProgramId,
        caller: &Caller,
    ) -> Result<Vec<Arc<Message>>, Refusal> {
        let state = self.of_team(program, &caller.team).ok_or_else(not_found)?;
        Ok(state.history().to_vec())
    }

    /// All programs, ended ones too, in order of id.
    pub fn ids(&self) -> impl Iterator<Item = &ProgramId> {
        self.programs.keys()
    }

    /// Number of programs that have not ended.
    pub fn live_count(&self) -> usize {
        self.programs.values().filter(|program| program.ended().is_none()).count()
    }

    /// Number of steps whose start or end is recorded.
    pub fn step_count(&self) -> usize {
        self.programs.values().map(Program::step_count).sum()
    }

    /// Estimate of the memory that all programs take, in bytes.
    pub fn estimated_bytes(&self) -> usize {
        self.programs.values().map(Program::estimated_bytes).sum()
    }

    /// A program as its own team may see it. Other teams can't tell it from one that isn't there.
    fn of_team(&self, program: &ProgramId, team: &TeamId) -> Option<&Program> {
        self.programs.get(program).filter(|state| state.team() == team)
    }

    /// The program, its parent and so on up to the topmost.
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

/// The same answer for programs that never were, that are forgotten, and of other teams.
fn not_found() -> Refusal {
    Refusal::not_run(Reason::NotFound, "no such program")
}
