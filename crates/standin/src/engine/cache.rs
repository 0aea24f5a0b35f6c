//! Prefix cache of limited size. Caches complete messages. Programs with a common prefix share its
//! entries. The least recently used entries are evicted first.

use {
    super::text::PrefixHash,
    std::collections::{BTreeMap, BTreeSet},
    trefoilring_core::ids::ProgramId,
};

/// One message of a prompt. A block has any number of tokens, unlike a page of PagedAttention.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Block {
    /// Hash of the prefix up to and including the message.
    pub hash: PrefixHash,
    /// Tokens of the message itself, without the prefix.
    pub tokens: u64,
}

/// A message in the cache.
#[derive(Clone, Debug)]
struct CachedBlock {
    tokens: u64,
    /// The preceding prefix; `None` for the first message.
    parent: Option<PrefixHash>,
    /// Number of cached messages that follow directly.
    children: u32,
    /// Number of admitted sequences that read this message.
    pins: u32,
    /// Value of [`Cache::clock`] at the last use.
    used_at: u64,
    /// Programs for which the message is cached. Invariant: a parent's holders include its
    /// children's.
    holders: BTreeSet<ProgramId>,
}

/// The key-value cache of one engine.
#[derive(Debug)]
pub struct Cache {
    capacity_tokens: u64,
    /// Tokens of all nodes.
    cached_tokens: u64,
    /// Tokens of pinned nodes. All other nodes can be evicted, children before their parents.
    pinned_tokens: u64,
    /// Tokens reserved for admitted sequences in addition to cached tokens.
    reserved_tokens: u64,
    nodes: BTreeMap<PrefixHash, CachedBlock>,
    /// Nodes that can be evicted now, by last use: they have no child and no pin.
    evictable: BTreeSet<(u64, PrefixHash)>,
    /// Cached tokens held for each program, and when the program last used them.
    programs: BTreeMap<ProgramId, ProgramMemory>,
    /// Logical clock of the least-recently-used order. Each [`Cache::insert`] advances it.
    clock: u64,
}

/// Cache memory held for one program.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProgramMemory {
    /// Tokens held. Tokens shared with other programs count in full.
    pub tokens: u64,
    /// Engine uptime at the last use, in microseconds.
    pub used_us: u64,
}

impl Cache {
    /// Creates an empty cache.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            cached_tokens: 0,
            pinned_tokens: 0,
            reserved_tokens: 0,
            nodes: BTreeMap::new(),
            evictable: BTreeSet::new(),
            programs: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Returns the capacity in tokens.
    pub fn capacity_tokens(&self) -> u64 {
        self.capacity_tokens
    }

    /// Returns the number of cached plus reserved tokens.
    pub fn used_tokens(&self) -> u64 {
        self.cached_tokens + self.reserved_tokens
    }

    /// Returns the memory held for each program.
    pub fn programs(&self) -> &BTreeMap<ProgramId, ProgramMemory> {
        &self.programs
    }

    /// Returns the number of leading blocks that are cached.
    pub fn cached_prefix_len(&self, blocks: &[Block]) -> usize {
        blocks.iter().take_while(|block| self.nodes.contains_key(&block.hash)).count()
    }

    /// Admits a sequence: pins its cached blocks, and reserves memory for the other blocks and for
    /// `extra_tokens` to be generated. Returns the number of pinned blocks, or `None` without
    /// reserving anything if there is not enough memory. Adds programs that lost memory to
    /// `evicted`.
    pub fn admit(
        &mut self,
        blocks: &[Block],
        extra_tokens: u64,
        evicted: &mut BTreeSet<ProgramId>,
    ) -> Option<usize> {
        let cached = self.cached_prefix_len(blocks);
        self.pin(&blocks[..cached]);
        let uncached: u64 = blocks[cached..].iter().map(|block| block.tokens).sum();
        if !self.make_room(uncached + extra_tokens, evicted) {
            self.unpin(&blocks[..cached]);
            return None;
        }
        self.reserved_tokens += uncached + extra_tokens;
        Some(cached)
    }

    /// Ends a sequence: releases the reservation and caches the blocks for `cached_for`, a program
    /// and the current uptime in microseconds. With `None`, adds no blocks.
    pub fn finish(
        &mut self,
        blocks: &[Block],
        pinned_blocks: usize,
        reserved_tokens: u64,
        cached_for: Option<(&ProgramId, u64)>,
    ) {
        self.reserved_tokens -= reserved_tokens;
        self.unpin(&blocks[..pinned_blocks]);
        if let Some((program, now_us)) = cached_for {
            self.insert(blocks, program, now_us);
        }
    }

    /// Adds blocks exported by another engine. Returns whether there was enough memory.
    pub fn import(
        &mut self,
        blocks: &[Block],
        program: &ProgramId,
        now_us: u64,
        evicted: &mut BTreeSet<ProgramId>,
    ) -> bool {
        let Some(pinned_blocks) = self.admit(blocks, 0, evicted) else { return false };
        let reserved_tokens = blocks[pinned_blocks..].iter().map(|block| block.tokens).sum();
        self.finish(blocks, pinned_blocks, reserved_tokens, Some((program, now_us)));
        true
    }

    /// Releases a program's memory and frees what no other program holds. Returns whether any
    /// memory was held for the program.
    pub fn release(&mut self, program: &str) -> bool {
        let Some((program, _)) = self.programs.remove_entry(program) else { return false };
        let mut free = Vec::new();
        for (hash, node) in &mut self.nodes {
            if node.holders.remove(&program) && node.holders.is_empty() && node.pins == 0 {
                free.push(*hash);
            }
        }
        // A node's holders include those of its children, and pinning a node pins its ancestors. A
        // freed node therefore has no remaining children.
        for hash in free {
            self.remove(&hash);
        }
        true
    }

    /// Returns the chain of blocks with the most tokens that is held for a program, first block
    /// first.
    pub fn blocks_of(&self, program: &str) -> Vec<Block> {
        let held = self.nodes.iter().filter(|(_, node)| node.holders.contains(program));
        let Some((deepest, _)) = held.max_by_key(|(hash, _)| self.depth_tokens(hash)) else {
            return Vec::new();
        };
        let mut blocks = Vec::new();
        let mut next = Some(*deepest);
        while let Some(hash) = next {
            let Some(node) = self.nodes.get(&hash) else { break };
            blocks.push(Block { hash, tokens: node.tokens });
            next = node.parent;
        }
        blocks.reverse();
        blocks
    }

    fn depth_tokens(&self, hash: &PrefixHash) -> u64 {
        let mut tokens = 0;
        let mut next = Some(*hash);
        while let Some(node) = next.and_then(|hash| self.nodes.get(&hash)) {
            tokens += node.tokens;
            next = node.parent;
        }
        tokens
    }

    fn insert(&mut self, blocks: &[Block], program: &ProgramId, now_us: u64) {
        self.clock += 1;
        let mut parent = None;
        for block in blocks {
            self.insert_or_touch(block, parent, program);
            parent = Some(block.hash);
        }
        if !blocks.is_empty() {
            self.programs.entry(program.clone()).or_default().used_us = now_us;
        }
    }

    fn insert_or_touch(&mut self, block: &Block, parent: Option<PrefixHash>, program: &ProgramId) {
        if !self.nodes.contains_key(&block.hash) {
            self.add(block, parent);
        }
        let clock = self.clock;
        let Some(node) = self.nodes.get_mut(&block.hash) else { return };
        let key = (node.used_at, block.hash);
        node.used_at = clock;
        if self.evictable.remove(&key) {
            self.evictable.insert((clock, block.hash));
        }
        if node.holders.insert(program.clone()) {
            self.programs.entry(program.clone()).or_default().tokens += block.tokens;
        }
    }

    fn add(&mut self, block: &Block, parent: Option<PrefixHash>) {
        let node = CachedBlock {
            tokens: block.tokens,
            parent,
            children: 0,
            pins: 0,
            used_at: self.clock,
            holders: BTreeSet::new(),
        };
        self.nodes.insert(block.hash, node);
        self.evictable.insert((self.clock, block.hash));
        self.cached_tokens += block.tokens;
        if let Some(parent) = parent
            && let Some(node) = self.nodes.get_mut(&parent)
        {
            node.children += 1;
            self.evictable.remove(&(node.used_at, parent));
        }
    }

    fn pin(&mut self, blocks: &[Block]) {
        for block in blocks {
            if let Some(node) = self.nodes.get_mut(&block.hash) {
                self.pinned_tokens += if node.pins == 0 { node.tokens } else { 0 };
                node.pins += 1;
                self.evictable.remove(&(node.used_at, block.hash));
            }
        }
    }

    /// Unpins blocks, last first, and frees those that have no holder.
    fn unpin(&mut self, blocks: &[Block]) {
        for block in blocks.iter().rev() {
            let Some(node) = self.nodes.get_mut(&block.hash) else { continue };
            node.pins -= 1;
            if node.pins > 0 {
                continue;
            }
            self.pinned_tokens -= node.tokens;
            if node.children > 0 {
                continue;
            }
            if node.holders.is_empty() {
                self.remove(&block.hash);
            } else {
                self.evictable.insert((node.used_at, block.hash));
            }
        }
    }

    fn make_room(&mut self, tokens: u64, evicted: &mut BTreeSet<ProgramId>) -> bool {
        if self.pinned_tokens + self.reserved_tokens + tokens > self.capacity_tokens {
            return false;
        }
        while self.used_tokens() + tokens > self.capacity_tokens {
            let Some((_, hash)) = self.evictable.first().copied() else { return false };
            evicted.extend(self.remove(&hash));
        }
        true
    }

    /// Removes a node, subtracts its tokens from the memory of its holders, and returns the
    /// holders.
    fn remove(&mut self, hash: &PrefixHash) -> BTreeSet<ProgramId> {
        let Some(node) = self.nodes.remove(hash) else { return BTreeSet::new() };
        self.evictable.remove(&(node.used_at, *hash));
        self.cached_tokens -= node.tokens;
        for holder in &node.holders {
            self.subtract_tokens(holder, node.tokens);
        }
        if let Some(parent) = node.parent
            && let Some(parent_node) = self.nodes.get_mut(&parent)
        {
            parent_node.children -= 1;
            if parent_node.children == 0 && parent_node.pins == 0 {
                self.evictable.insert((parent_node.used_at, parent));
            }
        }
        node.holders
    }

    fn subtract_tokens(&mut self, program: &ProgramId, tokens: u64) {
        if let Some(held) = self.programs.get_mut(program) {
            held.tokens -= tokens;
            if held.tokens == 0 {
                self.programs.remove(program);
            }
        }
    }
}

#[cfg(test)]
mod tests;
