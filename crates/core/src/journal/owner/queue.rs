//! Records that wait for their entry.

use {
    crate::journal::{Record, Token},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Records of one call, which become durable together.
#[derive(Debug)]
pub(super) struct Batch {
    pub records: Vec<Record>,
    pub bytes: usize,
    pub call: Waiting,
}

/// A call that waits.
#[derive(Debug)]
pub(super) struct Waiting {
    pub token: Token,
    since: Instant,
    is_late: bool,
}

impl Waiting {
    /// A call that has come now.
    pub fn new(token: Token, now: Instant) -> Self {
        Self { token, since: now, is_late: false }
    }

    /// When the call is late, unless that was told.
    pub fn late_at(&self, after: Duration) -> Option<Instant> {
        (!self.is_late).then(|| self.since + after)
    }

    /// Notes that the caller is told, and returns the token.
    pub fn mark_late(&mut self) -> Token {
        self.is_late = true;
        self.token
    }
}

/// Batches in the order taken.
#[derive(Debug, Default)]
pub(super) struct Queue {
    batches: VecDeque<Batch>,
    bytes: usize,
}

impl Queue {
    /// Bytes of all batches.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Bytes of the first batch.
    pub fn first_bytes(&self) -> usize {
        self.batches.front().map_or(0, |batch| batch.bytes)
    }

    /// Adds a batch at the end.
    pub fn push(&mut self, batch: Batch) {
        self.bytes += batch.bytes;
        self.batches.push_back(batch);
    }

    /// Takes the first batch if it has at most `room` bytes.
    pub fn pop(&mut self, room: usize) -> Option<Batch> {
        let batch = self.batches.pop_front_if(|batch| batch.bytes <= room)?;
        self.bytes -= batch.bytes;
        Some(batch)
    }

    /// Takes all tokens.
    pub fn drain(&mut self) -> Vec<Token> {
        self.bytes = 0;
        self.batches.drain(..).map(|batch| batch.call.token).collect()
    }

    /// The calls that wait.
    pub fn calls(&mut self) -> impl Iterator<Item = &mut Waiting> {
        self.batches.iter_mut().map(|batch| &mut batch.call)
    }
}
