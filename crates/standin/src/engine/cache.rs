//! Prefix cache in limited memory: whole messages, shared between programs, least recently used
//! ones evicted first.

use {
    super::text::PrefixHash,
    std::collections::{BTreeMap, BTreeSet},
    trefoilring_core::ids::ProgramId,
};

/// One message of a prompt: the hash of the prefix that ends with it, and its tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Block {
    /// Hash of the prefix up to and with the message.
    pub hash: PrefixHash,
    /// Tokens of the message alone.
    pub tokens: u64,
}

/// A cached message.
#[derive(Clone, Debug)]
struct Node {
    tokens: u64,
    /// The prefix before it, if that is a message too.
    parent: Option<PrefixHash>,
    /// Cached messages that follow it directly.
    children: u32,
    /// Sequences under way that read it.
    pins: u32,
    used_at: u64,
    /// Programs for which it is held. Invariant: a parent's holders include its children's.
    holders: BTreeSet<ProgramId>,
}

/// Memory of one engine.
#[derive(Debug)]
pub struct Cache {
    capacity_tokens: u64,
    /// Tokens of all nodes.
    cached_tokens: u64,
    /// Tokens of nodes that are pinned. All others can be evicted.
    pinned_tokens: u64,
    /// Tokens promised to sequences under way beyond what is cached.
    reserved_tokens: u64,
    nodes: BTreeMap<PrefixHash, Node>,
    /// Nodes that may be evicted: no child, no pin.
    evictable: BTreeSet<(u64, PrefixHash)>,
    /// Tokens held for each program, and when it last used them.
    programs: BTreeMap<ProgramId, Held>,
    ticks: u64,
}

/// Memory held for one program.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Held {
    /// Tokens, shared ones counted in full.
    pub tokens: u64,
    /// Microseconds of engine uptime at the last use.
    pub used_us: u64,
}

impl Cache {
    /// Makes an empty cache.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            cached_tokens: 0,
            pinned_tokens: 0,
            reserved_tokens: 0,
            nodes: BTreeMap::new(),
            evictable: BTreeSet::new(),
            programs: BTreeMap::new(),
            ticks: 0,
        }
    }

    /// Tokens that the cache can hold.
    pub fn capacity_tokens(&self) -> u64 {
        self.capacity_tokens
    }

    /// Tokens in use or kept.
    pub fn used_tokens(&self) -> u64 {
        self.cached_tokens + self.reserved_tokens
    }

    /// Memory held by program.
    pub fn programs(&self) -> &BTreeMap<ProgramId, Held> {
        &self.programs
    }

    /// Returns how many of the blocks are cached, from the start.
    pub fn cached_blocks(&self, blocks: &[Block]) -> usize {
        blocks.iter().take_while(|block| self.nodes.contains_key(&block.hash)).count()
    }

    /// Pins the cached blocks of a sequence and reserves `tokens` more. Returns `None`, with nothing
    /// changed, while there is no room; programs that lost memory are added to `evicted`.
    pub fn admit(
        &mut self,
        blocks: &[Block],
        tokens: u64,
        evicted: &mut BTreeSet<ProgramId>,
    ) -> Option<usize> {
        let cached = self.cached_blocks(blocks);
        self.pin(&blocks[..cached]);
        let uncached: u64 = blocks[cached..].iter().map(|block| block.tokens).sum();
        if !self.make_room(uncached + tokens, evicted) {
            self.unpin(&blocks[..cached]);
            return None;
        }
        self.reserved_tokens += uncached + tokens;
        Some(cached)
    }

    /// Ends a sequence: gives the reservation back and keeps the blocks for the program. Without a
    /// program only what was cached before stays.
    pub fn finish(
        &mut self,
        blocks: &[Block],
        pinned: usize,
        reserved: u64,
        keep: Option<(&ProgramId, u64)>,
    ) {
        self.reserved_tokens -= reserved;
        self.unpin(&blocks[..pinned]);
        if let Some((program, now_us)) = keep {
            self.insert(blocks, program, now_us);
        }
    }

    /// Adds blocks for a program that were moved here. Returns whether there was room.
    pub fn import(
        &mut self,
        blocks: &[Block],
        program: &ProgramId,
        now_us: u64,
        evicted: &mut BTreeSet<ProgramId>,
    ) -> bool {
        let Some(pinned) = self.admit(blocks, 0, evicted) else { return false };
        let reserved = blocks[pinned..].iter().map(|block| block.tokens).sum();
        self.finish(blocks, pinned, reserved, Some((program, now_us)));
        true
    }

    /// Frees what is held for a program and for no other. Returns whether anything was held.
    pub fn release(&mut self, program: &str) -> bool {
        let Some((program, _)) = self.programs.remove_entry(program) else { return false };
        let mut free = Vec::new();
        for (hash, node) in &mut self.nodes {
            if node.holders.remove(&program) && node.holders.is_empty() && node.pins == 0 {
                free.push(*hash);
            }
        }
        // A pinned child keeps its parents pinned, so a whole tail is free or none of it.
        for hash in free {
            self.remove(&hash);
        }
        true
    }

    /// Returns the longest chain of blocks held for a program.
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
        self.ticks += 1;
        let mut parent = None;
        for block in blocks {
            self.touch(block, parent, program);
            parent = Some(block.hash);
        }
        if !blocks.is_empty() {
            self.programs.entry(program.clone()).or_default().used_us = now_us;
        }
    }

    fn touch(&mut self, block: &Block, parent: Option<PrefixHash>, program: &ProgramId) {
        if !self.nodes.contains_key(&block.hash) {
            self.add(block, parent);
        }
        let ticks = self.ticks;
        let Some(node) = self.nodes.get_mut(&block.hash) else { return };
        let key = (node.used_at, block.hash);
        node.used_at = ticks;
        if self.evictable.remove(&key) {
            self.evictable.insert((ticks, block.hash));
        }
        if node.holders.insert(program.clone()) {
            self.programs.entry(program.clone()).or_default().tokens += block.tokens;
        }
    }

    fn add(&mut self, block: &Block, parent: Option<PrefixHash>) {
        let node = Node {
            tokens: block.tokens,
            parent,
            children: 0,
            pins: 0,
            used_at: self.ticks,
            holders: BTreeSet::new(),
        };
        self.nodes.insert(block.hash, node);
        self.evictable.insert((self.ticks, block.hash));
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

    /// Unpins blocks, deepest first, and frees those that nobody holds any more.
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

    /// Removes a node and returns its holders, from whose memory its tokens are taken.
    fn remove(&mut self, hash: &PrefixHash) -> BTreeSet<ProgramId> {
        let Some(node) = self.nodes.remove(hash) else { return BTreeSet::new() };
        self.evictable.remove(&(node.used_at, *hash));
        self.cached_tokens -= node.tokens;
        for holder in &node.holders {
            self.take(holder, node.tokens);
        }
        if let Some(parent) = node.parent
            && let Some(above) = self.nodes.get_mut(&parent)
        {
            above.children -= 1;
            if above.children == 0 && above.pins == 0 {
                self.evictable.insert((above.used_at, parent));
            }
        }
        node.holders
    }

    fn take(&mut self, program: &ProgramId, tokens: u64) {
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
