//! A small model of an engine, in virtual time.
//!
//! The engine batches continuously: each step decodes one token for every sequence whose prompt is
//! done and prefills a chunk of the others. It admits in order of arrival as long as memory holds
//! the sequence whole. The prefix of a program whose turn has ended stays in memory until room is
//! needed; then the least recently used prefix loses its end first.

use {
    crate::workload::EngineSettings,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// A turn at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Names the turn.
    pub id: u64,
    /// The program.
    pub program: usize,
    /// The whole prompt.
    pub prompt_tokens: u64,
    /// Tokens to generate.
    pub output_tokens: u64,
    /// When it came.
    pub arrived_us: u64,
}

/// A turn that has ended.
#[derive(Clone, Debug)]
pub struct CompletedTurn {
    /// The turn.
    pub job: Job,
    /// Prompt tokens that were found in memory.
    pub cached_tokens: u64,
    /// When the first token was there.
    pub first_token_us: u64,
}

/// A change of the prefix cache.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheChange {
    /// The program.
    pub program: usize,
    /// Tokens now held; zero when evicted.
    pub tokens: u64,
}

#[derive(Clone, Debug)]
struct Sequence {
    job: Job,
    cached_tokens: u64,
    unprefilled_tokens: u64,
    generated_tokens: u64,
    first_token_us: Option<u64>,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: EngineSettings,
    running: Vec<Sequence>,
    waiting: VecDeque<Job>,
    /// Tokens reserved by running sequences.
    reserved_tokens: u64,
    /// Idle prefixes: tokens and when they were last used.
    idle_prefixes: BTreeMap<usize, (u64, u64)>,
    /// Programs with idle prefixes, least recently used first.
    idle_by_last_use: BTreeSet<(u64, usize)>,
    idle_tokens: u64,
    use_count: u64,
    cache_changes: Vec<CacheChange>,
    /// Whether a step is under way.
    pub is_stepping: bool,
}

impl Engine {
    /// An engine with empty memory.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            running: Vec::new(),
            waiting: VecDeque::new(),
            reserved_tokens: 0,
            idle_prefixes: BTreeMap::new(),
            idle_by_last_use: BTreeSet::new(),
            idle_tokens: 0,
            use_count: 0,
            cache_changes: Vec::new(),
            is_stepping: false,
        }
    }

    /// Takes a turn.
    pub fn submit(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Running and waiting turns and tokens in memory.
    pub fn load(&self) -> (u32, u32, u64) {
        let used_tokens = self.reserved_tokens + self.idle_tokens;
        (self.running.len() as u32, self.waiting.len() as u32, used_tokens)
    }

    /// Begins a step. Returns its length, or `None` without work.
    pub fn begin_step(&mut self) -> Option<u64> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let settings = &self.settings;
        let mut budget = settings.chunk_tokens;
        let mut length_us = settings.step_base_us;
        for sequence in &self.running {
            let chunk = sequence.unprefilled_tokens.min(budget);
            budget -= chunk;
            length_us += chunk as f64 * settings.prefill_token_us;
            if sequence.unprefilled_tokens == 0 {
                let held = (sequence.job.prompt_tokens + sequence.generated_tokens) as f64;
                length_us += settings.step_sequence_us + held * settings.step_kv_token_ns / 1e3;
            }
        }
        self.is_stepping = true;
        Some(length_us as u64)
    }

    /// Ends the step that is under way. Returns the turns that ended.
    pub fn end_step(&mut self, now_us: u64) -> Vec<CompletedTurn> {
        self.is_stepping = false;
        let mut budget = self.settings.chunk_tokens;
        let mut ended = Vec::new();
        let mut kept = Vec::with_capacity(self.running.len());
        for mut sequence in std::mem::take(&mut self.running) {
            let chunk = sequence.unprefilled_tokens.min(budget);
            budget -= chunk;
            if sequence.unprefilled_tokens > 0 {
                sequence.unprefilled_tokens -= chunk;
            } else {
                sequence.generated_tokens += 1;
                sequence.first_token_us.get_or_insert(now_us);
            }
            if sequence.generated_tokens >= sequence.job.output_tokens {
                ended.push(sequence);
            } else {
                kept.push(sequence);
            }
        }
        self.running = kept;
        ended.into_iter().map(|sequence| self.finish(sequence, now_us)).collect()
    }

    /// Frees the idle prefix of a program.
    pub fn release(&mut self, program: usize) {
        if let Some((tokens, last_use)) = self.idle_prefixes.remove(&program) {
            self.idle_by_last_use.remove(&(last_use, program));
            self.idle_tokens -= tokens;
        }
    }

    /// Breaks the engine: memory and all turns are lost. Returns the turns.
    pub fn crash(&mut self) -> Vec<Job> {
        let running = std::mem::take(&mut self.running).into_iter().map(|sequence| sequence.job);
        let lost = running.chain(std::mem::take(&mut self.waiting)).collect();
        *self = Self::new(self.settings.clone());
        lost
    }

    /// Changes of the cache since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.cache_changes)
    }

    fn admit(&mut self) {
        while self.running.len() < self.settings.max_batch
            && let Some(job) = self.waiting.front()
        {
            let needed = job.prompt_tokens + job.output_tokens;
            let is_idle = self.running.is_empty();
            if self.reserved_tokens + needed > self.settings.kv_capacity_tokens && !is_idle {
                return;
            }
            let job = self.waiting.pop_front().expect("looked at above");
            self.start(job, needed);
        }
    }

    fn start(&mut self, job: Job, needed: u64) {
        let held = self.idle_prefixes.get(&job.program).map_or(0, |&(tokens, _)| tokens);
        // The last prompt token is always computed.
        let cached_tokens = held.min(job.prompt_tokens.saturating_sub(1));
        self.release(job.program);
        self.reserved_tokens += needed;
        self.evict_to_fit();
        let unprefilled_tokens = job.prompt_tokens - cached_tokens;
        let sequence = Sequence {
            job,
            cached_tokens,
            unprefilled_tokens,
            generated_tokens: 0,
            first_token_us: None,
        };
        self.running.push(sequence);
    }

    fn finish(&mut self, sequence: Sequence, now_us: u64) -> CompletedTurn {
        let job = sequence.job;
        let tokens = job.prompt_tokens + job.output_tokens;
        self.reserved_tokens -= tokens;
        self.use_count += 1;
        self.release(job.program);
        self.idle_prefixes.insert(job.program, (tokens, self.use_count));
        self.idle_by_last_use.insert((self.use_count, job.program));
        self.idle_tokens += tokens;
        self.cache_changes.push(CacheChange { program: job.program, tokens });
        self.evict_to_fit();
        let first_token_us = sequence.first_token_us.unwrap_or(now_us);
        CompletedTurn { job, cached_tokens: sequence.cached_tokens, first_token_us }
    }

    /// Cuts idle prefixes until all fits, the least recently used first.
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
