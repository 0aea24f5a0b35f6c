//! Requests of a team that wait for tokens at this host.

use {
    smol::lock::Mutex,
    std::{cell::Cell, rc::Rc},
    trefoilring_core::shares::WaitingRequests,
};

/// Those who wait. Requests of programs under way go one after the other, in the order in which they came.
#[derive(Default)]
pub(super) struct Queue {
    /// Held by the first request of a program under way.
    pub(super) head_lock: Mutex<()>,
    active_program_count: Cell<usize>,
    opening_count: Cell<usize>,
}

impl Queue {
    pub(super) fn waiting(&self) -> WaitingRequests {
        WaitingRequests {
            active_program_count: self.active_program_count.get(),
            opens_program: self.opening_count.get() > 0,
        }
    }

    fn count(&self, opens_program: bool) -> &Cell<usize> {
        if opens_program { &self.opening_count } else { &self.active_program_count }
    }
}

/// A place among those who wait.
pub(super) struct QueueGuard {
    queue: Rc<Queue>,
    opens_program: bool,
}

impl QueueGuard {
    pub(super) fn new(queue: Rc<Queue>, opens_program: bool) -> Self {
        let count = queue.count(opens_program);
        count.set(count.get() + 1);
        Self { queue, opens_program }
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let count = self.queue.count(self.opens_program);
        count.set(count.get() - 1);
    }
}
