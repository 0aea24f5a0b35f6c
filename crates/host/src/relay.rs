//! Relays answers from their home to the entry host of the caller.
//!
//! A tarpc call has one reply, so the entry host fetches the chunks by long polling, and each reply
//! carries all chunks that are available. The last batch is kept until the next poll, so that a
//! lost reply loses no chunks.

use {
    slotmap::{Key, KeyData, SlotMap, new_key_type},
    smol::lock::Mutex as AsyncMutex,
    std::{
        future::Future,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    trefoilring_core::{
        call::Chunk,
        verdict::{Reason, Refusal},
    },
    trefoilring_edge::Answer,
    trefoilring_proto::{CallHandle, ChunkBatch},
};

/// Maximum number of chunks per reply, to bound its size.
const MAX_BATCH_CHUNKS: usize = 256;
/// Maximum wait of a poll for a chunk before it returns an empty batch.
pub(crate) const POLL_WAIT: Duration = Duration::from_secs(10);
/// A relay that has not been polled for this long is removed, because the polling host is assumed
/// lost.
const ABANDONED_AFTER: Duration = Duration::from_secs(60);

new_key_type! {
    struct RelayKey;
}

/// The relays of answers that other hosts are fetching from this one.
#[derive(Default)]
pub(crate) struct Relays {
    table: Mutex<SlotMap<RelayKey, RelayEntry>>,
}

struct RelayEntry {
    relay: Arc<AsyncMutex<Relay>>,
    last_polled: Instant,
}

/// Relay of one answer. Invariant: the entry host has received all chunks before `last_batch`, and
/// all chunks after it are still in `answer`.
struct Relay {
    answer: Answer,
    last_batch: ChunkBatch,
}

impl Relays {
    /// Adds a relay for an answer that another host fetches.
    pub(crate) fn insert(&self, answer: Answer) -> CallHandle {
        let relay = Relay { answer, last_batch: ChunkBatch::default() };
        let entry =
            RelayEntry { relay: Arc::new(AsyncMutex::new(relay)), last_polled: Instant::now() };
        self.lock().insert(entry).data().as_ffi()
    }

    /// Removes a relay. The call that produces the answer still runs to its end and is recorded.
    pub(crate) fn remove(&self, handle: CallHandle) {
        self.lock().remove(KeyData::from_ffi(handle).into());
    }

    /// Returns whether there are no relays.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Removes abandoned relays.
    pub(crate) fn sweep(&self, now: Instant) {
        let is_recent =
            |entry: &RelayEntry| now.saturating_duration_since(entry.last_polled) < ABANDONED_AFTER;
        self.lock().retain(|_, entry| is_recent(entry));
    }

    /// Waits for chunks from position `after` (inclusive) on.
    pub(crate) async fn next(
        &self,
        handle: CallHandle,
        after: u64,
        timeout: impl Future<Output = ()>,
    ) -> Result<ChunkBatch, Refusal> {
        let key = KeyData::from_ffi(handle).into();
        let relay = {
            let mut table = self.lock();
            let entry = table.get_mut(key).ok_or_else(unknown_answer)?;
            entry.last_polled = Instant::now();
            entry.relay.clone()
        };
        let mut relay = relay.lock().await;
        let batch = relay.next(after, timeout).await?;
        Ok(batch)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, SlotMap<RelayKey, RelayEntry>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Relay {
    async fn next(
        &mut self,
        after: u64,
        timeout: impl Future<Output = ()>,
    ) -> Result<ChunkBatch, Refusal> {
        let end = self.last_batch.first + self.last_batch.chunks.len() as u64;
        if after == self.last_batch.first && end > after {
            return Ok(self.last_batch.clone());
        }
        if after != end {
            return Err(unknown_answer());
        }
        if self.last_batch.end.is_some() {
            return Ok(ChunkBatch {
                first: after,
                chunks: Vec::new(),
                end: self.last_batch.end.clone(),
            });
        }
        let first = smol::future::or(async { Some(self.answer.recv().await) }, async {
            timeout.await;
            None
        });
        let Some(first) = first.await else {
            return Ok(ChunkBatch { first: after, ..ChunkBatch::default() });
        };
        // No await from here on: a cancelled poll must not lose chunks taken from the channel.
        self.last_batch = collect_batch(after, first.ok(), &self.answer);
        Ok(self.last_batch.clone())
    }
}

fn collect_batch(
    first: u64,
    received: Option<Result<Chunk, Refusal>>,
    answer: &Answer,
) -> ChunkBatch {
    let mut batch = ChunkBatch { first, ..ChunkBatch::default() };
    let mut next = received;
    loop {
        match next {
            Some(Ok(chunk)) => batch.chunks.push(chunk),
            Some(Err(refusal)) => {
                batch.end = Some(Err(refusal));
                return batch;
            }
            None => {
                batch.end = Some(Ok(()));
                return batch;
            }
        }
        if batch.chunks.len() == MAX_BATCH_CHUNKS {
            return batch;
        }
        next = match answer.try_recv() {
            Ok(item) => Some(item),
            Err(smol::channel::TryRecvError::Empty) => return batch,
            Err(smol::channel::TryRecvError::Closed) => None,
        };
    }
}

/// The refusal if this host has no relay with the requested handle, or if the requested position is
/// neither the start nor the end of the last batch. The outcome of the call is unknown here.
fn unknown_answer() -> Refusal {
    Refusal::may_have_run(Reason::HomeUnavailable, "the home no longer holds this answer")
}
