//! The state and the latest changes of one collection, for hosts that do not watch the store
//! themselves.

use std::collections::{BTreeMap, VecDeque};

/// Revision of the store.
type Revision = u64;

/// A change of one object of a collection.
pub trait ObjectChange: Clone {
    /// Name of the object.
    fn name(&self) -> &str;
    /// Whether the object was removed.
    fn is_removal(&self) -> bool;
}

/// What a follower gets that has the state of a collection at a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangesAfter<C> {
    /// The changes since, oldest first, and the revision up to which they are complete.
    Changes(Vec<C>, Revision),
    /// All objects at a revision, since the log does not reach back that far.
    State(Vec<C>, Revision),
    /// Too large to pass on.
    ReadStore,
}

/// The state and the latest changes of a collection, in the batches in which the store has returned
/// them.
#[derive(Debug)]
pub struct ChangeLog<C> {
    /// All objects at `head`, with their sizes.
    objects: BTreeMap<String, (C, usize)>,
    /// Oldest first.
    batches: VecDeque<Batch<C>>,
    /// The log holds all changes after this revision.
    floor: Revision,
    /// The log holds all changes up to this revision. Invariant: not below `floor`, nor below the
    /// revision of any batch.
    head: Revision,
    /// Maximum size of the changes in the log, and of the state that is passed on.
    bytes_max: usize,
}

#[derive(Debug)]
struct Batch<C> {
    /// Revision up to which the changes lead.
    revision: Revision,
    changes: Vec<C>,
    bytes: usize,
}

impl<C: ObjectChange> ChangeLog<C> {
    /// Creates the log of a collection that was listed at `revision`, with the sizes of its objects.
    /// It keeps and passes on at most `bytes_max` bytes.
    pub fn new(revision: Revision, objects: Vec<(C, usize)>, bytes_max: usize) -> Self {
        let named = objects.into_iter().map(|(object, bytes)| {
            let name = object.name().to_string();
            (name, (object, bytes))
        });
        Self {
            objects: named.collect(),
            batches: VecDeque::new(),
            floor: revision,
            head: revision,
            bytes_max,
        }
    }

    /// Appends the changes that the store has returned up to `revision`, with their sizes.
    pub fn push(&mut self, revision: Revision, changes: Vec<(C, usize)>) {
        self.head = self.head.max(revision);
        if changes.is_empty() {
            return;
        }
        for (change, bytes) in &changes {
            if change.is_removal() {
                self.objects.remove(change.name());
            } else {
                self.objects.insert(change.name().to_string(), (change.clone(), *bytes));
            }
        }
        let bytes = changes.iter().map(|(_, bytes)| bytes).sum();
        let changes = changes.into_iter().map(|(change, _)| change).collect();
        self.batches.push_back(Batch { revision, changes, bytes });
        while self.batches.iter().map(|batch| batch.bytes).sum::<usize>() > self.bytes_max {
            let Some(oldest) = self.batches.pop_front() else { break };
            self.floor = self.floor.max(oldest.revision);
        }
    }

    /// Returns the changes for a follower that has the state at `revision`, or none at all. A batch
    /// of which it has the beginning is returned whole: applying its changes again in order leads to
    /// the same state.
    pub fn after(&self, revision: Option<Revision>) -> ChangesAfter<C> {
        match revision {
            Some(revision) if revision >= self.floor => {
                let batches = self.batches.iter().filter(|batch| batch.revision > revision);
                let changes = batches.flat_map(|batch| batch.changes.iter().cloned()).collect();
                ChangesAfter::Changes(changes, self.head.max(revision))
            }
            _ if self.objects.values().map(|(_, bytes)| bytes).sum::<usize>() > self.bytes_max => {
                ChangesAfter::ReadStore
            }
            _ => {
                let objects = self.objects.values().map(|(object, _)| object.clone());
                ChangesAfter::State(objects.collect(), self.head)
            }
        }
    }
}
