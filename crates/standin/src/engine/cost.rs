//! How long an engine's work takes.
//!
//! Source: the roofline model (Williams, Waterman and Patterson, CACM 52(4), 2009) for a dense
//! model of 8 billion parameters in 16 bits, with the memory sizes per token as in Kwon et al.,
//! "Efficient Memory Management for Large Language Model Serving with PagedAttention", SOSP 2023.
//! Every step reads all weights once; each token computes two operations a parameter; each token of
//! context is read once for each sequence that it belongs to. Prefill comes in chunks beside the
//! decodes of a step, as in Agrawal et al., "Taming Throughput-Latency Tradeoff in LLM Inference
//! with Sarathi-Serve", OSDI 2024.

use std::time::Duration;

/// Parameters of the model.
const PARAMETERS: f64 = 8e9;
/// Bytes of one parameter.
const BYTES_PER_PARAMETER: f64 = 2.0;
/// Layers, key-value heads, head size, keys and values, bytes of one number.
const KV_BYTES_PER_TOKEN: f64 = 32.0 * 8.0 * 128.0 * 2.0 * 2.0;
/// Bytes a second that an accelerator reads from its memory.
const MEMORY_BYTES_PER_S: f64 = 2e12;
/// Operations a second that an accelerator reaches in dense products.
const OPERATIONS_PER_S: f64 = 160e12;
/// Bytes a second between an engine and others, for exports and imports.
const LINK_BYTES_PER_S: f64 = 10e9;
/// Work of a step that does not depend on the batch.
const STEP_OVERHEAD_S: f64 = 0.001;
/// Tokens computed in one step at most: decodes first, prefill with the rest.
pub const STEP_TOKENS: u64 = 512;
/// Memory for the cache, beside the weights.
const KV_BYTES: f64 = 32.0 * 1024.0 * 1024.0 * 1024.0;
/// Tokens that the cache holds.
pub const KV_CAPACITY_TOKENS: u64 = (KV_BYTES / KV_BYTES_PER_TOKEN) as u64;
/// Sequences in one batch.
pub const MAX_BATCH: usize = 64;

/// What one step computes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Step {
    /// Prompt tokens that were not cached.
    pub prefill_tokens: u64,
    /// Sequences that get one token each.
    pub decodes: u64,
    /// Tokens of context of all sequences in the step.
    pub context_tokens: u64,
}

impl Step {
    /// Returns how long the step takes.
    pub fn cost(&self) -> Duration {
        let weights_s = PARAMETERS * BYTES_PER_PARAMETER / MEMORY_BYTES_PER_S;
        let context_s = self.context_tokens as f64 * KV_BYTES_PER_TOKEN / MEMORY_BYTES_PER_S;
        let tokens = (self.prefill_tokens + self.decodes) as f64;
        let compute_s = tokens * 2.0 * PARAMETERS / OPERATIONS_PER_S;
        Duration::from_secs_f64(STEP_OVERHEAD_S + compute_s.max(weights_s) + context_s)
    }
}

/// Returns how long an export or import of a program's memory takes.
pub fn transfer(tokens: u64) -> Duration {
    Duration::from_secs_f64(tokens as f64 * KV_BYTES_PER_TOKEN / LINK_BYTES_PER_S)
}

/// Divides a duration by the time scale: 10 means ten times faster than life.
pub fn scaled(duration: Duration, time_scale: f64) -> Duration {
    duration.div_f64(time_scale)
}
