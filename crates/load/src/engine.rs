//! A model of an inference engine with continuous batching, in virtual time.
//!
//! Each step decodes one token for every sequence whose prompt is prefilled, and prefills a chunk
//! of the others. Turns are admitted in order of arrival while the KV cache has room for the
//! complete sequence. The prefix of a program whose turn has completed stays cached. When space is
//! needed, the least recently used prefix is truncated from its end, and evicted once it is empty.

use {
    crate::workload::EngineSettings,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// A turn submitted to an engine.
#[derive(Clone, Debug)]
pub struct SubmittedTurn {
    /// Ticket of the turn; not interpreted by the engine.
    pub id: u64,
    /// Program whose cached prefix the turn can use.
    pub program: usize,
    /// Length of the complete prompt, including the part that may be cached.
    pub prompt_tokens: u64,
    /// Number of tokens to generate.
    pub output_tokens: u64,
    /// Virtual time of arrival.
    pub arrived_us: u64,
}

/// A turn whose last token has been generated.
#[derive(Clone, Debug)]
pub struct CompletedTurn {
    /// The turn as it was submitted.
    pub turn: SubmittedTurn,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Virtual time of the first generated token.
    pub first_token_us: u64,
}

/// A change of the prefix cache, reported to the dispatcher as a cache event.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheChange {
    /// Program whose prefix changed.
    pub program: usize,
    /// Tokens of the program now cached; zero after eviction.
    pub tokens: u64,
}

#[derive(Clone, Debug)]
struct Sequence {
    turn: SubmittedTurn,
    cached_tokens: u64,
    unprefilled_tokens: u64,
    generated_tokens: u64,
    first_token_us: Option<u64>,
}

/// An engine with its batch, queue and KV cache.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: EngineSettings,
    running: Vec<Sequence>,
    waiting: VecDeque<SubmittedTurn>,
    /// KV cache tokens reserved by running sequences, each for its prompt and complete output.
    reserved_tokens: u64,
    /// Cached prefixes of programs without a running turn: tokens, and value of `use_clock` at the
    /// last use.
    idle_prefixes: BTreeMap<usize, (u64, u64)>,
    /// Keys of `idle_prefixes` by last use, for LRU eviction.
    idle_by_last_use: BTreeSet<(u64, usize)>,
    idle_tokens: u64,
    /// Number of prefixes stored so far; the logical clock of the LRU order.
    use_clock: u64,
    cache_changes: Vec<CacheChange>,
    /// Set from `begin_step` until `end_step`. A new turn must not begin a step while this is set.
    pub is_stepping: bool,
}

impl Engine {
    /// Creates an engine with an empty cache.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            running: Vec::new(),
            waiting: VecDeque::new(),
            reserved_tokens: 0,
            idle_prefixes: BTreeMap::new(),
            idle_by_last_use: BTreeSet::new(),
            idle_tokens: 0,
            use_clock: 0,
            cache_changes: Vec::new(),
            is_stepping: false,
        }
    }

    /// Queues a turn.
    pub fn submit(&mut self, turn: SubmittedTurn) {
        self.waiting.push_back(turn);
    }

    /// Returns the number of running turns, of queued turns, and of KV cache tokens in use.
    pub fn load(&self) -> (u32, u32, u64) {
        let used_tokens = self.reserved_tokens + self.idle_tokens;
        (self.running.len() as u32, self.waiting.len() as u32, used_tokens)
    }

    /// Admits queued turns and begins a step. Returns its duration in microseconds, or `None` if no
    /// turn is running.
    pub fn begin_step(&mut self) -> Option<u64> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let settings = &self.settings;
        let mut budget = settings.chunk_tokens;
        let mut duration_us = settings.step_base_us;
        for sequence in &self.running {
            let chunk = sequence.unprefilled_tokens.min(budget);
            budget -= chunk;
            duration_us += chunk as f64 * settings.prefill_token_us;
            if sequence.unprefilled_tokens == 0 {
                let context_tokens =
                    (sequence.turn.prompt_tokens + sequence.generated_tokens) as f64;
                duration_us +=
                    settings.step_sequence_us + context_tokens * settings.step_kv_token_ns / 1e3;
            }
        }
        self.is_stepping = true;
        Some(duration_us as u64)
    }

    /// Ends the step in progress. Returns the turns that it completed.
    pub fn end_step(&mut self, now_us: u64) -> Vec<CompletedTurn> {
        self.is_stepping = false;
        let mut budget = self.settings.chunk_tokens;
        let mut completed = Vec::new();
        let mut unfinished = Vec::with_capacity(self.running.len());
        for mut sequence in std::mem::take(&mut self.running) {
            let chunk = sequence.unprefilled_tokens.min(budget);
            budget -= chunk;
            if sequence.unprefilled_tokens > 0 {
                sequence.unprefilled_tokens -= chunk;
            } else {
                sequence.generated_tokens += 1;
                sequence.first_token_us.get_or_insert(now_us);
            }
            if sequence.generated_tokens >= sequence.turn.output_tokens {
                completed.push(sequence);
            } else {
                unfinished.push(sequence);
            }
        }
        self.running = unfinished;
        completed.into_iter().map(|sequence| self.complete(sequence, now_us)).collect()
    }

    /// Removes the idle prefix of a program from the cache, if there is one.
    pub fn evict(&mut self, program: usize) {
        if let Some((tokens, last_use)) = self.idle_prefixes.remove(&program) {
            self.idle_by_last_use.remove(&(last_use, program));
            self.idle_tokens -= tokens;
        }
    }

    /// Crashes the engine: clears the cache and returns all turns, which are lost.
    pub fn crash(&mut self) -> Vec<SubmittedTurn> {
        let running = std::mem::take(&mut self.running).into_iter().map(|sequence| sequence.turn);
        let lost = running.chain(std::mem::take(&mut self.waiting)).collect();
        *self = Self::new(self.settings.clone());
        lost
    }

    /// Returns the cache changes since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.cache_changes)
    }

    /// Moves queued turns into the batch. A turn larger than the cache is admitted if it is alone.
    fn admit(&mut self) {
        while self.running.len() < self.settings.max_batch
            && let Some(turn) = self.waiting.front()
        {
            let needed = turn.prompt_tokens + turn.output_tokens;
            let is_batch_empty = self.running.is_empty();
            if self.reserved_tokens + needed > self.settings.kv_capacity_tokens && !is_batch_empty {
                return;
            }
            let turn = self.waiting.pop_front().expect("the queue is not empty");
            self.start(turn, needed);
        }
    }

    fn start(&mut self, turn: SubmittedTurn, needed: u64) {
        let prefix_tokens = self.idle_prefixes.get(&turn.program).map_or(0, |&(tokens, _)| tokens);
        // The last prompt token is always computed, even if it is cached.
        let cached_tokens = prefix_tokens.min(turn.prompt_tokens.saturating_sub(1));
        self.evict(turn.program);
        self.reserved_tokens += needed;
        self.evict_to_fit();
        let unprefilled_tokens = turn.prompt_tokens - cached_tokens;
        let sequence = Sequence {
            turn,
            cached_tokens,
            unprefilled_tokens,
            generated_tokens: 0,
            first_token_us: None,
        };
        self.running.push(sequence);
    }

    fn complete(&mut self, sequence: Sequence, now_us: u64) -> CompletedTurn {
        let turn = sequence.turn;
        let tokens = turn.prompt_tokens + turn.output_tokens;
        self.reserved_tokens -= tokens;
        self.use_clock += 1;
        self.evict(turn.program);
        self.idle_prefixes.insert(turn.program, (tokens, self.use_clock));
        self.idle_by_last_use.insert((self.use_clock, turn.program));
        self.idle_tokens += tokens;
        self.cache_changes.push(CacheChange { program: turn.program, tokens });
        self.evict_to_fit();
        let first_token_us = sequence.first_token_us.unwrap_or(now_us);
        CompletedTurn { turn, cached_tokens: sequence.cached_tokens, first_token_us }
    }

    /// Truncates or evicts idle prefixes, the least recently used first, until everything fits.
    fn evict_to_fit(&mut self) {
        let capacity = self.settings.kv_capacity_tokens;
        while self.reserved_tokens + self.idle_tokens > capacity
            && let Some(&(last_use, program)) = self.idle_by_last_use.first()
        {
            let excess = self.reserved_tokens + self.idle_tokens - capacity;
            let (tokens, _) = self.idle_prefixes[&program];
            let remaining = tokens.saturating_sub(excess);
            self.idle_tokens -= tokens - remaining;
            self.cache_changes.push(CacheChange { program, tokens: remaining });
            if remaining > 0 {
                self.idle_prefixes.insert(program, (remaining, last_use));
            } else {
                self.idle_prefixes.remove(&program);
                self.idle_by_last_use.remove(&(last_use, program));
            }
        }
    }
}
