//! How programs end and are forgotten.

use {
    super::{Moment, Programs, not_found},
    crate::{
        call::Caller,
        ids::{ProgramId, UpstreamId},
        journal::Record,
        verdict::Refusal,
    },
};

/// Ended by its caller.
pub const WHY_DONE: &str = "done";
/// Ended because its wall time is over.
pub const WHY_BUDGET: &str = "budget";
/// Ended because no call came for long.
pub const WHY_ABANDONED: &str = "abandoned";

/// Engines that may hold memory for a program that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Release {
    /// The program.
    pub program: ProgramId,
    /// The engines. Those used shortly before a former owner died may be missing.
    pub upstreams: Vec<UpstreamId>,
}

/// What time asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Due {
    /// Ends to append; then [`Programs::end_durable`], or [`Programs::end_failed`].
    pub ends: Vec<Record>,
    /// Programs whose records are garbage: tell the journal. A child's records say what its
    /// parents have spent, so they count until the topmost parent is forgotten.
    pub forgotten: Vec<ProgramId>,
}

impl Programs {
    /// Ends a program and its children for its caller. Returns the records to append, none for a
    /// program that has ended. Calls that run go on to their end and are recorded.
    pub fn end(&mut self, program: &ProgramId, caller: &Caller) -> Result<Vec<Record>, Refusal> {
        self.of_team(program, &caller.team).ok_or_else(not_found)?;
        Ok(self.end_tree(program, WHY_DONE))
    }

    /// Takes in that ends are durable. Returns the engines that hold memory for the programs; for
    /// one with a running call, that comes when the call ends.
    pub fn end_durable(&mut self, now: Moment, ends: &[Record]) -> Vec<Release> {
        for record in ends {
            self.apply(now, record);
        }
        ends.iter().filter_map(|record| self.release_of(record.program())).collect()
    }

    /// Takes in that the journal did not take ends: the programs go on.
    pub fn end_failed(&mut self, ends: &[Record]) {
        for record in ends {
            if let Some(program) = self.programs.get_mut(record.program()) {
                program.is_ending = false;
            }
        }
    }

    /// Returns what is due: programs without calls, or past their wall time, are ended; programs
    /// that ended long ago are forgotten. Call it about once a second.
    pub fn tick(&mut self, now: Moment) -> Due {
        let mut due = Due { ends: Vec::new(), forgotten: self.forget_old(now) };
        for program in self.programs.keys().cloned().collect::<Vec<_>>() {
            if let Some(why) = self.why_end(now, &program) {
                due.ends.extend(self.end_tree(&program, why));
            }
        }
        due
    }

    fn why_end(&self, now: Moment, program: &ProgramId) -> Option<&'static str> {
        let state = self.programs.get(program)?;
        if state.ended().is_some() || state.is_ending {
            return None;
        }
        if self.wall_left(now, program).is_zero() {
            return Some(WHY_BUDGET);
        }
        let has_calls = state.running.is_some() || !state.waiting.is_empty();
        let is_idle = now.at >= state.active_at + self.settings.idle_after;
        let has_live_child = state.children.iter().any(|child| self.is_live(child));
        (is_idle && !has_calls && !has_live_child).then_some(WHY_ABANDONED)
    }

    /// Returns whether a program is known and has not ended, or waits to be durable.
    pub fn is_alive(&self, program: &ProgramId) -> bool {
        self.is_live(program) || self.pending.contains_key(program)
    }

    fn is_live(&self, program: &ProgramId) -> bool {
        self.programs.get(program).is_some_and(|state| state.ended().is_none())
    }

    /// Makes the records that end a program and those below it, children first.
    fn end_tree(&mut self, program: &ProgramId, why: &str) -> Vec<Record> {
        let Some(state) = self.programs.get(program) else { return Vec::new() };
        let children: Vec<ProgramId> = state.children.iter().cloned().collect();
        let mut records: Vec<Record> =
            children.iter().flat_map(|child| self.end_tree(child, why)).collect();
        let Some(state) = self.programs.get_mut(program) else { return records };
        if state.ended().is_none() && !state.is_ending {
            state.is_ending = true;
            records.push(Record::Ended { program: program.clone(), why: why.to_owned() });
        }
        records
    }

    /// The engines to release for a program that has ended and has no running call.
    pub(super) fn release_of(&mut self, program: &ProgramId) -> Option<Release> {
        let state = self.programs.get_mut(program)?;
        if state.ended().is_none() || state.running.is_some() || state.holders.is_empty() {
            return None;
        }
        let upstreams = std::mem::take(&mut state.holders).into_iter().collect();
        Some(Release { program: program.clone(), upstreams })
    }

    fn forget_old(&mut self, now: Moment) -> Vec<ProgramId> {
        let keep = self.settings.keep_ended;
        let is_old = |state: &super::Program| {
            let is_over = state.ended().is_some_and(|(_, at)| *at + keep <= now.at);
            is_over && state.running.is_none() && state.children.is_empty()
        };
        let old: Vec<ProgramId> = self
            .programs
            .iter()
            .filter(|(_, state)| is_old(state))
            .map(|(id, _)| id.clone())
            .collect();
        old.iter().flat_map(|id| self.forget(id)).collect()
    }

    /// Forgets a program. Returns it and all below it if it is a topmost one.
    fn forget(&mut self, program: &ProgramId) -> Vec<ProgramId> {
        let Some(state) = self.programs.remove(program) else { return Vec::new() };
        self.creations.retain(|_, id| id != program);
        let mut forgotten = state.forgotten_children.clone();
        forgotten.push(program.clone());
        if let Some(parent) = state.parent().and_then(|parent| self.programs.get_mut(parent)) {
            parent.children.remove(program);
            parent.forgotten_children.append(&mut forgotten);
        }
        forgotten
    }
}
