//! How programs are created.

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

/// Most generations of programs below a topmost one.
const MAX_DEPTH: usize = 16;

/// What to do with a request for a new program.
#[derive(Debug)]
pub enum Create {
    /// Append the record; the program is there when it is durable.
    New(Record),
    /// The same creation waits to be durable: wait for this program.
    Pending(ProgramId),
    /// The same creation was made before.
    Exists(Box<ProgramInfo>),
    /// Refuse it.
    Refuse(Refusal),
}

/// A creation that isn't durable yet.
#[derive(Debug)]
pub(super) struct PendingCreation {
    key: Option<CreationKey>,
    record: Record,
}

impl Programs {
    /// Takes in a request for a program with the id `id`, made by the driver for this journal.
    /// `most` is the class's budget. A repeat under the same step key returns the first program.
    pub fn create(
        &mut self,
        now: Moment,
        caller: &Caller,
        request: &CreateProgram,
        most: Budget,
        id: ProgramId,
    ) -> Create {
        let key = request.step.as_ref().map(|step| creation_key(&caller.team, request, step));
        if let Some(known) = key.as_ref().and_then(|key| self.creations.get(key)) {
            return self.created_before(now, known, request);
        }
        if self.programs.contains_key(&id) || self.pending.contains_key(&id) {
            let detail = "the new program's id is in use";
            return Create::Refuse(Refusal::not_run(Reason::Internal, detail));
        }
        let record = match self.creation(now, caller, request, most, &id) {
            Ok(record) => record,
            Err(refusal) => return Create::Refuse(refusal),
        };
        if let Some(key) = &key {
            self.creations.insert(key.clone(), id.clone());
        }
        self.pending.insert(id, PendingCreation { key, record: record.clone() });
        Create::New(record)
    }

    /// Takes in that the record of a creation is durable.
    pub fn creation_durable(&mut self, now: Moment, program: &ProgramId) -> Option<ProgramInfo> {
        let pending = self.pending.remove(program)?;
        self.apply(now, &pending.record);
        self.programs.get(program).map(|state| state.info(program, now))
    }

    /// Takes in that the journal did not take the record of a creation.
    pub fn creation_failed(&mut self, program: &ProgramId) {
        if let Some(key) = self.pending.remove(program).and_then(|pending| pending.key) {
            self.creations.remove(&key);
        }
    }

    fn created_before(&self, now: Moment, known: &ProgramId, request: &CreateProgram) -> Create {
        let Some(program) = self.programs.get(known) else { return Create::Pending(known.clone()) };
        let is_same_class = request.parent.is_some() || *program.class() == request.class;
        let is_same_budget = request.budget.is_none_or(|budget| budget == *program.budget());
        if is_same_class && is_same_budget {
            return Create::Exists(Box::new(program.info(known, now)));
        }
        let detail = "the step key was used before to create another program";
        Create::Refuse(Refusal::not_run(Reason::StepConflict, detail))
    }

    fn creation(
        &self,
        now: Moment,
        caller: &Caller,
        request: &CreateProgram,
        most: Budget,
        id: &ProgramId,
    ) -> Result<Record, Refusal> {
        let mut class = request.class.clone();
        let mut most = most;
        if let Some(parent) = &request.parent {
            let parent_state = self.live_parent(now, caller, parent)?;
            class = parent_state.class().clone();
            most = *parent_state.budget();
        }
        let budget = request.budget.unwrap_or(most);
        check_budget(&budget, &most)?;
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

    fn live_parent(
        &self,
        now: Moment,
        caller: &Caller,
        parent: &ProgramId,
    ) -> Result<&Program, Refusal> {
        let state = self.of_team(parent, &caller.team).ok_or_else(super::not_found)?;
        if state.ended().is_some() || state.is_ending {
            return Err(Refusal::not_run(Reason::ProgramEnded, "the parent has ended"));
        }
        if self.chain(parent).len() > MAX_DEPTH {
            let detail = format!("children are nested more than {MAX_DEPTH} deep");
            return Err(Refusal::not_run(Reason::BadRequest, detail));
        }
        if self.wall_left(now, parent).is_zero() {
            return Err(super::budget::spent("wall time"));
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
            parent.active_at = now.at;
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
