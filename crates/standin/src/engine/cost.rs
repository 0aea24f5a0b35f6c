//! Cost model: how long an engine's steps and transfers take.
//!
//! Source: the roofline model (Williams, Waterman and Patterson, CACM 52(4), 2009) for a dense
//! model of 8 billion parameters in 16 bits, with the memory sizes per token as in Kwon et al.,
//! "Efficient Memory Management for Large Language Model Serving with PagedAttention", SOSP 2023.
//! Every step reads all weights once. Each token costs two operations per parameter. Each token of
//! context is read once for each sequence that it belongs to. Prefill is split into chunks that run
//! beside the decodes of a step, as in Agrawal et al., "Taming Throughput-Latency Tradeoff in LLM
//! Inference with Sarathi-Serve", OSDI 2024.

use std::time::Duration;

/// Number of parameters of the model.
const PARAMETERS: f64 = 8e9;
/// Parameters have 16 bits.
const BYTES_PER_PARAMETER: f64 = 2.0;
/// Layers × key-value heads × head size × (key and value) × bytes per number.
const KV_BYTES_PER_TOKEN: f64 = 32.0 * 8.0 * 128.0 * 2.0 * 2.0;
/// Memory bandwidth of an accelerator.
const MEMORY_BYTES_PER_S: f64 = 2e12;
/// Rate that an accelerator reaches in dense matrix products.
const OPERATIONS_PER_S: f64 = 160e12;
/// Bandwidth between engines, for exports and imports.
const LINK_BYTES_PER_S: f64 = 10e9;
/// Time of a step that does not depend on the batch.
const STEP_OVERHEAD_S: f64 = 0.001;
/// Maximum tokens computed in one step. Decodes come first; prefill uses the remainder.
pub const MAX_STEP_TOKENS: u64 = 512;
/// Memory for the key-value cache, in addition to the weights.
const KV_CAPACITY_BYTES: f64 = 32.0 * 1024.0 * 1024.0 * 1024.0;
/// Default capacity of the cache, in tokens.
pub const KV_CAPACITY_TOKENS: u64 = (KV_CAPACITY_BYTES / KV_BYTES_PER_TOKEN) as u64;
/// Default maximum number of sequences in one batch.
pub const MAX_BATCH: usize = 64;

/// The work of one step.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Step {
    /// Uncached prompt tokens that the step computes.
    pub prefill_tokens: u64,
    /// Number of sequences for which the step generates one token.
    pub decodes: u64,
    /// Context tokens that the step reads, over all its sequences.
    pub context_tokens: u64,
}

impl Step {
    /// Returns how long the step takes in real time.
    pub fn duration(&self) -> Duration {
        let weights_s = PARAMETERS * BYTES_PER_PARAMETER / MEMORY_BYTES_PER_S;
        let context_s = self.context_tokens as f64 * KV_BYTES_PER_TOKEN / MEMORY_BYTES_PER_S;
        let tokens = (self.prefill_tokens + self.decodes) as f64;
        let compute_s = tokens * 2.0 * PARAMETERS / OPERATIONS_PER_S;
        Duration::from_secs_f64(STEP_OVERHEAD_S + compute_s.max(weights_s) + context_s)
    }
}

/// Returns how long an export or import of a program's memory takes in real time.
pub fn transfer_time(tokens: u64) -> Duration {
    Duration::from_secs_f64(tokens as f64 * KV_BYTES_PER_TOKEN / LINK_BYTES_PER_S)
}

/// Divides a duration by the time scale: 10 means ten times faster than real time.
pub fn scaled(duration: Duration, time_scale: f64) -> Duration {
    duration.div_f64(time_scale)
}
