//! How a configuration reaches every host: one manifest, many immutable shards.
//!
//! The manifest is the only object that changes, by conditional update, so that an accepted
//! configuration is whole or not there. Shards are named by the hash of their content: a change
//! costs the shards that it touches. `docs/decisions/0008-configuration.md` has the figures.

mod machine;
mod manifest;
mod plan;
#[cfg(test)]
mod tests;

pub use {
    machine::{Command, ConfigDistribution, Event, Freshness, LogEvent, Options, ShardSource},
    manifest::{
        ConfigError, EARLIER_MAX, MANIFEST_KEY, Manifest, PastChange, SHARD_BYTES_MAX,
        SHARD_PREFIX, Shard, ShardHash, ShardRef, assemble, decode_manifest, encode_manifest,
        shard_key, split, withdrawn_between,
    },
    plan::{ApplyOutcome, ApplyPlan, Conflict, Difference, plan_apply, resolve_apply},
};
