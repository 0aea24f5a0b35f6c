//! State of one turn in the engine.

use {
    super::{cache::Block, text},
    smol::channel::Sender,
    trefoilring_core::{
        ids::ProgramId,
        message::{Message, Usage},
    },
};

/// Parameters of one turn.
#[derive(Clone, Debug)]
pub(super) struct TurnParameters {
    /// The program for which the memory is kept afterwards, if any.
    pub program: Option<ProgramId>,
    pub model: String,
    /// The prompt, one block for each message.
    pub blocks: Vec<Block>,
    /// Hash of the complete prompt.
    pub prompt: text::PrefixHash,
    /// Tokens to generate.
    pub tokens: u64,
    /// Id by which the caller can resume the stream.
    pub resume_id: Option<String>,
}

impl TurnParameters {
    pub(super) fn prompt_tokens(&self) -> u64 {
        self.blocks.iter().map(|block| block.tokens).sum()
    }

    /// Returns the total cache memory that the turn needs, in tokens.
    pub(super) fn memory_tokens(&self) -> u64 {
        self.prompt_tokens() + self.tokens
    }
}

/// A part of a generated answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Chunk {
    /// One word, with the space after it.
    Word(String),
    /// The end of the answer.
    End(Usage),
}

/// A queued or running turn.
#[derive(Debug)]
pub(super) struct Sequence {
    pub parameters: TurnParameters,
    /// Number of leading prompt blocks that were cached. They are pinned while the turn runs.
    pub pinned_blocks: usize,
    /// Tokens reserved in the cache.
    pub reserved_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens that are not computed yet.
    pub prefill_left: u64,
    /// Words generated, including those before a resumption.
    pub generated: u64,
    /// Sends the chunks to the response. Closed once the caller has disconnected.
    pub sender: Sender<Chunk>,
}

impl Sequence {
    /// Creates a queued turn that has already generated `generated` words, and resends those after
    /// the first `received`.
    pub(super) fn new(
        parameters: TurnParameters,
        generated: u64,
        received: u64,
        sender: Sender<Chunk>,
    ) -> Self {
        for index in received..generated {
            sender.try_send(Chunk::Word(text::word(&parameters.prompt, index))).ok();
        }
        Self {
            parameters,
            pinned_blocks: 0,
            reserved_tokens: 0,
            cached_tokens: 0,
            prefill_left: 0,
            generated,
            sender,
        }
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.sender.is_closed()
    }

    pub(super) fn is_finished(&self) -> bool {
        self.generated >= self.parameters.tokens
    }

    /// Returns the context tokens that a step reads for this turn.
    pub(super) fn context_tokens(&self) -> u64 {
        self.parameters.prompt_tokens() - self.prefill_left + self.generated
    }

    /// Generates and sends the next word.
    pub(super) fn generate_word(&mut self) {
        let word = text::word(&self.parameters.prompt, self.generated);
        self.generated += 1;
        self.sender.try_send(Chunk::Word(word)).ok();
    }

    /// Sends the end of the answer with the token usage.
    pub(super) fn send_end(&self) {
        let usage = Usage {
            prompt_tokens: self.parameters.prompt_tokens(),
            cached_tokens: self.cached_tokens,
            completion_tokens: self.parameters.tokens,
        };
        self.sender.try_send(Chunk::End(usage)).ok();
    }

    /// Returns the blocks to keep in the cache: the prompt, and the answer if it is complete. If
    /// the prompt is not fully computed, returns the blocks that were already cached.
    pub(super) fn blocks_to_keep(&self) -> Vec<Block> {
        if self.prefill_left > 0 {
            return self.parameters.blocks[..self.pinned_blocks].to_vec();
        }
        let mut blocks = self.parameters.blocks.clone();
        if self.is_finished() {
            let words =
                (0..self.parameters.tokens).map(|index| text::word(&self.parameters.prompt, index));
            let message = Message::text("assistant", &words.collect::<String>());
            let hash = text::extend_prefix_hash(&self.parameters.prompt, &message);
            blocks.push(Block { hash, tokens: self.parameters.tokens });
        }
        blocks
    }
}
