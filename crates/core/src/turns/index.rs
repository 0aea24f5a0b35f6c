//! Finds stored turns, and forgets them when their time has passed.

use {
    super::{TreeId, TurnHead},
    crate::ids::RequestId,
    derive_more::{Display, Error},
    std::{collections::HashMap, time::Instant},
};

/// Why a turn was not stored.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum InsertError {
    /// The turn that it continues is not stored here.
    #[display("the turn that it continues is not stored here")]
    MissingPrevious,
    /// Another turn with the same id is stored.
    #[display("another turn with the same id is stored")]
    Conflict,
}

/// The turns of one store host, with the location of each on its disk.
#[derive(Debug)]
pub struct TurnIndex<L> {
    turns: HashMap<RequestId, IndexedTurn<L>>,
    trees: HashMap<TreeId, Tree>,
}

#[derive(Debug)]
struct IndexedTurn<L> {
    head: TurnHead,
    location: L,
}

#[derive(Debug)]
struct Tree {
    /// The turns in the order in which they were stored, so each comes after its previous one.
    turns: Vec<RequestId>,
    /// When the tree is forgotten. Extended by each turn that is added.
    expires_at: Instant,
}

impl<L> Default for TurnIndex<L> {
    fn default() -> Self {
        Self { turns: HashMap::new(), trees: HashMap::new() }
    }
}

impl<L: Copy> TurnIndex<L> {
    /// Checks whether a turn can be inserted. Returns false if it is stored already.
    ///
    /// # Errors
    ///
    /// Returns an [`InsertError`] if it can't.
    pub fn check(&self, head: &TurnHead) -> Result<bool, InsertError> {
        if let Some(stored) = self.turns.get(&head.id) {
            return if stored.head.is_same_turn(head) {
                Ok(false)
            } else {
                Err(InsertError::Conflict)
            };
        }
        match &head.previous {
            Some(previous) if !self.contains(previous) => Err(InsertError::MissingPrevious),
            _ => Ok(true),
        }
    }

    /// Inserts a turn that is stored at a location, and keeps its tree for the turn's retention from
    /// now on.
    ///
    /// # Errors
    ///
    /// Returns an [`InsertError`] if it can't be inserted.
    pub fn insert(&mut self, now: Instant, head: TurnHead, location: L) -> Result<(), InsertError> {
        let is_new = self.check(&head)?;
        let expires_at = now + head.retention;
        let tree = self
            .trees
            .entry(head.tree.clone())
            .or_insert_with(|| Tree { turns: Vec::new(), expires_at });
        tree.expires_at = tree.expires_at.max(expires_at);
        if is_new {
            tree.turns.push(head.id.clone());
            self.turns.insert(head.id.clone(), IndexedTurn { head, location });
        }
        Ok(())
    }

    /// Returns whether a turn is stored.
    pub fn contains(&self, id: &str) -> bool {
        self.turns.contains_key(id)
    }

    /// Returns a turn.
    pub fn get(&self, id: &str) -> Option<(&TurnHead, L)> {
        self.turns.get(id).map(|turn| (&turn.head, turn.location))
    }

    /// Returns a turn and those before it, the newest first. Empty if the turn is not stored.
    pub fn chain<'a>(&'a self, id: &'a str) -> impl Iterator<Item = (&'a TurnHead, L)> {
        let first = self.get(id);
        std::iter::successors(first, |(head, _)| self.get(head.previous.as_deref()?))
    }

    /// Returns the turns of a tree, each after the one that it continues.
    pub fn tree(&self, tree: &str) -> &[RequestId] {
        self.trees.get(tree).map_or(&[], |tree| &tree.turns)
    }

    /// Returns all trees.
    pub fn trees(&self) -> impl Iterator<Item = &TreeId> {
        self.trees.keys()
    }

    /// Returns the locations of all turns.
    pub fn locations(&self) -> impl Iterator<Item = L> {
        self.turns.values().map(|turn| turn.location)
    }

    /// Returns the number of turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Returns whether no turn is stored.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Removes a turn whose contents can't be read, and all turns that continue it.
    pub fn remove_damaged(&mut self, id: &str) {
        let Some(turn) = self.turns.remove(id) else { return };
        let Some(tree) = self.trees.get_mut(&turn.head.tree) else { return };
        let turns = &mut self.turns;
        // Each turn comes after the one that it continues, so one pass removes all of them.
        tree.turns.retain(|kept| {
            let previous = turns.get(kept).map(|turn| turn.head.previous.clone());
            let is_kept = match previous {
                None => false,
                Some(None) => true,
                Some(Some(previous)) => turns.contains_key(&previous),
            };
            if !is_kept {
                turns.remove(kept);
            }
            is_kept
        });
        if tree.turns.is_empty() {
            self.trees.remove(&turn.head.tree);
        }
    }

    /// Forgets the trees whose time has passed. Returns the number of turns that were forgotten.
    pub fn expire(&mut self, now: Instant) -> usize {
        let before = self.turns.len();
        let turns = &mut self.turns;
        self.trees.retain(|_, tree| {
            let is_kept = tree.expires_at > now;
            if !is_kept {
                tree.turns.iter().for_each(|turn| {
                    turns.remove(turn);
                });
            }
            is_kept
        });
        before - self.turns.len()
    }
}
