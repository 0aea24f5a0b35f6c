//! Remembers turns, so that most of them need no question to another host.

use {super::RetainedTurn, lru::LruCache, std::rc::Rc, trefoilring_core::ids::RequestId};

/// Part of the host's memory for remembered turns.
const MEMORY_FRACTION: u64 = 10;
/// Size that is counted for a turn besides its contents.
const OVERHEAD_BYTES: usize = 512;

/// A turn with those before it.
#[derive(Debug)]
pub(crate) struct CachedTurn {
    pub(crate) turn: RetainedTurn,
    pub(crate) previous: Option<Rc<CachedTurn>>,
}

impl CachedTurn {
    /// Returns the turn and those before it, the newest first.
    pub(crate) fn chain(&self) -> impl Iterator<Item = &CachedTurn> {
        std::iter::successors(Some(self), |turn| turn.previous.as_deref())
    }

    fn counted_bytes(&self) -> usize {
        self.turn.bytes() + OVERHEAD_BYTES
    }
}

/// The turns that were used last. A turn that is dropped stays in memory while turns that continue
/// it are remembered.
#[derive(Debug)]
pub(super) struct TurnCache {
    turns: LruCache<RequestId, Rc<CachedTurn>>,
    bytes: usize,
    bytes_max: usize,
}

impl TurnCache {
    pub(super) fn new(memory_bytes_max: u64) -> Self {
        let bytes_max = usize::try_from(memory_bytes_max / MEMORY_FRACTION).unwrap_or(usize::MAX);
        Self { turns: LruCache::unbounded(), bytes: 0, bytes_max }
    }

    pub(super) fn get(&mut self, id: &str) -> Option<Rc<CachedTurn>> {
        self.turns.get(id).cloned()
    }

    pub(super) fn insert(&mut self, turn: Rc<CachedTurn>) {
        self.bytes += turn.counted_bytes();
        if let Some(replaced) = self.turns.put(turn.turn.head.id.clone(), turn) {
            self.bytes -= replaced.counted_bytes();
        }
        while self.bytes > self.bytes_max {
            let Some((_, dropped)) = self.turns.pop_lru() else { return };
            self.bytes -= dropped.counted_bytes();
        }
    }
}
