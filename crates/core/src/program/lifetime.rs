//! Termination and removal of programs.

use {
    super::{Moment, Programs, not_found},
    crate::{
        call::Caller,
        ids::{ProgramId, UpstreamId},
        journal::Record,
        verdict::Refusal,
    },
};

/// The caller ended the program.
pub const END_REASON_DONE: &str = "done";
/// The program exceeded its wall time.
pub const END_REASON_BUDGET: &str = "budget";
/// The program received no call within [`super::Settings::idle_timeout`].
pub const END_REASON_ABANDONED: &str = "abandoned";

/// A request to engines to drop the cached data of an ended program.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Release {
    /// The ended program.
    pub program: ProgramId,
    /// The engines to notify. Engines used shortly before a former owner failed may be missing.
    pub upstreams: Vec<UpstreamId>,
}

/// Actions that are due, returned by [`Programs::tick`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DueActions {
    /// Ends to append. Report the result with [`Programs::program_ends_durable`] or
    /// [`Programs::program_ends_failed`].
    pub ends: Vec<Record>,
    /// Programs whose records the journal may discard. A child's records contain spending that is
    /// charged to its ancestors, so they are kept until the root program is removed.
    pub removed: Vec<ProgramId>,
}

impl Programs {
    /// Ends a program and its descendants at its caller's request. Returns the records to append;
    /// programs that have already ended get none. Running calls continue to their end and are
    /// recorded.
    pub fn end(&mut self, program: &ProgramId, caller: &Caller) -> Result<Vec<Record>, Refusal> {
        self.team_program(program, &caller.team).ok_or_else(not_found)?;
        Ok(self.end_tree(program, END_REASON_DONE))
    }

    /// Applies ends that have become durable. Returns the engines that may hold cached data for the
    /// programs. For a program with a running call, [`Programs::call_end_durable`] returns its
    /// engines once that call has ended.
    pub fn program_ends_durable(&mut self, now: Moment, ends: &[Record]) -> Vec<Release> {
        for record in ends {
            self.apply(now, record);
        }
        ends.iter().filter_map(|record| self.take_release(record.program())).collect()
    }

    /// Discards ends that the journal rejected. The programs continue.
    pub fn program_ends_failed(&mut self, ends: &[Record]) {
        for record in ends {
            if let Some(program) = self.programs.get_mut(record.program()) {
                program.is_ending = false;
            }
        }
    }

    /// Ends programs that are idle or past their wall time, and removes programs whose retention
    /// has expired. Call this about once a second.
    pub fn tick(&mut self, now: Moment) -> DueActions {
        let mut due = DueActions { ends: Vec::new(), removed: self.remove_expired(now) };
        for program in self.programs.keys().cloned().collect::<Vec<_>>() {
            if let Some(reason) = self.due_end_reason(now, &program) {
                due.ends.extend(self.end_tree(&program, reason));
            }
        }
        due
    }

    fn due_end_reason(&self, now: Moment, program: &ProgramId) -> Option<&'static str> {
        let state = self.programs.get(program)?;
        if state.ended().is_some() || state.is_ending {
            return None;
        }
        if self.wall_left(now, program).is_zero() {
            return Some(END_REASON_BUDGET);
        }
        let has_calls = state.running.is_some() || !state.waiting.is_empty();
        let is_idle = now.at >= state.last_active + self.settings.idle_timeout;
        let has_live_child = state.children.iter().any(|child| self.is_live(child));
        (is_idle && !has_calls && !has_live_child).then_some(END_REASON_ABANDONED)
    }

    /// Returns whether a program exists and has not ended, or its creation is not durable yet.
    pub fn is_live_or_pending(&self, program: &ProgramId) -> bool {
        self.is_live(program) || self.pending.contains_key(program)
    }

    fn is_live(&self, program: &ProgramId) -> bool {
        self.programs.get(program).is_some_and(|state| state.ended().is_none())
    }

    /// Creates the records that end a program and its descendants, children first.
    fn end_tree(&mut self, program: &ProgramId, reason: &str) -> Vec<Record> {
        let Some(state) = self.programs.get(program) else { return Vec::new() };
        let children: Vec<ProgramId> = state.children.iter().cloned().collect();
        let mut records: Vec<Record> =
            children.iter().flat_map(|child| self.end_tree(child, reason)).collect();
        let Some(state) = self.programs.get_mut(program) else { return records };
        if state.ended().is_none() && !state.is_ending {
            state.is_ending = true;
            records.push(Record::Ended { program: program.clone(), why: reason.to_owned() });
        }
        records
    }

    /// Returns the engines to notify for a program that has ended and has no running call. Later
    /// calls return `None`.
    pub(super) fn take_release(&mut self, program: &ProgramId) -> Option<Release> {
        let state = self.programs.get_mut(program)?;
        if state.ended().is_none() || state.running.is_some() || state.cache_upstreams.is_empty() {
            return None;
        }
        let upstreams = std::mem::take(&mut state.cache_upstreams).into_iter().collect();
        Some(Release { program: program.clone(), upstreams })
    }

    fn remove_expired(&mut self, now: Moment) -> Vec<ProgramId> {
        let retention = self.settings.ended_retention;
        let is_expired = |state: &super::Program| {
            let is_past_retention = state.ended().is_some_and(|(_, at)| *at + retention <= now.at);
            is_past_retention && state.running.is_none() && state.children.is_empty()
        };
        let expired: Vec<ProgramId> = self
            .programs
            .iter()
            .filter(|(_, state)| is_expired(state))
            .map(|(id, _)| id.clone())
            .collect();
        expired.iter().flat_map(|id| self.remove(id)).collect()
    }

    /// Removes a program. For a root, returns the root and all its descendants. For a child,
    /// returns nothing, and adds the child and its removed descendants to `removed_descendants` of
    /// the parent.
    fn remove(&mut self, program: &ProgramId) -> Vec<ProgramId> {
        let Some(state) = self.programs.remove(program) else { return Vec::new() };
        self.creations.retain(|_, id| id != program);
        let mut removed = state.removed_descendants.clone();
        removed.push(program.clone());
        if let Some(parent) = state.parent().and_then(|parent| self.programs.get_mut(parent)) {
            parent.children.remove(program);
            parent.removed_descendants.append(&mut removed);
        }
        removed
    }
}
