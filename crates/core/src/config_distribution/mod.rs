//! Distribution of the configuration to all hosts, as one manifest and many immutable shards.
//!
//! Only the manifest is ever updated, by conditional update, so a configuration is accepted either
//! completely or not at all. Shards are named by the hash of their content, so a change transfers
//! only the shards that it affects. `docs/decisions/0008-configuration.md` has the figures.

mod machine;
mod manifest;
mod plan;
#[cfg(test)]
mod tests;

pub use {
    machine::{Command, ConfigFetcher, Event, FetchSource, Freshness, LogEvent, Options},
    manifest::{
        ConfigError, EARLIER_MAX, MANIFEST_KEY, Manifest, PastChange, SHARD_BYTES_MAX,
        SHARD_PREFIX, Shard, ShardHash, ShardRef, assemble, decode_manifest, encode_manifest,
        shard_key, split, withdrawn_between,
    },
    plan::{ApplyOutcome, ApplyPlan, ChangeComparison, Difference, plan_apply, resolve_apply},
};
