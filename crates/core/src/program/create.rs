//! Creation of programs.

use {
    super::{CreationKey, Moment, Programs, state::Program},
    crate::{
        call::{Caller, CreateProgram, ProgramInfo},
        catalog::Budget,
        ids::{ProgramId, StepKey, TeamId},
        journal::Record,
        verdict::{Reason, Refusal},
    },
};

/// The maximum depth of a program below its root.
const MAX_DEPTH: usize = 16;

/// The decision on a request to create a program.
#[derive(Debug)]
pub enum CreateDecision {
    /// Append the record. The program exists once the record is durable.
    New(Record),
    /// A creation with the same step key is in progress: wait until this program's record is
    /// durable.
    Pending(ProgramId),
    /// The same creation was already made.
    Exists(Box<ProgramInfo>),
    /// Refuse the creation.
    Refuse(Refusal),
}

/// A creation whose record is not durable yet.
#[derive(Debug)]
pub(super) struct PendingCreation {
    key: Option<CreationKey>,
    record: Record,
}

impl Programs {
    /// Decides on a request to create a program. `id` is the new program's id, which the driver
    /// generates from the journal's id and a random part. `max_budget` is the class's budget. A
    /// repeat with the same step key returns the first program.
    pub fn create(
        &mut self,
        now: Moment,
        caller: &Caller,
        request: &CreateProgram,
        max_budget: Budget,
        id: ProgramId,
    ) -> CreateDecision {
        let key = request.step.as_ref().map(|step| creation_key(&caller.team, request, step));
        if let Some(first) = key.as_ref().and_then(|key| self.creations.get(key)) {
            return self.repeated_creation(now, first, request);
        }
        if self.programs.contains_key(&id) || self.pending.contains_key(&id) {
            let detail = "the new program's id is in use";
            return CreateDecision::Refuse(Refusal::not_run(Reason::Internal, detail));
        }
        let record = match self.creation_record(now, caller, request, max_budget, &id) {
            Ok(record) => record,
            Err(refusal) => return CreateDecision::Refuse(refusal),
        };
        if let Some(key) = &key {
            self.creations.insert(key.clone(), id.clone());
        }
        self.pending.insert(id, PendingCreation { key, record: record.clone() });
        CreateDecision::New(record)
    }

    /// Applies a creation that has become durable, and returns the new program's state.
    pub fn creation_durable(&mut self, now: Moment, program: &ProgramId) -> Option<ProgramInfo> {
        let pending = self.pending.remove(program)?;
        self.apply(now, &pending.record);
        self.programs.get(program).map(|state| state.info(program, now))
    }

    /// Discards a creation whose record the journal rejected.
    pub fn creation_failed(&mut self, program: &ProgramId) {
        if let Some(key) = self.pending.remove(program).and_then(|pending| pending.key) {
            self.creations.remove(&key);
        }
    }

    fn repeated_creation(
        &self,
        now: Moment,
        id: &ProgramId,
        request: &CreateProgram,
    ) -> CreateDecision {
        let Some(state) = self.programs.get(id) else { return CreateDecision::Pending(id.clone()) };
        let is_same_class = request.parent.is_some() || *state.class() == request.class;
        let is_same_budget = request.budget.is_none_or(|budget| budget == *state.budget());
        if is_same_class && is_same_budget {
            return CreateDecision::Exists(Box::new(state.info(id, now)));
        }
        let detail = "the step key was used before to create another program";
        CreateDecision::Refuse(Refusal::not_run(Reason::StepConflict, detail))
    }

    fn creation_record(
        &self,
        now: Moment,
        caller: &Caller,
        request: &CreateProgram,
        max_budget: Budget,
        id: &ProgramId,
    ) -> Result<Record, Refusal> {
        let mut class = request.class.clone();
        let mut max_budget = max_budget;
        if let Some(parent) = &request.parent {
            let parent_state = self.check_parent(now, caller, parent)?;
            class = parent_state.class().clone();
            max_budget = *parent_state.budget();
        }
        let budget = request.budget.unwrap_or(max_budget);
        check_budget(&budget, &max_budget)?;
        Ok(Record::Created {
            program: id.clone(),
            parent: request.parent.clone(),
            team: caller.team.clone(),
            class,
            budget,
            step: request.step.clone(),
            created_ms: now.wall_ms,
        })
    }

    fn check_parent(
        &self,
        now: Moment,
        caller: &Caller,
        parent: &ProgramId,
    ) -> Result<&Program, Refusal> {
        let state = self.team_program(parent, &caller.team).ok_or_else(super::not_found)?;
        if state.ended().is_some() || state.is_ending {
            return Err(Refusal::not_run(Reason::ProgramEnded, "the parent has ended"));
        }
        if self.with_ancestors(parent).len() > MAX_DEPTH {
            let detail = format!("children are nested more than {MAX_DEPTH} deep");
            return Err(Refusal::not_run(Reason::BadRequest, detail));
        }
        if self.wall_left(now, parent).is_zero() {
            return Err(super::budget::budget_spent("wall time"));
        }
        Ok(state)
    }

    pub(super) fn apply_created(&mut self, now: Moment, record: &Record) -> bool {
        let Record::Created { program: id, parent, team, step, .. } = record else { return false };
        if self.programs.contains_key(id) || parent.as_ref() == Some(id) {
            return false;
        }
        let root_created_ms = parent
            .as_ref()
            .and_then(|parent| self.programs.get(parent))
            .map(|parent| parent.root_created_ms);
        let Some(program) = Program::new(now, record, root_created_ms) else { return false };
        if let Some(parent) = parent.as_ref().and_then(|parent| self.programs.get_mut(parent)) {
            parent.children.insert(id.clone());
            parent.last_active = now.at;
        }
        if let Some(step) = step {
            let key = (team.clone(), parent.clone(), step.clone());
            self.creations.insert(key, id.clone());
        }
        self.programs.insert(id.clone(), program);
        true
    }
}

fn creation_key(team: &TeamId, request: &CreateProgram, step: &StepKey) -> CreationKey {
    (team.clone(), request.parent.clone(), step.clone())
}

fn check_budget(budget: &Budget, most: &Budget) -> Result<(), Refusal> {
    let parts = [
        ("turns", u64::from(budget.turns), u64::from(most.turns)),
        ("tokens", budget.tokens, most.tokens),
        ("wall_ms", budget.wall_ms, most.wall_ms),
    ];
    for (name, asked, most) in parts {
        if asked == 0 || asked > most {
            let detail = format!("budget.{name} is {asked}, accepted is 1 to {most}");
            return Err(Refusal::not_run(Reason::BadRequest, detail));
        }
    }
    Ok(())
}
