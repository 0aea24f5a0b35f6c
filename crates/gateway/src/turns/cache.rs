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

/// The newest turns of a chain whose other turns have not been fetched, the newest first.
#[derive(Debug)]
pub(super) struct PartialChain {
    /// Invariant: not empty; each turn continues the next one.
    pub(super) turns: Vec<RetainedTurn>,
}

#[derive(Debug)]
enum Entry {
    Turn(Rc<CachedTurn>),
    Partial(PartialChain),
}

impl Entry {
    fn counted_bytes(&self) -> usize {
        match self {
            Self::Turn(turn) => turn.counted_bytes(),
            Self::Partial(partial) => {
                partial.turns.iter().map(|turn| turn.bytes() + OVERHEAD_BYTES).sum()
            }
        }
    }
}

/// The turns that were used last, and the chains that have come in part, by their newest turns. A turn
/// that is dropped stays in memory while turns that continue it are remembered.
#[derive(Debug)]
pub(super) struct TurnCache {
    entries: LruCache<RequestId, Entry>,
    bytes: usize,
    bytes_max: usize,
}

impl TurnCache {
    pub(super) fn new(memory_bytes_max: u64) -> Self {
        let bytes_max = usize::try_from(memory_bytes_max / MEMORY_FRACTION).unwrap_or(usize::MAX);
        Self { entries: LruCache::unbounded(), bytes: 0, bytes_max }
    }

    pub(super) fn get(&mut self, id: &str) -> Option<Rc<CachedTurn>> {
        match self.entries.get(id)? {
            Entry::Turn(turn) => Some(turn.clone()),
            Entry::Partial(_) => None,
        }
    }

    pub(super) fn insert(&mut self, turn: Rc<CachedTurn>) {
        self.put(turn.turn.head.id.clone(), Entry::Turn(turn));
    }

    /// Keeps what has come of a chain, unless the whole chain is remembered.
    pub(super) fn insert_partial(&mut self, partial: PartialChain) {
        let Some(newest) = partial.turns.first() else { return };
        let id = newest.head.id.clone();
        if self.get(&id).is_none() {
            self.put(id, Entry::Partial(partial));
        }
    }

    /// Removes what has come of a chain of the team.
    pub(super) fn take_partial(&mut self, id: &str, team: &str) -> Option<PartialChain> {
        let is_of_team = |partial: &PartialChain| {
            partial.turns.first().is_some_and(|newest| *newest.head.team == *team)
        };
        match self.entries.peek(id)? {
            Entry::Partial(partial) if is_of_team(partial) => {}
            _ => return None,
        }
        let entry = self.entries.pop(id)?;
        self.bytes -= entry.counted_bytes();
        match entry {
            Entry::Partial(partial) => Some(partial),
            Entry::Turn(_) => None,
        }
    }

    fn put(&mut self, id: RequestId, entry: Entry) {
        self.bytes += entry.counted_bytes();
        if let Some(replaced) = self.entries.put(id, entry) {
            self.bytes -= replaced.counted_bytes();
        }
        while self.bytes > self.bytes_max {
            let Some((_, dropped)) = self.entries.pop_lru() else { return };
            self.bytes -= dropped.counted_bytes();
        }
    }
}
