//! Keeps a peer that sends without pause from occupying a thread.

use std::task::{Context, Poll};

/// Number of reads after which a connection's task lets other tasks run.
const READS_PER_TURN: u32 = 4;

/// Counts the reads of a connection that found bytes at once.
///
/// A decoder reads until no byte is left or a part of the answer is complete. If the peer sends
/// faster than that, neither happens, and the task never ends its turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadTurns {
    reads: u32,
}

impl ReadTurns {
    /// Ends the turn after some reads: returns [`Poll::Pending`] and wakes the task again. Call it
    /// before each read.
    pub fn poll_turn(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.reads < READS_PER_TURN {
            return Poll::Ready(());
        }
        self.reads = 0;
        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Records a read. One that has to wait starts a new turn.
    pub fn record<T>(&mut self, read: &Poll<T>) {
        match read {
            Poll::Pending => self.reads = 0,
            Poll::Ready(_) => self.reads += 1,
        }
    }
}
