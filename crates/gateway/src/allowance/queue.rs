//! Requests of a team that wait for tokens at this host.

use {
    smol::lock::Mutex,
    std::{cell::Cell, rc::Rc},
    trefoilring_core::shares::WaitingRequests,
};

/// Queue of waiting requests. Requests of active programs take tokens one at a time, in order of
/// arrival.
#[derive(Default)]
pub(super) struct Queue {
    /// Held by the request of an active program that is first in the queue.
    pub(super) head_lock: Mutex<()>,
    active_request_count: Cell<usize>,
    opening_request_count: Cell<usize>,
}

impl Queue {
    pub(super) fn waiting(&self) -> WaitingRequests {
        WaitingRequests {
            active_program_count: self.active_request_count.get(),
            opens_program: self.opening_request_count.get() > 0,
        }
    }

    fn count(&self, opens_program: bool) -> &Cell<usize> {
        if opens_program { &self.opening_request_count } else { &self.active_request_count }
    }
}

/// Counts a request as waiting for the lifetime of the guard.
pub(super) struct WaitingGuard {
    queue: Rc<Queue>,
    opens_program: bool,
}

impl WaitingGuard {
    pub(super) fn new(queue: Rc<Queue>, opens_program: bool) -> Self {
        let count = queue.count(opens_program);
        count.set(count.get() + 1);
        Self { queue, opens_program }
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        let count = self.queue.count(self.opens_program);
        count.set(count.get() - 1);
    }
}
