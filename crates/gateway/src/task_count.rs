//! Counts the tasks that do something at present. A task may be dropped at any of its waits, for example
//! when the connection that asked for it closes, and must not stay counted.

use std::{cell::Cell, rc::Rc};

/// Number of tasks that hold a [`TaskGuard`].
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskCount(Rc<Cell<usize>>);

impl TaskCount {
    /// Counts a task until the guard is dropped.
    pub(crate) fn enter(&self) -> TaskGuard {
        self.0.set(self.0.get() + 1);
        TaskGuard(self.0.clone())
    }

    /// Returns whether no task is counted.
    pub(crate) fn is_zero(&self) -> bool {
        self.0.get() == 0
    }
}

/// Keeps a task counted.
#[derive(Debug)]
pub(crate) struct TaskGuard(Rc<Cell<usize>>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[cfg(test)]
mod tests;
