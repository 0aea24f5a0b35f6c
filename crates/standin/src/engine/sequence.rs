//! One turn in the engine.

use {
    super::{cache::Block, text},
    smol::channel::Sender,
    trefoilring_core::{
        ids::ProgramId,
        message::{Message, Usage},
    },
};

/// What a turn asks for.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// The holder of the memory, if any.
    pub program: Option<ProgramId>,
    /// The model.
    pub model: String,
    /// The prompt's messages.
    pub blocks: Vec<Block>,
    /// Hash of the whole prompt.
    pub prompt: text::PrefixHash,
    /// Tokens to generate.
    pub tokens: u64,
    /// Names the stream, for a resumption.
    pub resume_id: Option<String>,
}

impl Job {
    pub(super) fn prompt_tokens(&self) -> u64 {
        self.blocks.iter().map(|block| block.tokens).sum()
    }

    /// Tokens of memory that the turn needs in all.
    pub(super) fn memory_tokens(&self) -> u64 {
        self.prompt_tokens() + self.tokens
    }
}

/// A piece of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Piece {
    /// A word.
    Word(String),
    /// The end, with what was used.
    End(Usage),
}

/// A turn that waits or runs.
#[derive(Debug)]
pub(super) struct Sequence {
    pub job: Job,
    /// Cached blocks at the start of the prompt, pinned while it runs.
    pub pinned: usize,
    /// Tokens reserved in the cache.
    pub reserved: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens still to be computed.
    pub prefill_left: u64,
    /// Words generated, with those before a resumption.
    pub produced: u64,
    /// Where the pieces go. Closed once the caller is gone.
    pub sender: Sender<Piece>,
}

impl Sequence {
    /// Makes a turn that waits. `produced` words were generated before; those after `seen` are sent
    /// again at once.
    pub(super) fn new(job: Job, produced: u64, seen: u64, sender: Sender<Piece>) -> Self {
        for index in seen..produced {
            sender.try_send(Piece::Word(text::word(&job.prompt, index))).ok();
        }
        Self { job, pinned: 0, reserved: 0, cached_tokens: 0, prefill_left: 0, produced, sender }
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.sender.is_closed()
    }

    pub(super) fn is_finished(&self) -> bool {
        self.produced >= self.job.tokens
    }

    /// Tokens of context that a step reads.
    pub(super) fn context_tokens(&self) -> u64 {
        self.job.prompt_tokens() - self.prefill_left + self.produced
    }

    /// Generates the next word.
    pub(super) fn produce(&mut self) {
        let word = text::word(&self.job.prompt, self.produced);
        self.produced += 1;
        self.sender.try_send(Piece::Word(word)).ok();
    }

    /// Sends the end.
    pub(super) fn end(&self) {
        let usage = Usage {
            prompt_tokens: self.job.prompt_tokens(),
            cached_tokens: self.cached_tokens,
            completion_tokens: self.job.tokens,
        };
        self.sender.try_send(Piece::End(usage)).ok();
    }

    /// The blocks that stay cached: the prompt as far as it was computed, and the whole answer.
    pub(super) fn blocks_to_keep(&self) -> Vec<Block> {
        if self.prefill_left > 0 {
            return self.job.blocks[..self.pinned].to_vec();
        }
        let mut blocks = self.job.blocks.clone();
        if self.is_finished() {
            let words = (0..self.job.tokens).map(|index| text::word(&self.job.prompt, index));
            let message = Message::text("assistant", &words.collect::<String>());
            let hash = text::extend(&self.job.prompt, &message);
            blocks.push(Block { hash, tokens: self.job.tokens });
        }
        blocks
    }
}
