//! Queue of records that are not yet in an entry.

use {
    crate::journal::{Record, Token},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// The records of one call. They become durable together.
#[derive(Debug)]
pub(super) struct Batch {
    pub records: Vec<Record>,
    pub bytes: usize,
    pub call: WaitingCall,
}

/// A call that waits until its records are durable.
#[derive(Debug)]
pub(super) struct WaitingCall {
    pub token: Token,
    queued_at: Instant,
    is_late: bool,
}

impl WaitingCall {
    /// Creates a call that was received at `now`.
    pub fn new(token: Token, now: Instant) -> Self {
        Self { token, queued_at: now, is_late: false }
    }

    /// Returns when the call becomes late, or `None` if it has already been reported as late.
    pub fn late_at(&self, after: Duration) -> Option<Instant> {
        (!self.is_late).then(|| self.queued_at + after)
    }

    /// Marks the call as reported late and returns its token.
    pub fn mark_late(&mut self) -> Token {
        self.is_late = true;
        self.token
    }
}

/// Batches in the order of arrival.
#[derive(Debug, Default)]
pub(super) struct Queue {
    batches: VecDeque<Batch>,
    bytes: usize,
}

impl Queue {
    /// Total size of all batches in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Size of the first batch in bytes, or 0 if the queue is empty.
    pub fn first_bytes(&self) -> usize {
        self.batches.front().map_or(0, |batch| batch.bytes)
    }

    pub fn push(&mut self, batch: Batch) {
        self.bytes += batch.bytes;
        self.batches.push_back(batch);
    }

    /// Removes and returns the first batch if it has at most `free_bytes` bytes.
    pub fn pop(&mut self, free_bytes: usize) -> Option<Batch> {
        let batch = self.batches.pop_front_if(|batch| batch.bytes <= free_bytes)?;
        self.bytes -= batch.bytes;
        Some(batch)
    }

    /// Removes all batches and returns their tokens.
    pub fn drain(&mut self) -> Vec<Token> {
        self.bytes = 0;
        self.batches.drain(..).map(|batch| batch.call.token).collect()
    }

    pub fn calls(&mut self) -> impl Iterator<Item = &mut WaitingCall> {
        self.batches.iter_mut().map(|batch| &mut batch.call)
    }
}
