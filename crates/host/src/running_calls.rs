//! Counts the calls that run on a host, until it takes no more of them.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bit of the state that says that no call may begin.
const CLOSED: u64 = 1 << 63;

/// The calls that a host runs as their home. Whether calls may begin and how many run is one state,
/// so that none begins after a drain has seen that none runs.
#[derive(Debug, Default)]
pub(crate) struct RunningCalls {
    /// Number of running calls, and [`CLOSED`].
    state: AtomicU64,
}

impl RunningCalls {
    /// Begins a call. Returns false if the host takes no more calls.
    pub(crate) fn begin(&self) -> bool {
        let begin = |state: u64| (state & CLOSED == 0).then_some(state + 1);
        self.state.fetch_update(Ordering::AcqRel, Ordering::Acquire, begin).is_ok()
    }

    /// Ends a call that has begun.
    pub(crate) fn end(&self) {
        self.state.fetch_sub(1, Ordering::AcqRel);
    }

    /// Takes no more calls if none runs. Returns whether that is so.
    pub(crate) fn close_if_none(&self) -> bool {
        let closed = self.state.compare_exchange(0, CLOSED, Ordering::AcqRel, Ordering::Acquire);
        closed.is_ok() || closed == Err(CLOSED)
    }

    /// Takes no more calls, although some may run.
    pub(crate) fn close(&self) {
        self.state.fetch_or(CLOSED, Ordering::AcqRel);
    }
}

#[cfg(test)]
mod tests;
